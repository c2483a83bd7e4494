"""Several groups' replicas, their disks and the network between them, as a value that can be copied and
compared.

What runs is the code in service: `yewstage.holding.group` and `yewstage.raft.core`. Here are only the parts
that the world plays: messages that are delivered in any order, lost or repeated; writes that become durable
some time later; crashes that lose what was not durable; disks that are lost; clocks that are hours apart and
a process that does not look at its own for as long as it likes.
"""

from __future__ import annotations

import pickle
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from yewstage.holding.group import Group, ReplicatedStore, first_data
from yewstage.raft.core import LEADER, BusyError, DurableState, NotLeaderError, Replica, Settings, first_state
from yewstage.raft.messages import AnyMessage, Member, Members
from yewstage.registry.store import Entry, Record, Rules, Store

RULES = Rules(history=100)
SETTINGS = Settings(
    heartbeat_ms=100, election_ms=1000, kept_entries=1, batch_bytes=200, window_bytes=400, window_messages=2
)
TTL_MS = 3000.0


class Steady(random.Random):
    """No chance: orders are the explorer's to choose."""

    def random(self) -> float:
        return 0.0


@dataclass
class Disk:
    """What is durable of a replica, and what was written but is not yet."""

    saved: DurableState = field(default_factory=DurableState)
    pending: list = field(default_factory=list)

    def sync(self) -> int:
        """All that was written is durable; the number of the last write."""
        for write in self.pending:
            if write.hard_state is not None:
                self.saved.term, self.saved.vote = write.hard_state
            if write.snapshot is not None:
                self.saved.snapshot = write.snapshot
                kept = [] if write.reset else self.saved.entries
                self.saved.entries = [e for e in kept if e.index > write.snapshot.index]
            if write.entries:
                first = write.entries[0].index
                self.saved.entries = [e for e in self.saved.entries if e.index < first] + list(write.entries)
        number = self.pending[-1].number
        self.pending = []
        return number


class BreachError(AssertionError):
    """An invariant does not hold."""


@dataclass
class Node:
    """One machine: its disk, its clock, its group unless it is down."""

    member: Member
    disk: Disk
    group: Group | None
    ahead_ms: float  # of true time
    lives: int = 0


@dataclass
class PlantedBug:
    """A mistake to be found: each names the part that is replaced."""

    replica: type[Replica] = Replica
    group: type[Group] = Group
    keeps_name: bool = False  # a machine that comes back with an empty disk goes by its old id
    scene: str = "start"  # where it shows soonest


