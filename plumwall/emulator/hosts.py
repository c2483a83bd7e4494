"""The statement servers on sockets: the model decides, this carries its words."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import parse_qs

import numpy as np

from plumwall import records as r
from plumwall.emulator.identity import gateway_of
from plumwall.emulator.listening_socket import Incoming, ListeningSocket, Slot, respond
from plumwall.emulator.registrar import Registrar
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, ServerSpec
from plumwall.world.server import ERROR, SERVED, DeduplicationGroup, Job, Server
from yewstage.net.config import Address

IDLE_LOOK_S = 1.0
LEAST_DELAY_MS = 1.0  # the loop's timers know no less: a shorter way is none


class Host:
    """One server: its lives, and a door for each gateway."""

    def __init__(
        self,
        spec: ServerSpec,
        pod: DeduplicationGroup,
        run: HostsOf,
        gateways: Sequence[GatewaySpec],
        rng: np.random.Generator,
    ) -> None:
        self.spec, self._pod, self._run, self._rng = spec, pod, run, rng
        self.model: Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._open: dict[Slot, Job] = {}
        self.doors = self._shared_door(run, gateways) if run.shared else self._own_doors(run, gateways)
        self._ways = {g.name: run.way_ms(g, spec) for g in gateways}
        self._cut: frozenset[str] = frozenset()

    def _own_doors(self, run: HostsOf, gateways: Sequence[GatewaySpec]) -> dict[str, ListeningSocket]:
        """An address for each gateway: whose call it is, is known before it says a word."""
        return {
            g.name: ListeningSocket(
                run.loop,
                run.address(g),
                self._asker(g.name),
                self._dialled_by(g.name),
                self._gone,
                self._nonsense_of(g.name),
            )
            for g in gateways
        }

    def _shared_door(self, run: HostsOf, gateways: Sequence[GatewaySpec]) -> dict[str, ListeningSocket]:
        """One address for all, as a list that all share tells it: the request's id says whose it is."""
        door = ListeningSocket(
            run.loop,
            run.address(gateways[0]),
            self._asked_by_any,
            gone=self._gone,
            nonsense=self._nonsense_of(""),
        )
        return {g.name: door for g in gateways}

    def _asked_by_any(self, slot: Slot) -> None:
        number = gateway_of(slot.message.headers.get(b"x-request-id", b"").decode("latin-1"))
        gateways = self._run.drawn.gateways
        gateway = gateways[number].name if number is not None and number < len(gateways) else ""
        if slot.fresh and gateway:
            self._run.write(r.Dialled(self._run.now(), gateway, self.spec.name))
        self._asked(slot, gateway)

    # --- What becomes of it -------------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        """A life begins."""
        self._end()
        rules = self._run.drawn.scenario.rules
        self.model = Server(
            self.spec, self._pod, self._rng, self._run.now(), cold, rules.fall_multiple, rules.fall_ms
        )
        for door in set(self.doors.values()):
            door.refuse()
            door.open()
        self.cut(self._cut, True)
        if cold:
            self._run.write(r.ServerIs(self._run.now(), self.spec.name, "started"))

    def crash(self, state: str = "crashed") -> None:
        """The process ends: connections are reset, new ones refused."""
        self._end()
        for door in set(self.doors.values()):
            door.refuse()
        self._run.write(r.ServerIs(self._run.now(), self.spec.name, state))

    def vanish(self) -> None:
        """The machine is gone without a sign."""
        for door in set(self.doors.values()):
            door.keep_silent()
        self._end("silent")
        self._run.write(r.ServerIs(self._run.now(), self.spec.name, "silent"))

    def address(self) -> str:
        """Where it is reached by all, if all share one address."""
        return next(iter(self.doors.values())).address

    def drain(self) -> None:
        """It finishes what it holds."""
        if self.model is not None:
            self.model.draining = True
            self._run.write(r.ServerIs(self._run.now(), self.spec.name, "draining"))

    def cut(self, gateways: frozenset[str], off: bool) -> None:
        """Nothing passes between it and some gateways."""
        self._cut = gateways if off else frozenset()
        if self.model is None:
            return
        for name in gateways:
            if off:
                self.doors[name].keep_silent()
            else:
                self.doors[name].speak_again()

    def close_idle(self, before: float) -> None:
        """Idle connections end after a while."""
        for door in set(self.doors.values()):
            if not door.silent:
                door.close_idle(before)

    def stop(self) -> None:
        """The run is over."""
        self._end()
        for door in set(self.doors.values()):
            door.close()

    def _end(self, result: str = "reset") -> None:
        """What was open is over, unanswered."""
        if self._timer is not None:
            self._timer.cancel()
        self.model = None
        open_, self._open = self._open, {}
        for slot, job in open_.items():
            self._over(slot, job, result, False)

    # --- Requests -----------------------------------------------------------------------------------------

    def _asker(self, gateway: str) -> Callable[[Slot], None]:
        return lambda slot: self._asked(slot, gateway)

    def _dialled_by(self, gateway: str) -> Callable[[Incoming], None]:
        return lambda line: self._run.write(r.Dialled(self._run.now(), gateway, self.spec.name))

    def _nonsense_of(self, gateway: str) -> Callable[[Incoming, bytes], None]:
        return lambda line, data: self._run.write(
            r.Unknown(self._run.now(), self.spec.name, gateway, f"sent what is no request: {data!r}")
        )

    def _asked(self, slot: Slot, gateway: str) -> None:
        now, message, model = self._run.now(), slot.message, self.model
        if model is None:
            slot.reset()
            return
        rid = message.headers.get(b"x-request-id", b"").decode("latin-1")
        path, _, query = message.url.decode("latin-1").partition("?")
        if path in ("/health", "/status/load"):
            self._run.write(r.Probed(now, gateway, self.spec.name))
            slot.answer(respond(200, self._load_text(model, now).encode()))
            return
        if not rid or not path.startswith("/api/"):
            self._run.write(r.Unknown(now, self.spec.name, gateway, f"a message without an id: {path[:64]}"))
            slot.answer(respond(404))
            return
        job = self._job(slot, rid, query, now)
        began = message.began - self._run.t0
        self._run.write(r.Arrived(now, rid, self.spec.name, gateway, began, round(job.work_ms, 3)))
        if gateway_of(rid) is None:
            self._run.write(r.Unknown(now, self.spec.name, gateway, f"an id that no client made: {rid[:64]}"))
        self._open[slot] = job
        job.done = (slot, gateway)
        connections = sum(len(door.lines) for door in set(self.doors.values()))
        was_standing = not model.has_collapsed
        if connections > self.spec.connections:
            result = "full"
        else:
            result = model.offer(now, job)
        if model.has_collapsed and was_standing:
            self._run.write(r.ServerIs(now, self.spec.name, "fallen"))
        if result != SERVED:
            job.result = result
            self._finish(job)
        self._arm()

    def _job(self, slot: Slot, rid: str, query: str, now: float) -> Job:
        """The work of a request: what it is comes with its address, as the size of a real statement does."""
        fields = parse_qs(query)
        work = _number(fields, "work_ms", 1.0)
        if slot.fresh:
            work += self.spec.handshake_ms
        deadline = slot.message.headers.get(b"x-deadline", b"")
        expires = math.inf
        if deadline[-1:] in (b"m", b"u"):
            expires = now + float(deadline[:-1]) / (1 if deadline[-1:] == b"m" else 1000)
        cls = slot.message.headers.get(b"x-class", b"").decode("latin-1")
        key = slot.message.headers.get(b"idempotency-key", b"").decode("latin-1")
        return Job(rid, work, expires, key, self._run.windows.get(cls, 4000.0) if key else 0.0)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.due() if self.model is not None else math.inf
        if due < math.inf:
            self._timer = self._run.loop.call_later(max(0.0, due - self._run.now()) / 1000, self._advance)

    def _advance(self) -> None:
        if self.model is None:
            return
        for job in self.model.advance(self._run.now()):
            self._finish(job)
        self._arm()

    def _finish(self, job: Job) -> None:
        """The model is done with it: say so after the way back."""
        slot, gateway = job.done
        if slot not in self._open:
            return  # its connection has gone: nobody is told
        delay = self._ways.get(gateway, 0.0)
        if delay >= LEAST_DELAY_MS:
            self._run.loop.call_later(delay / 1000, self._tell, slot, job)
        else:
            self._tell(slot, job)

    def _tell(self, slot: Slot, job: Job) -> None:
        if slot not in self._open:
            return
        del self._open[slot]
        if self._run.loses_answer():
            self._over(slot, job, "reset", False)
            slot.reset()
            return
        self._over(slot, job, job.result, True)
        slot.answer(self._answer(job))

    def _answer(self, job: Job) -> bytes:
        load = b""
        if self.model is not None:
            load = b"X-Load: %b\r\n" % self._load_text(self.model, self._run.now()).encode()
        if job.result == SERVED:
            units = self._run.units(job.id)
            body = b'{"id":"%b","server":"%b","units":%d}' % (
                job.id.encode("latin-1"),
                self.spec.name.encode(),
                units,
            )
            return respond(200, body, load + b"Billed-Units: %d\r\n" % units)
        if job.result == ERROR:
            return respond(500, b"", load)
        return respond(503, b"", load + b"X-Not-Run: 1\r\n")

    def _load_text(self, model: Server, now: float) -> str:
        report = model.report(now)
        return f"inflight={report['inflight']:g},queue={report['queue']:g},util={report['util']:g}"

    def _gone(self, slot: Slot) -> None:
        """Its gateway has closed the connection: the work goes on, nobody is told."""
        job = self._open.pop(slot, None)
        if job is not None:
            self._over(slot, job, "closed", False)

    def _over(self, slot: Slot, job: Job, result: str, told: bool) -> None:
        _, gateway = job.done
        self._run.write(r.Ended(self._run.now(), job.id, self.spec.name, gateway, result, job.begun, told))


