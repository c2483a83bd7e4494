"""The gateway process over loopback sockets, with failures of clients, servers, discovery and counter."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import (
    LOOP,
    RID,
    ROOT,
    FakeDiscovery,
    FakeHttpServer,
    GatewayRig,
    SeenMessage,
    counter_reply,
    instance,
    message,
    read_message,
    reply,
    run_on_loop,
    serve,
    silent,
)


def reset(seen: SeenMessage) -> bytes:
    return b""


def test_requests_and_answers_are_passed_on_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, lambda seen: reply(b"\0body", headers=b"Billed-Units: 5\r\n")) as rig:
            answer = await rig.ask(message("put", body=b"x" * 3000, target="/api/v2/00000000b4d65521?a=1"))
            assert (answer.line.split()[1], answer.body) == ("200", b"\0body")
            (seen,) = rig.hosts[0].seen
            assert seen.line == "POST /api/v2/00000000b4d65521?a=1 HTTP/1.1"
            assert seen.body == b"x" * 3000
            assert seen.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a"
            assert 0 < int(seen.headers["x-deadline"].removesuffix("m")) <= 6000
            # The counter receives the estimated units, then those that the answer billed beyond them.
            await rig.counter.wait_until(lambda fake: sum(rig.totals.values()) >= 2)

    run_on_loop(scenario)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, lambda seen: reply(seen.headers["x-request-id"].encode())) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(message(rid=b"id-%d" % i) for i in range(5)))
            bodies = [(await read_message(reader, writer)).body for _ in range(5)]
            assert bodies == [b"id-%d" % i for i in range(5)]
            assert len(rig.hosts[0].seen) == 5

    run_on_loop(scenario)


def test_white_space_around_a_header_value_is_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            data = message("put", body=b"abc")
            for line in (b"X-Request-Id", b"X-Class", b"Plan", b"X-Deadline", b"Idempotency-Key"):
                before, _, after = data.partition(line + b": ")
                value, _, rest = after.partition(b"\r\n")
                data = b"%b%b:\t%b \t\r\n%b" % (before, line, value, rest)
            assert await rig.status(data) == 200
            assert rig.hosts[0].seen[0].headers["x-request-id"] == "9b1f03aa5c7e2d41"

    run_on_loop(scenario)


def test_a_request_target_may_be_in_absolute_form(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            assert await rig.status(message(target="HTTP://origin.svc:80/api/00000000b4d65521?a=/b")) == 200
            assert rig.hosts[0].seen[0].line == "GET /api/00000000b4d65521?a=/b HTTP/1.1"

    run_on_loop(scenario)


def test_a_refusal_is_immediate_and_carries_retry_after(tmp_path: Path) -> None:
    """A request refused by the policy is answered at once, not near its deadline."""

    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            answers = [await rig.ask(message(plan="small", rid=b"id-%d" % i)) for i in range(6)]
            refused = [a for a in answers if a.line.split()[1] == "503"]
            assert refused and len(rig.hosts[0].seen) == len(answers) - len(refused)
            assert all(0 < float(a.headers["retry-after"]) <= 1 for a in refused)

    run_on_loop(scenario, 5)  # requests held until near their deadlines of 6 s would take longer


INVALID_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/9.9\r\n\r\n", 400),
    (message(target="/other"), 404),
    (message(target="/api/xyz"), 400),
    (message(customer="0000000200000000"), 400),
    (message(customer="00000001fffffff"), 400),
    (message("nope"), 400),
    (message(plan="nope"), 400),
    (message(deadline="soon"), 400),
    (message(deadline="-5m"), 400),
    (message(deadline="1e3m"), 400),
    (message(method="POST"), 400),
    (message("put", method="GET"), 400),
    (message("put", key=False), 400),
    (message(rid=b"two words"), 400),
    (message(more="X-Class: read\r\n"), 400),
    (message(drop="Quota-Info", more="Quota-Info: units=0,spread=1,first=0\r\n"), 400),
    (message(drop="Quota-Info", more="Quota-Info: units=nan,spread=1,first=0\r\n"), 400),
    (message(more="Filler: " + "x" * 40000 + "\r\n"), 400),
    (message("put", drop="Content-Length", more="Content-Length: 40000000\r\n"), 413),
    (message(more="Content-Length: 3\r\n") + b"abc", 400),
    (message(more="Transfer-Encoding: chunked\r\n") + b"1\r\na\r\n0\r\n\r\n", 400),
    *((message(drop=name), 400) for name in ("X-Request-Id", "X-Class", "Plan", "X-Deadline", "Quota-Info")),
]


def test_invalid_requests_reach_no_server(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            for data, status in INVALID_REQUESTS:
                assert await rig.status(data) == status, data[:200]
            assert not rig.hosts[0].seen
            assert await rig.status(message("put", body=b"x" * 64 * 1024)) == 200  # the largest allowed
            assert rig.process.returncode is None

    run_on_loop(scenario)


@pytest.mark.parametrize("start", [b"", b"\r\n", message()[:40], message("put", body=b"12")[:-1]])
def test_a_connection_without_a_complete_request_times_out(tmp_path: Path, start: bytes) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(start)
            got = await reader.read()  # an error answer or nothing, then the end
            assert not got or got.startswith(b"HTTP/1.1 408 ")
            assert not rig.hosts[0].seen

    run_on_loop(scenario, 8)  # the limit is about 3 s; the rest is for a slow machine


def test_a_connection_that_only_sends_blank_lines_times_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            ended = asyncio.create_task(reader.read())
            while not ended.done():
                writer.write(b"\r\n")
                await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionError):
                assert await ended == b""

    run_on_loop(scenario, 8)


@pytest.mark.parametrize(
    ("data", "status"),
    [(message(target="/other"), "404"), (message("nope"), "400"), (b"GET /ready HTTP/1.1\r\n\r\n", "200")],
)
def test_a_connection_is_closed_after_an_invalid_request_or_a_readiness_check(
    tmp_path: Path, data: bytes, status: str
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(data)
            assert (await read_message(reader, writer)).line.split()[1] == status
            assert await reader.read() == b""

    run_on_loop(scenario, 8)


def test_invalid_input_behind_an_open_request_is_answered_after_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            reader, writer = await rig.connect()
            writer.write(message() + b"nonsense\r\n\r\n")
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            rig.hosts[0].seen[0].writer.write(reply(b"first"))
            assert (await read_message(reader, writer)).body == b"first"
            assert (await read_message(reader, writer)).line.split()[1] == "400"
            assert await reader.read() == b""

    run_on_loop(scenario)


@pytest.mark.parametrize(("cls", "status", "attempts"), [("read", 200, 2), ("put", 200, 2), ("pay", 502, 1)])
def test_a_reset_after_the_last_byte_is_retried_only_where_a_repeat_is_safe(
    tmp_path: Path, cls: str, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((b"", reply(b"served")))
        async with GatewayRig(tmp_path, lambda _: next(answers), lambda _: next(answers)) as rig:
            assert await rig.status(message(cls)) == status
            assert sum(len(host.seen) for host in rig.hosts) == attempts

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("answer", "status", "attempts"),
    [
        (reply(b"", 503, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 504, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 503), 502, 1),
        (reply(b"", 500), 502, 1),
        (reply(b"", 500, b"X-Not-Run: 1\r\n"), 502, 1),
        (reply(b"", 204), 502, 1),
        (b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", 502, 1),
        (b"HTTP/1.1 nonsense\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, 1),
    ],
)
def test_an_unsafe_request_is_retried_only_after_x_not_run(
    tmp_path: Path, answer: bytes, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((answer, reply(b"served")))

        def handler(seen: SeenMessage) -> bytes:
            data = next(answers)
            if data.endswith(b"half"):
                seen.writer.write(data)
                seen.writer.close()  # closes within its answer
                return None
            return data

        async with GatewayRig(tmp_path, handler) as rig:
            assert await rig.status(message("pay")) == status
            assert len(rig.hosts[0].seen) == attempts

    run_on_loop(scenario)


def test_an_unsafe_request_is_retried_after_a_refused_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, serve) as rig:
            rig.hosts[0].stop()  # its port refuses connections from now on
            for i in range(8):
                assert await rig.status(message("pay", rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[1].seen) == 8

    run_on_loop(scenario)


def test_a_silent_server_times_out_and_its_connection_is_not_reused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(
            tmp_path, lambda seen: None if seen.headers["x-request-id"] == "quiet" else serve(seen)
        ) as rig:
            assert await rig.status(message("pay", rid=b"quiet", deadline="400m")) in (502, 504)
            await rig.hosts[0].wait_until(lambda fake: fake.closed == 1)  # the close tells the server
            assert await rig.status(message(rid=b"next")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[0].seen] == ["quiet", "next"]

    run_on_loop(scenario)


def test_a_request_is_cancelled_when_its_client_closes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            _, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            writer.close()
            await rig.hosts[0].wait_until(lambda fake: fake.closed == 1)
            assert len(rig.hosts[0].seen) == 1
            assert "client left" in await rig.wait_for_log(RID.decode())

    run_on_loop(scenario, 4)  # before the attempt's own time-out would close it


@pytest.mark.parametrize("size", [0, 50_000])
def test_pipelined_requests_are_dropped_when_their_client_closes(tmp_path: Path, size: int) -> None:
    """This also holds where the client's FIN is unread behind all that it sent."""

    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            _, writer = await rig.connect()
            for i in range(4):
                writer.write(message("put", rid=b"id-%d" % i, body=b"x" * size))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            writer.close()
            await writer.wait_closed()  # the FIN is sent before the server answers
            if size:  # reading is paused: the disconnect is found before the next request
                rig.hosts[0].seen[0].writer.write(reply(b"served"))
            await rig.wait_for_log("id-1" if size else "id-0")
            assert await rig.status(message(rid=b"last", deadline="200m")) in (502, 504)
            assert [s.headers["x-request-id"] for s in rig.hosts[0].seen] == ["id-0", "last"]

    run_on_loop(scenario, 5)  # before the attempt's own time-out would end it


