"""The front and its clients: an open loop that asks when it is due to, however long answers take.

A late generator does not thin the load: latency counts from when a try was due, and how late it was sent is
told beside it.
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

HEALTH_POLL_S = 0.1  # spacing of the front's look whether a gateway that was down is ready again
DIAL_S = 1.0
AHEAD_S = 0.002  # the loop's timers know no less
LONGEST_SLEEP_MS = 50.0  # retries may come to be due meanwhile
LONGEST = 4096  # of an answer's body that is looked at


class PendingTry:
    """A try on its way."""

    __slots__ = ("first", "number", "id", "gateway", "due", "fresh", "line", "timer", "over", "late")

    def __init__(self, first: FirstTry, number: int, rid: str, gateway: str, due: float) -> None:
        self.first, self.number, self.id, self.gateway, self.due = first, number, rid, gateway, due
        self.fresh = self.over = self.late = False
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None


class Line(asyncio.Protocol):
    """One connection of the front to a gateway: one request at a time."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._parser = httptools.HttpResponseParser(self)
        self.pending: PendingTry | None = None
        self.closed = False
        self._begin()

    def _begin(self) -> None:
        self._body, self._retry, self._any = b"", 0.0, False

    def send(self, pending: PendingTry, data: bytes) -> None:
        """Write a request."""
        self.pending = pending
        self._begin()
        self.transport.write(data)

    def drop(self) -> None:
        """End the connection."""
        self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.pending is None:
            self._target.spoke_unasked(self)
            return
        self._any = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(r.TRUNCATED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._target.lost(self)
        if self.pending is not None:
            self._end(r.TRUNCATED if self._any else r.CLOSED)

    # httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"retry-after":
            self._retry = _seconds(value)

    def on_body(self, data: bytes) -> None:
        if len(self._body) < LONGEST:
            self._body += data

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        keep = self._parser.should_keep_alive()
        self._end(r.WHOLE, self._parser.get_status_code(), keep)

    def _end(self, how: str, status: int = 0, keep: bool = False) -> None:
        pending, self.pending = self.pending, None
        if pending is None:
            return
        if not keep and not self.closed:
            self.transport.abort()
        if status == 200 and not self._target.made_by_server(pending, self._body):
            how = r.WRONG
        if keep:
            self._target.idle(self)
        self._target.ended(pending, how, status, self._retry)


def _seconds(value: bytes) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds < 3600 else 0.0


class Target:
    """A gateway as the front sees it: whether it sends there, and its connections."""

    def __init__(self, front: LoadGenerator, name: str, address: str) -> None:
        self._front, self.name = front, name
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self.up = True
        self._idle: list[Line] = []
        self._lines: set[Line] = set()
        self._dialling: set[asyncio.Task] = set()

    def send(self, pending: PendingTry) -> None:
        """Send a try on an idle connection, or on a new one."""
        while self._idle:
            line = self._idle.pop()
            if not line.closed:
                self._write(line, pending)
                return
        self.send_afresh(pending)

    def send_afresh(self, pending: PendingTry) -> None:
        """On a new connection."""
        pending.fresh = True
        task = self._front.loop.create_task(self._dial(pending))
        self._dialling.add(task)
        task.add_done_callback(self._dialling.discard)

    async def _dial(self, pending: PendingTry) -> None:
        try:
            async with asyncio.timeout(DIAL_S):
                _, line = await self._front.loop.create_connection(lambda: Line(self), *self._address)
        except (OSError, TimeoutError):
            self._front.ended(pending, r.REFUSED, 0, 0.0)
            return
        self._lines.add(line)
        if pending.over:
            line.drop()
        else:
            self._write(line, pending)

    def _write(self, line: Line, pending: PendingTry) -> None:
        pending.line = line
        left = pending.due + pending.first.try_ms - self._front.now()
        if left < 1:
            self.idle(line)
            self._front.ended(pending, r.NOT_SENT, 0, 0.0)
            return
        line.send(pending, self._front.bytes_of(pending, left))
        self._front.sent(pending, left)

    def idle(self, line: Line) -> None:
        """A connection is free again."""
        if not line.closed:
            self._idle.append(line)

    def lost(self, line: Line) -> None:
        """A connection has ended."""
        self._lines.discard(line)
        if line in self._idle:
            self._idle.remove(line)

    def spoke_unasked(self, line: Line) -> None:
        """Bytes behind a whole answer, or before any request."""
        self._front.spoke_unasked(self.name)
        line.drop()

    def made_by_server(self, pending: PendingTry, body: bytes) -> bool:
        """Whether a body is what one of our servers made for this request."""
        return not self._front.known_servers or body.startswith(b'{"id":"%b"' % pending.id.encode())

    def ended(self, pending: PendingTry, how: str, status: int, retry_s: float) -> None:
        """A try has come to its end here. A kept connection may have been closed as we wrote: once more."""
        if how == r.CLOSED and not pending.fresh:
            self._front.resend(pending)
        else:
            self._front.ended(pending, how, status, retry_s)

    def close(self) -> None:
        """The run is over."""
        for task in self._dialling:
            task.cancel()
        for line in list(self._lines):
            line.drop()

    async def ready(self) -> bool:
        """Whether it says that it can serve."""
        try:
            async with asyncio.timeout(DIAL_S):
                return await is_ready(*self._address)
        except TimeoutError:
            return False


class LoadGenerator:
    """Sends each try when it is due to one of its customer's gateways, and retries as clients do."""

    def __init__(
        self,
        world: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        gateways: Mapping[str, str],
        shard: int = 0,
        shards: int = 1,
        overdue_ms: float = 550.0,
        known_servers: bool = True,
    ) -> None:
        self.world, self.loop, self._write, self._overdue_ms = world, loop, write, overdue_ms
        self.t0 = 0.0
        self.tally = Tally(
            [c.name for c in world.scenario.classes], [world.plans[c.plan].name for c in world.customers]
        )
        self.known_servers = known_servers  # their answers name the request
        self._names = [g.name for g in world.gateways]
        self.targets = {name: Target(self, name, gateways[name]) for name in self._names}
        self._todo: deque[FirstTry] = deque(t for t in world.tries if t.index % shards == shard)
        self._retries: list[tuple[float, int, int, FirstTry]] = []
        self.open = 0
        self._salt = world.seed
        self._notice_ms = (
            draw_between(world.random_streams.stream("notice"), world.scenario.clients.notice_s) * 1000
        )
        self._heads = [self._head(i) for i in range(len(world.scenario.classes))]
        self._watching: set[asyncio.Task] = set()
        self.over = asyncio.Event()

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def begin(self) -> None:
        """Ask from now on."""
        self._turn()

    def change(self, change: FaultEvent) -> None:
        """The front finds out late that a gateway is gone, and by its word that it is back."""
        if change.kind not in ("gateway_kill", "gateway_restart"):
            return
        target = self.targets[change.target]
        task = self.loop.create_task(self._watch(target, self._notice_ms / 1000))
        self._watching.add(task)
        task.add_done_callback(self._watching.discard)

    def close(self) -> None:
        """The run is over."""
        for task in self._watching:
            task.cancel()
        for target in self.targets.values():
            target.close()

    # --- Sending ------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        """Send all that is due, then sleep until the next is."""
        now = self.now()
        while self._todo and self._todo[0].due_ms <= now:
            first = self._todo.popleft()
            self._send(first, 0, first.due_ms)
        while self._retries and self._retries[0][0] <= now:
            due, _, number, first = heapq.heappop(self._retries)
            self._send(first, number, due)
        if not self._todo and not self._retries and not self.open:
            self.over.set()
            return
        following = now + LONGEST_SLEEP_MS
        if self._todo:
            following = min(following, self._todo[0].due_ms)
        if self._retries:
            following = min(following, self._retries[0][0])
        self.loop.call_later(max(AHEAD_S, (following - now) / 1000), self._turn)

    def _send(self, first: FirstTry, number: int, due: float) -> None:
        gateway = self.world.gateway_of(first, number, due)
        names = self._names
        width = self.world.customers[first.customer].width
        begins = self.world.customers[first.customer].first
        if not self.targets[names[gateway]].up:  # another of its set, the next one round
            ring = [(gateway + step) % len(names) for step in range(1, len(names))]
            ring = [g for g in ring if (g - begins) % len(names) < width and self.targets[names[g]].up]
            gateway = ring[0] if ring else gateway
        pending = PendingTry(
            first, number, request_id(first.index, number, gateway, self._salt), names[gateway], due
        )
        self.open += 1
        self.tally.offered(due, self.now())
        self.targets[pending.gateway].send(pending)

    def bytes_of(self, pending: PendingTry, left_ms: float) -> bytes:
        """The request on the wire."""
        first = pending.first
        customer = self.world.customers[first.customer]
        method, cls, tail = self._heads[first.cls]
        retry = "X-Retry: 1\r\n" if pending.number else ""
        key = f"Idempotency-Key: {first.index:016x}\r\n" if cls.effect == "keyed" else ""
        return (
            f"{method} /api/{customer.id}?work_ms={first.work_ms} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-Id: {pending.id}\r\nX-Class: {cls.name}\r\n"
            f"Plan: {self.world.plans[customer.plan].name}\r\nX-Deadline: {left_ms:.0f}m\r\n"
            f"Quota-Info: units={first.guess},spread={customer.width},first={customer.first}\r\n"
            f"{key}{retry}{tail}"
        ).encode()

    def sent(self, pending: PendingTry, left_ms: float) -> None:
        """Its last byte is written."""
        now = self.now()
        self._write(
            r.Asked(
                now,
                pending.id,
                pending.first.index,
                pending.number,
                pending.gateway,
                round(left_ms, 3),
                pending.due,
                pending.fresh,
            )
        )
        if pending.timer is not None:
            pending.timer.cancel()
        leaves = pending.first.leaves_ms if not pending.number else 0.0
        if leaves and leaves < left_ms:
            pending.timer = self.loop.call_later(leaves / 1000, self._leave, pending)
        else:
            pending.timer = self.loop.call_later(left_ms / 1000, self._late, pending)

    def resend(self, pending: PendingTry) -> None:
        """The gateway closed a kept connection as we wrote on it: once more, on a new one."""
        if pending.over or pending.late:
            self.ended(pending, r.CLOSED, 0, 0.0)
            return
        self.targets[pending.gateway].send_afresh(pending)

    def spoke_unasked(self, gateway: str) -> None:
        """A gateway said something on a connection where nothing was open."""
        self._write(r.Answered(self.now(), "", gateway, r.DOUBLE))

    # --- Ends ---------------------------------------------------------------------------------------------

    def _leave(self, pending: PendingTry) -> None:
        pending.line.pending = None
        pending.line.drop()
        self.ended(pending, r.LEFT, 0, 0.0)

    def _late(self, pending: PendingTry) -> None:
        """Its time is up. Whether an answer still comes is listened for a while; its client goes on."""
        pending.late = True
        self._retry(pending, 0.0)
        pending.timer = self.loop.call_later(self._overdue_ms / 1000, self._overdue, pending)

    def _overdue(self, pending: PendingTry) -> None:
        pending.line.pending = None
        pending.line.drop()
        self.ended(pending, r.TIMED_OUT, 0, 0.0)

    def ended(self, pending: PendingTry, how: str, status: int, retry_s: float) -> None:
        """A try is over."""
        if pending.over:
            return
        pending.over = True
        self.open -= 1
        if pending.timer is not None:
            pending.timer.cancel()
        now = self.now()
        self._write(r.Answered(now, pending.id, pending.gateway, how, status))
        self.tally.ended(pending, how, status, now)
        if not pending.late and how != r.LEFT and not (how == r.WHOLE and status == 200):
            self._retry(
                pending, retry_s * 1000, refused=status in (429, 503) or how in (r.REFUSED, r.NOT_SENT)
            )

    def _retry(self, pending: PendingTry, retry_ms: float, refused: bool = False) -> None:
        """A client asks again: after what was refused always, after what failed if that does no harm."""
        first, clients = pending.first, self.world.scenario.clients
        cls = self.world.scenario.classes[first.cls]
        if pending.number >= clients.retries or not (refused or cls.effect != "unsafe"):
            return
        backoff = interpolate(clients.backoff_ms, first.backoff_luck[pending.number]) * 2**pending.number
        wait = max(backoff, min(retry_ms, clients.max_retry_after_ms) if first.honours else 0.0)
        at = self.now() + wait
        if at < first.due_ms + cls.deadline_ms:
            heapq.heappush(self._retries, (at, first.index, pending.number + 1, first))

    async def _watch(self, target: Target, after_s: float) -> None:
        await asyncio.sleep(after_s)
        target.up = await target.ready()
        while not target.up:
            await asyncio.sleep(HEALTH_POLL_S)
            target.up = await target.ready()

    def _head(self, cls: int) -> tuple[str, object, str]:
        made = self.world.scenario.classes[cls]
        if made.effect == "safe":
            return "GET", made, "\r\n"
        return "POST", made, "Content-Length: 2\r\n\r\n{}"


def interpolate(span: object, luck: float) -> float:
    """A number of a span, by a luck drawn ahead."""
    return span.least + (span.most - span.least) * luck
