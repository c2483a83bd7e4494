"""The durable part of replicas: segments of records, each with its checksum, and a snapshot that they go on
from.

A segment begins with the term and vote in force, so that older segments may go whole. A record is 12 bytes
of head (length, checksum of its body, checksum of those eight bytes) and a body in MessagePack. A crash can
leave a last record that is not whole, which nobody was told of: it is cut off. Anything else that does not
fit is damage, and a replica that forgets may vote twice: the start ends there.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from yewstage.raft.core import DurableState, Write
from yewstage.raft.messages import Entry, Snapshot

FORMAT = 1
HEAD = struct.Struct("<III")
MAGIC = b"plumwall raft %d\n" % FORMAT
SEGMENT_BYTES = 4 * 1024 * 1024
LONGEST = 256 * 1024 * 1024  # of a record's body: past that its head is not believed


class DiskError(Exception):
    """The folder cannot be used; the text says why and what to do, in one line."""


class FullError(Exception):
    """What was to be written is not durable, and is not there; it may be tried again."""


class Record(msgspec.Struct, array_like=True):
    """What one write left: term and vote, entries, and the snapshot's index that entries start again from."""

    hard: tuple[int, str] | None = None
    entries: tuple[Entry, ...] = ()
    reset: int = 0  # all entries up to here and behind it went: a leader's snapshot took their place


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(Record)
_snapshot = msgspec.msgpack.Decoder(Snapshot)


