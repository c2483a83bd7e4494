"""What every process of a rig has, whichever program it runs."""

from __future__ import annotations

import asyncio
import os
import signal

LINES = 500  # of its log that are remembered


class Child:
    """A process by a name, whose log is read so that it never waits for its reader."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[str] = []
        self._reading: asyncio.Task | None = None

    def read_on(self) -> None:
        """Read what it logs from here on, after the lines its start waited for."""
        self._reading = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        while line := await process.stderr.readline():
            self.lines.append(line.decode())
            del self.lines[:-LINES]

    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def pause(self) -> None:
        """SIGSTOP."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def wake(self) -> None:
        """SIGCONT."""
        os.kill(self.process.pid, signal.SIGCONT)
