"""The groups of a cluster: what each of them holds, and which one holds a key."""

from __future__ import annotations

import re

import xxhash

from yewstage.holding.keys import KeyStore
from yewstage.holding.placement import PlacementStore
from yewstage.registry.store import Store

PLACEMENT_GROUP, LIST_GROUP, KEYED = "places", "list", "keys-"
NAME = re.compile(r"places|list|keys-[1-9][0-9]{0,2}")
MOST_KEYED = 256


def all_group_names(keyed: int) -> tuple[str, ...]:
    """All groups of a cluster that splits its keys over so many."""
    return PLACEMENT_GROUP, LIST_GROUP, *(f"{KEYED}{i}" for i in range(1, keyed + 1))


def group_of(key: str, keyed: int) -> str:
    """Which group holds a key; the number of groups is fixed when the cluster begins."""
    return f"{KEYED}{1 + xxhash.xxh64_intdigest(key.encode()) % keyed}"


def store_of(group: str) -> type[Store] | type[PlacementStore] | type[KeyStore]:
    """What a group's replicas keep the same."""
    return {PLACEMENT_GROUP: PlacementStore, LIST_GROUP: Store}.get(group, KeyStore)
