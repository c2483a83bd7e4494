"""What stands beside the gateways on sockets: the quota counter, and each gateway's agent with its list."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from urllib.parse import parse_qs

import msgspec

from plumwall import records as r
from plumwall.emulator.listening_socket import ListeningSocket, Slot, respond
from plumwall.world.counter import Counter
from plumwall.world.directory import DRAINING, GONE, READY, Agent, Directory, Entry
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld, draw_between

COUNT = "/v1/count/"
LIST = "/v1/endpoints"
LONGEST_WAIT_MS = 60_000
TOLD_MS = 6000.0  # after which what an agent holds counts as told, fetched or not
MOVE_S = 1.5  # for which old addresses serve on after a move
LARGEST = 1e9


class CounterDesk:
    """The counter, at an address for each gateway."""

    def __init__(
        self,
        drawn: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        address: Callable[[GatewaySpec], str],
        now: Callable[[], float],
    ) -> None:
        figures, rng = drawn.scenario.counter, drawn.random_streams.stream("counter")
        self._drawn, self._loop, self._write, self._now, self._address = drawn, loop, write, now, address
        self._zone = drawn.scenario.fleet.zones[0]  # where it stands
        self.model = Counter(
            draw_between(rng, figures.calls_per_s),
            figures.parts,
            draw_between(rng, figures.call_ms),
            figures.queue_ms,
        )
        self.doors = {g.name: self._door(g) for g in drawn.gateways}
        self._cut: frozenset[str] = frozenset()
        self.begun = False  # until the run begins it turns every call away

    def open(self) -> None:
        """Serve."""
        for door in self.doors.values():
            door.open()

    def change(self, change: FaultEvent) -> None:
        """What the fault plan says of it."""
        if change.kind == "counter_down":
            self.model.fail()
            for door in self.doors.values():
                door.keep_silent()
        elif change.kind == "counter_up":
            self.model.recover(self._now())
            for door in self.doors.values():
                door.refuse()
                door.open()
            self._silence(self._cut)
        elif change.kind == "zone_cut":
            self._cut = frozenset(
                g.name
                for g in self._drawn.gateways
                if (g.zone == change.target) != (self._zone == change.target)
            )
            self._silence(self._cut)
        elif change.kind == "zone_joined":
            cut, self._cut = self._cut, frozenset()
            for name in cut:
                if not self.model.down:
                    self.doors[name].speak_again()

    def move(self, gateway: GatewaySpec) -> None:
        """Another address for a gateway; the old one takes nobody new and ends a little later."""
        old, self.doors[gateway.name] = self.doors[gateway.name], self._door(gateway)
        self.doors[gateway.name].open()
        old.leave(MOVE_S)

    def close(self) -> None:
        """The end of it."""
        for door in self.doors.values():
            door.close()

    def _door(self, gateway: GatewaySpec) -> ListeningSocket:
        return ListeningSocket(
            self._loop, self._address(gateway), lambda slot: self._asked(slot, gateway.name)
        )

    def _silence(self, names: frozenset[str]) -> None:
        for name in names:
            self.doors[name].keep_silent()

    def _asked(self, slot: Slot, gateway: str) -> None:
        path, _, query = slot.message.url.decode("latin-1").partition("?")
        name = path.removeprefix(COUNT)
        fields = parse_qs(query)
        try:
            amount, ttl = float(fields["add"][0]), float(fields["ttl_ms"][0])
        except (KeyError, ValueError):
            slot.answer(respond(400))
            return
        if not path.startswith(COUNT) or not 1 <= len(name) <= 64 or not abs(amount) <= LARGEST or ttl < 1:
            slot.answer(respond(404))
            return
        if not self.begun:
            slot.answer(respond(503))
            return
        now = self._now()
        told = self.model.add(now, name, amount, ttl)
        result = "silent" if told is None else "full" if told.total is None else "ok"
        self._write(r.Counted(now, gateway, result))
        if told is None:
            return
        data = respond(503) if told.total is None else respond(200, b"%.7g" % told.total)
        self._loop.call_later(max(0.0, told.at_ms - now) / 1000, slot.answer, data)


class AgentDesk:
    """One gateway's agent: its list, and the watch that waits for news."""

    def __init__(
        self,
        agent: Agent,
        loop: asyncio.AbstractEventLoop,
        host: str,
        write: Callable[[r.Record], None],
        now: Callable[[], float],
    ) -> None:
        self.agent, self._loop, self._host, self._write, self._now = agent, loop, host, write, now
        self.door = self._door()
        self._watches: dict[Slot, tuple[int, asyncio.TimerHandle]] = {}
        self._told: set[tuple[str, str, float]] = set()
        self._missed: list[Entry] | None = None  # news while discovery is down

    def learn(self, entry: Entry) -> None:
        """News has reached the agent."""
        if self._missed is not None:
            self._missed.append(entry)
            return
        if not self.agent.learn(entry):
            return
        self._loop.call_later(TOLD_MS / 1000, self._count_as_told, entry)
        watches, self._watches = self._watches, {}
        for slot, (after, timer) in watches.items():
            timer.cancel()
            self._answer(slot, after)

    def silence(self, down: bool) -> None:
        """While discovery is down the agent says nothing and hears nothing; then it hears all at once."""
        if down and self._missed is None:
            self._missed = []
            self.door.keep_silent()
        elif not down and self._missed is not None:
            missed, self._missed = self._missed, None
            self.door.speak_again()
            for entry in missed:
                self.learn(entry)

    def move(self) -> None:
        """Another address; the old one serves on for a little while."""
        old, self.door = self.door, self._door()
        self.door.open()
        old.leave(MOVE_S)

    def close(self) -> None:
        """The end of it."""
        for _, timer in self._watches.values():
            timer.cancel()
        self.door.close()

    def _door(self) -> ListeningSocket:
        return ListeningSocket(self._loop, self._host, self._asked, gone=self._unwatch)

    def _asked(self, slot: Slot) -> None:
        path, _, query = slot.message.url.decode("latin-1").partition("?")
        if path != LIST:
            slot.answer(respond(404))
            return
        fields = parse_qs(query)
        try:
            after = int(fields["after"][0]) if "after" in fields else None
            wait = min(int(fields.get("wait_ms", ["0"])[0]), LONGEST_WAIT_MS)
        except ValueError:
            slot.answer(respond(400))
            return
        news = self.agent.changes_since(after)
        if news is None or news or not wait:
            self._answer(slot, after)
            return
        timer = self._loop.call_later(wait / 1000, self._waited, slot)
        self._watches[slot] = after, timer

    def _answer(self, slot: Slot, after: int | None) -> None:
        news = self.agent.changes_since(after)
        told = list(self.agent.entries.values()) if news is None else news
        slot.answer(
            respond(
                200, msgspec.json.encode(self.agent.listing(after)), b"Content-Type: application/json\r\n"
            )
        )
        self._tell(told)

    def _count_as_told(self, entry: Entry) -> None:
        if self.agent.entries[entry.server.name] == entry:
            self._tell([entry])

    def _tell(self, entries: list[Entry]) -> None:
        now = self._now()
        for entry in entries:
            key = (entry.server.name, entry.lifecycle, entry.started_at_ms)
            if key not in self._told:
                self._told.add(key)
                self._write(
                    r.Told(now, self.agent.gateway, entry.server.name, entry.lifecycle, entry.started_at_ms)
                )

    def _waited(self, slot: Slot) -> None:
        after, _ = self._watches.pop(slot)
        self._answer(slot, after)

    def _unwatch(self, slot: Slot) -> None:
        _, timer = self._watches.pop(slot, (0, None))
        if timer is not None:
            timer.cancel()


