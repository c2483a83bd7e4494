"""Compare the working tree with a revision: `python -m benchmarks REV`.

Runs of both alternate in this process, so other load on the machine affects both alike. Printed for each
scene: processor time per request at the revision and now, the median of the paired ratios with their
quartiles, and the peak memory per open request. Python does not count allocations, so the traced bytes are
compared.
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

from benchmarks.scenes import CONCURRENT_REQUESTS, SCENES, GatewayScene, PolicyScene
from benchmarks.trees import ROOT, load, revision

WARM_UP_REQUESTS = 200  # requests before the first measurement
TRACED_REQUESTS = 400  # requests of a run with traced memory; few, because tracing is slow


def cpu_us_per_request(scene: GatewayScene | PolicyScene, requests: int) -> float:
    """Measure the processor time per request, in microseconds."""
    gc.collect()
    gc.disable()
    try:
        before = time.thread_time_ns()
        scene.run(requests)
        return (time.thread_time_ns() - before) / requests / 1000
    finally:
        gc.enable()


def peak_bytes_per_request(scene: GatewayScene | PolicyScene) -> float:
    """Measure the peak memory per open request, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        scene.run(TRACED_REQUESTS)
        return (tracemalloc.get_traced_memory()[1] - before) / CONCURRENT_REQUESTS
    finally:
        tracemalloc.stop()


def compare_scene(
    name: str, trees: tuple[SimpleNamespace, SimpleNamespace], rounds: int, requests: int
) -> str:
    """Measure one scene with both trees and return the line to print."""
    scenes = [SCENES[name](tree) for tree in trees]
    for scene in scenes:
        scene.run(WARM_UP_REQUESTS)
    cpu_us: list[list[float]] = [[], []]
    peak_bytes: list[list[float]] = [[], []]
    for round_number in range(rounds):
        for index in (0, 1) if round_number % 2 else (1, 0):
            cpu_us[index].append(cpu_us_per_request(scenes[index], requests))
    for _ in range(3):
        for index in (0, 1):
            peak_bytes[index].append(peak_bytes_per_request(scenes[index]))
    for scene in scenes:
        scene.close()
    low, middle, high = statistics.quantiles([new / old for old, new in zip(*cpu_us, strict=True)], n=4)
    old_us, new_us = map(statistics.median, cpu_us)
    memory_ratios = sorted(new / old for old, new in zip(*peak_bytes, strict=True))
    kib = statistics.median(peak_bytes[1]) / 1024
    return (
        f"{name:8} {old_us:8.1f} us -> {new_us:8.1f} us  x {middle:.3f} ({low:.3f} to {high:.3f})   "
        f"{kib:7.1f} KiB held, x {memory_ratios[1]:.3f} ({memory_ratios[0]:.3f} to {memory_ratios[2]:.3f})"
    )


def profile(name: str, requests: int, lines: int) -> None:
    """Print the functions of the working tree that take the most time of their own."""
    scene = SCENES[name](load(ROOT))
    scene.run(WARM_UP_REQUESTS)
    profiler = cProfile.Profile()
    profiler.runcall(scene.run, requests)
    pstats.Stats(profiler, stream=sys.stdout).sort_stats("tottime").print_stats(lines)
    scene.close()


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__.splitlines()[0])
    parser.add_argument("revision", nargs="?", default="HEAD", help="revision to compare with (HEAD)")
    parser.add_argument("--scenes", default=",".join(SCENES), help="scenes to run, separated by commas")
    parser.add_argument("--rounds", type=int, default=20, help="pairs of runs per scene")
    parser.add_argument("--requests", type=int, default=1500, help="requests per run")
    parser.add_argument(
        "--profile", type=int, metavar="LINES", help="print a profile of so many lines instead"
    )
    options = parser.parse_args()
    logging.disable(logging.WARNING)  # the double of the discovery service never answers, which is logged
    names = options.scenes.split(",")
    unknown = [name for name in names if name not in SCENES]
    if unknown or options.rounds < 2 or options.requests < 1:
        parser.error(f"no scene {unknown[0]!r}" if unknown else "needs two rounds and one request or more")
    if options.profile:
        for name in names:
            profile(name, options.requests, options.profile)
        return
    with revision(options.revision) as folder:
        trees = load(folder), load(ROOT)
        for name in names:
            print(compare_scene(name, trees, options.rounds, options.requests), flush=True)


if __name__ == "__main__":
    main()
