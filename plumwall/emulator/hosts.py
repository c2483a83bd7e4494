"""The emulated servers on sockets. The model in plumwall.world.server decides; this module
does the network side."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import parse_qs

import numpy as np

from plumwall import records as r
from plumwall.emulator.identity import gateway_of
from plumwall.emulator.listening_socket import Exchange, ListeningSocket, ServerConnection, respond
from plumwall.emulator.registrar import Registrar
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, ServerSpec
from plumwall.world.server import ERROR, SERVED, DeduplicationGroup, Job, Server
from yewstage.net.config import Address

IDLE_CHECK_S = 1.0
MIN_DELAY_MS = 1.0  # resolution of the event loop's timers; a shorter network delay counts as none


class Host:
    """One server through all its incarnations, with a listening socket for each gateway or one for all."""

    def __init__(
        self,
        spec: ServerSpec,
        deduplication: DeduplicationGroup,
        shard: HostShard,
        gateways: Sequence[GatewaySpec],
        rng: np.random.Generator,
    ) -> None:
        self.spec, self._deduplication, self._shard, self._rng = spec, deduplication, shard, rng
        self.model: Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._open_jobs: dict[Exchange, Job] = {}
        self.listeners = (
            self._shared_listener(shard, gateways)
            if shard.has_shared_addresses
            else self._listeners_by_gateway(shard, gateways)
        )
        self._round_trips_ms = {g.name: shard.round_trip_ms(g, spec) for g in gateways}
        self._partitioned: frozenset[str] = frozenset()

    def _listeners_by_gateway(
        self, shard: HostShard, gateways: Sequence[GatewaySpec]
    ) -> dict[str, ListeningSocket]:
        """One address for each gateway, so that a connection's gateway is known before its first byte."""
        return {
            g.name: ListeningSocket(
                shard.loop,
                shard.address(g),
                self._request_handler(g.name),
                self._connection_handler(g.name),
                self._on_abandoned,
                self._invalid_data_handler(g.name),
            )
            for g in gateways
        }

    def _shared_listener(
        self, shard: HostShard, gateways: Sequence[GatewaySpec]
    ) -> dict[str, ListeningSocket]:
        """One address for all gateways, since they share one list of servers. The request id says
        which gateway sent a request."""
        listener = ListeningSocket(
            shard.loop,
            shard.address(gateways[0]),
            self._on_shared_request,
            on_abandoned=self._on_abandoned,
            on_invalid_data=self._invalid_data_handler(""),
        )
        return {g.name: listener for g in gateways}

    def _on_shared_request(self, exchange: Exchange) -> None:
        number = gateway_of(exchange.request.headers.get(b"x-request-id", b"").decode("latin-1"))
        gateways = self._shard.world.gateways
        gateway = gateways[number].name if number is not None and number < len(gateways) else ""
        if exchange.is_first and gateway:
            self._shard.write(r.Dialled(self._shard.now(), gateway, self.spec.name))
        self._on_request(exchange, gateway)

    # --- Lifecycle ----------------------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        """Start a new incarnation. `cold`: it starts during the run and is not warmed up."""
        self._end_incarnation()
        rules = self._shard.world.scenario.rules
        self.model = Server(
            self.spec,
            self._deduplication,
            self._rng,
            self._shard.now(),
            cold,
            rules.fall_multiple,
            rules.fall_ms,
        )
        for listener in set(self.listeners.values()):
            listener.refuse()
            listener.open()
        self.set_partitioned(self._partitioned, True)
        if cold:
            self._shard.write(r.ServerIs(self._shard.now(), self.spec.name, "started"))

    def crash(self, state: str = "crashed") -> None:
        """End the process: connections are reset, new ones refused. `state` is recorded."""
        self._end_incarnation()
        for listener in set(self.listeners.values()):
            listener.refuse()
        self._shard.write(r.ServerIs(self._shard.now(), self.spec.name, state))

    def go_silent(self) -> None:
        """Lose the machine: it does not respond any more."""
        for listener in set(self.listeners.values()):
            listener.go_silent()
        self._end_incarnation("silent")
        self._shard.write(r.ServerIs(self._shard.now(), self.spec.name, "silent"))

    def address(self) -> str:
        """The address at which all gateways reach it, if they share one."""
        return next(iter(self.listeners.values())).address

    def drain(self) -> None:
        """Start draining: requests it already holds are finished."""
        if self.model is not None:
            self.model.is_draining = True
            self._shard.write(r.ServerIs(self._shard.now(), self.spec.name, "draining"))

    def set_partitioned(self, gateways: frozenset[str], active: bool) -> None:
        """Start or end a network partition between this server and some gateways."""
        self._partitioned = gateways if active else frozenset()
        if self.model is None:
            return
        for name in gateways:
            if active:
                self.listeners[name].go_silent()
            else:
                self.listeners[name].resume()

    def close_idle(self, before_ms: float) -> None:
        """Close connections that have been idle since before a time of the monotonic clock (ms)."""
        for listener in set(self.listeners.values()):
            if not listener.is_silent:
                listener.close_idle(before_ms)

    def stop(self) -> None:
        """End all work and close all sockets."""
        self._end_incarnation()
        for listener in set(self.listeners.values()):
            listener.close()

    def _end_incarnation(self, result: str = "reset") -> None:
        """End the incarnation. Open requests end unanswered, with this result."""
        if self._timer is not None:
            self._timer.cancel()
        self.model = None
        open_jobs, self._open_jobs = self._open_jobs, {}
        for exchange, job in open_jobs.items():
            self._record_end(exchange, job, result, False)

    # --- Requests -----------------------------------------------------------------------------------------

    def _request_handler(self, gateway: str) -> Callable[[Exchange], None]:
        return lambda exchange: self._on_request(exchange, gateway)

    def _connection_handler(self, gateway: str) -> Callable[[ServerConnection], None]:
        return lambda connection: self._shard.write(r.Dialled(self._shard.now(), gateway, self.spec.name))

    def _invalid_data_handler(self, gateway: str) -> Callable[[ServerConnection, bytes], None]:
        return lambda connection, data: self._shard.write(
            r.Unknown(self._shard.now(), self.spec.name, gateway, f"sent what is no request: {data!r}")
        )

    def _on_request(self, exchange: Exchange, gateway: str) -> None:
        now, request, model = self._shard.now(), exchange.request, self.model
        if model is None:
            exchange.reset()
            return
        request_id = request.headers.get(b"x-request-id", b"").decode("latin-1")
        path, _, query = request.url.decode("latin-1").partition("?")
        if path in ("/health", "/status/load"):
            self._shard.write(r.Probed(now, gateway, self.spec.name))
            exchange.answer(respond(200, self._load_report(model, now).encode()))
            return
        if not request_id or not path.startswith("/api/"):
            self._shard.write(
                r.Unknown(now, self.spec.name, gateway, f"a message without an id: {path[:64]}")
            )
            exchange.answer(respond(404))
            return
        job = self._make_job(exchange, request_id, query, now)
        began_ms = request.began_ms - self._shard.t0
        self._shard.write(
            r.Arrived(now, request_id, self.spec.name, gateway, began_ms, round(job.work_ms, 3))
        )
        if gateway_of(request_id) is None:
            self._shard.write(
                r.Unknown(now, self.spec.name, gateway, f"an id that no client made: {request_id[:64]}")
            )
        self._open_jobs[exchange] = job
        job.completion_handle = (exchange, gateway)
        connections = sum(len(listener.connections) for listener in set(self.listeners.values()))
        was_up = not model.has_collapsed
        if connections > self.spec.connections:
            result = "full"
        else:
            result = model.offer(now, job)
        if model.has_collapsed and was_up:
            self._shard.write(r.ServerIs(now, self.spec.name, "fallen"))
        if result != SERVED:
            job.result = result
            self._finish(job)
        self._set_timer()

    def _make_job(self, exchange: Exchange, request_id: str, query: str, now: float) -> Job:
        """The job of a request. Its URL carries the work, as the URL of a real statement determines its size.

        The first request on a connection also costs the handshake.
        """
        fields = parse_qs(query)
        work_ms = _number(fields, "work_ms", 1.0)
        if exchange.is_first:
            work_ms += self.spec.handshake_ms
        deadline = exchange.request.headers.get(b"x-deadline", b"")
        expires_ms = math.inf
        if deadline[-1:] in (b"m", b"u"):
            expires_ms = now + float(deadline[:-1]) / (1 if deadline[-1:] == b"m" else 1000)
        class_name = exchange.request.headers.get(b"x-class", b"").decode("latin-1")
        key = exchange.request.headers.get(b"idempotency-key", b"").decode("latin-1")
        return Job(
            request_id,
            work_ms,
            expires_ms,
            key,
            self._shard.dedup_windows_ms.get(class_name, 4000.0) if key else 0.0,
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.model.due() if self.model is not None else math.inf
        if due_ms < math.inf:
            self._timer = self._shard.loop.call_later(
                max(0.0, due_ms - self._shard.now()) / 1000, self._advance
            )

    def _advance(self) -> None:
        if self.model is None:
            return
        for job in self.model.advance(self._shard.now()):
            self._finish(job)
        self._set_timer()

    def _finish(self, job: Job) -> None:
        """Send the result of a job after the round trip time of the network."""
        exchange, gateway = job.completion_handle
        if exchange not in self._open_jobs:
            return  # its connection has closed: there is nobody to answer
        delay_ms = self._round_trips_ms.get(gateway, 0.0)
        if delay_ms >= MIN_DELAY_MS:
            self._shard.loop.call_later(delay_ms / 1000, self._send_result, exchange, job)
        else:
            self._send_result(exchange, job)

    def _send_result(self, exchange: Exchange, job: Job) -> None:
        if exchange not in self._open_jobs:
            return
        del self._open_jobs[exchange]
        if self._shard.loses_answer():
            self._record_end(exchange, job, "reset", False)
            exchange.reset()
            return
        self._record_end(exchange, job, job.result, True)
        exchange.answer(self._answer(job))

    def _answer(self, job: Job) -> bytes:
        load = b""
        if self.model is not None:
            load = b"X-Load: %b\r\n" % self._load_report(self.model, self._shard.now()).encode()
        if job.result == SERVED:
            units = self._shard.units(job.id)
            body = b'{"id":"%b","server":"%b","units":%d}' % (
                job.id.encode("latin-1"),
                self.spec.name.encode(),
                units,
            )
            return respond(200, body, load + b"Billed-Units: %d\r\n" % units)
        if job.result == ERROR:
            return respond(500, b"", load)
        return respond(503, b"", load + b"X-Not-Run: 1\r\n")

    def _load_report(self, model: Server, now: float) -> str:
        report = model.report(now)
        return f"inflight={report['inflight']:g},queue={report['queue']:g},util={report['util']:g}"

    def _on_abandoned(self, exchange: Exchange) -> None:
        """Handle a request whose gateway has closed the connection. The work goes on, without an answer."""
        job = self._open_jobs.pop(exchange, None)
        if job is not None:
            self._record_end(exchange, job, "closed", False)

    def _record_end(self, exchange: Exchange, job: Job, result: str, answered: bool) -> None:
        _, gateway = job.completion_handle
        self._shard.write(
            r.Ended(self._shard.now(), job.id, self.spec.name, gateway, result, job.was_started, answered)
        )


class HostShard:
    """The servers of one shard: those whose cell number modulo `shards` is `shard`."""

    def __init__(
        self,
        world: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        shard: int,
        shards: int,
        address: Callable[[GatewaySpec], str],
    ) -> None:
        self.world, self.loop, self.write, self.address = world, loop, write, address
        self.has_shared_addresses = world.scenario.listing.source != "agent"
        self._registrar: Registrar | None = None
        self.t0 = 0.0  # when the load begins: ms of the monotonic clock
        self.dedup_windows_ms = {c.name: c.window_ms for c in world.scenario.classes}
        self._units = [first.units for first in world.first_tries]
        self._lost_share, self._loss_rng = 0.0, world.random_streams.stream("lost", shard)
        network, rng = world.scenario.network, world.random_streams.stream("network")
        self._same_zone_ms = float(rng.uniform(network.same_ms.least, network.same_ms.most))
        self._cross_zone_ms = float(rng.uniform(network.cross_ms.least, network.cross_ms.most))
        deduplication_groups: dict[int, DeduplicationGroup] = {}
        self.hosts = {
            spec.name: Host(
                spec,
                deduplication_groups.setdefault(spec.cell, DeduplicationGroup()),
                self,
                world.gateways,
                world.random_streams.stream("server", spec.name),
            )
            for spec in world.servers
            if spec.cell % shards == shard
        }

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def round_trip_ms(self, gateway: GatewaySpec, server: ServerSpec) -> float:
        """Network round trip time."""
        return 2 * (self._same_zone_ms if gateway.zone == server.zone else self._cross_zone_ms)

    def units(self, request_id: str) -> int:
        """The true units of a request; 1 if no client made it."""
        index = int(request_id[:8], 16) if gateway_of(request_id) is not None else len(self._units)
        return self._units[index] if index < len(self._units) else 1

    def loses_answer(self) -> bool:
        """Whether the network loses this answer (fault `answers_lost`, by a random draw)."""
        return self._lost_share > 0 and self._loss_rng.random() < self._lost_share

    def start(self, t0: float) -> None:
        """Start the initial servers, already warmed up. The load begins at `t0` (monotonic, ms)."""
        self.t0 = t0
        for host in self.hosts.values():
            if host.spec.at_start:
                host.start(cold=False)
        self.loop.call_later(IDLE_CHECK_S, self._close_idle)

    async def register(self, addresses: list[Address]) -> int:
        """Register the initial servers with the list service; return their number."""
        self._registrar = Registrar(addresses, [g.name for g in self.world.gateways], self.write, self.now)
        initial_servers = [(host.spec, host.address()) for host in self.hosts.values() if host.spec.at_start]
        await self._registrar.register_all(initial_servers)
        return len(initial_servers)

    def addresses(self) -> dict[str, dict[str, str]]:
        """For each gateway, the addresses of the servers."""
        return {
            g.name: {name: host.listeners[g.name].address for name, host in self.hosts.items()}
            for g in self.world.gateways
        }

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event if it concerns a server of this shard."""
        if event.kind == "answers_lost":
            self._lost_share = event.size
        elif event.kind in ("zone_cut", "zone_joined"):
            for host in self.hosts.values():
                gateways = frozenset(
                    g.name
                    for g in self.world.gateways
                    if (g.zone == event.target) != (host.spec.zone == event.target)
                )
                host.set_partitioned(gateways, event.kind == "zone_cut")
        elif event.target in self.hosts:
            self._apply_to_host(self.hosts[event.target], event)
            if self._registrar is not None:
                self._notify_list_service(self.hosts[event.target], event.kind)

    def stop(self) -> None:
        """End all work and close all sockets."""
        if self._registrar is not None:
            self._registrar.close()
        for host in self.hosts.values():
            host.stop()

    def _notify_list_service(self, host: Host, kind: str) -> None:
        """Tell the list service of a server's change. A server that died sends nothing."""
        if kind == "server_start":
            self._registrar.server_started(host.spec, host.address())
        elif kind in ("server_crash", "server_silent"):
            self._registrar.server_died(host.spec.name)
        elif kind == "server_drain":
            self._registrar.server_draining(host.spec.name)
        elif kind == "server_stop":
            self._registrar.server_left(host.spec.name)

    def _apply_to_host(self, host: Host, event: FaultEvent) -> None:
        if event.kind == "server_crash":
            host.crash()
        elif event.kind == "server_stop":
            host.crash("stopped")
        elif event.kind == "server_start":
            host.start(cold=True)
        elif event.kind == "server_silent":
            host.go_silent()
        elif event.kind == "server_drain":
            host.drain()
        elif host.model is not None and event.kind == "server_fails":
            host.model.failure_rate = event.size
        elif host.model is not None and event.kind == "server_slow":
            host.model.slowdown = event.size

    def _close_idle(self) -> None:
        before_ms = time.monotonic() * 1000 - self.world.scenario.servers.idle_ms
        for host in self.hosts.values():
            host.close_idle(before_ms)
        self.loop.call_later(IDLE_CHECK_S, self._close_idle)


def _number(fields: Mapping[str, list[str]], name: str, default: float) -> float:
    try:
        value = float(fields.get(name, [""])[0])
    except ValueError:
        return default
    return value if 0 < value < 1e7 else default
