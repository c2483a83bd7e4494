"""The services that gateways call, on sockets: the quota counter, and the agent of each gateway with the list
of servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from urllib.parse import parse_qs

import msgspec

from plumwall import records as r
from plumwall.emulator.listening_socket import Exchange, ListeningSocket, respond
from plumwall.world.counter import Counter
from plumwall.world.directory import DRAINING, GONE, READY, Agent, Directory, Entry
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, draw_between

COUNT_PATH = "/v1/count/"
LIST_PATH = "/v1/endpoints"
MAX_WATCH_MS = 60_000
# After this time what an agent holds is recorded as told to its gateway, fetched or not.
TOLD_AFTER_MS = 6000.0
MOVE_GRACE_S = 1.5  # time for which an old address still serves open connections after a move
MAX_AMOUNT = 1e9


class CounterService:
    """The quota counter, with an address for each gateway."""

    def __init__(
        self,
        world: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        address: Callable[[GatewaySpec], str],
        now: Callable[[], float],
    ) -> None:
        settings, rng = world.scenario.counter, world.random_streams.stream("counter")
        self._world, self._loop, self._write, self._now, self._address = world, loop, write, now, address
        self._zone = world.scenario.fleet.zones[0]  # the counter is in the first zone
        self.model = Counter(
            draw_between(rng, settings.calls_per_s),
            settings.parts,
            draw_between(rng, settings.call_ms),
            settings.queue_ms,
        )
        self.listeners = {g.name: self._make_listener(g) for g in world.gateways}
        self._partitioned: frozenset[str] = frozenset()
        self.is_counting = False  # calls before the load begins are answered with 503

    def open(self) -> None:
        """Start to serve."""
        for listener in self.listeners.values():
            listener.open()

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event that concerns the counter or the network to it."""
        if event.kind == "counter_down":
            self.model.fail()
            for listener in self.listeners.values():
                listener.go_silent()
        elif event.kind == "counter_up":
            self.model.recover(self._now())
            for listener in self.listeners.values():
                listener.refuse()
                listener.open()
            self._make_silent(self._partitioned)
        elif event.kind == "zone_cut":
            self._partitioned = frozenset(
                g.name
                for g in self._world.gateways
                if (g.zone == event.target) != (self._zone == event.target)
            )
            self._make_silent(self._partitioned)
        elif event.kind == "zone_joined":
            partitioned, self._partitioned = self._partitioned, frozenset()
            for name in partitioned:
                if not self.model.is_down:
                    self.listeners[name].resume()

    def move(self, gateway: GatewaySpec) -> None:
        """Give a gateway a new address. The old one refuses new connections and closes a little later."""
        old, self.listeners[gateway.name] = self.listeners[gateway.name], self._make_listener(gateway)
        self.listeners[gateway.name].open()
        old.close_after(MOVE_GRACE_S)

    def close(self) -> None:
        """Close all sockets."""
        for listener in self.listeners.values():
            listener.close()

    def _make_listener(self, gateway: GatewaySpec) -> ListeningSocket:
        return ListeningSocket(
            self._loop, self._address(gateway), lambda exchange: self._on_request(exchange, gateway.name)
        )

    def _make_silent(self, names: frozenset[str]) -> None:
        for name in names:
            self.listeners[name].go_silent()

    def _on_request(self, exchange: Exchange, gateway: str) -> None:
        path, _, query = exchange.request.url.decode("latin-1").partition("?")
        name = path.removeprefix(COUNT_PATH)
        fields = parse_qs(query)
        try:
            amount, ttl_ms = float(fields["add"][0]), float(fields["ttl_ms"][0])
        except (KeyError, ValueError):
            exchange.answer(respond(400))
            return
        if (
            not path.startswith(COUNT_PATH)
            or not 1 <= len(name) <= 64
            or not abs(amount) <= MAX_AMOUNT
            or ttl_ms < 1
        ):
            exchange.answer(respond(404))
            return
        if not self.is_counting:
            exchange.answer(respond(503))
            return
        now = self._now()
        reply = self.model.add(now, name, amount, ttl_ms)
        result = "silent" if reply is None else "full" if reply.total is None else "ok"
        self._write(r.Counted(now, gateway, result))
        if reply is None:
            return
        answer = respond(503) if reply.total is None else respond(200, b"%.7g" % reply.total)
        self._loop.call_later(max(0.0, reply.at_ms - now) / 1000, exchange.answer, answer)


