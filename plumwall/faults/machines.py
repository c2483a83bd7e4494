"""Machines of a holding (the replicated state service): real processes with a folder each, and a TCP fault
proxy on every link between two of them."""

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
from plumwall.faults.child import HOST, Child
from plumwall.faults.links import TcpFaultProxy
from yewstage.holding.group_names import LIST_GROUP, PLACEMENT_GROUP
from yewstage.holding.member_changes import founder_and_members
from yewstage.raft.disk import encode_record
from yewstage.registry.client import ServiceClient, get_once

ZONES = ("a", "b", "c")
STATUS_TIMEOUT_S = 1.0


def impaired_command(
    module: str, sync_ms: float = 0.0, file_bytes: int = 0, clock_s: float = 0.0
) -> list[str]:
    """Arguments of `python -m` to run a module, through plumwall.faults.hindered if an impairment is set."""
    if not (sync_ms or file_bytes or clock_s):
        return [module]
    options = [f"--sync-ms={sync_ms}", f"--file-bytes={file_bytes}", f"--clock-s={clock_s}"]
    return ["plumwall.faults.hindered", *options, module]


class Machine(Child):
    """One machine: a folder and a process.

    `peer`, `listen` and `ops` are its ports: free ones at the first start, the same ones from then on.
    """

    def __init__(self, name: str, zone: str, folder: Path, changes: dict[str, object]) -> None:
        super().__init__(name)
        self.zone, self.folder, self.changes = zone, folder, changes
        self.links: dict[str, TcpFaultProxy] = {}  # to the other machines, by name
        self.peer = self.listen = self.ops = 0
        self.module = "yewstage.holding"
        # Impairments (see hindered.py); a change applies from the next start on.
        self.sync_ms = self.file_bytes = self.clock_s = 0

    async def start(self) -> None:
        """Start the process; returns once it listens. Raises RuntimeError if it ends before that."""
        config = {
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
        path.write_bytes(msgspec.json.encode(config))
        self.process = await spawn_module(
            *impaired_command(self.module, self.sync_ms, self.file_bytes, self.clock_s),
            "--config",
            str(path.resolve()),
            stderr=asyncio.subprocess.PIPE,
        )
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise RuntimeError(f"{self.name} ended during its start: {self.lines[-3:]}")
            self.lines.append(line)
            port = int(line.rsplit(":", 1)[1]) if " on 127." in line or "address 127." in line else 0
            if "operators' address" in line:
                self.ops = port
            elif "hearing others on" in line:
                self.peer = port
            elif "listening on" in line:
                self.listen = port
                break
        self.held_ports.release()
        self.read_on()

    async def kill(self, delete_state: bool = False) -> None:
        """Kill the process with SIGKILL; with `delete_state`, delete its stored state as well."""
        kill(self.process)
        await self.process.wait()
        self.held_ports.hold((self.peer, self.listen, self.ops))
        if delete_state:
            shutil.rmtree(self.folder / "state", ignore_errors=True)

    async def terminate(self) -> int:
        """Terminate the process with SIGTERM; returns the exit status."""
        self.process.send_signal(signal.SIGTERM)
        status = await self.process.wait()
        self.held_ports.hold((self.peer, self.listen, self.ops))
        return status

    def fill_disk(self, room: int) -> None:
        """Emulate a full disk: no file may grow past the size of the largest one now plus `room` bytes."""
        sizes = [path.stat().st_size for path in (self.folder / "state").rglob("*") if path.is_file()]
        self._limit_file_size(max(sizes, default=0) + room)

    def free_disk(self) -> None:
        """Remove the limit that `fill_disk` set."""
        self._limit_file_size(resource.RLIM_INFINITY)

    def _limit_file_size(self, bytes_: int) -> None:
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (bytes_, hard))

    def save_state(self) -> None:
        """Save a copy of the stored state, for `restore_state`."""
        shutil.rmtree(self.folder / "earlier", ignore_errors=True)
        shutil.copytree(self.folder / "state", self.folder / "earlier")

    def restore_state(self) -> None:
        """Replace the stored state by the copy that `save_state` saved."""
        shutil.rmtree(self.folder / "state", ignore_errors=True)
        shutil.copytree(self.folder / "earlier", self.folder / "state")

    def tear(self, bytes_: int) -> None:
        """Append an incomplete record of `bytes_` bytes to each group's log, as a crash in the middle of a
        write does. Records that were synced stay."""
        for folder in {path.parent for path in (self.folder / "state").glob("*/log-*")}:
            with max(folder.glob("log-*")).open("ab") as log:
                log.write(encode_record(b"torn" * bytes_)[:bytes_])

    def lose_last_record(self, group: str) -> None:
        """Cut off the end of a group's last log record, though it was synced: a disk that acknowledges writes
        that it does not keep."""
        log = max((self.folder / "state" / group).glob("log-*"))
        os.truncate(log, log.stat().st_size - 1)


