"""The group replicas of one process.

They are opened as needed, bootstrapped once, and moved member by member to the machines that the placement
table names.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import Group, encode_entry, initial_list_state
from yewstage.holding.group_names import GROUP_NAME, LIST_GROUP, PLACEMENT_GROUP, store_type_of
from yewstage.holding.identity import Folder
from yewstage.holding.member_changes import GroupView, lost_members, next_change
from yewstage.holding.peer_reports import PRESENCE_TIMEOUT_MS, PeerReports
from yewstage.holding.placement import (
    MAX_CONCURRENT_MOVES,
    ClusterView,
    GroupPlacement,
    LeaderReport,
    PlacementStore,
    PlacementTable,
    next_table,
)
from yewstage.holding.replicated_backend import ReplicatedBackend
from yewstage.log import Event
from yewstage.net.config import Address, address
from yewstage.raft.core import BusyError, DurableState, NotLeaderError, Write, initial_state
from yewstage.raft.disk import Disk
from yewstage.raft.messages import AnyMessage, Member, Members
from yewstage.raft.rate_limiter import CopyRateLimiter
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError
from yewstage.registry.store import RefusedError

log = logging.getLogger(__name__)


class Replicas:
    """All replicas of this process and what it knows of the cluster.

    `send(group, message)` carries messages to other replicas, `failed(reason)` is called when a disk can no
    longer be trusted, `changed()` when the content of the periodic hello has changed.
    """

    def __init__(
        self,
        config: HoldingConfig,
        folder: Folder,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        send: Callable[[str, AnyMessage], None],
        failed: Callable[[str], None],
        changed: Callable[[], None],
        spawn: Callable[[Coroutine], None],
    ) -> None:
        self.config, self._folder, self._loop, self._rng = config, folder, loop, rng
        self._send, self._failed, self._changed, self._spawn = send, failed, changed, spawn
        self.me = Member(folder.id, config.name, config.zone, "", "")
        self.copy_rate_limiter = CopyRateLimiter(config.copy_bytes_per_s)
        self.backends: dict[str, ReplicatedBackend] = {}
        self.table = PlacementTable()
        self.peer_reports = PeerReports()
        self.torn_bytes = self.membership_changes = 0
        self._leader_since: dict[str, float] = {}
        self._bootstrapping: set[str] = set()
        for group in (PLACEMENT_GROUP, LIST_GROUP):
            self.open(group)
        for path in sorted(folder.path.iterdir()):
            if GROUP_NAME.fullmatch(path.name) and path.is_dir():
                self.open(path.name)

    # --- Opening and bootstrap ----------------------------------------------------------------------------

    def open(self, group: str) -> ReplicatedBackend:
        """The replica of a group, loaded from its folder; without state where the folder is empty."""
        if group in self.backends:
            return self.backends[group]
        disk = Disk(self._folder.path / group)
        saved = disk.load()
        self.torn_bytes += disk.torn_bytes
        backend = self.backends[group] = ReplicatedBackend(
            self._group(group, saved),
            disk,
            self.config.service.snapshot_entries,
            self._loop,
            lambda message: self._send(group, message),
            self._failed,
            lambda: self._reported_leader(group),
        )
        return backend

    def _group(self, group: str, saved: DurableState) -> Group:
        config = self.config
        return Group(
            self.me.id,
            config.settings,
            config.service.rules,
            saved,
            self._rng,
            self.now(),
            store=store_type_of(group),
            copy_rate_limiter=self.copy_rate_limiter,
        )

    def start(self) -> None:
        """Start the timers of all open replicas."""
        for backend in self.backends.values():
            backend.start()

    def now(self) -> float:
        """The event loop's time in ms, which all replicas of this process use."""
        return self._loop.time() * 1000

    def handle_message(self, group: str, message: AnyMessage) -> None:
        """Handle a message of a group.

        The first one opens a replica without state, which waits to be bootstrapped or to get a snapshot.
        """
        if GROUP_NAME.fullmatch(group):
            self._open_and_start(group).handle(message)

    def _open_and_start(self, group: str) -> ReplicatedBackend:
        """The replica of a group, opened and started if it is not open yet."""
        if group not in self.backends:
            self.open(group).start()
        return self.backends[group]

    def has_state(self, group: str) -> bool:
        """Whether this disk holds a snapshot or log entries of a group."""
        replica = self.backends[group].group.replica
        return bool(replica.snapshot.index or replica.last_index)

    # --- What other processes report ----------------------------------------------------------------------

    def handle_hello(self, member: Member, leads: tuple[LeaderReport, ...], table: PlacementTable) -> None:
        """Record what a process reports of itself, and adopt its placement table if that is newer."""
        self.peer_reports.record_hello(member, leads, self.now())
        self.adopt_table(table)

    def adopt_table(self, table: PlacementTable) -> None:
        """Adopt the table if its epoch is newer.

        A group whose initial members include this disk is bootstrapped here if it has no state yet.
        """
        if table.epoch > self.table.epoch:
            self.table = table
            self._changed()
        for placed in self.table.placements:
            if placed.group != PLACEMENT_GROUP and any(m.id == self.me.id for m in placed.members):
                self._bootstrap_placed(placed)

    def _bootstrap_placed(self, placed: GroupPlacement) -> None:
        """Bootstrap a group from its placement.

        All initial members start with an identical snapshot, the same that a leader would send them, so the
        order in which they start does not matter.
        """
        group = placed.group
        self._open_and_start(group)
        if self.has_state(group) or group in self._bootstrapping:
            return
        self._bootstrapping.add(group)
        self._spawn(self.bootstrap(group, placed.members, self._initial_state(placed)))

    def _initial_state(self, placed: GroupPlacement) -> bytes:
        if placed.group == LIST_GROUP:
            return initial_list_state(self.config.service.rules, placed.began_at_ms)
        return encode_entry(store_type_of(placed.group)(self.config.service.rules).snapshot())

    async def bootstrap(self, group: str, members: Members, data: bytes) -> None:
        """Bootstrap a group on this disk, which holds no state of it."""
        try:
            saved = initial_state(members, data)
            replica = self.backends[group].group.replica
            if replica.term > saved.term:
                saved.term, saved.vote = replica.term, replica.vote
            write = Write(1, (saved.term, saved.vote), (), saved.snapshot, True)
            await self.backends[group].bootstrap(write, lambda: self._group(group, saved))
        finally:
            self._bootstrapping.discard(group)

    async def bootstrap_cluster(self, table: PlacementTable) -> None:
        """Bootstrap the placement group; its table then bootstraps the other groups."""
        await self.bootstrap(
            PLACEMENT_GROUP,
            table.placement_of(PLACEMENT_GROUP).members,
            encode_entry(PlacementStore(table=table).snapshot()),
        )
        self.adopt_table(table)

    def present_members(self) -> tuple[Member, ...]:
        """Processes heard of within the presence timeout, including this one."""
        return self.peer_reports.present_members(self.me, self.now())

    def leader_address(self, group: str) -> str:
        """The call address of a group's leader; empty if it is not known."""
        backend = self.backends.get(group)
        if backend is not None and backend.group.is_leader():
            return self.me.call
        report = self.peer_reports.leader_reports.get(group)
        return report[1].call if report is not None and self.now() - report[2] <= PRESENCE_TIMEOUT_MS else ""

    def list_replica_addresses(self) -> tuple[Address, ...]:
        """Call addresses of other processes with a replica of the list.

        Empty if none is known, and while this process serves the list itself: it is a member and its copy is
        within the bound on staleness.
        """
        backend, placed = self.backends[LIST_GROUP], self.table.placement_of(LIST_GROUP)
        member = any(m.id == self.me.id for m in backend.group.replica.members)
        if placed is None or member and backend.age_ms() <= self.config.service.max_age_ms:
            return ()
        address_by_name = {m.name: m.call for m in self.present_members() if m.id != self.me.id}
        return tuple(
            address({"call": address_by_name[home]}, "call")
            for home in placed.machine_names
            if home in address_by_name
        )

    def _reported_leader(self, group: str) -> str:
        """The call address of a group's leader as other processes report it; empty on a member.

        A member learns from Raft whether there is a leader. A process that was removed from the group may not
        have received the entry that removed it, so its own knowledge of the leader is out of date.
        """
        placed, members = self.table.placement_of(group), self.backends[group].group.replica.members
        is_home = placed is None or self.me.name in placed.machine_names
        return "" if is_home and any(m.id == self.me.id for m in members) else self.leader_address(group)

    # --- Groups led here ----------------------------------------------------------------------------------

    def led_groups(self) -> list[str]:
        """Groups that this process leads."""
        return [group for group, backend in self.backends.items() if backend.group.is_leader()]

    def leader_reports(self) -> tuple[LeaderReport, ...]:
        """The reports on the groups led here that go out with each hello."""
        return tuple(self._leader_report(group) for group in self.led_groups())

    def _leader_report(self, group: str) -> LeaderReport:
        replica = self.backends[group].group.replica
        lost_ids = lost_members(self.group_view(group), self.config.gone_ms)
        return LeaderReport(group, replica.term, tuple((m.id, m.voter) for m in replica.members), lost_ids)

    def group_view(self, group: str, may_copy: bool = True) -> GroupView:
        """The input of the next membership change of a group, as its leader sees it.

        Silence counts from the start of this leadership at the earliest. `may_copy` is False where no
        further learner may be added now.
        """
        now, replica = self.now(), self.backends[group].group.replica
        since = self._leader_since.get(group, now)
        heard_at = {
            m.id: max(replica.peers[m.id].heard_at, since) for m in replica.members if m.id in replica.peers
        }
        placed = self.table.placement_of(group)
        return GroupView(
            self.me.id,
            replica.members,
            placed.machine_names if placed is not None else (),
            {name: now - at for name, at in heard_at.items()},
            self.present_members(),
            frozenset(name for name, peer in replica.peers.items() if peer.match >= replica.commit_index),
            PRESENCE_TIMEOUT_MS,
            may_copy,
        )

    def cluster_view(self) -> ClusterView:
        """The input of the next placement table, as the leader of the placement group sees the cluster."""
        now = self.now()
        led = {report.group: report for report in self.leader_reports()}
        since = self._leader_since.get(PLACEMENT_GROUP, now)
        config = self.config
        return self.peer_reports.cluster_view(
            self.backends[PLACEMENT_GROUP].store.table,
            led,
            self.me,
            now,
            since,
            config.gone_ms,
            config.copies,
        )

    async def reconcile(self) -> None:
        """Take one step towards the placement table in each group led here.

        Groups with the fewest live voters go first; at most MAX_CONCURRENT_MOVES of them copy to a learner.
        """
        now, led = self.now(), self.led_groups()
        before = set(self._leader_since)
        self._leader_since = {group: self._leader_since.get(group, now) for group in led}
        if set(led) != before:
            self._changed()
        self.adopt_table(self.backends[PLACEMENT_GROUP].store.table)
        order = sorted(led, key=lambda g: (self._live_voters(g), g))
        copying = sum(any(not m.voter for m in self.backends[g].group.replica.members) for g in led)
        for group in order:
            copying += self._change_member(group, copying < MAX_CONCURRENT_MOVES)
        if PLACEMENT_GROUP in led:
            await self._change_placement()

    def _live_voters(self, group: str) -> int:
        """Number of voters of a group led here that were heard of within the presence timeout."""
        replica, now = self.backends[group].group.replica, self.now()
        return sum(
            v == self.me.id or now - replica.peers[v].heard_at < PRESENCE_TIMEOUT_MS for v in replica.voters()
        )

    def missing_copies(self, group: str) -> int:
        """How many live voters a group led here lacks; -1 if this process is not its leader."""
        if not self.backends[group].group.is_leader():
            return -1
        return max(self.config.copies - self._live_voters(group), 0)

    def _change_member(self, group: str, may_copy: bool) -> bool:
        """Start the group's next membership change, if there is one; whether it adds a learner."""
        backend = self.backends[group]
        before = backend.group.replica.members
        members = next_change(self.group_view(group, may_copy))
        if members is None:
            return False
        if all(m.id != self.me.id for m in members):
            backend.transfer_leadership()  # the next leader removes this member
            return False
        try:
            backend.change_members(members)
        except (NotLeaderError, BusyError):
            return False
        self.membership_changes += 1
        self._changed()
        log.info(
            Event(
                "members",
                "membership change of {group} started: {members}",
                group=group,
                members=", ".join(m.id + ("" if m.voter else " (learner)") for m in members),
            )
        )
        return len(members) > len(before)

    async def _change_placement(self) -> None:
        """Propose the next placement table, if a change is due."""
        table = next_table(self.cluster_view())
        if table is None:
            return
        try:
            await self.backends[PLACEMENT_GROUP].write(lambda store, now: store.plan(table))
        except (RefusedError, MisdirectedError, OutcomeUnknownError):
            return  # the next round tries again
        homes = {
            p.group: p.machine_names
            for p in table.placements
            if p.machine_names != self.table.placement_of(p.group).machine_names
        }
        log.info(Event("places", "placement changed: {homes}", homes=str(homes)))

    def close(self) -> None:
        """Close all replicas and their disks."""
        for backend in self.backends.values():
            backend.close()
