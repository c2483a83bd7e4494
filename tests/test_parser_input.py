"""What a parser holds is bounded, whatever it is a part of: heads, trailers, extensions of chunks."""

from __future__ import annotations

import asyncio
import tracemalloc
from types import SimpleNamespace

import httptools
import pytest
from conftest import FakeHttpServer, message, run_on_loop, silent
from scripted_core import core_with
from test_bodies import CHUNKED
from test_streams import FullTransport

from yewstage.net.client_listener import ClientListener
from yewstage.net.clients import MAX_HEAD_BYTES, ClientConnection
from yewstage.net.http1 import MAX_ANSWER_HEAD_BYTES, Reply, ReplyProtocol
from yewstage.net.parser_input import ParserInput

PIECE_BYTES = 4 * 1024
FIELD_PIECE_BYTES, FIELD_PIECES = 8 * 1024, 12
OBJECT_HEADERS_BYTES = 128  # beside the bytes of a field
CHUNKED_REQUEST = message("put", drop="Content-Length", more=CHUNKED) + b"1\r\nx\r\n"
CHUNKED_REPLY = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
ENDLESS_REQUESTS = {
    "value": message()[:-2] + b"X-Long: ",
    "trailer": CHUNKED_REQUEST + b"0\r\nX-Long: ",
    "extension": CHUNKED_REQUEST + b"1;name=",
}
ENDLESS_REPLIES = {
    "value": b"HTTP/1.1 200 X\r\nX-Long: ",
    "trailer": CHUNKED_REPLY + b"0\r\nX-Long: ",
    "extension": CHUNKED_REPLY + b"1;name=",
}


class RecordingReply(ReplyProtocol):
    """Counts whole answers."""

    def __init__(self) -> None:
        super().__init__()
        self.replies: list[Reply] = []
        self.was_aborted = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        self.replies.append(reply)

    def abort(self) -> None:
        self.was_aborted = True


# Guards against: a field without end filled the memory, as it counted only once it was complete (issue 57).
@pytest.mark.parametrize("part", ENDLESS_REPLIES)
def test_an_answer_with_a_part_without_end_is_given_up(part: str) -> None:
    reply = RecordingReply()
    reply.data_received(ENDLESS_REPLIES[part])
    pieces = 0
    while not reply.was_aborted:
        reply.data_received(b"v" * PIECE_BYTES)
        pieces += 1
        assert pieces * PIECE_BYTES <= MAX_ANSWER_HEAD_BYTES
    assert not reply.replies


# Guards against: the same with requests.
@pytest.mark.parametrize("part", ENDLESS_REQUESTS)
def test_a_request_with_a_part_without_end_is_rejected(monkeypatch: pytest.MonkeyPatch, part: str) -> None:
    async def scenario() -> None:
        core, _ = await core_with(monkeypatch, FakeHttpServer(silent))
        connection = ClientConnection(ClientListener(core, asyncio.get_running_loop(), 100))
        connection.connection_made(FullTransport(connection))
        connection.data_received(ENDLESS_REQUESTS[part])
        pieces = 0
        while not connection._is_closing:
            connection.data_received(b"v" * PIECE_BYTES)
            held_bytes = core.budget.held_bytes_by_purpose()["requests"]
            assert held_bytes >= (pieces + 1) * PIECE_BYTES or connection._is_closing
            pieces += 1
            assert pieces * PIECE_BYTES <= MAX_HEAD_BYTES
        assert not core.budget.held_bytes_by_purpose()["requests"]
        core.stop()

    run_on_loop(scenario)


def test_fields_of_a_trailer_are_not_kept() -> None:
    reply = RecordingReply()
    reply.data_received(CHUNKED_REPLY + b"0\r\nX-Load: inflight=9\r\n\r\n")
    assert reply.replies[0].headers == {b"transfer-encoding": b"chunked"}


def test_input_counts_until_a_later_part_was_passed_on() -> None:
    held = ParserInput(MAX_HEAD_BYTES)
    held.feed(100)
    held.feed(50)
    assert held.bytes == 150
    held.pass_on()  # the end of a head, within the last input
    assert held.bytes == 50
    held.pass_on(30)
    assert held.bytes == 20
    held.feed(MAX_HEAD_BYTES)
    assert held.bytes == MAX_HEAD_BYTES + 20 and held.is_too_long()
    held.clear()
    assert not held.bytes


# Guards against: a parser takes twice the bytes of a field while more of it comes, and counted as once.
def test_what_a_parser_takes_of_an_unfinished_field_is_counted() -> None:
    held = ParserInput(MAX_HEAD_BYTES)
    parser = httptools.HttpResponseParser(SimpleNamespace(on_header=lambda name, value: None))
    head = b"HTTP/1.1 200 OK\r\nX-Long: "
    pieces = [head] + [b"v" * FIELD_PIECE_BYTES for _ in range(FIELD_PIECES)]
    peaks = []
    for piece in pieces:
        held.feed(len(piece))
        tracemalloc.start()  # what was held before is added below
        parser.feed_data(piece)
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    earlier_bytes = held.bytes - len(pieces[-1])
    assert held.bytes < earlier_bytes + peaks[-1] <= held.held_bytes + OBJECT_HEADERS_BYTES
