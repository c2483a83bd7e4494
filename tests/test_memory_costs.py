"""What each owner of memory takes, against what the plan sets aside for it."""

from __future__ import annotations

import asyncio
import gc
import json
import tracemalloc
import weakref
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import (
    LOOP,
    Driver,
    FakeHttpServer,
    GatewayRig,
    actions_of,
    instance,
    run_on_loop,
    serve,
    silent,
)
from crowd_rig import MB, REFUSING_PORTS, CrowdRig, crowd, stand_in_servers
from crowding_client import ALL_KINDS
from scripted_core import core_with

from yewstage import interface as api
from yewstage.net import counter, discovery, ops
from yewstage.net.discovery import load_listing
from yewstage.net.http1 import ConnectAttempt, ReplyProtocol
from yewstage.net.memory_plan import (
    BYTES_PER_COUNTED_BYTE,
    CONNECTION_BYTES,
    CUSTOMER_BYTES,
    LISTED_SERVER_BYTES,
    REQUEST_ID_BYTES,
    RESERVED_BYTES,
)
from yewstage.net.receive_buffer import READ_BYTES
from yewstage.net.stats import DescriptorUse
from yewstage.request_ids import RequestIds

CUSTOMERS = 2000
REQUEST_IDS = 4000
LONGEST_ID_BYTES = 128
SERVERS = 3200
AMPLE_MEMORY_MB, SOCKETS = 192, 1024  # so that nothing is short
CLIENTS = SOCKETS // 3
CROWD_S = 4.0
LIMIT_S = 60.0
# Parts of the reserve.
OPERATORS_ANSWER_BYTES = 10 * 1024
COUNTER_CALL_BYTES = 1000


