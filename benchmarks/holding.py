"""Writes per second and latency of a write, for one process of the list service and for three replicas.

    python -m benchmarks.holding [--sync-ms 50] [--writers 64] [--seconds 5] [--watches 5000] [--keyed 8]
    python -m benchmarks.holding --writes 1000000

Real processes on loopback. The load is closed-loop: each writer waits for its answer before it writes again.
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

from plumwall.emulator.process import kill, raise_descriptor_limit, spawn_module
from plumwall.faults.machines import HOST, Machines, impaired_command
from yewstage.holding.group_names import LIST_GROUP, group_of
from yewstage.registry.client import ServiceClient, ServiceReply


async def write_until_accepted(
    client: ServiceClient, method: str, path: str, body: dict[str, object]
) -> ServiceReply:
    """Send one write, and repeat it while no leader accepts it; the caller counts that time, too."""
    while (reply := await client.call(method, path, body)).status == 503:
        await asyncio.sleep(0.02)
    assert reply.status == 200, reply
    return reply


async def measure_writes(
    clients: list[ServiceClient], seconds: float, first: int = 0
) -> tuple[float, list[float]]:
    """Measure writes: the number per second, and each latency in ms.

    Each write registers its server with a later start time than the one before, counted up from `first`,
    because a record never returns to an earlier start.
    """
    latencies_ms: list[float] = []
    until = time.perf_counter() + seconds

    async def write_repeatedly(client: ServiceClient, writer: int) -> None:
        number = first
        while time.perf_counter() < until:
            number += 1
            began = time.perf_counter()
            await write_until_accepted(
                client,
                "PUT",
                f"/v1/endpoints/w{writer}",
                {"hostPort": f"{HOST}:1", "ttlMs": 60000, "startedAtMs": number},
            )
            latencies_ms.append((time.perf_counter() - began) * 1000)

    began = time.perf_counter()
    await asyncio.gather(*(write_repeatedly(client, i) for i, client in enumerate(clients)))
    return len(latencies_ms) / (time.perf_counter() - began), latencies_ms


def print_result(name: str, rate: float, latencies_ms: list[float]) -> None:
    """Print the result of one setup."""
    p50, p99 = np.percentile(latencies_ms, (50, 99))
    print(f"{name:28} {rate:8.0f} writes/s   p50 {p50:7.2f} ms   p99 {p99:7.2f} ms", flush=True)


async def measure_one_process(folder: Path, options: argparse.Namespace) -> None:
    """Measure the list service as one process."""
    config = folder / "registry.json"
    config.write_text(
        json.dumps(
            {"listen": f"{HOST}:0", "ops": f"{HOST}:0", "folder": str(folder / "alone"), "settle_ms": 0}
        )
    )
    process = await spawn_module(
        *impaired_command("yewstage.registry", options.sync_ms),
        "--config",
        str(config),
        stderr=asyncio.subprocess.PIPE,
    )
    while "listening on" not in (line := (await process.stderr.readline()).decode()):
        assert line, "the list service exited at its start"
    clients = [ServiceClient([(HOST, int(line.rsplit(":", 1)[1]))]) for _ in range(options.writers)]
    print_result("one process", *await measure_writes(clients, options.seconds))
    kill(process)
    await process.wait()


async def measure_claims(
    clients: list[ServiceClient], keyed: int, seconds: float
) -> tuple[float, list[float]]:
    """Measure claims of new keys, each writer in one group: the number per second, and each latency in ms."""
    latencies_ms: list[float] = []
    until = time.perf_counter() + seconds

    async def claim_repeatedly(client: ServiceClient, writer: int) -> None:
        number, group = 0, f"keys-{1 + writer % keyed}"
        while time.perf_counter() < until:
            number += 1
            key = f"w{writer}-{number}"
            if group_of(key, keyed) != group:
                continue
            began = time.perf_counter()
            reply = await write_until_accepted(
                client, "POST", f"/v1/keys/{key}/claim", {"by": "b", "windowMs": 2000.0}
            )
            assert reply.body.get("state") == "yours", reply
            latencies_ms.append((time.perf_counter() - began) * 1000)

    began = time.perf_counter()
    await asyncio.gather(*(claim_repeatedly(client, i) for i, client in enumerate(clients)))
    return len(latencies_ms) / (time.perf_counter() - began), latencies_ms


async def measure_claims_by_groups(folder: Path, options: argparse.Namespace, keyed: int) -> None:
    """Measure claims of keys that are spread over so many groups, on options.machines machines."""
    async with Machines(folder, options.machines, sync_ms=options.sync_ms) as machines:
        await machines.init(machines.all, keyed)
        await machines.wait_until_replicated()
        clients = [machines.client() for _ in range(options.writers)]
        print_result(
            f"keys in {keyed} groups, {options.machines} machines",
            *await measure_claims(clients, keyed, options.seconds),
        )


async def measure_disk_use(folder: Path, options: argparse.Namespace) -> None:
    """Measure the most bytes on a disk during options.writes writes to one group."""
    async with Machines(folder, 3) as machines:
        await machines.init(machines.all)
        await machines.wait_until_replicated()
        leader = await machines.leader()
        clients = [ServiceClient([(HOST, leader.listen)]) for _ in range(options.writers)]
        most_bytes = [0]

        async def poll_disk_use() -> None:
            while True:
                statuses = [await machines.status(machine) for machine in machines.all]
                most_bytes[0] = max(most_bytes[0], *(status.get("diskBytes", 0) for status in statuses))
                await asyncio.sleep(0.2)

        polling, done, began = asyncio.create_task(poll_disk_use()), 0, time.perf_counter()
        while done < options.writes:
            done += len((await measure_writes(clients, 5.0, done))[1])
        took_s = time.perf_counter() - began
        polling.cancel()
        status = await machines.wait_until_replicated()
        print(
            f"{done:,} writes of {options.writers} servers' records in {took_s:.0f} s, index "
            f"{status[LIST_GROUP]['commit']:,}: at the most {most_bytes[0]:,} bytes on a disk"
        )


async def measure_three_replicas(folder: Path, options: argparse.Namespace) -> None:
    """Measure three replicas."""
    async with Machines(folder, 3, sync_ms=options.sync_ms) as machines:
        await machines.init(machines.all)
        await machines.wait_until_replicated()
        leader = await machines.leader()
        clients = [ServiceClient([(HOST, leader.listen)]) for _ in range(options.writers)]
        print_result("three replicas", *await measure_writes(clients, options.seconds))
        status = (await machines.status(leader))["groups"][LIST_GROUP]
        print(f"{'bytes on disk of the leader':28} {status['diskBytes']:,} after index {status['commit']:,}")
        if options.watches:
            await measure_watches(machines, clients[0], options.watches)


async def measure_watches(machines: Machines, writer: ServiceClient, count: int) -> None:
    """Measure the time in which many watches, spread over all replicas, are told of a write."""
    reply = await writer.call("PUT", "/v1/endpoints/watched", {"hostPort": f"{HOST}:1", "ttlMs": 60000})
    path = f"/v1/endpoints?after={reply.body['revision']}&wait_ms=60000"
    clients = [ServiceClient([(HOST, machines.all[i % 3].listen)]) for i in range(count)]
    told_at: list[float] = []

    async def watch(client: ServiceClient) -> None:
        reply = await client.call("GET", path, None, 60.0)
        assert reply.status == 200 and reply.body["instances"], reply
        told_at.append(time.perf_counter())

    tasks: list[asyncio.Task] = []
    for first in range(0, count, 300):  # in parts, so that not all connect at once
        tasks += [asyncio.create_task(watch(client)) for client in clients[first : first + 300]]
        while sum([await _count_watches(machine.ops) for machine in machines.all]) < len(tasks):
            await asyncio.sleep(0.05)
            for task in tasks:
                if task.done():
                    task.result()
    began = time.perf_counter()
    await writer.call("POST", "/v1/endpoints/watched/drain", {})
    answered = time.perf_counter()
    await asyncio.gather(*tasks)
    write, last, half = ((t - began) * 1000 for t in (answered, max(told_at), float(np.median(told_at))))
    print(
        f"{count} watches over three: the write took {write:.1f} ms, the last was told {last:.0f} ms after "
        f"it began, half {half:.0f} ms"
    )


async def _count_watches(ops: int) -> float:
    reader, out = await asyncio.open_connection(HOST, ops)
    out.write(b"GET /ops/stats HTTP/1.1\r\n\r\n")
    text = (await reader.read()).decode()
    out.close()
    return float(text.split("\nregistry_watches ", 1)[1].split("\n", 1)[0])


async def main() -> None:
    """Run all setups, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sync-ms", type=float, default=0.0)
    parser.add_argument("--writers", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--watches", type=int, default=0)
    parser.add_argument("--keyed", type=int, default=0, help="Groups of keys, compared with one group.")
    parser.add_argument(
        "--machines", type=int, default=9, help="Machines over which groups of keys are spread."
    )
    parser.add_argument(
        "--writes", type=int, default=0, help="Writes to one group; nothing else is measured."
    )
    options = parser.parse_args()
    raise_descriptor_limit()
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > options.watches + 1000
    with tempfile.TemporaryDirectory() as folder:
        if options.writes:
            return await measure_disk_use(Path(folder) / "many", options)
        await measure_one_process(Path(folder), options)
        await measure_three_replicas(Path(folder), options)
        for keyed in (1, options.keyed) if options.keyed else ():
            await measure_claims_by_groups(Path(folder) / f"keyed-{keyed}", options, keyed)


if __name__ == "__main__":
    asyncio.run(main())
