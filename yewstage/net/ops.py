"""The operators' address: whether this process can serve, and its figures; one call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.net.stats import DescriptorUse

CALLERS = 16  # places kept for operators, beside all that clients and hosts may take
CALL_S = 5.0  # how long a call may take to come in, and its answer to be read


class Ops:
    """Answers operators however busy the process is."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
        figures: Callable[[], str],
        use: DescriptorUse | None = None,
        pages: Mapping[str, Callable[[], bytes]] | None = None,
    ) -> None:
        """`pages`: what else is told, as JSON, by path."""
        self._ready, self._figures, self._pages = ready, figures, dict(pages or {})
        self._listener = HttpServer(loop, self._answer, ConnectionLimits(CALLERS, CALL_S, CALL_S), use)

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the address, with the port that the system chose for 0."""
        return await self._listener.start(address)

    def stop(self) -> None:
        """End the listener and all calls."""
        self._listener.stop()

    def _answer(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        if call.path not in ("/ops/readiness", "/ops/stats", *self._pages):
            return HttpResponse(404)
        if call.method != "GET":
            return HttpResponse(405)
        if call.path == "/ops/stats":
            return HttpResponse(200, self._figures().encode())
        if call.path in self._pages:
            return HttpResponse(200, self._pages[call.path](), b"application/json")
        return HttpResponse(200, b"ready\n") if self._ready() else HttpResponse(503, b"not ready\n")
