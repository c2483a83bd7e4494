"""A request that may have run for a client that has left does not run again when it comes again."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import time
from pathlib import Path

import pytest
from conftest import FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop, serve, silent
from scripted_core import RecordingClient, a_request, core_with
from test_departed_clients import WAYS_TO_LEAVE, Leave, connect, held_up
from test_upgrade import wait_until_ready

from yewstage import interface as api
from yewstage.net.core import REPEATED_ID_STATUS
from yewstage.net.shared_ids import FILE_NAME, SharedRequestIds
from yewstage.request_ids import RequestIds

REPEATED = b"comes-again"
LIMIT_S = 30.0


def holds_repeated(seen: SeenMessage) -> bytes | None:
    """Behaviour of a server that does not answer the repeated request."""
    return None if seen.headers["x-request-id"] == REPEATED.decode() else reply(b"served")


def request(cls: str, **changes: object) -> bytes:
    return message(cls, rid=REPEATED, key=cls == "put", **changes)


async def runs(rig: GatewayRig) -> int:
    """How often servers got the repeated request, after some others have passed."""
    for number in range(5):
        assert await rig.status(message(rid=b"after-%d" % number)) == 200
    return sum(seen.headers["x-request-id"] == REPEATED.decode() for host in rig.hosts for seen in host.seen)


# Guards against: a request ran twice when its client left and sent it again on a new connection.
@pytest.mark.parametrize("cls", ["put", "pay"])
@pytest.mark.parametrize("is_held_up", [False, True], ids=["running", "held up"])
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_request_that_comes_again_after_its_client_left_runs_once(
    tmp_path: Path, leave: Leave, is_held_up: bool, cls: str
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, holds_repeated) as rig:
            client = connect(rig)
            client.sendall(request(cls))
            await rig.hosts[0].wait_until(lambda fake: bool(fake.seen))
            async with held_up(rig) if is_held_up else contextlib.nullcontext():
                leave(client)
                again = connect(rig)
                again.sendall(request(cls))
            status = (await asyncio.to_thread(again.recv, 100)).split()[1]
            assert int(status) == REPEATED_ID_STATUS
            assert await rig.status(request(cls)) == REPEATED_ID_STATUS  # also after the first has ended
            assert await runs(rig) == 1
            for sock in (client, again):
                sock.close()

    run_on_loop(scenario, LIMIT_S)


def test_a_request_that_has_not_run_may_come_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            body = b"x" * 200_000
            client = connect(rig)
            client.sendall(request("pay", body=body)[: -len(body) // 2])
            while not (await rig.metrics())["gateway_streams_open"]:
                await asyncio.sleep(0.01)
            client.close()
            assert await rig.status(request("pay", body=body)) == 200

    run_on_loop(scenario, LIMIT_S)


def test_a_safe_request_may_come_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, holds_repeated) as rig:
            with connect(rig) as client:
                client.sendall(request("read"))
                await rig.hosts[0].wait_until(lambda fake: bool(fake.seen))
            rig.hosts[0].behave = serve
            assert await rig.status(request("read")) == 200

    run_on_loop(scenario, LIMIT_S)


def held_stream() -> bytes:
    """The beginning of a long answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 50_000


# Guards against: a request ran twice when its client left within, or just before the end of, a long answer.
@pytest.mark.parametrize("is_held_up", [False, True], ids=["running", "held up"])
def test_a_request_whose_client_left_within_its_answer_runs_once(tmp_path: Path, is_held_up: bool) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, holds_repeated) as rig:
            client = connect(rig)
            client.sendall(request("pay"))
            await rig.hosts[0].wait_until(lambda fake: bool(fake.seen))
            writer = rig.hosts[0].seen[0].writer
            writer.write(held_stream())
            while not (await rig.metrics())["gateway_streams_open"]:
                await asyncio.sleep(0.01)
            async with held_up(rig) if is_held_up else contextlib.nullcontext():
                client.close()
                writer.write(b"x" * 50_000)  # the rest is read in the turn in which the close can be
                await writer.drain()
            while (await rig.metrics())["gateway_streams_open"]:
                await asyncio.sleep(0.01)
            assert await rig.status(request("pay")) == REPEATED_ID_STATUS
            assert await runs(rig) == 1

    run_on_loop(scenario, LIMIT_S)


# Guards against: a process that is ending promised of a request that may have run that it had no effect.
def test_a_request_that_comes_again_at_the_end_of_a_process_is_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        core._request_ids.keep(["a"], now_s=time.monotonic())
        core.fail_all()
        for client_id, status in (("a", REPEATED_ID_STATUS), ("b", 503)):
            client = RecordingClient()
            core.request(client, dataclasses.replace(a_request(), client_id=client_id))
            assert client.statuses.get_nowait() == status
        core.stop()

    run_on_loop(scenario)


