"""The report on a finished run: its figures, the rules that it broke, and why it may be void."""

from __future__ import annotations

from plumwall.cli.console import WorkFailedError, make_table, out, print_json
from plumwall.emulator.run import RunOutcome

MAX_PRINTED_FINDINGS = 10  # outcome.json in the run's folder has all of them


def report_outcome(outcome: RunOutcome | None, json_: bool) -> None:
    """Print figures and findings; raises WorkFailedError if the run ended early, is void or broke a rule."""
    if outcome is None:
        raise WorkFailedError("the run was ended early")
    if json_:
        print_json(outcome)
    else:
        _print_outcome(outcome)
    failures = _failures(outcome)
    if failures:
        raise WorkFailedError("; ".join(failures))


def _failures(outcome: RunOutcome) -> list[str]:
    """What is wrong with a run. Rules that a void run broke are broken all the same: the records show it."""
    failures = [f"void: {outcome.void}"] if outcome.void else []
    verdict = outcome.verdict
    if verdict is not None and not verdict.kept:
        broken = ", ".join(f"{rule} {count}" for rule, count in verdict.breaches.items())
        failures.append(f"rules broken: {broken}")
    return failures


def _print_outcome(outcome: RunOutcome) -> None:
    rows = [tuple(getattr(row, name) for name in row.__struct_fields__) for row in outcome.rows]
    out.print(
        make_table(
            ("by", "name", "tries", "served", "refused", "failed", "p50 ms", "p90 ms", "p99 ms", "max ms"),
            rows,
        )
    )
    out.print(
        f"\n{outcome.tries} tries, {outcome.offered_per_s:.0f} a second, at the most "
        f"{outcome.most_offered_in_1s}; {outcome.most_served_in_1s} served in one second at the most; "
        f"late by {outcome.late_ms:.1f} "
        "ms at the 99th percentile",
        markup=False,
    )
    verdict = outcome.verdict
    if verdict is not None:
        _print_verdict(outcome)
    out.print(f"records and logs: {outcome.folder}", markup=False)


def _print_verdict(outcome: RunOutcome) -> None:
    verdict, service = outcome.verdict, outcome.verdict.service
    out.print(
        f"service {service.whole:.3f} whole, {service.worst_window:.3f} worst 10 s (from "
        f"{service.worst_window_from_s:.0f} s), {service.worst_plan:.3f} worst plan",
        markup=False,
    )
    plans = ", ".join(f"{name} {value:.3f}" for name, value in service.plans.items())
    classes = ", ".join(f"{name} {value:.3f}" for name, value in service.classes.items())
    losses = ", ".join(f"{name} {value:.4f}" for name, value in service.losses.items() if value >= 0.00005)
    prices = ", ".join(f"{name} {value:.4f}" for name, value in service.prices.items() if value >= 0.00005)
    out.print(
        f"  lost: {losses or 'nothing'}\n  plans: {plans}\n  classes: {classes}\n"
        f"  prices: {prices or 'none'}\n  figure {service.figure:.3f}",
        markup=False,
    )
    counts = ", ".join(f"{value:g} {name.replace('_', ' ')}" for name, value in verdict.counts.items())
    out.print(f"  {counts}", markup=False)
    cpu_us_per_try = sum(outcome.cpu_s.values()) / max(1, outcome.tries) * 1e6
    out.print(
        f"  gateways: {cpu_us_per_try:.0f} us of processor time a try, starts included; "
        f"{max(outcome.memory_mb.values(), default=0):.0f} MiB at the most",
        markup=False,
    )
    reasons = ", ".join(f"{reason} {count:,}" for reason, count in outcome.refusals.items() if count)
    out.print(f"  refused by gateways: {reasons or 'nothing'}", markup=False)
    out.print("[green]rules kept[/green]" if verdict.kept else "[red]rules broken[/red]")
    for finding in verdict.findings[:MAX_PRINTED_FINDINGS]:
        out.print(f"  {finding.line()}", markup=False)
    if len(verdict.findings) > MAX_PRINTED_FINDINGS:
        out.print(
            f"  and {len(verdict.findings) - MAX_PRINTED_FINDINGS} more in {outcome.folder}/outcome.json",
            markup=False,
        )
