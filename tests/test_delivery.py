"""An exchange ends with the last byte of its answer at the client; until then its connection is not idle."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest
from conftest import LOOP, FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop, silent
from scripted_core import core_with

from yewstage.net import clients as clients_module
from yewstage.net.budget import STALL_TIMEOUT_S
from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import ClientConnection
from yewstage.net.delivery import STALL_TIMEOUT_S as DELIVERY_STALL_TIMEOUT_S
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES

SOCKETS = 128
# Their last part is read from the server while their client takes READ_BYTES every READ_INTERVAL_S.
ANSWER_SIZES = range(450_000, 1_000_000, 50_000)
READ_INTERVAL_S = 0.06  # between reads of READ_BYTES: 68 kB/s
CROWD_S = 3 * clients_module.SPARE_IDLE_TIMEOUT_S
CLIENT_BUFFER_BYTES = 64 * 1024  # with less, the system itself stops and restarts the sender for seconds
READ_BYTES = 4096
LONG_ANSWER_BYTES = 2_000_000
SMALLEST_MEMORY_MB = 32
SLOW_READING_S = STALL_TIMEOUT_S + 3.0  # so that a reader that looks stalled is evicted
HELD_BACK_S = 2.0  # for which the rest of an answer may be held back
LIMIT_S = 40.0


async def slow_client(port: int, buffer_bytes: int = CLIENT_BUFFER_BYTES) -> socket.socket:
    """A client's socket that takes little at a time."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (LOOP, port))
    return client


async def read_body(client: socket.socket, length: int, received: bytes = b"") -> bytes:
    """Read the rest of an answer whose body has this length; less if the connection ends before."""
    while len(body := received.partition(b"\r\n\r\n")[2]) < length:
        part = await asyncio.get_running_loop().sock_recv(client, 2**16)
        if not part:
            break
        received += part
    return body


# Guards against: the rest of a long answer was dropped for a new client while its client still read it.
def test_answers_on_their_way_are_not_dropped_for_new_connections(tmp_path: Path) -> None:
    def answer_of_size(seen: SeenMessage) -> bytes:
        return reply(b"x" * int(seen.headers["x-request-id"]))

    async def scenario() -> None:
        async with GatewayRig(tmp_path, answer_of_size, sockets=SOCKETS) as rig:
            until = time.monotonic() + CROWD_S
            readers = [asyncio.create_task(read_slowly(rig.port, size, until)) for size in ANSWER_SIZES]
            # An answer that begins among a crowd would be the last one of its connection.
            while (await rig.metrics())["gateway_relayed_total"] < len(ANSWER_SIZES):
                await asyncio.sleep(0.02)
            await asyncio.gather(*[crowd_member(rig.port, until) for _ in range(SOCKETS)])
            assert [len(body) for body in await asyncio.gather(*readers)] == list(ANSWER_SIZES)

    run_on_loop(scenario, LIMIT_S)


async def read_slowly(port: int, size: int, until: float) -> bytes:
    """Ask for an answer and read it slowly until the given time, then at once."""
    client, received = await slow_client(port), b""
    await asyncio.get_running_loop().sock_sendall(client, message(rid=b"%d" % size))
    while time.monotonic() < until:
        received += await asyncio.get_running_loop().sock_recv(client, READ_BYTES)
        await asyncio.sleep(READ_INTERVAL_S)
    with client:
        return await read_body(client, size, received)


