"""The serving side of HTTP/1.1 for programs that are called by programs: small calls, bounded in size and
time.

Clients of the gateway are served by `clients`, which passes long bodies on; this is for operators and for the
list service, whose calls are read whole.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

import httptools

from yewstage.net.stats import DescriptorUse

LONGEST_HEAD = 16 * 1024
LONGEST_CALL = 64 * 1024  # its body
AHEAD = 4  # calls that may have come before those in front of them are answered
SWEEP_S = 0.5
REASONS = {
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
    """One call, whole."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """What a call comes to."""

    status: int
    body: bytes = b""
    kind: bytes = b"text/plain"
    headers: bytes = b""  # further lines, each with its end

    def head(self, keep: bool) -> bytes:
        """The bytes before the body."""
        return b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            self.status,
            REASONS[self.status],
            self.kind,
            len(self.body),
            self.headers,
            b"" if keep else b"Connection: close\r\n",
        )


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """How a listener treats its callers."""

    most: int  # connections; past that the one that nobody waits on for longest gives way
    call_s: float  # how long a call may take to come in, the first one from when the connection was opened
    read_s: float  # how long a caller may leave its answer unread
    idle_s: float = 0.0  # how long a connection is kept between calls; 0: one call to a connection
    # How what is no call is answered.
    fail: Callable[[int, str], HttpResponse] = lambda status, why: HttpResponse(status)


class HttpServer:
    """Takes connections and hands on the calls that come on them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[HttpRequest, HttpConnection], HttpResponse | None],
        limits: ConnectionLimits,
        use: DescriptorUse | None = None,
    ) -> None:
        self.loop, self.handle, self.limits, self._use = loop, handle, limits, use or DescriptorUse()
        self.callers: dict[HttpConnection, None] = {}  # in the order in which they came
        self.dropped = 0  # who was slow, silent or in the way
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0."""
        self._server = await self.loop.create_server(lambda: HttpConnection(self), *address)
        self.loop.call_later(SWEEP_S, self._sweep)
        return self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """End the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for caller in list(self.callers):
            caller.transport.abort()

    def opened(self, caller: HttpConnection) -> None:
        """A caller has come. Past the bound the one that came first gives way: it had the most time."""
        if len(self.callers) >= self.limits.most:
            waits = next((c for c in self.callers if not c.busy), next(iter(self.callers)))
            self.drop(waits)
        self.callers[caller] = None
        self._use.opened()

    def closed(self, caller: HttpConnection) -> None:
        """A caller is gone."""
        self.callers.pop(caller, None)
        self._use.closed()

    def drop(self, caller: HttpConnection) -> None:
        """End a connection at once; its place is free from now on."""
        self.callers.pop(caller, None)
        self.dropped += 1
        caller.transport.abort()

    def _sweep(self) -> None:
        if self._server is None:
            return
        now = self.loop.time()
        for caller in list(self.callers):
            caller.check(now)
        self.loop.call_later(SWEEP_S, self._sweep)


class HttpConnection(asyncio.Protocol):
    """One connection: calls one after another, each with its one answer, in order."""

    def __init__(self, listener: HttpServer) -> None:
        self._listener = listener
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._body, self._head = b"", b"", 0
        # that wait for their turn, and whether to stay after it
        self._calls: deque[tuple[HttpRequest, bool]] = deque()
        self._stays = False  # behind the call that is being answered
        self._ending = False
        self.busy = False  # a call is owed its answer
        # a call, its head is coming in; one was answered
        self._reading = self._in_head = self._served = False
        self._since = 0.0  # when the connection was opened, became idle, or a call began to come in
        self._unread_since: float | None = None  # since when its answer is not read
        self.on_disconnect: Callable[[], None] | None = (
            None  # told if the connection is lost while a call waits
        )

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._since = self._listener.loop.time()
        self._listener.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._ending = True
        self._calls.clear()
        self._listener.closed(self)
        gone, self.on_disconnect = self.on_disconnect, None
        if gone is not None:
            gone()

    def pause_writing(self) -> None:
        self._unread_since = self._listener.loop.time()

    def resume_writing(self) -> None:
        self._unread_since = None

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._spoil(400, "not HTTP/1.1")
        if self._in_head:
            self._head += len(data)
            if self._head > LONGEST_HEAD and not self._ending:
                self._spoil(400, "its head is too long")
        if len(self._calls) > AHEAD:
            self._listener.drop(self)
        self._next()

    # httptools

    def on_message_begin(self) -> None:
        self._url, self._body, self._head = b"", b"", 0
        self._reading = self._in_head = True
        if self._served and not self.busy:
            self._since = self._listener.loop.time()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > LONGEST_CALL:
            self._spoil(413, "its body is too long")

    def on_message_complete(self) -> None:
        self._reading = self._in_head = False
        if self._ending:
            return
        try:
            url = httptools.parse_url(self._url)
            query = dict(parse_qsl((url.query or b"").decode("ascii"), keep_blank_values=True))
            path = unquote(url.path.decode("ascii"))
            call = HttpRequest(self._parser.get_method().decode("ascii"), path, query, self._body)
        except (httptools.HttpParserError, UnicodeDecodeError, AttributeError):
            self._spoil(400, "its target makes no sense")
            return
        self._calls.append((call, self._parser.should_keep_alive()))

    # Calls and answers

    def _next(self) -> None:
        while self._calls and not self.busy and not self.transport.is_closing():
            call, stays = self._calls.popleft()
            self._stays = stays and self._listener.limits.idle_s > 0
            self.busy = True
            answer = self._listener.handle(call, self)
            if answer is not None:
                self.answer(answer)

    def answer(self, answer: HttpResponse) -> None:
        """The one answer to the call whose turn it is."""
        if not self.busy or self.transport.is_closing():
            return
        self.on_disconnect, self.busy, self._served = None, False, True
        self._since = self._listener.loop.time()
        self.transport.writelines((answer.head(self._stays), answer.body))
        if not self._stays:
            self._ending = True
            self.transport.close()
            return
        self._next()

    def _spoil(self, status: int, why: str) -> None:
        """What comes is no call: answer that behind what is owed, if nothing is, and read no more."""
        self._ending = True
        if self.busy:
            self._listener.drop(self)
            return
        self.busy, self._stays = True, False
        self.answer(self._listener.limits.fail(status, why))

    def check(self, now: float) -> None:
        """End what is slow or silent for too long."""
        manners = self._listener.limits
        if self._unread_since is not None and now - self._unread_since > manners.read_s:
            self._listener.drop(self)
        elif self._ending:
            if now - self._since > manners.read_s:
                self._listener.drop(self)
        elif not self.busy:
            idle = self._served and not self._reading
            if now - self._since > (manners.idle_s if idle else manners.call_s):
                self._listener.drop(self)
