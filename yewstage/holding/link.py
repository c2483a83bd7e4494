"""TCP links between processes. Each process sends on connections that it dialled and receives on the others.

A frame is four bytes of length (big-endian), then MessagePack. The first frame on a connection, and one each
second, is a Hello that names the sender. A message that cannot be buffered is dropped: Raft repeats lost
messages, and buffering outdated ones would only cost memory.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable

import msgspec

from yewstage.holding.placement import LeaderReport, PlacementTable
from yewstage.log import Event
from yewstage.net.config import Address
from yewstage.raft.messages import AnyMessage, Member

log = logging.getLogger(__name__)

VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # in one link's send buffer; beyond that messages are dropped
DIAL_TIMEOUT_S, HELLO_INTERVAL_S = 1.0, 1.0
REDIAL_DELAY_RANGE_S = 0.05, 0.3  # drawn at random between the two
TCP_USER_TIMEOUT_MS = 3000  # the kernel closes a connection with bytes unacknowledged for so long


class Hello(msgspec.Struct, array_like=True, tag=1):
    """The sender, reports on the groups that it leads, and the newest placement table that it has."""

    version: int
    cluster: str
    member: Member
    leads: tuple[LeaderReport, ...] = ()
    table: PlacementTable = PlacementTable()


class GroupMessage(msgspec.Struct, array_like=True, tag=2):
    """A Raft message of a group."""

    group: str
    message: AnyMessage


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Hello | GroupMessage).decode


def frame(value: Hello | GroupMessage) -> bytes:
    """Encode a value as a frame."""
    body = _encode(value)
    return len(body).to_bytes(4, "big") + body


class Link:
    """The outgoing connection to one process, dialled again whenever it breaks.

    `target` gives the address to dial, None while it is unknown; `hello` makes the Hello frame.
    """

    def __init__(
        self, target: Callable[[], Address | None], hello: Callable[[], bytes], rng: random.Random
    ) -> None:
        self._target, self._hello, self._rng = target, hello, rng
        self._transport: asyncio.Transport | None = None
        self.sent = self.dropped = self.dials = 0

    def send(self, data: bytes) -> None:
        """Send a frame, or drop it if the link is down or its buffer is full."""
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or transport.get_write_buffer_size() > MAX_UNSENT_BYTES
        ):
            self.dropped += 1
            return
        self.sent += 1
        transport.write(data)

    def send_hello(self) -> None:
        """Send a Hello at once, since its content has changed."""
        if self._transport is not None:
            self.send(self._hello())

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                target = self._target()
                if target is not None:
                    await self._connect_once(loop, target)
                await asyncio.sleep(self._rng.uniform(*REDIAL_DELAY_RANGE_S))
        finally:
            if self._transport is not None:
                self._transport.abort()

    async def _connect_once(self, loop: asyncio.AbstractEventLoop, target: Address) -> None:
        self.dials += 1
        closed = loop.create_future()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                transport, _ = await loop.create_connection(lambda: _OutgoingProtocol(closed), *target)
        except (OSError, TimeoutError):
            return
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self._transport = transport
        try:
            while not closed.done():
                transport.write(self._hello())
                await asyncio.wait([closed], timeout=HELLO_INTERVAL_S)
        finally:
            self._transport = None
            transport.abort()


class _OutgoingProtocol(asyncio.Protocol):
    def __init__(self, closed: asyncio.Future[None]) -> None:
        self._closed = closed

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._closed.done():
            self._closed.set_result(None)


class PeerConnection(asyncio.Protocol):
    """A connection that another process dialled.

    Frames go to `on_hello` and `on_message`. An invalid frame, or one of another cluster or version, ends the
    connection; `on_refused` gets the reason.
    """

    def __init__(
        self,
        cluster: str,
        on_hello: Callable[[Hello], None],
        on_message: Callable[[GroupMessage], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._cluster, self._on_hello, self._on_message, self._on_refused = (
            cluster,
            on_hello,
            on_message,
            on_refused,
        )
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._sender_id: str = ""  # empty before the first Hello

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        offset = 0
        while len(self._buffer) - offset >= 4:
            length = int.from_bytes(self._buffer[offset : offset + 4], "big")
            if length > MAX_FRAME_BYTES:
                return self._refuse("frame too long")
            if len(self._buffer) - offset < 4 + length:
                break
            body = bytes(self._buffer[offset + 4 : offset + 4 + length])
            offset += 4 + length
            if not self._handle_frame(body):
                return None
        del self._buffer[:offset]
        return None

    def _handle_frame(self, body: bytes) -> bool:
        try:
            value = _decode(body)
        except (msgspec.MsgspecError, RecursionError):
            self._refuse("frame cannot be decoded")
            return False
        if isinstance(value, Hello):
            if value.version != VERSION or value.cluster != self._cluster:
                self._refuse(
                    f"{value.member.name} of cluster {value.cluster}, version {value.version}: "
                    f"this process is of {self._cluster}, version {VERSION}"
                )
                return False
            self._sender_id = value.member.id
            self._on_hello(value)
        elif value.message.src != self._sender_id:
            self._refuse("message with a sender other than that of the connection")
            return False
        else:
            self._on_message(value)
        return True

    def _refuse(self, why: str) -> None:
        log.warning(Event("peer_refused", "connection of a peer refused: {why}", why=why))
        self._on_refused(why)
        self._transport.abort()
