"""Virtual time: what is due, in order; of one moment, in the order in which it was set."""

from __future__ import annotations

import heapq
from collections.abc import Callable

UNIX_MS = 1.7e12  # what the machines' clocks say as the load begins


class Timer:
    """Something that is due, unless it is called off; `call` is None once it is neither."""

    __slots__ = ("call", "args")

    def __init__(self, call: Callable[..., None], args: tuple) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """It does not happen."""
        self.call = None


class Clock:
    """Milliseconds since the load began."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Timer]] = []
        self._order = 0

    def at(self, at_ms: float, call: Callable[..., None], *args: object) -> Timer:
        """Call at a time, or now if it has passed."""
        timer = Timer(call, args)
        self._order += 1
        heapq.heappush(self._queue, (max(at_ms, self.now), self._order, timer))
        return timer

    def after(self, in_ms: float, call: Callable[..., None], *args: object) -> Timer:
        """Call some time from now."""
        return self.at(self.now + in_ms, call, *args)

    def run(self, until_ms: float, over: Callable[[], bool] = lambda: False) -> None:
        """Play to a time, or until all is over."""
        queue = self._queue
        while queue and queue[0][0] <= until_ms and not over():
            self.now, _, timer = heapq.heappop(queue)
            call, timer.call = timer.call, None
            if call is not None:
                call(*timer.args)
        if not over():
            self.now = max(self.now, until_ms)
