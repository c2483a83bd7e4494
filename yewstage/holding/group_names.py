"""The names of a cluster's groups, the store of each, and the mapping of keys to groups."""

from __future__ import annotations

import re

import xxhash

from yewstage.holding.keys import KeyStore
from yewstage.holding.placement import PlacementStore
from yewstage.registry.store import Store

PLACEMENT_GROUP, LIST_GROUP, KEY_GROUP_PREFIX = "places", "list", "keys-"
GROUP_NAME = re.compile(r"places|list|keys-[1-9][0-9]{0,2}")
MAX_KEY_GROUPS = 256


def all_group_names(keyed: int) -> tuple[str, ...]:
    """All groups of a cluster with `keyed` key groups."""
    return PLACEMENT_GROUP, LIST_GROUP, *(f"{KEY_GROUP_PREFIX}{i}" for i in range(1, keyed + 1))


def group_of(key: str, keyed: int) -> str:
    """The group of a key. `keyed`, the number of key groups, never changes after a cluster's init."""
    return f"{KEY_GROUP_PREFIX}{1 + xxhash.xxh64_intdigest(key.encode()) % keyed}"


def store_type_of(group: str) -> type[Store] | type[PlacementStore] | type[KeyStore]:
    """The class of a group's store."""
    return {PLACEMENT_GROUP: PlacementStore, LIST_GROUP: Store}.get(group, KeyStore)
