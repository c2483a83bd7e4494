"""Model checking of `cluster`: random simulation, and exhaustive search of event orders to a depth.

A plan is a list of steps, each a name and numbers. A plan can be replayed, and shortened to fewer steps that
still end in a breach, which is the violation of an invariant.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, fields, is_dataclass, replace

import numpy as np
from msgspec import structs

from plumwall.model.cluster import LEASE_TTL_MS, SETTINGS, Cluster, InvariantError, PlantedBug
from plumwall.model.keyed import KeyedCluster
from plumwall.model.scenes import SCENES
from yewstage.raft.messages import Members

Step = tuple[str, ...]
LEASE_HOLDERS = ("h1", "h2")
# A heartbeat, half an election timeout, two election timeouts, and a wait past the end of a lease.
WAITS_MS = (SETTINGS.heartbeat_ms, SETTINGS.election_ms / 2, 2 * SETTINGS.election_ms, LEASE_TTL_MS * 1.02)


@dataclass
class SearchResult:
    """Counts of a search, and the plan of the breach if it found one."""

    plans: int = 0
    steps: int = 0
    states: int = 0
    took_s: float = 0.0
    breach: str = ""
    plan: tuple[Step, ...] = ()
    seed: int = -1
    scene: str = "start"
    depth: int = 0  # up to which all orders were explored
    complete: bool = True  # False if the limit on states ended the search


def play(cluster: Cluster, step: Step) -> bool:
    """Run one step and check the invariants. Returns False if the step is not possible in this state.

    Raises InvariantError.
    """
    name, args = step[0], [int(a) for a in step[1:]]
    if name in ("deliver", "repeat", "lose"):
        if args[0] >= len(cluster.network):
            return False
        if name == "lose":
            cluster.lose(args[0])
        else:
            cluster.deliver(args[0], keep=name == "repeat")
    elif name == "wait":
        cluster.wait(WAITS_MS[args[0]])
    elif name == "cut":
        cluster.cut_links.add((args[0], args[1]))
    elif name == "heal":
        cluster.cut_links.clear()
    elif not _play_at(cluster, name, *args):
        return False
    cluster.check_invariants()
    return True


def _play_at(cluster: Cluster, name: str, i: int, argument: int = 0) -> bool:
    node = cluster.nodes[i]
    match name:
        case "sync":
            if not node.disk.pending:
                return False
            cluster.sync(i)
        case "crash":
            if node.group is None:
                return False
            cluster.crash(i)
        case "restart":
            if node.group is not None:
                return False
            cluster.restart(i)
        case "wipe":
            cluster.wipe(i)
        case "tick":
            cluster.tick(i)
        case "acquire":
            return cluster.acquire(i, LEASE_HOLDERS[argument])
        case "change":
            return cluster.change(i, proposed_members(cluster, i, argument))
        case "hand":
            return cluster.hand_over(i, argument)
        case "forget":
            return isinstance(cluster, KeyedCluster) and cluster.forget(i)
        case _:
            return {"write": cluster.write, "read": cluster.read, "compact": cluster.compact}[name](i)
    return True


def proposed_members(cluster: Cluster, i: int, choice: int) -> Members:
    """A member list that an operator may propose.

    Choice 0 adds the new disk of a wiped machine as a learner, 1 makes a learner a voter, 2 removes the
    member of a wiped disk, 3 removes all of those and adds the new disks as voters in one change, which must
    be refused, and 4 removes the last member. The list is unchanged if the choice does not apply, and empty
    if the machine is down.
    """
    node = cluster.nodes[i]
    if node.group is None:
        return ()
    members = node.group.replica.members
    new_members = [n.member for n in cluster.nodes if all(n.member.id != m.id for m in members)]
    stale_ids = {m.id for m in members} - {n.member.id for n in cluster.nodes}
    if choice == 0 and new_members:
        return (*members, structs.replace(new_members[0], voter=False))
    if choice == 1:
        learners = [m for m in members if not m.voter]
        return tuple(structs.replace(m, voter=True) if m in learners[:1] else m for m in members)
    if choice == 2 and stale_ids:
        return tuple(m for m in members if m.id != min(stale_ids))
    if choice == 3 and new_members:
        return (*(m for m in members if m.id not in stale_ids), *new_members)
    return members[:-1] if choice == 4 and len(members) > 1 else members


# --- Random plans -----------------------------------------------------------------------------------------

STEP_WEIGHTS = {
    "deliver": 50,
    "sync": 20,
    "tick": 6,
    "wait": 2.5,
    "lose": 1.5,
    "repeat": 1,
    "write": 4,
    "read": 2.5,
    "acquire": 3,
    "crash": 0.5,
    "restart": 4,
    "wipe": 0.3,
    "change": 1.5,
    "compact": 1,
    "cut": 0.7,
    "heal": 0.7,
    "hand": 0.3,
    "forget": 2,
}
LEADER_CALLS = ("write", "read", "acquire", "change", "hand", "forget")
# Each plan scales the weight of each kind of step by one of these, so that plans differ (swarm testing).
WEIGHT_FACTORS = (0.1, 1.0, 1.0, 5.0)


def random_steps(rng: np.random.Generator, cluster: Cluster) -> Iterator[Step]:
    """Endless random steps, drawn by weight among the kinds that are possible; most weight is on delivery and
    sync, which make progress."""
    names = list(STEP_WEIGHTS)
    weights = np.array(list(STEP_WEIGHTS.values()), float) * rng.choice(WEIGHT_FACTORS, len(names))
    while True:
        possible = np.array([bool(_targets(name, cluster)) for name in names])
        name = str(rng.choice(names, p=weights * possible / (weights * possible).sum()))
        yield _draw_step(name, _targets(name, cluster), rng, cluster)


def _targets(name: str, cluster: Cluster) -> list[int]:
    """Machines at which a kind of step is possible; [0] or [] for a kind without a machine."""
    nodes = list(enumerate(cluster.nodes))
    match name:
        case "deliver" | "lose" | "repeat":
            return [0] if cluster.network else []
        case "sync":
            return [i for i, n in nodes if n.disk.pending]
        case "restart":
            return [i for i, n in nodes if n.group is None]
        case "wipe":
            return [i for i, _ in nodes if can_wipe(cluster, i)]
        case "wait":
            return [0]
        case "cut":
            return [i for i, _ in nodes]
        case "heal":
            return [0] if cluster.cut_links else []
        case "forget" if not isinstance(cluster, KeyedCluster):
            return []
    return [i for i, n in nodes if n.group is not None]


def _draw_step(name: str, targets: list[int], rng: np.random.Generator, cluster: Cluster) -> Step:
    if name in ("deliver", "repeat", "lose"):
        # 70 % in order, the rest at any position.
        return name, str(0 if rng.random() < 0.7 else int(rng.integers(len(cluster.network))))
    if name == "wait":
        return name, str(rng.choice(len(WAITS_MS), p=(0.6, 0.15, 0.2, 0.05)))
    if name in LEADER_CALLS and rng.random() < 0.9:
        targets = [i for i in targets if cluster.nodes[i].group.is_leader()] or targets
    if name == "heal":
        return (name,)
    i = str(rng.choice(targets))
    if name in ("cut", "hand"):
        return name, i, str((int(i) + int(rng.integers(1, len(cluster.nodes)))) % len(cluster.nodes))
    if name == "acquire":
        return name, i, str(rng.integers(len(LEASE_HOLDERS)))
    return (name, i, str(rng.integers(5))) if name == "change" else (name, i)


def run_random_plan(
    seed: int, length: int, planted: PlantedBug | None = None, scenes: Sequence[str] = tuple(SCENES)
) -> SearchResult:
    """Run one random plan from one of the scenes.

    The oldest messages above 60 in flight are dropped, as on a full link.
    """
    rng = np.random.default_rng(np.random.SeedSequence(seed))
    found = SearchResult(plans=1, seed=seed, scene=str(rng.choice(list(scenes))))
    began_s, played = time.perf_counter(), []
    try:
        cluster = SCENES[found.scene](planted)
    except InvariantError as breach:
        found.breach = str(breach)
        return found
    for step in random_steps(rng, cluster):
        if len(played) >= length:
            break
        played.append(step)
        try:
            play(cluster, step)
            while len(cluster.network) > 60:
                played.append(("lose", "0"))
                cluster.lose(0)
        except InvariantError as breach:
            found.breach, found.plan = str(breach), tuple(played)
            break
    found.steps, found.took_s = len(played), time.perf_counter() - began_s
    return found


def can_wipe(cluster: Cluster, i: int) -> bool:
    """Whether each known member list keeps a majority of voters with intact disks without this disk.

    An acknowledged write is on a majority of some member list. If that majority loses its disks, the write is
    lost whatever the program does, so such a plan shows no fault of the program.
    """
    lists = []
    for node in cluster.nodes:
        saved = node.disk.saved
        lists += [saved.snapshot.members]
        if node.group is not None:
            lists += [members for _, members in node.group.replica.membership_history]
    intact = {node.member.id for j, node in enumerate(cluster.nodes) if j != i} - cluster.reused_ids
    for members in lists:
        voters = {m.id for m in members if m.voter}
        if voters and len(voters & intact) * 2 <= len(voters):
            return False
    return True


def shorten(found: SearchResult, planted: PlantedBug | None = None) -> tuple[Step, ...]:
    """The plan of a search result, shortened while it still ends in a breach."""
    return shortened_plan(found.plan, lambda plan: steps_to_breach(found.scene, plan, planted))


def shortened_plan(
    plan: tuple[Step, ...], find_breach: Callable[[tuple[Step, ...]], int], limit_s: float = 20.0
) -> tuple[Step, ...]:
    """Shorten a plan by removing ever smaller parts while `find_breach` still reports a breach.

    `find_breach` returns the number of steps up to the breach, or 0 without one. Stops after `limit_s`.
    """
    deadline, part = time.perf_counter() + limit_s, len(plan) // 2
    while part:
        at = 0
        while at < len(plan) and time.perf_counter() < deadline:
            shorter = plan[:at] + plan[at + part :]
            steps = find_breach(shorter)
            if steps:
                plan = shorter[:steps]
            else:
                at += part
        part //= 2
    return plan


def steps_to_breach(scene: str, plan: tuple[Step, ...], planted: PlantedBug | None = None) -> int:
    """Replay a plan and return the number of steps up to the breach, or 0 without one."""
    cluster = SCENES[scene](planted)
    for number, step in enumerate(plan, 1):
        try:
            play(cluster, step)
        except InvariantError:
            return number
    return 0


def search(
    seeds: Iterable[int],
    length: int,
    planted: PlantedBug | None = None,
    scenes: Sequence[str] = tuple(SCENES),
    report: Callable[[SearchResult], None] = lambda total: None,
) -> SearchResult:
    """Run a random plan for each seed until one ends in a breach. Reports the total after each plan."""
    total = SearchResult()
    for seed in seeds:
        found = run_random_plan(seed, length, planted, scenes)
        total.plans += 1
        total.steps += found.steps
        total.took_s += found.took_s
        report(total)
        if found.breach:
            return replace(total, breach=found.breach, plan=found.plan, seed=seed, scene=found.scene)
    return total


# --- Exhaustive search ------------------------------------------------------------------------------------


def state_key(value: object) -> object:
    """A hashable key of a value: two keys are equal exactly when the states are equal.

    A class is reduced to its name and an object to its fields, without the random source `_rng`.
    """
    if isinstance(value, (str, bytes, int, float, bool, type(None))):
        return value
    if isinstance(value, dict):
        return tuple(sorted(((state_key(k), state_key(v)) for k, v in value.items()), key=repr))
    if isinstance(value, (list, tuple, deque)):
        return tuple(state_key(v) for v in value)
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(map(state_key, value), key=repr))
    if isinstance(value, type):
        return value.__name__
    if is_dataclass(value):
        return tuple(state_key(getattr(value, f.name)) for f in fields(value))
    if hasattr(value, "__struct_fields__"):
        return value
    state = getattr(value, "__dict__", {})
    return tuple((name, state_key(v)) for name, v in state.items() if name != "_rng")


# The most steps of each kind in one order. Faults are rare in service and therefore also here; kinds
# that are not listed are limited by the depth alone.
STEP_LIMITS = {
    "lose": 1,
    "repeat": 1,
    "crash": 1,
    "restart": 2,
    "wipe": 1,
    "wait": 1,
    "tick": 2,
    "write": 1,
    "read": 1,
    "acquire": 1,
    "change": 2,
    "compact": 1,
    "forget": 1,
}


def possible_steps(cluster: Cluster, plan: tuple[Step, ...]) -> Iterator[Step]:
    """All steps that may follow a plan that led to this state."""
    used = {name: sum(step[0] == name for step in plan) for name in STEP_LIMITS}
    allowed = {name for name in STEP_LIMITS if used[name] < STEP_LIMITS[name]}
    seen = set()
    for at, message in enumerate(cluster.network):
        if message not in seen:
            seen.add(message)
            yield "deliver", str(at)
            for name in ("lose", "repeat"):
                if name in allowed:
                    yield name, str(at)
    for i, node in enumerate(cluster.nodes):
        if node.disk.pending:
            yield "sync", str(i)
        if "wipe" in allowed and can_wipe(cluster, i):
            yield "wipe", str(i)
        if node.group is None:
            if "restart" in allowed:
                yield "restart", str(i)
            continue
        for name in ("crash", "tick"):
            if name in allowed:
                yield name, str(i)
        if node.group.is_leader():
            yield from _leader_calls(i, allowed)
    if "wait" in allowed:
        yield "wait", "2"


def _leader_calls(i: int, allowed: set[str]) -> Iterator[Step]:
    for name in ("write", "read", "compact", "forget"):
        if name in allowed:
            yield name, str(i)
    if "acquire" in allowed:
        yield "acquire", str(i), "1"
    if "change" in allowed:
        for choice in range(5):
            yield "change", str(i), str(choice)


def search_all_orders(
    scene: str, depth: int, planted: PlantedBug | None = None, max_states: int = 10**9
) -> SearchResult:
    """Explore all orders of the possible steps from a scene, breadth first, to a depth.

    Each state is expanded once. At `max_states` states the search ends early with `complete` False.
    """
    found, began_s = SearchResult(scene=scene), time.perf_counter()
    try:
        first = SCENES[scene](planted)
    except InvariantError as breach:
        found.breach = str(breach)
        return found
    level: list[tuple[bytes, tuple[Step, ...]]] = [(first.serialized(), ())]
    seen = {hash(state_key(first))}
    for _ in range(depth):
        next_level = []
        for serialized, plan in level:
            for step in possible_steps(Cluster.deserialized(serialized), plan):
                successor = Cluster.deserialized(serialized)
                try:
                    play(successor, step)
                except InvariantError as breach:
                    found.breach, found.plan = str(breach), (*plan, step)
                    break
                found.steps += 1
                key = hash(
                    (
                        state_key(successor),
                        tuple(sorted(s[0] for s in (*plan, step) if s[0] in STEP_LIMITS)),
                    )
                )
                if key not in seen:
                    seen.add(key)
                    next_level.append((successor.serialized(), (*plan, step)))
            found.complete = len(seen) < max_states
            if found.breach or not found.complete:
                break
        level = next_level
        if found.breach or not found.complete:
            break
        found.depth += 1
    found.states, found.took_s = len(seen), time.perf_counter() - began_s
    return found
