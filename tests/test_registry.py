"""The list service as it is called: lists, watches, writes, leases, and those who live with its failures."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import LOOP, ROOT, Fake, Rig, instance, message, on_loop, reply
from virtual import VirtualLoop, VirtualServer, VirtualTransport

from yewstage.checker import Checker, probe
from yewstage.net.discovery import Discovery, Listing
from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.registry import config as config_module
from yewstage.registry.__main__ import load
from yewstage.registry.backend import SingleNodeBackend
from yewstage.registry.client import LeaseHolder, ListWatch, NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.log import FullError, Log
from yewstage.registry.server import READ_S, RETRY_S, Registry

SERVER = {
    "hostPort": "127.0.0.1:8081",
    "zone": "a",
    "machineType": "m",
    "cell": 1,
    "weight": 2.0,
    "startedAtMs": 0,
    "ttlMs": 5000,
}


def raw(state: Path, **changes: object) -> dict[str, object]:
    return {"listen": f"{LOOP}:0", "ops": f"{LOOP}:0", "folder": str(state), "settle_ms": 0, **changes}


class Service:
    """The service in this process, on a clock that a test can move on."""

    def __init__(self, folder: Path, **changes: object) -> None:
        self.folder, self.changes = folder, changes
        self.ahead_ms = 0.0
        self.port = 0

    async def __aenter__(self) -> Service:
        await self.start()
        return self

    async def start(self, wall_ms: float = 1000.0) -> None:
        config = config_module.service(raw(self.folder, listen=f"{LOOP}:{self.port}", **self.changes))
        loop = asyncio.get_running_loop()
        self.files = Log(config.folder)
        store = load(config, self.files, loop.time() * 1000, wall_ms)
        ledger = SingleNodeBackend(store, self.files, config.snapshot_entries, loop)
        ledger.now = lambda: loop.time() * 1000 + self.ahead_ms
        self.registry = Registry(config, ledger, loop, random.Random(1))
        self.store = store
        _, self.port = await self.registry.start()
        self.client = ServiceClient([(LOOP, self.port)], random.Random(1))

    async def stop(self) -> None:
        self.client.close()
        await self.registry.stop()
        self.files.close()

    async def call(self, method: str, path: str, body: dict[str, object] | None = None) -> ServiceReply:
        return await self.client.call(method, f"/v1/{path}", body)

    async def register(self, *names: str, **changes: object) -> ServiceReply:
        for name in names:
            told = await self.call("PUT", f"endpoints/{name}", {**SERVER, **changes})
            assert told.status == 200
        return told

    async def ids(self) -> list[str]:
        return sorted(i["instanceId"] for i in (await self.call("GET", "endpoints")).body["instances"])

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()


def with_service(scenario: Callable[[Service], Awaitable[None]], folder: Path, **changes: object) -> None:
    async def run() -> None:
        async with Service(folder, **changes) as service:
            await scenario(service)

    on_loop(run)


# --- Lists and watches ------------------------------------------------------------------------------------


def test_gateways_are_told_what_discoverys_protocol_has(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        told: asyncio.Queue[Listing] = asyncio.Queue()
        await service.register("s-1")
        watch = Discovery(asyncio.get_running_loop(), (LOOP, service.port), told.put_nowait)
        watch.start()
        first = await told.get()
        assert first.is_full and first.addresses == {"s-1": (LOOP, 8081)}
        assert (first.servers[0].zone, first.servers[0].cell, first.servers[0].nominal_capacity) == (
            "a",
            1,
            2.0,
        )
        await service.register("s-2", hostPort="127.0.0.1:8082")
        second = await told.get()
        assert not second.is_full and [s.name for s in second.servers] == ["s-2"]
        await service.call("POST", "endpoints/s-1/drain")
        assert [(s.name, s.status) for s in (await told.get()).servers] == [("s-1", "draining")]
        await service.call("DELETE", "endpoints/s-2")
        assert [(s.name, s.status) for s in (await told.get()).servers] == [("s-2", "removed")]
        watch.stop()

    with_service(scenario, tmp_path)


def test_a_gateways_watch_survives_a_service_that_comes_back_without_its_files(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        told: asyncio.Queue[Listing] = asyncio.Queue()
        await service.register("s-1", "s-2")
        watch = Discovery(asyncio.get_running_loop(), (LOOP, service.port), told.put_nowait)
        watch.start()
        assert {s.name for s in (await told.get()).servers} == {"s-1", "s-2"}
        await service.stop()
        service.folder = tmp_path / "new"
        await service.start(wall_ms=2e6)
        while not service.registry.turned_away_early:
            await asyncio.sleep(0.01)
        assert told.empty()  # it knows nobody, and says nothing
        await service.register("s-1")
        listing = await told.get()
        assert listing.is_full and [s.name for s in listing.servers] == ["s-1"]
        watch.stop()

    with_service(scenario, tmp_path / "old")


def test_a_watch_waits_its_time_and_is_told_that_nothing_changed(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        told = await service.call("GET", f"endpoints?after={revision}&wait_ms=20")
        assert told.body == {"generation": revision, "reset": False, "instances": []}
        assert not service.registry._watches

    with_service(scenario, tmp_path)


@pytest.mark.parametrize("after", [0, 3, 10**15])
def test_a_revision_that_is_not_known_gets_the_whole_list_at_once(tmp_path: Path, after: int) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        told = await service.call("GET", f"endpoints?after={after}&wait_ms=20000")
        assert told.body["reset"] and len(told.body["instances"]) == 3

    with_service(scenario, tmp_path, history=1)


class Stub:
    """A caller that notes its answer."""

    def __init__(self) -> None:
        self.got: list[HttpResponse] = []
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, answer: HttpResponse) -> None:
        self.got.append(answer)


def test_all_watchers_are_told_by_one_encoding_and_those_who_leave_take_nothing_along(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        watch = HttpRequest("GET", "/v1/endpoints", {"after": str(revision), "wait_ms": "20000"}, b"")
        stubs = [Stub() for _ in range(50)]
        assert all(service.registry.handle(watch, stub) is None for stub in stubs)
        stubs[0].on_disconnect()
        assert len(service.registry._watches) == 49
        await service.register("s-2")
        assert not stubs[0].got and not service.registry._watches
        bodies = {id(stub.got[0].body) for stub in stubs[1:]}
        assert len(bodies) == 1 and json.loads(stubs[1].got[0].body)["generation"] == revision + 1

    with_service(scenario, tmp_path)


def test_past_the_bound_watchers_that_return_at_one_moment_are_spread_out(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        watch = HttpRequest("GET", "/v1/endpoints", {"after": str(revision), "wait_ms": "20000"}, b"")
        answers = [service.registry.handle(watch, Stub()) for _ in range(30)]
        turned_away = [answer for answer in answers if answer is not None]
        assert len(turned_away) == 20 and all(answer.status == 503 for answer in turned_away)
        waits = sorted(float(answer.headers.split()[1]) for answer in turned_away)
        assert RETRY_S[0] <= waits[0] < waits[-1] <= RETRY_S[1] and waits[-1] - waits[0] > 2
        assert len(set(waits)) > 15

    with_service(scenario, tmp_path, watches=10)


def test_a_store_that_begins_empty_tells_no_list_before_its_servers_are_heard(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1")
        told = await service.call("GET", "endpoints")
        assert told.status == 503 and told.retry_after_s > 0 and not service.registry.ready()
        await service.stop()
        await service.start()  # with what it wrote, it need not wait
        assert await service.ids() == ["s-1"]

    with_service(scenario, tmp_path, settle_ms=1e6)


# --- Peers that are slow, silent or talk nonsense ---------------------------------------------------------


class Peer:
    """One connection to a listener on virtual time."""

    def __init__(
        self,
        handle: Callable[[HttpRequest, HttpConnection], HttpResponse | None] = lambda call, caller: (
            HttpResponse(200, b"ok")
        ),
        **manners: object,
    ) -> None:
        self.loop = VirtualLoop()
        self.listener = HttpServer(
            self.loop,
            handle,
            ConnectionLimits(**{"most": 3, "call_s": 5.0, "read_s": 10.0, "idle_s": 60.0, **manners}),
        )
        self.listener._server = object()
        self.loop.call_later(0.5, self.listener._sweep)

    def connect(self) -> tuple[HttpConnection, VirtualTransport]:
        caller = HttpConnection(self.listener)
        transport = VirtualTransport(self.loop, VirtualServer(self.loop, 1, answer_s=None), caller)
        caller.connection_made(transport)
        return caller, transport


@pytest.mark.parametrize(
    ("sent", "by"),
    [
        (b"", 6),
        (b"GET /v1/endp", 6),
        (b"PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\n{", 6),
        (b"GET / HTTP/1.1\r\n\r\n", 61),
    ],
)
def test_a_silent_peer_is_closed_in_bounded_time(sent: bytes, by: float) -> None:
    peer = Peer()
    caller, transport = peer.connect()
    if sent:
        caller.data_received(sent)
    peer.loop.run(by - 1.5)
    assert not transport.is_closing()
    peer.loop.run(by)
    assert transport.is_closing() and not peer.listener.callers


def test_a_peer_that_sends_a_byte_now_and_then_is_closed_all_the_same() -> None:
    peer = Peer()
    caller, transport = peer.connect()
    for n, byte in enumerate(b"GET / HTTP/1.1\r\nX: "):
        peer.loop.run(0.5 * n)
        if not transport.is_closing():
            caller.data_received(bytes([byte]))
    assert transport.is_closing()


def test_a_watcher_that_does_not_read_is_dropped() -> None:
    peer = Peer(lambda call, caller: None)
    caller, transport = peer.connect()
    left = []
    caller.data_received(b"GET /v1/endpoints?after=1&wait_ms=60000 HTTP/1.1\r\n\r\n")
    caller.on_disconnect = lambda: left.append(True)
    peer.loop.run(30)
    assert not transport.is_closing()  # to wait is no fault
    caller.pause_writing()
    peer.loop.run(30 + READ_S + 1)
    assert transport.is_closing() and left and peer.listener.dropped == 1


def test_one_who_calls_on_and_on_without_waiting_is_dropped() -> None:
    peer = Peer(lambda call, caller: None)
    caller, transport = peer.connect()
    caller.data_received(b"GET / HTTP/1.1\r\n\r\n" * 20)
    assert transport.is_closing()


def test_past_the_bound_the_one_that_nobody_waits_on_gives_way() -> None:
    peer = Peer(lambda call, caller: None)
    busy, busy_line = peer.connect()
    busy.data_received(b"GET / HTTP/1.1\r\n\r\n")
    _, idle_line = peer.connect()
    peer.connect()
    peer.connect()
    assert idle_line.is_closing() and not busy_line.is_closing() and len(peer.listener.callers) == 3


def test_calls_on_one_connection_are_answered_in_their_order() -> None:
    held: list[HttpConnection] = []
    peer = Peer(
        lambda call, caller: (
            held.append(caller) if call.path == "/slow" else HttpResponse(200, call.path.encode())
        )
    )
    caller, transport = peer.connect()
    caller.data_received(b"GET /slow HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
    assert not transport.written
    held[0].answer(HttpResponse(200, b"/slow"))
    assert [data for data in transport.written if data.startswith(b"/")] == [b"/slow", b"/b"]


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "field"),
    [
        ("GET", "/", None, 404, None),
        ("GET", "/v1/nothing", None, 404, None),
        ("POST", "/v1/endpoints", b"{}", 405, None),
        ("GET", "/v1/endpoints/s-1", None, 405, None),
        ("PUT", "/v1/endpoints/s-1/renew", b"{}", 405, None),
        ("GET", "/v1/endpoints?after=x", None, 400, "after"),
        ("GET", "/v1/endpoints?after=1&wait_ms=-5", None, 400, "wait_ms"),
        ("PUT", "/v1/endpoints/s-1", b"{", 400, "body"),
        ("PUT", "/v1/endpoints/s-1", b"[]", 400, "body"),
        ("PUT", "/v1/endpoints/s-1", b"[" * 60000, 400, "body"),
        ("PUT", "/v1/endpoints/s-1", b"\xff" * 70000, 413, None),
        ("PUT", "/v1/endpoints/%20", b"{}", 400, "id"),
        ("PUT", f"/v1/endpoints/{'x' * 65}", b"{}", 400, "id"),
        *[
            ("PUT", "/v1/endpoints/s-1", json.dumps({**SERVER, field: value}).encode(), 400, field)
            for field, value in [
                ("hostPort", "nowhere"),
                ("hostPort", 7),
                ("ttlMs", 1),
                ("ttlMs", "5000"),
                ("ttlMs", True),
                ("weight", 0),
                ("weight", 1e400),
                ("cell", -1),
                ("cell", 1.5),
                ("zone", "x" * 65),
                ("zone", "a\nb"),
                ("startedAtMs", -1),
                ("expect", -1),
                ("lease", "a b"),
                ("colour", "red"),
            ]
        ],
        ("POST", "/v1/endpoints/s-1/drain", b'{"draining": 1}', 400, "draining"),
        ("POST", "/v1/endpoints/s-1/verdict", b'{"well": true}', 400, "lease"),
        ("POST", "/v1/endpoints/s-1/verdict", b'{"well": true, "lease": "l"}', 400, "token"),
        ("PUT", "/v1/leases/l", b'{"holder": "", "ttlMs": 5000}', 400, "holder"),
        ("PUT", "/v1/leases/l", b'{"holder": "h"}', 400, "ttlMs"),
        ("POST", "/v1/leases/l/renew", b'{"holder": "h", "token": 0}', 400, "token"),
    ],
)
def test_bad_calls_are_answered_with_one_line_that_names_the_field(
    tmp_path: Path, method: str, path: str, body: bytes | None, status: int, field: str | None
) -> None:
    async def scenario(service: Service) -> None:
        reader, writer = await asyncio.open_connection(LOOP, service.port)
        length = b"Content-Length: %d\r\n" % len(body) if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\n".encode() + length + b"\r\n" + (body or b""))
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        line = await reader.readexactly(length)
        assert int(head.split()[1]) == status and line.count(b"\n") == 1
        told = json.loads(line)
        assert told["error"] and told.get("field") == field
        assert not service.store.records
        writer.close()

    with_service(scenario, tmp_path)


# --- Writes -----------------------------------------------------------------------------------------------


def test_a_write_that_was_logged_and_not_answered_is_there_after_the_kill_and_may_be_repeated(
    tmp_path: Path,
) -> None:
    async def scenario(service: Service) -> None:
        logged = asyncio.Event()
        loop, append = asyncio.get_running_loop(), service.files.append

        def killed(entry: dict) -> None:
            append(entry)
            loop.call_soon_threadsafe(logged.set)
            raise SystemError("killed here")  # nothing of it is seen

        service.files.append = killed
        call = asyncio.create_task(service.call("PUT", "endpoints/s-1", SERVER))
        await logged.wait()
        assert not service.store.records
        call.cancel()
        await service.stop()
        await service.start()
        assert await service.ids() == ["s-1"]
        before = service.store.revision
        await service.register("s-1")
        assert service.store.revision == before

    with_service(scenario, tmp_path)


def test_a_full_disk_refuses_writes_and_reads_go_on(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]

        def full(entry: dict) -> None:
            raise FullError("write: No space left on device")

        append, service.files.append = service.files.append, full
        told = await service.call("PUT", "endpoints/s-2", SERVER)
        assert told.status == 503 and told.retry_after_s > 0
        assert await service.ids() == ["s-1"] and service.store.revision == revision
        assert (await service.call("POST", "endpoints/s-1/renew", {})).status == 200
        assert 'registry_writes_total{result="not_durable"} 1.0\n' in service.registry.metrics()
        service.files.append = append
        await service.register("s-2")
        assert await service.ids() == ["s-1", "s-2"]

    with_service(scenario, tmp_path)


def test_a_snapshot_is_taken_by_the_way_and_a_restart_goes_on_from_it(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        for n in range(25):
            await service.register(f"s-{n}")
        assert service.files.entries < 10 and (tmp_path / "snapshot").exists()
        before = service.store.snapshot()
        await service.stop()
        await service.start()
        assert service.store.snapshot() == before

    with_service(scenario, tmp_path, snapshot_entries=10)


def test_a_wall_clock_that_was_set_back_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        token = (await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})).body["token"]
        before = service.store.revision
        monkeypatch.setattr(time, "time", lambda: 1.0)  # while it runs, and over a restart
        assert not service.store.overdue(service.registry.ledger.now())
        await service.stop()
        await service.start(wall_ms=1.0)
        assert await service.ids() == ["s-1", "s-2", "s-3"] and service.store.revision == before
        assert (await service.register("s-4")).body["revision"] > before
        assert (await service.call("POST", "leases/d/renew", {"holder": "x", "token": token})).status == 200

    with_service(scenario, tmp_path)


def test_two_writers_that_race_end_with_one_told_409(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        others = [ServiceClient([(LOOP, service.port)]) for _ in range(2)]
        told = await asyncio.gather(
            *(
                other.call("POST", "/v1/endpoints/s-1/drain", {"draining": True, "expect": revision})
                if n
                else other.call("DELETE", "/v1/endpoints/s-1", {"expect": revision})
                for n, other in enumerate(others)
            )
        )
        assert sorted(answer.status for answer in told) == [200, 409]
        for other in others:
            other.close()

    with_service(scenario, tmp_path)


def test_a_server_that_stops_renewing_is_gone_and_the_others_are_told(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        revision = service.store.revision
        watch = asyncio.create_task(
            service.client.call("GET", f"/v1/endpoints?after={revision}&wait_ms=20000", wait_s=20)
        )
        await asyncio.sleep(0)
        service.ahead_ms += 4000
        for name in ("s-1", "s-2"):
            service.store.renew(name, None, service.registry.ledger.now())
        service.ahead_ms += 3000
        told = await watch
        assert told.body["instances"] == [{"instanceId": "s-3", "lifecycle": "gone"}]
        assert (await service.call("POST", "endpoints/s-3/renew", {})).status == 404

    with_service(scenario, tmp_path)


# --- Leases and duties ------------------------------------------------------------------------------------


def test_a_lease_is_granted_renewed_released_and_fences_writes(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        first = (await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})).body["token"]
        again = await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})
        assert again.body["token"] == first
        assert (await service.call("PUT", "leases/d", {"holder": "y", "ttlMs": 5000})).status == 409
        assert (await service.call("POST", "leases/d/renew", {"holder": "x", "token": first})).status == 200
        verdict = {"well": False, "lease": "d", "token": first}
        told = await service.call("POST", "endpoints/s-1/verdict", verdict)
        assert told.body["lifecycle"] == "draining"
        for _ in range(2):  # repeating is harmless
            assert (await service.call("DELETE", "leases/d", {"holder": "x", "token": first})).status == 200
        second = (await service.call("PUT", "leases/d", {"holder": "y", "ttlMs": 5000})).body["token"]
        assert second > first
        assert (await service.call("POST", "endpoints/s-2/verdict", verdict)).status == 409
        assert (
            await service.call("POST", "endpoints/s-2/drain", {"lease": "d", "token": first})
        ).status == 409
        (lease,) = (await service.call("GET", "leases")).body["leases"]
        assert (lease["holder"], lease["token"]) == ("y", second) and 4000 < lease["endsInMs"] <= 5050

    with_service(scenario, tmp_path)


class Scripted:
    """A client whose answers a test writes; None is silence."""

    def __init__(self, *answers: ServiceReply | None) -> None:
        self.answers, self.calls = list(answers), []

    async def call(self, method: str, path: str, body: object = None, wait_s: float = 0.0) -> ServiceReply:
        self.calls.append((method, path, body))
        answer = self.answers.pop(0)
        if answer is None:
            raise NoAnswerError("silence")
        return answer

    def backoff_s(self) -> float:
        return 0.25

    def between(self, least: float, most: float) -> float:
        return least


def test_a_holder_counts_from_when_it_sent_and_stops_before_another_may_be_granted() -> None:
    async def scenario() -> None:
        clock = [100.0]
        client = Scripted(
            ServiceReply(200, {"token": 4, "ttlMs": 1000.0}), None, ServiceReply(409, {"error": "held by y"})
        )
        duty = LeaseHolder(client, "d", "x", 1000.0, 0.05, lambda: clock[0])
        call = client.call

        async def slow(*args: object) -> ServiceReply:
            clock[0] += 0.3  # on its way
            return await call(*args)

        client.call = slow
        assert await duty.acquire_or_renew() == pytest.approx(1 / 3) and duty.token == 4
        clock[0] = 100.94
        assert duty.is_held()
        clock[0] = 100.951  # its word was 1.000 from when the service heard of it
        assert not duty.is_held()
        assert await duty.acquire_or_renew() == 0.25 and not duty.is_held()  # silence: nothing is assumed
        assert await duty.acquire_or_renew() > 0 and not duty.is_held()

    on_loop(scenario)


def test_a_holder_that_was_stopped_finds_out_before_it_acts() -> None:
    async def scenario() -> None:
        clock = [0.0]
        duty = LeaseHolder(
            Scripted(ServiceReply(200, {"token": 1})), "d", "x", 1000.0, 0.01, lambda: clock[0]
        )
        await duty.acquire_or_renew()
        assert duty.is_held()
        clock[0] += 60.0  # stopped, and woken in the middle of its work
        assert not duty.is_held()

    on_loop(scenario)


def checker_config(**changes: object) -> config_module.CheckerConfig:
    return config_module.checker(
        {
            "name": "c",
            "registry": [f"{LOOP}:1"],
            "ops": f"{LOOP}:0",
            "probing": True,
            "rate_per_s": 1e6,
            "fails": 1,
            "passes": 1,
            "ttl_ms": 5000,
            **changes,
        }
    )


def test_of_two_checkers_one_frozen_and_woken_only_the_holder_is_believed(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        address, checkers = [(LOOP, service.port)], []
        clocks = {"frozen": [0.0], "other": [0.0]}
        for name, clock in clocks.items():
            client = ServiceClient(address)
            watch = ListWatch(client, lambda clock=clock: clock[0])
            await watch.ask(0)
            duty = LeaseHolder(client, "checker", name, 5000.0, 0.01, lambda clock=clock: clock[0])

            async def says(target: object, timeout_s: float, well: bool = name == "other") -> int:
                return 200 if well else 503

            checkers.append(Checker(checker_config(), watch, duty, client, says))
        frozen, other = checkers
        await frozen.duty.acquire_or_renew()
        await other.duty.acquire_or_renew()
        assert frozen.duty.is_held() and not other.duty.is_held()
        service.ahead_ms += 6000  # the frozen one's clock stands still with it
        for name in ("s-1", "s-2", "s-3"):
            service.store.renew(name, None, service.registry.ledger.now())
        await other.duty.acquire_or_renew()
        assert other.duty.is_held() and frozen.duty.is_held()  # it does not know better yet
        await frozen.round()
        await other.round()
        assert frozen.written == 0 and frozen.refused == 3
        assert all(record.lifecycle() == "ready" for record in service.store.records.values())
        await frozen.duty.acquire_or_renew()
        assert not frozen.duty.is_held()
        for each in checkers:
            each._client.close()

    with_service(scenario, tmp_path)


def test_a_checkers_verdict_takes_a_server_out_and_back_in(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        client = ServiceClient([(LOOP, service.port)])
        watch, clock = ListWatch(client, lambda: 0.0), [0.0]
        await watch.ask(0)
        duty = LeaseHolder(client, "checker", "c", 5000.0, 0.01, lambda: clock[0])
        await duty.acquire_or_renew()
        answers = {"s-1": 503, "s-2": 200, "s-3": 404}
        asked = []
        ports = {watch.addresses[name]: name for name in watch.addresses}
        assert len(ports) == 1  # all three stand at one address here: told apart by turns

        async def says(target: object, timeout_s: float) -> int:
            asked.append(target)
            return answers[names[len(asked) - 1]]

        names: list[str] = []
        work = Checker(checker_config(fails=2, passes=2), watch, duty, client, says)
        check = work._check

        async def noted(name: str) -> None:
            names.append(name)
            await check(name)

        work._check = noted
        await work.round()
        assert work.written == 0  # one failure is none
        await work.round()
        assert service.store.records["s-1"].lifecycle() == "draining" and service.store.records["s-3"].well
        answers["s-1"] = 200
        await work.round()
        await work.round()
        assert all(record.lifecycle() == "ready" for record in service.store.records.values())
        assert 'checker_verdicts_total{result="written"} 3.0\n' in work.metrics()
        client.close()

    with_service(scenario, tmp_path)


@pytest.mark.parametrize(
    ("answer", "status"),
    [(reply(b""), 200), (reply(b"", 503), 503), (reply(b"", 404), 404), (b"", 0), (b"nonsense\r\n\r\n", 0)],
)
def test_what_a_probe_comes_to(answer: bytes, status: int) -> None:
    async def scenario() -> None:
        server = await Fake(lambda seen: answer).start()
        assert await probe((LOOP, server.port), 20) == status
        assert server.seen[0].line == "GET /health HTTP/1.1"
        server.stop()

    on_loop(scenario)


def test_a_probe_that_is_refused_or_not_answered_ends_in_its_time() -> None:
    async def scenario() -> None:
        server = await Fake(lambda seen: None).start()
        assert await probe((LOOP, server.port), 0.05) == 0
        server.stop()
        assert await probe((LOOP, 1), 20) == 0

    on_loop(scenario)


# --- Clients and the service's failures -------------------------------------------------------------------


def test_a_watch_goes_on_across_a_restart_without_a_gap(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2")
        client = ServiceClient([(LOOP, service.port)])
        watch = ListWatch(client, time.monotonic)
        assert await watch.ask() == 0 and set(watch.servers) == {"s-1", "s-2"}
        await service.stop()
        assert await watch.ask() >= 0 and watch.stale_reason and set(watch.servers) == {"s-1", "s-2"}
        await service.start()
        await service.register("s-3")
        await service.call("DELETE", "endpoints/s-1")
        while watch.stale_reason:
            await watch.ask()
        assert set(watch.servers) == {"s-2", "s-3"} and watch.age_s() < 60
        client.close()

    with_service(scenario, tmp_path)


def test_a_service_that_lost_its_files_does_not_empty_its_clients_lists(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2")
        before = service.store.revision
        client = ServiceClient([(LOOP, service.port)])
        watch = ListWatch(client, time.monotonic)
        await watch.ask()
        await service.stop()
        service.folder = tmp_path / "new"
        await service.start(wall_ms=2e6)
        while "503" not in watch.stale_reason:
            await watch.ask()
        assert set(watch.servers) == {"s-1", "s-2"} and service.store.revision > before
        await service.register("s-2")
        while watch.stale_reason:
            await watch.ask()
        assert set(watch.servers) == {"s-2"}
        client.close()

    with_service(scenario, tmp_path / "old")


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        reply(b"[]"),
        reply(b"{"),
        reply(b'{"generation":"x"}'),
        reply(b"", 500),
        reply(b"{}", 503),
        b"",
        reply(b'{"generation":1,"reset":true,"instances":[{"instanceId":7}]}'),
        reply(b'{"generation":0,"reset":false,"instances":[]}'),
        reply(b'{"generation":9,"reset":true,"instances":[]}'),
    ],
)
def test_nonsense_keeps_the_last_good_list_and_tells_its_age(answer: bytes) -> None:
    async def scenario() -> None:
        good = reply(json.dumps({"generation": 5, "reset": True, "instances": [instance("s-1", 1)]}).encode())
        answers = itertools.chain([good], itertools.repeat(answer))
        server = await Fake(lambda seen: next(answers)).start()
        clock = [0.0]
        client = ServiceClient([(LOOP, server.port)])
        watch = ListWatch(client, lambda: clock[0])
        assert await watch.ask(0) == 0 and not watch.stale_reason and watch.age_s() == 0
        clock[0] = 7.0
        await watch.ask(0)
        await watch.ask(0)
        assert watch.stale_reason and set(watch.servers) == {"s-1"} and watch.age_s() == 7.0
        client.close()
        server.stop()

    on_loop(scenario)


def test_a_client_of_several_addresses_moves_on_from_one_that_is_gone() -> None:
    async def scenario() -> None:
        server = await Fake(lambda seen: reply(b'{"leases":[]}')).start()
        client = ServiceClient([(LOOP, 1), (LOOP, server.port)], random.Random(2))
        client._at = 0
        with pytest.raises(NoAnswerError):
            await client.call("GET", "/v1/leases")
        assert 0 <= client.backoff_s() <= 0.1
        assert (await client.call("GET", "/v1/leases")).status == 200 and client.backoff_s() <= 0.1
        client.close()
        server.stop()

    on_loop(scenario)


def test_rests_grow_by_full_jitter_and_are_bounded() -> None:
    client = ServiceClient([(LOOP, 1)], random.Random(1))
    spans = []
    for failures in (1, 4, 30):
        client._failures = failures
        rests = [client.backoff_s() for _ in range(400)]
        spans.append((min(rests), max(rests)))
    assert all(least < 0.1 * most for least, most in spans)
    assert spans[0][1] <= 0.1 and 0.6 < spans[1][1] <= 0.8 and 9 < spans[2][1] <= 10


# --- The programs -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"listen": "x"}, "listen"),
        ({"watches": 0}, "watches"),
        ({"watches": 10, "connections": 5}, "watches"),
        ({"most_gone": 2}, "most_gone"),
        ({"colour": 1}, "colour"),
        ({"folder": ""}, "folder"),
        ({"folder": "/dev/null/x"}, "/dev/null/x"),
        ({"least_ttl_ms": 100000}, "least_ttl_ms"),
    ],
)
def test_a_bad_configuration_ends_the_services_start_with_one_line(
    tmp_path: Path, change: dict, word: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw(tmp_path / "state", **change)))
    done = run("yewstage.registry", "--config", str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and word in done.stderr


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"probing": False}, "probing"),
        ({"registry": []}, "registry"),
        ({"registry": ["x"]}, "registry"),
        ({"rate_per_s": 0}, "rate_per_s"),
        ({"name": "a b"}, "name"),
        ({"ops": None}, "ops"),
    ],
)
def test_a_bad_configuration_ends_the_checkers_start_with_one_line(
    tmp_path: Path, change: dict, word: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps({"name": "c", "registry": [f"{LOOP}:1"], "ops": f"{LOOP}:0", "probing": True, **change})
    )
    done = run("yewstage.checker", "--config", str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and word in done.stderr


def test_a_damaged_log_ends_the_start_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    (tmp_path / "state" / "log").write_bytes(b"something else\n")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw(tmp_path / "state")))
    done = run("yewstage.registry", "--config", str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "log" in done.stderr


def run(module: str, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", module, *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


class Program:
    """The real service as a process of its own, killed and started again at one address."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.ops_port = folder, 0, 0

    async def start(self) -> None:
        path = self.folder / "registry.json"
        path.write_text(json.dumps(raw(self.folder / "state", listen=f"{LOOP}:{self.port}")))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yewstage.registry",
            "--config",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        while "listening on" not in (line := (await self.process.stderr.readline()).decode()):
            assert line, "the service ended at its start"
            if "operators' address" in line:
                self.ops_port = int(line.rsplit(":", 1)[1])
        self.port = int(line.rsplit(":", 1)[1])

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()


