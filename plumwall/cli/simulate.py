"""`plumwall simulate`: a scenario under a virtual clock."""

from __future__ import annotations

from pathlib import Path

import click

from plumwall.cli.console import BadFileError, waiting
from plumwall.cli.play import changed, report, run_folder
from plumwall.cli.scenario import found
from plumwall.simulate.run import NotSimulatedError, Simulation


@click.command()
@click.argument("name", metavar="[SCENARIO]", default="quiet")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Draws the day.")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="First tries a second inside quotas.")
@click.option("--length", type=click.FloatRange(0, min_open=True), help="Of the load, seconds.")
@click.option("--gateways", type=click.IntRange(1, 4000), help="How many.")
@click.option("--servers", type=click.IntRange(1, 2000), help="How many.")
@click.option(
    "--out",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Where records go. Default: runs/NAME-SEED-TIME.",
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
    """Play a SCENARIO round the real module under a virtual clock: one process, no sockets.

    The same seed gives the same files, byte for byte. Ends with 1 if a rule broke.

    \b
    Examples:
      plumwall simulate zone-lost --seed 3
      plumwall simulate quiet --gateways 200 --servers 200 --rate 1000
    """
    made = changed(found(name), rate, length, None, None, gateways, servers)
    out = run_folder(folder, f"simulated-{made.name}", seed)
    with waiting("simulation", json_) as say:
        try:
            simulation = Simulation(made, seed, say)
        except NotSimulatedError as error:
            raise BadFileError(str(error)) from None
        simulation.play()
        outcome = simulation.outcome(out)
    report(outcome, json_)
