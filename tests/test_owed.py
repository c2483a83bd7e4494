"""What is owed at the instant in which two things cross, in both orders, on sockets.

One side of each crossing is held by the test until the other has been seen to happen; nothing waits for time.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import Directory, Rig, message, on_loop, read_message, reply, serve, silent

from yewstage.net.http1 import LONGEST_BODY

Waiting = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def opened(rig: Rig, data: bytes) -> Waiting:
    reader, writer = await rig.connect()
    writer.write(data)
    return reader, writer


async def gone(writer: asyncio.StreamWriter) -> None:
    """The client's end is in the system when this returns."""
    writer.close()
    await writer.wait_closed()


def asked(rig: Rig, server: int = 0) -> list[str]:
    return [seen.headers["x-request-id"] for seen in rig.hosts[server].seen]


def crossing(
    tmp_path: Path, steps: Callable[[Rig], Awaitable[None]], *behaves: Callable, **limits: int
) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, *(behaves or (silent,)), **limits) as rig:
            await steps(rig)

    on_loop(scenario)


# --- The process is told to end ---------------------------------------------------------------------------


@pytest.mark.parametrize("first", ["request", "signal"])
def test_a_request_that_lies_unread_as_the_end_is_told_is_served(tmp_path: Path, first: str) -> None:
    """Owed to its client: its answer, whether its connection was accepted yet or not."""

    async def steps(rig: Rig) -> None:
        resting = await opened(rig, message(rid=b"before"))
        assert (await read_message(*resting)).body == b"served"
        rig.process.send_signal(signal.SIGSTOP)
        if first == "signal":
            rig.process.send_signal(signal.SIGTERM)
        resting[1].write(message(rid=b"resting"))
        fresh = await opened(rig, message(rid=b"fresh"))
        if first == "request":
            rig.process.send_signal(signal.SIGTERM)
        rig.process.send_signal(signal.SIGCONT)
        for reader, writer in (resting, fresh):
            assert (await read_message(reader, writer)).body == b"served"
            assert await reader.read() == b""  # whichever of signal and bytes was looked at first
        assert await rig.process.wait() == 0 and sorted(asked(rig)) == ["before", "fresh", "resting"]

    crossing(tmp_path, steps, serve)


def test_commands_that_wait_behind_another_are_all_answered_before_the_end(tmp_path: Path) -> None:
    async def steps(rig: Rig) -> None:
        reader, writer = await opened(rig, b"".join(message("put", rid=b"id-%d" % i) for i in range(4)))
        await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
        rig.process.send_signal(signal.SIGTERM)
        await rig.logged("draining")
        for i in range(4):
            await rig.hosts[0].until(lambda fake, n=i: len(fake.seen) == n + 1)
            rig.hosts[0].seen[i].writer.write(reply(b"answer %d" % i))
            answer = await read_message(reader, writer)
            assert answer.body == b"answer %d" % i and ("connection" in answer.headers) == (i == 3)
        assert await reader.read() == b"" and await rig.process.wait() == 0

    crossing(tmp_path, steps)


def test_a_request_that_waits_for_a_total_as_the_end_is_told_is_decided(tmp_path: Path) -> None:
    async def steps(rig: Rig) -> None:
        rig.counter.behave = silent
        reader, writer = await opened(rig, message(plan="small"))
        await rig.counter.until(lambda fake: len(fake.seen) == 1)
        rig.process.send_signal(signal.SIGTERM)
        await rig.logged("draining")
        assert (await read_message(reader, writer)).body == b"served"
        assert await rig.process.wait() == 0

    crossing(tmp_path, steps, serve)


@pytest.mark.parametrize("end", ["rest", "reset"])
def test_half_an_answer_as_the_end_is_told_becomes_whole_or_failed(tmp_path: Path, end: str) -> None:
    async def steps(rig: Rig) -> None:
        reader, writer = await opened(rig, message("pay", key=False))
        await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
        server = rig.hosts[0].seen[0].writer
        server.write(reply(b"served")[:-3])
        rig.process.send_signal(signal.SIGTERM)
        await rig.logged("draining")
        if end == "rest":
            server.write(b"ved")
        else:
            server.transport.abort()
        answer = await read_message(reader, writer)
        assert (answer.line.split()[1], len(asked(rig))) == ("200" if end == "rest" else "502", 1)
        assert await rig.process.wait() == 0

    crossing(tmp_path, steps)


@pytest.mark.parametrize("size", [1000, 2 * LONGEST_BODY])
def test_a_body_on_its_way_as_the_end_is_told_is_taken_whole(tmp_path: Path, size: int) -> None:
    async def steps(rig: Rig) -> None:
        whole = message("put", body=b"x" * size)
        reader, writer = await opened(rig, whole[:-500])
        await writer.drain()
        rig.process.send_signal(signal.SIGTERM)
        await rig.logged("draining")
        writer.write(whole[-500:])
        assert (await read_message(reader, writer)).body == b"served"
        assert len(rig.hosts[0].seen[0].body) == size and await rig.process.wait() == 0

    crossing(tmp_path, steps, serve)


