"""Second stage: determines the target, its group and whether the request may be retried."""

from collections.abc import Callable

import msgspec
from msgspec import Struct

from loomwind.catalog.model import Catalog
from loomwind.decoding import DecodeError, decode_json
from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.types import Application, IdentifiedRequest, ParsedRequest, Target
from loomwind.schema import Artifact, Group

CHAT_PATH = "/v1/chat/completions"
ROUTE_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class ChatBody(Struct):
    """The fields of a chat-completions body that are checked or used for routing."""

    model: str
    messages: list[dict[str, msgspec.Raw]]
    stream: bool = False


IsReady = Callable[[Artifact], bool]


def identify(parsed: ParsedRequest, catalog: Catalog, is_ready: IsReady) -> IdentifiedRequest:
    """Return the request with its target.

    :param is_ready: returns whether any engine serves an artifact now.
    :raises RequestRefused: the target does not exist, or the request is invalid.
    """
    if parsed.http.path == CHAT_PATH:
        return _identify_chat(parsed, catalog, is_ready)
    return _identify_route(parsed, catalog)


def _identify_chat(parsed: ParsedRequest, catalog: Catalog, is_ready: IsReady) -> IdentifiedRequest:
    if parsed.http.method != "POST":
        raise RequestRefused(Problem.METHOD_NOT_ALLOWED, f"{CHAT_PATH} takes POST only")
    body = decode_chat_body(parsed.http.body)
    target = serving_version(body.model, resolve_model(body.model, catalog), catalog, is_ready)
    # Generation has no side effects, so it may be repeated unless the caller sends a key.
    repeatable = parsed.idempotency_key is None
    return _identified(parsed, catalog, target, catalog.owner(target), repeatable)


def decode_chat_body(body: bytes) -> ChatBody:
    """Decode the body of a chat-completions request.

    :raises RequestRefused: it is not valid.
    """
    try:
        return decode_json(body, ChatBody)
    except DecodeError as error:
        raise RequestRefused(Problem.INVALID_BODY, str(error)) from error


def resolve_model(name: str, catalog: Catalog) -> Artifact:
    """Return the artifact for a name: ``MODEL``, ``MODEL@VERSION`` or ``ADAPTER``.

    :raises RequestRefused: the catalog has no such model, version or adapter.
    """
    model_name, _, version = name.partition("@")
    model = catalog.model(model_name)
    if model is not None:
        wanted = version or model.current
        if model.version(wanted) is None:
            detail = f"model {model_name} has no version {wanted}"
            raise RequestRefused(Problem.UNKNOWN_MODEL, detail)
        return Artifact(model_name, wanted)
    adapter = catalog.adapter(name)
    if adapter is not None:
        return Artifact(adapter.model, adapter.version, adapter.name)
    raise RequestRefused(Problem.UNKNOWN_MODEL, f"no model or adapter is named {name!r}")


def serving_version(name: str, target: Artifact, catalog: Catalog, is_ready: IsReady) -> Artifact:
    """Return the target, or the model's previous version until the current one is loaded.

    This avoids an interruption while the current version changes. It applies only to callers that
    named no version.
    """
    model = catalog.model(name)
    if model is None or is_ready(target):
        return target
    previous = Artifact(model.name, catalog.previous_version(model.name))
    return previous if is_ready(previous) else target


def _identify_route(parsed: ParsedRequest, catalog: Catalog) -> IdentifiedRequest:
    path = parsed.http.path
    route = next((r for r in catalog.routes() if _matches(r.prefix, path)), None)
    if route is None:
        raise RequestRefused(Problem.UNKNOWN_ROUTE, f"no route serves {path}")
    method = parsed.http.method
    if method not in ROUTE_METHODS:
        raise RequestRefused(Problem.METHOD_NOT_ALLOWED, f"routes do not take {method}")
    safe = method in SAFE_METHODS
    repeatable = (safe or route.repeatable) and parsed.idempotency_key is None
    target = Application(route.application)
    return _identified(parsed, catalog, target, route.group, repeatable)


def _matches(prefix: str, path: str) -> bool:
    return path.startswith(prefix) and (
        prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
    )


def _identified(
    parsed: ParsedRequest, catalog: Catalog, target: Target, owner: str, repeatable: bool
) -> IdentifiedRequest:
    group = catalog.group(owner)
    if group is None:
        raise RequestRefused(Problem.UNKNOWN_GROUP, f"group {owner!r} does not exist")
    _check_group_header(parsed, group)
    return IdentifiedRequest(
        parsed=parsed,
        target=target,
        group=group.name,
        share=group.share,
        priority=group.priority,
        max_waiting=group.max_waiting,
        repeatable=repeatable,
    )


def _check_group_header(parsed: ParsedRequest, group: Group) -> None:
    """Refuse a request whose ``x-group`` header names a group that does not own the target."""
    named = parsed.http.header("x-group")
    if named is not None and named != group.name:
        detail = f"group {named!r} does not own the target"
        raise RequestRefused(Problem.UNKNOWN_GROUP, detail)
