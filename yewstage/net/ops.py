"""The operators' address: readiness, metrics and JSON pages over HTTP, one call per connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.net.stats import DescriptorUse

MAX_CONNECTIONS = 16  # reserved for operators, beyond those of clients and servers
CALL_TIMEOUT_S = 5.0  # for receiving a call, and for the caller to read the answer
MAX_CALL_HEAD_BYTES, MAX_CALL_BODY_BYTES = 4 * 1024, 1024


class Ops:
    """Serves operators on connections that clients cannot use up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_ready: Callable[[], bool],
        metrics_text: Callable[[], str],
        use: DescriptorUse | None = None,
        pages: Mapping[str, Callable[[], bytes]] | None = None,
    ) -> None:
        """`pages` maps further paths to functions that return JSON."""
        self._is_ready, self._metrics_text, self._pages = is_ready, metrics_text, dict(pages or {})
        limits = ConnectionLimits(
            MAX_CONNECTIONS,
            CALL_TIMEOUT_S,
            CALL_TIMEOUT_S,
            max_head_bytes=MAX_CALL_HEAD_BYTES,
            max_body_bytes=MAX_CALL_BODY_BYTES,
        )
        self._server = HttpServer(loop, self._answer, limits, use)

    async def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen; returns the bound address, with the actual port where 0 was asked for."""
        return await self._server.start(address)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.stop()

    def _answer(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        if call.path not in ("/ops/readiness", "/ops/stats", *self._pages):
            return HttpResponse(404)
        if call.method != "GET":
            return HttpResponse(405)
        if call.path == "/ops/stats":
            return HttpResponse(200, self._metrics_text().encode())
        if call.path in self._pages:
            return HttpResponse(200, self._pages[call.path](), b"application/json")
        return HttpResponse(200, b"ready\n") if self._is_ready() else HttpResponse(503, b"not ready\n")
