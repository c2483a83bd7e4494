"""Model of one replicated group: its replicas, their disks and the network, as a value that can be
copied and compared.

The code under test is the production code of `yewstage.holding.group` and `yewstage.raft.core`. This module
models only the environment: messages are delivered in any order, lost or repeated; writes become durable
later; a crash loses writes that are not durable; disks are wiped; clocks differ by hours, and a process may
not read its clock for any length of time. `Cluster` also checks the invariants after each step.
"""

from __future__ import annotations

import pickle
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from yewstage.holding.group import Group, ReplicatedStore, initial_list_state
from yewstage.raft.core import (
    LEADER,
    BusyError,
    DurableState,
    NotLeaderError,
    Replica,
    Settings,
    initial_state,
)
from yewstage.raft.messages import AnyMessage, Member, Members
from yewstage.registry.store import Entry, Record, Rules, Store

RULES = Rules(history=100)
SETTINGS = Settings(
    heartbeat_ms=100,
    election_ms=1000,
    retained_entries=1,
    batch_bytes=200,
    window_bytes=400,
    window_messages=2,
)
LEASE_TTL_MS = 3000.0


class NoRandom(random.Random):
    """Random source that always returns 0, so that only the explorer chooses the order of events."""

    def random(self) -> float:
        return 0.0


@dataclass
class Disk:
    """A replica's durable state and its writes that are not durable yet."""

    saved: DurableState = field(default_factory=DurableState)
    pending: list = field(default_factory=list)

    def sync(self) -> int:
        """Make all pending writes durable and return the number of the last one."""
        for write in self.pending:
            if write.hard_state is not None:
                self.saved.term, self.saved.vote = write.hard_state
            if write.snapshot is not None:
                self.saved.snapshot = write.snapshot
                retained = [] if write.reset else self.saved.entries
                self.saved.entries = [e for e in retained if e.index > write.snapshot.index]
            if write.entries:
                first = write.entries[0].index
                self.saved.entries = [e for e in self.saved.entries if e.index < first] + list(write.entries)
        number = self.pending[-1].number
        self.pending = []
        return number


class InvariantError(AssertionError):
    """An invariant of the model is violated."""


@dataclass
class Node:
    """One machine: its disk, its clock, and its replica of the group, which is None while it is down."""

    member: Member
    disk: Disk
    group: Group | None
    clock_offset_ms: float  # local clock minus true time
    start_count: int = 0


@dataclass
class PlantedBug:
    """A deliberate bug that the search must find. Each field replaces one part of the correct program."""

    replica: type[Replica] = Replica
    group: type[Group] = Group
    reuses_id: bool = False  # a machine that restarts with a wiped disk keeps its old member id
    scene: str = "start"  # the scene in which the bug is found with the fewest plans


