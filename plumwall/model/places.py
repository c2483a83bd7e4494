"""Machines that come, go and lose their disks, and the code that decides where copies are, in virtual time.

What runs is the code in service: `places`, `members` and `hearsay` of `yewstage.holding`. Consensus is taken
as kept here, for `cluster` plays that: a group's change comes about where its leader reaches a majority of
whole voters. What machines say of themselves is late, old or lost; not all know the same table.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count

import numpy as np
from msgspec import structs

from plumwall.model.cluster import BreachError
from plumwall.model.explore import SearchResult, Step, shortened
from yewstage.holding.group_names import PLACEMENT_GROUP, all_group_names
from yewstage.holding.member_changes import GroupView, lost_members, next_change
from yewstage.holding.peer_reports import PRESENCE_TIMEOUT_MS, PeerReports
from yewstage.holding.placement import (
    MAX_CONCURRENT_MOVES,
    ClusterView,
    LeaderReport,
    PlacementTable,
    add_machine,
    first_table,
    name_of,
    next_table,
    remove_machine,
)
from yewstage.raft.messages import Member, Members, one_apart
from yewstage.registry.store import RefusedError

SIZE, COPIES, GROUPS = 7, 3, all_group_names(2)
GONE_MS, ELECTION_MS = 6000.0, 500.0
WAITS = (200.0, 1000.0, 3000.0, 8000.0)
LOOKS = 300  # by when, with all machines there and heard, every copy has to be where it is wanted
QUIET = 15  # looks after that in which nothing may change any more


@dataclass
class Machine:
    """One process and its disk."""

    member: Member
    up: bool = True
    table: PlacementTable = field(default_factory=PlacementTable)
    heard: PeerReports = field(default_factory=PeerReports)
    since: dict[str, float] = field(default_factory=dict)  # when it began to lead which group


@dataclass
class Copies:
    """One group."""

    members: Members
    whole: set[str]  # ids of disks that have all of it
    term: int = 1
    leader: int = -1
    heard: dict[str, float] = field(default_factory=dict)  # by its leader
    confirmed_at: float = 0.0  # when it last heard a majority


@dataclass
class Decisions:
    """The parts that decide; tests replace one by a mistake."""

    next_change: Callable[[GroupView], Members | None] = next_change
    next_table: Callable[[ClusterView], PlacementTable | None] = next_table


class World:
    """All machines and groups."""

    def __init__(self, decisions: Decisions | None = None) -> None:
        self.decide = decisions or Decisions()
        self._disks = count(1)
        self.machines = [Machine(self._member(f"m{i}", "abc"[i % 3])) for i in range(SIZE)]
        self.time = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.table = first_table(GROUPS, tuple(m.member for m in self.machines), COPIES, 0.0, {})
        self.groups = {p.group: Copies(p.members, {m.id for m in p.members}) for p in self.table.placed}

    def _member(self, name: str, zone: str) -> Member:
        return Member(f"{name}.{next(self._disks)}", name, zone, "", "")

    # --- Who is where -------------------------------------------------------------------------------------

    def at(self, member_id: str) -> int:
        """Which machine has a disk now; -1: none."""
        return next((i for i, m in enumerate(self.machines) if m.member.id == member_id), -1)

    def reach(self, i: int, j: int) -> bool:
        """Whether two machines hear each other."""
        both = self.machines[i].up and self.machines[j].up
        return both and (i == j or not {(i, j), (j, i)} & self.cut)

    def _majority(self, group: Copies, members: Members, i: int) -> bool:
        """Whether a machine reaches a majority of voters that have all."""
        voters = [m.id for m in members if m.voter]
        near = [v for v in voters if v in group.whole and (j := self.at(v)) >= 0 and self.reach(i, j)]
        return len(near) * 2 > len(voters)

    def may_lose(self, i: int) -> bool:
        """Whether each group keeps a majority of whole voters without this disk."""
        gone = self.machines[i].member.id
        for group in self.groups.values():
            voters = [m.id for m in group.members if m.voter]
            if len([v for v in voters if v in group.whole and v != gone]) * 2 <= len(voters):
                return False
        return True

    # --- What the world does ------------------------------------------------------------------------------

    def hello(self, i: int) -> None:
        """A machine says how it is to all that it reaches, and hears their table's epoch from them."""
        me = self.machines[i]
        reports = tuple(self._report(i, g) for g, group in self.groups.items() if group.leader == i)
        for j, other in enumerate(self.machines):
            if me.up and other.up and i != j and (i, j) not in self.cut:
                other.heard.record_hello(me.member, reports, self.time)
                if me.table.epoch > other.table.epoch:
                    other.table = me.table

    def beat(self, g: str) -> None:
        """A leader hears its members, or finds out that it leads no more."""
        group = self.groups[g]
        if group.leader < 0:
            return
        if not self._majority(group, group.members, group.leader):
            self._depose(group)
            return
        group.confirmed_at = self.time
        for member in group.members:
            if (j := self.at(member.id)) >= 0 and self.reach(group.leader, j):
                group.heard[member.id] = self.time

    def stand(self, g: str, i: int) -> None:
        """A voter that has all leads, if nobody does and a majority is there."""
        group, me = self.groups[g], self.machines[i].member.id
        voter = any(m.id == me and m.voter for m in group.members)
        if group.leader < 0 and voter and me in group.whole and self._majority(group, group.members, i):
            group.leader, group.term, group.heard = i, group.term + 1, {}
            group.confirmed_at = self.time
            if g == PLACEMENT_GROUP:
                self.machines[i].table = self.table

    def copy(self, g: str) -> None:
        """A learner that its leader reaches has all."""
        group = self.groups[g]
        lacking = [m.id for m in group.members if m.id not in group.whole]
        for member in lacking if group.leader >= 0 else ():
            if (j := self.at(member)) >= 0 and self.reach(group.leader, j):
                group.whole.add(member)
                return

    def lose(self, i: int) -> bool:
        """A machine is lost with its disk, and comes back with an empty one."""
        if not self.may_lose(i):
            return False
        self.stop(i)
        old = self.machines[i].member
        for group in self.groups.values():
            group.whole.discard(old.id)
        self.machines[i] = Machine(self._member(old.name, old.zone))
        return True

    def stop(self, i: int) -> None:
        """A process ends."""
        machine = self.machines[i]
        machine.up, machine.table, machine.heard, machine.since = False, PlacementTable(), PeerReports(), {}
        for group in self.groups.values():
            if group.leader == i:
                self._depose(group)

    def go(self, i: int) -> None:
        """It comes back."""
        self.machines[i].up = True

    @staticmethod
    def _depose(group: Copies) -> None:
        group.leader = -1

    # --- What the program does ----------------------------------------------------------------------------

    def _led(self, i: int) -> list[str]:
        return [g for g, group in self.groups.items() if group.leader == i]

    def _view(self, i: int, g: str, may_copy: bool = True) -> GroupView:
        me, group = self.machines[i], self.groups[g]
        since = me.since.get(g, self.time)
        silent = {
            m.id: self.time - max(group.heard.get(m.id, float("-inf")), since)
            for m in group.members
            if m.id != me.member.id
        }
        placed = me.table.placement_of(g)
        homes = placed.machine_names if placed is not None else ()
        there = me.heard.present_members(me.member, self.time)
        return GroupView(
            me.member.id,
            group.members,
            homes,
            silent,
            there,
            frozenset(group.whole),
            PRESENCE_TIMEOUT_MS,
            may_copy,
        )

    def _report(self, i: int, g: str) -> LeaderReport:
        group = self.groups[g]
        members = tuple((m.id, m.voter) for m in group.members)
        return LeaderReport(g, group.term, members, lost_members(self._view(i, g), GONE_MS))

    def look(self, i: int) -> None:
        """What a process does five times a second."""
        me = self.machines[i]
        if not me.up:
            return
        for g in self._led(i):  # check-quorum: who was not confirmed leads no more before it does anything
            if self.time - self.groups[g].confirmed_at > ELECTION_MS:
                self._depose(self.groups[g])
        led = self._led(i)
        me.since = {g: me.since.get(g, self.time) for g in led}
        if PLACEMENT_GROUP in led:
            me.table = self.table
        copying = sum(any(not m.voter for m in self.groups[g].members) for g in led)
        for g in sorted(led):
            copying += self._step(i, g, copying < MAX_CONCURRENT_MOVES)
        if PLACEMENT_GROUP in led and self.groups[PLACEMENT_GROUP].leader == i:
            self._plan(i, self.decide.next_table)

    def _step(self, i: int, g: str, may_copy: bool) -> bool:
        group = self.groups[g]
        members = self.decide.next_change(self._view(i, g, may_copy))
        if members is None or group.leader != i:
            return False
        if all(m.id != self.machines[i].member.id for m in members):
            self._hand_over(group)  # whoever leads next takes us out
            return False
        if not self._majority(group, members, i):
            return False  # it does not come about
        self._check_change(g, group, members)
        grown = len(members) > len(group.members)
        group.members = members
        return grown

    def _hand_over(self, group: Copies) -> None:
        for member in group.members:
            j = self.at(member.id)
            near = member.voter and member.id in group.whole and j >= 0 and self.reach(group.leader, j)
            if near and j != group.leader:
                group.leader, group.term, group.heard = j, group.term + 1, {}
                group.confirmed_at = self.time
                return

    def _sight(self, i: int) -> ClusterView:
        me = self.machines[i]
        led = {g: self._report(i, g) for g in self._led(i)}
        since = me.since.get(PLACEMENT_GROUP, self.time)
        return me.heard.cluster_view(self.table, led, me.member, self.time, since, GONE_MS, COPIES)

    def _plan(self, i: int, decide: Callable[[ClusterView], PlacementTable | None]) -> None:
        places = self.groups[PLACEMENT_GROUP]
        if places.leader != i or not self._majority(places, places.members, i):
            return
        try:
            table = decide(self._sight(i))
        except RefusedError:
            return
        if table is not None:
            if table.epoch != self.table.epoch + 1:
                raise BreachError(f"epoch {table.epoch} follows {self.table.epoch}")
            self.table = self.machines[i].table = table

    def operator(self, i: int, out: bool) -> None:
        """An operator takes a machine out, or lets it in."""
        leader, name = self.groups[PLACEMENT_GROUP].leader, self.machines[i].member.name
        if leader >= 0:
            self._plan(leader, lambda sight: (remove_machine if out else add_machine)(sight, name))

    # --- What must hold -----------------------------------------------------------------------------------

    def _check_change(self, g: str, group: Copies, members: Members) -> None:
        """One member at a time; never fewer whole copies than there were, but for those beyond what is
        wanted."""
        if not one_apart(group.members, members):
            raise BreachError(f"two members of {g} are changed at once")
        before = len([m for m in group.members if m.voter and m.id in group.whole])
        voters = [m for m in members if m.voter]
        after = len([m for m in voters if m.id in group.whole])
        if after < min(before, COPIES):
            raise BreachError(f"{g} has {after} whole copies after a change, and had {before}")
        if after * 2 <= len(voters):
            raise BreachError(f"{g} has {after} whole copies of {len(voters)} voters")

    def trouble(self) -> str:
        """What is not where it ought to be; empty: nothing."""
        usable = [m.member for m in self.machines if m.member.name not in self.table.removed]
        most = min(COPIES, len({m.zone for m in usable}))
        for placed in self.table.placed:
            group = self.groups[placed.group]
            if sorted(name_of(m.id) for m in group.members) != sorted(placed.machine_names):
                return (
                    f"{placed.group} is at {[m.id for m in group.members]}, wanted at {placed.machine_names}"
                )
            if any(self.at(m.id) < 0 or m.id not in group.whole or not m.voter for m in group.members):
                return f"{placed.group} has a copy that is not whole: {[m.id for m in group.members]}"
            if len(placed.machine_names) != COPIES or set(placed.machine_names) & set(self.table.removed):
                return f"{placed.group} has homes {placed.machine_names}"
            if len({m.zone for m in group.members}) < most:
                return f"{placed.group} stands in fewer than {most} zones: {placed.machine_names}"
        return ""

    def settle(self) -> None:
        """All is there and heard: every group comes to be where it is wanted, and then stays."""
        self.cut.clear()
        for i in range(SIZE):
            self.go(i)
        for _ in range(LOOKS):
            self._fair()
            if not self.trouble():
                break
        else:
            raise BreachError(f"not whole after {LOOKS} looks: {self.trouble()}")
        for _ in range(QUIET):
            self._fair()
        epoch = self.table.epoch
        for _ in range(QUIET):
            self._fair()
        if self.table.epoch != epoch:
            raise BreachError("places do not come to rest")

    def _fair(self) -> None:
        self.time += ELECTION_MS
        for g in self.groups:
            self.beat(g)
            for i in range(SIZE):
                self.stand(g, i)
            self.copy(g)
        for i in range(SIZE):
            self.hello(i)
        for i in range(SIZE):
            self.look(i)


