"""Statement servers, the counter and the agents in virtual time: the models of `world`, without sockets."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import numpy as np

from plumwall import records as r
from plumwall.simulate.clock import UNIX_MS, Clock, Timer
from plumwall.world.counter import Counter
from plumwall.world.directory import DRAINING, GONE, READY, Agent, Directory, Entry
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, ServerSpec, draw_between
from plumwall.world.server import ERROR, SERVED, DeduplicationGroup, Job, Server

HOP_MS = 0.05  # from one process to another on one machine, as the emulator has it
TOLD_MS = 6000.0  # after which what an agent holds counts as told, fetched or not


class Sent(Protocol):
    """An attempt that a gateway has sent to a server."""

    rid: str
    gateway: str
    fresh: bool
    expires_ms: float

    def replied(self, result: str, units: float, report: dict[str, float]) -> None:
        """Its answer is on its way: served, error, or never ran."""

    def broke(self) -> None:
        """Its connection is gone."""


class Host:
    """One server."""

    def __init__(
        self, spec: ServerSpec, pod: DeduplicationGroup, hosts: Hosts, rng: np.random.Generator
    ) -> None:
        self.spec, self._pod, self._hosts, self._rng = spec, pod, hosts, rng
        self._clock = hosts.clock
        self.model: Server | None = None
        self.silent = False  # the machine is gone without a sign
        self.cut: frozenset[str] = frozenset()  # gateways to which nothing passes
        self.connections = 0
        self._open: dict[Sent, Job] = {}
        self._timer: Timer | None = None

    def reachable(self, gateway: str) -> bool | None:
        """Whether a dial comes up, is refused (False), or hears nothing (None)."""
        if self.silent or gateway in self.cut:
            return None
        return self.model is not None

    def start(self, cold: bool) -> None:
        """A life begins."""
        self._end("reset")
        rules = self._hosts.drawn.scenario.rules
        now = self._clock.now
        self.model = Server(self.spec, self._pod, self._rng, now, cold, rules.fall_multiple, rules.fall_ms)
        self.silent = False
        if cold:
            self._hosts.write(r.ServerIs(now, self.spec.name, "started"))

    def crash(self, state: str) -> None:
        """The process ends: connections are reset, new ones refused."""
        self._end("reset")
        self._hosts.write(r.ServerIs(self._clock.now, self.spec.name, state))

    def vanish(self) -> None:
        """The machine is gone without a sign."""
        self.silent = True
        self._end("silent")
        self._hosts.write(r.ServerIs(self._clock.now, self.spec.name, "silent"))

    def _end(self, result: str) -> None:
        self.model = None
        if self._timer is not None:
            self._timer.cancel()
        open_, self._open = self._open, {}
        for sent, job in open_.items():
            self._over(sent, job, result, False)
            if result == "reset":
                sent.broke()

    # --- Requests -----------------------------------------------------------------------------------------

    def arrive(self, sent: Sent) -> None:
        """A whole request is here, unless nothing passes."""
        if self.silent or sent.gateway in self.cut:
            return  # nobody hears it, and nobody says so
        now, model = self._clock.now, self.model
        if model is None:
            sent.broke()
            return
        job = self._hosts.job(sent, self.spec)
        self._hosts.write(r.Arrived(now, sent.rid, self.spec.name, sent.gateway, now, round(job.work_ms, 3)))
        self._open[sent] = job
        job.done = sent
        standing = not model.has_collapsed
        result = "full" if self.connections > self.spec.connections else model.offer(now, job)
        if model.has_collapsed and standing:
            self._hosts.write(r.ServerIs(now, self.spec.name, "fallen"))
        if result != SERVED:
            job.result = result
            self._finish(job)
        self._arm()

    def closed(self, sent: Sent) -> None:
        """Its gateway has closed the connection: the work goes on, nobody is told."""
        job = self._open.pop(sent, None)
        if job is not None:
            self._over(sent, job, "closed", False)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.model.due() if self.model is not None else math.inf
        self._timer = self._clock.at(due, self._advance) if due < math.inf else None

    def _advance(self) -> None:
        self._timer = None
        if self.model is None:
            return
        for job in self.model.advance(self._clock.now):
            self._finish(job)
        self._arm()

    def _finish(self, job: Job) -> None:
        if job.done in self._open:
            self._clock.after(self._hosts.way_ms(job.done.gateway, self.spec), self._tell, job)

    def _tell(self, job: Job) -> None:
        sent = job.done
        if sent not in self._open or sent.gateway in self.cut:
            return
        del self._open[sent]
        if self._hosts.loses_answer():
            self._over(sent, job, "reset", False)
            sent.broke()
            return
        self._over(sent, job, job.result, True)
        report = self.model.report(self._clock.now) if self.model is not None else {}
        units = self._hosts.units(job.id) if job.result == SERVED else 0.0
        sent.replied(job.result if job.result in (SERVED, ERROR) else "never", units, report)

    def _over(self, sent: Sent, job: Job, result: str, told: bool) -> None:
        now = self._clock.now
        self._hosts.write(r.Ended(now, job.id, self.spec.name, sent.gateway, result, job.begun, told))


class Hosts:
    """All servers."""

    def __init__(self, drawn: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self.drawn, self.clock, self.write = drawn, clock, write
        self._windows = [c.window_ms for c in drawn.scenario.classes]
        self._lost, self._luck = 0.0, drawn.random_streams.stream("lost", 0)
        network, rng = drawn.scenario.network, drawn.random_streams.stream("network")
        self._same = float(rng.uniform(network.same_ms.least, network.same_ms.most))
        self._cross = float(rng.uniform(network.cross_ms.least, network.cross_ms.most))
        self._zones = {gateway.name: gateway.zone for gateway in drawn.gateways}
        pods: dict[int, DeduplicationGroup] = {}
        self.all = {
            spec.name: Host(
                spec,
                pods.setdefault(spec.cell, DeduplicationGroup()),
                self,
                drawn.random_streams.stream("server", spec.name),
            )
            for spec in drawn.servers
        }

    def begin(self) -> None:
        """All that are there at the start, warm."""
        for host in self.all.values():
            if host.spec.at_start:
                host.start(cold=False)

    def way_ms(self, gateway: str, server: ServerSpec) -> float:
        """There and back."""
        same = self._zones[gateway] == server.zone
        return 2 * (self._same if same else self._cross) + HOP_MS

    def units(self, rid: str) -> float:
        """The true units of a request."""
        return float(self.drawn.tries[int(rid[:8], 16)].units)

    def loses_answer(self) -> bool:
        """Whether the path breaks under this answer."""
        return self._lost > 0 and self._luck.random() < self._lost

    def job(self, sent: Sent, spec: ServerSpec) -> Job:
        """The work of a request."""
        first = self.drawn.tries[int(sent.rid[:8], 16)]
        keyed = self.drawn.scenario.classes[first.cls].effect == "keyed"
        work = first.work_ms + (spec.handshake_ms if sent.fresh else 0.0)
        key = f"{first.index:016x}" if keyed else ""
        return Job(sent.rid, work, sent.expires_ms, key, self._windows[first.cls] if keyed else 0.0)

    def change(self, change: FaultEvent) -> None:
        """Carry out what the fault plan says of servers and the ways to them."""
        if change.kind == "answers_lost":
            self._lost = change.size
        elif change.kind in ("zone_cut", "zone_joined"):
            for host in self.all.values():
                inside = host.spec.zone == change.target
                apart = frozenset(n for n, z in self._zones.items() if (z == change.target) != inside)
                host.cut = apart if change.kind == "zone_cut" else frozenset()
        elif change.target in self.all:
            self._change_host(self.all[change.target], change)

    def _change_host(self, host: Host, change: FaultEvent) -> None:
        match change.kind:
            case "server_crash":
                host.crash("crashed")
            case "server_stop":
                host.crash("stopped")
            case "server_start":
                host.start(cold=True)
            case "server_silent":
                host.vanish()
            case "server_drain" if host.model is not None:
                host.model.draining = True
                self.write(r.ServerIs(self.clock.now, host.spec.name, "draining"))
            case "server_fails" if host.model is not None:
                host.model.fails = change.size
            case "server_slow" if host.model is not None:
                host.model.slow = change.size


class CounterHost:
    """The quota counter, in the first zone."""

    def __init__(self, drawn: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        figures, rng = drawn.scenario.counter, drawn.random_streams.stream("counter")
        self._drawn, self._clock, self._write = drawn, clock, write
        self._zone = drawn.scenario.fleet.zones[0]
        self.model = Counter(
            draw_between(rng, figures.calls_per_s),
            figures.parts,
            draw_between(rng, figures.call_ms),
            figures.queue_ms,
        )
        self._cut: frozenset[str] = frozenset()

    def call(
        self, gateway: str, name: str, amount: float, keep_ms: float, told: Callable[[float | None], None]
    ) -> bool:
        """One call; `told` of its total, or None where it was turned away. False: nobody hears it."""
        now = self._clock.now
        if gateway in self._cut:
            return False
        counted = self.model.add(now, name, amount, keep_ms)
        result = "silent" if counted is None else "full" if counted.total is None else "ok"
        self._write(r.Counted(now, gateway, result))
        if counted is None:
            return False
        self._clock.at(counted.at_ms + HOP_MS, told, counted.total)
        return True

    def change(self, change: FaultEvent) -> None:
        """What the fault plan says of it."""
        if change.kind == "counter_down":
            self.model.fail()
        elif change.kind == "counter_up":
            self.model.recover(self._clock.now)
        elif change.kind == "zone_cut":
            here = self._zone == change.target
            gateways = self._drawn.gateways
            self._cut = frozenset(g.name for g in gateways if (g.zone == change.target) != here)
        elif change.kind == "zone_joined":
            self._cut = frozenset()


class AgentHost:
    """One gateway's agent."""

    def __init__(self, agent: Agent, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self.agent, self._clock, self._write = agent, clock, write
        self.news: Callable[[], None] | None = None  # a watch that waits
        self._told: set[tuple[str, str, float]] = set()
        self._missed: list[Entry] | None = None

    def learn(self, entry: Entry) -> None:
        """News has reached the agent."""
        if self._missed is not None:
            self._missed.append(entry)
        elif self.agent.learn(entry):
            self._clock.after(TOLD_MS, self._count_as_told, entry)
            if self.news is not None:
                self.news()

    def silence(self, down: bool) -> None:
        """While discovery is down the agent says nothing and hears nothing; then it hears all at once."""
        if down and self._missed is None:
            self._missed = []
        elif not down and self._missed is not None:
            missed, self._missed = self._missed, None
            for entry in missed:
                self.learn(entry)
            if self.news is not None:
                self.news()

    def listing(self, after: int | None) -> dict[str, object] | None:
        """What is told to one who knows the list up to a generation; None while discovery is down."""
        if self._missed is not None:
            return None
        news = self.agent.changes_since(after)
        self._tell(list(self.agent.entries.values()) if news is None else news)
        return self.agent.listing(after)

    def _count_as_told(self, entry: Entry) -> None:
        if self.agent.entries[entry.server.name] == entry:
            self._tell([entry])

    def _tell(self, entries: list[Entry]) -> None:
        for entry in entries:
            key = (entry.server.name, entry.lifecycle, entry.started_at_ms)
            if key not in self._told:
                self._told.add(key)
                self._write(r.Told(self._clock.now, self.agent.gateway, *key))


class Agents:
    """All agents, and when each learns of what happens to a server."""

    KINDS = {
        "server_crash": ("gone", GONE),
        "server_stop": ("gone", GONE),
        "server_silent": ("silent", GONE),
        "server_drain": ("drain", DRAINING),
        "server_start": ("start", READY),
    }

    def __init__(self, drawn: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self._clock = clock
        self._directory = Directory(drawn.scenario.listing, drawn.random_streams.stream("directory"))
        self._specs = {server.name: server for server in drawn.servers}
        self._started: dict[str, float] = {}
        addresses = {server.name: f"sim:{1 + i}" for i, server in enumerate(drawn.servers)}
        self.all = {g.name: self._agent(g, addresses, drawn, write) for g in drawn.gateways}

    def _agent(
        self,
        gateway: GatewaySpec,
        addresses: dict[str, str],
        drawn: GeneratedWorld,
        write: Callable[[r.Record], None],
    ) -> AgentHost:
        agent = Agent(gateway.name, addresses)
        for server in drawn.servers:
            if server.at_start:
                agent.learn(Entry(server, READY, 0.0))
        return AgentHost(agent, self._clock, write)

    def change(self, change: FaultEvent) -> None:
        """What the fault plan says of the list."""
        if change.kind == "list_late":
            self._directory.late = change.size
        elif change.kind in ("list_down", "list_up"):
            for agent in self.all.values():
                agent.silence(change.kind == "list_down")
        elif change.kind in self.KINDS:
            what, lifecycle = self.KINDS[change.kind]
            if lifecycle == READY:
                self._started[change.target] = round(UNIX_MS + self._clock.now, 3)
            entry = Entry(self._specs[change.target], lifecycle, self._started.get(change.target, 0.0))
            times = self._directory.arrivals(self._clock.now, what, len(self.all))
            for agent, at in zip(self.all.values(), times, strict=True):
                self._clock.at(at, agent.learn, entry)
