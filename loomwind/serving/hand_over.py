"""Waits for a server that has fallen silent, and hands its request over to another server.

The connection to a silent server is closed only once another server has begun a valid response (of
a stream: its first event), or once the silent one is gone for certain. Until then it is read on;
what comes from it first keeps the request there, and ends the other attempt. So does the end of the
time for which two servers may have the request together; it is then sent again later.
"""

import asyncio
import enum
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import frozen

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.logs import log_decision
from loomwind.serving.errors import SendFailed
from loomwind.serving.server_attempt import Answer, Attempt
from loomwind.serving.views import ServerEntry

# Lets data that arrived while this process itself stood still be read before anything is decided.
SETTLE_MS = 20.0
RECHECK_MS = 100.0
# The deployment requirements allow two servers to work on one request for 400 ms.
OVERLAP_MS = 320.0

T = TypeVar("T")


@frozen
class MoveDecision:
    """Whether a request is moved away from a silent server.

    :ivar reason: why it is, or is not.
    :ivar replacement: an attempt at another server, for which a retry was spent; None to wait on.
    """

    reason: str
    replacement: Attempt | None = None


class MoveOutcome(enum.Enum):
    """How the attempt to move a request ended."""

    MOVED = "moved"
    RESUMED = "the silent server went on"
    FAILED = "the other server did not take it"
    UNANSWERED = "the other server was silent too"


class MovePolicy(ABC):
    """Decides whether requests are moved, and records what becomes of their attempts."""

    @abstractmethod
    def decide(self, silent: ServerEntry, silent_since_ms: float) -> MoveDecision:
        """Decide whether the request of a silent server is moved, and to which server."""

    @abstractmethod
    def has_ended(self, silent: ServerEntry) -> bool:
        """Whether the process of a silent server has certainly ended."""

    @abstractmethod
    def record_begun(self, replacement: Attempt) -> str | None:
        """Record that the request is about to be sent; returns the id of its last event."""

    @abstractmethod
    def record_unsent(self, replacement: Attempt, failure: SendFailed | None) -> None:
        """Record that nothing was sent to a replacement, which costs no retry.

        :param failure: why it could not be connected to; None if the silent server went on.
        """

    @abstractmethod
    def record_dropped(
        self, replacement: Attempt, silent: ServerEntry, failure: SendFailed | None
    ) -> None:
        """Record that a replacement that got the request was not needed, or has failed."""

    @abstractmethod
    def record_moved(self, silent: ServerEntry) -> None:
        """Record that the request was taken over from a silent server."""

    @abstractmethod
    def check(self, answer: Answer, entry: ServerEntry) -> SendFailed | None:
        """Return why the beginning of a response cannot take the place of the current one."""


class Moved(Exception):
    """Another server has taken the request over; the silent one's connection is to be closed.

    :param replacement: the attempt that goes on; the catcher has to stop it.
    """

    def __init__(self, replacement: Attempt) -> None:
        super().__init__(replacement.entry.instance)
        self.replacement = replacement


