"""What a replica and a gateway on the same machine cost each other.

    python -m benchmarks.beside [--seconds 600] [--shared-core]

Two gateways each run at a full core under closed-loop callers. One has a holding process beside it, on a core
of its own or (--shared-core) on the gateway's, and the groups of that process are written to throughout.
Printed are the latencies of both gateways over the same time, and the number of elections. Real processes on
loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

from plumwall.emulator.process import PROJECT_ROOT, kill, spawn
from plumwall.faults.gateways import GatewayProcess
from plumwall.faults.machines import HOST, Machines

CALLERS_PER_GATEWAY = 16
KEY_GROUPS = 4
REQUEST = (
    b"GET /api/%016x HTTP/1.1\r\nHost: o\r\nX-Request-Id: r%d\r\nX-Class: view\r\nPlan: open\r\n"
    b"X-Deadline: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
)
SETTINGS = {
    "grades": [{"name": "view", "objective_ms": 1500.0, "deadline_ms": 4000.0, "effect": "safe"}],
    "packages": [{"name": "open"}],
    "fleet_size": 1,
    "bounds": {"try_limit": 3, "cancel": True},
}


class _AnsweringConnection(asyncio.Protocol):
    """A server's connection that answers every request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def serve() -> None:
    """Run a server process: print its port, then serve."""
    server = await asyncio.get_running_loop().create_server(_AnsweringConnection, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


async def call(port: int, seconds: float) -> None:
    """Run the callers' process: print the number of answers 200, then p50, p99 and p99.9 in ms."""
    latencies_ms: list[float] = []
    until = time.perf_counter() + seconds

    async def call_repeatedly(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        serial = 0
        while time.perf_counter() < until:
            serial += 1
            began = time.perf_counter()
            writer.write(REQUEST % (number, serial))
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                await reader.readexactly(2)
                latencies_ms.append((time.perf_counter() - began) * 1000)

    await asyncio.gather(*(call_repeatedly(i) for i in range(CALLERS_PER_GATEWAY)))
    p50, p99, p999 = np.percentile(latencies_ms, (50, 99, 99.9))
    print(f"{len(latencies_ms)} {p50:.3f} {p99:.3f} {p999:.3f}", flush=True)


class _Setup:
    """One gateway with its server and its callers, each on a core of its own."""

    def __init__(self, name: str, folder: Path, core: int) -> None:
        self.name, self.folder, self.core = name, folder, core
        self._children: list[asyncio.subprocess.Process] = []

    async def _spawn(self, core: int, *arguments: str) -> asyncio.subprocess.Process:
        child = await spawn(
            [sys.executable, "-m", "benchmarks.beside", *arguments],
            PROJECT_ROOT,
            {**os.environ, "PYTHONPATH": str(PROJECT_ROOT)},
            stdout=asyncio.subprocess.PIPE,
        )
        os.sched_setaffinity(child.pid, {core})
        self._children.append(child)
        return child

    async def start(self) -> None:
        """Start the server and the gateway."""
        server = await self._spawn(self.core + 2, "--serve")
        port = int(await server.stdout.readline())
        raw = {
            "discovery": f"{HOST}:1",
            "seed": "1",
            "limits": {"memory_mb": 192, "sockets": 512},
            "settings": SETTINGS | {"me": 0},
            "known": {
                "generation": 1,
                "reset": True,
                "instances": [
                    {
                        "instanceId": "s",
                        "hostPort": f"{HOST}:{port}",
                        "zone": "a",
                        "machineType": "m",
                        "cell": 0,
                        "lifecycle": "ready",
                        "weight": 100.0,
                        "startedAtMs": 0,
                    }
                ],
            },
        }
        self.gateway = GatewayProcess(self.name, self.folder / self.name, raw)
        await self.gateway.start()
        os.sched_setaffinity(self.gateway.process.pid, {self.core})

    async def run_callers(self, seconds: float) -> list[float]:
        """Run the callers; return the number of answers, then p50, p99 and p99.9 in ms."""
        caller = await self._spawn(
            self.core + 4, "--call", str(self.gateway.listen), "--seconds", str(seconds)
        )
        return [float(word) for word in (await caller.stdout.read()).split()]

    async def stop(self) -> None:
        """Kill all processes."""
        await self.gateway.kill()
        for child in self._children:
            kill(child)
            await child.wait()


async def _write_claims(machines: Machines) -> int:
    """Claim keys of all groups, up to 100 a second, until cancelled."""
    client, number = machines.client(), 0
    while True:
        number += 1
        await client.call("POST", f"/v1/keys/k{number}/claim", {"by": "b", "windowMs": 5000.0})
        await asyncio.sleep(0.01)


async def measure(seconds: float, shared_core: bool) -> None:
    """Measure both gateways at the same time and print the results."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with Machines(folder, 3) as machines:
            await machines.init(machines.all, KEY_GROUPS)
            before = await machines.wait_until_replicated()
            with_replica, without = _Setup("with", folder, 0), _Setup("without", folder, 1)
            for machine, core in zip(machines.all, (0 if shared_core else 6, 7, 7), strict=True):
                os.sched_setaffinity(machine.process.pid, {core})
            terms = {group: status["term"] for group, status in before.items()}
            for setup in (with_replica, without):
                await setup.start()
            writing = asyncio.create_task(_write_claims(machines))
            results = await asyncio.gather(with_replica.run_callers(seconds), without.run_callers(seconds))
            writing.cancel()
            after = {
                group: status["term"] for group, status in (await machines.wait_until_replicated()).items()
            }
            for setup in (with_replica, without):
                await setup.stop()
        for label, (count, p50, p99, p999) in zip(("with a replica", "without"), results, strict=True):
            print(
                f"{label:16} {count / seconds:8.0f} a second   p50 {p50:.2f}   p99 {p99:.2f}   "
                f"p99.9 {p999:.2f} ms"
            )
        elections = sum(after[group] - term for group, term in terms.items())
        print(
            f"{seconds:.0f} s, {'one core' if shared_core else 'cores of their own'}: elections {elections}, "
            f"p99 x {results[0][2] / results[1][2]:.3f}, rate x {results[0][0] / results[1][0]:.3f}"
        )


def main() -> None:
    """Run the benchmark, or the process that an option names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--shared-core", action="store_true")
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--call", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        asyncio.run(serve())
    elif options.call:
        asyncio.run(call(options.call, options.seconds))
    else:
        asyncio.run(measure(options.seconds, options.shared_core))


if __name__ == "__main__":
    main()
