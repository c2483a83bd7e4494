"""The process stays within its configured memory under every crowd, whatever the crowd makes it hold."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import GatewayRig, run_on_loop, serve
from crowd_rig import DISTURBANCES, MB, CrowdRig, crowd, stand_in_servers
from crowding_client import ALL_KINDS, CROWD_KINDS

SMALLEST_MEMORY_MB = 32
CLIENT_SHARE = 1 / 3  # of the descriptors, which clients may hold for their requests
CROWD_S = 4.0
DISTURBED_CROWD_S = 7.0  # two times as long as between two kills, and a start
LIMIT_S = 60.0


def check_memory_limit(folder: Path, kind: str, sockets: int, seconds: float, disturbance: str) -> None:
    """Let a crowd loose on a gateway with the least memory, and compare its peak with that."""

    async def scenario() -> None:
        async with (
            stand_in_servers() as ports,
            CrowdRig(folder, ports, memory_mb=SMALLEST_MEMORY_MB, sockets=sockets) as rig,
        ):
            await crowd(rig, kind, int(CLIENT_SHARE * sockets), seconds, disturbance)
            assert rig.process.returncode is None
            peak_mb = rig.peak.highest / MB
            assert peak_mb <= SMALLEST_MEMORY_MB, f"passed its memory limit: {peak_mb:.1f} MB"

    run_on_loop(scenario, LIMIT_S)


# Guards against: a crowd made the process pass its memory limit, for which the platform kills it.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("kind", CROWD_KINDS)
def test_a_crowd_leaves_the_process_within_the_least_memory(tmp_path: Path, kind: str, sockets: int) -> None:
    check_memory_limit(tmp_path, kind, sockets, CROWD_S, "none")


# Guards against: the same where all kinds come at once, also at a new process and during reconfigurations.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_all_crowds_at_once_leave_the_process_within_the_least_memory(
    tmp_path: Path, disturbance: str, sockets: int
) -> None:
    check_memory_limit(tmp_path, ALL_KINDS, sockets, DISTURBED_CROWD_S, disturbance)


# Guards against: a third of the least memory went to a library that nothing in the process uses.
def test_the_process_loads_no_tls_library(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            mapped = Path(f"/proc/{rig.process.pid}/maps").read_text()
            assert "libpython" in mapped or "python3" in mapped
            assert "libssl" not in mapped and "libcrypto" not in mapped

    run_on_loop(scenario)