class Machines:
    """All machines of a rig and the links between them. `changes` are fields of their configurations."""

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
        """Start all links and machines."""
        for machine in self.all:
            for other in self.all:
                if other is not machine:
                    machine.links[other.name] = TcpFaultProxy()
                    await machine.links[other.name].start(HOST)
        for machine in self.all:
            await self.start(machine)

    async def close(self) -> None:
        """Kill all machines and close all links."""
        for machine in self.all:
            if machine.is_up():
                machine.resume()
                kill(machine.process)
                await machine.process.wait()
            for link in machine.links.values():
                await link.stop()

    async def start(self, machine: Machine) -> None:
        """Start a machine and point the links to it at its port."""
        await machine.start()
        for other in self.all:
            if other is not machine:
                other.links[machine.name].target = (HOST, machine.peer)

    def isolate(self, machine: Machine, out: bool = True, into: bool = True) -> None:
        """Drop what a machine sends to the others (`out`), what they send to it (`into`), or both."""
        for other in self.all:
            if other is not machine:
                if out:
                    machine.links[other.name].cut()
                if into:
                    other.links[machine.name].cut()

    def heal(self) -> None:
        """Remove the faults of all links."""
        for machine in self.all:
            for link in machine.links.values():
                link.heal()

    def client(self) -> ServiceClient:
        """A client with the addresses of all machines."""
        return ServiceClient([(HOST, machine.listen) for machine in self.all])

    async def status(self, machine: Machine) -> dict[str, object]:
        """A machine's page /v1/holding/status; empty if it does not answer."""
        return await get_once((HOST, machine.listen), "/v1/holding/status", STATUS_TIMEOUT_S)

    async def init(self, chosen: list[Machine], keyed: int = 1) -> None:
        """Initialize a cluster of the chosen machines with `keyed` groups of keys."""
        first, members = founder_and_members(
            [await self.status(machine) for machine in chosen], PLACEMENT_GROUP
        )
        client = ServiceClient([(HOST, chosen[first].listen)])
        body = {"members": members, "first": time.time() * 1000, "keyed": keyed}
        reply = await client.call("POST", "/v1/holding/init", body)
        client.close()
        if reply.status != 200:
            raise RuntimeError(f"initialization was refused: {reply}")

    async def leader(self, group: str = LIST_GROUP) -> Machine:
        """The leader of a group; waits until there is one."""
        while True:
            for machine in self.all:
                if machine.is_up() and await self.is_leader(machine, group):
                    return machine
            await asyncio.sleep(0.05)

    async def is_leader(self, machine: Machine, group: str = LIST_GROUP) -> bool:
        """Whether a machine reports itself as the leader of a group."""
        group_status = (await self.status(machine)).get("groups", {}).get(group, {})
        return group_status.get("role") == "leader"

    def by_name(self, name: str) -> Machine:
        """The machine with this name."""
        return next(machine for machine in self.all if machine.name == name)

    async def wait_until_replicated(self) -> dict[str, dict[str, object]]:
        """Wait until every group is fully replicated; returns the status of each group by its leader.

        A group is fully replicated if all its copies are up to date and on the machines that the placement
        names, on their present disks, in as many zones as possible, and no membership change is under way.
        """
        while True:
            statuses = [s for s in await asyncio.gather(*map(self._status_if_up, self.all)) if s]
            newest = max(statuses, key=lambda s: s["epoch"], default={"epoch": 0})
            if newest["epoch"]:
                ids = {s["name"]: s["id"] for s in statuses}
                found = {
                    g: _status_if_replicated(g, homes, statuses, ids) for g, homes in newest["homes"].items()
                }
                if all(found.values()):
                    return found
            await asyncio.sleep(0.05)

    async def copied_bytes(self) -> dict[str, int]:
        """Bytes that each process has sent to make new copies, by the id of its disk."""
        statuses = await asyncio.gather(*map(self._status_if_up, self.all))
        return {s["id"]: s["copiedBytes"] for s in statuses if s}

    async def _status_if_up(self, machine: Machine) -> dict[str, object]:
        return await self.status(machine) if machine.is_up() else {}


def _status_if_replicated(
    group: str, homes: list[str], statuses: list[dict[str, object]], ids: dict[str, str]
) -> dict[str, object]:
    """The status of a group by its leader; empty unless the group is fully replicated."""
    drained = max(statuses, key=lambda status: status["epoch"])["out"]
    zones = {status["name"]: status["zone"] for status in statuses if status["name"] not in drained}
    if len({zones.get(home) for home in homes}) < min(len(homes), len(set(zones.values()))):
        return {}  # the loss of one more zone could take a majority
    for status in statuses:
        group_status = status["groups"].get(group)
        if group_status is None or group_status["role"] != "leader":
            continue
        members = group_status["members"]
        on_homes = sorted(m["id"] for m in members) == sorted(ids.get(home, "") for home in homes)
        caught_up = all(m["voter"] and m["behind"] in (0, None) for m in members)
        if on_homes and caught_up and not group_status["short"] and len(homes) >= status["copies"]:
            return {**group_status, "leads": status["name"]}
    return {}
