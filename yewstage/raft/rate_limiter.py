"""A limit on all copying out of a process, so that copying groups does not starve replication."""

from __future__ import annotations


class CopyRateLimiter:
    """A limit in bytes per second, shared by all groups of a process. Reads no clock: times are the caller's,
    in ms.

    In any period T, at most `bytes_per_s` x T bytes plus one part are sent. New entries and heartbeats, which
    go to every replica anyway, do not count as copying and are not delayed.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self.bytes_per_s = bytes_per_s  # 0: no limit
        self.free_at = float("-inf")
        self.copied_bytes = 0

    def may_send(self, now: float) -> bool:
        """Whether a part may be sent now."""
        return now >= self.free_at

    def record(self, now: float, size: int) -> None:
        """Account for a part that is sent."""
        self.copied_bytes += size
        if self.bytes_per_s:
            self.free_at = max(now, self.free_at) + size / self.bytes_per_s * 1000
