"""Steps about the event stream buffer and the check of a relayed stream's end."""

from typing import Any

from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from loomwind import constants
from loomwind.http import event_stream
from loomwind.http.errors import EventTooLarge, EventTruncated
from loomwind.http.event_stream import EVENT_END, EventStreamBuffer, StreamTail

# Fixes the examples; each feeds the event in writes of one size.
EXAMPLES_SEED = 4_120_601
MIN_WRITE_BYTES = 64
MAX_WRITE_BYTES = 64 * constants.KIBIBYTE
MAX_SEARCHES_PER_BYTE = 4


@when("a stream ends with the bytes {tail}")
def step_stream(context: Any, tail: str) -> None:
    """Feed the bytes one at a time, as a slow server may send them."""
    context.event_buffer = EventStreamBuffer()
    context.stream = tail.encode().decode("unicode_escape").encode()
    context.passed_on = b"".join(
        context.event_buffer.feed(bytes([byte])) for byte in context.stream
    )


@then("{count:d} complete events were passed on, the last one with id {last}")
def step_events(context: Any, count: int, last: str) -> None:
    assert context.event_buffer.event_count == count, context.event_buffer.event_count
    assert (context.event_buffer.last_event_id or "none") == last, (
        context.event_buffer.last_event_id
    )


def stream_tail(context: Any) -> StreamTail:
    """Return the tail that a relay without an event buffer keeps of the stream."""
    tail = StreamTail()
    for byte in context.stream:
        tail.feed(bytes([byte]))
    return tail


@then("the stream is complete")
def step_complete(context: Any) -> None:
    assert context.passed_on + context.event_buffer.finish() == context.stream


@then("the stream is truncated")
def step_truncated(context: Any) -> None:
    for finish in (context.event_buffer.finish, stream_tail(context).finish):
        try:
            finish()
        except EventTruncated:
            continue
        raise AssertionError(f"accepted a truncated stream: {finish}")


class CountingPattern:
    """The pattern of an event's end, which counts the bytes that are searched with it."""

    def __init__(self) -> None:
        self.searched_bytes = 0

    def finditer(self, data: bytearray, start: int = 0) -> Any:
        """Search as :data:`EVENT_END` does."""
        self.searched_bytes += len(data) - start
        return EVENT_END.finditer(data, start)


def _feed_in_writes(event: bytes, write_bytes: int) -> bytes:
    event_buffer = EventStreamBuffer()
    writes = (event[i : i + write_bytes] for i in range(0, len(event), write_bytes))
    return b"".join(event_buffer.feed(write) for write in writes)


@when("an event of the size limit comes in writes of random sizes, in {count:d} runs")
def step_largest_event(context: Any, count: int) -> None:
    event = b"data: ".ljust(constants.MAX_EVENT_BYTES, b"d") + b"\n\n"
    context.largest_event = event
    context.results = []

    @seed(EXAMPLES_SEED)
    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(MIN_WRITE_BYTES, MAX_WRITE_BYTES))
    def run(write_bytes: int) -> None:
        pattern = CountingPattern()
        event_stream.EVENT_END = pattern  # type: ignore[assignment]
        try:
            context.results.append((_feed_in_writes(event, write_bytes), pattern.searched_bytes))
        finally:
            event_stream.EVENT_END = EVENT_END

    run()


@then("it was passed on whole each time, and no byte was searched more than 4 times")
def step_passed_on(context: Any) -> None:
    event = context.largest_event
    assert all(passed_on == event for passed_on, _ in context.results)
    searched_bytes = max(searched for _, searched in context.results)
    assert searched_bytes <= MAX_SEARCHES_PER_BYTE * len(event), searched_bytes


@when("a write ends an event and begins one of the size limit and 1 byte more")
def step_ends_and_begins(context: Any) -> None:
    context.event_buffer = EventStreamBuffer()
    context.event_buffer.feed(b"id: 1\ndata")
    write = b": a\n\n" + b"d" * (constants.MAX_EVENT_BYTES + 1)
    context.passed_on = context.event_buffer.feed(write)


@then("the ended event was passed on, and the next write fails the stream")
def step_fails_next(context: Any) -> None:
    assert context.passed_on == b"id: 1\ndata: a\n\n", context.passed_on[:60]
    try:
        context.event_buffer.feed(b"d")
    except EventTooLarge:
        return
    raise AssertionError("an event over the size limit is buffered")
