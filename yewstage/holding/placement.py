"""Placement of groups on machines: the table, replicated by a group of its own, and its next change.

Pure functions. The table names the machines that should hold each group. The members that a group really has
are in its own log, and its leader changes them towards the table one at a time. A late or outdated table can
therefore only move replicas; it cannot lose acknowledged writes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
import xxhash
from msgspec import structs

from yewstage.raft.messages import Member, Members
from yewstage.registry.store import Entry, RefusedError, Rules

MAX_CONCURRENT_MOVES = 2  # groups moving at one time; those with the fewest live replicas go first


class GroupPlacement(msgspec.Struct, frozen=True, array_like=True):
    """The placement of one group."""

    group: str
    machine_names: tuple[str, ...]  # machines that should hold a replica
    members: Members  # initial members; this and the next field never change
    began_at_ms: float = 0.0  # Unix time at which the cluster was initialised


class PlacementTable(msgspec.Struct, frozen=True, array_like=True):
    """The placement of all groups. Each change raises the epoch by one."""

    epoch: int = 0  # 0: no table was agreed on yet
    placements: tuple[GroupPlacement, ...] = ()
    removed: tuple[str, ...] = ()  # machines that an operator removed
    joining: tuple[str, ...] = ()  # machines that an operator added and whose groups still have to move

    def placement_of(self, group: str) -> GroupPlacement | None:
        """The placement of one group; None if it is not in the table."""
        return next((p for p in self.placements if p.group == group), None)

    def with_homes(self, group: str, homes: tuple[str, ...]) -> PlacementTable:
        """The next table, with other machines for one group."""
        placed = tuple(
            structs.replace(p, machine_names=homes) if p.group == group else p for p in self.placements
        )
        return structs.replace(self, epoch=self.epoch + 1, placements=placed)


class LeaderReport(msgspec.Struct, frozen=True, array_like=True):
    """What a group's leader reports to all processes."""

    group: str
    term: int
    members: tuple[tuple[str, bool], ...]  # id, whether it is a voter
    lost: tuple[str, ...]  # ids of members that it takes for lost


class PlacementStore:
    """The store of the placement group."""

    def __init__(self, rules: Rules | None = None, table: PlacementTable | None = None) -> None:
        self.table = table or PlacementTable()

    def plan(self, table: PlacementTable | None) -> Entry | None:
        """The entry for the next table; RefusedError 409 if the table changed since it was read."""
        if table is None:
            return None
        if table.epoch != self.table.epoch + 1:
            raise RefusedError(409, f"the table is of epoch {self.table.epoch} now; look again")
        return {"table": msgspec.to_builtins(table)}

    def apply(self, entry: Entry, now: float) -> None:
        """Replace the table by that of a committed entry."""
        self.table = msgspec.convert(entry["table"], PlacementTable)

    def snapshot(self) -> Entry:
        """The table as a snapshot."""
        return {"table": msgspec.to_builtins(self.table)}

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> PlacementStore:
        """A store from a snapshot."""
        return cls(rules, msgspec.convert(state["table"], PlacementTable))


def machine_name_of(member_id: str) -> str:
    """The name of the machine that a member id (NAME.DISK) belongs to."""
    return member_id.rpartition(".")[0]


def choose_home(group: str, machines: Iterable[Member], taken_by_zone: Mapping[str, int]) -> Member | None:
    """The machine for a further replica of a group; None if there are no candidates.

    It is in the zone with the fewest replicas (`taken_by_zone`), chosen there by rendezvous hashing, so that
    a machine that comes or goes moves only the groups that it holds.
    """
    return min(
        machines,
        key=lambda m: (taken_by_zone.get(m.zone, 0), xxhash.xxh64_intdigest(f"{group} {m.name}".encode())),
        default=None,
    )


def ideal_homes(group: str, machines: Iterable[Member], copies: int) -> tuple[str, ...]:
    """The machines that would hold a group if all of these had been there from the start."""
    remaining, homes, zones = {m.name: m for m in machines}, [], Counter()
    while remaining and len(homes) < copies:
        chosen = remaining.pop(choose_home(group, remaining.values(), zones).name)
        homes.append(chosen.name)
        zones[chosen.zone] += 1
    return tuple(homes)


