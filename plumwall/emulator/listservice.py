"""The project's list service and its checkers as processes of a run: a single service, or three replicas."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from plumwall.emulator.fleet import StartError, free_port
from plumwall.emulator.process import kill, spawn_module, terminate
from plumwall.faults.machines import HOST, Machines
from plumwall.world.generator import HOLDING_MACHINES

CHECKERS = 2  # one holds the lease for checking, the other waits for it
START_TIMEOUT_S, STOP_TIMEOUT_S, POLL_S = 10.0, 5.0, 0.02
PROBES_PER_S = 10.0  # over all servers


class ListService:
    """One list service and the checkers of its servers. `host` is the loopback address they listen on."""

    def __init__(self, folder: Path, host: str, log_format: str) -> None:
        self._folder, self._host, self._log_format = folder, host, log_format
        self.address, self.ops = f"{host}:{free_port(host)}", f"{host}:{free_port(host)}"
        self._processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> list[str]:
        """Start the service; return its addresses once it accepts connections. Raises StartError if it does
        not."""
        config = {
            "listen": self.address,
            "ops": self.ops,
            "folder": str((self._folder / "list").resolve()),
            "settle_ms": 0,
            "log": self._log_format,
        }
        process = await self._start("yewstage.registry", "registry", config)
        host, _, port = self.address.rpartition(":")
        for _ in range(int(START_TIMEOUT_S / POLL_S)):
            if process.returncode is not None:
                break
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return [self.address]
            except OSError:
                await asyncio.sleep(POLL_S)
        raise StartError(f"the list service did not start; see {self._folder / 'registry.log'}")

    async def start_checkers(self) -> None:
        """Start the checkers: from now on unhealthy servers are taken out of the list."""
        for i in range(CHECKERS):
            config = {
                "name": f"checker-{i}",
                "registry": self._addresses(),
                "ops": f"{self._host}:{free_port(self._host)}",
                "probing": True,
                "rate_per_s": PROBES_PER_S,
                "log": self._log_format,
            }
            await self._start("yewstage.checker", f"checker-{i}", config)

    def _addresses(self) -> list[str]:
        return [self.address]

    async def close(self) -> None:
        """Stop the checkers, which release their lease, then the service."""
        for process in reversed(self._processes):
            await terminate(process, STOP_TIMEOUT_S)
            kill(process)

    async def _start(self, module: str, name: str, config: dict[str, object]) -> asyncio.subprocess.Process:
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(config))
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await spawn_module(
                module,
                "--config",
                str(path.resolve()),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process


class ReplicatedListService(ListService):
    """Three replicas, on the machines that the fault tests use as well."""

    def __init__(self, folder: Path, host: str, log_format: str) -> None:
        super().__init__(folder, host, log_format)
        self._machines = Machines(folder / "holding", HOLDING_MACHINES, log=log_format, gone_ms=3000.0)

    async def start(self) -> list[str]:
        """Start a replica group; return its addresses once all machines have all data. Raises StartError on
        failure."""
        try:
            await self._machines.open()
            await self._machines.init(self._machines.all)
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._machines.wait_until_replicated()
        except (RuntimeError, TimeoutError) as error:
            raise StartError(f"the replicated list service did not start: {error}") from None
        return self._addresses()

    def _addresses(self) -> list[str]:
        return [f"{HOST}:{machine.listen}" for machine in self._machines.all]

    async def apply_fault(self, kind: str, name: str) -> None:
        """Apply a fault: a machine is lost together with its disk, or starts again with an empty one."""
        machine = self._machines.by_name(name)
        if kind == "holding_lost":
            await machine.kill(delete_state=True)
        else:
            await self._machines.start(machine)

    async def close(self) -> None:
        """Stop the checkers, which release their lease, then the replicas."""
        await super().close()
        await self._machines.close()
