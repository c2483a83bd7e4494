"""What an HTTP parser may hold of the input that it was fed."""

from __future__ import annotations

# A parser joins what it gets of a field to what it has: it holds both for a moment, and leaves gaps.
BYTES_PER_INPUT_BYTE = 2


class ParserInput:
    """An upper bound on the bytes that a parser holds, whatever they are a part of.

    A parser keeps a field until it is complete, which it may never be, and tells nothing of it until then. So
    all input counts as held from the moment it is fed, up to what the parser is known to have passed on.
    """

    __slots__ = ("bytes", "has_passed_on", "_max_bytes", "_of_this_read")

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` is the most that a head or a trailer may have."""
        self._max_bytes = max_bytes
        self.bytes = 0
        self.has_passed_on = False  # something, since the last input came
        self._of_this_read = 0  # the last input, less what was passed on of it

    def feed(self, size: int) -> None:
        """Note input, right before the parser is fed with it."""
        self.bytes += size
        self.has_passed_on = False
        self._of_this_read = size

    def pass_on(self, size: int = 0) -> None:
        """Note that the parser has passed on a part of a body, or the end of a head: all input before it."""
        self.has_passed_on = True
        self._of_this_read -= size
        self.bytes = self._of_this_read

    @property
    def held_bytes(self) -> int:
        """Bytes that the parser takes at most, for all that it may hold of the input."""
        return self.bytes * BYTES_PER_INPUT_BYTE

    def clear(self) -> None:
        """Note that the parser holds nothing, within a body of known length or between two messages."""
        self.bytes = 0

    def is_too_long(self) -> bool:
        """Whether the parser may hold more than any head or trailer may have."""
        return self.bytes > self._max_bytes
