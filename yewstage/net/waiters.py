"""Attempts that wait for a connection to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from yewstage.net.link import Link


class Waiter(Protocol):
    """Waits for a link."""

    class_name: str  # waiters of different classes take turns

    def connection_ready(self, link: Link) -> None:
        """Called with a link, which now belongs to the waiter."""

    def connection_failed(self, result: str, cause: str) -> None:
        """Called when the server could not be reached, or no descriptor was left."""


class WaiterQueue:
    """Waiters for links to one server: first in, first out within a class, the classes in turn."""

    __slots__ = ("_queues", "count")

    def __init__(self) -> None:
        self._queues: dict[str, dict[Waiter, None]] = {}  # by class; the class whose turn is next comes first
        self.count = 0

    def add(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its class."""
        self.count += 1
        self._queues.setdefault(waiter.class_name, {})[waiter] = None

    def discard(self, waiter: Waiter) -> bool:
        """Remove a waiter; False if it is not queued here."""
        queue = self._queues.get(waiter.class_name, {})
        if waiter not in queue:
            return False
        del queue[waiter]
        self.count -= 1
        if not queue:
            del self._queues[waiter.class_name]
        return True

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter; None if there is none."""
        if not self._queues:
            return None
        class_name, queue = next(iter(self._queues.items()))
        waiter = next(iter(queue))
        self.discard(waiter)
        if class_name in self._queues:  # move the class behind the others
            self._queues[class_name] = self._queues.pop(class_name)
        return waiter

    def pop_of_longest(self) -> Waiter | None:
        """Remove and return the first waiter of the class with the longest queue; None if there is none."""
        if not self._queues:
            return None
        waiter = next(iter(max(self._queues.values(), key=len)))
        self.discard(waiter)
        return waiter
