"""Links between replicas: each sends on connections that it dialled itself and hears on those of the others.

Frames: four bytes of length, then MessagePack. The first on a connection, and one each second, says who
sends. What cannot be sent at once is dropped: consensus repeats what was lost, and old news is worth less
than memory.
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
LONGEST = 4 * 1024 * 1024  # of a frame
UNSENT = 8 * 1024 * 1024  # bytes on one link that wait to leave; past that messages are dropped
DIAL_S, HELLO_S = 1.0, 1.0
REST_S = 0.05, 0.3
UNACKED_MS = 3000  # the system ends a connection whose bytes nobody acknowledges for so long


class Hello(msgspec.Struct, array_like=True, tag=1):
    """Who sends; which groups it leads, and the newest table that it knows."""

    version: int
    cluster: str
    member: Member
    leads: tuple[LeaderReport, ...] = ()
    table: PlacementTable = PlacementTable()


class Said(msgspec.Struct, array_like=True, tag=2):
    """A message of a group."""

    group: str
    message: AnyMessage


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Hello | Said).decode


def frame(value: Hello | Said) -> bytes:
    """The bytes of one."""
    body = _encode(value)
    return len(body).to_bytes(4, "big") + body


class Link:
    """The way to one other process, dialled again whenever it breaks."""

    def __init__(
        self, target: Callable[[], Address | None], hello: Callable[[], bytes], rng: random.Random
    ) -> None:
        self._target, self._hello, self._rng = target, hello, rng
        self._transport: asyncio.Transport | None = None
        self.sent = self.dropped = self.dials = 0

    def send(self, data: bytes) -> None:
        """Send, or drop it."""
        transport = self._transport
        if transport is None or transport.is_closing() or transport.get_write_buffer_size() > UNSENT:
            self.dropped += 1
            return
        self.sent += 1
        transport.write(data)

    def greet(self) -> None:
        """Say at once what is said each second: something has changed."""
        if self._transport is not None:
            self.send(self._hello())

    async def run(self) -> None:
        """Keep the link up until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                target = self._target()
                if target is not None:
                    await self._once(loop, target)
                await asyncio.sleep(self._rng.uniform(*REST_S))
        finally:
            if self._transport is not None:
                self._transport.abort()

    async def _once(self, loop: asyncio.AbstractEventLoop, target: Address) -> None:
        self.dials += 1
        over = loop.create_future()
        try:
            async with asyncio.timeout(DIAL_S):
                transport, _ = await loop.create_connection(lambda: _Sending(over), *target)
        except (OSError, TimeoutError):
            return
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
        self._transport = transport
        try:
            while not over.done():
                transport.write(self._hello())
                await asyncio.wait([over], timeout=HELLO_S)
        finally:
            self._transport = None
            transport.abort()


class _Sending(asyncio.Protocol):
    def __init__(self, over: asyncio.Future[None]) -> None:
        self._over = over

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._over.done():
            self._over.set_result(None)


class Hearing(asyncio.Protocol):
    """A connection that another process dialled."""

    def __init__(
        self,
        cluster: str,
        heard: Callable[[Hello], None],
        said: Callable[[Said], None],
        refused: Callable[[str], None],
    ) -> None:
        self._cluster, self._heard, self._said, self._refused = cluster, heard, said, refused
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._from: str = ""  # id of who sends

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        at = 0
        while len(self._buffer) - at >= 4:
            length = int.from_bytes(self._buffer[at : at + 4], "big")
            if length > LONGEST:
                return self._refuse("a frame that is too long")
            if len(self._buffer) - at < 4 + length:
                break
            body = bytes(self._buffer[at + 4 : at + 4 + length])
            at += 4 + length
            if not self._take(body):
                return None
        del self._buffer[:at]
        return None

    def _take(self, body: bytes) -> bool:
        try:
            value = _decode(body)
        except (msgspec.MsgspecError, RecursionError):
            self._refuse("a frame that makes no sense")
            return False
        if isinstance(value, Hello):
            if value.version != VERSION or value.cluster != self._cluster:
                self._refuse(
                    f"{value.member.name} of cluster {value.cluster}, version {value.version}: "
                    f"ours is {self._cluster}, version {VERSION}"
                )
                return False
            self._from = value.member.id
            self._heard(value)
        elif value.message.src != self._from:
            self._refuse("a message in another's name")
            return False
        else:
            self._said(value)
        return True

    def _refuse(self, why: str) -> None:
        log.warning(Event("peer_refused", "a peer was refused: {why}", why=why))
        self._refused(why)
        self._transport.abort()
