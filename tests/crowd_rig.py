"""Gateways under crowds of clients, with stand-in servers in another process, and their peaks of memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from conftest import ROOT, GatewayRig, instance, message

MB = 2**20
SERVERS = 8
REFUSING_PORTS = list(range(1, 1 + SERVERS))  # of servers that refuse all connections
SAMPLE_INTERVAL_S = 0.02
KILL_INTERVAL_S = 3.0
DOWN_S = 1.0  # before a killed process is started anew in a series
SERIES_KILL_DELAY_S = 0.45  # from a start to the next kill of a series
KILLS_IN_SERIES = 3
RUNNING_S, STOPPED_S = 0.2, 0.4  # of a process that is stopped again and again
UPGRADE_INTERVAL_S = 2.0
UPGRADE_READY_S = 1.0  # from the start of a new process to the signal for the old one
KILL_AFTER_SIGTERM_S = 3.7
RECONFIGURE_INTERVAL_S = 1.0  # also between changes of the list of servers
TESTS = Path(__file__).parent


def _status_bytes(pid: int, field: str) -> int:
    """A size in the status of a process; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    line = next((line for line in status if line.startswith(field)), f"{field} 0")
    return int(line.split()[1]) * 1024


def peak_bytes(pid: int) -> int:
    """The peak of the resident memory of a process since its start; 0 if it has ended."""
    return _status_bytes(pid, "VmHWM")


def resident_bytes(pid: int) -> int:
    """The resident memory of a process now; 0 if it has ended."""
    return _status_bytes(pid, "VmRSS")


def file_bytes(folder: Path) -> int:
    """The bytes of all files below a folder."""
    size = 0
    for path in folder.rglob("*"):
        with contextlib.suppress(OSError):  # removed meanwhile
            size += path.stat().st_size
    return size


def start_script(name: str, *arguments: object, **options: object) -> Awaitable[asyncio.subprocess.Process]:
    """Start a script of this folder."""
    return asyncio.create_subprocess_exec(
        sys.executable,
        str(TESTS / name),
        *map(str, arguments),
        env={**os.environ, "PYTHONPATH": f"{ROOT}:{TESTS}"},
        **options,
    )


@contextlib.asynccontextmanager
async def stand_in_servers(count: int = SERVERS) -> AsyncIterator[list[int]]:
    """Start stand-in servers; yields their ports."""
    process = await start_script("crowd_servers.py", count, stdout=asyncio.subprocess.PIPE)
    try:
        yield [int(port) for port in (await process.stdout.readline()).split()]
    finally:
        process.kill()
        await process.wait()


@dataclass
class Peak:
    """What a gateway took, in bytes: the peak of resident memory of its process, and its files."""

    at_rest: int = 0
    highest: int = 0


