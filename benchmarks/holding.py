"""What a promise costs: writes a second and the time that one takes, by one process and by three replicas.

    python -m benchmarks.holding [--sync-ms 50] [--writers 64] [--seconds 5] [--watches 5000]

Real processes on loopback; each writer waits for its answer before it writes again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import tempfile
import time
from pathlib import Path

import numpy as np

from plumwall.emulator.process import kill, raise_descriptors, spawn_module
from plumwall.faults.machines import HOST, Machines, hindered
from yewstage.registry.client import Client


async def writes(clients: list[Client], seconds: float) -> tuple[float, list[float]]:
    """Writes a second, and what each took, ms."""
    took: list[float] = []
    until = time.perf_counter() + seconds

    async def one(client: Client, writer: int) -> None:
        number = 0
        while time.perf_counter() < until:
            number += 1
            began = time.perf_counter()
            told = await client.call("PUT", f"/v1/endpoints/w{writer}", {
                "hostPort": f"{HOST}:1", "ttlMs": 60000, "startedAtMs": number})
            assert told.status == 200, told
            took.append((time.perf_counter() - began) * 1000)

    began = time.perf_counter()
    await asyncio.gather(*(one(client, i) for i, client in enumerate(clients)))
    return len(took) / (time.perf_counter() - began), took


def say(name: str, rate: float, took: list[float]) -> None:
    """One line."""
    p50, p99 = np.percentile(took, (50, 99))
    print(f"{name:28} {rate:8.0f} writes/s   p50 {p50:7.2f} ms   p99 {p99:7.2f} ms", flush=True)


async def alone(folder: Path, options: argparse.Namespace) -> None:
    """The list service as one process."""
    config = folder / "registry.json"
    config.write_text(json.dumps({"listen": f"{HOST}:0", "ops": f"{HOST}:0", "folder": str(folder / "alone"),
                                  "settle_ms": 0}))
    process = await spawn_module(*hindered("yewstage.registry", options.sync_ms), "--config", str(config),
                                 stderr=asyncio.subprocess.PIPE)
    while "listening on" not in (line := (await process.stderr.readline()).decode()):
        assert line, "it ended at its start"
    clients = [Client([(HOST, int(line.rsplit(":", 1)[1]))]) for _ in range(options.writers)]
    say("one process", *await writes(clients, options.seconds))
    kill(process)
    await process.wait()


async def copied(folder: Path, options: argparse.Namespace) -> None:
    """Three replicas."""
    async with Machines(folder, 3, sync_ms=options.sync_ms) as machines:
        await machines.init(machines.all)
        await machines.whole()
        leader = await machines.leader()
        clients = [Client([(HOST, leader.listen)]) for _ in range(options.writers)]
        say("three replicas", *await writes(clients, options.seconds))
        status = await machines.status(leader)
        print(f"{'bytes on disk of the leader':28} {status['diskBytes']:,} after index {status['commit']:,}")
        if options.watches:
            await watched(machines, clients[0], options.watches)


async def watched(machines: Machines, writer: Client, count: int) -> None:
    """How long until the last of many watches, spread over all replicas, is told of a write."""
    told = await writer.call("PUT", "/v1/endpoints/watched", {"hostPort": f"{HOST}:1", "ttlMs": 60000})
    path = f"/v1/endpoints?after={told.body['revision']}&wait_ms=60000"
    clients = [Client([(HOST, machines.all[i % 3].listen)]) for i in range(count)]
    at: list[float] = []

    async def one(client: Client) -> None:
        told = await client.call("GET", path, None, 60.0)
        assert told.status == 200 and told.body["instances"], told
        at.append(time.perf_counter())

    tasks: list[asyncio.Task] = []
    for first in range(0, count, 300):  # not all dials at once
        tasks += [asyncio.create_task(one(client)) for client in clients[first:first + 300]]
        while sum([await _held(machine.ops) for machine in machines.all]) < len(tasks):
            await asyncio.sleep(0.05)
            for task in tasks:
                if task.done():
                    task.result()
    began = time.perf_counter()
    await writer.call("POST", "/v1/endpoints/watched/drain", {})
    answered = time.perf_counter()
    await asyncio.gather(*tasks)
    write, last, half = ((t - began) * 1000 for t in (answered, max(at), float(np.median(at))))
    print(f"{count} watches over three: the write took {write:.1f} ms, the last was told {last:.0f} ms after "
          f"it began, half {half:.0f} ms")


async def _held(ops: int) -> float:
    reader, out = await asyncio.open_connection(HOST, ops)
    out.write(b"GET /ops/stats HTTP/1.1\r\n\r\n")
    text = (await reader.read()).decode()
    out.close()
    return float(text.split("\nregistry_watches ", 1)[1].split("\n", 1)[0])


async def main() -> None:
    """Both, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sync-ms", type=float, default=0.0)
    parser.add_argument("--writers", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--watches", type=int, default=0)
    options = parser.parse_args()
    raise_descriptors()
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > options.watches + 1000
    with tempfile.TemporaryDirectory() as folder:
        await alone(Path(folder), options)
        await copied(Path(folder), options)


if __name__ == "__main__":
    asyncio.run(main())
