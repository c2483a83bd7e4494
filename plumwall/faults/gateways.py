"""Gateway processes of the fault injection rig, and emulated servers that record each effect."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy as np

from plumwall.emulator.process import PROJECT_ROOT, is_ready, kill, spawn
from plumwall.faults.child import Child
from plumwall.faults.machines import HOST

READY_POLL_INTERVAL_S = 0.02


class GatewayProcess(Child):
    """One gateway process. `listen`, `ops` and `members` are its ports: free ones at the first start, the
    same ones at each later start."""

    def __init__(self, name: str, folder: Path, config: dict[str, object]) -> None:
        super().__init__(name)
        self.folder, self._config = folder, config
        self.listen = self.ops = self.members = 0
        self._paused = False

    async def start(self) -> None:
        """Start the process; returns once it is ready. Raises RuntimeError if it ends before it listens."""
        self._paused = False
        path = self._write_config()
        environ = {**os.environ, "PYTHONPATH": str(PROJECT_ROOT), "ROUTER_CONFIG": str(path.resolve())}
        environ["TMPDIR"] = str(self.folder.resolve())
        self.process = await spawn(
            [sys.executable, "-m", "yewstage"], PROJECT_ROOT, environ, stderr=asyncio.subprocess.PIPE
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
            raise RuntimeError(f"{self.name} ended during its start: {self.lines[-3:]}")
        self.held_ports.release()
        self.read_on()
        while not await is_ready(HOST, self.listen):
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _write_config(self) -> Path:
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "gateway.json"
        own = {"name": self.name, "listen": f"{HOST}:{self.listen}", "ops": f"{HOST}:{self.ops}"}
        path.write_bytes(msgspec.json.encode(self._config | own))
        return path

    def runs(self) -> bool:
        """Whether the process is up and not stopped by `pause`."""
        return self.is_up() and not self._paused

    def pause(self) -> None:
        """Stop the process with SIGSTOP; it then counts as not running."""
        self._paused = True
        super().pause()

    def resume(self) -> None:
        """Let the process continue, with SIGCONT; it then counts as running."""
        self._paused = False
        super().resume()

    def set(self, **changes: object) -> None:
        """Change fields of the configuration file. They apply from the next start or SIGHUP on."""
        self._config = self._config | changes
        self._write_config()

    async def terminate(self) -> int:
        """Terminate the process with SIGTERM; returns the exit status."""
        self.process.terminate()
        status = await self.process.wait()
        self.held_ports.hold((self.listen, self.ops))
        return status

    async def kill(self) -> None:
        """Kill the process with SIGKILL; its state in memory is lost."""
        kill(self.process)
        await self.process.wait()
        self.held_ports.hold((self.listen, self.ops))


def listed(name: str, port: int, cell: int = 0) -> dict[str, object]:
    """A server as an entry of the list of servers."""
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
    """Check the weights that the faults of a plan are drawn with; ValueError names the field."""
    for fault, weight in faults.items():
        if fault not in known or weight < 0:
            raise ValueError(
                f"faults.{fault}: must be one of {', '.join(known)}, with a weight of at least 0"
            )
    if not sum(faults.values()) > 0:
        raise ValueError("faults: at least one weight must be above 0")


@dataclass(frozen=True)
class ServerFaults:
    """Faults of an emulated server: the share of the requests that each applies to, 0 to 1."""

    slow: float = 0.2  # answered after a random delay of up to `slow_s`
    slow_s: float = 0.4
    unheard: float = 0.1  # executed, but the connection is closed instead of an answer
    not_run: float = 0.1  # refused with 503, not executed


@dataclass
class Server:
    """An emulated server that records each effect. It executes each idempotency key once; keys that were sent
    to other servers are unknown to it."""

    name: str
    faults: ServerFaults
    rng: np.random.Generator
    effects: list[tuple[str, str]] = field(default_factory=list)  # key, answer
    port: int = 0
    answers: dict[str, str] = field(default_factory=dict)  # by key
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def listed(self, number: int) -> dict[str, object]:
        """Its entry of the list of servers. Each server has a cell of its own: it knows only its own keys."""
        return listed(self.name, self.port, number)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if not await self._answer_request(head, reader, writer):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()

    async def _answer_request(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(headers.get("content-length", "0")))
        draw = self.rng.random()
        if draw < self.faults.not_run:
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        key = headers.get("idempotency-key", "")
        if key not in self.answers:
            self.answers[key] = f"{self.name}-{len(self.effects)}"
            self.effects.append((key, self.answers[key]))
        answer = self.answers[key]
        if draw < self.faults.not_run + self.faults.unheard:
            return False
        if draw < self.faults.not_run + self.faults.unheard + self.faults.slow:
            await asyncio.sleep(self.faults.slow_s * self.rng.random())
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n{answer}"
            ).encode()
        )
        return True
