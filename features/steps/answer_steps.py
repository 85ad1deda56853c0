"""Steps that look at many replies: in time, whole, the caller's own, refused in a stated way."""

from typing import Any

from behave import then, when

from features.support.acting import finished
from features.support.caller import Request
from features.support.checking import describe, is_own_answer, is_refusal
from features.support.processes import wait_until
from features.support.site import Site

LATE_LIMIT_SECONDS = 1.0


def sent_by_id(context: Any) -> dict[str, Request]:
    """Return the requests of the scenario by their ids."""
    return {request.headers["x-request-id"]: request for request in context.sent}


@when("the replies are forgotten")
def step_forget(context: Any) -> None:
    finished(context)
    context.replies = []


@then("every reply is a refusal {problem}, {outcome}, with Retry-After")
def step_refusal_problem(context: Any, problem: str, outcome: str) -> None:
    wrong = [r for r in finished(context) if not is_refusal(r, problem, outcome, retry=True)]
    assert not wrong, describe(wrong)


@then("every reply is a refusal, {outcome}, with Retry-After")
def step_refusal_retry(context: Any, outcome: str) -> None:
    wrong = [r for r in finished(context) if not is_refusal(r, "", outcome, retry=True)]
    assert not wrong, describe(wrong)


@then("every reply is a refusal")
def step_refusal(context: Any) -> None:
    wrong = [r for r in finished(context) if not is_refusal(r)]
    assert not wrong, describe(wrong)


@then("every reply is a refusal, unknown")
def step_refusal_unknown(context: Any) -> None:
    wrong = [r for r in finished(context) if not is_refusal(r, "", "unknown")]
    assert not wrong, describe(wrong)


@then("every reply is a success, or a refusal that says not-run")
def step_success_or_refusal(context: Any) -> None:
    wrong = [r for r in finished(context) if r.status != 200 and not is_refusal(r, "", "not-run")]
    assert not wrong, describe(wrong)


@then("some replies are refusals {problem} with Retry-After")
def step_some_refusals(context: Any, problem: str) -> None:
    assert any(is_refusal(r, problem, "not-run", retry=True) for r in finished(context))


@then("the replies that are not successes are refusals {problem}, {outcome}")
def step_other_refusals(context: Any, problem: str, outcome: str) -> None:
    replies = [r for r in finished(context) if r.status not in (0, 200)]
    wrong = [r for r in replies if not is_refusal(r, problem, outcome)]
    assert not wrong, describe(wrong)


@then("the refusals came well before the deadline")
def step_early(context: Any) -> None:
    for reply in finished(context):
        seconds = float(reply.headers["retry-after"])
        assert reply.seconds * 2 < reply.timeout_seconds, (reply.seconds, seconds)


@then("every request got exactly one final answer in time")
def step_in_time(context: Any) -> None:
    replies = finished(context)
    lost = [r for r in replies if r.status == 0]
    assert not lost, f"{len(lost)} requests got no answer"
    late = [r.late_seconds for r in replies if r.late_seconds > LATE_LIMIT_SECONDS]
    assert not late, f"answers came {late} s after their deadline"


@then("every answer is whole and the caller's own")
def step_own(context: Any) -> None:
    requests = sent_by_id(context)
    wrong = [r for r in finished(context) if not is_own_answer(r, requests[r.request_id])]
    assert not wrong, describe(wrong)


@then("every answer is whole and the caller's own, or a refusal")
def step_own_or_refusal(context: Any) -> None:
    requests = sent_by_id(context)
    wrong = [
        r
        for r in finished(context)
        if not is_own_answer(r, requests[r.request_id]) and not is_refusal(r)
    ]
    assert not wrong, describe(wrong)


@then("no answer is whole")
def step_none_whole(context: Any) -> None:
    complete = [r for r in finished(context) if r.is_complete and r.status == 200]
    assert not complete, describe(complete)


@then("every answer that is not whole says so")
def step_says_so(context: Any) -> None:
    requests = sent_by_id(context)
    for reply in finished(context):
        if is_own_answer(reply, requests[reply.request_id]) or is_refusal(reply):
            continue
        visible = not reply.is_complete and b"event: error\ndata: {" in reply.body
        assert visible, describe([reply])


@then("each daemon has accepted as many requests as it answered, refused and cancelled")
def step_balance(context: Any) -> None:
    site: Site = context.site
    for daemon in site.daemons.values():
        wait_until(
            lambda daemon=daemon: daemon.metric("loomwind_requests_waiting") == 0,  # type: ignore[misc]
            "nothing waits",
        )
        accepted = daemon.metric("loomwind_requests_accepted_total")
        ended = sum(
            daemon.metric(f"loomwind_requests_{end}_total")
            for end in ("answered", "refused", "cancelled")
        )
        assert accepted == ended > 0, (accepted, ended)
