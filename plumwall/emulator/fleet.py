"""The gateways of a run: real processes, started with the `run` command of the deploy file, each with its own
limits."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from plumwall.emulator.process import cpu_s, is_ready, kill, resident_mb, socket_limiter, spawn, terminate
from plumwall.world.generator import GatewaySpec, GeneratedWorld

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
METRICS_TIMEOUT_S = 1.0
MEMORY_POLL_S = 0.5
KILL_GRACE_S = 0.7  # SIGKILL comes this long after SIGTERM plus the longest deadline
INHERITED_VARIABLES = (
    "PATH",
    "HOME",
    "LANG",
    "LC_ALL",
    "PYTHONPATH",
    "PYTHONDONTWRITEBYTECODE",
    "SYSTEMROOT",
)


class StartError(RuntimeError):
    """A process of the run cannot be started or has ended too early; the text says why."""


def run_command(deploy: Path) -> str:
    """The `run` command of a deploy file. Raises StartError if there is none."""
    try:
        command = tomllib.loads(deploy.read_text(encoding="utf-8")).get("run")
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise StartError(f"{deploy}: cannot be read: {error}") from None
    if not isinstance(command, str) or not command:
        raise StartError(f"{deploy}: run: is missing")
    return command


def free_port(host: str) -> int:
    """A port that is free at this address now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class GatewayProcess:
    """One gateway through all its incarnations.

    `root` is the working directory of its `command`, `folder` holds its configuration and log, `host` is the
    loopback address it listens on.
    """

    def __init__(
        self,
        spec: GatewaySpec,
        world: GeneratedWorld,
        root: Path,
        command: str,
        folder: Path,
        host: str,
        on_state: Callable[[str, str, str], None],
        log_format: str,
    ) -> None:
        self.spec, self._world, self._root, self._command, self._folder = spec, world, root, command, folder
        self._log_format = log_format
        self._on_state = on_state  # called with name, state and reason
        self.listen = f"{host}:{free_port(host)}"
        self.ops = f"{host}:{free_port(host)}"
        self.discovery = self.counter = ""
        self.incarnation = 0
        self.process: asyncio.subprocess.Process | None = None
        self._stopped_pids: set[int] = set()  # processes that are stopped on purpose
        self._watch_task: asyncio.Task | None = None
        self.earlier_cpu_s = 0.0  # of earlier incarnations
        self.peak_mb = 0.0

    def configure(self, addresses: Mapping[str, str]) -> None:
        """Set the addresses of its counter and discovery and write its configuration."""
        self.counter = addresses["counter"]
        self.discovery = addresses.get("discovery", self.discovery)
        self._write_config()

    async def start(self) -> None:
        """Start a process; return when it is ready, or was killed before that. Does nothing if one is
        running.

        Raises StartError if it exits or is not ready in time.
        """
        if self._is_running():
            return
        self.incarnation += 1
        self._write_config()
        with self._log_path().open("ab") as log:
            process = await spawn(
                ["/bin/sh", "-c", self._command],
                self._root,
                self._environment(),
                socket_limiter(self._world.scenario.fleet.sockets),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.process = process
        self._watch_task = asyncio.get_running_loop().create_task(self._watch(process))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while process.returncode is None and not await self._is_ready():
                    await asyncio.sleep(READY_POLL_S)
        except TimeoutError:
            raise StartError(
                f"{self.spec.name}: was not ready within {READY_TIMEOUT_S:g} s; see {self._log_path()}"
            ) from None
        if process.pid in self._stopped_pids:
            return
        if process.returncode is not None:
            raise StartError(
                f"{self.spec.name}: exited at start with status {process.returncode}: {self.last_log_line()}"
            )
        self._on_state(self.spec.name, "ready", "")

    def _is_running(self) -> bool:
        process = self.process
        return process is not None and process.returncode is None and process.pid not in self._stopped_pids

    def _environment(self) -> dict[str, str]:
        """The environment: what the platform sets for a gateway, and what a program needs to run on this
        machine."""
        temporary_folder = self._folder / f"tmp-{self.spec.name}"
        temporary_folder.mkdir(exist_ok=True)
        return {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ} | {
            "ROUTER_NAME": self.spec.name,
            "ROUTER_LISTEN": self.listen,
            "ROUTER_OPS": self.ops,
            "ROUTER_DISCOVERY": self.discovery,
            "ROUTER_CONFIG": str(self._config_path()),
            "TMPDIR": str(temporary_folder),
        }

    def kill(self) -> None:
        """Kill the process without a drain (SIGKILL)."""
        if self.process is not None:
            self._stopped_pids.add(self.process.pid)
            self.earlier_cpu_s += cpu_s(self.process.pid)
            kill(self.process)
        self._on_state(self.spec.name, "killed", "")

    async def terminate(self) -> None:
        """Send SIGTERM as the platform does, and SIGKILL if the process still runs well after the longest
        deadline."""
        if self.process is None or self.process.returncode is not None:
            return
        self._stopped_pids.add(self.process.pid)
        self._on_state(self.spec.name, "stopping", "")
        self.earlier_cpu_s += cpu_s(self.process.pid)
        longest_deadline_s = max(c.deadline_ms for c in self._world.scenario.classes) / 1000
        exited = await terminate(self.process, max(longest_deadline_s, 3.0) + KILL_GRACE_S)
        self._on_state(self.spec.name, "ended", "" if exited else "by SIGKILL: it stayed after SIGTERM")

    async def restart(self) -> None:
        """Terminate the process, wait for its end and start a new one."""
        await self.terminate()
        await self.start()

    def move(self, addresses: Mapping[str, str]) -> None:
        """Write a configuration with new addresses and send SIGHUP."""
        self.configure(addresses)
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    async def metrics(self) -> dict[str, float]:
        """The metrics at its operators' address; empty if there is no answer in time."""
        host, _, port = self.ops.rpartition(":")
        try:
            async with asyncio.timeout(METRICS_TIMEOUT_S):
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
        """Processor time of all its incarnations, in seconds."""
        current_s = (
            cpu_s(self.process.pid) if self.process is not None and self.process.returncode is None else 0.0
        )
        return self.earlier_cpu_s + current_s

    def last_log_line(self) -> str:
        """The last line of its log."""
        lines = self._log_path().read_text(encoding="utf-8", errors="replace").splitlines()
        return lines[-1] if lines else "it said nothing"

    async def close(self) -> None:
        """Kill the process if it still runs, and stop watching it."""
        if self.process is not None:
            self._stopped_pids.add(self.process.pid)
            kill(self.process)
            await self.process.wait()
        if self._watch_task is not None:
            self._watch_task.cancel()
            await asyncio.gather(self._watch_task, return_exceptions=True)

    def _config_path(self) -> Path:
        return self._folder / f"{self.spec.name}.json"

    def _log_path(self) -> Path:
        return self._folder / f"{self.spec.name}.log"

    def _write_config(self) -> None:
        """Write its configuration. The list of servers that it had last comes from the emulator's agent."""
        fleet = self._world.scenario.fleet
        known_path = self._folder / f"known-{self.spec.name}.json"
        known_list = msgspec.json.decode(known_path.read_bytes()) if known_path.exists() else None
        seed = int(
            self._world.random_streams.stream("gateway", self.spec.name, self.incarnation).integers(2**63)
        )
        config = {
            "name": self.spec.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "ops": self.ops,
            "counter": self.counter,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "log": self._log_format,
            "known": known_list,
            "settings": self._world.settings(self.spec),
        }
        temporary_path = self._config_path().with_suffix(".part")
        temporary_path.write_bytes(msgspec.json.format(msgspec.json.encode(config), indent=1))
        temporary_path.rename(self._config_path())

    async def _is_ready(self) -> bool:
        host, _, port = self.listen.rpartition(":")
        return await is_ready(host, int(port))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Watch a process: memory above the limit, or an exit that was not requested, counts as a crash."""
        limit_mb = self._world.scenario.fleet.memory_mb
        while process.returncode is None:
            used_mb = resident_mb(process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > limit_mb:
                self._stopped_pids.add(process.pid)
                kill(process)
                self._on_state(
                    self.spec.name, "crashed", f"took {used_mb:.0f} MiB of memory, {limit_mb:g} allowed"
                )
                return
            try:
                async with asyncio.timeout(MEMORY_POLL_S):
                    await process.wait()
            except TimeoutError:
                pass
        if process.pid not in self._stopped_pids:
            self._on_state(
                self.spec.name,
                "crashed",
                f"ended by itself, status {process.returncode}: {self.last_log_line()}",
            )