class Cluster:
    """The replicas of the group that stores the list of servers, with the invariants that they must keep."""

    store: type[ReplicatedStore] = Store

    def __init__(self, size: int = 3, planted: PlantedBug | None = None) -> None:
        self.planted = planted or PlantedBug()
        self.disk_count = 0
        members = tuple(self._new_member(f"n{i}") for i in range(size))
        first = initial_state(members, self._initial_state())
        self.nodes = [
            Node(m, Disk(replace(first, entries=[])), None, i * 3.6e6) for i, m in enumerate(members)
        ]
        self.network: list[AnyMessage] = []
        # Pairs of sender and receiver: messages in that direction are dropped.
        self.cut_links: set[tuple[int, int]] = set()
        self.time_ms = 0.0  # true time; no replica knows it
        self.write_serial = 0
        self.pending_writes: dict[tuple[int, int], str] = {}  # by node and ticket: the server's name
        self.acknowledged: set[str] = set()
        # By node and ticket: the writes acknowledged when the read began.
        self.pending_reads: dict[tuple[int, int], frozenset[str]] = {}
        self.leaders_by_term: dict[int, str] = {}  # by term: member id and start count of the leader
        self.committed_entries: dict[int, tuple[int, bytes]] = {}
        self.lease_holders: list[tuple[str, int, float]] = []  # holder, token, end as the holder counts it
        # By node and ticket: holder, true time of the call, fencing token.
        self.pending_acquires: dict[tuple[int, int], tuple[str, float, int]] = {}
        self.reused_ids: set[str] = set()  # ids still in use by machines whose disk was wiped
        for i in range(size):
            self._start(i)

    def _initial_state(self) -> bytes:
        """Encoded initial state of the group."""
        return initial_list_state(RULES, 1000)

    def _new_member(self, name: str) -> Member:
        self.disk_count += 1
        return Member(f"{name}.{self.disk_count}", name, f"z{name[-1]}", "", "")

    def now(self, i: int) -> float:
        """Local clock of a machine, in ms."""
        return self.time_ms + self.nodes[i].clock_offset_ms

    def serialized(self) -> bytes:
        """The whole model as bytes; `deserialized` makes an equal copy of it."""
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    @staticmethod
    def deserialized(data: bytes) -> Cluster:
        """A copy of the model whose `serialized` returned these bytes."""
        return pickle.loads(data)

    # --- Events of the environment ------------------------------------------------------------------------

    def _start(self, i: int) -> None:
        node = self.nodes[i]
        node.start_count += 1
        saved = replace(node.disk.saved, entries=list(node.disk.saved.entries))
        node.group = self.planted.group(
            node.member.id, SETTINGS, RULES, saved, NoRandom(), self.now(i), self.planted.replica, self.store
        )
        self._apply_output(i)

    def deliver(self, at: int, keep: bool = False) -> None:
        """Deliver one message in flight. With `keep` it stays in flight and is delivered again later."""
        message = self.network[at] if keep else self.network.pop(at)
        for i, node in enumerate(self.nodes):
            if node.group is not None and node.member.id == message.dst:
                node.group.handle(self.now(i), message)
                self._apply_output(i)

    def lose(self, at: int) -> None:
        """Drop one message in flight."""
        self.network.pop(at)

    def wait(self, ms: float) -> None:
        """Advance true time without a tick of any replica."""
        self.time_ms += ms

    def tick(self, i: int) -> None:
        """Let a process read its clock and run its timers."""
        group = self.nodes[i].group
        if group is not None:
            group.tick(self.now(i))
            self._apply_output(i)

    def sync(self, i: int) -> None:
        """Make a machine's pending writes durable and report that to its replica."""
        node = self.nodes[i]
        number = node.disk.sync()
        if node.group is not None:
            node.group.durable(self.now(i), number)
            self._apply_output(i)

    def crash(self, i: int) -> None:
        """End a process; writes that are not durable are lost."""
        node = self.nodes[i]
        node.group, node.disk.pending = None, []
        self._drop_calls(i)

    def restart(self, i: int) -> None:
        """Start a process again from its disk."""
        self._start(i)

    def wipe(self, i: int) -> None:
        """Restart a machine with an empty disk. It gets a new member id, as the program requires."""
        node = self.nodes[i]
        if node.group is not None:
            self.crash(i)
        if self.planted.reuses_id:
            self.reused_ids.add(node.member.id)
        else:
            node.member = self._new_member(node.member.name)
        node.disk = Disk()
        self._start(i)

    # --- Calls of clients ---------------------------------------------------------------------------------

    def _call(self, i: int, call: Callable[[Group], int]) -> int:
        """Call one replica. Returns the call's ticket, or 0 if it was refused or the replica is down."""
        group = self.nodes[i].group
        if group is None:
            return 0
        try:
            return call(group)
        except (NotLeaderError, BusyError):
            return 0

    def write(self, i: int) -> bool:
        """Register a server. Returns whether the call was accepted."""
        self.write_serial += 1
        name = f"s{self.write_serial}"

        def plan(store: Store, now: float) -> Entry | None:
            return store.plan_register(Record(name, "h:1", ttl_ms=1e9))

        ticket = self._call(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.pending_writes[i, ticket] = name
        return self._finish_call(i, ticket)

    def read(self, i: int) -> bool:
        """Start a linearizable read. Returns whether the call was accepted."""
        ticket = self._call(i, lambda group: group.confirm(self.now(i)))
        if ticket:
            self.pending_reads[i, ticket] = frozenset(self.acknowledged)
        return self._finish_call(i, ticket)

    def acquire(self, i: int, holder: str) -> bool:
        """Acquire or renew the lease on the duty. Returns whether the call was accepted.

        The holder counts the lease's time from this call, not from the answer.
        """
        granted = {"token": 0}

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_acquire("duty", holder, LEASE_TTL_MS, now)
            if entry is None:
                store.renew_lease("duty", holder, store.leases["duty"].token, now)
            granted["token"] = store.leases["duty"].token if entry is None else entry["token"]
            return entry

        ticket = self._call(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.pending_acquires[i, ticket] = holder, self.time_ms, granted["token"]
        return self._finish_call(i, ticket)

    def _finish_call(self, i: int, ticket: int) -> bool:
        if self.nodes[i].group is not None:
            self._apply_output(i)
        return ticket > 0

    def change(self, i: int, members: Members) -> bool:
        """Propose a member list, as an operator does. Returns whether the call was accepted."""
        return self._finish_call(
            i, self._call(i, lambda group: group.replica.change_members(self.now(i), members))
        )

    def hand_over(self, i: int, to: int) -> bool:
        """Ask a leader to transfer leadership. Returns whether the call was accepted."""
        name = self.nodes[to].member.id

        def transfer(group: Group) -> int:
            group.replica.transfer_leadership(self.now(i), name)
            return 1

        return self._finish_call(i, self._call(i, transfer))

    def compact(self, i: int) -> bool:
        """Replace a replica's applied entries by a snapshot. Returns False if there is nothing to replace."""
        node = self.nodes[i]
        if node.group is None or node.group.applied_index <= node.group.replica.snapshot.index:
            return False
        node.group.compact(self.now(i))
        self._apply_output(i)
        return True

    # --- Invariants ---------------------------------------------------------------------------------------

    def _apply_output(self, i: int) -> None:
        """Apply the output of a replica's step to the disk and the network, and check the invariants."""
        node = self.nodes[i]
        replica = node.group.replica
        if replica.role == LEADER:
            start_id = f"{node.member.id}/{node.start_count}"
            other = self.leaders_by_term.setdefault(replica.term, start_id)
            if other != start_id:
                raise InvariantError(f"term {replica.term} has two leaders: {other}, {start_id}")
            if replica.durability_losses and not self.planted.reuses_id:
                raise InvariantError(f"{node.member.id} accuses a disk that has forgotten nothing")
        applied_before = node.group.applied_index
        log = {e.index: (e.term, e.data) for e in replica.entries}
        result = node.group.take(self.now(i))
        node.disk.pending += result.writes
        node_of_member = {n.member.id: j for j, n in enumerate(self.nodes)}
        self.network += [
            m for m in result.messages if (i, node_of_member.get(m.dst, i)) not in self.cut_links
        ]
        for index in range(applied_before + 1, node.group.applied_index + 1):
            entry = log.get(index) or {e.index: (e.term, e.data) for e in replica.entries}.get(index)
            if entry is not None and self.committed_entries.setdefault(index, entry) != entry:
                raise InvariantError(f"entry {index} is committed in two forms")
        for completion in result.completions:
            self._call_completed(i, completion.ticket, completion.error)

    def _call_completed(self, i: int, ticket: int, error: Exception | None) -> None:
        node = self.nodes[i]
        name, required = self.pending_writes.pop((i, ticket), ""), self.pending_reads.pop((i, ticket), None)
        acquire = self.pending_acquires.pop((i, ticket), None)
        if error is not None:
            return
        present = set(node.group.store.records)
        if name:
            if name not in present:
                raise InvariantError(f"{name} is acknowledged and not there")
            self.acknowledged.add(name)
        elif required is not None:
            missing = required - present
            if missing:
                raise InvariantError(
                    f"a read that began after {sorted(missing)} was acknowledged does not have it"
                )
        elif acquire is not None:
            self._lease_granted(*acquire)

    def _lease_granted(self, holder: str, asked_at_ms: float, token: int) -> None:
        """Record a granted lease and check that no other holder has one.

        The holder counts the lease from its call and shortens its time by the permitted clock drift.
        """
        until_ms = asked_at_ms + LEASE_TTL_MS * (1 - RULES.drift)
        if until_ms <= self.time_ms:
            return  # the answer came after the end of the lease
        for other, earlier_token, ends_ms in self.lease_holders:
            if other != holder and ends_ms > self.time_ms:
                raise InvariantError(f"{holder} and {other} hold the duty at once")
            if other != holder and earlier_token >= token:
                raise InvariantError(
                    f"token {token} of {holder} is no higher than {earlier_token} of {other}"
                )
        self.lease_holders = [lease for lease in self.lease_holders if lease[0] != holder]
        self.lease_holders.append((holder, token, until_ms))

    def _pending_calls(self) -> tuple[dict[tuple[int, int], object], ...]:
        """Tables of the calls without an answer, each by node and ticket."""
        return self.pending_writes, self.pending_reads, self.pending_acquires

    def _drop_calls(self, i: int) -> None:
        for calls in self._pending_calls():
            for key in [key for key in calls if key[0] == i]:
                del calls[key]

    def check_leader_completeness(self) -> None:
        """Check that each leader knows all acknowledged writes (leader completeness)."""
        for node in self.nodes:
            if node.group is not None and node.group.is_leader() and not self._is_superseded(node):
                missing = self._missing_at_leader(node.group.speculative_store)
                if missing:
                    raise InvariantError(f"leader {node.member.id} does not know {missing}")

    def _missing_at_leader(self, planned: ReplicatedStore) -> list[str]:
        """Names of acknowledged writes that are missing from a leader's store."""
        return sorted(self.acknowledged - set(planned.records))

    def _is_superseded(self, node: Node) -> bool:
        term = node.group.replica.term
        return any(
            other.disk.saved.term > term or other.group is not None and other.group.replica.term > term
            for other in self.nodes
        )

    def check_log_matching(self) -> None:
        """Check that two logs with an entry of the same index and term are equal up to it (log matching)."""
        replicas = [node.group.replica for node in self.nodes if node.group is not None]
        for a in replicas:
            for b in replicas:
                if a is b:
                    continue
                entries_of_b = {e.index: e for e in b.entries}
                has_equal_entry = False
                for entry in reversed(a.entries):
                    other = entries_of_b.get(entry.index)
                    if other is None:
                        continue
                    has_equal_entry = has_equal_entry or other.term == entry.term
                    if has_equal_entry and other != entry:
                        raise InvariantError(
                            f"logs of {a.own_id} and {b.own_id} differ at {entry.index} below a common entry"
                        )

    def check_invariants(self) -> None:
        """Check the invariants that hold between any two steps."""
        self.check_log_matching()
        self.check_leader_completeness()
