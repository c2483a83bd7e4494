"""`plumwall torture`: rounds of faults on real processes, until something breaks or all are played."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import click
import numpy as np

from plumwall.cli.console import BadFileError, as_json, fields, waiting
from plumwall.faults import torture as work
from plumwall.faults.keyed import KeyedOutcome, KeyedPlan, KeyedTorture
from plumwall.faults.members import MembersOutcome, MembersPlan, MembersTorture
from plumwall.faults.shares import SharesOutcome, SharesPlan, SharesTorture
from plumwall.model import explore, places
from plumwall.model.scenes import SCENES


@click.command()
@click.argument("plan", default="holding")
@click.option("--rounds", type=click.IntRange(1), default=20, show_default=True, help="How many faults.")
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="Draws the same faults again."
)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Keep folders and logs there.")
@as_json
def torture(plan: str, rounds: int, seed: int, out: Path | None, json_: bool) -> None:
    """Lose, stop, cut off and bring back real machines under writers, and check what they were promised.

    PLAN is a name or a TOML file. Ends 1 with the last calls before the breach if a promise was broken.

    \b
    Example:
      plumwall torture holding --rounds 200 --seed 7
      plumwall torture keyed --rounds 50
      plumwall torture members --rounds 50
    """
    try:
        read = work.read_plan(plan)
    except ValueError as error:
        raise BadFileError(str(error)) from None
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, waiting("torture", json_) as say:
        if isinstance(read, KeyedPlan):
            keyed = asyncio.run(KeyedTorture(read, out or Path(folder), seed, say).play(rounds))
            return tell_keyed(plan, seed, keyed, time.monotonic() - began, json_)
        if isinstance(read, MembersPlan):
            found = asyncio.run(MembersTorture(read, out or Path(folder), seed, say).play(rounds))
            return tell_members(plan, seed, found, time.monotonic() - began, json_)
        if isinstance(read, SharesPlan):
            spent = asyncio.run(SharesTorture(read, out or Path(folder), seed, say).play(rounds))
            return tell_shares(plan, seed, read, spent, time.monotonic() - began, json_)
        drawn = work.draw(read, rounds, seed)
        outcome = asyncio.run(work.run_torture(read, drawn, out or Path(folder), say))
    fields(
        {
            "plan": plan,
            "seed": seed,
            "rounds": outcome.rounds,
            "writes": outcome.writes,
            "tries not acknowledged": outcome.unacknowledged,
            "grants of the duty": outcome.grants,
            "claims of shared keys": outcome.claims,
            "histories found linearizable": outcome.histories,
            "histories not decided": outcome.undecided,
            "no write for, s": spread(outcome.write_gaps_s),
            "all copies again, s": spread(outcome.replicated_s),
            "bytes copied for that, as last told": f"{sum(outcome.copied_bytes.values()):,}",
            "took, s": round(time.monotonic() - began, 1),
            "broken": outcome.breach or "nothing",
        },
        json_,
    )
    if outcome.breach:
        click.echo(f"after {outcome.after}", err=True)
        for line in outcome.history:
            click.echo(line, err=True)
        raise SystemExit(1)


def tell(rows: dict[str, object], breach: str, took_s: float, json_: bool) -> None:
    """Print what a run found; exit status 1 if a promise was broken."""
    fields(rows | {"took, s": round(took_s, 1), "broken": breach or "nothing"}, json_)
    if breach:
        raise SystemExit(1)


def tell_keyed(plan: str, seed: int, outcome: KeyedOutcome, took_s: float, json_: bool) -> None:
    """What came of rounds under clients that repeat."""
    tell(
        {
            "plan": plan,
            "seed": seed,
            "rounds": outcome.rounds,
            "requests": outcome.asked,
            "answered well": outcome.served,
            "end not known": outcome.unknown,
            "tries": outcome.tries,
            "tries by status": ", ".join(f"{k or 'none'}: {n}" for k, n in sorted(outcome.statuses.items())),
            "repeats answered by what is known": outcome.repeated_answers,
            "effects that happened twice": outcome.twice,
            "all copies again, s": spread(outcome.replicated_s),
        },
        outcome.breach,
        took_s,
        json_,
    )


def tell_members(plan: str, seed: int, outcome: MembersOutcome, took_s: float, json_: bool) -> None:
    """What came of rounds on gateways that find out who is there."""
    tell(
        {
            "plan": plan,
            "seed": seed,
            "rounds": outcome.rounds,
            "first to find out, s": spread(outcome.first_detected_s),
            "last to find out, s": spread(outcome.last_detected_s),
            "all agree again, s": spread(outcome.agreed_s),
            "held dead that were there": outcome.false_dead,
            "looks at all": outcome.polls,
            "oldest word shown, ms": round(outcome.max_age_ms),
            "bytes a second of a gateway": round(outcome.bytes_per_s),
        },
        outcome.breach,
        took_s,
        json_,
    )


def tell_shares(
    plan: str, seed: int, read: SharesPlan, outcome: SharesOutcome, took_s: float, json_: bool
) -> None:
    """What came of rounds on gateways that spend shares of a quota."""
    tell(
        {
            "plan": f"{plan}, {read.mode}",
            "seed": seed,
            "rounds": outcome.rounds,
            "served": outcome.served,
            "refused": outcome.refused,
            "units over the bound, at most": round(outcome.max_excess, 1),
            "units beyond the quota, at most": round(outcome.max_beyond_quota, 1),
            "floors allowed, in all": outcome.allowed_floors,
            "part of the quota used": round(outcome.used_share, 3),
            "the same without a fault": spread(outcome.quiet_used_shares),
        },
        outcome.breach,
        took_s,
        json_,
    )


def spread(values: list[float]) -> str:
    """Median, 99th percentile, most, and of how many."""
    if not values:
        return "none"
    p50, p99 = np.percentile(values, (50, 99))
    return f"p50 {p50:.2f}, p99 {p99:.2f}, most {max(values):.2f} of {len(values)}"


@click.command("check-model")
@click.option("--plans", type=click.IntRange(0), default=1000, show_default=True, help="Random plans.")
@click.option("--steps", type=click.IntRange(1), default=300, show_default=True, help="Of each plan.")
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Of the first plan.")
@click.option(
    "--depth",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="All orders from each scene to this depth.",
)
@as_json
def check_model(plans: int, steps: int, seed: int, depth: int, json_: bool) -> None:
    """Play consensus, the stores on it and where copies are to be under virtual time.

    Random plans, and all orders to a depth.

    \b
    Example:
      plumwall check-model --plans 5000 --depth 4
    """
    found = []
    with waiting("random plans", json_) as say:
        if plans:
            found.append(
                explore.search(range(seed, seed + plans), steps, report=lambda f: say(f"{f.plans} played"))
            )
            say("random plans of where copies are to be")
            found.append(places.search(range(seed, seed + plans), steps))
        for scene in SCENES if depth else ():
            say(f"all orders from {scene}")
            found.append(explore.search_all_orders(scene, depth))
    for result in found:
        fields(
            {
                "scene": result.scene if result.scene == "places" or not result.plans else "random",
                "plans": result.plans,
                "steps": result.steps,
                "states": result.states,
                "depth": result.depth,
                "took, s": round(result.took_s, 1),
                "broken": result.breach or "nothing",
            },
            json_,
        )
        if result.breach:
            for step in (places if result.scene == "places" else explore).shorten(result):
                click.echo(" ".join(step), err=True)
    if any(result.breach for result in found):
        raise SystemExit(1)
