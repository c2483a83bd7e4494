"""`plumwall scenario`: lists and validates scenarios, documents their fields, shows what they generate."""

from __future__ import annotations

import click

from plumwall import scenario as scenarios
from plumwall.cli.console import BadInputError, json_option, print_fields, print_json, print_table


def load_scenario(name: str) -> scenarios.Scenario:
    """Load a scenario by name or file; raises BadInputError, which names the invalid field."""
    try:
        return scenarios.load(scenarios.find_path(name))
    except scenarios.ScenarioError as error:
        raise BadInputError(str(error)) from None


@click.group()
def scenario() -> None:
    """Scenarios: the environments, workloads and faults that gateways are tested with."""


@scenario.command("list")
@json_option
def list_(json_: bool) -> None:
    """List the built-in scenarios.

    \b
    Example:
      plumwall scenario list
    """
    rows = [
        (name, loaded.length_s, loaded.about)
        for name in scenarios.built_in()
        for loaded in [load_scenario(name)]
    ]
    print_table(("name", "length_s", "about"), rows, json_=json_)


@scenario.command()
@click.argument("name", metavar="SCENARIO")
@json_option
def check(name: str, json_: bool) -> None:
    """Validate a SCENARIO, given by name or file, without starting it.

    \b
    Example:
      plumwall scenario check my-day.toml
    """
    loaded = load_scenario(name)
    print_fields(
        {
            "name": loaded.name,
            "about": loaded.about,
            "length_s": loaded.length_s,
            "gateways": loaded.fleet.gateways,
            "servers": loaded.servers.count,
            "rate_per_s": loaded.load.rate_per_s,
            "faults": len(loaded.faults),
        },
        json_,
    )


@scenario.command("fields")
@json_option
def fields_(json_: bool) -> None:
    """Show every field of a scenario file, with its unit and default.

    \b
    Example:
      plumwall scenario fields
    """
    print_table(
        ("field", "unit", "default", "meaning"),
        [(field.path, field.unit, field.default, field.meaning) for field in scenarios.describe_fields()],
        json_=json_,
    )


@scenario.command()
@click.argument("name", metavar="SCENARIO")
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the generated world and workload.",
)
@click.option(
    "--all", "all_", is_flag=True, help="Show every request, customer and server instead of a summary."
)
@json_option
def draw(name: str, seed: int, all_: bool, json_: bool) -> None:
    """Show what a SCENARIO generates from a seed. The output is the same each time, byte for byte.

    \b
    Examples:
      plumwall scenario draw zone-lost --seed 3
      plumwall scenario draw zone-lost --seed 3 --all > day.jsonl
    """
    from plumwall.world.generator import GeneratedWorld  # imports numpy, which other commands do not need

    world = GeneratedWorld(load_scenario(name), seed)
    if all_:
        for line in world.lines():
            click.echo(line)
    elif json_:
        print_json(
            {
                "servers": len(world.servers),
                "customers": len(world.customers),
                "first_tries": len(world.first_tries),
                "changes": world.fault_events,
            }
        )
    else:
        click.echo(
            f"{len(world.servers)} servers, {len(world.customers)} customers, "
            f"{len(world.first_tries)} first tries"
        )
        print_table(
            ("at_s", "change", "target", "size"),
            [(change.at_ms / 1000, change.kind, change.target, change.size) for change in world.fault_events],
        )
