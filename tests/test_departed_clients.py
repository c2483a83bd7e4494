"""No attempt begins for a client that has left while the gateway process was held up.

In the tests with a process it is stopped with SIGSTOP. Meanwhile the client leaves, and an event arrives
that begins an attempt. Both lie in the sockets when the process continues, so that the order in which it
reads them decides. In the other tests a script stands in for the decision module.
"""

from __future__ import annotations

import asyncio
import dataclasses
import errno
import os
import signal
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from conftest import LOOP, FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop, serve
from scripted_core import RecordingClient, Script, a_request, core_with

from yewstage import interface as api
from yewstage.net import socket_state
from yewstage.net.core import Core

DEPARTED = b"departed"
PROBES = 5  # requests after the departed one, each of which goes through the event loop of the gateway


def leave_by_close(client: socket.socket) -> None:
    client.close()


def leave_by_reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def leave_by_half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


WAYS_TO_LEAVE = [leave_by_close, leave_by_reset, leave_by_half_close]
Leave = Callable[[socket.socket], None]


@asynccontextmanager
async def held_up(rig: GatewayRig) -> AsyncIterator[None]:
    """Stop the process of the gateway, and let it continue at the end."""
    os.kill(rig.process.pid, signal.SIGSTOP)
    while Path(f"/proc/{rig.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        await asyncio.sleep(0.001)
    try:
        yield
    finally:
        os.kill(rig.process.pid, signal.SIGCONT)


def connect(rig: GatewayRig) -> socket.socket:
    """A client's connection, which waits in the backlog if the gateway is held up."""
    return socket.create_connection((LOOP, rig.port))


async def accepted(rig: GatewayRig) -> socket.socket:
    """A client's connection that the gateway has accepted, and that has carried no request."""
    client = connect(rig)
    assert await rig.status(b"GET /ready HTTP/1.1\r\n\r\n") == 200  # on a connection accepted after it
    return client


async def used(rig: GatewayRig) -> socket.socket:
    """A client's connection on which a request has been answered."""
    client = connect(rig)
    client.sendall(message(rid=b"first"))
    answer = b""
    while not answer.endswith(b"served"):
        answer += await asyncio.to_thread(client.recv, 4096)
    return client


def received_count(rig: GatewayRig, request_id: bytes) -> int:
    """Attempts that servers have received for a request."""
    return sum(
        seen.headers["x-request-id"] == request_id.decode() for host in rig.hosts for seen in host.seen
    )


async def attempts_for(rig: GatewayRig, request_id: bytes, allowed: int = 0) -> int:
    """Attempts that servers have received for a request, after the gateway has noted that its client left.

    More than the allowed ones end the wait, too: a request that is served leaves no line in the log.
    """
    while not any(request_id.decode() in line for line in rig.log):
        if received_count(rig, request_id) > allowed:
            break
        await asyncio.sleep(0.01)
    for i in range(PROBES):
        assert await rig.status(message(rid=b"probe-%d" % i)) == 200
    return received_count(rig, request_id)


# Guards against: a request that was read after its client had left was sent to a server (issue 39).
@pytest.mark.parametrize("cls", ["read", "put", "pay"])
@pytest.mark.parametrize("connection", ["used", "accepted", "in the backlog"])
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_request_is_not_sent_when_its_client_left_while_the_process_was_held_up(
    tmp_path: Path, leave: Leave, connection: str, cls: str
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            await rig.ask(message(rid=b"warm"))  # leaves an idle connection to the server
            client = None
            if connection != "in the backlog":
                client = await (used if connection == "used" else accepted)(rig)
            async with held_up(rig):
                client = client or connect(rig)
                client.send(message(cls, rid=DEPARTED, key=cls == "put"))
                leave(client)
            assert await attempts_for(rig, DEPARTED) == 0

    run_on_loop(scenario)


def test_the_log_and_the_metrics_tell_why_an_attempt_was_withheld(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            await rig.ask(message(rid=b"warm"))
            client = await used(rig)
            async with held_up(rig):
                client.send(message(rid=DEPARTED))
                leave_by_close(client)
            line = await rig.wait_for_log(DEPARTED.decode())
            assert "client left, seen before an attempt" in line and "written" not in line
            metrics = await rig.metrics()
            assert metrics['gateway_attempts_withheld_total{reason="client_left"}'] == 1
            assert metrics['gateway_attempts_withheld_total{reason="no_time_left"}'] == 0

    run_on_loop(scenario)


# Guards against: a request was retried after its client had left, as the refusal was read first (issue 39).
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_request_is_not_retried_when_its_client_left_while_the_process_was_held_up(
    tmp_path: Path, leave: Leave
) -> None:
    def hold_the_departed(seen: SeenMessage) -> bytes | None:
        return None if seen.headers["x-request-id"] == DEPARTED.decode() else reply(b"served")

    async def scenario() -> None:
        async with GatewayRig(tmp_path, hold_the_departed, hold_the_departed) as rig:
            for i in range(PROBES):  # leaves idle connections to both servers
                await asyncio.gather(*(rig.ask(message(rid=b"warm-%d-%d" % (i, j))) for j in range(2)))
            client = await used(rig)
            client.send(message(rid=DEPARTED))
            while not (
                seen := [s for h in rig.hosts for s in h.seen if s.headers["x-request-id"] == "departed"]
            ):
                await asyncio.sleep(0.01)
            async with held_up(rig):
                seen[0].writer.write(reply(b"", 503, b"X-Not-Run: 1\r\n"))
                await seen[0].writer.drain()
                leave(client)
            assert await attempts_for(rig, DEPARTED, allowed=1) == 1

    run_on_loop(scenario)


BEGINNINGS = [
    api.TimerDue("due"),
    api.CountReply("total", api.OK, 0.0),
    api.Claimed("r1", "yours"),
    api.Outcome("r1", 0, "s-0", api.FULL, 1.0, False),
    api.ServerList("changes", ()),
]


async def served_after(core: Core, script: Script) -> None:
    """Serve another request, on the link that the departed client's attempt would have used."""
    client = RecordingClient()
    script.plan[api.Request] = [api.Send(f"r{core._request_count + 1}", "s-0", 5000)]
    request = a_request()
    head = request.head.replace(b"Id: a", b"Id: later")
    core.request(client, dataclasses.replace(request, client_id="later", head=head))
    assert await client.statuses.get() == 200


# Guards against: an attempt that begins after the request's arrival is sent for a departed client.
@pytest.mark.parametrize("has_idle_link", [True, False], ids=["idle link", "new link"])
@pytest.mark.parametrize("event", BEGINNINGS, ids=lambda event: type(event).__name__)
def test_no_event_begins_an_attempt_for_a_client_whose_close_is_not_read_yet(
    monkeypatch: pytest.MonkeyPatch, event: api.Event, has_idle_link: bool
) -> None:
    async def scenario() -> None:
        server = FakeHttpServer(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, server)
        if has_idle_link:
            await served_after(core, script)
        client = RecordingClient()
        rid = core.request(client, a_request())
        script.plan[type(event)] = [api.Send(rid, "s-0", 5000), api.Send(rid, "s-0", 5000)]
        client.has_left = True
        core._post(event)
        await served_after(core, script)
        assert [s.headers["x-request-id"] for s in server.seen if "/api/" in s.line].count("a") == 0
        unsent = {api.CANCELLED, api.START_EXPIRED}
        assert set(script.outcomes()) <= {api.OK, getattr(event, "result", api.OK), *unsent}
        assert script.events.count(api.ClientLeft(rid)) == 1 and not core._requests
        server.stop()

    run_on_loop(scenario)


# Guards against: an attempt that waited for a link is written for a client that left in the meantime.
def test_a_link_that_becomes_free_is_not_used_for_a_client_whose_close_is_not_read_yet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, server)
        monkeypatch.setattr(script, "connection_limit", lambda name: 1)
        first, departed = RecordingClient(), RecordingClient()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        request = a_request()
        core.request(first, dataclasses.replace(request, head=request.head.replace(b"Id: a", b"Id: first")))
        await server.wait_until(lambda fake: any("/api/" in s.line for s in fake.seen))
        script.plan[api.Request] = [api.Send("r2", "s-0", 5000)]
        core.request(departed, a_request())
        departed.has_left = True
        server.behave = lambda seen: reply(b"served")
        server.seen[-1].writer.write(reply(b"served"))
        assert await first.statuses.get() == 200
        await served_after(core, script)
        ids = [s.headers["x-request-id"] for s in server.seen if "/api/" in s.line]
        assert ids == ["first", "later"] and api.ClientLeft("r2") in script.events
        server.stop()

    run_on_loop(scenario)


class FailingPoll:
    """A poll that fails for want of memory."""

    def register(self, descriptor: int, events: int) -> None:
        pass

    def unregister(self, descriptor: int) -> None:
        pass

    def poll(self, timeout_ms: int) -> list:
        raise OSError(errno.ENOMEM, "no memory")


# Guards against: a client's close stays unseen, or a request fails, because the system call fails.
@pytest.mark.parametrize("poll_fails", [False, True])
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_close_is_seen_behind_unread_bytes(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, poll_fails: bool
) -> None:
    if poll_fails:
        monkeypatch.setattr(socket_state, "_hangup_poll", FailingPoll())
    with socket.create_server((LOOP, 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted_socket, _ = listener.accept()
        with client, accepted_socket:
            client.sendall(b"unread")
            assert not socket_state.has_hung_up(accepted_socket.fileno())
            leave(client)
            assert socket_state.has_hung_up(accepted_socket.fileno())
