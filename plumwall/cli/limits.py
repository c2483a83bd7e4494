"""`plumwall limits`: the quota shares granted to gateways, and how far a quota can be exceeded."""

from __future__ import annotations

import click

from plumwall.cli.console import json_option, print_fields
from plumwall.cli.servers import at_option, call_service
from yewstage.net.config import Address
from yewstage.policy import quota_account_name


@click.command()
@click.argument("customer")
@click.option("--plan", required=True, help="The customer's plan.")
@at_option
@click.option("--gateways", type=click.IntRange(1), default=1, show_default=True, help="Number of gateways.")
@click.option(
    "--floor",
    type=click.FloatRange(0),
    default=0.0,
    show_default=True,
    help="Units that each isolated gateway may spend in a bounded plan.",
)
@json_option
def limits(customer: str, plan: str, at: list[Address], gateways: int, floor: float, json_: bool) -> None:
    """Show the shares of a CUSTOMER's quota that the holding has granted to gateways.

    In `strict` mode (no floor) the quota is never exceeded. In `bounded` mode each outage allows at most
    isolated gateways x floor more. A customer without an account has the full quota available.

    \b
    Example:
      plumwall limits 00000000000000aa --plan basic --at 127.0.0.1:8501,127.0.0.1:8502
    """
    name = quota_account_name(plan, customer)
    account = call_service(at, "POST", f"/v1/shares/{name}/show", {}, quiet=json_)["account"]
    shares = account["granted"] if account else []
    print_fields(
        {
            "account": name,
            "rate": f"{account['rate']:g} a second" if account else "not known here: full",
            "burst": account["burst"] if account else "",
            "units left": account["units"] if account else "",
            "granted": "; ".join(map(_format_share, shares)) or "nothing",
            "over, at most": f"{gateways * floor:g} units in an outage: {gateways} gateways x {floor:g}",
        },
        json_,
    )


def _format_share(share: dict[str, object]) -> str:
    return f"{share['by']}: {share['units']:g} units, {share['leftMs'] / 1000:.1f} s"
