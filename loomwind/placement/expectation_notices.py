"""Decides which daemons get the expected ready times of models their requests wait for. No I/O.

A daemon gets them in reply to its report, and unprompted when a time has changed: in a large fleet
its next report, and thus the next reply, is seconds away.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from loomwind.serving.demand import DemandKey
from loomwind.serving.expectations import VALID_MS, ExpectedTarget

# Smaller changes do not affect a daemon's decision for a request.
MIN_CHANGE_MS = 250.0
# Below VALID_MS, so that daemons get a new notice before the last one expires.
REPEAT_INTERVAL_MS = 0.6 * VALID_MS


@attrs.frozen
class _Notice:
    """The last notice sent to a daemon.

    :ivar ready_at_ms: the expected ready time of each target, on the leader's clock.
    """

    sent_at_ms: float
    ready_at_ms: Mapping[DemandKey, float]


class ExpectationNotices:
    """Tracks the last notice sent to each daemon."""

    def __init__(self) -> None:
        self._sent: dict[str, _Notice] = {}

    def due(
        self,
        waiting: Mapping[str, Sequence[DemandKey]],
        expected: Mapping[DemandKey, ExpectedTarget],
        reported: Collection[str],
        now_ms: float,
    ) -> dict[str, tuple[ExpectedTarget, ...]]:
        """Return the notices to send now, by daemon name.

        :param waiting: the targets that requests wait for, by daemon name.
        :param reported: the daemons that have reported since the last step.
        """
        self._sent = {name: sent for name, sent in self._sent.items() if waiting.get(name)}
        notices = {}
        for name, keys in waiting.items():
            targets = tuple(expected[key] for key in keys if key in expected)
            if targets and (name in reported or self._is_outdated(name, targets, now_ms)):
                ready_at = {each.key: now_ms + each.ready_in_ms for each in targets}
                self._sent[name] = _Notice(now_ms, ready_at)
                notices[name] = targets
        return notices

    def _is_outdated(self, name: str, targets: Sequence[ExpectedTarget], now_ms: float) -> bool:
        """Whether the last notice has different ready times or is too old."""
        sent = self._sent.get(name)
        if sent is None or now_ms - sent.sent_at_ms >= REPEAT_INTERVAL_MS:
            return True
        return any(
            abs(sent.ready_at_ms.get(each.key, float("inf")) - now_ms - each.ready_in_ms)
            > MIN_CHANGE_MS
            for each in targets
        )
