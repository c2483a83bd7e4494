"""What a client has left of its time, as servers are told it, wherever its request lay unread."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest
from conftest import LOOP, FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop, serve, silent
from scripted_core import core_with
from test_departed_clients import accepted, connect, held_up

from yewstage import interface as api
from yewstage.net import client_listener, clients
from yewstage.net.core import MODULE_MARGIN_MS, TRANSIT_MS
from yewstage.net.socket_state import seconds_since_last_data

DEADLINE_MS = 5000  # below the objective of the class, which else limits what a server is told
SLACK_MS = 150  # of the rule on the deadline passed to a server
WAIT_S = 0.6  # how long each request lies unread or queued; more than the slack
SAMPLE = b"sample"


def sent(client: socket.socket) -> float:
    """Send the request; returns a time by which it had been sent."""
    client.sendall(message("put", rid=SAMPLE, deadline=f"{DEADLINE_MS}m"))
    return time.monotonic()


async def told_ms(rig: GatewayRig) -> int:
    """What the server of the request is told that the client has left."""
    while not (
        seen := [s for h in rig.hosts for s in h.seen if s.headers["x-request-id"] == SAMPLE.decode()]
    ):
        await asyncio.sleep(0.01)
    return int(seen[0].headers["x-deadline"].removesuffix("m"))


def most_ms(sent_at: float, read_after: float) -> float:
    """The most that a server may be told of a request that was read after a time."""
    return DEADLINE_MS - (read_after - sent_at) * 1000 + SLACK_MS


# Guards against: the time in the backlog or in the socket during a stall is added to what is left.
def test_a_request_that_lay_unread_while_the_process_was_held_up_has_less_time_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        for place in ("in the backlog", "accepted"):
            folder = tmp_path / place
            folder.mkdir()
            async with GatewayRig(folder, serve) as rig:
                await rig.ask(message(rid=b"warm"))
                client = await accepted(rig) if place == "accepted" else None
                async with held_up(rig):
                    client = client or connect(rig)
                    sent_at = sent(client)
                    await asyncio.sleep(WAIT_S)
                    read_after = time.monotonic()
                assert await told_ms(rig) <= most_ms(sent_at, read_after), place
                client.close()

    run_on_loop(scenario)


# Guards against: the time in the backlog of a crowded listener is added to what the client has left.
def test_a_request_that_waited_for_room_for_its_connection_has_less_time_left(tmp_path: Path) -> None:
    def hold_the_crowd(seen: SeenMessage) -> bytes | None:
        return None if seen.headers["x-request-id"].startswith("crowd") else reply(b"served")

    async def scenario() -> None:
        async with GatewayRig(tmp_path, hold_the_crowd, sockets=64) as rig:
            crowd = [connect(rig) for _ in range(40)]
            for i, client in enumerate(crowd):
                client.sendall(message(rid=b"crowd-%d" % i))
            await rig.wait_for_log("no room for more clients")
            waiting = connect(rig)
            sent_at = sent(waiting)
            await asyncio.sleep(WAIT_S)
            read_after = time.monotonic()
            for client in crowd:
                client.close()
            assert await told_ms(rig) <= most_ms(sent_at, read_after)
            waiting.close()

    run_on_loop(scenario)


# Guards against: the time in the queue of a connection is added to what the client has left.
def test_a_request_that_waited_behind_another_one_has_less_time_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            client = connect(rig)
            client.sendall(message(rid=b"first"))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            sent_at = sent(client)
            await asyncio.sleep(WAIT_S)
            read_after = time.monotonic()
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert await told_ms(rig) <= most_ms(sent_at, read_after)
            client.close()

    run_on_loop(scenario)


def test_the_system_tells_when_data_arrived_even_on_a_connection_accepted_later() -> None:
    jiffy_s = 0.01
    with (
        socket.create_server((LOOP, 0)) as listener,
        socket.create_connection(listener.getsockname()) as client,
    ):
        time.sleep(0.05)
        before = time.monotonic()
        client.sendall(b"x")
        time.sleep(0.1)
        accepted_socket, _ = listener.accept()
        with accepted_socket:
            since_s = seconds_since_last_data(accepted_socket)
            assert 0.1 - jiffy_s <= since_s <= time.monotonic() - before + jiffy_s
    with socket.socket(socket.AF_UNIX) as other:
        assert seconds_since_last_data(other) is None


class BacklogTransport:
    """A client's transport as far as the arrival of its first request needs one."""

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False


# Guards against: a request counts as old because accepting was paused, though it has just arrived.
@pytest.mark.parametrize(
    ("requests", "system_tells_s", "loop_delay_s", "waited_s"),
    [(1, 0.5, 0.0, 0.5), (1, 0.5, 0.8, 0.8), (1, None, 0.0, 3.0), (2, 0.5, 0.0, 3.0)],
    ids=[
        "the system tells",
        "the loop was held up for longer",
        "the system does not tell",
        "not the last bytes",
    ],
)
def test_a_request_after_a_pause_of_accepting_is_as_old_as_the_system_tells(
    monkeypatch: pytest.MonkeyPatch,
    requests: int,
    system_tells_s: float | None,
    loop_delay_s: float,
    waited_s: float,
) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        monkeypatch.setattr(core.loop_monitor, "read_delay_s", lambda now: loop_delay_s)
        monkeypatch.setattr(clients, "seconds_since_last_data", lambda sock: system_tells_s)
        listener = client_listener.ClientListener(core, asyncio.get_running_loop(), 100)
        started = time.monotonic()
        connection = clients.ClientConnection(listener, unread_since_s=started - 3.0)
        connection.connection_made(BacklogTransport())
        connection.data_received(message("put", deadline=f"{DEADLINE_MS}m") * requests)
        took_ms = (time.monotonic() - started) * 1000
        (request,) = [e for e in script.events if isinstance(e, api.Request)]
        left_ms = DEADLINE_MS - TRANSIT_MS - MODULE_MARGIN_MS - waited_s * 1000
        assert left_ms - took_ms <= request.time_left_ms <= left_ms + 1e-6

    run_on_loop(scenario)
