"""Upgrades: two processes on one listening socket, what passes between them, and what may go wrong."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path

import pytest
from conftest import Driver, Rig, Seen, message, of, on_loop, read_message, reply, serve

from yewstage import interface as api
from yewstage.net import clients as clients_module
from yewstage.net.budget import MemoryBudget
from yewstage.net.handover import SERVING, STATE, WAITING, Handover


async def yes(rig: Rig) -> None:
    while (await rig.ops("/ops/readiness")).line.split()[1] != "200":
        await asyncio.sleep(0.02)


def test_an_upgrade_refuses_nobody_and_finishes_what_is_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        held: list[Seen] = []

        def behave(seen: Seen) -> bytes | None:
            if seen.line.startswith("GET"):
                return reply(b"served")
            held.append(seen)
            return None

        async with Rig(tmp_path, behave).hold() as rig:
            old = rig.process
            idle_reader, idle = await rig.connect()
            idle.write(message())
            assert "connection" not in (await read_message(idle_reader, idle)).headers
            reader, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].until(lambda fake: bool(held))
            await rig.spawn()
            await yes(rig)
            assert await rig.status(message()) == 200  # by the old one
            old.send_signal(signal.SIGTERM)
            assert await idle_reader.read() == b""  # ended, not reset
            for _ in range(20):
                assert await rig.status(message()) == 200
            held[0].writer.write(reply(b"late"))
            answer = await read_message(reader, writer)
            assert (answer.body, answer.headers["connection"]) == (b"late", "close")
            assert await old.wait() == 0
            assert await rig.status(message()) == 200
            assert rig.process.returncode is None
            for other in (idle, writer):
                other.close()

    on_loop(scenario)


@pytest.mark.parametrize("victim", [0, 1])
def test_a_kill_in_the_middle_leaves_one_that_serves(tmp_path: Path, victim: int) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve).hold() as rig:
            await rig.spawn()
            rig.processes[victim].kill()
            await rig.processes[victim].wait()
            assert await rig.status(message()) == 200
            rig.processes[1 - victim].send_signal(signal.SIGTERM)
            assert await rig.processes[1 - victim].wait() == 0

    on_loop(scenario)


def test_a_plain_restart_on_a_held_socket(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve).hold() as rig:
            rig.process.send_signal(signal.SIGTERM)
            assert await rig.status(message()) == 200  # none is there to take it: it is still accepted
            assert await rig.process.wait() == 0
            waiting = asyncio.create_task(rig.status(message()))  # in the backlog of the socket
            await rig.spawn()
            assert await waiting == 200

    on_loop(scenario)


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

    ours, theirs = socket.socketpair()
    core = type("Core", (), {"budget": MemoryBudget(2**20, lambda: 0.0)})
    connection = clients_module.ClientConnection(type("Server", (), {"core": core}))
    connection.transport = Transport(ours)
    theirs.send(b"G")
    connection.close_if_idle()
    assert not connection.transport.closed
    ours.recv(1)
    connection.close_if_idle()
    assert connection.transport.closed
    theirs.send(b"G")
    assert not connection.unread()  # its descriptor is not asked any more


def written(folder: Path, **changes: object) -> None:
    raw = {"name": "n0", "at_ms": time.time() * 1000 + 1000, "state": {"a": 1}, **changes}
    (folder / STATE).write_text(json.dumps(raw))


def test_only_a_fresh_whole_state_of_our_name_is_taken(tmp_path: Path) -> None:
    async def scenario() -> None:
        took: asyncio.Queue[object] = asyncio.Queue()
        gone = asyncio.Event()
        old = Handover(tmp_path, "n0", asyncio.get_running_loop())
        written(tmp_path)
        assert not old.start(took.put_nowait, gone.set)
        assert not (tmp_path / STATE).exists()  # left from before: nobody's
        assert not old.has_successor()
        new = Handover(tmp_path, "n0", asyncio.get_running_loop())
        assert new.start(took.put_nowait, gone.set)
        assert old.has_successor() and not new.has_successor()
        for bad in ({"name": "n1"}, {"at_ms": 1.0}, {"at_ms": "now"}, {"state": [1]}):
            written(tmp_path, **bad)
            assert new._read() is None
        (tmp_path / STATE).write_text('{"name": "n0", "at_ms"')
        assert new._read() is None
        old.hand_over({"quota": 1})
        assert await took.get() == {"quota": 1} and not gone.is_set()
        old._release(SERVING)  # as its end does
        await gone.wait()
        assert took.empty() and not new.has_successor()
        new.stop()
        for name in (SERVING, WAITING):
            if name in new._locks:
                new._release(name)

    on_loop(scenario)


def test_a_next_process_is_seen_though_its_first_lock_fails(tmp_path: Path) -> None:
    """The old one holds the lock for the instant in which it looks; on a busy core that may be long."""

    async def scenario() -> None:
        old, looking, new = (Handover(tmp_path, "n0", asyncio.get_running_loop()) for _ in range(3))
        assert not old.start(print, print)
        assert looking._lock(WAITING)
        assert new.start(print, print)
        looking._release(WAITING)
        while not old.has_successor():
            await asyncio.sleep(0.01)
        new.stop()

    on_loop(scenario)


def test_without_a_place_for_locks_it_serves_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        lone = Handover(tmp_path / "missing", "n0", asyncio.get_running_loop())
        assert not lone.start(print, print) and not lone.has_successor()
        lone.hand_over({})

    on_loop(scenario)


def test_sigterm_lets_an_answer_on_its_way_go_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        body = b"x" * 300_000

        def begins(seen: Seen) -> bytes:
            return reply(body)[:200_000]

        async with Rig(tmp_path, begins) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            await reader.readuntil(b"\r\n\r\n")
            rig.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(4)  # past the time at which all that has no answer is failed
            rig.hosts[0].seen[0].writer.write(reply(body)[200_000:])
            assert await reader.read() == body
            assert await rig.process.wait() == 0
            writer.close()

    on_loop(scenario)


def spend(d: Driver, n: int, plan: str) -> int:
    return sum(bool(of(d.ask(plan=plan, width=1)[1], api.Send)) for _ in range(n))


def through_json(d: Driver) -> dict[str, object]:
    return json.loads(json.dumps(d.gateway.hand_over()))


def test_ceilings_and_quotas_pass_whole_and_are_spent_once() -> None:
    old = Driver(counter_enabled=False)
    old.sweep(100)  # 10 s: the ceiling's store is full, 20 units
    assert spend(old, 4, "capped") == 4
    new = Driver(counter_enabled=False, now=old.now)
    new.give(api.TakenOver(through_json(old)))
    assert spend(old, 5, "capped") == 0  # what it handed over it does not spend
    both = spend(new, 30, "capped")
    assert 0 < both <= 16
    alone = Driver(counter_enabled=False)
    alone.sweep(100)
    assert 4 + both == spend(alone, 34, "capped")  # as one process would have let in


def test_a_cap_counts_what_is_out_at_the_old_process_until_it_ends() -> None:
    plan = api.Plan("cap", parallel=2)
    old = Driver(plans=(plan,))
    assert spend(old, 1, "cap") == 1
    new = Driver(plans=(plan,), now=old.now)
    new.give(api.TakenOver(through_json(old)))
    assert spend(new, 3, "cap") == 1
    new.give(api.PredecessorGone())
    assert spend(new, 3, "cap") == 1


def test_a_cold_hosts_budget_passes_and_is_not_spent_twice() -> None:
    old = Driver(servers=1)
    old.gateway.servers["h0"].cold_from_ms = old.now  # its restart was seen, the list says nothing
    old.gateway.warm_rate = 1.0
    new = Driver(servers=1, now=old.now)
    new.give(api.TakenOver(through_json(old)))
    assert new.gateway.servers["h0"].cold_from_ms == old.now and new.gateway.warm_rate == 1.0
    assert not of(old.ask()[1], api.Send)


@pytest.mark.parametrize("state", [None, {}, {"own": 1}, {"own": {"born": float("nan")}}, {"uses": {"c": 1}}])
def test_a_state_that_makes_no_sense_is_a_plain_start(state: dict | None) -> None:
    new = Driver(counter_enabled=False)
    new.sweep(100)
    new.give(api.TakenOver(state))
    assert new.gateway.started_at == new.now
    assert spend(new, 5, "capped") == 0  # the ceiling is earned from now on
