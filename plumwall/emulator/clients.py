"""The load generator: clients and the load balancer in front of the gateways, as an open loop.

Each try is sent when it is due, no matter how long earlier answers take. Latency is counted from the time a
try was due, so a slow generator does not hide delay; how late tries are sent is reported as well.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections import deque
from collections.abc import Callable, Mapping

import httptools

from plumwall import records as r
from plumwall.emulator.identity import request_id
from plumwall.emulator.process import is_ready
from plumwall.emulator.tally import Tally
from plumwall.world.generator import FaultEvent, FirstTry, GeneratedWorld, draw_between

HEALTH_POLL_S = 0.1  # interval of the readiness checks of a gateway that was down
CONNECT_TIMEOUT_S = 1.0
MIN_SLEEP_S = 0.002  # timers of the event loop are not more precise
MAX_SLEEP_MS = 50.0  # a retry may become due during the sleep
MAX_BODY_BYTES = 4096  # of an answer's body that are kept for `is_server_answer`


class PendingTry:
    """A try in progress. `due_ms` is in milliseconds since the load began."""

    __slots__ = (
        "first",
        "number",
        "id",
        "gateway",
        "due_ms",
        "on_new_connection",
        "connection",
        "timer",
        "is_ended",
        "is_late",
    )

    def __init__(self, first: FirstTry, number: int, try_id: str, gateway: str, due_ms: float) -> None:
        self.first, self.number, self.id, self.gateway, self.due_ms = first, number, try_id, gateway, due_ms
        self.on_new_connection = self.is_ended = self.is_late = False
        self.connection: ClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None


class ClientConnection(asyncio.Protocol):
    """One client connection to a gateway. It carries one request at a time."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._parser = httptools.HttpResponseParser(self)
        self.pending: PendingTry | None = None
        self.is_closed = False
        self._reset()

    def _reset(self) -> None:
        self._body, self._retry_after_s, self._received_any = b"", 0.0, False

    def send(self, pending: PendingTry, data: bytes) -> None:
        """Write the request of a try."""
        self.pending = pending
        self._reset()
        self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.pending is None:
            self._target.on_unsolicited_data(self)
            return
        self._received_any = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._on_end(r.TRUNCATED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self._target.on_closed(self)
        if self.pending is not None:
            self._on_end(r.TRUNCATED if self._received_any else r.CLOSED)

    # httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"retry-after":
            self._retry_after_s = _seconds(value)

    def on_body(self, data: bytes) -> None:
        if len(self._body) < MAX_BODY_BYTES:
            self._body += data

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        keep = self._parser.should_keep_alive()
        self._on_end(r.COMPLETE, self._parser.get_status_code(), keep)

    def _on_end(self, how: str, status: int = 0, keep: bool = False) -> None:
        pending, self.pending = self.pending, None
        if pending is None:
            return
        if not keep and not self.is_closed:
            self.transport.abort()
        if status == 200 and not self._target.is_server_answer(pending, self._body):
            how = r.WRONG_BODY
        if keep:
            self._target.release(self)
        self._target.on_ended(pending, how, status, self._retry_after_s)


def _seconds(value: bytes) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds < 3600 else 0.0


class Target:
    """A gateway as the load generator sees it: whether it gets new tries, and the connections to it."""

    def __init__(self, generator: LoadGenerator, name: str, address: str) -> None:
        self._generator, self.name = generator, name
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self.is_up = True
        self._idle: list[ClientConnection] = []
        self._connections: set[ClientConnection] = set()
        self._connecting: set[asyncio.Task] = set()

    def send(self, pending: PendingTry) -> None:
        """Send a try on an idle connection, or on a new one if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                self._write(connection, pending)
                return
        self.send_on_new_connection(pending)

    def send_on_new_connection(self, pending: PendingTry) -> None:
        """Send a try on a new connection."""
        pending.on_new_connection = True
        task = self._generator.loop.create_task(self._connect(pending))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, pending: PendingTry) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._generator.loop.create_connection(
                    lambda: ClientConnection(self), *self._address
                )
        except (OSError, TimeoutError):
            self._generator.on_ended(pending, r.REFUSED, 0, 0.0)
            return
        self._connections.add(connection)
        if pending.is_ended:
            connection.abort()
        else:
            self._write(connection, pending)

    def _write(self, connection: ClientConnection, pending: PendingTry) -> None:
        pending.connection = connection
        left_ms = pending.due_ms + pending.first.try_ms - self._generator.now()
        if left_ms < 1:
            self.release(connection)
            self._generator.on_ended(pending, r.NOT_SENT, 0, 0.0)
            return
        connection.send(pending, self._generator.request_bytes(pending, left_ms))
        self._generator.on_sent(pending, left_ms)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the idle ones."""
        if not connection.is_closed:
            self._idle.append(connection)

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has closed."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def on_unsolicited_data(self, connection: ClientConnection) -> None:
        """Handle bytes after a complete answer or before any request: a protocol error of the gateway."""
        self._generator.on_unsolicited_data(self.name)
        connection.abort()

    def is_server_answer(self, pending: PendingTry, body: bytes) -> bool:
        """Whether a body is one that a server of the emulator made for this request."""
        return not self._generator.verifies_answers or body.startswith(b'{"id":"%b"' % pending.id.encode())

    def on_ended(self, pending: PendingTry, how: str, status: int, retry_s: float) -> None:
        """Handle the end of a try. A kept connection may have been closed while the request was written: the
        try is then sent again."""
        if how == r.CLOSED and not pending.on_new_connection:
            self._generator.resend(pending)
        else:
            self._generator.on_ended(pending, how, status, retry_s)

    def close(self) -> None:
        """Cancel all work and close all connections."""
        for task in self._connecting:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    async def is_ready(self) -> bool:
        """Whether the gateway reports itself ready."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await is_ready(*self._address)
        except TimeoutError:
            return False


class LoadGenerator:
    """Sends each try when it is due to one of its customer's gateways, and retries as real clients would.

    `gateways` maps names to addresses. Of all first tries, this generator sends those whose index modulo
    `shards` is `shard`. An answer that comes within `overdue_ms` after a try's deadline is still recorded.
    """

    def __init__(
        self,
        world: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        gateways: Mapping[str, str],
        shard: int = 0,
        shards: int = 1,
        overdue_ms: float = 550.0,
        verifies_answers: bool = True,
    ) -> None:
        self.world, self.loop, self._write, self._overdue_ms = world, loop, write, overdue_ms
        self.t0 = 0.0
        self.tally = Tally(
            [c.name for c in world.scenario.classes], [world.plans[c.plan].name for c in world.customers]
        )
        self.verifies_answers = verifies_answers  # a 200 must carry the id of its request
        self._names = [g.name for g in world.gateways]
        self.targets = {name: Target(self, name, gateways[name]) for name in self._names}
        self._first_tries: deque[FirstTry] = deque(t for t in world.first_tries if t.index % shards == shard)
        self._retries: list[tuple[float, int, int, FirstTry]] = []
        self.open_count = 0
        self._id_salt = world.seed
        self._notice_delay_ms = (
            draw_between(world.random_streams.stream("notice"), world.scenario.clients.notice_s) * 1000
        )
        self._request_heads = [self._request_head(i) for i in range(len(world.scenario.classes))]
        self._polling: set[asyncio.Task] = set()
        self.finished = asyncio.Event()

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def start(self) -> None:
        """Start sending."""
        self._send_due()

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event. A stopped gateway is noticed after a delay, and used again once it reports
        ready."""
        if event.kind not in ("gateway_kill", "gateway_restart"):
            return
        target = self.targets[event.target]
        task = self.loop.create_task(self._poll_until_ready(target, self._notice_delay_ms / 1000))
        self._polling.add(task)
        task.add_done_callback(self._polling.discard)

    def close(self) -> None:
        """Cancel all work and close all connections."""
        for task in self._polling:
            task.cancel()
        for target in self.targets.values():
            target.close()

    # --- Sending ------------------------------------------------------------------------------------------

    def _send_due(self) -> None:
        """Send all tries that are due, then sleep until the next one is."""
        now = self.now()
        while self._first_tries and self._first_tries[0].due_ms <= now:
            first = self._first_tries.popleft()
            self._send(first, 0, first.due_ms)
        while self._retries and self._retries[0][0] <= now:
            due, _, number, first = heapq.heappop(self._retries)
            self._send(first, number, due)
        if not self._first_tries and not self._retries and not self.open_count:
            self.finished.set()
            return
        next_due_ms = now + MAX_SLEEP_MS
        if self._first_tries:
            next_due_ms = min(next_due_ms, self._first_tries[0].due_ms)
        if self._retries:
            next_due_ms = min(next_due_ms, self._retries[0][0])
        self.loop.call_later(max(MIN_SLEEP_S, (next_due_ms - now) / 1000), self._send_due)

    def _send(self, first: FirstTry, number: int, due: float) -> None:
        gateway = self.world.gateway_of(first, number, due)
        names = self._names
        subset_size = self.world.customers[first.customer].width
        first_gateway = self.world.customers[first.customer].first
        if not self.targets[names[gateway]].is_up:  # the next gateway of the customer's subset that is up
            candidates = [(gateway + step) % len(names) for step in range(1, len(names))]
            candidates = [
                g
                for g in candidates
                if (g - first_gateway) % len(names) < subset_size and self.targets[names[g]].is_up
            ]
            gateway = candidates[0] if candidates else gateway
        pending = PendingTry(
            first, number, request_id(first.index, number, gateway, self._id_salt), names[gateway], due
        )
        self.open_count += 1
        self.tally.record_offered(due, self.now())
        self.targets[pending.gateway].send(pending)

    def request_bytes(self, pending: PendingTry, left_ms: float) -> bytes:
        """The request as it is sent."""
        first = pending.first
        customer = self.world.customers[first.customer]
        method, request_class, rest = self._request_heads[first.cls]
        retry = "X-Retry: 1\r\n" if pending.number else ""
        key = f"Idempotency-Key: {first.index:016x}\r\n" if request_class.effect == "keyed" else ""
        return (
            f"{method} /api/{customer.id}?work_ms={first.work_ms} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-Id: {pending.id}\r\nX-Class: {request_class.name}\r\n"
            f"Plan: {self.world.plans[customer.plan].name}\r\nX-Deadline: {left_ms:.0f}m\r\n"
            f"Quota-Info: units={first.guess},spread={customer.width},first={customer.first}\r\n"
            f"{key}{retry}{rest}"
        ).encode()

    def on_sent(self, pending: PendingTry, left_ms: float) -> None:
        """Record a try whose last byte is written, and start its timer."""
        now = self.now()
        self._write(
            r.Asked(
                now,
                pending.id,
                pending.first.index,
                pending.number,
                pending.gateway,
                round(left_ms, 3),
                pending.due_ms,
                pending.on_new_connection,
            )
        )
        if pending.timer is not None:
            pending.timer.cancel()
        leaves_after_ms = pending.first.leaves_ms if not pending.number else 0.0
        if leaves_after_ms and leaves_after_ms < left_ms:
            pending.timer = self.loop.call_later(leaves_after_ms / 1000, self._on_client_left, pending)
        else:
            pending.timer = self.loop.call_later(left_ms / 1000, self._on_deadline, pending)

    def resend(self, pending: PendingTry) -> None:
        """Send a try again on a new connection: the gateway closed the kept one while the request was
        written."""
        if pending.is_ended or pending.is_late:
            self.on_ended(pending, r.CLOSED, 0, 0.0)
            return
        self.targets[pending.gateway].send_on_new_connection(pending)

    def on_unsolicited_data(self, gateway: str) -> None:
        """Record bytes from a gateway on a connection without an open request."""
        self._write(r.Answered(self.now(), "", gateway, r.EXTRA_BYTES))

    # --- Ends ---------------------------------------------------------------------------------------------

    def _on_client_left(self, pending: PendingTry) -> None:
        pending.connection.pending = None
        pending.connection.abort()
        self.on_ended(pending, r.CLIENT_LEFT, 0, 0.0)

    def _on_deadline(self, pending: PendingTry) -> None:
        """Handle a try whose deadline has passed. Its client may retry, and the connection stays open for a
        while to see whether an answer still comes."""
        pending.is_late = True
        self._retry(pending, 0.0)
        pending.timer = self.loop.call_later(self._overdue_ms / 1000, self._on_overdue, pending)

    def _on_overdue(self, pending: PendingTry) -> None:
        pending.connection.pending = None
        pending.connection.abort()
        self.on_ended(pending, r.TIMED_OUT, 0, 0.0)

    def on_ended(self, pending: PendingTry, how: str, status: int, retry_s: float) -> None:
        """Record the end of a try and retry it if its client would."""
        if pending.is_ended:
            return
        pending.is_ended = True
        self.open_count -= 1
        if pending.timer is not None:
            pending.timer.cancel()
        now = self.now()
        self._write(r.Answered(now, pending.id, pending.gateway, how, status))
        self.tally.record_end(pending, how, status, now)
        if not pending.is_late and how != r.CLIENT_LEFT and not (how == r.COMPLETE and status == 200):
            self._retry(
                pending, retry_s * 1000, refused=status in (429, 503) or how in (r.REFUSED, r.NOT_SENT)
            )

    def _retry(self, pending: PendingTry, retry_ms: float, refused: bool = False) -> None:
        """Schedule a retry if any are left: always after a refusal, after a failure unless the class is
        unsafe."""
        first, clients = pending.first, self.world.scenario.clients
        request_class = self.world.scenario.classes[first.cls]
        if pending.number >= clients.retries or not (refused or request_class.effect != "unsafe"):
            return
        backoff_ms = interpolate(clients.backoff_ms, first.backoff_luck[pending.number]) * 2**pending.number
        wait_ms = max(backoff_ms, min(retry_ms, clients.max_retry_after_ms) if first.honours else 0.0)
        at_ms = self.now() + wait_ms
        if at_ms < first.due_ms + request_class.deadline_ms:
            heapq.heappush(self._retries, (at_ms, first.index, pending.number + 1, first))

    async def _poll_until_ready(self, target: Target, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        target.is_up = await target.is_ready()
        while not target.is_up:
            await asyncio.sleep(HEALTH_POLL_S)
            target.is_up = await target.is_ready()

    def _request_head(self, class_index: int) -> tuple[str, object, str]:
        request_class = self.world.scenario.classes[class_index]
        if request_class.effect == "safe":
            return "GET", request_class, "\r\n"
        return "POST", request_class, "Content-Length: 2\r\n\r\n{}"


def interpolate(span: object, fraction: float) -> float:
    """The value of a span at `fraction` (0 to 1, drawn earlier)."""
    return span.least + (span.most - span.least) * fraction
