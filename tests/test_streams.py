"""Streamed bodies in both directions: under memory pressure, aborted, and with wrong framing."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import FakeHttpServer, GatewayRig, SeenMessage, message, read_message, reply, run_on_loop
from scripted_core import core_with
from test_bodies import CHUNKED, ScriptedServerRig, body_of, echo_digest, in_chunks, resident_mb
from test_retune import raw_config

from yewstage import interface as api
from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import ClientConnection
from yewstage.net.config import ConfigError, parse

MB = 2**20
BIG = bytes(range(256)) * 4096  # 1 MB


async def idle_metrics(rig: GatewayRig) -> dict[str, float]:
    """Return the metrics once no bytes are held and no stream or request is open."""
    while True:
        metrics = await rig.metrics()
        held = sum(value for name, value in metrics.items() if name.startswith("gateway_held_bytes{"))
        if not held and not metrics["gateway_streams_open"] and not metrics["gateway_open_requests"]:
            return metrics
        await asyncio.sleep(0.02)


class LongAnswerServer:
    """A server that answers with 32 MB, or at once where the request head contains "small"."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/api/" in head and b"small" in head:
            writer.write(reply(b"small"))
            return
        self.writers.append(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * MB))
        for _ in range(32):
            writer.write(BIG)
            await writer.drain()


def test_streamed_answers_to_clients_that_do_not_read_keep_within_the_budget(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, LongAnswerServer()) as rig:
            peaks, clients = [], []
            before = resident_mb(rig.process.pid)
            for count in (25, 100):
                while len(clients) < count:
                    clients.append(await rig.connect())
                    clients[-1][0]._transport.pause_reading()
                    clients[-1][1].write(message())
                open_now = 0
                while open_now < min(count, 40):  # as many as get a server connection
                    open_now = (await rig.metrics())["gateway_streams_open"]
                peaks.append((await rig.metrics())["gateway_held_bytes_peak"])
            metrics = await rig.metrics()
            assert peaks[-1] <= 0.8 * metrics["gateway_held_bytes_limit"] + 256 * 1024
            assert resident_mb(rig.process.pid) - before < 2 * metrics["gateway_held_bytes_limit"] / MB + 10
            for _, writer in clients:
                writer.transport.abort()
            assert (await idle_metrics(rig))['gateway_streams_short_total{cause="client"}'] >= 25

    set_limits(tmp_path, memory_mb=32)
    run_on_loop(scenario, 60)


def set_limits(folder: Path, **limits: object) -> None:
    """Set limits for the rigs of this test; the autouse fixture puts them into their configuration."""
    (folder / "limits.json").write_text(json.dumps(limits))