def first_table(
    groups: Iterable[str],
    members: Members,
    copies: int,
    began_at_ms: float,
    kept: Mapping[str, tuple[str, ...]],
) -> PlacementTable:
    """The table of a new cluster. `kept` has the machines of groups that exist already."""
    placed = []
    for group in groups:
        homes = kept.get(group) or ideal_homes(group, members, copies)
        placed.append(GroupPlacement(group, homes, tuple(m for m in members if m.name in homes), began_at_ms))
    return PlacementTable(1, tuple(placed))


@dataclass(slots=True, frozen=True)
class ClusterView:
    """The cluster as the leader of the placement group sees it."""

    table: PlacementTable
    reports: Mapping[str, LeaderReport]  # by group, within the presence timeout
    present: tuple[Member, ...]  # within the presence timeout, each name once
    silent_ms: Mapping[str, float]  # by machine name, since it was last heard of
    gone_ms: float
    copies: int


def next_table(view: ClusterView) -> PlacementTable | None:
    """The table after the next change; None if no change is due.

    A machine is replaced only if both the group's leader and this process have not heard of it for too long:
    a single process that is cut off from the network then moves nothing. The group with the fewest live
    replicas goes first. A group has one change at a time, and at most MAX_CONCURRENT_MOVES groups move.
    """
    table = view.table
    order = sorted(table.placements, key=lambda p: (_live_copies(view, p), p.group))
    moving = {p.group for p in order if not _is_settled(view, p)}
    for placed in order:
        if placed.group in view.reports and len(moving - {placed.group}) < MAX_CONCURRENT_MOVES:
            homes = _repaired_homes(view, placed)
            if homes is not None:
                return table.with_homes(placed.group, homes)
    if moving:
        return None  # rebalancing waits until all moves have completed
    for placed in order:
        homes = _homes_in_more_zones(view, placed)
        if homes is not None:
            return table.with_homes(placed.group, homes)
    for name in table.joining:
        for placed in order:
            homes = _homes_with_joining(view, placed, name)
            if homes is not None:
                return table.with_homes(placed.group, homes)
        return structs.replace(table, epoch=table.epoch + 1, joining=table.joining[1:])
    return None


def move_copy(view: ClusterView, group: str, old: str, new: str) -> PlacementTable:
    """The table after an operator's move of one replica; RefusedError names the field."""
    placed = view.table.placement_of(group)
    if placed is None:
        raise RefusedError(404, f"no group {group}", "group")
    if old not in placed.machine_names:
        raise RefusedError(409, f"{old} is none of {', '.join(placed.machine_names)}", "from")
    if new in placed.machine_names or new in view.table.removed or all(m.name != new for m in view.present):
        raise RefusedError(409, f"{new} holds it already, is out, or is not there", "to")
    if not _is_settled(view, placed):
        raise RefusedError(409, f"{group} is being moved already", "group")
    homes = tuple(new if h == old else h for h in placed.machine_names)
    if len(_zone_counts(view, placed, list(homes))) < len(
        _zone_counts(view, placed, list(placed.machine_names))
    ):
        raise RefusedError(409, f"with {new} it would stand in fewer zones, and be moved back", "to")
    return view.table.with_homes(group, homes)


def remove_machine(view: ClusterView, name: str) -> PlacementTable:
    """The table after an operator removed a machine; RefusedError names the field."""
    table = view.table
    if all(name not in p.machine_names for p in table.placements) and all(
        m.name != name for m in view.present
    ):
        raise RefusedError(404, f"no machine {name}", "name")
    removed = tuple(sorted({*table.removed, name}))
    remaining = [m for m in view.present if m.name not in removed]
    if len(remaining) < view.copies:
        raise RefusedError(409, f"{len(remaining)} machines would be left for {view.copies} copies", "name")
    joining = tuple(n for n in table.joining if n != name)
    return structs.replace(table, epoch=table.epoch + 1, removed=removed, joining=joining)


def add_machine(view: ClusterView, name: str) -> PlacementTable:
    """The table after an operator added a machine; RefusedError names the field.

    The machine is given the groups that it would hold had it been there from the start.
    """
    table = view.table
    if all(m.name != name for m in view.present):
        raise RefusedError(409, f"{name} is not there", "name")
    removed = tuple(n for n in table.removed if n != name)
    return structs.replace(table, epoch=table.epoch + 1, removed=removed, joining=(*table.joining, name))


