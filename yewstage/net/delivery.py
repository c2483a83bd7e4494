"""How far an answer has got to its client: an exchange ends with its last byte there, not in our buffers."""

from __future__ import annotations

STALL_TIMEOUT_S = 10.0  # a client that takes nothing of its answer for longer takes no more of it


class Delivery:
    """What the client's machine lacks of the answers on one connection. Times are in seconds."""

    __slots__ = ("is_under_way", "_undelivered_bytes", "_progressed_at_s")

    def __init__(self) -> None:
        self.is_under_way = False  # the client's machine may lack a part of an answer
        self._undelivered_bytes = 0  # as seen last
        self._progressed_at_s = 0.0  # when their number changed last

    def begin(self, now_s: float) -> None:
        """Note that a part of an answer is written."""
        self.is_under_way, self._progressed_at_s = True, now_s

    def update(self, undelivered_bytes: int, is_complete: bool, now_s: float) -> bool:
        """Note how many bytes the client's machine lacks; returns whether it has taken some.

        `is_complete` is whether the answer was written to its end, so that no bytes means that it has ended.
        """
        has_progress = undelivered_bytes != self._undelivered_bytes
        if has_progress:
            self._undelivered_bytes, self._progressed_at_s = undelivered_bytes, now_s
        self.is_under_way = undelivered_bytes > 0 or not is_complete
        return has_progress

    def goes_on(self, now_s: float) -> bool:
        """Whether bytes are on their way, and the client has taken some not long ago."""
        return self._undelivered_bytes > 0 and now_s - self._progressed_at_s <= STALL_TIMEOUT_S
