"""What the operating system knows of a TCP connection, whatever the event loop has read of it."""

from __future__ import annotations

import array
import asyncio
import fcntl
import os
import select
import socket
import struct
import termios

# Linux's `struct tcp_info`, as `getsockopt(TCP_INFO)` returns it: its first byte is the state, and at this
# offset are the milliseconds since the last segment with data arrived.
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4
TCP_ESTABLISHED, TCP_FIN_WAIT_1, TCP_FIN_WAIT_2, TCP_CLOSE, TCP_CLOSE_WAIT = 1, 4, 5, 7, 8
# States in which data can have arrived.
DATA_STATES = frozenset((TCP_ESTABLISHED, TCP_FIN_WAIT_1, TCP_FIN_WAIT_2, TCP_CLOSE, TCP_CLOSE_WAIT))

_hangup_poll = select.poll()  # one for all connections, as an object for each would cost memory


def has_hung_up(descriptor: int) -> bool:
    """Whether the other end has closed or reset the connection, or ended its sending."""
    try:
        _hangup_poll.register(descriptor, select.POLLRDHUP)
        events = _hangup_poll.poll(0)
        _hangup_poll.unregister(descriptor)
    except OSError:  # the system has no memory for the call
        _hangup_poll.unregister(descriptor)
        return _has_left_established_state(descriptor)
    return bool(events)


def _has_left_established_state(descriptor: int) -> bool:
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED


def unread_bytes(descriptor: int) -> int:
    """Bytes that have arrived and are not read yet."""
    return _queue_bytes(descriptor, termios.FIONREAD)


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Bytes that were written and that the other machine has not acknowledged yet.

    Of a transport that is being closed those in the system are unknown, as its descriptor may be closed.
    """
    in_transport = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return in_transport
    return in_transport + _queue_bytes(sock.fileno(), termios.TIOCOUTQ)


def discard_on_close(transport: asyncio.Transport) -> None:
    """Make the next close of an open transport reset the connection, without sending what is still unsent."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _queue_bytes(descriptor: int, request: int) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(descriptor, request, count)
    return count[0]


def seconds_since_last_data(sock: socket.socket) -> float | None:
    """Seconds since data arrived at this machine on the connection; None where the system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or info[0] not in DATA_STATES:
        return None
    return struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0] / 1000
