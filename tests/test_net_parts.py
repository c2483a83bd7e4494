"""Components of the gateway in the test process, for cases that are hard to provoke from outside."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import math
import os
import random
import socket
import time
from collections.abc import Callable

import pytest
from conftest import (
    GRADES,
    LOOP,
    PACKAGES,
    FakeDiscovery,
    FakeHttpServer,
    SeenMessage,
    instance,
    message,
    read_message,
    reply,
    run_on_loop,
)
from scripted_core import RecordingClient, a_request, core_with
from virtual import VirtualLoop, VirtualServer

from yewstage import interface as api
from yewstage.net import client_listener
from yewstage.net import clients as clients_module
from yewstage.net import counter as counter_module
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.config import parse
from yewstage.net.counter import Counter
from yewstage.net.discovery import ON_REQUEST_TIMEOUTS, PUSHED_TIMEOUTS, Discovery, Listing, WatchTimeouts
from yewstage.net.http1 import Reply, ReplyProtocol


def test_the_deadline_guard_answers_in_time_and_later_actions_have_no_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        client, started = RecordingClient(), time.monotonic()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]  # still in progress when the guard answers
        core.request(client, a_request(300))
        assert await client.statuses.get() == 504
        assert time.monotonic() - started < 0.3
        assert script.events[-1] == api.ClientLeft("r1")
        assert len(fake_server.seen) == 1
        script.plan[api.TimerDue] = [api.Send("r1", "s-0", 100), api.Refuse("r1"), api.Fail("r1")]
        core._post(api.TimerDue("late"))
        assert script.outcomes() == [api.START_EXPIRED]
        await asyncio.sleep(0.05)
        assert client.statuses.empty() and len(fake_server.seen) == 1
        fake_server.stop()

    run_on_loop(scenario)


def test_a_request_that_completes_after_the_last_answers_of_a_drain_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Between the last answers of a drain and SIGKILL there is no time left for a new request."""

    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        early, late = RecordingClient(), RecordingClient()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        core.request(early, a_request())
        await fake_server.wait_until(lambda fake: bool(fake.seen))
        core.fail_all()
        assert early.statuses.get_nowait() == 504
        count = len(script.events)
        # Its first bytes arrived while the drain still accepted requests.
        core.request(late, a_request())
        assert late.statuses.get_nowait() == 503 and len(script.events) == count and not core._claims
        assert core.stats.requests() == 2
        fake_server.stop()

    run_on_loop(scenario)


