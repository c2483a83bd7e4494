"""Messages between members: MessagePack arrays, authenticated with a shared key, one per datagram.

Structs are encoded as arrays without field names. A later version may add fields with defaults at the end;
each side ignores trailing fields that it does not know. A datagram with another version byte is dropped.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # fits in the usual path MTU, so that no datagram is fragmented
MAC_BYTES = 16  # of the HMAC-SHA-256, which is sent truncated
DIGEST_BUCKETS = 32  # members are assigned to buckets by name; anti-entropy compares one digest per bucket
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATE_NAMES = ("alive", "suspect", "dead", "left")


class BadDatagramError(ValueError):
    """Raised for a datagram that has to be dropped. The text is the reason under which it is counted."""


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as members report it to each other. See `rank` for which of two rows wins."""

    name: str
    start_id: int  # differs for each process that has used the name
    address: str  # HOST:PORT of the member's UDP socket
    zone: str
    region: str
    incarnation: int  # raised by the member itself only
    state: int = ALIVE
    reported_by: str = ""  # name of the member that suspects it or declared it dead

    def rank(self) -> tuple[int, int, int]:
        """Sort key; of two rows for a name the one with the greater rank wins: the higher incarnation, then
        the later state in STATES, then the greater start id. So all members come to hold the same row,
        in whatever order they receive them."""
        return self.incarnation, self.state, self.start_id


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A probe. Another process at the same address does not answer it, as its `start_id` differs."""

    probe_number: int
    start_id: int
    rows: tuple[MemberRow, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ping, or to a ping request if the target has answered."""

    probe_number: int
    rows: tuple[MemberRow, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping `target` on the sender's behalf. It answers with an ack if the target does,
    and with a nack if not; without either, the sender's own connectivity may be at fault."""

    probe_number: int
    target: MemberRow
    rows: tuple[MemberRow, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer to a ping request whose target has not answered in time."""

    probe_number: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender's digest of each bucket. The receiver answers with its rows of the buckets that differ."""

    digests: tuple[int, ...]


class Page(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Rows of buckets whose digests differ, as many as fit into one datagram."""

    rows: tuple[MemberRow, ...]


class Payload(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Data of a protocol on top of membership, which does not interpret it."""

    data: bytes


Message = Ping | Ack | PingRequest | Nack | Sync | Page | Payload


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender. `serial` rises with each datagram of a sender, so that receivers can drop
    duplicates."""

    cluster: str
    sender: MemberRow
    serial: int
    message: Message


encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Datagram)


def encoded_bytes(value: object) -> int:
    """The encoded size of a message or a part of one, in bytes."""
    return len(encode(value))


def seal(datagram: Datagram, key: bytes) -> bytes:
    """Encode and authenticate a datagram: version byte, MAC, MessagePack body."""
    body = bytes((FORMAT_VERSION,)) + encode(datagram)
    return body[:1] + _mac(body, key) + body[1:]


def unseal(data: bytes, cluster: str, keys: Sequence[bytes]) -> Datagram:
    """Verify and decode a datagram; any of `keys` may have signed it. Raises BadDatagramError with the
    reason: oversized, version, forged (no key matches), nonsense (cannot be decoded) or foreign (another
    cluster)."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise BadDatagramError("oversized")
    if not data or data[0] != FORMAT_VERSION:
        raise BadDatagramError("version")
    mac, body = data[1 : 1 + MAC_BYTES], data[:1] + data[1 + MAC_BYTES :]
    if not any(hmac.compare_digest(mac, _mac(body, key)) for key in keys):
        raise BadDatagramError("forged")
    try:
        datagram = _decoder.decode(body[1:])
    except msgspec.MsgspecError:
        raise BadDatagramError("nonsense") from None
    if datagram.cluster != cluster:
        raise BadDatagramError("foreign")
    return datagram


def _mac(body: bytes, key: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:MAC_BYTES]
