"""Servers, quota counter and discovery agents in virtual time, on the models of `plumwall.world`."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import numpy as np

from plumwall import records as r
from plumwall.simulate.clock import LOAD_START_UNIX_MS, Clock, Timer
from plumwall.world.counter import Counter
from plumwall.world.directory import DRAINING, GONE, READY, Agent, Directory, Entry
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, ServerSpec, draw_between
from plumwall.world.server import ERROR, SERVED, DeduplicationGroup, Job, Server

HOP_MS = 0.05  # latency between two processes on one machine, as in the emulator
REPORTED_AFTER_MS = 6000.0  # an entry counts as reported after this even if the gateway has not fetched it


class SentAttempt(Protocol):
    """An attempt that a gateway has sent to a server."""

    rid: str
    gateway: str
    is_new_connection: bool
    expires_ms: float

    def on_reply(self, result: str, units: float, report: dict[str, float]) -> None:
        """Receive the answer; `result` is served, error or never (the request was not run)."""

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""


class SimServer:
    """One server over all of its incarnations, with the requests that it holds."""

    def __init__(
        self,
        spec: ServerSpec,
        deduplication: DeduplicationGroup,
        servers: SimServers,
        rng: np.random.Generator,
    ) -> None:
        self.spec, self._deduplication, self._servers, self._rng = spec, deduplication, servers, rng
        self._clock = servers.clock
        self.model: Server | None = None
        self.is_silent = False  # the machine is lost: nothing is answered or reset
        self.unreachable_from: frozenset[str] = frozenset()  # names of gateways cut off from it
        self.connections = 0
        self._open: dict[SentAttempt, Job] = {}
        self._timer: Timer | None = None

    def reachable(self, gateway: str) -> bool | None:
        """Return whether a dial succeeds (True), is refused (False) or gets no answer (None)."""
        if self.is_silent or gateway in self.unreachable_from:
            return None
        return self.model is not None

    def start(self, cold: bool) -> None:
        """Start a new incarnation; `cold` means that it has to warm up."""
        self._end("reset")
        rules = self._servers.world.scenario.rules
        now = self._clock.now
        self.model = Server(
            self.spec, self._deduplication, self._rng, now, cold, rules.fall_multiple, rules.fall_ms
        )
        self.is_silent = False
        if cold:
            self._servers.write(r.ServerIs(now, self.spec.name, "started"))

    def crash(self, state: str) -> None:
        """End the process: connections are reset, new ones refused; `state` is the one recorded."""
        self._end("reset")
        self._servers.write(r.ServerIs(self._clock.now, self.spec.name, state))

    def vanish(self) -> None:
        """Lose the machine: connections stay open but silent."""
        self.is_silent = True
        self._end("silent")
        self._servers.write(r.ServerIs(self._clock.now, self.spec.name, "silent"))

    def _end(self, result: str) -> None:
        self.model = None
        if self._timer is not None:
            self._timer.cancel()
        open_attempts, self._open = self._open, {}
        for attempt, job in open_attempts.items():
            self._record_end(attempt, job, result, False)
            if result == "reset":
                attempt.on_connection_lost()

    # --- Requests -----------------------------------------------------------------------------------------

    def receive(self, attempt: SentAttempt) -> None:
        """Receive a complete request, unless the network drops it."""
        if self.is_silent or attempt.gateway in self.unreachable_from:
            return  # dropped by the network: the sender gets no answer
        now, model = self._clock.now, self.model
        if model is None:
            attempt.on_connection_lost()
            return
        job = self._servers.make_job(attempt, self.spec)
        self._servers.write(
            r.Arrived(now, attempt.rid, self.spec.name, attempt.gateway, now, round(job.work_ms, 3))
        )
        self._open[attempt] = job
        job.completion_handle = attempt
        was_standing = not model.has_collapsed
        result = "full" if self.connections > self.spec.connections else model.offer(now, job)
        if model.has_collapsed and was_standing:
            self._servers.write(r.ServerIs(now, self.spec.name, "fallen"))
        if result != SERVED:
            job.result = result
            self._finish(job)
        self._schedule()

    def on_closed(self, attempt: SentAttempt) -> None:
        """Handle a connection closed by the gateway: the work continues, the answer is dropped."""
        job = self._open.pop(attempt, None)
        if job is not None:
            self._record_end(attempt, job, "closed", False)

    def _schedule(self) -> None:
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
        self._schedule()

    def _finish(self, job: Job) -> None:
        if job.completion_handle in self._open:
            self._clock.after(
                self._servers.round_trip_ms(job.completion_handle.gateway, self.spec), self._deliver, job
            )

    def _deliver(self, job: Job) -> None:
        attempt = job.completion_handle
        if attempt not in self._open or attempt.gateway in self.unreachable_from:
            return
        del self._open[attempt]
        if self._servers.draw_answer_loss():
            self._record_end(attempt, job, "reset", False)
            attempt.on_connection_lost()
            return
        self._record_end(attempt, job, job.result, True)
        report = self.model.report(self._clock.now) if self.model is not None else {}
        units = self._servers.units(job.id) if job.result == SERVED else 0.0
        attempt.on_reply(job.result if job.result in (SERVED, ERROR) else "never", units, report)

    def _record_end(self, attempt: SentAttempt, job: Job, result: str, was_delivered: bool) -> None:
        now = self._clock.now
        self._servers.write(
            r.Ended(now, job.id, self.spec.name, attempt.gateway, result, job.was_started, was_delivered)
        )


class SimServers:
    """All servers, and the network between them and the gateways."""

    def __init__(self, world: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self.world, self.clock, self.write = world, clock, write
        self._windows_ms = [cls.window_ms for cls in world.scenario.classes]
        self._loss_probability, self._loss_rng = 0.0, world.random_streams.stream("lost", 0)
        network, rng = world.scenario.network, world.random_streams.stream("network")
        self._same_zone_ms = float(rng.uniform(network.same_ms.least, network.same_ms.most))
        self._cross_zone_ms = float(rng.uniform(network.cross_ms.least, network.cross_ms.most))
        self._gateway_zones = {gateway.name: gateway.zone for gateway in world.gateways}
        groups: dict[int, DeduplicationGroup] = {}
        self.all = {
            spec.name: SimServer(
                spec,
                groups.setdefault(spec.cell, DeduplicationGroup()),
                self,
                world.random_streams.stream("server", spec.name),
            )
            for spec in world.servers
        }

    def start_initial(self) -> None:
        """Start the servers that are present at the start, warmed up."""
        for server in self.all.values():
            if server.spec.at_start:
                server.start(cold=False)

    def round_trip_ms(self, gateway: str, server: ServerSpec) -> float:
        """Return the round trip time between a gateway and a server, in ms."""
        is_same_zone = self._gateway_zones[gateway] == server.zone
        return 2 * (self._same_zone_ms if is_same_zone else self._cross_zone_ms) + HOP_MS

    def units(self, rid: str) -> float:
        """Return the actual units of a request."""
        return float(self.world.first_tries[int(rid[:8], 16)].units)

    def draw_answer_loss(self) -> bool:
        """Draw whether the connection is lost before this answer arrives."""
        return self._loss_probability > 0 and self._loss_rng.random() < self._loss_probability

    def make_job(self, attempt: SentAttempt, spec: ServerSpec) -> Job:
        """Return the job of a request at a server, with the handshake if the connection is new."""
        first = self.world.first_tries[int(attempt.rid[:8], 16)]
        is_keyed = self.world.scenario.classes[first.cls].effect == "keyed"
        work_ms = first.work_ms + (spec.handshake_ms if attempt.is_new_connection else 0.0)
        key = f"{first.index:016x}" if is_keyed else ""
        return Job(
            attempt.rid, work_ms, attempt.expires_ms, key, self._windows_ms[first.cls] if is_keyed else 0.0
        )

    def apply(self, event: FaultEvent) -> None:
        """Apply a fault event to the servers or to the network between gateways and servers."""
        if event.kind == "answers_lost":
            self._loss_probability = event.size
        elif event.kind in ("zone_cut", "zone_joined"):
            for server in self.all.values():
                inside = server.spec.zone == event.target
                other_side = frozenset(
                    name for name, zone in self._gateway_zones.items() if (zone == event.target) != inside
                )
                server.unreachable_from = other_side if event.kind == "zone_cut" else frozenset()
        elif event.target in self.all:
            self._apply_to_server(self.all[event.target], event)

    def _apply_to_server(self, server: SimServer, event: FaultEvent) -> None:
        match event.kind:
            case "server_crash":
                server.crash("crashed")
            case "server_stop":
                server.crash("stopped")
            case "server_start":
                server.start(cold=True)
            case "server_silent":
                server.vanish()
            case "server_drain" if server.model is not None:
                server.model.is_draining = True
                self.write(r.ServerIs(self.clock.now, server.spec.name, "draining"))
            case "server_fails" if server.model is not None:
                server.model.failure_rate = event.size
            case "server_slow" if server.model is not None:
                server.model.slowdown = event.size


class SimCounter:
    """The quota counter, which runs in the first zone."""

    def __init__(self, world: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        figures, rng = world.scenario.counter, world.random_streams.stream("counter")
        self._world, self._clock, self._write = world, clock, write
        self._zone = world.scenario.fleet.zones[0]
        self.model = Counter(
            draw_between(rng, figures.calls_per_s),
            figures.parts,
            draw_between(rng, figures.call_ms),
            figures.queue_ms,
        )
        self._unreachable_from: frozenset[str] = frozenset()

    def call(
        self, gateway: str, name: str, amount: float, ttl_ms: float, on_total: Callable[[float | None], None]
    ) -> bool:
        """Add to a total; `on_total` gets it, or None if the queue was full. False: no answer will come."""
        now = self._clock.now
        if gateway in self._unreachable_from:
            return False
        counted = self.model.add(now, name, amount, ttl_ms)
        result = "silent" if counted is None else "full" if counted.total is None else "ok"
        self._write(r.Counted(now, gateway, result))
        if counted is None:
            return False
        self._clock.at(counted.at_ms + HOP_MS, on_total, counted.total)
        return True

    def apply(self, event: FaultEvent) -> None:
        """Apply a fault event to the counter or to the network between it and the gateways."""
        if event.kind == "counter_down":
            self.model.fail()
        elif event.kind == "counter_up":
            self.model.recover(self._clock.now)
        elif event.kind == "zone_cut":
            counter_inside = self._zone == event.target
            gateways = self._world.gateways
            self._unreachable_from = frozenset(
                gateway.name for gateway in gateways if (gateway.zone == event.target) != counter_inside
            )
        elif event.kind == "zone_joined":
            self._unreachable_from = frozenset()


class SimAgent:
    """The discovery agent of one gateway."""

    def __init__(self, agent: Agent, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self.agent, self._clock, self._write = agent, clock, write
        self.on_change: Callable[[], None] | None = None  # called after a change, while the gateway runs
        self._reported: set[tuple[str, str, float]] = set()
        self._held_back: list[Entry] | None = None

    def learn(self, entry: Entry) -> None:
        """Apply a change that has reached the agent, and notify the gateway."""
        if self._held_back is not None:
            self._held_back.append(entry)
        elif self.agent.learn(entry):
            self._clock.after(REPORTED_AFTER_MS, self._count_as_reported, entry)
            if self.on_change is not None:
                self.on_change()

    def set_discovery_down(self, is_down: bool) -> None:
        """Begin or end an outage of discovery, in which the agent holds back changes and does not answer."""
        if is_down and self._held_back is None:
            self._held_back = []
        elif not is_down and self._held_back is not None:
            held_back, self._held_back = self._held_back, None
            for entry in held_back:
                self.learn(entry)
            if self.on_change is not None:
                self.on_change()

    def listing(self, after: int | None) -> dict[str, object] | None:
        """Return the changes after a generation, or the full list; None while discovery is down."""
        if self._held_back is not None:
            return None
        changes = self.agent.changes_since(after)
        self._record_reported(list(self.agent.entries.values()) if changes is None else changes)
        return self.agent.listing(after)

    def _count_as_reported(self, entry: Entry) -> None:
        if self.agent.entries[entry.server.name] == entry:
            self._record_reported([entry])

    def _record_reported(self, entries: list[Entry]) -> None:
        for entry in entries:
            key = (entry.server.name, entry.lifecycle, entry.started_at_ms)
            if key not in self._reported:
                self._reported.add(key)
                self._write(r.Told(self._clock.now, self.agent.gateway, *key))


class SimAgents:
    """All agents; schedules when each learns of a change of a server."""

    CHANGE_KINDS = {
        "server_crash": ("gone", GONE),
        "server_stop": ("gone", GONE),
        "server_silent": ("silent", GONE),
        "server_drain": ("drain", DRAINING),
        "server_start": ("start", READY),
    }

    def __init__(self, world: GeneratedWorld, clock: Clock, write: Callable[[r.Record], None]) -> None:
        self._clock = clock
        self._directory = Directory(world.scenario.listing, world.random_streams.stream("directory"))
        self._specs = {server.name: server for server in world.servers}
        self._started_at_ms: dict[str, float] = {}
        addresses = {server.name: f"sim:{1 + i}" for i, server in enumerate(world.servers)}
        self.all = {gateway.name: self._agent(gateway, addresses, world, write) for gateway in world.gateways}

    def _agent(
        self,
        gateway: GatewaySpec,
        addresses: dict[str, str],
        world: GeneratedWorld,
        write: Callable[[r.Record], None],
    ) -> SimAgent:
        agent = Agent(gateway.name, addresses)
        for server in world.servers:
            if server.at_start:
                agent.learn(Entry(server, READY, 0.0))
        return SimAgent(agent, self._clock, write)

    def apply(self, event: FaultEvent) -> None:
        """Apply a fault event to the list of servers or to discovery."""
        if event.kind == "list_late":
            self._directory.delay_factor = event.size
        elif event.kind in ("list_down", "list_up"):
            for agent in self.all.values():
                agent.set_discovery_down(event.kind == "list_down")
        elif event.kind in self.CHANGE_KINDS:
            change_kind, lifecycle = self.CHANGE_KINDS[event.kind]
            if lifecycle == READY:
                self._started_at_ms[event.target] = round(LOAD_START_UNIX_MS + self._clock.now, 3)
            entry = Entry(self._specs[event.target], lifecycle, self._started_at_ms.get(event.target, 0.0))
            times = self._directory.draw_arrival_times(self._clock.now, change_kind, len(self.all))
            for agent, at_ms in zip(self.all.values(), times, strict=True):
                self._clock.at(at_ms, agent.learn, entry)
