"""Connection pool: how links to servers are opened, handed out, kept idle and closed, in virtual time."""

from __future__ import annotations

import math
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from conftest import GatewayRig, message, reply, run_on_loop, settings
from virtual import OK, VirtualLoop, VirtualServer

from yewstage import interface as api
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.http1 import Reply
from yewstage.net.link import Source
from yewstage.net.stats import Descriptors
from yewstage.net.waiters import WaiterQueue
from yewstage.policy import Gateway

IDLE_MS = 15000


@dataclass
class Fleet:
    """The connection pool of one gateway, which is the owner of its attempts, and its servers."""

    loop: VirtualLoop = field(default_factory=VirtualLoop)
    max_links: int = 8
    dial_ms: float = 250
    max_links_to: Callable[[str], int] = lambda name: 10**6
    results: list[tuple[str, str]] = field(default_factory=list)
    client_time_left_s: float = math.inf

    def __post_init__(self) -> None:
        self.descriptors = Descriptors()
        self.use = self.descriptors.uses["servers"]
        self.attempt_runner = AttemptRunner(
            self.loop,
            self.max_links,
            self.dial_ms,
            IDLE_MS,
            self,
            self.use,
            max_links_to=self.max_links_to,
            clock_s=lambda: self.loop.now,
            clock_ms=lambda: self.loop.now * 1000,
            rng=random.Random(1),
        )
        self.pool = self.attempt_runner.pool
        self.pool.start()

    def server(self, port: int = 1, **options: object) -> VirtualServer:
        self.pool.update_servers({f"s{port}": ("h", port)}, set())
        return VirtualServer(self.loop, port, **options)

    def send(self, rid: str, port: int = 1, timeout_s: float = 60, class_name: str = "") -> Attempt:
        attempt = Attempt(
            rid, 0, f"s{port}", f"GET /{rid} HTTP/1.1\r\n\r\n".encode(), 0.0, class_name=class_name
        )
        self.attempt_runner.send(attempt, timeout_s)
        return attempt

    def is_client_connected(self, attempt: Attempt) -> bool:
        return True

    def client_waits_until(self, attempt: Attempt) -> float:
        return self.loop.now + self.client_time_left_s

    def after(self, seconds: float) -> Fleet:
        self.loop.run(self.loop.now + seconds)
        return self

    def metric(self, name: str) -> float:
        return self.pool.metrics()[name]

    def closed(self) -> dict[str, int]:
        """Counts of closed links by reason."""
        return {reason: n for reason, n in self.pool.close_counts.items() if n}

    def dialled(self) -> dict[str, int]:
        return {result: n for result, n in self.pool.dial_counts.items() if n}

    def on_sent(self, attempt: Attempt) -> None:
        pass

    def on_stream_started(self, attempt: Attempt, answer: Reply, length: int | None, source: Source) -> Fleet:
        return self

    def write_body(self, data: bytes) -> None:
        pass

    def may_repeat(self, attempt: Attempt) -> bool:
        return True

    def on_ended(self, attempt: Attempt, result: str, answer: Reply | None) -> None:
        self.results.append((attempt.request, result))


def test_links_and_dials_are_counted_by_result() -> None:
    fleet = Fleet()
    fleet.server(1)
    fleet.send("a")
    assert fleet.metric("links_dialling") == 1 and fleet.use.held == 1
    fleet.after(0.005)
    assert [fleet.metric(f"links_{state}") for state in ("open", "idle", "dialling")] == [1, 0, 0]
    fleet.after(0.02)
    assert fleet.results == [("a", api.OK)] and fleet.metric("links_idle") == 1
    fleet.send("b")
    assert fleet.after(0.02).metric("link_reuses_total") == 1 and fleet.dialled() == {"up": 1}
    fleet.after(IDLE_MS / 1000)
    assert fleet.closed() == {"idle_limit": 1} and fleet.use.held == 0
    assert fleet.descriptors.peak == 1


def test_an_attempt_whose_client_has_no_time_left_is_not_written_and_its_link_is_kept() -> None:
    fleet = Fleet()
    server = fleet.server(1)
    fleet.send("late")
    fleet.client_time_left_s = 0.0
    fleet.after(0.005)
    assert fleet.results == [("late", api.START_EXPIRED)] and not server.requests
    assert fleet.metric("links_idle") == 1


