"""Whom the leader tells when the models that requests wait for should be there. Pure.

A daemon is answered when it reports, and told without asking when the time has moved: in a large
fleet its next report, and so its next answer, is seconds away.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from loomwind.serving.demand import DemandKey
from loomwind.serving.expectations import VALID_MS, ExpectedTarget

# A smaller change would not change what a daemon decides for a request.
MIN_CHANGE_MS = 250.0
# Before the daemon takes the leader's word for outdated.
REPEAT_INTERVAL_MS = 0.6 * VALID_MS


@attrs.frozen
class _Notice:
    """What a daemon was told.

    :ivar ready_at_ms: when each target should be there, a time of the clock.
    """

    sent_at_ms: float
    ready_at_ms: Mapping[DemandKey, float]


class ExpectationNotices:
    """What each daemon was told last."""

    def __init__(self) -> None:
        self._sent: dict[str, _Notice] = {}

    def due(
        self,
        waiting: Mapping[str, Sequence[DemandKey]],
        expected: Mapping[DemandKey, ExpectedTarget],
        reported: Collection[str],
        now_ms: float,
    ) -> dict[str, tuple[ExpectedTarget, ...]]:
        """Return what to tell now, by the daemon's name.

        :param waiting: what requests wait for, by the daemon's name.
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
        """Whether a daemon was told something else, or nothing lately."""
        sent = self._sent.get(name)
        if sent is None or now_ms - sent.sent_at_ms >= REPEAT_INTERVAL_MS:
            return True
        return any(
            abs(sent.ready_at_ms.get(each.key, float("inf")) - now_ms - each.ready_in_ms)
            > MIN_CHANGE_MS
            for each in targets
        )
