"""Child processes (gateways and workers) that are killed when their parent ends."""

from __future__ import annotations

import asyncio
import ctypes
import os
import resource
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import msgspec

PROJECT_ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Run in the child before exec: the kernel kills the child when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def socket_limiter(sockets: int) -> Callable[[], None]:
    """A function to run in the child before exec, which limits the number of its file descriptors."""

    def apply() -> None:
        _die_with_parent()
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    return apply


def raise_descriptor_limit() -> None:
    """Raise the limit on file descriptors of this process and its children to the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def spawn(
    args: Sequence[str],
    cwd: Path,
    environ: Mapping[str, str],
    prepare: Callable[[], None] = _die_with_parent,
    **streams: object,
) -> asyncio.subprocess.Process:
    """Start a program in its own session, so that signals of the terminal do not reach it directly.

    `prepare` runs in the child before exec.
    """
    return await asyncio.create_subprocess_exec(
        *args, cwd=cwd, env=dict(environ), start_new_session=True, preexec_fn=prepare, **streams
    )


async def spawn_module(module: str, *args: str, **streams: object) -> asyncio.subprocess.Process:
    """Run a module of the project with this interpreter."""
    environ = {**os.environ, "PYTHONPATH": str(PROJECT_ROOT)}
    return await spawn([sys.executable, "-m", module, *args], PROJECT_ROOT, environ, **streams)


async def is_ready(host: str, port: int) -> bool:
    """Whether a gateway reports itself ready. There is no time-out here; the caller sets one."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return line.split()[1:2] == [b"200"]


async def terminate(
    process: asyncio.subprocess.Process, timeout_s: float, signal_number: int = signal.SIGTERM
) -> bool:
    """Send a signal, and SIGKILL to the whole session if the process still runs after the time-out.

    Returns whether the process ended without SIGKILL.
    """
    if process.returncode is not None:
        return True
    try:
        process.send_signal(signal_number)
        async with asyncio.timeout(timeout_s):
            await process.wait()
        return True
    except ProcessLookupError:
        return True
    except TimeoutError:
        kill(process)
        await process.wait()
        return False


def kill(process: asyncio.subprocess.Process) -> None:
    """Send SIGKILL to the process and all processes of its session."""
    if process.returncode is None:
        try:
            os.killpg(process.pid, signal.SIGKILL)
        except (ProcessLookupError, PermissionError):
            pass


def resident_mb(pid: int) -> float:
    """Resident memory of a process in MiB; 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, in seconds; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class JsonLinesWorker:
    """A worker process that receives and sends JSON lines on standard input and output.

    `on_message` gets each line, `on_exit` the status of a process that exits before `stop` is called.
    """

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        on_message: Callable[[dict[str, object]], None],
        on_exit: Callable[[int], None],
    ) -> None:
        self.process, self._on_message, self._on_exit = process, on_message, on_exit
        self.is_stopping = False
        self._task = asyncio.get_running_loop().create_task(self._read())

    def send(self, message: object) -> None:
        """Send a message as one line, unless the worker's input is closed."""
        if self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def stop(self, timeout_s: float = 5.0) -> None:
        """Close the worker's input, so that it flushes its records and exits; kill it after the time-out."""
        self.is_stopping = True
        self.process.stdin.close()
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            kill(self.process)
            await self.process.wait()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            self._on_message(msgspec.json.decode(line))
        status = await self.process.wait()
        if not self.is_stopping:
            self._on_exit(status)
