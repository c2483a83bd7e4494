"""Virtual time for tests: an event loop whose clock only `run` advances, and simulated servers."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from functools import partial

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class VirtualTimer:
    """Handle of a scheduled callback, like asyncio.TimerHandle."""

    def __init__(self, callback: Callable) -> None:
        self.callback, self._cancelled = callback, False

    def cancel(self) -> None:
        self._cancelled = True

    def cancelled(self) -> bool:
        return self._cancelled


class VirtualLoop:
    """The part of an event loop that the network code uses. Addresses not in `servers` refuse at once."""

    def __init__(self) -> None:
        self.now, self.dials, self._timers, self._timer_count = 0.0, [], [], 0
        self.servers: dict[tuple[str, int], VirtualServer] = {}

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable, *args: object) -> VirtualTimer:
        timer = VirtualTimer(partial(callback, *args))
        self._timer_count += 1
        heapq.heappush(self._timers, (self.now + max(delay, 0.0), self._timer_count, timer))
        return timer

    def call_soon(self, callback: Callable, *args: object) -> VirtualTimer:
        return self.call_later(0.0, callback, *args)

    def create_connection(self, protocol_factory: Callable, host: str, port: int) -> ConnectTask:
        self.dials.append(self.now)
        return ConnectTask(self, protocol_factory, self.servers.get((host, port)))

    def create_task(self, task: ConnectTask) -> ConnectTask:
        return task.start()

    def run(self, until: float) -> None:
        """Run all callbacks due up to a time, and set the clock to it."""
        while self._timers and self._timers[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled():
                timer.callback()
        self.now = until


class ConnectTask:
    """Task that connects to a server, like the task of loop.create_connection()."""

    def __init__(self, loop: VirtualLoop, protocol_factory: Callable, server: VirtualServer | None) -> None:
        self._loop, self._protocol_factory, self._server = loop, protocol_factory, server
        self._callback: Callable = lambda task: None
        self._result: tuple[VirtualTransport, asyncio.Protocol] | None = None
        self._error: Exception | None = None
        self._is_done = self._cancelled = False

    def start(self) -> ConnectTask:
        if self._server is None or self._server.error is not None:
            self._loop.call_later(0.001, self._refuse)
        elif not self._server.silent:
            self._loop.call_later(self._server.dial_s, self._connect)
        return self

    def add_done_callback(self, callback: Callable) -> None:
        self._callback = callback

    def cancel(self) -> None:
        if not self._is_done:
            self._cancelled = self._is_done = True
            self._loop.call_soon(self._callback, self)

    def cancelled(self) -> bool:
        return self._cancelled

    def exception(self) -> Exception | None:
        return self._error

    def result(self) -> tuple[VirtualTransport, asyncio.Protocol]:
        return self._result

    def _refuse(self) -> None:
        if not self._is_done:
            self._is_done, self._error = True, ConnectionRefusedError("refused")
            if self._server is not None and self._server.error is not None:
                self._error = self._server.error
            self._callback(self)

    def _connect(self) -> None:
        if self._is_done:
            return
        if self._server.is_full():
            self._refuse()
            return
        self._is_done = True
        protocol = self._protocol_factory()
        self._result = transport, _ = VirtualTransport(self._loop, self._server, protocol), protocol
        protocol.connection_made(transport)
        self._callback(self)


class VirtualTransport:
    """Transport of the client's side of a connection."""

    def __init__(self, loop: VirtualLoop, server: VirtualServer, protocol: asyncio.Protocol) -> None:
        self._loop, self.server, self._protocol = loop, server, protocol
        self._closing = self._lost = False
        self.written: list[bytes] = []
        server.links.append(self)
        server.peak_links = max(server.peak_links, len(server.links))

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.written.append(data)
            self.server.received(self, data)

    def writelines(self, parts: tuple[bytes, ...]) -> None:
        for part in parts:
            self.write(part)

    def deliver(self, data: bytes) -> None:
        """Deliver bytes from the server."""
        if not self._closing:
            self._protocol.data_received(data)

    def abort(self) -> None:
        """Close the connection; called for either side."""
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
    """Answers each write of a client after `answer_s`; never if that is None."""

    def __init__(
        self,
        loop: VirtualLoop,
        port: int,
        dial_s: float = 0.001,
        answer_s: float | None = 0.01,
        answer: bytes = OK,
        max_connections: int = 10**6,
    ) -> None:
        self._loop, self.dial_s, self.max_connections = loop, dial_s, max_connections
        self.answer_s, self.answer = answer_s, answer
        self.silent = False  # dials get no answer
        self.error: OSError | None = None  # raised by dials, if set
        self.links: list[VirtualTransport] = []
        self.requests: list[bytes] = []
        self.peak_links = 0
        loop.servers["h", port] = self

    def is_full(self) -> bool:
        return len(self.links) >= self.max_connections

    def received(self, transport: VirtualTransport, data: bytes) -> None:
        self.requests.append(data)
        if self.answer_s is not None:
            self._loop.call_later(self.answer_s, transport.deliver, self.answer)
