"""Races between two events, in both orders, on sockets.

The test holds one event back until it has observed the other one; nothing depends on timing.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import FakeDiscovery, GatewayRig, message, read_message, reply, run_on_loop, serve, silent

from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def open_request(rig: GatewayRig, data: bytes) -> Streams:
    reader, writer = await rig.connect()
    writer.write(data)
    return reader, writer


async def close_client(writer: asyncio.StreamWriter) -> None:
    """Close the client's connection; its FIN has been sent on return."""
    writer.close()
    await writer.wait_closed()


def request_ids(rig: GatewayRig, server: int = 0) -> list[str]:
    return [seen.headers["x-request-id"] for seen in rig.hosts[server].seen]


def run_scenario(
    tmp_path: Path, steps: Callable[[GatewayRig], Awaitable[None]], *handlers: Callable, **limits: int
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, *(handlers or (silent,)), **limits) as rig:
            await steps(rig)

    run_on_loop(scenario)


# --- SIGTERM ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("first", ["request", "signal"])
def test_a_request_unread_at_sigterm_is_served(tmp_path: Path, first: str) -> None:
    """The connection may be idle and accepted, or still in the backlog."""

    async def steps(rig: GatewayRig) -> None:
        kept = await open_request(rig, message(rid=b"before"))
        assert (await read_message(*kept)).body == b"served"
        rig.process.send_signal(signal.SIGSTOP)
        if first == "signal":
            rig.process.send_signal(signal.SIGTERM)
        kept[1].write(message(rid=b"resting"))
        new = await open_request(rig, message(rid=b"fresh"))
        if first == "request":
            rig.process.send_signal(signal.SIGTERM)
        rig.process.send_signal(signal.SIGCONT)
        for reader, writer in (kept, new):
            assert (await read_message(reader, writer)).body == b"served"
            assert await reader.read() == b""  # whether the signal or the bytes are handled first
        assert await rig.process.wait() == 0 and sorted(request_ids(rig)) == ["before", "fresh", "resting"]

    run_scenario(tmp_path, steps, serve)


def test_pipelined_requests_are_all_answered_before_the_exit(tmp_path: Path) -> None:
    async def steps(rig: GatewayRig) -> None:
        reader, writer = await open_request(rig, b"".join(message("put", rid=b"id-%d" % i) for i in range(4)))
        await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
        rig.process.send_signal(signal.SIGTERM)
        await rig.wait_for_log("draining")
        for i in range(4):
            await rig.hosts[0].wait_until(lambda fake, n=i: len(fake.seen) == n + 1)
            rig.hosts[0].seen[i].writer.write(reply(b"answer %d" % i))
            answer = await read_message(reader, writer)
            assert answer.body == b"answer %d" % i and ("connection" in answer.headers) == (i == 3)
        assert await reader.read() == b"" and await rig.process.wait() == 0

    run_scenario(tmp_path, steps)


def test_a_request_waiting_for_the_counter_at_sigterm_is_answered(tmp_path: Path) -> None:
    async def steps(rig: GatewayRig) -> None:
        rig.counter.behave = silent
        reader, writer = await open_request(rig, message(plan="small"))
        await rig.counter.wait_until(lambda fake: len(fake.seen) == 1)
        rig.process.send_signal(signal.SIGTERM)
        await rig.wait_for_log("draining")
        assert (await read_message(reader, writer)).body == b"served"
        assert await rig.process.wait() == 0

    run_scenario(tmp_path, steps, serve)


@pytest.mark.parametrize("end", ["rest", "reset"])
def test_a_partial_answer_at_sigterm_is_completed_or_fails(tmp_path: Path, end: str) -> None:
    async def steps(rig: GatewayRig) -> None:
        reader, writer = await open_request(rig, message("pay", key=False))
        await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
        server = rig.hosts[0].seen[0].writer
        server.write(reply(b"served")[:-3])
        rig.process.send_signal(signal.SIGTERM)
        await rig.wait_for_log("draining")
        if end == "rest":
            server.write(b"ved")
        else:
            server.transport.abort()
        answer = await read_message(reader, writer)
        assert (answer.line.split()[1], len(request_ids(rig))) == ("200" if end == "rest" else "502", 1)
        assert await rig.process.wait() == 0

    run_scenario(tmp_path, steps)


