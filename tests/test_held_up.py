"""A gateway that is held up in random turns, under clients that leave in all ways at random moments.

A seed draws the turns, the clients and the servers' answers. Each attempt is judged by the time at which the
system of the server received it, so that delays of the test itself do not count.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from conftest import LOOP, GatewayRig, SeenMessage, message, reply, run_on_loop
from test_departed_clients import WAYS_TO_LEAVE, leave_by_half_close

from yewstage.net.socket_state import seconds_since_last_data

SEEDS = int(os.environ.get("PLUMWALL_SEEDS", "2"))  # more of them for a long run by hand
LENGTH_S = 8.0
REQUESTS_PER_S = 60.0
DEADLINE_MS = 400
LEAVE_AFTER_S = 0.02, 0.11  # a client leaves after a random time in this range without an answer
RUN_S = 0.002, 0.01, 0.03, 0.2  # the process runs for one of these times
STOP_S = 0.005, 0.03, 0.12, 0.4, 0.7  # and is stopped for a random part of one of these
LEFT_SLACK_S = 0.1  # of the rule on attempts for clients that have left
TOLD_SLACK_MS = 150  # of the rule on the deadline passed to a server
CLOCK_STEP_S = 0.01  # of the system's time of the last data


@dataclass
class Traffic:
    """The clients of one gateway, and what servers got of their requests."""

    seed: int
    rig: GatewayRig | None = None
    sent_at: dict[str, float] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    idle: list[socket.socket] = field(default_factory=list)  # open connections whose request was answered
    received: list[tuple[str, float, int]] = field(default_factory=list)  # request, time, ms told to be left

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def answer(self, seen: SeenMessage) -> bytes | None:
        """Behaviour of a server: most requests are served, some refused or never answered."""
        since_s = seconds_since_last_data(seen.writer.get_extra_info("socket"))
        told_ms = int(seen.headers["x-deadline"].removesuffix("m"))
        self.received.append((seen.headers["x-request-id"], time.monotonic() - since_s, told_ms))
        draw = self.rng.random()
        if draw < 0.15:
            return reply(b"", 503, b"X-Not-Run: 1\r\n")
        return None if draw < 0.3 else reply(b"served")

    async def request(self, number: int) -> None:
        """One request of a client, which leaves if there is no answer in time."""
        loop, name = asyncio.get_running_loop(), f"q{number}"
        cls, how = self.rng.choice(["read", "put", "pay"]), self.rng.choice(WAYS_TO_LEAVE)
        wait_s = self.rng.uniform(*LEAVE_AFTER_S)
        client = self.idle.pop() if self.idle and self.rng.random() < 0.6 else await self._connect()
        data = message(cls, rid=name.encode(), deadline=f"{DEADLINE_MS}m", key=cls == "put")
        try:
            await loop.sock_sendall(client, data)
            self.sent_at[name] = time.monotonic()
            async with asyncio.timeout(wait_s):
                answer = await loop.sock_recv(client, 65536)
        except TimeoutError:
            how(client)
            self.left_at[name] = time.monotonic()
            if how is not leave_by_half_close:
                return
            answer = b""
        except OSError:
            answer = b""
        if b" 200 " in answer and b"Connection: close" not in answer:
            self.idle.append(client)
        else:
            client.close()

    async def _connect(self) -> socket.socket:
        client = socket.socket()
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, (LOOP, self.rig.port))
        return client

    async def hold_up(self, until: float) -> None:
        """Stop the process of the gateway again and again."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.choice(RUN_S))
            self.rig.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.choice(STOP_S) * self.rng.random())
            self.rig.process.send_signal(signal.SIGCONT)

    async def play(self) -> None:
        """Send requests for LENGTH_S seconds while the gateway is held up."""
        until = time.monotonic() + LENGTH_S
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.hold_up(until))
            number = 0
            while time.monotonic() < until:
                tasks.create_task(self.request(number))
                number += 1
                await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    def begun_too_late(self) -> list[tuple[str, float]]:
        """Attempts that began after their client had left, with the seconds in between."""
        late = [(name, at - self.left_at[name]) for name, at, _ in self.received if name in self.left_at]
        return [(name, late_s) for name, late_s in late if late_s > LEFT_SLACK_S + CLOCK_STEP_S]

    def told_too_much(self) -> list[tuple[str, float]]:
        """Attempts that told their server more than the client had left, with the milliseconds beyond."""
        beyond = [
            (name, told_ms - (DEADLINE_MS - (at - self.sent_at[name]) * 1000))
            for name, at, told_ms in self.received
            if name in self.sent_at
        ]
        return [(name, ms) for name, ms in beyond if ms > TOLD_SLACK_MS + CLOCK_STEP_S * 1000]

    def timelines(self, names: set[str]) -> list[tuple[object, ...]]:
        """What clients, servers and the gateway's log tell of some requests."""
        return [
            (
                name,
                ("sent", self.sent_at.get(name), "left", self.left_at.get(name)),
                [("received", at, told_ms) for other, at, told_ms in self.received if other == name],
                [line for line in self.rig.log if f" {name} " in line],
            )
            for name in sorted(names)
        ]


# Guards against: requests are sent on for clients that have left, or with more time than is left (issue 39).
@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_a_gateway_held_up_in_random_turns_sends_nothing_for_clients_that_have_left(
    tmp_path: Path, seed: int
) -> None:
    async def scenario() -> None:
        traffic = Traffic(seed)
        async with GatewayRig(tmp_path, *[traffic.answer] * 3) as rig:
            traffic.rig = rig
            await traffic.play()
        assert traffic.received and traffic.left_at
        late, beyond = traffic.begun_too_late(), traffic.told_too_much()
        assert not late and not beyond, (seed, traffic.timelines({name for name, _ in late + beyond}))

    run_on_loop(scenario, 60)
