"""Where groups are to be: the table that is agreed on, and its next change."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from yewstage.holding.group_names import all_group_names, group_of
from yewstage.holding.placement import (
    AT_ONCE,
    ClusterView,
    GroupPlacement,
    LeaderReport,
    PlacementStore,
    PlacementTable,
    first_table,
    ideal,
    moved,
    next_table,
    with_machine,
    without_machine,
)
from yewstage.raft.messages import Member
from yewstage.registry.store import RefusedError

NINE = tuple(Member(f"m{i}.1", f"m{i}", "abc"[i % 3], "", "") for i in range(9))
GROUPS = all_group_names(8)
ZONE = {m.name: m.zone for m in NINE}


def at_home(table: PlacementTable) -> dict[str, LeaderReport]:
    """What leaders tell when every copy is where it is to be."""
    return {
        p.group: LeaderReport(p.group, 1, tuple((f"{h}.1", True) for h in p.machine_names), ())
        for p in table.placed
    }


def all_there(present: tuple[Member, ...] = NINE, **changes: object) -> ClusterView:
    table = first_table(GROUPS, NINE, 3, 0.0, {})
    return replace(ClusterView(table, at_home(table), present, {}, 5000.0, 3), **changes)


def without(sight: ClusterView, *lost: str) -> ClusterView:
    """These are gone for long, by everybody's word."""
    reports = {
        g: structs.replace(r, lost=tuple(m for m, _ in r.members if m[:-2] in lost))
        for g, r in sight.reports.items()
    }
    present = tuple(m for m in sight.present if m.name not in lost)
    return replace(sight, reports=reports, present=present, silent_ms=dict.fromkeys(lost, 6000.0))


def settle(sight: ClusterView, most: int = 100) -> list[PlacementTable]:
    """All tables until nothing is left to change, each move done before the next look."""
    tables = []
    while (table := next_table(sight)) is not None:
        tables.append(table)
        gone = {name for name in sight.silent_ms if sight.silent_ms[name] > sight.gone_ms}
        sight = without(replace(sight, table=table, reports=at_home(table)), *gone)
        assert len(tables) < most
    return tables


def test_copies_of_a_group_stand_in_zones_of_their_own_and_groups_on_all_machines() -> None:
    table = first_table(GROUPS, NINE, 3, 0.0, {})
    assert all(sorted(ZONE[h] for h in placed.machine_names) == ["a", "b", "c"] for placed in table.placed)
    assert {h for placed in table.placed for h in placed.machine_names} == {m.name for m in NINE}
    assert next_table(all_there()) is None
    keys = [f"key-{i}" for i in range(4000)]
    shares = [sum(group_of(key, 8) == group for key in keys) for group in GROUPS[2:]]
    assert sum(shares) == 4000 and min(shares) > 400


def test_a_machine_that_comes_or_goes_moves_only_the_groups_that_it_holds() -> None:
    for group in GROUPS:
        whole, less = ideal(group, NINE, 3), ideal(group, NINE[:-1], 3)
        assert whole == less or (NINE[-1].name in whole and len(set(whole) & set(less)) == 2)


@given(st.lists(st.integers(0, 8), unique=True, max_size=6), st.integers(0, 10**6))
def test_whatever_machines_are_lost_every_group_gets_its_copies_in_as_many_zones_as_there_are(
    numbers: list[int], seed: int
) -> None:
    lost = {f"m{i}" for i in numbers}
    sight = without(all_there(), *lost)
    tables = settle(sight) or [sight.table]
    zones = {m.zone for m in NINE if m.name not in lost}
    epochs = [table.epoch for table in tables]
    assert epochs == sorted(set(epochs))
    for placed in tables[-1].placed:
        assert len(set(placed.machine_names)) == 3 and not set(placed.machine_names) & lost
        assert {ZONE[h] for h in placed.machine_names} == zones or len(zones) > 3
    rng = random.Random(seed)  # and what is not lost is where it was
    group = rng.choice(GROUPS)
    before, after = sight.table.of(group).machine_names, tables[-1].of(group).machine_names
    assert set(before) - lost <= set(after)


