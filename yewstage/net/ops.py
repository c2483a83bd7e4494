"""The operators' address: whether this process can serve, and its figures; one call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from yewstage.net.stats import Use

CALLERS = 16  # places kept for operators, beside all that clients and hosts may take
CALL_S = 5.0  # how long a call may take in all
LONGEST_CALL = 16 * 1024

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           503: b"Service Unavailable"}


class Ops:
    """Answers operators however busy the clients keep the gateway."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ready: Callable[[], bool],
                 figures: Callable[[], str], use: Use | None = None) -> None:
        self._use = use or Use()
        self.loop, self._ready, self._figures = loop, ready, figures
        self._callers: dict[_Call, None] = {}  # in the order in which they came
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0."""
        self._server = await self.loop.create_server(lambda: _Call(self), *address)
        return self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """End the listener and all calls."""
        if self._server is not None:
            self._server.close()
        for call in list(self._callers):
            call.transport.abort()

    def opened(self, call: _Call) -> None:
        """A caller has come. Past the bound the one that came first gives way: it had the most time."""
        if len(self._callers) >= CALLERS:
            next(iter(self._callers)).transport.abort()
        self._callers[call] = None
        self._use.opened()

    def closed(self, call: _Call) -> None:
        """A caller is gone."""
        self._callers.pop(call, None)
        self._use.closed()

    def reply(self, method: bytes, path: bytes) -> tuple[int, bytes]:
        """Status and body for one call."""
        if path not in (b"/ops/readiness", b"/ops/stats"):
            return 404, b""
        if method != b"GET":
            return 405, b""
        if path == b"/ops/stats":
            return 200, self._figures().encode()
        return (200, b"ready\n") if self._ready() else (503, b"not ready\n")


class _Call(asyncio.Protocol):
    """One connection: one call, one answer, the end."""

    def __init__(self, ops: Ops) -> None:
        self._ops = ops
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._size = b"", 0
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._timer = self._ops.loop.call_later(CALL_S, transport.abort)
        self._ops.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._ops.closed(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, b"")
        if self._size > LONGEST_CALL:
            self._answer(400, b"")

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self._answer(*self._ops.reply(self._parser.get_method(), self._url.partition(b"?")[0]))

    def _answer(self, status: int, body: bytes) -> None:
        if self._answered:
            return
        self._answered = True
        self.transport.write(b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
                             b"Connection: close\r\n\r\n%b" % (status, REASONS[status], len(body), body))
        self.transport.close()
