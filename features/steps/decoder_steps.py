"""Steps for documents that others write: altered at random, or with one odd entry among them."""

import asyncio
import copy
import json
import random
from collections.abc import Callable
from typing import Any, cast

import attrs
import msgspec
from behave import given, then, when

from features.steps.server_list_steps import replicated_state
from features.support.fake_store import DaemonStoreClient, FakeStore, server_document
from loomwind.leadership.election import decode_holder
from loomwind.messages.serving import PoolDigest
from loomwind.peering.errors import BadFrame
from loomwind.peering.frames import Envelope, FrameReader, encode
from loomwind.pipeline.errors import RequestRefused
from loomwind.pipeline.identify import decode_chat_body
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.platform.engine import decode_report
from loomwind.platform.store import parse_rows
from loomwind.serving.errors import MalformedOrigins, MalformedVersions
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.peers import decode_peer
from loomwind.serving.ports import MalformedDocument, Snapshot, Store, StoreUnavailable
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.stream_origins import StreamOrigin, decode_origins, encode_origins
from loomwind.serving.version_registry import decode_versions

ERRORS = {
    error.__name__: error
    for error in (
        MalformedDocument,
        StoreUnavailable,
        MalformedVersions,
        MalformedOrigins,
        BadFrame,
        RequestRefused,
    )
}
NESTED = 100_000
ROUTE = {"name": "r", "host": "h", "path-prefix": "/", "kind": "streaming", "timeout-ms": 8000}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE | {"target-latency-ms": 500, "service": "tutor"}],
    "services": [{"name": "tutor", "engine": {"models": [], "slots": 8, "weights-mb": 2.5}}],
    "limits": {"max-header-bytes": 16384},
}
SERVER = {
    "service": "tutor",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "version": "v1",
    "slots": 8,
    "seq": 3,
    "models": [{"name": "m1", "adapters": ["a1"]}],
    "remaining-ms": 100.0,
    "born": 1000,
}
REPORT = {"seq": 3, "busy": False, "models": [{"name": "m1"}], "waiting": 1, "kv-used": 10}
RESPONSE = {"ver": 4, "rows": [{"key": "s1", "ver": 3, "value": "e30="}], "more": False}
PEER = {"address": "10.0.0.1:7000", "zone": "z", "life": "l1", "relay": "10.0.0.1:7001"}
HOLDER = {"name": "daemon-1", "incarnation": "l1", "address": "10.0.0.1:7000"}
CHAT = {"model": "tutor", "messages": [{"role": "user", "content": "hello"}], "stream": True}
# Numbers are written as JSON text, since some of them are beyond any type.
ODD_JSON = (
    "[" * NESTED + "]" * NESTED,
    '{"a":' * NESTED + "1" + "}" * NESTED,
    "9" * 400,
    "-1",
    "0",
    str(2**70),
    "1e308",
    "-1e308",
    "1e400",
    "null",
    '""',
    '"\\ud800"',
    '"999.1.1.1:80"',
    '"10.0.0.1:0"',
    '"10.0.0.1:65536"',
    '"' + "x" * 5000 + '"',
    "[]",
    "{}",
    "true",
)
PLACEHOLDER = "@odd@"
Decode = Callable[[bytes], object]


def _feed(data: bytes) -> object:
    return FrameReader().feed(data)


def _decode_chat(data: bytes) -> object:
    return decode_chat_body(data).model


ORIGINS = {1: StreamOrigin("tutor", "v1"), 2: StreamOrigin("tutor", "v2")}
FRAME = encode(Envelope(1, False, PoolDigest("a:1", 3, 4, True)))
DECODERS: dict[str, tuple[Decode, dict[str, Any] | list[Any] | bytes]] = {
    "configurations": (PlatformDocumentParser().parse_configuration, CONFIGURATION),
    "server entries": (lambda data: PlatformDocumentParser().parse_server("s1", data), SERVER),
    "server reports": (decode_report, REPORT),
    "store responses": (parse_rows, RESPONSE),
    "daemon rows": (decode_peer, PEER),
    "lease rows": (decode_holder, HOLDER),
    "software versions": (decode_versions, [["tutor", ["v1", "v2"]]]),
    "stream origins": (decode_origins, encode_origins(ORIGINS)),
    "peer frames": (_feed, FRAME),
    "chat bodies": (_decode_chat, CHAT),
}


def _alter(source: random.Random, document: dict[str, Any] | list[Any] | bytes) -> bytes:
    """Return a document with an odd value, an unknown field, or altered bytes."""
    if isinstance(document, bytes):
        return _alter_bytes(source, document)
    kind = source.random()
    if kind < 0.2:
        return _alter_bytes(source, json.dumps(document).encode())
    altered = copy.deepcopy(document)
    if kind < 0.3 and isinstance(altered, dict):
        altered["unknown"] = PLACEHOLDER
    else:
        _replace_leaf(source, altered)
    text = json.dumps(altered).replace(f'"{PLACEHOLDER}"', source.choice(ODD_JSON))
    return text.encode()


