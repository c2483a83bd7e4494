"""No attempt begins for a client that has left while the gateway process was held up.

The process is stopped with SIGSTOP. Meanwhile the client leaves, and an event arrives that begins an attempt.
Both lie in the sockets when the process continues, so that the order in which it reads them decides.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from conftest import LOOP, GatewayRig, SeenMessage, message, read_message, reply, run_on_loop, serve

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
    before = (await rig.metrics())['gateway_descriptors{use="clients"}']
    client = connect(rig)
    while (await rig.metrics())['gateway_descriptors{use="clients"}'] <= before:
        await asyncio.sleep(0.01)
    return client


async def used(rig: GatewayRig) -> socket.socket:
    """A client's connection on which a request has been answered."""
    reader, writer = await rig.connect()
    writer.write(message(rid=b"first"))
    await read_message(reader, writer)
    client = writer.get_extra_info("socket").dup()
    writer.transport.abort()
    return client


async def attempts_for(rig: GatewayRig, request_id: bytes) -> int:
    """Attempts that servers have received for a request, after the gateway has noted that its client left."""
    await rig.wait_for_log(request_id.decode())
    for i in range(PROBES):
        assert await rig.status(message(rid=b"probe-%d" % i)) == 200
    return sum(
        seen.headers["x-request-id"] == request_id.decode() for host in rig.hosts for seen in host.seen
    )


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
            assert await attempts_for(rig, DEPARTED) == 1

    run_on_loop(scenario)