@pytest.mark.parametrize("size", [1000, 2 * MAX_BUFFERED_BODY_BYTES])
def test_a_partial_request_body_at_sigterm_is_received_whole(tmp_path: Path, size: int) -> None:
    async def steps(rig: GatewayRig) -> None:
        whole = message("put", body=b"x" * size)
        reader, writer = await open_request(rig, whole[:-500])
        await writer.drain()
        rig.process.send_signal(signal.SIGTERM)
        await rig.wait_for_log("draining")
        writer.write(whole[-500:])
        assert (await read_message(reader, writer)).body == b"served"
        assert len(rig.hosts[0].seen[0].body) == size and await rig.process.wait() == 0

    run_scenario(tmp_path, steps, serve)


# --- Client disconnects ------------------------------------------------------------------------------------


@pytest.mark.parametrize("first", ["client", "total"])
def test_nothing_is_sent_for_a_client_that_left_during_a_counter_call(tmp_path: Path, first: str) -> None:
    async def steps(rig: GatewayRig) -> None:
        rig.counter.behave = silent
        _, writer = await open_request(rig, message(plan="small", rid=b"leaves"))
        await rig.counter.wait_until(lambda fake: len(fake.seen) == 1)
        total = rig.counter.seen[0].writer
        if first == "client":
            await close_client(writer)
            await rig.wait_for_log("client left")
            total.write(reply(b"2"))
        else:
            total.write(reply(b"2"))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            await close_client(writer)
            await rig.hosts[0].wait_until(lambda fake: fake.closed == 1)  # the server sees the disconnect
        rig.counter.behave = lambda seen: reply(b"4")
        rig.hosts[0].behave = serve
        assert await rig.status(message(rid=b"next")) == 200
        assert request_ids(rig) == (["next"] if first == "client" else ["leaves", "next"])

    run_scenario(tmp_path, steps)


@pytest.mark.parametrize("first", ["client", "reset"])
def test_no_attempt_begins_for_a_client_that_left_between_two_attempts(tmp_path: Path, first: str) -> None:
    async def steps(rig: GatewayRig) -> None:
        _, writer = await open_request(rig, message("put", rid=b"leaves"))
        while not (began := [host for host in rig.hosts if host.seen]):
            await asyncio.sleep(0)
        server = began[0].seen[0].writer.transport
        if first == "client":
            await close_client(writer)
            await rig.wait_for_log("client left")
            server.abort()
        else:
            server.abort()
            while sum(len(host.seen) for host in rig.hosts) < 2:
                await asyncio.sleep(0)
            await close_client(writer)
        await rig.wait_for_log("client left")
        for host in rig.hosts:
            host.behave = serve
        assert await rig.status(message(rid=b"next")) == 200
        begun = ["leaves"] if first == "client" else ["leaves", "leaves"]
        assert sorted(request_ids(rig, 0) + request_ids(rig, 1)) == [*begun, "next"]

    run_scenario(tmp_path, steps, silent, silent)


# --- Servers leave the list --------------------------------------------------------------------------------


