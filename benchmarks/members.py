"""Cost and detection times of the membership protocol, measured on its own code in virtual time.

    python -m benchmarks.members [--sizes 12,50,200,1000] [--seed 1] [--minutes 5]

Printed for each fleet size: bytes, datagrams ("letters") and processor time of a member per second; when the
first and last member know that one is lost; the time until its return is known to all; the time until all
members agree after a 30 s partition into halves; false detections and suspicions per hour at 0, 5 and 20% of
the datagrams lost, and with 5% of the members paused ("still") for 30 s in each minute.
"""

from __future__ import annotations

import argparse
import gc
import time

from plumwall.model.members import HOUR_MS, SimulatedFleet
from yewstage.membership.messages import SUSPECT


def start_fleet(size: int, seed: int) -> SimulatedFleet:
    """Build a fleet whose members all know one another and have no updates left to disseminate."""
    net = SimulatedFleet(size, seed)
    for i in range(size):
        net.start(i)
    rows = [seat.swim.own_row for seat in net.machines]
    for seat in net.machines:
        for row in rows:
            seat.swim.merge_known_row(row, net.local_clock_ms(seat.number))
    net.run(10_000)
    net.observed_changes.clear()
    return net


def measure_cost(net: SimulatedFleet, duration_ms: float) -> str:
    """Measure the cost of a member per second while nothing changes."""
    before = [(seat.bytes_sent, seat.datagrams_sent) for seat in net.machines]
    gc.collect()
    began = time.process_time()
    net.run(duration_ms)
    cpu_s, member_seconds = time.process_time() - began, duration_ms / 1000 * len(net.machines)
    sent = sum(seat.bytes_sent - b for seat, (b, _) in zip(net.machines, before, strict=True))
    datagrams = sum(seat.datagrams_sent - n for seat, (_, n) in zip(net.machines, before, strict=True))
    return (
        f"{sent / member_seconds:6.0f} bytes, {datagrams / member_seconds:.2f} letters, "
        f"{cpu_s / member_seconds * 1e6:.0f} us a second"
    )


def measure_detection(net: SimulatedFleet) -> str:
    """Measure the detection of a lost member, and the time until its return is known."""
    began = net.now_ms
    net.kill(5)
    net.run(60_000)
    told = net.detection_times_ms(5, since=began)
    assert len(told) == len(net.machines) - 1, len(told)
    began_again = net.now_ms
    net.start(5)
    back = net.until_agreed(300_000)
    return (
        f"lost: first {(told[0] - began) / 1000:.1f}, last {(told[-1] - began) / 1000:.1f} s; "
        f"back: {back / 1000:.1f} s after {began_again / 1000:.0f}"
    )


def measure_merge(net: SimulatedFleet) -> str:
    """Measure the time in which a fleet merges after a 30 s partition into halves."""
    half = len(net.machines) // 2
    net.split(range(half), range(half, len(net.machines)))
    net.run(30_000)
    net.links.cut.clear()
    return f"apart for 30 s, one again after {net.until_agreed(600_000) / 1000:.1f} s"


def measure_false_detections(net: SimulatedFleet, minutes: float, loss: float, paused_share: float) -> str:
    """Count false detections and false suspicions, over all observers, per hour.

    `paused_share` is the share of the members that is paused for 30 s in each minute.
    """
    net.observed_changes.clear()
    net.links.loss = loss
    size, paused = len(net.machines), set()
    until = net.now_ms + minutes * 60_000
    while net.now_ms < until:
        for i in net.rng.sample(range(size), round(paused_share * size)):
            net.pause(i, 30_000)
            paused.add(i)
        net.run(60_000)
    net.links.loss = 0.0
    hours = minutes * 60_000 / HOUR_MS
    dead, suspected = (
        net.false_detections(paused) / hours,
        net.false_detections(paused, SUSPECT) / hours / (size - 1),
    )
    return (
        f"{loss:.0%} lost, {paused_share:.0%} still: {dead:.0f} held dead, {suspected:.1f} suspected an hour"
    )


def main() -> None:
    """Run all sizes, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="12,50,200,1000")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    for size in map(int, options.sizes.split(",")):
        net = start_fleet(size, options.seed)
        print(f"{size} members: {measure_cost(net, 20_000)}", flush=True)
        print(f"  {measure_detection(net)}\n  {measure_merge(net)}", flush=True)
        for loss, paused_share in ((0.0, 0.0), (0.05, 0.0), (0.2, 0.0), (0.0, 0.05)):
            net = start_fleet(size, options.seed)
            print(f"  {measure_false_detections(net, options.minutes, loss, paused_share)}", flush=True)


if __name__ == "__main__":
    main()