@given(st.sampled_from("abc"), st.sampled_from("abc"))
def test_a_zone_that_is_back_holds_its_copies_again_so_that_the_next_lost_zone_takes_no_majority(
    first: str, second: str
) -> None:
    sight = all_there()
    lost = [name for name, zone in ZONE.items() if zone == first]
    table = settle(without(sight, *lost))[-1]
    assert any(sorted(ZONE[h] for h in p.machine_names) != ["a", "b", "c"] for p in table.placed)
    back = settle(replace(sight, table=table, reports=at_home(table)))[-1]
    for placed in back.placed:
        assert sum(ZONE[h] == second for h in placed.machine_names) == 1, placed.machine_names


def test_one_process_that_hears_nobody_moves_nothing() -> None:
    sight = all_there()
    deaf = replace(sight, present=NINE[:1], silent_ms={m.name: 9000.0 for m in NINE[1:]})
    assert next_table(deaf) is None  # the groups' leaders hear them
    assert next_table(replace(deaf, reports={})) is None  # and without their word nothing is moved
    cut = without(all_there(), "m1")
    assert next_table(replace(cut, present=NINE)) is None  # only the leaders miss it; it says it is there
    assert next_table(replace(cut, silent_ms={"m1": 4000.0})) is None  # it may come back yet
    assert next_table(cut) is not None


def test_the_most_endangered_group_goes_first_and_few_are_on_the_move_at_a_time() -> None:
    sight = without(all_there(), "m0", "m3")
    alive = {p.group: sum(h not in ("m0", "m3") for h in p.machine_names) for p in sight.table.placed}
    hurt = {group for group, n in alive.items() if n < 3}
    assert len(hurt) > AT_ONCE
    moving: list[str] = []
    while (table := next_table(sight)) is not None:
        moving += [p.group for p in table.placed if p.machine_names != sight.table.of(p.group).machine_names]
        sight = replace(sight, table=table)  # no copy is made yet
    assert len(moving) == AT_ONCE == len(set(moving))
    assert all(alive[g] <= min(alive[h] for h in hurt - set(moving)) for g in moving)


def test_an_operator_moves_takes_out_and_lets_in_and_is_refused_by_field() -> None:
    sight = all_there()
    homes = sight.table.of("list").machine_names
    away = next(m.name for m in NINE if m.name not in homes and m.zone == ZONE[homes[0]])
    crowd = next(m.name for m in NINE if m.name not in homes and m.zone != ZONE[homes[0]])
    assert set(moved(sight, "list", homes[0], away).of("list").machine_names) == {away, *homes[1:]}
    out = without_machine(sight, homes[0])
    last = settle(replace(sight, table=out))[-1]
    assert all(homes[0] not in p.machine_names for p in last.placed) and last.out == (homes[0],)
    back = with_machine(replace(sight, table=last, reports=at_home(last)), homes[0])
    again = settle(replace(sight, table=back, reports=at_home(back)))[-1]
    assert (
        {p.group: set(p.machine_names) for p in again.placed}
        == {p.group: set(p.machine_names) for p in sight.table.placed}
        and not again.out
        and not again.coming
    )
    for bad, field in (
        (lambda: moved(sight, "keys-9", "m0", "m1"), "group"),
        (lambda: moved(sight, "list", away, homes[0]), "from"),
        (lambda: moved(sight, "list", homes[0], homes[1]), "to"),
        (lambda: moved(sight, "list", homes[0], crowd), "to"),
        (lambda: without_machine(sight, "m9"), "name"),
        (lambda: without_machine(replace(sight, present=NINE[:3]), "m1"), "name"),
        (lambda: with_machine(sight, "m9"), "name"),
    ):
        with pytest.raises(RefusedError) as refused:
            bad()
        assert refused.value.field == field


def test_two_who_change_the_table_at_once_do_not_undo_each_other() -> None:
    sight = all_there()
    store = PlacementStore(table=sight.table)
    one, other = without_machine(sight, "m1"), without_machine(sight, "m2")
    store.apply(store.plan(one), 0.0)
    with pytest.raises(RefusedError, match="of epoch 2 now"):
        store.plan(other)
    again = PlacementStore.restored(None, store.snapshot(), 0.0)
    assert again.table == store.table and isinstance(again.table.placed[0], GroupPlacement)
