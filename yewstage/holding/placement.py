"""Which machines hold which group: a table that a group of its own agrees on, and who is to hold what next.

Pure. The table says where copies are wanted; each group's own log says where they are, and its leader brings
the second to the first, one member at a time. So a table that is late or old moves copies, and never loses
what a group has promised.
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

AT_ONCE = 2  # groups whose copies are on the move at one time: the rest wait, the most endangered go first


class GroupPlacement(msgspec.Struct, frozen=True, array_like=True):
    """One group."""

    group: str
    machine_names: tuple[str, ...]  # names of the machines that are to hold it
    members: Members  # that it began with; this and what follows never changes
    first: float = 0.0  # Unix time in ms when the cluster began


class PlacementTable(msgspec.Struct, frozen=True, array_like=True):
    """All groups. The epoch rises with each change."""

    epoch: int = 0  # 0: nothing was agreed yet
    placed: tuple[GroupPlacement, ...] = ()
    out: tuple[str, ...] = ()  # machines that are to hold nothing
    coming: tuple[str, ...] = ()  # machines that are to be given their part

    def of(self, group: str) -> GroupPlacement | None:
        """What is said of one group."""
        return next((p for p in self.placed if p.group == group), None)

    def rehomed(self, group: str, homes: tuple[str, ...]) -> PlacementTable:
        """The next table, with other homes for one group."""
        placed = tuple(
            structs.replace(p, machine_names=homes) if p.group == group else p for p in self.placed
        )
        return structs.replace(self, epoch=self.epoch + 1, placed=placed)


class LeaderReport(msgspec.Struct, frozen=True, array_like=True):
    """What a group's leader tells all of it."""

    group: str
    term: int
    members: tuple[tuple[str, bool], ...]  # id, whether it is a voter
    lost: tuple[str, ...]  # ids that it has not heard for too long


class PlacementStore:
    """The store of the group that agrees on the table."""

    def __init__(self, rules: Rules | None = None, table: PlacementTable | None = None) -> None:
        self.table = table or PlacementTable()

    def plan(self, table: PlacementTable | None) -> Entry | None:
        """The next table; RefusedError where another one came in between."""
        if table is None:
            return None
        if table.epoch != self.table.epoch + 1:
            raise RefusedError(409, f"the table is of epoch {self.table.epoch} now; look again")
        return {"table": msgspec.to_builtins(table)}

    def apply(self, entry: Entry, now: float) -> None:
        """Bring an entry about."""
        self.table = msgspec.convert(entry["table"], PlacementTable)

    def snapshot(self) -> Entry:
        """All of it."""
        return {"table": msgspec.to_builtins(self.table)}

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> PlacementStore:
        """The store as it was."""
        return cls(rules, msgspec.convert(state["table"], PlacementTable))


def name_of(member_id: str) -> str:
    """The machine that a disk belongs to."""
    return member_id.rpartition(".")[0]


def best(group: str, machines: Iterable[Member], taken: Mapping[str, int]) -> Member | None:
    """Who is to hold a group besides those that do: in the zone with the fewest of them, by rendezvous
    hashing."""
    return min(
        machines,
        key=lambda m: (taken.get(m.zone, 0), xxhash.xxh64_intdigest(f"{group} {m.name}".encode())),
        default=None,
    )


def ideal(group: str, machines: Iterable[Member], copies: int) -> tuple[str, ...]:
    """Who would hold a group if all machines were there from the beginning."""
    left, homes, zones = {m.name: m for m in machines}, [], Counter()
    while left and len(homes) < copies:
        chosen = left.pop(best(group, left.values(), zones).name)
        homes.append(chosen.name)
        zones[chosen.zone] += 1
    return tuple(homes)


def first_table(
    groups: Iterable[str], members: Members, copies: int, first: float, kept: Mapping[str, tuple[str, ...]]
) -> PlacementTable:
    """The first table. `kept`: homes of groups that are there already."""
    placed = []
    for group in groups:
        homes = kept.get(group) or ideal(group, members, copies)
        placed.append(GroupPlacement(group, homes, tuple(m for m in members if m.name in homes), first))
    return PlacementTable(1, tuple(placed))


@dataclass(slots=True, frozen=True)
class ClusterView:
    """What the leader of the places' group sees of the cluster."""

    table: PlacementTable
    reports: Mapping[str, LeaderReport]  # by group, of leaders that were heard of lately
    present: tuple[Member, ...]  # processes that are there, each name once
    silent_ms: Mapping[str, float]  # by name, since it was heard of
    gone_ms: float
    copies: int


def next_table(sight: ClusterView) -> PlacementTable | None:
    """The table after the next change; None: nothing is to be changed.

    A home is given up when the group's leader and this process have both missed it for too long, so that one
    process that hears nobody moves nothing. The group with the fewest copies left goes first; one group has
    one change at a time, `AT_ONCE` groups are on the move.
    """
    table = sight.table
    order = sorted(table.placed, key=lambda p: (_alive(sight, p), p.group))
    moving = {p.group for p in order if not _settled(sight, p)}
    for placed in order:
        if placed.group in sight.reports and len(moving - {placed.group}) < AT_ONCE:
            homes = _mended(sight, placed)
            if homes is not None:
                return table.rehomed(placed.group, homes)
    if moving:
        return None  # first what is under way
    for placed in order:
        homes = _spread(sight, placed)
        if homes is not None:
            return table.rehomed(placed.group, homes)
    for name in table.coming:
        for placed in order:
            homes = _shared(sight, placed, name)
            if homes is not None:
                return table.rehomed(placed.group, homes)
        return structs.replace(table, epoch=table.epoch + 1, coming=table.coming[1:])
    return None