class HostsOf:
    """A shard's servers: those of some pods."""

    def __init__(
        self,
        drawn: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        shard: int,
        shards: int,
        address: Callable[[GatewaySpec], str],
    ) -> None:
        self.drawn, self.loop, self.write, self.address = drawn, loop, write, address
        self.shared = drawn.scenario.listing.source != "agent"
        self._registrar: Registrar | None = None
        self.t0 = 0.0  # when the load begins, milliseconds
        self.windows = {c.name: c.window_ms for c in drawn.scenario.classes}
        self._units = [first.units for first in drawn.tries]
        self._lost, self._luck = 0.0, drawn.random_streams.stream("lost", shard)
        network, rng = drawn.scenario.network, drawn.random_streams.stream("network")
        self._same = float(rng.uniform(network.same_ms.least, network.same_ms.most))
        self._cross = float(rng.uniform(network.cross_ms.least, network.cross_ms.most))
        pods: dict[int, DeduplicationGroup] = {}
        self.hosts = {
            spec.name: Host(
                spec,
                pods.setdefault(spec.cell, DeduplicationGroup()),
                self,
                drawn.gateways,
                drawn.random_streams.stream("server", spec.name),
            )
            for spec in drawn.servers
            if spec.cell % shards == shard
        }

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def way_ms(self, gateway: GatewaySpec, server: ServerSpec) -> float:
        """There and back."""
        return 2 * (self._same if gateway.zone == server.zone else self._cross)

    def units(self, rid: str) -> int:
        """The true units of a request; of one that no client made, one."""
        index = int(rid[:8], 16) if gateway_of(rid) is not None else len(self._units)
        return self._units[index] if index < len(self._units) else 1

    def loses_answer(self) -> bool:
        """Whether the path breaks under this answer."""
        return self._lost > 0 and self._luck.random() < self._lost

    def begin(self, t0: float) -> None:
        """The load begins at a time: all that are there at the start, warm."""
        self.t0 = t0
        for host in self.hosts.values():
            if host.spec.at_start:
                host.start(cold=False)
        self.loop.call_later(IDLE_LOOK_S, self._close_idle)

    async def register(self, at: list[Address]) -> int:
        """Register all that are there at the start with the list service; how many they are."""
        self._registrar = Registrar(at, [g.name for g in self.drawn.gateways], self.write, self.now)
        here = [(host.spec, host.address()) for host in self.hosts.values() if host.spec.at_start]
        await self._registrar.register_all(here)
        return len(here)

    def addresses(self) -> dict[str, dict[str, str]]:
        """By gateway, where it reaches each server."""
        return {
            g.name: {name: host.doors[g.name].address for name, host in self.hosts.items()}
            for g in self.drawn.gateways
        }

    def change(self, change: FaultEvent) -> None:
        """Carry out what the fault plan says, where it concerns a server of ours."""
        if change.kind == "answers_lost":
            self._lost = change.size
        elif change.kind in ("zone_cut", "zone_joined"):
            for host in self.hosts.values():
                cut = frozenset(
                    g.name
                    for g in self.drawn.gateways
                    if (g.zone == change.target) != (host.spec.zone == change.target)
                )
                host.cut(cut, change.kind == "zone_cut")
        elif change.target in self.hosts:
            self._change_host(self.hosts[change.target], change)
            if self._registrar is not None:
                self._tell_list(self.hosts[change.target], change.kind)

    def stop(self) -> None:
        """The run is over."""
        if self._registrar is not None:
            self._registrar.close()
        for host in self.hosts.values():
            host.stop()

    def _tell_list(self, host: Host, kind: str) -> None:
        """What a server's own words, or its silence, tell the list service."""
        if kind == "server_start":
            self._registrar.started(host.spec, host.address())
        elif kind in ("server_crash", "server_silent"):
            self._registrar.died(host.spec.name)
        elif kind == "server_drain":
            self._registrar.drains(host.spec.name)
        elif kind == "server_stop":
            self._registrar.left(host.spec.name)

    def _change_host(self, host: Host, change: FaultEvent) -> None:
        if change.kind == "server_crash":
            host.crash()
        elif change.kind == "server_stop":
            host.crash("stopped")
        elif change.kind == "server_start":
            host.start(cold=True)
        elif change.kind == "server_silent":
            host.vanish()
        elif change.kind == "server_drain":
            host.drain()
        elif host.model is not None and change.kind == "server_fails":
            host.model.fails = change.size
        elif host.model is not None and change.kind == "server_slow":
            host.model.slow = change.size

    def _close_idle(self) -> None:
        before = time.monotonic() * 1000 - self.drawn.scenario.servers.idle_ms
        for host in self.hosts.values():
            host.close_idle(before)
        self.loop.call_later(IDLE_LOOK_S, self._close_idle)


def _number(fields: Mapping[str, list[str]], name: str, default: float) -> float:
    try:
        value = float(fields.get(name, [""])[0])
    except ValueError:
        return default
    return value if 0 < value < 1e7 else default
