"""Crowds, limits and disturbances that a seed decides; by hand for many seeds, a few of them in the tests.

Example: PYTHONPATH=.:tests python tests/random_crowds.py 1 50

The exit status is 1 if a gateway ended by itself or passed its limit under a seed.
"""

from __future__ import annotations

import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import uvloop
from crowd_rig import DISTURBANCES, MB, REFUSING_PORTS, UPGRADES, CrowdRig, crowd, stand_in_servers
from crowding_client import CROWD_KINDS

CROWD_S = 7.0
LEAST_MB, MOST_MB = 32, 64
MEMORY_FOR_TWO_MB = 64
SOCKETS = (256, 512, 1024)
CLIENT_SHARES = (1 / 6, 1 / 3, 1 / 2)  # of the descriptors
MOST_BALLAST_MB = 3.0
LISTED_SERVERS = (8, 8, 200, 1000)
MOST_KINDS = 8


@dataclass(frozen=True)
class Scenario:
    """What one seed decides."""

    memory_mb: int
    sockets: int
    clients: int
    kinds: str
    disturbance: str
    ballast_mb: float
    listed_servers: int
    has_refusing_servers: bool


def scenario_of(seed: int) -> Scenario:
    """Decide everything by the seed."""
    rng = random.Random(seed)
    disturbance = rng.choice([*DISTURBANCES, *UPGRADES])
    sockets = rng.choice(SOCKETS)
    return Scenario(
        memory_mb=MEMORY_FOR_TWO_MB if disturbance in UPGRADES else rng.choice((LEAST_MB, LEAST_MB, MOST_MB)),
        sockets=sockets,
        clients=int(rng.choice(CLIENT_SHARES) * sockets),
        kinds=",".join(rng.sample(list(CROWD_KINDS), rng.randint(1, MOST_KINDS))),
        disturbance=disturbance,
        ballast_mb=0.0 if disturbance in UPGRADES else rng.uniform(0.0, MOST_BALLAST_MB),
        listed_servers=rng.choice(LISTED_SERVERS),
        has_refusing_servers=rng.random() < 1 / 3,
    )


async def peak_mb(folder: Path, scenario: Scenario, seconds: float = CROWD_S) -> float:
    """Run a scenario; returns the peak of the gateway's memory. Fails if the gateway ends by itself."""
    async with stand_in_servers() as ports:
        if scenario.has_refusing_servers:
            ports += REFUSING_PORTS
        rig = CrowdRig(
            folder,
            ports,
            scenario.ballast_mb,
            scenario.listed_servers,
            memory_mb=scenario.memory_mb,
            sockets=scenario.sockets,
        )
        async with rig.hold() if scenario.disturbance in UPGRADES else rig:
            await crowd(rig, scenario.kinds, scenario.clients, seconds, scenario.disturbance)
            assert not rig.has_ended(), "a gateway ended by itself"
        return rig.peak.highest / MB


async def main(first_seed: int, last_seed: int) -> int:
    over = 0
    for seed in range(first_seed, last_seed + 1):
        scenario = scenario_of(seed)
        with tempfile.TemporaryDirectory() as folder:
            peak = await peak_mb(Path(folder), scenario)
        is_over = peak > scenario.memory_mb
        over += is_over
        print("OVER" if is_over else "ok  ", f"seed {seed}: {peak:.1f} MB", scenario, flush=True)
    print(f"{last_seed - first_seed + 1 - over} passed, {over} failed")
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(uvloop.run(main(int(sys.argv[1]), int(sys.argv[2]))))
