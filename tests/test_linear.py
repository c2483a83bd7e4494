"""The linearizability checker and the UDP fault proxy."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from conftest import run_on_loop
from hypothesis import given
from hypothesis import strategies as st

from plumwall.faults.linear import NEVER, Call, breach, linearizable
from plumwall.faults.links import UdpFaultProxy
from plumwall.faults.torture import claimed

WHO = ("a", "b", "c")


def honest(seed: int, count: int) -> list[Call]:
    """A linearizable history of one key: each call takes effect at a moment between its begin and its end."""
    rng, owner, calls = random.Random(seed), "", []
    moments = sorted(rng.random() * 10 for _ in range(count))
    for moment in moments:
        asked = rng.choice(["claim", "claim", "release"]), rng.choice(WHO)
        silent = rng.random() < 0.15
        if not (silent and rng.random() < 0.5):  # some calls without an answer never take effect
            owner, told = claimed(owner, asked)
        begun, ended = moment - rng.random(), moment + rng.random()
        calls.append(Call("k", asked, begun) if silent else Call("k", asked, begun, ended, told))
    return calls


@given(st.integers(0, 10**6), st.integers(1, 25))
def test_a_history_that_came_about_in_some_order_is_taken(seed: int, count: int) -> None:
    assert not breach(honest(seed, count), "", claimed)


@given(st.integers(0, 10**6))
def test_two_who_were_both_told_that_it_is_theirs_are_found_and_little_else_is_shown(seed: int) -> None:
    calls = [replace(call, asked=("claim", call.asked[1])) for call in honest(seed, 20)]
    owner, told = "", []
    for call in calls:  # nobody gives it back any more
        owner, state = claimed(owner, call.asked)
        told.append(call if call.ended == NEVER else replace(call, told=state))
    late = max(call.begun for call in told) + 5
    thief = next(who for who in WHO if who != owner)
    wrong = [*told, Call("k", ("claim", thief), late, late + 1, "yours")]
    found = breach(wrong, "", claimed)
    assert found and not linearizable(found, "", claimed)
    answers = [call for call in found if call.ended != NEVER]
    assert answers[-1].asked == ("claim", thief) and len(answers) <= len(wrong)


def test_an_answer_from_before_the_call_is_a_violation() -> None:
    calls = [
        Call("k", ("claim", "a"), 0.0, 1.0, "yours"),
        Call("k", ("release", "a"), 2.0, 3.0, "free"),
        Call("k", ("claim", "b"), 4.0, 5.0, "begun"),
    ]
    assert breach(calls, "", claimed) == calls[1:]  # the release had freed the key, whoever owned it
    late = replace(calls[2], begun=0.5)  # it may have taken effect before the release
    assert not breach([*calls[:2], late], "", claimed)


def test_the_proxy_drops_repeats_holds_and_reorders_datagrams() -> None:
    class Peer(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: list[bytes] = []
            self.event = asyncio.Event()

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = transport

        def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
            self.received.append(data)
            self.event.set()
            if data.startswith(b"ask"):
                self.transport.sendto(b"told " + data, addr)

        async def wait_for(self, count: int) -> None:
            while len(self.received) < count:
                self.event.clear()
                await self.event.wait()

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        far_transport, far = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        near_transport, near = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        link = UdpFaultProxy(far_transport.get_extra_info("sockname")[:2], random.Random(3))
        address = await link.start()
        near_transport.sendto(b"ask 0", address)
        await near.wait_for(1)
        assert near.received == [b"told ask 0"]
        link.backward.lost = 1.0  # the far side receives, and its answers are dropped
        near_transport.sendto(b"ask 1", address)
        await far.wait_for(2)
        while not link.backward.dropped:
            await asyncio.sleep(0)
        link.heal()
        link.forward.repeated, link.forward.holding = 1.0, True
        for i in range(2, 7):
            near_transport.sendto(b"ask %d" % i, address)
        while len(link.forward.held) < 10:
            await asyncio.sleep(0)
        assert len(far.received) == 2
        link.heal()
        await far.wait_for(12)
        released = far.received[2:]
        assert sorted(released) == sorted(b"ask %d" % i for i in range(2, 7) for _ in range(2))
        assert released != sorted(released)
        await near.wait_for(11)
        link.stop()
        far_transport.close()
        near_transport.close()

    run_on_loop(scenario, 20)
