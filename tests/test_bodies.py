"""Long bodies both ways: passed on as they come, held back by the slow side, cut where they break."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import LOOP, Driver, Rig, instance, message, of, on_loop, read_message, reply

from yewstage import interface as api
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.http1 import Reply

BIG = bytes(range(256)) * 4096 * 3  # 3 MB, more than all buffers on the way hold
CHUNKED = "Transfer-Encoding: chunked\r\n"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def in_chunks(data: bytes, size: int = 50_000, last: bytes = b"0\r\n\r\n") -> bytes:
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;ext=1\r\n%b\r\n" % (len(p), p) for p in parts) + last


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """A body by its framing."""
    if b"transfer-encoding: chunked" not in head.lower():
        lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return await reader.readexactly(int(lengths[0].split(b":")[1])) if lengths else await reader.read()
    parts = []
    while size := int((await reader.readline()).partition(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


class Scripted(Rig):
    """A rig whose one host plays a script on each of its connections."""

    def __init__(self, folder: Path, script: Script) -> None:
        super().__init__(folder)
        self.script = script
        self.connections = 0

    async def __aenter__(self) -> Scripted:
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


async def told(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A host that answers each request with the digest of its body."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        body = await body_of(head, reader) if head.startswith(b"POST") else b""
        writer.write(reply(f"{len(body)} {digest(body)}".encode()))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("piece", [1 << 20, 9973])
def test_a_long_body_reaches_the_host_unchanged(tmp_path: Path, chunked: bool, piece: int) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
            reader, writer = await rig.connect()
            for _ in range(2):  # the connection is kept
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

    on_loop(scenario)


def test_a_long_body_waits_for_a_host_that_reads_slowly(tmp_path: Path) -> None:
    """What has not been read yet stays with the client: the gateway holds a few buffers of it."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            body = await body_of(head, reader)
            writer.write(reply(digest(body).encode()))

        async with Scripted(tmp_path, slow) as rig:
            reader, writer = await rig.connect()
            many = BIG * 8
            writer.write(message("put", body=many))
            left = 0
            while left != (left := writer.transport.get_write_buffer_size()) or left == 0:
                await asyncio.sleep(0.1)  # until nothing moves any more
            assert left > len(many) / 2
            go.set()
            assert (await read_message(reader, writer)).body.decode() == digest(many)

    on_loop(scenario)


def framed(how: str, body: bytes) -> bytes:
    if how == "length":
        return b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + reply(body)
    if how == "chunked":
        head = f"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: X-T\r\n{CHUNKED}\r\n"
        return head.encode() + in_chunks(body, last=b"0\r\nX-T: 1\r\n\r\n")
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


