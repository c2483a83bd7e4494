"""Parts of the gateway in this process: what cannot be brought about from outside for certain."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
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
    Directory,
    Fake,
    Seen,
    instance,
    message,
    on_loop,
    read_message,
    reply,
)
from virtual import VirtualLoop, VirtualServer

from yewstage import interface as api
from yewstage.net import clients as clients_module
from yewstage.net import core as core_module
from yewstage.net import counter as counter_module
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.config import parse
from yewstage.net.core import ClientRequest, Core
from yewstage.net.counter import Counter
from yewstage.net.discovery import ON_REQUEST_TIMEOUTS, PUSHED_TIMEOUTS, Discovery, Listing, WatchTimeouts
from yewstage.net.http1 import Reply, ReplyProtocol


class Script:
    """Stands in for the module: records events and plays actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.events: list[api.Event] = []
        self.plan: dict[type, list[api.Action] | Exception] = {}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        actions = self.plan.pop(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def links(self, name: str) -> int:
        return 8

    def may_repeat(self, request: str) -> bool:
        return False

    def outcomes(self) -> list[str]:
        return [e.result for e in self.events if isinstance(e, api.Outcome)]


class Answers:
    """A client that notes what it is answered."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[int] = asyncio.Queue()

    def has_disconnected(self) -> bool:
        return False

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        self.got.put_nowait(status)


def an_order(deadline_ms: float = 5000) -> ClientRequest:
    pay = api.RequestClass("pay", 3000, 6000, effect="unsafe")
    return ClientRequest(
        "a",
        pay,
        "team",
        "0" * 16,
        deadline_ms,
        1,
        1,
        0,
        False,
        b"POST /api/0 HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n",
        b"",
    )


async def core_with(monkeypatch: pytest.MonkeyPatch, host: Fake) -> tuple[Core, Script]:
    """A core whose module is a script and whose one host is `s-0`; discovery does not answer."""
    monkeypatch.setattr(core_module, "Gateway", Script)
    await host.start()
    config = parse(
        {
            "listen": f"{LOOP}:0",
            "discovery": f"{LOOP}:{host.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance("s-0", host.port)]},
            "settings": {"grades": GRADES, "packages": PACKAGES, "bounds": {"try_limit": 2}},
        }
    )
    core = Core(config, asyncio.get_running_loop())
    core._apply_list(config.fallback_listing, "kept")
    core._loop.call_soon(core._heartbeat)
    return core, core._gateway


def test_guard_answers_in_time_and_nothing_follows(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        client, started = Answers(), time.monotonic()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]  # still out when the guard answers
        core.request(client, an_order(300))
        assert await client.got.get() == 504
        assert time.monotonic() - started < 0.3
        assert script.events[-1] == api.ClientLeft("r1")
        assert len(host.seen) == 1
        script.plan[api.TimerDue] = [api.Send("r1", "s-0", 100), api.Refuse("r1"), api.Fail("r1")]
        core._post(api.TimerDue("late"))
        assert script.outcomes() == [api.START_EXPIRED]
        await asyncio.sleep(0.05)
        assert client.got.empty() and len(host.seen) == 1
        host.stop()

    on_loop(scenario)


def test_what_comes_whole_after_the_last_answers_of_a_drain_is_refused_and_not_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Between the answers that a drain ends with and SIGKILL nothing could be answered in time."""

    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        early, late = Answers(), Answers()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        core.request(early, an_order())
        await host.until(lambda fake: bool(fake.seen))
        core.fail_all()
        assert early.got.get_nowait() == 504
        count = len(script.events)
        core.request(late, an_order())  # its first bytes came while the drain still took some
        assert late.got.get_nowait() == 503 and len(script.events) == count and not core._claims
        assert core.stats.requests() == 2
        host.stop()

    on_loop(scenario)


def test_nothing_begins_once_the_client_has_left_though_the_settings_forbid_to_cancel(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A link that comes up for a client who left is kept for the next one, in either order of the two."""

    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        rid = core.request(Answers(), an_order())  # its dial is under way: the loop has not turned yet
        core.client_disconnected(rid)
        assert script.outcomes() == [api.CANCELLED] and not core._requests
        assert [e.final for e in script.events if isinstance(e, api.Outcome)] == [True]
        client = Answers()
        script.plan[api.Request] = [api.Send("r2", "s-0", 1000)]
        head = an_order().head.replace(b"Id: a", b"Id: b")
        core.request(client, dataclasses.replace(an_order(), head=head))
        assert await client.got.get() == 200
        assert [seen.headers["x-request-id"] for seen in host.seen] == ["b"]
        host.stop()

    on_loop(scenario)


def test_a_module_that_raises_loses_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        broken, served = Answers(), Answers()
        script.plan[api.Request] = RuntimeError("broken")
        core.request(broken, an_order())
        assert await broken.got.get() == 500
        script.plan[api.Request] = [api.Send("r2", "s-0", 1000)]
        core.request(served, an_order())
        assert await served.got.get() == 200
        host.stop()

    on_loop(scenario)


def test_every_send_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[api.Request] = [
            api.Send("r1", "s-0", 1000),
            api.Send("r1", "nowhere", 1000),
            api.Send("r1", "s-0", 1000),
        ]  # the third is beyond the limit of two
        core.request(client, an_order())
        assert script.outcomes() == [api.CONNECT_FAILED, api.START_EXPIRED]
        await host.until(lambda fake: bool(fake.seen))
        script.plan[api.TimerDue] = [api.Cancel("r1", 0), api.Cancel("r1", 0), api.Fail("r1")]
        core._post(api.TimerDue("cancel"))
        await host.until(lambda fake: fake.closed == 1)
        assert script.outcomes() == [api.CONNECT_FAILED, api.START_EXPIRED, api.CANCELLED]
        assert await client.got.get() == 502
        assert not core._requests
        host.stop()

    on_loop(scenario)


def test_a_stall_is_not_told_as_the_hosts_latency(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        await asyncio.sleep(0.1)
        script.plan[api.Request] = [api.Send("r1", "s-0", 3000)]
        client = Answers()
        core.request(client, an_order())
        await host.until(lambda fake: any("/api/" in s.line for s in fake.seen))
        os.write(host.seen[-1].writer.get_extra_info("socket").fileno(), reply(b"served"))
        time.sleep(0.6)  # the answer lies unread meanwhile
        assert await client.got.get() == 200
        (outcome,) = [e for e in script.events if isinstance(e, api.Outcome)]
        assert outcome.took_ms < 400
        host.stop()

    on_loop(scenario)


def test_an_idle_client_gives_its_place_to_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        monkeypatch.setattr(clients_module, "SPARE_S", 0.0)
        server = clients_module.ClientListener(core, asyncio.get_running_loop(), 4)  # room for two clients
        address = server.start((LOOP, 0))
        server.accept()
        kept = []
        for i in range(6):
            reader, writer = await asyncio.open_connection(*address)
            script.plan[api.Request] = [api.Refuse(f"r{i + 1}")]
            writer.write(message())
            await read_message(reader, writer)
            kept.append(reader)
        assert await kept[0].read() == b""  # the one that stood idle longest was closed
        server.stop_accepting()
        host.stop()

    on_loop(scenario)


def test_answers_end_their_connection_only_while_places_are_short(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        server = clients_module.ClientListener(core, asyncio.get_running_loop(), 20)  # room for ten clients
        address = server.start((LOOP, 0))
        server.accept()
        closes, kept = [], []
        for i in range(10):
            reader, writer = await asyncio.open_connection(*address)
            kept.append(writer)
            script.plan[api.Request] = [api.Refuse(f"r{i + 1}")]
            writer.write(message())
            closes.append((await read_message(reader, writer)).headers.get("connection"))
        assert closes == [None] * 7 + ["close"] * 3
        server.stop_accepting()
        host.stop()

    on_loop(scenario)


def test_a_last_answer_arrives_whole_though_bytes_come_in_the_instant_of_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A close over bytes that nobody read resets the connection, and with it what is on its way."""

    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        server = clients_module.ClientListener(core, asyncio.get_running_loop(), 200)
        address = server.start((LOOP, 0))
        server.accept()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # the answer does not fit in it
            client.setblocking(False)
            await asyncio.get_running_loop().sock_connect(client, address)
            await asyncio.get_running_loop().sock_sendall(client, message())
            while not any(c._open for c in server.connections):
                await asyncio.sleep(0)
            core.draining = True
            client.send(b"GET /half a li")  # it lies unread as the last answer is written and the end begins
            (connection,) = server.connections
            connection.answer(200, b"x" * 60_000)
            got = b""
            while piece := await asyncio.get_running_loop().sock_recv(client, 2**16):
                got += piece
        assert got.endswith(b"\r\n\r\n" + b"x" * 60_000) and b"Connection: close" in got
        server.stop_accepting()
        host.stop()

    on_loop(scenario)


def test_what_brings_no_request_gives_way_before_what_may(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        server = clients_module.ClientListener(core, asyncio.get_running_loop(), 10)  # room for five clients
        address = server.start((LOOP, 0))
        server.accept()
        opened = [await asyncio.open_connection(*address) for _ in range(4)]
        for i in (0, 2):  # one with a request that is open, one that has just brought the half of one
            opened[i][1].write(message()[: None if i == 0 else 40])
        while {c.state() for c in server.connections} != {"open", "reading", "silent"}:
            await asyncio.sleep(0.01)
        for connection in server.connections:
            connection.heard_at -= 10 * clients_module.STALE_S * (connection.state() == "silent")
        newer = [await asyncio.open_connection(*address) for _ in range(2)]
        for i in (1, 3):
            with contextlib.suppress(ConnectionResetError):
                assert await opened[i][0].read() == b""  # the silent ones went
        assert not opened[0][0].at_eof() and not opened[2][0].at_eof()
        for _, writer in opened + newer:
            writer.close()
        server.stop_accepting()
        host.stop()

    on_loop(scenario)


class Told:
    """Notes how attempts end."""

    def __init__(self, note: Callable[[str], None]) -> None:
        self._note = note

    def is_wanted(self, attempt: Attempt) -> bool:
        return True

    def on_sent(self, attempt: Attempt) -> None:
        pass

    def on_ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        self._note(result)


class BreakingLoop:
    """The loop, but its first connections are lost before their dial's callback runs."""

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


def test_a_connection_that_breaks_as_it_is_dialled_never_ran() -> None:
    async def scenario() -> None:
        host = await Fake(lambda seen: reply(b"served")).start()
        ended: asyncio.Queue[str] = asyncio.Queue()
        hosts = AttemptRunner(BreakingLoop(1), 8, 250, 15000, Told(ended.put_nowait))
        hosts.pool.update_servers({"s-0": (LOOP, host.port)}, set())
        for result in (api.CONNECT_FAILED, api.OK):
            hosts.send(Attempt("r1", 0, "s-0", an_order().head + b"\r\n", 0.0), 60)
            assert await ended.get() == result
        hosts.pool.stop()
        host.stop()

    on_loop(scenario)


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
def test_a_load_report_reaches_the_module(
    monkeypatch: pytest.MonkeyPatch, header: bytes, report: dict[str, float]
) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served", headers=b"X-Load: %b\r\n" % header))
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        core.request(client, an_order(5000))
        assert await client.got.get() == 200
        await asyncio.sleep(0)
        assert [e.load_report for e in script.events if isinstance(e, api.Outcome)] == [report]
        host.stop()

    on_loop(scenario)


def test_our_own_want_of_room_is_not_the_hosts_failure() -> None:
    async def scenario() -> None:
        ended: asyncio.Queue[str] = asyncio.Queue()
        hosts = AttemptRunner(asyncio.get_running_loop(), 0, 25, 15000, Told(ended.put_nowait))
        hosts.pool.update_servers({"s-0": (LOOP, 1)}, set())
        hosts.send(Attempt("r1", 0, "s-0", b"", 0.0), 60)
        assert await ended.get() == api.START_EXPIRED  # after a wait for room

    on_loop(scenario)


def test_a_reload_that_shrinks_the_limits_holds_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        for n in range(30):
            script.plan[api.Request] = [api.Send(f"r{n + 1}", "s-0", 5000)]
            core.request(client, an_order())
        script.links = lambda name: 40
        for _ in range(30):
            await client.got.get()
        while core._pool.metrics()["links_dialling"]:
            await asyncio.sleep(0.001)
        open_before = core._pool.metrics()["links_idle"]
        config = dataclasses.replace(
            parse(
                {
                    "listen": f"{LOOP}:0",
                    "discovery": f"{LOOP}:{host.port}",
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
        host.stop()

    on_loop(scenario)


def test_the_watch_goes_on_after_a_connection_that_breaks_as_it_is_dialled() -> None:
    async def scenario() -> None:
        agent = Directory([instance("s-0", 1)])
        await agent.fake.start()
        told: asyncio.Queue[Listing] = asyncio.Queue()
        discovery = Discovery(BreakingLoop(1), (LOOP, agent.fake.port), told.put_nowait)
        discovery.start()
        assert (await told.get()).addresses == {"s-0": (LOOP, 1)}
        discovery.stop()
        agent.fake.stop()

    on_loop(scenario)


def test_a_watch_that_was_turned_away_asks_again_for_what_is_new_only() -> None:
    async def scenario() -> None:
        agent = Directory([instance("s-0", 1)])
        await agent.fake.start()
        told: asyncio.Queue[Listing] = asyncio.Queue()
        discovery = Discovery(
            asyncio.get_running_loop(), (LOOP, agent.fake.port), told.put_nowait, known_generation=7
        )
        discovery.start()
        await agent.answer_watch(lambda: reply(status=503))
        await agent.answer_watch(lambda: reply(b'{"generation":9,"reset":false,"instances":[]}'))
        assert (await told.get()).generation == 9
        await agent.fake.until(lambda fake: len(fake.seen) == 3)
        assert [seen.line.split("?")[1].split("&")[0] for seen in agent.fake.seen] == [
            "after=7",
            "after=7",
            "after=9",
        ]
        discovery.stop()
        agent.fake.stop()

    on_loop(scenario)


@pytest.mark.parametrize(("told_ms", "aim_ms", "wait_ms"), [(50, 3000, 180), (50, 600, 50), (None, 100, 50)])
def test_a_call_to_the_counter_may_take_what_the_aims_can_spare(
    told_ms: float | None, aim_ms: float, wait_ms: float
) -> None:
    raw = {
        "listen": f"{LOOP}:1",
        "discovery": f"{LOOP}:2",
        "seed": "1",
        "settings": {
            "grades": [{**GRADES[0], "objective_ms": aim_ms}, {**GRADES[1], "objective_ms": 5500.0}],
            "packages": PACKAGES,
            "family_info": {} if told_ms is None else {"count_wait_ms": told_ms},
        },
    }
    assert parse(raw).settings.count_wait_ms == pytest.approx(wait_ms)


@pytest.mark.parametrize("size", [3, 40, 200])
def test_a_fleet_that_is_turned_away_comes_back_spread_out_and_in_time(size: int) -> None:
    """Told 6 s after discovery could be reached: nobody may be without a call for longer than that allows."""
    loop, dials = VirtualLoop(), [[] for _ in range(size)]
    for n in range(size):
        Discovery(Noting(loop, dials[n]), (LOOP, 1), lambda listing: None, 1, size, random.Random(n)).start()
    loop.run(30.0)
    gaps = [later - at for own in dials for at, later in itertools.pairwise([*own, 30.0])]
    assert (
        ON_REQUEST_TIMEOUTS.silent_s + max(gaps) < 5.1
    )  # a call that hangs as discovery returns, then the longest rest
    rate = size / (
        ON_REQUEST_TIMEOUTS.backoff_s / 2
    )  # of the whole fleet: each rests half of the longest, in the mean
    late = sorted(at for own in dials for at in own if at >= 3)
    assert len(late) <= 27 * 1.1 * rate
    together = max(sum(at <= dial < at + 0.1 for dial in late) for at in late)
    assert together <= max(0.1 * rate + 5 * (0.1 * rate) ** 0.5, 4)  # chance, in thousands of such spans


@pytest.mark.parametrize(("timeouts", "within_s"), [(ON_REQUEST_TIMEOUTS, 2.0 + 1.0), (PUSHED_TIMEOUTS, 1.0)])
def test_a_silent_watch_is_opened_anew_before_what_it_misses_has_to_be_known(
    timeouts: WatchTimeouts, within_s: float
) -> None:
    """Told 2 s after the wait is over; after that the settings leave a second and more for the last sends."""
    for n in range(40):
        loop = VirtualLoop()
        agent = VirtualServer(loop, 1, answer_s=None)  # takes calls and says nothing more
        Discovery(loop, ("h", 1), lambda listing: None, 7, 200, random.Random(n), timeouts=timeouts).start()
        loop.run(30.0)
        first, second = loop.dials[:2]
        assert len(agent.requests) >= 2 and second - first - 0.05 <= within_s
        rests = [later - at - 0.05 - timeouts.silent_s for at, later in itertools.pairwise(loop.dials)]
        assert max(rests) <= timeouts.backoff_s + 0.1


class Noting:
    """A loop that notes who dials."""

    def __init__(self, loop: VirtualLoop, dials: list[float]) -> None:
        self._loop, self._dials = loop, dials

    def create_connection(self, *how: object) -> object:
        self._dials.append(self._loop.now)
        return self._loop.create_connection(*how)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


async def counter_with(
    monkeypatch: pytest.MonkeyPatch, fake: Fake, wait_ms: float, loop: BreakingLoop | None = None
) -> tuple[Counter, asyncio.Queue[api.CountReply]]:
    monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
    await fake.start()
    got: asyncio.Queue[api.CountReply] = asyncio.Queue()
    counter = Counter(loop or asyncio.get_running_loop(), (LOOP, fake.port), wait_ms, got.put_nowait)
    return counter, got


def test_a_late_answer_is_not_taken_for_the_next_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = Fake(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 400)
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).result == api.TIMED_OUT
        counter.call(api.Count("b", -2.5, 4000.4))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[1].line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        fake.seen[0].writer.write(reply(b"7") + reply(b"9"))
        answer = await got.get()
        assert (answer.name, answer.result, answer.total) == ("b", api.OK, 9)
        assert got.empty()
        counter.stop()
        fake.stop()

    on_loop(scenario)


@pytest.mark.parametrize(
    ("behave", "result"),
    [
        (lambda seen: b"", api.TIMED_OUT),  # broken after the call was written: it may have been added
        (lambda seen: reply(b"", 503), api.FULL),
        (lambda seen: reply(b"many"), api.TIMED_OUT),
        (lambda seen: reply(b"nan"), api.TIMED_OUT),
    ],
)
def test_what_a_counter_call_comes_to(monkeypatch: pytest.MonkeyPatch, behave, result: str) -> None:
    async def scenario() -> None:
        fake = Fake(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).result == result
        assert got.empty()
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_the_counter_is_dialled_again_after_a_connection_that_breaks_as_it_is_dialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fake = Fake(lambda seen: reply(b"1"))
        counter, got = await counter_with(monkeypatch, fake, 5000, BreakingLoop(1))
        for result in (api.CONNECT_FAILED, api.OK):
            counter.call(api.Count("a", 1, 1000))
            assert (await got.get()).result == result
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_a_counter_connection_that_tells_no_number_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = Fake(lambda seen: reply(b"many"))
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).result == api.TIMED_OUT
        await fake.until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"2")
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).total == 2
        counter.stop()
        fake.stop()

    on_loop(scenario)


def test_a_silent_counter_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A counter that is cut off leaves its connection open; the calls must not go there for ever."""

    async def scenario() -> None:
        fake = Fake(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 30)
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).result == api.TIMED_OUT
        await fake.until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"1")
        counter.call(api.Count("a", 1, 1000))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[0].writer is not fake.seen[1].writer
        counter.stop()
        fake.stop()

    on_loop(scenario, 10)


def test_a_counter_that_refuses_added_nothing_and_comes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            return reply(b"1")

        fake = Fake(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        fake.stop()
        await fake.server.wait_closed()
        counter.call(api.Count("a", 1, 1000))
        assert (await got.get()).result == api.CONNECT_FAILED
        fake.server = await asyncio.start_server(fake._serve, LOOP, fake.port)
        while True:  # calls in its rest fail at once; then it dials again
            counter.call(api.Count("a", 1, 1000))
            if (await got.get()).result == api.OK:
                break
            await asyncio.sleep(0.01)
        counter.stop()
        fake.stop()

    on_loop(scenario)