@pytest.fixture(autouse=True)
def apply_limits(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    spawn = GatewayRig.spawn

    async def limited(rig: GatewayRig) -> None:
        path = tmp_path / "limits.json"
        if path.exists():
            rig.config["limits"].update(json.loads(path.read_text()))
            rig.path.write_text(json.dumps(rig.config))
        await spawn(rig)

    monkeypatch.setattr(GatewayRig, "spawn", limited)


def test_uploads_above_the_budget_are_refused_at_once_and_small_requests_served(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        release_server = asyncio.Event()

        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"POST"):
                    reader._transport.pause_reading()  # the server does not read the body
                    await release_server.wait()
                writer.write(reply(b"small"))

        async with ScriptedServerRig(tmp_path, host) as rig:
            uploads = []
            status = 0
            while not status:
                assert len(uploads) < 100
                reader, writer = await rig.connect()
                uploads.append(writer)
                # None of them may end before one is refused, however long that takes.
                writer.write(message("put", body=BIG * 8, rid=b"up%d" % len(uploads), deadline="60000m"))
                refused = (await rig.metrics())["gateway_bodies_refused_total"]
                if refused:
                    answer = await read_message(reader, writer)
                    status = int(answer.line.split()[1])
                    assert float(answer.headers["retry-after"]) > 0
                else:
                    await asyncio.sleep(0.02)
            assert status == 503
            for n in range(5):
                assert await rig.status(message(rid=b"small%d" % n)) == 200
            metrics = await rig.metrics()
            limit = metrics["gateway_held_bytes_limit"]
            assert metrics['gateway_held_bytes{use="uploads"}'] <= 0.8 * limit + 256 * 1024
            for writer in uploads:
                writer.transport.abort()
            await idle_metrics(rig)
            reader, writer = await rig.connect()
            release_server.set()
            writer.write(message("put", body=BIG, rid=b"after"))
            assert (await read_message(reader, writer)).line.split()[1] == "200"

    set_limits(tmp_path, memory_mb=24)
    run_on_loop(scenario, 60)


def test_a_slow_reader_delays_only_its_own_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(reply(BIG * 8))
                await writer.drain()

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, slow = await rig.connect()
            slow.write(message())
            await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            for n in range(5):
                quick, writer = await rig.connect()
                writer.write(message(rid=b"q%d" % n))
                assert await body_of(await quick.readuntil(b"\r\n\r\n"), quick) == BIG * 8
                writer.close()
            got = 0
            while got < 8 * MB:  # the slow reader receives all of it
                reader._transport.resume_reading()
                got += len(await reader.read(64_000))
                reader._transport.pause_reading()
            slow.close()
            metrics = await idle_metrics(rig)
            assert metrics['gateway_passed_bytes_total{way="down"}'] == 6 * 8 * MB
            assert not any(value for name, value in metrics.items() if "streams_short" in name)

    run_on_loop(scenario, 60)


@pytest.mark.parametrize(
    ("answer", "status"),
    [(reply(b"early"), 200), (reply(b"no", 500), 502), (reply(b"", 503, b"X-Not-Run: 1\r\n"), 503)],
)
def test_an_answer_before_the_end_of_the_upload_is_passed_on_and_the_rest_discarded(
    tmp_path: Path, answer: bytes, status: int
) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MB // 2)
            writer.write(answer)
            await reader.read()  # until the gateway closes the connection

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, writer = await rig.connect()
            writer.write(message("put", body=BIG * 4)[: 2 * MB])  # the rest is sent later
            seen = await read_message(reader, writer)
            assert int(seen.line.split()[1]) == status and seen.headers["connection"] == "close"
            with contextlib.suppress(ConnectionError):
                for _ in range(100):  # the rest is read and discarded until a time limit
                    writer.write(b"x" * 1000)
                    await writer.drain()
                    await asyncio.sleep(0.1)
            metrics = await idle_metrics(rig)
            assert metrics['gateway_streams_short_total{cause="answered"}'] == 1
            # A server connection with a partial request is not reused.
            assert rig.connections == 1 and metrics["gateway_links_open"] == 0
            writer.close()

    run_on_loop(scenario, 60)


def test_a_streamed_answer_may_begin_before_the_upload_has_ended(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            left = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if b"Content-Length" in line)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % left)
            while left:
                data = await reader.read(min(65536, left))
                left -= len(data)
                writer.write(data)
                await writer.drain()

        async with ScriptedServerRig(tmp_path, echo) as rig:
            reader, writer = await rig.connect()
            data = message("put", body=BIG * 6)
            body = data.index(b"\r\n\r\n") + 4
            writer.write(data[: body + MB])
            head = await reader.readuntil(b"\r\n\r\n")
            first = await reader.readexactly(MB // 2)  # before the rest is sent
            writer.write(data[body + MB :])
            rest = await reader.readexactly(6 * MB - MB // 2)
            assert b" 200 " in head and first + rest == BIG * 6
            writer.close()
            metrics = await idle_metrics(rig)
            assert metrics['gateway_fulfilled_total{priority="put"}'] == 1
            assert metrics["gateway_relayed_total"] == 1

    run_on_loop(scenario)


def test_the_first_bytes_of_an_answer_to_an_unsafe_request_are_passed_on_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        send_rest = asyncio.Event()

        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            await send_rest.wait()  # set once the client has received these bytes
            writer.write(b"4\r\nlast\r\n0\r\n\r\n")

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, writer = await rig.connect()
            writer.write(message("pay", key=False))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"chunked" in head and await reader.readuntil(b"first\r\n") == b"5\r\nfirst\r\n"
            send_rest.set()
            assert (await reader.readuntil(b"0\r\n\r\n")).startswith(b"4\r\nlast")
            writer.close()

    run_on_loop(scenario)


def test_a_truncated_short_answer_to_a_safe_request_is_retried(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if rig.connections == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
                await writer.drain()
                writer.transport.abort()
            else:
                writer.write(reply(b"whole"))

        async with ScriptedServerRig(tmp_path, host) as rig:
            assert (await rig.ask(message())).body == b"whole"

    run_on_loop(scenario)


def test_requests_pipelined_behind_an_upload_are_answered_in_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            reader, writer = await rig.connect()
            writer.write(
                message("put", body=BIG, rid=b"a")
                + message("put", body=b"b" * 10, rid=b"b")
                + message("put", drop="Content-Length", more=CHUNKED, rid=b"c")
                + in_chunks(BIG)
            )
            sizes = [int((await read_message(reader, writer)).body.split()[0]) for _ in range(3)]
            assert sizes == [MB, 10, MB]
            writer.close()
            await idle_metrics(rig)

    run_on_loop(scenario)


@pytest.mark.parametrize("how", ["leaves", "half closes", "resets"])
@pytest.mark.parametrize("way", ["up", "down"])
def test_a_client_that_leaves_during_a_stream_closes_the_server_connection_and_frees_memory(
    tmp_path: Path, how: str, way: str
) -> None:
    async def scenario() -> None:
        begun, ended = asyncio.Event(), asyncio.Event()

        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                if way == "up":
                    await reader.readexactly(MB)
                    begun.set()
                    assert await reader.read() is not None
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (64 * MB))
                    begun.set()
                    while True:
                        writer.write(BIG)
                        await writer.drain()
            finally:
                ended.set()

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, writer = await rig.connect()
            reader._transport.pause_reading()
            writer.write(message("put", body=BIG * 4)[: 2 * MB] if way == "up" else message())
            await begun.wait()
            if how == "half closes":
                writer.write_eof()  # treated as a disconnect
            else:
                (writer.close if how == "leaves" else writer.transport.abort)()
            await ended.wait()
            metrics = await idle_metrics(rig)
            assert metrics['gateway_streams_short_total{cause="client"}'] == 1
            assert metrics["gateway_links_open"] == 0
            writer.transport.abort()

    run_on_loop(scenario)


@pytest.mark.parametrize(("length", "sent"), [(b"200000", BIG[:150_000]), (b"200000", BIG[:200_050])])
def test_a_connection_with_a_wrong_content_length_is_not_reused(
    tmp_path: Path, length: bytes, sent: bytes
) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % length + sent)
            await writer.drain()
            writer.write_eof()

        async with ScriptedServerRig(tmp_path, host) as rig:
            for n in range(2):
                reader, writer = await rig.connect()
                writer.write(message(rid=b"r%d" % n))
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: 200000" in head
                body = await reader.read(200_000)
                while len(body) < 200_000 and (more := await reader.read(200_000 - len(body))):
                    body += more
                assert body == sent[:200_000]  # a missing rest shows as an early end of the connection
                writer.close()
            assert rig.connections == 2
            await idle_metrics(rig)

    run_on_loop(scenario)


def test_bytes_beyond_the_content_length_are_answered_as_a_bad_request(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            reader, writer = await rig.connect()
            writer.write(message("put", body=BIG) + b"and more than that")
            assert (await read_message(reader, writer)).body.split()[0] == b"1048576"
            assert (await read_message(reader, writer)).line.split()[1] == "400"
            writer.close()
            await idle_metrics(rig)

    run_on_loop(scenario)


def test_uploads_above_the_configured_limit_are_answered_413(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            assert await rig.status(message("put", body=BIG)) == 200
            assert await rig.status(message("put", body=BIG * 2 + b"x")) == 413
            reader, writer = await rig.connect()
            writer.write(message("put", drop="Content-Length", more=CHUNKED) + in_chunks(BIG * 3))
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                assert (await read_message(reader, writer)).line.split()[1] == "413"
            writer.close()
            await idle_metrics(rig)

    set_limits(tmp_path, upload_mb=2)
    run_on_loop(scenario)


@pytest.mark.parametrize(
    "limits", [{"memory_mb": 0}, {"memory_mb": "many"}, {"upload_mb": -1}, {"upload_mb": True}]
)
def test_limits_out_of_range_are_configuration_errors(limits: dict) -> None:
    tree = raw_config()
    tree["limits"].update(limits)
    with pytest.raises(ConfigError, match=f"limits.{next(iter(limits))}"):
        parse(tree)


def serve(seen: SeenMessage) -> bytes:
    return reply(b"ok")


def test_metrics_count_the_bytes_of_bodies(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            assert await rig.status(message("put", body=BIG)) == 200
            metrics = await idle_metrics(rig)
            assert metrics['gateway_passed_bytes_total{way="up"}'] == MB
            assert 0 < metrics["gateway_held_bytes_peak"] <= metrics["gateway_held_bytes_limit"]
            assert metrics["gateway_bodies_refused_total"] == metrics["gateway_streams_stopped_total"] == 0

    run_on_loop(scenario)


class FullTransport:
    """A client's transport whose buffer a test can declare full."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection, self.full = connection, False

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **how: None

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 5 if self.full else 0

    def write(self, data: bytes) -> None:
        if self.full:
            self._connection.pause_writing()


def test_the_end_of_an_answer_does_not_pause_a_reused_server_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        host = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        transport = FullTransport(connection)
        connection.connection_made(transport)
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        connection.data_received(message())
        pauses: list[bool] = []
        connection.begin_stream(
            None, b"", type("Link", (), {"pause": lambda link, held: pauses.append(held)})()
        )
        connection.write_body(b"all of it")
        assert True not in pauses
        transport.full = True
        # The last chunk fills the buffer when the server connection may already serve another request.
        connection.end_stream()
        transport.full = False
        connection.resume_writing()
        assert True not in pauses
        host.stop()

    run_on_loop(scenario)


@pytest.mark.parametrize("invalid_chunk", [b"zz\r\n", b"ffffffffffffffffff\r\n", b"5\r\nabcdefg\r\n"])
def test_an_upload_with_invalid_chunks_is_aborted_without_a_further_byte_to_its_server(
    tmp_path: Path, invalid_chunk: bytes
) -> None:
    async def scenario() -> None:
        got: list[bytes] = []

        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            while data := await reader.read(65536):
                got.append(data)

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, writer = await rig.connect()
            writer.write(
                message("put", drop="Content-Length", more=CHUNKED) + in_chunks(BIG, last=invalid_chunk)
            )
            writer.write(in_chunks(b"never"))
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                assert (await read_message(reader, writer)).line.split()[1] == "400"
            writer.close()
            await idle_metrics(rig)
            sent = b"".join(got)
            # Without the last chunk the server sees the body as incomplete.
            assert b"never" not in sent and not sent.endswith(b"0\r\n\r\n")

    run_on_loop(scenario)


def test_during_a_hot_upgrade_open_streams_end_in_the_old_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"POST"):
                await answer_with_size(head, reader, writer)
            else:
                writer.write(reply(BIG * 8))

        async def answer_with_size(
            head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            body = await body_of(head, reader)
            writer.write(reply(b"%d" % len(body)))

        rig = ScriptedServerRig(tmp_path, host)
        rig.hold()
        async with rig:
            old = rig.process
            down, down_writer = await rig.connect()
            down_writer.write(message(rid=b"down"))
            await down.readuntil(b"\r\n\r\n")
            down._transport.pause_reading()
            up, up_writer = await rig.connect()
            data = message("put", body=BIG * 2, rid=b"up")
            up_writer.write(data[:MB])
            while (await rig.metrics())["gateway_streams_open"] < 2:
                await asyncio.sleep(0.01)
            await rig.spawn()
            while (await rig.ops("/ops/readiness")).line.split()[1] != "200":
                await asyncio.sleep(0.02)
            old.send_signal(signal.SIGTERM)
            await rig.wait_for_log("taking over")
            up_writer.write(data[MB:])
            answer = await read_message(up, up_writer)
            assert (answer.body, answer.headers["connection"]) == (b"%d" % (2 * MB), "close")
            down._transport.resume_reading()
            assert await down.readexactly(8 * MB) == BIG * 8
            for writer in (down_writer, up_writer):
                writer.close()
            assert await old.wait() == 0
            assert await rig.status(message("put", body=BIG, rid=b"new")) == 200

    run_on_loop(scenario)


def test_bodies_in_one_byte_writes_in_both_directions(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await body_of(head, reader)
                for byte in reply(body[:200]):
                    writer.write(bytes([byte]))
                    await writer.drain()

        async with ScriptedServerRig(tmp_path, host) as rig:
            reader, writer = await rig.connect()
            for byte in message("put", body=BIG[:300]):
                writer.write(bytes([byte]))
                await writer.drain()
            assert (await read_message(reader, writer)).body == BIG[:200]
            writer.close()
            reader, writer = await rig.connect()
            writer.write(
                message("put", drop="Content-Length", more=CHUNKED) + in_chunks(BIG[:70_000], size=1)
            )
            assert (await read_message(reader, writer)).body == BIG[:200]
            writer.close()
            metrics = await idle_metrics(rig)
            assert metrics['gateway_passed_bytes_total{way="up"}'] == 70_000
            assert metrics['gateway_fulfilled_total{priority="put"}'] == 2

    run_on_loop(scenario)
