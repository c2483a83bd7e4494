"""`plumwall up` and `plumwall load`: run an emulated environment with gateways, or load existing gateways."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import click
import msgspec
from rich.console import Group
from rich.live import Live
from rich.table import Table

from plumwall import scenario as scenarios
from plumwall.cli.console import (
    BadInputError,
    PlainProgress,
    WorkFailedError,
    err,
    make_table,
    parse_host_port,
)
from plumwall.cli.outcome import report_outcome
from plumwall.cli.scenario import load_scenario
from plumwall.cli.service import log_format
from plumwall.emulator.fleet import StartError
from plumwall.emulator.metrics import Exporter
from plumwall.emulator.run import DEFAULT_DEPLOY_FILE, Options, Run, RunStatus
from yewstage.log import TEXT
from yewstage.net.config import Address

WORKER_RATE_PER_S = 3000.0  # first tries per second that one process of clients or servers handles with ease


class ProgressDisplay:
    """Progress of a run on stderr: a live table on a terminal, otherwise plain lines."""

    def __init__(self, title: str, json_: bool) -> None:
        self._title, self._plain_progress = title, PlainProgress()
        self._live = Live(console=err, refresh_per_second=4, transient=True) if err.is_terminal else None
        self._quiet = json_ and self._live is None

    def __enter__(self) -> ProgressDisplay:
        if self._live is not None:
            self._live.start()
        return self

    def __exit__(self, *error: object) -> None:
        if self._live is not None:
            self._live.stop()

    def report(self, text: str) -> None:
        """Print one line about the phase of the run."""
        err.print(f"[dim]{text}[/dim]") if self._live is not None else click.echo(text, err=True)

    def update(self, status: RunStatus) -> None:
        """Show the figures of the last second; called once a second."""
        if self._live is not None:
            self._live.update(
                Group(
                    f"[bold]{self._title}[/bold]  {status.at_s:.0f} s   last fault: {status.fault or 'none'}",
                    self._make_status_table(status),
                )
            )
        elif not self._quiet:
            served = sum(second.served for second in status.gateways.values())
            tries = sum(second.tries for second in status.gateways.values())
            self._plain_progress.report(
                f"{status.at_s:.0f} s: {tries} tries ended in the last second, {served} served; last fault: "
                f"{status.fault or 'none'}"
            )

    def _make_status_table(self, status: RunStatus) -> Table:
        rows = []
        for name in sorted(status.metrics or status.gateways, key=lambda name: (len(name), name)):
            second, metrics = status.gateways.get(name), status.metrics.get(name, {})
            counts = (
                (second.tries, second.served, second.refused, second.failed, second.p50_ms, second.p99_ms)
                if second
                else (0, 0, 0, 0, 0.0, 0.0)
            )
            rows.append(
                (
                    name,
                    status.states.get(name, "-"),
                    *counts,
                    _format_pressure(metrics),
                    metrics.get("process_resident_memory_bytes", 0.0) / 2**20,
                )
            )
        return make_table(
            (
                "gateway",
                "state",
                "rate/s",
                "served",
                "refused",
                "failed",
                "p50 ms",
                "p99 ms",
                "pressure",
                "MiB",
            ),
            rows,
        )


def _format_pressure(metrics: dict[str, float]) -> str:
    """The smoothed occupancy used by admission control, and the share of new requests that it admits."""
    if "gateway_pressure" not in metrics:
        return "-"
    return f"{metrics['gateway_pressure']:.2f}, lets in {metrics['gateway_admitted_share']:.0%}"


def _parse_metrics_address(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> Address | None:
    return parse_host_port("--metrics", value) if value else None


@contextmanager
def _serve_metrics(address: Address | None, display: ProgressDisplay) -> Iterator[Exporter]:
    """Serve Prometheus metrics during a run if an address is given; raises WorkFailedError if it cannot."""
    exporter = Exporter()
    if address is not None:
        try:
            display.report(f"metrics at http://{address[0]}:{exporter.serve(address)}/metrics")
        except OSError as error:
            raise WorkFailedError(f"--metrics: {error}") from None
    try:
        yield exporter
    finally:
        exporter.close()


def _run_options(command: Callable) -> Callable:
    """Decorator that adds the options common to `up` and `load`."""
    for option in (
        click.option(
            "--seed",
            type=click.IntRange(0),
            default=1,
            show_default=True,
            help="Seed of the generated world and workload.",
        ),
        click.option(
            "--rate", type=click.FloatRange(0, min_open=True), help="First tries per second within quotas."
        ),
        click.option(
            "--length", type=click.FloatRange(0, min_open=True), help="Length of the load in seconds."
        ),
        click.option(
            "--to",
            "to_rate",
            type=click.FloatRange(0, min_open=True),
            help="Ramp up or down to this rate at the end of the load.",
        ),
        click.option(
            "--burst",
            nargs=3,
            type=click.FloatRange(0),
            default=None,
            help="A burst: its rate, start and duration (in seconds).",
        ),
        click.option(
            "--out",
            "folder",
            type=click.Path(file_okay=False, path_type=Path),
            help="Folder for records and logs. Default: runs/NAME-SEED-TIME.",
        ),
        click.option(
            "--workers",
            type=click.IntRange(1, 64),
            help="Number of client processes (default: by the rate); `up` runs half as many for servers.",
        ),
        click.option("--json", "json_", is_flag=True, help="Print the outcome as JSON."),
        click.option(
            "--metrics",
            metavar="HOST:PORT",
            callback=_parse_metrics_address,
            help="Serve Prometheus metrics on this address during the run.",
        ),
    ):
        command = option(command)
    return command


def with_overrides(
    base: scenarios.Scenario,
    rate: float | None,
    length: float | None,
    to_rate: float | None,
    burst: Sequence[float] | None,
    gateways: int | None = None,
    servers: int | None = None,
) -> scenarios.Scenario:
    """A copy of a scenario with values of the command line; raises BadInputError if the result is invalid."""
    replace = msgspec.structs.replace
    load = base.load
    if rate is not None:
        load = replace(load, rate_per_s=rate)
    if to_rate is not None:
        load = replace(load, shape="ramp", to_per_s=to_rate)
    if burst:
        load = replace(load, shape="burst", to_per_s=burst[0], burst_at_s=burst[1], burst_for_s=burst[2])
    base = replace(base, load=load, length_s=length if length is not None else base.length_s)
    if gateways is not None:
        base = replace(base, fleet=replace(base.fleet, gateways=gateways))
    if servers is not None:
        base = replace(base, servers=replace(base.servers, count=servers))
    try:
        scenarios.check(base)
        return scenarios.decode_json(scenarios.encode(base))
    except scenarios.ScenarioError as error:
        raise BadInputError(str(error)) from None


def _client_workers(workers: int | None, load: scenarios.Load) -> int:
    """The number of client processes: the given one, or one per `WORKER_RATE_PER_S` of the peak rate."""
    return workers or max(1, round(max(load.rate_per_s, load.to_per_s) / WORKER_RATE_PER_S))


def run_folder(folder: Path | None, name: str, seed: int) -> Path:
    """The folder for a run's files: the given one, or a new name below `runs/`.

    Raises BadInputError if the folder exists and is not empty.
    """
    run_dir = folder or Path("runs") / f"{name}-{seed}-{time.strftime('%Y%m%dT%H%M%S')}"
    if run_dir.exists() and any(run_dir.iterdir()):
        raise BadInputError(f"--out: {run_dir} is not empty")
    return run_dir


def _run_until_signal(work: Callable[[], Coroutine]) -> object:
    """Run a coroutine. SIGINT and SIGTERM cancel it, so that it ends its children; then returns None."""

    async def run_with_signal_handlers() -> object:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, task.cancel)
        return await work()

    try:
        return asyncio.run(run_with_signal_handlers())
    except asyncio.CancelledError:
        return None
    except StartError as error:
        raise WorkFailedError(str(error)) from None


@click.command()
@click.argument("name", metavar="[SCENARIO]", default="quiet")
@_run_options
@click.option("--gateways", type=click.IntRange(1, 250), help="Number of gateways.")
@click.option("--servers", type=click.IntRange(1, 2000), help="Number of servers.")
@click.option(
    "--deploy",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=DEFAULT_DEPLOY_FILE,
    help="Deploy file whose `run` command starts a gateway.",
    show_default="the project's own",
)
@log_format
@click.option(
    "--no-load", is_flag=True, help="Run the environment and its gateways without a load, until Ctrl-C."
)
def up(
    name: str,
    seed: int,
    rate: float | None,
    length: float | None,
    to_rate: float | None,
    burst: tuple[float, float, float] | None,
    folder: Path | None,
    workers: int | None,
    json_: bool,
    metrics: Address | None,
    gateways: int | None,
    servers: int | None,
    deploy: Path,
    log_format: str | None,
    no_load: bool,
) -> None:
    """Run a SCENARIO with real gateways and emulated servers, counter, server lists, clients and faults.

    The default scenario, `quiet`, is ordinary load. The run is checked against the rules: exits with 1 if
    a rule was broken, a gateway crashed or the load generator was late.

    \b
    Examples:
      plumwall up
      plumwall up zone-lost --seed 3 --gateways 10 --servers 30 --rate 200
      plumwall up --no-load
    """
    scenario = with_overrides(load_scenario(name), rate, length, to_rate, burst, gateways, servers)
    worker_count = _client_workers(workers, scenario.load)
    run_dir = run_folder(folder, scenario.name, seed)
    with (
        ProgressDisplay(f"{scenario.name}, seed {seed}", json_) as display,
        _serve_metrics(metrics, display) as exporter,
    ):
        run = Run(
            Options(
                scenario=scenario,
                seed=seed,
                folder=run_dir,
                deploy=deploy,
                log_format=log_format or TEXT,
                client_workers=0 if no_load else worker_count,
                host_workers=(worker_count + 1) // 2,
            ),
            display.report,
            display.update,
            exporter,
        )
        outcome = _run_until_signal(lambda: _serve_until_signal(run, display) if no_load else run.play())
    if no_load:
        return
    report_outcome(outcome, json_)


async def _serve_until_signal(run: Run, display: ProgressDisplay) -> None:
    task = asyncio.ensure_future(run.serve_until_cancelled())
    while not task.done() and not run.load_start_ms:
        await asyncio.sleep(0.1)
    if run.load_start_ms:
        at = ",".join(gateway.listen for gateway in run.gateways.values())
        display.report(
            f"gateways are ready; to load them: plumwall load --at {at} --scenario {run.scenario.name} "
            f"--seed {run.options.seed}"
        )
    try:
        await task
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise


def _parse_gateway_addresses(context: click.Context, parameter: click.Parameter, value: str) -> list[str]:
    return ["{}:{}".format(*parse_host_port("--at", at)) for at in value.split(",")]


@click.command()
@_run_options
@click.option(
    "--at",
    required=True,
    metavar="HOST:PORT[,...]",
    callback=_parse_gateway_addresses,
    help="Addresses of the gateways, ordered by gateway number.",
)
@click.option(
    "--scenario",
    "name",
    default="quiet",
    show_default=True,
    help="Scenario, by name or file, that defines classes, plans, customers and clients.",
)
def load(
    seed: int,
    rate: float | None,
    length: float | None,
    to_rate: float | None,
    burst: tuple[float, float, float] | None,
    folder: Path | None,
    workers: int | None,
    json_: bool,
    metrics: Address | None,
    at: list[str],
    name: str,
) -> None:
    """Generate load on gateways that already run.

    The load is an open loop: tries are sent when due, however long answers take, and latency is measured
    from the due time. If the load generator was late, the run is void and exits with 1.

    \b
    Examples:
      plumwall load --at 127.0.0.1:8081 --rate 200 --length 20
      plumwall load --at 127.0.0.1:8081,127.0.0.1:8082 --rate 50 --to 500
      plumwall load --at 127.0.0.1:8081 --burst 300 5 2 --json
    """
    scenario = with_overrides(load_scenario(name), rate, length, to_rate, burst, gateways=len(at))
    worker_count = _client_workers(workers, scenario.load)
    run_dir = run_folder(folder, f"load-{scenario.name}", seed)
    with (
        ProgressDisplay(f"load of {scenario.name}, seed {seed}", json_) as display,
        _serve_metrics(metrics, display) as exporter,
    ):
        run = Run(
            Options(scenario=scenario, seed=seed, folder=run_dir, client_workers=worker_count, gateways=at),
            display.report,
            display.update,
            exporter,
        )
        outcome = _run_until_signal(run.play)
    report_outcome(outcome, json_)
