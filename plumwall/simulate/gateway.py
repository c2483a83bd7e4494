"""One gateway in virtual time: the module in service, round it a model of what `yewstage/net` does.

A processor is a line: each event takes its measured cost, and waits for those before it. Links go by the
pool's rules: the freshest idle one first, as many as the module allows, dials that belong to nobody.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from plumwall import records as r
from plumwall.simulate.clock import UNIX_MS, Clock, Timer
from plumwall.simulate.hosts import HOP_MS, AgentHost, CounterHost, Host, Hosts
from plumwall.world.generator import GatewaySpec, GeneratedWorld
from yewstage import interface as api
from yewstage.net.config import Config, parse
from yewstage.net.core import (
    GUARD_MARGIN_MS,
    MODULE_MARGIN_MS,
    STALL_THRESHOLD_MS,
    TRANSIT_MS,
    UPSTREAM_SHARE,
)
from yewstage.net.discovery import parse_listing
from yewstage.net.pool import IDLE_LIMIT_SHARES, SWEEP_INTERVAL_S
from yewstage.policy import Gateway

# Processor time of a gateway, ms, by what it handles: together what a served request costs it on this
# project's machine (0.25 ms at a full core, `plumwall up capacity`), split as a profile of links has it.
COST_REQUEST, COST_SEND, COST_END, COST_COUNT, COST_LIST, COST_SWEEP = 0.09, 0.05, 0.11, 0.03, 0.4, 0.08
START_MS = 250.0  # from the start of a process until it serves
ACCEPT_MS = 500.0  # after SIGTERM, for which new requests are taken
LATE_MS = 5.0  # beyond a time-out, before it is believed


class Client(Protocol):
    """Who is owed an answer."""

    def answered(self, status: int, retry_ms: float) -> None:
        """The final answer."""

    def dropped(self) -> None:
        """The connection ended with no answer."""


class Open:
    """A request that a gateway has taken."""

    __slots__ = ("rid", "client", "cls", "end_at", "guard", "attempts")

    def __init__(self, rid: str, client: Client, cls: api.RequestClass, end_at: float) -> None:
        self.rid, self.cls, self.end_at = rid, cls, end_at
        self.client: Client | None = client
        self.guard: Timer | None = None
        self.attempts: list[Attempt | None] = []


class Attempt:
    """One attempt at a server."""

    __slots__ = (
        "request",
        "number",
        "lane",
        "gateway",
        "rid",
        "fresh",
        "expires_ms",
        "sent_at",
        "linked",
        "done",
        "timer",
        "waits",
        "owner",
        "start_by",
    )

    def __init__(
        self, owner: SimGateway, request: Open, number: int, lane: Lane, wait_ms: float, start_ms: float
    ) -> None:
        now = owner.clock.now
        self.owner, self.request, self.number, self.lane = owner, request, number, lane
        self.gateway, self.rid = owner.spec.name, request.rid
        self.expires_ms, self.sent_at = now + max(wait_ms, 1.0), now
        self.start_by = now + start_ms  # not begun by then, it does not begin
        self.linked = self.fresh = self.done = False
        self.timer = owner.clock.after(wait_ms + LATE_MS, self._overdue)
        self.waits: Timer | None = None

    # From its server

    def replied(self, result: str, units: float, report: dict[str, float]) -> None:
        """Its answer has come: the link is free."""
        if not self.done:
            self.lane.free()
            results = {"served": api.OK, "error": api.ERROR}
            self._end(results.get(result, api.FULL), units, report)

    def broke(self) -> None:
        """Its link is gone."""
        if not self.done:
            self.lane.gone()
            self._end(api.RESET)

    # From its lane

    def write(self, fresh: bool) -> None:
        """It has a link."""
        self._stop_waiting()
        self.linked, self.fresh = True, fresh
        self.owner.clock.after(HOP_MS, self.lane.host.arrive, self)

    def unlinked(self, result: str) -> None:
        """It gets none."""
        self._stop_waiting()
        self._end(result)

    def wait(self, for_ms: float) -> None:
        """As long as a link is worth waiting for."""
        for_ms = min(for_ms, max(self.start_by - self.owner.clock.now, 0.0))
        self.waits = self.owner.clock.after(for_ms, self._waited_enough)

    def cancel(self) -> None:
        """It is given up."""
        if not self.done:
            self._abandon()
            self._end(api.CANCELLED)

    def _waited_enough(self) -> None:
        self.lane.waiting.remove(self)
        self.unlinked(api.START_EXPIRED)

    def _overdue(self) -> None:
        if self.done:
            return
        waits = not self.linked
        result = api.TIMED_OUT if self.linked else api.CONNECT_FAILED
        if waits and not self.lane.dialling:
            result = api.START_EXPIRED
        self._abandon()
        self._end(result)

    def _abandon(self) -> None:
        if self.linked:
            self.lane.gone()
            self.lane.host.closed(self)
        elif self in self.lane.waiting:
            self.lane.waiting.remove(self)
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        if self.waits is not None:
            self.waits.cancel()

    def _end(self, result: str, units: float = 0.0, report: dict[str, float] | None = None) -> None:
        self.done = True
        self.timer.cancel()
        self.owner.ended(self, result, units, report or {})


class Lane:
    """A gateway's links to one server."""

    __slots__ = ("host", "owner", "idle", "open", "dialling", "waiting", "leaving")

    def __init__(self, host: Host, owner: SimGateway) -> None:
        self.host, self.owner = host, owner
        self.idle: deque[float] = deque()  # until when each idle link is kept, the freshest last
        self.open = self.dialling = 0
        self.waiting: deque[Attempt] = deque()
        self.leaving = False

    def want(self, attempt: Attempt) -> None:
        """A link, at once or when one is up or free."""
        while self.idle:
            if self.idle.pop() > self.owner.clock.now:
                attempt.write(fresh=False)
                return
            self._closed()
        self.waiting.append(attempt)
        attempt.wait(self.owner.dial_ms + 2 * LATE_MS)
        self.grow()

    def grow(self) -> None:
        """Dial for whoever waits, as far as there is room."""
        while (
            len(self.waiting) > self.dialling
            and self.open + self.dialling < self.owner.bound(self.host.spec.name)
            and self.owner.room()
        ):
            self.dialling += 1
            self.owner.links += 1
            name = self.owner.spec.name
            up = self.host.reachable(name)
            took_ms = self.owner.dial_ms if up is None else self.owner.hosts.way_ms(name, self.host.spec)
            self.owner.clock.after(took_ms, self.dialled, up, self.owner.life)

    def dialled(self, up: bool | None, life: int) -> None:
        """What a dial came to: up, refused, or nothing was heard."""
        if life != self.owner.life:
            return
        self.dialling -= 1
        if up and self.host.model is not None:
            self.open += 1
            self.host.connections += 1
            self.owner.dialled(self.host.spec.name)
            self._offer(fresh=True)
            return
        self.owner.links -= 1
        if up is None:
            self.close_idle()  # a machine that is cut off leaves its links open and silent
        if len(self.waiting) > self.dialling:
            self.waiting.popleft().unlinked(api.CONNECT_FAILED)

    def free(self) -> None:
        """A link has done its job."""
        self._offer(fresh=False)

    def gone(self) -> None:
        """A link with a job has ended."""
        self._closed()
        self.grow()

    def close_idle(self) -> None:
        """All that nobody uses go."""
        while self.idle:
            self.idle.pop()
            self._closed()

    def sweep(self) -> None:
        """Retire what was idle for long."""
        now = self.owner.clock.now
        while self.idle and self.idle[0] <= now:
            self.idle.popleft()
            self._closed()

    def turn_away(self) -> None:
        """The server is listed no more."""
        self.close_idle()
        while self.waiting:
            self.waiting.popleft().unlinked(api.CONNECT_FAILED)

    def _offer(self, fresh: bool) -> None:
        if self.waiting:
            self.waiting.popleft().write(fresh)
        elif self.leaving:
            self._closed()
        else:
            share = self.owner.rng.uniform(*IDLE_LIMIT_SHARES)
            self.idle.append(self.owner.clock.now + self.owner.idle_ms * share)

    def _closed(self) -> None:
        self.open -= 1
        self.host.connections -= 1
        self.owner.links -= 1


