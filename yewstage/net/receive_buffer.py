"""One buffer for all reads of sockets, so that each connection decides how much it reads at once.

The event loop fills the buffer and reports the read before it reads another socket, so connections can share
it.
"""

from __future__ import annotations

READ_BYTES = 64 * 1024  # upper bound of one read of a socket
CHUNKED_READ_BYTES = 16 * 1024  # of a body in chunks, as each of them takes time to parse

_buffer = memoryview(bytearray(READ_BYTES))


def receive_buffer(size: int) -> memoryview:
    """Return the part of the buffer for a read of at most `size` bytes, up to READ_BYTES."""
    return _buffer[:size]


def received_bytes(size: int) -> bytes:
    """Return a copy of the `size` bytes that were read last."""
    return bytes(_buffer[:size])
