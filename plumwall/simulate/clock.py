"""Virtual time: runs callbacks in order of their time; those of one time in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable

LOAD_START_UNIX_MS = 1.7e12  # Unix time at which the load begins, arbitrary but fixed


class Timer:
    """A scheduled callback; `callback` is None once it has run or is cancelled."""

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable[..., None], args: tuple) -> None:
        self.callback, self.args = callback, args

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class Clock:
    """Event queue and current time `now`, in milliseconds since the load began."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Timer]] = []
        self._sequence = 0

    def at(self, at_ms: float, callback: Callable[..., None], *args: object) -> Timer:
        """Schedule a call at a time, or at the current time if that has passed."""
        timer = Timer(callback, args)
        self._sequence += 1
        heapq.heappush(self._queue, (max(at_ms, self.now), self._sequence, timer))
        return timer

    def after(self, delay_ms: float, callback: Callable[..., None], *args: object) -> Timer:
        """Schedule a call after a delay."""
        return self.at(self.now + delay_ms, callback, *args)

    def run(self, until_ms: float, is_over: Callable[[], bool] = lambda: False) -> None:
        """Run the callbacks up to a time, or until `is_over` returns True."""
        queue = self._queue
        while queue and queue[0][0] <= until_ms and not is_over():
            self.now, _, timer = heapq.heappop(queue)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback(*timer.args)
        if not is_over():
            self.now = max(self.now, until_ms)
