"""`plumwall holding`: runs and administers processes of the holding, the replicated state service."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click
import msgspec

from plumwall.cli.console import (
    EXISTING_FILE,
    BadInputError,
    WorkFailedError,
    json_option,
    print_fields,
    print_json,
    print_table,
)
from plumwall.cli.servers import at_option, call_service
from plumwall.cli.service import exec_module, log_format, log_format_arguments
from yewstage.holding.config import holding_config as read_config
from yewstage.holding.group_names import LIST_GROUP, MAX_KEY_GROUPS, PLACEMENT_GROUP
from yewstage.holding.member_changes import founder_and_members
from yewstage.holding.recover import read_backups, restore_cluster
from yewstage.net.config import Address, ConfigError
from yewstage.raft.disk import DiskError
from yewstage.registry.client import get_once
from yewstage.registry.config import read

STATUS_TIMEOUT_S = 2.0
PROCESS_COLUMNS = ("process", "zone", "groups", "leads", "epoch", "disk bytes", "trouble")
GROUP_COLUMNS = ("group", "led by", "term", "commit", "copies", "short", "most behind", "homes")


@click.group()
def holding() -> None:
    """Run and administer the holding, the replicated state service."""


@holding.command()
@click.option(
    "--config", type=EXISTING_FILE, required=True, help="JSON file with the configuration of the process."
)
@log_format
def run(config: Path, log_format: str | None) -> None:
    """Run one holding process.

    \b
    Example:
      plumwall holding run --config holding.json
    """
    exec_module("yewstage.holding", "--config", str(config), *log_format_arguments(log_format))


async def _statuses(at: list[Address]) -> list[dict[str, object]]:
    return list(
        await asyncio.gather(*(get_once(address, "/v1/holding/status", STATUS_TIMEOUT_S) for address in at))
    )


def _trouble(status: dict[str, object]) -> str:
    """The most important problem of one process, in one line; empty if there is none."""
    if not status["begun"]:
        return "waits to be let in, or for a cluster to be begun"
    assigned = _assigned_groups(status)
    write_errors = [f"{group}: {here['full']}" for group, here in assigned.items() if here["full"]]
    if write_errors:
        return "; ".join(write_errors)
    if status["usedTwice"]:
        return f"names used twice: {', '.join(status['usedTwice'])}"
    if not status["epoch"]:
        return "no places are agreed: run plumwall holding init"
    faulty = sorted({m["id"] for here in assigned.values() for m in here["members"] if m["forgot"]})
    if faulty:
        return f"replace the disk of {', '.join(faulty)}: it forgets what it said to be durable"
    leaderless = [group for group, here in assigned.items() if not here["leader"]]
    if leaderless:
        return f"no leader of {', '.join(leaderless)}: a majority is not there, writes are refused"
    return "out: holds nothing new" if status["name"] in status["out"] else ""


def _assigned_groups(status: dict[str, object]) -> dict[str, dict[str, object]]:
    """The groups that are assigned to a process, and those that its placement table does not contain.

    Groups that were moved away are left out: their data is still on disk, but they have no leader there.
    """
    name, homes = status["name"], status["homes"]
    return {g: here for g, here in status["groups"].items() if name in homes.get(g, [name])}


def _leaders(statuses: list[dict[str, object]]) -> dict[str, tuple[str, dict[str, object]]]:
    """The leader of each group and its view of the group; of several leaders, the one of the highest term."""
    leaders: dict[str, tuple[str, dict[str, object]]] = {}
    for status in statuses:
        for group, here in status["groups"].items() if status else ():
            if here["role"] == "leader" and here["term"] > leaders.get(group, ("", {"term": 0}))[1]["term"]:
                leaders[group] = status["name"], here
    return leaders


def _homes(statuses: list[dict[str, object]]) -> dict[str, list[str]]:
    """The machines of each group, by the newest placement table; empty if no process has one."""
    newest = max((s for s in statuses if s), key=lambda s: s["epoch"], default=None)
    return newest["homes"] if newest else {}


@holding.command()
@at_option
@json_option
def status(at: list[Address], json_: bool) -> None:
    """Show processes, groups, zones, replication lag and missing copies.

    Exits with 1 if a copy or leader is missing, or a process does not answer.

    \b
    Example:
      plumwall holding status --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    names = [f"{host}:{port}" for host, port in at]
    leaders, homes = _leaders(statuses), _homes(statuses)
    if json_:
        print_json(dict(zip(names, statuses, strict=True)))
    else:
        print_table(PROCESS_COLUMNS, [_process_row(*pair) for pair in zip(names, statuses, strict=True)])
        print_table(GROUP_COLUMNS, [_group_row(group, leaders.get(group), homes[group]) for group in homes])
    has_problem = any(group not in leaders or leaders[group][1]["short"] for group in homes)
    if has_problem or not homes or not all(statuses):
        raise SystemExit(1)


