"""Fault-injecting proxies for one link, over TCP or UDP. Each direction has its own faults.

TCP: bytes that a direction drops are lost for good. A connection that lost bytes is aborted when the link
heals, since a byte stream cannot go on with a gap. Bytes of a paused direction are delivered later, complete
and in order. UDP: each datagram by itself may be dropped, repeated, delayed or held, so datagrams may be
reordered.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024


@dataclass
class Direction:
    """State and counters of one direction of a TCP link."""

    unpaused: asyncio.Event = field(default_factory=asyncio.Event)
    dropping: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: no limit
    passed_bytes: int = 0  # bytes
    lost_bytes: int = 0  # bytes

    def __post_init__(self) -> None:
        self.unpaused.set()


@dataclass(eq=False)
class _ProxiedConnection:
    writers: list[asyncio.StreamWriter]
    has_gap: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class TcpFaultProxy:
    """Proxy for one TCP link. `forward` is the direction from the connecting side to the target; without a
    target connections are aborted."""

    def __init__(self, target: tuple[str, int] | None = None) -> None:
        self.target = target
        self.forward, self.backward = Direction(), Direction()
        self.refusing = False
        self.address = ("", 0)
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Listen on a free port; returns the address."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self) -> None:
        """Close the proxy and abort all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- Faults -------------------------------------------------------------------------------------------

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Drop all bytes in these directions. Connections stay open, as in a network that drops packets."""
        self.forward.dropping, self.backward.dropping = (
            self.forward.dropping or forward,
            self.backward.dropping or backward,
        )

    def pause(self, forward: bool = True, backward: bool = True) -> None:
        """Hold all bytes in these directions until `heal`."""
        for direction, selected in ((self.forward, forward), (self.backward, backward)):
            if selected:
                direction.unpaused.clear()

    def slow(self, delay_s: float, bytes_per_s: float = 0.0) -> None:
        """Delay each read in both directions, and limit the rate if `bytes_per_s` is above 0."""
        for direction in (self.forward, self.backward):
            direction.delay_s, direction.bytes_per_s = delay_s, bytes_per_s

    def reset(self) -> None:
        """Abort all connections at once, also in the middle of a message."""
        for connection in list(self._connections):
            connection.abort()

    def refuse(self) -> None:
        """Abort all connections, and every new one as soon as it is accepted."""
        self.refusing = True
        self.reset()

    def heal(self) -> None:
        """Remove all faults. Connections that lost bytes are aborted."""
        self.refusing = False
        for direction in (self.forward, self.backward):
            direction.dropping, direction.delay_s, direction.bytes_per_s = False, 0.0, 0.0
            direction.unpaused.set()
        for connection in [connection for connection in self._connections if connection.has_gap]:
            connection.abort()

    # --- Connections --------------------------------------------------------------------------------------

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self.refusing or self.target is None:
                writer.transport.abort()
                return
            try:
                target_reader, target_writer = await asyncio.open_connection(*self.target)
            except OSError:
                writer.transport.abort()
                return
            connection = _ProxiedConnection([writer, target_writer])
            self._connections.add(connection)
            try:
                await asyncio.gather(
                    self._relay(reader, target_writer, self.forward, connection),
                    self._relay(target_reader, writer, self.backward, connection),
                )
            finally:
                self._connections.discard(connection)
                connection.abort()
        except asyncio.CancelledError:
            pass  # cancelled by stop()
        finally:
            self._tasks.discard(task)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        connection: _ProxiedConnection,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await direction.unpaused.wait()
                wait_s = direction.delay_s + (
                    len(data) / direction.bytes_per_s if direction.bytes_per_s else 0.0
                )
                if wait_s:
                    await asyncio.sleep(wait_s)
                if direction.dropping:
                    connection.has_gap = True
                    direction.lost_bytes += len(data)
                    continue
                direction.passed_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        connection.abort()


@dataclass
class DatagramDirection:
    """State and counters of one direction of a UDP link; `lost` and `repeated` are shares, 0 to 1."""

    lost: float = 0.0
    repeated: float = 0.0
    delay_s: float = 0.0  # longest random delay of a datagram; delays differ, so datagrams are reordered
    holding: bool = False  # keep datagrams in `held` until heal(), which sends them in random order
    held: list[bytes] = field(default_factory=list)
    passed: int = 0  # datagrams
    dropped: int = 0  # datagrams


class UdpFaultProxy:
    """Proxy for one UDP link. `forward` is the direction to the target; what the target sends goes to the
    address that sent to the proxy last."""

    def __init__(self, target: tuple[str, int], rng: random.Random) -> None:
        self.target, self._rng = target, rng
        self.forward, self.backward = DatagramDirection(), DatagramDirection()
        self.address = ("", 0)
        self._client_address: tuple[str, int] | None = None
        self._near_transport: asyncio.DatagramTransport | None = None
        self._far_transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Bind a free port; returns the address."""
        loop = asyncio.get_running_loop()
        self._near_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._received_from_client), local_addr=(host, 0)
        )
        self._far_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._received_from_target), local_addr=(host, 0)
        )
        self.address = self._near_transport.get_extra_info("sockname")[:2]
        return self.address

    def stop(self) -> None:
        """Close both sockets."""
        self._near_transport.close()
        self._far_transport.close()

    def heal(self) -> None:
        """Remove all faults. Held datagrams are sent in random order."""
        for direction in (self.forward, self.backward):
            direction.lost = direction.repeated = direction.delay_s = 0.0
            direction.holding = False
            held, direction.held = direction.held, []
            self._rng.shuffle(held)
            for data in held:
                self._send(data, direction)

    def _received_from_client(self, data: bytes, sender: tuple[str, int]) -> None:
        self._client_address = sender
        self._handle(data, self.forward)

    def _received_from_target(self, data: bytes, sender: tuple[str, int]) -> None:
        self._handle(data, self.backward)

    def _handle(self, data: bytes, direction: DatagramDirection) -> None:
        if self._rng.random() < direction.lost:
            direction.dropped += 1
            return
        for _ in range(1 + (self._rng.random() < direction.repeated)):
            if direction.holding:
                direction.held.append(data)
            elif direction.delay_s:
                delay_s = direction.delay_s * self._rng.random()
                asyncio.get_running_loop().call_later(delay_s, self._send, data, direction)
            else:
                self._send(data, direction)

    def _send(self, data: bytes, direction: DatagramDirection) -> None:
        transport, address = (
            (self._far_transport, self.target)
            if direction is self.forward
            else (self._near_transport, self._client_address)
        )
        if not transport.is_closing() and address is not None:
            direction.passed += 1
            transport.sendto(data, address)


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, addr)
