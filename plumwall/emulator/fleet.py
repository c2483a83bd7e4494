"""The gateways of a run: real processes by the deploy file's `run`, each with its own limits."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from plumwall.emulator.process import cpu_s, end, is_ready, kill, limits, resident_mb, spawn
from plumwall.world.generator import GatewaySpec, GeneratedWorld

READY_S = 20.0
LOOK_S = 0.02
OPS_S = 1.0  # how long a look at the figures may take
WATCH_S = 0.5  # spacing of the look at memory
KILL_S = 0.7  # beyond the longest deadline, after which SIGKILL follows SIGTERM
PASSED_ON = ("PATH", "HOME", "LANG", "LC_ALL", "PYTHONPATH", "PYTHONDONTWRITEBYTECODE", "SYSTEMROOT")


class StartError(RuntimeError):
    """The fleet cannot be started; the text says why."""


def run_command(deploy: Path) -> str:
    """The deploy file's `run`."""
    try:
        command = tomllib.loads(deploy.read_text(encoding="utf-8")).get("run")
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise StartError(f"{deploy}: cannot be read: {error}") from None
    if not isinstance(command, str) or not command:
        raise StartError(f"{deploy}: run: is missing")
    return command


def free_port(host: str) -> int:
    """A port that nobody has at this address now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway, through all its lives."""

    def __init__(
        self,
        spec: GatewaySpec,
        drawn: GeneratedWorld,
        root: Path,
        command: str,
        folder: Path,
        host: str,
        state: Callable[[str, str, str], None],
        log_format: str,
    ) -> None:
        self.spec, self._drawn, self._root, self._command, self._folder = spec, drawn, root, command, folder
        self._log_format = log_format
        self._state = state  # told of (name, state, why)
        self.listen = f"{host}:{free_port(host)}"
        self.ops = f"{host}:{free_port(host)}"
        self.discovery = self.counter = ""
        self.lives = 0
        self.process: asyncio.subprocess.Process | None = None
        self._wanted: set[int] = set()  # processes whose end is wanted
        self._watching: asyncio.Task | None = None
        self.cpu_before_s = 0.0  # of earlier lives
        self.most_mb = 0.0

    def configure(self, addresses: Mapping[str, str]) -> None:
        """Where its counter and its discovery are."""
        self.counter = addresses["counter"]
        self.discovery = addresses.get("discovery", self.discovery)
        self._write()

    async def start(self) -> None:
        """Begin a life; returns when it is ready, or was killed before that. One that lives goes on."""
        if self._alive():
            return
        self.lives += 1
        self._write()
        with self._log().open("ab") as log:
            process = await spawn(
                ["/bin/sh", "-c", self._command],
                self._root,
                self._environ(),
                limits(self._drawn.scenario.fleet.sockets),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.process = process
        self._watching = asyncio.get_running_loop().create_task(self._watch(process))
        try:
            async with asyncio.timeout(READY_S):
                while process.returncode is None and not await self._ready():
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise StartError(
                f"{self.spec.name}: was not ready within {READY_S:g} s; see {self._log()}"
            ) from None
        if process.pid in self._wanted:
            return
        if process.returncode is not None:
            raise StartError(
                f"{self.spec.name}: ended at its start, status {process.returncode}: {self.last_words()}"
            )
        self._state(self.spec.name, "ready", "")

    def _alive(self) -> bool:
        process = self.process
        return process is not None and process.returncode is None and process.pid not in self._wanted

    def _environ(self) -> dict[str, str]:
        """What the platform gives a gateway, and what the machine needs to run a program."""
        temporary = self._folder / f"tmp-{self.spec.name}"
        temporary.mkdir(exist_ok=True)
        return {name: os.environ[name] for name in PASSED_ON if name in os.environ} | {
            "ROUTER_NAME": self.spec.name,
            "ROUTER_LISTEN": self.listen,
            "ROUTER_OPS": self.ops,
            "ROUTER_DISCOVERY": self.discovery,
            "ROUTER_CONFIG": str(self._config()),
            "TMPDIR": str(temporary),
        }

    def kill(self) -> None:
        """It dies where it stands."""
        if self.process is not None:
            self._wanted.add(self.process.pid)
            self.cpu_before_s += cpu_s(self.process.pid)
            kill(self.process)
        self._state(self.spec.name, "killed", "")

    async def terminate(self) -> None:
        """SIGTERM as the platform has it; SIGKILL if it is still there long past the longest deadline."""
        if self.process is None or self.process.returncode is not None:
            return
        self._wanted.add(self.process.pid)
        self._state(self.spec.name, "stopping", "")
        self.cpu_before_s += cpu_s(self.process.pid)
        longest = max(c.deadline_ms for c in self._drawn.scenario.classes) / 1000
        by_itself = await end(self.process, max(longest, 3.0) + KILL_S)
        self._state(self.spec.name, "ended", "" if by_itself else "by SIGKILL: it stayed after SIGTERM")

    async def restart(self) -> None:
        """SIGTERM, its end, a new life."""
        await self.terminate()
        await self.start()

    def move(self, addresses: Mapping[str, str]) -> None:
        """A new configuration, and SIGHUP."""
        self.configure(addresses)
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    async def metrics(self) -> dict[str, float]:
        """What its operators' address says; empty if it says nothing in time."""
        host, _, port = self.ops.rpartition(":")
        try:
            async with asyncio.timeout(OPS_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n")
                text = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return {}
        lines = text.partition("\r\n\r\n")[2].splitlines()
        return {
            name: float(value)
            for name, _, value in (line.rpartition(" ") for line in lines)
            if name and not name.startswith("#")
        }

    def cpu_s(self) -> float:
        """Processor time of all its lives."""
        here = (
            cpu_s(self.process.pid) if self.process is not None and self.process.returncode is None else 0.0
        )
        return self.cpu_before_s + here

    def last_words(self) -> str:
        """The last line of its log."""
        lines = self._log().read_text(encoding="utf-8", errors="replace").splitlines()
        return lines[-1] if lines else "it said nothing"

    async def close(self) -> None:
        """Nothing of it stays."""
        if self.process is not None:
            self._wanted.add(self.process.pid)
            kill(self.process)
            await self.process.wait()
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)

    def _config(self) -> Path:
        return self._folder / f"{self.spec.name}.json"

    def _log(self) -> Path:
        return self._folder / f"{self.spec.name}.log"

    def _write(self) -> None:
        """Its configuration; the list that it had last comes from the emulator's agent."""
        fleet = self._drawn.scenario.fleet
        known = self._folder / f"known-{self.spec.name}.json"
        listing = msgspec.json.decode(known.read_bytes()) if known.exists() else None
        seed = int(self._drawn.random_streams.stream("gateway", self.spec.name, self.lives).integers(2**63))
        raw = {
            "name": self.spec.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "ops": self.ops,
            "counter": self.counter,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "log": self._log_format,
            "known": listing,
            "settings": self._drawn.settings(self.spec),
        }
        part = self._config().with_suffix(".part")
        part.write_bytes(msgspec.json.format(msgspec.json.encode(raw), indent=1))
        part.rename(self._config())

    async def _ready(self) -> bool:
        host, _, port = self.listen.rpartition(":")
        return await is_ready(host, int(port))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Memory within its limit, and an end that nobody asked for is a crash."""
        allowed = self._drawn.scenario.fleet.memory_mb
        while process.returncode is None:
            here = resident_mb(process.pid)
            self.most_mb = max(self.most_mb, here)
            if here > allowed:
                self._wanted.add(process.pid)
                kill(process)
                self._state(self.spec.name, "crashed", f"took {here:.0f} MiB of memory, {allowed:g} allowed")
                return
            try:
                async with asyncio.timeout(WATCH_S):
                    await process.wait()
            except TimeoutError:
                pass
        if process.pid not in self._wanted:
            self._state(
                self.spec.name,
                "crashed",
                f"ended by itself, status {process.returncode}: {self.last_words()}",
            )
