"""What membership costs and how soon it knows, by the protocol's own code under virtual time.

    python -m benchmarks.members [--sizes 12,50,200,1000] [--seed 1] [--minutes 5]

For each size: bytes, letters and processor time of a member a second; a lost member: first and last to know;
a name that comes back; two halves cut apart for 30 s: until all know all again; members held dead that were
there, an hour, at 0, 5 and 20% loss and with 5% of the members standing still for 30 s each minute.
"""

from __future__ import annotations

import argparse
import gc
import time

from plumwall.model.members import HOUR_MS, Net
from yewstage.membership.messages import SUSPECT


def acquainted(size: int, seed: int) -> Net:
    """A fleet whose members all know one another, and have nothing new to tell."""
    net = Net(size, seed)
    for i in range(size):
        net.start(i)
    rows = [seat.swim.own_row for seat in net.seats]
    for seat in net.seats:
        for row in rows:
            seat.swim.merge_known_row(row, net._clock(seat.number))
    net.run(10_000)
    net.found.clear()
    return net


def cost(net: Net, for_ms: float) -> str:
    """Of a member in peace."""
    before = [(seat.sent, seat.letters) for seat in net.seats]
    gc.collect()
    began = time.process_time()
    net.run(for_ms)
    took, span = time.process_time() - began, for_ms / 1000 * len(net.seats)
    sent = sum(seat.sent - b for seat, (b, _) in zip(net.seats, before, strict=True))
    letters = sum(seat.letters - n for seat, (_, n) in zip(net.seats, before, strict=True))
    return f"{sent / span:6.0f} bytes, {letters / span:.2f} letters, {took / span * 1e6:.0f} us a second"


def found_out(net: Net) -> str:
    """A lost member, and one that comes back."""
    began = net.now
    net.kill(5)
    net.run(60_000)
    told = net.told(5, since=began)
    assert len(told) == len(net.seats) - 1, len(told)
    began_again = net.now
    net.start(5)
    back = net.until_agreed(300_000)
    return (
        f"lost: first {(told[0] - began) / 1000:.1f}, last {(told[-1] - began) / 1000:.1f} s; "
        f"back: {back / 1000:.1f} s after {began_again / 1000:.0f}"
    )


def merged(net: Net) -> str:
    """Two halves that were apart for 30 s."""
    half = len(net.seats) // 2
    net.split(range(half), range(half, len(net.seats)))
    net.run(30_000)
    net.links.cut.clear()
    return f"apart for 30 s, one again after {net.until_agreed(600_000) / 1000:.1f} s"


def false(net: Net, minutes: float, loss: float, still: float) -> str:
    """Members held dead, or suspected, that were there, by whoever held so, an hour."""
    net.found.clear()
    net.links.loss = loss
    size, down = len(net.seats), set()
    until = net.now + minutes * 60_000
    while net.now < until:
        for i in net.rng.sample(range(size), round(still * size)):
            net.stall(i, 30_000)
            down.add(i)
        net.run(60_000)
    net.links.loss = 0.0
    hours = minutes * 60_000 / HOUR_MS
    dead, suspected = net.false(down) / hours, net.false(down, SUSPECT) / hours / (size - 1)
    return f"{loss:.0%} lost, {still:.0%} still: {dead:.0f} held dead, {suspected:.1f} suspected an hour"


def main() -> None:
    """All sizes, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="12,50,200,1000")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    for size in map(int, options.sizes.split(",")):
        net = acquainted(size, options.seed)
        print(f"{size} members: {cost(net, 20_000)}", flush=True)
        print(f"  {found_out(net)}\n  {merged(net)}", flush=True)
        for loss, still in ((0.0, 0.0), (0.05, 0.0), (0.2, 0.0), (0.0, 0.05)):
            net = acquainted(size, options.seed)
            print(f"  {false(net, options.minutes, loss, still)}", flush=True)


if __name__ == "__main__":
    main()