class Backing:
    """Counter and agents of a run."""

    def __init__(
        self,
        drawn: GeneratedWorld,
        loop: asyncio.AbstractEventLoop,
        write: Callable[[r.Record], None],
        address: Callable[[GatewaySpec], str],
        folder: Path,
    ) -> None:
        self._drawn, self._loop, self._write, self._folder = drawn, loop, write, folder
        self.t0 = 0.0
        self.counter = CounterDesk(drawn, loop, write, address, self.now)
        self._address = address
        self.agents: dict[str, AgentDesk] = {}
        self._directory = Directory(drawn.scenario.listing, drawn.random_streams.stream("directory"))
        self._specs = {server.name: server for server in drawn.servers}
        self._started: dict[str, float] = {}  # Unix time of each server's present life

    def now(self) -> float:
        """Milliseconds since the load began."""
        return time.monotonic() * 1000 - self.t0

    def begin(self, addresses: Mapping[str, Mapping[str, str]]) -> dict[str, dict[str, str]]:
        """Serve; by gateway the addresses of its counter and its agent."""
        self.counter.open()
        if self._drawn.scenario.listing.source == "agent":
            for gateway in self._drawn.gateways:
                self._start_agent(gateway, addresses[gateway.name])
        return {g.name: self._addresses(g.name) for g in self._drawn.gateways}

    def _start_agent(self, gateway: GatewaySpec, addresses: Mapping[str, str]) -> None:
        agent = Agent(gateway.name, addresses)
        for server in self._drawn.servers:
            if server.at_start:
                agent.learn(Entry(server, READY, 0.0))
        desk = AgentDesk(agent, self._loop, self._address(gateway), self._write, self.now)
        desk.door.open()
        self.agents[gateway.name] = desk
        self._keep_known(gateway.name)

    def _addresses(self, gateway: str) -> dict[str, str]:
        """Where a gateway finds its counter and its agent, if it has one."""
        told = {"counter": self.counter.doors[gateway].address}
        if gateway in self.agents:
            told["discovery"] = self.agents[gateway].door.address
        return told

    def go(self, t0: float) -> None:
        """The load begins at a time."""
        self.t0, self.counter.begun = t0, True

    def change(self, change: FaultEvent) -> None:
        """Carry out what the fault plan says of the list and the counter."""
        self.counter.change(change)
        if change.kind == "list_late":
            self._directory.late = change.size
        elif change.kind in ("list_down", "list_up"):
            for desk in self.agents.values():
                desk.silence(change.kind == "list_down")
        elif change.kind in ("server_crash", "server_stop"):
            self._news(change, "gone", GONE)
        elif change.kind == "server_silent":
            self._news(change, "silent", GONE)
        elif change.kind == "server_drain":
            self._news(change, "drain", DRAINING)
        elif change.kind == "server_start":
            self._news(change, "start", READY)
        elif change.kind in ("gateway_kill", "gateway_restart"):
            self._keep_known(change.target)

    def move(self, gateway: str) -> dict[str, str]:
        """Other addresses for a gateway, as a new configuration will tell it."""
        spec = next(g for g in self._drawn.gateways if g.name == gateway)
        self.counter.move(spec)
        if gateway in self.agents:
            self.agents[gateway].move()
        return self._addresses(gateway)

    def close(self) -> None:
        """The run is over."""
        self.counter.close()
        for desk in self.agents.values():
            desk.close()

    def _news(self, change: FaultEvent, what: str, lifecycle: str) -> None:
        """Word of a server's life is on its way to every agent; it says which life it is of."""
        if lifecycle == READY:
            self._started[change.target] = round(time.time() * 1000, 3)
        entry = Entry(self._specs[change.target], lifecycle, self._started.get(change.target, 0.0))
        times = self._directory.arrivals(self.now(), what, len(self.agents))
        for desk, at in zip(self.agents.values(), times, strict=True):
            self._loop.call_later(max(0.0, at - self.now()) / 1000, desk.learn, entry)

    def _keep_known(self, gateway: str) -> None:
        """The list as the gateway had it last, for its next start."""
        if gateway not in self.agents:
            return
        path = self._folder / f"known-{gateway}.json"
        part = path.with_suffix(".part")
        part.write_bytes(msgspec.json.encode(self.agents[gateway].agent.listing()))
        part.rename(path)
