"""One replica of one consensus group, as a state machine without I/O.

The caller passes in messages, the current time and the numbers of the writes that are durable, and takes out
messages, writes and committed entries (`Output`). The replica opens no sockets or files and reads no clock.
Times are milliseconds of this machine's monotonic clock; they are never compared with the clock of another
machine. The caller carries out the writes in order and reports them with `on_durable`. Messages may be
delivered in any order, late, more than once or not at all.

A message that promises something of this replica (a vote, an acknowledgement) is released only after the
write that it depends on is durable. Entries may be sent before the leader has them on its own disk; the
leader counts itself towards their majority only once they are durable there.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from dataclasses import dataclass, field

import msgspec

from yewstage.raft.messages import (
    DATA,
    MEMBERS,
    NOOP,
    AnyMessage,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    Member,
    Members,
    PreVote,
    PreVoteReply,
    Snapshot,
    TimeoutNow,
    Vote,
    VoteReply,
    decode_members,
    differ_in_at_most_one_member,
    encode,
)
from yewstage.raft.rate_limiter import CopyRateLimiter

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"  # a candidate requests pre-votes first
EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")
NEVER = float("-inf")


class NotLeaderError(Exception):
    """Raised for an operation that only the leader can carry out. `leader` is the id of the known leader, or
    empty."""

    def __init__(self, leader: str, why: str = "not the leader") -> None:
        super().__init__(why)
        self.leader = leader


class BusyError(Exception):
    """Raised when too much is in progress or a membership change is pending. Nothing was started."""


@dataclass(slots=True, frozen=True)
class Settings:
    """Timing and limits of a replica. Sizes are in bytes, times in milliseconds."""

    heartbeat_ms: float = 80.0
    election_ms: float = 500.0  # minimum time without contact from a leader before an election
    batch_bytes: int = 256 * 1024  # of entries in one message, and of one part of a snapshot
    window_bytes: int = 1024 * 1024  # of entries sent to one replica and not yet acknowledged
    window_messages: int = 16
    max_uncommitted_bytes: int = 8 * 1024 * 1024  # of entries that are not committed, on the leader
    # retained behind a snapshot, so that a replica slightly behind needs no snapshot
    retained_entries: int = 1000


@dataclass(slots=True)
class DurableState:
    """The state of a replica that is stored on disk."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Write:
    """One write to make durable. An entry replaces the stored entry at its index and all later ones."""

    number: int
    hard_state: tuple[int, str] | None = None  # term and vote
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # entries up to its index may be deleted
    reset: bool = False  # the snapshot was received from a leader: all stored entries are dropped


@dataclass(slots=True)
class Output:
    """Everything produced since the last call of `take_output`."""

    messages: list[AnyMessage] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    install: Snapshot | None = None  # replaces the state machine's state; `committed` continues after it
    committed: list[Entry] = field(default_factory=list)
    # ticket and the index that must be applied before the read
    reads: list[tuple[int, int]] = field(default_factory=list)
    # tickets of reads for which leadership could not be confirmed
    lost_reads: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """What the leader knows about another replica."""

    next: int
    match: int = 0
    # Heartbeat round in which `match` last rose; answers to later rounds were sent after it.
    matched_round: int = 0
    # times that this replica no longer had entries that it had acknowledged as durable
    durability_losses: int = 0
    is_probing: bool = True  # the last matching index is unknown: only heartbeats are sent
    inflight: deque[tuple[int, int]] = field(default_factory=deque)  # last index and bytes of each message
    inflight_bytes: int = 0
    confirmed_round: int = 0
    heard_at: float = NEVER
    clock_ms: float = -1.0
    pending_snapshot: Snapshot | None = None  # the snapshot that is being sent
    snapshot_offset: int = 0
    part_sent_at: float = NEVER  # when the last part of the snapshot was sent
    # Entries up to this index existed before the replica joined; they are sent under the copy rate limit.
    copy_until_index: int = 0
    awaits_rate_limit: bool = False  # sending is paused by the copy rate limit

    def reset(self, after: int) -> None:
        """Forget everything in flight and continue after index `after`."""
        self.next, self.is_probing, self.inflight_bytes = after + 1, True, 0
        self.inflight.clear()
        self.pending_snapshot, self.awaits_rate_limit = None, False


