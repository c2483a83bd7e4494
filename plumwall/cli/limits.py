"""`plumwall limits`: what is granted of a customer's quota, and how far over it can be."""

from __future__ import annotations

import click

from plumwall.cli.console import as_json, fields
from plumwall.cli.servers import ask, at_option
from yewstage.net.config import Address
from yewstage.policy import quota_account_name


@click.command()
@click.argument("customer")
@click.option("--plan", required=True, help="The customer's plan.")
@at_option
@click.option("--gateways", type=click.IntRange(1), default=1, show_default=True, help="How many there are.")
@click.option("--floor", type=click.FloatRange(0), default=0.0, show_default=True, help="Of a bounded plan.")
@as_json
def limits(customer: str, plan: str, at: list[Address], gateways: int, floor: float, json_: bool) -> None:
    """Show what gateways were granted of a CUSTOMER's quota, by the holding that grants it.

    In `strict` (no floor) no more is ever spent than the quota gives; in `bounded` at most
    gateways cut off x floor more in each outage. Without an account nobody has asked since it was full.

    \b
    Example:
      plumwall limits 00000000000000aa --plan basic --at 127.0.0.1:8501,127.0.0.1:8502
    """
    name = quota_account_name(plan, customer)
    told = ask(at, "POST", f"/v1/shares/{name}/show", {}, quiet=json_)["account"]
    shares = told["granted"] if told else []
    fields(
        {
            "account": name,
            "rate": f"{told['rate']:g} a second" if told else "not known here: full",
            "burst": told["burst"] if told else "",
            "units left": told["units"] if told else "",
            "granted": "; ".join(map(_granted, shares)) or "nothing",
            "over, at most": f"{gateways * floor:g} units in an outage: {gateways} gateways x {floor:g}",
        },
        json_,
    )


def _granted(share: dict[str, object]) -> str:
    return f"{share['by']}: {share['units']:g} units, {share['leftMs'] / 1000:.1f} s"
