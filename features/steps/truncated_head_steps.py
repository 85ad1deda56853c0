"""Steps for servers that close their connection within the head of a response."""

from typing import Any

from behave import then, when

from features.steps.pool_steps import first_daemon, pool, replies_of

REQUEST_KINDS = (("book", ""), ("look", ""), ("draft", "m1"), ("drill", "m1"))
TIMEOUT_SECONDS = 3.0


@when("requests of every kind meet heads that are cut at {count:d} places")
def step_cut_heads(context: Any, count: int) -> None:
    site = pool(context)
    for number in range(count):
        for server in site.servers.values():
            server.fault(head_share=number / count)
        for route, target in REQUEST_KINDS:
            daemon = first_daemon(context)
            site.callers.begin(
                [site.request(daemon, route, target, timeout_seconds=TIMEOUT_SECONDS)]
            )
        replies_of(context)


@then("no reply is a success")
def step_no_success(context: Any) -> None:
    replies = replies_of(context)
    successes = [r for r in replies if 200 <= r.status < 300 and r.is_complete]
    shown = [(r.status, r.headers, r.body[:100]) for r in successes[:2]]
    assert replies and not successes, (len(successes), len(replies), shown)
