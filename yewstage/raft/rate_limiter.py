"""One bound on all copying out of a process: whole copies must not take the links from what keeps them."""

from __future__ import annotations


class CopyRateLimiter:
    """Bytes a second, shared by all groups of a process. Pure: the caller's clock, ms.

    In any time T no more than `bytes_per_s` x T bytes leave, and one part besides. What is on its way to
    every copy anyhow (new entries, signs of life) is not copying and does not wait here.
    """

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self.bytes_per_s = bytes_per_s  # 0: no bound
        self.free_at = float("-inf")
        self.copied = 0

    def may(self, now: float) -> bool:
        """Whether a part may leave now."""
        return now >= self.free_at

    def take(self, now: float, size: int) -> None:
        """A part leaves."""
        self.copied += size
        if self.bytes_per_s:
            self.free_at = max(now, self.free_at) + size / self.bytes_per_s * 1000
