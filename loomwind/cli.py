"""The command line interface; ``loomwind --help`` lists the exit statuses.

Imports delay the restart of a killed daemon, so ``serve`` imports only what the configured daemon
needs, and other commands import their modules when they are called.
"""

import asyncio
import os
import signal
import sys
from functools import cached_property
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from loomwind import __version__, logs
from loomwind.clock import Clock
from loomwind.constants import DEFAULT_OPERATOR_ADDRESS
from loomwind.errors import LoomwindError
from loomwind.reload import SettingsReloader
from loomwind.settings import Settings, SettingsError, load_settings

if TYPE_CHECKING:
    from loomwind.daemon import Daemon
    from loomwind.operator.commands import ObjectCommands, VersionCommands
    from loomwind.serving.daemon import PoolDaemon

EXIT_FAILED = 1
EXIT_USAGE = 2
SETTINGS_VARIABLE = "LOOMWIND_SETTINGS"


def _load_settings_or_exit(path: str, overrides: dict[str, object]) -> Settings:
    """Return the settings; prints all faults and exits when there are any."""
    try:
        return load_settings(path, overrides)
    except SettingsError as error:
        for fault in error.exceptions:
            print(fault, file=sys.stderr)
        count = len(error.exceptions)
        print(f"{path}: {count} fault{'s' if count > 1 else ''}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _settings_path(path: str) -> str:
    """Return the given path, or else the one in the environment; exits when there is neither."""
    resolved = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not resolved:
        print(f"no settings file: pass --settings or set {SETTINGS_VARIABLE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return resolved


async def _serve(settings: Settings, path: Path, overrides: dict[str, object]) -> None:
    """Run the pool daemon when the settings have a store, the catalog daemon otherwise."""
    if settings.store is not None:
        from loomwind.platform.deployment import create_pool_daemon

        writer = logs.log_to_stdout(settings.name)
        flusher = asyncio.get_running_loop().create_task(writer.run())
        daemon = create_pool_daemon(settings, settings.store)
        daemon.metrics.log_lines_dropped.set_function(lambda: writer.total_dropped)
        await _run_until_signal(daemon, settings, path, overrides)
        flusher.cancel()
        writer.flush()
    else:
        from loomwind.daemon import Daemon

        logs.log_to_stderr()
        await _run_until_signal(Daemon(settings), settings, path, overrides)


async def _run_until_signal(
    daemon: "Daemon | PoolDaemon", settings: Settings, path: Path, overrides: dict[str, object]
) -> None:
    """Run a daemon until SIGTERM or SIGINT, and reload changed settings meanwhile."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    reloader = SettingsReloader(
        path, lambda: load_settings(str(path), overrides), settings, daemon, Clock()
    )
    reloader.install_signal_handler()
    await daemon.start()
    reload_task = loop.create_task(reloader.run())
    await stop.wait()
    await daemon.stop()
    reload_task.cancel()


def _object_commands(name: str, kind: str) -> "ObjectCommands":
    """Return the commands for one kind of catalog object."""
    from loomwind.operator import operator_pb2 as pb
    from loomwind.operator.commands import ObjectCommands

    return ObjectCommands(name, getattr(pb, kind))


class Commands:
    """Loomwind serves many rarely used models from one shared pool of accelerators.

    Operator commands take --address and --token (or LOOMWIND_OPERATOR_TOKEN). Exit statuses:
    0 success, 1 failure, 2 invalid settings or arguments, 3 conflict, 4 not found, 5 unavailable,
    6 not authenticated.
    """

    @cached_property
    def group(self) -> "ObjectCommands":
        """Put, get, list and remove groups."""
        return _object_commands("group", "KIND_GROUP")

    @cached_property
    def model(self) -> "ObjectCommands":
        """Put, get, list and remove models."""
        return _object_commands("model", "KIND_MODEL")

    @cached_property
    def adapter(self) -> "ObjectCommands":
        """Put, get, list and remove adapters."""
        return _object_commands("adapter", "KIND_ADAPTER")

    @cached_property
    def route(self) -> "ObjectCommands":
        """Put, get, list and remove routes."""
        return _object_commands("route", "KIND_ROUTE")

    @cached_property
    def version(self) -> "VersionCommands":
        """Add versions of models and select the current one."""
        from loomwind.operator.commands import VersionCommands

        return VersionCommands()

    def status(
        self, address: str = DEFAULT_OPERATOR_ADDRESS, token: str = "", json: bool = False
    ) -> None:
        """Show placements, queues, daemons and the configuration version.

        Args:
            address: host:port of any daemon's operator endpoint.
            token: the operator token; default: LOOMWIND_OPERATOR_TOKEN.
            json: print JSON instead of text.
        """
        from loomwind.operator.commands import show_status

        show_status(address, token, json)

    def drain(
        self,
        backend: str,
        end: bool = False,
        address: str = DEFAULT_OPERATOR_ADDRESS,
        token: str = "",
    ) -> None:
        """Drain an engine or application server: send it no new requests.

        Args:
            backend: its name in the machine list.
            end: stop draining it.
            address: host:port of any daemon's operator endpoint.
            token: the operator token; default: LOOMWIND_OPERATOR_TOKEN.
        """
        from loomwind.operator.commands import set_drain

        set_drain(backend, not end, address, token)

    def serve(
        self,
        settings: str = "",
        name: str = "",
        cell: str = "",
        zone: str = "",
        caller: str = "",
        peer: str = "",
        operator: str = "",
        admin: str = "",
    ) -> None:
        """Run a daemon; SIGTERM or SIGINT shuts it down gracefully.

        All options but the first override values of the settings file.

        Args:
            settings: path of the TOML settings file; default: LOOMWIND_SETTINGS.
            name: the name of the daemon.
            cell: its cell.
            zone: its zone.
            caller: host:port that callers connect to.
            peer: host:port that other daemons connect to.
            operator: host:port that operators connect to.
            admin: host:port for metrics and health checks.
        """
        flags: dict[str, object] = {"name": name, "cell": cell, "zone": zone}
        listen = {"caller": caller, "peer": peer, "operator": operator, "admin": admin}
        flags |= {f"listen.{key}": value for key, value in listen.items()}
        path = _settings_path(settings)
        overrides = {key: value for key, value in flags.items() if value}
        loaded = _load_settings_or_exit(path, overrides)
        try:
            asyncio.run(_serve(loaded, Path(path), overrides))
        except OSError as error:
            print(f"cannot listen: {error}", file=sys.stderr)
            sys.exit(EXIT_FAILED)

    def check_config(self, settings: str, explain: bool = False) -> None:
        """Check a settings file and list all faults.

        Args:
            settings: path of the TOML settings file.
            explain: list every setting with its value, source, unit and range.
        """
        from loomwind.settings_table import setting_rows

        loaded = _load_settings_or_exit(settings, {})
        for row in setting_rows(loaded, Path(settings)) if explain else ():
            print(row)
        print(f"{settings}: daemon {loaded.name} of cell {loaded.cell}, no faults")

    def explain(self, request: str, *logs: str, json: bool = False) -> None:
        """Show from logs what happened to a request, and the likely cause.

        Args:
            request: the id of the request.
            logs: log files of one or more daemons.
            json: print a JSON document instead of text.
        """
        from loomwind import explain

        explain.print_request_history(request, logs, json)

    def timeline(self, *logs: str, start: float = 0.0, end: float = 0.0) -> None:
        """List state changes of daemons, and the number of request decisions per second.

        Args:
            logs: log files of one or more daemons.
            start: show lines from this Unix time on, in seconds; default: from the first line.
            end: show lines up to this Unix time, in seconds; default: to the last line.
        """
        from loomwind import explain

        explain.print_timeline(logs, start, end)

    def demo(self) -> None:
        """Serve a cold and a warm request in one process, with a simulated platform and engine."""
        from loomwind.demo import run_demo

        sys.exit(asyncio.run(run_demo()))


def main() -> None:
    """Run the command line interface."""
    if sys.argv[1:] == ["--version"]:
        print(__version__)
        return
    try:
        fire.Fire(Commands(), name="loomwind")
    except LoomwindError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
