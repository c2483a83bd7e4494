"""Long answers outlive an outage of the network: their connections stay open and silent, and then go on."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import LOOP, message, run_on_loop
from test_bodies import ScriptedServerRig, body_of

from yewstage.net import link as link_module
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES
from yewstage.net.link import ANSWER_STALL_S, LONGEST_OUTAGE_S, SHORT_STALL_S, Link
from yewstage.net.pool import SWEEP_INTERVAL_S
from yewstage.net.socket_state import undelivered_bytes

PART = b"x" * 100_000
LIMIT_S = 40.0


# Guards against: a long answer was cut off within an outage after which its server went on (review case 9).
def test_a_long_answer_goes_on_after_an_outage(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def falls_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(PART)) + PART)
            await asyncio.sleep(LONGEST_OUTAGE_S + SWEEP_INTERVAL_S)
            writer.write(PART)

        async with ScriptedServerRig(tmp_path, falls_silent) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            assert await body_of(await reader.readuntil(b"\r\n\r\n"), reader) == 2 * PART
            writer.close()

    run_on_loop(scenario, LIMIT_S)


# Guards against: the periodic check of links ended for good, as a connection was lost in the same turn.
def test_the_check_of_links_outlives_a_connection_that_is_being_lost() -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, LOOP, 0)
        address = server.sockets[0].getsockname()
        transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *address)
        transport.abort()
        for _ in range(3):  # its descriptor is closed in one of these turns
            assert undelivered_bytes(transport) == 0
            await asyncio.sleep(0)
        server.close()

    run_on_loop(scenario)


class SilentTransport:
    """A server connection on which nothing moves."""

    def __init__(self) -> None:
        self.is_aborted = False

    def get_write_buffer_size(self) -> int:
        return 1

    def abort(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize(
    ("has_answer", "headers", "streamed_bytes", "limit_s"),
    [
        (False, {}, 0, SHORT_STALL_S),
        (True, {b"content-length": b"%d" % len(PART)}, 0, ANSWER_STALL_S),
        (True, {}, MAX_BUFFERED_BODY_BYTES, SHORT_STALL_S),
        (True, {}, MAX_BUFFERED_BODY_BYTES + 1, ANSWER_STALL_S),
    ],
    ids=["a body", "a long answer", "short so far, without a length", "long so far, without a length"],
)
def test_a_stream_without_progress_is_given_up_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
    has_answer: bool,
    headers: dict[bytes, bytes],
    streamed_bytes: int,
    limit_s: float,
) -> None:
    assert ANSWER_STALL_S > 2 * LONGEST_OUTAGE_S  # the system sends again after at most that time
    monkeypatch.setattr(link_module, "undelivered_bytes", lambda transport: 1)
    transport = SilentTransport()
    link = Link.__new__(Link)
    link.transport, link._is_paused, link._progress, link._progress_at = transport, False, (0, 0), 0.0
    link.has_unsent_data, link._read_count, link.close_reason = True, 0, ""
    link.exchange = type("Body", (), {"upload": object()})()
    link._stream = object() if has_answer else None
    link._headers, link._streamed_bytes = headers, streamed_bytes
    link._pool = type("Pool", (), {"remove": lambda pool, link: None})()
    link.check_progress(0.0)  # notes what there is
    link.check_progress(limit_s)
    assert not transport.is_aborted
    link.check_progress(limit_s + SWEEP_INTERVAL_S)
    assert transport.is_aborted and link.close_reason == link_module.STALLED
