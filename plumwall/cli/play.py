"""`up` and `load`: run a world and its gateways, or only a load on gateways that are up."""

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
    BadFileError,
    PlainLines,
    WorkFailedError,
    err,
    host_port,
    out,
    say_json,
    table,
)
from plumwall.cli.scenario import found
from plumwall.cli.service import log_format
from plumwall.emulator.fleet import StartError
from plumwall.emulator.metrics import Exporter
from plumwall.emulator.run import DEFAULT_DEPLOY_FILE, Options, Run, RunOutcome, RunStatus
from yewstage.log import TEXT
from yewstage.net.config import Address

RATE_OF_A_WORKER = 3000.0  # first tries a second that one process of clients or servers carries with ease
SHOWN = 10  # findings on the screen; the rest is in the run's folder


class Screen:
    """What is seen while a run goes on: a table that is drawn anew, or plain lines."""

    def __init__(self, title: str, json_: bool) -> None:
        self._title, self._plain = title, PlainLines()
        self._live = Live(console=err, refresh_per_second=4, transient=True) if err.is_terminal else None
        self._quiet = json_ and self._live is None

    def __enter__(self) -> Screen:
        if self._live is not None:
            self._live.start()
        return self

    def __exit__(self, *error: object) -> None:
        if self._live is not None:
            self._live.stop()

    def say(self, text: str) -> None:
        """Where the run is."""
        err.print(f"[dim]{text}[/dim]") if self._live is not None else click.echo(text, err=True)

    def look(self, seen: RunStatus) -> None:
        """Figures once a second."""
        if self._live is not None:
            self._live.update(
                Group(
                    f"[bold]{self._title}[/bold]  {seen.at_s:.0f} s   last fault: {seen.fault or 'none'}",
                    self._table(seen),
                )
            )
        elif not self._quiet:
            served = sum(s.served for s in seen.gateways.values())
            tries = sum(s.tries for s in seen.gateways.values())
            self._plain.say(
                f"{seen.at_s:.0f} s: {tries} tries a second ended, {served} served; last fault: "
                f"{seen.fault or 'none'}"
            )

    def _table(self, seen: RunStatus) -> Table:
        rows = []
        for name in sorted(seen.metrics or seen.gateways, key=lambda n: (len(n), n)):
            second, figures = seen.gateways.get(name), seen.metrics.get(name, {})
            counts = (
                (second.tries, second.served, second.refused, second.failed, second.p50_ms, second.p99_ms)
                if second
                else (0, 0, 0, 0, 0.0, 0.0)
            )
            rows.append(
                (
                    name,
                    seen.states.get(name, "-"),
                    *counts,
                    _pressure(figures),
                    figures.get("process_resident_memory_bytes", 0.0) / 2**20,
                )
            )
        return table(
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


def _pressure(figures: dict[str, float]) -> str:
    """The smoothed occupancy that the ramp goes by, and the part of new work that it lets in."""
    if "gateway_pressure" not in figures:
        return "-"
    return f"{figures['gateway_pressure']:.2f}, lets in {figures['gateway_admitted_share']:.0%}"


def _metrics(context: click.Context, parameter: click.Parameter, value: str | None) -> Address | None:
    return host_port("--metrics", value) if value else None


@contextmanager
def _exporter(at: Address | None, screen: Screen) -> Iterator[Exporter]:
    """Figures for Prometheus for as long as a run lasts."""
    exporter = Exporter()
    if at is not None:
        try:
            screen.say(f"figures at http://{at[0]}:{exporter.serve(at)}/metrics")
        except OSError as error:
            raise WorkFailedError(f"--metrics: {error}") from None
    try:
        yield exporter
    finally:
        exporter.close()


def _shared(command: Callable) -> Callable:
    """Options of both commands."""
    for option in (
        click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Draws the day."),
        click.option(
            "--rate", type=click.FloatRange(0, min_open=True), help="First tries a second inside quotas."
        ),
        click.option("--length", type=click.FloatRange(0, min_open=True), help="Of the load, seconds."),
        click.option(
            "--to",
            "to_rate",
            type=click.FloatRange(0, min_open=True),
            help="A ramp: the rate that the load ends at.",
        ),
        click.option(
            "--burst",
            nargs=3,
            type=click.FloatRange(0),
            default=None,
            help="A burst: its rate, when it begins and how long it lasts (seconds).",
        ),
        click.option(
            "--out",
            "folder",
            type=click.Path(file_okay=False, path_type=Path),
            help="Where records and logs go. Default: runs/NAME-SEED-TIME.",
        ),
        click.option("--workers", type=click.IntRange(1, 64), help="Processes of clients, and of servers."),
        click.option("--json", "json_", is_flag=True, help="Print the outcome as JSON."),
        click.option(
            "--metrics",
            metavar="HOST:PORT",
            callback=_metrics,
            help="Answer Prometheus there while the run goes on.",
        ),
    ):
        command = option(command)
    return command


def changed(
    made: scenarios.Scenario,
    rate: float | None,
    length: float | None,
    to_rate: float | None,
    burst: Sequence[float] | None,
    gateways: int | None = None,
    servers: int | None = None,
) -> scenarios.Scenario:
    """A scenario with what the command line says instead."""
    replace = msgspec.structs.replace
    load = made.load
    if rate is not None:
        load = replace(load, rate_per_s=rate)
    if to_rate is not None:
        load = replace(load, shape="ramp", to_per_s=to_rate)
    if burst:
        load = replace(load, shape="burst", to_per_s=burst[0], burst_at_s=burst[1], burst_for_s=burst[2])
    made = replace(made, load=load, length_s=length if length is not None else made.length_s)
    if gateways is not None:
        made = replace(made, fleet=replace(made.fleet, gateways=gateways))
    if servers is not None:
        made = replace(made, servers=replace(made.servers, count=servers))
    try:
        scenarios.check(made)
        return scenarios.decode_json(scenarios.encode(made))
    except scenarios.ScenarioError as error:
        raise BadFileError(str(error)) from None


def _client_workers(workers: int | None, load: scenarios.Load) -> int:
    """What was asked for, else as many as the load wants."""
    return workers or max(1, round(max(load.rate_per_s, load.to_per_s) / RATE_OF_A_WORKER))


def run_folder(folder: Path | None, name: str, seed: int) -> Path:
    """Where a run's files go: what was asked for, which has to be empty, or a folder of its own."""
    made = folder or Path("runs") / f"{name}-{seed}-{time.strftime('%Y%m%dT%H%M%S')}"
    if made.exists() and any(made.iterdir()):
        raise BadFileError(f"--out: {made} is not empty")
    return made


def _play(work: Callable[[], Coroutine]) -> object:
    """Run to the end; SIGINT and SIGTERM end it in order, children first."""

    async def guarded() -> object:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await work()

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError:
        return None
    except StartError as error:
        raise WorkFailedError(str(error)) from None


@click.command()
@click.argument("name", metavar="[SCENARIO]", default="quiet")
@_shared
@click.option("--gateways", type=click.IntRange(1, 250), help="How many.")
@click.option("--servers", type=click.IntRange(1, 2000), help="How many.")
@click.option(
    "--deploy",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=DEFAULT_DEPLOY_FILE,
    help="The deploy file whose `run` starts a gateway.",
    show_default="the project's own",
)
@log_format
@click.option("--no-load", is_flag=True, help="Only the world and its gateways, until Ctrl-C.")
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
    """Play a SCENARIO: servers, counter, lists, customers and faults round real gateways, then judge the run.

    Without SCENARIO it is an ordinary day, `quiet`. Ends with 1 if a rule broke, a gateway crashed or the
    load tool was late.

    \b
    Examples:
      plumwall up
      plumwall up zone-lost --seed 3 --gateways 10 --servers 30 --rate 200
      plumwall up --no-load
    """
    made = changed(found(name), rate, length, to_rate, burst, gateways, servers)
    count = _client_workers(workers, made.load)
    where = run_folder(folder, made.name, seed)
    with Screen(f"{made.name}, seed {seed}", json_) as screen, _exporter(metrics, screen) as exporter:
        run = Run(
            Options(
                scenario=made,
                seed=seed,
                folder=where,
                deploy=deploy,
                log_format=log_format or TEXT,
                client_workers=0 if no_load else count,
                host_workers=(count + 1) // 2,
            ),
            screen.say,
            screen.look,
            exporter,
        )
        outcome = _play(lambda: _hold(run, screen) if no_load else run.play())
    if no_load:
        return
    report(outcome, json_)


async def _hold(run: Run, screen: Screen) -> None:
    task = asyncio.ensure_future(run.serve_until_cancelled())
    while not task.done() and not run.load_start_ms:
        await asyncio.sleep(0.1)
    if run.load_start_ms:
        at = ",".join(gateway.listen for gateway in run.gateways.values())
        screen.say(
            f"gateways are up; to try them: plumwall load --at {at} --scenario {run.scenario.name} "
            f"--seed {run.options.seed}"
        )
    try:
        await task
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise


def _gateways(context: click.Context, parameter: click.Parameter, value: str) -> list[str]:
    return ["{}:{}".format(*host_port("--at", at)) for at in value.split(",")]


@click.command()
@_shared
@click.option(
    "--at",
    required=True,
    metavar="HOST:PORT[,...]",
    callback=_gateways,
    help="Addresses of the gateways, in the order of their numbers.",
)
@click.option(
    "--scenario",
    "name",
    default="quiet",
    show_default=True,
    help="Classes, plans, customers and clients, by name or file.",
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
    """Load gateways that are up already.

    An open loop: tries are sent when they are due, however long answers take; latency counts from then. A run
    whose tool was late is void, and ends with 1.

    \b
    Examples:
      plumwall load --at 127.0.0.1:8081 --rate 200 --length 20
      plumwall load --at 127.0.0.1:8081,127.0.0.1:8082 --rate 50 --to 500
      plumwall load --at 127.0.0.1:8081 --burst 300 5 2 --json
    """
    made = changed(found(name), rate, length, to_rate, burst, gateways=len(at))
    count = _client_workers(workers, made.load)
    where = run_folder(folder, f"load-{made.name}", seed)
    with Screen(f"load of {made.name}, seed {seed}", json_) as screen, _exporter(metrics, screen) as exporter:
        run = Run(
            Options(scenario=made, seed=seed, folder=where, client_workers=count, gateways=at),
            screen.say,
            screen.look,
            exporter,
        )
        outcome = _play(run.play)
    report(outcome, json_)


def report(outcome: RunOutcome | None, json_: bool) -> None:
    """Figures and findings; the exit status says whether all is well."""
    if outcome is None:
        raise WorkFailedError("ended before the run was over")
    if json_:
        say_json(outcome)
    else:
        _print(outcome)
    verdict = outcome.verdict
    if outcome.void:
        raise WorkFailedError(f"void: {outcome.void}")
    if verdict is not None and not verdict.kept:
        broken = ", ".join(f"{rule} {count}" for rule, count in verdict.breaches.items())
        raise WorkFailedError(f"rules broken: {broken}")


def _print(outcome: RunOutcome) -> None:
    rows = [tuple(getattr(row, name) for name in row.__struct_fields__) for row in outcome.rows]
    out.print(
        table(
            ("by", "name", "tries", "served", "refused", "failed", "p50 ms", "p90 ms", "p99 ms", "max ms"),
            rows,
        )
    )
    out.print(
        f"\n{outcome.tries} tries, {outcome.offered_per_s:.0f} a second, at the most "
        f"{outcome.most_offered_in_1s}; {outcome.most_served_in_1s} served in one second at the most; "
        f"late by {outcome.late_ms:.1f} "
        "ms at the 99th percentile",
        markup=False,
    )
    verdict = outcome.verdict
    if verdict is not None:
        _print_verdict(outcome)
    out.print(f"records and logs: {outcome.folder}", markup=False)


def _print_verdict(outcome: RunOutcome) -> None:
    verdict, service = outcome.verdict, outcome.verdict.service
    out.print(
        f"service {service.whole:.3f} whole, {service.worst_window:.3f} worst 10 s (from "
        f"{service.worst_window_from_s:.0f} s), {service.worst_plan:.3f} worst plan",
        markup=False,
    )
    plans = ", ".join(f"{name} {value:.3f}" for name, value in service.plans.items())
    classes = ", ".join(f"{name} {value:.3f}" for name, value in service.classes.items())
    losses = ", ".join(f"{name} {value:.4f}" for name, value in service.losses.items() if value >= 0.00005)
    prices = ", ".join(f"{name} {value:.4f}" for name, value in service.prices.items() if value >= 0.00005)
    out.print(
        f"  lost: {losses or 'nothing'}\n  plans: {plans}\n  classes: {classes}\n"
        f"  prices: {prices or 'none'}\n  figure {service.figure:.3f}",
        markup=False,
    )
    counts = ", ".join(f"{value:g} {name.replace('_', ' ')}" for name, value in verdict.counts.items())
    out.print(f"  {counts}", markup=False)
    cpu = sum(outcome.cpu_s.values()) / max(1, outcome.tries) * 1e6
    out.print(
        f"  gateways: {cpu:.0f} us of processor time a try, starts included; "
        f"{max(outcome.memory_mb.values(), default=0):.0f} MiB at the most",
        markup=False,
    )
    reasons = ", ".join(f"{reason} {count:,}" for reason, count in outcome.refusals.items() if count)
    out.print(f"  refused by gateways: {reasons or 'nothing'}", markup=False)
    out.print("[green]rules kept[/green]" if verdict.kept else "[red]rules broken[/red]")
    for finding in verdict.findings[:SHOWN]:
        out.print(f"  {finding.line()}", markup=False)
    if len(verdict.findings) > SHOWN:
        out.print(
            f"  and {len(verdict.findings) - SHOWN} more in {outcome.folder}/outcome.json", markup=False
        )
