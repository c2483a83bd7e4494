"""Gateways under crowds of clients, with stand-in servers in another process, and their peaks of memory."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from conftest import ROOT, GatewayRig, instance, message

MB = 2**20
SERVERS = 8
SAMPLE_INTERVAL_S = 0.02
KILL_INTERVAL_S = 3.0
DOWN_S = 1.0  # before a killed process is started anew in a series
SERIES_KILL_DELAY_S = 0.45  # from a start to the next kill of a series
KILLS_IN_SERIES = 3
RECONFIGURE_INTERVAL_S = 1.0  # also between changes of the list of servers
TESTS = Path(__file__).parent


def peak_bytes(pid: int) -> int:
    """The peak of the resident memory of a process since its start; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    line = next((line for line in status if line.startswith("VmHWM")), "VmHWM 0")
    return int(line.split()[1]) * 1024


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

    def __init__(self, folder: Path, server_ports: list[int], **limits: int) -> None:
        super().__init__(folder, **limits)
        self._server_ports = server_ports
        self.peak = Peak()

    def instances(self) -> list[dict]:
        return [instance(f"s-{i}", port) for i, port in enumerate(self._server_ports)]

    async def __aenter__(self) -> CrowdRig:
        await super().__aenter__()
        await self.ask(message(rid=b"warm"))
        self.sample()
        self.peak.at_rest = self.peak.highest
        return self

    def sample(self) -> None:
        """Note the present peak."""
        size = peak_bytes(self.process.pid) + file_bytes(self.folder)
        self.peak.highest = max(self.peak.highest, size)

    async def watch(self) -> None:
        """Note the peak until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _kill(self) -> None:
        self.sample()
        self.process.kill()
        await self.process.wait()

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


DISTURBANCES: dict[str, Callable[[CrowdRig], Awaitable[None]]] = {
    "none": CrowdRig.watch,
    "kill": CrowdRig.kill_and_restart,
    "series": CrowdRig.kill_in_series,
    "sighup": CrowdRig.reconfigure,
    "list": CrowdRig.change_list,
}


async def crowd(
    rig: CrowdRig, kind: str, connections: int, seconds: float, disturbance: str = "none"
) -> None:
    """Let a crowd loose on a gateway, and note the peak of its memory."""
    load = await start_script("crowding_client.py", rig.port, kind, connections, seconds)
    tasks = {asyncio.create_task(rig.watch()), asyncio.create_task(DISTURBANCES[disturbance](rig))}
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
