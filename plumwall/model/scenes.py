"""Initial states for the search, each just before a situation that is error-prone.

Each scene runs ordinary steps from the start, also with a planted bug in place. If an invariant is violated
on the way, the scene raises InvariantError, which the search reports as any other breach.
"""

from __future__ import annotations

from collections.abc import Callable

from plumwall.model.cluster import LEASE_TTL_MS, SETTINGS, Cluster, PlantedBug
from plumwall.model.keyed import KEYS, KeyedCluster
from yewstage.raft.core import LEADER
from yewstage.raft.messages import AppendEntries

A, B, C = 0, 1, 2


def settle(cluster: Cluster, *still: int) -> None:
    """Deliver all messages and make all writes durable, except writes of the machines `still`.

    Raises AssertionError if messages are still in flight after 200 deliveries.
    """
    for _ in range(200):
        for i, node in enumerate(cluster.nodes):
            if node.disk.pending and i not in still:
                cluster.sync(i)
        if not cluster.network:
            return
        cluster.deliver(0)
    raise AssertionError("messages are still in flight after 200 deliveries")


def elect(cluster: Cluster, i: int) -> None:
    """Let one machine stand for election while all others can hear it."""
    cluster.wait(3 * SETTINGS.election_ms)
    cluster.tick(i)
    settle(cluster)
    beat(cluster, i)


def beat(cluster: Cluster, i: int) -> None:
    """Let a leader send a heartbeat, and deliver everything that follows from it."""
    cluster.wait(SETTINGS.heartbeat_ms)
    cluster.tick(i)
    settle(cluster)


def restart_from_snapshot(cluster: Cluster) -> None:
    """Compact all replicas and restart them, so that they run from a snapshot."""
    for i in (A, B, C):
        cluster.compact(i)
    settle(cluster)
    for i in (A, B, C):
        cluster.crash(i)
        cluster.restart(i)


def start(planted: PlantedBug | None) -> Cluster:
    """Three machines that have just started and know only the member list."""
    return Cluster(planted=planted)


def led(planted: PlantedBug | None) -> Cluster:
    """A has become leader, a write is acknowledged and a lease on the duty is held."""
    cluster = Cluster(planted=planted)
    elect(cluster, A)
    cluster.write(A)
    cluster.acquire(A, "h1")
    settle(cluster)
    beat(cluster, A)
    return cluster


def candidates(planted: PlantedBug | None) -> Cluster:
    """Two candidates in one term; the third machine has received one vote request, and its write of the vote
    is not durable yet."""
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
    """A leader replicates an entry of its earlier term to a second machine, while a third machine has an
    entry of a later term at the same index (figure 8 of the Raft paper)."""
    cluster = led(planted)
    cluster.cut_links |= {(A, B), (A, C)}
    cluster.write(A)
    cluster.sync(A)
    cluster.crash(A)
    cluster.cut_links.clear()
    cluster.wait(3 * SETTINGS.election_ms)
    _run_until_leader(cluster, C)
    cluster.network.clear()
    cluster.sync(C)
    cluster.crash(C)
    cluster.restart(A)
    _run_until_leader(cluster, A)
    cluster.sync(A)
    while not any(isinstance(m, AppendEntries) and m.entries for m in cluster.network):
        cluster.deliver(0)
    append = next(m for m in cluster.network if isinstance(m, AppendEntries) and m.entries)
    cluster.network = [append]
    cluster.deliver(0)
    cluster.sync(B)
    return cluster


def _run_until_leader(cluster: Cluster, i: int) -> None:
    """Let one machine stand for election until it leads, and stop at that moment.

    Raises AssertionError if it does not lead after 100 rounds.
    """
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
    raise AssertionError("the machine does not become leader within 100 rounds")


def unheard(planted: PlantedBug | None) -> Cluster:
    """A leader that B cannot hear. C has confirmed it, restarted, and is now cut off from it too."""
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
    """A leader that was confirmed by a quorum just before all its links were cut."""
    cluster = led(planted)
    cluster.cut_links |= {(A, B), (A, C), (B, A), (C, A)}
    return cluster


def replaced(planted: PlantedBug | None) -> Cluster:
    """C has restarted with a wiped disk and is not a member yet."""
    cluster = led(planted)
    cluster.wipe(C)
    beat(cluster, A)
    return cluster


def held(planted: PlantedBug | None) -> Cluster:
    """A lease is held, its entry is compacted into a snapshot, and after restarts no machine leads."""
    cluster = led(planted)
    restart_from_snapshot(cluster)
    cluster.wait(LEASE_TTL_MS / 2)
    return cluster


def claimed(planted: PlantedBug | None) -> Cluster:
    """A group of keys: one key is claimed, the request of the other one has ended, and all have restarted."""
    cluster = KeyedCluster(planted=planted)
    elect(cluster, A)
    for _ in range(KEYS):
        cluster.write(A)
    settle(cluster)
    cluster.acquire(A, "h1")
    settle(cluster)
    restart_from_snapshot(cluster)
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
