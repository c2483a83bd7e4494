"""HTTP/1.1 server for small calls between programs, with limits on their size and duration.

It serves operators, the list service and the holding, whose calls are read whole. Clients of the gateway are
served by `clients`, which streams long bodies.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

import httptools

from yewstage.net.parser_input import ParserInput
from yewstage.net.receive_buffer import READ_BYTES, receive_buffer, received_bytes
from yewstage.net.stats import DescriptorUse

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_QUEUED_CALLS = 4  # pipelined calls per connection; one more closes it
MAX_QUERY_FIELDS = 64  # of one call
SWEEP_INTERVAL_S = 0.5
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One complete call; the path is unquoted and the query holds the last value of each key."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """The answer to a call."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain"
    headers: bytes = b""  # further header lines, each with its CRLF

    def head(self, keep: bool) -> bytes:
        """Return status line and headers; without `keep` they announce the end of the connection."""
        return b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            self.status,
            REASON_PHRASES[self.status],
            self.content_type,
            len(self.body),
            self.headers,
            b"" if keep else b"Connection: close\r\n",
        )


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits that a server applies to its connections."""

    max_connections: int  # connections; a new one above that closes the oldest without an open call
    call_timeout_s: float  # to receive a call; the first one counts from the opening of the connection
    read_timeout_s: float  # for the caller to read its answer
    idle_timeout_s: float = 0.0  # between calls; 0: one call per connection, what follows it is ignored
    # Builds the answer to an invalid call.
    fail: Callable[[int, str], HttpResponse] = lambda status, reason: HttpResponse(status)
    max_head_bytes: int = MAX_HEAD_BYTES  # of one call
    max_body_bytes: int = MAX_BODY_BYTES  # of one call


class HttpServer:
    """Accepts connections and passes their calls to `handle`.

    `handle` returns the answer, or None and later calls `HttpConnection.answer`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[HttpRequest, HttpConnection], HttpResponse | None],
        limits: ConnectionLimits,
        use: DescriptorUse | None = None,
    ) -> None:
        self.loop, self.handle, self.limits, self._use = loop, handle, limits, use or DescriptorUse()
        self.connections: dict[HttpConnection, None] = {}  # in order of arrival
        self.closed_count = 0  # connections closed for a time limit or for a new one
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the bound address, with the actual port where 0 was asked for."""
        self._server = await self.loop.create_server(lambda: HttpConnection(self), *address)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for caller in list(self.connections):
            caller.transport.abort()

    def opened(self, caller: HttpConnection) -> None:
        """Add a connection, closing another one at the limit.

        That is the oldest without an open call, which had the most time to send one, or else the oldest.
        """
        if len(self.connections) >= self.limits.max_connections:
            evicted = next((c for c in self.connections if not c.busy), next(iter(self.connections)))
            self.drop(evicted)
        self.connections[caller] = None
        self._use.opened()

    def closed(self, caller: HttpConnection) -> None:
        """Remove a lost connection."""
        self.connections.pop(caller, None)
        self._use.closed()

    def drop(self, caller: HttpConnection) -> None:
        """Abort a connection and free its place at once."""
        self.connections.pop(caller, None)
        self.closed_count += 1
        caller.transport.abort()

    def _sweep(self) -> None:
        if self._server is None:
            return
        now = self.loop.time()
        for caller in list(self.connections):
            caller.check(now)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class HttpConnection(asyncio.BufferedProtocol):
    """One connection. Pipelined calls are processed one at a time and answered in order."""

    def __init__(self, listener: HttpServer) -> None:
        self._listener = listener
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._parser_input = ParserInput(listener.limits.max_head_bytes)
        self._url, self._body = b"", b""
        # Queued calls, and whether the connection stays open after each.
        self._calls: deque[tuple[HttpRequest, bool]] = deque()
        self._keeps_alive = False  # after the call being processed
        self._is_closing = False
        self.busy = False  # a call awaits its answer
        # A call is being received; a call has been answered.
        self._is_receiving = self._was_answered = False
        # When the connection was opened, became idle, or began to receive a call.
        self._phase_started_at_s = 0.0
        self._write_blocked_at_s: float | None = None  # None: the caller reads its answer
        # Called if the connection is lost before the open call is answered.
        self.on_disconnect: Callable[[], None] | None = None

    # asyncio.BufferedProtocol

    def get_buffer(self, sizehint: int) -> memoryview:
        return receive_buffer(READ_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(received_bytes(nbytes))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._phase_started_at_s = self._listener.loop.time()
        self._listener.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_closing = True
        self._calls.clear()
        self._parser = None  # which refers to the connection, and would keep it until a collection of cycles
        self._listener.closed(self)
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def pause_writing(self) -> None:
        self._write_blocked_at_s = self._listener.loop.time()

    def resume_writing(self) -> None:
        self._write_blocked_at_s = None

    def data_received(self, data: bytes) -> None:
        """Parse what was read, and process the calls that it completes."""
        if self._is_closing:
            return
        self._parser_input.feed(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400, "not HTTP/1.1")
        if not self._is_receiving:
            self._parser_input.clear()
        elif self._parser_input.is_too_long() and not self._is_closing:
            self._reject(400, "its head or trailer is too long")
        self._process_calls()

    # httptools

    def on_message_begin(self) -> None:
        self._url, self._body = b"", b""
        self._is_receiving = True
        if self._was_answered and not self.busy:
            self._phase_started_at_s = self._listener.loop.time()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_headers_complete(self) -> None:
        self._parser_input.pass_on()

    def on_body(self, data: bytes) -> None:
        self._parser_input.pass_on(len(data))
        self._body += data
        if len(self._body) > self._listener.limits.max_body_bytes:
            self._reject(413, "its body is too long")

    def on_message_complete(self) -> None:
        self._is_receiving = False
        if self._is_closing or self._has_only_call():
            return
        if len(self._calls) == MAX_QUEUED_CALLS:
            self._is_closing = True  # the rest of the present read is not parsed into calls either
            self._listener.drop(self)
            return
        call = self._parse_call()
        if call is None:
            self._reject(400, "its target makes no sense")
        else:
            self._calls.append((call, self._parser.should_keep_alive()))

    def _has_only_call(self) -> bool:
        """Whether the connection has the one call that it may carry."""
        return self._listener.limits.idle_timeout_s == 0 and (bool(self._calls) or self.busy)

    def _parse_call(self) -> HttpRequest | None:
        """Return the call that was received; None if its target is invalid."""
        try:
            url = httptools.parse_url(self._url)
            fields = parse_qsl(
                (url.query or b"").decode("ascii"), keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS
            )
            path = unquote(url.path.decode("ascii"))
        except (httptools.HttpParserError, ValueError, AttributeError):
            return None
        return HttpRequest(self._parser.get_method().decode("ascii"), path, dict(fields), self._body)

    # Calls and answers

    def _process_calls(self) -> None:
        while self._calls and not self.busy and not self.transport.is_closing():
            call, keeps_alive = self._calls.popleft()
            self._keeps_alive = keeps_alive and self._listener.limits.idle_timeout_s > 0
            self.busy = True
            answer = self._listener.handle(call, self)
            if answer is not None:
                self.answer(answer)

    def answer(self, answer: HttpResponse) -> None:
        """Write the only answer to the open call; ignored if there is none."""
        if not self.busy or self.transport.is_closing():
            return
        self.on_disconnect, self.busy, self._was_answered = None, False, True
        self._phase_started_at_s = self._listener.loop.time()
        self.transport.writelines((answer.head(self._keeps_alive), answer.body))
        if not self._keeps_alive:
            self._is_closing = True
            self.transport.close()
            return
        self._process_calls()

    def _reject(self, status: int, reason: str) -> None:
        """Reject invalid input and stop reading.

        While a call awaits its answer the connection is aborted instead.
        """
        self._is_closing = True
        if self.busy:
            self._listener.drop(self)
            return
        self.busy, self._keeps_alive = True, False
        self.answer(self._listener.limits.fail(status, reason))

    def check(self, now: float) -> None:
        """Enforce the time limits for receiving a call, reading an answer and idling."""
        limits = self._listener.limits
        if self._write_blocked_at_s is not None and now - self._write_blocked_at_s > limits.read_timeout_s:
            self._listener.drop(self)
        elif self._is_closing:
            if now - self._phase_started_at_s > limits.read_timeout_s:
                self._listener.drop(self)
        elif not self.busy:
            idle = self._was_answered and not self._is_receiving
            if now - self._phase_started_at_s > (limits.idle_timeout_s if idle else limits.call_timeout_s):
                self._listener.drop(self)
