"""All parts of the memory together stay within the limit, as a formula, and what is measured corrects it."""

from __future__ import annotations

import itertools
import logging
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewstage.net import client_listener, core
from yewstage.net.memory_plan import (
    BYTES_PER_COUNTED_BYTE,
    CONNECTION_BYTES,
    CUSTOMER_BYTES,
    LISTED_SERVER_BYTES,
    MIN_BODY_BYTES,
    MIN_CONNECTIONS,
    REQUEST_ID_BYTES,
    RESERVED_BYTES,
    MemoryPlan,
)
from yewstage.net.process_memory import HIGH_LOG_INTERVAL_S, ProcessMemory
from yewstage.net.stats import Stats

MB = 2**20
LEAST_MEMORY_MB, MOST_MEMORY_MB = 32, 192  # of the operators' pages
LEAST_SOCKETS, MOST_SOCKETS = 256, 1024
MOST_SERVERS = 3200
AT_REST_MB = 25  # more than either kind of machine holds at rest


def sum_of_parts(plan: MemoryPlan, connections: int, overshoot_bytes: int = 0) -> int:
    """What all owners of memory may hold at the same time."""
    return (
        plan.resident_bytes
        + RESERVED_BYTES
        + plan.tables.max_customers * CUSTOMER_BYTES
        + plan.tables.max_request_ids * REQUEST_ID_BYTES
        + plan.servers * LISTED_SERVER_BYTES
        + connections * CONNECTION_BYTES
        + plan.body_bytes(connections, overshoot_bytes) * BYTES_PER_COUNTED_BYTE
    )


@given(
    limit_mb=st.integers(LEAST_MEMORY_MB, MOST_MEMORY_MB),
    resident_bytes=st.integers(10 * MB, 200 * MB),
    sockets=st.integers(LEAST_SOCKETS, MOST_SOCKETS),
    connections=st.integers(0, MOST_SOCKETS),
    servers=st.integers(0, MOST_SERVERS),
)
def test_all_parts_together_stay_within_the_limit(
    limit_mb: int, resident_bytes: int, sockets: int, connections: int, servers: int
) -> None:
    plan = MemoryPlan(limit_mb * MB, resident_bytes, sockets, servers)
    assert plan.tables.max_servers >= MOST_SERVERS
    connections = min(connections, plan.max_connections)
    assert sum_of_parts(plan, connections) <= max(plan.limit_bytes, resident_bytes) + plan.shortage_bytes
    assert plan.body_bytes(connections) >= MIN_BODY_BYTES and plan.max_connections >= MIN_CONNECTIONS
    assert plan.max_client_connections + plan.max_server_connections == plan.max_connections


# Guards against: the connections that the pages allow did not fit into the least memory that they name.
@pytest.mark.parametrize("sockets", [LEAST_SOCKETS, MOST_SOCKETS])
def test_the_least_memory_suffices_for_the_descriptors(sockets: int) -> None:
    plan = MemoryPlan(LEAST_MEMORY_MB * MB, AT_REST_MB * MB, sockets)
    assert not plan.shortage_bytes
    clients_with_requests = sockets // 3
    assert plan.max_client_connections >= clients_with_requests
    assert plan.max_server_connections >= clients_with_requests
    assert min(client_listener.CLIENT_DESCRIPTOR_SHARE, core.UPSTREAM_SHARE) > 1 / 3


@given(
    resident_bytes=st.integers(10 * MB, 40 * MB),
    connections=st.integers(0, MOST_SOCKETS),
    overshoot_bytes=st.integers(0, 40 * MB),
)
def test_less_may_be_held_with_more_connections_and_above_the_plan(
    resident_bytes: int, connections: int, overshoot_bytes: int
) -> None:
    plan = MemoryPlan(LEAST_MEMORY_MB * MB, resident_bytes, LEAST_SOCKETS)
    assert plan.body_bytes(connections + 1) <= plan.body_bytes(connections)
    assert plan.body_bytes(connections, overshoot_bytes) <= plan.body_bytes(connections)
    assert plan.body_bytes(connections, overshoot_bytes) >= MIN_BODY_BYTES


def memory_with(
    resident_mb: list[float],
    now_s: list[float],
    limit_mb: int = LEAST_MEMORY_MB,
    may_be_upgraded: bool = False,
) -> tuple[ProcessMemory, Stats]:
    """A process whose resident memory and clock are these, as they are set last."""
    stats = Stats(())
    stats.process = SimpleNamespace(memory_bytes=lambda: (int(resident_mb[-1] * MB), 0))
    memory = ProcessMemory(limit_mb * MB, LEAST_SOCKETS, stats, lambda: now_s[-1], may_be_upgraded)
    return memory, stats


