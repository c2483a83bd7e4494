"""States worth beginning from: just before something that is easily done wrongly.

Each is reached by ordinary steps from the start, by whatever program is played; where a mistake breaks
something on the way, that is a breach as any other.
"""

from __future__ import annotations

from collections.abc import Callable

from plumwall.model.cluster import SETTINGS, TTL_MS, Cluster, PlantedBug
from plumwall.model.keyed import KEYS, KeyedCluster
from yewstage.raft.core import LEADER
from yewstage.raft.messages import AppendEntries

A, B, C = 0, 1, 2


def settle(cluster: Cluster, *still: int) -> None:
    """All messages come and all writes are durable, but for those of machines that stand still."""
    for _ in range(200):
        for i, node in enumerate(cluster.nodes):
            if node.disk.pending and i not in still:
                cluster.sync(i)
        if not cluster.network:
            return
        cluster.deliver(0)
    raise AssertionError("it does not come to rest")


def elect(cluster: Cluster, i: int) -> None:
    """One machine stands, and all others hear it."""
    cluster.wait(3 * SETTINGS.election_ms)
    cluster.tick(i)
    settle(cluster)
    beat(cluster, i)


def beat(cluster: Cluster, i: int) -> None:
    """A leader's sign of life, and all that comes of it."""
    cluster.wait(SETTINGS.heartbeat_ms)
    cluster.tick(i)
    settle(cluster)


def begin_anew(cluster: Cluster) -> None:
    """All go on from a snapshot, after a restart."""
    for i in (A, B, C):
        cluster.compact(i)
    settle(cluster)
    for i in (A, B, C):
        cluster.crash(i)
        cluster.restart(i)


def start(planted: PlantedBug | None) -> Cluster:
    """Three machines that know nothing but their members."""
    return Cluster(planted=planted)


def led(planted: PlantedBug | None) -> Cluster:
    """One leads; a write is acknowledged, a duty is held."""
    cluster = Cluster(planted=planted)
    elect(cluster, A)
    cluster.write(A)
    cluster.acquire(A, "h1")
    settle(cluster)
    beat(cluster, A)
    return cluster


def candidates(planted: PlantedBug | None) -> Cluster:
    """Two stand in the same term; the third has heard one of them, and what it wrote is not durable yet."""
    cluster = Cluster(planted=planted)
    cluster.cut_links |= {(A, B), (B, A)}
    cluster.wait(3 * SETTINGS.election_ms)
    cluster.tick(A)
    cluster.tick(B)
    while cluster.network:  # the pre-votes and their answers
        cluster.deliver(0)
    cluster.sync(A)
    cluster.sync(B)
    cluster.cut_links.clear()
    cluster.deliver(0)
    return cluster


def older_entry(planted: PlantedBug | None) -> Cluster:
    """A leader brings an entry of its earlier term to a second machine, while a third has one of a later
    term in its place (figure 8 of the paper)."""
    cluster = led(planted)
    cluster.cut_links |= {(A, B), (A, C)}
    cluster.write(A)
    cluster.sync(A)
    cluster.crash(A)
    cluster.cut_links.clear()
    cluster.wait(3 * SETTINGS.election_ms)
    _win(cluster, C)
    cluster.network.clear()
    cluster.sync(C)
    cluster.crash(C)
    cluster.restart(A)
    _win(cluster, A)
    cluster.sync(A)
    while not any(isinstance(m, AppendEntries) and m.entries for m in cluster.network):
        cluster.deliver(0)
    brought = next(m for m in cluster.network if isinstance(m, AppendEntries) and m.entries)
    cluster.network = [brought]
    cluster.deliver(0)
    cluster.sync(B)
    return cluster


def _win(cluster: Cluster, i: int) -> None:
    """One machine stands, as often as it takes, up to the moment in which it leads."""
    replica = cluster.nodes[i].group.replica
    for _ in range(100):
        if replica.role == LEADER:
            return
        if not cluster.network and not any(node.disk.pending for node in cluster.nodes):
            cluster.wait(3 * SETTINGS.election_ms)
            cluster.tick(i)
        for at, node in enumerate(cluster.nodes):
            if node.disk.pending:
                cluster.sync(at)
        if cluster.network and replica.role != LEADER:
            cluster.deliver(0)
    raise AssertionError("it does not win")


def unheard(planted: PlantedBug | None) -> Cluster:
    """A leader that one machine does not hear; the other one has confirmed it and then begun anew."""
    cluster = led(planted)
    cluster.cut_links |= {(A, B), (B, A)}
    for _ in range(3):
        cluster.wait(SETTINGS.election_ms / 2)
        cluster.tick(A)
        settle(cluster)
    cluster.crash(C)
    cluster.restart(C)
    cluster.cut_links |= {(A, C), (C, A)}
    cluster.tick(B)
    return cluster


def alone(planted: PlantedBug | None) -> Cluster:
    """A leader that neither hears nor is heard, and has just been confirmed."""
    cluster = led(planted)
    cluster.cut_links |= {(A, B), (A, C), (B, A), (C, A)}
    return cluster


def replaced(planted: PlantedBug | None) -> Cluster:
    """One machine has come back with an empty disk, and is not let in yet."""
    cluster = led(planted)
    cluster.wipe(C)
    beat(cluster, A)
    return cluster


def held(planted: PlantedBug | None) -> Cluster:
    """A duty is held, a snapshot stands in place of the entry that granted it, and the leader is gone."""
    cluster = led(planted)
    begin_anew(cluster)
    cluster.wait(TTL_MS / 2)
    return cluster


def claimed(planted: PlantedBug | None) -> Cluster:
    """A group of keys: one is claimed, the other one has ended, and all were started anew after that."""
    cluster = KeyedCluster(planted=planted)
    elect(cluster, A)
    for _ in range(KEYS):
        cluster.write(A)
    settle(cluster)
    cluster.acquire(A, "h1")
    settle(cluster)
    begin_anew(cluster)
    return cluster


SCENES: dict[str, Callable[[PlantedBug | None], Cluster]] = {
    "start": start,
    "led": led,
    "candidates": candidates,
    "older-entry": older_entry,
    "unheard": unheard,
    "alone": alone,
    "replaced": replaced,
    "held": held,
    "claimed": claimed,
}
