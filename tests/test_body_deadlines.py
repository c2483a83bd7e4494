"""A long request's time counts from its last byte at this machine, whatever its server takes of it."""

from __future__ import annotations

import asyncio
import dataclasses
import fcntl
import math
import socket
import struct
import termios
import time
from pathlib import Path

import pytest
from conftest import LOOP, FakeHttpServer, GatewayRig, message, read_message, reply, run_on_loop, silent
from scripted_core import RecordingClient, a_request, core_with
from test_bodies import CHUNKED, Script, ScriptedServerRig, body_of, echo_digest, in_chunks
from test_released_memory import until_released
from test_streams import FullTransport

from yewstage import interface as api
from yewstage.net import clients
from yewstage.net.client_listener import SWEEP_INTERVAL_S, ClientListener
from yewstage.net.clients import HEAD_TIMEOUT_S, MAX_BODY_SILENCE_S, ClientConnection
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES
from yewstage.net.upload import Upload

DEADLINE_S = 1.0
WAIT_S = 0.2  # how long a request waits behind another one
ANSWER_SLACK_S = 0.5  # of the rule on lost requests: an answer after more than this is too late
RECEIVE_BUFFER_BYTES = 64 * 1024  # of the servers, so that they leave most of a body to the gateway
# Between what a stuck server takes, and what the gateway takes beside it.
BODY_SIZES = range(150_000, 700_000, 50_000)
TOO_LONG_BYTES = 8_000_000  # for all buffers on the way
BAD_CLIENT_LIMIT_S = 3.0  # for clients that stop within a request and stay
FAILED_STATUSES = (502, 503, 504)
LIMIT_S = 40.0