def _process_row(name: str, status: dict[str, object]) -> list[object]:
    if not status:
        return [name, "", "no answer", *[""] * 4]
    led_groups = [group for group, here in status["groups"].items() if here["role"] == "leader"]
    groups = " ".join(_assigned_groups(status))
    led_text = " ".join(led_groups)
    return [
        status["id"],
        status["zone"],
        groups,
        led_text,
        status["epoch"],
        status["diskBytes"],
        _trouble(status),
    ]


def _group_row(group: str, leader: tuple[str, dict[str, object]] | None, homes: list[str]) -> list[object]:
    if leader is None:
        return [group, "nobody", *[""] * 5, " ".join(homes)]
    name, here = leader
    voters = sum(m["voter"] for m in here["members"])
    max_lag = max((m["behind"] or 0 for m in here["members"]), default=0)
    return [group, name, here["term"], here["commit"], voters, here["short"], max_lag, " ".join(homes)]


@holding.command()
@at_option
@click.option(
    "--keyed",
    type=click.IntRange(0, MAX_KEY_GROUPS),
    default=4,
    show_default=True,
    help="Number of groups over which request keys are partitioned; cannot be changed later.",
)
def init(at: list[Address], keyed: int) -> None:
    """Start a new cluster on these processes, once. An existing group of the server list is taken over.

    \b
    Example:
      plumwall holding init --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    for (host, port), status in zip(at, statuses, strict=True):
        if not status:
            raise WorkFailedError(f"no answer from {host}:{port}; all processes have to answer")
        if status["epoch"] or any(group != LIST_GROUP for group in status["groups"]):
            raise WorkFailedError(f"{status['id']} at {host}:{port} already has groups; nothing was changed")
    if len({status["cluster"] for status in statuses}) > 1:
        raise WorkFailedError("the processes belong to different clusters; nothing was changed")
    first, members = founder_and_members(statuses, PLACEMENT_GROUP)
    body = {"members": members, "first": time.time() * 1000, "keyed": keyed}
    result = call_service([at[first]], "POST", "/v1/holding/init", body)
    click.echo(f"{result['groups']} groups started on {', '.join(sorted(s['id'] for s in statuses))}")


def _print_homes(result: dict[str, object], json_: bool) -> None:
    print_fields(
        {"epoch": result["epoch"], **{g: " ".join(homes) for g, homes in result["homes"].items()}}, json_
    )


@holding.command()
@click.argument("group")
@click.argument("old", metavar="FROM")
@click.argument("new", metavar="TO")
@at_option
@json_option
def move(group: str, old: str, new: str, at: list[Address], json_: bool) -> None:
    """Move a group's copy from one machine to another. The old copy is removed once the new one is complete.

    \b
    Example:
      plumwall holding move keys-2 g1 g7 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    body = {"group": group, "from": old, "to": new}
    _print_homes(call_service(at, "POST", "/v1/holding/move", body, quiet=json_), json_)