def test_an_attempt_is_not_sent_after_its_client_disconnected_even_without_cancelling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A link dialled for a client that disconnected is kept and used for the next request."""

    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, fake_server)
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        # The loop does not run before the client disconnects, so the dial is in progress.
        rid = core.request(RecordingClient(), a_request())
        core.client_disconnected(rid)
        assert script.outcomes() == [api.CANCELLED] and not core._requests
        assert [e.final for e in script.events if isinstance(e, api.Outcome)] == [True]
        client = RecordingClient()
        script.plan[api.Request] = [api.Send("r2", "s-0", 1000)]
        head = a_request().head.replace(b"Id: a", b"Id: b")
        core.request(client, dataclasses.replace(a_request(), head=head))
        assert await client.statuses.get() == 200
        assert [seen.headers["x-request-id"] for seen in fake_server.seen] == ["b"]
        fake_server.stop()

    run_on_loop(scenario)


def test_an_exception_of_the_decision_module_fails_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, fake_server)
        broken, served = RecordingClient(), RecordingClient()
        script.plan[api.Request] = RuntimeError("broken")
        core.request(broken, a_request())
        assert await broken.statuses.get() == 500
        script.plan[api.Request] = [api.Send("r2", "s-0", 1000)]
        core.request(served, a_request())
        assert await served.statuses.get() == 200
        fake_server.stop()

    run_on_loop(scenario)


def test_every_send_has_exactly_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        client = RecordingClient()
        script.plan[api.Request] = [
            api.Send("r1", "s-0", 1000),
            api.Send("r1", "nowhere", 1000),
            api.Send("r1", "s-0", 1000),
        ]  # the third exceeds try_limit
        core.request(client, a_request())
        assert script.outcomes() == [api.CONNECT_FAILED, api.START_EXPIRED]
        await fake_server.wait_until(lambda fake: bool(fake.seen))
        script.plan[api.TimerDue] = [api.Cancel("r1", 0), api.Cancel("r1", 0), api.Fail("r1")]
        core._post(api.TimerDue("cancel"))
        await fake_server.wait_until(lambda fake: fake.closed == 1)
        assert script.outcomes() == [api.CONNECT_FAILED, api.START_EXPIRED, api.CANCELLED]
        assert await client.statuses.get() == 502
        assert not core._requests
        fake_server.stop()

    run_on_loop(scenario)


def test_a_stall_of_the_loop_does_not_count_as_latency_of_the_server(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        await asyncio.sleep(0.1)
        script.plan[api.Request] = [api.Send("r1", "s-0", 3000)]
        client = RecordingClient()
        core.request(client, a_request())
        await fake_server.wait_until(lambda fake: any("/api/" in s.line for s in fake.seen))
        os.write(fake_server.seen[-1].writer.get_extra_info("socket").fileno(), reply(b"served"))
        time.sleep(0.6)  # a stall, during which the answer lies unread
        assert await client.statuses.get() == 200
        (outcome,) = [e for e in script.events if isinstance(e, api.Outcome)]
        assert outcome.took_ms < 400
        fake_server.stop()

    run_on_loop(scenario)


def test_an_idle_client_is_closed_in_favour_of_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        monkeypatch.setattr(clients_module, "SPARE_IDLE_TIMEOUT_S", 0.0)
        # Four descriptors leave room for two clients.
        listener = client_listener.ClientListener(core, asyncio.get_running_loop(), 4)
        address = listener.start((LOOP, 0))
        listener.accept()
        kept = []
        for i in range(6):
            reader, writer = await asyncio.open_connection(*address)
            script.plan[api.Request] = [api.Refuse(f"r{i + 1}")]
            writer.write(message())
            await read_message(reader, writer)
            kept.append(reader)
        assert await kept[0].read() == b""  # the one that was idle longest is closed
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


def test_answers_close_their_connection_only_when_close_to_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        # Twenty descriptors leave room for ten clients.
        listener = client_listener.ClientListener(core, asyncio.get_running_loop(), 20)
        address = listener.start((LOOP, 0))
        listener.accept()
        closes, kept = [], []
        for i in range(10):
            reader, writer = await asyncio.open_connection(*address)
            kept.append(writer)
            script.plan[api.Request] = [api.Refuse(f"r{i + 1}")]
            writer.write(message())
            closes.append((await read_message(reader, writer)).headers.get("connection"))
        assert closes == [None] * 7 + ["close"] * 3
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


def test_a_last_answer_arrives_complete_though_bytes_arrive_as_the_connection_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing a socket with unread bytes resets the connection, which loses the answer in its buffers."""

    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        listener = client_listener.ClientListener(core, asyncio.get_running_loop(), 200)
        address = listener.start((LOOP, 0))
        listener.accept()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # the answer does not fit in it
            client.setblocking(False)
            await asyncio.get_running_loop().sock_connect(client, address)
            await asyncio.get_running_loop().sock_sendall(client, message())
            while not any(c._open_request_id for c in listener.connections):
                await asyncio.sleep(0)
            core.is_draining = True
            client.send(b"GET /half a li")  # unread when the last answer is written
            (connection,) = listener.connections
            connection.answer(200, b"x" * 60_000)
            got = b""
            while piece := await asyncio.get_running_loop().sock_recv(client, 2**16):
                got += piece
        assert got.endswith(b"\r\n\r\n" + b"x" * 60_000) and b"Connection: close" in got
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


def test_silent_connections_are_closed_before_those_with_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: None)
        core, script = await core_with(monkeypatch, fake_server)
        # Ten descriptors leave room for five clients.
        listener = client_listener.ClientListener(core, asyncio.get_running_loop(), 10)
        address = listener.start((LOOP, 0))
        listener.accept()
        opened = [await asyncio.open_connection(*address) for _ in range(4)]
        for i in (0, 2):  # one has an open request, one has sent half of a request
            opened[i][1].write(message()[: None if i == 0 else 40])
        while {c.state() for c in listener.connections} != {"open", "reading", "silent"}:
            await asyncio.sleep(0.01)
        for connection in listener.connections:
            connection.received_at_s -= (
                10 * clients_module.SILENT_TIMEOUT_S * (connection.state() == "silent")
            )
        newer = [await asyncio.open_connection(*address) for _ in range(2)]
        for i in (1, 3):
            with contextlib.suppress(ConnectionResetError):
                assert await opened[i][0].read() == b""  # the silent ones are closed
        assert not opened[0][0].at_eof() and not opened[2][0].at_eof()
        for _, writer in opened + newer:
            writer.close()
        listener.stop_accepting()
        fake_server.stop()

    run_on_loop(scenario)


