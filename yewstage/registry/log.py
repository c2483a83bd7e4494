"""Durability: an append-only log of the store's entries and a snapshot that it goes on from.

One entry is one line: a checksum, a length and JSON that holds a number one higher than the line before. An
entry is acknowledged once it is synced. A crash can leave a last line that is not whole, which nobody was
told of: it is cut off. Anything else that does not fit is damage, and no list is better than a wrong one: the
start ends there.
"""

from __future__ import annotations

import fcntl
import json
import os
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from yewstage.registry.store import Entry

LOG, SNAPSHOT, LOCK = "log", "snapshot", "lock"
FIRST = b"plumwall registry 1\n"  # what a log begins with


class LogError(Exception):
    """The folder cannot be used; the text says why, in one line."""


class FullError(Exception):
    """An entry could not be made durable, and is not there."""


class Log:
    """The files of one store, which one process holds."""

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder, self._sync = folder, sync
        self.cut = 0  # bytes of a torn last entry, at the last load
        self.entries = 0  # in the log, behind the snapshot
        self.broken = ""  # why nothing more can be written; empty: it can
        self._number = 0  # of the last entry
        self._size = 0  # of the part of the log that is whole
        self._file: BinaryIO | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(folder / LOCK, "ab")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise LogError(f"{folder}: another process holds it") from None
        except OSError as error:
            raise LogError(f"{folder}: {error}") from None

    def load(self) -> tuple[Entry | None, list[Entry]]:
        """The snapshot, None if there is none, and the entries behind it. Ready to append from here on."""
        try:
            state = self._read_snapshot()
            entries = self._read_log(state is not None)
            self._file = open(self._folder / LOG, "r+b", buffering=0)
            self._file.truncate(self._size)
            self._file.seek(self._size)
        except OSError as error:
            raise LogError(f"{self._folder}: {error}") from None
        self.entries = len(entries)
        return state, entries

    def append(self, entry: Entry) -> None:
        """Make an entry durable; FullError if that failed, and then it is not there."""
        if self.broken:
            raise FullError(self.broken)
        line = _line({"n": self._number + 1, "entry": entry})
        try:
            self._write(line)
        except OSError as error:
            self._undo(error)
        try:
            self._sync(self._file.fileno())
        except OSError as error:
            # Danger: after a sync that failed nobody knows what is on the disk; a second one may lie.
            self.broken = f"sync: {error}"
            raise FullError(self.broken) from None
        self._number += 1
        self._size += len(line)
        self.entries += 1

    def compact(self, state: Entry) -> None:
        """Put a snapshot in place of all entries so far. What fails leaves the log as it was."""
        if self.broken:
            raise FullError(self.broken)
        try:
            self._replace(SNAPSHOT, _line({"n": self._number, "state": state}))
            # A crash between the two leaves entries that the snapshot holds: by their numbers they are
            # skipped.
            self._replace(LOG, FIRST)
            fresh = open(self._folder / LOG, "r+b", buffering=0)
        except OSError as error:
            raise FullError(f"snapshot: {error}") from None
        self._file.close()
        self._file = fresh
        self._file.seek(len(FIRST))
        self._size, self.entries = len(FIRST), 0

    def close(self) -> None:
        """Give the folder up."""
        if self._file is not None:
            self._file.close()
        self._lock.close()

    def _write(self, line: bytes) -> None:
        left = memoryview(line)
        while left:
            left = left[self._file.write(left) :]

    def _undo(self, error: OSError) -> None:
        """Take a part of a line off again, so that what comes next does not stand behind it."""
        try:
            self._file.truncate(self._size)
            self._file.seek(self._size)
        except OSError:
            self.broken = f"write: {error}"
        raise FullError(f"write: {error}") from None

    def _replace(self, name: str, data: bytes) -> None:
        path = self._folder / f"{name}.new"
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            self._sync(file.fileno())
        path.rename(self._folder / name)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            self._sync(folder)
        finally:
            os.close(folder)

    def _read_snapshot(self) -> Entry | None:
        path = self._folder / SNAPSHOT
        if not path.exists():
            return None
        raw = _parse(path.read_bytes().removesuffix(b"\n"))
        if raw is None or not isinstance(raw.get("state"), dict) or not isinstance(raw.get("n"), int):
            raise LogError(f"{path}: is damaged; restore it from a copy, or start with an empty folder")
        self._number = raw["n"]
        return raw["state"]

    def _read_log(self, snapshot: bool) -> list[Entry]:
        path = self._folder / LOG
        if not path.exists():
            if snapshot:
                raise LogError(f"{path}: is missing beside a snapshot")
            self._replace(LOG, FIRST)
        data = path.read_bytes()
        if not data.startswith(FIRST):
            raise LogError(f"{path}: does not begin as a log does")
        lines = data[len(FIRST) :].split(b"\n")
        last = lines.pop()  # behind the last line end: empty, or torn
        entries, self._size = [], len(FIRST)
        for at, line in enumerate(lines, 2):
            raw = _parse(line)
            if raw is None and at == len(lines) + 1 and not last and not _runs_on(line):
                break  # torn, though its end has come: nobody was told of it
            if raw is None or not isinstance(raw.get("entry"), dict):
                raise LogError(f"{path}: line {at} is damaged; restore the folder from a copy")
            self._size += len(line) + 1
            if raw.get("n") <= self._number:
                continue  # the snapshot holds it
            if raw.get("n") != self._number + 1:
                raise LogError(f"{path}: line {at} is number {raw.get('n')}, not {self._number + 1}")
            self._number += 1
            entries.append(raw["entry"])
        if _runs_on(last):
            raise LogError(f"{path}: line {len(lines) + 2} is damaged; restore the folder from a copy")
        self.cut = len(data) - self._size
        return entries


def _line(value: Entry) -> bytes:
    text = json.dumps(value, separators=(",", ":")).encode()
    return b"%08x %d %b\n" % (zlib.crc32(text), len(text), text)


def _parse(line: bytes) -> Entry | None:
    """What a line holds; None if it is not as it was written."""
    checksum, text, length = _split(line)
    if length != len(text) or checksum != b"%08x" % zlib.crc32(text):
        return None
    value = json.loads(text)
    return value if isinstance(value, dict) and isinstance(value.get("n"), int) else None


def _split(line: bytes) -> tuple[bytes, bytes, int]:
    """Checksum, text and the length that the text should have; -1 where that is no number."""
    checksum, _, rest = line.partition(b" ")
    length, _, text = rest.partition(b" ")
    return checksum, text, int(length) if length.isdigit() and len(length) < 12 else -1


def _runs_on(line: bytes) -> bool:
    """Whether a whole entry stands at its beginning: its line end was damaged, it was not torn."""
    checksum, text, length = _split(line)
    return 0 <= length < len(text) and checksum == b"%08x" % zlib.crc32(text[:length])
