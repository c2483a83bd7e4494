"""The project's own list service and its checkers, as processes of a run."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from plumwall.emulator.fleet import StartError, free_port
from plumwall.emulator.process import end, kill, spawn_module

CHECKERS = 2  # one holds the duty, one waits for it
START_S, END_S, LOOK_S = 10.0, 5.0, 0.02
RATE_PER_S = 10.0  # probes, over all servers


class ListService:
    """One service, and who checks its servers."""

    def __init__(self, folder: Path, host: str, log_format: str) -> None:
        self._folder, self._host, self._log_format = folder, host, log_format
        self.address, self.ops = f"{host}:{free_port(host)}", f"{host}:{free_port(host)}"
        self._children: list[asyncio.subprocess.Process] = []

    async def start(self) -> str:
        """Listen; returns the address once it is there."""
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
                return self.address
            except OSError:
                await asyncio.sleep(LOOK_S)
        raise StartError(f"the list service did not start; see {self._folder / 'registry.log'}")

    async def start_checkers(self) -> None:
        """From now on unwell servers are taken out."""
        for i in range(CHECKERS):
            raw = {
                "name": f"checker-{i}",
                "registry": [self.address],
                "ops": f"{self._host}:{free_port(self._host)}",
                "probing": True,
                "rate_per_s": RATE_PER_S,
                "log": self._log_format,
            }
            await self._start("yewstage.checker", f"checker-{i}", raw)

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
