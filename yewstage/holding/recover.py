"""Restoring a cluster from backups, or from folders of members whose majorities are lost for good.

The new cluster has another name, so that members of the old one that return are refused instead of mixed in.
Writes that the old cluster acknowledged after the backup, or that these members never received, are lost, and
nothing can show which they are; whether to accept that is the operator's decision. Revisions and fencing
tokens continue above all that the old cluster can have handed out.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import ReplicatedStore, decode_entry, encode_entry
from yewstage.holding.group_names import (
    GROUP_NAME,
    KEY_GROUP_PREFIX,
    LIST_GROUP,
    PLACEMENT_GROUP,
    all_group_names,
    store_type_of,
)
from yewstage.holding.identity import Folder, read_meta
from yewstage.holding.placement import GroupPlacement, PlacementStore, PlacementTable
from yewstage.raft.core import Write, initial_state
from yewstage.raft.disk import Disk, DiskError
from yewstage.raft.messages import DATA, Member
from yewstage.registry.store import Entry, Rules

FORMAT = 2
TOKEN_MARGIN = 1_000_000  # more fencing tokens than are granted between a backup and the loss of the cluster


class Backup(msgspec.Struct, forbid_unknown_fields=True):
    """The state of a group at a log index; one line of a backup file."""

    format: int
    cluster: str
    index: int
    state: Entry
    group: str = LIST_GROUP


def read_backups(paths: Iterable[Path]) -> dict[str, Backup]:
    """The newest state of each group in backup files and members' folders.

    DiskError if a path is neither, or if the paths are of several clusters.
    """
    found: dict[str, Backup] = {}
    clusters = set()
    for path in paths:
        for backup in _from_folder(path) if path.is_dir() else _from_file(path):
            clusters.add(backup.cluster)
            newest = found.get(backup.group)
            if newest is None or newest.index < backup.index:
                found[backup.group] = backup
    if len(clusters) > 1:
        raise DiskError(f"from: is of several clusters: {', '.join(sorted(clusters))}")
    return found


def _from_file(path: Path) -> list[Backup]:
    """The backups in a file, one per line."""
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
    """The state of each group in a member's folder, with all entries of its logs applied."""
    found = []
    for folder in sorted(path.iterdir()):
        if not GROUP_NAME.fullmatch(folder.name):
            continue
        disk = Disk(folder)
        saved = disk.load()
        disk.close()
        if not saved.snapshot.index:
            continue
        store: ReplicatedStore = store_type_of(folder.name).restored(
            Rules(), decode_entry(saved.snapshot.data), 0.0
        )
        for entry in saved.entries:
            if entry.kind == DATA:
                store.apply(decode_entry(entry.data), 0.0)
        last = saved.entries[-1].index if saved.entries else saved.snapshot.index
        found.append(Backup(FORMAT, read_meta(path).cluster, last, store.snapshot(), folder.name))
    if not found:
        raise DiskError(f"{path}: holds no state of any group")
    return found


def required_groups(backups: dict[str, Backup]) -> tuple[str, ...]:
    """The groups that the old cluster had, as far as the backups show."""
    keyed = {group for group in backups if group.startswith(KEY_GROUP_PREFIX)}
    placement_backup = backups.get(PLACEMENT_GROUP)
    if placement_backup is not None:
        table = msgspec.convert(placement_backup.state["table"], PlacementTable)
        keyed |= {p.group for p in table.placements if p.group.startswith(KEY_GROUP_PREFIX)}
    return all_group_names(max((int(group.removeprefix(KEY_GROUP_PREFIX)) for group in keyed), default=0))


def restore_cluster(
    config: HoldingConfig, backups: dict[str, Backup], wall_ms: float, without: Iterable[str] = ()
) -> str:
    """Create a new cluster with one member in an empty folder; returns the member's id.

    Other processes then join by themselves. Groups without a backup start empty and must be named in
    `without`. `wall_ms` is the Unix time in ms. DiskError names what is wrong.
    """
    if any(backup.cluster == config.cluster for backup in backups.values()):
        raise DiskError(
            f"cluster: must be another name than {config.cluster}: members of the old cluster that "
            "return would be mixed in"
        )
    groups = required_groups(backups)
    lost = [g for g in groups if g not in backups and g != PLACEMENT_GROUP and g not in without]
    if lost:
        raise DiskError(
            f"from: has no state of {', '.join(lost)}: give more folders, or name each with --without"
        )
    folder = Folder(config.service.folder, config.cluster, config.name)
    try:
        if any((folder.path / group).exists() for group in groups):
            raise DiskError(f"{folder.path}: holds groups already; give an empty folder")
        (peer, call) = (f"{host}:{port}" for host, port in (config.peer, config.service.listen))
        me = Member(folder.id, config.name, config.zone, peer, call)
        table = PlacementTable(
            1, tuple(GroupPlacement(group, (me.name,), (me,), wall_ms) for group in groups)
        )
        for group in groups:
            state = (
                PlacementStore(table=table).snapshot()
                if group == PLACEMENT_GROUP
                else _initial_state(group, backups, wall_ms)
            )
            saved = initial_state((me,), encode_entry(state))
            disk = Disk(folder.path / group)
            disk.load()
            disk.write([Write(1, (saved.term, ""), (), saved.snapshot, True)])
            disk.close()
        return folder.id
    finally:
        folder.close()


def _initial_state(group: str, backups: dict[str, Backup], wall_ms: float) -> Entry:
    """The state with which a group starts in the new cluster."""
    backup = backups.get(group)
    state = dict(backup.state) if backup is not None else store_type_of(group)(Rules()).snapshot()
    if group == LIST_GROUP:
        state["revision"] = max(int(state["revision"]) + 1, int(wall_ms))
        state["token"] = int(state["token"]) + TOKEN_MARGIN
    return state
