"""Steps for requests to a server that answers with any sequence of responses and failures."""

import asyncio
from collections.abc import Sequence
from typing import Any

from attrs import frozen
from behave import then, when
from hypothesis import given as given_examples
from hypothesis import seed, settings
from hypothesis import strategies as st

from features.steps.refusal_outcome_steps import (
    AMPLE_RETRIES,
    MAX_ATTEMPTS,
    NOT_RUN_STATUSES,
    REQUEST_ID,
    SCRIPTS,
    request,
)
from features.steps.unanswered_steps import EXAMPLES
from features.support.local_daemon import apply_server, listening_daemon, request_handler
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from features.support.scripted_server import Deadline, Part, Script, scripted_server

EXAMPLES_SEED = 20_261_262
MAX_REQUESTS = 3
MAX_SENDS = 5


@frozen
class Step:
    """What the server does with one send of a request.

    :ivar deadline_after: the number of parts after which the daemon ends all requests; None if it
        does not.
    """

    answer: str
    deadline_after: int | None

    def script(self) -> Script:
        """Return the script of the server."""
        script = SCRIPTS[self.answer]
        if self.deadline_after is None:
            return script
        return Script(lambda request_id: self._interrupted(script, request_id), script.runs)

    def _interrupted(self, script: Script, request_id: str) -> list[Part]:
        parts = list(script.parts(request_id))
        return [*parts[: self.deadline_after], Deadline(), *parts[self.deadline_after :]]


@frozen
class RequestSeries:
    """What became of requests with one id."""

    steps: Sequence[Step]
    replies: Sequence[RawReply]
    runs: int


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(sorted(SCRIPTS)),
        st.one_of(st.none(), st.none(), st.integers(min_value=0, max_value=2)),
    ),
    min_size=1,
    max_size=MAX_SENDS,
)


@when("once-only requests that reuse an id meet {count:d} sequences of answers")
def step_sequences(context: Any, count: int) -> None:
    context.series = []

    @seed(EXAMPLES_SEED)
    @settings(EXAMPLES, max_examples=count)
    @given_examples(STEPS, st.integers(min_value=1, max_value=MAX_REQUESTS), st.booleans())
    def run(steps: list[Step], requests: int, at_once: bool) -> None:
        context.series.append(asyncio.run(_send(steps, requests, at_once)))

    run()


async def _send(steps: Sequence[Step], requests: int, at_once: bool) -> RequestSeries:
    async with listening_daemon(MAX_ATTEMPTS) as daemon:
        handler = request_handler(daemon)
        handler.pool.set_bounds(AMPLE_RETRIES)
        scripts = [step.script() for step in steps]
        async with scripted_server(scripts, handler.end_all_requests) as server:
            apply_server(daemon, server.port)
            sends = [exchange_bytes(daemon.callers.port, request("book")) for _ in range(requests)]
            if at_once:
                received = await asyncio.gather(*sends)
            else:
                received = [await send for send in sends]
    replies = [parse_replies(each, ["POST"])[0] for each in received]
    return RequestSeries(steps, replies, server.runs[REQUEST_ID])


@then("each gets a whole response")
def step_whole(context: Any) -> None:
    for sequence in context.series:
        assert all(reply.is_complete for reply in sequence.replies), sequence


@then("they ran at most as often as callers were not told that they have not")
def step_runs(context: Any) -> None:
    for sequence in context.series:
        statuses = [reply.status for reply in sequence.replies]
        may_have_run = [status for status in statuses if status not in NOT_RUN_STATUSES]
        served = [status for status in statuses if status == 200]
        assert len(served) <= sequence.runs <= len(may_have_run), sequence


@then("some were served, some not run and some ended with an unknown outcome")
def step_varied(context: Any) -> None:
    statuses = {reply.status for each in context.series for reply in each.replies}
    assert {200, 502, 503, 504} <= statuses, statuses
