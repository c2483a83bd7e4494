"""Messages between the replicas of a group and the values that they store, in MessagePack.

Structs are encoded as arrays without field names. A later version may add fields with defaults at the end; a
receiver ignores fields that it does not know.
"""

from __future__ import annotations

import msgspec

NOOP, DATA, MEMBERS = 0, 1, 2  # kinds of log entries


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica: one disk of one machine. A machine that lost its disk returns as a new member."""

    id: str  # of the disk: NAME.RANDOM
    name: str  # of the machine
    zone: str
    peer: str  # HOST:PORT for the other replicas
    call: str  # HOST:PORT for clients
    voter: bool = True  # otherwise a learner: it receives all entries and does not count towards a majority


Members = tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: int
    term: int
    kind: int
    data: bytes = b""

    def size(self) -> int:
        """Approximate memory of the entry in bytes, for limits on buffered entries."""
        return len(self.data) + 24


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after an index, which replaces all entries up to it."""

    index: int
    term: int
    members: Members
    data: bytes
    checksum: int = 0  # CRC-32 of the data: parts sent by two leaders are combined only if it is the same


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The fields that all messages have."""

    src: str
    dst: str
    term: int


class PreVote(Message, frozen=True, array_like=True, tag=1):
    """Asks whether the receiver would grant its vote in this term. Changes no state of the receiver."""

    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=2):
    """`term` is the requested term if the pre-vote is granted, otherwise the replica's own term."""

    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=3):
    """Requests a vote in this term."""

    last_index: int
    last_term: int
    # the leader initiated it: replicas that still hear that leader may grant it
    is_leadership_transfer: bool = False


class VoteReply(Message, frozen=True, array_like=True, tag=4):
    """Sent only once the vote is durable."""

    granted: bool


class AppendEntries(Message, frozen=True, array_like=True, tag=5):
    """Entries after `prev_index`; without entries, a heartbeat that also finds out where the logs match."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int  # heartbeat round that the answer confirms; the reply repeats it
    echoed_clock_ms: float = -1.0  # the receiver's own clock as last reported; below 0: unknown
    unconfirmed_ms: float = 0.0  # time between the last confirmation of leadership and this message, in ms


class AppendEntriesReply(Message, frozen=True, array_like=True, tag=6):
    """Up to which index the log matches the leader's and is durable, or where to look for the match."""

    ok: bool
    match: int  # if ok: matching and durable up to here; otherwise the highest index that may match
    prev_index: int  # of the request
    round: int
    clock_ms: float = -1.0  # the sender's clock, to be echoed


class InstallSnapshot(Message, frozen=True, array_like=True, tag=7):
    """One part of a snapshot."""

    index: int
    snapshot_term: int
    members: Members
    total_bytes: int
    checksum: int
    offset: int
    data: bytes
    round: int


class InstallSnapshotReply(Message, frozen=True, array_like=True, tag=8):
    """The offset at which the follower expects the next part."""

    index: int
    offset: int
    round: int


class TimeoutNow(Message, frozen=True, array_like=True, tag=9):
    """Leadership transfer: the receiver starts an election at once."""


AnyMessage = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)
_members_decoder = msgspec.msgpack.Decoder(Members)
encode = msgspec.msgpack.Encoder().encode


def decode_members(data: bytes) -> Members:
    """Decode the members in the data of a membership entry."""
    return _members_decoder.decode(data)


def differ_in_at_most_one_member(old: Members, new: Members) -> bool:
    """Whether two lists of members differ in at most one member.

    Majorities of lists that differ in two voters need not overlap, so each could elect a leader.
    """
    before, after = {m.id: m.voter for m in old}, {m.id: m.voter for m in new}
    return sum(before.get(name) != after.get(name) for name in {*before, *after}) <= 1