@pytest.mark.parametrize("behind", [reply(b"nobody's"), reply(b"nobody's")[:20], b"nonsense"])
def test_bytes_behind_an_answer_are_not_taken_for_the_next_answer(tmp_path: Path, behind: bytes) -> None:
    async def scenario() -> None:
        def handler(seen: SeenMessage) -> bytes:
            first = seen.headers["x-request-id"] == "first"
            return reply(b"first") + behind if first else reply(b"second")

        async with GatewayRig(tmp_path, handler) as rig:
            reader, writer = await rig.connect()
            writer.write(message("pay", rid=b"first") + message("pay", rid=b"second"))
            for body in (b"first", b"second"):
                assert (await read_message(reader, writer)).body == body

    run_on_loop(scenario)


def test_server_connections_are_reused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            for i in range(5):
                writer.write(message(rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"served"
            assert len({id(s.writer) for s in rig.hosts[0].seen}) == 1

    run_on_loop(scenario)


def test_an_answer_that_arrived_during_a_stall_is_not_timed_out(tmp_path: Path) -> None:
    """After a stall of the gateway, unread answers must be read before time-outs are handled."""

    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            status = asyncio.create_task(rig.status(message("pay")))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGSTOP)
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            await rig.hosts[0].seen[0].writer.drain()
            await asyncio.sleep(3.3)  # past the attempt's time-out of 3 s, not past the client's 6 s
            rig.process.send_signal(signal.SIGCONT)
            assert await status == 200

    run_on_loop(scenario)


def test_sigterm_accepts_for_a_grace_period_completes_requests_and_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            first = asyncio.create_task(rig.ask(message(rid=b"first")))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            idle_reader, _ = await rig.connect()
            rig.process.send_signal(signal.SIGTERM)
            await rig.wait_for_log("draining")
            late = asyncio.create_task(rig.ask(message(rid=b"late")))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 2)
            assert await idle_reader.read() == b""  # closed while the others are still served
            assert rig.process.returncode is None
            for seen in rig.hosts[0].seen:
                seen.writer.write(reply(b"served"))
            for answer in (await first, await late):
                assert answer.body == b"served"
                assert answer.headers["connection"] == "close"
            assert await rig.process.wait() == 0

    run_on_loop(scenario)


