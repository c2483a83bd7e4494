"""The project's own list service and its checkers, as processes of a run; or three replicas of it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from plumwall.emulator.fleet import StartError, free_port
from plumwall.emulator.process import end, kill, spawn_module
from plumwall.faults.machines import HOST, Machines
from plumwall.world.generator import HOLDING_MACHINES

CHECKERS = 2  # one holds the duty, one waits for it
START_S, END_S, LOOK_S = 10.0, 5.0, 0.02
RATE_PER_S = 10.0  # probes, over all servers


class ListService:
    """One service, and who checks its servers."""

    def __init__(self, folder: Path, host: str, log_format: str) -> None:
        self._folder, self._host, self._log_format = folder, host, log_format
        self.address, self.ops = f"{host}:{free_port(host)}", f"{host}:{free_port(host)}"
        self._children: list[asyncio.subprocess.Process] = []

    async def start(self) -> list[str]:
        """Listen; returns its addresses once it is there."""
        raw = {
            "listen": self.address,
            "ops": self.ops,
            "folder": str((self._folder / "list").resolve()),
            "settle_ms": 0,
            "log": self._log_format,
        }
        process = await self._start("yewstage.registry", "registry", raw)
        host, _, port = self.address.rpartition(":")
        for _ in range(int(START_S / LOOK_S)):
            if process.returncode is not None:
                break
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return [self.address]
            except OSError:
                await asyncio.sleep(LOOK_S)
        raise StartError(f"the list service did not start; see {self._folder / 'registry.log'}")

    async def start_checkers(self) -> None:
        """From now on unwell servers are taken out."""
        for i in range(CHECKERS):
            raw = {
                "name": f"checker-{i}",
                "registry": self._addresses(),
                "ops": f"{self._host}:{free_port(self._host)}",
                "probing": True,
                "rate_per_s": RATE_PER_S,
                "log": self._log_format,
            }
            await self._start("yewstage.checker", f"checker-{i}", raw)

    def _addresses(self) -> list[str]:
        return [self.address]

    async def close(self) -> None:
        """Checkers leave their duty, then the service ends."""
        for process in reversed(self._children):
            await end(process, END_S)
            kill(process)

    async def _start(self, module: str, name: str, raw: dict[str, object]) -> asyncio.subprocess.Process:
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(raw))
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await spawn_module(
                module,
                "--config",
                str(path.resolve()),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._children.append(process)
        return process


class HeldList(ListService):
    """Three replicas, on machines of the rig of faults."""

    def __init__(self, folder: Path, host: str, log_format: str) -> None:
        super().__init__(folder, host, log_format)
        self._machines = Machines(folder / "holding", HOLDING_MACHINES, log=log_format, gone_ms=3000.0)

    async def start(self) -> list[str]:
        """Begin a group on all; returns their addresses once all have all."""
        try:
            await self._machines.open()
            await self._machines.init(self._machines.all)
            async with asyncio.timeout(START_S):
                await self._machines.wait_until_replicated()
        except (RuntimeError, TimeoutError) as error:
            raise StartError(f"the holding did not start: {error}") from None
        return self._addresses()

    def _addresses(self) -> list[str]:
        return [f"{HOST}:{machine.listen}" for machine in self._machines.all]

    async def change(self, kind: str, name: str) -> None:
        """A machine is lost with its disk; it comes back with an empty one."""
        machine = self._machines.by_name(name)
        if kind == "holding_lost":
            await machine.kill(disk_too=True)
        else:
            await self._machines.start(machine)

    async def close(self) -> None:
        """Checkers leave their duty, then the replicas end."""
        await super().close()
        await self._machines.close()
