"""`plumwall members`, `plumwall verdicts`: who of a fleet is there, and what its gateways find of servers."""

from __future__ import annotations

import asyncio
from collections import Counter

import click

from plumwall.cli.console import WorkFailedError, as_json, say_json, say_table
from plumwall.cli.servers import addresses
from yewstage.net.config import Address
from yewstage.registry.client import get_once

WAIT_S = 2.0
SEEN = ("name", "zone", "region", "state", "for", "incarnation", "by", "seen otherwise by")
STATES = ("alive", "suspect", "dead", "left")
VERDICTS = ("server", "fails for", "of zones", "gateways (times in a row)", "oldest word")
ASKED = ("asked", "name", *STATES, "health", "false suspicions", "dropped", "trouble")


at_option = click.option(
    "--at", required=True, callback=addresses, help="Gateways' operators' addresses, HOST:PORT,..."
)


@click.command()
@at_option
@as_json
def verdicts(at: list[Address], json_: bool) -> None:
    """Show which servers fail for which gateways, as the first of these that answers knows it of all.

    Each gateway judges by itself; nothing is done by what others find yet.

    \b
    Example:
      plumwall verdicts --at 127.0.0.1:9601,127.0.0.1:9602
    """
    told = next((one for one in asyncio.run(_told(at)) if one.get("started")), None)
    if told is None:
        raise WorkFailedError("none of them answers, or none has peers")
    rows = [_verdict(server, found) for server, found in sorted(told["servers"].items())]
    say_table(VERDICTS, rows, f"as {told['name']} knows it", json_)


def _verdict(server: str, found: list[dict[str, object]]) -> list[object]:
    zones = sorted({row["zone"] for row in found})
    who = ", ".join(f"{row['gateway']} ({row['times']})" for row in sorted(found, key=lambda r: r["gateway"]))
    return [server, len(found), " ".join(zones), who, f"{max(row['ageMs'] for row in found) / 1000:.1f} s"]


@click.command()
@at_option
@as_json
def members(at: list[Address], json_: bool) -> None:
    """Show who of a fleet is there, as each of these gateways sees it. 1 if they differ or one is gone.

    \b
    Example:
      plumwall members --at 127.0.0.1:9601,127.0.0.1:9602,127.0.0.1:9603
    """
    told = asyncio.run(_told(at))
    names = [f"{host}:{port}" for host, port in at]
    if json_:
        say_json(dict(zip(names, told, strict=True)))
    else:
        say_table(SEEN, _seen(told))
        say_table(ASKED, [_asked(*pair) for pair in zip(names, told, strict=True)])
    if not _well(told):
        raise SystemExit(1)


async def _told(at: list[Address]) -> list[dict[str, object]]:
    return list(await asyncio.gather(*(get_once(one, "/ops/members", WAIT_S) for one in at)))


def _well(told: list[dict[str, object]]) -> bool:
    views = [{m["name"]: (m["state"], m["incarnation"]) for m in one.get("members", ())} for one in told]
    fine = all(state in ("alive", "left") for view in views for state, _ in view.values())
    return fine and all(view and view == views[0] for view in views) and not any(map(_trouble, told))


def _seen(told: list[dict[str, object]]) -> list[list[object]]:
    """Each member as the first that was asked sees it, and who sees it otherwise."""
    newest: dict[str, dict[str, object]] = {}
    for one in told:
        for row in one.get("members", ()):
            newest.setdefault(row["name"], row)
    rows = []
    for name, row in sorted(newest.items()):
        differ = [one["name"] for one in told if one.get("started") and _state(one, name) != row["state"]]
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
                ", ".join(differ),
            ]
        )
    return rows


def _state(one: dict[str, object], name: str) -> str:
    return next((row["state"] for row in one["members"] if row["name"] == name), "unknown")


def _asked(at: str, one: dict[str, object]) -> list[object]:
    if not one:
        return [at, "", *[""] * 7, "no answer, or it has no peers"]
    if not one["started"]:
        return [at, one["name"], *[""] * 7, "waits for the process before it"]
    count = Counter(row["state"] for row in one["members"])
    states = [count[state] for state in STATES]
    dropped = ", ".join(f"{n} {why}" for why, n in sorted(one["dropped"].items()))
    return [at, one["name"], *states, one["health"], one["falseSuspicions"], dropped, _trouble(one)]


def _trouble(one: dict[str, object]) -> str:
    if not one:
        return "no answer"
    if one.get("contested"):
        return "its name is used twice"
    return "hears badly: it asks more slowly" if one.get("health", 0) > 2 else ""
