"""Load from a process of its own, and what other clients see of it."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from conftest import ROOT, GatewayRig, message

INTERVAL_S = 0.02  # between two requests of the others


@dataclass
class OthersServed:
    """The answers that another client got while the load ran."""

    statuses: list[int] = field(default_factory=list)
    longest_s: float = 0.0


async def others_served(rig: GatewayRig, script: str, *arguments: object) -> OthersServed:
    """Run a script of this folder with the gateway's port and these arguments, and ask until it ends."""
    load = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).parent / script),
        *map(str, (rig.port, *arguments)),
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    served = OthersServed()
    try:
        while load.returncode is None:
            asked_at = time.monotonic()
            served.statuses.append(await rig.status(message(rid=b"other-%d" % len(served.statuses))))
            served.longest_s = max(served.longest_s, time.monotonic() - asked_at)
            await asyncio.sleep(INTERVAL_S)
    finally:
        if load.returncode is None:  # it would go on sending to a port that another test may get
            load.kill()
            await load.wait()
    assert load.returncode == 0
    return served