class Cluster:
    """Replicas of one group that holds the list, and what must hold of them all."""

    store: type[ReplicatedStore] = Store

    def __init__(self, size: int = 3, planted: PlantedBug | None = None) -> None:
        self.planted = planted or PlantedBug()
        self.disks = 0
        members = tuple(self._member(f"n{i}") for i in range(size))
        first = first_state(members, self._first())
        self.nodes = [
            Node(m, Disk(replace(first, entries=[])), None, i * 3.6e6) for i, m in enumerate(members)
        ]
        self.network: list[AnyMessage] = []
        # Machines, by direction: what one sends the other does not get.
        self.cut_links: set[tuple[int, int]] = set()
        self.time = 0.0  # true time, ms, which no replica knows
        self.serial = 0
        self.written: dict[tuple[int, int], str] = {}  # node, ticket: the write's name
        self.acknowledged: set[str] = set()
        self.reads: dict[tuple[int, int], frozenset[str]] = {}  # what was known when a read began
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.holders: list[tuple[str, int, float]] = []  # holder, token, until by its own clock
        self.asked: dict[tuple[int, int], tuple[str, float, int]] = {}  # holder, when it asked, token
        self.reborn: set[str] = set()  # ids whose disk was lost, while the machine goes by them still
        for i in range(size):
            self._start(i)

    def _first(self) -> bytes:
        """The state that the group begins with."""
        return first_data(RULES, 1000)

    def _member(self, name: str) -> Member:
        self.disks += 1
        return Member(f"{name}.{self.disks}", name, f"z{name[-1]}", "", "")

    def now(self, i: int) -> float:
        """What a machine's clock says."""
        return self.time + self.nodes[i].ahead_ms

    def packed(self) -> bytes:
        """All of it as bytes, from which another one is made that is the same."""
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    @staticmethod
    def unpacked(data: bytes) -> Cluster:
        """One as it was when it was packed."""
        return pickle.loads(data)

    # --- What the world does ------------------------------------------------------------------------------

    def _start(self, i: int) -> None:
        node = self.nodes[i]
        node.lives += 1
        saved = replace(node.disk.saved, entries=list(node.disk.saved.entries))
        node.group = self.planted.group(
            node.member.id, SETTINGS, RULES, saved, Steady(), self.now(i), self.planted.replica, self.store
        )
        self._after(i)

    def deliver(self, at: int, keep: bool = False) -> None:
        """One message of those under way; `keep`: it comes again later."""
        message = self.network[at] if keep else self.network.pop(at)
        for i, node in enumerate(self.nodes):
            if node.group is not None and node.member.id == message.dst:
                node.group.handle(self.now(i), message)
                self._after(i)

    def lose(self, at: int) -> None:
        """One message never comes."""
        self.network.pop(at)

    def wait(self, ms: float) -> None:
        """Time goes on, and nobody has looked at the clock yet."""
        self.time += ms

    def tick(self, i: int) -> None:
        """A process looks at its clock."""
        group = self.nodes[i].group
        if group is not None:
            group.tick(self.now(i))
            self._after(i)

    def sync(self, i: int) -> None:
        """What a machine has written is durable."""
        node = self.nodes[i]
        number = node.disk.sync()
        if node.group is not None:
            node.group.durable(self.now(i), number)
            self._after(i)

    def crash(self, i: int) -> None:
        """A process ends; what was not durable is gone."""
        node = self.nodes[i]
        node.group, node.disk.pending = None, []
        self._forget_calls(i)

    def restart(self, i: int) -> None:
        """It comes back on its disk."""
        self._start(i)

    def wipe(self, i: int) -> None:
        """A machine comes back with an empty disk: by another id, as the program has it."""
        node = self.nodes[i]
        if node.group is not None:
            self.crash(i)
        if self.planted.keeps_name:
            self.reborn.add(node.member.id)
        else:
            node.member = self._member(node.member.name)
        node.disk = Disk()
        self._start(i)

    # --- What clients do ----------------------------------------------------------------------------------

    def _ask(self, i: int, ask: Callable[[Group], int]) -> int:
        """A call to one replica; its ticket, 0 if it was not taken on."""
        group = self.nodes[i].group
        if group is None:
            return 0
        try:
            return ask(group)
        except (NotLeaderError, BusyError):
            return 0

    def write(self, i: int) -> bool:
        """A client registers a server; whether that was taken on."""
        self.serial += 1
        name = f"s{self.serial}"

        def plan(store: Store, now: float) -> Entry | None:
            return store.plan_register(Record(name, "h:1", ttl_ms=1e9))

        ticket = self._ask(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.written[i, ticket] = name
        return self._asked(i, ticket)

    def read(self, i: int) -> bool:
        """A client asks for all that is there, as of now or later."""
        ticket = self._ask(i, lambda group: group.confirm(self.now(i)))
        if ticket:
            self.reads[i, ticket] = frozenset(self.acknowledged)
        return self._asked(i, ticket)

    def acquire(self, i: int, holder: str) -> bool:
        """A process asks for the duty, or goes on with it; it counts its time from now."""
        told = {"token": 0}

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_acquire("duty", holder, TTL_MS, now)
            if entry is None:
                store.renew_lease("duty", holder, store.leases["duty"].token, now)
            told["token"] = store.leases["duty"].token if entry is None else entry["token"]
            return entry

        ticket = self._ask(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.asked[i, ticket] = holder, self.time, told["token"]
        return self._asked(i, ticket)

    def _asked(self, i: int, ticket: int) -> bool:
        if self.nodes[i].group is not None:
            self._after(i)
        return ticket > 0

    def change(self, i: int, members: Members) -> bool:
        """An operator changes the members."""
        return self._asked(i, self._ask(i, lambda group: group.replica.change_members(self.now(i), members)))

    def hand_over(self, i: int, to: int) -> bool:
        """A leader is asked to hand leadership over."""
        name = self.nodes[to].member.id

        def ask(group: Group) -> int:
            group.replica.transfer_leadership(self.now(i), name)
            return 1

        return self._asked(i, self._ask(i, ask))

    def compact(self, i: int) -> bool:
        """A replica puts a snapshot in place of its entries."""
        node = self.nodes[i]
        if node.group is None or node.group.applied <= node.group.replica.snapshot.index:
            return False
        node.group.compact(self.now(i))
        self._after(i)
        return True

    # --- What must hold -----------------------------------------------------------------------------------

    def _after(self, i: int) -> None:
        """Carry out what came of a step, and look at all that must hold."""
        node = self.nodes[i]
        replica = node.group.replica
        if replica.role == LEADER:
            life = f"{node.member.id}/{node.lives}"
            other = self.leaders.setdefault(replica.term, life)
            if other != life:
                raise BreachError(f"term {replica.term} has two leaders: {other}, {life}")
            if replica.durability_losses and not self.planted.keeps_name:
                raise BreachError(f"{node.member.id} accuses a disk that has forgotten nothing")
        before = node.group.applied
        log = {e.index: (e.term, e.data) for e in replica.entries}
        result = node.group.take(self.now(i))
        node.disk.pending += result.writes
        places = {n.member.id: j for j, n in enumerate(self.nodes)}
        self.network += [m for m in result.messages if (i, places.get(m.dst, i)) not in self.cut_links]
        for index in range(before + 1, node.group.applied + 1):
            entry = log.get(index) or {e.index: (e.term, e.data) for e in replica.entries}.get(index)
            if entry is not None and self.committed.setdefault(index, entry) != entry:
                raise BreachError(f"entry {index} is committed in two forms")
        for done in result.done:
            self._done(i, done.ticket, done.error)

    def _done(self, i: int, ticket: int, error: Exception | None) -> None:
        node = self.nodes[i]
        name, known = self.written.pop((i, ticket), ""), self.reads.pop((i, ticket), None)
        asked = self.asked.pop((i, ticket), None)
        if error is not None:
            return
        have = set(node.group.store.records)
        if name:
            if name not in have:
                raise BreachError(f"{name} is acknowledged and not there")
            self.acknowledged.add(name)
        elif known is not None:
            missing = known - have
            if missing:
                raise BreachError(
                    f"a read that began after {sorted(missing)} was acknowledged does not have it"
                )
        elif asked is not None:
            self._granted(*asked)

    def _granted(self, holder: str, since: float, token: int) -> None:
        """A lease's answer came: its holder believes in it from when it asked, for its time less drift."""
        until = since + TTL_MS * (1 - RULES.drift)
        if until <= self.time:
            return  # too late: it holds nothing
        for other, earlier, ends in self.holders:
            if other != holder and ends > self.time:
                raise BreachError(f"{holder} and {other} hold the duty at once")
            if other != holder and earlier >= token:
                raise BreachError(f"token {token} of {holder} is no higher than {earlier} of {other}")
        self.holders = [held for held in self.holders if held[0] != holder]
        self.holders.append((holder, token, until))

    def _calls(self) -> tuple[dict[tuple[int, int], object], ...]:
        """Calls under way, by machine and ticket."""
        return self.written, self.reads, self.asked

    def _forget_calls(self, i: int) -> None:
        for calls in self._calls():
            for key in [key for key in calls if key[0] == i]:
                del calls[key]

    def check_kept(self) -> None:
        """Who leads knows all that was acknowledged."""
        for node in self.nodes:
            if node.group is not None and node.group.is_leader() and not self._deposed(node):
                missing = self._missing(node.group.speculative_store)
                if missing:
                    raise BreachError(f"leader {node.member.id} does not know {missing}")

    def _missing(self, planned: ReplicatedStore) -> list[str]:
        """What was promised and a leader does not know."""
        return sorted(self.acknowledged - set(planned.records))

    def _deposed(self, node: Node) -> bool:
        term = node.group.replica.term
        return any(
            other.disk.saved.term > term or other.group is not None and other.group.replica.term > term
            for other in self.nodes
        )

    def check_logs(self) -> None:
        """Two logs that have an entry of one term at one index are the same up to there."""
        replicas = [node.group.replica for node in self.nodes if node.group is not None]
        for a in replicas:
            for b in replicas:
                if a is b:
                    continue
                theirs = {e.index: e for e in b.entries}
                meet = False
                for entry in reversed(a.entries):
                    other = theirs.get(entry.index)
                    if other is None:
                        continue
                    meet = meet or other.term == entry.term
                    if meet and other != entry:
                        raise BreachError(
                            f"logs of {a.own_id} and {b.own_id} differ at {entry.index} below a common entry"
                        )

    def check(self) -> None:
        """All invariants that are looked at between steps."""
        self.check_logs()
        self.check_kept()
