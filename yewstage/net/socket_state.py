"""What the operating system knows of a TCP connection, whatever the event loop has read of it."""

from __future__ import annotations

import select
import socket

# The first byte of Linux's `struct tcp_info`, as `getsockopt(TCP_INFO)` returns it, is the state. In this one
# neither end has closed.
TCP_ESTABLISHED = 1

_hangup_poll = select.poll()  # one for all connections, as an object for each would cost memory


def has_hung_up(sock: socket.socket) -> bool:
    """Whether the other end has closed or reset the connection, or ended its sending."""
    descriptor = sock.fileno()
    try:
        _hangup_poll.register(descriptor, select.POLLRDHUP)
        return bool(_hangup_poll.poll(0))
    except OSError:  # the system has no memory for the call
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED
    finally:
        _hangup_poll.unregister(descriptor)
