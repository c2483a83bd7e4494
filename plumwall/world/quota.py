"""Exact token buckets of quotas and ceilings, which the judge compares the decisions of gateways with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A token bucket in units; times are in milliseconds."""

    rate: float  # units per second
    size: float
    units: float = 0.0
    at_ms: float = 0.0

    @classmethod
    def full(cls, rate: float, size: float) -> TokenBucket:
        """Return a bucket that is full at time 0."""
        return cls(rate, size, size)

    def refill(self, now: float) -> float:
        """Add the units accrued up to `now` and return the balance."""
        if now > self.at_ms:
            self.units = min(self.size, self.units + self.rate * (now - self.at_ms) / 1000)
            self.at_ms = now
        return self.units

    def take(self, now: float, units: float) -> bool:
        """Take the units if the balance covers them; return whether it did."""
        if self.refill(now) < units:
            return False
        self.units -= units
        return True

    def charge_difference(self, now: float, difference: float) -> None:
        """Take a difference found later (negative: give back); the balance may become negative."""
        self.units = min(self.size, self.refill(now) - difference)
