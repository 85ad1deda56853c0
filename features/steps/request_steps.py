"""Steps that send requests and look at the replies."""

from typing import Any

from behave import then, when

from features.support.caller import Reply, chat, plain, send
from features.support.processes import wait_until
from features.support.site import Site


def first_address(site: Site) -> str:
    """Return the caller address of the first daemon."""
    return next(iter(site.daemons.values())).address


@when('a caller asks {model} for "{prompt}"')
def step_ask(context: Any, model: str, prompt: str) -> None:
    context.replies.append(send(chat(first_address(context.site), model, prompt)))


@when('a caller asks {model} for "{prompt}" as a stream')
def step_ask_stream(context: Any, model: str, prompt: str) -> None:
    request = chat(first_address(context.site), model, prompt, stream=True)
    context.replies.append(send(request))


@when('a caller sends {method} {path} with body "{body}"')
def step_plain(context: Any, method: str, path: str, body: str) -> None:
    request = plain(first_address(context.site), method, path, body.encode())
    context.replies.append(send(request))


@then("every reply has status {status:d}")
def step_status(context: Any, status: int) -> None:
    context.replies += context.site.callers.finish()
    replies: list[Reply] = context.replies
    assert replies, "there are no replies"
    wrong = [(r.status, r.body[:300]) for r in replies if r.status != status or not r.is_complete]
    assert not wrong, wrong[:3]


@then('the reply\'s text begins with "{text}"')
def step_text(context: Any, text: str) -> None:
    assert context.replies[-1].text().startswith(text), context.replies[-1].text()


@then('the reply\'s body ends with "{text}"')
def step_body(context: Any, text: str) -> None:
    assert context.replies[-1].body.decode().endswith(text), context.replies[-1].body


@then("engines hold {artifacts}")
def step_held(context: Any, artifacts: str) -> None:
    wanted = artifacts.replace(" and ", ", ").split(", ")
    site: Site = context.site
    wait_until(
        lambda: all(any(not h["ended"] for h in site.holdings(a)) for a in wanted),
        f"engines hold {wanted}",
    )
