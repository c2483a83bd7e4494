"""The checker: asks the listed servers whether they are well, and writes what it finds into the list.

Several may run; the one that holds the duty acts. `python -m yewstage.checker --config FILE`.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import uvloop

from yewstage.log import FORMATS, Event, address_event, configure_logging
from yewstage.metrics import Metric, MetricsPage, count, counts, gauge
from yewstage.net.config import Address, ConfigError
from yewstage.net.http1 import ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.ops import Ops
from yewstage.net.stats import DescriptorUse
from yewstage.registry.client import LeaseHolder, ListWatch, NoAnswerError, ServiceClient
from yewstage.registry.config import CheckerConfig, checker, read

log = logging.getLogger(__name__)

DUTY = "checker"
IDLE_S = 0.2  # how often one that does not hold the duty, or knows no server, looks again


@dataclass(slots=True)
class Finding:
    """What probes of one server have come to."""

    fails: int = 0  # in a row
    passes: int = 0
    told: bool | None = None  # the verdict that the list holds by our word


class _Probe(ReplyProtocol):
    """One connection, one question, one answer."""

    def __init__(self, over: asyncio.Future[int]) -> None:
        super().__init__()
        self._over = over

    def ask(self, host: Address) -> None:
        self.write(
            b"GET /health HTTP/1.1\r\nHost: %b:%d\r\nConnection: close\r\n\r\n" % (host[0].encode(), host[1])
        )

    def replied(self, reply: Reply, reusable: bool) -> None:
        self._end(reply.status)

    def lost(self) -> None:
        self._end(0)

    def _end(self, status: int) -> None:
        if not self._over.done():
            self._over.set_result(status)


async def probe(target: Address, timeout_s: float) -> int:
    """The status that a server's `/health` answers; 0: none in time."""
    loop = asyncio.get_running_loop()
    over: asyncio.Future[int] = loop.create_future()
    connections: list[_Probe] = []

    def dialled(connection: _Probe | None, cause: str) -> None:
        if connection is None:
            if not over.done():
                over.set_result(0)
        elif over.done():
            connection.abort()
        else:
            connections.append(connection)
            connection.ask(target)

    dial = ConnectAttempt(loop, lambda: _Probe(over), target, timeout_s, DescriptorUse(), dialled)
    try:
        async with asyncio.timeout(timeout_s):
            return await over
    except TimeoutError:
        return 0
    finally:
        dial.cancel()
        for connection in connections:
            connection.abort()


