"""What a connection holds is released however it ends: memory, pauses of reading and its descriptor."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from conftest import FakeHttpServer, GatewayRig, message, read_message, run_on_loop, serve, silent
from scripted_core import core_with
from test_bodies import CHUNKED, ScriptedServerRig, in_chunks
from test_departed_clients import WAYS_TO_LEAVE, Leave, connect, held_up, leave_by_reset
from test_streams import FullTransport

from yewstage import interface as api
from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import ANSWER_READ_TIMEOUT_S, MAX_PIPELINED_BYTES, ClientConnection
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES

# More than the process reads ahead of a request, and less than the socket buffers of a connection hold.
LONG_BODY = b"x" * (2 * MAX_BUFFERED_BODY_BYTES)
RELEASED_WITHIN_S = 3.0  # under the 5 s after which a connection to a server without progress is closed
LIMIT_S = 60.0


def long_request(**changes: object) -> bytes:
    return message("put", body=LONG_BODY, rid=b"long", **changes)


def long_chunked_request(last: bytes = b"0\r\n\r\n") -> bytes:
    return message("put", drop="Content-Length", more=CHUNKED, rid=b"long") + in_chunks(LONG_BODY, last=last)


MANY_REQUESTS = b"".join(message(rid=b"many-%d" % i) for i in range(1000))
SENT_AT_ONCE = {
    "a long request": long_request(),
    "a long request in chunks": long_chunked_request(),
    "a short and a long request": message(rid=b"short") + long_request(),
    "a part of a long request": long_request()[: len(LONG_BODY) // 2],
    "a short and a part of a long request": message(rid=b"short") + long_request()[: len(LONG_BODY) // 2],
    "two long requests": long_request() + long_request(),
    "many short requests": MANY_REQUESTS,
    "a long and many short requests": long_request() + MANY_REQUESTS,
}


HELD_FOR_CLIENTS = ("gateway_streams_open", "gateway_open_requests", 'gateway_descriptors{use="clients"}')


async def until_released(rig: GatewayRig, what: str, within_s: float = RELEASED_WITHIN_S) -> None:
    """Wait until no client connection is open and nothing is held for one."""
    held: dict[str, float] = {}
    try:
        async with asyncio.timeout(within_s):
            while True:
                metrics = await rig.metrics()
                held = {
                    name: value
                    for name, value in metrics.items()
                    if value and (name in HELD_FOR_CLIENTS or name.startswith("gateway_held_bytes{"))
                }
                if not held:
                    return
                await asyncio.sleep(0.02)
    except TimeoutError:
        pytest.fail(f"still held after {what}: {held}")


# Guards against: bodies of clients that had left stayed in the memory budget until a restart (review case 2).
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("is_held_up", [False, True], ids=["running", "held up"])
def test_a_client_that_sends_much_at_once_and_leaves_holds_nothing(
    tmp_path: Path, leave: Leave, is_held_up: bool
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            await rig.ask(message(rid=b"warm"))
            for what, data in SENT_AT_ONCE.items():
                for _ in range(3):
                    async with held_up(rig) if is_held_up else contextlib.nullcontext():
                        client = connect(rig)
                        client.sendall(data)
                        leave(client)
                    await until_released(rig, what)
                    client.close()

    run_on_loop(scenario, LIMIT_S)


# Guards against: the body of a queued request stayed in the memory budget when the request was dropped.
@pytest.mark.parametrize(
    "data",
    [
        message(rid=b"short") + long_chunked_request(last=b"zz\r\n"),
        message(rid=b"short", more="Connection: close\r\n") + long_request(),
    ],
    ids=["its body is invalid", "the connection ends before it"],
)
def test_a_long_request_dropped_from_the_queue_holds_nothing(
    monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        connection.data_received(data)
        (request,) = [event for event in script.events if isinstance(event, api.Request)]
        core._answer(core._requests[request.id], 503)
        assert core.budget.stream_count() == 0 and core.budget.held_bytes_by_purpose()["uploads"] == 0
        connection.connection_lost(None)
        assert core.budget.held == 0

    run_on_loop(scenario)


# Guards against: a client that left was noted only when its server took more of its body, or after seconds.
def test_a_client_that_leaves_while_its_body_is_held_back_is_seen_soon(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def never_reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reader._transport.pause_reading()
            await asyncio.sleep(
                LIMIT_S
            )  # an event that nothing refers to would be collected, and the connection closed

        async with ScriptedServerRig(tmp_path, never_reads) as rig:
            client = connect(rig)
            client.setblocking(False)
            data = message("put", body=LONG_BODY * 100, rid=b"held-back")
            with contextlib.suppress(BlockingIOError):
                while True:
                    data = data[client.send(data) :]
                    await asyncio.sleep(0.1)
            # A close would not be seen: its end waits behind bytes for which the gateway has no room.
            leave_by_reset(client)
            await until_released(rig, "a body that was held back")

    run_on_loop(scenario, LIMIT_S)


# Guards against: a long answer hung for good, as an earlier one on its connection had ended while paused.
def test_a_long_answer_is_not_held_back_by_an_earlier_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        transport = FullTransport(connection)
        connection.connection_made(transport)
        pauses: list[bool] = []
        source = type("Link", (), {"pause": lambda link, is_paused: pauses.append(is_paused)})()

        def begin_answer() -> None:
            connection.data_received(message())
            connection.begin_stream(None, b"", source)

        begin_answer()
        others = core.budget.open_account("requests")
        others.set(core.budget.high_bytes + 1)
        connection.write_body(b"more")
        assert core.budget.is_under_pressure and pauses[-1]
        connection.end_stream()
        others.end()
        begin_answer()
        assert not core.budget.is_under_pressure and not pauses[-1]

    run_on_loop(scenario)


# Guards against: a long request behind a readiness check was sent on in part, and held a connection for good.
def test_a_long_request_behind_a_readiness_check_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            data = long_request()
            head = data.index(b"\r\n\r\n") + 4
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n" + data[:head])
            assert (await read_message(reader, writer)).line.split()[1] == "200"
            writer.write(data[head:])
            assert (await read_message(reader, writer)).body == b"served"
            writer.close()
            await until_released(rig, "a long request behind a readiness check")

    run_on_loop(scenario, LIMIT_S)


# Guards against: the start of a streamed answer counted twice, as held for its server and for its client.
def test_the_start_of_a_streamed_answer_is_held_only_until_its_client_has_it(tmp_path: Path) -> None:
    start = b"x" * (MAX_BUFFERED_BODY_BYTES - 1)

    async def begins_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + start)
        await asyncio.sleep(LIMIT_S)

    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, begins_only) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            await reader.readuntil(start)
            while (metrics := await rig.metrics())['gateway_held_bytes{use="answers"}']:
                await asyncio.sleep(0.02)
            assert metrics["gateway_streams_open"] == 1  # the answer has not ended meanwhile
            writer.close()

    run_on_loop(scenario, LIMIT_S)


class ClosingTransport(FullTransport):
    """A client's transport that is being closed and cannot write what it holds."""

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__(connection)
        self.is_aborted = False

    def is_closing(self) -> bool:
        return self.full

    def abort(self) -> None:
        self.is_aborted = True


