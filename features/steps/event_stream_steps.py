"""Steps about the pure cutter of event streams."""

from typing import Any

from behave import then, when

from loomwind.http.errors import EventTruncated
from loomwind.http.event_stream import EventStreamBuffer, StreamTail


@when("a stream ends with the bytes {tail}")
def step_stream(context: Any, tail: str) -> None:
    """Feed the bytes one by one, as a slow server may send them."""
    context.event_buffer = EventStreamBuffer()
    context.stream = tail.encode().decode("unicode_escape").encode()
    context.passed = b"".join(context.event_buffer.feed(bytes([byte])) for byte in context.stream)


@then("{count:d} events have passed, the last one with id {last}")
def step_events(context: Any, count: int, last: str) -> None:
    assert context.event_buffer.event_count == count, context.event_buffer.event_count
    assert (context.event_buffer.last_event_id or "none") == last, (
        context.event_buffer.last_event_id
    )


def tail_of(context: Any) -> StreamTail:
    """Return the tail of the stream, as a relay that looks for no events has it."""
    tail = StreamTail()
    for byte in context.stream:
        tail.feed(bytes([byte]))
    return tail


@then("the stream is whole")
def step_whole(context: Any) -> None:
    assert context.passed + context.event_buffer.finish() == context.stream


@then("the stream broke off")
def step_broke_off(context: Any) -> None:
    for end in (context.event_buffer.finish, tail_of(context).finish):
        try:
            end()
        except EventTruncated:
            continue
        raise AssertionError(f"the end was taken for a proper one: {end}")