def moved(sight: ClusterView, group: str, old: str, new: str) -> PlacementTable:
    """By an operator's word; RefusedError names the field."""
    placed = sight.table.of(group)
    if placed is None:
        raise RefusedError(404, f"no group {group}", "group")
    if old not in placed.machine_names:
        raise RefusedError(409, f"{old} is none of {', '.join(placed.machine_names)}", "from")
    if new in placed.machine_names or new in sight.table.out or all(m.name != new for m in sight.present):
        raise RefusedError(409, f"{new} holds it already, is out, or is not there", "to")
    if not _settled(sight, placed):
        raise RefusedError(409, f"{group} is being moved already", "group")
    homes = tuple(new if h == old else h for h in placed.machine_names)
    if len(_zones(sight, placed, list(homes))) < len(_zones(sight, placed, list(placed.machine_names))):
        raise RefusedError(409, f"with {new} it would stand in fewer zones, and be moved back", "to")
    return sight.table.rehomed(group, homes)


def without_machine(sight: ClusterView, name: str) -> PlacementTable:
    """A machine is to hold nothing any more."""
    table = sight.table
    if all(name not in p.machine_names for p in table.placed) and all(m.name != name for m in sight.present):
        raise RefusedError(404, f"no machine {name}", "name")
    out = tuple(sorted({*table.out, name}))
    left = [m for m in sight.present if m.name not in out]
    if len(left) < sight.copies:
        raise RefusedError(409, f"{len(left)} machines would be left for {sight.copies} copies", "name")
    coming = tuple(n for n in table.coming if n != name)
    return structs.replace(table, epoch=table.epoch + 1, out=out, coming=coming)


def with_machine(sight: ClusterView, name: str) -> PlacementTable:
    """A machine is to hold its part, as if it had been there from the beginning."""
    table = sight.table
    if all(m.name != name for m in sight.present):
        raise RefusedError(409, f"{name} is not there", "name")
    out = tuple(n for n in table.out if n != name)
    return structs.replace(table, epoch=table.epoch + 1, out=out, coming=(*table.coming, name))


def _alive(sight: ClusterView, placed: GroupPlacement) -> int:
    """Copies that are whole and heard of."""
    report = sight.reports.get(placed.group)
    if report is None:
        return 0
    return sum(voter and member not in report.lost for member, voter in report.members)


def _settled(sight: ClusterView, placed: GroupPlacement) -> bool:
    """Whether a group is where it is to be."""
    report = sight.reports.get(placed.group)
    if report is None:
        return False
    names = [name_of(member) for member, voter in report.members if voter]
    return sorted(names) == sorted(placed.machine_names) and len(names) == len(report.members)


def _lost(sight: ClusterView, report: LeaderReport, name: str) -> bool:
    """Whether a home is given up: not by the word of one alone."""
    there = any(m.name == name for m in sight.present)
    missed = all(member in report.lost for member, _ in report.members if name_of(member) == name)
    return not there and sight.silent_ms.get(name, 0.0) > sight.gone_ms and missed


def _mended(sight: ClusterView, placed: GroupPlacement) -> tuple[str, ...] | None:
    """Other homes for a group that has one that is lost or out, or has too few."""
    report = sight.reports[placed.group]
    bad = [h for h in placed.machine_names if _lost(sight, report, h)]
    bad += [h for h in placed.machine_names if h in sight.table.out and h not in bad]
    voters = {name_of(member) for member, voter in report.members if voter}
    if any(h not in voters for h in placed.machine_names if h not in bad):
        return None  # a copy is being made
    kept = [h for h in placed.machine_names if h != bad[0]] if bad else list(placed.machine_names)
    if not bad and len(kept) >= sight.copies:
        return None
    chosen = best(placed.group, _free(sight, placed), _zones(sight, placed, kept))
    return (*kept, chosen.name) if chosen is not None else None


def _spread(sight: ClusterView, placed: GroupPlacement) -> tuple[str, ...] | None:
    """Homes in more zones, where there are more.

    Danger: while a zone is away its copies are made in the others; were they left there when it is back, the
    next zone that is lost could take a majority along.
    """
    zones = _zones(sight, placed, list(placed.machine_names))
    free = [m for m in _free(sight, placed) if m.zone not in zones]
    chosen = best(placed.group, free, {})
    if chosen is None or max(zones.values()) < 2:
        return None
    crowded = max(zones, key=lambda zone: (zones[zone], zone))
    here = {m.name: m.zone for m in (*placed.members, *sight.present)}
    leaves = next(h for h in reversed(placed.machine_names) if here.get(h, "") == crowded)
    return tuple(chosen.name if h == leaves else h for h in placed.machine_names)


def _shared(sight: ClusterView, placed: GroupPlacement, name: str) -> tuple[str, ...] | None:
    """The homes of a group that a machine which comes in ought to hold; None where it does not."""
    usable = [m for m in sight.present if m.name not in sight.table.out]
    wanted = ideal(placed.group, usable, sight.copies)
    others = [h for h in placed.machine_names if h not in wanted]
    if name not in wanted or name in placed.machine_names or not others:
        return None
    return tuple(name if h == others[0] else h for h in placed.machine_names)


def _free(sight: ClusterView, placed: GroupPlacement) -> list[Member]:
    return [m for m in sight.present if m.name not in placed.machine_names and m.name not in sight.table.out]


def _zones(sight: ClusterView, placed: GroupPlacement, kept: list[str]) -> Counter[str]:
    known = {m.name: m.zone for m in (*placed.members, *sight.present)}
    return Counter(known.get(h, "") for h in kept)
