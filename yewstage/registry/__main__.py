"""Entry point of the list service: start-up, signals and exit status."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
import time

import uvloop

from yewstage.log import FORMATS, Event, address_event, configure_logging
from yewstage.net.config import ConfigError
from yewstage.net.ops import Ops
from yewstage.registry.backend import SingleNodeBackend
from yewstage.registry.config import Config, read, service
from yewstage.registry.log import Log, LogError
from yewstage.registry.server import Registry
from yewstage.registry.store import Store

log = logging.getLogger(__name__)


def load(config: Config, files: Log, now: float, wall_ms: float) -> Store:
    """The store as the files have it. A new store begins at the wall clock's milliseconds as its revision,
    which is above every revision that an earlier store, whose files are lost, can have reported."""
    try:
        state, entries = files.load()
        store = Store.restored(config.rules, state, now) if state else Store(config.rules, int(wall_ms))
        for entry in entries:
            store.apply(entry, now)
    except (KeyError, TypeError, ValueError) as error:
        raise LogError(f"{config.folder}: an entry is invalid: {error!r}") from None
    store.restart_deadlines(now)
    return store


async def serve(config: Config, files: Log) -> None:
    """Run until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    store = load(config, files, loop.time() * 1000, time.time() * 1000)
    if files.torn_bytes:
        log.warning(
            Event(
                "torn_entry",
                "cut off a torn last entry of {bytes} bytes; it was never acknowledged",
                bytes=files.torn_bytes,
            )
        )
    backend = SingleNodeBackend(store, files, config.snapshot_entries, loop)
    registry = Registry(config, backend, loop, random.Random())
    ops = Ops(loop, registry.ready, registry.metrics)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    log.info(address_event("ops", "operators' address", await ops.start(config.ops)))
    address = await registry.start()
    log.info(
        Event(
            "restored",
            "revision {revision}, {servers} servers, {entries} entries read",
            revision=store.revision,
            servers=len(store.records),
            entries=files.entries,
        )
    )
    log.info(address_event("listening", "listening on", address))
    await stop_requested.wait()
    ops.stop()
    await backend.wait_for_pending_write()
    await registry.stop()
    backend.close()
    log.info(Event("ended", "ended"))


def main() -> int:
    """Exit status 0 after SIGTERM or SIGINT; 2, with one line on stderr, if the configuration, the files
    or an address cannot be used."""
    parser = argparse.ArgumentParser(prog="python -m yewstage.registry", description=__doc__)
    parser.add_argument("--config", required=True, metavar="FILE")
    parser.add_argument("--log-format", choices=FORMATS, help="overrides `log` in the file")
    options = parser.parse_args()
    try:
        config = service(read(options.config))
        files = Log(config.folder)
    except (ConfigError, LogError) as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging("registry", options.log_format or config.log, {"service": "registry"})
    try:
        uvloop.run(serve(config, files))
    except LogError as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    finally:
        files.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
