"""Streamed bodies of requests and answers: flow control, early ends and connections that break."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import math
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import LOOP, Driver, GatewayRig, actions_of, instance, message, read_message, reply, run_on_loop

from yewstage import interface as api
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.http1 import Reply

BIG = bytes(range(256)) * 4096 * 3  # 3 MB, more than all buffers between client and server hold
CHUNKED = "Transfer-Encoding: chunked\r\n"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def in_chunks(data: bytes, size: int = 50_000, last: bytes = b"0\r\n\r\n") -> bytes:
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;ext=1\r\n%b\r\n" % (len(p), p) for p in parts) + last


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read a body by the framing that its head announces."""
    if b"transfer-encoding: chunked" not in head.lower():
        lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return await reader.readexactly(int(lengths[0].split(b":")[1])) if lengths else await reader.read()
    parts = []
    while size := int((await reader.readline()).partition(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


class ScriptedServerRig(GatewayRig):
    """A rig whose only server runs a script on each of its connections."""

    def __init__(self, folder: Path, script: Script) -> None:
        super().__init__(folder)
        self.script = script
        self.connections = 0

    async def __aenter__(self) -> ScriptedServerRig:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self.script(reader, writer)
            writer.close()

        self.server = await asyncio.start_server(serve, LOOP, 0)
        await super().__aenter__()
        return self

    def instances(self) -> list[dict]:
        return [instance("s-0", self.server.sockets[0].getsockname()[1])]

    async def __aexit__(self, *exc: object) -> None:
        await super().__aexit__(*exc)
        self.server.close()


async def echo_digest(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that answers each request with the length and digest of its body."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        body = await body_of(head, reader) if head.startswith(b"POST") else b""
        writer.write(reply(f"{len(body)} {digest(body)}".encode()))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("piece", [1 << 20, 9973])
def test_a_streamed_body_reaches_the_server_unchanged(tmp_path: Path, chunked: bool, piece: int) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            reader, writer = await rig.connect()
            for _ in range(2):  # the connection is kept open
                if chunked:
                    data = message("put", drop="Content-Length", more=CHUNKED) + in_chunks(BIG)
                else:
                    data = message("put", body=BIG)
                for i in range(0, len(data), piece):
                    writer.write(data[i : i + piece])
                    await writer.drain()
                answer = await read_message(reader, writer)
                assert answer.body.decode() == f"{len(BIG)} {digest(BIG)}"
            figures = await rig.metrics()
            assert figures["gateway_relayed_total"] == 2 and figures["gateway_open_requests"] == 0

    run_on_loop(scenario)


def test_a_streamed_body_is_held_back_by_a_server_that_reads_slowly(tmp_path: Path) -> None:
    """Unread data must stay with the client: the gateway holds a few buffers of it only."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            body = await body_of(head, reader)
            writer.write(reply(digest(body).encode()))

        async with ScriptedServerRig(tmp_path, slow) as rig:
            reader, writer = await rig.connect()
            long_body = BIG * 8
            writer.write(message("put", body=long_body))
            left = 0
            while left != (left := writer.transport.get_write_buffer_size()) or left == 0:
                await asyncio.sleep(0.1)  # until there is no more progress
            assert left > len(long_body) / 2
            go.set()
            assert (await read_message(reader, writer)).body.decode() == digest(long_body)

    run_on_loop(scenario)


def framed(how: str, body: bytes) -> bytes:
    if how == "length":
        return b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + reply(body)
    if how == "chunked":
        head = f"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: X-T\r\n{CHUNKED}\r\n"
        return head.encode() + in_chunks(body, last=b"0\r\nX-T: 1\r\n\r\n")
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


@pytest.mark.parametrize("how", ["length", "chunked", "close"])
def test_a_streamed_answer_reaches_the_client_unchanged(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(framed(how, BIG))
                await writer.drain()
                if how == "close":
                    return

        async with ScriptedServerRig(tmp_path, answer) as rig:
            reader, writer = await rig.connect()
            for _ in range(2):
                writer.write(message())
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200") and b"close" not in head
                assert await body_of(head, reader) == BIG
            assert rig.connections == (2 if how == "close" else 1)
            figures = await rig.metrics()
            assert figures['gateway_fulfilled_total{priority="read"}'] == 2
            assert figures["gateway_open_requests"] == 0

    run_on_loop(scenario)


def test_a_streamed_answer_is_held_back_by_a_client_that_reads_slowly(tmp_path: Path) -> None:
    async def scenario() -> None:
        writers = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
            writer.write(reply(BIG * 8))
            await writer.drain()

        async with ScriptedServerRig(tmp_path, answer) as rig:
            reader, writer = await rig.connect()
            writer.transport.pause_reading()
            writer.write(message())
            left = 0
            while not writers or left != (left := writers[0].transport.get_write_buffer_size()) or left == 0:
                await asyncio.sleep(0.1)
            assert left > len(BIG) * 4
            writer.transport.resume_reading()
            assert await body_of(await reader.readuntil(b"\r\n\r\n"), reader) == BIG * 8

    run_on_loop(scenario)


def resident_mb(pid: int) -> float:
    line = next(s for s in Path(f"/proc/{pid}/status").read_text().splitlines() if s.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def test_many_streamed_bodies_take_a_few_buffers_each(tmp_path: Path) -> None:
    """25 answers and 25 requests of 6 MB each, which nobody reads. Buffering them would take 300 MB."""

    async def scenario() -> None:
        begun: list[asyncio.StreamWriter] = []

        async def stuck(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            begun.append(writer)
            if head.startswith(b"GET"):
                writer.write(reply(long_body))
            await asyncio.Event().wait()

        long_body = BIG * 2
        upload = message("put", body=long_body)
        async with ScriptedServerRig(tmp_path, stuck) as rig:
            before = resident_mb(rig.process.pid)
            clients = [await rig.connect() for _ in range(50)]
            for i, (reader, writer) in enumerate(clients):
                reader._transport.pause_reading()
                writer.write(upload if i % 2 else message())
                while len(begun) <= i:
                    await asyncio.sleep(0.01)
            ends = [writer.transport for _, writer in clients[1::2]] + [writer.transport for writer in begun]
            left = -1
            while left != (left := sum(t.get_write_buffer_size() for t in ends)):
                await asyncio.sleep(0.1)  # until there is no more progress
            assert left > 5 * len(
                long_body
            )  # it stays with its senders and in buffers of the operating system
            assert resident_mb(rig.process.pid) - before < 50
            for _, writer in clients:
                writer.transport.abort()

    run_on_loop(scenario)


@pytest.mark.parametrize("how", ["length", "chunked"])
def test_a_streamed_answer_that_breaks_off_is_visibly_truncated(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(framed(how, BIG)[:-100_000])
            await writer.drain()

        async with ScriptedServerRig(tmp_path, breaks) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            head = await reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ValueError)):
                await body_of(head, reader)
            assert rig.connections == 1  # an answer that has begun is not retried
            assert (await rig.metrics())['gateway_faulted_total{priority="read"}'] == 1

    run_on_loop(scenario)


def test_an_answer_of_unknown_length_is_soon_streamed(tmp_path: Path) -> None:
    async def scenario() -> None:
        end = asyncio.Event()

        async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 200 OK\r\n{CHUNKED}\r\n".encode() + in_chunks(b"first", last=b""))
            await end.wait()
            writer.write(in_chunks(b" last"))

        async with ScriptedServerRig(tmp_path, drips) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.readline() == b"5\r\n"
            assert await reader.readexactly(7) == b"first\r\n"
            end.set()
            assert await body_of(head, reader) == b" last"

    run_on_loop(scenario)


def test_a_long_error_answer_is_complete_with_its_head(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def fails(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 3000000\r\n\r\n")
            await reader.read()

        async with ScriptedServerRig(tmp_path, fails) as rig:
            assert await rig.status(message("pay", key=False)) == 503

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("answer", "status"), [(reply(b"", 503, b"X-Not-Run: 1\r\n"), 503), (b"", 503), (reply(b"", 500), 502)]
)
def test_a_body_that_was_partly_streamed_is_not_retried(tmp_path: Path, answer: bytes, status: int) -> None:
    """The server answers or closes during the body. The client gets one answer and may continue sending."""

    async def scenario() -> None:
        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100_000)
            writer.write(answer)

        async with ScriptedServerRig(tmp_path, early) as rig:
            reader, writer = await rig.connect()
            data = message("put", body=BIG)
            writer.write(data[:200_000])
            got = await read_message(reader, writer)
            assert int(got.line.split()[1]) == status and got.headers["connection"] == "close"
            writer.write(data[200_000:])
            await writer.drain()
            assert await reader.read() == b""
            assert rig.connections == 1

    run_on_loop(scenario)


def test_a_client_that_disconnects_during_its_upload_ends_the_attempt(tmp_path: Path) -> None:
    async def scenario() -> None:
        gone = asyncio.Event()

        async def waits(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while await reader.read(100_000):
                    pass
            gone.set()

        async with ScriptedServerRig(tmp_path, waits) as rig:
            _, writer = await rig.connect()
            writer.write(message("put", body=BIG)[:300_000])
            while not rig.connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await gone.wait()

    run_on_loop(scenario)


@pytest.mark.parametrize("size", [100, 3_000_000])
def test_expect_100_continue_is_answered_once(tmp_path: Path, size: int) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            reader, writer = await rig.connect()
            data = message("put", body=b"x" * size, more="Expect: 100-continue\r\n")
            writer.write(data[:-size])
            assert await reader.readline() == b"HTTP/1.1 100 Continue\r\n"
            await reader.readline()
            writer.write(data[-size:])
            answer = await read_message(reader, writer)
            assert answer.body.decode() == f"{size} {digest(b'x' * size)}"

    run_on_loop(scenario)


def test_a_refused_request_with_expect_gets_no_100_continue(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            size = 3_000_000
            head = message("put", plan="small", body=b"x" * size, more="Expect: 100-continue\r\n")[:-size]
            lines = []
            for _ in range(6):
                reader, writer = await rig.connect()
                writer.write(head)
                lines.append((await reader.readline()).split()[1])
                if lines[-1] == b"503":
                    rest = await reader.readuntil(b"\r\n\r\n")
                    assert b"Connection: close" in rest
                    writer.write_eof()
                    assert await reader.read() == b""  # nothing follows the answer
                writer.transport.abort()
            assert b"503" in lines

    run_on_loop(scenario)


def test_an_upgrade_header_is_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            reader, writer = await rig.connect()
            offer = "Connection: Upgrade\r\nUpgrade: h2c\r\n"
            for size in (0, 5, 200_000):
                data = message("put", body=b"y" * size, more=offer) + message()
                for half in (data[: len(data) // 2], data[len(data) // 2 :]):
                    writer.write(half)
                    await writer.drain()
                assert (await read_message(reader, writer)).body.decode() == f"{size} {digest(b'y' * size)}"
                assert (await read_message(reader, writer)).body.decode() == f"0 {digest(b'')}"

    run_on_loop(scenario)


def test_trailers_are_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            data = message("put", drop="Content-Length", more=CHUNKED)
            data += in_chunks(b"abc", last=b"0\r\nX-Class: pay\r\nX-Request-Id: other\r\n\r\n")
            assert await rig.status(data) == 200

    run_on_loop(scenario)


def test_a_body_below_the_minimum_rate_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ScriptedServerRig(tmp_path, echo_digest) as rig:
            data = message("put", body=b"z" * 300_000)
            slow_reader, slow = await rig.connect()
            slow.write(data[:100_000])  # the rest is never sent
            reader, writer = await rig.connect()
            for i in range(0, len(data), 20_000):
                writer.write(data[i : i + 20_000])
                await asyncio.sleep(0.25)
            assert int((await read_message(reader, writer)).line.split()[1]) == 200
            assert (await slow_reader.readline()).split()[1] == b"408"

    run_on_loop(scenario)


def test_the_decision_module_does_not_retry_a_streamed_body() -> None:
    d = Driver(counter_enabled=False)
    out = d.give(api.Request("r", "read", "open", "c", 4000, 1, 3, 0, False, False))
    (send,) = actions_of(out, api.Send)
    assert not actions_of(d.give(api.Outcome("r", 0, send.server, api.CONNECT_FAILED, 5, False)), api.Send)
    assert any(isinstance(a, api.Refuse) and a.request == "r" for _, a in d.log)


@pytest.mark.parametrize("result", [api.CONNECT_FAILED, api.START_EXPIRED])
def test_the_decision_module_retries_a_streamed_body_of_which_nothing_was_sent(result: str) -> None:
    d = Driver()
    d.give(api.Request("u", "pay", "open", "c", 4000, 1, 3, 0, False, False))
    first = actions_of([act for _, act in d.log], api.Send)[0]
    (second,) = actions_of(
        d.give(api.Outcome("u", 0, first.server, result, 1, False, nothing_sent=True)), api.Send
    )
    assert second.server != first.server and d.gateway.open_requests["u"].is_uploading
    (refused,) = actions_of(
        d.give(api.Outcome("u", 1, second.server, api.CONNECT_FAILED, 1, False)), api.Refuse
    )
    assert (
        refused.request == "u"
        and not d.gateway.open_requests
        and d.gateway.customer_quotas["c"].uploading == 0
    )


def test_a_streamed_body_whose_dial_failed_reaches_a_second_server_complete(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, lambda seen: reply(b"ok"), lambda seen: reply(b"ok")) as rig:
            stopped, running = rig.hosts
            stopped.stop()  # it is still in the list
            body = bytes(range(256)) * 1000
            for n in range(8):
                rid = b"body-%d" % n
                assert await rig.status(message("put", body=body, rid=rid)) == 200
            assert [seen.body for seen in running.seen] == [body] * 8 and not stopped.seen
            assert (await rig.metrics())['gateway_dials_total{result="failed"}'] >= 1

    run_on_loop(scenario)


def test_uploads_in_progress_do_not_refill_the_ceiling_bucket() -> None:
    """The ceiling bucket must not refill for uploads that it has not been charged for yet."""
    d = Driver(counter_enabled=False)
    d.sweep(100)  # 10 s, after which the bucket is full with 20 units
    for i in range(10):
        upload = api.Request(f"u{i}", "read", "capped", "c", 60_000, 1, 1, 0, False, False)
        assert actions_of(d.give(upload), api.Send)
    d.gateway.customer_quotas["c"].remaining = 1e6  # so that the quota does not limit
    d.sweep(100)
    assert d.gateway.customer_quotas["c"].uploading == 10
    d.gateway._ceiling_allows(d.gateway.customer_quotas["c"], 0)
    # With the 10 uploads in progress this makes 20, the size of the bucket.
    assert d.gateway.customer_quotas["c"].ceiling_tokens == 10
    d.give(api.Uploaded("u0"))
    assert d.gateway.customer_quotas["c"].uploading == 9


def test_a_streamed_answer_is_no_load_on_its_server() -> None:
    d = Driver(servers=1)
    rid, _ = d.ask()
    server = d.gateway.servers["h0"]
    assert server.in_flight == 1
    d.give(api.StreamStarted(rid, 0))
    assert server.in_flight == 0
    assert not actions_of(d.end(rid, api.RESET), api.Send)  # and it is not retried
    assert server.in_flight == 0 and not d.gateway.open_requests


def test_an_upload_in_progress_is_no_load_on_its_server() -> None:
    d = Driver(servers=1)
    d.give(api.Request("u", "read", "open", "c", 4000, 1, 3, 0, False, False))
    server = d.gateway.servers["h0"]
    assert server.in_flight == 0
    d.give(api.Uploaded("u"), 3000)
    assert server.in_flight == 1 and d.gateway.open_requests["u"].attempts[0].sent_at == d.now
    d.give(api.Outcome("u", 0, "h0", api.OK, 20, True))
    assert server.in_flight == 0


def test_the_latency_of_a_streamed_answer_is_recorded_when_it_begins() -> None:
    d = Driver(servers=1)
    rid, _ = d.ask()
    d.give(api.StreamStarted(rid, 0, 40), 40)
    assert (d.gateway.completions, d.gateway.occupancy_samples) == (1, 1)
    d.give(api.Outcome(rid, 0, "h0", api.OK, 40, True), 9000)
    assert (d.gateway.completions, d.gateway.occupancy_samples) == (1, 1)  # counted once
    assert not d.gateway.open_requests


def test_the_latency_of_a_server_ends_with_the_head_of_its_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
            while attempt.head_received_at is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            writer.write(b"b")

        server = await asyncio.start_server(drips, LOOP, 0)
        owner = EndRecorder()
        runner = AttemptRunner(asyncio.get_running_loop(), 8, 250, 15000, owner)
        runner.pool.update_servers({"s": server.sockets[0].getsockname()}, set())
        attempt = Attempt("r", 0, "s", b"GET / HTTP/1.1\r\n\r\n", time.monotonic())
        runner.send(attempt, 60)
        await owner.ended.wait()
        assert attempt.took_s - (attempt.head_received_at - attempt.sent_at) > 0.2
        runner.pool.stop()
        server.close()

    run_on_loop(scenario)


class EndRecorder:
    """Owner of an attempt that records its end."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    def is_client_connected(self, attempt: Attempt) -> bool:
        return True

    def client_waits_until(self, attempt: Attempt) -> float:
        return math.inf

    def on_sent(self, attempt: Attempt) -> None:
        pass

    def on_ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        self.ended.set()