@pytest.mark.parametrize("how", ["length", "chunked", "close"])
def test_a_long_answer_reaches_the_client_unchanged(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(framed(how, BIG))
                await writer.drain()
                if how == "close":
                    return

        async with Scripted(tmp_path, answer) as rig:
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

    on_loop(scenario)


def test_a_long_answer_waits_for_a_client_that_reads_slowly(tmp_path: Path) -> None:
    async def scenario() -> None:
        writers = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
            writer.write(reply(BIG * 8))
            await writer.drain()

        async with Scripted(tmp_path, answer) as rig:
            reader, writer = await rig.connect()
            writer.transport.pause_reading()
            writer.write(message())
            left = 0
            while not writers or left != (left := writers[0].transport.get_write_buffer_size()) or left == 0:
                await asyncio.sleep(0.1)
            assert left > len(BIG) * 4
            writer.transport.resume_reading()
            assert await body_of(await reader.readuntil(b"\r\n\r\n"), reader) == BIG * 8

    on_loop(scenario)


def resident_mb(pid: int) -> float:
    line = next(s for s in Path(f"/proc/{pid}/status").read_text().splitlines() if s.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def test_many_long_bodies_at_once_take_a_few_buffers_each(tmp_path: Path) -> None:
    """25 answers and 25 requests of 6 MB each, none of them read further: 300 MB if they were kept."""

    async def scenario() -> None:
        begun: list[asyncio.StreamWriter] = []

        async def stuck(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            begun.append(writer)
            if head.startswith(b"GET"):
                writer.write(reply(many))
            await asyncio.Event().wait()

        many = BIG * 2
        upload = message("put", body=many)
        async with Scripted(tmp_path, stuck) as rig:
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
                await asyncio.sleep(0.1)  # until nothing moves any more
            assert left > 5 * len(many)  # it stays with those who send it, and in the system's buffers
            assert resident_mb(rig.process.pid) - before < 50
            for _, writer in clients:
                writer.transport.abort()

    on_loop(scenario)


@pytest.mark.parametrize("how", ["length", "chunked"])
def test_a_long_answer_that_breaks_shows_that_it_is_not_whole(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(framed(how, BIG)[:-100_000])
            await writer.drain()

        async with Scripted(tmp_path, breaks) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            head = await reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ValueError)):
                await body_of(head, reader)
            assert rig.connections == 1  # what has begun is not tried again
            assert (await rig.metrics())['gateway_faulted_total{priority="read"}'] == 1

    on_loop(scenario)


def test_an_unknown_length_is_not_held_back_for_long(tmp_path: Path) -> None:
    async def scenario() -> None:
        end = asyncio.Event()

        async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 200 OK\r\n{CHUNKED}\r\n".encode() + in_chunks(b"first", last=b""))
            await end.wait()
            writer.write(in_chunks(b" last"))

        async with Scripted(tmp_path, drips) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.readline() == b"5\r\n"
            assert await reader.readexactly(7) == b"first\r\n"
            end.set()
            assert await body_of(head, reader) == b" last"

    on_loop(scenario)


def test_a_long_error_is_known_by_its_head(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def fails(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 3000000\r\n\r\n")
            await reader.read()

        async with Scripted(tmp_path, fails) as rig:
            assert await rig.status(message("pay", key=False)) == 503

    on_loop(scenario)


@pytest.mark.parametrize(
    ("answer", "status"), [(reply(b"", 503, b"X-Not-Run: 1\r\n"), 503), (b"", 503), (reply(b"", 500), 502)]
)
def test_a_body_that_is_gone_is_not_sent_again(tmp_path: Path, answer: bytes, status: int) -> None:
    """The host answers, or breaks, in the middle of it; the client gets its answer, once, and may send on."""

    async def scenario() -> None:
        async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100_000)
            writer.write(answer)

        async with Scripted(tmp_path, early) as rig:
            reader, writer = await rig.connect()
            data = message("put", body=BIG)
            writer.write(data[:200_000])
            got = await read_message(reader, writer)
            assert int(got.line.split()[1]) == status and got.headers["connection"] == "close"
            writer.write(data[200_000:])
            await writer.drain()
            assert await reader.read() == b""
            assert rig.connections == 1

    on_loop(scenario)


def test_a_client_that_leaves_in_the_middle_ends_its_attempt(tmp_path: Path) -> None:
    async def scenario() -> None:
        gone = asyncio.Event()

        async def waits(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while await reader.read(100_000):
                    pass
            gone.set()

        async with Scripted(tmp_path, waits) as rig:
            _, writer = await rig.connect()
            writer.write(message("put", body=BIG)[:300_000])
            while not rig.connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await gone.wait()

    on_loop(scenario)


@pytest.mark.parametrize("size", [100, 3_000_000])
def test_a_body_that_waits_is_asked_for_once(tmp_path: Path, size: int) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
            reader, writer = await rig.connect()
            data = message("put", body=b"x" * size, more="Expect: 100-continue\r\n")
            writer.write(data[:-size])
            assert await reader.readline() == b"HTTP/1.1 100 Continue\r\n"
            await reader.readline()
            writer.write(data[-size:])
            answer = await read_message(reader, writer)
            assert answer.body.decode() == f"{size} {digest(b'x' * size)}"

    on_loop(scenario)


def test_a_refused_body_that_waits_is_not_asked_for(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
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
                    assert await reader.read() == b""  # and nothing behind the answer
                writer.transport.abort()
            assert b"503" in lines

    on_loop(scenario)


def test_an_offer_to_upgrade_is_passed_over(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
            reader, writer = await rig.connect()
            offer = "Connection: Upgrade\r\nUpgrade: h2c\r\n"
            for size in (0, 5, 200_000):
                data = message("put", body=b"y" * size, more=offer) + message()
                for half in (data[: len(data) // 2], data[len(data) // 2 :]):
                    writer.write(half)
                    await writer.drain()
                assert (await read_message(reader, writer)).body.decode() == f"{size} {digest(b'y' * size)}"
                assert (await read_message(reader, writer)).body.decode() == f"0 {digest(b'')}"

    on_loop(scenario)


def test_a_trailer_says_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
            data = message("put", drop="Content-Length", more=CHUNKED)
            data += in_chunks(b"abc", last=b"0\r\nX-Class: pay\r\nX-Request-Id: other\r\n\r\n")
            assert await rig.status(data) == 200

    on_loop(scenario)


def test_a_body_may_come_at_its_rate_and_not_below(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Scripted(tmp_path, told) as rig:
            data = message("put", body=b"z" * 300_000)
            slow_reader, slow = await rig.connect()
            slow.write(data[:100_000])  # and no more
            reader, writer = await rig.connect()
            for i in range(0, len(data), 20_000):
                writer.write(data[i : i + 20_000])
                await asyncio.sleep(0.25)
            assert int((await read_message(reader, writer)).line.split()[1]) == 200
            assert (await slow_reader.readline()).split()[1] == b"408"

    on_loop(scenario)


def test_the_module_sends_a_body_that_is_not_kept_once() -> None:
    d = Driver(counter_enabled=False)
    out = d.give(api.Request("r", "read", "open", "c", 4000, 1, 3, 0, False, False))
    (send,) = of(out, api.Send)
    assert not of(d.give(api.Outcome("r", 0, send.server, api.CONNECT_FAILED, 5, False)), api.Send)
    assert any(isinstance(a, api.Refuse) and a.request == "r" for _, a in d.log)


@pytest.mark.parametrize("result", [api.CONNECT_FAILED, api.START_EXPIRED])
def test_the_module_sends_a_long_body_elsewhere_while_none_of_it_has_left(result: str) -> None:
    d = Driver()
    d.give(api.Request("u", "pay", "open", "c", 4000, 1, 3, 0, False, False))
    first = of([act for _, act in d.log], api.Send)[0]
    (second,) = of(d.give(api.Outcome("u", 0, first.server, result, 1, False, nothing_sent=True)), api.Send)
    assert second.server != first.server and d.gateway.open_requests["u"].is_uploading
    (refused,) = of(d.give(api.Outcome("u", 1, second.server, api.CONNECT_FAILED, 1, False)), api.Refuse)
    assert (
        refused.request == "u"
        and not d.gateway.open_requests
        and d.gateway.customer_quotas["c"].uploading == 0
    )


def test_a_long_body_whose_dial_failed_reaches_a_second_server_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(b"ok"), lambda seen: reply(b"ok")) as rig:
            gone, here = rig.hosts
            gone.stop()  # the list has it still
            body = bytes(range(256)) * 1000
            for n in range(8):
                rid = b"body-%d" % n
                assert await rig.status(message("put", body=body, rid=rid)) == 200
            assert [seen.body for seen in here.seen] == [body] * 8 and not gone.seen
            assert (await rig.metrics())['gateway_dials_total{result="failed"}'] >= 1

    on_loop(scenario)


def test_what_is_on_its_way_stays_out_of_the_ceilings_store() -> None:
    """The store is asked for them once they are whole: until then our part must not fill up behind them."""
    d = Driver(counter_enabled=False)
    d.sweep(100)  # 10 s: full, 20 units
    for i in range(10):
        upload = api.Request(f"u{i}", "read", "capped", "c", 60_000, 1, 1, 0, False, False)
        assert of(d.give(upload), api.Send)
    d.gateway.customer_quotas["c"].remaining = 1e6  # the quota is not what is looked at
    d.sweep(100)
    assert d.gateway.customer_quotas["c"].uploading == 10
    d.gateway._ceiling_allows(d.gateway.customer_quotas["c"], 0)
    assert d.gateway.customer_quotas["c"].ceiling_tokens == 10  # with the 10 on their way, the store's 20
    d.give(api.Uploaded("u0"))
    assert d.gateway.customer_quotas["c"].uploading == 9


def test_a_started_answer_is_no_load_on_its_server() -> None:
    d = Driver(servers=1)
    rid, _ = d.ask()
    host = d.gateway.servers["h0"]
    assert host.in_flight == 1
    d.give(api.StreamStarted(rid, 0))
    assert host.in_flight == 0
    assert not of(d.end(rid, api.RESET), api.Send)  # nor is it tried again
    assert host.in_flight == 0 and not d.gateway.open_requests


def test_a_body_on_its_way_is_no_load_on_its_server() -> None:
    d = Driver(servers=1)
    d.give(api.Request("u", "read", "open", "c", 4000, 1, 3, 0, False, False))
    host = d.gateway.servers["h0"]
    assert host.in_flight == 0
    d.give(api.Uploaded("u"), 3000)
    assert host.in_flight == 1 and d.gateway.open_requests["u"].attempts[0].sent_at == d.now
    d.give(api.Outcome("u", 0, "h0", api.OK, 20, True))
    assert host.in_flight == 0


def test_what_a_server_needed_is_learnt_when_its_answer_begins() -> None:
    d = Driver(servers=1)
    rid, _ = d.ask()
    d.give(api.StreamStarted(rid, 0, 40), 40)
    assert (d.gateway.completions, d.gateway.occupancy_samples) == (1, 1)
    d.give(api.Outcome(rid, 0, "h0", api.OK, 40, True), 9000)
    assert (d.gateway.completions, d.gateway.occupancy_samples) == (1, 1)  # once
    assert not d.gateway.open_requests


def test_the_time_that_a_host_needed_ends_with_its_answers_head(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def drips(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
            while attempt.begun_at is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            writer.write(b"b")

        server = await asyncio.start_server(drips, LOOP, 0)
        owner = Owner()
        hosts = AttemptRunner(asyncio.get_running_loop(), 8, 250, 15000, owner)
        hosts.pool.update({"s": server.sockets[0].getsockname()}, set())
        attempt = Attempt("r", 0, "s", b"GET / HTTP/1.1\r\n\r\n", time.monotonic())
        hosts.send(attempt, 60)
        await owner.over.wait()
        assert attempt.took_s - (attempt.begun_at - attempt.sent_at) > 0.2
        hosts.pool.stop()
        server.close()

    on_loop(scenario)


class Owner:
    """Notes that an attempt is over."""

    def __init__(self) -> None:
        self.over = asyncio.Event()

    def wanted(self, attempt: Attempt) -> bool:
        return True

    def sent(self, attempt: Attempt) -> None:
        pass

    def ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        self.over.set()