class StuckServerRig(ScriptedServerRig):
    """A rig whose only server accepts connections and runs a script that does not read whole bodies."""

    async def __aenter__(self) -> StuckServerRig:
        async def serve_stuck(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            await self.script(reader, writer)

        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((LOOP, 0))
        self.server = await asyncio.start_server(serve_stuck, sock=listening, limit=1024)
        await GatewayRig.__aenter__(self)
        return self


async def never_reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    reader._transport.pause_reading()
    await asyncio.sleep(
        LIMIT_S
    )  # an event that nothing refers to would be collected, and the connection closed


async def takes_a_part(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(BODY_SIZES[0])
    await never_reads(reader, writer)


async def reads_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.read(4096):
        await asyncio.sleep(0.1)


def long_request(size: int, framing: str, deadline_s: float = DEADLINE_S) -> bytes:
    deadline, rid = f"{deadline_s * 1000:.0f}m", b"long-%d" % size
    if framing == "length":
        return message("put", body=b"x" * size, deadline=deadline, rid=rid)
    head = message("put", drop="Content-Length", more=CHUNKED, deadline=deadline, rid=rid)
    return head + in_chunks(b"x" * size)


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Bytes that the machine of the gateway has not accepted yet."""
    raw = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return writer.transport.get_write_buffer_size() + struct.unpack("i", raw)[0]


async def taken(writer: asyncio.StreamWriter) -> bool:
    """Whether the gateway's machine has taken all that was written, once there is no more progress."""
    left = -1
    while left and left != (left := unacknowledged_bytes(writer)):
        await asyncio.sleep(0.05)
    return not left


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection. A close would wait behind the bytes for which the gateway has no room."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def answered_after_s(rig: GatewayRig, data: bytes) -> tuple[int, float] | None:
    """Status of the answer and seconds from the last byte to it; None if the last byte was not taken."""
    reader, writer = await rig.connect()
    writer.write(data)
    sent_at = time.monotonic()
    if not await taken(writer):
        reset(writer)
        return None
    answer = await read_message(reader, writer)
    writer.close()
    return int(answer.line.split()[1]), time.monotonic() - sent_at


# Guards against: a long request was answered 6 to 7 s after its last byte (review case 3).
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("script", [never_reads, reads_slowly])
def test_a_long_request_is_answered_in_its_time_whatever_its_server_takes_of_it(
    tmp_path: Path, script: Script, framing: str
) -> None:
    async def scenario() -> None:
        async with StuckServerRig(tmp_path, script) as rig:
            asked = (answered_after_s(rig, long_request(size, framing)) for size in BODY_SIZES)
            answers = [answer for answer in await asyncio.gather(*asked) if answer is not None]
            assert len(answers) >= 3  # the others do not count: their last byte was not taken
            for status, took_s in answers:
                assert status in FAILED_STATUSES and took_s < DEADLINE_S + ANSWER_SLACK_S, answers
            await until_released(rig, "requests to a server that takes nothing")

    run_on_loop(scenario, LIMIT_S)


# Guards against: a body too long for all buffers was answered 5 to 7 s after its server took no more of it.
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("script", [never_reads, takes_a_part])
def test_a_long_request_is_answered_in_its_time_though_its_last_byte_has_no_room(
    tmp_path: Path, script: Script, framing: str
) -> None:
    async def scenario() -> None:
        async with StuckServerRig(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(long_request(TOO_LONG_BYTES, framing))
            sent_at = time.monotonic()
            await asyncio.sleep(DEADLINE_S / 2)
            assert unacknowledged_bytes(writer)  # after the answer the rest is read and discarded
            assert int((await read_message(reader, writer)).line.split()[1]) in FAILED_STATUSES
            assert time.monotonic() - sent_at < DEADLINE_S + ANSWER_SLACK_S
            writer.close()
            await until_released(rig, "a request to a server that takes nothing")

    run_on_loop(scenario, LIMIT_S)


# Guards against: the time of a long request began only when an earlier one on its connection had ended.
def test_the_time_of_a_long_request_runs_while_it_waits_behind_another_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        connection.data_received(message(rid=b"short") + long_request(BODY_SIZES[0], "length"))
        read_at = time.monotonic()
        (first,) = core._requests.values()
        await asyncio.sleep(WAIT_S)
        core._answer(first, 503)
        (second,) = core._requests.values()
        assert second.arrived_at() <= read_at and second.answer_by <= read_at + DEADLINE_S
        core.stop()

    run_on_loop(scenario)


# Guards against: a long request behind another one on its connection is answered after its time.
def test_a_long_request_behind_another_one_is_answered_in_its_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with StuckServerRig(tmp_path, never_reads) as rig:
            reader, writer = await rig.connect()
            writer.write(message(deadline=f"{DEADLINE_S * 1000:.0f}m", rid=b"short"))
            writer.write(long_request(BODY_SIZES[0], "length"))
            sent_at = time.monotonic()
            assert await taken(writer)
            for _ in range(2):
                assert int((await read_message(reader, writer)).line.split()[1]) in FAILED_STATUSES
            assert time.monotonic() - sent_at < DEADLINE_S + ANSWER_SLACK_S
            writer.close()

    run_on_loop(scenario, LIMIT_S)


# Guards against: a long request fails as its time begins before its last byte, though its server is well.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_body_that_takes_longer_than_the_deadline_to_arrive_is_served(tmp_path: Path, framing: str) -> None:
    async def scenario() -> None:
        async def reads_in_steps(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(DEADLINE_S / 2)  # holds the client back for a while
            body = await body_of(head, reader)
            writer.write(reply(b"%d" % len(body)))

        async with StuckServerRig(tmp_path, reads_in_steps) as rig:
            reader, writer = await rig.connect()
            size = BODY_SIZES[-1]
            data = long_request(size, framing)
            for i in range(0, len(data), len(data) // 10):
                writer.write(data[i : i + len(data) // 10])
                await asyncio.sleep(DEADLINE_S / 4)
            answer = await read_message(reader, writer)
            assert (answer.line.split()[1], answer.body) == ("200", b"%d" % size)
            writer.close()

    run_on_loop(scenario, LIMIT_S)


# Guards against: a client that stopped within its body was kept for as long as the part that came was long.
@pytest.mark.parametrize("script", [never_reads, reads_slowly, echo_digest])
@pytest.mark.parametrize("size", [MAX_BUFFERED_BODY_BYTES, 4 * MAX_BUFFERED_BODY_BYTES])
def test_a_client_that_stops_within_a_body_gets_its_error_in_time(
    tmp_path: Path, script: Script, size: int
) -> None:
    async def scenario() -> None:
        async with StuckServerRig(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            data = long_request(size, "length", deadline_s=6.0)
            writer.write(data[: len(data) // 2])
            stopped_at = time.monotonic()
            assert int((await read_message(reader, writer)).line.split()[1]) == 408
            assert time.monotonic() - stopped_at < BAD_CLIENT_LIMIT_S
            writer.close()

    assert MAX_BODY_SILENCE_S + SWEEP_INTERVAL_S < BAD_CLIENT_LIMIT_S
    assert HEAD_TIMEOUT_S + SWEEP_INTERVAL_S < BAD_CLIENT_LIMIT_S
    run_on_loop(scenario, LIMIT_S)


# Guards against: a request that is answered while its body waits for its server keeps a connection for good.
def test_an_attempt_whose_body_is_not_written_ends_with_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        server = FakeHttpServer(silent)
        core, script = await core_with(monkeypatch, server)
        assert not core.settings.cancel  # what servers may run is not cancelled
        account = core.budget.open_account("uploads")
        upload = Upload(MAX_BUFFERED_BODY_BYTES, account, lambda: None, lambda upload: None, lambda: None)
        upload.feed(b"x")
        request = dataclasses.replace(a_request(deadline_ms=DEADLINE_S * 1000), upload=upload)
        client = RecordingClient()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        core.request(client, request)
        await server.wait_until(lambda fake: core._pool.metrics()["links_open"] == 1)
        assert core._unanswered == 0  # its last byte has not arrived
        upload.arrived_at_s = time.monotonic()
        core.body_arrived("r1")
        assert core._unanswered == 1
        assert await client.statuses.get() == 504
        assert script.outcomes() == [api.CANCELLED] and core._pool.metrics()["links_open"] == 0
        assert not core._requests and core._unanswered == 0
        server.stop()

    run_on_loop(scenario)


# Guards against: a chunked body that goes on after a pause of reading is taken for complete, and runs out.
def test_the_time_of_a_chunked_body_that_goes_on_does_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        data = message("put", drop="Content-Length", more=CHUNKED) + in_chunks(b"x" * 300_000)
        unread_bytes = 10
        monkeypatch.setattr(ClientConnection, "_unread_bytes", lambda connection: unread_bytes)
        monkeypatch.setattr(ClientConnection, "has_disconnected", lambda connection: False)
        monkeypatch.setattr(clients, "seconds_since_last_data", lambda sock: 0.5)
        connection.data_received(data[:100_000])  # waits for a server, and so pauses reading
        (request,) = core._requests.values()
        assert request.arrived_at() is None
        connection.check_timeouts(connection._listener.now())
        assert 0.5 <= time.monotonic() - request.arrived_at() < 0.6 and request.answer_by < math.inf
        connection.data_received(data[100_000:200_000])
        assert request.arrived_at() is None and request.answer_by == math.inf and core._unanswered == 0
        connection.check_timeouts(connection._listener.now())
        connection.data_received(data[200_000:])
        assert request.arrived_at() is not None and core._unanswered == 1
        core.stop()

    run_on_loop(scenario)
