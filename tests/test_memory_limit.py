"""The process stays within its configured memory under every crowd, whatever the crowd makes it hold."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from pathlib import Path

import pytest
import random_crowds
from conftest import LOOP, GatewayRig, run_on_loop, serve
from crowd_rig import DISTURBANCES, MB, UPGRADES, CrowdRig, crowd, stand_in_servers
from crowding_client import ALL_KINDS, CROWD_KINDS

from yewstage.net import ops

SMALLEST_MEMORY_MB = 32
CLIENT_SHARE = 1 / 3  # of the descriptors, which clients may hold for their requests
CROWD_S = 4.0
DISTURBED_CROWD_S = 7.0  # two times as long as between two kills, and a start
LIMIT_S = 60.0
MOST_SERVERS = 3200  # of the operators' pages
MEMORY_FOR_TWO_MB = 64
OPERATORS_BYTES = 3 * 10**6  # that each caller sends
OPERATORS_ROUNDS = 3


def check_peak(rig: CrowdRig) -> None:
    """Compare the peak of a gateway's memory with its limit."""
    assert not rig.has_ended()
    peak_mb = rig.peak.highest / MB
    assert peak_mb <= rig.limits["memory_mb"], f"passed its memory limit: {peak_mb:.1f} MB"


def check_memory_limit(
    folder: Path,
    kind: str,
    sockets: int,
    seconds: float,
    disturbance: str = "none",
    memory_mb: int = SMALLEST_MEMORY_MB,
    **options: float,
) -> None:
    """Let a crowd loose on a gateway, by default with the least memory, and compare its peak with that."""

    async def scenario() -> None:
        async with stand_in_servers() as ports:
            rig = CrowdRig(folder, ports, memory_mb=memory_mb, sockets=sockets, **options)
            async with rig.hold() if disturbance in UPGRADES else rig:
                await crowd(rig, kind, int(CLIENT_SHARE * sockets), seconds, disturbance)
                check_peak(rig)

    run_on_loop(scenario, LIMIT_S)


# Guards against: a crowd made the process pass its memory limit, for which the platform kills it.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("kind", CROWD_KINDS)
def test_a_crowd_leaves_the_process_within_the_least_memory(tmp_path: Path, kind: str, sockets: int) -> None:
    check_memory_limit(tmp_path, kind, sockets, CROWD_S)


# Guards against: the same where all kinds come at once, also at a new process and during reconfigurations.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_all_crowds_at_once_leave_the_process_within_the_least_memory(
    tmp_path: Path, disturbance: str, sockets: int
) -> None:
    check_memory_limit(tmp_path, ALL_KINDS, sockets, DISTURBED_CROWD_S, disturbance)


# Guards against: a mixture of clients, limits and signals that no other test has passed the limit.
@pytest.mark.parametrize("seed", range(1, 9))
def test_random_crowds_leave_the_process_within_its_memory(tmp_path: Path, seed: int) -> None:
    async def scenario() -> None:
        decided = random_crowds.scenario_of(seed)
        peak_mb = await random_crowds.peak_mb(tmp_path, decided)
        assert peak_mb <= decided.memory_mb, f"passed its memory limit: {peak_mb:.1f} MB under {decided}"

    run_on_loop(scenario, LIMIT_S)


# Guards against: the list of servers was no part of the plan, so that a long one came on top of it.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("disturbance", ["none", "kill", "sighup", "list"])
def test_the_longest_list_of_servers_leaves_the_process_within_the_least_memory(
    tmp_path: Path, disturbance: str, sockets: int
) -> None:
    check_memory_limit(
        tmp_path, ALL_KINDS, sockets, DISTURBED_CROWD_S, disturbance, listed_servers=MOST_SERVERS
    )


# Guards against: a process whose code takes more memory passed its limit, as on another kind of machine.
@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("ballast_mb", [2.0, 4.0])
def test_a_process_that_holds_more_at_rest_stays_within_the_least_memory(
    tmp_path: Path, ballast_mb: float, sockets: int
) -> None:
    check_memory_limit(tmp_path, ALL_KINDS, sockets, CROWD_S, ballast_mb=ballast_mb)


# Guards against: the two processes of an upgrade together passed the limit.
@pytest.mark.parametrize("sockets", [256, 1024])
def test_the_processes_of_an_upgrade_stay_within_their_memory(tmp_path: Path, sockets: int) -> None:
    check_memory_limit(tmp_path, ALL_KINDS, sockets, DISTURBED_CROWD_S, "upgrade", MEMORY_FOR_TWO_MB)


# Guards against: a limit that was lowered by a new configuration was not known to the process.
def test_a_lower_limit_at_sighup_holds_from_then_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve, memory_mb=MEMORY_FOR_TWO_MB) as rig:
            assert (await rig.metrics())["gateway_memory_limit_bytes"] == MEMORY_FOR_TWO_MB * MB
            rig.config["limits"]["memory_mb"] = SMALLEST_MEMORY_MB
            rig.path.write_text(json.dumps(rig.config))
            rig.process.send_signal(signal.SIGHUP)
            while not (metrics := await rig.metrics())["gateway_cfg_accepted_total"]:
                await asyncio.sleep(0.01)
            assert metrics["gateway_memory_limit_bytes"] == SMALLEST_MEMORY_MB * MB

    run_on_loop(scenario)


# Guards against: calls that were sent at once to the operators' address were all parsed ahead.
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET /ops/stats?a=1&b=2&c=3 HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000,
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 60_000,
        b"GET /" + b"q" * 10**6,
        b"GET /?" + b"a=&" * 10**6,
        b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 10**6,
    ],
    ids=["calls", "queries", "bodies", "chunks", "target", "parameters", "fields"],
)
def test_calls_of_operators_leave_the_process_within_the_least_memory(tmp_path: Path, data: bytes) -> None:
    async def call(rig: CrowdRig) -> None:
        reader, writer = await asyncio.open_connection(LOOP, rig.ops_port)
        writer.write(data * (OPERATORS_BYTES // len(data)))
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()

    async def scenario() -> None:
        async with (
            stand_in_servers() as ports,
            CrowdRig(tmp_path, ports, memory_mb=SMALLEST_MEMORY_MB, sockets=256) as rig,
        ):
            for _ in range(OPERATORS_ROUNDS):
                await asyncio.gather(*[call(rig) for _ in range(2 * ops.MAX_CONNECTIONS)])
            rig.sample()
            check_peak(rig)

    run_on_loop(scenario, LIMIT_S)


# Guards against: a third of the least memory went to a library that nothing in the process uses.
def test_the_process_loads_no_tls_library(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, serve) as rig:
            mapped = Path(f"/proc/{rig.process.pid}/maps").read_text()
            assert "libpython" in mapped or "python3" in mapped
            assert "libssl" not in mapped and "libcrypto" not in mapped

    run_on_loop(scenario)