# Guards against: a request ran twice when it came again at the other process of an upgrade.
@pytest.mark.parametrize("cls", ["put", "pay"])
@pytest.mark.parametrize("leaves_before_handover", [True, False])
def test_a_request_that_comes_again_at_the_next_process_runs_once(
    tmp_path: Path, cls: str, leaves_before_handover: bool
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, holds_repeated).hold() as rig:
            old = rig.process
            client = connect(rig)
            client.sendall(request(cls))
            await rig.hosts[0].wait_until(lambda fake: bool(fake.seen))
            if leaves_before_handover:
                client.close()
                await rig.wait_for_log(REPEATED.decode())
            await rig.spawn()
            await wait_until_ready(rig)
            old.send_signal(signal.SIGTERM)
            await rig.wait_for_log("taking over")
            client.close()
            assert await rig.status(request(cls)) == REPEATED_ID_STATUS
            assert await runs(rig) == 1

    run_on_loop(scenario, LIMIT_S)


# Guards against: ids of refused requests filled the file of an upgrade, and could not come again.
def test_an_id_is_shared_with_the_other_process_when_its_request_is_sent(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        other = SharedRequestIds(tmp_path)
        other._own = b"other"
        core.share_request_ids(SharedRequestIds(tmp_path))
        core.take_over({})
        other.open()
        script.plan[api.Request] = [api.Refuse("r1", "quota", 0.0)]
        refused = RecordingClient()
        core.request(refused, dataclasses.replace(a_request(), client_id="refused"))
        assert refused.statuses.get_nowait() == 503
        assert not (tmp_path / FILE_NAME).read_bytes() and other.claim("refused")
        script.plan[api.Request] = [api.Send("r2", "s-0", 5000)]
        sent = RecordingClient()
        core.request(sent, dataclasses.replace(a_request(), client_id="sent"))
        assert sent.statuses.empty() and not other.claim("sent")
        assert other.claim("of the other")
        script.plan[api.Request] = [api.Send("r3", "s-0", 5000)]
        repeated = RecordingClient()
        core.request(repeated, dataclasses.replace(a_request(), client_id="of the other"))
        assert repeated.statuses.get_nowait() == REPEATED_ID_STATUS
        assert script.outcomes() == [api.START_EXPIRED]
        core.stop()

    run_on_loop(scenario)


# Guards against: what the old process begins after the handover is unknown to the next one, and the reverse.
def test_of_two_processes_that_begin_an_id_the_first_one_does(tmp_path: Path) -> None:
    old, new = SharedRequestIds(tmp_path), SharedRequestIds(tmp_path)
    old._own, new._own = b"1", b"2"  # as the identifiers of two processes
    assert old.claim("before sharing") and not old.is_shared()
    old.create()
    new.open()
    assert old.claim("a") and not new.claim("a") and old.claim("a")
    assert new.claim("b") and not old.claim("b")
    for number in range(100):
        first, second = (old, new) if number % 3 else (new, old)
        assert first.claim(f"id-{number}") and not second.claim(f"id-{number}")
    new.close()
    assert not list(tmp_path.iterdir())
    old.create()  # a file of an earlier upgrade counts for nothing
    assert old.claim("b")


def test_without_a_folder_a_process_begins_requests_alone(tmp_path: Path) -> None:
    shared_ids = SharedRequestIds(tmp_path / "missing")
    shared_ids.create()
    assert not shared_ids.is_shared() and shared_ids.claim("a")
    shared_ids.close()


@pytest.mark.parametrize("ids", [None, 5, "text", {"a": 1}, [None, 5, ["a"], "kept"]])
def test_invalid_ids_in_the_state_of_another_process_are_passed_over(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, ids: object
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        core.share_request_ids(SharedRequestIds(tmp_path))
        core.take_over({"request_ids": ids})
        assert core._request_ids.ids() == (["kept"] if isinstance(ids, list) else [])
        core.stop()

    run_on_loop(scenario)


def test_a_file_that_cannot_be_removed_stops_no_handover(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).mkdir()  # neither removed nor opened, by whatever user
    shared_ids = SharedRequestIds(tmp_path)
    shared_ids.create()
    assert not shared_ids.is_shared() and shared_ids.claim("a")


def test_ids_are_kept_for_a_time_and_up_to_a_number() -> None:
    ids = RequestIds(retention_s=10.0, max_kept=3)
    ids.keep(["a", "b"], now_s=0.0)
    assert not ids.may_begin("a", 9.9) and ids.may_begin("a", 10.0) and ids.may_begin("c", 0.0)
    ids.keep(["a"], now_s=5.0)
    assert ids.ids() == ["b", "a"] and not ids.may_begin("a", 14.9)
    ids.keep(["c", "d"], now_s=6.0)
    assert ids.ids() == ["a", "c", "d"]  # the oldest went first
    ids.keep([], now_s=15.5)
    assert ids.ids() == ["c", "d"]