@pytest.mark.parametrize(
    ("client_s", "timeout_s", "told_ms"), [(0.3, 2.0, 300), (2.0, 0.3, 300), (0.0004, 2.0, 1)]
)
def test_a_server_is_told_the_lesser_of_what_the_client_and_the_attempt_have_left(
    client_s: float, timeout_s: float, told_ms: int
) -> None:
    fleet = Fleet()
    server = fleet.server(1)
    fleet.send("a")
    fleet.after(0.05)
    fleet.client_time_left_s = client_s
    attempt = Attempt("b", 0, "s1", b"GET /b HTTP/1.1\r\n", 0.0, body=b"")
    fleet.attempt_runner.send(attempt, timeout_s)
    assert server.requests[-1].endswith(b"X-Deadline: %dm\r\n\r\n" % told_ms)


def test_refused_and_silent_dials_release_their_descriptors() -> None:
    fleet = Fleet()
    fleet.server(1).silent = True
    fleet.pool.update_servers({"s2": ("h", 2)}, set())  # no such server
    fleet.send("slow")
    fleet.send("gone", port=2)
    assert fleet.descriptors.held == 2
    fleet.after(0.3)
    assert fleet.dialled() == {"failed": 1, "timed_out": 1}
    assert sorted(fleet.results) == [("gone", api.CONNECT_FAILED), ("slow", api.CONNECT_FAILED)]
    assert fleet.descriptors.held == 0 and fleet.descriptors.peak == 2


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), "not_reusable"),
        (OK + OK, "not_reusable"),
        (OK + b"HTTP/1.1 200", "not_reusable"),
        (b"nonsense", "broke"),
    ],
)
def test_links_that_are_not_reusable_are_closed_with_a_reason(answer: bytes, reason: str) -> None:
    fleet = Fleet()
    fleet.server(1, answer=answer)
    fleet.send("a")
    assert fleet.after(0.05).closed() == {reason: 1}


def test_cancelling_an_attempt_closes_its_link() -> None:
    fleet = Fleet()
    server = fleet.server(1, answer_s=None)
    attempt = fleet.send("a")
    fleet.after(0.01).attempt_runner.cancel(attempt)
    fleet.after(0.01)
    assert fleet.results == [("a", api.CANCELLED)] and fleet.closed() == {"given_up": 1} and not server.links


def test_a_link_dialled_for_a_cancelled_request_is_kept_and_the_request_not_sent() -> None:
    fleet = Fleet()
    server = fleet.server(1, dial_s=0.1)
    attempt = fleet.send("a")
    fleet.after(0.05).attempt_runner.cancel(attempt)
    fleet.after(0.1)
    assert fleet.results == [("a", api.CANCELLED)] and not server.requests
    assert fleet.metric("links_idle") == 1 and not fleet.closed()
    fleet.send("b")
    assert fleet.after(0.02).results[1:] == [("b", api.OK)] and fleet.dialled() == {"up": 1}


def test_an_attempt_is_not_written_after_its_start_deadline() -> None:
    """No retry may start after its key's window, whether the timer or the link comes first."""
    fleet = Fleet()
    server = fleet.server(1, dial_s=0.1, answer_s=0.08)
    attempt = Attempt("late", 1, "s1", b"GET /late HTTP/1.1\r\n\r\n", 0.0)
    fleet.attempt_runner.send(attempt, 60, 0.05)
    fleet.after(0.06)
    assert fleet.results == [("late", api.START_EXPIRED)]
    fleet.after(0.1)  # the link is connected now, and kept idle
    assert not server.requests and fleet.metric("links_idle") == 1
    stalled = Attempt("stalled", 1, "s1", b"GET /stalled HTTP/1.1\r\n\r\n", 0.0)
    fleet.send("a")  # takes the link; a second one is dialled
    fleet.attempt_runner.send(stalled, 60, 0.05)
    stalled.wait_timer.cancel()  # as in a stall of the loop: the link comes before the timer runs
    fleet.after(0.2)
    assert ("stalled", api.START_EXPIRED) in fleet.results and ("a", api.OK) in fleet.results
    fleet.send("b")
    assert fleet.after(0.1).results[-1] == ("b", api.OK) and len(server.requests) == 2


def test_the_deadline_header_has_the_time_left_when_the_request_is_written() -> None:
    """The dial takes 100 of 500 ms. The second request uses the idle link at once and has all 500 ms."""
    fleet = Fleet()
    server = fleet.server(1, dial_s=0.1)
    for rid, body in (("a", b"long"), ("b", b"")):
        fleet.attempt_runner.send(
            Attempt(rid, 0, "s1", b"GET /%b HTTP/1.1\r\n" % rid.encode(), 0.0, body=body), 0.5
        )
        fleet.after(0.2)
    first, second = server.requests
    assert first == b"GET /a HTTP/1.1\r\nX-Deadline: 400m\r\n\r\nlong"
    assert second == b"GET /b HTTP/1.1\r\nX-Deadline: 500m\r\n\r\n"