# --- A client goes ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("first", ["client", "total"])
def test_nothing_is_owed_to_who_left_while_a_total_was_asked_for(tmp_path: Path, first: str) -> None:
    async def steps(rig: Rig) -> None:
        rig.counter.behave = silent
        _, writer = await opened(rig, message(plan="small", rid=b"leaves"))
        await rig.counter.until(lambda fake: len(fake.seen) == 1)
        total = rig.counter.seen[0].writer
        if first == "client":
            await gone(writer)
            await rig.logged("client left")
            total.write(reply(b"2"))
        else:
            total.write(reply(b"2"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            await gone(writer)
            await rig.hosts[0].until(lambda fake: fake.closed == 1)  # its server hears of it
        rig.counter.behave = lambda seen: reply(b"4")
        rig.hosts[0].behave = serve
        assert await rig.status(message(rid=b"next")) == 200
        assert asked(rig) == (["next"] if first == "client" else ["leaves", "next"])

    crossing(tmp_path, steps)


@pytest.mark.parametrize("first", ["client", "reset"])
def test_nothing_is_begun_for_who_left_between_two_attempts(tmp_path: Path, first: str) -> None:
    async def steps(rig: Rig) -> None:
        _, writer = await opened(rig, message("put", rid=b"leaves"))
        while not (began := [host for host in rig.hosts if host.seen]):
            await asyncio.sleep(0)
        server = began[0].seen[0].writer.transport
        if first == "client":
            await gone(writer)
            await rig.logged("client left")
            server.abort()
        else:
            server.abort()
            while sum(len(host.seen) for host in rig.hosts) < 2:
                await asyncio.sleep(0)
            await gone(writer)
        await rig.logged("client left")
        for host in rig.hosts:
            host.behave = serve
        assert await rig.status(message(rid=b"next")) == 200
        begun = ["leaves"] if first == "client" else ["leaves", "leaves"]
        assert sorted(asked(rig, 0) + asked(rig, 1)) == [*begun, "next"]

    crossing(tmp_path, steps, silent, silent)


# --- A server goes from the list ---------------------------------------------------------------------------


@pytest.mark.parametrize("told", ["changes", "whole"])
def test_work_at_a_server_that_the_list_drops_ends_there_and_nothing_new_goes_to_it(
    tmp_path: Path, told: str
) -> None:
    """A whole list does not name who drains: it is gone for us, also where it still answers."""

    async def steps(rig: Rig) -> None:
        reader, writer = await opened(rig, message(rid=b"held"))
        while not (busy := [i for i, host in enumerate(rig.hosts) if host.seen]):
            await asyncio.sleep(0)
        (left,) = {0, 1} - set(busy)
        rig.hosts[left].behave = serve
        gone_one = {**rig.instances()[busy[0]], "lifecycle": "gone"}
        await rig.directory.tell([rig.instances()[left]] if told == "whole" else [gone_one], told == "whole")
        for i in range(6):
            assert await rig.status(message(rid=b"new-%d" % i)) == 200
        rig.hosts[busy[0]].seen[0].writer.write(reply(b"late"))
        assert (await read_message(reader, writer)).body == b"late"
        assert asked(rig, busy[0]) == ["held"] and len(asked(rig, left)) == 6

    crossing(tmp_path, steps, silent, silent)


@pytest.mark.parametrize("how", ["reset", "ends"])
def test_what_a_broken_watch_missed_is_asked_for_at_once(tmp_path: Path, how: str) -> None:
    """Owed to the server that drains: nothing new, though the watch broke instead of telling."""

    async def steps(rig: Rig) -> None:
        directory = rig.directory
        await directory.fake.until(lambda fake: bool(directory.waiting))
        directory.instances = [rig.instances()[1]]
        seen = len(directory.fake.seen)
        watch = directory.waiting.pop().writer
        watch.transport.abort() if how == "reset" else watch.close()
        await directory.fake.until(lambda fake: len(fake.seen) > seen)
        again = directory.waiting.pop().writer  # the first answer to a call may be the whole list
        directory.generation += 1
        again.write(directory.listing(directory.instances, True))
        await directory.fake.until(lambda fake: len(fake.seen) > seen + 1)
        for i in range(6):
            assert await rig.status(message(rid=b"new-%d" % i)) == 200
        assert not asked(rig, 0) and len(asked(rig, 1)) == 6

    crossing(tmp_path, steps, serve, serve)


# --- SIGHUP, descriptors ----------------------------------------------------------------------------------


def test_a_call_to_the_counter_that_is_out_at_sighup_is_answered_by_the_old_one(tmp_path: Path) -> None:
    async def steps(rig: Rig) -> None:
        rig.counter.behave = silent
        reader, writer = await opened(rig, message(plan="small", rid=b"asked"))
        await rig.counter.until(lambda fake: len(fake.seen) == 1)
        other = await Directory(rig.instances()).fake.start()
        rig.path.write_text(json.dumps({**rig.config, "counter": f"127.0.0.1:{other.port}"}))
        rig.process.send_signal(signal.SIGHUP)
        await rig.logged("reconfigured")
        rig.counter.seen[0].writer.write(reply(b"500"))  # others have used all
        assert (await read_message(reader, writer)).line.split()[1] == "503" and not asked(rig)
        other.stop()

    crossing(tmp_path, steps, serve)


def test_idle_clients_that_fill_the_descriptors_leave_room_for_all_other_links(tmp_path: Path) -> None:
    """Owed to the fleet: discovery is asked again, servers and the counter are reached, readiness is told."""

    async def steps(rig: Rig) -> None:
        idle = [await rig.connect() for _ in range(40)]  # more than the half of 64 that clients may have
        directory = rig.directory
        await directory.fake.until(lambda fake: bool(directory.waiting))
        seen = len(directory.fake.seen)
        directory.waiting.pop().writer.transport.abort()
        await directory.fake.until(lambda fake: len(fake.seen) > seen)
        assert (await rig.ops("/ops/readiness")).line.split()[1] == "200"
        figures = await rig.metrics()
        assert figures['gateway_descriptors{use="clients"}'] <= 32
        assert sum(n for name, n in figures.items() if name.startswith("gateway_descriptors")) <= 64
        assert await rig.status(message(plan="small")) == 200  # by a client that takes an idle one's place
        assert rig.counter.seen and not rig.process.returncode
        for _, writer in idle:
            writer.close()

    crossing(tmp_path, steps, serve, sockets=64)
