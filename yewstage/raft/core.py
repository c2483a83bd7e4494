"""One replica of one group: messages, time and what is durable go in; messages, writes and timers come out.

Pure: no sockets, files or clocks. Times are milliseconds on this machine's own clock, which never runs
backwards; no other machine's clock is compared with it. The caller carries out the writes in their order,
tells `durable`, and delivers messages in any order, late, twice or not at all.

What a message promises of this replica (a vote, an acknowledgement) leaves only once the write that it rests
on is durable. Entries may go out before the leader has them on its own disk: it counts for their majority
only from then on.
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
    Append,
    AppendReply,
    Entry,
    Install,
    InstallReply,
    Member,
    Members,
    PreVote,
    PreVoteReply,
    Snapshot,
    StandNow,
    Vote,
    VoteReply,
    decode_members,
    encode,
    one_apart,
)
from yewstage.raft.rate_limiter import CopyRateLimiter

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"  # a candidate asks for pre-votes first
EMPTY = Snapshot(0, 0, (), b"")
NEVER = float("-inf")


class NotLeaderError(Exception):
    """Only the leader can do that. `leader` is the id of the one that we know; empty: none."""

    def __init__(self, leader: str, why: str = "not the leader") -> None:
        super().__init__(why)
        self.leader = leader


class BusyError(Exception):
    """Not now: too much is under way, or a change of members is. Nothing was begun."""


@dataclass(slots=True, frozen=True)
class Settings:
    """What a replica goes by. Bytes and ms."""

    heartbeat_ms: float = 80.0
    election_ms: float = 500.0  # silence of a leader after which replicas stand, at the least
    batch_bytes: int = 256 * 1024  # of entries in one message, and of a snapshot's part
    window_bytes: int = 1024 * 1024  # of entries sent to one replica and not acknowledged
    window_messages: int = 16
    proposed_bytes: int = 8 * 1024 * 1024  # of entries that are not committed, in the leader
    kept_entries: int = 1000  # behind a snapshot, for replicas that are a little late


@dataclass(slots=True)
class DurableState:
    """What a disk holds of a replica."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = EMPTY
    entries: list[Entry] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Write:
    """What is to be durable next. An entry takes the place of all that stand at its index or behind it."""

    number: int
    hard: tuple[int, str] | None = None  # term, vote
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # entries up to its index may go
    reset: bool = False  # with a snapshot from a leader: all entries go


@dataclass(slots=True)
class Output:
    """What came out since the last time."""

    messages: list[AnyMessage] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    install: Snapshot | None = None  # the state is this one now; `committed` goes on from it
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # ticket, index that has to be applied first
    lost_reads: list[int] = field(default_factory=list)  # leadership could not be confirmed


@dataclass(slots=True)
class Progress:
    """What the leader knows of another replica."""

    next: int
    match: int = 0
    matched_in: int = 0  # our round when that was heard: what we ask in a later one is read after it was said
    durability_losses: int = 0  # how often it has lost what it had said to be durable
    probing: bool = True  # where its log meets ours is not known: signs of life only
    inflight: deque[tuple[int, int]] = field(default_factory=deque)  # last index, bytes
    inflight_bytes: int = 0
    round: int = 0
    heard_at: float = NEVER
    clock: float = -1.0
    snapshot: Snapshot | None = None  # it is being sent
    offset: int = 0
    part_at: float = NEVER  # when the last part left
    copy_to: int = 0  # entries up to here are a copy of what was there before it came, and go by the pace
    waits: bool = False  # for the pace

    def reset(self, after: int) -> None:
        """Nothing is under way; what comes next stands behind an index."""
        self.next, self.probing, self.inflight_bytes = after + 1, True, 0
        self.inflight.clear()
        self.snapshot, self.waits = None, False