@holding.command()
@click.argument("machine")
@at_option
@json_option
def add(machine: str, at: list[Address], json_: bool) -> None:
    """Assign a machine its part of the groups, one after the other. Also takes back a removed machine.

    \b
    Example:
      plumwall holding add g7 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    _print_homes(call_service(at, "POST", "/v1/holding/add", {"name": machine}, quiet=json_), json_)


@holding.command()
@click.argument("machine")
@at_option
@json_option
def remove(machine: str, at: list[Address], json_: bool) -> None:
    """Move all groups of a machine to others; `status` shows when none is left on it.

    \b
    Example:
      plumwall holding remove g3 --at 127.0.0.1:8501,127.0.0.1:8502
    """
    _print_homes(call_service(at, "POST", "/v1/holding/remove", {"name": machine}, quiet=json_), json_)


@holding.command()
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
@at_option
def backup(to: Path, at: list[Address]) -> None:
    """Write the state of all groups to a file, each as its leader has it at that moment.

    \b
    Example:
      plumwall holding backup held.json --at 127.0.0.1:8501,127.0.0.1:8502
    """
    homes = _homes(asyncio.run(_statuses(at)))
    if not homes:
        raise WorkFailedError("no process there knows any group")
    bodies = [call_service(at, "GET", f"/v1/holding/backup?group={group}") for group in homes]
    partial_file = to.with_suffix(".part")
    partial_file.write_bytes(b"\n".join(map(msgspec.json.encode, bodies)) + b"\n")
    partial_file.rename(to)
    for body in bodies:
        state = body["state"]
        kinds = [kind for kind in ("records", "leases", "keys") if kind in state]
        counts = ", ".join(f"{len(state[kind])} {kind}" for kind in kinds)
        click.echo(f"{body['group']}: index {body['index']} of {body['cluster']}{counts and ': '}{counts}")


@holding.command()
@click.option(
    "--config",
    type=EXISTING_FILE,
    required=True,
    help="Configuration of the first process, with a new name in `cluster`.",
)
@click.option(
    "--from",
    "sources",
    type=click.Path(exists=True, path_type=Path),
    required=True,
    multiple=True,
    help="A backup, or a surviving member's state folder. Repeatable; the newest state of a group is used.",
)
@click.option(
    "--without", metavar="GROUP", multiple=True, help="A lost group, which starts empty. Repeatable."
)
def restore(config: Path, sources: tuple[Path, ...], without: tuple[str, ...]) -> None:
    """Start a new cluster after majorities are lost for good: one member on an empty folder; others join it.

    Writes that the old majorities acknowledged after the restored state are lost. The old cluster is not
    changed, and its members are refused if they return.

    \b
    Example:
      plumwall holding restore --config g1-anew.json --from /var/lib/plumwall/holding
    """
    try:
        new_config = read_config(read(str(config)))
        backups = read_backups(sources)
        name = restore_cluster(new_config, backups, time.time() * 1000, without)
    except (ConfigError, DiskError) as error:
        raise BadInputError(str(error)) from None
    restored = ", ".join(f"{group} at index {backup.index}" for group, backup in sorted(backups.items()))
    click.echo(
        f"{name} starts {new_config.cluster} with {restored}; start it, then the others on empty folders"
    )


@holding.command("hand-over")
@click.option("--group", default="", help="Only this group; default: all groups led there.")
@at_option
@json_option
def hand_over(group: str, at: list[Address], json_: bool) -> None:
    """Transfer leadership to other replicas before maintenance. A process does this itself when it stops.

    \b
    Example:
      plumwall holding hand-over --at 127.0.0.1:8501
    """
    body = call_service(at, "POST", "/v1/holding/hand-over", {"group": group}, quiet=json_)
    print_fields({"handed": " ".join(body["handed"]) or "nothing"}, json_)
