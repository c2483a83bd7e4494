"""Many hostile or slow clients at once leave the process within its memory, and the others served."""

from __future__ import annotations

import asyncio
import gc
import math
import weakref
from pathlib import Path

import pytest
from conftest import FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop, silent
from crowd_rig import MB, peak_bytes
from crowding_client import KINDS
from load_process import others_served
from scripted_core import core_with
from test_streams import FullTransport

from yewstage.net.budget import LARGE_SHARE, SMALL_REQUEST_BYTES, MemoryBudget
from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import ClientConnection
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES
from yewstage.net.request_queue import REQUEST_OVERHEAD_BYTES

SMALLEST_MEMORY_MB, SMALLEST_SOCKETS = 32, 256
CLIENTS = SMALLEST_SOCKETS // 3  # as many as may hold connections for their requests
CROWD_S = 5.0
SOUND_KINDS = ("many_short_fields", "many_at_once")  # sound requests: so many that some of others are refused
OTHERS_WAIT_S = 1.5  # for answers that take a few milliseconds
COPIES = 2  # of what is held: as received, and as written
CONNECTION_BYTES = 32 * 1024  # what a connection takes beside what it holds
LONG_ANSWER = reply(b"x" * 1_000_000)
LIMIT_S = 60.0


def serve(seen: SeenMessage) -> bytes:
    return LONG_ANSWER if "long" in seen.line else reply(b"served")


# Guards against: a crowd made the process pass its memory limit, or took the memory for all other requests.
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_leaves_the_process_within_its_memory_and_the_others_served(
    tmp_path: Path, kind: str
) -> None:
    async def scenario() -> None:
        async with GatewayRig(
            tmp_path, serve, serve, memory_mb=SMALLEST_MEMORY_MB, sockets=SMALLEST_SOCKETS
        ) as rig:
            await rig.ask(message(rid=b"warm"))
            before = peak_bytes(rig.process.pid)
            others = await others_served(rig, "crowding_client.py", kind, CLIENTS, CROWD_S)
            assert set(others.statuses) <= ({200, 503} if kind in SOUND_KINDS else {200})
            assert others.longest_s < OTHERS_WAIT_S
            limit = (await rig.metrics())["gateway_held_bytes_limit"]
            assert peak_bytes(rig.process.pid) - before < COPIES * limit + CLIENTS * CONNECTION_BYTES

    run_on_loop(scenario, LIMIT_S)


class TrackedConnection(ClientConnection):
    """A connection that a weak reference can refer to."""


# Guards against: a lost connection stayed in memory, with what it held, until a collection of cycles.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        message()[:-2],
        message("put", body=b"x" * 1000)[:-1],
        message("put", body=b"x" * 2 * MAX_BUFFERED_BODY_BYTES)[:-1],
        b"nonsense\r\n\r\n",
    ],
    ids=["nothing", "half of a head", "half of a short body", "half of a long body", "not HTTP"],
)
def test_a_lost_connection_is_released_at_once(monkeypatch: pytest.MonkeyPatch, data: bytes) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        listener = ClientListener(core, asyncio.get_running_loop(), 100)
        connection = TrackedConnection(listener)
        transport = FullTransport(connection)
        connection.connection_made(transport)
        if data:
            connection.data_received(data)
        connection.connection_lost(None)
        transport._connection = None
        released = weakref.ref(connection)
        del connection
        await asyncio.sleep(0)  # callbacks that were already scheduled
        assert released() is None
        core.stop()

    gc.disable()
    try:
        run_on_loop(scenario)
    finally:
        gc.enable()


# Guards against: bodies were admitted by what had come of them, so that together they passed the budget.
@pytest.mark.parametrize("fitting", [5, 14, 29])
@pytest.mark.parametrize("missing_bytes", [0, 2])
def test_a_body_that_is_admitted_has_its_memory(
    monkeypatch: pytest.MonkeyPatch, fitting: int, missing_bytes: int
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        core.stats.descriptors.on_change = None  # the budget is the test's, whatever this process holds
        listener = ClientListener(core, asyncio.get_running_loop(), 1000)
        head = message("put", body=b"x" * MAX_BUFFERED_BODY_BYTES)[:-MAX_BUFFERED_BODY_BYTES]
        admitted: list[ClientConnection] = []

        def is_admitted() -> bool:
            connection = ClientConnection(listener)
            connection.connection_made(FullTransport(connection))
            connection.data_received(head)  # nothing of the body yet
            if not connection._is_closing:
                admitted.append(connection)
            return not connection._is_closing

        core.budget.set_limit(MB)
        assert is_admitted()
        needed_bytes = (fitting - 1) * core.budget.held + MAX_BUFFERED_BODY_BYTES + REQUEST_OVERHEAD_BYTES
        core.budget.set_limit(math.ceil(needed_bytes / LARGE_SHARE) - missing_bytes)
        while is_admitted():
            pass
        assert len(admitted) == (fitting - 1 if missing_bytes else fitting)
        for connection in admitted:
            connection.data_received(b"x" * (MAX_BUFFERED_BODY_BYTES - 1))
        assert core.budget.held <= LARGE_SHARE * core.budget.limit_bytes
        for connection in admitted:
            connection.connection_lost(None)
        assert not core.budget.held_bytes_by_purpose()["uploads"]
        core.stop()

    run_on_loop(scenario)


# Guards against: what many rejected requests no longer held was missing for the small requests of others.
def test_a_rejected_request_holds_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        core.budget.open_account("answers").set(int(LARGE_SHARE * core.budget.limit_bytes))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        connection.data_received(message("put", body=b"x" * MAX_BUFFERED_BODY_BYTES)[:-1])
        assert connection._is_closing and not core.budget.held_bytes_by_purpose()["requests"]
        core.stop()

    run_on_loop(scenario)


def test_memory_for_small_requests_is_left_when_large_ones_are_refused() -> None:
    budget = MemoryBudget(MB, lambda: 0.0)
    large = budget.open_account("requests")
    large.set(int(LARGE_SHARE * MB))
    assert not budget.admits(SMALL_REQUEST_BYTES + 1)
    assert not budget.admits(MAX_BUFFERED_BODY_BYTES, more_bytes=1)
    assert budget.admits(MAX_BUFFERED_BODY_BYTES, more_bytes=0) and not budget.is_short()
    small = budget.open_account("requests")
    while budget.admits(SMALL_REQUEST_BYTES):
        small.set(small.bytes + SMALL_REQUEST_BYTES)
    assert budget.is_short() and small.bytes >= (1 - LARGE_SHARE) * MB - SMALL_REQUEST_BYTES
