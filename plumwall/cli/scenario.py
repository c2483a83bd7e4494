"""Commands on scenarios: which there are, what a file may say, whether one can be played, what it draws."""

from __future__ import annotations

import click

from plumwall import scenario as scenarios
from plumwall.cli.console import BadFileError, as_json, fields, say_json, say_table


def found(name: str) -> scenarios.Scenario:
    """A scenario by its name or file; bad ones end the command with the path of the field."""
    try:
        return scenarios.load(scenarios.find_path(name))
    except scenarios.ScenarioError as error:
        raise BadFileError(str(error)) from None


@click.group()
def scenario() -> None:
    """Scenarios: worlds that gateways are tried in."""


@scenario.command("list")
@as_json
def list_(json_: bool) -> None:
    """Show the scenarios that come with the program.

    \b
    Example:
      plumwall scenario list
    """
    rows = [(name, made.length_s, made.about) for name in scenarios.built_in() for made in [found(name)]]
    say_table(("name", "length_s", "about"), rows, json_=json_)


@scenario.command()
@click.argument("name", metavar="SCENARIO")
@as_json
def check(name: str, json_: bool) -> None:
    """Check a SCENARIO by its name or file; nothing is started.

    \b
    Example:
      plumwall scenario check my-day.toml
    """
    made = found(name)
    fields(
        {
            "name": made.name,
            "about": made.about,
            "length_s": made.length_s,
            "gateways": made.fleet.gateways,
            "servers": made.servers.count,
            "rate_per_s": made.load.rate_per_s,
            "faults": len(made.faults),
        },
        json_,
    )


@scenario.command("fields")
@as_json
def fields_(json_: bool) -> None:
    """Show every field of a scenario file, with its unit and default.

    \b
    Example:
      plumwall scenario fields
    """
    say_table(
        ("field", "unit", "default", "meaning"),
        [(f.path, f.unit, f.default, f.meaning) for f in scenarios.describe_fields()],
        json_=json_,
    )


@scenario.command()
@click.argument("name", metavar="SCENARIO")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Draws the day.")
@click.option("--all", "all_", is_flag=True, help="Every request, customer and server, not only a summary.")
@as_json
def draw(name: str, seed: int, all_: bool, json_: bool) -> None:
    """Show what a SCENARIO draws by a seed: the same each time, byte for byte.

    \b
    Examples:
      plumwall scenario draw zone-lost --seed 3
      plumwall scenario draw zone-lost --seed 3 --all > day.jsonl
    """
    from plumwall.world.generator import GeneratedWorld  # numpy is needed here alone

    day = GeneratedWorld(found(name), seed)
    if all_:
        for line in day.lines():
            click.echo(line)
    elif json_:
        say_json(
            {
                "servers": len(day.servers),
                "customers": len(day.customers),
                "first_tries": len(day.first_tries),
                "changes": day.fault_events,
            }
        )
    else:
        click.echo(
            f"{len(day.servers)} servers, {len(day.customers)} customers, {len(day.first_tries)} first tries"
        )
        say_table(
            ("at_s", "change", "target", "size"),
            [(c.at_ms / 1000, c.kind, c.target, c.size) for c in day.fault_events],
        )
