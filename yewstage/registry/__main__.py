"""The list service: start-up, signals, exit."""

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
    """The store as the files have it. A new one begins at the wall clock's milliseconds: above all that an
    earlier life, whose files are lost, can have told."""
    try:
        state, entries = files.load()
        store = Store.restored(config.rules, state, now) if state else Store(config.rules, int(wall_ms))
        for entry in entries:
            store.apply(entry, now)
    except (KeyError, TypeError, ValueError) as error:
        raise LogError(f"{config.folder}: an entry makes no sense: {error!r}") from None
    store.live_anew(now)
    return store


async def serve(config: Config, files: Log) -> None:
    """Run until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    store = load(config, files, loop.time() * 1000, time.time() * 1000)
    if files.cut:
        log.warning(
            Event(
                "torn_entry",
                "a torn last entry of {bytes} bytes was cut off: nobody was told of it",
                bytes=files.cut,
            )
        )
    ledger = SingleNodeBackend(store, files, config.snapshot_entries, loop)
    registry = Registry(config, ledger, loop, random.Random())
    ops = Ops(loop, registry.ready, registry.metrics)
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
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
    await over.wait()
    ops.stop()
    await ledger.finished()
    await registry.stop()
    ledger.close()
    log.info(Event("ended", "ended"))


def main() -> int:
    """0 after SIGTERM; 2 with one plain line if the configuration, the files or an address are no good."""
    parser = argparse.ArgumentParser(prog="python -m yewstage.registry", description=__doc__)
    parser.add_argument("--config", required=True, metavar="FILE")
    parser.add_argument("--log-format", choices=FORMATS, help="goes before the file's `log`")
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
