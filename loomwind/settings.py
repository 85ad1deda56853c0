"""Settings of a daemon: a TOML file, overridden by flags, decoded into typed structs.

All faults of a file are found in one pass and raised together, each with its path, unit and
allowed range.
"""

import tomllib
import types
import typing
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from loomwind import constants
from loomwind.errors import LoomwindError
from loomwind.schema import Adapter, Group, Model, Name, Route, Seconds

Address = Annotated[
    str,
    Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$", description="host:port"),
]


class SettingFault(LoomwindError):
    """One invalid key or value.

    :param path: its dotted path, such as ``limits.max_body_bytes``.
    """

    def __init__(self, path: str, detail: str) -> None:
        super().__init__(f"{path}: {detail}" if path else detail)
        self.path = path


class SettingsError(ExceptionGroup[SettingFault]):
    """Raised with all faults of a settings file."""


class ListenSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The addresses that the daemon listens on; port 0 selects a free port.

    :param relay: for requests relayed by peers that cannot serve them; default: the port after
        that of ``peer``.
    """

    caller: Address = "127.0.0.1:8080"
    peer: Address = "127.0.0.1:7070"
    operator: Address = "127.0.0.1:7071"
    admin: Address = "127.0.0.1:7072"
    ready: Address | None = None
    relay: Address | None = None


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A seed peer, from which the daemon learns of the others."""

    address: Address


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services; without them the daemon uses static back ends."""

    table: Address | None = None
    objects: Address | None = None
    machines: Address | None = None
    timeout_seconds: Seconds = constants.PLATFORM_TIMEOUT_SECONDS


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A store that holds the configuration and the list of servers, instead of the catalog.

    :param kind: the adapter for its protocol.
    """

    address: Address
    kind: typing.Literal["platform"] = "platform"
    timeout_seconds: Seconds = constants.STORE_TIMEOUT_SECONDS


class BoundSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that the deployment sets for this daemon.

    :param grace_seconds: the maximum duration of a graceful shutdown.
    :param notice_seconds: how long callers are still routed here after a graceful shutdown began.
    :param drain_ms: how soon a draining server must get no new requests.
    :param apply_ms: how soon a configuration written to the store must be applied.
    :param retry_ratio: retry budget of a service over all daemons, for each request to it.
    :param retry_allowance: retries of a service over all daemons that are always allowed in a
        window.
    :param retry_window_seconds: the window of the retry budget.
    :param retry_safety: the fraction of the retry budget that daemons use.
    :param load_window_seconds: the window over which the weight store's load rate is measured.
    :param load_overshoot: the factor by which loads started in a window may exceed that rate.
    """

    lease_ms: Annotated[float, Meta(gt=0, le=600_000, description="milliseconds")] = 3000.0
    grace_seconds: Seconds = 8.0
    notice_seconds: Seconds = 2.4
    drain_ms: Annotated[float, Meta(gt=0, le=600_000, description="milliseconds")] = 2000.0
    apply_ms: Annotated[float, Meta(gt=0, le=600_000, description="milliseconds")] = 2000.0
    retry_ratio: Annotated[float, Meta(ge=0, le=10, description="sends a request")] = 0.2
    retry_allowance: Annotated[float, Meta(ge=0, le=1e6, description="sends")] = 50.0
    retry_window_seconds: Seconds = 10.0
    retry_safety: Annotated[float, Meta(gt=0, le=1, description="part")] = 0.7
    load_window_seconds: Seconds = 5.0
    load_overshoot: Annotated[float, Meta(ge=1, le=10, description="times")] = 1.1

    @property
    def drain_seconds(self) -> float:
        """Return ``drain_ms`` in seconds."""
        return self.drain_ms / 1000


class WeightStoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the weight store for this cell."""

    loads_per_second: Annotated[float, Meta(gt=0, le=10_000, description="loads a second")] = 2.0
    parallel_loads: Annotated[int, Meta(ge=1, le=10_000, description="loads at once")] = 8


class LimitSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests and connections of callers."""

    max_head_bytes: Annotated[int, Meta(ge=1024, le=1 << 20, description="bytes")] = (
        constants.MAX_HEAD_BYTES
    )
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 30, description="bytes")] = (
        constants.MAX_BODY_BYTES
    )
    max_header_count: Annotated[int, Meta(ge=8, le=1000, description="header fields")] = (
        constants.MAX_HEADER_COUNT
    )
    head_timeout_seconds: Seconds = constants.HEAD_TIMEOUT_SECONDS
    body_timeout_seconds: Seconds = constants.BODY_TIMEOUT_SECONDS
    default_request_timeout_seconds: Seconds = constants.DEFAULT_REQUEST_TIMEOUT_SECONDS
    stream_stall_seconds: Seconds = constants.STREAM_STALL_TIMEOUT_SECONDS
    idempotency_retention_seconds: Seconds = constants.IDEMPOTENCY_RETENTION_SECONDS


class KeepAlivePolicy(Struct, frozen=True, forbid_unknown_fields=True):
    """How long an idle replica stays loaded.

    :param policy: ``histogram`` learns from arrival times; ``fixed`` and ``never`` are baselines.
    :param idle_hour_cost: cost of one idle accelerator hour, in seconds of cold-start tail latency.
    """

    policy: typing.Literal["histogram", "fixed", "never"] = "histogram"
    fixed_seconds: Annotated[float, Meta(gt=0, le=86_400, description="seconds")] = 600.0
    idle_hour_cost: Annotated[
        float, Meta(gt=0, le=1e6, description="seconds of cold-start tail an idle hour")
    ] = 30.0


class ControlSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of membership and the controller."""

    heartbeat_seconds: Seconds = constants.HEARTBEAT_INTERVAL_SECONDS
    suspect_after_seconds: Seconds = constants.SUSPECT_AFTER_SECONDS
    gone_after_seconds: Seconds = constants.GONE_AFTER_SECONDS
    voters: Annotated[int, Meta(ge=1, le=5, description="daemons")] = constants.MAX_VOTERS


class BackendSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A static back end, which need not be on the machine list.

    :param application: name of the application that it serves; empty for a model engine.
    """

    name: Name
    address: Address
    zone: Name = "zone"
    application: str = ""


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    name: Name
    cell: Name = "cell"
    zone: Name = "zone"
    listen: ListenSettings = ListenSettings()
    advertise_peer: Address | None = None
    peers: tuple[PeerSettings, ...] = ()
    operator_token: Annotated[str, Meta(min_length=8, description="characters")] | None = None
    platform: PlatformSettings = PlatformSettings()
    store: StoreSettings | None = None
    bounds: BoundSettings = BoundSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()
    limits: LimitSettings = LimitSettings()
    control: ControlSettings = ControlSettings()
    keep_alive: KeepAlivePolicy = KeepAlivePolicy()
    backends: tuple[BackendSettings, ...] = ()
    address_overrides: dict[str, Address] = {}
    groups: tuple[Group, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    routes: tuple[Route, ...] = ()


def load_settings(path: str, overrides: dict[str, object] | None = None) -> Settings:
    """Read a settings file and apply overrides.

    :param path: the TOML file.
    :param overrides: dotted path to value, such as ``{"listen.caller": "127.0.0.1:80"}``.
    :raises SettingsError: the file is unreadable or has faults.
    """
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError("unreadable settings", [SettingFault(path, str(error))]) from error
    for dotted, value in (overrides or {}).items():
        _set_dotted(raw, dotted, value)
    return decode_settings(raw)


def _set_dotted(raw: dict[str, Any], dotted: str, value: object) -> None:
    *parents, last = dotted.split(".")
    for parent in parents:
        raw = raw.setdefault(parent, {})
    raw[last] = value


def decode_settings(raw: dict[str, Any]) -> Settings:
    """Decode a parsed settings file.

    :raises SettingsError: it has faults.
    """
    faults = list(_find_faults(raw, Settings, ""))
    if faults:
        raise SettingsError("invalid settings", faults)
    settings = msgspec.convert(raw, Settings)
    faults = list(_find_consistency_faults(settings))
    if faults:
        raise SettingsError("invalid settings", faults)
    return settings


def _find_faults(value: Any, expected_type: Any, path: str) -> typing.Iterator[SettingFault]:
    """Yield the faults of a value, recursively for tables and lists of tables."""
    expected_type = _strip_optional(expected_type)
    if (
        isinstance(expected_type, type)
        and issubclass(expected_type, Struct)
        and isinstance(value, dict)
    ):
        yield from _find_table_faults(value, expected_type, path)
    elif typing.get_origin(expected_type) is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_faults(item, typing.get_args(expected_type)[0], f"{path}[{index}]")
    else:
        try:
            msgspec.convert(value, expected_type)
        except msgspec.ValidationError as error:
            yield SettingFault(path, f"{error}{_parenthesized(allowed_values(expected_type))}")


def _find_table_faults(
    table: dict[str, Any], expected_type: type[Struct], path: str
) -> typing.Iterator[SettingFault]:
    hints = typing.get_type_hints(expected_type, include_extras=True)
    prefix = f"{path}." if path else ""
    for key, item in table.items():
        if key in hints:
            yield from _find_faults(item, hints[key], prefix + key)
        else:
            yield SettingFault(prefix + key, f"unknown key; known are {', '.join(sorted(hints))}")
    for field in msgspec.structs.fields(expected_type):
        if field.required and field.name not in table:
            yield SettingFault(
                prefix + field.name, f"missing{_parenthesized(allowed_values(hints[field.name]))}"
            )


def _strip_optional(expected_type: Any) -> Any:
    """Return ``X`` for ``X | None``, any other type unchanged."""
    if typing.get_origin(expected_type) in (types.UnionType, typing.Union):
        others = [other for other in typing.get_args(expected_type) if other is not type(None)]
        return others[0] if len(others) == 1 else expected_type
    return expected_type


def allowed_values(expected_type: Any) -> str:
    """Return the unit and range of an annotated type as text; empty when it has none."""
    if typing.get_origin(expected_type) is not Annotated:
        return ""
    parts = []
    for meta in typing.get_args(expected_type)[1:]:
        parts += [meta.description] if meta.description else []
        parts += [f"more than {meta.gt}"] if meta.gt is not None else []
        parts += [f"at least {meta.ge}"] if meta.ge is not None else []
        parts += [f"at most {meta.le}"] if meta.le is not None else []
    if expected_type == Seconds:
        parts.insert(0, "seconds")
    return ", ".join(parts)


def _parenthesized(text: str) -> str:
    return f" ({text})" if text else ""


def _find_consistency_faults(settings: Settings) -> typing.Iterator[SettingFault]:
    """Yield inconsistencies between several keys."""
    control = settings.control
    if not control.heartbeat_seconds < control.suspect_after_seconds < control.gone_after_seconds:
        detail = (
            "heartbeat_seconds < suspect_after_seconds < gone_after_seconds must hold (seconds)"
        )
        yield SettingFault("control", detail)
    groups = {group.name for group in settings.groups}
    references: list[tuple[str, str]] = []
    references += [(f"models[{i}].group", model.group) for i, model in enumerate(settings.models)]
    references += [(f"adapters[{i}].group", item.group) for i, item in enumerate(settings.adapters)]
    references += [(f"routes[{i}].group", route.group) for i, route in enumerate(settings.routes)]
    for path, group in references:
        if group not in groups:
            yield SettingFault(path, f"group {group} is not among groups")
    versions = {(m.name, v.name) for m in settings.models for v in m.versions}
    for i, model in enumerate(settings.models):
        if (model.name, model.current) not in versions:
            yield SettingFault(f"models[{i}].current", f"{model.current} is not among its versions")
    for i, adapter in enumerate(settings.adapters):
        if (adapter.model, adapter.version) not in versions:
            detail = f"{adapter.model}@{adapter.version} is not among models"
            yield SettingFault(f"adapters[{i}].version", detail)
