"""Scenes of the benchmark: hand-written bytes and events, fed directly into the program's protocols.

Every scene of whole requests goes through parser, core and policy as in service, but without sockets. Servers
and services are test doubles that answer in the next iteration of the event loop, so only the work of the
gateway is measured.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from collections.abc import Callable
from types import SimpleNamespace

import uvloop

CONCURRENT_REQUESTS = 16
# Loop.create_connection chooses the test double by the port.
SERVER_PORT, COUNTER_PORT, DISCOVERY_PORT = 8081, 6400, 8500
SMALL_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nBilled-Units: 2\r\n"
    b"X-Load: load_share=0.41,concurrent=3,depth=0\r\nContent-Length: 512\r\n\r\n" + b"x" * 512
)
CLOSING_ANSWER = SMALL_ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
# What the program asks the system about a connection, it asks about this one, whose other end stays open.
CONNECTED_SOCKET, OTHER_END = socket.socketpair()
LONG_PIECE = b"x" * 16384
LONG_PIECES = 16
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (LONG_PIECES * len(LONG_PIECE))
COUNTER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "seed": "8c1f30d27a5be964",
    "discovery": f"127.0.0.1:{DISCOVERY_PORT}",
    "counter": f"127.0.0.1:{COUNTER_PORT}",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": f"s-{i}",
                "hostPort": f"127.0.0.{i + 1}:{SERVER_PORT}",
                "zone": "ab"[i % 2],
                "machineType": "m",
                "cell": i % 3,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for i in range(12)
        ],
    },
    "settings": {
        "grades": [
            {"name": "view", "objective_ms": 1500.0, "deadline_ms": 4000.0, "worth": 1.0, "effect": "safe"},
            {"name": "post", "objective_ms": 1200.0, "deadline_ms": 4000.0, "worth": 3.0, "effect": "unsafe"},
        ],
        "packages": [
            {"name": "team", "refill": 1e6, "burst": 1e6, "worth_factor": 1.0},
            {"name": "small", "refill": 0.001, "burst": 4.0, "worth_factor": 1.0, "over_cost": 1.0},
        ],
        "fleet_size": 3,
        "me": 0,
        "zone": "a",
        "tick_ms": 2.0,
        "clients": {"marks_retry": True},
        "bounds": {
            "try_limit": 6,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_ms": 2000.0,
            "dial_timeout_ms": 250.0,
            "conn_idle_ms": 15000.0,
        },
        "family_info": {"may_count": True, "count_wait_ms": 50.0, "trued_up": True},
    },
}


def request(cls: str = "view", plan: str = "team", body: bytes = b"", customer: int = 1) -> bytes:
    """Build the bytes of one request as a client writes it."""
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: {cls}\r\nPlan: {plan}\r\nX-Deadline: 4000m\r\n"
        f"User-Agent: desk/4.1\r\nAccept: */*\r\n{length}"
        f"Quota-Info: units=2,spread=3,first=0\r\n\r\n"
    ).encode() + body


class Transport:
    """The asyncio transport of a connection to a test double."""

    def __init__(
        self,
        on_write: Callable[[bytes], None],
        on_lost: Callable[[None], None],
        call_soon: Callable[..., object],
    ) -> None:
        self.write, self._on_lost, self._call_soon = on_write, on_lost, call_soon
        self._closing = False

    def abort(self) -> None:
        if not self._closing:
            self._closing = True
            self._call_soon(self._on_lost, None)

    close = abort

    def is_closing(self) -> bool:
        return self._closing

    def get_extra_info(self, name: str) -> socket.socket | None:
        return CONNECTED_SOCKET if name == "socket" else None

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def write_eof(self) -> None:
        pass


class Loop:
    """The event loop of the program; its outgoing connections lead to test doubles."""

    def __init__(self, loop: asyncio.AbstractEventLoop, answers: list[bytes]) -> None:
        self._loop, self._answers = loop, answers
        self.call_later, self.call_soon, self.time = loop.call_later, loop.call_soon, loop.time
        self.create_task = loop.create_task

    async def create_connection(
        self, protocol_factory: Callable, host: str, port: int
    ) -> tuple[Transport, object]:
        protocol = protocol_factory()
        answer = {SERVER_PORT: self._answer_request, COUNTER_PORT: self._answer_count}.get(port, self._ignore)
        transport = Transport(lambda data: answer(protocol, data), protocol.connection_lost, self.call_soon)
        protocol.connection_made(transport)
        return transport, protocol

    def _answer_request(self, protocol: asyncio.Protocol, data: bytes) -> None:
        self.call_soon(self._send_answer_part, protocol, 0)

    def _send_answer_part(self, protocol: asyncio.Protocol, part: int) -> None:
        if not protocol.transport.is_closing():
            protocol.data_received(self._answers[part])
            if part + 1 < len(self._answers):
                self.call_soon(self._send_answer_part, protocol, part + 1)

    def _answer_count(self, protocol: asyncio.Protocol, data: bytes) -> None:
        self.call_soon(protocol.data_received, COUNTER_ANSWER * data.count(b"POST "))

    def _ignore(self, protocol: asyncio.Protocol, data: bytes) -> None:
        pass


class Client:
    """A client that sends the same request repeatedly, on one connection or on a new one each time."""

    def __init__(self, scene: GatewayScene, data: bytes, new_connections: bool) -> None:
        self._scene, self._data, self._new_connections = scene, data, new_connections
        self._protocol: asyncio.Protocol | None = None
        self._received_bytes = 0

    def send_request(self) -> None:
        """Send the request."""
        if self._protocol is None or self._new_connections or self._protocol.transport.is_closing():
            self._protocol = protocol = self._scene.tree.clients.ClientConnection(self._scene.server)
            protocol.connection_made(
                Transport(self._on_write, protocol.connection_lost, self._scene.call_soon)
            )
        self._received_bytes = 0
        self._protocol.data_received(self._data)

    def _on_write(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes >= self._scene.answer_bytes:
            self._scene.answered(self, data)


class GatewayScene:
    """A scene of requests that go through the whole program."""

    def __init__(
        self,
        tree: SimpleNamespace,
        data: bytes,
        answers: list[bytes],
        refused: bool = False,
        new_connections: bool = False,
    ) -> None:
        # A scene of refusals begins with answers 200 until the burst of the plan is used up.
        self.tree, self._allowed_statuses = tree, (b"200", b"503") if refused else (b"200",)
        body = sum(map(len, answers)) - answers[0].index(b"\r\n\r\n")
        self.answer_bytes = 1 if refused else body  # from which on an answer counts as complete
        self._loop = uvloop.new_event_loop()
        self.call_soon = self._loop.call_soon
        loop = Loop(self._loop, answers)
        config = tree.config.parse(CONFIG)
        core = tree.core.Core(config, loop)
        self.server = tree.listener.ClientListener(core, loop, config.sockets)
        self._clients = [Client(self, data, new_connections) for _ in range(CONCURRENT_REQUESTS)]
        self._unstarted = 0
        self._finished: asyncio.Future | None = None
        core.start()

    def run(self, requests: int) -> None:
        """Run so many requests, CONCURRENT_REQUESTS at a time."""
        self._unstarted, self._open = requests, 0
        self._finished = self._loop.create_future()
        for client in self._clients:
            self.call_soon(self._start_next, client)
        self._loop.run_until_complete(self._finished)

    def _start_next(self, client: Client) -> None:
        if self._unstarted > 0:
            self._unstarted -= 1
            self._open += 1
            client.send_request()

    def answered(self, client: Client, data: bytes) -> None:
        """Handle the answer of a client; start its next request, or end the run."""
        self._open -= 1
        if (
            data[:9] == b"HTTP/1.1 "
            and data[9:12] not in self._allowed_statuses
            and not self._finished.done()
        ):
            self._finished.set_exception(AssertionError(f"answered {data[:40]!r}"))
        if self._unstarted:
            self.call_soon(self._start_next, client)
        elif not self._open and not self._finished.done():
            self._finished.set_result(None)

    def close(self) -> None:
        self._loop.close()


class PolicyScene:
    """A scene of the policy alone, in virtual time."""

    def __init__(self, tree: SimpleNamespace, servers: int = 12, gateways: int = 3) -> None:
        self._api = api = tree.api
        settings = dataclasses.replace(tree.config.parse(CONFIG).settings, fleet_size=gateways)
        self._gateway = tree.policy.Gateway(settings, 1)
        self._now, self._serial, self._sweep_at = 1e6, 0, 0.0
        self._gateway.handle(
            self._now,
            api.ServerList("full", tuple(api.Server(f"s-{i}", "ab"[i % 2], i % 3) for i in range(servers))),
        )

    def run(self, requests: int) -> None:
        """Run so many requests, up to 16 in flight, with sweep timers and replies of the counter."""
        api, in_flight = self._api, []
        for _ in range(requests):
            self._now += 5.0
            self._serial += 1
            request_id = f"r{self._serial}"
            self._handle(
                api.Request(request_id, "view", "team", f"c{self._serial % 40}", 4000.0, 2.0, 3, 0), in_flight
            )
            if len(in_flight) > CONCURRENT_REQUESTS:
                sent = in_flight.pop(0)
                self._handle(
                    api.Outcome(
                        sent.request,
                        0,
                        sent.server,
                        api.OK,
                        60.0,
                        True,
                        billed_units=2.0,
                        load_report={"util": 0.4, "inflight": 3, "queue": 0},
                    ),
                    in_flight,
                )
            if self._now >= self._sweep_at:
                self._sweep_at = self._now + 100.0
                self._handle(api.TimerDue("sweep"), in_flight)

    def _handle(self, event: object, in_flight: list) -> None:
        for action in self._gateway.handle(self._now, event):
            if isinstance(action, self._api.Send):
                in_flight.append(action)
            elif isinstance(action, self._api.Count):
                self._handle(self._api.CountReply(action.name, self._api.OK, action.amount, 5.0), in_flight)

    def close(self) -> None:
        pass


SCENES: dict[str, Callable[[SimpleNamespace], GatewayScene | PolicyScene]] = {
    "kept": lambda tree: GatewayScene(tree, request(), [SMALL_ANSWER]),
    "body": lambda tree: GatewayScene(tree, request("post", body=b"y" * 2048), [SMALL_ANSWER]),
    "fresh": lambda tree: GatewayScene(tree, request(), [CLOSING_ANSWER], new_connections=True),
    "long": lambda tree: GatewayScene(
        tree, request(), [LONG_HEAD + LONG_PIECE, *[LONG_PIECE] * (LONG_PIECES - 1)]
    ),
    "refused": lambda tree: GatewayScene(tree, request(plan="small"), [SMALL_ANSWER], refused=True),
    "module": PolicyScene,
    "fleet": lambda tree: PolicyScene(tree, servers=200, gateways=200),
}