class Replica:
    """A replica: follower, candidate or leader of its group."""

    def __init__(
        self,
        own_id: str,
        settings: Settings,
        saved: DurableState,
        rng: random.Random,
        now: float,
        copy_limiter: CopyRateLimiter | None = None,
    ) -> None:
        self.own_id, self.settings, self._rng = own_id, settings, rng
        self._copy_limiter = copy_limiter or CopyRateLimiter()
        self.term, self.vote = saved.term, saved.vote
        self.snapshot = saved.snapshot
        self.entries = [entry for entry in saved.entries if entry.index > saved.snapshot.index]
        self.membership_history: list[tuple[int, Members]] = [(saved.snapshot.index, saved.snapshot.members)]
        for entry in self.entries:
            if entry.kind == MEMBERS:
                self.membership_history.append((entry.index, decode_members(entry.data)))
        self.role, self.leader, self.leader_zone = FOLLOWER, "", ""
        self.commit_index = self._delivered_index = saved.snapshot.index
        self.out = Output()
        if saved.snapshot.index:
            self.out.install = saved.snapshot
        # Pending writes as [number, last index up to which the log is as written], and the messages that wait
        # for them.
        self._pending_writes: deque[list[int]] = deque()
        self._last_write_number = self._durable_write_number = 0
        self._durable_index = self.last_index
        self._deferred_messages: deque[tuple[int, AnyMessage]] = deque()
        # Time of the last contact from the leader. A replica that has just started waits a full timeout
        # before it campaigns.
        self._leader_heard_at = now
        self._fresh_as_of = NEVER  # own time as of which all committed entries are known here
        self._incoming_snapshot: tuple[tuple[int, int, int, int], bytearray] | None = None
        self.elections = 0
        self.durability_losses = 0  # times that a peer no longer had entries that it had acknowledged
        # State of a candidate or leader.
        self._votes_granted: set[str] = set()
        self._campaign_started_at = now
        self._is_real_election = False  # whether votes are requested, not pre-votes
        self.peers: dict[str, Progress] = {}
        self._heartbeat_round = 0
        self._unconfirmed_rounds: deque[tuple[int, float]] = deque()  # round and when it was sent
        self.confirmed_at = NEVER
        self._heartbeat_at = now
        # Ticket and the round that confirms it; 0: no round sent yet.
        self._pending_reads: deque[tuple[int, int]] = deque()
        self._uncommitted_bytes = 0
        self._leadership_transfer: tuple[str, float] | None = None  # target and deadline
        self._term_start_index = 0  # index of the first entry of the own term as leader
        self._election_due_at = now + self._election_timeout_ms()

    # --- Reading ------------------------------------------------------------------------------------------

    @property
    def first_index(self) -> int:
        """Index of the first entry in the log."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log, or of the snapshot if the log is empty."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def members(self) -> Members:
        """The members in effect: those of the newest membership entry in the log, committed or not."""
        return self.membership_history[-1][1]

    def voters(self) -> list[str]:
        """Ids of the members that count towards a majority."""
        return [m.id for m in self.members if m.voter]

    def member(self, name: str) -> Member | None:
        """The member with this id, or None."""
        return next((m for m in self.members if m.id == name), None)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None if it was compacted away or does not exist yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.first_index
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def is_leading(self) -> bool:
        """Whether this replica leads and knows all entries committed in earlier terms."""
        return self.role == LEADER and self.commit_index >= self._term_start_index

    def age_ms(self, now: float) -> float:
        """Upper bound, by this machine's clock, on how long there may have been committed entries not known
        here.

        A leader knows all committed entries up to the time when its leadership was last confirmed. It tells
        followers how long ago that was and echoes their clocks, so that a delayed message does not appear
        fresher than it is.
        """
        if self.is_leading():
            return now - self.confirmed_at
        return now - self._fresh_as_of

    def next_tick_at(self) -> float:
        """The latest time at which `tick` must be called."""
        if self.role != LEADER:
            return self._election_due_at if self.own_id in self.voters() else float("inf")
        due_at = min(
            self._heartbeat_at + self.settings.heartbeat_ms, self.confirmed_at + self.settings.election_ms
        )
        return (
            min(due_at, self._copy_limiter.free_at)
            if any(peer.awaits_rate_limit for peer in self.peers.values())
            else due_at
        )

    def take_output(self, now: float) -> Output:
        """Return and clear the output; the caller carries it out."""
        if self._pending_reads and self._pending_reads[-1][1] == 0 and self.is_leading():
            self._broadcast_heartbeat(now)
        out, self.out = self.out, Output()
        return out

    # --- Time and durability ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Advance the timers: elections, heartbeats and copying that waits for the rate limit."""
        if self.role == LEADER:
            if now - self.confirmed_at > self.settings.election_ms and not self._is_only_voter():
                # Check-quorum. It also makes a replica that was paused stop leading before it does anything
                # else.
                self._become_follower(self.term, "", now)
            elif now >= self._heartbeat_at + self.settings.heartbeat_ms:
                if self._leadership_transfer is not None and now >= self._leadership_transfer[1]:
                    self._leadership_transfer = None
                self._broadcast_heartbeat(now)
            elif self._copy_limiter.may_send(now):
                self._resume_copying(now)
        elif now >= self._election_due_at:
            if self.own_id in self.voters():
                self._campaign(now, is_real_election=False)
            else:
                self._election_due_at = now + self._election_timeout_ms()

    def _resume_copying(self, now: float) -> None:
        for name in [name for name, peer in self.peers.items() if peer.awaits_rate_limit]:
            if self.peers[name].pending_snapshot is not None:
                self._send_snapshot_part(name, now)
            else:
                self._replicate_to(name, now)

    def on_durable(self, now: float, number: int) -> None:
        """Report that all writes up to `number` are on disk."""
        self._durable_write_number = max(self._durable_write_number, number)
        while self._pending_writes and self._pending_writes[0][0] <= number:
            self._durable_index = self._pending_writes.popleft()[1]
        while self._deferred_messages and self._deferred_messages[0][0] <= number:
            self._send_now(self._deferred_messages.popleft()[1])
        if self.role == CANDIDATE and self._is_real_election:
            self._count_votes(now)
        elif self.role == LEADER:
            self._maybe_commit()

    def _queue_write(
        self,
        hard_state: bool = False,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
        reset: bool = False,
    ) -> None:
        self._last_write_number += 1
        self._pending_writes.append([self._last_write_number, self.last_index])
        self.out.writes.append(
            Write(
                self._last_write_number,
                (self.term, self.vote) if hard_state else None,
                entries,
                snapshot,
                reset,
            )
        )

    def _send_now(self, message: AnyMessage) -> None:
        """Send a message that depends on no pending write."""
        self.out.messages.append(message)

    def _send_when_durable(self, message: AnyMessage) -> None:
        """Send a message once all writes so far are durable."""
        if self._durable_write_number >= self._last_write_number:
            self._send_now(message)
        else:
            self._deferred_messages.append((self._last_write_number, message))

    def _election_timeout_ms(self) -> float:
        """A randomized timeout without leader contact after which this replica campaigns. Replicas in the
        leader's zone get a longer one: if a whole zone is lost the leader is lost with it, and other replicas
        of that zone would only compete with those that can win."""
        base_ms = self.settings.election_ms
        zones = {m.zone for m in self.members if m.voter}
        own_member = self.member(self.own_id)
        in_leader_zone = own_member is not None and len(zones) > 1 and own_member.zone == self.leader_zone
        return base_ms * (1 + self._rng.random() + in_leader_zone)

    # --- Elections ----------------------------------------------------------------------------------------

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower, of this leader if one is known."""
        if term > self.term:
            self.term, self.vote = term, ""
            self._queue_write(hard_state=True)
        if self.role == LEADER:
            self.out.lost_reads += [ticket for ticket, _ in self._pending_reads]
            self._pending_reads.clear()
            self.peers.clear()
            self._unconfirmed_rounds.clear()
            self._leadership_transfer, self._uncommitted_bytes = None, 0
        if self.role != FOLLOWER or leader != self.leader:
            self._election_due_at = now + self._election_timeout_ms()
        self.role, self.leader = FOLLOWER, leader
        if leader:
            self._on_leader_contact(now)

    def _on_leader_contact(self, now: float) -> None:
        """Restart the election timeout: the leader was heard from."""
        self._leader_heard_at = now
        member = self.member(self.leader)
        self.leader_zone = member.zone if member is not None else ""
        self._election_due_at = now + self._election_timeout_ms()

    def _has_live_leader(self, now: float) -> bool:
        """Whether a leader was heard from within the election timeout; it must not be disrupted."""
        if self.role == LEADER:
            return True  # check-quorum ends it
        return bool(self.leader) and now - self._leader_heard_at < self.settings.election_ms

    def _campaign(self, now: float, is_real_election: bool, is_leadership_transfer: bool = False) -> None:
        """Request pre-votes, or votes in a new term, from all voters."""
        self.role, self.leader, self._is_real_election = CANDIDATE, "", is_real_election
        self._votes_granted = set()
        self._campaign_started_at, self._election_due_at = now, now + self._election_timeout_ms()
        term = self.term + 1
        if is_real_election:
            self.elections += 1
            self.term, self.vote = term, self.own_id
            self._queue_write(hard_state=True)
        last_entry = self.last_index, self.term_at(self.last_index)
        for voter in self.voters():
            if voter == self.own_id:
                continue
            if is_real_election:
                self._send_when_durable(Vote(self.own_id, voter, term, *last_entry, is_leadership_transfer))
            else:
                self._send_now(PreVote(self.own_id, voter, term, *last_entry))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        """Proceed if a majority granted its vote. The own vote counts only once it is durable."""
        voters = self.voters()
        granted = self._votes_granted & set(voters)
        if self.own_id in voters and (
            not self._is_real_election or self._durable_write_number >= self._last_write_number
        ):
            granted.add(self.own_id)
        if len(granted) * 2 <= len(voters):
            return
        if self._is_real_election:
            self._become_leader(now)
        else:
            self._campaign(now, is_real_election=True)

    def _become_leader(self, now: float) -> None:
        self.role, self.leader, self.leader_zone = LEADER, self.own_id, ""
        self.peers = {m.id: self._new_progress(m) for m in self.members if m.id != self.own_id}
        self._unconfirmed_rounds.clear()
        self._pending_reads.clear()
        self._leadership_transfer = None
        self.confirmed_at = self._campaign_started_at  # the votes were granted after that
        self._uncommitted_bytes = sum(entry.size() for entry in self._entries_from(self.commit_index + 1))
        self._term_start_index = self.last_index + 1
        self._append_entry(NOOP, b"")
        self._broadcast_heartbeat(now)

    def _is_log_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a candidate's log contains every entry that may be committed according to this log."""
        return (last_term, last_index) >= (self.term_at(self.last_index), self.last_index)

    def _on_pre_vote(self, message: PreVote, now: float) -> None:
        granted = (
            message.term > self.term
            and self._is_log_up_to_date(message.last_index, message.last_term)
            and not self._has_live_leader(now)
        )
        self._send_when_durable(
            PreVoteReply(self.own_id, message.src, message.term if granted else self.term, granted)
        )

    def _on_pre_vote_reply(self, message: PreVoteReply, now: float) -> None:
        if message.granted:
            if self.role == CANDIDATE and not self._is_real_election and message.term == self.term + 1:
                self._votes_granted.add(message.src)
                self._count_votes(now)
        elif message.term > self.term:
            self._become_follower(message.term, "", now)

    def _on_vote(self, message: Vote, now: float) -> None:
        granted = (
            message.term == self.term
            and self.vote in ("", message.src)
            and self.role != LEADER
            and self._is_log_up_to_date(message.last_index, message.last_term)
        )
        if granted and not self.vote:
            self.vote = message.src
            self._queue_write(hard_state=True)
            self._election_due_at = now + self._election_timeout_ms()
        self._send_when_durable(VoteReply(self.own_id, message.src, self.term, granted))

    def _on_vote_reply(self, message: VoteReply, now: float) -> None:
        if (
            message.granted
            and message.term == self.term
            and self.role == CANDIDATE
            and self._is_real_election
        ):
            self._votes_granted.add(message.src)
            self._count_votes(now)

    def _on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        if message.term == self.term and self.role == FOLLOWER and self.own_id in self.voters():
            self._campaign(now, is_real_election=True, is_leadership_transfer=True)

    # --- Messages -----------------------------------------------------------------------------------------

    def handle(self, now: float, message: AnyMessage) -> None:
        """Process one message. Messages for another disk that had the same machine name are ignored."""
        if self.role == LEADER:
            # Only as leader: one that was paused stops leading first. A follower processes the messages that
            # have already arrived before its election timeout takes effect.
            self.tick(now)
        if message.dst != self.own_id or message.src == self.own_id:
            return
        if isinstance(message, PreVote):
            self._on_pre_vote(message, now)
        elif isinstance(message, PreVoteReply):
            self._on_pre_vote_reply(message, now)
        elif (
            isinstance(message, Vote)
            and message.term > self.term
            and not message.is_leadership_transfer
            and self._has_live_leader(now)
        ):
            pass  # a replica that does not hear the leader must not depose it
        elif message.term < self.term:
            # Tells a deposed leader the newer term.
            if isinstance(message, AppendEntries | InstallSnapshot):
                self._send_when_durable(
                    AppendEntriesReply(self.own_id, message.src, self.term, False, 0, 0, 0)
                )
        else:
            if message.term > self.term:
                self._become_follower(message.term, "", now)
            self._dispatch(message, now)

    def _dispatch(self, message: AnyMessage, now: float) -> None:
        if isinstance(message, AppendEntries | InstallSnapshot):
            if self.role == LEADER:
                return  # a term has one leader; a message that claims otherwise is ignored
            if self.role != FOLLOWER or self.leader != message.src:
                self._become_follower(message.term, message.src, now)
            else:
                self._on_leader_contact(now)
        match message:
            case AppendEntries():
                self._on_append_entries(message, now)
            case AppendEntriesReply():
                self._on_append_entries_reply(message, now)
            case InstallSnapshot():
                self._on_install_snapshot(message, now)
            case InstallSnapshotReply():
                self._on_install_snapshot_reply(message, now)
            case Vote():
                self._on_vote(message, now)
            case VoteReply():
                self._on_vote_reply(message, now)
            case TimeoutNow():
                self._on_timeout_now(message, now)

    # --- The log ------------------------------------------------------------------------------------------

    def _entries_from(self, index: int) -> list[Entry]:
        return self.entries[max(index - self.first_index, 0) :] if self.entries else []

    def _append_entry(self, kind: int, data: bytes) -> Entry:
        """Append an entry as leader."""
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._uncommitted_bytes += entry.size()
        self._extend_log((entry,))
        return entry

    def _extend_log(self, entries: tuple[Entry, ...]) -> None:
        self.entries += entries
        for entry in entries:
            if entry.kind == MEMBERS:
                self.membership_history.append((entry.index, decode_members(entry.data)))
        self._queue_write(entries=entries)
        if self.role == LEADER:
            self._update_peers()

    def _update_peers(self) -> None:
        """As leader, keep a Progress for exactly the other members."""
        others = [m for m in self.members if m.id != self.own_id]
        self.peers = {m.id: self.peers.get(m.id) or self._new_progress(m) for m in others}

    def _new_progress(self, member: Member) -> Progress:
        """For a learner, the entries that exist when it joins are sent under the copy rate limit; later ones
        are not."""
        return Progress(self.last_index + 1, copy_until_index=0 if member.voter else self.last_index)

    def _truncate_from(self, index: int) -> None:
        """Remove the entries from an index on: the leader has different entries there."""
        self.entries = self.entries[: index - self.first_index]
        while self.membership_history[-1][0] >= index:
            self.membership_history.pop()
        self._durable_index = min(self._durable_index, index - 1)
        for write in self._pending_writes:
            write[1] = min(write[1], index - 1)

    def _on_append_entries(self, message: AppendEntries, now: float) -> None:
        prev, entries = message.prev_index, message.entries
        if prev < self.commit_index:  # everything up to the commit index matches the leader's log
            entries = entries[self.commit_index - prev :]
            prev = min(self.commit_index, message.prev_index + len(message.entries))
        elif self.term_at(prev) != message.prev_term:
            self._send_when_durable(
                AppendEntriesReply(
                    self.own_id,
                    message.src,
                    self.term,
                    False,
                    self._match_hint(message),
                    message.prev_index,
                    message.round,
                    now,
                )
            )
            return
        end = prev + len(entries)
        for at, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                if entry.index <= self.last_index:
                    self._truncate_from(entry.index)
                self._extend_log(entries[at:])
                break
        self._commit_to(min(message.commit_index, end))
        self._update_freshness(message, end)
        self._send_when_durable(
            AppendEntriesReply(
                self.own_id, message.src, self.term, True, end, message.prev_index, message.round, now
            )
        )

    def _match_hint(self, message: AppendEntries) -> int:
        """The highest index that may match, below the mismatch. All entries of the conflicting term are
        skipped."""
        index = min(message.prev_index - 1, self.last_index)
        conflicting_term = self.term_at(message.prev_index)
        while (
            index > self.commit_index
            and conflicting_term is not None
            and self.term_at(index) == conflicting_term
        ):
            index -= 1
        return max(index, self.commit_index)

    def _update_freshness(self, message: AppendEntries, end: int) -> None:
        """Update the time as of which all committed entries are known, from the echo of the own clock."""
        if message.echoed_clock_ms >= 0 and message.commit_index <= end:
            self._fresh_as_of = max(self._fresh_as_of, message.echoed_clock_ms - message.unconfirmed_ms)

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        for entry in self._entries_from(self._delivered_index + 1):
            if entry.index > index:
                break
            self._delivered_index = entry.index
            self.out.committed.append(entry)
            if self.role == LEADER:
                self._uncommitted_bytes -= entry.size()

    # --- Leading ------------------------------------------------------------------------------------------

    def _is_only_voter(self) -> bool:
        return self.voters() == [self.own_id]

    def _broadcast_heartbeat(self, now: float) -> None:
        """Send a heartbeat to all peers; the answers confirm leadership."""
        self._heartbeat_at = now
        self._heartbeat_round += 1
        self._unconfirmed_rounds.append((self._heartbeat_round, now))
        self._pending_reads = deque(
            (ticket, number or self._heartbeat_round) for ticket, number in self._pending_reads
        )
        for name in self.peers:
            self._replicate_to(name, now, is_heartbeat=True)
        self._confirm_rounds()

    def _replicate_to(self, name: str, now: float, is_heartbeat: bool = False) -> None:
        """Send a replica the entries that it lacks, as far as its window allows; a heartbeat if
        `is_heartbeat` is set and nothing else is sent."""
        peer = self.peers[name]
        if peer.pending_snapshot is None and self.term_at(peer.next - 1) is None:
            peer.reset(peer.match)
            peer.pending_snapshot, peer.snapshot_offset, peer.part_sent_at = self.snapshot, 0, NEVER
        if peer.pending_snapshot is not None:
            if now - peer.part_sent_at >= self.settings.election_ms / 2:  # the part or its answer was lost
                self._send_snapshot_part(name, now)
            elif is_heartbeat:  # the follower must hear that there is a leader
                self._send_append(name, (), now, self.commit_index)
            return
        window = self.settings
        peer.awaits_rate_limit = False
        while (
            not peer.is_probing
            and peer.next <= self.last_index
            and peer.inflight_bytes < window.window_bytes
            and len(peer.inflight) < window.window_messages
        ):
            copies = peer.next <= peer.copy_until_index
            peer.awaits_rate_limit = copies and not self._copy_limiter.may_send(now)
            if peer.awaits_rate_limit:
                break
            entries = self._next_batch(peer.next)
            self._send_append(name, entries, now)
            size = sum(entry.size() for entry in entries)
            if copies:
                self._copy_limiter.record(now, size)
            peer.next += len(entries)
            peer.inflight.append((peer.next - 1, size))
            peer.inflight_bytes += size
            is_heartbeat = False
        if is_heartbeat:
            self._send_append(name, (), now)

    def _next_batch(self, index: int) -> tuple[Entry, ...]:
        batch, size, offset = [], 0, index - self.first_index
        while offset < len(self.entries) and (
            not batch or size + self.entries[offset].size() <= self.settings.batch_bytes
        ):
            batch.append(self.entries[offset])
            size += batch[-1].size()
            offset += 1
        return tuple(batch)

    def _send_append(
        self, name: str, entries: tuple[Entry, ...], now: float, prev: int | None = None
    ) -> None:
        peer = self.peers[name]
        prev = peer.next - 1 if prev is None else prev
        knows_all_committed = self.is_leading()
        self._send_now(
            AppendEntries(
                self.own_id,
                name,
                self.term,
                prev,
                self.term_at(prev),
                entries,
                self.commit_index,
                self._heartbeat_round,
                peer.clock_ms if knows_all_committed else -1.0,
                now - self.confirmed_at,
            )
        )

    def _on_append_entries_reply(self, message: AppendEntriesReply, now: float) -> None:
        peer = self.peers.get(message.src)
        if self.role != LEADER or peer is None:
            return
        self._on_peer_contact(peer, message.round, now)
        peer.clock_ms = max(peer.clock_ms, message.clock_ms)
        if message.ok:
            self._on_acknowledged(message.src, peer, message.match, now)
        elif (
            peer.pending_snapshot is None
            and message.prev_index > peer.match
            and (not peer.is_probing or message.prev_index == peer.next - 1)
        ):
            peer.reset(max(message.match, peer.match))
            self._replicate_to(message.src, now, is_heartbeat=True)
        elif message.prev_index <= peer.match and message.round > peer.matched_round:
            self._on_durability_loss(message, peer, now)

    def _on_durability_loss(self, message: AppendEntriesReply, peer: Progress, now: float) -> None:
        """Handle a replica that lacks entries which it acknowledged as durable: its disk lost them.

        The answer belongs to a round that was sent after the acknowledgement arrived, so it is not merely an
        old message. The replica counts only for what it has now and is sent the rest again. Entries that were
        committed with its acknowledgement may be on a minority of the disks until then; no protocol can
        prevent that for a disk that loses synced data. The loss is counted so that operators replace the
        disk.
        """
        peer.match, peer.matched_round = min(peer.match, message.match), self._heartbeat_round
        peer.durability_losses += 1
        self.durability_losses += 1
        peer.reset(peer.match)
        self._replicate_to(message.src, now, is_heartbeat=True)

    def _on_acknowledged(self, name: str, peer: Progress, match: int, now: float) -> None:
        if match > self.last_index:
            return  # acknowledges more than was sent
        if match > peer.match:
            peer.match, peer.matched_round = match, self._heartbeat_round
        peer.next = max(peer.next, match + 1)
        while peer.inflight and peer.inflight[0][0] <= match:
            peer.inflight_bytes -= peer.inflight.popleft()[1]
        if peer.pending_snapshot is not None and peer.match >= peer.pending_snapshot.index:
            peer.pending_snapshot, peer.awaits_rate_limit = None, False
        if peer.pending_snapshot is None:
            peer.is_probing = False
        self._maybe_commit()
        if name in self.peers:
            self._replicate_to(name, now)
        self._send_timeout_now(name, now)

    def _on_peer_contact(self, peer: Progress, number: int, now: float) -> None:
        peer.heard_at = now
        if number > peer.confirmed_round:
            peer.confirmed_round = number
            self._confirm_rounds()

    def _quorum(self, values: dict[str, int], own: int) -> int:
        """The highest value that a majority of the voters has reached."""
        reached = sorted((own if v == self.own_id else values[v] for v in self.voters()), reverse=True)
        return reached[len(reached) // 2] if reached else 0

    def _confirm_rounds(self) -> None:
        """Confirm leadership as of the last round that a majority answered, and release the reads that waited
        for it."""
        number = self._quorum(
            {name: peer.confirmed_round for name, peer in self.peers.items()}, self._heartbeat_round
        )
        while self._unconfirmed_rounds and self._unconfirmed_rounds[0][0] <= number:
            self.confirmed_at = max(self.confirmed_at, self._unconfirmed_rounds.popleft()[1])
        while self._pending_reads and 0 < self._pending_reads[0][1] <= number:
            self.out.reads.append((self._pending_reads.popleft()[0], self.commit_index))

    def _maybe_commit(self) -> None:
        """Commit what is durable on a majority.

        Only an entry of the current term is committed by counting; entries of earlier terms are committed
        with it. An entry of an earlier term that is on a majority could still be replaced (Raft paper,
        5.4.2).
        """
        index = self._quorum({name: peer.match for name, peer in self.peers.items()}, self._durable_index)
        if index > self.commit_index and self.term_at(index) == self.term:
            self._commit_to(index)
            if self.own_id not in self.voters() and self.membership_history[-1][0] <= self.commit_index:
                # this replica was removed, and the removal is committed: it stops leading
                self.role = FOLLOWER
                self.out.lost_reads += [ticket for ticket, _ in self._pending_reads]
                self._pending_reads.clear()
                self.peers.clear()
                self.leader = ""

    # --- What the leader is asked -------------------------------------------------------------------------

    def propose(self, now: float, data: bytes) -> int:
        """Start to replicate data; returns the index of its entry. The data is committed if the entry that is
        committed at this index has the current term. Raises NotLeaderError, BusyError."""
        self._require_leadership(now)
        if self._uncommitted_bytes >= self.settings.max_uncommitted_bytes:
            raise BusyError("too many writes are under way")
        entry = self._append_entry(DATA, data)
        for name in self.peers:
            self._replicate_to(name, now)
        self._maybe_commit()
        return entry.index

    def read(self, now: float, ticket: int) -> None:
        """Request a linearizable read (read index). The ticket appears in `Output.reads` once leadership is
        confirmed by a later round, or in `Output.lost_reads`. Raises NotLeaderError."""
        self._require_leadership(now)
        self._pending_reads.append((ticket, 0))

    def change_members(self, now: float, members: Members) -> int:
        """Start to add, remove or promote one member; returns the index of the membership entry. Raises
        NotLeaderError, or BusyError if a change is pending or the new list differs in more than one member.
        """
        self._require_leadership(now)
        if self.membership_history[-1][0] > self.commit_index:
            raise BusyError("another membership change is pending")
        if not differ_in_at_most_one_member(self.members, members):
            raise BusyError("only one member can be changed at a time")
        if not any(m.voter for m in members):
            raise BusyError("at least one voter must remain")
        entry = self._append_entry(MEMBERS, encode(members))
        for name in self.peers:
            self._replicate_to(name, now)
        self._maybe_commit()
        return entry.index

    def transfer_leadership(self, now: float, name: str) -> None:
        """Transfer leadership to another voter, for example before a planned stop. Proposals are refused
        until the transfer is complete or the election timeout has passed. Raises NotLeaderError, BusyError.
        """
        self._require_leadership(now)
        if name not in self.peers or name not in self.voters():
            raise BusyError(f"{name} is not another voter")
        self._leadership_transfer = name, now + self.settings.election_ms
        self._send_timeout_now(name, now)

    def _send_timeout_now(self, name: str, now: float) -> None:
        if (
            self.role == LEADER
            and self._leadership_transfer is not None
            and self._leadership_transfer[0] == name
            and name in self.peers
            and self.peers[name].match == self.last_index
        ):
            self._send_when_durable(TimeoutNow(self.own_id, name, self.term))

    def _require_leadership(self, now: float) -> None:
        self.tick(now)  # a replica that was paused notices first that it may no longer lead
        if not self.is_leading():
            leader = self.leader if self.role == FOLLOWER else ""
            raise NotLeaderError(
                leader,
                "leader, but has not committed an entry of its term yet"
                if self.role == LEADER
                else "not the leader",
            )
        if self._leadership_transfer is not None:
            raise NotLeaderError(self._leadership_transfer[0], "leadership transfer in progress")

    # --- Snapshots ----------------------------------------------------------------------------------------

    def compact(self, index: int, data: bytes) -> None:
        """Store the state after a committed index as a snapshot and drop all but the last `retained_entries`
        entries up to it. Raises ValueError if the index is not between the snapshot's and the last committed
        one."""
        if not self.snapshot.index < index <= self._delivered_index:
            raise ValueError(f"index {index} is not between the snapshot index and the last committed index")
        members = next(members for at, members in reversed(self.membership_history) if at <= index)
        term = self.term_at(index)
        self.entries = self._entries_from(index + 1 - self.settings.retained_entries)
        self.snapshot = Snapshot(index, term, members, data, zlib.crc32(data))
        self.membership_history = [(at, m) for at, m in self.membership_history if at > index]
        self.membership_history.insert(0, (index, members))
        self._queue_write(snapshot=self.snapshot)

    def _send_snapshot_part(self, name: str, now: float) -> None:
        peer = self.peers[name]
        snapshot, end = peer.pending_snapshot, peer.snapshot_offset + self.settings.batch_bytes
        peer.awaits_rate_limit = not self._copy_limiter.may_send(now)
        if peer.awaits_rate_limit:
            return
        self._copy_limiter.record(now, len(snapshot.data[peer.snapshot_offset : end]))
        peer.part_sent_at = now
        self._send_now(
            InstallSnapshot(
                self.own_id,
                name,
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                len(snapshot.data),
                snapshot.checksum,
                peer.snapshot_offset,
                snapshot.data[peer.snapshot_offset : end],
                self._heartbeat_round,
            )
        )

    def _on_install_snapshot(self, message: InstallSnapshot, now: float) -> None:
        if message.index <= self.commit_index:
            self._send_when_durable(
                AppendEntriesReply(
                    self.own_id,
                    message.src,
                    self.term,
                    True,
                    self.commit_index,
                    message.index,
                    message.round,
                    now,
                )
            )
            return
        key = message.index, message.snapshot_term, message.total_bytes, message.checksum
        if self._incoming_snapshot is None or self._incoming_snapshot[0] != key:
            self._incoming_snapshot = key, bytearray()
        received = self._incoming_snapshot[1]
        if message.offset == len(received):
            received += message.data
        if len(received) < message.total_bytes:
            self._send_when_durable(
                InstallSnapshotReply(
                    self.own_id, message.src, self.term, message.index, len(received), message.round
                )
            )
            return
        data, self._incoming_snapshot = bytes(received), None
        if zlib.crc32(data) != message.checksum:
            self._send_when_durable(
                InstallSnapshotReply(self.own_id, message.src, self.term, message.index, 0, message.round)
            )
            return
        self._restore_snapshot(
            Snapshot(message.index, message.snapshot_term, message.members, data, message.checksum)
        )
        self._send_when_durable(
            AppendEntriesReply(
                self.own_id, message.src, self.term, True, message.index, message.index, message.round, now
            )
        )

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log with a leader's snapshot, which is committed and ahead of this replica. Later
        entries are kept if the log matches the snapshot."""
        is_consistent = self.term_at(snapshot.index) == snapshot.term
        later_entries = self._entries_from(snapshot.index + 1) if is_consistent else []
        later_members = (
            [(at, m) for at, m in self.membership_history if at > snapshot.index] if is_consistent else []
        )
        self._durable_index = (
            max(min(self._durable_index, self.last_index), snapshot.index)
            if is_consistent
            else snapshot.index
        )
        for write in self._pending_writes:
            write[1] = max(write[1], snapshot.index) if is_consistent else snapshot.index
        self.snapshot, self.entries = snapshot, later_entries
        self.membership_history = [(snapshot.index, snapshot.members), *later_members]
        self.commit_index = self._delivered_index = snapshot.index
        self.out.install, self.out.committed = snapshot, []
        self._queue_write(entries=tuple(later_entries), snapshot=snapshot, reset=True)

    def _on_install_snapshot_reply(self, message: InstallSnapshotReply, now: float) -> None:
        peer = self.peers.get(message.src)
        if self.role != LEADER or peer is None:
            return
        self._on_peer_contact(peer, message.round, now)
        if (
            peer.pending_snapshot is not None
            and peer.pending_snapshot.index == message.index
            and message.offset <= len(peer.pending_snapshot.data)
            and message.offset != peer.snapshot_offset
        ):
            peer.snapshot_offset = message.offset
            self._send_snapshot_part(message.src, now)


def initial_state(members: Members, data: bytes) -> DurableState:
    """The initial state of every disk of a new group. It is identical on all of them, so they agree on the
    members."""
    return DurableState(1, "", Snapshot(1, 1, members, data, zlib.crc32(data)))


def parse_message(data: bytes) -> AnyMessage:
    """Decode a message received from the network; raises ValueError if it is malformed."""
    try:
        return _message_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


_message_decoder = msgspec.msgpack.Decoder(AnyMessage)