def test_sigterm_answers_requests_that_cannot_complete_and_exits_before_sigkill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, silent) as rig:
            status = asyncio.create_task(rig.status(message("put", deadline="60000m")))
            await rig.hosts[0].wait_until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGTERM)
            assert await status == 504  # an answer, not a reset by the exit
            async with asyncio.timeout(3.7):
                assert await rig.process.wait() == 0

    run_on_loop(scenario)


def test_sighup_applies_new_addresses_of_discovery_and_counter(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, serve) as rig:
            assert await rig.status(message(rid=b"before")) == 200
            directory = FakeDiscovery([instance("s-1", rig.hosts[1].port)])
            await directory.fake.start()
            totals: dict[str, float] = {}
            counter = await FakeHttpServer(lambda seen: counter_reply(seen, totals)).start()
            moved = {"discovery": f"{LOOP}:{directory.fake.port}", "counter": f"{LOOP}:{counter.port}"}
            rig.path.write_text(json.dumps({**rig.config, **moved}))
            rig.process.send_signal(signal.SIGHUP)
            await directory.fake.wait_until(
                lambda fake: bool(directory.waiting)
            )  # it has received the new list
            await rig.directory.fake.wait_until(lambda fake: fake.closed == 1)
            await rig.counter.wait_until(lambda fake: fake.closed == 4)
            sent_count = len(rig.hosts[0].seen)
            for i in range(6):
                data = message(rid=b"after-%d" % i, customer=f"{i:016x}")
                assert await rig.status(data) == 200
            assert len(rig.hosts[0].seen) == sent_count
            await counter.wait_until(lambda fake: sum(totals.values()) >= 6)
            directory.fake.stop()
            counter.stop()

    run_on_loop(scenario)


