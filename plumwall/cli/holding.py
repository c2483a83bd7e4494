"""Commands to the processes that hold what is promised: begin a group, look at it, change it by hand."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click
import msgspec

from plumwall.cli.console import (
    FILE,
    BadFileError,
    WorkFailedError,
    as_json,
    fields,
    say_json,
    say_table,
)
from plumwall.cli.servers import ask, at_option
from plumwall.cli.service import become, chosen_format, log_format
from yewstage.holding.config import holding_config as read_config
from yewstage.holding.group_names import LIST_GROUP, MAX_KEY_GROUPS, PLACEMENT_GROUP
from yewstage.holding.member_changes import founder_and_members
from yewstage.holding.recover import read_backups, restore_cluster
from yewstage.net.config import Address, ConfigError
from yewstage.raft.disk import DiskError
from yewstage.registry.client import get_once
from yewstage.registry.config import read

WAIT_S = 2.0
PROCESS_COLUMNS = ("process", "zone", "groups", "leads", "epoch", "disk bytes", "trouble")
GROUP_COLUMNS = ("group", "led by", "term", "commit", "copies", "short", "most behind", "homes")


@click.group()
def holding() -> None:
    """Run and look after the replicated holding: what was promised, on several disks."""


@holding.command()
@click.option("--config", type=FILE, required=True, help="What the process is told, as JSON.")
@log_format
def run(config: Path, log_format: str | None) -> None:
    """Run one holding process.

    \b
    Example:
      plumwall holding run --config holding.json
    """
    become("yewstage.holding", "--config", str(config), *chosen_format(log_format))


async def _statuses(at: list[Address]) -> list[dict[str, object]]:
    return list(await asyncio.gather(*(get_once(one, "/v1/holding/status", WAIT_S) for one in at)))


def _trouble(status: dict[str, object]) -> str:
    """What is wrong with one process, in one line."""
    if not status["begun"]:
        return "waits to be let in, or for a cluster to be begun"
    held = _held(status)
    full = [f"{group}: {here['full']}" for group, here in held.items() if here["full"]]
    if full:
        return "; ".join(full)
    if status["usedTwice"]:
        return f"names used twice: {', '.join(status['usedTwice'])}"
    if not status["epoch"]:
        return "no places are agreed: run plumwall holding init"
    forgot = sorted({m["id"] for here in held.values() for m in here["members"] if m["forgot"]})
    if forgot:
        return f"replace the disk of {', '.join(forgot)}: it forgets what it said to be durable"
    alone = [group for group, here in held.items() if not here["leader"]]
    if alone:
        return f"no leader of {', '.join(alone)}: a majority is not there, writes are refused"
    return "out: holds nothing new" if status["name"] in status["out"] else ""


def _held(status: dict[str, object]) -> dict[str, dict[str, object]]:
    """The groups that a process is to hold. What it held before lies on its disk, and hears of no leader."""
    name, homes = status["name"], status["homes"]
    return {g: here for g, here in status["groups"].items() if name in homes.get(g, [name])}


def _leaders(statuses: list[dict[str, object]]) -> dict[str, tuple[str, dict[str, object]]]:
    """Of each group who leads it, by the highest term, and what that one says of it."""
    found: dict[str, tuple[str, dict[str, object]]] = {}
    for told in statuses:
        for group, here in told["groups"].items() if told else ():
            if here["role"] == "leader" and here["term"] > found.get(group, ("", {"term": 0}))[1]["term"]:
                found[group] = told["name"], here
    return found


def _homes(statuses: list[dict[str, object]]) -> dict[str, list[str]]:
    """Of each group where it is to be, by the newest table."""
    newest = max((s for s in statuses if s), key=lambda s: s["epoch"], default=None)
    return newest["homes"] if newest else {}


@holding.command()
@at_option
@as_json
def status(at: list[Address], json_: bool) -> None:
    """Show who holds what: processes, groups, zones, lag, copies that are missing. 1 if something is.

    \b
    Example:
      plumwall holding status --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    names = [f"{host}:{port}" for host, port in at]
    leaders, homes = _leaders(statuses), _homes(statuses)
    if json_:
        say_json(dict(zip(names, statuses, strict=True)))
    else:
        say_table(PROCESS_COLUMNS, [_process_row(*pair) for pair in zip(names, statuses, strict=True)])
        say_table(GROUP_COLUMNS, [_group_row(group, leaders.get(group), homes[group]) for group in homes])
    short = any(group not in leaders or leaders[group][1]["short"] for group in homes)
    if short or not homes or not all(statuses):
        raise SystemExit(1)


def _process_row(name: str, told: dict[str, object]) -> list[object]:
    if not told:
        return [name, "", "no answer", *[""] * 4]
    leads = [group for group, here in told["groups"].items() if here["role"] == "leader"]
    groups = " ".join(_held(told))
    led = " ".join(leads)
    return [told["id"], told["zone"], groups, led, told["epoch"], told["diskBytes"], _trouble(told)]


def _group_row(group: str, led: tuple[str, dict[str, object]] | None, homes: list[str]) -> list[object]:
    if led is None:
        return [group, "nobody", *[""] * 5, " ".join(homes)]
    name, here = led
    voters = sum(m["voter"] for m in here["members"])
    behind = max((m["behind"] or 0 for m in here["members"]), default=0)
    return [group, name, here["term"], here["commit"], voters, here["short"], behind, " ".join(homes)]


