"""The replicated state service as a process: start-up, signals, exit status."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys

import uvloop

from yewstage.holding.config import HoldingConfig, holding_config
from yewstage.holding.identity import Folder
from yewstage.holding.node import Node
from yewstage.log import FORMATS, Event, address_event, configure_logging
from yewstage.metrics import MetricsPage
from yewstage.net.config import ConfigError
from yewstage.net.ops import Ops
from yewstage.raft.disk import DiskError
from yewstage.registry.config import read

log = logging.getLogger(__name__)


async def serve(config: HoldingConfig, folder: Folder) -> int:
    """Run until SIGTERM or SIGINT, or until the disk fails; the exit status, 0 or 1."""
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    node = Node(config, folder, loop, random.Random(), stopping)
    if folder.previous_id:
        log.warning(
            Event(
                "older_disk",
                "the folder is a copy or an earlier state of {older}: its content is set aside; "
                "this process is {id} and waits to be added as a member",
                older=folder.previous_id,
                id=folder.id,
            )
        )
    if node.replicas.torn_bytes:
        log.warning(
            Event(
                "torn_record",
                "a torn last record of {bytes} bytes was cut off; it was never acknowledged",
                bytes=node.replicas.torn_bytes,
            )
        )
    metrics_page = MetricsPage(lambda: [*node.registry.collect(), *node.metrics()])
    ops = Ops(loop, node.registry.ready, metrics_page.text)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    log.info(address_event("ops", "operators' address", await ops.start(config.service.ops)))
    address = await node.start()
    log.info(
        Event(
            "restored",
            "{id}: {groups}",
            id=folder.id,
            groups=", ".join(
                f"{group} at term {backend.group.replica.term}, index {backend.group.replica.last_index}"
                for group, backend in node.replicas.backends.items()
            ),
        )
    )
    log.info(address_event("listening", "listening on", address))
    await stopping.wait()
    ops.stop()
    await node.stop()
    log.info(Event("ended", "ended"))
    if node.failure:
        print(node.failure, file=sys.stderr)
    return 1 if node.failure else 0


def main() -> int:
    """Parse the options and run; the exit status.

    0 after SIGTERM, 1 if the disk failed, 2 with one line on stderr if the configuration, the folder or an
    address cannot be used.
    """
    parser = argparse.ArgumentParser(prog="python -m yewstage.holding", description=__doc__)
    parser.add_argument("--config", required=True, metavar="FILE")
    parser.add_argument("--log-format", choices=FORMATS, help="overrides `log` of the file")
    options = parser.parse_args()
    try:
        config = holding_config(read(options.config))
        folder = Folder(config.service.folder, config.cluster, config.name)
    except (ConfigError, DiskError) as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(config.name, options.log_format or config.service.log, {"service": config.name})
    try:
        return uvloop.run(serve(config, folder))
    except DiskError as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    finally:
        folder.close()


if __name__ == "__main__":
    sys.exit(main())