class CrowdRig(GatewayRig):
    """The real program with the stand-in servers on these ports."""

    def __init__(
        self,
        folder: Path,
        server_ports: list[int],
        ballast_mb: float = 0.0,
        listed_servers: int = 0,
        reports_garbage: bool = False,
        **limits: int,
    ) -> None:
        """`ballast_mb` is held by the process at rest beside its own; `listed_servers`, 0 for one a port."""
        super().__init__(folder, **limits)
        self._server_ports = server_ports
        self._listed_servers = listed_servers or len(server_ports)
        self.peak = Peak()
        self._is_killed = False
        if ballast_mb or reports_garbage:
            self.environment = {"PYTHONPATH": str(TESTS / "process_hooks"), "BALLAST_MB": str(ballast_mb)}
        if reports_garbage:
            self.environment["GARBAGE_REPORT"] = "1"

    def instances(self) -> list[dict]:
        ports = itertools.islice(itertools.cycle(self._server_ports), self._listed_servers)
        return [instance(f"s-{i}", port) for i, port in enumerate(ports)]

    def known_instances(self) -> list[dict]:
        return self.instances()

    async def __aenter__(self) -> CrowdRig:
        await super().__aenter__()
        await self.ask(message(rid=b"warm"))
        self.sample()
        self.peak.at_rest = self.peak.highest
        return self

    def sample(self) -> None:
        """Note the present peak: of one process its own, of two what they hold together now."""
        running = [process.pid for process in self.processes if process.returncode is None]
        size = peak_bytes(running[0]) if len(running) == 1 else sum(map(resident_bytes, running))
        self.peak.highest = max(self.peak.highest, size + file_bytes(self.folder))

    def has_ended(self) -> bool:
        """Whether the present process has ended by itself."""
        return self.process.returncode is not None and not self._is_killed

    async def garbage_count(self) -> int:
        """How many objects only a collection of cycles has released since the start; needs its reports."""
        self.log.clear()
        self.process.send_signal(signal.SIGUSR1)
        return int((await self.wait_for_log("garbage: ")).split()[1])

    async def watch(self) -> None:
        """Note the peak until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _kill(self) -> None:
        self.sample()
        self._is_killed = True
        self.process.kill()
        await self.process.wait()

    async def launch(self) -> None:
        await super().launch()
        self._is_killed = False

    async def kill_and_restart(self) -> None:
        """Kill the process and start it anew, again and again."""
        while True:
            await asyncio.sleep(KILL_INTERVAL_S)
            await self._kill()
            await self.launch()

    async def kill_in_series(self) -> None:
        """Kill the process some times, each time soon after its start, and then leave it alone."""
        for _ in range(KILLS_IN_SERIES):
            await asyncio.sleep(SERIES_KILL_DELAY_S)
            await self._kill()
            await asyncio.sleep(DOWN_S)
            await self.launch()
        await asyncio.Event().wait()

    async def end_and_restart(self) -> None:
        """End the process by SIGTERM and start it anew, again and again."""
        while True:
            await asyncio.sleep(KILL_INTERVAL_S)
            self.sample()
            self._is_killed = True
            await end_process(self.process)
            await self.launch()

    async def upgrade(self) -> None:
        """Start another process beside the present one, and end that one, again and again."""
        while True:
            await asyncio.sleep(UPGRADE_INTERVAL_S)
            old = self.process
            await self.spawn()
            await asyncio.sleep(UPGRADE_READY_S)
            await end_process(old)

    async def stall(self) -> None:
        """Stop the process and let it continue, again and again, so that much waits for it at once."""
        while True:
            await asyncio.sleep(RUNNING_S)
            self.process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(STOPPED_S)
            finally:
                self.process.send_signal(signal.SIGCONT)

    async def reconfigure(self) -> None:
        """Send SIGHUP again and again."""
        while True:
            await asyncio.sleep(RECONFIGURE_INTERVAL_S)
            self.process.send_signal(signal.SIGHUP)

    async def change_list(self) -> None:
        """Let one server after the other drain, and come back."""
        number = 0
        while True:
            await asyncio.sleep(RECONFIGURE_INTERVAL_S)
            instances = self.instances()
            instances[number % len(instances)]["lifecycle"] = "draining"
            number += 1
            await self.directory.tell(instances)


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Send SIGTERM, and SIGKILL at the earliest moment that the pages allow."""
    process.send_signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(process.wait(), KILL_AFTER_SIGTERM_S)
    if process.returncode is None:
        process.kill()
        await process.wait()


DISTURBANCES: dict[str, Callable[[CrowdRig], Awaitable[None]]] = {
    "none": CrowdRig.watch,
    "kill": CrowdRig.kill_and_restart,
    "term": CrowdRig.end_and_restart,
    "series": CrowdRig.kill_in_series,
    "stall": CrowdRig.stall,
    "sighup": CrowdRig.reconfigure,
    "list": CrowdRig.change_list,
}
# These need memory for two processes, and a listening socket that outlives them.
UPGRADES: dict[str, Callable[[CrowdRig], Awaitable[None]]] = {"upgrade": CrowdRig.upgrade}


async def crowd(
    rig: CrowdRig, kind: str, connections: int, seconds: float, disturbance: str = "none"
) -> None:
    """Let a crowd loose on a gateway, and note the peak of its memory."""
    load = await start_script("crowding_client.py", rig.port, kind, connections, seconds)
    disturb = {**DISTURBANCES, **UPGRADES}[disturbance]
    tasks = {asyncio.create_task(rig.watch()), asyncio.create_task(disturb(rig))}
    ended = asyncio.create_task(load.wait())
    try:
        await asyncio.wait({*tasks, ended}, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()  # raises what ended it
        assert await ended == 0
        rig.sample()
    finally:
        for task in tasks:
            task.cancel()
        if load.returncode is None:
            load.kill()
            await load.wait()