async def crowd_member(port: int, until: float) -> None:
    """Connect and send nothing, again and again."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(LOOP, port)
            async with asyncio.timeout(max(until - time.monotonic(), 0.0)):
                await reader.read()
            writer.close()
        except (TimeoutError, ConnectionError):
            await asyncio.sleep(0.01)


async def answered_connection(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> tuple[ClientConnection, socket.socket, ClientListener, FakeHttpServer]:
    """A connection whose request is answered with `body`, of which its client has read nothing."""
    fake_server = FakeHttpServer(silent)
    core, _ = await core_with(monkeypatch, fake_server)
    listener = ClientListener(core, asyncio.get_running_loop(), 100)
    _, port = listener.start((LOOP, 0))
    listener.accept()
    client = await slow_client(port, READ_BYTES)  # which does not hold the body
    await asyncio.get_running_loop().sock_sendall(client, message())
    while not any(c._open_request_id for c in listener.connections):
        await asyncio.sleep(0)
    (connection,) = listener.connections
    connection.answer(200, body)
    return connection, client, listener, fake_server


# Guards against: a connection counted as idle for as long as its client was reading the last answer.
def test_the_time_of_an_idle_connection_runs_from_the_delivery_of_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    body = b"x" * MAX_BUFFERED_BODY_BYTES

    async def scenario() -> None:
        connection, client, listener, fake_server = await answered_connection(monkeypatch, body)
        now = listener.now()
        clock = [now + 2 * clients_module.SPARE_IDLE_TIMEOUT_S]
        monkeypatch.setattr(listener, "now", lambda: clock[0])
        assert not connection.is_evictable(clock[0])
        assert await read_body(client, len(body)) == body
        clock[0] += clients_module.SPARE_IDLE_TIMEOUT_S / 2
        assert not connection.is_evictable(clock[0])  # it has been idle for no longer than since then
        clock[0] += clients_module.SPARE_IDLE_TIMEOUT_S
        assert connection.is_evictable(clock[0])
        client.close()
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


# Guards against: a client that never reads its answer would keep its place for good.
def test_a_client_that_takes_nothing_of_its_answer_counts_as_idle_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connection, client, listener, fake_server = await answered_connection(
            monkeypatch, b"x" * MAX_BUFFERED_BODY_BYTES
        )
        clock = [listener.now()]
        monkeypatch.setattr(listener, "now", lambda: clock[0])
        for _ in range(3):
            clock[0] += DELIVERY_STALL_TIMEOUT_S / 2
            connection.check_timeouts(clock[0])
        clock[0] += clients_module.SPARE_IDLE_TIMEOUT_S
        assert connection.is_evictable(clock[0])
        client.close()
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


# Guards against: the last answer of a connection was reset by its close while its client still read it.
def test_the_last_answer_of_a_connection_outlives_its_linger_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients_module, "LINGER_TIMEOUT_S", 0.05)
    body = b"x" * MAX_BUFFERED_BODY_BYTES

    async def scenario() -> None:
        connection, client, listener, fake_server = await answered_connection(monkeypatch, body)
        connection._close_gracefully()
        await asyncio.sleep(0.3)
        assert not connection.transport.is_closing()  # a byte of the client would reset a closed connection
        assert await read_body(client, len(body)) == body
        client.close()
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


class SlowReader:
    """A client that reads a long answer no faster than READ_BYTES every READ_INTERVAL_S."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.received_bytes = 0
        self.is_cut_off = False

    async def run(self, until: float) -> None:
        """Ask for an answer, and read it until the given time."""
        client = await slow_client(self._port)
        await asyncio.get_running_loop().sock_sendall(client, message())
        with client:
            while time.monotonic() < until and not self.is_cut_off:
                part = await asyncio.get_running_loop().sock_recv(client, READ_BYTES)
                self.received_bytes += len(part)
                self.is_cut_off = not part
                await asyncio.sleep(READ_INTERVAL_S)


async def longest_wait_s(port: int, until: float) -> float:
    """Read long answers at once until the given time; returns the longest wait for a part of one."""
    longest_s = 0.0
    while time.monotonic() < until:
        reader, writer = await asyncio.open_connection(LOOP, port)
        writer.write(message(rid=b"prompt"))
        left = LONG_ANSWER_BYTES
        while left > 0:
            asked_at = time.monotonic()
            part = await reader.read(2**16)
            longest_s = max(longest_s, time.monotonic() - asked_at)
            assert part, "cut off"
            left -= len(part)
        writer.close()
        await asyncio.sleep(READ_INTERVAL_S)
    return longest_s


# Guards against: many readers at the slowest rate held the memory, were cut off, and held back all others.
def test_many_slow_readers_are_served_and_hold_nobody_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        long_answer = reply(b"x" * LONG_ANSWER_BYTES)
        async with GatewayRig(
            tmp_path, lambda seen: long_answer, sockets=SOCKETS, memory_mb=SMALLEST_MEMORY_MB
        ) as rig:
            until = time.monotonic() + SLOW_READING_S
            readers = [SlowReader(rig.port) for _ in range(SOCKETS // 4)]
            prompt = [asyncio.create_task(longest_wait_s(rig.port, until)) for _ in range(3)]
            await asyncio.gather(*[reader.run(until) for reader in readers])
            assert not [reader.received_bytes for reader in readers if reader.is_cut_off]
            assert max(await asyncio.gather(*prompt)) < HELD_BACK_S
            metrics = await rig.metrics()
            assert metrics["gateway_held_bytes_peak"] <= metrics["gateway_held_bytes_limit"]

    run_on_loop(scenario, LIMIT_S)