def test_requests_are_served_throughout_while_the_service_is_killed_and_started_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = Program(tmp_path)
        await service.start()
        client = ServiceClient([(LOOP, service.port)])

        class Fleet(Rig):
            async def launch(self) -> None:
                for name, host in zip(("s-0", "s-1"), self.hosts, strict=True):
                    told = await client.call(
                        "PUT", f"/v1/endpoints/{name}", {"hostPort": f"{LOOP}:{host.port}", "ttlMs": 60000}
                    )
                    assert told.status == 200
                self.directory.fake.port = service.port  # where the gateway looks for discovery
                await super().launch()

        async with Fleet(tmp_path, lambda seen: reply(b"a"), lambda seen: reply(b"b")) as rig:

            async def served(n: int) -> None:
                for i in range(n):
                    assert await rig.status(message(rid=b"r%d-%d" % (served.round, i))) == 200
                served.round += 1

            served.round = 0
            await served(5)
            await service.kill()
            await served(20)
            await service.start()
            while True:  # the repeated call is harmless, and the service knows its servers again
                try:
                    told = await client.call("GET", "/v1/endpoints")
                    break
                except NoAnswerError:
                    continue
            assert [i["instanceId"] for i in told.body["instances"]] == ["s-0", "s-1"]
            await served(5)
            done = await asyncio.to_thread(run, "plumwall", "drain", "s-0", "--at", f"{LOOP}:{service.port}")
            assert done.returncode == 0 and "draining" in done.stdout
            await rig.logged("s-0 draining")
            count = len(rig.hosts[0].seen)
            await served(10)
            assert len(rig.hosts[0].seen) == count
            listed = await asyncio.to_thread(
                run, "plumwall", "servers", "--at", f"{LOOP}:{service.port}", "--json"
            )
            rows = [(row["instanceId"], row["lifecycle"]) for row in json.loads(listed.stdout)]
            assert rows == [("s-0", "draining"), ("s-1", "ready")]
            reader, writer = await asyncio.open_connection(LOOP, service.ops_port)
            writer.write(b"GET /ops/stats HTTP/1.1\r\n\r\n")
            figures = (await reader.read()).decode()
            assert (
                'registry_servers{lifecycle="draining"} 1.0\n' in figures
                and "process_cpu_seconds_total" in figures
            )
            writer.close()
        client.close()
        service.process.terminate()
        assert await service.process.wait() == 0

    on_loop(scenario, 60)