def test_a_released_link_serves_a_waiter_whose_dial_is_in_progress() -> None:
    fleet = Fleet()
    server = fleet.server(1, answer_s=0.02)
    fleet.send("a")
    fleet.after(0.01)
    server.dial_s = 0.2
    fleet.send("b")
    fleet.after(0.06)
    # b uses the link of a while its own dial is in progress.
    assert fleet.results == [("a", api.OK), ("b", api.OK)]
    assert fleet.after(0.2).metric("links_idle") == 2


def test_a_reset_after_the_request_was_written_is_reported_as_a_reset() -> None:
    fleet = Fleet()
    server = fleet.server(1, answer_s=None)
    fleet.send("a")
    fleet.after(0.01)
    server.links[0].abort()
    fleet.after(0.01)
    assert fleet.results == [("a", api.RESET)] and fleet.closed() == {"broke": 1}


def test_an_idle_link_that_is_lost_fails_no_request() -> None:
    fleet = Fleet()
    server = fleet.server(1)
    fleet.send("a")
    fleet.after(0.05)
    server.links[0].abort()  # between two requests
    fleet.send("b")
    fleet.after(0.05)
    assert [result for _, result in fleet.results] == [api.OK, api.OK] and fleet.closed() == {"died_idle": 1}


def test_unsolicited_bytes_on_an_idle_link_close_it() -> None:
    fleet = Fleet()
    server = fleet.server(1)
    fleet.send("a")
    fleet.after(0.05)
    server.links[0].deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstal")
    assert fleet.after(0.01).closed() == {"not_reusable": 1}
    fleet.send("b")
    assert fleet.after(0.05).results[1:] == [("b", api.OK)]


def test_an_address_change_moves_waiters_and_lets_requests_in_progress_finish() -> None:
    fleet = Fleet(max_links_to=lambda name: 2)
    old = fleet.server(1, answer_s=0.1)
    idle, busy = fleet.send("idle"), fleet.send("busy")
    assert not idle.is_done and not busy.is_done
    fleet.after(0.02)
    waits = fleet.send("waits")
    new = VirtualServer(fleet.loop, 2)
    fleet.pool.update_servers({"s1": ("h", 2)}, set())
    fleet.after(0.02)
    assert waits.is_done and len(new.requests) == 1 and len(old.requests) == 2
    fleet.after(0.1)
    assert all(result == api.OK for _, result in fleet.results) and len(fleet.results) == 3
    assert fleet.closed() == {"server_gone": 2} and not old.links  # not kept idle after their requests


def test_a_restart_closes_all_links_to_the_earlier_process() -> None:
    fleet = Fleet()
    server = fleet.server(1, answer_s=None)
    fleet.send("lost")
    fleet.after(1)
    server.answer_s = 0.01
    fleet.send("a")
    fleet.after(0.1)
    assert fleet.metric("links_idle") == 1
    fleet.pool.update_servers({"s1": ("h", 1)}, set(), {"s1": 2000.0})  # before the new process is dialled
    fleet.after(0.01)
    assert ("lost", api.RESET) in fleet.results and fleet.metric("links_open") == 0
    assert fleet.closed() == {"server_restarted": 1, "server_gone": 1}


def test_a_restart_keeps_a_link_opened_after_it() -> None:
    fleet = Fleet()
    fleet.server(1, answer_s=0.5)
    fleet.after(3)
    fleet.send("a")
    fleet.after(0.1).pool.update_servers({"s1": ("h", 1)}, set(), {"s1": 2000.0})
    assert fleet.after(1).results == [("a", api.OK)]


def test_a_drain_closes_idle_links_and_lets_links_in_use_finish() -> None:
    fleet = Fleet()
    server = fleet.server(1)
    fleet.send("a")
    fleet.after(0.05)
    server.answer_s = 0.2
    fleet.send("b")
    fleet.send("c")
    fleet.after(0.05)
    fleet.pool.update_servers({"s1": ("h", 1)}, set(), draining={"s1"})
    fleet.after(0.5)
    assert [result for _, result in fleet.results] == [api.OK] * 3
    assert fleet.closed() == {"server_drains": 2} and not server.links
    fleet.pool.update_servers({"s1": ("h", 1)}, set())  # the drain is cancelled
    fleet.send("d")
    assert fleet.after(0.5).metric("links_idle") == 1


def test_a_dial_that_times_out_closes_the_idle_links_of_its_server() -> None:
    fleet = Fleet()
    server = fleet.server(1, answer_s=0.01)
    fleet.send("a")
    fleet.send("b")
    fleet.after(0.1)
    server.silent, server.answer_s = True, None
    for rid in "cde":
        fleet.send(rid, timeout_s=10)
    fleet.after(0.15)
    fleet.attempt_runner.cancel(next(iter(fleet.pool._links)).exchange)
    fleet.after(0.2)
    assert fleet.dialled() == {"up": 2, "timed_out": 1} and ("e", api.CONNECT_FAILED) in fleet.results


def test_a_dial_without_a_descriptor_is_no_failure_of_the_server() -> None:
    fleet = Fleet()
    server = fleet.server(1)
    server.error = OSError(24, "Too many open files")
    fleet.send("a")
    fleet.after(0.05)
    assert fleet.results == [("a", api.START_EXPIRED)] and fleet.dialled() == {"no_descriptor": 1}
    assert fleet.use.held == 0


def test_requests_beyond_the_limit_of_a_server_wait_for_a_link_up_to_the_dial_timeout() -> None:
    fleet = Fleet(max_links_to=lambda name: 1)
    server = fleet.server(1, answer_s=0.2)
    first, second, third = (fleet.send(rid) for rid in "abc")
    fleet.after(0.21)
    assert first.is_done and not second.is_done and fleet.metric("links_awaited") == 1
    fleet.after(0.1)
    assert third.result == api.START_EXPIRED and third.cause == "no free link" and not second.is_done
    fleet.after(0.2)
    assert second.result == api.OK and server.peak_links == 1
    assert fleet.metric("link_waits_total") == 2 and fleet.metric("links_awaited") == 0


