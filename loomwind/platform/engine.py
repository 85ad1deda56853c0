"""Implements :class:`loomwind.serving.ports.EngineControl` for the platform's model servers."""

from collections.abc import Callable

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from loomwind import constants
from loomwind.decoding import DecodeError, decode_json
from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectFailed, HttpError, RequestExpired
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.logs import log_state
from loomwind.platform.dialect import (
    EXPECT_INSTANCE,
    INSTANCE,
    MISDIRECTED_STATUS,
    parse_rejection_limit,
)
from loomwind.platform.documents import Count, WireHeldModel, convert_held_models
from loomwind.serving.ports import EngineControl, MalformedDocument
from loomwind.serving.views import (
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerReport,
)

# Room for the names of some thousand models and adapters. A leader reads the reports of 50 servers
# at the same time, of which each may be without end.
MAX_REPORT_BYTES = 256 * constants.KIBIBYTE
ORDER_ANSWER_BY_STATUS = {
    200: OrderAnswer.ALREADY,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REJECTED,
}


class WireCachedWeights(Struct, rename="kebab"):
    """Models whose weights a server keeps a copy of outside its accelerators.

    :param resident: models with a copy in host memory.
    :param disk_cached: models with a copy on its disk.
    """

    resident: list[str] = []
    disk_cached: list[str] = []


class WireReport(Struct, rename="kebab"):
    """A model server's report on its state.

    :param seq: the number of orders that this process has accepted.
    :param busy: whether it is executing an order.
    :param pending: adapters that are being loaded, as ``model/adapter@...``.
    :param born: start of its process, in milliseconds of Unix time.
    """

    seq: Count = 0
    busy: bool = False
    models: list[WireHeldModel] = []
    waiting: Count = 0
    running: Count = 0
    kv_used: Count = 0
    kv_total: Count = 0
    pending: list[str] = []
    available: WireCachedWeights = msgspec.field(default_factory=WireCachedWeights)
    born: Count | None = None


class PlatformEngineControl(EngineControl):
    """Reads reports over connections of their own, and sends each order over a new connection."""

    def __init__(self, reports: HttpClient, unpooled: HttpClient) -> None:
        """Create the control of servers, whose responses do not name the order or report.

        :param reports: used for nothing else, so that a surplus response on a reused connection is
            an earlier report.
        :param unpooled: a client without idle connections.
        """
        self._reports = reports
        self._unpooled = unpooled

    async def read_report(
        self, entry: ServerEntry, timeout: float, on_new_connection: bool = False
    ) -> ServerReport | None:
        """Return a server's report; see :meth:`EngineControl.read_report`."""
        headers = ((EXPECT_INSTANCE, entry.name),)
        client = self._unpooled if on_new_connection else self._reports
        try:
            response = await client.request(
                entry.address, HttpRequest("GET", "/report", headers), timeout, MAX_REPORT_BYTES
            )
            if response.status != 200 or _is_other_server(response, entry):
                return None
            report = decode_report(response.body)
        except HttpError:
            return None
        except MalformedDocument as error:
            log_state("server", "report-unreadable", server=entry.instance, error=str(error))
            return None
        if _was_restarted(report, entry):
            return None
        return replace(report, max_rejections_per_second=parse_rejection_limit(response))

    async def send_order(
        self,
        entry: ServerEntry,
        order: Order,
        timeout: float,
        remaining_seconds: Callable[[], float],
    ) -> OrderAnswer:
        """Send an order; see :meth:`EngineControl.send_order`."""
        body: dict[str, str | int] = {
            "op": order.kind.value,
            "model": order.target.model,
            "holder": order.holder,
            "fencing-token": order.fence,
            "expect-revision": order.expected_revision,
        }
        if order.target.adapter:
            body["adapter"] = order.target.adapter
        headers = ((EXPECT_INSTANCE, entry.name), ("content-type", "application/json"))
        request = HttpRequest("POST", "/order", headers, msgspec.json.encode(body))
        try:
            response = await self._unpooled.request(
                entry.address, request, timeout, MAX_REPORT_BYTES, remaining_seconds
            )
        except RequestExpired:
            return OrderAnswer.EXPIRED
        except ConnectFailed:
            return OrderAnswer.REJECTED
        except HttpError:
            return OrderAnswer.UNKNOWN
        if response.status == MISDIRECTED_STATUS:
            return _misdirected_answer(response, entry, order)
        return ORDER_ANSWER_BY_STATUS.get(response.status, OrderAnswer.UNKNOWN)


def _is_other_server(response: HttpResponse, entry: ServerEntry) -> bool:
    """Whether another server than the listed one responded at the address."""
    return response.header(INSTANCE) not in (None, entry.name)


def _misdirected_answer(response: HttpResponse, entry: ServerEntry, order: Order) -> OrderAnswer:
    """Return whether another instance responded, or the listed one lacks the order's target.

    If the response does not name an instance, only the load of a model's weights is certain: it
    needs nothing that the server could lack.
    """
    if _is_other_server(response, entry):
        return OrderAnswer.OTHER_INSTANCE
    loads_weights = order.kind is OrderKind.LOAD and not order.target.adapter
    if loads_weights and response.header(INSTANCE) is None:
        return OrderAnswer.OTHER_INSTANCE
    return OrderAnswer.MISSING_TARGET


def _was_restarted(report: ServerReport, entry: ServerEntry) -> bool:
    """Whether the server's process is not the listed one, but one of the same name."""
    if report.started_at_ms is None or entry.started_at_ms is None:
        return False
    return report.started_at_ms != entry.started_at_ms


def decode_report(body: bytes) -> ServerReport:
    """Decode a model server's report.

    :raises MalformedDocument: the body is not a valid report.
    """
    try:
        wire = decode_json(body, WireReport)
    except DecodeError as error:
        raise MalformedDocument(f"report: {error}") from error
    return ServerReport(
        revision=wire.seq,
        busy=wire.busy,
        held=convert_held_models(wire.models),
        waiting=wire.waiting,
        running=wire.running,
        kv_used=wire.kv_used,
        kv_total=wire.kv_total,
        pending_adapters=tuple(_parse_pending_adapter(text) for text in wire.pending),
        in_memory=frozenset(wire.available.resident),
        on_disk=frozenset(wire.available.disk_cached),
        started_at_ms=wire.born,
    )


def _parse_pending_adapter(text: str) -> ModelKey:
    model, _, adapter = text.partition("@")[0].partition("/")
    return ModelKey(model, adapter)
