"""Judgements about replies."""

import json

from features.support.caller import Reply, Request

REFUSAL_TYPE = "urn:loomwind:problem:"


def expected_text(request: Request) -> str:
    """Return the text that an engine generates for a request."""
    body = json.loads(request.body)
    prompt = body["messages"][-1]["content"]
    return "".join(f"{prompt}/{index} " for index in range(body["max_tokens"]))


def is_own_answer(reply: Reply, request: Request) -> bool:
    """Return whether a reply is the whole answer to a request."""
    if reply.status != 200 or not reply.is_complete:
        return False
    return reply.text() == expected_text(request)


def is_refusal(reply: Reply, problem: str = "", outcome: str = "", retry: bool = False) -> bool:
    """Return whether a reply is a typed refusal of the given kind."""
    if reply.headers.get("content-type") != "application/problem+json":
        return False
    body = reply.problem()
    typed = body["type"].startswith(REFUSAL_TYPE) and body["outcome"] == reply.outcome
    fits = problem in body["type"] and outcome in reply.outcome
    return typed and fits and (not retry or int(reply.headers["retry-after"]) >= 1)


def describe(replies: list[Reply]) -> list[object]:
    """Return the first few replies in short, for a failure's text."""
    return [(r.status, r.outcome, r.is_complete, r.body[-200:]) for r in replies[:4]]
