"""The durable state of a replica: log segments of checksummed records, and a snapshot that the log continues
from.

Each segment begins with the term and vote, so that older segments can be deleted whole. A record is a header
of 12 bytes (length, checksum of the body, checksum of these eight bytes) and a body in MessagePack. A crash
can leave a torn last record; it was never acknowledged and is cut off. Any other mismatch is damage and stops
the start, because a replica that has lost state may vote twice in a term.
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

FORMAT_VERSION = 1
RECORD_HEADER = struct.Struct("<III")
FILE_HEADER = b"plumwall raft %d\n" % FORMAT_VERSION
SEGMENT_BYTES = 4 * 1024 * 1024
MAX_RECORD_BYTES = 256 * 1024 * 1024  # a header with a larger length is treated as invalid


class DiskError(Exception):
    """The folder cannot be used. The text says why and what to do, in one line."""


class WriteFailedError(Exception):
    """The write is not durable and has no effect. It may be retried unless `Disk.broken` is set."""


class Record(msgspec.Struct, array_like=True):
    """One record of the log: term and vote, entries, and the index of a snapshot that replaced the log."""

    hard_state: tuple[int, str] | None = None
    entries: tuple[Entry, ...] = ()
    reset: int = 0  # all earlier entries were dropped: a leader's snapshot up to this index replaced them


_encode = msgspec.msgpack.Encoder().encode
_record_decoder = msgspec.msgpack.Decoder(Record)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class Disk:
    """The files of one replica. Used by one thread at a time; `write` blocks on the disk."""

    def __init__(
        self, folder: Path, sync: Callable[[int], None] = os.fsync, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self._folder, self._sync, self._segment_bytes = folder, sync, segment_bytes
        self._segments: list[tuple[int, int]] = []  # segment number and the index of the last entry in it
        self._fd = -1
        self._size = 0
        self._hard_state = (0, "")
        self._last_index = self._snapshot_index = 0  # index of the last entry, and of the snapshot
        self.torn_bytes = 0  # bytes of a torn last record that `load` removed
        self.broken = ""  # why writes are no longer possible; empty: they are
        self.syncs = 0

    # --- Loading ------------------------------------------------------------------------------------------

    def load(self) -> DurableState:
        """Read the folder and prepare it for writing. Raises DiskError if it is damaged or cannot be used."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            for file in self._folder.glob("*.new"):
                file.unlink()
            return self._load()
        except OSError as error:
            raise DiskError(f"{self._folder}: {error}") from None

    def _load(self) -> DurableState:
        saved, entries = DurableState(), {}
        path = self._folder / "snapshot"
        if path.exists():
            bodies, is_complete = self._record_bodies(path, path.read_bytes())
            if len(bodies) != 1 or not is_complete:
                raise _damaged_error(path)
            saved.snapshot = _decode(path, _snapshot_decoder, bodies[0])
            if zlib.crc32(saved.snapshot.data) != saved.snapshot.checksum:
                raise _damaged_error(path)
        numbers = self._segment_numbers()
        for offset, number in enumerate(numbers):
            if number != numbers[0] + offset:
                raise DiskError(f"{self._segment_path(numbers[0] + offset)}: is missing; {RECOVERY_ADVICE}")
            self._read_segment(number, number == numbers[-1], saved, entries)
        snapshot = saved.snapshot
        saved.entries = [entries[index] for index in sorted(entries) if index > snapshot.index]
        for index, entry in enumerate(saved.entries, snapshot.index + 1):
            if entry.index != index:
                raise DiskError(f"{self._folder}: entry {index} is missing; {RECOVERY_ADVICE}")
        if not numbers:
            if snapshot.index:
                raise DiskError(f"{self._folder}: has a snapshot but no log; {RECOVERY_ADVICE}")
            self._start_segment(1)
        else:
            self._fd = os.open(self._segment_path(numbers[-1]), os.O_RDWR)
            os.ftruncate(self._fd, self._size)
            os.lseek(self._fd, self._size, os.SEEK_SET)
        self._hard_state = saved.term, saved.vote
        self._last_index = saved.entries[-1].index if saved.entries else snapshot.index
        self._snapshot_index = snapshot.index
        return saved

    def _segment_numbers(self) -> list[int]:
        return sorted(int(path.name[4:]) for path in self._folder.glob("log-*") if path.name[4:].isdigit())

    def _segment_path(self, number: int) -> Path:
        return self._folder / f"log-{number:08}"

    def _read_segment(
        self, number: int, is_newest: bool, saved: DurableState, entries: dict[int, Entry]
    ) -> None:
        path = self._segment_path(number)
        data = path.read_bytes()
        bodies, is_complete = self._record_bodies(path, data)
        if not is_complete and not is_newest:
            raise _damaged_error(path)
        end_index = highest_index = max(entries, default=0)
        for body in bodies:
            record = _decode(path, _record_decoder, body)
            if record.hard_state is not None:
                saved.term, saved.vote = record.hard_state
            if record.reset:
                entries.clear()
                end_index = record.reset
            for entry in record.entries:
                for index in range(entry.index + 1, end_index + 1):
                    entries.pop(index, None)
                entries[entry.index] = entry
                end_index = entry.index
            highest_index = max(highest_index, end_index)
        self._segments.append((number, highest_index))
        self._size = len(FILE_HEADER) + sum(RECORD_HEADER.size + len(body) for body in bodies)
        self.torn_bytes = len(data) - self._size

    def _record_bodies(self, path: Path, data: bytes) -> tuple[list[bytes], bool]:
        """The bodies of a file's records, and whether the file is complete; if it is not, its last record is
        torn."""
        if not data.startswith(FILE_HEADER):
            if data.startswith(FILE_HEADER[:14]):
                version = data[14 : data.find(b"\n", 0, 24)].decode("ascii", "replace")
                raise DiskError(
                    f"{path}: is of format {version}, this program reads {FORMAT_VERSION}: start the program "
                    "that wrote it, or a later one"
                )
            raise _damaged_error(path)
        bodies, offset = [], len(FILE_HEADER)
        while offset < len(data):
            remaining = len(data) - offset
            if remaining < RECORD_HEADER.size:
                return bodies, False
            length, body_checksum, header_checksum = RECORD_HEADER.unpack_from(data, offset)
            if zlib.crc32(data[offset : offset + 8]) != header_checksum or length > MAX_RECORD_BYTES:
                if any(data[offset:]):
                    raise _damaged_error(path)  # a torn header is incomplete or all zeros
                return bodies, False
            body = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
            if len(body) < length:
                return bodies, False
            if zlib.crc32(body) != body_checksum:
                if offset + RECORD_HEADER.size + length < len(data):
                    raise _damaged_error(path)
                return bodies, False
            bodies.append(body)
            offset += RECORD_HEADER.size + length
        return bodies, True

    # --- Writing ------------------------------------------------------------------------------------------

    def write(self, writes: Sequence[Write]) -> None:
        """Make all writes durable, with one sync for all records. Raises WriteFailedError if that fails: none
        of the writes that are not durable yet takes effect, and all may be retried."""
        if self.broken:
            raise WriteFailedError(self.broken)
        previous = self._hard_state, self._last_index
        records = []
        for write in writes:
            if write.snapshot is not None and (records or write.reset):
                self._append(records)  # everything before a snapshot is on disk before it
                records, previous = [], (self._hard_state, self._last_index)
            self._hard_state = write.hard_state or self._hard_state
            if write.snapshot is not None and not write.reset:
                self._write_snapshot(write.snapshot)
            elif write.snapshot is not None:
                # The snapshot goes first: a crash in between leaves entries below it, which are ignored when
                # loading.
                self._write_snapshot(write.snapshot)
                records.append(Record(write.hard_state, write.entries, write.snapshot.index))
            elif write.hard_state is not None or write.entries:
                records.append(Record(write.hard_state, write.entries))
            if write.entries:
                self._last_index = write.entries[-1].index
            elif write.reset:
                self._last_index = write.snapshot.index
        try:
            self._append(records)
        except WriteFailedError:
            self._hard_state, self._last_index = previous
            raise
        self._delete_old_segments()

    def _append(self, records: list[Record]) -> None:
        if not records:
            return
        data = b"".join(encode_record(_encode(record)) for record in records)
        try:
            if self._size >= self._segment_bytes:
                self._start_segment(self._segments[-1][0] + 1)
            _write_all(self._fd, data)
        except OSError as error:
            self._truncate_partial_write(error)
        self._sync_or_fail(self._fd)
        self._size += len(data)
        number, last = self._segments[-1]
        self._segments[-1] = number, max(last, self._last_index)

    def _truncate_partial_write(self, error: OSError) -> None:
        """Remove a partial record, so that the next record does not follow it."""
        try:
            os.ftruncate(self._fd, self._size)
            os.lseek(self._fd, self._size, os.SEEK_SET)
        except OSError:
            self.broken = f"write: {error}"
        raise WriteFailedError(f"write: {error}") from None

    def _sync_or_fail(self, fd: int) -> None:
        try:
            self.syncs += 1
            self._sync(fd)
        except OSError as error:
            # After a failed sync the content of the disk is unknown, and a second sync may report success
            # without having written anything.
            self.broken = f"sync: {error}"
            raise WriteFailedError(self.broken) from None

    def _start_segment(self, number: int) -> None:
        """Start a new segment, created atomically with the term and vote in its first record."""
        data = FILE_HEADER + encode_record(_encode(Record(self._hard_state)))
        self._replace_file(f"log-{number:08}", data)
        fresh = os.open(self._segment_path(number), os.O_RDWR)
        os.lseek(fresh, 0, os.SEEK_END)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._size = fresh, len(data)
        self._segments.append((number, 0))

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self._replace_file("snapshot", FILE_HEADER + encode_record(_encode(snapshot)))
        except OSError as error:
            raise WriteFailedError(f"snapshot: {error}") from None
        self._snapshot_index = snapshot.index

    def _delete_old_segments(self) -> None:
        """Delete the segments whose entries are all in the snapshot, except the current one."""
        while len(self._segments) > 1 and self._segments[0][1] <= self._snapshot_index:
            try:
                self._segment_path(self._segments[0][0]).unlink(missing_ok=True)
            except OSError:
                return  # retried after the next write
            self._segments.pop(0)

    def _replace_file(self, name: str, data: bytes) -> None:
        path = self._folder / f"{name}.new"
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data)
            self._sync_or_fail(fd)
        except OSError:
            path.unlink(missing_ok=True)  # frees the space on a full disk
            raise
        finally:
            os.close(fd)
        path.rename(self._folder / name)
        sync_folder(self._folder, self._sync_or_fail)

    def bytes(self) -> int:
        """Total size of the files in bytes."""
        return sum(path.stat().st_size for path in self._folder.iterdir() if path.is_file())

    def close(self) -> None:
        """Close the current segment. Nothing can be written afterwards."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


RECOVERY_ADVICE = (
    "give the process an empty folder: it returns as a new member and receives all entries from the others"
)


def sync_folder(folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
    """Make the entries of a directory (created and renamed files) durable."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        sync(fd)
    finally:
        os.close(fd)


def _damaged_error(path: Path) -> DiskError:
    return DiskError(f"{path}: is damaged; {RECOVERY_ADVICE}")


def _decode(path: Path, decoder: msgspec.msgpack.Decoder, body: bytes) -> object:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError:
        raise _damaged_error(path) from None


def encode_record(body: bytes) -> bytes:
    """A record as stored in a file: header and body."""
    head = struct.pack("<II", len(body), zlib.crc32(body))
    return head + struct.pack("<I", zlib.crc32(head)) + body


def _write_all(fd: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(fd, left) :]
