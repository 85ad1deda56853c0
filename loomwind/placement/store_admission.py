"""Which loads from the weight store may begin. Every order that needs one asks here. Pure.

The weight store serves few loads at once, and more models are asked for than it can bring. So each
place goes to the model that lacks a copy for most callers: one that is asked for and has none on
its way, or one whose servers are all full. Any other copy has to wait until all of these have come.
"""

from collections.abc import Mapping


class StoreAdmission:
    """The places of one plan.

    :ivar places: how many more loads may begin.
    """

    def __init__(self, slots: int, missing: Mapping[str, float]) -> None:
        """Begin a plan.

        :param places: how many more loads may be under way.
        :param missing: the models that lack a copy, with the callers that a copy would serve.
        """
        self.slots = slots
        self._missing = dict.fromkeys(sorted(missing, key=lambda name: -missing[name]))

    def admits(self, name: str) -> bool:
        """Whether a load of a model may begin: no model that goes before it needs the place."""
        if name not in self._missing:
            return self.slots > len(self._missing)
        position = list(self._missing).index(name)
        return self.slots > position

    def models_needing_copy(self) -> tuple[str, ...]:
        """Return the models that lack a copy, the next one first."""
        return tuple(self._missing)

    def discard(self, name: str) -> None:
        """Keep no place for a model: it is on its way, by whichever copy, or cannot be taken."""
        self._missing.pop(name, None)

    def acquire_slot(self) -> None:
        """A load from the weight store begins, or another model makes way for one."""
        self.slots -= 1