def play(world: World, step: Step) -> bool:
    """One step."""
    name, a, b = step[0], int(step[1]), int(step[2])
    g = GROUPS[b % len(GROUPS)]
    match name:
        case "wait":
            world.time += WAITS[a % len(WAITS)]
        case "lose":
            return world.lose(a)
        case "stop" | "go" | "hello" | "look":
            getattr(world, name)(a)
        case "stand":
            world.stand(g, a)
        case "beat" | "copy":
            getattr(world, name)(g)
        case "cut":
            world.cut.add((a, b % SIZE))
        case "heal":
            world.cut.clear()
        case "out" | "in":
            world.operator(a, name == "out")
    return True


KINDS = {
    "hello": 30,
    "look": 30,
    "beat": 15,
    "stand": 12,
    "copy": 6,
    "wait": 10,
    "lose": 1.5,
    "stop": 1,
    "go": 3,
    "cut": 1,
    "heal": 1,
    "out": 0.4,
    "in": 0.6,
}


def walk(seed: int, length: int, decisions: Decisions | None = None) -> SearchResult:
    """One random plan, then all that is left to be brought where it is wanted."""
    rng, began = np.random.default_rng(np.random.SeedSequence(seed)), time.perf_counter()
    weights = np.array(list(KINDS.values())) / sum(KINDS.values())
    drawn = rng.choice(list(KINDS), length, p=weights)
    plan = tuple(
        (str(name), str(a), str(b))
        for name, (a, b) in zip(drawn, rng.integers(0, (SIZE, 84), (length, 2)), strict=True)
    )
    found = SearchResult(plans=1, seed=seed, scene="places", steps=length)
    ends, why = ending(plan, decisions)
    if why:
        found.breach, found.plan = why, plan[:ends]
    found.took_s = time.perf_counter() - began
    return found


