"""Listening sockets that can refuse connections or stop responding, and the connections accepted on them.

A machine that is lost does not refuse connections: attempts to connect to it time out. Because the kernel
accepts connections on behalf of a listening socket, a silent socket fills its own accept queue; the kernel
then drops further connection attempts.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections import deque
from collections.abc import Callable

import httptools

BACKLOG = 512
FILLER_CONNECTIONS = 3  # own connections; enough to fill an accept queue of length 0
MAX_ACCEPTS_IN_A_ROW = 64  # before the event loop runs other callbacks
LINGER_WITH_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value: closing the socket sends a reset


class Request:
    """One request as received. `began_ms` is when its first byte came."""

    __slots__ = ("method", "url", "headers", "body", "began_ms")

    def __init__(self, began_ms: float) -> None:
        self.method, self.url, self.body, self.began_ms = "", b"", b"", began_ms
        self.headers: dict[bytes, bytes] = {}


class Exchange:
    """One request and its answer. `is_first` is set for the first request on its connection."""

    __slots__ = ("request", "_connection", "_answer", "is_first")

    def __init__(self, request: Request, connection: ServerConnection, is_first: bool) -> None:
        self.request, self._connection, self.is_first = request, connection, is_first
        self._answer: bytes | None = None

    def answer(self, data: bytes) -> None:
        """Write the answer once all earlier ones on the connection are written."""
        self._answer = data
        self._connection.flush()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self._connection.reset()

    def is_closed(self) -> bool:
        """Whether the connection has closed, so that no answer can be written."""
        return self._connection.is_closed


class ServerConnection(asyncio.Protocol):
    """One accepted connection. Answers are written in the order of the requests."""

    def __init__(self, listener: ListeningSocket) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None
        self.exchanges: deque[Exchange] = deque()
        self._requests_seen = 0
        self.is_closed = self.is_muted = False
        self.idle_since_ms = listener.now()

    def flush(self) -> None:
        """Write the answers that are ready, up to the first that is not."""
        if self.is_muted or self.is_closed:
            return
        while self.exchanges and self.exchanges[0]._answer is not None:
            self.transport.write(self.exchanges.popleft()._answer)
            self.idle_since_ms = self._listener.now()

    def set_muted(self, muted: bool) -> None:
        """Stop or resume reading and writing. Pending data is read and written after resuming."""
        if self.is_closed or muted == self.is_muted:
            return
        self.is_muted = muted
        if muted:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            self.flush()

    def reset(self) -> None:
        """Close the connection with a reset."""
        if self.is_closed:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET)
        self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._listener.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self._listener.on_closed(self)

    def data_received(self, data: bytes) -> None:
        if self._request is None:
            self._request = Request(self._listener.now())
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._listener.on_invalid_data(self, data[:64])
            self.transport.abort()

    # httptools

    def on_message_begin(self) -> None:
        if self._request is None:
            self._request = Request(self._listener.now())

    def on_url(self, url: bytes) -> None:
        self._request.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        request, self._request = self._request, None
        request.method = self._parser.get_method().decode()
        exchange = Exchange(request, self, self._requests_seen == 0)
        self._requests_seen += 1
        self.exchanges.append(exchange)
        self._listener.on_request(exchange)


class ListeningSocket:
    """A listening socket with an address of its own. Until opened, it refuses connections.

    The callbacks get each complete request, each new connection, each request whose connection closed before
    its answer, and the first bytes of data that is not HTTP.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        on_request: Callable[[Exchange], None],
        on_connection: Callable[[ServerConnection], None] = lambda connection: None,
        on_abandoned: Callable[[Exchange], None] = lambda exchange: None,
        on_invalid_data: Callable[[ServerConnection, bytes], None] = lambda connection, data: None,
    ) -> None:
        self._loop, self._host, self._port = loop, host, 0
        self.on_request, self._on_connection, self._on_abandoned, self.on_invalid_data = (
            on_request,
            on_connection,
            on_abandoned,
            on_invalid_data,
        )
        self.connections: dict[ServerConnection, None] = {}
        self._fillers: list[socket.socket] = []
        self._accepting: set[asyncio.Task] = set()
        self._listening = self.is_silent = False
        self._bind()

    def now(self) -> float:
        """Milliseconds of the monotonic clock, which all processes of a machine share."""
        return time.monotonic() * 1000

    @property
    def address(self) -> str:
        """HOST:PORT; it does not change."""
        return f"{self._host}:{self._port}"

    def open(self) -> None:
        """Accept connections."""
        if self._listening and not self.is_silent:
            return
        if self.is_silent:
            self._rebind()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket.fileno(), self._accept)
        self._listening = True

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones, as if the process had died."""
        self._rebind()
        for connection in list(self.connections):
            connection.reset()

    def go_silent(self) -> None:
        """Stop responding: attempts to connect time out, and open connections neither read nor write."""
        if self.is_silent:
            return
        if self._listening:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)
        self.is_silent, self._listening = True, True
        for connection in self.connections:
            connection.set_muted(True)

    def resume(self) -> None:
        """Respond again: open connections resume with what is pending on them, pending attempts to connect
        are reset."""
        if not self.is_silent:
            return
        self.open()
        for connection in list(self.connections):
            connection.set_muted(False)

    def close_after(self, delay_s: float) -> None:
        """Refuse new connections; close the open ones after a while."""
        self._stop_listening()
        self._loop.call_later(delay_s, self.close)

    def close(self) -> None:
        """Refuse new connections and close the open ones."""
        self._stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()

    def close_idle(self, before_ms: float) -> None:
        """Close connections that have been idle since before a time of `now()`."""
        for connection in list(self.connections):
            if not connection.exchanges and connection.idle_since_ms < before_ms:
                connection.transport.close()

    def on_connected(self, connection: ServerConnection) -> None:
        """Called when a connection is accepted."""
        self.connections[connection] = None
        if self.is_silent:
            connection.set_muted(True)
        self._on_connection(connection)

    def on_closed(self, connection: ServerConnection) -> None:
        """Called when a connection has closed. Its open requests cannot be answered any more."""
        self.connections.pop(connection, None)
        exchanges, connection.exchanges = connection.exchanges, deque()
        for exchange in exchanges:
            self._on_abandoned(exchange)

    def _bind(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._port))
        self._port = self._socket.getsockname()[1]

    def _rebind(self) -> None:
        self._stop_listening()
        self._bind()

    def _stop_listening(self) -> None:
        if self._listening and not self.is_silent:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listening = self.is_silent = False

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_IN_A_ROW):
            try:
                client, _ = self._socket.accept()
            except OSError:  # none is pending, or the peer has closed it already
                return
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(
                self._loop.connect_accepted_socket(lambda: ServerConnection(self), client)
            )
            self._accepting.add(task)
            task.add_done_callback(self._on_accepted)

    def _on_accepted(self, task: asyncio.Task) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved only: the peer may have closed the connection meanwhile


def respond(status: int, body: bytes = b"", headers: bytes = b"", close: bool = False) -> bytes:
    """The bytes of an answer. `headers` are complete lines."""
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        headers,
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )
