"""What is held of servers' answers stays within the memory budget, however many of them are incomplete."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from conftest import LOOP, run_on_loop

from yewstage.net.budget import LARGE_SHARE, MemoryBudget
from yewstage.net.http1 import Reply
from yewstage.net.link import ANSWER_HEADERS, Link
from yewstage.net.pool import Pool, PooledServer

BUDGET_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 X\r\n"
FIELD = b"X-Long: " + b"v" * 1000 + b"\r\n"


class Reader:
    """Receives a streamed answer."""

    def __init__(self) -> None:
        self.data = b""

    def write_body(self, data: bytes) -> None:
        self.data += data


class Observer:
    """Records what links report."""

    def __init__(self) -> None:
        self.readers: list[Reader] = []
        self.replies: list[Reply] = []

    def may_repeat(self, exchange: object) -> bool:
        return True

    def on_stream_started(self, link: Link, exchange: object, reply: Reply, length: int | None) -> Reader:
        self.readers.append(Reader())
        return self.readers[-1]

    def on_reply(self, exchange: object, reply: Reply) -> None:
        self.replies.append(reply)

    def on_link_lost(self, exchange: object, is_unsent: bool, cause: str) -> None:
        pass


class LinkTransport:
    """A transport that can be paused and aborted."""

    def __init__(self) -> None:
        self.was_aborted = False

    def is_closing(self) -> bool:
        return self.was_aborted

    def abort(self) -> None:
        self.was_aborted = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_extra_info(self, name: str) -> None:
        return None


def link_of(pool: Pool) -> Link:
    """A link that awaits an answer."""
    link = Link(pool, PooledServer("s-0", (LOOP, 1), 0.0))
    link.transport, link.exchange = LinkTransport(), SimpleNamespace(upload=None, head_received_at=None)
    return link


def pool_with(observer: Observer) -> Pool:
    loop = asyncio.get_running_loop()
    return Pool(loop, 8, 250, 15000, observer, budget=MemoryBudget(BUDGET_BYTES, loop.time))


# Guards against: answers whose heads were incomplete were counted, and nothing kept them within the memory.
@pytest.mark.parametrize("piece", [FIELD, b"v" * 1000], ids=["fields", "value"])
def test_heads_of_answers_stay_within_the_budget(piece: bytes) -> None:
    async def scenario() -> None:
        pool = pool_with(Observer())
        links = [link_of(pool) for _ in range(8)]
        for _ in range(20):
            for link in links:
                if not link.transport.was_aborted:
                    link.get_buffer(-1)
                    link.data_received((b"" if link.has_begun else HEAD + b"X-Long: ") + piece)
                assert pool.budget.held <= BUDGET_BYTES
        assert any(link.transport.was_aborted for link in links)
        assert pool.budget.refused_count == sum(link.transport.was_aborted for link in links)

    run_on_loop(scenario)


# Guards against: the same with the bodies of short answers.
def test_a_short_answer_without_room_is_streamed() -> None:
    async def scenario() -> None:
        observer = Observer()
        pool = pool_with(observer)
        pool.budget.open_account("requests").set(int(LARGE_SHARE * BUDGET_BYTES))
        link = link_of(pool)
        link.get_buffer(-1)
        link.data_received(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 10_000)
        assert observer.readers[0].data == b"x" * 10_000
        assert pool.budget.held <= BUDGET_BYTES
        link.get_buffer(-1)
        link.data_received(b"x" * 10_000)
        assert len(observer.readers[0].data) == 20_000 and len(observer.replies) == 1
        assert not pool.budget.held_bytes_by_purpose()["answers"]

    run_on_loop(scenario)


def test_only_the_headers_that_are_read_are_kept() -> None:
    async def scenario() -> None:
        observer = Observer()
        link = link_of(pool_with(observer))
        link.get_buffer(-1)
        wanted = b"".join(b"%b: 1\r\n" % name for name in ANSWER_HEADERS - {b"transfer-encoding"})
        link.data_received(HEAD + FIELD + wanted + b"\r\nx")
        assert set(observer.replies[0].headers) == ANSWER_HEADERS - {b"transfer-encoding"}

    run_on_loop(scenario)
