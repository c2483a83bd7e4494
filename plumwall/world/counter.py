"""Model of the quota counter: named totals with a limited call rate and a bounded queue.

The model has no clock: it is passed the time in milliseconds and returns when an answer is ready.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

MAX_TTL_MS = 60_000.0  # upper bound of the lifetime of a total
SWEEP_THRESHOLD_NAMES = 4096  # expired totals are removed when more names than this are held


@dataclass(slots=True, frozen=True)
class Counted:
    """Answer of one call: its time, and the total or None if the queue was full."""

    total: float | None
    at_ms: float


class Counter:
    """Totals by name, partitioned by a hash of the name; each partition serves its calls in order."""

    def __init__(self, calls_per_s: float, partitions: int, call_ms: float, queue_ms: float) -> None:
        self._service_ms, self._call_ms, self._queue_ms = 1000.0 * partitions / calls_per_s, call_ms, queue_ms
        self._free_at_ms = [0.0] * partitions
        self._totals: dict[str, tuple[float, float]] = {}  # by name: total, expiry time
        self.is_down = False
        self.answered_count = self.rejected_count = self.unanswered_count = 0

    def add(self, now: float, name: str, amount: float, ttl_ms: float) -> Counted | None:
        """Add to a total, which expires `ttl_ms` after its first call; None (no answer) while it is down."""
        if self.is_down:
            self.unanswered_count += 1
            return None
        partition = zlib.crc32(name.encode()) % len(self._free_at_ms)
        begins_ms = max(now, self._free_at_ms[partition])
        if begins_ms - now > self._queue_ms:
            self.rejected_count += 1
            return Counted(None, now + self._call_ms)
        self._free_at_ms[partition] = begins_ms + self._service_ms
        self.answered_count += 1
        # A partition answers in the order of its calls, so the total is final before the answer is due.
        total, expires_ms = self._totals.get(name, (0.0, 0.0))
        if expires_ms <= now:
            total, expires_ms = 0.0, now + min(max(ttl_ms, 1.0), MAX_TTL_MS)
        self._totals[name] = total + amount, expires_ms
        if len(self._totals) > SWEEP_THRESHOLD_NAMES:
            self._totals = {name_: held for name_, held in self._totals.items() if held[1] > now}
        return Counted(total + amount, begins_ms + self._service_ms + self._call_ms)

    def fail(self) -> None:
        """Stop answering and lose all totals."""
        self.is_down = True
        self._totals.clear()

    def recover(self, now: float) -> None:
        """Answer again, with no totals, as a service started on another machine does."""
        self.is_down = False
        self._free_at_ms = [now] * len(self._free_at_ms)
