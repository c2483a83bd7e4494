"""What a transport holds of the data that is written to it."""

from __future__ import annotations

import asyncio


class WriteBuffer:
    """Counts the bytes that a transport holds, which are more than those that are not written yet.

    A transport keeps each piece of data whole until the last byte of it is written. Pieces count until all
    of them are written, so the count is an upper bound.
    """

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        self.held_bytes = 0

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write data to the transport and count what it holds then."""
        transport.write(data)
        self.held_bytes = self.held_bytes + len(data) if transport.get_write_buffer_size() else 0

    def emptied(self) -> None:
        """Note that the transport has written all of it."""
        self.held_bytes = 0
