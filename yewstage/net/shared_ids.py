"""Ids of requests that the two processes of an upgrade begin, in a file that both append to.

Appending is atomic, so that of two processes that begin a request with the same id at the same time exactly
one finds its own line first.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from yewstage.log import Event

log = logging.getLogger(__name__)

FILE_NAME = "request-ids"


class SharedRequestIds:
    """One process's side of the file."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._descriptor = -1
        self._read_bytes = 0
        self._partial = b""
        self._process_by_id: dict[bytes, bytes] = {}  # the first one that began it
        self._own = b"%d" % os.getpid()

    def create(self) -> None:
        """Begin a new file; called before the other process is told to serve."""
        self.close()
        self._remove()
        self.open()

    def open(self) -> None:
        """Open the file, or create it. Without it, the processes do not know of each other's requests."""
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._descriptor = os.open(self._path, flags, 0o600)
        except OSError as error:
            self._log_failure(error)

    def close(self) -> None:
        """Stop sharing, and remove the file: the other process has ended."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
            self._remove()
        self._process_by_id.clear()
        self._read_bytes, self._partial = 0, b""

    def is_shared(self) -> bool:
        """Whether the file is in use."""
        return self._descriptor >= 0

    def claim(self, request_id: str) -> bool:
        """Write an id for this process; False if the other process has begun the request before."""
        if self._descriptor < 0:
            return True
        name = request_id.encode("latin-1")
        try:
            os.write(self._descriptor, b"%b %b\n" % (name, self._own))
            self._read_new()
        except OSError as error:  # the disk is full, say
            self._log_failure(error)
        return self._process_by_id.get(name, self._own) == self._own

    def _remove(self) -> None:
        try:
            self._path.unlink(missing_ok=True)
        except OSError as error:
            self._log_failure(error)

    @staticmethod
    def _log_failure(error: OSError) -> None:
        log.warning(Event("no_shared_ids", "cannot share request ids: {error}", error=str(error)))

    def _read_new(self) -> None:
        size = os.fstat(self._descriptor).st_size
        data = os.pread(self._descriptor, size - self._read_bytes, self._read_bytes)
        self._read_bytes += len(data)
        *lines, self._partial = (self._partial + data).split(b"\n")
        for line in lines:
            name, _, process = line.rpartition(b" ")
            self._process_by_id.setdefault(name, process)