def test_a_streamed_answer_does_not_count_for_the_limit_of_its_server() -> None:
    fleet = Fleet(max_links_to=lambda name: 1)
    server = fleet.server(1, answer=b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nbegins")
    fleet.send("long")
    fleet.after(0.05)
    server.answer = OK
    fleet.send("short")
    assert fleet.after(0.05).results == [("short", api.OK)] and len(server.links) == 2


def test_waiting_classes_take_turns() -> None:
    fleet = Fleet(max_links_to=lambda name: 1, dial_ms=5000)
    server = fleet.server(1, answer_s=0.05)
    for n in range(6):
        fleet.send(f"view{n}", class_name="view")
    for n in range(2):
        fleet.send(f"post{n}", class_name="post")
    fleet.after(1)
    order = [data.split()[1][1:5].decode() for data in server.requests]
    assert order == ["view", "post", "view", "post", "view", "view", "view", "view"]


def test_a_discarded_waiter_is_not_served_and_blocks_no_other() -> None:
    queue, waiters = (
        WaiterQueue(),
        [Attempt(str(n), 0, "s", b"", 0.0, class_name="ab"[n % 2]) for n in range(4)],
    )
    for waiter in waiters:
        queue.add(waiter)
    assert queue.discard(waiters[0]) and not queue.discard(waiters[0]) and queue.count == 3
    assert [queue.pop() for _ in range(4)] == [waiters[2], waiters[1], waiters[3], None]


def test_idle_links_are_closed_spread_out_and_before_the_servers_idle_limit() -> None:
    fleet = Fleet(max_links=40)
    fleet.server(1, answer_s=0.5)
    for n in range(30):
        fleet.send(str(n))
    fleet.after(1)
    left = [fleet.after(1).metric("links_idle") for _ in range(15)]
    assert left[5] == 30 and left[11] == 0  # after 0.5 to 0.8 of the idle limit
    assert max(a - b for a, b in zip(left, left[1:], strict=False)) < 20


def test_a_lower_limit_closes_idle_links_at_once_and_busy_links_after_their_request() -> None:
    fleet = Fleet(max_links=8)
    quick, slow = fleet.server(1), fleet.server(2, answer_s=0.5)
    for n in range(4):
        fleet.send(f"q{n}", port=1)
        fleet.send(f"s{n}", port=2)
    fleet.after(0.1)
    fleet.pool.set_max_links(2)
    fleet.after(0.01)
    assert len(quick.links) == 0 and len(slow.links) == 4
    fleet.after(1)
    assert len(slow.links) == 2 and fleet.closed() == {"no_room": 6}
    assert len(fleet.results) == 8 and all(result == api.OK for _, result in fleet.results)


def test_two_processes_of_an_upgrade_share_the_limit_on_links() -> None:
    loop = VirtualLoop()
    old, new = Fleet(loop, max_links=4), Fleet(loop, max_links=4)
    server = old.server(1, answer_s=0.05)
    new.pool.update_servers({"s1": ("h", 1)}, set())
    for fleet in (old, new):
        fleet.pool.set_max_links(2)
        for n in range(4):
            fleet.send(str(n))
    loop.run(1)
    assert server.peak_links == 4 and all(len(fleet.results) == 4 for fleet in (old, new))
    old.pool.stop()
    new.pool.set_max_links(4)
    for n in range(4):
        new.send(str(n))
    loop.run(2)
    assert len(server.links) == 4 and new.metric("links_open") == 4


def test_forty_gateways_that_start_together_share_six_servers() -> None:
    loop = VirtualLoop()
    servers = [VirtualServer(loop, port, answer_s=0.1) for port in range(6)]
    fleet = []
    for me in range(40):
        gateway = Gateway(settings(fleet_size=40, gateway_index=me), seed=me)
        gateway.handle(1e6, api.ServerList("full", tuple(api.Server(f"s{port}") for port in range(6))))
        fleet.append(Fleet(loop, max_links=100, max_links_to=gateway.connection_limit))
        fleet[-1].pool.update_servers({f"s{port}": ("h", port) for port in range(6)}, set())
    for gateway in fleet:
        for n in range(24):
            gateway.send(str(n), port=n % 6)
    loop.run(3)
    assert sum(len(gateway.results) for gateway in fleet) == 40 * 24  # every attempt has an outcome
    # One link per gateway and server rather than four, with a few gateways that underestimate how many others
    # are connected to a server.
    assert 240 <= len(loop.dials) <= 260 and all(40 <= server.peak_links <= 44 for server in servers)
    results = [result for gateway in fleet for _, result in gateway.results]
    assert results.count(api.OK) >= 3 * 240 and set(results) == {api.OK, api.START_EXPIRED}


def test_removing_a_server_fails_its_waiters_and_no_other_request() -> None:
    fleet = Fleet(max_links_to=lambda name: 1)
    fleet.server(1, answer_s=0.05)
    fleet.server(2, answer_s=0.05)
    out, waits = fleet.send("out", port=2), fleet.send("waits", port=2)
    fleet.after(0.01)
    fleet.pool.update_servers({}, {"s2"})
    assert waits.result == api.CONNECT_FAILED and waits.cause == "server removed from the list"
    fleet.send("late", port=2)
    assert fleet.results[-1] == ("late", api.CONNECT_FAILED)
    fleet.send("other", port=1)
    fleet.after(0.1)
    assert (
        out.result == api.OK
        and fleet.results[-1] == ("other", api.OK)
        and fleet.pool.server_names() == {"s1"}
    )


PROCESS_METRICS = (
    "process_cpu_seconds_total",
    "process_resident_memory_bytes",
    "process_open_fds",
    "process_max_fds",
    "process_start_time_seconds",
)


def test_the_metrics_have_the_cost_of_the_process_and_the_uses_of_its_sockets(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, lambda seen: reply(b"ok")) as rig:
            reader, writer = await rig.connect()
            for _ in range(3):
                writer.write(message())
                await reader.readuntil(b"ok")
            metrics = await rig.metrics()
            assert all(metrics[name] > 0 for name in PROCESS_METRICS)
            uses = {
                use: metrics[f'gateway_descriptors{{use="{use}"}}']
                for use in ("clients", "servers", "counter", "discovery", "ops")
            }
            assert uses == {"clients": 1, "servers": 1, "counter": 4, "discovery": 1, "ops": 1}
            assert metrics["process_open_fds"] > sum(uses.values())
            assert metrics['gateway_dials_total{result="up"}'] == 1
            assert metrics["gateway_link_reuses_total"] == 2 and metrics["gateway_links_idle"] == 1
            writer.close()
            rig.process.terminate()
            line = await rig.wait_for_log("ended:")
            assert re.search(
                r"ended: 3 requests, \d+ us CPU for each, at the most [\d.]+ MB and \d+ "
                r"sockets, 1 dials to servers",
                line,
            )

    run_on_loop(scenario)
