"""One process of the replicated state service: its replicas, links to other processes, and HTTP calls."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine

from msgspec import structs

from yewstage.holding.calls import KEY_CALLS, Calls
from yewstage.holding.config import HoldingConfig
from yewstage.holding.group_names import LIST_GROUP
from yewstage.holding.identity import Folder
from yewstage.holding.link import VERSION, GroupMessage, Hello, Link, PeerConnection, frame
from yewstage.holding.list_forwarder import ListForwarder
from yewstage.holding.placement import machine_name_of
from yewstage.holding.replicas import Replicas
from yewstage.log import address_event
from yewstage.metrics import Metric, counter, gauge, labelled_gauge
from yewstage.net.config import Address
from yewstage.net.http_server import HttpConnection, HttpRequest, HttpResponse
from yewstage.raft.messages import AnyMessage
from yewstage.registry.server import Registry

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.2  # between a leader's checks whether members are to be changed


class Node:
    """Connects the replicas of a process to its links, its HTTP server and its metrics.

    `stopping` is set when the process has to end; `failure` then has the reason, empty without a failure.
    """

    def __init__(
        self,
        config: HoldingConfig,
        folder: Folder,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        stopping: asyncio.Event,
    ) -> None:
        self.config, self._loop, self._rng, self.stopping = config, loop, rng, stopping
        self.failure = ""
        self._links: dict[str, Link] = {}  # by name
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.refused_peers = 0
        self.replicas = Replicas(
            config, folder, loop, rng, self._send, self._fail, self._send_hellos, self._spawn
        )
        self.registry = Registry(config.service, self.replicas.backends[LIST_GROUP], loop, rng)
        self.calls = Calls(self.replicas, loop, self._spawn)
        self.registry.listener.handle = self._handle_call
        service = config.service
        self.list_forwarder = ListForwarder(
            self.replicas.list_replica_addresses,
            self.registry.retry_later_response,
            loop,
            rng,
            self._spawn,
            service.watches,
            service.max_age_ms,
        )
        self.registry.forward_list = self.list_forwarder.forward

    # --- Start and end ------------------------------------------------------------------------------------

    async def start(self) -> Address:
        """Listen for other processes, then for clients; returns the clients' address."""
        host, port = self.config.peer
        self._server = await self._loop.create_server(self._accept, host, port)
        address = await self.registry.start()
        port = self._server.sockets[0].getsockname()[1]
        replicas = self.replicas
        replicas.me = structs.replace(replicas.me, peer=f"{host}:{port}", call=f"{address[0]}:{address[1]}")
        log.info(address_event("peers", "hearing others on", (host, port)))
        for name in self.config.peers:
            self._add_link(name)
        replicas.start()
        self._spawn(self._reconcile())
        self._spawn(self.calls.expire_keys())
        return address

    async def stop(self) -> None:
        """Transfer leadership of all groups, waiting at most one election timeout, then stop."""
        transferred = [
            group
            for group in self.replicas.led_groups()
            if self.replicas.backends[group].transfer_leadership()
        ]
        deadline = self._loop.time() + self.config.settings.election_ms / 1000
        while set(transferred) & set(self.replicas.led_groups()) and self._loop.time() < deadline:
            await asyncio.sleep(0.01)
        await self.registry.stop()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.list_forwarder.close()
        self.replicas.close()

    def _fail(self, why: str) -> None:
        """End the process: a replica with a failed disk must not acknowledge anything."""
        self.failure = why
        self.stopping.set()

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        """End the process if a background task failed, so that the failure is not overlooked."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(f"background task failed: {task.exception()!r}")

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            await self.replicas.reconcile()

    # --- Links --------------------------------------------------------------------------------------------

    def _accept(self) -> PeerConnection:
        return PeerConnection(self.config.cluster, self._on_hello, self._on_message, self._on_refused)

    def _on_refused(self, why: str) -> None:
        self.refused_peers += 1

    def _on_hello(self, hello: Hello) -> None:
        member = hello.member
        self.replicas.handle_hello(member, hello.leads, hello.table)
        if member.name not in self._links and member.name != self.config.name:
            self._add_link(member.name)

    def _on_message(self, received: GroupMessage) -> None:
        self.replicas.handle_message(received.group, received.message)

    def _hello(self) -> bytes:
        replicas = self.replicas
        return frame(
            Hello(VERSION, self.config.cluster, replicas.me, replicas.leader_reports(), replicas.table)
        )

    def _send_hellos(self) -> None:
        """Send a Hello on all links at once, since its content has changed."""
        for link in self._links.values():
            link.send_hello()

    def _add_link(self, name: str) -> Link:
        link = self._links[name] = Link(lambda: self._peer_address(name), self._hello, self._rng)
        self._spawn(link.run())
        return link

    def _peer_address(self, name: str) -> Address | None:
        """The address of a process: as configured, else as it reports itself; None if not known."""
        if name in self.config.peers:
            return self.config.peers[name]
        replicas = self.replicas
        newest_first = sorted(replicas.peer_reports.last_hellos.values(), key=lambda entry: -entry[1])
        known = [m for m, _ in newest_first if m.name == name]
        for backend in replicas.backends.values():
            known += [m for m in backend.group.replica.members if m.name == name]
        host, _, port = known[0].peer.rpartition(":") if known else ("", "", "")
        return (host, int(port)) if host else None

    def _send(self, group: str, message: AnyMessage) -> None:
        name = machine_name_of(message.dst)
        if name == self.config.name:
            return  # an earlier disk of this machine
        (self._links.get(name) or self._add_link(name)).send(frame(GroupMessage(group, message)))

    # --- Calls --------------------------------------------------------------------------------------------

    def _handle_call(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        if call.path.startswith(("/v1/holding/", *KEY_CALLS)):
            return self.calls.handle(call, caller)
        return self.registry.handle(call, caller)

    # --- Metrics ------------------------------------------------------------------------------------------

    def metrics(self) -> list[Metric]:
        """Metrics of the replicas and links, besides those of the list service."""
        replicas, links = self.replicas, self._links.values()
        accounts, granted = self.calls.account_totals()
        started_backends = {
            group: backend for group, backend in replicas.backends.items() if replicas.has_state(group)
        }
        replicas_by_group = {group: backend.group.replica for group, backend in started_backends.items()}

        def by_group(name: str, meaning: str, values: dict[str, float]) -> Metric:
            return labelled_gauge(name, meaning, "group", values)

        return [
            by_group(
                "holding_leads",
                "whether it leads",
                {g: r.is_leading() for g, r in replicas_by_group.items()},
            ),
            by_group("holding_term", "of the group", {g: r.term for g, r in replicas_by_group.items()}),
            by_group(
                "holding_commit",
                "index",
                {g: r.commit_index for g, r in replicas_by_group.items()},
            ),
            by_group(
                "holding_age_seconds",
                "bound on how old what is known here is",
                {g: backend.age_ms() / 1000 for g, backend in started_backends.items()},
            ),
            by_group(
                "holding_copies_short",
                "as the leader hears; -1: not the leader",
                {g: replicas.missing_copies(g) for g in replicas_by_group},
            ),
            gauge("holding_table_epoch", "of the places that are known here", replicas.table.epoch),
            gauge("holding_keys", "kept here, of keyed requests", self.calls.key_count()),
            gauge("holding_accounts", "kept here, of customers' quotas", accounts),
            gauge("holding_granted_units", "in shares of accounts led here", granted),
            gauge(
                "holding_disk_full",
                "whether writes to the disk fail",
                any(backend.broken for backend in replicas.backends.values()),
            ),
            gauge(
                "holding_disk_bytes",
                "that the files take",
                sum(backend.disk.bytes() for backend in replicas.backends.values()),
            ),
            counter("holding_elections", "stood in here", self._replica_sum("elections")),
            counter("holding_member_changes", "begun here", replicas.membership_changes),
            counter(
                "holding_copied_bytes",
                "sent to copies that are made",
                replicas.copy_rate_limiter.copied_bytes,
            ),
            counter(
                "holding_disk_forgot",
                "what a peer's disk had said to be durable",
                self._replica_sum("durability_losses"),
            ),
            counter(
                "holding_passed_on", "calls for the list, to one that holds it", self.list_forwarder.forwarded
            ),
            counter(
                "holding_passed_on_failed",
                "nobody answered in time",
                self.list_forwarder.failed,
            ),
            counter(
                "holding_unsure",
                "writes whose result is not known here",
                self._backend_sum("unknown_outcomes"),
            ),
            counter(
                "holding_syncs",
                "of the disk",
                sum(backend.disk.syncs for backend in replicas.backends.values()),
            ),
            counter("holding_messages", "sent to other replicas", sum(link.sent for link in links)),
            counter(
                "holding_dropped",
                "messages that links took no more of",
                sum(link.dropped for link in links),
            ),
            counter(
                "holding_peers_refused",
                "of another cluster or version, or nonsense",
                self.refused_peers,
            ),
        ]

    def _backend_sum(self, name: str) -> int:
        return sum(getattr(backend, name) for backend in self.replicas.backends.values())

    def _replica_sum(self, name: str) -> int:
        return sum(getattr(backend.group.replica, name) for backend in self.replicas.backends.values())
