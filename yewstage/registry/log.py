"""Durable storage: an append-only log of the store's entries, and a snapshot that the log continues from.

An entry is one line: a checksum, a length and JSON with a number that is one higher than in the line
before. An entry is acknowledged once it is synced. A crash can leave a torn last line; it was never
acknowledged and is cut off. Any other mismatch is damage and stops the start, because serving a wrong list
is worse than serving none.
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

LOG_FILE, SNAPSHOT_FILE, LOCK_FILE = "log", "snapshot", "lock"
FILE_HEADER = b"plumwall registry 1\n"  # first line of a log


class LogError(Exception):
    """The folder cannot be used; the text says why, in one line."""


class WriteFailedError(Exception):
    """An entry could not be made durable and was not added."""


class Log:
    """The files of one store, locked by one process at a time."""

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder, self._sync = folder, sync
        self.torn_bytes = 0  # bytes of a torn last entry that the last `load` removed
        self.entries = 0  # in the log after the snapshot
        self.broken = ""  # why writes are no longer possible; empty: they are
        self._last_number = 0  # of the last entry
        self._intact_bytes = 0  # size of the part of the log that holds complete entries
        self._file: BinaryIO | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(folder / LOCK_FILE, "ab")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise LogError(f"{folder}: another process holds it") from None
        except OSError as error:
            raise LogError(f"{folder}: {error}") from None

    def load(self) -> tuple[Entry | None, list[Entry]]:
        """Read the snapshot (None if there is none) and the entries after it, and prepare for appending.
        Raises LogError."""
        try:
            state = self._read_snapshot()
            entries = self._read_log(state is not None)
            self._file = open(self._folder / LOG_FILE, "r+b", buffering=0)
            self._file.truncate(self._intact_bytes)
            self._file.seek(self._intact_bytes)
        except OSError as error:
            raise LogError(f"{self._folder}: {error}") from None
        self.entries = len(entries)
        return state, entries

    def append(self, entry: Entry) -> None:
        """Make an entry durable. Raises WriteFailedError if that fails; the entry is then not in the log."""
        if self.broken:
            raise WriteFailedError(self.broken)
        line = _encode_line({"n": self._last_number + 1, "entry": entry})
        try:
            self._write(line)
        except OSError as error:
            self._truncate_partial_write(error)
        try:
            self._sync(self._file.fileno())
        except OSError as error:
            # After a failed sync the content of the disk is unknown, and a second sync may report success
            # without having written anything.
            self.broken = f"sync: {error}"
            raise WriteFailedError(self.broken) from None
        self._last_number += 1
        self._intact_bytes += len(line)
        self.entries += 1

    def compact(self, state: Entry) -> None:
        """Replace all entries so far by a snapshot. Raises WriteFailedError if that fails; the log is then
        unchanged."""
        if self.broken:
            raise WriteFailedError(self.broken)
        try:
            self._replace_file(SNAPSHOT_FILE, _encode_line({"n": self._last_number, "state": state}))
            # A crash between the two steps leaves entries that the snapshot contains; they are skipped by
            # their numbers.
            self._replace_file(LOG_FILE, FILE_HEADER)
            fresh = open(self._folder / LOG_FILE, "r+b", buffering=0)
        except OSError as error:
            raise WriteFailedError(f"snapshot: {error}") from None
        self._file.close()
        self._file = fresh
        self._file.seek(len(FILE_HEADER))
        self._intact_bytes, self.entries = len(FILE_HEADER), 0

    def close(self) -> None:
        """Close the files and release the lock."""
        if self._file is not None:
            self._file.close()
        self._lock.close()

    def _write(self, line: bytes) -> None:
        left = memoryview(line)
        while left:
            left = left[self._file.write(left) :]

    def _truncate_partial_write(self, error: OSError) -> None:
        """Remove a partial line, so that the next one does not follow it."""
        try:
            self._file.truncate(self._intact_bytes)
            self._file.seek(self._intact_bytes)
        except OSError:
            self.broken = f"write: {error}"
        raise WriteFailedError(f"write: {error}") from None

    def _replace_file(self, name: str, data: bytes) -> None:
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
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return None
        record = _decode_line(path.read_bytes().removesuffix(b"\n"))
        if (
            record is None
            or not isinstance(record.get("state"), dict)
            or not isinstance(record.get("n"), int)
        ):
            raise LogError(f"{path}: is damaged; restore it from a copy, or start with an empty folder")
        self._last_number = record["n"]
        return record["state"]

    def _read_log(self, snapshot: bool) -> list[Entry]:
        path = self._folder / LOG_FILE
        if not path.exists():
            if snapshot:
                raise LogError(f"{path}: is missing although there is a snapshot")
            self._replace_file(LOG_FILE, FILE_HEADER)
        data = path.read_bytes()
        if not data.startswith(FILE_HEADER):
            raise LogError(f"{path}: is not a log of the list service")
        lines = data[len(FILE_HEADER) :].split(b"\n")
        last = lines.pop()  # after the last line end: empty, or a torn line
        entries, self._intact_bytes = [], len(FILE_HEADER)
        for number, line in enumerate(lines, 2):
            record = _decode_line(line)
            if record is None and number == len(lines) + 1 and not last and not _has_intact_prefix(line):
                break  # torn although its line end was written; it was never acknowledged
            if record is None or not isinstance(record.get("entry"), dict):
                raise LogError(f"{path}: line {number} is damaged; restore the folder from a copy")
            self._intact_bytes += len(line) + 1
            if record.get("n") <= self._last_number:
                continue  # the snapshot contains it
            if record.get("n") != self._last_number + 1:
                raise LogError(
                    f"{path}: line {number} has number {record.get('n')}, expected {self._last_number + 1}"
                )
            self._last_number += 1
            entries.append(record["entry"])
        if _has_intact_prefix(last):
            raise LogError(f"{path}: line {len(lines) + 2} is damaged; restore the folder from a copy")
        self.torn_bytes = len(data) - self._intact_bytes
        return entries


def _encode_line(value: Entry) -> bytes:
    text = json.dumps(value, separators=(",", ":")).encode()
    return b"%08x %d %b\n" % (zlib.crc32(text), len(text), text)


def _decode_line(line: bytes) -> Entry | None:
    """The content of a line; None if its checksum or length does not match."""
    checksum, text, length = _split_line(line)
    if length != len(text) or checksum != b"%08x" % zlib.crc32(text):
        return None
    value = json.loads(text)
    return value if isinstance(value, dict) and isinstance(value.get("n"), int) else None


def _split_line(line: bytes) -> tuple[bytes, bytes, int]:
    """Checksum, text and the stated length of the text; -1 if that is not a number."""
    checksum, _, rest = line.partition(b" ")
    length, _, text = rest.partition(b" ")
    return checksum, text, int(length) if length.isdigit() and len(length) < 12 else -1


def _has_intact_prefix(line: bytes) -> bool:
    """Whether the line begins with a complete entry: then its line end was damaged, and it is not torn."""
    checksum, text, length = _split_line(line)
    return 0 <= length < len(text) and checksum == b"%08x" % zlib.crc32(text[:length])
