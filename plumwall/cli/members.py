"""`plumwall members` and `plumwall verdicts`: members of a fleet, and servers that fail for its gateways."""

from __future__ import annotations

import asyncio
from collections import Counter

import click

from plumwall.cli.console import WorkFailedError, json_option, print_json, print_table
from plumwall.cli.servers import parse_addresses
from yewstage.net.config import Address
from yewstage.registry.client import get_once

STATUS_TIMEOUT_S = 2.0
MEMBER_COLUMNS = ("name", "zone", "region", "state", "for", "incarnation", "by", "seen otherwise by")
MEMBER_STATES = ("alive", "suspect", "dead", "left")
VERDICT_COLUMNS = ("server", "fails for", "of zones", "gateways (times in a row)", "oldest word")
GATEWAY_COLUMNS = ("asked", "name", *MEMBER_STATES, "health", "false suspicions", "dropped", "trouble")


at_option = click.option(
    "--at",
    required=True,
    callback=parse_addresses,
    help="Operators' addresses of gateways, HOST:PORT,...",
)


@click.command()
@at_option
@json_option
def verdicts(at: list[Address], json_: bool) -> None:
    """Show which servers fail for which gateways, as known to the first of these gateways that answers.

    Each gateway judges servers by its own requests; the reports of others do not affect it.

    \b
    Example:
      plumwall verdicts --at 127.0.0.1:9601,127.0.0.1:9602
    """
    status = next((each for each in asyncio.run(_statuses(at)) if each.get("started")), None)
    if status is None:
        raise WorkFailedError("no gateway answers, or none of them has peers")
    rows = [_verdict_row(server, reports) for server, reports in sorted(status["servers"].items())]
    print_table(VERDICT_COLUMNS, rows, f"as {status['name']} knows it", json_)


def _verdict_row(server: str, reports: list[dict[str, object]]) -> list[object]:
    zones = sorted({row["zone"] for row in reports})
    gateways = ", ".join(
        f"{row['gateway']} ({row['times']})" for row in sorted(reports, key=lambda row: row["gateway"])
    )
    return [
        server,
        len(reports),
        " ".join(zones),
        gateways,
        f"{max(row['ageMs'] for row in reports) / 1000:.1f} s",
    ]


@click.command()
@at_option
@json_option
def members(at: list[Address], json_: bool) -> None:
    """Show the members of a fleet as each of these gateways sees them.

    Exits with 1 if the views differ, a member is suspect or dead, or a gateway has trouble
    or does not answer.

    \b
    Example:
      plumwall members --at 127.0.0.1:9601,127.0.0.1:9602,127.0.0.1:9603
    """
    statuses = asyncio.run(_statuses(at))
    names = [f"{host}:{port}" for host, port in at]
    if json_:
        print_json(dict(zip(names, statuses, strict=True)))
    else:
        print_table(MEMBER_COLUMNS, _member_rows(statuses))
        print_table(GATEWAY_COLUMNS, [_gateway_row(*pair) for pair in zip(names, statuses, strict=True)])
    if not _is_healthy(statuses):
        raise SystemExit(1)


async def _statuses(at: list[Address]) -> list[dict[str, object]]:
    return list(
        await asyncio.gather(*(get_once(address, "/ops/members", STATUS_TIMEOUT_S) for address in at))
    )


def _is_healthy(statuses: list[dict[str, object]]) -> bool:
    views = [
        {m["name"]: (m["state"], m["incarnation"]) for m in status.get("members", ())} for status in statuses
    ]
    all_up = all(state in ("alive", "left") for view in views for state, _ in view.values())
    return all_up and all(view and view == views[0] for view in views) and not any(map(_trouble, statuses))


def _member_rows(statuses: list[dict[str, object]]) -> list[list[object]]:
    """One row per member, as the first gateway that knows it reports it, and the gateways that differ."""
    first_seen: dict[str, dict[str, object]] = {}
    for status in statuses:
        for row in status.get("members", ()):
            first_seen.setdefault(row["name"], row)
    rows = []
    for name, row in sorted(first_seen.items()):
        differing = [
            status["name"]
            for status in statuses
            if status.get("started") and _member_state(status, name) != row["state"]
        ]
        since = f"{row['sinceMs'] / 1000:.1f} s"
        rows.append(
            [
                name,
                row["zone"],
                row["region"],
                row["state"],
                since,
                row["incarnation"],
                row["by"],
                ", ".join(differing),
            ]
        )
    return rows


def _member_state(status: dict[str, object], name: str) -> str:
    return next((row["state"] for row in status["members"] if row["name"] == name), "unknown")


def _gateway_row(at: str, status: dict[str, object]) -> list[object]:
    if not status:
        return [at, "", *[""] * 7, "no answer, or it has no peers"]
    if not status["started"]:
        return [at, status["name"], *[""] * 7, "waits for the process before it"]
    count_by_state = Counter(row["state"] for row in status["members"])
    states = [count_by_state[state] for state in MEMBER_STATES]
    dropped = ", ".join(f"{n} {reason}" for reason, n in sorted(status["dropped"].items()))
    return [
        at,
        status["name"],
        *states,
        status["health"],
        status["falseSuspicions"],
        dropped,
        _trouble(status),
    ]


def _trouble(status: dict[str, object]) -> str:
    if not status:
        return "no answer"
    if status.get("contested"):
        return "its name is used twice"
    return "hears badly: it asks more slowly" if status.get("health", 0) > 2 else ""