class HandOver:
    """Waits for data from the servers of one request."""

    def __init__(self, request_id: str, policy: MovePolicy) -> None:
        self._request_id = request_id
        self._policy = policy
        self._clock = Clock()

    async def answer(self, attempt: Attempt, timeout_ms: float | None) -> Answer:
        """Return the beginning of an attempt's response, however long it takes.

        :param timeout_ms: when the server counts as silent; None for never.
        :raises SendFailed: there will be none.
        :raises Moved: another server has taken the request over.
        """
        assert attempt.answering is not None
        since_ms = self._clock.now_ms()
        if not await _is_done(attempt.answering, timeout_ms):
            await self._outlast_silence(attempt.entry, attempt.answering, since_ms)
        return attempt.answering.result()

    async def read(
        self, entry: ServerEntry, read: Callable[[], Awaitable[bytes]], timeout_ms: float | None
    ) -> bytes:
        """Return the next data from a server, however long it takes.

        :param read: reads; when it is cancelled, nothing is lost.
        :raises Moved: another server has taken the request over.
        """
        since_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(None if timeout_ms is None else timeout_ms / MS_PER_SECOND):
                return await read()
        except TimeoutError:
            reading = asyncio.ensure_future(read())
        try:
            await self._outlast_silence(entry, reading, since_ms)
            return reading.result()
        finally:
            _discard(reading)

    async def _outlast_silence(
        self, silent: ServerEntry, reading: asyncio.Future[T], since_ms: float
    ) -> None:
        """Wait until a read ends; from time to time, decide whether the request is moved.

        :raises Moved: another server has taken the request over.
        :raises SendFailed: the silent server is gone, although its connection has not failed.
        """
        is_logged = False
        pause_ms = SETTLE_MS
        while not await _is_done(reading, pause_ms):
            pause_ms = RECHECK_MS
            if self._policy.has_ended(silent):
                detail = f"{silent.instance}: its process has ended"
                raise SendFailed(detail, may_have_run=True, broken=True)
            decision = self._policy.decide(silent, since_ms)
            if not is_logged:
                is_logged = True
                self._log_decision(silent, since_ms, decision)
            if decision.replacement is not None:
                await self._move(silent, reading, since_ms, decision.replacement)

    async def _move(
        self,
        silent: ServerEntry,
        reading: asyncio.Future[T],
        since_ms: float,
        replacement: Attempt,
    ) -> None:
        """Send the request to the other server; whichever server responds first goes on.

        :raises Moved: the replacement does.
        """
        is_moved = False
        begun_ms = self._clock.now_ms()
        replacement.health.moves += 1
        try:
            outcome = await self._race(silent, reading, replacement)
            is_moved = outcome is MoveOutcome.MOVED
        finally:
            replacement.health.moves -= 1
            if not is_moved:
                replacement.abandon()
        log_decision(
            "hand-over",
            self._request_id,
            server=silent.instance,
            to=replacement.entry.instance,
            outcome=outcome.value,
            responded=_has_responded(replacement),
            silent_connection=_connection_state(reading),
            silent_ms=round(self._clock.now_ms() - since_ms),
            took_ms=round(self._clock.now_ms() - begun_ms),
        )
        if is_moved:
            self._policy.record_moved(silent)
            raise Moved(replacement)

    async def _race(
        self,
        silent: ServerEntry,
        reading: asyncio.Future[T],
        replacement: Attempt,
    ) -> MoveOutcome:
        outcome = await self._connect(reading, replacement)
        if outcome is not None:
            return outcome
        answering = replacement.send(self._policy.record_begun(replacement))
        await _first_of(reading, answering, OVERLAP_MS)
        failure = self._failure(answering, replacement.entry)
        is_gone = reading.done() or self._policy.has_ended(silent)
        if failure is None and (answering.done() or is_gone) and not _has_data(reading):
            return MoveOutcome.MOVED
        self._policy.record_dropped(replacement, silent, failure)
        if reading.done():
            return MoveOutcome.RESUMED
        return MoveOutcome.UNANSWERED if failure is None else MoveOutcome.FAILED

    async def _connect(
        self, reading: asyncio.Future[T], replacement: Attempt
    ) -> MoveOutcome | None:
        """Connect to the other server; returns None unless the hand-over has ended."""
        connecting = asyncio.ensure_future(replacement.connect())
        try:
            await _first_of(reading, connecting)
            failure = _failure_of(connecting)
        finally:
            _discard(connecting)
        if failure is None and not reading.done():
            return None
        self._policy.record_unsent(replacement, failure)
        return MoveOutcome.RESUMED if reading.done() else MoveOutcome.FAILED

    def _failure(self, answering: asyncio.Future[Answer], entry: ServerEntry) -> SendFailed | None:
        """Return why an attempt cannot go on; None also while nothing is known."""
        failure = _failure_of(answering)
        if failure is None and answering.done():
            failure = self._policy.check(answering.result(), entry)
        return failure

    def _log_decision(self, silent: ServerEntry, since_ms: float, decision: MoveDecision) -> None:
        """Log the first decision of a silence; a hand-over later on has a line of its own."""
        replacement = decision.replacement
        log_decision(
            "silent",
            self._request_id,
            server=silent.instance,
            silent_ms=round(self._clock.now_ms() - since_ms),
            kept=replacement is None,
            to=replacement.entry.instance if replacement else "",
            reason=decision.reason,
        )


async def _is_done(future: asyncio.Future[T], timeout_ms: float | None) -> bool:
    """Wait until a future is done, at most for the timeout; returns whether it is."""
    timeout = None if timeout_ms is None else timeout_ms / MS_PER_SECOND
    await asyncio.wait({future}, timeout=timeout)
    return future.done()


async def _first_of(
    reading: asyncio.Future[T],
    other: asyncio.Future[Answer] | asyncio.Future[None],
    timeout_ms: float | None = None,
) -> None:
    """Wait until one of two futures is done, at most for the timeout."""
    timeout = None if timeout_ms is None else timeout_ms / MS_PER_SECOND
    futures: set[asyncio.Future[object]] = {reading, other}  # type: ignore[arg-type]
    await asyncio.wait(futures, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)


def _has_data(reading: asyncio.Future[T]) -> bool:
    """Whether a read has ended, and its connection has not failed."""
    return reading.done() and reading.exception() is None


def _has_responded(attempt: Attempt) -> bool:
    """Whether a valid response to an attempt has begun."""
    answering = attempt.answering
    if answering is None or not answering.done() or answering.cancelled():
        return False
    return answering.exception() is None


def _connection_state(reading: asyncio.Future[T]) -> str:
    """Describe the silent server's connection, for the log."""
    if not reading.done():
        return "open"
    return "data" if _has_data(reading) else "failed"


def _failure_of(future: asyncio.Future[T]) -> SendFailed | None:
    """Return the failure with which an attempt's step has ended; None if it has not.

    An error of any other kind is one of this attempt, too; the silent server keeps the request.
    """
    if not future.done() or future.cancelled():
        return None
    error = future.exception()
    if error is None or isinstance(error, SendFailed):
        return error
    return SendFailed(repr(error), may_have_run=True)


def _discard(future: asyncio.Future[T]) -> None:
    """Cancel a future whose outcome is no longer of interest."""
    if not future.cancel() and not future.cancelled():
        future.exception()
