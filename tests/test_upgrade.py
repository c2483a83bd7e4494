"""Hot upgrade: two processes on one listening socket, the state handed over, and failures on the way."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path

import pytest
from conftest import (
    Driver,
    GatewayRig,
    SeenMessage,
    actions_of,
    message,
    read_message,
    reply,
    run_on_loop,
    serve,
)

from yewstage import interface as api
from yewstage.net import clients as clients_module
from yewstage.net.budget import MemoryBudget
from yewstage.net.handover import SERVING, STATE, WAITING, Handover


async def wait_until_ready(rig: GatewayRig) -> None:
    while (await rig.ops("/ops/readiness")).line.split()[1] != "200":
        await asyncio.sleep(0.02)


def test_an_upgrade_serves_all_requests_and_completes_open_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        put_requests: list[SeenMessage] = []

        def handler(seen: SeenMessage) -> bytes | None:
            if seen.line.startswith("GET"):
                return reply(b"served")
            put_requests.append(seen)
            return None

        async with GatewayRig(tmp_path, handler).hold() as rig:
            old = rig.process
            idle_reader, idle = await rig.connect()
            idle.write(message())
            assert "connection" not in (await read_message(idle_reader, idle)).headers
            reader, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].wait_until(lambda fake: bool(put_requests))
            await rig.spawn()
            await wait_until_ready(rig)
            assert await rig.status(message()) == 200  # by the old process
            old.send_signal(signal.SIGTERM)
            assert await idle_reader.read() == b""  # closed, not reset
            for _ in range(20):
                assert await rig.status(message()) == 200
            put_requests[0].writer.write(reply(b"late"))
            answer = await read_message(reader, writer)
            assert (answer.body, answer.headers["connection"]) == (b"late", "close")
            assert await old.wait() == 0
            assert await rig.status(message()) == 200
            assert rig.process.returncode is None
            for other in (idle, writer):
                other.close()

    run_on_loop(scenario)


@pytest.mark.parametrize("victim", [0, 1])
def test_after_a_kill_of_either_process_the_other_serves(tmp_path: Path, victim: int) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve).hold() as rig:
            await rig.spawn()
            rig.processes[victim].kill()
            await rig.processes[victim].wait()
            assert await rig.status(message()) == 200
            rig.processes[1 - victim].send_signal(signal.SIGTERM)
            assert await rig.processes[1 - victim].wait() == 0

    run_on_loop(scenario)


def test_a_restart_on_an_inherited_socket(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve).hold() as rig:
            rig.process.send_signal(signal.SIGTERM)
            assert await rig.status(message()) == 200  # accepted, as there is no successor
            assert await rig.process.wait() == 0
            waiting = asyncio.create_task(rig.status(message()))  # in the backlog of the listening socket
            await rig.spawn()
            assert await waiting == 200

    run_on_loop(scenario)


def test_a_connection_with_unread_bytes_is_not_closed() -> None:
    class Transport:
        closed = False

        def __init__(self, sock: socket.socket) -> None:
            self._sock = sock

        def get_extra_info(self, name: str) -> socket.socket:
            return self._sock

        def is_closing(self) -> bool:
            return self.closed

        def close(self) -> None:
            self.closed = True

    local, peer = socket.socketpair()
    core = type("Core", (), {"budget": MemoryBudget(2**20, lambda: 0.0), "loop_monitor": None})
    connection = clients_module.ClientConnection(type("Server", (), {"core": core}))
    connection.transport = Transport(local)
    peer.send(b"G")
    connection.close_if_idle()
    assert not connection.transport.closed
    local.recv(1)
    connection.close_if_idle()
    assert connection.transport.closed
    peer.send(b"G")
    assert not connection.has_unread_bytes()  # the descriptor may be closed and is not used


def write_state(folder: Path, **changes: object) -> None:
    raw = {"name": "n0", "at_ms": time.time() * 1000 + 1000, "state": {"a": 1}, **changes}
    (folder / STATE).write_text(json.dumps(raw))


def test_only_a_complete_recent_state_of_the_same_name_is_accepted(tmp_path: Path) -> None:
    async def scenario() -> None:
        states: asyncio.Queue[object] = asyncio.Queue()
        predecessor_gone = asyncio.Event()
        old = Handover(tmp_path, "n0", asyncio.get_running_loop())
        write_state(tmp_path)
        assert not old.start(states.put_nowait, predecessor_gone.set)
        assert not (tmp_path / STATE).exists()  # left over from an earlier upgrade
        assert not old.has_successor()
        new = Handover(tmp_path, "n0", asyncio.get_running_loop())
        assert new.start(states.put_nowait, predecessor_gone.set)
        assert old.has_successor() and not new.has_successor()
        for bad in ({"name": "n1"}, {"at_ms": 1.0}, {"at_ms": "now"}, {"state": [1]}):
            write_state(tmp_path, **bad)
            assert new._read() is None
        (tmp_path / STATE).write_text('{"name": "n0", "at_ms"')
        assert new._read() is None
        old.hand_over({"quota": 1})
        assert await states.get() == {"quota": 1} and not predecessor_gone.is_set()
        old._release(SERVING)  # as the end of the process does
        await predecessor_gone.wait()
        assert states.empty() and not new.has_successor()
        new.stop()
        for name in (SERVING, WAITING):
            if name in new._locks:
                new._release(name)

    run_on_loop(scenario)


def test_a_successor_is_detected_though_its_first_lock_attempt_fails(tmp_path: Path) -> None:
    """`has_successor` of the old process holds the lock for a moment, which is long on a busy machine."""

    async def scenario() -> None:
        old, checking, new = (Handover(tmp_path, "n0", asyncio.get_running_loop()) for _ in range(3))
        assert not old.start(print, print)
        assert checking._lock(WAITING)
        assert new.start(print, print)
        checking._release(WAITING)
        while not old.has_successor():
            await asyncio.sleep(0.01)
        new.stop()

    run_on_loop(scenario)


def test_without_lock_files_a_process_serves_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = Handover(tmp_path / "missing", "n0", asyncio.get_running_loop())
        assert not process.start(print, print) and not process.has_successor()
        process.hand_over({})

    run_on_loop(scenario)


def test_a_streamed_answer_outlives_the_drain_time_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        body = b"x" * 300_000

        def partial_answer(seen: SeenMessage) -> bytes:
            return reply(body)[:200_000]

        async with GatewayRig(tmp_path, partial_answer) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            await reader.readuntil(b"\r\n\r\n")
            rig.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(4)  # after the time at which requests without an answer are failed
            rig.hosts[0].seen[0].writer.write(reply(body)[200_000:])
            assert await reader.read() == body
            assert await rig.process.wait() == 0
            writer.close()

    run_on_loop(scenario)


def admitted_count(d: Driver, n: int, plan: str) -> int:
    return sum(bool(actions_of(d.ask(plan=plan, width=1)[1], api.Send)) for _ in range(n))


def handed_over_state(d: Driver) -> dict[str, object]:
    return json.loads(json.dumps(d.gateway.hand_over()))


def test_ceilings_and_quotas_are_handed_over_and_not_spent_twice() -> None:
    old = Driver(counter_enabled=False)
    old.sweep(100)  # 10 s: the ceiling's token bucket is full with 20 units
    assert admitted_count(old, 4, "capped") == 4
    new = Driver(counter_enabled=False, now=old.now)
    new.give(api.TakenOver(handed_over_state(old)))
    assert admitted_count(old, 5, "capped") == 0  # it does not spend what it handed over
    new_count = admitted_count(new, 30, "capped")
    assert 0 < new_count <= 16
    alone = Driver(counter_enabled=False)
    alone.sweep(100)
    assert 4 + new_count == admitted_count(alone, 34, "capped")  # as many as one process would have admitted


def test_a_parallel_limit_counts_open_requests_of_the_old_process_until_it_ends() -> None:
    plan = api.Plan("cap", parallel=2)
    old = Driver(plans=(plan,))
    assert admitted_count(old, 1, "cap") == 1
    new = Driver(plans=(plan,), now=old.now)
    new.give(api.TakenOver(handed_over_state(old)))
    assert admitted_count(new, 3, "cap") == 1
    new.give(api.PredecessorGone())
    assert admitted_count(new, 3, "cap") == 1


def test_the_slow_start_of_a_restarted_server_is_handed_over() -> None:
    old = Driver(servers=1)
    old.gateway.servers["h0"].cold_from_ms = old.now  # a restart seen by the gateway, not by the list
    old.gateway.warm_rate = 1.0
    new = Driver(servers=1, now=old.now)
    new.give(api.TakenOver(handed_over_state(old)))
    assert new.gateway.servers["h0"].cold_from_ms == old.now and new.gateway.warm_rate == 1.0
    assert not actions_of(old.ask()[1], api.Send)


@pytest.mark.parametrize("state", [None, {}, {"own": 1}, {"own": {"born": float("nan")}}, {"uses": {"c": 1}}])
def test_an_invalid_state_is_treated_as_a_fresh_start(state: dict | None) -> None:
    new = Driver(counter_enabled=False)
    new.sweep(100)
    new.give(api.TakenOver(state))
    assert new.gateway.started_at == new.now
    assert admitted_count(new, 5, "capped") == 0  # the token bucket starts empty
