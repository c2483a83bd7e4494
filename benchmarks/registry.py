"""What watches, changes and restarts cost the list service: `python -m benchmarks.registry`.

In process, with stand-ins for the callers' sockets, whose buffers are the system's. Figures that machine
speed shows in stand beside the same figure for few watches or entries, in the same run.
"""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import time
import tracemalloc
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.scenes import Transport
from yewstage.net.http_server import HttpConnection
from yewstage.registry.backend import SingleNodeBackend
from yewstage.registry.config import service
from yewstage.registry.log import Log
from yewstage.registry.server import Registry
from yewstage.registry.store import Record, Rules, Store

SERVERS = 200
CHANGES = 40
WATCHES = (1, 100, 1000)
ENTRIES = (1_000, 10_000, 100_000)


class Watcher:
    """One who watches again as soon as it is told, at the next turn of the loop."""

    def __init__(self, registry: Registry, heard: list[float]) -> None:
        loop = asyncio.get_running_loop()
        self._heard = heard
        self.caller = HttpConnection(registry.listener)
        self.caller.connection_made(Transport(lambda data: None, lambda exc: None, loop.call_soon))
        self.caller.transport.writelines = self._told

    def watch(self, after: int) -> None:
        self.caller.data_received(b"GET /v1/endpoints?after=%d&wait_ms=60000 HTTP/1.1\r\n\r\n" % after)

    def _told(self, parts: tuple[bytes, bytes]) -> None:
        self._heard.append(time.perf_counter())


def record(n: int, weight: float = 1.0) -> Record:
    return Record(f"s-{n}", f"127.0.0.1:{n + 1}", "zone-a", "m2", n % 5, weight, ttl_ms=60000.0)


async def watches(folder: Path, count: int) -> str:
    """Memory of each held watch; processor time and time of a change until the last one is told."""
    config = service({"listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "folder": str(folder), "settle_ms": 0})
    files = Log(folder)
    files.load()
    store = Store(config.rules, 1)
    loop = asyncio.get_running_loop()
    registry = Registry(
        config, SingleNodeBackend(store, files, config.snapshot_entries, loop), loop, random.Random(1)
    )
    for n in range(SERVERS):
        store.apply(store.plan_register(record(n)), 0.0)
    heard: list[float] = []
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    watchers = [Watcher(registry, heard) for _ in range(count)]
    for watcher in watchers:
        watcher.watch(store.revision)
    held = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    cpu, last = [], []
    for n in range(CHANGES):
        heard.clear()
        changed, started = record(n, weight=2.0 + n), time.perf_counter()
        used = time.thread_time()
        await registry.backend.write(lambda store, now, changed=changed: store.plan_register(changed))
        cpu.append(time.thread_time() - used)
        assert len(heard) == count
        last.append(heard[-1] - started)
        for watcher in watchers:
            watcher.watch(store.revision)
    await registry.stop()
    files.close()
    cpu_us, last_ms = statistics.median(cpu) * 1e6, statistics.median(last) * 1e3
    return (
        f"{count:5} watches: {held / 1024:5.1f} KiB each; a change costs {cpu_us:7.0f} us CPU, "
        f"{cpu_us / count:6.1f} us a watch; the last is told {last_ms:5.2f} ms after the write began"
    )


def restart(folder: Path, count: int) -> str:
    """How long a start takes behind so many entries, and behind the snapshot of them."""
    store, files = Store(Rules(), 1), Log(folder, sync=lambda fd: None)
    files.load()
    for n in range(count):
        entry = store.plan_register(record(n % SERVERS, weight=1.0 + n))
        files.append(entry)
        store.apply(entry, 0.0)
    files.close()
    times = []
    for compact in (True, False):
        began, files = time.perf_counter(), Log(folder)
        state, entries = files.load()
        again = Store.restored(Rules(), state, 0.0) if state else Store(Rules(), 1)
        for entry in entries:
            again.apply(entry, 0.0)
        times.append(time.perf_counter() - began)
        assert again.snapshot() == store.snapshot()
        if compact:
            files.compact(again.snapshot())
        files.close()
        del entries, again  # to give them back takes time, too
    return (
        f"{count:7} entries: read in {times[0] * 1e3:7.1f} ms, {times[0] / count * 1e6:.1f} us each; "
        f"behind their snapshot in {times[1] * 1e3:.1f} ms"
    )


async def main() -> None:
    for count in WATCHES:
        with TemporaryDirectory() as folder:
            print(await watches(Path(folder), count), flush=True)
    for count in ENTRIES:
        with TemporaryDirectory() as folder:
            print(restart(Path(folder), count), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
