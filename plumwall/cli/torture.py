"""`plumwall torture` and `plumwall check-model`: fault injection on real processes, and model checking.

A torture run and each search of a model end at the first breach, which is a broken guarantee.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import click
import numpy as np

from plumwall.cli.console import BadInputError, json_option, print_fields, show_progress
from plumwall.faults import torture as fault_rounds
from plumwall.faults.keyed import KeyedOutcome, KeyedPlan, KeyedTorture
from plumwall.faults.members import MembersOutcome, MembersPlan, MembersTorture
from plumwall.faults.shares import SharesOutcome, SharesPlan, SharesTorture
from plumwall.model import explore, places
from plumwall.model.scenes import SCENES


@click.command()
@click.argument("plan", default="holding")
@click.option("--rounds", type=click.IntRange(1), default=20, show_default=True, help="Number of faults.")
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the faults; the same seed gives the same faults.",
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Folder in which state and logs are kept."
)
@json_option
def torture(plan: str, rounds: int, seed: int, out: Path | None, json_: bool) -> None:
    """Inject faults into real processes under load: crashes, pauses, partitions, lost disks, restarts.

    PLAN is a name or a TOML file. Checks the guarantees given to clients. If one is broken, exits with 1;
    a plan of kind `copies` then prints the last calls before the breach.

    \b
    Example:
      plumwall torture holding --rounds 200 --seed 7
      plumwall torture keyed --rounds 50
      plumwall torture members --rounds 50
    """
    try:
        parsed_plan = fault_rounds.read_plan(plan)
    except ValueError as error:
        raise BadInputError(str(error)) from None
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder, show_progress("torture", json_) as report:
        if isinstance(parsed_plan, KeyedPlan):
            keyed_outcome = asyncio.run(
                KeyedTorture(parsed_plan, out or Path(folder), seed, report).play(rounds)
            )
            return print_keyed_outcome(plan, seed, keyed_outcome, time.monotonic() - start_s, json_)
        if isinstance(parsed_plan, MembersPlan):
            members_outcome = asyncio.run(
                MembersTorture(parsed_plan, out or Path(folder), seed, report).play(rounds)
            )
            return print_members_outcome(plan, seed, members_outcome, time.monotonic() - start_s, json_)
        if isinstance(parsed_plan, SharesPlan):
            shares_outcome = asyncio.run(
                SharesTorture(parsed_plan, out or Path(folder), seed, report).play(rounds)
            )
            return print_shares_outcome(
                plan, seed, parsed_plan, shares_outcome, time.monotonic() - start_s, json_
            )
        drawn_rounds = fault_rounds.draw(parsed_plan, rounds, seed)
        outcome = asyncio.run(
            fault_rounds.run_torture(parsed_plan, drawn_rounds, out or Path(folder), report)
        )
    print_fields(
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
            "no write for, s": percentiles(outcome.write_gaps_s),
            "all copies again, s": percentiles(outcome.replicated_s),
            "bytes copied for that, as last told": f"{sum(outcome.copied_bytes.values()):,}",
            "took, s": round(time.monotonic() - start_s, 1),
            "broken": outcome.breach or "nothing",
        },
        json_,
    )
    if outcome.breach:
        click.echo(f"after {outcome.after}", err=True)
        for line in outcome.history:
            click.echo(line, err=True)
        raise SystemExit(1)


def print_outcome(rows: dict[str, object], breach: str, took_s: float, json_: bool) -> None:
    """Print the result of a run; exits with 1 if it found a breach."""
    print_fields(rows | {"took, s": round(took_s, 1), "broken": breach or "nothing"}, json_)
    if breach:
        raise SystemExit(1)


def print_keyed_outcome(plan: str, seed: int, outcome: KeyedOutcome, took_s: float, json_: bool) -> None:
    """Print the result of a keyed plan, whose clients repeat requests."""
    print_outcome(
        {
            "plan": plan,
            "seed": seed,
            "rounds": outcome.rounds,
            "requests": outcome.asked,
            "answered well": outcome.served,
            "end not known": outcome.unknown,
            "tries": outcome.tries,
            "tries by status": ", ".join(
                f"{status or 'none'}: {count}" for status, count in sorted(outcome.statuses.items())
            ),
            "repeats answered by what is known": outcome.repeated_answers,
            "effects that happened twice": outcome.twice,
            "all copies again, s": percentiles(outcome.replicated_s),
        },
        outcome.breach,
        took_s,
        json_,
    )


def print_members_outcome(plan: str, seed: int, outcome: MembersOutcome, took_s: float, json_: bool) -> None:
    """Print the result of a members plan, which tests failure detection among gateways."""
    print_outcome(
        {
            "plan": plan,
            "seed": seed,
            "rounds": outcome.rounds,
            "first to find out, s": percentiles(outcome.first_detected_s),
            "last to find out, s": percentiles(outcome.last_detected_s),
            "all agree again, s": percentiles(outcome.agreed_s),
            "held dead that were there": outcome.false_dead,
            "looks at all": outcome.polls,
            "oldest word shown, ms": round(outcome.max_age_ms),
            "bytes a second of a gateway": round(outcome.bytes_per_s),
        },
        outcome.breach,
        took_s,
        json_,
    )


def print_shares_outcome(
    plan: str, seed: int, shares_plan: SharesPlan, outcome: SharesOutcome, took_s: float, json_: bool
) -> None:
    """Print the result of a shares plan, whose gateways spend shares of a quota."""
    print_outcome(
        {
            "plan": f"{plan}, {shares_plan.mode}",
            "seed": seed,
            "rounds": outcome.rounds,
            "served": outcome.served,
            "refused": outcome.refused,
            "units over the bound, at most": round(outcome.max_excess, 1),
            "units beyond the quota, at most": round(outcome.max_beyond_quota, 1),
            "floors allowed, in all": outcome.allowed_floors,
            "part of the quota used": round(outcome.used_share, 3),
            "the same without a fault": percentiles(outcome.quiet_used_shares),
        },
        outcome.breach,
        took_s,
        json_,
    )


def percentiles(values: list[float]) -> str:
    """Median, 99th percentile, maximum and number of the values, as text."""
    if not values:
        return "none"
    p50, p99 = np.percentile(values, (50, 99))
    return f"p50 {p50:.2f}, p99 {p99:.2f}, most {max(values):.2f} of {len(values)}"


@click.command("check-model")
@click.option(
    "--plans", type=click.IntRange(0), default=1000, show_default=True, help="Number of random plans."
)
@click.option(
    "--steps", type=click.IntRange(1), default=300, show_default=True, help="Number of steps of each plan."
)
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Seed of the first plan.")
@click.option(
    "--depth",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="Depth of the exhaustive search of event orders from each scene; 0 for none.",
)
@json_option
def check_model(plans: int, steps: int, seed: int, depth: int, json_: bool) -> None:
    """Check models of consensus, of the stores on it and of copy placement in virtual time.

    Runs random plans and, with --depth, all orders of events up to that depth. Exits with 1 at a breach.

    \b
    Example:
      plumwall check-model --plans 5000 --depth 4
    """
    results = []
    with show_progress("random plans", json_) as report:
        if plans:
            results.append(
                explore.search(
                    range(seed, seed + plans), steps, report=lambda search: report(f"{search.plans} run")
                )
            )
            report("random plans of copy placement")
            results.append(places.search(range(seed, seed + plans), steps))
        for scene in SCENES if depth else ():
            report(f"all orders from {scene}")
            results.append(explore.search_all_orders(scene, depth))
    for result in results:
        print_fields(
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
    if any(result.breach for result in results):
        raise SystemExit(1)