def _live_copies(view: ClusterView, placed: GroupPlacement) -> int:
    """Number of voters that the group's leader does not take for lost; 0 without a report."""
    report = view.reports.get(placed.group)
    if report is None:
        return 0
    return sum(voter and member not in report.lost for member, voter in report.members)


def _is_settled(view: ClusterView, placed: GroupPlacement) -> bool:
    """Whether the group's members are exactly the machines of the table, all of them voters."""
    report = view.reports.get(placed.group)
    if report is None:
        return False
    names = [machine_name_of(member) for member, voter in report.members if voter]
    return sorted(names) == sorted(placed.machine_names) and len(names) == len(report.members)


def _is_lost(view: ClusterView, report: LeaderReport, name: str) -> bool:
    """Whether a machine is to be replaced: both this process and the group's leader miss it."""
    is_present = any(m.name == name for m in view.present)
    is_missed_by_leader = all(
        member in report.lost for member, _ in report.members if machine_name_of(member) == name
    )
    return not is_present and view.silent_ms.get(name, 0.0) > view.gone_ms and is_missed_by_leader


def _repaired_homes(view: ClusterView, placed: GroupPlacement) -> tuple[str, ...] | None:
    """The machines of a group after one was replaced that is lost or removed, or one was added where there
    are too few; None if neither is due or possible."""
    report = view.reports[placed.group]
    to_replace = [h for h in placed.machine_names if _is_lost(view, report, h)]
    to_replace += [h for h in placed.machine_names if h in view.table.removed and h not in to_replace]
    voters = {machine_name_of(member) for member, voter in report.members if voter}
    if any(h not in voters for h in placed.machine_names if h not in to_replace):
        return None  # a replica is still catching up
    kept = (
        [h for h in placed.machine_names if h != to_replace[0]] if to_replace else list(placed.machine_names)
    )
    if not to_replace and len(kept) >= view.copies:
        return None
    chosen = choose_home(placed.group, _candidates(view, placed), _zone_counts(view, placed, kept))
    return (*kept, chosen.name) if chosen is not None else None


def _homes_in_more_zones(view: ClusterView, placed: GroupPlacement) -> tuple[str, ...] | None:
    """Machines in more zones for a group with two replicas in one zone; None if that is not possible.

    While a zone is lost its replicas are made in the others. If they stayed there after it is back, the loss
    of another zone could take away a majority.
    """
    zones = _zone_counts(view, placed, list(placed.machine_names))
    free = [m for m in _candidates(view, placed) if m.zone not in zones]
    chosen = choose_home(placed.group, free, {})
    if chosen is None or max(zones.values()) < 2:
        return None
    fullest_zone = max(zones, key=lambda zone: (zones[zone], zone))
    zone_by_name = {m.name: m.zone for m in (*placed.members, *view.present)}
    replaced = next(h for h in reversed(placed.machine_names) if zone_by_name.get(h, "") == fullest_zone)
    return tuple(chosen.name if h == replaced else h for h in placed.machine_names)


def _homes_with_joining(view: ClusterView, placed: GroupPlacement, name: str) -> tuple[str, ...] | None:
    """The machines of a group after a joining machine took its place; None if it gets none here."""
    usable = [m for m in view.present if m.name not in view.table.removed]
    wanted = ideal_homes(placed.group, usable, view.copies)
    replaceable = [h for h in placed.machine_names if h not in wanted]
    if name not in wanted or name in placed.machine_names or not replaceable:
        return None
    return tuple(name if h == replaceable[0] else h for h in placed.machine_names)


def _candidates(view: ClusterView, placed: GroupPlacement) -> list[Member]:
    return [
        m for m in view.present if m.name not in placed.machine_names and m.name not in view.table.removed
    ]


def _zone_counts(view: ClusterView, placed: GroupPlacement, kept: list[str]) -> Counter[str]:
    zone_by_name = {m.name: m.zone for m in (*placed.members, *view.present)}
    return Counter(zone_by_name.get(h, "") for h in kept)