# Guards against: bodies were admitted in the place of connections that the clients then opened, so that the
# small requests of all others were refused until those bodies had ended.
@pytest.mark.parametrize("sockets", [LEAST_SOCKETS, MOST_SOCKETS])
def test_the_connections_of_a_permitted_crowd_do_not_make_the_budget_smaller(sockets: int) -> None:
    plan = MemoryPlan(LEAST_MEMORY_MB * MB, AT_REST_MB * MB, sockets)
    permitted_connections = 2 * (sockets // 3)
    assert plan.body_bytes(permitted_connections) == plan.body_bytes(0)


# Guards against: connections took memory that the budget of held bytes had counted as its own.
def test_the_budget_follows_the_connections_of_all_purposes() -> None:
    memory, stats = memory_with([23.0], [0.0])
    uses = itertools.cycle(stats.descriptors.uses.values())
    opened = [next(uses) for _ in range(700)]
    for count, use in enumerate(opened, 1):
        use.opened()
        assert memory.budget.limit_bytes == memory.plan.body_bytes(count)
    assert memory.budget.limit_bytes < memory.plan.body_bytes(0)
    for use in opened:
        use.closed()
    assert memory.budget.limit_bytes == memory.plan.body_bytes(0)


# Guards against: what no part of the plan counts went on growing up to the limit, and no log told of it.
def test_memory_above_the_plan_makes_the_budget_smaller_and_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    resident_mb, now_s = [23.0], [100.0]
    memory, _ = memory_with(resident_mb, now_s)
    planned_bytes = memory.budget.limit_bytes
    with caplog.at_level(logging.INFO):
        memory.check()
        assert memory.budget.limit_bytes == planned_bytes and not caplog.records
        resident_mb.append(LEAST_MEMORY_MB + 0.0)
        memory.check()
        assert memory.overshoot_bytes == RESERVED_BYTES // 2
        assert memory.budget.limit_bytes == memory.plan.body_bytes(0, RESERVED_BYTES // 2)
        memory.check()
        now_s.append(now_s[-1] + HIGH_LOG_INTERVAL_S)
        memory.check()
    assert [record.msg.name for record in caplog.records] == ["memory_high"] * 2
    resident_mb.append(23.0)
    memory.check()
    assert memory.budget.limit_bytes == planned_bytes


# Guards against: two processes of an upgrade planned with the whole limit each.
def test_two_processes_plan_with_half_of_the_limit_each() -> None:
    memory, _ = memory_with([23.0], [0.0])
    tables = memory.plan.tables
    memory.set_limits(LEAST_MEMORY_MB * MB, LEAST_SOCKETS, True)
    assert memory.plan.limit_bytes == LEAST_MEMORY_MB * MB // 2
    assert memory.budget.limit_bytes == MIN_BODY_BYTES
    memory.set_limits(LEAST_MEMORY_MB * MB, LEAST_SOCKETS, False)
    assert memory.budget.limit_bytes == memory.plan.body_bytes(0) > MIN_BODY_BYTES
    assert memory.plan.tables == tables  # which the process has already


# Guards against: a process held the whole limit when another one started beside it for an upgrade.
@pytest.mark.parametrize(
    ("limit_mb", "planned_mb"), [(LEAST_MEMORY_MB, LEAST_MEMORY_MB), (64, 32), (192, 96)]
)
def test_a_process_that_may_be_upgraded_leaves_half_if_that_suffices(limit_mb: int, planned_mb: int) -> None:
    memory, _ = memory_with([23.0], [0.0], limit_mb, may_be_upgraded=True)
    assert memory.plan.limit_bytes == planned_mb * MB
    memory.set_limits(limit_mb * MB, LEAST_SOCKETS, True)
    assert memory.plan.limit_bytes == limit_mb * MB // 2


# Guards against: a limit that was lowered at SIGHUP changed nothing.
def test_a_new_limit_is_planned_with() -> None:
    memory, _ = memory_with([23.0], [0.0], 64)
    memory.set_limits(LEAST_MEMORY_MB * MB, LEAST_SOCKETS, False)
    assert memory.plan.limit_bytes == LEAST_MEMORY_MB * MB
    assert memory.budget.limit_bytes == memory.plan.body_bytes(0)
    plans = []
    memory.on_plan = lambda: plans.append(memory.plan.limit_bytes)
    memory.set_limits(64 * MB, LEAST_SOCKETS, False)
    assert plans == [64 * MB]


# Guards against: the list of servers was no part of the plan, nor what is loaded after the first measure.
def test_the_plan_has_the_list_of_servers_and_what_the_process_holds_when_it_begins_to_serve() -> None:
    resident_mb = [23.0]
    memory, _ = memory_with(resident_mb, [0.0])
    without_list = memory.plan.fixed_bytes
    memory.set_servers(MOST_SERVERS)
    assert memory.plan.fixed_bytes == without_list + MOST_SERVERS * LISTED_SERVER_BYTES
    list_mb = MOST_SERVERS * LISTED_SERVER_BYTES / MB
    resident_mb.append(23.0 + list_mb)
    memory.measure_at_rest()
    assert memory.plan.resident_bytes == pytest.approx(23 * MB, abs=1)
    resident_mb.append(24.0 + list_mb)
    memory.measure_at_rest()
    assert memory.plan.resident_bytes == pytest.approx(24 * MB, abs=1)
