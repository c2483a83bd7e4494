"""Virtual time: a loop whose clock only the test moves, and servers that accept, refuse or keep silent."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from functools import partial

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Due:
    """What is to be called at a time."""

    def __init__(self, callback: Callable) -> None:
        self.callback, self._cancelled = callback, False

    def cancel(self) -> None:
        self._cancelled = True

    def cancelled(self) -> bool:
        return self._cancelled


class VirtualLoop:
    """As much of an event loop as the network code asks for; whoever is not in `servers` refuses at once."""

    def __init__(self) -> None:
        self.now, self.dials, self._due, self._serial = 0.0, [], [], 0
        self.servers: dict[tuple[str, int], VirtualServer] = {}

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable, *args: object) -> Due:
        due = Due(partial(callback, *args))
        self._serial += 1
        heapq.heappush(self._due, (self.now + max(delay, 0.0), self._serial, due))
        return due

    def call_soon(self, callback: Callable, *args: object) -> Due:
        return self.call_later(0.0, callback, *args)

    def create_connection(self, make: Callable, host: str, port: int) -> Dialling:
        self.dials.append(self.now)
        return Dialling(self, make, self.servers.get((host, port)))

    def create_task(self, dialling: Dialling) -> Dialling:
        return dialling.begin()

    def run(self, until: float) -> None:
        """Let everything happen that is due by then."""
        while self._due and self._due[0][0] <= until:
            self.now, _, due = heapq.heappop(self._due)
            if not due.cancelled():
                due.callback()
        self.now = until


class Dialling:
    """A dial's task."""

    def __init__(self, loop: VirtualLoop, make: Callable, server: VirtualServer | None) -> None:
        self._loop, self._make, self._server = loop, make, server
        self._callback: Callable = lambda task: None
        self._result: tuple[VirtualTransport, asyncio.Protocol] | None = None
        self._error: Exception | None = None
        self._over = self._cancelled = False

    def begin(self) -> Dialling:
        if self._server is None or self._server.error is not None:
            self._loop.call_later(0.001, self._refused)
        elif not self._server.silent:
            self._loop.call_later(self._server.dial_s, self._up)
        return self

    def add_done_callback(self, callback: Callable) -> None:
        self._callback = callback

    def cancel(self) -> None:
        if not self._over:
            self._cancelled = self._over = True
            self._loop.call_soon(self._callback, self)

    def cancelled(self) -> bool:
        return self._cancelled

    def exception(self) -> Exception | None:
        return self._error

    def result(self) -> tuple[VirtualTransport, asyncio.Protocol]:
        return self._result

    def _refused(self) -> None:
        if not self._over:
            self._over, self._error = True, ConnectionRefusedError("refused")
            if self._server is not None and self._server.error is not None:
                self._error = self._server.error
            self._callback(self)

    def _up(self) -> None:
        if self._over:
            return
        if self._server.full():
            self._refused()
            return
        self._over = True
        protocol = self._make()
        self._result = transport, _ = VirtualTransport(self._loop, self._server, protocol), protocol
        protocol.connection_made(transport)
        self._callback(self)


class VirtualTransport:
    """One connection, seen from the side that dialled."""

    def __init__(self, loop: VirtualLoop, server: VirtualServer, protocol: asyncio.Protocol) -> None:
        self._loop, self.server, self._protocol = loop, server, protocol
        self._closing = self._lost = False
        self.written: list[bytes] = []
        server.links.append(self)
        server.most_links = max(server.most_links, len(server.links))

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.written.append(data)
            self.server.received(self, data)

    def writelines(self, parts: tuple[bytes, ...]) -> None:
        for part in parts:
            self.write(part)

    def say(self, data: bytes) -> None:
        """Bytes from the server."""
        if not self._closing:
            self._protocol.data_received(data)

    def abort(self) -> None:
        """End it; either side does."""
        if not self._closing:
            self._closing = True
            self.server.links.remove(self)
            self._loop.call_soon(self._protocol.connection_lost, None)

    close = abort

    def is_closing(self) -> bool:
        return self._closing

    def get_extra_info(self, name: str) -> None:
        return None

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class VirtualServer:
    """Answers each request after a while; None never answers."""

    def __init__(
        self,
        loop: VirtualLoop,
        port: int,
        dial_s: float = 0.001,
        answer_s: float | None = 0.01,
        answer: bytes = OK,
        holds: int = 10**6,
    ) -> None:
        self._loop, self.dial_s, self.holds = loop, dial_s, holds
        self.answer_s, self.answer = answer_s, answer
        self.silent = False
        self.error: OSError | None = None  # what dials come to
        self.links: list[VirtualTransport] = []
        self.requests: list[bytes] = []
        self.most_links = 0
        loop.servers["h", port] = self

    def full(self) -> bool:
        return len(self.links) >= self.holds

    def received(self, transport: VirtualTransport, data: bytes) -> None:
        self.requests.append(data)
        if self.answer_s is not None:
            self._loop.call_later(self.answer_s, transport.say, self.answer)
