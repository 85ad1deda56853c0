"""Steps about the pure cutter of event streams."""

from typing import Any

from behave import then, when

from loomwind.serving.errors import StreamEndedInsideEvent
from loomwind.serving.event_stream import EventCutter


@when("a stream ends with the bytes {tail}")
def step_stream(context: Any, tail: str) -> None:
    """Feed the bytes one by one, as a slow server may send them."""
    context.cutter = EventCutter()
    context.stream = tail.encode().decode("unicode_escape").encode()
    context.passed = b"".join(context.cutter.feed(bytes([byte])) for byte in context.stream)


@then("{count:d} events have passed, the last one with id {last}")
def step_events(context: Any, count: int, last: str) -> None:
    assert context.cutter.events == count, context.cutter.events
    assert (context.cutter.last_event_id or "none") == last, context.cutter.last_event_id


@then("the stream is whole")
def step_whole(context: Any) -> None:
    assert context.passed + context.cutter.end() == context.stream


@then("the stream broke off")
def step_broke_off(context: Any) -> None:
    try:
        context.cutter.end()
    except StreamEndedInsideEvent:
        return
    raise AssertionError("the end was taken for a proper one")