class Checker:
    """Probes at a paced rate while it holds the duty, and writes under its token."""

    def __init__(
        self,
        config: CheckerConfig,
        watch: ListWatch,
        duty: LeaseHolder,
        client: ServiceClient,
        ask: Callable[[Address, float], Awaitable[int]] = probe,
        rng: random.Random | None = None,
    ) -> None:
        self._config, self.watch, self.duty, self._client, self._ask = config, watch, duty, client, ask
        self._rng = rng or random.Random()
        self._findings: dict[str, Finding] = {}
        self._figures = MetricsPage(self._collect)
        self.probes, self.written, self.refused = 0, 0, 0

    async def run(self) -> None:
        """Check for as long as the process lives."""
        while True:
            await self.round()

    async def round(self) -> None:
        """Every listed server once, in random order."""
        self._findings = {name: found for name, found in self._findings.items() if name in self.watch.servers}
        names = list(self.watch.servers)
        self._rng.shuffle(names)
        for name in names:
            if not self.duty.is_held():
                self._findings.clear()  # what the next holder writes meanwhile is not known here
                break
            if name in self.watch.addresses:
                await self._check(name)
                await asyncio.sleep(1 / self._config.rate_per_s)
        if not names or not self.duty.is_held():
            await asyncio.sleep(IDLE_S)

    async def _check(self, name: str) -> None:
        self.probes += 1
        status = await self._ask(self.watch.addresses[name], self._config.timeout_ms / 1000)
        if status == 404:
            return  # it answers no probes: nothing is known of it
        found = self._findings.setdefault(name, Finding())
        well = status == 200
        found.fails, found.passes = (0, found.passes + 1) if well else (found.fails + 1, 0)
        if found.passes >= self._config.passes and found.told is not True:
            await self._write(name, found, True)
        elif found.fails >= self._config.fails and found.told is not False:
            await self._write(name, found, False)

    async def _write(self, name: str, found: Finding, well: bool) -> None:
        if not self.duty.is_held():
            return  # it ended while we asked
        try:
            told = await self._client.call(
                "POST", f"/v1/endpoints/{name}/verdict", {"well": well, **self.duty.fence()}
            )
        except NoAnswerError as error:
            log.warning(
                Event(
                    "verdict_lost",
                    "no verdict on {server} could be written: {error}",
                    server=name,
                    error=str(error),
                )
            )
            return
        if told.status == 200:
            found.told = well
            self.written += 1
            log.info(
                Event("verdict", "{server} is {verdict}", server=name, verdict="well" if well else "not well")
            )
        elif told.status in (404, 409):
            self.refused += 1
            log.warning(
                Event(
                    "verdict_refused",
                    "verdict on {server} refused: {error}",
                    server=name,
                    error=told.body.get("error"),
                )
            )

    def ready(self) -> bool:
        """Whether the list is known; holding the duty is no condition."""
        return bool(self.watch.servers) or not self.watch.stale_reason

    def metrics(self) -> str:
        """What operators read."""
        return self._figures.text()

    def _collect(self) -> list[Metric]:
        unwell = sum(found.told is False for found in self._findings.values())
        return [
            gauge("checker_holds_duty", "whether it acts", self.duty.is_held()),
            gauge("checker_token", "of the duty as it held it last", self.duty.token),
            count("checker_grants", "of the duty", self.duty.grants),
            gauge("checker_servers", "in the list", len(self.watch.servers)),
            gauge("checker_unwell", "by our word", unwell),
            gauge("checker_list_age_seconds", "since the list was heard of", self.watch.age_s()),
            count("checker_probes", "of servers", self.probes),
            counts(
                "checker_verdicts",
                "by what came of them",
                "result",
                {"written": self.written, "refused": self.refused},
            ),
        ]


async def serve(config: CheckerConfig) -> None:
    """Run until SIGTERM or SIGINT, then leave the duty to the next."""
    loop = asyncio.get_running_loop()
    holder = f"{config.name}.{random.SystemRandom().getrandbits(48):012x}"  # each life is a holder of its own
    # a watch holds its connection, renewals cannot wait
    clients = [ServiceClient(config.registry) for _ in range(3)]
    watch = ListWatch(clients[0], time.monotonic)
    duty = LeaseHolder(clients[1], DUTY, holder, config.ttl_ms, config.drift, time.monotonic)
    work = Checker(config, watch, duty, clients[2])
    ops = Ops(loop, work.ready, work.metrics)
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    log.info(address_event("ops", "operators' address", await ops.start(config.ops)))
    tasks = [loop.create_task(part.run()) for part in (watch, duty, work)]
    ending = loop.create_task(over.wait())
    done, _ = await asyncio.wait([*tasks, ending], return_when=asyncio.FIRST_COMPLETED)
    for task in (ending, *tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ops.stop()
    for client in clients:
        client.close()
    for task in done:
        if task is not ending:
            task.result()  # a part that ended by itself failed: say how


def main() -> int:
    """0 after SIGTERM; 2 with one plain line if the configuration or the address is no good."""
    parser = argparse.ArgumentParser(prog="python -m yewstage.checker", description=__doc__.splitlines()[0])
    parser.add_argument("--config", required=True, metavar="FILE")
    parser.add_argument("--log-format", choices=FORMATS, help="goes before the file's `log`")
    options = parser.parse_args()
    try:
        config = checker(read(options.config))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(config.name, options.log_format or config.log, {"service": config.name})
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
