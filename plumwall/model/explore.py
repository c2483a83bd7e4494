"""Plays of the model: long random plans that a seed repeats, and all orders of events to a depth.

A plan is a list of steps, each a name and numbers; what it did can be played again, and shortened to the
fewest steps that still show a breach.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, fields, is_dataclass, replace

import numpy as np
from msgspec import structs

from plumwall.model.cluster import SETTINGS, TTL_MS, BreachError, Cluster, PlantedBug
from plumwall.model.keyed import KeyedCluster
from plumwall.model.scenes import SCENES
from yewstage.raft.messages import Members

Step = tuple[str, ...]
HOLDERS = ("h1", "h2")
WAITS = (SETTINGS.heartbeat_ms, SETTINGS.election_ms / 2, 2 * SETTINGS.election_ms, TTL_MS * 1.02)


@dataclass
class SearchResult:
    """What a search came to."""

    plans: int = 0
    steps: int = 0
    states: int = 0
    took_s: float = 0.0
    breach: str = ""
    plan: tuple[Step, ...] = ()
    seed: int = -1
    scene: str = "start"
    depth: int = 0  # to which all orders were seen
    complete: bool = True  # nothing was left out for the bound on states


def play(cluster: Cluster, step: Step) -> bool:
    """One step, if it can be done now."""
    name, args = step[0], [int(a) for a in step[1:]]
    if name in ("deliver", "repeat", "lose"):
        if args[0] >= len(cluster.network):
            return False
        if name == "lose":
            cluster.lose(args[0])
        else:
            cluster.deliver(args[0], keep=name == "repeat")
    elif name == "wait":
        cluster.wait(WAITS[args[0]])
    elif name == "cut":
        cluster.cut_links.add((args[0], args[1]))
    elif name == "heal":
        cluster.cut_links.clear()
    elif not _at(cluster, name, *args):
        return False
    cluster.check()
    return True


def _at(cluster: Cluster, name: str, i: int, more: int = 0) -> bool:
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
            return cluster.acquire(i, HOLDERS[more])
        case "change":
            return cluster.change(i, changed(cluster, i, more))
        case "hand":
            return cluster.hand_over(i, more)
        case "forget":
            return isinstance(cluster, KeyedCluster) and cluster.forget(i)
        case _:
            return {"write": cluster.write, "read": cluster.read, "compact": cluster.compact}[name](i)
    return True


def changed(cluster: Cluster, i: int, choice: int) -> Members:
    """Members as somebody may want them: a machine's new disk let in, made a voter, an old disk's taken out,
    or all of that in one change, which must be refused."""
    node = cluster.nodes[i]
    if node.group is None:
        return ()
    members = node.group.replica.members
    new = [n.member for n in cluster.nodes if all(n.member.id != m.id for m in members)]
    gone = {m.id for m in members} - {n.member.id for n in cluster.nodes}
    if choice == 0 and new:
        return (*members, structs.replace(new[0], voter=False))
    if choice == 1:
        learners = [m for m in members if not m.voter]
        return tuple(structs.replace(m, voter=True) if m in learners[:1] else m for m in members)
    if choice == 2 and gone:
        return tuple(m for m in members if m.id != min(gone))
    if choice == 3 and new:
        return (*(m for m in members if m.id not in gone), *new)
    return members[:-1] if choice == 4 and len(members) > 1 else members


# --- Random plans -----------------------------------------------------------------------------------------

KINDS = {
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
CALLS = ("write", "read", "acquire", "change", "hand", "forget")
MOODS = (0.1, 1.0, 1.0, 5.0)  # each plan has more of some kinds and less of others: swarm testing


def steps(rng: np.random.Generator, cluster: Cluster) -> Iterator[Step]:
    """Steps without end, drawn by weight among those that can be done: mostly those that bring things
    forward."""
    names = list(KINDS)
    weights = np.array(list(KINDS.values()), float) * rng.choice(MOODS, len(names))
    while True:
        can = np.array([bool(_places(name, cluster)) for name in names])
        name = str(rng.choice(names, p=weights * can / (weights * can).sum()))
        yield _drawn(name, _places(name, cluster), rng, cluster)


def _places(name: str, cluster: Cluster) -> list[int]:
    """Where a step can be done: machines, or whether messages are under way."""
    nodes = list(enumerate(cluster.nodes))
    match name:
        case "deliver" | "lose" | "repeat":
            return [0] if cluster.network else []
        case "sync":
            return [i for i, n in nodes if n.disk.pending]
        case "restart":
            return [i for i, n in nodes if n.group is None]
        case "wipe":
            return [i for i, _ in nodes if may_wipe(cluster, i)]
        case "wait":
            return [0]
        case "cut":
            return [i for i, _ in nodes]
        case "heal":
            return [0] if cluster.cut_links else []
        case "forget" if not isinstance(cluster, KeyedCluster):
            return []
    return [i for i, n in nodes if n.group is not None]


def _drawn(name: str, places: list[int], rng: np.random.Generator, cluster: Cluster) -> Step:
    if name in ("deliver", "repeat", "lose"):
        # Mostly in order; now and then any.
        return name, str(0 if rng.random() < 0.7 else int(rng.integers(len(cluster.network))))
    if name == "wait":
        return name, str(rng.choice(len(WAITS), p=(0.6, 0.15, 0.2, 0.05)))
    if name in CALLS and rng.random() < 0.9:
        places = [i for i in places if cluster.nodes[i].group.is_leader()] or places
    if name == "heal":
        return (name,)
    i = str(rng.choice(places))
    if name in ("cut", "hand"):
        return name, i, str((int(i) + int(rng.integers(1, len(cluster.nodes)))) % len(cluster.nodes))
    if name == "acquire":
        return name, i, str(rng.integers(len(HOLDERS)))
    return (name, i, str(rng.integers(5))) if name == "change" else (name, i)


def walk(
    seed: int, length: int, planted: PlantedBug | None = None, scenes: Sequence[str] = tuple(SCENES)
) -> SearchResult:
    """One random plan from one of the scenes. Messages that pile up are lost, as on links that are full."""
    rng = np.random.default_rng(np.random.SeedSequence(seed))
    found = SearchResult(plans=1, seed=seed, scene=str(rng.choice(list(scenes))))
    began, done = time.perf_counter(), []
    try:
        cluster = SCENES[found.scene](planted)
    except BreachError as breach:
        found.breach = str(breach)
        return found
    for step in steps(rng, cluster):
        if len(done) >= length:
            break
        done.append(step)
        try:
            play(cluster, step)
            while len(cluster.network) > 60:
                done.append(("lose", "0"))
                cluster.lose(0)
        except BreachError as breach:
            found.breach, found.plan = str(breach), tuple(done)
            break
    found.steps, found.took_s = len(done), time.perf_counter() - began
    return found


def may_wipe(cluster: Cluster, i: int) -> bool:
    """Whether losing this disk leaves every promise a majority to rest on: what was acknowledged is on a
    majority of the disks of some list of members, and the loss of a majority loses it, whatever the program
    does."""
    lists = []
    for node in cluster.nodes:
        saved = node.disk.saved
        lists += [saved.snapshot.members]
        if node.group is not None:
            lists += [members for _, members in node.group.replica.members_at]
    whole = {node.member.id for j, node in enumerate(cluster.nodes) if j != i} - cluster.reborn
    for members in lists:
        voters = {m.id for m in members if m.voter}
        if voters and len(voters & whole) * 2 <= len(voters):
            return False
    return True


def shorten(found: SearchResult, planted: PlantedBug | None = None) -> tuple[Step, ...]:
    """The fewest steps of a plan that still end in a breach."""
    return shortened(found.plan, lambda plan: breaks(found.scene, plan, planted))


def shortened(
    plan: tuple[Step, ...], breaks_after: Callable[[tuple[Step, ...]], int], within_s: float = 20.0
) -> tuple[Step, ...]:
    """A plan with ever smaller parts left out that still breaks something, after so many steps."""
    until, part = time.perf_counter() + within_s, len(plan) // 2
    while part:
        at = 0
        while at < len(plan) and time.perf_counter() < until:
            shorter = plan[:at] + plan[at + part :]
            ends = breaks_after(shorter)
            if ends:
                plan = shorter[:ends]
            else:
                at += part
        part //= 2
    return plan


def breaks(scene: str, plan: tuple[Step, ...], planted: PlantedBug | None = None) -> int:
    """After how many steps a plan ends in a breach; 0: it does not."""
    cluster = SCENES[scene](planted)
    for number, step in enumerate(plan, 1):
        try:
            play(cluster, step)
        except BreachError:
            return number
    return 0


def search(
    seeds: Iterable[int],
    length: int,
    planted: PlantedBug | None = None,
    scenes: Sequence[str] = tuple(SCENES),
    say: Callable[[SearchResult], None] = lambda found: None,
) -> SearchResult:
    """Random plans, one after the other, until one breaks something."""
    total = SearchResult()
    for seed in seeds:
        found = walk(seed, length, planted, scenes)
        total.plans += 1
        total.steps += found.steps
        total.took_s += found.took_s
        say(total)
        if found.breach:
            return replace(total, breach=found.breach, plan=found.plan, seed=seed, scene=found.scene)
    return total


# --- All orders -------------------------------------------------------------------------------------------


def frozen(value: object) -> object:
    """A value that is equal exactly where two states are."""
    if isinstance(value, (str, bytes, int, float, bool, type(None))):
        return value
    if isinstance(value, dict):
        return tuple(sorted(((frozen(k), frozen(v)) for k, v in value.items()), key=repr))
    if isinstance(value, (list, tuple, deque)):
        return tuple(frozen(v) for v in value)
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(map(frozen, value), key=repr))
    if isinstance(value, type):
        return value.__name__
    if is_dataclass(value):
        return tuple(frozen(getattr(value, f.name)) for f in fields(value))
    if hasattr(value, "__struct_fields__"):
        return value
    state = getattr(value, "__dict__", {})
    return tuple((name, frozen(v)) for name, v in state.items() if name != "_rng")


# How often each kind of step may stand in one order: what is rare in life is rare here, and the rest is
# bounded by the depth alone.
RARE = {
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


def options(cluster: Cluster, plan: tuple[Step, ...]) -> Iterator[Step]:
    """All that may come next."""
    used = {name: sum(step[0] == name for step in plan) for name in RARE}
    can = {name for name in RARE if used[name] < RARE[name]}
    seen = set()
    for at, message in enumerate(cluster.network):
        if message not in seen:
            seen.add(message)
            yield "deliver", str(at)
            for name in ("lose", "repeat"):
                if name in can:
                    yield name, str(at)
    for i, node in enumerate(cluster.nodes):
        if node.disk.pending:
            yield "sync", str(i)
        if "wipe" in can and may_wipe(cluster, i):
            yield "wipe", str(i)
        if node.group is None:
            if "restart" in can:
                yield "restart", str(i)
            continue
        for name in ("crash", "tick"):
            if name in can:
                yield name, str(i)
        if node.group.is_leader():
            yield from _calls(i, can)
    if "wait" in can:
        yield "wait", "2"


def _calls(i: int, can: set[str]) -> Iterator[Step]:
    for name in ("write", "read", "compact", "forget"):
        if name in can:
            yield name, str(i)
    if "acquire" in can:
        yield "acquire", str(i), "1"
    if "change" in can:
        for choice in range(5):
            yield "change", str(i), str(choice)


def every(scene: str, depth: int, planted: PlantedBug | None = None, most: int = 10**9) -> SearchResult:
    """All orders of the steps that are possible from a scene, to a depth, each state once; no more than
    `most` states."""
    found, began = SearchResult(scene=scene), time.perf_counter()
    try:
        first = SCENES[scene](planted)
    except BreachError as breach:
        found.breach = str(breach)
        return found
    level: list[tuple[bytes, tuple[Step, ...]]] = [(first.packed(), ())]
    seen = {hash(frozen(first))}
    for _ in range(depth):
        following = []
        for packed, plan in level:
            for step in options(Cluster.unpacked(packed), plan):
                after = Cluster.unpacked(packed)
                try:
                    play(after, step)
                except BreachError as breach:
                    found.breach, found.plan = str(breach), (*plan, step)
                    break
                found.steps += 1
                mark = hash((frozen(after), tuple(sorted(s[0] for s in (*plan, step) if s[0] in RARE))))
                if mark not in seen:
                    seen.add(mark)
                    following.append((after.packed(), (*plan, step)))
            found.complete = len(seen) < most
            if found.breach or not found.complete:
                break
        level = following
        if found.breach or not found.complete:
            break
        found.depth += 1
    found.states, found.took_s = len(seen), time.perf_counter() - began
    return found
