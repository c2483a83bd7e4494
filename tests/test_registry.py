"""The list service over HTTP: lists, watches, writes and leases, and how its clients handle its failures."""

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
from conftest import LOOP, ROOT, FakeHttpServer, GatewayRig, instance, message, reply, run_on_loop
from virtual import VirtualLoop, VirtualServer, VirtualTransport

from yewstage.checker import Checker, probe
from yewstage.net.discovery import Discovery, Listing
from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.registry import config as config_module
from yewstage.registry.__main__ import load
from yewstage.registry.backend import SingleNodeBackend
from yewstage.registry.client import LeaseHolder, ListWatch, NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.log import Log, WriteFailedError
from yewstage.registry.server import READ_TIMEOUT_S, RETRY_AFTER_RANGE_S, Registry

SERVER = {
    "hostPort": "127.0.0.1:8081",
    "zone": "a",
    "machineType": "m",
    "cell": 1,
    "weight": 2.0,
    "startedAtMs": 0,
    "ttlMs": 5000,
}


def config_fields(state: Path, **changes: object) -> dict[str, object]:
    return {"listen": f"{LOOP}:0", "ops": f"{LOOP}:0", "folder": str(state), "settle_ms": 0, **changes}


class Service:
    """The service in this process, on a clock that a test can advance."""

    def __init__(self, folder: Path, **changes: object) -> None:
        self.folder, self.changes = folder, changes
        self.ahead_ms = 0.0
        self.port = 0

    async def __aenter__(self) -> Service:
        await self.start()
        return self

    async def start(self, wall_ms: float = 1000.0) -> None:
        config = config_module.service(
            config_fields(self.folder, listen=f"{LOOP}:{self.port}", **self.changes)
        )
        loop = asyncio.get_running_loop()
        self.files = Log(config.folder)
        store = load(config, self.files, loop.time() * 1000, wall_ms)
        backend = SingleNodeBackend(store, self.files, config.snapshot_entries, loop)
        backend.now = lambda: loop.time() * 1000 + self.ahead_ms
        self.registry = Registry(config, backend, loop, random.Random(1))
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
            response = await self.call("PUT", f"endpoints/{name}", {**SERVER, **changes})
            assert response.status == 200
        return response

    async def ids(self) -> list[str]:
        return sorted(i["instanceId"] for i in (await self.call("GET", "endpoints")).body["instances"])

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()


def with_service(scenario: Callable[[Service], Awaitable[None]], folder: Path, **changes: object) -> None:
    async def run() -> None:
        async with Service(folder, **changes) as service:
            await scenario(service)

    run_on_loop(run)


# --- Lists and watches ------------------------------------------------------------------------------------


