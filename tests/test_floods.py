"""One connection that sends as fast as it can costs the others little, and the process no memory."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import FakeHttpServer, GatewayRig, message, run_on_loop, serve, silent
from flooding_client import KINDS
from load_process import others_served
from scripted_core import core_with
from test_bodies import resident_mb
from test_streams import FullTransport

from yewstage import interface as api
from yewstage.net import link as link_module
from yewstage.net.client_listener import ClientListener
from yewstage.net.client_request import RequestMessage
from yewstage.net.clients import (
    CHUNKED_READ_BYTES,
    HEAD_READ_BYTES,
    MAX_PIPELINED_BYTES,
    MAX_PIPELINED_REQUESTS,
    REQUESTS_PER_TURN,
    ClientConnection,
)
from yewstage.net.link import Link
from yewstage.net.pool import Pool
from yewstage.net.receive_buffer import READ_BYTES
from yewstage.net.request_queue import REQUEST_OVERHEAD_BYTES, RequestQueue
from yewstage.net.turns import TURNS_PER_ITERATION, TurnQueue

FLOOD_S = 4.0
OTHERS_WAIT_S = 1.5  # for answers that take a few milliseconds
GROWTH_MB = 16
LIMIT_S = 60.0


# Guards against: a flood on one connection made other clients wait for seconds, or filled the memory.
@pytest.mark.parametrize("kind", KINDS)
def test_a_flood_on_one_connection_holds_nobody_up(tmp_path: Path, kind: str) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            await rig.ask(message(rid=b"warm"))
            before_mb = resident_mb(rig.process.pid)
            others = await others_served(rig, "flooding_client.py", kind, FLOOD_S)
            assert set(others.statuses) == {200}
            assert others.longest_s < OTHERS_WAIT_S
            assert resident_mb(rig.process.pid) - before_mb < GROWTH_MB

    run_on_loop(scenario, LIMIT_S)


class CountingTaker:
    """Wants further turns, and counts those it had."""

    def __init__(self, turns: TurnQueue, wanted: int) -> None:
        self._turns, self._wanted, self.taken = turns, wanted, 0

    def take_turn(self) -> None:
        self.taken += 1
        if self.taken < self._wanted:
            self._turns.add(self)


def test_turns_are_bounded_in_each_iteration_and_go_round() -> None:
    scheduled: list = []
    turns = TurnQueue(scheduled.append)
    takers = [CountingTaker(turns, 3) for _ in range(3 * TURNS_PER_ITERATION)]
    for taker in takers:
        turns.add(taker)
    iterations = 0
    while scheduled:
        before = sum(taker.taken for taker in takers)
        scheduled.pop()()
        iterations += 1
        assert sum(taker.taken for taker in takers) - before <= TURNS_PER_ITERATION
        assert max(taker.taken for taker in takers) - min(taker.taken for taker in takers) <= 1
        assert len(scheduled) <= 1
    assert [taker.taken for taker in takers] == [3] * len(takers) and iterations == 9


def test_a_failed_turn_stops_no_other_one() -> None:
    scheduled: list = []
    turns = TurnQueue(scheduled.append)
    failing = type("Failing", (), {"take_turn": lambda taker: 1 / 0})()
    turns.add(failing)
    after = CountingTaker(turns, 1)
    turns.add(after)
    with pytest.raises(ZeroDivisionError):
        scheduled.pop()()
    while scheduled:
        scheduled.pop()()
    assert after.taken == 1


class ReadingTransport:
    """A server connection's transport that notes whether it is read."""

    def __init__(self) -> None:
        self.is_read = True

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.is_read = False

    def resume_reading(self) -> None:
        self.is_read = True


