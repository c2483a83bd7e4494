"""Gateways beside the machines of a holding: real processes, with stand-ins of servers that keep count."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy as np

from plumwall.emulator.process import ROOT, is_ready, kill, spawn
from plumwall.faults.child import Child
from plumwall.faults.machines import HOST

READY_S = 0.02


class GatewayProcess(Child):
    """One gateway by its module, on ports of the system's choice, which stay once they are known."""

    def __init__(self, name: str, folder: Path, raw: dict[str, object]) -> None:
        super().__init__(name)
        self.folder, self._raw = folder, raw
        self.listen = self.ops = self.members = 0
        self._paused = False

    async def start(self) -> None:
        """Start the process; returns once it is ready."""
        self._paused = False
        path = self._write()
        environ = {**os.environ, "PYTHONPATH": str(ROOT), "ROUTER_CONFIG": str(path.resolve())}
        environ["TMPDIR"] = str(self.folder.resolve())
        self.process = await spawn(
            [sys.executable, "-m", "yewstage"], ROOT, environ, stderr=asyncio.subprocess.PIPE
        )
        while line := (await self.process.stderr.readline()).decode():
            self.lines.append(line)
            if "operators' address" in line:
                self.ops = int(line.rsplit(":", 1)[1])
            elif "hearing members on" in line:
                self.members = int(line.rsplit(":", 1)[1])
            elif "listening on" in line:
                self.listen = int(line.rsplit(":", 1)[1])
                break
        else:
            raise RuntimeError(f"{self.name} ended at its start: {self.lines[-3:]}")
        self.read_on()
        while not await is_ready(HOST, self.listen):
            await asyncio.sleep(READY_S)

    def _write(self) -> Path:
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "gateway.json"
        own = {"name": self.name, "listen": f"{HOST}:{self.listen}", "ops": f"{HOST}:{self.ops}"}
        path.write_bytes(msgspec.json.encode(self._raw | own))
        return path

    def runs(self) -> bool:
        """Whether it is up, and not stopped."""
        return self.up() and not self._paused

    def pause(self) -> None:
        """SIGSTOP, and it counts as not running."""
        self._paused = True
        super().pause()

    def wake(self) -> None:
        """SIGCONT, and it counts as running."""
        self._paused = False
        super().wake()

    def set(self, **changes: object) -> None:
        """Other values in the configuration file, for the next start or the next SIGHUP."""
        self._raw = self._raw | changes
        self._write()

    async def end(self) -> int:
        """SIGTERM; its exit status."""
        self.process.terminate()
        return await self.process.wait()

    async def kill(self) -> None:
        """SIGKILL: what it had in its memory is lost."""
        kill(self.process)
        await self.process.wait()


def listed(name: str, port: int, cell: int = 0) -> dict[str, object]:
    """A server as lists tell it."""
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": cell,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def check_weights(faults: dict[str, float], known: tuple[str, ...]) -> None:
    """How often each fault of a plan is drawn; ValueError names the field."""
    for fault, weight in faults.items():
        if fault not in known or weight < 0:
            raise ValueError(f"faults.{fault}: must be one of {', '.join(known)}, not under 0")
    if not sum(faults.values()) > 0:
        raise ValueError("faults: one must be above 0")


@dataclass(frozen=True)
class Moods:
    """How servers behave: parts of their requests."""

    slow: float = 0.2  # answered after up to `slow_s`
    slow_s: float = 0.4
    unheard: float = 0.1  # run, and the connection breaks instead of an answer
    not_run: float = 0.1  # turned away


@dataclass
class Server:
    """A statement server that remembers each effect. It drops repeats of the keys that came to itself, and
    knows nobody else's."""

    name: str
    moods: Moods
    rng: np.random.Generator
    effects: list[tuple[str, str]] = field(default_factory=list)  # key, answer
    port: int = 0
    known: dict[str, str] = field(default_factory=dict)  # answers by key
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Take nothing more."""
        self._server.close()

    def listed(self, number: int) -> dict[str, object]:
        """As lists tell it: each server in a cell of its own, so that none knows another's keys."""
        return listed(self.name, self.port, number)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if not await self._one(head, reader, writer):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()

    async def _one(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(headers.get("content-length", "0")))
        mood = self.rng.random()
        if mood < self.moods.not_run:
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        key = headers.get("idempotency-key", "")
        if key not in self.known:
            self.known[key] = f"{self.name}-{len(self.effects)}"
            self.effects.append((key, self.known[key]))
        answer = self.known[key]
        if mood < self.moods.not_run + self.moods.unheard:
            return False
        if mood < self.moods.not_run + self.moods.unheard + self.moods.slow:
            await asyncio.sleep(self.moods.slow_s * self.rng.random())
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n{answer}"
            ).encode()
        )
        return True
