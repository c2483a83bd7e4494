"""One replica of a group together with its store: what is written, by whom it is known to be durable.

Pure: no sockets, files or clocks. A write is planned by the leader against the store as it will be once all
that is under way has come about, and answered when it has. The store that is read changes only by what is
committed. Deadlines belong to the leader alone: a new one gives everything its whole time anew, and a
renewal is answered only when leadership was confirmed after it came. So no holder can believe in a time that
another leader does not know of.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from yewstage.raft.core import LEADER, DurableState, NotLeaderError, Output, Replica, Settings, Write
from yewstage.raft.messages import DATA, AnyMessage
from yewstage.raft.rate_limiter import CopyRateLimiter
from yewstage.registry.store import Entry, RefusedError, Rules, Store

encode_entry = msgspec.msgpack.Encoder().encode
decode_entry = msgspec.msgpack.Decoder(dict[str, object]).decode


class ReplicatedStore(Protocol):
    """A store that consensus keeps the same: entries in, nothing else."""

    def apply(self, entry: Entry, now: float) -> None:
        """Bring an entry about, now that it is durable."""

    def snapshot(self) -> Entry:
        """All that entries have brought about."""

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> ReplicatedStore:
        """A store from a snapshot; all that ends with time has its whole time."""


WritePlan = Callable[[ReplicatedStore, float], Entry | None]  # against which store, at what time on its clock


class UnsureError(Exception):
    """Leadership was lost under a write: whether it comes about is not known here. It may be repeated."""


@dataclass(slots=True)
class Done:
    """What came of a ticket: nothing wrong, or why not."""

    ticket: int
    error: Exception | None = None


@dataclass(slots=True)
class GroupOutput:
    """What the caller has to do."""

    messages: list[AnyMessage] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    done: list[Done] = field(default_factory=list)
    changed: bool = False  # the store that is read


@dataclass(slots=True)
class _Waiting:
    """A ticket that waits for an entry, or for leadership to be confirmed with all up to an index applied."""

    ticket: int
    index: int  # that has to be applied
    term: int
    error: Exception | None = None
    confirmed: bool = False


class Group:
    """A replica, its store, and the tickets of those who wait."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        rules: Rules,
        saved: DurableState,
        rng: random.Random,
        now: float,
        replica: type[Replica] = Replica,
        store: type[ReplicatedStore] = Store,
        pace: CopyRateLimiter | None = None,
    ) -> None:
        self.rules, self._kind = rules, store
        self.replica = replica(me, settings, saved, rng, now, pace)
        self.store: ReplicatedStore = store(rules)
        self.planned: ReplicatedStore | None = None  # as it will be; only while we lead
        self._planned_term = 0  # in which: what was planned in an earlier one may have been replaced
        self.applied = 0
        self.applied_since = 0  # entries since the last snapshot
        self._writes: deque[_Waiting] = deque()  # by index
        self._confirms: dict[int, _Waiting] = {}
        self._tickets = 0

    # --- What is asked ------------------------------------------------------------------------------------

    def write(self, now: float, plan: WritePlan) -> int:
        """Begin a write; the ticket under which its result comes.

        What it would change, or why it is refused, is planned at once. A refusal, too, is answered only when
        all that it rests on is durable and leadership is confirmed. Raises NotLeaderError and BusyError.
        """
        store = self._leading(now)
        entry, refused = None, None
        try:
            entry = plan(store, now)
        except RefusedError as error:
            refused = error
        if entry is None:
            return self._confirm(now, refused)
        index = self.replica.propose(now, encode_entry(entry))
        self._tickets += 1
        self._writes.append(_Waiting(self._tickets, index, self.replica.term))
        store.apply(entry, now)
        return self._tickets

    def confirm(self, now: float) -> int:
        """Ask whether we lead, from now on; the ticket. Done without an error: yes, and all that was planned
        so far is durable."""
        self._leading(now)
        return self._confirm(now, None)

    def _confirm(self, now: float, refused: Exception | None) -> int:
        self._tickets += 1
        self._confirms[self._tickets] = _Waiting(self._tickets, self.replica.last, self.replica.term, refused)
        self.replica.read(now, self._tickets)
        return self._tickets

    def _leading(self, now: float) -> ReplicatedStore:
        """The store to plan against; NotLeaderError where another leads."""
        self.replica.tick(now)
        if not self.is_leader():
            leader = self.replica.leader if self.replica.role != LEADER else ""
            raise NotLeaderError(leader)
        return self.planned

    def is_leader(self) -> bool:
        """Whether writes are taken here."""
        return self.planned is not None and self.replica.leading() and self._planned_term == self.replica.term

    # --- What comes in ------------------------------------------------------------------------------------

    def handle(self, now: float, message: AnyMessage) -> None:
        """A message from another replica."""
        self.replica.handle(now, message)

    def tick(self, now: float) -> None:
        """Time has passed."""
        self.replica.tick(now)

    def durable(self, now: float, number: int) -> None:
        """Writes are on the disk."""
        self.replica.durable(now, number)

    def take(self, now: float) -> GroupOutput:
        """Bring about what is committed, and say what there is to do."""
        result = GroupOutput()
        out = self.replica.take(now)
        result.messages, result.writes = out.messages, out.writes
        if out.install is not None:
            self._install(out, result, now)
        for entry in out.committed:
            self.applied = entry.index
            self.applied_since += 1
            if entry.kind == DATA:
                self.store.apply(decode_entry(entry.data), now)
                result.changed = True
        self._answer(out, result)
        self._lead_or_not(now, result)
        return result

    def _install(self, out: Output, result: GroupOutput, now: float) -> None:
        self.store = self._kind.restored(self.rules, decode_entry(out.install.data), now)
        self.applied, self.applied_since = out.install.index, 0
        result.changed = True

    def _answer(self, out: Output, result: GroupOutput) -> None:
        while self._writes and self._writes[0].index <= self.applied:
            waiting = self._writes.popleft()
            # The entry there is ours if nobody led in between: then its term is that of the write.
            known = self.replica.term_at(waiting.index) == waiting.term
            result.done.append(Done(waiting.ticket, None if known else UnsureError()))
        for ticket in out.lost_reads:
            if self._confirms.pop(ticket, None) is not None:
                result.done.append(Done(ticket, UnsureError()))
        for ticket, index in out.reads:
            waiting = self._confirms.get(ticket)
            if waiting is not None:
                waiting.index, waiting.confirmed = max(waiting.index, index), True
        for waiting in [w for w in self._confirms.values() if w.confirmed and w.index <= self.applied]:
            del self._confirms[waiting.ticket]
            result.done.append(Done(waiting.ticket, waiting.error))

    def _lead_or_not(self, now: float, result: GroupOutput) -> None:
        if self.is_leader():
            return
        if self.planned is not None or self._confirms or self._writes:
            self.planned = None
            result.done += [Done(w.ticket, UnsureError()) for w in (*self._writes, *self._confirms.values())]
            self._writes.clear()
            self._confirms.clear()
        if self.replica.leading():
            self.planned = self._kind.restored(self.rules, self.store.snapshot(), now)
            self._planned_term = self.replica.term

    # --- Snapshots ----------------------------------------------------------------------------------------

    def compact(self, now: float) -> None:
        """Put the state in place of the entries that made it."""
        if self.applied > self.replica.snapshot.index:
            self.replica.compact(self.applied, encode_entry(self.store.snapshot()))
            self.applied_since = 0


def first_data(rules: Rules, wall_ms: float) -> bytes:
    """The state that a new group begins with: its revisions are above all that an earlier service can have
    told."""
    return encode_entry(Store(rules, int(wall_ms)).snapshot())
