"""What replicas of a group tell one another, and what they keep: plain values, in MessagePack on the wire.

Arrays without names: a later version may add fields at the end, with defaults, and each side passes over
what it does not know.
"""

from __future__ import annotations

import msgspec

NOOP, DATA, MEMBERS = 0, 1, 2  # kinds of entries


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica: one disk of one machine. A machine whose disk is lost comes back as another member."""

    id: str  # of the disk: NAME.RANDOM
    name: str  # of the machine
    zone: str
    peer: str  # HOST:PORT where replicas reach it
    call: str  # HOST:PORT where clients reach it
    voter: bool = True  # else a learner: it is told all, and counts for nothing


Members = tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place in the log."""

    index: int
    term: int
    kind: int
    data: bytes = b""

    def size(self) -> int:
        """Bytes that it takes, near enough for bounds on memory."""
        return len(self.data) + 24


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after an index, in place of all entries up to it."""

    index: int
    term: int
    members: Members
    data: bytes
    check: int = 0  # CRC-32 of the data: parts from two leaders fit together only where it is the same


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The part that all messages have."""

    src: str
    dst: str
    term: int


class PreVote(Message, frozen=True, array_like=True, tag=1):
    """Would you vote for me, were I to stand in this term? Nothing is changed by asking."""

    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=2):
    """With the term that was asked about if granted, else with the replica's own."""

    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=3):
    """Vote for me in this term."""

    last_index: int
    last_term: int
    handed: bool = False  # the leader asked for it: those who hear that leader still may vote


class VoteReply(Message, frozen=True, array_like=True, tag=4):
    """Durable before it is sent."""

    granted: bool


class Append(Message, frozen=True, array_like=True, tag=5):
    """Entries behind `prev`; without entries, a sign of life that finds out what is missing."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # of leadership asked to be confirmed; the reply has it again
    echo: float = -1.0  # the receiver's own clock as we last heard it, ms; under 0: nothing to tell
    lag: float = 0.0  # ms for which, before this was sent, our leadership is not confirmed


class AppendReply(Message, frozen=True, array_like=True, tag=6):
    """Up to where the log is as the leader's and durable, or where to look for that."""

    ok: bool
    match: int  # ok: durable and matching up to here; else the highest index that may match
    prev_index: int  # of the question
    round: int
    clock: float = -1.0  # the sender's own, to be echoed


class Install(Message, frozen=True, array_like=True, tag=7):
    """A part of a snapshot."""

    index: int
    snap_term: int
    members: Members
    size: int
    check: int
    offset: int
    data: bytes
    round: int


class InstallReply(Message, frozen=True, array_like=True, tag=8):
    """From where on parts are wanted."""

    index: int
    offset: int
    round: int


class StandNow(Message, frozen=True, array_like=True, tag=9):
    """Leadership is handed to you: stand at once."""


AnyMessage = (
    PreVote | PreVoteReply | Vote | VoteReply | Append | AppendReply | Install | InstallReply | StandNow
)
_members = msgspec.msgpack.Decoder(Members)
encode = msgspec.msgpack.Encoder().encode


def decode_members(data: bytes) -> Members:
    """The members in an entry's data."""
    return _members.decode(data)


def one_apart(old: Members, new: Members) -> bool:
    """Whether two lists of members differ in one member at the most.

    Danger: majorities of lists that differ in two voters need not share a replica; two leaders could be.
    """
    before, after = {m.id: m.voter for m in old}, {m.id: m.voter for m in new}
    return sum(before.get(name) != after.get(name) for name in {*before, *after}) <= 1