class Replica:
    """One replica."""

    def __init__(
        self,
        own_id: str,
        settings: Settings,
        saved: DurableState,
        rng: random.Random,
        now: float,
        pace: CopyRateLimiter | None = None,
    ) -> None:
        self.own_id, self.settings, self._rng = own_id, settings, rng
        self._pace = pace or CopyRateLimiter()
        self.term, self.vote = saved.term, saved.vote
        self.snapshot = saved.snapshot
        self.entries = [entry for entry in saved.entries if entry.index > saved.snapshot.index]
        self.members_at: list[tuple[int, Members]] = [(saved.snapshot.index, saved.snapshot.members)]
        for entry in self.entries:
            if entry.kind == MEMBERS:
                self.members_at.append((entry.index, decode_members(entry.data)))
        self.role, self.leader, self.leader_zone = FOLLOWER, "", ""
        self.commit_index = self._emitted = saved.snapshot.index
        self.out = Output()
        if saved.snapshot.index:
            self.out.install = saved.snapshot
        # Writes under way: number, and up to which index the log is as it says. Messages that wait for them.
        self._writes: deque[list[int]] = deque()
        self._numbers = self._done = 0
        self._stable = self.last
        self._held: deque[tuple[int, AnyMessage]] = deque()
        self._heard_at = now  # of the leader. A fresh start knows nothing: it waits before it stands
        self._fresh_at = NEVER  # our own time as of which we know all that was committed
        self._part: tuple[tuple[int, int, int, int], bytearray] | None = None
        self.elections = 0
        self.durability_losses = 0  # times that a peer of ours has lost what it had said to be durable
        # As a candidate or leader.
        self._granted: set[str] = set()
        self._asked_at = now
        self._real = False  # votes are asked for, not pre-votes
        self.peers: dict[str, Progress] = {}
        self._round = 0
        self._rounds: deque[tuple[int, float]] = deque()  # when each was sent
        self.confirmed_at = NEVER
        self._beat_at = now
        self._reads: deque[tuple[int, int]] = deque()  # ticket, the round that confirms it; 0: not asked yet
        self._proposed_bytes = 0
        self._handing: tuple[str, float] | None = None  # to whom, until when
        self._own_term = 0  # index of the first entry of our term as leader
        self._stand_at = now + self._patience()

    # --- Reading ------------------------------------------------------------------------------------------

    @property
    def first(self) -> int:
        """Index of the first entry that is kept."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def members(self) -> Members:
        """The members in force: those of the newest list in the log, committed or not."""
        return self.members_at[-1][1]

    def voters(self) -> list[str]:
        """Ids of those who count."""
        return [m.id for m in self.members if m.voter]

    def member(self, name: str) -> Member | None:
        """A member by its id."""
        return next((m for m in self.members if m.id == name), None)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if it is not known any more or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.first
        return self.entries[at].term if 0 <= at < len(self.entries) else None

    def leading(self) -> bool:
        """Whether we lead and know all that was committed before us."""
        return self.role == LEADER and self.commit_index >= self._own_term

    def age_ms(self, now: float) -> float:
        """For how long there may be committed writes that are not applied here: a bound, by our own clock.

        A leader knows all that was committed until its leadership was last confirmed; it tells the others
        how long ago that was, and echoes their clocks, so that no message is younger than it claims.
        """
        if self.leading():
            return now - self.confirmed_at
        return now - self._fresh_at

    def next_at(self) -> float:
        """When `tick` is to be called at the latest."""
        if self.role != LEADER:
            return self._stand_at if self.own_id in self.voters() else float("inf")
        at = min(self._beat_at + self.settings.heartbeat_ms, self.confirmed_at + self.settings.election_ms)
        return min(at, self._pace.free_at) if any(peer.waits for peer in self.peers.values()) else at

    def take(self, now: float) -> Output:
        """What came out; the caller carries it out."""
        if self._reads and self._reads[-1][1] == 0 and self.leading():
            self._beat(now)
        out, self.out = self.out, Output()
        return out

    # --- Time and durability ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Time has passed."""
        if self.role == LEADER:
            if now - self.confirmed_at > self.settings.election_ms and not self._alone():
                # Check-quorum. Also what one that was paused does first: it leads no more before it acts.
                self._follow(self.term, "", now)
            elif now >= self._beat_at + self.settings.heartbeat_ms:
                if self._handing is not None and now >= self._handing[1]:
                    self._handing = None
                self._beat(now)
            elif self._pace.may(now):
                self._go_on_copying(now)
        elif now >= self._stand_at:
            if self.own_id in self.voters():
                self._ask(now, real=False)
            else:
                self._stand_at = now + self._patience()

    def _go_on_copying(self, now: float) -> None:
        for name in [name for name, peer in self.peers.items() if peer.waits]:
            if self.peers[name].snapshot is not None:
                self._part_to(name, now)
            else:
                self._tell(name, now)

    def durable(self, now: float, number: int) -> None:
        """All writes up to this number are on the disk."""
        self._done = max(self._done, number)
        while self._writes and self._writes[0][0] <= number:
            self._stable = self._writes.popleft()[1]
        while self._held and self._held[0][0] <= number:
            self._emit(self._held.popleft()[1])
        if self.role == CANDIDATE and self._real:
            self._count(now)
        elif self.role == LEADER:
            self._may_commit()

    def _write(
        self,
        hard: bool = False,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
        reset: bool = False,
    ) -> None:
        self._numbers += 1
        self._writes.append([self._numbers, self.last])
        self.out.writes.append(
            Write(self._numbers, (self.term, self.vote) if hard else None, entries, snapshot, reset)
        )

    def _emit(self, message: AnyMessage) -> None:
        """Send what needs nothing durable any more."""
        self.out.messages.append(message)

    def _send(self, message: AnyMessage) -> None:
        """Send once all that is written so far is durable."""
        if self._done >= self._numbers:
            self._emit(message)
        else:
            self._held.append((self._numbers, message))

    def _patience(self) -> float:
        """How long a leader's silence lasts before we stand. Those of the leader's own zone stand last: a
        zone that is lost whole took its leader along, and its others must not be in the way."""
        span = self.settings.election_ms
        zones = {m.zone for m in self.members if m.voter}
        mine = self.member(self.own_id)
        shares = mine is not None and len(zones) > 1 and mine.zone == self.leader_zone
        return span * (1 + self._rng.random() + shares)

    # --- Elections ----------------------------------------------------------------------------------------

    def _follow(self, term: int, leader: str, now: float) -> None:
        """Be a follower, of this leader if one is known."""
        if term > self.term:
            self.term, self.vote = term, ""
            self._write(hard=True)
        if self.role == LEADER:
            self.out.lost_reads += [ticket for ticket, _ in self._reads]
            self._reads.clear()
            self.peers.clear()
            self._rounds.clear()
            self._handing, self._proposed_bytes = None, 0
        if self.role != FOLLOWER or leader != self.leader:
            self._stand_at = now + self._patience()
        self.role, self.leader = FOLLOWER, leader
        if leader:
            self._hear(now)

    def _hear(self, now: float) -> None:
        """The leader lives."""
        self._heard_at = now
        member = self.member(self.leader)
        self.leader_zone = member.zone if member is not None else ""
        self._stand_at = now + self._patience()

    def _hears_leader(self, now: float) -> bool:
        """Whether there is a leader that must not be disturbed."""
        if self.role == LEADER:
            return True  # check-quorum ends it
        return bool(self.leader) and now - self._heard_at < self.settings.election_ms

    def _ask(self, now: float, real: bool, handed: bool = False) -> None:
        """Ask all voters: whether they would vote for us, then to do so."""
        self.role, self.leader, self._real = CANDIDATE, "", real
        self._granted = set()
        self._asked_at, self._stand_at = now, now + self._patience()
        term = self.term + 1
        if real:
            self.elections += 1
            self.term, self.vote = term, self.own_id
            self._write(hard=True)
        log = self.last, self.term_at(self.last)
        for voter in self.voters():
            if voter == self.own_id:
                continue
            if real:
                self._send(Vote(self.own_id, voter, term, *log, handed))
            else:
                self._emit(PreVote(self.own_id, voter, term, *log))
        self._count(now)

    def _count(self, now: float) -> None:
        """Whether enough have said yes; ourselves only once our own vote is durable."""
        voters = self.voters()
        granted = self._granted & set(voters)
        if self.own_id in voters and (not self._real or self._done >= self._numbers):
            granted.add(self.own_id)
        if len(granted) * 2 <= len(voters):
            return
        if self._real:
            self._lead(now)
        else:
            self._ask(now, real=True)

    def _lead(self, now: float) -> None:
        self.role, self.leader, self.leader_zone = LEADER, self.own_id, ""
        self.peers = {m.id: self._new_peer(m) for m in self.members if m.id != self.own_id}
        self._rounds.clear()
        self._reads.clear()
        self._handing = None
        self.confirmed_at = self._asked_at  # who voted did so after that
        self._proposed_bytes = sum(entry.size() for entry in self._from(self.commit_index + 1))
        self._own_term = self.last + 1
        self._append(NOOP, b"")
        self._beat(now)

    def _current(self, last_index: int, last_term: int) -> bool:
        """Whether a candidate's log holds all that ours may have committed."""
        return (last_term, last_index) >= (self.term_at(self.last), self.last)

    def _on_pre_vote(self, m: PreVote, now: float) -> None:
        granted = (
            m.term > self.term and self._current(m.last_index, m.last_term) and not self._hears_leader(now)
        )
        self._send(PreVoteReply(self.own_id, m.src, m.term if granted else self.term, granted))

    def _on_pre_vote_reply(self, m: PreVoteReply, now: float) -> None:
        if m.granted:
            if self.role == CANDIDATE and not self._real and m.term == self.term + 1:
                self._granted.add(m.src)
                self._count(now)
        elif m.term > self.term:
            self._follow(m.term, "", now)

    def _on_vote(self, m: Vote, now: float) -> None:
        granted = (
            m.term == self.term
            and self.vote in ("", m.src)
            and self.role != LEADER
            and self._current(m.last_index, m.last_term)
        )
        if granted and not self.vote:
            self.vote = m.src
            self._write(hard=True)
            self._stand_at = now + self._patience()
        self._send(VoteReply(self.own_id, m.src, self.term, granted))

    def _on_vote_reply(self, m: VoteReply, now: float) -> None:
        if m.granted and m.term == self.term and self.role == CANDIDATE and self._real:
            self._granted.add(m.src)
            self._count(now)

    def _on_stand_now(self, m: StandNow, now: float) -> None:
        if m.term == self.term and self.role == FOLLOWER and self.own_id in self.voters():
            self._ask(now, real=True, handed=True)

    # --- Messages -----------------------------------------------------------------------------------------

    def handle(self, now: float, m: AnyMessage) -> None:
        """One message, whenever it comes. What is for another disk under our name is passed over."""
        if self.role == LEADER:
            self.tick(
                now
            )  # one that was paused leads no more; a follower hears what has come before it stands
        if m.dst != self.own_id or m.src == self.own_id:
            return
        if isinstance(m, PreVote):
            self._on_pre_vote(m, now)
        elif isinstance(m, PreVoteReply):
            self._on_pre_vote_reply(m, now)
        elif isinstance(m, Vote) and m.term > self.term and not m.handed and self._hears_leader(now):
            pass  # a replica that hears less than we do must not end what works
        elif m.term < self.term:
            if isinstance(m, Append | Install):  # a leader that does not know it is none any more
                self._send(AppendReply(self.own_id, m.src, self.term, False, 0, 0, 0))
        else:
            if m.term > self.term:
                self._follow(m.term, "", now)
            self._by_kind(m, now)

    def _by_kind(self, m: AnyMessage, now: float) -> None:
        if isinstance(m, Append | Install):
            if self.role == LEADER:
                return  # no term has two; a replica that says so is not to be believed
            if self.role != FOLLOWER or self.leader != m.src:
                self._follow(m.term, m.src, now)
            else:
                self._hear(now)
        match m:
            case Append():
                self._on_append(m, now)
            case AppendReply():
                self._on_append_reply(m, now)
            case Install():
                self._on_install(m, now)
            case InstallReply():
                self._on_install_reply(m, now)
            case Vote():
                self._on_vote(m, now)
            case VoteReply():
                self._on_vote_reply(m, now)
            case StandNow():
                self._on_stand_now(m, now)

    # --- The log ------------------------------------------------------------------------------------------

    def _from(self, index: int) -> list[Entry]:
        return self.entries[max(index - self.first, 0) :] if self.entries else []

    def _append(self, kind: int, data: bytes) -> Entry:
        """As leader: an entry at the end."""
        entry = Entry(self.last + 1, self.term, kind, data)
        self._proposed_bytes += entry.size()
        self._take_in((entry,))
        return entry

    def _take_in(self, entries: tuple[Entry, ...]) -> None:
        self.entries += entries
        for entry in entries:
            if entry.kind == MEMBERS:
                self.members_at.append((entry.index, decode_members(entry.data)))
        self._write(entries=entries)
        if self.role == LEADER:
            self._know_members()

    def _know_members(self) -> None:
        """As leader: follow exactly those who are members."""
        others = [m for m in self.members if m.id != self.own_id]
        self.peers = {m.id: self.peers.get(m.id) or self._new_peer(m) for m in others}

    def _new_peer(self, member: Member) -> Progress:
        """What is there when a learner comes is copied at the pace; what comes later it gets like all."""
        return Progress(self.last + 1, copy_to=0 if member.voter else self.last)

    def _cut(self, index: int) -> None:
        """Entries from an index on go: another leader has others there."""
        self.entries = self.entries[: index - self.first]
        while self.members_at[-1][0] >= index:
            self.members_at.pop()
        self._stable = min(self._stable, index - 1)
        for write in self._writes:
            write[1] = min(write[1], index - 1)

    def _on_append(self, m: Append, now: float) -> None:
        prev, entries = m.prev_index, m.entries
        if prev < self.commit_index:  # all up to our commit is as the leader has it
            entries = entries[self.commit_index - prev :]
            prev = min(self.commit_index, m.prev_index + len(m.entries))
        elif self.term_at(prev) != m.prev_term:
            self._send(
                AppendReply(
                    self.own_id, m.src, self.term, False, self._may_match(m), m.prev_index, m.round, now
                )
            )
            return
        end = prev + len(entries)
        for at, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                if entry.index <= self.last:
                    self._cut(entry.index)
                self._take_in(entries[at:])
                break
        self._committed(min(m.commit, end))
        self._freshen(m, end)
        self._send(AppendReply(self.own_id, m.src, self.term, True, end, m.prev_index, m.round, now))

    def _may_match(self, m: Append) -> int:
        """The highest index that may match, below one that does not: a whole term is passed over."""
        at = min(m.prev_index - 1, self.last)
        wrong = self.term_at(m.prev_index)
        while at > self.commit_index and wrong is not None and self.term_at(at) == wrong:
            at -= 1
        return max(at, self.commit_index)

    def _freshen(self, m: Append, end: int) -> None:
        """As of when we know all that was committed, by the echo of our own clock."""
        if m.echo >= 0 and m.commit <= end:
            self._fresh_at = max(self._fresh_at, m.echo - m.lag)

    def _committed(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        for entry in self._from(self._emitted + 1):
            if entry.index > index:
                break
            self._emitted = entry.index
            self.out.committed.append(entry)
            if self.role == LEADER:
                self._proposed_bytes -= entry.size()

    # --- Leading ------------------------------------------------------------------------------------------

    def _alone(self) -> bool:
        return self.voters() == [self.own_id]

    def _beat(self, now: float) -> None:
        """A sign of life to all, which asks them to confirm that we lead."""
        self._beat_at = now
        self._round += 1
        self._rounds.append((self._round, now))
        self._reads = deque((ticket, number or self._round) for ticket, number in self._reads)
        for name in self.peers:
            self._tell(name, now, beat=True)
        self._confirm()

    def _tell(self, name: str, now: float, beat: bool = False) -> None:
        """Send a replica what it lacks, as far as its window goes; on a beat at least a sign of life."""
        peer = self.peers[name]
        if peer.snapshot is None and self.term_at(peer.next - 1) is None:
            peer.reset(peer.match)
            peer.snapshot, peer.offset, peer.part_at = self.snapshot, 0, NEVER
        if peer.snapshot is not None:
            if now - peer.part_at >= self.settings.election_ms / 2:  # the part or its answer was lost
                self._part_to(name, now)
            elif beat:  # it has to hear that somebody leads
                self._append_to(name, (), now, self.commit_index)
            return
        window = self.settings
        peer.waits = False
        while (
            not peer.probing
            and peer.next <= self.last
            and peer.inflight_bytes < window.window_bytes
            and len(peer.inflight) < window.window_messages
        ):
            copies = peer.next <= peer.copy_to
            peer.waits = copies and not self._pace.may(now)
            if peer.waits:
                break
            entries = self._batch(peer.next)
            self._append_to(name, entries, now)
            size = sum(entry.size() for entry in entries)
            if copies:
                self._pace.take(now, size)
            peer.next += len(entries)
            peer.inflight.append((peer.next - 1, size))
            peer.inflight_bytes += size
            beat = False
        if beat:
            self._append_to(name, (), now)

    def _batch(self, index: int) -> tuple[Entry, ...]:
        batch, size, at = [], 0, index - self.first
        while at < len(self.entries) and (
            not batch or size + self.entries[at].size() <= self.settings.batch_bytes
        ):
            batch.append(self.entries[at])
            size += batch[-1].size()
            at += 1
        return tuple(batch)

    def _append_to(self, name: str, entries: tuple[Entry, ...], now: float, prev: int | None = None) -> None:
        peer = self.peers[name]
        prev = peer.next - 1 if prev is None else prev
        known = self.leading()
        self._emit(
            Append(
                self.own_id,
                name,
                self.term,
                prev,
                self.term_at(prev),
                entries,
                self.commit_index,
                self._round,
                peer.clock if known else -1.0,
                now - self.confirmed_at,
            )
        )

    def _on_append_reply(self, m: AppendReply, now: float) -> None:
        peer = self.peers.get(m.src)
        if self.role != LEADER or peer is None:
            return
        self._heard_from(peer, m.round, now)
        peer.clock = max(peer.clock, m.clock)
        if m.ok:
            self._acknowledged(m.src, peer, m.match, now)
        elif (
            peer.snapshot is None
            and m.prev_index > peer.match
            and (not peer.probing or m.prev_index == peer.next - 1)
        ):
            peer.reset(max(m.match, peer.match))
            self._tell(m.src, now, beat=True)
        elif m.prev_index <= peer.match and m.round > peer.matched_in:
            self._forgotten(m, peer, now)

    def _forgotten(self, m: AppendReply, peer: Progress, now: float) -> None:
        """A replica refuses what it had said to be durable, by an answer to a question that we asked after it
        had said so: its disk forgets. It counts for what it has now, and is sent the rest again.

        Danger: what was committed with its word may be on a minority from now on, until it has it again; no
        protocol can keep that promise for a disk that lies. It is told, so that the disk is replaced.
        """
        peer.match, peer.matched_in = min(peer.match, m.match), self._round
        peer.durability_losses += 1
        self.durability_losses += 1
        peer.reset(peer.match)
        self._tell(m.src, now, beat=True)

    def _acknowledged(self, name: str, peer: Progress, match: int, now: float) -> None:
        if match > self.last:
            return  # not by what we have sent
        if match > peer.match:
            peer.match, peer.matched_in = match, self._round
        peer.next = max(peer.next, match + 1)
        while peer.inflight and peer.inflight[0][0] <= match:
            peer.inflight_bytes -= peer.inflight.popleft()[1]
        if peer.snapshot is not None and peer.match >= peer.snapshot.index:
            peer.snapshot, peer.waits = None, False
        if peer.snapshot is None:
            peer.probing = False
        self._may_commit()
        if name in self.peers:
            self._tell(name, now)
        self._hand_over(name, now)

    def _heard_from(self, peer: Progress, number: int, now: float) -> None:
        peer.heard_at = now
        if number > peer.round:
            peer.round = number
            self._confirm()

    def _quorum(self, values: dict[str, int], own: int) -> int:
        """The highest value that a majority of the voters has reached."""
        reached = sorted((own if v == self.own_id else values[v] for v in self.voters()), reverse=True)
        return reached[len(reached) // 2] if reached else 0

    def _confirm(self) -> None:
        """A majority has answered a round: we led when it was sent."""
        number = self._quorum({name: peer.round for name, peer in self.peers.items()}, self._round)
        while self._rounds and self._rounds[0][0] <= number:
            self.confirmed_at = max(self.confirmed_at, self._rounds.popleft()[1])
        while self._reads and 0 < self._reads[0][1] <= number:
            self.out.reads.append((self._reads.popleft()[0], self.commit_index))

    def _may_commit(self) -> None:
        """Commit what a majority has on its disks.

        Danger: an entry of an earlier term is committed only by one of ours behind it; by count alone it
        could still be replaced.
        """
        index = self._quorum({name: peer.match for name, peer in self.peers.items()}, self._stable)
        if index > self.commit_index and self.term_at(index) == self.term:
            self._committed(index)
            if self.own_id not in self.voters() and self.members_at[-1][0] <= self.commit_index:
                self.role = FOLLOWER  # we were taken out, and that is committed: others go on
                self.out.lost_reads += [ticket for ticket, _ in self._reads]
                self._reads.clear()
                self.peers.clear()
                self.leader = ""

    # --- What the leader is asked -------------------------------------------------------------------------

    def propose(self, now: float, data: bytes) -> int:
        """Begin to replicate something; its index. It has come about if the entry that is committed there is
        of this term."""
        self._must_lead(now)
        if self._proposed_bytes >= self.settings.proposed_bytes:
            raise BusyError("too many writes are under way")
        entry = self._append(DATA, data)
        for name in self.peers:
            self._tell(name, now)
        self._may_commit()
        return entry.index

    def read(self, now: float, ticket: int) -> None:
        """Ask whether we lead at some moment from now on; comes out as a read, or as a lost one."""
        self._must_lead(now)
        self._reads.append((ticket, 0))

    def change_members(self, now: float, members: Members) -> int:
        """Begin to change one member; the index of the new list. One change at a time."""
        self._must_lead(now)
        if self.members_at[-1][0] > self.commit_index:
            raise BusyError("another change of members is under way")
        if not one_apart(self.members, members):
            raise BusyError("one member is changed at a time")
        if not any(m.voter for m in members):
            raise BusyError("one voter has to stay")
        entry = self._append(MEMBERS, encode(members))
        for name in self.peers:
            self._tell(name, now)
        self._may_commit()
        return entry.index

    def transfer_leadership(self, now: float, name: str) -> None:
        """Hand leadership to a voter, before a planned stop: nothing new is taken until that is done or its
        time has passed."""
        self._must_lead(now)
        if name not in self.peers or name not in self.voters():
            raise BusyError(f"{name} is no other voter")
        self._handing = name, now + self.settings.election_ms
        self._hand_over(name, now)

    def _hand_over(self, name: str, now: float) -> None:
        if (
            self.role == LEADER
            and self._handing is not None
            and self._handing[0] == name
            and name in self.peers
            and self.peers[name].match == self.last
        ):
            self._send(StandNow(self.own_id, name, self.term))

    def _must_lead(self, now: float) -> None:
        self.tick(now)  # who was paused finds out first
        if not self.leading():
            known = self.leader if self.role == FOLLOWER else ""
            raise NotLeaderError(
                known, "leads, but does not know all yet" if self.role == LEADER else "not the leader"
            )
        if self._handing is not None:
            raise NotLeaderError(self._handing[0], "hands leadership over")

    # --- Snapshots ----------------------------------------------------------------------------------------

    def compact(self, index: int, data: bytes) -> None:
        """The state after an index that was committed: entries far enough below it go."""
        if not self.snapshot.index < index <= self._emitted:
            raise ValueError(f"index {index} is not between the snapshot's and what is committed")
        members = next(members for at, members in reversed(self.members_at) if at <= index)
        term = self.term_at(index)
        self.entries = self._from(index + 1 - self.settings.kept_entries)
        self.snapshot = Snapshot(index, term, members, data, zlib.crc32(data))
        self.members_at = [(at, m) for at, m in self.members_at if at > index]
        self.members_at.insert(0, (index, members))
        self._write(snapshot=self.snapshot)

    def _part_to(self, name: str, now: float) -> None:
        peer = self.peers[name]
        snapshot, end = peer.snapshot, peer.offset + self.settings.batch_bytes
        peer.waits = not self._pace.may(now)
        if peer.waits:
            return
        self._pace.take(now, len(snapshot.data[peer.offset : end]))
        peer.part_at = now
        self._emit(
            Install(
                self.own_id,
                name,
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                len(snapshot.data),
                snapshot.check,
                peer.offset,
                snapshot.data[peer.offset : end],
                self._round,
            )
        )

    def _on_install(self, m: Install, now: float) -> None:
        if m.index <= self.commit_index:
            self._send(
                AppendReply(self.own_id, m.src, self.term, True, self.commit_index, m.index, m.round, now)
            )
            return
        key = m.index, m.snap_term, m.size, m.check
        if self._part is None or self._part[0] != key:
            self._part = key, bytearray()
        have = self._part[1]
        if m.offset == len(have):
            have += m.data
        if len(have) < m.size:
            self._send(InstallReply(self.own_id, m.src, self.term, m.index, len(have), m.round))
            return
        data, self._part = bytes(have), None
        if zlib.crc32(data) != m.check:
            self._send(InstallReply(self.own_id, m.src, self.term, m.index, 0, m.round))
            return
        self._restore(Snapshot(m.index, m.snap_term, m.members, data, m.check))
        self._send(AppendReply(self.own_id, m.src, self.term, True, m.index, m.index, m.round, now))

    def _restore(self, snapshot: Snapshot) -> None:
        """Take a leader's snapshot in place of all that we have: it was committed, and is ahead of us."""
        fits = self.term_at(snapshot.index) == snapshot.term
        behind = self._from(snapshot.index + 1) if fits else []
        newer = [(at, m) for at, m in self.members_at if at > snapshot.index] if fits else []
        self._stable = max(min(self._stable, self.last), snapshot.index) if fits else snapshot.index
        for write in self._writes:
            write[1] = max(write[1], snapshot.index) if fits else snapshot.index
        self.snapshot, self.entries = snapshot, behind
        self.members_at = [(snapshot.index, snapshot.members), *newer]
        self.commit_index = self._emitted = snapshot.index
        self.out.install, self.out.committed = snapshot, []
        self._write(entries=tuple(behind), snapshot=snapshot, reset=True)

    def _on_install_reply(self, m: InstallReply, now: float) -> None:
        peer = self.peers.get(m.src)
        if self.role != LEADER or peer is None:
            return
        self._heard_from(peer, m.round, now)
        if (
            peer.snapshot is not None
            and peer.snapshot.index == m.index
            and m.offset <= len(peer.snapshot.data)
            and m.offset != peer.offset
        ):
            peer.offset = m.offset
            self._part_to(m.src, now)


def first_state(members: Members, data: bytes) -> DurableState:
    """What every disk of a new group begins with. All begin with the same: they agree on their members."""
    return DurableState(1, "", Snapshot(1, 1, members, data, zlib.crc32(data)))


def parse(data: bytes) -> AnyMessage:
    """A message from the wire; ValueError where it is none."""
    try:
        return _messages.decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


_messages = msgspec.msgpack.Decoder(AnyMessage)
