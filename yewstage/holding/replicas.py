"""The replicas of one process: opened as needed, begun once, brought to where the table wants them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import Group, encode_entry, first_data
from yewstage.holding.group_names import LIST_GROUP, NAME, PLACEMENT_GROUP, store_of
from yewstage.holding.identity import Folder
from yewstage.holding.member_changes import GroupView, lost, next_change
from yewstage.holding.peer_reports import PRESENCE_TIMEOUT_MS, PeerReports
from yewstage.holding.placement import (
    AT_ONCE,
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
from yewstage.raft.core import BusyError, DurableState, NotLeaderError, Write, first_state
from yewstage.raft.disk import Disk
from yewstage.raft.messages import AnyMessage, Member, Members
from yewstage.raft.rate_limiter import CopyRateLimiter
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError
from yewstage.registry.store import RefusedError

log = logging.getLogger(__name__)


class Replicas:
    """All of them. Groups and their disks are made here; what they say goes out by `send`."""

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
        self.pace = CopyRateLimiter(config.copy_bytes_per_s)
        self.all: dict[str, ReplicatedBackend] = {}
        self.table = PlacementTable()
        self.heard = PeerReports()
        self.cut = self.changes = 0
        self._leads_since: dict[str, float] = {}
        self._beginning: set[str] = set()
        for group in (PLACEMENT_GROUP, LIST_GROUP):
            self.open(group)
        for path in sorted(folder.path.iterdir()):
            if NAME.fullmatch(path.name) and path.is_dir():
                self.open(path.name)

    # --- Which there are ----------------------------------------------------------------------------------

    def open(self, group: str) -> ReplicatedBackend:
        """The replica of a group, from its folder; an empty one where there is nothing yet."""
        if group in self.all:
            return self.all[group]
        disk = Disk(self._folder.path / group)
        saved = disk.load()
        self.cut += disk.cut
        ledger = self.all[group] = ReplicatedBackend(
            self._group(group, saved),
            disk,
            self.config.service.snapshot_entries,
            self._loop,
            lambda message: self._send(group, message),
            self._failed,
            lambda: self._hearsay(group),
        )
        return ledger

    def _group(self, group: str, saved: DurableState) -> Group:
        config = self.config
        return Group(
            self.me.id,
            config.settings,
            config.service.rules,
            saved,
            self._rng,
            self.now(),
            store=store_of(group),
            pace=self.pace,
        )

    def start(self) -> None:
        """Begin to keep time."""
        for ledger in self.all.values():
            ledger.start()

    def now(self) -> float:
        """The time of all replicas here, ms."""
        return self._loop.time() * 1000

    def said(self, group: str, message: AnyMessage) -> None:
        """A message of a group; the first one makes a replica that is empty, and counts for nothing yet."""
        if NAME.fullmatch(group):
            self._running(group).handle(message)

    def _running(self, group: str) -> ReplicatedBackend:
        """The replica of a group, opened and started where it was not yet."""
        if group not in self.all:
            self.open(group).start()
        return self.all[group]

    def begun(self, group: str) -> bool:
        """Whether this disk has ever held something of a group."""
        replica = self.all[group].group.replica
        return bool(replica.snapshot.index or replica.last)

    # --- What others say ----------------------------------------------------------------------------------

    def hear(self, member: Member, leads: tuple[LeaderReport, ...], table: PlacementTable) -> None:
        """What a process says of itself."""
        self.heard.hear(member, leads, self.now())
        self.know(table)

    def know(self, table: PlacementTable) -> None:
        """The newest table counts; where this disk is named, the group is begun here, if it never was."""
        if table.epoch > self.table.epoch:
            self.table = table
            self._changed()
        for placed in self.table.placed:
            if placed.group != PLACEMENT_GROUP and any(m.id == self.me.id for m in placed.members):
                self._begin_placed(placed)

    def _begin_placed(self, placed: GroupPlacement) -> None:
        """All who are named begin with the same, so that it does not matter who does so first or late: it is
        what each would have been told."""
        group = placed.group
        self._running(group)
        if self.begun(group) or group in self._beginning:
            return
        self._beginning.add(group)
        self._spawn(self.begin(group, placed.members, self._first(placed)))

    def _first(self, placed: GroupPlacement) -> bytes:
        if placed.group == LIST_GROUP:
            return first_data(self.config.service.rules, placed.first)
        return encode_entry(store_of(placed.group)(self.config.service.rules).snapshot())

    async def begin(self, group: str, members: Members, data: bytes) -> None:
        """Begin a group on this disk, which holds nothing of it."""
        try:
            saved = first_state(members, data)
            replica = self.all[group].group.replica
            if replica.term > saved.term:
                saved.term, saved.vote = replica.term, replica.vote
            write = Write(1, (saved.term, saved.vote), (), saved.snapshot, True)
            await self.all[group].begin(write, lambda: self._group(group, saved))
        finally:
            self._beginning.discard(group)

    async def begin_cluster(self, table: PlacementTable) -> None:
        """Begin the group that agrees on places; the others follow from what it says."""
        await self.begin(
            PLACEMENT_GROUP,
            table.of(PLACEMENT_GROUP).members,
            encode_entry(PlacementStore(table=table).snapshot()),
        )
        self.know(table)

    def present(self) -> tuple[Member, ...]:
        """Processes that are there, this one too."""
        return self.heard.present_members(self.me, self.now())

    def leader_of(self, group: str) -> str:
        """Where a group's leader is called; empty: not known."""
        ledger = self.all.get(group)
        if ledger is not None and ledger.group.is_leader():
            return self.me.call
        told = self.heard.reports.get(group)
        return told[1].call if told is not None and self.now() - told[2] <= PRESENCE_TIMEOUT_MS else ""

    def holders_of_list(self) -> tuple[Address, ...]:
        """Where others are called that hold the list; none while this process tells it itself."""
        ledger, placed = self.all[LIST_GROUP], self.table.of(LIST_GROUP)
        member = any(m.id == self.me.id for m in ledger.group.replica.members)
        if placed is None or member and ledger.age_ms() <= self.config.service.most_age_ms:
            return ()
        calls = {m.name: m.call for m in self.present() if m.id != self.me.id}
        return tuple(address({"call": calls[home]}, "call") for home in placed.machine_names if home in calls)

    def _hearsay(self, group: str) -> str:
        """Where a group's leader is called, as others say. Who is a member knows by consensus whether there
        is one; who was one, and has been taken out, may not have heard of it."""
        placed, members = self.table.of(group), self.all[group].group.replica.members
        here = placed is None or self.me.name in placed.machine_names
        return "" if here and any(m.id == self.me.id for m in members) else self.leader_of(group)

    # --- What is led here ---------------------------------------------------------------------------------

    def led(self) -> list[str]:
        """Groups that this process leads."""
        return [group for group, ledger in self.all.items() if ledger.group.is_leader()]

    def reports(self) -> tuple[LeaderReport, ...]:
        """What is told of them."""
        return tuple(self._report(group) for group in self.led())

    def _report(self, group: str) -> LeaderReport:
        replica = self.all[group].group.replica
        gone = lost(self.view(group), self.config.gone_ms)
        return LeaderReport(group, replica.term, tuple((m.id, m.voter) for m in replica.members), gone)

    def view(self, group: str, may_copy: bool = True) -> GroupView:
        """What this process sees of a group, as its leader."""
        now, replica = self.now(), self.all[group].group.replica
        since = self._leads_since.get(group, now)
        heard = {
            m.id: max(replica.peers[m.id].heard_at, since) for m in replica.members if m.id in replica.peers
        }
        placed = self.table.of(group)
        return GroupView(
            self.me.id,
            replica.members,
            placed.machine_names if placed is not None else (),
            {name: now - at for name, at in heard.items()},
            self.present(),
            frozenset(name for name, peer in replica.peers.items() if peer.match >= replica.commit_index),
            PRESENCE_TIMEOUT_MS,
            may_copy,
        )

    def sight(self) -> ClusterView:
        """What this process sees of all groups, as leader of the one that agrees on places."""
        now = self.now()
        led = {report.group: report for report in self.reports()}
        since = self._leads_since.get(PLACEMENT_GROUP, now)
        config = self.config
        return self.heard.sight(
            self.all[PLACEMENT_GROUP].store.table, led, self.me, now, since, config.gone_ms, config.copies
        )

    async def look(self) -> None:
        """Bring the groups that are led here one step nearer to where they are wanted."""
        now, led = self.now(), self.led()
        before = set(self._leads_since)
        self._leads_since = {group: self._leads_since.get(group, now) for group in led}
        if set(led) != before:
            self._changed()
        self.know(self.all[PLACEMENT_GROUP].store.table)
        order = sorted(led, key=lambda g: (self._copies(g), g))
        copying = sum(any(not m.voter for m in self.all[g].group.replica.members) for g in led)
        for group in order:
            copying += self._step(group, copying < AT_ONCE)
        if PLACEMENT_GROUP in led:
            await self._replace()

    def _copies(self, group: str) -> int:
        """Voters of a group led here that are heard of: the fewer, the more endangered it is."""
        replica, now = self.all[group].group.replica, self.now()
        return sum(
            v == self.me.id or now - replica.peers[v].heard_at < PRESENCE_TIMEOUT_MS for v in replica.voters()
        )

    def short(self, group: str) -> int:
        """Copies that are missing, as far as a leader hears; -1: not known here."""
        if not self.all[group].group.is_leader():
            return -1
        return max(self.config.copies - self._copies(group), 0)

    def _step(self, group: str, may_copy: bool) -> bool:
        """Change a member, if one is to be changed; whether a copy was begun."""
        ledger = self.all[group]
        before = ledger.group.replica.members
        members = next_change(self.view(group, may_copy))
        if members is None:
            return False
        if all(m.id != self.me.id for m in members):
            ledger.hand_over()  # whoever leads next takes us out
            return False
        try:
            ledger.change(members)
        except (NotLeaderError, BusyError):
            return False
        self.changes += 1
        self._changed()
        log.info(
            Event(
                "members",
                "members of {group} are changed to {members}",
                group=group,
                members=", ".join(m.id + ("" if m.voter else " (learner)") for m in members),
            )
        )
        return len(members) > len(before)

    async def _replace(self) -> None:
        """Agree on the next place, if one is to be changed."""
        table = next_table(self.sight())
        if table is None:
            return
        try:
            await self.all[PLACEMENT_GROUP].write(lambda store, now: store.plan(table))
        except (RefusedError, MisdirectedError, OutcomeUnknownError):
            return  # it is looked at again
        homes = {
            p.group: p.machine_names
            for p in table.placed
            if p.machine_names != self.table.of(p.group).machine_names
        }
        log.info(Event("places", "places are changed: {homes}", homes=str(homes)))

    def close(self) -> None:
        """Nothing more is written."""
        for ledger in self.all.values():
            ledger.close()
