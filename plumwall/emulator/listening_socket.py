"""Listening sockets that can also refuse or keep silent, and the connections behind them.

A machine that vanishes does not refuse: its connections come up no more. The kernel accepts on behalf of a
listening socket, so a silent door fills its own queue of connections; the kernel then drops what comes.
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
FILLERS = 3  # connections of our own, more than a queue of none holds
ACCEPTS = 64  # in a row, before others have their turn
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset


class Message:
    """One request, as it has come."""

    __slots__ = ("method", "url", "headers", "body", "began")

    def __init__(self, began: float) -> None:
        self.method, self.url, self.body, self.began = "", b"", b"", began
        self.headers: dict[bytes, bytes] = {}


class Slot:
    """The place of one request's answer on its connection."""

    __slots__ = ("message", "_line", "_data", "fresh")

    def __init__(self, message: Message, line: Incoming, fresh: bool) -> None:
        self.message, self._line, self.fresh = message, line, fresh
        self._data: bytes | None = None

    def answer(self, data: bytes) -> None:
        """Write the answer, once those before it are out."""
        self._data = data
        self._line.flush()

    def reset(self) -> None:
        """End the connection hard."""
        self._line.reset()

    def over(self) -> bool:
        """Whether nobody is there to be answered."""
        return self._line.closed


class Incoming(asyncio.Protocol):
    """One accepted connection: requests in, answers in their order."""

    def __init__(self, door: ListeningSocket) -> None:
        self._door = door
        self._parser = httptools.HttpRequestParser(self)
        self._message: Message | None = None
        self.slots: deque[Slot] = deque()
        self._seen = 0
        self.closed = self.muted = False
        self.idle_since = door.now()

    def flush(self) -> None:
        """Write what is ready and in turn."""
        if self.muted or self.closed:
            return
        while self.slots and self.slots[0]._data is not None:
            self.transport.write(self.slots.popleft()._data)
            self.idle_since = self._door.now()

    def mute(self, muted: bool) -> None:
        """Neither hear nor speak; what waits is heard and said afterwards."""
        if self.closed or muted == self.muted:
            return
        self.muted = muted
        if muted:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            self.flush()

    def reset(self) -> None:
        """End it with a reset."""
        if self.closed:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._door.made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._door.lost(self)

    def data_received(self, data: bytes) -> None:
        if self._message is None:
            self._message = Message(self._door.now())
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._door.nonsense(self, data[:64])
            self.transport.abort()

    # httptools

    def on_message_begin(self) -> None:
        if self._message is None:
            self._message = Message(self._door.now())

    def on_url(self, url: bytes) -> None:
        self._message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._message.body += body

    def on_message_complete(self) -> None:
        message, self._message = self._message, None
        message.method = self._parser.get_method().decode()
        slot = Slot(message, self, self._seen == 0)
        self._seen += 1
        self.slots.append(slot)
        self._door.asked(slot)


class ListeningSocket:
    """One address at which one other party may call. Closed at first: it refuses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        asked: Callable[[Slot], None],
        made: Callable[[Incoming], None] = lambda line: None,
        gone: Callable[[Slot], None] = lambda slot: None,
        nonsense: Callable[[Incoming, bytes], None] = lambda line, data: None,
    ) -> None:
        self._loop, self._host, self._port = loop, host, 0
        self.asked, self._made, self._gone, self.nonsense = asked, made, gone, nonsense
        self.lines: dict[Incoming, None] = {}
        self._fillers: list[socket.socket] = []
        self._accepting: set[asyncio.Task] = set()
        self._listening = self.silent = False
        self._bind()

    def now(self) -> float:
        """The time, in milliseconds, by the clock that all processes of the machine share."""
        return time.monotonic() * 1000

    @property
    def address(self) -> str:
        """HOST:PORT, the same for all its life."""
        return f"{self._host}:{self._port}"

    def open(self) -> None:
        """Accept from now on."""
        if self._listening and not self.silent:
            return
        if self.silent:
            self._rebind()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket.fileno(), self._accept)
        self._listening = True

    def refuse(self) -> None:
        """Refuse from now on, and reset all connections: the process is gone."""
        self._rebind()
        for line in list(self.lines):
            line.reset()

    def keep_silent(self) -> None:
        """No connection comes up, and those there are neither hear nor speak."""
        if self.silent:
            return
        if self._listening:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)
        self.silent, self._listening = True, True
        for line in self.lines:
            line.mute(True)

    def speak_again(self) -> None:
        """The path is back: what waits on open connections goes on, who tried to connect is reset."""
        if not self.silent:
            return
        self.open()
        for line in list(self.lines):
            line.mute(False)

    def leave(self, after_s: float) -> None:
        """Refuse from now on; what is open goes on for a little while."""
        self._drop()
        self._loop.call_later(after_s, self.close)

    def close(self) -> None:
        """The end of it."""
        self._drop()
        for line in list(self.lines):
            line.transport.abort()

    def close_idle(self, before: float) -> None:
        """Close connections that have stood idle since a time."""
        for line in list(self.lines):
            if not line.slots and line.idle_since < before:
                line.transport.close()

    def made(self, line: Incoming) -> None:
        """A connection is up."""
        self.lines[line] = None
        if self.silent:
            line.mute(True)
        self._made(line)

    def lost(self, line: Incoming) -> None:
        """A connection has ended; what was open on it will not be answered."""
        self.lines.pop(line, None)
        slots, line.slots = line.slots, deque()
        for slot in slots:
            self._gone(slot)

    def _bind(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._port))
        self._port = self._socket.getsockname()[1]

    def _rebind(self) -> None:
        self._drop()
        self._bind()

    def _drop(self) -> None:
        if self._listening and not self.silent:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listening = self.silent = False

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            try:
                accepted, _ = self._socket.accept()
            except OSError:  # none left, or it has gone again
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(
                self._loop.connect_accepted_socket(lambda: Incoming(self), accepted)
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepted)

    def _accepted(self, task: asyncio.Task) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            task.exception()  # a peer that has left meanwhile is nobody's fault


def respond(status: int, body: bytes = b"", headers: bytes = b"", close: bool = False) -> bytes:
    """The bytes of an answer; `headers` are whole lines."""
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        headers,
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )
