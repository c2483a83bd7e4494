"""Child processes that never outlive their parent: gateways and workers."""

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

ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """In the child, before it becomes its program: the kernel ends it with its parent."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def limits(sockets: int) -> Callable[[], None]:
    """In the child: what a gateway's machine allows."""

    def apply() -> None:
        _die_with_parent()
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    return apply


def raise_descriptors() -> None:
    """As many descriptors for this process and its workers as the system lets us have."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def spawn(
    words: Sequence[str],
    cwd: Path,
    environ: Mapping[str, str],
    prepare: Callable[[], None] = _die_with_parent,
    **streams: object,
) -> asyncio.subprocess.Process:
    """Start a program in a session of its own: the terminal's signals are ours to pass on."""
    return await asyncio.create_subprocess_exec(
        *words, cwd=cwd, env=dict(environ), start_new_session=True, preexec_fn=prepare, **streams
    )


async def spawn_module(module: str, *words: str, **streams: object) -> asyncio.subprocess.Process:
    """Start a module of the project with this interpreter."""
    environ = {**os.environ, "PYTHONPATH": str(ROOT)}
    return await spawn([sys.executable, "-m", module, *words], ROOT, environ, **streams)


async def is_ready(host: str, port: int) -> bool:
    """Whether a gateway says that it can serve; who asks says how long that may take."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return line.split()[1:2] == [b"200"]


async def end(process: asyncio.subprocess.Process, within_s: float, number: int = signal.SIGTERM) -> bool:
    """A signal, then SIGKILL to all of its session if it stays; whether it ended by itself."""
    if process.returncode is not None:
        return True
    try:
        process.send_signal(number)
        async with asyncio.timeout(within_s):
            await process.wait()
        return True
    except ProcessLookupError:
        return True
    except TimeoutError:
        kill(process)
        await process.wait()
        return False


def kill(process: asyncio.subprocess.Process) -> None:
    """SIGKILL to the process and all that it started."""
    if process.returncode is None:
        try:
            os.killpg(process.pid, signal.SIGKILL)
        except (ProcessLookupError, PermissionError):
            pass


def resident_mb(pid: int) -> float:
    """Memory of a process, MiB; 0 if it is gone."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, seconds; 0 if it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class JsonLinesWorker:
    """A worker that takes and gives JSON lines."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        heard: Callable[[dict[str, object]], None],
        lost: Callable[[int], None],
    ) -> None:
        self.process, self._heard, self._lost = process, heard, lost
        self.ending = False
        self._task = asyncio.get_running_loop().create_task(self._read())

    def tell(self, words: object) -> None:
        """One line to it."""
        if self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(words) + b"\n")

    async def stop(self, within_s: float = 5.0) -> None:
        """Close its input; it writes what it has and ends."""
        self.ending = True
        self.process.stdin.close()
        try:
            async with asyncio.timeout(within_s):
                await self.process.wait()
        except TimeoutError:
            kill(self.process)
            await self.process.wait()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            self._heard(msgspec.json.decode(line))
        code = await self.process.wait()
        if not self.ending:
            self._lost(code)