# Guards against: a connection closed while its reading is paused is kept for a client that never reads.
def test_a_client_that_reads_nothing_is_disconnected_whether_or_not_its_connection_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        transport = ClosingTransport(connection)
        connection.connection_made(transport)
        connection.data_received(MANY_REQUESTS)
        assert connection._buffered_request_bytes() > MAX_PIPELINED_BYTES  # so reading is paused
        transport.full = True
        connection.pause_writing()
        now = asyncio.get_running_loop().time()
        connection.check_timeouts(now + ANSWER_READ_TIMEOUT_S / 2)
        assert not transport.is_aborted
        connection.check_timeouts(now + ANSWER_READ_TIMEOUT_S + 1)
        assert transport.is_aborted

    run_on_loop(scenario)


# Guards against: the rest of a long body was kept, after its request had been answered (issue 57).
def test_the_rest_of_a_long_body_is_discarded_after_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        monkeypatch.setattr(ClientConnection, "has_hung_up", lambda connection: False)
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        script.plan[api.Request] = [api.Refuse("r1", 0.0, "quota")]
        connection.data_received(long_request()[: len(LONG_BODY) // 2])
        assert connection.answered_count == 1
        connection.data_received(LONG_BODY[: len(LONG_BODY) // 4])
        assert not connection._message.body and connection._message.body_bytes
        core.stop()

    run_on_loop(scenario)
