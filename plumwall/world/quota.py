"""The stores of a customer as they truly are: what the judge goes by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Units that fill at a rate up to a size; starts full."""

    rate: float  # units a second
    size: float
    units: float = 0.0
    at_ms: float = 0.0

    @classmethod
    def full(cls, rate: float, size: float) -> TokenBucket:
        """A store at its start."""
        return cls(rate, size, size)

    def refill(self, now: float) -> float:
        """What it holds at a time."""
        if now > self.at_ms:
            self.units = min(self.size, self.units + self.rate * (now - self.at_ms) / 1000)
            self.at_ms = now
        return self.units

    def take(self, now: float, units: float) -> bool:
        """Take units if they are there."""
        if self.refill(now) < units:
            return False
        self.units -= units
        return True

    def adjust(self, now: float, more: float) -> None:
        """Take a difference that was found out later, or give it back; it may go below nothing."""
        self.units = min(self.size, self.refill(now) - more)