def test_sighup_with_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            rig.path.write_text("{")
            rig.process.send_signal(signal.SIGHUP)
            await rig.wait_for_log("configuration not taken: ROUTER_CONFIG")
            assert await rig.status(message()) == 200

    run_on_loop(scenario)


def test_sigkill_and_restart_on_the_same_port(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            assert await rig.status(message()) == 200
            reader, _ = await rig.connect()
            rig.process.kill()
            await rig.process.wait()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
            await rig.launch()
            assert await rig.status(message(rid=b"after")) == 200

    run_on_loop(scenario)


def test_clients_above_the_connection_limit_wait_and_accepting_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, sockets=128) as rig:
            clients = [await rig.connect() for _ in range(150)]
            for i, (reader, writer) in enumerate(clients[:64]):  # those within the limit are served
                writer.write(message(rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).line.split()[1] == "200"
            for _, writer in clients:
                writer.close()
            assert await rig.status(message(rid=b"after")) == 200
            assert rig.process.returncode is None

    run_on_loop(scenario)


def test_a_draining_server_gets_no_new_request_and_a_whole_list_replaces_the_old(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, serve) as rig:
            await rig.directory.tell([instance("s-0", rig.hosts[0].port, "draining")])
            for i in range(6):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[0].seen) == 0
            await rig.directory.tell([instance("s-0", rig.hosts[0].port)], whole=True)  # s-1 is not in it
            await rig.hosts[1].wait_until(lambda fake: fake.closed > 0)  # its idle connection is closed
            for i in range(6):
                assert await rig.status(message(rid=b"more-%d" % i)) == 200
            assert (len(rig.hosts[0].seen), len(rig.hosts[1].seen)) == (6, 6)

    run_on_loop(scenario, 10)  # before the idle time-out of the connection


def test_a_server_may_move_to_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, serve) as rig:
            await rig.directory.tell([instance("s-1", rig.hosts[1].port, "gone")])
            assert await rig.status(message(rid=b"before")) == 200
            await rig.directory.tell([instance("s-0", rig.hosts[1].port)])
            assert await rig.status(message(rid=b"moved")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[1].seen] == ["moved"]

    run_on_loop(scenario)


@pytest.mark.parametrize(
    "invalid_answer",
    [
        reply(b"{"),
        reply(b'{"generation":9,"reset":true,"instances":[{}]}'),
        reply(b"", 500),
        b"nonsense\r\n\r\n",
    ],
)
def test_an_invalid_answer_of_discovery_keeps_the_list(tmp_path: Path, invalid_answer: bytes) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            # Returns once the gateway has asked again.
            await rig.directory.answer_watch(lambda: invalid_answer)
            assert await rig.status(message()) == 200

    run_on_loop(scenario, 12)  # before the time-out of the watch


def test_requests_are_served_while_the_counter_fails(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            for i, handler in enumerate((silent, reset, lambda _: reply(b"", 503), lambda _: reply(b"x"))):
                rig.counter.behave = handler
                for j in range(3):  # a new customer causes a call to the counter
                    data = message(rid=b"%d-%d" % (i, j), customer=f"{1 + 3 * i + j:016x}")
                    assert await rig.status(data) == 200
            rig.counter.stop()
            assert await rig.status(message(rid=b"last", customer="0000000000000099")) == 200

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        ("{", "ROUTER_CONFIG"),
        ('{"settings": []}', "settings"),
        ('{"settings": {"grades": []}, "listen": "x"}', "settings: grades: "),
        (
            '{"settings": {"grades": [{"name": "a", "objective_ms": "soon"}]}}',
            "grades[0].objective_ms: 'soon'",
        ),
        (
            '{"settings": {"grades": [{"name": "a", "objective_ms": 1, "deadline_ms": 2, "effect": "safe"}], '
            '"packages": [{"name": "p"}]}}',
            "listen",
        ),
        ('{"settings": {"bounds": {"conn_idle_ms": -1}}}', "bounds.conn_idle_ms"),
        ('{"settings": {"penalties": {"handshake": "dear"}}}', "penalties.handshake"),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_a_one_line_error(
    tmp_path: Path, raw: str, field: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    done = subprocess.run(
        [sys.executable, "-m", "yewstage"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert field in done.stderr


def test_a_failed_request_is_logged_in_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, reset) as rig:
            assert await rig.status(message("pay")) == 502
            line = await rig.wait_for_log("9b1f03aa5c7e2d41")
            assert "502 failed" in line and "s-0 reset in" in line and "(new connection: " in line

    run_on_loop(scenario)
