"""One replica of a Raft group together with the store that it replicates.

No sockets, files or clocks: the caller passes the time and carries out the output. The leader plans a write
against a speculative store, to which all proposed entries are applied already, and answers it once its entry
is committed. The store that serves reads changes only with committed entries.

Deadlines are kept by the leader alone. A new leader restarts each of them at its full length, and a renewal
is answered only after leadership was confirmed later than the renewal arrived. Otherwise a holder could rely
on a deadline that the next leader does not know of.
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
    """A deterministic state machine: it changes only by the entries that are applied to it."""

    def apply(self, entry: Entry, now: float) -> None:
        """Apply an entry; `now` is the local time in ms, from which deadlines in the entry count."""

    def snapshot(self) -> Entry:
        """The whole state, without local times."""

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> ReplicatedStore:
        """A store from a snapshot; all that expires gets its full duration, counted from `now`."""


WritePlan = Callable[[ReplicatedStore, float], Entry | None]  # (store, its time in ms) -> entry


class LeadershipLostError(Exception):
    """Leadership was lost before a write was committed: whether it takes effect is not known here.

    The caller may repeat it.
    """


@dataclass(slots=True)
class Completion:
    """The result of a write or confirmation, by its ticket; `error` is None where it succeeded."""

    ticket: int
    error: Exception | None = None


@dataclass(slots=True)
class GroupOutput:
    """What the caller has to do: send messages, make writes durable, answer those who wait."""

    messages: list[AnyMessage] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    completions: list[Completion] = field(default_factory=list)
    changed: bool = False  # whether committed entries changed `store`


@dataclass(slots=True)
class _Pending:
    """A ticket whose answer waits until entries up to an index are applied.

    A confirmation waits in addition until leadership is confirmed.
    """

    ticket: int
    index: int  # must be applied before the answer
    term: int
    error: Exception | None = None
    confirmed: bool = False


class Group:
    """A Raft replica, its store, and the tickets of writes and confirmations in progress."""

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
        copy_rate_limiter: CopyRateLimiter | None = None,
    ) -> None:
        self.rules, self._store_type = rules, store
        self.replica = replica(me, settings, saved, rng, now, copy_rate_limiter)
        self.store: ReplicatedStore = store(rules)
        # All proposed entries are applied to it; None unless this replica is the leader.
        self.speculative_store: ReplicatedStore | None = None
        self._planned_in_term = 0  # proposals of an earlier term may have been overwritten
        self.applied_index = 0
        self.entries_since_snapshot = 0
        self._pending_writes: deque[_Pending] = deque()  # in order of index
        self._pending_confirms: dict[int, _Pending] = {}
        self._last_ticket = 0

    # --- Requests -----------------------------------------------------------------------------------------

    def write(self, now: float, plan: WritePlan) -> int:
        """Propose a write and return the ticket of its result.

        The plan runs at once. A plan that makes no entry or raises RefusedError is answered only after all
        entries that it was made on are committed and leadership is confirmed, since an uncommitted entry may
        still be lost. Raises NotLeaderError and BusyError.
        """
        store = self._require_leadership(now)
        entry, refused = None, None
        try:
            entry = plan(store, now)
        except RefusedError as error:
            refused = error
        if entry is None:
            return self._confirm(now, refused)
        index = self.replica.propose(now, encode_entry(entry))
        self._last_ticket += 1
        self._pending_writes.append(_Pending(self._last_ticket, index, self.replica.term))
        store.apply(entry, now)
        return self._last_ticket

    def confirm(self, now: float) -> int:
        """Confirm leadership with a majority (a read index) and return the ticket.

        A result without an error means that this replica was leader after the call and that all entries
        proposed before it are committed. Raises NotLeaderError.
        """
        self._require_leadership(now)
        return self._confirm(now, None)

    def _confirm(self, now: float, refused: Exception | None) -> int:
        self._last_ticket += 1
        self._pending_confirms[self._last_ticket] = _Pending(
            self._last_ticket, self.replica.last_index, self.replica.term, refused
        )
        self.replica.read(now, self._last_ticket)
        return self._last_ticket

    def _require_leadership(self, now: float) -> ReplicatedStore:
        """The speculative store; NotLeaderError where this replica is not the leader."""
        self.replica.tick(now)
        if not self.is_leader():
            leader = self.replica.leader if self.replica.role != LEADER else ""
            raise NotLeaderError(leader)
        return self.speculative_store

    def is_leader(self) -> bool:
        """Whether this replica is the leader and accepts writes."""
        return (
            self.speculative_store is not None
            and self.replica.is_leading()
            and self._planned_in_term == self.replica.term
        )

    # --- Events -------------------------------------------------------------------------------------------

    def handle(self, now: float, message: AnyMessage) -> None:
        """Handle a message from another replica."""
        self.replica.handle(now, message)

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self.replica.tick(now)

    def durable(self, now: float, number: int) -> None:
        """All writes up to `number` are on the disk."""
        self.replica.on_durable(now, number)

    def take(self, now: float) -> GroupOutput:
        """Apply committed entries and return what the caller has to do."""
        result = GroupOutput()
        out = self.replica.take_output(now)
        result.messages, result.writes = out.messages, out.writes
        if out.install is not None:
            self._install_snapshot(out, result, now)
        for entry in out.committed:
            self.applied_index = entry.index
            self.entries_since_snapshot += 1
            if entry.kind == DATA:
                self.store.apply(decode_entry(entry.data), now)
                result.changed = True
        self._complete_tickets(out, result)
        self._update_leadership(now, result)
        return result

    def _install_snapshot(self, out: Output, result: GroupOutput, now: float) -> None:
        self.store = self._store_type.restored(self.rules, decode_entry(out.install.data), now)
        self.applied_index, self.entries_since_snapshot = out.install.index, 0
        result.changed = True

    def _complete_tickets(self, out: Output, result: GroupOutput) -> None:
        while self._pending_writes and self._pending_writes[0].index <= self.applied_index:
            pending = self._pending_writes.popleft()
            # Another leader may have put its own entry at this index. The entry is the one proposed here only
            # if its term is that of the proposal.
            is_ours = self.replica.term_at(pending.index) == pending.term
            result.completions.append(Completion(pending.ticket, None if is_ours else LeadershipLostError()))
        for ticket in out.lost_reads:
            if self._pending_confirms.pop(ticket, None) is not None:
                result.completions.append(Completion(ticket, LeadershipLostError()))
        for ticket, index in out.reads:
            pending = self._pending_confirms.get(ticket)
            if pending is not None:
                pending.index, pending.confirmed = max(pending.index, index), True
        for pending in [
            w for w in self._pending_confirms.values() if w.confirmed and w.index <= self.applied_index
        ]:
            del self._pending_confirms[pending.ticket]
            result.completions.append(Completion(pending.ticket, pending.error))

    def _update_leadership(self, now: float, result: GroupOutput) -> None:
        if self.is_leader():
            return
        if self.speculative_store is not None or self._pending_confirms or self._pending_writes:
            self.speculative_store = None
            result.completions += [
                Completion(w.ticket, LeadershipLostError())
                for w in (*self._pending_writes, *self._pending_confirms.values())
            ]
            self._pending_writes.clear()
            self._pending_confirms.clear()
        if self.replica.is_leading():
            self.speculative_store = self._store_type.restored(self.rules, self.store.snapshot(), now)
            self._planned_in_term = self.replica.term

    # --- Snapshots ----------------------------------------------------------------------------------------

    def compact(self, now: float) -> None:
        """Replace all applied entries of the log by a snapshot of the store."""
        if self.applied_index > self.replica.snapshot.index:
            self.replica.compact(self.applied_index, encode_entry(self.store.snapshot()))
            self.entries_since_snapshot = 0


def initial_list_state(rules: Rules, wall_ms: float) -> bytes:
    """The initial state of the list group.

    Its revision starts at `wall_ms` (Unix time in ms), above any revision that an earlier service can have
    handed out.
    """
    return encode_entry(Store(rules, int(wall_ms)).snapshot())