class AgentService:
    """One gateway's agent: serves its list of servers and the long polls that wait for changes."""

    def __init__(
        self,
        agent: Agent,
        loop: asyncio.AbstractEventLoop,
        host: str,
        write: Callable[[r.Record], None],
        now: Callable[[], float],
    ) -> None:
        self.agent, self._loop, self._host, self._write, self._now = agent, loop, host, write, now
        self.listener = self._make_listener()
        self._watches: dict[Exchange, tuple[int, asyncio.TimerHandle]] = {}
        self._recorded: set[tuple[str, str, float]] = set()
        # changes that came during an outage of discovery; None outside one
        self._deferred: list[Entry] | None = None

    def learn(self, entry: Entry) -> None:
        """Take in a change and answer the waiting long polls."""
        if self._deferred is not None:
            self._deferred.append(entry)
            return
        if not self.agent.learn(entry):
            return
        self._loop.call_later(TOLD_AFTER_MS / 1000, self._record_if_current, entry)
        watches, self._watches = self._watches, {}
        for exchange, (after, timer) in watches.items():
            timer.cancel()
            self._answer(exchange, after)

    def set_outage(self, active: bool) -> None:
        """Start or end an outage of discovery. Changes during the outage reach the agent at its end, all at
        once."""
        if active and self._deferred is None:
            self._deferred = []
            self.listener.go_silent()
        elif not active and self._deferred is not None:
            deferred, self._deferred = self._deferred, None
            self.listener.resume()
            for entry in deferred:
                self.learn(entry)

    def move(self) -> None:
        """Listen at a new address. The old one refuses new connections and closes a little later."""
        old, self.listener = self.listener, self._make_listener()
        self.listener.open()
        old.close_after(MOVE_GRACE_S)

    def close(self) -> None:
        """Close all sockets."""
        for _, timer in self._watches.values():
            timer.cancel()
        self.listener.close()

    def _make_listener(self) -> ListeningSocket:
        return ListeningSocket(self._loop, self._host, self._on_request, on_abandoned=self._cancel_watch)

    def _on_request(self, exchange: Exchange) -> None:
        path, _, query = exchange.request.url.decode("latin-1").partition("?")
        if path != LIST_PATH:
            exchange.answer(respond(404))
            return
        fields = parse_qs(query)
        try:
            after = int(fields["after"][0]) if "after" in fields else None
            wait_ms = min(int(fields.get("wait_ms", ["0"])[0]), MAX_WATCH_MS)
        except ValueError:
            exchange.answer(respond(400))
            return
        changes = self.agent.changes_since(after)
        if changes is None or changes or not wait_ms:
            self._answer(exchange, after)
            return
        timer = self._loop.call_later(wait_ms / 1000, self._on_watch_timeout, exchange)
        self._watches[exchange] = after, timer

    def _answer(self, exchange: Exchange, after: int | None) -> None:
        changes = self.agent.changes_since(after)
        entries = list(self.agent.entries.values()) if changes is None else changes
        exchange.answer(
            respond(
                200, msgspec.json.encode(self.agent.listing(after)), b"Content-Type: application/json\r\n"
            )
        )
        self._record_told(entries)

    def _record_if_current(self, entry: Entry) -> None:
        if self.agent.entries[entry.server.name] == entry:
            self._record_told([entry])

    def _record_told(self, entries: list[Entry]) -> None:
        now = self._now()
        for entry in entries:
            key = (entry.server.name, entry.lifecycle, entry.started_at_ms)
            if key not in self._recorded:
                self._recorded.add(key)
                self._write(
                    r.Told(now, self.agent.gateway, entry.server.name, entry.lifecycle, entry.started_at_ms)
                )

    def _on_watch_timeout(self, exchange: Exchange) -> None:
        after, _ = self._watches.pop(exchange)
        self._answer(exchange, after)

    def _cancel_watch(self, exchange: Exchange) -> None:
        _, timer = self._watches.pop(exchange, (0, None))
        if timer is not None:
            timer.cancel()


