"""Stand-ins for one link: what comes to them goes on to the real address, each direction by its own rules.

Of connections, bytes that a direction loses are gone: when it heals the connections that lost some end, as a
stream with a hole would. What it holds comes later, whole and in order. Datagrams may be lost, repeated, held
and told in another order, each by itself.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

READ = 64 * 1024


@dataclass
class Direction:
    """One direction."""

    open: asyncio.Event = field(default_factory=asyncio.Event)
    lossy: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: as fast as it goes
    passed: int = 0
    lost: int = 0

    def __post_init__(self) -> None:
        self.open.set()


@dataclass(eq=False)
class _Pair:
    writers: list[asyncio.StreamWriter]
    holed: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class TcpFaultProxy:
    """One link, from whoever dials it to its target."""

    def __init__(self, target: tuple[str, int] | None = None) -> None:
        self.target = target
        self.forward, self.backward = Direction(), Direction()
        self.refusing = False
        self.address = ("", 0)
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Listen on a port of the system's choice."""
        self._server = await asyncio.start_server(self._take, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self) -> None:
        """End all."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- Faults -------------------------------------------------------------------------------------------

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Lose all that goes these ways; connections stay up, as those of a silent network do."""
        self.forward.lossy, self.backward.lossy = (
            self.forward.lossy or forward,
            self.backward.lossy or backward,
        )

    def pause(self, forward: bool = True, backward: bool = True) -> None:
        """Keep what goes these ways until it is let go."""
        for way, chosen in ((self.forward, forward), (self.backward, backward)):
            if chosen:
                way.open.clear()

    def slow(self, delay_s: float, bytes_per_s: float = 0.0) -> None:
        """Both ways take longer."""
        for way in (self.forward, self.backward):
            way.delay_s, way.bytes_per_s = delay_s, bytes_per_s

    def reset(self) -> None:
        """End all connections in the middle of whatever they carry."""
        for pair in list(self._pairs):
            pair.abort()

    def refuse(self) -> None:
        """Nobody is there: connections end, and no new ones are taken."""
        self.refusing = True
        self.reset()

    def heal(self) -> None:
        """As new. Connections that lost something end."""
        self.refusing = False
        for way in (self.forward, self.backward):
            way.lossy, way.delay_s, way.bytes_per_s = False, 0.0, 0.0
            way.open.set()
        for pair in [pair for pair in self._pairs if pair.holed]:
            pair.abort()

    # --- Connections --------------------------------------------------------------------------------------

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self.refusing or self.target is None:
                writer.transport.abort()
                return
            try:
                far_reader, far_writer = await asyncio.open_connection(*self.target)
            except OSError:
                writer.transport.abort()
                return
            pair = _Pair([writer, far_writer])
            self._pairs.add(pair)
            try:
                await asyncio.gather(
                    self._carry(reader, far_writer, self.forward, pair),
                    self._carry(far_reader, writer, self.backward, pair),
                )
            finally:
                self._pairs.discard(pair)
                pair.abort()
        except asyncio.CancelledError:
            pass  # the stand-in ends
        finally:
            self._tasks.discard(task)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction, pair: _Pair
    ) -> None:
        try:
            while data := await reader.read(READ):
                await way.open.wait()
                wait_s = way.delay_s + (len(data) / way.bytes_per_s if way.bytes_per_s else 0.0)
                if wait_s:
                    await asyncio.sleep(wait_s)
                if way.lossy:
                    pair.holed = True
                    way.lost += len(data)
                    continue
                way.passed += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        pair.abort()


@dataclass
class Drops:
    """What becomes of datagrams of one direction: parts of them, and ms."""

    lost: float = 0.0
    repeated: float = 0.0
    delay_s: float = 0.0  # each takes up to so much longer, by itself: they overtake each other
    holding: bool = False  # until it is let go, in any order
    held: list[bytes] = field(default_factory=list)
    passed: int = 0
    dropped: int = 0


class UdpFaultProxy:
    """One link for datagrams, from whoever sends to it to its target; answers go back to who sent last."""

    def __init__(self, target: tuple[str, int], rng: random.Random) -> None:
        self.target, self._rng = target, rng
        self.forward, self.backward = Drops(), Drops()
        self.address = ("", 0)
        self._from: tuple[str, int] | None = None
        self._near: asyncio.DatagramTransport | None = None
        self._far: asyncio.DatagramTransport | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Hear on a port of the system's choice."""
        loop = asyncio.get_running_loop()
        self._near, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._came), local_addr=(host, 0)
        )
        self._far, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._answered), local_addr=(host, 0)
        )
        self.address = self._near.get_extra_info("sockname")[:2]
        return self.address

    def stop(self) -> None:
        """End it."""
        self._near.close()
        self._far.close()

    def heal(self) -> None:
        """As new; what was held goes on, in an order of its own."""
        for way in (self.forward, self.backward):
            way.lost = way.repeated = way.delay_s = 0.0
            way.holding = False
            held, way.held = way.held, []
            self._rng.shuffle(held)
            for data in held:
                self._pass(data, way)

    def _came(self, data: bytes, sender: tuple[str, int]) -> None:
        self._from = sender
        self._take(data, self.forward)

    def _answered(self, data: bytes, sender: tuple[str, int]) -> None:
        self._take(data, self.backward)

    def _take(self, data: bytes, way: Drops) -> None:
        if self._rng.random() < way.lost:
            way.dropped += 1
            return
        for _ in range(1 + (self._rng.random() < way.repeated)):
            if way.holding:
                way.held.append(data)
            elif way.delay_s:
                delay_s = way.delay_s * self._rng.random()
                asyncio.get_running_loop().call_later(delay_s, self._pass, data, way)
            else:
                self._pass(data, way)

    def _pass(self, data: bytes, way: Drops) -> None:
        out, to = (self._far, self.target) if way is self.forward else (self._near, self._from)
        if not out.is_closing() and to is not None:
            way.passed += 1
            out.sendto(data, to)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._came = came

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._came(data, addr)
