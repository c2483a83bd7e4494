"""Which disk this is. A machine that comes back with an empty or an older disk is somebody else.

The folder's file `disk` is written once and never touched again; `meta` holds its id and what the file
system says of that file. Whoever copies the folder, or brings it back from an earlier time, makes another
file: the change time cannot be set by hand. What was promised since is not in such a folder, so it is set
aside.
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
ASIDE = "set-aside"


class Meta(msgspec.Struct):
    """What the folder says of itself."""

    format: int
    cluster: str
    name: str
    id: str
    mark: tuple[int, int]  # inode and change time of the file `disk`


def meta_of(folder: Path) -> Meta:
    """What a folder says of itself; DiskError where that cannot be used."""
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
        raise DiskError(f"{path}: makes no sense: {error}; give the process an empty folder") from None


class Folder:
    """The folder of one process, held by a lock until it ends."""

    def __init__(self, path: Path, cluster: str, name: str) -> None:
        self.path, self._cluster, self._name = path, cluster, name
        self.older = ""  # the id under which it was known before it was brought back
        try:
            path.mkdir(parents=True, exist_ok=True)
            self._lock = open(path / "lock", "ab")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.id = self._identify()
        except BlockingIOError:
            raise DiskError(f"{path}: another process holds it") from None
        except OSError as error:
            raise DiskError(f"{path}: {error}") from None

    def _identify(self) -> str:
        path = self.path / "meta"
        if not path.exists():
            return self._new()
        meta = meta_of(self.path)
        if (meta.cluster, meta.name) != (self._cluster, self._name):
            raise DiskError(
                f"{path}: is of {meta.name} in cluster {meta.cluster}, not of {self._name} in "
                f"{self._cluster}: mend `folder`, `name` or `cluster` in the configuration"
            )
        if meta.mark == self._mark():
            return meta.id
        self.older = meta.id
        self._set_aside()
        return self._new()

    def _mark(self) -> tuple[int, int]:
        try:
            stat = os.stat(self.path / "disk")
        except FileNotFoundError:
            return 0, 0
        return stat.st_ino, stat.st_ctime_ns

    def _set_aside(self) -> None:
        """Keep what a folder of an earlier time holds, for people to look at; one such is kept."""
        shutil.rmtree(self.path / ASIDE, ignore_errors=True)
        (self.path / ASIDE).mkdir()
        for part in list(self.path.iterdir()):
            if part.name not in (ASIDE, "lock"):
                part.rename(self.path / ASIDE / part.name)

    def _new(self) -> str:
        name = f"{self._name}.{secrets.token_hex(6)}"
        _write(self.path / "disk", name.encode())
        meta = Meta(FORMAT, self._cluster, self._name, name, self._mark())
        _write(self.path / "meta.new", msgspec.json.encode(meta))
        (self.path / "meta.new").rename(self.path / "meta")
        sync_folder(self.path)
        return name

    def close(self) -> None:
        """Give it up."""
        self._lock.close()


def _write(path: Path, data: bytes) -> None:
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