def _replace_leaf(source: random.Random, node: Any) -> None:
    """Put the placeholder in place of a value at any depth."""
    keys = list(node) if isinstance(node, dict) else list(range(len(node)))
    if not keys:
        return
    key = source.choice(keys)
    if isinstance(node[key], dict | list) and source.random() < 0.6:
        _replace_leaf(source, node[key])
    else:
        node[key] = PLACEHOLDER


def _alter_bytes(source: random.Random, data: bytes) -> bytes:
    altered = bytearray(data)
    for _ in range(source.randint(1, 4)):
        place = source.randrange(len(altered))
        altered[place] = source.randrange(256)
    end = source.randint(1, len(altered)) if source.random() < 0.3 else len(altered)
    nested = b"\x91" * NESTED if source.random() < 0.1 else b""
    return nested + bytes(altered[:end])


@when("{count:d} altered {documents} are decoded, seed {seed:d}")
def step_decode(context: Any, count: int, documents: str, seed: int) -> None:
    decode, document = DECODERS[documents]
    source = random.Random(seed)
    context.decoded = []
    context.decode_errors = []
    for _ in range(count):
        data = _alter(source, document)
        try:
            context.decoded.append(decode(data))
        except Exception as error:
            context.decode_errors.append(error)


@then("each was decoded or rejected with {error:w}")
def step_rejected(context: Any, error: str) -> None:
    expected = ERRORS[error]
    others = {type(each).__name__ for each in context.decode_errors if type(each) is not expected}
    assert context.decode_errors, "nothing was rejected"
    assert not others, others


@then("each decoded one can be sent to peers")
def step_encodable(context: Any) -> None:
    for decoded in context.decoded:
        as_text = attrs.asdict(decoded) if attrs.has(type(decoded)) else decoded
        msgspec.msgpack.encode(as_text, enc_hook=str)


# One odd entry among those of the servers.


def _with(field: str, value: str) -> bytes:
    fields = {"service": "tutor", "address": "a:1", "zone": "z", "state": "ready"}
    text = json.dumps(fields | {field: PLACEHOLDER})
    return text.replace(f'"{PLACEHOLDER}"', value).encode()


DEFECTS = {
    "no defect": server_document("ready"),
    f"{NESTED} nested arrays": _with("x", ODD_JSON[0]),
    f"{NESTED} nested objects": _with("x", ODD_JSON[1]),
    "a revision of 400 digits": _with("seq", "9" * 400),
    "a revision of 2 to the 70": _with("seq", str(2**70)),
    "a negative revision": _with("seq", "-1"),
    "no slots": _with("slots", "0"),
    "a negative number of slots": _with("slots", "-1"),
    "slots of 2 to the 70": _with("slots", str(2**70)),
    "a remaining time of 1e308": _with("remaining-ms", "1e308"),
    "port 0": _with("address", '"a:0"'),
    "port 65536": _with("address", '"a:65536"'),
    "address 999.1.1.1": _with("address", '"999.1.1.1:80"'),
    "invalid bytes": b"\xff\xfe{{",
}


@given("a store that lists s1, odd, s2 and s3, where odd has {defect}")
def step_store(context: Any, defect: str) -> None:
    context.listing = [("s1", server_document("ready")), ("odd", DEFECTS[defect])]
    context.listing += [(name, server_document("ready")) for name in ("s2", "s3")]
    context.state = None
    context.failures = 0


@given("applying the rows of the list fails once")
def step_fail_once(context: Any) -> None:
    context.failures = 1


@when("a daemon reads the list and polls it {count:d} times")
def step_read(context: Any, count: int) -> None:
    context.polls = count + 1
    asyncio.run(_follow(context))


@when("{name:w} is listed, and the daemon polls {count:d} times")
def step_listed(context: Any, name: str, count: int) -> None:
    context.listing.append((name, server_document("ready")))
    context.polls = count
    asyncio.run(_follow(context))


async def _follow(context: Any) -> None:
    """Poll a store with the rows of the scenario; the follower goes on where it stopped."""
    store = FakeStore(0)
    for name, document in context.listing:
        store.put(name, document)
    state = context.state or replicated_state()

    def apply(snapshot: Snapshot, is_full: bool) -> None:
        if context.failures:
            context.failures -= 1
            raise RuntimeError("the rows cannot be applied")
        state.on_server_rows(snapshot, is_full)

    client = cast(Store, DaemonStoreClient(store, "daemon-1"))
    follower = TableFollower(client, "servers", StoreHealth(), apply)
    if context.state is not None:
        follower.resume_from(state.server_version)
    for _ in range(context.polls):
        await follower.poll_once(0.0)
    context.state = state


@then("it knows {names}")
def step_knows(context: Any, names: str) -> None:
    expected = names.replace(" and ", ", ").split(", ")
    state: ReplicatedState = context.state
    assert sorted(entry.name for entry in state.pool.directory.entries()) == sorted(expected)


@given("applying the first list of a mirror fails")
def step_fail_first_list(context: Any) -> None:
    context.fake_mirrors.sends_broken_list = True