def ending(plan: Iterable[Step], decisions: Decisions | None = None) -> tuple[int, str]:
    """After how many steps a plan ends in a breach, and in which; 0 and nothing: it does not."""
    world, played = World(decisions), 0
    try:
        for step in plan:
            played += 1
            play(world, step)
        world.settle()
    except BreachError as breach:
        return max(played, 1), str(breach)
    return 0, ""


def search(seeds: Iterable[int], length: int, decisions: Decisions | None = None) -> SearchResult:
    """Random plans, one after the other, until one breaks something."""
    total = SearchResult(scene="places")
    for seed in seeds:
        found = walk(seed, length, decisions)
        total = replace(
            total, plans=total.plans + 1, steps=total.steps + found.steps, took_s=total.took_s + found.took_s
        )
        if found.breach:
            return replace(total, breach=found.breach, plan=found.plan, seed=seed)
    return total


def shorten(found: SearchResult, decisions: Decisions | None = None) -> tuple[Step, ...]:
    """The fewest steps that still end in a breach."""
    return shortened(found.plan, lambda plan: ending(plan, decisions)[0])


def hasty(view: GroupView) -> Members | None:
    """A mistake to be found: a copy is taken out before the one in its place has come."""
    leaving = [m for m in view.members if m.voter and m.name not in view.machine_names and m.id != view.me]
    if view.machine_names and leaving:
        return tuple(m for m in view.members if m != leaving[0])
    return next_change(view)


def crowding(sight: ClusterView) -> PlacementTable | None:
    """A mistake to be found: zones are not looked at when a copy finds its place."""
    blind = tuple(structs.replace(m, zone="") for m in sight.present)
    return next_table(replace(sight, present=blind))