def traced_bytes(work: Callable[[], object]) -> tuple[int, int]:
    """The bytes that some work leaves allocated, and its peak."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = work()
        gc.collect()
        left_bytes, peak_bytes = tracemalloc.get_traced_memory()
        del kept
        return left_bytes, peak_bytes
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("plan", ["open", "basic", "capped"])
def test_a_customer_takes_no_more_than_the_plan_has_for_it(plan: str) -> None:
    driver = Driver(max_customers=10 * CUSTOMERS)

    def serve_each() -> None:
        for number in range(CUSTOMERS):
            request, actions = driver.ask(plan=plan, customer=f"{number:016x}")
            if actions_of(actions, api.Send):
                driver.end(request)
            driver.log.clear()

    left_bytes, _ = traced_bytes(serve_each)
    assert len(driver.gateway.customer_quotas) == CUSTOMERS
    assert left_bytes <= CUSTOMERS * CUSTOMER_BYTES


def test_a_request_id_takes_no_more_than_the_plan_has_for_it() -> None:
    request_ids = RequestIds(60.0, REQUEST_IDS)

    def keep_each() -> None:
        for number in range(REQUEST_IDS):
            request_ids.keep((f"{number}".rjust(LONGEST_ID_BYTES, "i"),), float(number) / REQUEST_IDS)

    left_bytes, _ = traced_bytes(keep_each)
    assert len(request_ids.ids()) == REQUEST_IDS
    assert left_bytes <= REQUEST_IDS * REQUEST_ID_BYTES


# Guards against: the list of servers was no part of the plan, and most was taken while it was parsed.
@pytest.mark.parametrize("indent", [None, 4])
def test_a_listed_server_takes_no_more_than_the_plan_has_for_it(
    monkeypatch: pytest.MonkeyPatch, indent: int | None
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        instances = [instance(f"s-{number:08x}", 10_000 + number) for number in range(SERVERS)]
        raw = {"generation": 2, "reset": True, "instances": instances}
        text = json.dumps(raw, indent=indent).encode()

        def apply_list() -> None:
            copies = bytearray(text)  # as it is received, and as it is passed on
            core._on_list(load_listing(bytes(copies), SERVERS))

        def apply_two_lists() -> None:
            apply_list()
            apply_list()

        _, peak_bytes = traced_bytes(apply_two_lists)
        assert core._pool.server_count() == SERVERS
        assert peak_bytes <= SERVERS * LISTED_SERVER_BYTES
        core.stop()

    run_on_loop(scenario)


# Guards against: what single owners may hold together was more than the reserve that is said to have it.
def test_the_reserve_suffices_for_all_that_is_not_counted() -> None:
    operators_bytes = ops.MAX_CONNECTIONS * (
        2 * ops.MAX_CALL_HEAD_BYTES + ops.MAX_CALL_BODY_BYTES + OPERATORS_ANSWER_BYTES
    )
    counter_connections = 2 * counter.CONNECTIONS  # those of the address before stay open for a moment
    counter_bytes = counter_connections * (2 * counter.MAX_ANSWER_HEAD_BYTES + counter.MAX_ANSWER_BODY_BYTES)
    calls_bytes = counter.CONNECTIONS * counter.MAX_CALLS_IN_PROGRESS * COUNTER_CALL_BYTES
    discovery_bytes = (
        2 * discovery.MAX_LIST_HEAD_BYTES
    )  # the text of the list is a part of LISTED_SERVER_BYTES
    # Connections of clients and to servers are a part of the plan, these are not.
    connections = ops.MAX_CONNECTIONS + counter_connections + 2
    connection_bytes = connections * CONNECTION_BYTES
    parts = (READ_BYTES, operators_bytes, counter_bytes, calls_bytes, discovery_bytes, connection_bytes)
    assert sum(parts) <= RESERVED_BYTES


def test_an_answer_to_operators_takes_no_more_than_the_reserve_has_for_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            assert len((await rig.ops("/ops/stats")).body) <= OPERATORS_ANSWER_BYTES

    run_on_loop(scenario)


# Guards against: calls to a counter that is silent waited without a limit on their number.
def test_calls_to_a_silent_counter_take_no_more_than_the_reserve_has_for_them() -> None:
    async def scenario() -> None:
        silent_counter = await FakeHttpServer(silent).start()
        replies: list[api.CountReply] = []
        calls = counter.Counter(
            asyncio.get_running_loop(), (LOOP, silent_counter.port), 1000.0, replies.append
        )
        calls.start()
        capacity = counter.CONNECTIONS * counter.MAX_CALLS_IN_PROGRESS

        def call_each() -> None:
            for number in range(capacity):
                calls.call(api.Count(f"quota-{number:030}", 1.0, 60_000.0))

        left_bytes, _ = traced_bytes(call_each)
        assert not replies and left_bytes <= capacity * COUNTER_CALL_BYTES
        calls.call(api.Count("one more", 1.0, 60_000.0))
        assert [reply.result for reply in replies] == [api.CONNECT_FAILED]
        calls.stop()
        silent_counter.stop()

    run_on_loop(scenario)


async def check_costs(folder: Path, kind: str, ports: list[int]) -> None:
    """Let a crowd loose on a gateway with ample memory, and compare what it takes with the plan."""
    async with CrowdRig(folder, ports, memory_mb=AMPLE_MEMORY_MB, sockets=SOCKETS) as rig:
        await crowd(rig, kind, CLIENTS, CROWD_S)
        metrics = await rig.metrics()
        planned_bytes = (
            metrics["gateway_memory_rest_bytes"]
            + RESERVED_BYTES
            + metrics["gateway_sockets_peak"] * CONNECTION_BYTES
            + metrics["gateway_held_bytes_peak"] * BYTES_PER_COUNTED_BYTE
        )
        assert rig.peak.highest <= planned_bytes, f"{rig.peak.highest / MB:.1f} MB"


# Guards against: what a process holds grew by more than its connections and its counted bytes explain.
@pytest.mark.parametrize(
    "kind",
    [
        "idle",
        "waiting",
        "slow_body",
        "half_of_a_short_body",
        "upload_that_nobody_reads",
        "endless_trailer",
        "many_with_fields_at_once",
        "reader_of_long",
        "reader_of_until_close",
        "reader_of_short_fields",
        "reader_of_endless_trailer",
    ],
)
def test_a_process_takes_no_more_than_the_plan_has_for_what_it_holds(tmp_path: Path, kind: str) -> None:
    async def scenario() -> None:
        async with stand_in_servers() as ports:
            await check_costs(tmp_path, kind, ports)

    run_on_loop(scenario, LIMIT_S)


# Guards against: what each failed dial had created stayed until the next collection of cycles.
def test_servers_that_refuse_connections_cost_no_more_than_others(tmp_path: Path) -> None:
    run_on_loop(lambda: check_costs(tmp_path, "waiting", REFUSING_PORTS), LIMIT_S)


# Guards against: the same, for whatever the process creates: memory that is released late is not planned for.
@pytest.mark.parametrize("disturbance", ["none", "sighup", "list"])
def test_crowds_leave_nothing_to_the_collection_of_cycles(tmp_path: Path, disturbance: str) -> None:
    async def scenario() -> None:
        async with stand_in_servers() as ports:
            ports += REFUSING_PORTS
            limits = {"memory_mb": AMPLE_MEMORY_MB, "sockets": SOCKETS}
            async with CrowdRig(tmp_path, ports, reports_garbage=True, **limits) as rig:
                at_rest = await rig.garbage_count()
                await crowd(rig, ALL_KINDS, CLIENTS, CROWD_S, disturbance)
                assert await rig.garbage_count() == at_rest

    run_on_loop(scenario, LIMIT_S)


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_failed_dial_releases_its_protocol_at_once(is_cancelled: bool) -> None:
    async def scenario() -> None:
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        created: list[weakref.ref] = []

        def create() -> ReplyProtocol:
            protocol = ReplyProtocol()
            created.append(weakref.ref(protocol))
            return protocol

        address = (LOOP, REFUSING_PORTS[0])
        dial = ConnectAttempt(loop, create, address, 1.0, DescriptorUse(), lambda *result: ended.set())
        if is_cancelled:
            loop.call_soon(dial.cancel)
        await ended.wait()
        del dial
        await asyncio.sleep(0)
        assert not any(reference() for reference in created)

    gc.disable()
    try:
        run_on_loop(scenario)
    finally:
        gc.enable()
