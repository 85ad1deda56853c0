"""Steps about the event stream buffer and the check of a relayed stream's end."""

from typing import Any

from behave import then, when

from loomwind.http.errors import EventTruncated
from loomwind.http.event_stream import EventStreamBuffer, StreamTail


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
