"""A process of the emulator: hosts, backing or clients, told what to do by JSON lines on standard input.

The day is drawn from scenario and seed by each process for itself, so that little needs to be said: where
things listen, when the load begins, and when it is over. A process whose standard input ends, ends.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.backing import Backing
from plumwall.emulator.clients import LoadGenerator
from plumwall.emulator.hosts import HostsOf
from plumwall.emulator.identity import host_of
from plumwall.emulator.timing import not_before
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld
from yewstage.net.config import Address, address

TICK_S = 1.0
FLUSH_S = 0.5


class Orders(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The first line: what this process is."""

    role: str  # hosts, backing, clients
    scenario: str  # as JSON
    seed: int
    folder: str
    network: str  # the first three parts of the addresses to listen on, such as 127.20.0
    shard: int = 0
    shards: int = 1
    bare: bool = False  # aimed at gateways that somebody else runs


class Worker:
    """What all roles share: lines in, lines out, the timeline, the records."""

    def __init__(self, orders: Orders, loop: asyncio.AbstractEventLoop) -> None:
        self.orders, self.loop = orders, loop
        self.drawn = GeneratedWorld(scenarios.decode_json(orders.scenario), orders.seed)
        self.folder = Path(orders.folder)
        self._file = (self.folder / f"{orders.role}-{orders.shard}.jsonl").open("wb")
        self.writer = r.Writer(self._file)
        self.part = {"hosts": self._hosts, "backing": self._backing, "clients": self._clients}[orders.role]()

    def _address(self, gateway: GatewaySpec) -> str:
        return host_of(self.orders.network, gateway.number)

    def _hosts(self) -> Hosts:
        return Hosts(
            self,
            HostsOf(
                self.drawn, self.loop, self.writer.write, self.orders.shard, self.orders.shards, self._address
            ),
        )

    def _backing(self) -> Desks:
        return Desks(self, Backing(self.drawn, self.loop, self.writer.write, self._address, self.folder))

    def _clients(self) -> Clients:
        return Clients(self)

    def go(self, t0: float) -> None:
        """The load begins at a time of the shared clock."""
        for change in self.drawn.changes:
            not_before(self.loop, t0 + change.at_ms, self.part.change, change)
        self.loop.call_later(FLUSH_S, self._flush)

    def say(self, **words: object) -> None:
        """A line to who runs us."""
        sys.stdout.buffer.write(msgspec.json.encode(words) + b"\n")
        sys.stdout.buffer.flush()

    def close(self) -> None:
        """Leave nothing unwritten."""
        self.part.close()
        self.writer.flush()
        self._file.close()

    def _flush(self) -> None:
        self.writer.flush()
        self.loop.call_later(FLUSH_S, self._flush)


class Hosts:
    """The servers' process."""

    def __init__(self, worker: Worker, hosts: HostsOf) -> None:
        self._worker, self._hosts = worker, hosts
        worker.say(servers=hosts.addresses())

    def told(self, line: dict[str, object]) -> None:
        """Where the list service is; when the load begins."""
        if "registry" in line:
            at = [address({"registry": one}, "registry") for one in line["registry"]]
            self._registering = self._worker.loop.create_task(self._register(at))
        elif "go" in line:
            self._hosts.begin(line["go"])

    async def _register(self, at: list[Address]) -> None:
        self._worker.say(registered=await self._hosts.register(at))

    def change(self, change: FaultEvent) -> None:
        """The fault plan."""
        self._hosts.change(change)

    def close(self) -> None:
        """The end."""
        self._hosts.stop()


class Desks:
    """The counter's and the agents' process."""

    def __init__(self, worker: Worker, backing: Backing) -> None:
        self._worker, self._backing = worker, backing

    def told(self, line: dict[str, object]) -> None:
        """Where servers are; when the load begins; which gateway moves."""
        if "servers" in line:
            self._worker.say(backing=self._backing.begin(line["servers"]))
        elif "go" in line:
            self._backing.go(line["go"])
        elif "move" in line:
            name = line["move"]
            self._worker.say(**{f"moved {name}": self._backing.move(name)})

    def change(self, change: FaultEvent) -> None:
        """The fault plan."""
        self._backing.change(change)

    def close(self) -> None:
        """The end."""
        self._backing.close()


class Clients:
    """A part of the clients."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._front: LoadGenerator | None = None
        worker.say(clients=True)

    def told(self, line: dict[str, object]) -> None:
        """Where gateways are; when the load begins."""
        worker, rules = self._worker, self._worker.drawn.scenario.rules
        if "gateways" in line:
            self._front = LoadGenerator(
                worker.drawn,
                worker.loop,
                worker.writer.write,
                line["gateways"],
                worker.orders.shard,
                worker.orders.shards,
                rules.overdue_ms + rules.socket_ms,
                known_servers=not worker.orders.bare,
            )
        elif "go" in line:
            self._front.t0 = line["go"]
            gc.freeze()
            worker.loop.call_later(max(0.0, line["go"] - time.monotonic() * 1000) / 1000, self._begin)

    def change(self, change: FaultEvent) -> None:
        """The fault plan."""
        if not self._worker.orders.bare:
            self._front.change(change)

    def close(self) -> None:
        """The end."""
        if self._front is not None:
            self._front.close()

    def _begin(self) -> None:
        self._front.begin()
        self._worker.loop.call_later(TICK_S, self._tick)
        self._worker.loop.create_task(self._wait())

    def _tick(self) -> None:
        self._worker.say(tick=self._front.tally.second())
        self._worker.loop.call_later(TICK_S, self._tick)

    async def _wait(self) -> None:
        await self._front.over.wait()
        self._worker.writer.flush()
        self._worker.say(tick=self._front.tally.second(), over=self._front.tally.state())


async def serve() -> None:
    """Until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line:
        return
    worker = Worker(msgspec.json.decode(line, type=Orders), loop)
    try:
        while line := await reader.readline():
            told = msgspec.json.decode(line)
            worker.part.told(told)
            if "go" in told:
                worker.go(told["go"])
    finally:
        worker.close()


def main() -> None:
    """Signals of the terminal are for who runs us: the end of standard input ends this process."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    gc.set_threshold(50_000)
    uvloop.run(serve())


if __name__ == "__main__":
    main()