def test_gateway_follows_the_list_by_the_discovery_protocol(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        listings: asyncio.Queue[Listing] = asyncio.Queue()
        await service.register("s-1")
        watch = Discovery(asyncio.get_running_loop(), (LOOP, service.port), listings.put_nowait)
        watch.start()
        first = await listings.get()
        assert first.is_full and first.addresses == {"s-1": (LOOP, 8081)}
        assert (first.servers[0].zone, first.servers[0].cell, first.servers[0].nominal_capacity) == (
            "a",
            1,
            2.0,
        )
        await service.register("s-2", hostPort="127.0.0.1:8082")
        second = await listings.get()
        assert not second.is_full and [s.name for s in second.servers] == ["s-2"]
        await service.call("POST", "endpoints/s-1/drain")
        assert [(s.name, s.status) for s in (await listings.get()).servers] == [("s-1", "draining")]
        await service.call("DELETE", "endpoints/s-2")
        assert [(s.name, s.status) for s in (await listings.get()).servers] == [("s-2", "removed")]
        watch.stop()

    with_service(scenario, tmp_path)


def test_gateway_keeps_its_list_when_the_service_restarts_without_files(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        listings: asyncio.Queue[Listing] = asyncio.Queue()
        await service.register("s-1", "s-2")
        watch = Discovery(asyncio.get_running_loop(), (LOOP, service.port), listings.put_nowait)
        watch.start()
        assert {s.name for s in (await listings.get()).servers} == {"s-1", "s-2"}
        await service.stop()
        service.folder = tmp_path / "new"
        await service.start(wall_ms=2e6)
        while not service.registry.rejected_not_ready:
            await asyncio.sleep(0.01)
        assert listings.empty()  # a service that knows no server sends no list
        await service.register("s-1")
        listing = await listings.get()
        assert listing.is_full and [s.name for s in listing.servers] == ["s-1"]
        watch.stop()

    with_service(scenario, tmp_path / "old")


def test_watch_without_changes_ends_with_an_empty_answer(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        response = await service.call("GET", f"endpoints?after={revision}&wait_ms=20")
        assert response.body == {"generation": revision, "reset": False, "instances": []}
        assert not service.registry._watches

    with_service(scenario, tmp_path)


@pytest.mark.parametrize("after", [0, 3, 10**15])
def test_unknown_revision_gets_the_whole_list_at_once(tmp_path: Path, after: int) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        response = await service.call("GET", f"endpoints?after={after}&wait_ms=20000")
        assert response.body["reset"] and len(response.body["instances"]) == 3

    with_service(scenario, tmp_path, history=1)


class RecordingConnection:
    """Stands in for a connection and records the answers."""

    def __init__(self) -> None:
        self.got: list[HttpResponse] = []
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, answer: HttpResponse) -> None:
        self.got.append(answer)


def test_watchers_share_one_encoding_and_closed_watches_are_removed(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        watch = HttpRequest("GET", "/v1/endpoints", {"after": str(revision), "wait_ms": "20000"}, b"")
        connections = [RecordingConnection() for _ in range(50)]
        assert all(service.registry.handle(watch, connection) is None for connection in connections)
        connections[0].on_disconnect()
        assert len(service.registry._watches) == 49
        await service.register("s-2")
        assert not connections[0].got and not service.registry._watches
        bodies = {id(connection.got[0].body) for connection in connections[1:]}
        assert len(bodies) == 1 and json.loads(connections[1].got[0].body)["generation"] == revision + 1

    with_service(scenario, tmp_path)


def test_watches_above_the_limit_get_spread_out_retry_times(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        watch = HttpRequest("GET", "/v1/endpoints", {"after": str(revision), "wait_ms": "20000"}, b"")
        answers = [service.registry.handle(watch, RecordingConnection()) for _ in range(30)]
        turned_away = [answer for answer in answers if answer is not None]
        assert len(turned_away) == 20 and all(answer.status == 503 for answer in turned_away)
        waits = sorted(float(answer.headers.split()[1]) for answer in turned_away)
        assert (
            RETRY_AFTER_RANGE_S[0] <= waits[0] < waits[-1] <= RETRY_AFTER_RANGE_S[1]
            and waits[-1] - waits[0] > 2
        )
        assert len(set(waits)) > 15

    with_service(scenario, tmp_path, watches=10)


def test_empty_store_serves_no_list_before_servers_register(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1")
        response = await service.call("GET", "endpoints")
        assert response.status == 503 and response.retry_after_s > 0 and not service.registry.ready()
        await service.stop()
        await service.start()  # it has its records from the files and need not wait
        assert await service.ids() == ["s-1"]

    with_service(scenario, tmp_path, settle_ms=1e6)


# --- Peers that are slow, silent or talk nonsense ---------------------------------------------------------


class ListenerHarness:
    """A listener on virtual time, to which a test opens connections."""

    def __init__(
        self,
        handle: Callable[[HttpRequest, HttpConnection], HttpResponse | None] = lambda call, caller: (
            HttpResponse(200, b"ok")
        ),
        **limits: object,
    ) -> None:
        self.loop = VirtualLoop()
        self.listener = HttpServer(
            self.loop,
            handle,
            ConnectionLimits(
                **{
                    "max_connections": 3,
                    "call_timeout_s": 5.0,
                    "read_timeout_s": 10.0,
                    "idle_timeout_s": 60.0,
                    **limits,
                }
            ),
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
def test_silent_connection_is_closed_in_time(sent: bytes, by: float) -> None:
    harness = ListenerHarness()
    caller, transport = harness.connect()
    if sent:
        caller.data_received(sent)
    harness.loop.run(by - 1.5)
    assert not transport.is_closing()
    harness.loop.run(by)
    assert transport.is_closing() and not harness.listener.connections


def test_connection_that_sends_single_bytes_is_closed() -> None:
    harness = ListenerHarness()
    caller, transport = harness.connect()
    for n, byte in enumerate(b"GET / HTTP/1.1\r\nX: "):
        harness.loop.run(0.5 * n)
        if not transport.is_closing():
            caller.data_received(bytes([byte]))
    assert transport.is_closing()


def test_watcher_that_does_not_read_is_dropped() -> None:
    harness = ListenerHarness(lambda call, caller: None)
    caller, transport = harness.connect()
    disconnects = []
    caller.data_received(b"GET /v1/endpoints?after=1&wait_ms=60000 HTTP/1.1\r\n\r\n")
    caller.on_disconnect = lambda: disconnects.append(True)
    harness.loop.run(30)
    assert not transport.is_closing()  # waiting is allowed
    caller.pause_writing()
    harness.loop.run(30 + READ_TIMEOUT_S + 1)
    assert transport.is_closing() and disconnects and harness.listener.closed_count == 1


def test_too_many_pipelined_calls_close_the_connection() -> None:
    harness = ListenerHarness(lambda call, caller: None)
    caller, transport = harness.connect()
    caller.data_received(b"GET / HTTP/1.1\r\n\r\n" * 20)
    assert transport.is_closing()


def test_idle_connection_is_closed_above_the_connection_limit() -> None:
    harness = ListenerHarness(lambda call, caller: None)
    busy, busy_transport = harness.connect()
    busy.data_received(b"GET / HTTP/1.1\r\n\r\n")
    _, idle_transport = harness.connect()
    harness.connect()
    harness.connect()
    assert (
        idle_transport.is_closing()
        and not busy_transport.is_closing()
        and len(harness.listener.connections) == 3
    )


def test_calls_on_one_connection_are_answered_in_order() -> None:
    held: list[HttpConnection] = []
    harness = ListenerHarness(
        lambda call, caller: (
            held.append(caller) if call.path == "/slow" else HttpResponse(200, call.path.encode())
        )
    )
    caller, transport = harness.connect()
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
def test_invalid_calls_are_answered_with_the_field_at_fault(
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
        answer = json.loads(line)
        assert answer["error"] and answer.get("field") == field
        assert not service.store.records
        writer.close()

    with_service(scenario, tmp_path)


# --- Writes -----------------------------------------------------------------------------------------------


def test_logged_write_without_an_answer_survives_a_kill_and_may_be_repeated(
    tmp_path: Path,
) -> None:
    async def scenario(service: Service) -> None:
        logged = asyncio.Event()
        loop, append = asyncio.get_running_loop(), service.files.append

        def killed(entry: dict) -> None:
            append(entry)
            loop.call_soon_threadsafe(logged.set)
            raise SystemError("killed here")  # the entry is in the log but not applied

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


def test_full_disk_refuses_writes_and_still_serves_reads(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]

        def full(entry: dict) -> None:
            raise WriteFailedError("write: No space left on device")

        append, service.files.append = service.files.append, full
        response = await service.call("PUT", "endpoints/s-2", SERVER)
        assert response.status == 503 and response.retry_after_s > 0
        assert await service.ids() == ["s-1"] and service.store.revision == revision
        assert (await service.call("POST", "endpoints/s-1/renew", {})).status == 200
        assert 'registry_writes_total{result="not_durable"} 1.0\n' in service.registry.metrics()
        service.files.append = append
        await service.register("s-2")
        assert await service.ids() == ["s-1", "s-2"]

    with_service(scenario, tmp_path)


def test_restart_continues_from_a_snapshot(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        for n in range(25):
            await service.register(f"s-{n}")
        assert service.files.entries < 10 and (tmp_path / "snapshot").exists()
        before = service.store.snapshot()
        await service.stop()
        await service.start()
        assert service.store.snapshot() == before

    with_service(scenario, tmp_path, snapshot_entries=10)


def test_wall_clock_set_back_has_no_effect(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        token = (await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})).body["token"]
        before = service.store.revision
        monkeypatch.setattr(time, "time", lambda: 1.0)  # while the service runs, and across a restart
        assert not service.store.overdue(service.registry.backend.now())
        await service.stop()
        await service.start(wall_ms=1.0)
        assert await service.ids() == ["s-1", "s-2", "s-3"] and service.store.revision == before
        assert (await service.register("s-4")).body["revision"] > before
        assert (await service.call("POST", "leases/d/renew", {"holder": "x", "token": token})).status == 200

    with_service(scenario, tmp_path)


def test_one_of_two_concurrent_writers_gets_409(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        revision = (await service.register("s-1")).body["revision"]
        writers = [ServiceClient([(LOOP, service.port)]) for _ in range(2)]
        responses = await asyncio.gather(
            *(
                writer.call("POST", "/v1/endpoints/s-1/drain", {"draining": True, "expect": revision})
                if n
                else writer.call("DELETE", "/v1/endpoints/s-1", {"expect": revision})
                for n, writer in enumerate(writers)
            )
        )
        assert sorted(answer.status for answer in responses) == [200, 409]
        for writer in writers:
            writer.close()

    with_service(scenario, tmp_path)


def test_server_that_stops_renewing_is_removed_and_watchers_are_told(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        revision = service.store.revision
        watch = asyncio.create_task(
            service.client.call("GET", f"/v1/endpoints?after={revision}&wait_ms=20000", wait_s=20)
        )
        await asyncio.sleep(0)
        service.ahead_ms += 4000
        for name in ("s-1", "s-2"):
            service.store.renew(name, None, service.registry.backend.now())
        service.ahead_ms += 3000
        response = await watch
        assert response.body["instances"] == [{"instanceId": "s-3", "lifecycle": "gone"}]
        assert (await service.call("POST", "endpoints/s-3/renew", {})).status == 404

    with_service(scenario, tmp_path)


# --- Leases and duties ------------------------------------------------------------------------------------


def test_lease_is_granted_renewed_released_and_fences_writes(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        first = (await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})).body["token"]
        again = await service.call("PUT", "leases/d", {"holder": "x", "ttlMs": 5000})
        assert again.body["token"] == first
        assert (await service.call("PUT", "leases/d", {"holder": "y", "ttlMs": 5000})).status == 409
        assert (await service.call("POST", "leases/d/renew", {"holder": "x", "token": first})).status == 200
        verdict = {"well": False, "lease": "d", "token": first}
        response = await service.call("POST", "endpoints/s-1/verdict", verdict)
        assert response.body["lifecycle"] == "draining"
        for _ in range(2):  # a repeated release has no effect
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


class ScriptedClient:
    """A client with scripted answers; None means no answer."""

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

    def random_between(self, least: float, most: float) -> float:
        return least


def test_holder_counts_its_lease_from_sending_and_stops_in_time() -> None:
    async def scenario() -> None:
        clock = [100.0]
        client = ScriptedClient(
            ServiceReply(200, {"token": 4, "ttlMs": 1000.0}), None, ServiceReply(409, {"error": "held by y"})
        )
        lease_holder = LeaseHolder(client, "d", "x", 1000.0, 0.05, lambda: clock[0])
        call = client.call

        async def slow(*args: object) -> ServiceReply:
            clock[0] += 0.3  # time until the service receives the call
            return await call(*args)

        client.call = slow
        assert await lease_holder.acquire_or_renew() == pytest.approx(1 / 3) and lease_holder.token == 4
        clock[0] = 100.94
        assert lease_holder.is_held()
        clock[0] = 100.951  # past 0.95 s after sending: the TTL of 1 s less the drift
        assert not lease_holder.is_held()
        assert (
            await lease_holder.acquire_or_renew() == 0.25 and not lease_holder.is_held()
        )  # no answer: nothing is assumed
        assert await lease_holder.acquire_or_renew() > 0 and not lease_holder.is_held()

    run_on_loop(scenario)


def test_paused_holder_no_longer_holds_its_lease() -> None:
    async def scenario() -> None:
        clock = [0.0]
        lease_holder = LeaseHolder(
            ScriptedClient(ServiceReply(200, {"token": 1})), "d", "x", 1000.0, 0.01, lambda: clock[0]
        )
        await lease_holder.acquire_or_renew()
        assert lease_holder.is_held()
        clock[0] += 60.0  # paused, and resumed in the middle of its work
        assert not lease_holder.is_held()

    run_on_loop(scenario)


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


def test_verdicts_of_a_checker_that_was_paused_are_refused(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        address, checkers = [(LOOP, service.port)], []
        clocks = {"paused": [0.0], "other": [0.0]}
        for name, clock in clocks.items():
            client = ServiceClient(address)
            watch = ListWatch(client, lambda clock=clock: clock[0])
            await watch.ask(0)
            lease_holder = LeaseHolder(client, "checker", name, 5000.0, 0.01, lambda clock=clock: clock[0])

            async def fixed_status(target: object, timeout_s: float, well: bool = name == "other") -> int:
                return 200 if well else 503

            checkers.append(Checker(checker_config(), watch, lease_holder, client, fixed_status))
        paused, other = checkers
        await paused.lease_holder.acquire_or_renew()
        await other.lease_holder.acquire_or_renew()
        assert paused.lease_holder.is_held() and not other.lease_holder.is_held()
        service.ahead_ms += 6000  # the paused process's clock stands still
        for name in ("s-1", "s-2", "s-3"):
            service.store.renew(name, None, service.registry.backend.now())
        await other.lease_holder.acquire_or_renew()
        assert other.lease_holder.is_held() and paused.lease_holder.is_held()  # it has not noticed yet
        await paused.round()
        await other.round()
        assert paused.written == 0 and paused.refused == 3
        assert all(record.lifecycle() == "ready" for record in service.store.records.values())
        await paused.lease_holder.acquire_or_renew()
        assert not paused.lease_holder.is_held()
        for checker in checkers:
            checker._client.close()

    with_service(scenario, tmp_path)


def test_checker_verdicts_take_a_server_out_of_service_and_back(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        await service.register("s-1", "s-2", "s-3")
        client = ServiceClient([(LOOP, service.port)])
        watch, clock = ListWatch(client, lambda: 0.0), [0.0]
        await watch.ask(0)
        lease_holder = LeaseHolder(client, "checker", "c", 5000.0, 0.01, lambda: clock[0])
        await lease_holder.acquire_or_renew()
        answers = {"s-1": 503, "s-2": 200, "s-3": 404}
        asked = []
        ports = {watch.addresses[name]: name for name in watch.addresses}
        # all three have the same address here; the order of the probes tells them apart
        assert len(ports) == 1

        async def scripted_status(target: object, timeout_s: float) -> int:
            asked.append(target)
            return answers[names[len(asked) - 1]]

        names: list[str] = []
        checker = Checker(checker_config(fails=2, passes=2), watch, lease_holder, client, scripted_status)
        check = checker._check_server

        async def recorded_check(name: str) -> None:
            names.append(name)
            await check(name)

        checker._check_server = recorded_check
        await checker.round()
        assert checker.written == 0  # one failure is not enough
        await checker.round()
        assert service.store.records["s-1"].lifecycle() == "draining" and service.store.records["s-3"].well
        answers["s-1"] = 200
        await checker.round()
        await checker.round()
        assert all(record.lifecycle() == "ready" for record in service.store.records.values())
        assert 'checker_verdicts_total{result="written"} 3.0\n' in checker.metrics()
        client.close()

    with_service(scenario, tmp_path)


@pytest.mark.parametrize(
    ("answer", "status"),
    [(reply(b""), 200), (reply(b"", 503), 503), (reply(b"", 404), 404), (b"", 0), (b"nonsense\r\n\r\n", 0)],
)
def test_probe_results(answer: bytes, status: int) -> None:
    async def scenario() -> None:
        server = await FakeHttpServer(lambda seen: answer).start()
        assert await probe((LOOP, server.port), 20) == status
        assert server.seen[0].line == "GET /health HTTP/1.1"
        server.stop()

    run_on_loop(scenario)


def test_refused_or_unanswered_probe_ends_in_time() -> None:
    async def scenario() -> None:
        server = await FakeHttpServer(lambda seen: None).start()
        assert await probe((LOOP, server.port), 0.05) == 0
        server.stop()
        assert await probe((LOOP, 1), 20) == 0

    run_on_loop(scenario)


# --- Clients and the service's failures -------------------------------------------------------------------


def test_watch_continues_across_a_restart_without_a_gap(tmp_path: Path) -> None:
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


def test_service_that_lost_its_files_does_not_empty_its_clients_lists(tmp_path: Path) -> None:
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
def test_invalid_answer_keeps_the_last_list_and_its_age(answer: bytes) -> None:
    async def scenario() -> None:
        good = reply(json.dumps({"generation": 5, "reset": True, "instances": [instance("s-1", 1)]}).encode())
        answers = itertools.chain([good], itertools.repeat(answer))
        server = await FakeHttpServer(lambda seen: next(answers)).start()
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

    run_on_loop(scenario)


def test_client_fails_over_to_the_next_address() -> None:
    async def scenario() -> None:
        server = await FakeHttpServer(lambda seen: reply(b'{"leases":[]}')).start()
        client = ServiceClient([(LOOP, 1), (LOOP, server.port)], random.Random(2))
        client._address_index = 0
        with pytest.raises(NoAnswerError):
            await client.call("GET", "/v1/leases")
        assert 0 <= client.backoff_s() <= 0.1
        assert (await client.call("GET", "/v1/leases")).status == 200 and client.backoff_s() <= 0.1
        client.close()
        server.stop()

    run_on_loop(scenario)


def test_backoff_grows_with_full_jitter_up_to_a_limit() -> None:
    client = ServiceClient([(LOOP, 1)], random.Random(1))
    spans = []
    for failures in (1, 4, 30):
        client._failures = failures
        delays_s = [client.backoff_s() for _ in range(400)]
        spans.append((min(delays_s), max(delays_s)))
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
def test_invalid_service_configuration_stops_the_start_with_one_line(
    tmp_path: Path, change: dict, word: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_fields(tmp_path / "state", **change)))
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
def test_invalid_checker_configuration_stops_the_start_with_one_line(
    tmp_path: Path, change: dict, word: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps({"name": "c", "registry": [f"{LOOP}:1"], "ops": f"{LOOP}:0", "probing": True, **change})
    )
    done = run("yewstage.checker", "--config", str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and word in done.stderr


def test_damaged_log_stops_the_start_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    (tmp_path / "state" / "log").write_bytes(b"something else\n")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_fields(tmp_path / "state")))
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


class ServiceProcess:
    """The real service in its own process, which can be killed and restarted at the same address."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.ops_port = folder, 0, 0

    async def start(self) -> None:
        path = self.folder / "registry.json"
        path.write_text(json.dumps(config_fields(self.folder / "state", listen=f"{LOOP}:{self.port}")))
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


def test_requests_are_served_while_the_service_is_killed_and_restarted(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = ServiceProcess(tmp_path)
        await service.start()
        client = ServiceClient([(LOOP, service.port)])

        class Fleet(GatewayRig):
            async def launch(self) -> None:
                for name, host in zip(("s-0", "s-1"), self.hosts, strict=True):
                    response = await client.call(
                        "PUT", f"/v1/endpoints/{name}", {"hostPort": f"{LOOP}:{host.port}", "ttlMs": 60000}
                    )
                    assert response.status == 200
                self.directory.fake.port = service.port  # where the gateway finds the discovery service
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
            while True:  # until the client has reconnected; the service has its servers again
                try:
                    response = await client.call("GET", "/v1/endpoints")
                    break
                except NoAnswerError:
                    continue
            assert [i["instanceId"] for i in response.body["instances"]] == ["s-0", "s-1"]
            await served(5)
            done = await asyncio.to_thread(run, "plumwall", "drain", "s-0", "--at", f"{LOOP}:{service.port}")
            assert done.returncode == 0 and "draining" in done.stdout
            await rig.wait_for_log("s-0 draining")
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

    run_on_loop(scenario, 60)


def test_checker_process_takes_an_unhealthy_server_out_and_releases_its_lease(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        service = ServiceProcess(tmp_path)
        await service.start()
        client = ServiceClient([(LOOP, service.port)])
        hosts = [
            await FakeHttpServer(lambda seen, n=n: reply(b"", 200 if n else 503)).start() for n in range(3)
        ]
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
            response = await client.call("GET", "/v1/endpoints")
            lifecycles = {i["instanceId"]: i["lifecycle"] for i in response.body["instances"]}
            await asyncio.sleep(0.02)
        (lease,) = (await client.call("GET", "/v1/leases")).body["leases"]
        assert lease["name"] == "checker" and lease["holder"].startswith("c.")
        process.terminate()
        assert await process.wait() == 0
        (lease,) = (await client.call("GET", "/v1/leases")).body["leases"]
        assert lease["holder"] == ""  # released at once, not after its TTL of 30 s
        client.close()
        for host in hosts:
            host.stop()
        service.process.terminate()
        assert await service.process.wait() == 0

    run_on_loop(scenario, 60)
