"""Base class of the child processes of a test rig, whichever program they run."""

from __future__ import annotations

import asyncio
import os
import signal

from plumwall.faults.held_ports import HeldPorts

HOST = "127.0.0.1"
LOG_LINES_KEPT = 500


class Child:
    """A named child process. Its log (stderr) is read all the time, so that it never blocks on a full pipe;
    `lines` has the last `LOG_LINES_KEPT` lines."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[str] = []
        self._read_task: asyncio.Task | None = None
        self.held_ports = HeldPorts(HOST)  # of the process while it is down

    def read_on(self) -> None:
        """Start to read the log in the background. Called at the end of a start, which reads the first lines
        itself."""
        self._read_task = asyncio.create_task(self._read_log(self.process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        while line := await process.stderr.readline():
            self.lines.append(line.decode())
            del self.lines[:-LOG_LINES_KEPT]

    def is_up(self) -> bool:
        """Whether the process was started and has not ended; true for a stopped (SIGSTOP) process too."""
        return self.process is not None and self.process.returncode is None

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process continue, with SIGCONT."""
        os.kill(self.process.pid, signal.SIGCONT)
