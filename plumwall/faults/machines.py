"""Machines of a holding: real processes with a folder each, and a stand-in on every link between two of
them."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import time
from pathlib import Path

import msgspec

from plumwall.emulator.process import kill, spawn_module
from plumwall.faults.child import Child
from plumwall.faults.links import TcpFaultProxy
from yewstage.holding.group_names import LIST_GROUP, PLACEMENT_GROUP
from yewstage.holding.member_changes import founder_and_members
from yewstage.raft.disk import encode_record
from yewstage.registry.client import ServiceClient, get_once

HOST = "127.0.0.1"
ZONES = ("a", "b", "c")
STATUS_S = 1.0  # how long one may take to say how it is


def hindered(module: str, sync_ms: float = 0.0, file_bytes: int = 0, clock_s: float = 0.0) -> list[str]:
    """The words that run a module, on a worse machine where that is wanted."""
    if not (sync_ms or file_bytes or clock_s):
        return [module]
    how = [f"--sync-ms={sync_ms}", f"--file-bytes={file_bytes}", f"--clock-s={clock_s}"]
    return ["plumwall.faults.hindered", *how, module]


class Machine(Child):
    """One machine: a name, a folder, a process unless it is down. Its ports stay once they are known."""

    def __init__(self, name: str, zone: str, folder: Path, changes: dict[str, object]) -> None:
        super().__init__(name)
        self.zone, self.folder, self.changes = zone, folder, changes
        self.links: dict[str, TcpFaultProxy] = {}  # to the others, by name
        self.peer = self.listen = self.ops = 0
        self.module = "yewstage.holding"
        # What is worse than it should be, from the next start on.
        self.sync_ms = self.file_bytes = self.clock_s = 0

    async def start(self) -> None:
        """Start the process; returns once it listens."""
        raw = {
            "cluster": "rig",
            "name": self.name,
            "zone": self.zone,
            "peer": f"{HOST}:{self.peer}",
            "listen": f"{HOST}:{self.listen}",
            "ops": f"{HOST}:{self.ops}",
            "folder": str(self.folder / "state"),
            "peers": {name: f"{HOST}:{link.address[1]}" for name, link in self.links.items()},
            "settle_ms": 0,
            **self.changes,
        }
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "holding.json"
        path.write_bytes(msgspec.json.encode(raw))
        self.process = await spawn_module(
            *hindered(self.module, self.sync_ms, self.file_bytes, self.clock_s),
            "--config",
            str(path.resolve()),
            stderr=asyncio.subprocess.PIPE,
        )
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise RuntimeError(f"{self.name} ended at its start: {self.lines[-3:]}")
            self.lines.append(line)
            port = int(line.rsplit(":", 1)[1]) if " on 127." in line or "address 127." in line else 0
            if "operators' address" in line:
                self.ops = port
            elif "hearing others on" in line:
                self.peer = port
            elif "listening on" in line:
                self.listen = port
                break
        self.read_on()

    async def kill(self, disk_too: bool = False) -> None:
        """SIGKILL; with its disk, if that is lost as well."""
        kill(self.process)
        await self.process.wait()
        if disk_too:
            shutil.rmtree(self.folder / "state", ignore_errors=True)

    async def end(self) -> int:
        """SIGTERM; its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    def fill(self, room: int) -> None:
        """The disk fills: no file grows past the largest one now and so many bytes."""
        sizes = [path.stat().st_size for path in (self.folder / "state").rglob("*") if path.is_file()]
        self._bound(max(sizes, default=0) + room)

    def make_room(self) -> None:
        """There is room again."""
        self._bound(resource.RLIM_INFINITY)

    def _bound(self, bytes_: int) -> None:
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (bytes_, hard))

    def keep_copy(self) -> None:
        """Remember the folder as it is now."""
        shutil.rmtree(self.folder / "earlier", ignore_errors=True)
        shutil.copytree(self.folder / "state", self.folder / "earlier")

    def bring_back(self) -> None:
        """Put the folder of that earlier time in place of the one there is."""
        shutil.rmtree(self.folder / "state", ignore_errors=True)
        shutil.copytree(self.folder / "earlier", self.folder / "state")

    def tear(self, bytes_: int) -> None:
        """Leave so many bytes of one more record at the end of each group's log, as a crash in the middle of
        a write does. What was durable before stays: a disk that forgets it is another fault."""
        for folder in {path.parent for path in (self.folder / "state").glob("*/log-*")}:
            with max(folder.glob("log-*")).open("ab") as log:
                log.write(encode_record(b"torn" * bytes_)[:bytes_])

    def forget(self, group: str) -> None:
        """The last record of a group's log is gone, though it had been synced: a disk that lies."""
        log = max((self.folder / "state" / group).glob("log-*"))
        os.truncate(log, log.stat().st_size - 1)


