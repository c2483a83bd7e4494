"""Beginning again from what is left: a backup, or the folder of a member whose majority is lost for good.

It begins under a new cluster name, so that members of the old one that come back after all are refused
instead of mixed in. What the old majority acknowledged after the backup, or never told this member, is lost,
and said so nowhere: the operator decides. Revisions and tokens go on far above all that the old cluster can
have given out.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import GROUP, decode_entry, encode_entry
from yewstage.holding.identity import Folder, meta_of
from yewstage.raft.core import Write, first_state
from yewstage.raft.disk import Disk, DiskError
from yewstage.raft.messages import DATA, Member
from yewstage.registry.store import Entry, Rules, Store

FORMAT = 1
TOKENS_AHEAD = 1_000_000  # more than were granted between a backup and the loss


class Backup(msgspec.Struct, forbid_unknown_fields=True):
    """What a group held at an index."""

    format: int
    cluster: str
    index: int
    state: Entry


def read_backup(path: Path) -> Backup:
    """A backup's file, or a member's folder with all that is in its log. DiskError where it is neither."""
    if path.is_dir():
        return _from_folder(path)
    try:
        backup = msgspec.json.decode(path.read_bytes(), type=Backup)
    except (OSError, msgspec.MsgspecError) as error:
        raise DiskError(f"{path}: {error}") from None
    if backup.format != FORMAT:
        raise DiskError(f"{path}: is of format {backup.format}, this program reads {FORMAT}")
    return backup


def _from_folder(path: Path) -> Backup:
    disk = Disk(path / GROUP)
    saved = disk.load()
    disk.close()
    if not saved.snapshot.index:
        raise DiskError(f"{path}: holds nothing")
    store = Store.restored(Rules(), decode_entry(saved.snapshot.data), 0.0)
    for entry in saved.entries:
        if entry.kind == DATA:
            store.apply(decode_entry(entry.data), 0.0)
    last = saved.entries[-1].index if saved.entries else saved.snapshot.index
    return Backup(FORMAT, meta_of(path).cluster, last, store.snapshot())


def begin_again(config: HoldingConfig, backup: Backup, wall_ms: float) -> str:
    """Begin a new cluster with one member, on an empty folder; the id of its disk. Spares join it by
    themselves."""
    if config.cluster == backup.cluster:
        raise DiskError(
            f"cluster: must be another name than {backup.cluster}: members of that which come back would "
            "be mixed in"
        )
    folder = Folder(config.service.folder, config.cluster, config.name)
    try:
        if (folder.path / GROUP).exists():
            raise DiskError(f"{folder.path}: holds something already; give an empty folder")
        state = dict(backup.state)
        state["revision"] = max(int(state["revision"]) + 1, int(wall_ms))
        state["token"] = int(state["token"]) + TOKENS_AHEAD
        (peer, call) = (f"{host}:{port}" for host, port in (config.peer, config.service.listen))
        me = Member(folder.id, config.name, config.zone, peer, call)
        saved = first_state((me,), encode_entry(state))
        disk = Disk(folder.path / GROUP)
        disk.load()
        disk.write([Write(1, (saved.term, ""), (), saved.snapshot, True)])
        disk.close()
        return folder.id
    finally:
        folder.close()
