"""Disk identity: a machine that returns with an empty or an older disk is a new member.

The file `disk` in the folder is written once and never changed; `meta` holds its id, inode and change time.
A copied folder, or one restored from an earlier time, has another inode or change time, since the change time
cannot be set by hand. Such a folder lacks what was acknowledged since it was copied, so its content is
set aside and the process starts without state under a new id.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import shutil
from pathlib import Path

import msgspec

from yewstage.raft.disk import DiskError, sync_folder

FORMAT = 1
SET_ASIDE_FOLDER = "set-aside"


class Meta(msgspec.Struct):
    """The content of the file `meta`."""

    format: int
    cluster: str
    name: str
    id: str
    mark: tuple[int, int]  # inode and change time of the file `disk`


def read_meta(folder: Path) -> Meta:
    """Read a folder's `meta`; DiskError if it cannot be read or is of another format."""
    path = folder / "meta"
    try:
        raw = msgspec.json.decode(path.read_bytes(), type=dict[str, object])
        if raw.get("format") != FORMAT:
            raise DiskError(
                f"{path}: is of format {raw.get('format')}, this program reads {FORMAT}: start the "
                "program that wrote it, or a later one"
            )
        return msgspec.convert(raw, Meta)
    except (OSError, msgspec.MsgspecError) as error:
        raise DiskError(f"{path}: cannot be read: {error}; give the process an empty folder") from None


class Folder:
    """The folder of one process, locked until close(). DiskError if it cannot be used."""

    def __init__(self, path: Path, cluster: str, name: str) -> None:
        self.path, self._cluster, self._name = path, cluster, name
        self.previous_id = ""  # id of the set-aside content; empty unless the folder was copied or restored
        try:
            path.mkdir(parents=True, exist_ok=True)
            self._lock = open(path / "lock", "ab")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.id = self._identify()
        except BlockingIOError:
            raise DiskError(f"{path}: is locked by another process") from None
        except OSError as error:
            raise DiskError(f"{path}: {error}") from None

    def _identify(self) -> str:
        path = self.path / "meta"
        if not path.exists():
            return self._create()
        meta = read_meta(self.path)
        if (meta.cluster, meta.name) != (self._cluster, self._name):
            raise DiskError(
                f"{path}: is of {meta.name} in cluster {meta.cluster}, not of {self._name} in "
                f"{self._cluster}: correct `folder`, `name` or `cluster` in the configuration"
            )
        if meta.mark == self._mark():
            return meta.id
        self.previous_id = meta.id
        self._set_aside()
        return self._create()

    def _mark(self) -> tuple[int, int]:
        try:
            stat = os.stat(self.path / "disk")
        except FileNotFoundError:
            return 0, 0
        return stat.st_ino, stat.st_ctime_ns

    def _set_aside(self) -> None:
        """Move the folder's content to a subfolder for inspection; only the latest is kept."""
        shutil.rmtree(self.path / SET_ASIDE_FOLDER, ignore_errors=True)
        (self.path / SET_ASIDE_FOLDER).mkdir()
        for part in list(self.path.iterdir()):
            if part.name not in (SET_ASIDE_FOLDER, "lock"):
                part.rename(self.path / SET_ASIDE_FOLDER / part.name)

    def _create(self) -> str:
        name = f"{self._name}.{secrets.token_hex(6)}"
        _write(self.path / "disk", name.encode())
        meta = Meta(FORMAT, self._cluster, self._name, name, self._mark())
        _write(self.path / "meta.new", msgspec.json.encode(meta))
        (self.path / "meta.new").rename(self.path / "meta")
        sync_folder(self.path)
        return name

    def close(self) -> None:
        """Release the lock."""
        self._lock.close()


def _write(path: Path, data: bytes) -> None:
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
