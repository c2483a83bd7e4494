"""Model of copy placement in virtual time: machines start, stop and lose their disks, and links are cut.

The code under test is the production code of `yewstage.holding`: `placement`, `member_changes` and
`peer_reports`. Consensus is assumed to be correct, because `cluster` checks it: a group's change succeeds if
its leader reaches a majority of complete voters. Reports of machines are late, outdated or lost, and machines
may know different placement tables. A copy is complete when its disk has all data of its group.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count

import numpy as np
from msgspec import structs

from plumwall.model.cluster import InvariantError
from plumwall.model.explore import SearchResult, Step, shortened_plan
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
    machine_name_of,
    next_table,
    remove_machine,
)
from yewstage.raft.messages import Member, Members, differ_in_at_most_one_member
from yewstage.registry.store import RefusedError

MACHINES, COPIES, GROUPS = 7, 3, all_group_names(2)
GONE_MS, ELECTION_MS = 6000.0, 500.0
WAITS_MS = (200.0, 1000.0, 3000.0, 8000.0)
SETTLE_ROUNDS = 300  # with all machines up and connected, every copy is placed within so many rounds
QUIET_ROUNDS = 15  # after as many further rounds, the table may not change for as many again


@dataclass
class Machine:
    """One process, its disk, and what it knows of the cluster."""

    member: Member
    up: bool = True
    table: PlacementTable = field(default_factory=PlacementTable)
    reports: PeerReports = field(default_factory=PeerReports)
    led_since: dict[str, float] = field(default_factory=dict)  # time in ms by group it leads


@dataclass
class GroupState:
    """One group: its members and which of their copies are complete."""

    members: Members
    complete: set[str]  # ids of disks with all data of the group
    term: int = 1
    leader: int = -1
    heard_at: dict[str, float] = field(default_factory=dict)  # by member id: when the leader last heard it
    confirmed_at_ms: float = 0.0  # when the leader last heard a majority, ms


@dataclass
class Decisions:
    """The decision functions under test; a test replaces one of them by a planted bug."""

    next_change: Callable[[GroupView], Members | None] = next_change
    next_table: Callable[[ClusterView], PlacementTable | None] = next_table


class World:
    """All machines and groups, with the events that change them."""

    def __init__(self, decisions: Decisions | None = None) -> None:
        self.decisions = decisions or Decisions()
        self._disk_numbers = count(1)
        self.machines = [Machine(self._new_member(f"m{i}", "abc"[i % 3])) for i in range(MACHINES)]
        self.time_ms = 0.0
        self.cut_links: set[tuple[int, int]] = set()
        self.table = first_table(GROUPS, tuple(m.member for m in self.machines), COPIES, 0.0, {})
        self.groups = {
            p.group: GroupState(p.members, {m.id for m in p.members}) for p in self.table.placements
        }

    def _new_member(self, name: str, zone: str) -> Member:
        return Member(f"{name}.{next(self._disk_numbers)}", name, zone, "", "")

    # --- Reachability -------------------------------------------------------------------------------------

    def index_of(self, member_id: str) -> int:
        """Index of the machine with this disk, or -1 if the disk is lost."""
        return next((i for i, m in enumerate(self.machines) if m.member.id == member_id), -1)

    def can_reach(self, i: int, j: int) -> bool:
        """Whether two machines are up and can send to each other."""
        both = self.machines[i].up and self.machines[j].up
        return both and (i == j or not {(i, j), (j, i)} & self.cut_links)

    def _has_majority(self, group: GroupState, members: Members, i: int) -> bool:
        """Whether a machine reaches a majority of the voters, counting only complete copies."""
        voters = [m.id for m in members if m.voter]
        reached = [
            v for v in voters if v in group.complete and (j := self.index_of(v)) >= 0 and self.can_reach(i, j)
        ]
        return len(reached) * 2 > len(voters)

    def can_lose_disk(self, i: int) -> bool:
        """Whether each group keeps a majority of complete voters without this disk."""
        lost_id = self.machines[i].member.id
        for group in self.groups.values():
            voters = [m.id for m in group.members if m.voter]
            if len([v for v in voters if v in group.complete and v != lost_id]) * 2 <= len(voters):
                return False
        return True

    # --- Events of the environment ------------------------------------------------------------------------

    def hello(self, i: int) -> None:
        """Send a machine's reports to all that it reaches; those with an older table take its table."""
        me = self.machines[i]
        reports = tuple(self._report(i, g) for g, group in self.groups.items() if group.leader == i)
        for j, other in enumerate(self.machines):
            if me.up and other.up and i != j and (i, j) not in self.cut_links:
                other.reports.record_hello(me.member, reports, self.time_ms)
                if me.table.epoch > other.table.epoch:
                    other.table = me.table

    def beat(self, g: str) -> None:
        """Let a leader hear its members, or step down if it does not reach a majority."""
        group = self.groups[g]
        if group.leader < 0:
            return
        if not self._has_majority(group, group.members, group.leader):
            self._depose(group)
            return
        group.confirmed_at_ms = self.time_ms
        for member in group.members:
            if (j := self.index_of(member.id)) >= 0 and self.can_reach(group.leader, j):
                group.heard_at[member.id] = self.time_ms

    def stand(self, g: str, i: int) -> None:
        """Make a complete voter the leader if the group has none and it reaches a majority."""
        group, me = self.groups[g], self.machines[i].member.id
        voter = any(m.id == me and m.voter for m in group.members)
        if (
            group.leader < 0
            and voter
            and me in group.complete
            and self._has_majority(group, group.members, i)
        ):
            group.leader, group.term, group.heard_at = i, group.term + 1, {}
            group.confirmed_at_ms = self.time_ms
            if g == PLACEMENT_GROUP:
                self.machines[i].table = self.table

    def copy(self, g: str) -> None:
        """Complete one copy that the leader reaches."""
        group = self.groups[g]
        incomplete = [m.id for m in group.members if m.id not in group.complete]
        for member in incomplete if group.leader >= 0 else ():
            if (j := self.index_of(member)) >= 0 and self.can_reach(group.leader, j):
                group.complete.add(member)
                return

    def lose(self, i: int) -> bool:
        """Replace a machine's disk by an empty one. Returns False if a group would lose its majority."""
        if not self.can_lose_disk(i):
            return False
        self.stop(i)
        old = self.machines[i].member
        for group in self.groups.values():
            group.complete.discard(old.id)
        self.machines[i] = Machine(self._new_member(old.name, old.zone))
        return True

    def stop(self, i: int) -> None:
        """End a process and lose all that it knows."""
        machine = self.machines[i]
        machine.up, machine.table, machine.reports, machine.led_since = (
            False,
            PlacementTable(),
            PeerReports(),
            {},
        )
        for group in self.groups.values():
            if group.leader == i:
                self._depose(group)

    def go(self, i: int) -> None:
        """Start a process again."""
        self.machines[i].up = True

    @staticmethod
    def _depose(group: GroupState) -> None:
        group.leader = -1

    # --- Steps of the program -----------------------------------------------------------------------------

    def _led_groups(self, i: int) -> list[str]:
        return [g for g, group in self.groups.items() if group.leader == i]

    def _group_view(self, i: int, g: str, may_copy: bool = True) -> GroupView:
        me, group = self.machines[i], self.groups[g]
        since = me.led_since.get(g, self.time_ms)
        silent = {
            m.id: self.time_ms - max(group.heard_at.get(m.id, float("-inf")), since)
            for m in group.members
            if m.id != me.member.id
        }
        placed = me.table.placement_of(g)
        machine_names = placed.machine_names if placed is not None else ()
        present = me.reports.present_members(me.member, self.time_ms)
        return GroupView(
            me.member.id,
            group.members,
            machine_names,
            silent,
            present,
            frozenset(group.complete),
            PRESENCE_TIMEOUT_MS,
            may_copy,
        )

    def _report(self, i: int, g: str) -> LeaderReport:
        group = self.groups[g]
        members = tuple((m.id, m.voter) for m in group.members)
        return LeaderReport(g, group.term, members, lost_members(self._group_view(i, g), GONE_MS))

    def look(self, i: int) -> None:
        """Run the decisions that a process makes five times a second."""
        me = self.machines[i]
        if not me.up:
            return
        for g in self._led_groups(i):  # check quorum: an unconfirmed leader steps down first
            if self.time_ms - self.groups[g].confirmed_at_ms > ELECTION_MS:
                self._depose(self.groups[g])
        led = self._led_groups(i)
        me.led_since = {g: me.led_since.get(g, self.time_ms) for g in led}
        if PLACEMENT_GROUP in led:
            me.table = self.table
        copying = sum(any(not m.voter for m in self.groups[g].members) for g in led)
        for g in sorted(led):
            copying += self._change_members(i, g, copying < MAX_CONCURRENT_MOVES)
        if PLACEMENT_GROUP in led and self.groups[PLACEMENT_GROUP].leader == i:
            self._update_table(i, self.decisions.next_table)

    def _change_members(self, i: int, g: str, may_copy: bool) -> bool:
        group = self.groups[g]
        members = self.decisions.next_change(self._group_view(i, g, may_copy))
        if members is None or group.leader != i:
            return False
        if all(m.id != self.machines[i].member.id for m in members):
            self._hand_over(group)  # the next leader removes this machine
            return False
        if not self._has_majority(group, members, i):
            return False  # the change is not committed
        self._check_change(g, group, members)
        has_grown = len(members) > len(group.members)
        group.members = members
        return has_grown

    def _hand_over(self, group: GroupState) -> None:
        for member in group.members:
            j = self.index_of(member.id)
            reached = (
                member.voter and member.id in group.complete and j >= 0 and self.can_reach(group.leader, j)
            )
            if reached and j != group.leader:
                group.leader, group.term, group.heard_at = j, group.term + 1, {}
                group.confirmed_at_ms = self.time_ms
                return

    def _cluster_view(self, i: int) -> ClusterView:
        me = self.machines[i]
        led = {g: self._report(i, g) for g in self._led_groups(i)}
        since = me.led_since.get(PLACEMENT_GROUP, self.time_ms)
        return me.reports.cluster_view(self.table, led, me.member, self.time_ms, since, GONE_MS, COPIES)

    def _update_table(self, i: int, decide: Callable[[ClusterView], PlacementTable | None]) -> None:
        group = self.groups[PLACEMENT_GROUP]
        if group.leader != i or not self._has_majority(group, group.members, i):
            return
        try:
            table = decide(self._cluster_view(i))
        except RefusedError:
            return
        if table is not None:
            if table.epoch != self.table.epoch + 1:
                raise InvariantError(f"epoch {table.epoch} follows {self.table.epoch}")
            self.table = self.machines[i].table = table

    def set_out_of_service(self, i: int, out: bool) -> None:
        """Take a machine out of the placement or put it in, as an operator does."""
        leader, name = self.groups[PLACEMENT_GROUP].leader, self.machines[i].member.name
        if leader >= 0:
            self._update_table(leader, lambda view: (remove_machine if out else add_machine)(view, name))

    # --- Invariants ---------------------------------------------------------------------------------------

    def _check_change(self, g: str, group: GroupState, members: Members) -> None:
        """Check that one member changes, that a majority of voters stays complete, and that complete copies
        become fewer only above the wanted number."""
        if not differ_in_at_most_one_member(group.members, members):
            raise InvariantError(f"two members of {g} are changed at once")
        complete_before = len([m for m in group.members if m.voter and m.id in group.complete])
        voters = [m for m in members if m.voter]
        complete_after = len([m for m in voters if m.id in group.complete])
        if complete_after < min(complete_before, COPIES):
            raise InvariantError(
                f"{g} has {complete_after} whole copies after a change, and had {complete_before}"
            )
        if complete_after * 2 <= len(voters):
            raise InvariantError(f"{g} has {complete_after} whole copies of {len(voters)} voters")

    def misplacement(self) -> str:
        """Describe the first group that is not placed as wanted; empty if all are."""
        usable = [m.member for m in self.machines if m.member.name not in self.table.removed]
        wanted_zones = min(COPIES, len({m.zone for m in usable}))
        for placed in self.table.placements:
            group = self.groups[placed.group]
            if sorted(machine_name_of(m.id) for m in group.members) != sorted(placed.machine_names):
                return (
                    f"{placed.group} is at {[m.id for m in group.members]}, wanted at {placed.machine_names}"
                )
            if any(
                self.index_of(m.id) < 0 or m.id not in group.complete or not m.voter for m in group.members
            ):
                return f"{placed.group} has a copy that is not whole: {[m.id for m in group.members]}"
            if len(placed.machine_names) != COPIES or set(placed.machine_names) & set(self.table.removed):
                return f"{placed.group} has homes {placed.machine_names}"
            if len({m.zone for m in group.members}) < wanted_zones:
                return f"{placed.group} stands in fewer than {wanted_zones} zones: {placed.machine_names}"
        return ""

    def settle(self) -> None:
        """Bring all machines and links up, and check that every copy is placed and then stays in place."""
        self.cut_links.clear()
        for i in range(MACHINES):
            self.go(i)
        for _ in range(SETTLE_ROUNDS):
            self._run_round()
            if not self.misplacement():
                break
        else:
            raise InvariantError(f"not whole after {SETTLE_ROUNDS} looks: {self.misplacement()}")
        for _ in range(QUIET_ROUNDS):
            self._run_round()
        epoch = self.table.epoch
        for _ in range(QUIET_ROUNDS):
            self._run_round()
        if self.table.epoch != epoch:
            raise InvariantError("places do not come to rest")

    def _run_round(self) -> None:
        self.time_ms += ELECTION_MS
        for g in self.groups:
            self.beat(g)
            for i in range(MACHINES):
                self.stand(g, i)
            self.copy(g)
        for i in range(MACHINES):
            self.hello(i)
        for i in range(MACHINES):
            self.look(i)


