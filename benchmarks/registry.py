"""What watches, changes and restarts cost the list service: `python -m benchmarks.registry`.

Everything runs in one process. Test doubles replace the callers' sockets, whose buffers belong to the system.
Each figure that depends on the machine's speed is printed next to the same figure for few watches or entries
of the same run.
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

SERVERS = 200  # in the list
CHANGES = 40  # measured for each number of watches
WATCH_COUNTS = (1, 100, 1000)
ENTRY_COUNTS = (1_000, 10_000, 100_000)


class Watcher:
    """A caller with one held watch, which records when it is answered."""

    def __init__(self, registry: Registry, answered_at: list[float]) -> None:
        loop = asyncio.get_running_loop()
        self._answered_at = answered_at
        self.caller = HttpConnection(registry.listener)
        self.caller.connection_made(Transport(lambda data: None, lambda exc: None, loop.call_soon))
        self.caller.transport.writelines = self._record_answer

    def watch(self, after: int) -> None:
        """Send a watch for changes after a revision."""
        self.caller.data_received(b"GET /v1/endpoints?after=%d&wait_ms=60000 HTTP/1.1\r\n\r\n" % after)

    def _record_answer(self, parts: tuple[bytes, bytes]) -> None:
        self._answered_at.append(time.perf_counter())


def record(n: int, weight: float = 1.0) -> Record:
    """Make the record of server n."""
    return Record(f"s-{n}", f"127.0.0.1:{n + 1}", "zone-a", "m2", n % 5, weight, ttl_ms=60000.0)


async def measure_watches(folder: Path, count: int) -> str:
    """Measure the memory per held watch, and a change's processor time and latency up to the last answer."""
    config = service({"listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "folder": str(folder), "settle_ms": 0})
    log = Log(folder)
    log.load()
    store = Store(config.rules, 1)
    loop = asyncio.get_running_loop()
    registry = Registry(
        config, SingleNodeBackend(store, log, config.snapshot_entries, loop), loop, random.Random(1)
    )
    for n in range(SERVERS):
        store.apply(store.plan_register(record(n)), 0.0)
    answered_at: list[float] = []
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    watchers = [Watcher(registry, answered_at) for _ in range(count)]
    for watcher in watchers:
        watcher.watch(store.revision)
    bytes_per_watch = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    cpu_s, last_answer_s = [], []
    for n in range(CHANGES):
        answered_at.clear()
        changed, started = record(n, weight=2.0 + n), time.perf_counter()
        cpu_before = time.thread_time()
        await registry.backend.write(lambda store, now, changed=changed: store.plan_register(changed))
        cpu_s.append(time.thread_time() - cpu_before)
        assert len(answered_at) == count
        last_answer_s.append(answered_at[-1] - started)
        for watcher in watchers:
            watcher.watch(store.revision)
    await registry.stop()
    log.close()
    cpu_us, last_ms = statistics.median(cpu_s) * 1e6, statistics.median(last_answer_s) * 1e3
    return (
        f"{count:5} watches: {bytes_per_watch / 1024:5.1f} KiB each; a change costs {cpu_us:7.0f} us CPU, "
        f"{cpu_us / count:6.1f} us a watch; the last is told {last_ms:5.2f} ms after the write began"
    )


def measure_restart(folder: Path, count: int) -> str:
    """Measure a start from a log of so many entries, and one from the snapshot of them."""
    store, log = Store(Rules(), 1), Log(folder, sync=lambda fd: None)
    log.load()
    for n in range(count):
        entry = store.plan_register(record(n % SERVERS, weight=1.0 + n))
        log.append(entry)
        store.apply(entry, 0.0)
    log.close()
    times = []
    for compact in (True, False):
        began, log = time.perf_counter(), Log(folder)
        state, entries = log.load()
        restored = Store.restored(Rules(), state, 0.0) if state else Store(Rules(), 1)
        for entry in entries:
            restored.apply(entry, 0.0)
        times.append(time.perf_counter() - began)
        assert restored.snapshot() == store.snapshot()
        if compact:
            log.compact(restored.snapshot())
        log.close()
        del entries, restored  # freeing them takes time and must not count in the next round
    return (
        f"{count:7} entries: read in {times[0] * 1e3:7.1f} ms, {times[0] / count * 1e6:.1f} us each; "
        f"behind their snapshot in {times[1] * 1e3:.1f} ms"
    )


async def main() -> None:
    """Run all sizes, one after the other."""
    for count in WATCH_COUNTS:
        with TemporaryDirectory() as folder:
            print(await measure_watches(Path(folder), count), flush=True)
    for count in ENTRY_COUNTS:
        with TemporaryDirectory() as folder:
            print(measure_restart(Path(folder), count), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
