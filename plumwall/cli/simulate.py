"""`plumwall simulate`: runs a scenario in virtual time."""

from __future__ import annotations

from pathlib import Path

import click

from plumwall.cli.console import BadInputError, show_progress
from plumwall.cli.outcome import report_outcome
from plumwall.cli.play import run_folder, with_overrides
from plumwall.cli.scenario import load_scenario
from plumwall.simulate.run import NotSimulatedError, Simulation


@click.command()
@click.argument("name", metavar="[SCENARIO]", default="quiet")
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the generated world and workload.",
)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="First tries per second within quotas.")
@click.option("--length", type=click.FloatRange(0, min_open=True), help="Length of the load in seconds.")
@click.option("--gateways", type=click.IntRange(1, 4000), help="Number of gateways.")
@click.option("--servers", type=click.IntRange(1, 2000), help="Number of servers.")
@click.option(
    "--out",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the records. Default: runs/NAME-SEED-TIME.",
)
@click.option("--json", "json_", is_flag=True, help="Print the outcome as JSON.")
def simulate(
    name: str,
    seed: int,
    rate: float | None,
    length: float | None,
    gateways: int | None,
    servers: int | None,
    folder: Path | None,
    json_: bool,
) -> None:
    """Run a SCENARIO on the production policy module in virtual time: one process, no sockets.

    The same seed gives the same files, byte for byte. Exits with 1 if a rule was broken.

    \b
    Examples:
      plumwall simulate zone-lost --seed 3
      plumwall simulate quiet --gateways 200 --servers 200 --rate 1000
    """
    scenario = with_overrides(load_scenario(name), rate, length, None, None, gateways, servers)
    run_dir = run_folder(folder, f"simulated-{scenario.name}", seed)
    with show_progress("simulation", json_) as report:
        try:
            simulation = Simulation(scenario, seed, report)
        except NotSimulatedError as error:
            raise BadInputError(str(error)) from None
        simulation.play()
        outcome = simulation.outcome(run_dir)
    report_outcome(outcome, json_)
