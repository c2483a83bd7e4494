"""What members tell one another: MessagePack arrays, sealed with a key, in datagrams of 1,400 bytes at most.

Arrays without names: a later version may add fields at the end, with defaults, and each side passes over what
it does not know. Another version byte is another format, and is dropped.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

VERSION = 1
LONGEST = 1400  # bytes of a datagram: under the usual path's limit, so that none is cut in pieces
SEAL = 16  # bytes of HMAC-SHA-256 that are sent
BUCKETS = 32  # of the table, by name: each has its digest
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")


class BadDatagramError(ValueError):
    """It is dropped; the text is the reason that is counted."""


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member. Of two, the one of the higher incarnation counts, then the worse state."""

    name: str
    start_id: int  # of the process: another one under the name has another
    at: str  # HOST:PORT of its datagrams
    zone: str
    region: str
    incarnation: int  # only the member itself raises it
    state: int = ALIVE
    by: str = ""  # who suspects it, or found it dead

    def rank(self) -> tuple[int, int, int]:
        """What is newer is greater: the same for all, whatever the order in which they hear."""
        return self.incarnation, self.state, self.start_id


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there? `life` is whose: another process at that address does not answer for it."""

    probe: int
    life: int
    rows: tuple[MemberRow, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Whoever was asked is there."""

    probe: int
    rows: tuple[MemberRow, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask another one for me: ack if it answers you, nack if it does not, so that I know it was not me."""

    probe: int
    target: MemberRow
    rows: tuple[MemberRow, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """I am there, and the one that you had me ask does not answer me."""

    probe: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """What I know, by bucket, as digests: tell me what differs."""

    digests: tuple[int, ...]


class Page(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Rows of buckets that differed, as many as fit."""

    rows: tuple[MemberRow, ...]


class Carried(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Something that stands on membership, of no meaning to it."""

    data: bytes


Message = Ping | Ack | PingRequest | Nack | Sync | Page | Carried


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A message and who sent it. `serial` rises with each: one that comes again is not taken again."""

    cluster: str
    sender: MemberRow
    serial: int
    message: Message


encode = msgspec.msgpack.Encoder().encode
_letter = msgspec.msgpack.Decoder(Datagram)


def size(value: object) -> int:
    """Bytes that a part of a message takes."""
    return len(encode(value))


def seal(letter: Datagram, key: bytes) -> bytes:
    """The datagram: version, seal, letter."""
    body = bytes((VERSION,)) + encode(letter)
    return body[:1] + _seal(body, key) + body[1:]


def unseal(data: bytes, cluster: str, keys: Sequence[bytes]) -> Datagram:
    """The letter of a datagram. BadDatagramError says why there is none: oversized, version, forged, nonsense
    or foreign."""
    if len(data) > LONGEST:
        raise BadDatagramError("oversized")
    if not data or data[0] != VERSION:
        raise BadDatagramError("version")
    seal, body = data[1 : 1 + SEAL], data[:1] + data[1 + SEAL :]
    if not any(hmac.compare_digest(seal, _seal(body, key)) for key in keys):
        raise BadDatagramError("forged")
    try:
        letter = _letter.decode(body[1:])
    except msgspec.MsgspecError:
        raise BadDatagramError("nonsense") from None
    if letter.cluster != cluster:
        raise BadDatagramError("foreign")
    return letter


def _seal(body: bytes, key: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SEAL]
