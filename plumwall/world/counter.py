"""The quota counter: numbers by name, so many calls a second, a line that turns calls away when it is long.

Pure: told the time in milliseconds, it says when an answer is ready.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

FORGET_MS = 60_000.0  # the longest life of a name
SWEEP = 4096  # names, past which those that are over are looked for


@dataclass(slots=True, frozen=True)
class Counted:
    """What a call comes to: a total, or None where it was turned away, and when it is told."""

    total: float | None
    at_ms: float


class Counter:
    """Every name lies on one of the parts, which serves its calls in turn."""

    def __init__(self, calls_per_s: float, parts: int, call_ms: float, queue_ms: float) -> None:
        self._turn_ms, self._call_ms, self._queue_ms = 1000.0 * parts / calls_per_s, call_ms, queue_ms
        self._free_at = [0.0] * parts
        self._totals: dict[str, tuple[float, float]] = {}  # name: total, when it is forgotten
        self.down = False
        self.answered = self.turned_away = self.unheard = 0

    def add(self, now: float, name: str, amount: float, ttl_ms: float) -> Counted | None:
        """One call; None while the service is down, which tells nobody anything."""
        if self.down:
            self.unheard += 1
            return None
        part = zlib.crc32(name.encode()) % len(self._free_at)
        begins = max(now, self._free_at[part])
        if begins - now > self._queue_ms:
            self.turned_away += 1
            return Counted(None, now + self._call_ms)
        self._free_at[part] = begins + self._turn_ms
        self.answered += 1
        # Answers of one name are in the order of its calls, so the total can be told now.
        total, over = self._totals.get(name, (0.0, 0.0))
        if over <= now:
            total, over = 0.0, now + min(max(ttl_ms, 1.0), FORGET_MS)
        self._totals[name] = total + amount, over
        if len(self._totals) > SWEEP:
            self._totals = {n: kept for n, kept in self._totals.items() if kept[1] > now}
        return Counted(total + amount, begins + self._turn_ms + self._call_ms)

    def fail(self) -> None:
        """It goes silent; what it held is lost."""
        self.down = True
        self._totals.clear()

    def recover(self, now: float) -> None:
        """It is back elsewhere, empty."""
        self.down = False
        self._free_at = [now] * len(self._free_at)
