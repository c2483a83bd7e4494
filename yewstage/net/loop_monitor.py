"""Measures how long the event loop is held up, and how long data may have lain unread because of it."""

from __future__ import annotations

import asyncio
import time

HEARTBEAT_INTERVAL_S = 0.05
STALL_THRESHOLD_S = 0.005  # a heartbeat that is later than this counts as a stall
# A stall applies to the data that is read in the turn of the loop after the heartbeat that saw it.
STALL_MEMORY_S = 0.001


class LoopMonitor:
    """A heartbeat timer of the event loop. All times are of the monotonic clock, in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._due_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._current_stall_s = 0.0
        self.stall_count = 0
        self.longest_stall_s = 0.0

    def start(self) -> None:
        """Start the heartbeat."""
        self._due_at = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def read_delay_s(self, now: float) -> float:
        """Upper bound on how long data that is read now may have waited because the loop was held up.

        The due time of the heartbeat is checked too: a loop that was stopped in its poll reads sockets before
        it runs timers, so the heartbeat may not have recorded the stall yet.
        """
        late_s = now - self._due_at
        return late_s if late_s > STALL_THRESHOLD_S else self._current_stall_s

    def metrics(self) -> dict[str, float]:
        """Number of stalls and the longest one, since the start of the process."""
        return {
            "loop_stalls_total": self.stall_count,
            "loop_stall_longest_seconds": round(self.longest_stall_s, 3),
        }

    def _beat(self) -> None:
        now = time.monotonic()
        late_s = now - self._due_at
        if late_s > STALL_THRESHOLD_S:
            self.stall_count += 1
            self.longest_stall_s = max(self.longest_stall_s, late_s)
            self._current_stall_s = late_s
            self._loop.call_later(STALL_MEMORY_S, self._end_stall)
        self._due_at = now + HEARTBEAT_INTERVAL_S
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _end_stall(self) -> None:
        self._current_stall_s = 0.0


class ReadGap:
    """When input that is read now can have arrived, for a source that the event loop may have left unread.

    The source is a connection, or the backlog of a listening socket. `unread_since_s` is since when input may
    lie there already; None if there was none when reading began.
    """

    __slots__ = ("_monitor", "_unread_since_s", "_reading_since_s")

    def __init__(self, monitor: LoopMonitor, unread_since_s: float | None = None) -> None:
        self._monitor, self._unread_since_s = monitor, unread_since_s
        self._reading_since_s = 0.0

    def pause(self) -> None:
        """Reading is paused from now on."""
        if self._unread_since_s is None:
            self._unread_since_s = time.monotonic()

    def resume(self) -> None:
        """The event loop reads from now on."""
        self._reading_since_s = time.monotonic()

    def is_open(self) -> bool:
        """Whether input may lie there that came while nothing was read."""
        return self._unread_since_s is not None

    def end(self) -> None:
        """All input that lay there has been read."""
        self._unread_since_s = None

    def earliest_arrival_s(self, now: float) -> float:
        """The earliest time at which input that is read now can have arrived."""
        loop_delay_s = self._monitor.read_delay_s(now)
        arrival_s = now - loop_delay_s
        # Input that lay there when reading began would have been read by this time.
        is_new = now - self._reading_since_s > HEARTBEAT_INTERVAL_S + loop_delay_s
        return arrival_s if self._unread_since_s is None or is_new else min(arrival_s, self._unread_since_s)