@holding.command()
@at_option
@click.option(
    "--keyed",
    type=click.IntRange(0, MAX_KEY_GROUPS),
    default=4,
    show_default=True,
    help="Groups over which keys of requests are split; fixed from then on.",
)
def init(at: list[Address], keyed: int) -> None:
    """Begin a cluster on these processes. Once; a list that is held already is taken in.

    \b
    Example:
      plumwall holding init --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    for (host, port), told in zip(at, statuses, strict=True):
        if not told:
            raise WorkFailedError(f"no answer from {host}:{port}; all have to be there")
        if told["epoch"] or any(group != LIST_GROUP for group in told["groups"]):
            raise WorkFailedError(
                f"{told['id']} at {host}:{port} holds something already; nothing was changed"
            )
    if len({told["cluster"] for told in statuses}) > 1:
        raise WorkFailedError("they are of several clusters; nothing was changed")
    first, members = founder_and_members(statuses, PLACEMENT_GROUP)
    body = {"members": members, "first": time.time() * 1000, "keyed": keyed}
    told = ask([at[first]], "POST", "/v1/holding/init", body)
    click.echo(f"{told['groups']} groups begun on {', '.join(sorted(s['id'] for s in statuses))}")


def _say_homes(told: dict[str, object], json_: bool) -> None:
    fields({"epoch": told["epoch"], **{g: " ".join(homes) for g, homes in told["homes"].items()}}, json_)


@holding.command()
@click.argument("group")
@click.argument("old", metavar="FROM")
@click.argument("new", metavar="TO")
@at_option
@as_json
def move(group: str, old: str, new: str, at: list[Address], json_: bool) -> None:
    """Move a group's copy from one machine to another. The old copy goes once the new one has all.

    \b
    Example:
      plumwall holding move keys-2 g1 g7 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    body = {"group": group, "from": old, "to": new}
    _say_homes(ask(at, "POST", "/v1/holding/move", body, quiet=json_), json_)


@holding.command()
@click.argument("machine")
@at_option
@as_json
def add(machine: str, at: list[Address], json_: bool) -> None:
    """Give a machine its part of the groups, one after the other; also one that was taken out.

    \b
    Example:
      plumwall holding add g7 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    _say_homes(ask(at, "POST", "/v1/holding/add", {"name": machine}, quiet=json_), json_)


@holding.command()
@click.argument("machine")
@at_option
@as_json
def remove(machine: str, at: list[Address], json_: bool) -> None:
    """Move all that a machine holds to others; `status` shows when nothing is left on it.

    \b
    Example:
      plumwall holding remove g3 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    _say_homes(ask(at, "POST", "/v1/holding/remove", {"name": machine}, quiet=json_), json_)


@holding.command()
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
@at_option
def backup(to: Path, at: list[Address]) -> None:
    """Write all that is held, group by group as each leader has it then, to a file.

    \b
    Example:
      plumwall holding backup held.json --at 127.0.0.1:8501,127.0.0.1:8502
    """
    homes = _homes(asyncio.run(_statuses(at)))
    if not homes:
        raise WorkFailedError("nobody there knows of any group")
    bodies = [ask(at, "GET", f"/v1/holding/backup?group={group}") for group in homes]
    part = to.with_suffix(".part")
    part.write_bytes(b"\n".join(map(msgspec.json.encode, bodies)) + b"\n")
    part.rename(to)
    for body in bodies:
        state = body["state"]
        kinds = [kind for kind in ("records", "leases", "keys") if kind in state]
        held = ", ".join(f"{len(state[kind])} {kind}" for kind in kinds)
        click.echo(f"{body['group']}: index {body['index']} of {body['cluster']}{held and ': '}{held}")


@holding.command()
@click.option("--config", type=FILE, required=True, help="Of the process that begins, under a new `cluster`.")
@click.option(
    "--from",
    "sources",
    type=click.Path(exists=True, path_type=Path),
    required=True,
    multiple=True,
    help="A backup, or the folder of a member that is left; several: of each group the newest counts.",
)
@click.option("--without", metavar="GROUP", multiple=True, help="A group that is lost, to begin empty.")
def restore(config: Path, sources: tuple[Path, ...], without: tuple[str, ...]) -> None:
    """Begin again, when majorities are lost for good: one member on an empty folder, which others then join.

    What the old majorities acknowledged later than that is lost. Nothing of the old cluster is touched,
    and what comes back of it is refused.

    \b
    Example:
      plumwall holding restore --config g1-anew.json --from /var/lib/plumwall/holding
    """
    try:
        known = read_config(read(str(config)))
        found = read_backups(sources)
        name = restore_cluster(known, found, time.time() * 1000, without)
    except (ConfigError, DiskError) as error:
        raise BadFileError(str(error)) from None
    told = ", ".join(f"{group} at index {backup.index}" for group, backup in sorted(found.items()))
    click.echo(f"{name} begins {known.cluster} with {told}; start it, then the others on empty folders")


@holding.command("hand-over")
@click.option("--group", default="", help="Only this one; else all that are led there.")
@at_option
@as_json
def hand_over(group: str, at: list[Address], json_: bool) -> None:
    """Let other replicas lead, before a machine is worked on. Stopping a process does this by itself.

    \b
    Example:
      plumwall holding hand-over --at 127.0.0.1:8501
    """
    body = ask(at, "POST", "/v1/holding/hand-over", {"group": group}, quiet=json_)
    fields({"handed": " ".join(body["handed"]) or "nothing"}, json_)
