"""A request's wait for a place at a server, ended once it cannot succeed in time."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from loomwind.clock import MS_PER_SECOND
from loomwind.logs import log_decision
from loomwind.serving.errors import NoPlace
from loomwind.serving.model_wait import wait_limits
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry
from loomwind.serving.wait_policy import Wait, decide

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler


class PlaceWait:
    """The wait of one request while every server that can run it is full.

    It is decided once, with the requests that wait then, so that later ones can't end it.
    """

    def __init__(
        self,
        handler: "RequestHandler",
        service: str,
        route: RouteRule,
        caller: CallerRequest,
        arrived: float,
        deadline: float,
    ) -> None:
        """Prepare to wait.

        :param arrived: loop time at which the request arrived or its stream was interrupted.
        :param deadline: loop time at which the request times out.
        """
        self._handler = handler
        self._admission = handler.admission
        self._service = service
        self._caller = caller
        self._limits = wait_limits(route, arrived, deadline)
        self._until_ms = float("-inf")

    async def wait(self, entries: Sequence[ServerEntry]) -> ServerEntry | None:
        """Wait for a permit of one of the servers that can run the request.

        :returns: the server that the permit is for; None if the servers, and whether the request
            is banned, should be looked up again.
        :raises NoPlace: the request is refused, with a time after which to retry.
        """
        now_ms = self._handler.now() * MS_PER_SECOND
        if now_ms >= self._until_ms:
            self._until_ms = self._decide(entries, now_ms)
        entry = await self._admission.wait_for_permit(
            entries, self._limits.arrived_ms, self._until_ms - now_ms
        )
        if entry is not None and self._handler.prompts.banned_for_ms(self._caller) > 0:
            self._admission.give_back(entry)
            return None
        return entry

    def _decide(self, entries: Sequence[ServerEntry], now_ms: float) -> float:
        """Return until when to wait.

        :raises NoPlace: the request is refused, with a time after which to retry.
        """
        place_in_ms = self._admission.place_in_ms(entries)
        hold_ms = self._admission.hold_ms(self._service)
        decision = decide(self._limits, now_ms, place_in_ms, hold_ms)
        if isinstance(decision, Wait):
            return decision.until_ms
        log_decision(
            "no-place",
            self._caller.request_id,
            service=self._service,
            place_in_ms=None if place_in_ms is None else round(place_in_ms),
            hold_ms=round(hold_ms),
            servers=len(entries),
            after_ms=round(decision.after_ms),
            stays_ms=round(self._limits.wait_until_ms - now_ms),
        )
        raise NoPlace(decision.after_ms / MS_PER_SECOND)