class SimGateway:
    """One gateway over all of its lives."""

    def __init__(
        self,
        spec: GatewaySpec,
        drawn: GeneratedWorld,
        clock: Clock,
        hosts: Hosts,
        counter: CounterHost,
        agent: AgentHost,
        write: Callable[[r.Record], None],
        make: Callable[[api.Settings, int], Gateway] = Gateway,
    ) -> None:
        self.spec, self.clock, self.hosts = spec, clock, hosts
        self._drawn, self._counter, self._agent, self._write, self._make = drawn, counter, agent, write, make
        self.life = 0
        self.up = self.accepting = self._ending = False
        self.busy_ms = 0.0  # processor time of all lives
        self.refusals: Counter[str] = Counter()
        self._kept: dict[str, object] | None = agent.agent.listing()  # the list as it had it last
        self._begin()

    # --- Life ---------------------------------------------------------------------------------------------

    def _begin(self) -> None:
        """A process that knows nothing."""
        self.life += 1
        seed = int(self._drawn.random_streams.stream("gateway", self.spec.name, self.life).integers(2**63))
        raw = {
            "name": self.spec.name,
            "listen": "sim:1",
            "discovery": "sim:2",
            "counter": "sim:3",
            "seed": f"{seed:016x}",
            "settings": self._drawn.settings(self.spec),
            "known": self._kept,
            "limits": {"sockets": self._drawn.scenario.fleet.sockets},
        }
        config: Config = parse(raw)
        self.rng = random.Random(seed)
        self.module = self._make(config.settings, config.seed)
        self.dial_ms, self.idle_ms = config.dial_timeout_ms, config.idle_limit_ms
        self._most_links = int(UPSTREAM_SHARE * config.sockets)
        self._settings, self._known = config.settings, config.fallback_listing
        self._classes = {c.name: c for c in config.settings.classes}
        self.lanes: dict[str, Lane] = {}
        self.links = 0
        self._open: dict[str, Open] = {}
        self._free_at = self.clock.now
        self._generation: int | None = None

    def start(self, at_once: bool = False) -> None:
        """It serves, a little after its process was started."""
        if at_once:
            self._ready(self.life)
        else:
            self._begin()
            self.clock.after(START_MS, self._ready, self.life)

    def _ready(self, life: int) -> None:
        if life != self.life:
            return
        self.up = self.accepting = True
        self._ending = False
        self._listed(self._known, "kept")
        self._agent.news = self._ask
        self._ask()
        self.clock.after(SWEEP_INTERVAL_S * 1000, self._retire, life)
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "ready"))

    def kill(self) -> None:
        """It dies where it stands."""
        if not self.up:
            return
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "killed"))
        self._die()

    def restart(self) -> None:
        """SIGTERM: it takes new requests a little longer, finishes what it has, and another life begins."""
        self._write(r.GatewayIs(self.clock.now, self.spec.name, "stopping"))
        self._ending = True
        self.clock.after(ACCEPT_MS, self._stop_accepting, self.life)

    def _stop_accepting(self, life: int) -> None:
        if life == self.life:
            self.accepting = False
            self._end_if_done()

    def _end_if_done(self) -> None:
        if self._ending and not self.accepting and self.up and not self._open:
            self._write(r.GatewayIs(self.clock.now, self.spec.name, "ended"))
            self._die()
            self.start()

    def _die(self) -> None:
        self.up = self.accepting = False
        self.life += 1  # what is on its way to this life comes to nobody
        self._agent.news = None
        self._kept = self._agent.agent.listing()
        open_, self._open = self._open, {}
        for request in open_.values():
            for attempt in request.attempts:
                if attempt is not None and not attempt.done:
                    attempt.done = True
                    attempt.timer.cancel()
                    if attempt.linked:
                        attempt.lane.host.closed(attempt)
            if request.guard is not None:
                request.guard.cancel()
            if request.client is not None:
                request.client.dropped()
        for lane in self.lanes.values():
            lane.host.connections -= lane.open

    # --- The processor ------------------------------------------------------------------------------------

    def _work(self, cost_ms: float, call: Callable[..., None], *args: object) -> None:
        """Handle something once all that came before it is done."""
        begins = max(self.clock.now, self._free_at)
        self._free_at = begins + cost_ms
        self.busy_ms += cost_ms
        self.clock.at(self._free_at, self._handle_if, self.life, call, args)

    def _handle_if(self, life: int, call: Callable[..., None], args: tuple) -> None:
        if life == self.life:
            call(*args)

    def _post(self, event: api.Event) -> None:
        for act in self.module.handle(UNIX_MS + self.clock.now, event):
            self._act(act)

    # --- Clients ------------------------------------------------------------------------------------------

    def request(self, client: Client, words: dict[str, object]) -> None:
        """A request has come; `words` as `ClientRequest` has them."""
        self._work(COST_REQUEST, self._take, client, words, self.clock.now)

    def _take(self, client: Client, words: dict[str, object], came_at: float) -> None:
        now = self.clock.now
        waited = now - came_at - COST_REQUEST
        left_ms = words["left_ms"] - TRANSIT_MS - (waited if waited > STALL_THRESHOLD_MS else 0.0)
        cls = self._classes[words["cls"]]
        rid = words["rid"]
        request = self._open[rid] = Open(rid, client, cls, now + left_ms - GUARD_MARGIN_MS)
        request.guard = self.clock.at(request.end_at, self._guard, request)
        self._post(
            api.Request(
                rid,
                cls.name,
                words["plan"],
                words["customer"],
                left_ms - MODULE_MARGIN_MS,
                words["units"],
                words["width"],
                words["first"],
                words["repeat"],
                True,
                cls,
            )
        )

    def left(self, rid: str) -> None:
        """The client is gone."""
        request = self._open.get(rid)
        if request is not None and request.client is not None:
            self._close(request)
            self._post(api.ClientLeft(rid))

    def _guard(self, request: Open) -> None:
        if request.client is not None:
            self._answer(request, 504)
            self._post(api.ClientLeft(request.rid))

    def _answer(self, request: Open | None, status: int, retry_ms: float = 0.0) -> None:
        if request is None or request.client is None:
            return
        client = request.client
        self._close(request)
        self.clock.after(HOP_MS, client.answered, status, retry_ms)

    def _close(self, request: Open) -> None:
        request.client = None
        if request.guard is not None:
            request.guard.cancel()
        self._forget(request)

    def _forget(self, request: Open) -> None:
        if request.client is None and all(a is None or a.done for a in request.attempts):
            if self._open.pop(request.rid, None) is not None:
                self._end_if_done()

    # --- Servers ------------------------------------------------------------------------------------------

    def bound(self, server: str) -> int:
        """Links to one server."""
        return max(1, self.module.connection_limit(server))

    def room(self) -> bool:
        """Whether another link may be dialled; the one that is idle longest gives way."""
        if self.links < self._most_links:
            return True
        idle = [lane for lane in self.lanes.values() if lane.idle]
        if not idle:
            return False
        lane = min(idle, key=lambda lane: lane.idle[0])
        lane.idle.popleft()
        lane._closed()
        return True

    def dialled(self, server: str) -> None:
        """A connection is up."""
        self._write(r.Dialled(self.clock.now, self.spec.name, server))

    def _send(self, act: api.Send) -> None:
        request, now = self._open.get(act.request), self.clock.now
        lane = self.lanes.get(act.server)
        number = len(request.attempts) if request is not None else 0
        if request is None or request.client is None or request.end_at <= now:
            if request is not None:
                request.attempts.append(None)
            final = request is None or request.client is None
            self._outcome(act.request, number, act.server, api.START_EXPIRED, 0.0, final)
            return
        left_ms = request.end_at - now
        wait_ms = min(act.timeout_ms, left_ms) if act.timeout_ms else left_ms
        if lane is None:
            request.attempts.append(None)
            self._outcome(act.request, number, act.server, api.CONNECT_FAILED, 0.0, False, unbegun=True)
            return
        attempt = Attempt(self, request, number, lane, wait_ms, act.start_deadline_ms)
        request.attempts.append(attempt)
        self._work(COST_SEND, self._begin_attempt, attempt)

    def _begin_attempt(self, attempt: Attempt) -> None:
        if not attempt.done:
            attempt.lane.want(attempt)

    def ended(self, attempt: Attempt, result: str, units: float, report: dict[str, float]) -> None:
        """An attempt's one end."""
        self._work(COST_END, self._ended, attempt, result, units, report, self.clock.now)

    def _ended(
        self, attempt: Attempt, result: str, units: float, report: dict[str, float], at: float
    ) -> None:
        request = attempt.request
        if result == api.OK:
            self._answer(request, 200)
        final = request.client is None
        self._forget(request)
        self._outcome(
            request.rid,
            attempt.number,
            attempt.lane.host.spec.name,
            result,
            at - attempt.sent_at,
            final,
            units,
            report,
            not attempt.linked,
        )

    def _outcome(
        self,
        rid: str,
        number: int,
        server: str,
        result: str,
        took_ms: float,
        final: bool,
        units: float = 0.0,
        report: dict[str, float] | None = None,
        unbegun: bool = False,
    ) -> None:
        self._post(
            api.Outcome(
                rid,
                number,
                server,
                result,
                took_ms,
                final,
                billed_units=units,
                load_report=report or {},
                nothing_sent=unbegun,
            )
        )

    # --- List and counter ---------------------------------------------------------------------------------

    def _ask(self) -> None:
        """What is new of the list, as a watch that is always on has it."""
        raw = self._agent.listing(self._generation)
        if raw is not None and (raw["reset"] or raw["instances"]):
            listing = parse_listing(raw)
            self._generation = listing.generation
            self._work(COST_LIST, self._listed, listing, "full" if listing.is_full else "changes")

    def _listed(self, listing: object, kind: str) -> None:
        gone = {s.name for s in listing.servers if s.status == "removed"}
        if kind != "changes":
            gone |= set(self.lanes) - {s.name for s in listing.servers}
        for name in sorted(gone & set(self.lanes)):
            self.lanes.pop(name).turn_away()
        for server in listing.servers:
            if server.status == "removed":
                continue
            lane = self.lanes.get(server.name)
            if lane is None:
                lane = self.lanes[server.name] = Lane(self.hosts.all[server.name], self)
            lane.leaving = server.status == "draining"
            if lane.leaving:
                lane.close_idle()
        if listing.servers or kind != "changes":
            self._post(api.ServerList(kind, listing.servers))

    def _count(self, act: api.Count) -> None:
        sent_at, life = self.clock.now, self.life
        wait = self.clock.after(
            self._settings.count_wait_ms, self._counted, act.name, api.TIMED_OUT, 0.0, sent_at, life
        )

        def told(total: float | None) -> None:
            if wait.call is not None:
                wait.cancel()
                result = api.FULL if total is None else api.OK
                self._counted(act.name, result, total or 0.0, sent_at, life)

        self._counter.call(self.spec.name, act.name, act.amount, act.ttl_ms, told)

    def _counted(self, name: str, result: str, total: float, sent_at: float, life: int) -> None:
        if life == self.life:
            reply = api.CountReply(name, result, total, self.clock.now - sent_at)
            self._work(COST_COUNT, self._post, reply)

    # --- Actions ------------------------------------------------------------------------------------------

    def _act(self, act: api.Action) -> None:
        match act:
            case api.Send():
                self._send(act)
            case api.Refuse():
                self.refusals[act.reason] += 1
                self._answer(self._open.get(act.request), 503, act.retry_after_ms)
            case api.Fail():
                self._answer(self._open.get(act.request), 502)
            case api.Cancel():
                request = self._open.get(act.request)
                attempt = request.attempts[act.attempt] if request is not None else None
                if attempt is not None:
                    attempt.cancel()
            case api.Timer():
                self.clock.after(max(act.delay_ms, 0.0), self._due, act.name, self.life)
            case api.Count():
                self._count(act)
            case api.Subscribe() | api.Log():
                pass
            case _:
                raise TypeError(f"the simulation knows no such action: {act!r}")

    def _due(self, name: str, life: int) -> None:
        if life == self.life:
            self._work(COST_SWEEP, self._post, api.TimerDue(name))

    def _retire(self, life: int) -> None:
        """Let links go that were idle for long."""
        if life == self.life:
            for lane in self.lanes.values():
                lane.sweep()
            self.clock.after(SWEEP_INTERVAL_S * 1000, self._retire, life)

    def figures(self) -> r.Figures:
        """What operators would read."""
        refusals = {why: float(n) for why, n in sorted(self.refusals.items())}
        pressure, admitted = round(self.module.smoothed_occupancy, 4), round(self.module.admit_fraction, 4)
        return r.Figures(self.clock.now, self.spec.name, refusals, pressure, admitted)
