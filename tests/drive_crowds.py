"""Drives gateways with crowds of clients and prints the peaks of their memory; for runs by hand.

Example: PYTHONPATH=.:tests python tests/drive_crowds.py --memory 32 --sockets 1024 slow_upload all:kill

Each argument is a kind of `crowding_client`, some with commas between them, or "all" for all kinds at once,
with a disturbance of `crowd_rig` after a colon. The exit status is 1 if a gateway ended or passed its limit.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import uvloop
from crowd_rig import DISTURBANCES, MB, UPGRADES, CrowdRig, crowd, stand_in_servers
from crowding_client import ALL_KINDS, CROWD_KINDS

from yewstage.net.memory_plan import CONNECTION_BYTES, RESERVED_BYTES

CLIENT_SHARE = 1 / 3  # of the descriptors of one gateway
SOCKET_MEMORY_PATTERN = re.compile(r"skmem:\(r(?P<received>\d+),.*?,w(?P<unsent>\d+)")
BUFFER_INTERVAL_S = 0.3


def bytes_per_counted_byte(rig: CrowdRig, metrics: dict[str, float]) -> float:
    """What a gateway took beside its connections and the reserve, for each byte that it counted."""
    explained = metrics["gateway_memory_rest_bytes"] + RESERVED_BYTES
    explained += metrics["gateway_sockets_peak"] * CONNECTION_BYTES
    return max(rig.peak.highest - explained, 0.0) / max(metrics["gateway_held_bytes_peak"], 1.0)


async def socket_buffers_mb(process_id: int) -> tuple[float, float]:
    """What the system holds in the buffers of a process's sockets, in MB: received and not read, unsent."""
    ss = await asyncio.create_subprocess_exec("ss", "-tmnpH", stdout=asyncio.subprocess.PIPE)
    lines = (await ss.communicate())[0].decode().splitlines()
    received = unsent = 0
    for connection, memory in zip(lines[::2], lines[1::2], strict=False):
        sizes = SOCKET_MEMORY_PATTERN.search(memory)
        if f"pid={process_id}," in connection and sizes:
            received += int(sizes["received"])
            unsent += int(sizes["unsent"])
    return received / MB, unsent / MB


async def most_in_socket_buffers(rig: CrowdRig, seconds: float) -> tuple[float, float]:
    """The largest sum of a gateway's socket buffers in that time."""
    until = time.monotonic() + seconds
    most = (0.0, 0.0)
    while time.monotonic() < until:
        most = max(most, await socket_buffers_mb(rig.process.pid), key=sum)
        await asyncio.sleep(BUFFER_INTERVAL_S)
    return most


async def drive(work: str, arguments: argparse.Namespace) -> bool:
    """Let one crowd loose on each gateway; returns whether all stayed within their memory."""
    kind, _, disturbance = work.partition(":")
    connections = arguments.clients or int(CLIENT_SHARE * arguments.sockets)
    async with AsyncExitStack() as stack:
        ports = await stack.enter_async_context(stand_in_servers())
        rigs = []
        for _ in range(arguments.gateways):
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            rig = CrowdRig(
                folder,
                ports,
                arguments.ballast,
                arguments.servers,
                memory_mb=arguments.memory,
                sockets=arguments.sockets,
            )
            rigs.append(await stack.enter_async_context(rig.hold() if disturbance in UPGRADES else rig))
        if arguments.buffers:
            watched = asyncio.create_task(most_in_socket_buffers(rigs[0], arguments.seconds))
        await asyncio.gather(
            *(crowd(rig, kind, connections, arguments.seconds, disturbance or "none") for rig in rigs)
        )
        has_ended = any(rig.has_ended() for rig in rigs)
        peaks = [rig.peak.highest / MB for rig in rigs]
        is_within = not has_ended and max(peaks) <= arguments.memory
        words = ["ok  " if is_within else "OVER", f"{work:34}", f"{connections} clients"]
        words += [f"at rest {rigs[0].peak.at_rest / MB:.1f}", "peaks", *(f"{peak:.1f}" for peak in peaks)]
        print(*words, "ENDED" if has_ended else "", flush=True)
        if arguments.buffers:
            received_mb, unsent_mb = await watched
            print(f"     socket buffers: at most {received_mb:.1f} MB received, {unsent_mb:.1f} MB unsent")
        if arguments.verbose:
            metrics = await rigs[0].metrics()
            print({name: value for name, value in metrics.items() if "bytes" in name or "bodies" in name})
            print(f"     bytes for each counted one: {bytes_per_counted_byte(rigs[0], metrics):.2f}")
        return is_within


async def main(arguments: argparse.Namespace) -> int:
    works = arguments.work or [*CROWD_KINDS, *(f"{ALL_KINDS}:{name}" for name in DISTURBANCES)]
    within = [await drive(work, arguments) for work in works]
    return 0 if all(within) else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("work", nargs="*")
    parser.add_argument("--memory", type=int, default=32, help="memory_mb of the gateways")
    parser.add_argument("--sockets", type=int, default=1024, help="descriptors of each gateway")
    parser.add_argument("--gateways", type=int, default=1)
    parser.add_argument("--ballast", type=float, default=0.0, help="MB that the gateways hold at rest beside")
    parser.add_argument("--servers", type=int, default=0, help="listed servers; default: 8")
    parser.add_argument("--clients", type=int, default=0, help="default: a third of the descriptors")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--verbose", action="store_true", help="print metrics of the first gateway")
    parser.add_argument("--buffers", action="store_true", help="print its socket buffers; needs ss(8)")
    sys.exit(uvloop.run(main(parser.parse_args())))