# Guards against: an answer in very short chunks was parsed without a break while others waited.
def test_a_server_connection_with_more_to_read_waits_for_its_turn() -> None:
    async def scenario() -> None:
        pool = Pool(asyncio.get_running_loop(), 8, 250, 15000, observer=None)
        link, transport = Link(pool, server=None), ReadingTransport()
        link.transport, link.exchange = transport, object()
        size = len(link.get_buffer(-1))
        link.data_received((b"HTTP/1.1 200 OK\r\nA: " + b"x" * size)[:size])
        assert not transport.is_read
        link.pause(True)  # its client reads slowly
        await asyncio.sleep(0)
        assert not transport.is_read
        link.pause(False)
        assert transport.is_read
        link.data_received(b"x")
        assert transport.is_read  # nothing is left
        link._headers = {b"transfer-encoding": b"chunked"}
        assert len(link.get_buffer(-1)) == link_module.CHUNKED_READ_BYTES

    run_on_loop(scenario)


# Guards against: all requests of one read were begun at once, whatever that took.
def test_a_connection_begins_a_few_requests_in_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        count = 5 * REQUESTS_PER_TURN
        script.plan[api.Request] = []
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        begun: list[int] = []
        request = core.request

        def refuse(client: object, client_request: object, arrived_at: float) -> str:
            begun.append(1)
            request_id = request(client, client_request, arrived_at)
            core._answer(core._requests[request_id], 503)
            return request_id

        monkeypatch.setattr(core, "request", refuse)
        connection.data_received(b"".join(message(rid=b"r%d" % i) for i in range(count)))
        assert len(begun) == REQUESTS_PER_TURN
        for turn in range(2, count // REQUESTS_PER_TURN + 1):
            await asyncio.sleep(0)
            assert len(begun) <= turn * REQUESTS_PER_TURN
        while len(begun) < count:
            await asyncio.sleep(0)
        core.stop()

    run_on_loop(scenario)


def test_what_takes_time_to_parse_is_read_in_small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        assert len(connection.get_buffer(-1)) == HEAD_READ_BYTES
        connection.data_received(message("put", body=b"x" * 1000)[:-900])
        assert len(connection.get_buffer(-1)) == READ_BYTES
        other = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        other.connection_made(FullTransport(other))
        other.data_received(message("put", drop="Content-Length", more="Transfer-Encoding: chunked\r\n"))
        assert len(other.get_buffer(-1)) == CHUNKED_READ_BYTES
        core.stop()

    run_on_loop(scenario)


# Guards against: a queue of requests with a short head never filled, and took what its client sent.
@pytest.mark.parametrize("body_bytes", [0, 1000])
def test_reading_pauses_while_enough_requests_wait(monkeypatch: pytest.MonkeyPatch, body_bytes: int) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        request = message("put", body=b"x" * body_bytes)
        waiting = -1  # the first one is open
        while connection._read_paused_at_s is None:
            connection.data_received(request)
            waiting += 1
        text_bytes = len(request) - request.count(b"\r\n")  # at most: without the parts that are not kept
        fewest = min(MAX_PIPELINED_REQUESTS, MAX_PIPELINED_BYTES // text_bytes)
        assert fewest <= waiting <= MAX_PIPELINED_REQUESTS
        core.stop()

    run_on_loop(scenario)


# Guards against: requests with a short head counted as nothing, so that a queue of them grew without end.
def test_a_queue_counts_each_request_whatever_its_length() -> None:
    queue, total = RequestQueue(), 0
    messages = [RequestMessage() for _ in range(10)]
    for i, item in enumerate([*messages, 400]):
        if isinstance(item, RequestMessage):
            item.head_bytes, item.reserved_bytes = i, 2 * i
        queue.append(item)
        total += REQUEST_OVERHEAD_BYTES + 3 * i if isinstance(item, RequestMessage) else 0
        assert queue.bytes == total
    assert queue.only() is None and queue.popleft() is messages[0]
    queue.discard(messages[4])
    queue.discard(messages[4])
    assert queue.count == 9 and queue.bytes == total - 2 * REQUEST_OVERHEAD_BYTES - 3 * 4
    assert queue.drain() == [*messages[1:4], *messages[5:], 400]
    assert not queue.bytes and not queue.count
