"""A queue with priority classes and weighted deficit round robin among the groups of a class."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from loomwind import constants

Item = TypeVar("Item")


class _GroupQueue(Generic[Item]):
    """The waiting items of one group in one priority class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.items: deque[Item] = deque()

    def pop_eligible(self, eligible: Callable[[Item], bool]) -> Item | None:
        """Remove and return the first item that can be served now."""
        for index, item in enumerate(self.items):
            if eligible(item):
                del self.items[index]
                return item
        return None


class _PriorityClass(Generic[Item]):
    """Deficit round robin over the groups of one class; each round adds the relative weights."""

    def __init__(self) -> None:
        self.groups: dict[str, _GroupQueue[Item]] = {}
        self._order: deque[str] = deque()

    def push(self, group: str, weight: float, item: Item) -> None:
        if group not in self.groups:
            self.groups[group] = _GroupQueue(weight)
            self._order.append(group)
        queue = self.groups[group]
        queue.weight = weight
        queue.items.append(item)

    def pop(self, eligible: Callable[[Item], bool]) -> Item | None:
        eligible_groups = {
            name for name in self._order if any(map(eligible, self.groups[name].items))
        }
        while eligible_groups:
            name = self._order[0]
            queue = self.groups[name]
            if name in eligible_groups and queue.deficit >= constants.FAIR_QUEUE_QUANTUM:
                item = queue.pop_eligible(eligible)
                queue.deficit -= constants.FAIR_QUEUE_QUANTUM
                self._drop_if_empty(name)
                return item
            self._order.rotate(-1)
            if name in eligible_groups:
                max_weight = max(self.groups[other].weight for other in eligible_groups)
                queue.deficit += queue.weight / max_weight
        return None

    def _drop_if_empty(self, name: str) -> None:
        if not self.groups[name].items:
            del self.groups[name]
            self._order.remove(name)

    def remove(self, group: str, item: Item) -> bool:
        queue = self.groups.get(group)
        if queue is None or item not in queue.items:
            return False
        queue.items.remove(item)
        self._drop_if_empty(group)
        return True


class FairQueue(Generic[Item]):
    """Waiting items by priority class and group. Uses no clock."""

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass[Item]] = {}

    def push(self, priority: int, group: str, weight: float, item: Item) -> None:
        """Append an item to its group's queue.

        :param weight: the group's new weight, greater than 0.
        """
        self._classes.setdefault(priority, _PriorityClass()).push(group, weight, item)

    def pop(self, eligible: Callable[[Item], bool]) -> Item | None:
        """Remove and return the next item that can be served now, from the highest class first."""
        for priority in sorted(self._classes, reverse=True):
            item = self._classes[priority].pop(eligible)
            if item is not None:
                return item
        return None

    def remove(self, priority: int, group: str, item: Item) -> bool:
        """Remove a waiting item, and return whether it was in the queue."""
        priority_class = self._classes.get(priority)
        return priority_class is not None and priority_class.remove(group, item)

    def count(self, group: str) -> int:
        """Return the number of waiting items of a group in all classes."""
        queues = [c.groups[group] for c in self._classes.values() if group in c.groups]
        return sum(len(queue.items) for queue in queues)

    def __iter__(self) -> Iterator[Item]:
        for priority_class in self._classes.values():
            for queue in priority_class.groups.values():
                yield from queue.items