class ResultRecorder:
    """Owner of attempts that passes on how they end."""

    def __init__(self, note: Callable[[str], None]) -> None:
        self._note = note

    def is_client_connected(self, attempt: Attempt) -> bool:
        return True

    def client_waits_until(self, attempt: Attempt) -> float:
        return math.inf

    def on_sent(self, attempt: Attempt) -> None:
        pass

    def on_ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        self._note(result)


class BreakingLoop:
    """An event loop whose first connections are lost before the callback of their dial runs."""

    def __init__(self, times: int) -> None:
        self._loop, self._left = asyncio.get_running_loop(), times

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, ReplyProtocol]:
        transport, protocol = await self._loop.create_connection(*args)
        if self._left:
            self._left -= 1
            transport.abort()
            while not protocol.close_cause:
                await asyncio.sleep(0)
        return transport, protocol


def test_an_attempt_on_a_connection_lost_while_dialled_is_reported_as_not_sent() -> None:
    async def scenario() -> None:
        fake_server = await FakeHttpServer(lambda seen: reply(b"served")).start()
        ended: asyncio.Queue[str] = asyncio.Queue()
        runner = AttemptRunner(BreakingLoop(1), 8, 250, 15000, ResultRecorder(ended.put_nowait))
        runner.pool.update_servers({"s-0": (LOOP, fake_server.port)}, set())
        for result in (api.CONNECT_FAILED, api.OK):
            runner.send(Attempt("r1", 0, "s-0", a_request().head + b"\r\n", 0.0), 60)
            assert await ended.get() == result
        runner.pool.stop()
        fake_server.stop()

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("header", "report"),
    [
        (b"load_share=0.61,concurrent=7,depth=2", {"util": 0.61, "inflight": 7, "queue": 2}),
        (b"inflight=7, queue=2", {"inflight": 7, "queue": 2}),
        (b"util=full", {}),
        (b"util=nan", {}),
        (b"", {}),
        (b"util", {}),
        (b"util=\xff", {}),
    ],
)
def test_a_load_report_reaches_the_decision_module(
    monkeypatch: pytest.MonkeyPatch, header: bytes, report: dict[str, float]
) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: reply(b"served", headers=b"X-Load: %b\r\n" % header))
        core, script = await core_with(monkeypatch, fake_server)
        client = RecordingClient()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        core.request(client, a_request(5000))
        assert await client.statuses.get() == 200
        await asyncio.sleep(0)
        assert [e.load_report for e in script.events if isinstance(e, api.Outcome)] == [report]
        fake_server.stop()

    run_on_loop(scenario)


def test_a_lack_of_descriptors_is_no_failure_of_the_server() -> None:
    async def scenario() -> None:
        ended: asyncio.Queue[str] = asyncio.Queue()
        runner = AttemptRunner(asyncio.get_running_loop(), 0, 25, 15000, ResultRecorder(ended.put_nowait))
        runner.pool.update_servers({"s-0": (LOOP, 1)}, set())
        runner.send(Attempt("r1", 0, "s-0", b"", 0.0), 60)
        assert await ended.get() == api.START_EXPIRED  # after waiting for a free descriptor

    run_on_loop(scenario)


def test_a_reload_with_lower_limits_takes_effect_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake_server = FakeHttpServer(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, fake_server)
        client = RecordingClient()
        for n in range(30):
            script.plan[api.Request] = [api.Send(f"r{n + 1}", "s-0", 5000)]
            core.request(client, a_request())
        script.connection_limit = lambda name: 40
        for _ in range(30):
            await client.statuses.get()
        while core._pool.metrics()["links_dialling"]:
            await asyncio.sleep(0.001)
        open_before = core._pool.metrics()["links_idle"]
        config = dataclasses.replace(
            parse(
                {
                    "listen": f"{LOOP}:0",
                    "discovery": f"{LOOP}:{fake_server.port}",
                    "seed": "1",
                    "settings": {
                        "grades": GRADES,
                        "packages": PACKAGES,
                        "bounds": {"conn_idle_ms": 400, "dial_timeout_ms": 30},
                    },
                }
            ),
            sockets=10,
        )
        core.reconfigure(config)
        assert open_before == 8 and core._pool.metrics()["links_idle"] == 3
        assert core._pool.max_wait_s() == 0.03
        fake_server.stop()

    run_on_loop(scenario)


