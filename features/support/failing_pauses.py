"""Pauses of model servers while others fail new streams, beside changes and reloads."""

from collections.abc import Callable

from features.support.pause_faults import PauseFaults

PAUSES_BETWEEN_ACTIONS_SECONDS = (0.1, 0.4)


class FailingPauses(PauseFaults):
    """Suspends model servers beside failures; daemons run all the time."""

    def strike(self) -> float:
        """Take one action, run what is due, and return the pause in seconds."""
        self._run_due()
        self._source.choice(self._faults())()
        return self._source.uniform(*PAUSES_BETWEEN_ACTIONS_SECONDS)

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            *[self._suspend_beside_failures] * 6,
            *[self._change_configuration] * 2,
            *[self._reload_daemon] * 2,
        )
