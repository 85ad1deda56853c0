"""What became of callers that were refused for want of their model, from daemons' logs.

A caller that asks again sends the same prompt, so its tries are linked by the part of the prompt
that is its own. Callers also come back that were told that they cannot be served.
"""

from collections.abc import Iterable
from enum import Enum

import attrs

from loomwind.explain import REQUEST_TYPE, LogLine


class FirstAnswer(Enum):
    """What a caller was told when it was refused first."""

    PROMISED = "come-back"
    HOPELESS = "hopeless"


ANSWERS = {answer.value: answer for answer in FirstAnswer}


@attrs.frozen
class PromiseAccount:
    """Callers that were refused, by what they were told first, and those refused again.

    :ivar promised: told that their model should be there when they return.
    :ivar broken: of those, refused again.
    :ivar hopeless: told that they cannot be served.
    :ivar returned: of those, came back and were refused again.
    """

    promised: int = 0
    broken: int = 0
    hopeless: int = 0
    returned: int = 0


def promise_account(lines: Iterable[LogLine]) -> PromiseAccount:
    """Return the account of all lines, which are in order of time."""
    told: dict[tuple[str, str], FirstAnswer] = {}
    again: set[tuple[str, str]] = set()
    for line in lines:
        decision = str(line.get("decision"))
        if line.kind != REQUEST_TYPE or decision not in ANSWERS:
            continue
        caller = caller_of(line)
        if caller in told:
            again.add(caller)
        else:
            told[caller] = ANSWERS[decision]
    first = list(told.values())
    refused = [told[caller] for caller in again]
    return PromiseAccount(
        promised=first.count(FirstAnswer.PROMISED),
        broken=refused.count(FirstAnswer.PROMISED),
        hopeless=first.count(FirstAnswer.HOPELESS),
        returned=refused.count(FirstAnswer.HOPELESS),
    )


def caller_of(line: LogLine) -> tuple[str, str]:
    """Return what identifies the caller of a refused request: its own part and its target."""
    return (str(line.get("own_part")), str(line.get("target")))
