"""A worker process of the emulator (role hosts, backing or clients), controlled by JSON lines on standard
input.

Each worker generates the same world from scenario and seed, so only a few messages are exchanged: listening
addresses, the start of the load and its end. A worker exits when its standard input is closed.
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
from plumwall.emulator.hosts import HostShard
from plumwall.emulator.identity import host_of
from plumwall.emulator.timing import call_not_before
from plumwall.world.generator import FaultEvent, GatewaySpec, GeneratedWorld
from yewstage.net.config import Address, address

TICK_S = 1.0
FLUSH_S = 0.5


class Orders(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The first line on standard input: the worker's role and its part of the run."""

    role: str  # hosts, backing, clients
    scenario: str  # as JSON
    seed: int
    folder: str
    network: str  # the first three parts of the addresses to listen on, such as 127.20.0
    shard: int = 0
    shards: int = 1
    bare: bool = False  # only the load is run, on gateways that this run did not start


class Worker:
    """What all roles share: messages, scheduled faults and the file of records."""

    def __init__(self, orders: Orders, loop: asyncio.AbstractEventLoop) -> None:
        self.orders, self.loop = orders, loop
        self.world = GeneratedWorld(scenarios.decode_json(orders.scenario), orders.seed)
        self.folder = Path(orders.folder)
        self._file = (self.folder / f"{orders.role}-{orders.shard}.jsonl").open("wb")
        self.writer = r.Writer(self._file)
        self.role = {"hosts": self._make_hosts, "backing": self._make_backing, "clients": self._make_clients}[
            orders.role
        ]()

    def _address(self, gateway: GatewaySpec) -> str:
        return host_of(self.orders.network, gateway.number)

    def _make_hosts(self) -> HostsRole:
        return HostsRole(
            self,
            HostShard(
                self.world, self.loop, self.writer.write, self.orders.shard, self.orders.shards, self._address
            ),
        )

    def _make_backing(self) -> BackingRole:
        return BackingRole(
            self, Backing(self.world, self.loop, self.writer.write, self._address, self.folder)
        )

    def _make_clients(self) -> ClientsRole:
        return ClientsRole(self)

    def start_load(self, t0: float) -> None:
        """Schedule the faults. The load begins at `t0`, in milliseconds of the monotonic clock."""
        for event in self.world.fault_events:
            call_not_before(self.loop, t0 + event.at_ms, self.role.apply_fault, event)
        self.loop.call_later(FLUSH_S, self._flush)

    def send(self, **message: object) -> None:
        """Send one message to the parent process. The keywords are the keys of the message."""
        sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
        sys.stdout.buffer.flush()

    def close(self) -> None:
        """Stop the role and write all records."""
        self.role.close()
        self.writer.flush()
        self._file.close()

    def _flush(self) -> None:
        self.writer.flush()
        self.loop.call_later(FLUSH_S, self._flush)


class HostsRole:
    """The role that runs the servers."""

    def __init__(self, worker: Worker, hosts: HostShard) -> None:
        self._worker, self._hosts = worker, hosts
        worker.send(servers=hosts.addresses())

    def on_message(self, message: dict[str, object]) -> None:
        """Handle a message: the addresses of the list service, or the start of the load."""
        if "registry" in message:
            addresses = [address({"registry": text}, "registry") for text in message["registry"]]
            self._register_task = self._worker.loop.create_task(self._register(addresses))
        elif "go" in message:
            self._hosts.start(message["go"])

    async def _register(self, addresses: list[Address]) -> None:
        self._worker.send(registered=await self._hosts.register(addresses))

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event."""
        self._hosts.apply_fault(event)

    def close(self) -> None:
        """Stop all work."""
        self._hosts.stop()


class BackingRole:
    """The role that runs the counter and the agents."""

    def __init__(self, worker: Worker, backing: Backing) -> None:
        self._worker, self._backing = worker, backing

    def on_message(self, message: dict[str, object]) -> None:
        """Handle a message: the addresses of the servers, the start of the load, or a gateway to move."""
        if "servers" in message:
            self._worker.send(backing=self._backing.start(message["servers"]))
        elif "go" in message:
            self._backing.start_load(message["go"])
        elif "move" in message:
            name = message["move"]
            self._worker.send(**{f"moved {name}": self._backing.move(name)})

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event."""
        self._backing.apply_fault(event)

    def close(self) -> None:
        """Stop all work."""
        self._backing.close()


class ClientsRole:
    """The role that runs one shard of the clients."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._generator: LoadGenerator | None = None
        worker.send(clients=True)

    def on_message(self, message: dict[str, object]) -> None:
        """Handle a message: the addresses of the gateways, or the start of the load."""
        worker, rules = self._worker, self._worker.world.scenario.rules
        if "gateways" in message:
            self._generator = LoadGenerator(
                worker.world,
                worker.loop,
                worker.writer.write,
                message["gateways"],
                worker.orders.shard,
                worker.orders.shards,
                rules.overdue_ms + rules.socket_ms,
                verifies_answers=not worker.orders.bare,
            )
        elif "go" in message:
            self._generator.t0 = message["go"]
            gc.freeze()
            worker.loop.call_later(max(0.0, message["go"] - time.monotonic() * 1000) / 1000, self._start)

    def apply_fault(self, event: FaultEvent) -> None:
        """Apply a fault event."""
        if not self._worker.orders.bare:
            self._generator.apply_fault(event)

    def close(self) -> None:
        """Stop all work."""
        if self._generator is not None:
            self._generator.close()

    def _start(self) -> None:
        self._generator.start()
        self._worker.loop.call_later(TICK_S, self._report_tick)
        self._worker.loop.create_task(self._report_end())

    def _report_tick(self) -> None:
        self._worker.send(tick=self._generator.tally.take_seconds())
        self._worker.loop.call_later(TICK_S, self._report_tick)

    async def _report_end(self) -> None:
        await self._generator.finished.wait()
        self._worker.writer.flush()
        self._worker.send(
            tick=self._generator.tally.take_seconds(), over=self._generator.tally.encoded_state()
        )


async def serve() -> None:
    """Run the worker until its standard input is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line:
        return
    worker = Worker(msgspec.json.decode(line, type=Orders), loop)
    try:
        while line := await reader.readline():
            message = msgspec.json.decode(line)
            worker.role.on_message(message)
            if "go" in message:
                worker.start_load(message["go"])
    finally:
        worker.close()


def main() -> None:
    """Run the worker. Signals of the terminal are ignored: the parent handles them and closes standard
    input."""
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.SIG_IGN)
    gc.set_threshold(50_000)
    uvloop.run(serve())


if __name__ == "__main__":
    main()
