"""Admission control for loads from the weight store, used by every order that needs one. Pure.

The weight store serves only a few concurrent loads, and more models may be requested than it can
deliver. Each slot therefore goes to the next scheduled model that needs a copy: a requested model
that is neither loaded nor loading, or a model whose servers are all full. All other copies wait
until these have been served.
"""

from collections.abc import Iterable
from itertools import islice


class StoreAdmission:
    """Allocates the load slots of one plan.

    :ivar slots: the number of loads that may still start.
    """

    def __init__(self, slots: int, missing: Iterable[str]) -> None:
        """Initialize the slots.

        :param slots: the number of loads that may still start.
        :param missing: models that need a copy, in the order in which they should be loaded.
        """
        self.slots = slots
        self._missing = dict.fromkeys(missing)

    def admits(self, name: str) -> bool:
        """Return whether a slot is left for a model after all models scheduled before it."""
        if name not in self._missing:
            return self.slots > len(self._missing)
        return name in islice(self._missing, max(0, self.slots))

    def models_needing_copy(self) -> tuple[str, ...]:
        """Return the models that need a copy, in the order in which they should be loaded."""
        return tuple(self._missing)

    def discard(self, name: str) -> None:
        """Stop reserving a slot for a model that is being loaded or that no server can take."""
        self._missing.pop(name, None)

    def acquire_slot(self) -> None:
        """Use one slot, for a load or for an unload that frees memory for one."""
        self.slots -= 1
