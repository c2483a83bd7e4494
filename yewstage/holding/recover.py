"""Beginning again from what is left: backups, or the folders of members whose majorities are lost for good.

It begins under a new cluster name, so that members of the old one that come back after all are refused
instead of mixed in. What the old majorities acknowledged after the backup, or never told these members, is
lost, and said so nowhere: the operator decides. Revisions and tokens go on far above all that the old cluster
can have given out.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import ReplicatedStore, decode_entry, encode_entry
from yewstage.holding.group_names import KEYED, LIST_GROUP, NAME, PLACEMENT_GROUP, all_group_names, store_of
from yewstage.holding.identity import Folder, meta_of
from yewstage.holding.placement import GroupPlacement, PlacementStore, PlacementTable
from yewstage.raft.core import Write, first_state
from yewstage.raft.disk import Disk, DiskError
from yewstage.raft.messages import DATA, Member
from yewstage.registry.store import Entry, Rules

FORMAT = 2
TOKENS_AHEAD = 1_000_000  # more than were granted between a backup and the loss


class Backup(msgspec.Struct, forbid_unknown_fields=True):
    """What a group held at an index."""

    format: int
    cluster: str
    index: int
    state: Entry
    group: str = LIST_GROUP


def read_backups(paths: Iterable[Path]) -> dict[str, Backup]:
    """Of each group the newest that is found in backups' files and members' folders. DiskError where one of
    them is neither, or where they are of several clusters."""
    found: dict[str, Backup] = {}
    clusters = set()
    for path in paths:
        for backup in _from_folder(path) if path.is_dir() else _from_file(path):
            clusters.add(backup.cluster)
            known = found.get(backup.group)
            if known is None or known.index < backup.index:
                found[backup.group] = backup
    if len(clusters) > 1:
        raise DiskError(f"from: is of several clusters: {', '.join(sorted(clusters))}")
    return found


def _from_file(path: Path) -> list[Backup]:
    """One backup a line."""
    backups = []
    try:
        for line in path.read_bytes().splitlines():
            backup = msgspec.json.decode(line, type=Backup)
            if backup.format not in (1, FORMAT):
                raise DiskError(f"{path}: is of format {backup.format}, this program reads up to {FORMAT}")
            backups.append(backup)
    except (OSError, msgspec.MsgspecError) as error:
        raise DiskError(f"{path}: {error}") from None
    return backups


def _from_folder(path: Path) -> list[Backup]:
    """What a member's folder holds of each group, with all that is in its logs."""
    found = []
    for folder in sorted(path.iterdir()):
        if not NAME.fullmatch(folder.name):
            continue
        disk = Disk(folder)
        saved = disk.load()
        disk.close()
        if not saved.snapshot.index:
            continue
        store: ReplicatedStore = store_of(folder.name).restored(
            Rules(), decode_entry(saved.snapshot.data), 0.0
        )
        for entry in saved.entries:
            if entry.kind == DATA:
                store.apply(decode_entry(entry.data), 0.0)
        last = saved.entries[-1].index if saved.entries else saved.snapshot.index
        found.append(Backup(FORMAT, meta_of(path).cluster, last, store.snapshot(), folder.name))
    if not found:
        raise DiskError(f"{path}: holds nothing")
    return found


def wanted(backups: dict[str, Backup]) -> tuple[str, ...]:
    """The groups that the old cluster had, as far as the backups tell."""
    keyed = {group for group in backups if group.startswith(KEYED)}
    places = backups.get(PLACEMENT_GROUP)
    if places is not None:
        table = msgspec.convert(places.state["table"], PlacementTable)
        keyed |= {p.group for p in table.placed if p.group.startswith(KEYED)}
    return all_group_names(max((int(group.removeprefix(KEYED)) for group in keyed), default=0))


def restore_cluster(
    config: HoldingConfig, backups: dict[str, Backup], wall_ms: float, without: Iterable[str] = ()
) -> str:
    """Begin a new cluster with one member, on an empty folder; the id of its disk. Others join it by
    themselves. Groups that no backup has must be named as lost, and begin empty."""
    if any(backup.cluster == config.cluster for backup in backups.values()):
        raise DiskError(
            f"cluster: must be another name than {config.cluster}: members of that which come back would "
            "be mixed in"
        )
    groups = wanted(backups)
    lost = [g for g in groups if g not in backups and g != PLACEMENT_GROUP and g not in without]
    if lost:
        raise DiskError(f"from: has nothing of {', '.join(lost)}: give more folders, or say --without each")
    folder = Folder(config.service.folder, config.cluster, config.name)
    try:
        if any((folder.path / group).exists() for group in groups):
            raise DiskError(f"{folder.path}: holds something already; give an empty folder")
        (peer, call) = (f"{host}:{port}" for host, port in (config.peer, config.service.listen))
        me = Member(folder.id, config.name, config.zone, peer, call)
        table = PlacementTable(
            1, tuple(GroupPlacement(group, (me.name,), (me,), wall_ms) for group in groups)
        )
        for group in groups:
            state = (
                PlacementStore(table=table).snapshot()
                if group == PLACEMENT_GROUP
                else _state(group, backups, wall_ms)
            )
            saved = first_state((me,), encode_entry(state))
            disk = Disk(folder.path / group)
            disk.load()
            disk.write([Write(1, (saved.term, ""), (), saved.snapshot, True)])
            disk.close()
        return folder.id
    finally:
        folder.close()


def _state(group: str, backups: dict[str, Backup], wall_ms: float) -> Entry:
    """What a group goes on with."""
    backup = backups.get(group)
    state = dict(backup.state) if backup is not None else store_of(group)(Rules()).snapshot()
    if group == LIST_GROUP:
        state["revision"] = max(int(state["revision"]) + 1, int(wall_ms))
        state["token"] = int(state["token"]) + TOKENS_AHEAD
    return state
