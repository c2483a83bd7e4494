"""What a promise costs: writes a second and the time that one takes, by one process and by three replicas.

    python -m benchmarks.holding [--sync-ms 50] [--writers 64] [--seconds 5] [--watches 5000] [--keyed 8]
    python -m benchmarks.holding --writes 1000000

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
from yewstage.holding.group_names import LIST_GROUP, group_of
from yewstage.registry.client import ServiceClient, ServiceReply


async def until_done(client: ServiceClient, method: str, path: str, body: dict[str, object]) -> ServiceReply:
    """One write, asked again while no leader says yes: that time counts, too."""
    while (told := await client.call(method, path, body)).status == 503:
        await asyncio.sleep(0.02)
    assert told.status == 200, told
    return told


async def writes(clients: list[ServiceClient], seconds: float, first: int = 0) -> tuple[float, list[float]]:
    """Writes a second, and what each took, ms; lives are numbered behind `first`, for no life goes back."""
    took: list[float] = []
    until = time.perf_counter() + seconds

    async def one(client: ServiceClient, writer: int) -> None:
        number = first
        while time.perf_counter() < until:
            number += 1
            began = time.perf_counter()
            await until_done(
                client,
                "PUT",
                f"/v1/endpoints/w{writer}",
                {"hostPort": f"{HOST}:1", "ttlMs": 60000, "startedAtMs": number},
            )
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
    config.write_text(
        json.dumps(
            {"listen": f"{HOST}:0", "ops": f"{HOST}:0", "folder": str(folder / "alone"), "settle_ms": 0}
        )
    )
    process = await spawn_module(
        *hindered("yewstage.registry", options.sync_ms),
        "--config",
        str(config),
        stderr=asyncio.subprocess.PIPE,
    )
    while "listening on" not in (line := (await process.stderr.readline()).decode()):
        assert line, "it ended at its start"
    clients = [ServiceClient([(HOST, int(line.rsplit(":", 1)[1]))]) for _ in range(options.writers)]
    say("one process", *await writes(clients, options.seconds))
    kill(process)
    await process.wait()


async def claims(clients: list[ServiceClient], keyed: int, seconds: float) -> tuple[float, list[float]]:
    """Claims of new keys a second, each writer in one group, and what each took, ms."""
    took: list[float] = []
    until = time.perf_counter() + seconds

    async def one(client: ServiceClient, writer: int) -> None:
        number, mine = 0, f"keys-{1 + writer % keyed}"
        while time.perf_counter() < until:
            number += 1
            key = f"w{writer}-{number}"
            if group_of(key, keyed) != mine:
                continue
            began = time.perf_counter()
            told = await until_done(client, "POST", f"/v1/keys/{key}/claim", {"by": "b", "windowMs": 2000.0})
            assert told.body.get("state") == "yours", told
            took.append((time.perf_counter() - began) * 1000)

    began = time.perf_counter()
    await asyncio.gather(*(one(client, i) for i, client in enumerate(clients)))
    return len(took) / (time.perf_counter() - began), took


async def split(folder: Path, options: argparse.Namespace, keyed: int) -> None:
    """Keys over so many groups, on nine machines."""
    async with Machines(folder, options.machines, sync_ms=options.sync_ms) as machines:
        await machines.init(machines.all, keyed)
        await machines.wait_until_replicated()
        clients = [machines.client() for _ in range(options.writers)]
        say(
            f"keys in {keyed} groups, {options.machines} machines",
            *await claims(clients, keyed, options.seconds),
        )


async def many(folder: Path, options: argparse.Namespace) -> None:
    """So many writes to one group, and what the disks hold meanwhile."""
    async with Machines(folder, 3) as machines:
        await machines.init(machines.all)
        await machines.wait_until_replicated()
        leader = await machines.leader()
        clients = [ServiceClient([(HOST, leader.listen)]) for _ in range(options.writers)]
        most = [0]

        async def look() -> None:
            while True:
                told = [await machines.status(machine) for machine in machines.all]
                most[0] = max(most[0], *(status.get("diskBytes", 0) for status in told))
                await asyncio.sleep(0.2)

        looking, done, began = asyncio.create_task(look()), 0, time.perf_counter()
        while done < options.writes:
            done += len((await writes(clients, 5.0, done))[1])
        took_s = time.perf_counter() - began
        looking.cancel()
        status = await machines.wait_until_replicated()
        print(
            f"{done:,} writes of {options.writers} servers' records in {took_s:.0f} s, index "
            f"{status[LIST_GROUP]['commit']:,}: at the most {most[0]:,} bytes on a disk"
        )


async def copied(folder: Path, options: argparse.Namespace) -> None:
    """Three replicas."""
    async with Machines(folder, 3, sync_ms=options.sync_ms) as machines:
        await machines.init(machines.all)
        await machines.wait_until_replicated()
        leader = await machines.leader()
        clients = [ServiceClient([(HOST, leader.listen)]) for _ in range(options.writers)]
        say("three replicas", *await writes(clients, options.seconds))
        here = (await machines.status(leader))["groups"][LIST_GROUP]
        print(f"{'bytes on disk of the leader':28} {here['diskBytes']:,} after index {here['commit']:,}")
        if options.watches:
            await watched(machines, clients[0], options.watches)


async def watched(machines: Machines, writer: ServiceClient, count: int) -> None:
    """How long until the last of many watches, spread over all replicas, is told of a write."""
    told = await writer.call("PUT", "/v1/endpoints/watched", {"hostPort": f"{HOST}:1", "ttlMs": 60000})
    path = f"/v1/endpoints?after={told.body['revision']}&wait_ms=60000"
    clients = [ServiceClient([(HOST, machines.all[i % 3].listen)]) for i in range(count)]
    at: list[float] = []

    async def one(client: ServiceClient) -> None:
        told = await client.call("GET", path, None, 60.0)
        assert told.status == 200 and told.body["instances"], told
        at.append(time.perf_counter())

    tasks: list[asyncio.Task] = []
    for first in range(0, count, 300):  # not all dials at once
        tasks += [asyncio.create_task(one(client)) for client in clients[first : first + 300]]
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
    print(
        f"{count} watches over three: the write took {write:.1f} ms, the last was told {last:.0f} ms after "
        f"it began, half {half:.0f} ms"
    )


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
    parser.add_argument("--keyed", type=int, default=0, help="Groups of keys, beside one.")
    parser.add_argument("--machines", type=int, default=9, help="Over which groups of keys are spread.")
    parser.add_argument("--writes", type=int, default=0, help="So many to one group, and nothing else.")
    options = parser.parse_args()
    raise_descriptors()
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > options.watches + 1000
    with tempfile.TemporaryDirectory() as folder:
        if options.writes:
            return await many(Path(folder) / "many", options)
        await alone(Path(folder), options)
        await copied(Path(folder), options)
        for keyed in (1, options.keyed) if options.keyed else ():
            await split(Path(folder) / f"keyed-{keyed}", options, keyed)


if __name__ == "__main__":
    asyncio.run(main())