class Disk:
    """The files of one replica. Used by one thread at a time; `write` is for a thread that may wait."""

    def __init__(
        self, folder: Path, sync: Callable[[int], None] = os.fsync, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self._folder, self._sync, self._segment_bytes = folder, sync, segment_bytes
        self._segments: list[tuple[int, int]] = []  # number, index of the last entry in it
        self._fd = -1
        self._size = 0
        self._hard = (0, "")
        self._last = self._kept = 0  # index of the last entry, and of the snapshot
        self.cut = 0  # bytes of a torn last record, at the load
        self.broken = ""  # why nothing more can be written; empty: it can
        self.syncs = 0

    # --- Loading ------------------------------------------------------------------------------------------

    def load(self) -> DurableState:
        """What the folder holds; ready to write from here on. DiskError where it is damaged."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            for part in self._folder.glob("*.new"):
                part.unlink()
            return self._load()
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from None

    def _load(self) -> DurableState:
        saved, entries = DurableState(), {}
        path = self._folder / "snapshot"
        if path.exists():
            bodies, whole = self._bodies(path, path.read_bytes())
            if len(bodies) != 1 or not whole:
                raise _damaged(path)
            saved.snapshot = _decoded(path, _snapshot, bodies[0])
            if zlib.crc32(saved.snapshot.data) != saved.snapshot.check:
                raise _damaged(path)
        numbers = self._numbers()
        for at, number in enumerate(numbers):
            if number != numbers[0] + at:
                raise DiskError(f"{self._path(numbers[0] + at)}: is missing; {REMEDY}")
            self._read_segment(number, number == numbers[-1], saved, entries)
        snapshot = saved.snapshot
        saved.entries = [entries[index] for index in sorted(entries) if index > snapshot.index]
        for at, entry in enumerate(saved.entries, snapshot.index + 1):
            if entry.index != at:
                raise DiskError(f"{self._folder}: entry {at} is missing; {REMEDY}")
        if not numbers:
            if snapshot.index:
                raise DiskError(f"{self._folder}: a snapshot without a log; {REMEDY}")
            self._roll(1)
        else:
            self._fd = os.open(self._path(numbers[-1]), os.O_RDWR)
            os.ftruncate(self._fd, self._size)
            os.lseek(self._fd, self._size, os.SEEK_SET)
        self._hard = saved.term, saved.vote
        self._last = saved.entries[-1].index if saved.entries else snapshot.index
        self._kept = snapshot.index
        return saved

    def _numbers(self) -> list[int]:
        return sorted(int(path.name[4:]) for path in self._folder.glob("log-*") if path.name[4:].isdigit())

    def _path(self, number: int) -> Path:
        return self._folder / f"log-{number:08}"

    def _read_segment(
        self, number: int, newest: bool, saved: DurableState, entries: dict[int, Entry]
    ) -> None:
        path = self._path(number)
        data = path.read_bytes()
        bodies, whole = self._bodies(path, data)
        if not whole and not newest:
            raise _damaged(path)
        top = last = max(entries, default=0)
        for body in bodies:
            record = _decoded(path, _record, body)
            if record.hard is not None:
                saved.term, saved.vote = record.hard
            if record.reset:
                entries.clear()
                top = record.reset
            for entry in record.entries:
                for index in range(entry.index + 1, top + 1):
                    entries.pop(index, None)
                entries[entry.index] = entry
                top = entry.index
            last = max(last, top)
        self._segments.append((number, last))
        self._size = len(MAGIC) + sum(HEAD.size + len(body) for body in bodies)
        self.cut = len(data) - self._size

    def _bodies(self, path: Path, data: bytes) -> tuple[list[bytes], bool]:
        """The bodies of a file's records, and whether they are all of it: else the last one is torn."""
        if not data.startswith(MAGIC):
            if data.startswith(MAGIC[:14]):
                version = data[14 : data.find(b"\n", 0, 24)].decode("ascii", "replace")
                raise DiskError(
                    f"{path}: is of format {version}, this program reads {FORMAT}: start the program "
                    "that wrote it, or a later one"
                )
            raise _damaged(path)
        bodies, at = [], len(MAGIC)
        while at < len(data):
            rest = len(data) - at
            if rest < HEAD.size:
                return bodies, False
            length, check, of_head = HEAD.unpack_from(data, at)
            if zlib.crc32(data[at : at + 8]) != of_head or length > LONGEST:
                if any(data[at:]):
                    raise _damaged(path)  # a torn head is short, or nothing but zeros
                return bodies, False
            body = data[at + HEAD.size : at + HEAD.size + length]
            if len(body) < length:
                return bodies, False
            if zlib.crc32(body) != check:
                if at + HEAD.size + length < len(data):
                    raise _damaged(path)
                return bodies, False
            bodies.append(body)
            at += HEAD.size + length
        return bodies, True

    # --- Writing ------------------------------------------------------------------------------------------

    def write(self, writes: Sequence[Write]) -> None:
        """Make all of these durable, with one sync for all records; FullError where that failed: nothing of
        what was not durable before counts then, and all may be tried again."""
        if self.broken:
            raise FullError(self.broken)
        before = self._hard, self._last
        parts = []
        for write in writes:
            if write.snapshot is not None and (parts or write.reset):
                self._append(parts)  # what stands before a snapshot is on the disk before it
                parts, before = [], (self._hard, self._last)
            self._hard = write.hard or self._hard
            if write.snapshot is not None and not write.reset:
                self._keep_snapshot(write.snapshot)
            elif write.snapshot is not None:
                # The snapshot first: a crash in between leaves entries below it, which go unread.
                self._keep_snapshot(write.snapshot)
                parts.append(Record(write.hard, write.entries, write.snapshot.index))
            elif write.hard is not None or write.entries:
                parts.append(Record(write.hard, write.entries))
            if write.entries:
                self._last = write.entries[-1].index
            elif write.reset:
                self._last = write.snapshot.index
        try:
            self._append(parts)
        except FullError:
            self._hard, self._last = before
            raise
        self._drop()

    def _append(self, records: list[Record]) -> None:
        if not records:
            return
        data = b"".join(framed(_encode(record)) for record in records)
        try:
            if self._size >= self._segment_bytes:
                self._roll(self._segments[-1][0] + 1)
            _write_all(self._fd, data)
        except OSError as error:
            self._undo(error)
        self._flush(self._fd)
        self._size += len(data)
        number, last = self._segments[-1]
        self._segments[-1] = number, max(last, self._last)

    def _undo(self, error: OSError) -> None:
        """Take a part of a record off again, so that what comes next does not stand behind it."""
        try:
            os.ftruncate(self._fd, self._size)
            os.lseek(self._fd, self._size, os.SEEK_SET)
        except OSError:
            self.broken = f"write: {error}"
        raise FullError(f"write: {error}") from None

    def _flush(self, fd: int) -> None:
        try:
            self.syncs += 1
            self._sync(fd)
        except OSError as error:
            # Danger: after a sync that failed nobody knows what is on the disk; a second one may lie.
            self.broken = f"sync: {error}"
            raise FullError(self.broken) from None

    def _roll(self, number: int) -> None:
        """A new segment; it begins with the term and vote, whole or not at all."""
        data = MAGIC + framed(_encode(Record(self._hard)))
        self._replace(f"log-{number:08}", data)
        fresh = os.open(self._path(number), os.O_RDWR)
        os.lseek(fresh, 0, os.SEEK_END)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._size = fresh, len(data)
        self._segments.append((number, 0))

    def _keep_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._replace("snapshot", MAGIC + framed(_encode(snapshot)))
        except OSError as error:
            raise FullError(f"snapshot: {error}") from None
        self._kept = snapshot.index

    def _drop(self) -> None:
        """Segments whose entries the snapshot holds go; not the one that is written."""
        while len(self._segments) > 1 and self._segments[0][1] <= self._kept:
            try:
                self._path(self._segments[0][0]).unlink(missing_ok=True)
            except OSError:
                return  # the next time
            self._segments.pop(0)

    def _replace(self, name: str, data: bytes) -> None:
        path = self._folder / f"{name}.new"
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data)
            self._flush(fd)
        except OSError:
            path.unlink(missing_ok=True)  # a full disk wants its room back
            raise
        finally:
            os.close(fd)
        path.rename(self._folder / name)
        sync_folder(self._folder, self._flush)

    def bytes(self) -> int:
        """What the files take."""
        return sum(path.stat().st_size for path in self._folder.iterdir() if path.is_file())

    def close(self) -> None:
        """Write no more."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


REMEDY = "give the process an empty folder: it comes back as a new member and is told all by the others"


def sync_folder(folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
    """Make the names in a folder durable."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        sync(fd)
    finally:
        os.close(fd)


def _damaged(path: Path) -> DiskError:
    return DiskError(f"{path}: is damaged; {REMEDY}")


def _decoded(path: Path, decoder: msgspec.msgpack.Decoder, body: bytes) -> object:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError:
        raise _damaged(path) from None


def framed(body: bytes) -> bytes:
    """A record as it stands in a file."""
    head = struct.pack("<II", len(body), zlib.crc32(body))
    return head + struct.pack("<I", zlib.crc32(head)) + body


def _write_all(fd: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(fd, left) :]