def test_the_watch_continues_after_a_connection_lost_while_dialled() -> None:
    async def scenario() -> None:
        agent = FakeDiscovery([instance("s-0", 1)])
        await agent.fake.start()
        listings: asyncio.Queue[Listing] = asyncio.Queue()
        discovery = Discovery(BreakingLoop(1), (LOOP, agent.fake.port), listings.put_nowait)
        discovery.start()
        assert (await listings.get()).addresses == {"s-0": (LOOP, 1)}
        discovery.stop()
        agent.fake.stop()

    run_on_loop(scenario)


def test_a_refused_watch_requests_only_the_delta_again() -> None:
    async def scenario() -> None:
        agent = FakeDiscovery([instance("s-0", 1)])
        await agent.fake.start()
        listings: asyncio.Queue[Listing] = asyncio.Queue()
        discovery = Discovery(
            asyncio.get_running_loop(), (LOOP, agent.fake.port), listings.put_nowait, known_generation=7
        )
        discovery.start()
        await agent.answer_watch(lambda: reply(status=503))
        await agent.answer_watch(lambda: reply(b'{"generation":9,"reset":false,"instances":[]}'))
        assert (await listings.get()).generation == 9
        await agent.fake.wait_until(lambda fake: len(fake.seen) == 3)
        assert [seen.line.split("?")[1].split("&")[0] for seen in agent.fake.seen] == [
            "after=7",
            "after=7",
            "after=9",
        ]
        discovery.stop()
        agent.fake.stop()

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("configured_ms", "objective_ms", "wait_ms"), [(50, 3000, 180), (50, 600, 50), (None, 100, 50)]
)
def test_the_counter_timeout_follows_from_the_shortest_objective(
    configured_ms: float | None, objective_ms: float, wait_ms: float
) -> None:
    raw = {
        "listen": f"{LOOP}:1",
        "discovery": f"{LOOP}:2",
        "seed": "1",
        "settings": {
            "grades": [{**GRADES[0], "objective_ms": objective_ms}, {**GRADES[1], "objective_ms": 5500.0}],
            "packages": PACKAGES,
            "family_info": {} if configured_ms is None else {"count_wait_ms": configured_ms},
        },
    }
    assert parse(raw).settings.count_wait_ms == pytest.approx(wait_ms)


@pytest.mark.parametrize("size", [3, 40, 200])
def test_the_retries_of_a_refused_fleet_are_spread_out_and_in_time(size: int) -> None:
    """A change must be known 6 s after discovery is reachable again, which limits the gap between dials."""
    loop, dials = VirtualLoop(), [[] for _ in range(size)]
    for n in range(size):
        Discovery(
            DialRecordingLoop(loop, dials[n]), (LOOP, 1), lambda listing: None, 1, size, random.Random(n)
        ).start()
    loop.run(30.0)
    gaps = [later - at for own in dials for at, later in itertools.pairwise([*own, 30.0])]
    # The longest time without a request: one that hangs as discovery returns, then the longest backoff.
    assert ON_REQUEST_TIMEOUTS.silent_s + max(gaps) < 5.1
    # Dials per second of the whole fleet, as the mean backoff is half of the longest.
    rate = size / (ON_REQUEST_TIMEOUTS.backoff_s / 2)
    late = sorted(at for own in dials for at in own if at >= 3)
    assert len(late) <= 27 * 1.1 * rate
    together = max(sum(at <= dial < at + 0.1 for dial in late) for at in late)
    # Allows for random variation over thousands of such spans.
    assert together <= max(0.1 * rate + 5 * (0.1 * rate) ** 0.5, 4)


@pytest.mark.parametrize(("timeouts", "within_s"), [(ON_REQUEST_TIMEOUTS, 2.0 + 1.0), (PUSHED_TIMEOUTS, 1.0)])
def test_a_silent_watch_is_opened_again_before_a_missed_change_must_be_known(
    timeouts: WatchTimeouts, within_s: float
) -> None:
    """A change must be known 2 s after the long poll ends. After that the settings leave a second or more
    for the last sends.
    """
    for n in range(40):
        loop = VirtualLoop()
        agent = VirtualServer(loop, 1, answer_s=None)  # accepts connections but never answers
        Discovery(loop, ("h", 1), lambda listing: None, 7, 200, random.Random(n), timeouts=timeouts).start()
        loop.run(30.0)
        first, second = loop.dials[:2]
        assert len(agent.requests) >= 2 and second - first - 0.05 <= within_s
        backoffs_s = [later - at - 0.05 - timeouts.silent_s for at, later in itertools.pairwise(loop.dials)]
        assert max(backoffs_s) <= timeouts.backoff_s + 0.1


