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
from yewstage.holding.config import holding as read_config
from yewstage.holding.members import to_begin
from yewstage.holding.recover import begin_again, read_backup
from yewstage.net.config import Address, ConfigError
from yewstage.raft.disk import DiskError
from yewstage.registry.client import ask_once
from yewstage.registry.config import read

WAIT_S = 2.0
COLUMNS = ("process", "role", "term", "leader", "commit", "age ms", "short", "disk bytes", "trouble")
MEMBER_COLUMNS = ("member", "zone", "vote", "behind", "heard ms ago", "called at")


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
    return list(await asyncio.gather(*(ask_once(one, "/v1/holding/status", WAIT_S) for one in at)))


def _trouble(status: dict[str, object]) -> str:
    if not status["begun"]:
        return "waits to be let in, or for a group to be begun"
    if status["full"]:
        return str(status["full"])
    if status["usedTwice"]:
        return f"names used twice: {', '.join(status['usedTwice'])}"
    return "" if status["leader"] else "no leader: a majority is not there, writes are refused"


@holding.command()
@at_option
@as_json
def status(at: list[Address], json_: bool) -> None:
    """Show who holds what: replicas, zones, lag, age, copies that are missing. 1 if some process or copy is.

    \b
    Example:
      plumwall holding status --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    names = [f"{host}:{port}" for host, port in at]
    if json_:
        say_json(dict(zip(names, statuses, strict=True)))
    else:
        rows = [
            [
                s["id"],
                s["role"],
                s["term"],
                s["leader"] or "none",
                s["commit"],
                "unknown" if s["ageMs"] is None else s["ageMs"],
                "" if s["short"] < 0 else s["short"],
                s["diskBytes"],
                _trouble(s),
            ]
            if s
            else [name, "no answer", *[""] * 7]
            for name, s in zip(names, statuses, strict=True)
        ]
        say_table(COLUMNS, rows)
        for leads in (s for s in statuses if s and s["role"] == "leader"):
            say_table(
                MEMBER_COLUMNS,
                [
                    [
                        m["id"],
                        m["zone"],
                        "yes" if m["voter"] else "learner",
                        "" if m["behind"] is None else m["behind"],
                        "" if m["heardMsAgo"] is None else m["heardMsAgo"],
                        m["call"],
                    ]
                    for m in leads["members"]
                ],
                f"members, as {leads['id']} leads them",
            )
    leads = [s for s in statuses if s and s["role"] == "leader"]
    if not leads or leads[0]["short"] or not all(statuses):
        raise SystemExit(1)


@holding.command()
@at_option
def init(at: list[Address]) -> None:
    """Begin a group on these processes, all of them empty. Once, for a new cluster.

    \b
    Example:
      plumwall holding init --at 127.0.0.1:8501,127.0.0.1:8502,127.0.0.1:8503
    """
    statuses = asyncio.run(_statuses(at))
    for (host, port), told in zip(at, statuses, strict=True):
        if not told:
            raise WorkFailedError(f"no answer from {host}:{port}; all have to be there")
        if told["begun"]:
            raise WorkFailedError(
                f"{told['id']} at {host}:{port} holds something already; nothing was changed"
            )
    if len({told["cluster"] for told in statuses}) > 1:
        raise WorkFailedError("they are of several clusters; nothing was changed")
    first, members = to_begin(statuses)
    ask([at[first]], "POST", "/v1/holding/init", {"members": members})
    click.echo(f"begun on {', '.join(sorted(told['id'] for told in statuses))}")


@holding.command()
@click.argument("member", metavar="ID")
@at_option
@as_json
def remove(member: str, at: list[Address], json_: bool) -> None:
    """Take a member out for good, by the id that `status` shows; a machine that is there takes its place.

    \b
    Example:
      plumwall holding remove g3.5f6bba4301ab --at 127.0.0.1:8501,127.0.0.1:8502
    """
    ask(at, "POST", "/v1/holding/remove", {"id": member}, quiet=json_)
    fields({"removed": member}, json_)


@holding.command()
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
@at_option
def backup(to: Path, at: list[Address]) -> None:
    """Write all that is held, as the leader has it now, to a file.

    \b
    Example:
      plumwall holding backup held.json --at 127.0.0.1:8501,127.0.0.1:8502
    """
    body = ask(at, "GET", "/v1/holding/backup")
    part = to.with_suffix(".part")
    part.write_bytes(msgspec.json.encode(body))
    part.rename(to)
    state = body["state"]
    click.echo(
        f"index {body['index']} of {body['cluster']}: {len(state['records'])} servers, "
        f"{len(state['leases'])} duties"
    )


@holding.command()
@click.option("--config", type=FILE, required=True, help="Of the process that begins, under a new `cluster`.")
@click.option(
    "--from",
    "source",
    type=click.Path(exists=True, path_type=Path),
    required=True,
    help="A backup, or the folder of a member that is left.",
)
def restore(config: Path, source: Path) -> None:
    """Begin again, when a majority is lost for good: one member on an empty folder, which spares then join.

    What the old majority acknowledged later than that is lost. Nothing of the old cluster is touched,
    and what comes back of it is refused.

    \b
    Example:
      plumwall holding restore --config g1-anew.json --from /var/lib/plumwall/holding
    """
    try:
        known = read_config(read(str(config)))
        found = read_backup(source)
        name = begin_again(known, found, time.time() * 1000)
    except (ConfigError, DiskError) as error:
        raise BadFileError(str(error)) from None
    click.echo(
        f"{name} begins {known.cluster} with index {found.index} of {found.cluster}: "
        f"{len(found.state['records'])} servers; start it, then the others on empty folders"
    )


@holding.command("hand-over")
@at_option
@as_json
def hand_over(at: list[Address], json_: bool) -> None:
    """Let another replica lead, before its machine is worked on. Stopping a process does this by itself.

    \b
    Example:
      plumwall holding hand-over --at 127.0.0.1:8501,127.0.0.1:8502
    """
    body = ask(at, "POST", "/v1/holding/hand-over", {}, quiet=json_)
    fields({"handed": body.get("handed", False)}, json_)