class Backing:
    """The counter and the agents of a run. `address` gives the loopback host for a gateway's services."""

    def __init__(
        self,
        world: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        address: Callable[[GatewaySpec], str],
        folder: Path,
    ) -> None:
        self._world, self._loop, self._write, self._folder = world, loop, write, folder
        self.t0 = 0.0
        self.counter = CounterService(world, loop, write, address, self.now)
        self._address = address
        self.agents: dict[str, AgentService] = {}
        self._directory = Directory(world.scenario.listing, world.random_streams.stream("directory"))
        self._specs = {server.name: server for server in world.servers}
        # Unix time at which each server's current incarnation started
        self._started_at_ms: dict[str, float] = {}

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def start(self, addresses: Mapping[str, Mapping[str, str]]) -> dict[str, dict[str, str]]:
        """Start to serve and return for each gateway the addresses of its counter and its agent.

        `addresses` has the addresses of the servers for each gateway.
        """
        self.counter.open()
        if self._world.scenario.listing.source == "agent":
            for gateway in self._world.gateways:
                self._start_agent(gateway, addresses[gateway.name])
        return {g.name: self._addresses(g.name) for g in self._world.gateways}

    def _start_agent(self, gateway: GatewaySpec, addresses: Mapping[str, str]) -> None:
        agent = Agent(gateway.name, addresses)
        for server in self._world.servers:
            if server.at_start:
                agent.learn(Entry(server, READY, 0.0))
        agent_service = AgentService(agent, self._loop, self._address(gateway), self._write, self.now)
        agent_service.listener.open()
        self.agents[gateway.name] = agent_service
        self._save_known_list(gateway.name)

    def _addresses(self, gateway: str) -> dict[str, str]:
        """The addresses of a gateway's counter and, if it has one, its agent."""
        addresses = {"counter": self.counter.listeners[gateway].address}
        if gateway in self.agents:
            addresses["discovery"] = self.agents[gateway].listener.address
        return addresses

    def start_load(self, t0: float) -> None:
        """Set the time at which the load begins, in ms of the monotonic clock; the counter accepts calls from
        now on."""
        self.t0, self.counter.is_counting = t0, True

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event to the lists and the counter."""
        self.counter.apply_fault(event)
        if event.kind == "list_late":
            self._directory.delay_factor = event.size
        elif event.kind in ("list_down", "list_up"):
            for agent_service in self.agents.values():
                agent_service.set_outage(event.kind == "list_down")
        elif event.kind in ("server_crash", "server_stop"):
            self._announce(event, "gone", GONE)
        elif event.kind == "server_silent":
            self._announce(event, "silent", GONE)
        elif event.kind == "server_drain":
            self._announce(event, "drain", DRAINING)
        elif event.kind == "server_start":
            self._announce(event, "start", READY)
        elif event.kind in ("gateway_kill", "gateway_restart"):
            self._save_known_list(event.target)

    def move(self, gateway: str) -> dict[str, str]:
        """Give a gateway's counter and agent new addresses and return them; its next configuration has
        them."""
        spec = next(g for g in self._world.gateways if g.name == gateway)
        self.counter.move(spec)
        if gateway in self.agents:
            self.agents[gateway].move()
        return self._addresses(gateway)

    def close(self) -> None:
        """Close all sockets of the counter and the agents."""
        self.counter.close()
        for agent_service in self.agents.values():
            agent_service.close()

    def _announce(self, event: FaultEvent, kind: str, lifecycle: str) -> None:
        """Schedule a server's change for every agent. The start time in it identifies the
        incarnation."""
        if lifecycle == READY:
            self._started_at_ms[event.target] = round(time.time() * 1000, 3)
        entry = Entry(self._specs[event.target], lifecycle, self._started_at_ms.get(event.target, 0.0))
        arrivals = self._directory.draw_arrival_times(self.now(), kind, len(self.agents))
        for agent_service, at_ms in zip(self.agents.values(), arrivals, strict=True):
            self._loop.call_later(max(0.0, at_ms - self.now()) / 1000, agent_service.learn, entry)

    def _save_known_list(self, gateway: str) -> None:
        """Save the list that the gateway had last, for its next start."""
        if gateway not in self.agents:
            return
        path = self._folder / f"known-{gateway}.json"
        temporary = path.with_suffix(".part")
        temporary.write_bytes(msgspec.json.encode(self.agents[gateway].agent.listing()))
        temporary.rename(path)