def play(world: World, step: Step) -> bool:
    """Run one step. Returns False if it is not possible. Raises InvariantError."""
    name, a, b = step[0], int(step[1]), int(step[2])
    g = GROUPS[b % len(GROUPS)]
    match name:
        case "wait":
            world.time_ms += WAITS_MS[a % len(WAITS_MS)]
        case "lose":
            return world.lose(a)
        case "stop" | "go" | "hello" | "look":
            getattr(world, name)(a)
        case "stand":
            world.stand(g, a)
        case "beat" | "copy":
            getattr(world, name)(g)
        case "cut":
            world.cut_links.add((a, b % MACHINES))
        case "heal":
            world.cut_links.clear()
        case "out" | "in":
            world.set_out_of_service(a, name == "out")
    return True


STEP_WEIGHTS = {
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


def run_random_plan(seed: int, length: int, decisions: Decisions | None = None) -> SearchResult:
    """Run one random plan, then check that all copies get placed."""
    rng, began_s = np.random.default_rng(np.random.SeedSequence(seed)), time.perf_counter()
    weights = np.array(list(STEP_WEIGHTS.values())) / sum(STEP_WEIGHTS.values())
    names = rng.choice(list(STEP_WEIGHTS), length, p=weights)
    plan = tuple(
        (str(name), str(a), str(b))
        for name, (a, b) in zip(names, rng.integers(0, (MACHINES, 84), (length, 2)), strict=True)
    )
    found = SearchResult(plans=1, seed=seed, scene="places", steps=length)
    steps, why = replay(plan, decisions)
    if why:
        found.breach, found.plan = why, plan[:steps]
    found.took_s = time.perf_counter() - began_s
    return found


def replay(plan: Iterable[Step], decisions: Decisions | None = None) -> tuple[int, str]:
    """Replay a plan: the number of steps up to a breach and its text, or 0 and "" without one."""
    world, steps = World(decisions), 0
    try:
        for step in plan:
            steps += 1
            play(world, step)
        world.settle()
    except InvariantError as breach:
        return max(steps, 1), str(breach)
    return 0, ""


def search(seeds: Iterable[int], length: int, decisions: Decisions | None = None) -> SearchResult:
    """Run a random plan for each seed until one ends in a breach."""
    total = SearchResult(scene="places")
    for seed in seeds:
        found = run_random_plan(seed, length, decisions)
        total = replace(
            total, plans=total.plans + 1, steps=total.steps + found.steps, took_s=total.took_s + found.took_s
        )
        if found.breach:
            return replace(total, breach=found.breach, plan=found.plan, seed=seed)
    return total


def shorten(found: SearchResult, decisions: Decisions | None = None) -> tuple[Step, ...]:
    """The plan of a search result, shortened while it still ends in a breach."""
    return shortened_plan(found.plan, lambda plan: replay(plan, decisions)[0])


def remove_before_copied(view: GroupView) -> Members | None:
    """Planted bug: a copy is removed before the copy that replaces it is complete."""
    leaving = [m for m in view.members if m.voter and m.name not in view.machine_names and m.id != view.me]
    if view.machine_names and leaving:
        return tuple(m for m in view.members if m != leaving[0])
    return next_change(view)


def ignore_zones(view: ClusterView) -> PlacementTable | None:
    """Planted bug: zones are ignored when a copy is placed."""
    without_zones = tuple(structs.replace(m, zone="") for m in view.present)
    return next_table(replace(view, present=without_zones))
