"""One gateway in virtual time: the real decision module within a model of `yewstage/net`.

The processor is a FIFO queue: each event takes its measured cost after those before it. Connections follow
the rules of the gateway's pool: the most recently used idle one first, at most as many as the module allows,
and a dialled connection goes to the attempt that has waited longest, not to the one that caused the dial.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from plumwall import records as r
from plumwall.simulate.clock import LOAD_START_UNIX_MS, Clock, Timer
from plumwall.simulate.hosts import HOP_MS, SimAgent, SimCounter, SimServer, SimServers
from plumwall.world.generator import GatewaySpec, GeneratedWorld
from yewstage import interface as api
from yewstage.net.config import Config, parse
from yewstage.net.core import (
    GUARD_MARGIN_MS,
    MODULE_MARGIN_MS,
    TRANSIT_MS,
    UPSTREAM_SHARE,
)
from yewstage.net.discovery import parse_listing
from yewstage.net.loop_monitor import STALL_THRESHOLD_S
from yewstage.net.pool import IDLE_LIMIT_SHARES, SWEEP_INTERVAL_S
from yewstage.policy import Gateway

# Processor time of a gateway by kind of event, in ms. Request, send and end add up to what a served
# request costs on this project's machine (0.25 ms at a full core, `plumwall up capacity`), split as in a
# profile of connections.
REQUEST_COST_MS, SEND_COST_MS, END_COST_MS, COUNT_COST_MS, LIST_COST_MS, TIMER_COST_MS = (
    0.09,
    0.05,
    0.11,
    0.03,
    0.4,
    0.08,
)
START_MS = 250.0  # from the start of a process until it is ready
SHUTDOWN_ACCEPT_MS = 500.0  # new requests are accepted for this long after SIGTERM
TIMEOUT_GRACE_MS = 5.0  # margin after a timeout before it takes effect


class Client(Protocol):
    """The client of a request."""

    def on_answer(self, status: int, retry_ms: float) -> None:
        """Receive the final answer; `retry_ms` is the Retry-After time, 0 for none."""

    def on_connection_lost(self) -> None:
        """Handle a connection that ended without an answer."""


class OpenRequest:
    """A request that a gateway has accepted; it stays open until its last attempt has ended."""

    __slots__ = ("rid", "client", "cls", "deadline_at_ms", "deadline_timer", "attempts")

    def __init__(self, rid: str, client: Client, cls: api.RequestClass, deadline_at_ms: float) -> None:
        self.rid, self.cls, self.deadline_at_ms = rid, cls, deadline_at_ms
        self.client: Client | None = client
        self.deadline_timer: Timer | None = None
        self.attempts: list[Attempt | None] = []


class Attempt:
    """One attempt at a server, from its creation to its only outcome."""

    __slots__ = (
        "request",
        "number",
        "pool",
        "gateway",
        "rid",
        "is_new_connection",
        "expires_ms",
        "sent_at_ms",
        "is_connected",
        "is_done",
        "timeout_timer",
        "wait_timer",
        "owner",
        "start_by_ms",
    )

    def __init__(
        self,
        owner: SimGateway,
        request: OpenRequest,
        number: int,
        pool: ServerPool,
        wait_ms: float,
        start_ms: float,
    ) -> None:
        now = owner.clock.now
        self.owner, self.request, self.number, self.pool = owner, request, number, pool
        self.gateway, self.rid = owner.spec.name, request.rid
        self.expires_ms, self.sent_at_ms = now + max(wait_ms, 1.0), now
        self.start_by_ms = now + start_ms  # the attempt must not start later
        self.is_connected = self.is_new_connection = self.is_done = False
        self.timeout_timer = owner.clock.after(wait_ms + TIMEOUT_GRACE_MS, self._on_timeout)
        self.wait_timer: Timer | None = None

    # Called by the server

    def on_reply(self, result: str, units: float, report: dict[str, float]) -> None:
        """Receive the answer, and release the connection."""
        if not self.is_done:
            self.pool.release()
            results = {"served": api.OK, "error": api.ERROR}
            self._end(results.get(result, api.FULL), units, report)

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""
        if not self.is_done:
            self.pool.discard()
            self._end(api.RESET)

    # Called by the pool

    def send(self, is_new_connection: bool) -> None:
        """Send the request on a connection."""
        self._cancel_wait_timer()
        self.is_connected, self.is_new_connection = True, is_new_connection
        self.owner.clock.after(HOP_MS, self.pool.server.receive, self)

    def on_no_connection(self, result: str) -> None:
        """End the attempt, as no connection was available; `result` says why."""
        self._cancel_wait_timer()
        self._end(result)

    def wait_for_connection(self, for_ms: float) -> None:
        """Wait for a connection, at most until the latest start of the attempt."""
        for_ms = min(for_ms, max(self.start_by_ms - self.owner.clock.now, 0.0))
        self.wait_timer = self.owner.clock.after(for_ms, self._on_wait_expired)

    def cancel(self) -> None:
        """Cancel the attempt on behalf of the module."""
        if not self.is_done:
            self._leave_pool()
            self._end(api.CANCELLED)

    def _on_wait_expired(self) -> None:
        self.pool.waiting.remove(self)
        self.on_no_connection(api.START_EXPIRED)

    def _on_timeout(self) -> None:
        if self.is_done:
            return
        is_waiting = not self.is_connected
        result = api.TIMED_OUT if self.is_connected else api.CONNECT_FAILED
        if is_waiting and not self.pool.dial_count:
            result = api.START_EXPIRED
        self._leave_pool()
        self._end(result)

    def _leave_pool(self) -> None:
        if self.is_connected:
            self.pool.discard()
            self.pool.server.on_closed(self)
        elif self in self.pool.waiting:
            self.pool.waiting.remove(self)
        self._cancel_wait_timer()

    def _cancel_wait_timer(self) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()

    def _end(self, result: str, units: float = 0.0, report: dict[str, float] | None = None) -> None:
        self.is_done = True
        self.timeout_timer.cancel()
        self.owner.on_attempt_ended(self, result, units, report or {})


class ServerPool:
    """Connection pool of a gateway for one server."""

    __slots__ = ("server", "owner", "idle_until_ms", "open_count", "dial_count", "waiting", "is_draining")

    def __init__(self, server: SimServer, owner: SimGateway) -> None:
        self.server, self.owner = server, owner
        # Expiry time of each idle connection, the most recently used last.
        self.idle_until_ms: deque[float] = deque()
        self.open_count = self.dial_count = 0
        self.waiting: deque[Attempt] = deque()
        self.is_draining = False

    def acquire(self, attempt: Attempt) -> None:
        """Give the attempt an idle connection at once, or the next one that is dialled or released."""
        while self.idle_until_ms:
            if self.idle_until_ms.pop() > self.owner.clock.now:
                attempt.send(is_new_connection=False)
                return
            self._count_closed()
        self.waiting.append(attempt)
        attempt.wait_for_connection(self.owner.dial_ms + 2 * TIMEOUT_GRACE_MS)
        self.dial_for_waiting()

    def dial_for_waiting(self) -> None:
        """Dial for the waiting attempts, as far as the limits of connections allow."""
        while (
            len(self.waiting) > self.dial_count
            and self.open_count + self.dial_count < self.owner.max_connections(self.server.spec.name)
            and self.owner.make_room()
        ):
            self.dial_count += 1
            self.owner.connections += 1
            name = self.owner.spec.name
            is_reachable = self.server.reachable(name)
            took_ms = (
                self.owner.dial_ms
                if is_reachable is None
                else self.owner.servers.round_trip_ms(name, self.server.spec)
            )
            self.owner.clock.after(took_ms, self.on_dialled, is_reachable, self.owner.incarnation)

    def on_dialled(self, is_reachable: bool | None, incarnation: int) -> None:
        """Handle the end of a dial: connected (True), refused (False) or no answer (None)."""
        if incarnation != self.owner.incarnation:
            return
        self.dial_count -= 1
        if is_reachable and self.server.model is not None:
            self.open_count += 1
            self.server.connections += 1
            self.owner.on_dialled(self.server.spec.name)
            self._assign(is_new_connection=True)
            return
        self.owner.connections -= 1
        if is_reachable is None:
            self.close_idle()  # idle connections to an unreachable machine look open but are dead
        if len(self.waiting) > self.dial_count:
            self.waiting.popleft().on_no_connection(api.CONNECT_FAILED)

    def release(self) -> None:
        """Return a connection after its request has ended normally."""
        self._assign(is_new_connection=False)

    def discard(self) -> None:
        """Remove a connection that was lost or closed during a request."""
        self._count_closed()
        self.dial_for_waiting()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle_until_ms:
            self.idle_until_ms.pop()
            self._count_closed()

    def close_expired(self) -> None:
        """Close the connections whose idle time has run out."""
        now = self.owner.clock.now
        while self.idle_until_ms and self.idle_until_ms[0] <= now:
            self.idle_until_ms.popleft()
            self._count_closed()

    def shut_down(self) -> None:
        """Close the pool, as its server is no longer listed: waiting attempts fail."""
        self.close_idle()
        while self.waiting:
            self.waiting.popleft().on_no_connection(api.CONNECT_FAILED)

    def _assign(self, is_new_connection: bool) -> None:
        if self.waiting:
            self.waiting.popleft().send(is_new_connection)
        elif self.is_draining:
            self._count_closed()
        else:
            idle_share = self.owner.rng.uniform(*IDLE_LIMIT_SHARES)
            self.idle_until_ms.append(self.owner.clock.now + self.owner.idle_ms * idle_share)

    def _count_closed(self) -> None:
        self.open_count -= 1
        self.server.connections -= 1
        self.owner.connections -= 1


class SimGateway:
    """One gateway over all of its incarnations."""

    def __init__(
        self,
        spec: GatewaySpec,
        world: GeneratedWorld,
        clock: Clock,
        servers: SimServers,
        counter: SimCounter,
        agent: SimAgent,
        write: Callable[[r.Record], None],
        make_module: Callable[[api.Settings, int], Gateway] = Gateway,
    ) -> None:
        self.spec, self.clock, self.servers = spec, clock, servers
        self._world, self._counter, self._agent, self._write, self._make_module = (
            world,
            counter,
            agent,
            write,
            make_module,
        )
        self.incarnation = 0
        self.is_up = self.is_accepting = self._is_ending = False
        self.busy_ms = 0.0  # processor time of all incarnations
        self.refusals: Counter[str] = Counter()
        # The list of servers as last known before a stop, given to the next incarnation.
        self._saved_listing: dict[str, object] | None = agent.agent.listing()
        self._reset_state()

    # --- Lifecycle ----------------------------------------------------------------------------------------

    def _reset_state(self) -> None:
        """Reset to the state of a new process."""
        self.incarnation += 1
        seed = int(
            self._world.random_streams.stream("gateway", self.spec.name, self.incarnation).integers(2**63)
        )
        raw = {
            "name": self.spec.name,
            "listen": "sim:1",
            "discovery": "sim:2",
            "counter": "sim:3",
            "seed": f"{seed:016x}",
            "settings": self._world.settings(self.spec),
            "known": self._saved_listing,
            "limits": {"sockets": self._world.scenario.fleet.sockets},
        }
        config: Config = parse(raw)
        self.rng = random.Random(seed)
        self.module = self._make_module(config.settings, config.seed)
        self.dial_ms, self.idle_ms = config.dial_timeout_ms, config.idle_limit_ms
        self._max_connections = int(UPSTREAM_SHARE * config.sockets)
        self._settings, self._fallback_listing = config.settings, config.fallback_listing
        self._classes = {cls.name: cls for cls in config.settings.classes}
        self.pools: dict[str, ServerPool] = {}
        self.connections = 0
        self._open: dict[str, OpenRequest] = {}
        self._free_at_ms = self.clock.now
        self._generation: int | None = None

    def start(self, immediately: bool = False) -> None:
        """Start the process; it serves after START_MS, or immediately."""
        if immediately:
            self._on_ready(self.incarnation)
        else:
            self._reset_state()
            self.clock.after(START_MS, self._on_ready, self.incarnation)

    def _on_ready(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.is_up = self.is_accepting = True
        self._is_ending = False
        self._apply_listing(self._fallback_listing, "kept")
        self._agent.on_change = self._fetch_listing
        self._fetch_listing()
        self.clock.after(SWEEP_INTERVAL_S * 1000, self._close_expired, incarnation)
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "ready"))

    def kill(self) -> None:
        """Kill the process: its connections end without answers."""
        if not self.is_up:
            return
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "killed"))
        self._stop()

    def restart(self) -> None:
        """Send SIGTERM: it accepts requests for SHUTDOWN_ACCEPT_MS more, finishes all and starts again."""
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "stopping"))
        self._is_ending = True
        self.clock.after(SHUTDOWN_ACCEPT_MS, self._stop_accepting, self.incarnation)

    def _stop_accepting(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.is_accepting = False
            self._end_if_idle()

    def _end_if_idle(self) -> None:
        if self._is_ending and not self.is_accepting and self.is_up and not self._open:
            self._write(r.GatewayIs(self.clock.now, self.spec.name, "ended"))
            self._stop()
            self.start()

    def _stop(self) -> None:
        self.is_up = self.is_accepting = False
        self.incarnation += 1  # callbacks of the old incarnation are ignored
        self._agent.on_change = None
        self._saved_listing = self._agent.agent.listing()
        open_requests, self._open = self._open, {}
        for request in open_requests.values():
            for attempt in request.attempts:
                if attempt is not None and not attempt.is_done:
                    attempt.is_done = True
                    attempt.timeout_timer.cancel()
                    if attempt.is_connected:
                        attempt.pool.server.on_closed(attempt)
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
            if request.client is not None:
                request.client.on_connection_lost()
        for pool in self.pools.values():
            pool.server.connections -= pool.open_count

    # --- The processor ------------------------------------------------------------------------------------

    def _enqueue(self, cost_ms: float, callback: Callable[..., None], *args: object) -> None:
        """Queue a call for the processor; it runs once all before it and its own cost are done."""
        begins_at_ms = max(self.clock.now, self._free_at_ms)
        self._free_at_ms = begins_at_ms + cost_ms
        self.busy_ms += cost_ms
        self.clock.at(self._free_at_ms, self._run_if_current, self.incarnation, callback, args)

    def _run_if_current(self, incarnation: int, callback: Callable[..., None], args: tuple) -> None:
        if incarnation == self.incarnation:
            callback(*args)

    def _handle_event(self, event: api.Event) -> None:
        for action in self.module.handle(LOAD_START_UNIX_MS + self.clock.now, event):
            self._perform(action)

    # --- Clients ------------------------------------------------------------------------------------------

    def receive(self, client: Client, parameters: dict[str, object]) -> None:
        """Receive a request; the parameters are those of `ClientRequest` of `yewstage/net`."""
        self._enqueue(REQUEST_COST_MS, self._accept, client, parameters, self.clock.now)

    def _accept(self, client: Client, parameters: dict[str, object], received_at_ms: float) -> None:
        now = self.clock.now
        waited_ms = now - received_at_ms - REQUEST_COST_MS
        left_ms = (
            parameters["left_ms"] - TRANSIT_MS - (waited_ms if waited_ms > STALL_THRESHOLD_S * 1000 else 0.0)
        )
        cls = self._classes[parameters["cls"]]
        rid = parameters["rid"]
        request = self._open[rid] = OpenRequest(rid, client, cls, now + left_ms - GUARD_MARGIN_MS)
        request.deadline_timer = self.clock.at(request.deadline_at_ms, self._on_deadline, request)
        self._handle_event(
            api.Request(
                rid,
                cls.name,
                parameters["plan"],
                parameters["customer"],
                left_ms - MODULE_MARGIN_MS,
                parameters["units"],
                parameters["width"],
                parameters["first"],
                parameters["repeat"],
                True,
                cls,
            )
        )

    def on_client_left(self, rid: str) -> None:
        """Handle a client that has disconnected."""
        request = self._open.get(rid)
        if request is not None and request.client is not None:
            self._close(request)
            self._handle_event(api.ClientLeft(rid))

    def _on_deadline(self, request: OpenRequest) -> None:
        if request.client is not None:
            self._answer(request, 504)
            self._handle_event(api.ClientLeft(request.rid))

    def _answer(self, request: OpenRequest | None, status: int, retry_ms: float = 0.0) -> None:
        if request is None or request.client is None:
            return
        client = request.client
        self._close(request)
        self.clock.after(HOP_MS, client.on_answer, status, retry_ms)

    def _close(self, request: OpenRequest) -> None:
        request.client = None
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._forget_if_done(request)

    def _forget_if_done(self, request: OpenRequest) -> None:
        if request.client is None and all(attempt is None or attempt.is_done for attempt in request.attempts):
            if self._open.pop(request.rid, None) is not None:
                self._end_if_idle()

    # --- Servers ------------------------------------------------------------------------------------------

    def max_connections(self, server: str) -> int:
        """Return the maximum number of connections to one server."""
        return max(1, self.module.connection_limit(server))

    def make_room(self) -> bool:
        """Return whether another connection may be dialled; at the limit the longest idle one is closed."""
        if self.connections < self._max_connections:
            return True
        pools = [pool for pool in self.pools.values() if pool.idle_until_ms]
        if not pools:
            return False
        pool = min(pools, key=lambda pool: pool.idle_until_ms[0])
        pool.idle_until_ms.popleft()
        pool._count_closed()
        return True

    def on_dialled(self, server: str) -> None:
        """Record a new connection."""
        self._write(r.Dialled(self.clock.now, self.spec.name, server))

    def _send(self, action: api.Send) -> None:
        request, now = self._open.get(action.request), self.clock.now
        pool = self.pools.get(action.server)
        number = len(request.attempts) if request is not None else 0
        if request is None or request.client is None or request.deadline_at_ms <= now:
            if request is not None:
                request.attempts.append(None)
            final = request is None or request.client is None
            self._report_outcome(action.request, number, action.server, api.START_EXPIRED, 0.0, final)
            return
        left_ms = request.deadline_at_ms - now
        wait_ms = min(action.timeout_ms, left_ms) if action.timeout_ms else left_ms
        if pool is None:
            request.attempts.append(None)
            self._report_outcome(
                action.request, number, action.server, api.CONNECT_FAILED, 0.0, False, nothing_sent=True
            )
            return
        attempt = Attempt(self, request, number, pool, wait_ms, action.start_deadline_ms)
        request.attempts.append(attempt)
        self._enqueue(SEND_COST_MS, self._start_attempt, attempt)

    def _start_attempt(self, attempt: Attempt) -> None:
        if not attempt.is_done:
            attempt.pool.acquire(attempt)

    def on_attempt_ended(self, attempt: Attempt, result: str, units: float, report: dict[str, float]) -> None:
        """Queue the handling of the outcome of an attempt."""
        self._enqueue(END_COST_MS, self._finish_attempt, attempt, result, units, report, self.clock.now)

    def _finish_attempt(
        self, attempt: Attempt, result: str, units: float, report: dict[str, float], ended_at_ms: float
    ) -> None:
        request = attempt.request
        if result == api.OK:
            self._answer(request, 200)
        final = request.client is None
        self._forget_if_done(request)
        self._report_outcome(
            request.rid,
            attempt.number,
            attempt.pool.server.spec.name,
            result,
            ended_at_ms - attempt.sent_at_ms,
            final,
            units,
            report,
            not attempt.is_connected,
        )

    def _report_outcome(
        self,
        rid: str,
        number: int,
        server: str,
        result: str,
        took_ms: float,
        final: bool,
        units: float = 0.0,
        report: dict[str, float] | None = None,
        nothing_sent: bool = False,
    ) -> None:
        self._handle_event(
            api.Outcome(
                rid,
                number,
                server,
                result,
                took_ms,
                final,
                billed_units=units,
                load_report=report or {},
                nothing_sent=nothing_sent,
            )
        )

    # --- List and counter ---------------------------------------------------------------------------------

    def _fetch_listing(self) -> None:
        """Fetch the changes of the list of servers, as a permanent long poll does."""
        raw = self._agent.listing(self._generation)
        if raw is not None and (raw["reset"] or raw["instances"]):
            listing = parse_listing(raw)
            self._generation = listing.generation
            self._enqueue(
                LIST_COST_MS, self._apply_listing, listing, "full" if listing.is_full else "changes"
            )

    def _apply_listing(self, listing: object, kind: str) -> None:
        gone = {server.name for server in listing.servers if server.status == "removed"}
        if kind != "changes":
            gone |= set(self.pools) - {server.name for server in listing.servers}
        for name in sorted(gone & set(self.pools)):
            self.pools.pop(name).shut_down()
        for server in listing.servers:
            if server.status == "removed":
                continue
            pool = self.pools.get(server.name)
            if pool is None:
                pool = self.pools[server.name] = ServerPool(self.servers.all[server.name], self)
            pool.is_draining = server.status == "draining"
            if pool.is_draining:
                pool.close_idle()
        if listing.servers or kind != "changes":
            self._handle_event(api.ServerList(kind, listing.servers))

    def _call_counter(self, action: api.Count) -> None:
        sent_at_ms, incarnation = self.clock.now, self.incarnation
        wait_timer = self.clock.after(
            self._settings.count_wait_ms,
            self._on_count,
            action.name,
            api.TIMED_OUT,
            0.0,
            sent_at_ms,
            incarnation,
        )

        def on_total(total: float | None) -> None:
            if wait_timer.callback is not None:
                wait_timer.cancel()
                result = api.FULL if total is None else api.OK
                self._on_count(action.name, result, total or 0.0, sent_at_ms, incarnation)

        self._counter.call(self.spec.name, action.name, action.amount, action.ttl_ms, on_total)

    def _on_count(self, name: str, result: str, total: float, sent_at_ms: float, incarnation: int) -> None:
        if incarnation == self.incarnation:
            reply = api.CountReply(name, result, total, self.clock.now - sent_at_ms)
            self._enqueue(COUNT_COST_MS, self._handle_event, reply)

    # --- Actions ------------------------------------------------------------------------------------------

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self.refusals[action.reason] += 1
                self._answer(self._open.get(action.request), 503, action.retry_after_ms)
            case api.Fail():
                self._answer(self._open.get(action.request), 502)
            case api.Cancel():
                request = self._open.get(action.request)
                attempt = request.attempts[action.attempt] if request is not None else None
                if attempt is not None:
                    attempt.cancel()
            case api.Timer():
                self.clock.after(max(action.delay_ms, 0.0), self._on_timer, action.name, self.incarnation)
            case api.Count():
                self._call_counter(action)
            case api.Subscribe() | api.Log():
                pass
            case _:
                raise TypeError(f"action is not simulated: {action!r}")

    def _on_timer(self, name: str, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._enqueue(TIMER_COST_MS, self._handle_event, api.TimerDue(name))

    def _close_expired(self, incarnation: int) -> None:
        """Close expired idle connections periodically."""
        if incarnation == self.incarnation:
            for pool in self.pools.values():
                pool.close_expired()
            self.clock.after(SWEEP_INTERVAL_S * 1000, self._close_expired, incarnation)

    def figures(self) -> r.Figures:
        """Return the figures that a gateway shows on its operators' address."""
        refusals = {reason: float(count) for reason, count in sorted(self.refusals.items())}
        pressure, admitted = round(self.module.smoothed_occupancy, 4), round(self.module.admit_fraction, 4)
        return r.Figures(self.clock.now, self.spec.name, refusals, pressure, admitted)
