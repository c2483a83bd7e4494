"""Placement of groups: the table and its next change."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from yewstage.holding.group_names import all_group_names, group_of
from yewstage.holding.placement import (
    MAX_CONCURRENT_MOVES,
    ClusterView,
    GroupPlacement,
    LeaderReport,
    PlacementStore,
    PlacementTable,
    add_machine,
    first_table,
    ideal_homes,
    move_copy,
    next_table,
    remove_machine,
)
from yewstage.raft.messages import Member
from yewstage.registry.store import RefusedError

NINE = tuple(Member(f"m{i}.1", f"m{i}", "abc"[i % 3], "", "") for i in range(9))
GROUPS = all_group_names(8)
ZONE = {m.name: m.zone for m in NINE}


def settled_reports(table: PlacementTable) -> dict[str, LeaderReport]:
    """Leader reports where every group is on the machines of the table."""
    return {
        p.group: LeaderReport(p.group, 1, tuple((f"{h}.1", True) for h in p.machine_names), ())
        for p in table.placements
    }


def healthy_view(present: tuple[Member, ...] = NINE, **changes: object) -> ClusterView:
    table = first_table(GROUPS, NINE, 3, 0.0, {})
    return replace(ClusterView(table, settled_reports(table), present, {}, 5000.0, 3), **changes)


def with_lost(view: ClusterView, *lost: str) -> ClusterView:
    """The view after machines were lost for long, as all others report."""
    reports = {
        g: structs.replace(r, lost=tuple(m for m, _ in r.members if m[:-2] in lost))
        for g, r in view.reports.items()
    }
    present = tuple(m for m in view.present if m.name not in lost)
    return replace(view, reports=reports, present=present, silent_ms=dict.fromkeys(lost, 6000.0))


def tables_until_settled(view: ClusterView, max_tables: int = 100) -> list[PlacementTable]:
    """All tables until no change is due; each move completes before the next change."""
    tables = []
    while (table := next_table(view)) is not None:
        tables.append(table)
        gone_names = {name for name in view.silent_ms if view.silent_ms[name] > view.gone_ms}
        view = with_lost(replace(view, table=table, reports=settled_reports(table)), *gone_names)
        assert len(tables) < max_tables
    return tables


def test_replicas_of_a_group_are_in_different_zones_and_groups_spread_over_all_machines() -> None:
    table = first_table(GROUPS, NINE, 3, 0.0, {})
    assert all(
        sorted(ZONE[h] for h in placed.machine_names) == ["a", "b", "c"] for placed in table.placements
    )
    assert {h for placed in table.placements for h in placed.machine_names} == {m.name for m in NINE}
    assert next_table(healthy_view()) is None
    keys = [f"key-{i}" for i in range(4000)]
    shares = [sum(group_of(key, 8) == group for key in keys) for group in GROUPS[2:]]
    assert sum(shares) == 4000 and min(shares) > 400


def test_adding_or_removing_a_machine_moves_only_the_groups_that_it_holds() -> None:
    for group in GROUPS:
        full, smaller = ideal_homes(group, NINE, 3), ideal_homes(group, NINE[:-1], 3)
        assert full == smaller or (NINE[-1].name in full and len(set(full) & set(smaller)) == 2)


@given(st.lists(st.integers(0, 8), unique=True, max_size=6), st.integers(0, 10**6))
def test_after_any_loss_of_machines_every_group_has_its_replicas_in_as_many_zones_as_remain(
    numbers: list[int], seed: int
) -> None:
    lost = {f"m{i}" for i in numbers}
    view = with_lost(healthy_view(), *lost)
    tables = tables_until_settled(view) or [view.table]
    zones = {m.zone for m in NINE if m.name not in lost}
    epochs = [table.epoch for table in tables]
    assert epochs == sorted(set(epochs))
    for placed in tables[-1].placements:
        assert len(set(placed.machine_names)) == 3 and not set(placed.machine_names) & lost
        assert {ZONE[h] for h in placed.machine_names} == zones or len(zones) > 3
    rng = random.Random(seed)
    group = rng.choice(GROUPS)
    before, after = (
        view.table.placement_of(group).machine_names,
        tables[-1].placement_of(group).machine_names,
    )
    assert set(before) - lost <= set(after)  # replicas that were not lost stay where they were


@given(st.sampled_from("abc"), st.sampled_from("abc"))
def test_a_returned_zone_gets_its_replicas_back_so_the_loss_of_another_takes_no_majority(
    first: str, second: str
) -> None:
    view = healthy_view()
    lost = [name for name, zone in ZONE.items() if zone == first]
    table = tables_until_settled(with_lost(view, *lost))[-1]
    assert any(sorted(ZONE[h] for h in p.machine_names) != ["a", "b", "c"] for p in table.placements)
    back = tables_until_settled(replace(view, table=table, reports=settled_reports(table)))[-1]
    for placed in back.placements:
        assert sum(ZONE[h] == second for h in placed.machine_names) == 1, placed.machine_names


def test_a_process_cut_off_from_all_others_moves_nothing() -> None:
    view = healthy_view()
    isolated = replace(view, present=NINE[:1], silent_ms={m.name: 9000.0 for m in NINE[1:]})
    assert next_table(isolated) is None  # the groups' leaders still hear from them
    assert next_table(replace(isolated, reports={})) is None  # without leader reports nothing moves
    one_lost = with_lost(healthy_view(), "m1")
    assert next_table(replace(one_lost, present=NINE)) is None  # only the leaders miss it; its hellos arrive
    assert next_table(replace(one_lost, silent_ms={"m1": 4000.0})) is None  # silent for less than gone_ms
    assert next_table(one_lost) is not None


def test_groups_with_the_fewest_live_replicas_move_first_and_few_at_a_time() -> None:
    view = with_lost(healthy_view(), "m0", "m3")
    alive = {p.group: sum(h not in ("m0", "m3") for h in p.machine_names) for p in view.table.placements}
    affected = {group for group, n in alive.items() if n < 3}
    assert len(affected) > MAX_CONCURRENT_MOVES
    moving: list[str] = []
    while (table := next_table(view)) is not None:
        moving += [
            p.group
            for p in table.placements
            if p.machine_names != view.table.placement_of(p.group).machine_names
        ]
        view = replace(view, table=table)  # no move completes
    assert len(moving) == MAX_CONCURRENT_MOVES == len(set(moving))
    assert all(alive[g] <= min(alive[h] for h in affected - set(moving)) for g in moving)


def test_an_operator_moves_removes_and_adds_and_is_refused_by_field() -> None:
    view = healthy_view()
    homes = view.table.placement_of("list").machine_names
    target = next(m.name for m in NINE if m.name not in homes and m.zone == ZONE[homes[0]])
    wrong_zone_target = next(m.name for m in NINE if m.name not in homes and m.zone != ZONE[homes[0]])
    assert set(move_copy(view, "list", homes[0], target).placement_of("list").machine_names) == {
        target,
        *homes[1:],
    }
    out = remove_machine(view, homes[0])
    after_removal = tables_until_settled(replace(view, table=out))[-1]
    assert all(
        homes[0] not in p.machine_names for p in after_removal.placements
    ) and after_removal.removed == (homes[0],)
    back = add_machine(replace(view, table=after_removal, reports=settled_reports(after_removal)), homes[0])
    again = tables_until_settled(replace(view, table=back, reports=settled_reports(back)))[-1]
    assert (
        {p.group: set(p.machine_names) for p in again.placements}
        == {p.group: set(p.machine_names) for p in view.table.placements}
        and not again.removed
        and not again.joining
    )
    for bad, field in (
        (lambda: move_copy(view, "keys-9", "m0", "m1"), "group"),
        (lambda: move_copy(view, "list", target, homes[0]), "from"),
        (lambda: move_copy(view, "list", homes[0], homes[1]), "to"),
        (lambda: move_copy(view, "list", homes[0], wrong_zone_target), "to"),
        (lambda: remove_machine(view, "m9"), "name"),
        (lambda: remove_machine(replace(view, present=NINE[:3]), "m1"), "name"),
        (lambda: add_machine(view, "m9"), "name"),
    ):
        with pytest.raises(RefusedError) as refused:
            bad()
        assert refused.value.field == field


def test_of_two_concurrent_table_changes_the_second_is_refused() -> None:
    view = healthy_view()
    store = PlacementStore(table=view.table)
    first_change, second_change = remove_machine(view, "m1"), remove_machine(view, "m2")
    store.apply(store.plan(first_change), 0.0)
    with pytest.raises(RefusedError, match="of epoch 2 now"):
        store.plan(second_change)
    again = PlacementStore.restored(None, store.snapshot(), 0.0)
    assert again.table == store.table and isinstance(again.table.placements[0], GroupPlacement)