def test_the_checkers_process_takes_an_unwell_server_out_and_leaves_its_duty_to_the_next(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        service = Program(tmp_path)
        await service.start()
        client = ServiceClient([(LOOP, service.port)])
        hosts = [await Fake(lambda seen, n=n: reply(b"", 200 if n else 503)).start() for n in range(3)]
        for n, host in enumerate(hosts):
            body = {"hostPort": f"{LOOP}:{host.port}", "ttlMs": 60000}
            assert (await client.call("PUT", f"/v1/endpoints/s-{n}", body)).status == 200
        path = tmp_path / "checker.json"
        path.write_text(
            json.dumps(
                {
                    "name": "c",
                    "registry": [f"{LOOP}:{service.port}"],
                    "ops": f"{LOOP}:0",
                    "probing": True,
                    "rate_per_s": 100,
                    "ttl_ms": 30000,
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yewstage.checker",
            "--config",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        lifecycles: dict[str, str] = {}
        while lifecycles != {"s-0": "draining", "s-1": "ready", "s-2": "ready"}:
            told = await client.call("GET", "/v1/endpoints")
            lifecycles = {i["instanceId"]: i["lifecycle"] for i in told.body["instances"]}
            await asyncio.sleep(0.02)
        (lease,) = (await client.call("GET", "/v1/leases")).body["leases"]
        assert lease["name"] == "checker" and lease["holder"].startswith("c.")
        process.terminate()
        assert await process.wait() == 0
        (lease,) = (await client.call("GET", "/v1/leases")).body["leases"]
        assert lease["holder"] == ""  # at once, not after its 30 s
        client.close()
        for host in hosts:
            host.stop()
        service.process.terminate()
        assert await service.process.wait() == 0

    on_loop(scenario, 60)
