"""Compare the working tree with a revision: `python -m benchmarks REV`.

Both run in this process, turn about, so that what the machine does meets both alike. Told for each scene:
processor time of a request at the revision and now, the median of the paired ratios with their quartiles, and
the memory that one open request holds at the most. Python counts no allocations: their sum is compared.
"""

from __future__ import annotations

import argparse
import cProfile
import gc
import logging
import pstats
import statistics
import sys
import time
import tracemalloc
from types import SimpleNamespace

from benchmarks.scenes import CLIENTS, SCENES, Module, Sockets
from benchmarks.trees import ROOT, load, revision

WARM_UP = 200  # requests before anything is measured
TRACED = 400  # requests of a run whose memory is traced, which is slow


def cpu_us(scene: Sockets | Module, requests: int) -> float:
    """Processor time of one request."""
    gc.collect()
    gc.disable()
    try:
        before = time.thread_time_ns()
        scene.run(requests)
        return (time.thread_time_ns() - before) / requests / 1000
    finally:
        gc.enable()


def held_bytes(scene: Sockets | Module) -> float:
    """What one open request holds at the most."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        scene.run(TRACED)
        return (tracemalloc.get_traced_memory()[1] - before) / CLIENTS
    finally:
        tracemalloc.stop()


def paired(name: str, trees: tuple[SimpleNamespace, SimpleNamespace], rounds: int, requests: int) -> str:
    """One line for one scene."""
    scenes = [SCENES[name](tree) for tree in trees]
    for scene in scenes:
        scene.run(WARM_UP)
    costs: list[list[float]] = [[], []]
    held: list[list[float]] = [[], []]
    for n in range(rounds):
        for which in (0, 1) if n % 2 else (1, 0):
            costs[which].append(cpu_us(scenes[which], requests))
    for _ in range(3):
        for which in (0, 1):
            held[which].append(held_bytes(scenes[which]))
    for scene in scenes:
        scene.close()
    low, middle, high = statistics.quantiles([new / old for old, new in zip(*costs, strict=True)], n=4)
    old_us, new_us = map(statistics.median, costs)
    kept = sorted(new / old for old, new in zip(*held, strict=True))
    kib = statistics.median(held[1]) / 1024
    return (
        f"{name:8} {old_us:8.1f} us -> {new_us:8.1f} us  x {middle:.3f} ({low:.3f} to {high:.3f})   "
        f"{kib:7.1f} KiB held, x {kept[1]:.3f} ({kept[0]:.3f} to {kept[2]:.3f})"
    )


def profile(name: str, requests: int, lines: int) -> None:
    """The dearest places of the working tree, by their own time."""
    scene = SCENES[name](load(ROOT))
    scene.run(WARM_UP)
    profiler = cProfile.Profile()
    profiler.runcall(scene.run, requests)
    pstats.Stats(profiler, stream=sys.stdout).sort_stats("tottime").print_stats(lines)
    scene.close()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__.splitlines()[0])
    parser.add_argument("revision", nargs="?", default="HEAD", help="what to compare with (HEAD)")
    parser.add_argument("--scenes", default=",".join(SCENES), help="some of them, by commas")
    parser.add_argument("--rounds", type=int, default=20, help="pairs of runs for each scene")
    parser.add_argument("--requests", type=int, default=1500, help="requests of one run")
    parser.add_argument("--profile", type=int, metavar="LINES", help="show the dearest places instead")
    options = parser.parse_args()
    logging.disable(logging.WARNING)  # the stand-in for discovery never answers
    names = options.scenes.split(",")
    unknown = [name for name in names if name not in SCENES]
    if unknown or options.rounds < 2 or options.requests < 1:
        parser.error(f"no scene {unknown[0]!r}" if unknown else "at least two rounds of one request")
    if options.profile:
        for name in names:
            profile(name, options.requests, options.profile)
        return
    with revision(options.revision) as folder:
        trees = load(folder), load(ROOT)
        for name in names:
            print(paired(name, trees, options.rounds, options.requests), flush=True)


if __name__ == "__main__":
    main()
