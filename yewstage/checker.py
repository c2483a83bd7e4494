"""The checker: actively checks the health of the listed servers and writes its verdicts into the list.

Several checkers may run; only the one that holds the lease probes and writes. Start with
`python -m yewstage.checker --config FILE`.
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
from yewstage.metrics import Metric, MetricsPage, counter, gauge, labelled_counter
from yewstage.net.config import Address, ConfigError
from yewstage.net.http1 import ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.ops import Ops
from yewstage.net.stats import DescriptorUse
from yewstage.registry.client import LeaseHolder, ListWatch, NoAnswerError, ServiceClient
from yewstage.registry.config import CheckerConfig, checker, read

log = logging.getLogger(__name__)

LEASE_NAME = "checker"
IDLE_INTERVAL_S = 0.2  # between two rounds while the lease is not held or no server is known


@dataclass(slots=True)
class ServerHealth:
    """Results of the probes of one server."""

    consecutive_failures: int = 0
    consecutive_successes: int = 0
    written_verdict: bool | None = None  # the last verdict written by this checker


class _Probe(ReplyProtocol):
    """One connection that sends one health check. Its future gets the status of the answer, or 0."""

    def __init__(self, result: asyncio.Future[int]) -> None:
        super().__init__()
        self._result = result

    def send_request(self, host: Address) -> None:
        self.write(
            b"GET /health HTTP/1.1\r\nHost: %b:%d\r\nConnection: close\r\n\r\n" % (host[0].encode(), host[1])
        )

    def replied(self, reply: Reply, reusable: bool) -> None:
        self._end(reply.status)

    def lost(self) -> None:
        self._end(0)

    def _end(self, status: int) -> None:
        if not self._result.done():
            self._result.set_result(status)


async def probe(target: Address, timeout_s: float) -> int:
    """The status with which a server answers `GET /health`; 0 if it does not answer within the time-out."""
    loop = asyncio.get_running_loop()
    result: asyncio.Future[int] = loop.create_future()
    connections: list[_Probe] = []

    def on_connect(connection: _Probe | None, cause: str) -> None:
        if connection is None:
            if not result.done():
                result.set_result(0)
        elif result.done():
            connection.abort()
        else:
            connections.append(connection)
            connection.send_request(target)

    attempt = ConnectAttempt(loop, lambda: _Probe(result), target, timeout_s, DescriptorUse(), on_connect)
    try:
        async with asyncio.timeout(timeout_s):
            return await result
    except TimeoutError:
        return 0
    finally:
        attempt.cancel()
        for connection in connections:
            connection.abort()


class Checker:
    """Probes servers at a limited rate and writes verdicts, under the fencing token of its lease."""

    def __init__(
        self,
        config: CheckerConfig,
        watch: ListWatch,
        lease_holder: LeaseHolder,
        client: ServiceClient,
        probe_server: Callable[[Address, float], Awaitable[int]] = probe,
        rng: random.Random | None = None,
    ) -> None:
        self._config, self.watch, self.lease_holder, self._client, self._probe_server = (
            config,
            watch,
            lease_holder,
            client,
            probe_server,
        )
        self._rng = rng or random.Random()
        self._health: dict[str, ServerHealth] = {}  # by server name
        self._metrics_page = MetricsPage(self._collect)
        self.probes, self.written, self.refused = 0, 0, 0  # probes made; verdicts written and refused

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await self.round()

    async def round(self) -> None:
        """Probe every listed server once, in random order. Ends early if the lease is lost."""
        self._health = {name: health for name, health in self._health.items() if name in self.watch.servers}
        names = list(self.watch.servers)
        self._rng.shuffle(names)
        for name in names:
            if not self.lease_holder.is_held():
                self._health.clear()  # the next holder may write other verdicts, which are not known here
                break
            if name in self.watch.addresses:
                await self._check_server(name)
                await asyncio.sleep(1 / self._config.rate_per_s)
        if not names or not self.lease_holder.is_held():
            await asyncio.sleep(IDLE_INTERVAL_S)

    async def _check_server(self, name: str) -> None:
        self.probes += 1
        status = await self._probe_server(self.watch.addresses[name], self._config.timeout_ms / 1000)
        if status == 404:
            return  # the server has no health check: nothing is known of its health
        health = self._health.setdefault(name, ServerHealth())
        well = status == 200
        health.consecutive_failures, health.consecutive_successes = (
            (0, health.consecutive_successes + 1) if well else (health.consecutive_failures + 1, 0)
        )
        if (
            health.consecutive_successes >= self._config.successes_to_healthy
            and health.written_verdict is not True
        ):
            await self._write_verdict(name, health, True)
        elif (
            health.consecutive_failures >= self._config.failures_to_unhealthy
            and health.written_verdict is not False
        ):
            await self._write_verdict(name, health, False)

    async def _write_verdict(self, name: str, health: ServerHealth, well: bool) -> None:
        if not self.lease_holder.is_held():
            return  # the lease ended during the probe
        try:
            reply = await self._client.call(
                "POST", f"/v1/endpoints/{name}/verdict", {"well": well, **self.lease_holder.fence()}
            )
        except NoAnswerError as error:
            log.warning(
                Event(
                    "verdict_lost",
                    "verdict on {server} could not be written: {error}",
                    server=name,
                    error=str(error),
                )
            )
            return
        if reply.status == 200:
            health.written_verdict = well
            self.written += 1
            log.info(
                Event("verdict", "{server} is {verdict}", server=name, verdict="well" if well else "not well")
            )
        elif reply.status in (404, 409):
            self.refused += 1
            log.warning(
                Event(
                    "verdict_refused",
                    "verdict on {server} refused: {error}",
                    server=name,
                    error=reply.body.get("error"),
                )
            )

    def ready(self) -> bool:
        """Whether the list is known. A checker is ready without the lease, too."""
        return bool(self.watch.servers) or not self.watch.stale_reason

    def metrics(self) -> str:
        """The metrics page, in the Prometheus text format."""
        return self._metrics_page.text()

    def _collect(self) -> list[Metric]:
        unhealthy = sum(health.written_verdict is False for health in self._health.values())
        return [
            gauge("checker_holds_duty", "whether it acts", self.lease_holder.is_held()),
            gauge("checker_token", "of the duty as it held it last", self.lease_holder.token),
            counter("checker_grants", "of the duty", self.lease_holder.grants),
            gauge("checker_servers", "in the list", len(self.watch.servers)),
            gauge("checker_unwell", "by our word", unhealthy),
            gauge("checker_list_age_seconds", "since the list was heard of", self.watch.age_s()),
            counter("checker_probes", "of servers", self.probes),
            labelled_counter(
                "checker_verdicts",
                "by what came of them",
                "result",
                {"written": self.written, "refused": self.refused},
            ),
        ]


async def serve(config: CheckerConfig) -> None:
    """Run until SIGTERM or SIGINT, then release the lease."""
    loop = asyncio.get_running_loop()
    holder = f"{config.name}.{random.SystemRandom().getrandbits(48):012x}"  # unique to this process
    # One client each: a watch occupies its connection, and renewals must not wait for other calls.
    clients = [ServiceClient(config.registry) for _ in range(3)]
    watch = ListWatch(clients[0], time.monotonic)
    lease_holder = LeaseHolder(clients[1], LEASE_NAME, holder, config.ttl_ms, config.drift, time.monotonic)
    checker_loop = Checker(config, watch, lease_holder, clients[2])
    ops = Ops(loop, checker_loop.ready, checker_loop.metrics)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    log.info(address_event("ops", "operators' address", await ops.start(config.ops)))
    tasks = [loop.create_task(part.run()) for part in (watch, lease_holder, checker_loop)]
    stop_task = loop.create_task(stop_requested.wait())
    done, _ = await asyncio.wait([*tasks, stop_task], return_when=asyncio.FIRST_COMPLETED)
    for task in (stop_task, *tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ops.stop()
    for client in clients:
        client.close()
    for task in done:
        if task is not stop_task:
            task.result()  # a task that ended by itself has failed: raise its exception


def main() -> int:
    """Exit status 0 after SIGTERM or SIGINT; 2, with one line on stderr, if the configuration or the
    address cannot be used."""
    parser = argparse.ArgumentParser(prog="python -m yewstage.checker", description=__doc__.splitlines()[0])
    parser.add_argument("--config", required=True, metavar="FILE")
    parser.add_argument("--log-format", choices=FORMATS, help="overrides `log` in the file")
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
