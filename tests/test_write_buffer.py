"""What a transport holds of the data written to it, with real sockets."""

from __future__ import annotations

import asyncio
import socket
import sys
from types import SimpleNamespace

import pytest
from conftest import FakeHttpServer, message, run_on_loop, silent
from scripted_core import core_with
from test_streams import FullTransport

from yewstage import interface as api
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.budget import MemoryBudget
from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import ClientConnection
from yewstage.net.link import Link
from yewstage.net.upload import Upload
from yewstage.net.write_buffer import WriteBuffer

PIECE_BYTES = 64 * 1024
BUFFER_BYTES = 8 * 1024  # of the sockets, so that a piece is written in parts
MB = 2**20


def ignore(*arguments: object) -> None:
    """Do nothing."""


def unread_link(budget: MemoryBudget) -> Link:
    """A connection to a server that reads nothing, until its transport is declared not full."""
    pool = SimpleNamespace(
        budget=budget,
        loop=SimpleNamespace(time=lambda: 0.0),
        observer=SimpleNamespace(on_sent=ignore),
        mark_streaming=ignore,
    )
    link = Link(pool, SimpleNamespace())
    link.transport = UnreadTransport()
    return link


class UnreadTransport:
    """A transport that takes all data and writes nothing while it is full."""

    full = True

    def get_write_buffer_size(self) -> int:
        return 1 if self.full else 0

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        pass


# Guards against: what was written of a piece did not count, though the transport holds the whole piece.
def test_a_piece_counts_whole_until_it_is_written_to_its_end() -> None:
    async def scenario() -> None:
        near, far = socket.socketpair(socket.AF_UNIX)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, sock=near)
        buffer = WriteBuffer()
        piece = b"x" * PIECE_BYTES
        references = sys.getrefcount(piece)
        buffer.write(transport, piece)
        assert 0 < transport.get_write_buffer_size() < PIECE_BYTES  # a part of it is written
        assert sys.getrefcount(piece) > references  # and all of it is held
        assert buffer.held_bytes == PIECE_BYTES
        buffer.write(transport, b"y")
        assert buffer.held_bytes == PIECE_BYTES + 1
        far.setblocking(False)
        left = PIECE_BYTES + 1
        while left:
            left -= len(await asyncio.get_running_loop().sock_recv(far, PIECE_BYTES))
        while transport.get_write_buffer_size():
            await asyncio.sleep(0)
        assert sys.getrefcount(piece) == references
        buffer.write(transport, b"z")
        assert buffer.held_bytes == 0
        transport.close()
        far.close()

    run_on_loop(scenario)


# Guards against: an answer of which the last bytes waited counted as those bytes only.
def test_an_answer_counts_whole_until_it_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        core, script = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        transport = FullTransport(connection)
        connection.connection_made(transport)
        script.plan[api.Request] = []
        connection.data_received(message())
        transport.full = True
        connection.answer(200, b"x" * PIECE_BYTES)
        assert core.budget.held_bytes_by_purpose()["answers"] > PIECE_BYTES
        transport.full = False
        connection.resume_writing()
        assert not core.budget.held_bytes_by_purpose()["answers"]
        core.stop()

    run_on_loop(scenario)


# Guards against: the same of a body that is streamed to a server.
def test_a_part_of_an_upload_counts_whole_until_it_is_written() -> None:
    budget = MemoryBudget(MB, lambda: 0.0)
    upload = Upload(2 * PIECE_BYTES, budget.open_account("uploads"), ignore, ignore, ignore)
    link = unread_link(budget)
    upload.attach(link, b"head")
    upload.feed(b"x" * PIECE_BYTES)
    assert budget.held == PIECE_BYTES + len(b"head") and upload.is_held_back
    link.transport.full = False
    upload.drained()
    assert not budget.held and not upload.is_held_back


# Guards against: a short request that its server does not read was held in a copy that did not count.
def test_a_request_that_is_not_written_at_once_counts_until_it_is() -> None:
    budget = MemoryBudget(MB, lambda: 0.0)
    link = unread_link(budget)
    exchange = SimpleNamespace(payload=b"x" * PIECE_BYTES, upload=None)
    link.begin(exchange)
    assert budget.held == PIECE_BYTES and not exchange.payload
    link.transport.full = False
    link.resume_writing()
    assert not budget.held and not link.has_unsent_data


# Guards against: an attempt that had a connection and was withheld kept its copy until its request ended.
def test_an_attempt_that_has_ended_holds_no_copy_of_its_request() -> None:
    attempt = Attempt("r1", 0, "s-0", b"head", 0.0, None, "put", b"body")
    loop = SimpleNamespace(time=lambda: 0.0, call_soon=ignore)
    runner = AttemptRunner(loop, 1, 250.0, 1000.0, SimpleNamespace(on_ended=ignore))
    attempt.complete_head(1.0)
    assert attempt.payload.endswith(b"body")
    runner._end(attempt, api.START_EXPIRED)
    assert not attempt.payload and attempt.body is None