@pytest.mark.parametrize("list_kind", ["changes", "whole"])
def test_a_server_off_the_list_completes_its_request_and_gets_no_new_one(
    tmp_path: Path, list_kind: str
) -> None:
    """A whole list omits a draining server, which may still answer what it has."""

    async def steps(rig: GatewayRig) -> None:
        reader, writer = await open_request(rig, message(rid=b"held"))
        while not (busy := [i for i, host in enumerate(rig.hosts) if host.seen]):
            await asyncio.sleep(0)
        (left,) = {0, 1} - set(busy)
        rig.hosts[left].behave = serve
        gone_one = {**rig.instances()[busy[0]], "lifecycle": "gone"}
        await rig.directory.tell(
            [rig.instances()[left]] if list_kind == "whole" else [gone_one], list_kind == "whole"
        )
        for i in range(6):
            assert await rig.status(message(rid=b"new-%d" % i)) == 200
        rig.hosts[busy[0]].seen[0].writer.write(reply(b"late"))
        assert (await read_message(reader, writer)).body == b"late"
        assert request_ids(rig, busy[0]) == ["held"] and len(request_ids(rig, left)) == 6

    run_scenario(tmp_path, steps, silent, silent)


@pytest.mark.parametrize("how", ["reset", "ends"])
def test_after_a_broken_watch_the_list_is_requested_at_once(tmp_path: Path, how: str) -> None:
    """Otherwise a server that began to drain meanwhile would get new requests."""

    async def steps(rig: GatewayRig) -> None:
        directory = rig.directory
        await directory.fake.wait_until(lambda fake: bool(directory.waiting))
        directory.instances = [rig.instances()[1]]
        seen = len(directory.fake.seen)
        watch = directory.waiting.pop().writer
        watch.transport.abort() if how == "reset" else watch.close()
        await directory.fake.wait_until(lambda fake: len(fake.seen) > seen)
        again = directory.waiting.pop().writer  # the first answer on a new connection may be the whole list
        directory.generation += 1
        again.write(directory.listing(directory.instances, True))
        await directory.fake.wait_until(lambda fake: len(fake.seen) > seen + 1)
        for i in range(6):
            assert await rig.status(message(rid=b"new-%d" % i)) == 200
        assert not request_ids(rig, 0) and len(request_ids(rig, 1)) == 6

    run_scenario(tmp_path, steps, serve, serve)


# --- SIGHUP, descriptors ----------------------------------------------------------------------------------


def test_a_counter_call_open_at_sighup_is_answered_by_the_old_counter(tmp_path: Path) -> None:
    async def steps(rig: GatewayRig) -> None:
        rig.counter.behave = silent
        reader, writer = await open_request(rig, message(plan="small", rid=b"asked"))
        await rig.counter.wait_until(lambda fake: len(fake.seen) == 1)
        other = await FakeDiscovery(rig.instances()).fake.start()
        rig.path.write_text(json.dumps({**rig.config, "counter": f"127.0.0.1:{other.port}"}))
        rig.process.send_signal(signal.SIGHUP)
        await rig.wait_for_log("reconfigured")
        rig.counter.seen[0].writer.write(reply(b"500"))  # the quota is used up by others
        assert (await read_message(reader, writer)).line.split()[1] == "503" and not request_ids(rig)
        other.stop()

    run_scenario(tmp_path, steps, serve)


def test_idle_clients_at_the_descriptor_limit_leave_room_for_other_connections(tmp_path: Path) -> None:
    """Discovery, servers, the counter and the operators' address must stay reachable."""

    async def steps(rig: GatewayRig) -> None:
        idle = [await rig.connect() for _ in range(40)]  # more than 32, the clients' half of 64
        directory = rig.directory
        await directory.fake.wait_until(lambda fake: bool(directory.waiting))
        seen = len(directory.fake.seen)
        directory.waiting.pop().writer.transport.abort()
        await directory.fake.wait_until(lambda fake: len(fake.seen) > seen)
        assert (await rig.ops("/ops/readiness")).line.split()[1] == "200"
        metrics = await rig.metrics()
        assert metrics['gateway_descriptors{use="clients"}'] <= 32
        assert sum(n for name, n in metrics.items() if name.startswith("gateway_descriptors")) <= 64
        assert await rig.status(message(plan="small")) == 200  # a new client replaces an idle one
        assert rig.counter.seen and not rig.process.returncode
        for _, writer in idle:
            writer.close()

    run_scenario(tmp_path, steps, serve, sockets=64)