class Machines:
    """All of them, and the links."""

    def __init__(self, folder: Path, count: int, sync_ms: float = 0, **changes: object) -> None:
        self.all = [Machine(f"m{i}", ZONES[i % len(ZONES)], folder / f"m{i}", changes) for i in range(count)]
        for machine in self.all:
            machine.sync_ms = sync_ms

    async def __aenter__(self) -> Machines:
        await self.open()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def open(self) -> None:
        """Start all."""
        for machine in self.all:
            for other in self.all:
                if other is not machine:
                    machine.links[other.name] = TcpFaultProxy()
                    await machine.links[other.name].start(HOST)
        for machine in self.all:
            await self.start(machine)

    async def close(self) -> None:
        """End all."""
        for machine in self.all:
            if machine.up():
                machine.wake()
                kill(machine.process)
                await machine.process.wait()
            for link in machine.links.values():
                await link.stop()

    async def start(self, machine: Machine) -> None:
        """Start one, and lead the links to it where it is now."""
        await machine.start()
        for other in self.all:
            if other is not machine:
                other.links[machine.name].target = (HOST, machine.peer)

    def isolate(self, machine: Machine, out: bool = True, into: bool = True) -> None:
        """Lose what it sends, what it is sent, or both."""
        for other in self.all:
            if other is not machine:
                if out:
                    machine.links[other.name].cut()
                if into:
                    other.links[machine.name].cut()

    def heal(self) -> None:
        """All links are as new."""
        for machine in self.all:
            for link in machine.links.values():
                link.heal()

    def client(self) -> ServiceClient:
        """A client that knows them all."""
        return ServiceClient([(HOST, machine.listen) for machine in self.all])

    async def status(self, machine: Machine) -> dict[str, object]:
        """What one says of itself; nothing if it does not answer."""
        return await get_once((HOST, machine.listen), "/v1/holding/status", STATUS_S)

    async def init(self, chosen: list[Machine], keyed: int = 1) -> None:
        """Begin a cluster on these."""
        first, members = founder_and_members(
            [await self.status(machine) for machine in chosen], PLACEMENT_GROUP
        )
        client = ServiceClient([(HOST, chosen[first].listen)])
        body = {"members": members, "first": time.time() * 1000, "keyed": keyed}
        told = await client.call("POST", "/v1/holding/init", body)
        client.close()
        if told.status != 200:
            raise RuntimeError(f"init: {told}")

    async def leader(self, group: str = LIST_GROUP) -> Machine:
        """Who leads a group, once somebody does."""
        while True:
            for machine in self.all:
                if machine.up() and await self.leads(machine, group):
                    return machine
            await asyncio.sleep(0.05)

    async def leads(self, machine: Machine, group: str = LIST_GROUP) -> bool:
        """Whether one says that it leads a group."""
        here = (await self.status(machine)).get("groups", {}).get(group, {})
        return here.get("role") == "leader"

    def by_name(self, name: str) -> Machine:
        """One of them."""
        return next(machine for machine in self.all if machine.name == name)

    async def wait_until_replicated(self) -> dict[str, dict[str, object]]:
        """Wait until every copy of every group is there, on the disk that its machine has now, at its home,
        in as many zones as there are, and no change is under way; what each group's leader says of it."""
        while True:
            statuses = [s for s in await asyncio.gather(*map(self._told, self.all)) if s]
            newest = max(statuses, key=lambda s: s["epoch"], default={"epoch": 0})
            if newest["epoch"]:
                ids = {s["name"]: s["id"] for s in statuses}
                found = {g: _whole(g, homes, statuses, ids) for g, homes in newest["homes"].items()}
                if all(found.values()):
                    return found
            await asyncio.sleep(0.05)

    async def copied(self) -> dict[str, int]:
        """Bytes that each process has sent to copies that were being made, by its disk."""
        statuses = await asyncio.gather(*map(self._told, self.all))
        return {s["id"]: s["copiedBytes"] for s in statuses if s}

    async def _told(self, machine: Machine) -> dict[str, object]:
        return await self.status(machine) if machine.up() else {}


def _whole(
    group: str, homes: list[str], statuses: list[dict[str, object]], ids: dict[str, str]
) -> dict[str, object]:
    """What a group's leader says of it; nothing if a copy is missing or in the wrong place."""
    out = max(statuses, key=lambda status: status["epoch"])["out"]
    zones = {status["name"]: status["zone"] for status in statuses if status["name"] not in out}
    if len({zones.get(home) for home in homes}) < min(len(homes), len(set(zones.values()))):
        return {}  # the next zone that is lost could take a majority along
    for status in statuses:
        here = status["groups"].get(group)
        if here is None or here["role"] != "leader":
            continue
        members = here["members"]
        there = sorted(m["id"] for m in members) == sorted(ids.get(home, "") for home in homes)
        caught = all(m["voter"] and m["behind"] in (0, None) for m in members)
        if there and caught and not here["short"] and len(homes) >= status["copies"]:
            return {**here, "leads": status["name"]}
    return {}
