"""A `Core` whose decision module is a script, between the test's clients and one fake server."""

from __future__ import annotations

import asyncio

import pytest
from conftest import GRADES, LOOP, PACKAGES, FakeHttpServer, instance

from yewstage import interface as api
from yewstage.net import core as core_module
from yewstage.net.config import parse
from yewstage.net.core import ClientRequest, Core
from yewstage.net.stats import Process

RESIDENT_BYTES = 25 * 2**20  # of the core's process, whatever the one of the tests holds


class Script:
    """Replaces the decision module: records events and returns the planned actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.events: list[api.Event] = []
        self.plan: dict[type, list[api.Action] | Exception] = {}

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        actions = self.plan.pop(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def connection_limit(self, name: str) -> int:
        return 8

    def may_retry(self, request: str) -> bool:
        return False

    def outcomes(self) -> list[str]:
        return [e.result for e in self.events if isinstance(e, api.Outcome)]


class RecordingClient:
    """A client that records the status of its answers, and that may have left."""

    def __init__(self) -> None:
        self.statuses: asyncio.Queue[int] = asyncio.Queue()
        self.has_left = False

    def has_hung_up(self) -> bool:
        return self.has_left

    def has_disconnected(self) -> bool:
        return self.has_left

    def may_have_left(self) -> bool:
        return False

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        self.statuses.put_nowait(status)


def a_request(deadline_ms: float = 5000) -> ClientRequest:
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


async def core_with(monkeypatch: pytest.MonkeyPatch, fake_server: FakeHttpServer) -> tuple[Core, Script]:
    """A core whose decision module is a script and whose only server is `s-0`. Discovery does not answer."""
    monkeypatch.setattr(core_module, "Gateway", Script)
    monkeypatch.setattr(Process, "memory_bytes", staticmethod(lambda: (RESIDENT_BYTES, RESIDENT_BYTES)))
    await fake_server.start()
    config = parse(
        {
            "listen": f"{LOOP}:0",
            "discovery": f"{LOOP}:{fake_server.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance("s-0", fake_server.port)]},
            "settings": {"grades": GRADES, "packages": PACKAGES, "bounds": {"try_limit": 2}},
        }
    )
    core = Core(config, asyncio.get_running_loop())
    core._apply_list(config.fallback_listing, "kept")
    core.loop_monitor.start()
    return core, core._gateway