class DialRecordingLoop:
    """A loop that records the times of its dials."""

    def __init__(self, loop: VirtualLoop, dials: list[float]) -> None:
        self._loop, self._dials = loop, dials

    def create_connection(self, *args: object) -> object:
        self._dials.append(self._loop.now)
        return self._loop.create_connection(*args)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


async def counter_with(
    monkeypatch: pytest.MonkeyPatch, fake: FakeHttpServer, wait_ms: float, loop: BreakingLoop | None = None
) -> tuple[Counter, asyncio.Queue[api.CountReply]]:
    monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
    await fake.start()
    replies: asyncio.Queue[api.CountReply] = asyncio.Queue()
    counter = Counter(loop or asyncio.get_running_loop(), (LOOP, fake.port), wait_ms, replies.put_nowait)
    return counter, replies


def test_a_late_answer_of_the_counter_is_not_taken_for_the_next_call(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeHttpServer(lambda seen: None)
        counter, replies = await counter_with(monkeypatch, fake, 400)
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).result == api.TIMED_OUT
        counter.call(api.Count("b", -2.5, 4000.4))
        await fake.wait_until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[1].line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        fake.seen[0].writer.write(reply(b"7") + reply(b"9"))
        answer = await replies.get()
        assert (answer.name, answer.result, answer.total) == ("b", api.OK, 9)
        assert replies.empty()
        counter.stop()
        fake.stop()

    run_on_loop(scenario)


@pytest.mark.parametrize(
    ("behave", "result"),
    [
        (lambda seen: b"", api.TIMED_OUT),  # lost after the call was written: it may have been counted
        (lambda seen: reply(b"", 503), api.FULL),
        (lambda seen: reply(b"many"), api.TIMED_OUT),
        (lambda seen: reply(b"nan"), api.TIMED_OUT),
    ],
)
def test_results_of_counter_calls(monkeypatch: pytest.MonkeyPatch, behave, result: str) -> None:
    async def scenario() -> None:
        fake = FakeHttpServer(behave)
        counter, replies = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).result == result
        assert replies.empty()
        counter.stop()
        fake.stop()

    run_on_loop(scenario)


def test_the_counter_is_dialled_again_after_a_connection_lost_while_dialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fake = FakeHttpServer(lambda seen: reply(b"1"))
        counter, replies = await counter_with(monkeypatch, fake, 5000, BreakingLoop(1))
        for result in (api.CONNECT_FAILED, api.OK):
            counter.call(api.Count("a", 1, 1000))
            assert (await replies.get()).result == result
        counter.stop()
        fake.stop()

    run_on_loop(scenario)


def test_a_counter_connection_with_an_invalid_answer_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeHttpServer(lambda seen: reply(b"many"))
        counter, replies = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).result == api.TIMED_OUT
        await fake.wait_until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"2")
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).total == 2
        counter.stop()
        fake.stop()

    run_on_loop(scenario)


def test_a_silent_counter_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection to an unreachable counter stays open, and calls must not be written to it forever."""

    async def scenario() -> None:
        fake = FakeHttpServer(lambda seen: None)
        counter, replies = await counter_with(monkeypatch, fake, 30)
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).result == api.TIMED_OUT
        await fake.wait_until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"1")
        counter.call(api.Count("a", 1, 1000))
        await fake.wait_until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[0].writer is not fake.seen[1].writer
        counter.stop()
        fake.stop()

    run_on_loop(scenario, 10)


def test_a_call_to_a_refusing_counter_fails_and_later_calls_succeed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def behave(seen: SeenMessage) -> bytes:
            return reply(b"1")

        fake = FakeHttpServer(behave)
        counter, replies = await counter_with(monkeypatch, fake, 5000)
        fake.stop()
        await fake.server.wait_closed()
        counter.call(api.Count("a", 1, 1000))
        assert (await replies.get()).result == api.CONNECT_FAILED
        fake.server = await asyncio.start_server(fake._serve, LOOP, fake.port)
        while True:  # calls during the backoff fail at once; then it is dialled again
            counter.call(api.Count("a", 1, 1000))
            if (await replies.get()).result == api.OK:
                break
            await asyncio.sleep(0.01)
        counter.stop()
        fake.stop()

    run_on_loop(scenario)
