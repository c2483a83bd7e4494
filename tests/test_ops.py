"""Operators' address: readiness, correct metrics, and callers that never complete a call."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from conftest import LOOP, GatewayRig, SeenMessage, actions_of, message, read_message, reply, run_on_loop
from test_streams import FullTransport

from yewstage import interface as api
from yewstage.net import ops as ops_module
from yewstage.net.http_server import (
    MAX_QUERY_FIELDS,
    MAX_QUEUED_CALLS,
    ConnectionLimits,
    HttpConnection,
    HttpRequest,
    HttpServer,
)
from yewstage.net.ops import Ops
from yewstage.net.stats import Stats
from yewstage.policy import Gateway


def handle(seen: SeenMessage) -> bytes | None:
    """A server that answers GET, fails other requests, and is silent on those with an idempotency key."""
    if seen.line.startswith("GET"):
        return reply(b"ok")
    return None if "idempotency-key" in seen.headers else reply(status=500)


def test_metrics_match_the_answers_that_clients_received(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, handle) as rig:
            metrics = await rig.metrics()
            for kind in ("fulfilled", "throttled", "faulted"):
                for name in ("read", "put", "pay"):
                    assert metrics[f'gateway_{kind}_total{{priority="{name}"}}'] == 0
            assert metrics["gateway_registry_entries"] == 1 and metrics["gateway_out_of_rotation"] == 0
            for _ in range(3):
                assert await rig.status(message()) == 200
            assert await rig.status(message("pay", key=False)) == 502
            codes = [await rig.status(message(plan="small")) for _ in range(6)]
            reader, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].wait_until(lambda fake: any("idempotency-key" in s.headers for s in fake.seen))
            metrics = await rig.metrics()
            assert metrics['gateway_fulfilled_total{priority="read"}'] == 3 + codes.count(200)
            assert metrics['gateway_throttled_total{priority="read"}'] == codes.count(503) > 0
            assert metrics['gateway_refusals_total{reason="quota"}'] == codes.count(503)
            assert sum(v for k, v in metrics.items() if k.startswith("gateway_refusals")) == codes.count(503)
            assert metrics['gateway_faulted_total{priority="pay"}'] == 1
            assert metrics["gateway_relayed_total"] == len(rig.hosts[0].seen)
            assert metrics["gateway_open_requests"] == 1
            writer.close()
            while (await rig.metrics())["gateway_open_requests"]:
                await asyncio.sleep(0.01)

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"GET /ops/stats?x=1 HTTP/1.1\r\n\r\n", 200),
        (b"GET /ops/nothing HTTP/1.1\r\n\r\n", 404),
        (b"POST /ops/stats HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /ops/stats HTTP/1.1\r\nX: " + b"x" * 20000, 400),
        (b"POST /ops HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"x" * 20000, 400),
    ],
)
def test_each_call_gets_one_answer_and_the_connection_is_closed(
    tmp_path: Path, call: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, handle) as rig:
            reader, writer = await asyncio.open_connection(LOOP, rig.ops_port)
            writer.write(call)
            assert int((await read_message(reader, writer)).line.split()[1]) == status
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()

    run_on_loop(scenario)


def test_a_new_caller_replaces_the_oldest_stalled_one() -> None:
    async def scenario() -> None:
        ops = Ops(asyncio.get_running_loop(), lambda: False, lambda: "")
        address = await ops.start((LOOP, 0))
        stalled = [await asyncio.open_connection(*address) for _ in range(ops_module.MAX_CONNECTIONS + 4)]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /ops/readiness HTTP/1.1\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"503"
        first, _ = stalled[0]
        with contextlib.suppress(ConnectionResetError):
            assert await first.read() == b""  # the oldest connection was closed
        for _, other in [*stalled, (reader, writer)]:
            other.close()
        ops.stop()

    run_on_loop(scenario, 4)  # less than CALL_TIMEOUT_S, so that no time-out freed the place


class CountingConnection(HttpConnection):
    """A connection that counts the calls that it parses."""

    parsed_count = 0

    def _parse_call(self) -> HttpRequest | None:
        self.parsed_count += 1
        return super()._parse_call()


# Guards against: thousands of calls in one read were all parsed before their number was compared.
@pytest.mark.parametrize(("idle_timeout_s", "parsed_count"), [(0.0, 1), (5.0, MAX_QUEUED_CALLS)])
def test_no_more_calls_are_parsed_than_may_wait(idle_timeout_s: float, parsed_count: int) -> None:
    async def scenario() -> None:
        limits = ConnectionLimits(1, 5.0, 5.0, idle_timeout_s)
        server = HttpServer(asyncio.get_running_loop(), lambda call, caller: None, limits)
        connection = CountingConnection(server)
        connection.connection_made(FullTransport(connection))
        connection.data_received(b"GET / HTTP/1.1\r\n\r\n" * 3000)
        connection.data_received(b"GET / HTTP/1.1\r\n\r\n" * 3000)
        assert connection.parsed_count == parsed_count

    run_on_loop(scenario)


# Guards against: one call with thousands of parameters took a hundred times its bytes.
def test_a_call_with_too_many_parameters_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, handle) as rig:
            for count, status in ((MAX_QUERY_FIELDS, "200"), (MAX_QUERY_FIELDS + 1, "400")):
                query = "&".join(f"{number}=" for number in range(count))
                assert (await rig.ops(f"/ops/readiness?{query}")).line.split()[1] == status

    run_on_loop(scenario)


def test_a_removed_class_keeps_its_counts_and_labels_are_escaped() -> None:
    stats = Stats(["a", 'b"\\'])
    stats.count_answer("a", 200)
    stats.add_classes(["c"])
    lines = stats.text(0, 0, 0).splitlines()
    assert 'gateway_fulfilled_total{priority="a"} 1' in lines
    assert 'gateway_throttled_total{priority="b\\"\\\\"} 0' in lines
    assert 'gateway_faulted_total{priority="c"} 0' in lines


def test_the_policy_reports_servers_out_of_rotation() -> None:
    gateway = Gateway(api.Settings((api.RequestClass("read", 1000, 4000),), (api.Plan("open"),)), 1)
    gateway.handle(0, api.ServerList("full", (api.Server("a:1"), api.Server("b:1", status="draining"))))
    assert gateway.rotation_counts() == (2, 1)
    (send,) = actions_of(gateway.handle(1, api.Request("r", "read", "open", "c", 4000)), api.Send)
    gateway.handle(2, api.Outcome("r", 0, send.server, api.CONNECT_FAILED, 1, False))
    assert gateway.rotation_counts() == (2, 2)
