"""A request body that is streamed from a client to a server, with backpressure on the client."""

from __future__ import annotations

import socket
from collections.abc import Callable

from yewstage.net.budget import MemoryAccount
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES, ReplyProtocol, limit_socket_buffer
from yewstage.net.socket_state import undelivered_bytes
from yewstage.net.write_buffer import WriteBuffer

LAST_CHUNK = b"0\r\n\r\n"


class Upload:
    """A streamed request body, from its first bytes until `close`.

    The connection of the client owns it and closes it, at the latest when the connection is lost. An open
    upload is a stream of the memory budget. Without a content length it is sent in chunked transfer coding.

    `on_flow_change` is called when `is_held_back` may have changed, `on_close` once, and `evict` when the
    memory budget asks to end the client's connection. `may_complete` is asked right before the last byte is
    written to a server, which begins the request then; it is not written if the client has left.
    """

    def __init__(
        self,
        content_length: int | None,
        account: MemoryAccount,
        on_flow_change: Callable[[], None],
        on_close: Callable[[Upload], None],
        evict: Callable[[], None],
        may_complete: Callable[[], bool] = lambda: True,
    ) -> None:
        self._content_length, self._account = content_length, account
        self._may_complete = may_complete
        self._on_flow_change, self._on_close = on_flow_change, on_close
        self._is_full = self._is_budget_paused = False  # either of them holds the client back
        self._unsent: list[bytes] = []  # until a server connection is attached
        self._unsent_bytes = 0
        self._last_part: bytes | None = None  # set while it waits for the parts before it to be written
        self._server_connection: ReplyProtocol | None = None
        self._write_buffer = WriteBuffer()  # of the server connection
        self._unacknowledged_bytes = 0  # by the server's machine, as seen last
        self.is_complete = False  # received to its end
        # When its last byte arrived at this machine, by the monotonic clock; it may still lie unread in the
        # socket. None while it has not arrived.
        self.arrived_at_s: float | None = None
        self.is_closed = False  # nothing is forwarded any more
        account.begin(self._pause_for_budget, evict)

    @property
    def is_held_back(self) -> bool:
        """Whether no more of the body is to be read from the client for now."""
        return self._is_full or self._is_budget_paused

    @property
    def is_written(self) -> bool:
        """Whether its last byte was written to a server connection, or to its transport."""
        return self.is_complete and self._last_part is None

    def feed(self, data: bytes) -> None:
        """Forward a part of the body, as received from the client."""
        self._forward(self._framed(data))

    def finish(self, data: bytes = b"") -> None:
        """Forward the last part of the body, and the end of its framing.

        A part that waits in a transport is sent even if the client leaves meanwhile, so the last one waits
        here for those before it.
        """
        self.is_complete = True
        data = self._framed(data) if data else b""
        self._last_part = data + (LAST_CHUNK if self._content_length is None else b"")
        server_connection = self._server_connection
        if server_connection is not None and server_connection.transport.get_write_buffer_size():
            self._set_held_bytes(self._write_buffer.held_bytes + len(self._last_part))
        else:
            self._forward_last_part()

    def _framed(self, data: bytes) -> bytes:
        return data if self._content_length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def _forward_last_part(self) -> None:
        if self.is_closed or (self._server_connection is not None and not self._may_complete()):
            return
        data, self._last_part = self._last_part, None
        self._forward(data)

    def attach(self, server_connection: ReplyProtocol, head: bytes) -> None:
        """Send the head and the body received so far on this connection, and the rest as it arrives."""
        self._server_connection = server_connection
        limit_socket_buffer(server_connection.transport, socket.SO_SNDBUF)
        unsent, self._unsent = self._unsent, []
        self._forward(b"".join((head, *unsent)))

    def close(self) -> None:
        """End the forwarding and release the memory; the rest of the body is discarded."""
        if self.is_closed:
            return
        self.is_closed, self._server_connection = True, None
        self._unsent.clear()
        self._last_part = None
        self._account.end()  # with the budget's pause
        self._is_full = False
        self._on_close(self)
        self._on_flow_change()

    def drained(self) -> None:
        """Note that the server connection's write buffer is empty."""
        if self.is_closed:
            return
        self._write_buffer.emptied()
        if self._last_part is not None:
            self._forward_last_part()
        else:
            self._set_held_bytes(0)

    def check_progress(self) -> None:
        """Note it if the server's machine has taken a part of what was written."""
        server_connection = self._server_connection
        if server_connection is None or server_connection.transport.is_closing():
            return
        unacknowledged = undelivered_bytes(server_connection.transport)
        if unacknowledged != self._unacknowledged_bytes:
            self._unacknowledged_bytes = unacknowledged
            self._account.note_progress()

    def _pause_for_budget(self, is_paused: bool) -> None:
        self._is_budget_paused = is_paused
        self._on_flow_change()

    def _set_held_bytes(self, held_bytes: int, max_bytes: int = 0) -> None:
        """Account for the bytes held in memory; more than `max_bytes` hold the client back."""
        self._is_full = held_bytes > max_bytes
        self._account.set(held_bytes)
        self._on_flow_change()

    def _forward(self, data: bytes) -> None:
        if self.is_closed:
            return
        if self._server_connection is None:
            self._unsent.append(data)
            self._unsent_bytes += len(data)
            self._set_held_bytes(self._unsent_bytes, MAX_BUFFERED_BODY_BYTES - 1)
            return
        if self._server_connection.transport.is_closing():
            return  # its connection_lost will be called
        if data:
            self._write_buffer.write(self._server_connection.transport, data)
        self._set_held_bytes(self._write_buffer.held_bytes)
        self._server_connection.flushed()
