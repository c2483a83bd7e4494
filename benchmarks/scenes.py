"""What the program is fed: bytes and events written down by hand, straight into its protocols; no sockets.

Every scene goes through parser, core and module as a request in service does. The other sides are stand-ins
that answer at the next turn of the loop, so that what is measured is the gateway's own work.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from types import SimpleNamespace

import uvloop

CLIENTS = 16  # requests open at once
HOSTS, COUNTER, DISCOVERY = 8081, 6400, 8500  # ports, by which a stand-in knows what it is
SMALL = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nBilled-Units: 2\r\n"
    b"X-Load: load_share=0.41,concurrent=3,depth=0\r\nContent-Length: 512\r\n\r\n" + b"x" * 512
)
CLOSING = SMALL.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
PIECE = b"x" * 16384
LONG_PIECES = 16
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (LONG_PIECES * len(PIECE))
TOTAL = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "seed": "8c1f30d27a5be964",
    "discovery": f"127.0.0.1:{DISCOVERY}",
    "counter": f"127.0.0.1:{COUNTER}",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": f"s-{i}",
                "hostPort": f"127.0.0.{i + 1}:{HOSTS}",
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
    """One request as a client writes it."""
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: {cls}\r\nPlan: {plan}\r\nX-Deadline: 4000m\r\n"
        f"User-Agent: desk/4.1\r\nAccept: */*\r\n{length}"
        f"Quota-Info: units=2,spread=3,first=0\r\n\r\n"
    ).encode() + body


class Transport:
    """The near end of a connection whose far end is a stand-in."""

    def __init__(
        self, written: Callable[[bytes], None], lost: Callable[[None], None], soon: Callable[..., object]
    ) -> None:
        self.write, self._lost, self._soon = written, lost, soon
        self._closing = False

    def abort(self) -> None:
        if not self._closing:
            self._closing = True
            self._soon(self._lost, None)

    close = abort

    def is_closing(self) -> bool:
        return self._closing

    def get_extra_info(self, name: str) -> None:
        return None

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
    """The program's loop, but whom it dials is a stand-in."""

    def __init__(self, loop: asyncio.AbstractEventLoop, answers: list[bytes]) -> None:
        self._loop, self._answers = loop, answers
        self.call_later, self.call_soon, self.time = loop.call_later, loop.call_soon, loop.time
        self.create_task = loop.create_task

    async def create_connection(self, make: Callable, host: str, port: int) -> tuple[Transport, object]:
        protocol = make()
        answer = {HOSTS: self._serve, COUNTER: self._count}.get(port, self._ignore)
        transport = Transport(lambda data: answer(protocol, data), protocol.connection_lost, self.call_soon)
        protocol.connection_made(transport)
        return transport, protocol

    def _serve(self, protocol: asyncio.Protocol, data: bytes) -> None:
        self.call_soon(self._say, protocol, 0)

    def _say(self, protocol: asyncio.Protocol, n: int) -> None:
        if not protocol.transport.is_closing():
            protocol.data_received(self._answers[n])
            if n + 1 < len(self._answers):
                self.call_soon(self._say, protocol, n + 1)

    def _count(self, protocol: asyncio.Protocol, data: bytes) -> None:
        self.call_soon(protocol.data_received, TOTAL * data.count(b"POST "))

    def _ignore(self, protocol: asyncio.Protocol, data: bytes) -> None:
        pass


class Client:
    """Asks again and again, on one connection or on a new one each time."""

    def __init__(self, scene: Sockets, data: bytes, fresh: bool) -> None:
        self._scene, self._data, self._fresh = scene, data, fresh
        self._protocol: asyncio.Protocol | None = None
        self._got = 0

    def ask(self) -> None:
        if self._protocol is None or self._fresh or self._protocol.transport.is_closing():
            self._protocol = protocol = self._scene.tree.clients.ClientConnection(self._scene.server)
            protocol.connection_made(Transport(self._written, protocol.connection_lost, self._scene.soon))
        self._got = 0
        self._protocol.data_received(self._data)

    def _written(self, data: bytes) -> None:
        self._got += len(data)
        if self._got >= self._scene.longest:
            self._scene.answered(self, data)


class Sockets:
    """Requests that go through the whole program."""

    def __init__(
        self,
        tree: SimpleNamespace,
        data: bytes,
        answers: list[bytes],
        refused: bool = False,
        fresh: bool = False,
    ) -> None:
        self.tree, self._wanted = tree, (b"200", b"503") if refused else (b"200",)  # the first are let in
        body = sum(map(len, answers)) - answers[0].index(b"\r\n\r\n")
        self.longest = 1 if refused else body  # so many bytes are an answer
        self._loop = uvloop.new_event_loop()
        self.soon = self._loop.call_soon
        loop = Loop(self._loop, answers)
        config = tree.config.parse(CONFIG)
        core = tree.core.Core(config, loop)
        self.server = tree.clients.ClientListener(core, loop, config.sockets)
        self._clients = [Client(self, data, fresh) for _ in range(CLIENTS)]
        self._left = 0
        self._over: asyncio.Future | None = None
        core.start()

    def run(self, requests: int) -> None:
        """So many requests, a few at a time."""
        self._left, self._out = requests, 0
        self._over = self._loop.create_future()
        for client in self._clients:
            self.soon(self._next, client)
        self._loop.run_until_complete(self._over)

    def _next(self, client: Client) -> None:
        if self._left > 0:
            self._left -= 1
            self._out += 1
            client.ask()

    def answered(self, client: Client, data: bytes) -> None:
        """A client has its whole answer."""
        self._out -= 1
        if data[:9] == b"HTTP/1.1 " and data[9:12] not in self._wanted and not self._over.done():
            self._over.set_exception(AssertionError(f"answered {data[:40]!r}"))
        if self._left:
            self.soon(self._next, client)
        elif not self._out and not self._over.done():
            self._over.set_result(None)

    def close(self) -> None:
        self._loop.close()


class Module:
    """The decisions alone, on a clock of the scene's own."""

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
        """So many requests, 16 out at once, with sweeps and counts as they come."""
        api, out = self._api, []
        for _ in range(requests):
            self._now += 5.0
            self._serial += 1
            rid = f"r{self._serial}"
            self._give(api.Request(rid, "view", "team", f"c{self._serial % 40}", 4000.0, 2.0, 3, 0), out)
            if len(out) > CLIENTS:
                sent = out.pop(0)
                self._give(
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
                    out,
                )
            if self._now >= self._sweep_at:
                self._sweep_at = self._now + 100.0
                self._give(api.TimerDue("sweep"), out)

    def _give(self, event: object, out: list) -> None:
        for act in self._gateway.handle(self._now, event):
            if isinstance(act, self._api.Send):
                out.append(act)
            elif isinstance(act, self._api.Count):
                self._give(self._api.CountReply(act.name, self._api.OK, act.amount, 5.0), out)

    def close(self) -> None:
        pass


SCENES: dict[str, Callable[[SimpleNamespace], Sockets | Module]] = {
    "kept": lambda tree: Sockets(tree, request(), [SMALL]),
    "body": lambda tree: Sockets(tree, request("post", body=b"y" * 2048), [SMALL]),
    "fresh": lambda tree: Sockets(tree, request(), [CLOSING], fresh=True),
    "long": lambda tree: Sockets(tree, request(), [LONG_HEAD + PIECE, *[PIECE] * (LONG_PIECES - 1)]),
    "refused": lambda tree: Sockets(tree, request(plan="small"), [SMALL], refused=True),
    "module": Module,
    "fleet": lambda tree: Module(tree, servers=200, gateways=200),
}
