"""One holding process: its replicas, the links to the others, the list service that one group is for."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine

from msgspec import structs

from yewstage.holding.calls import BY_KEY, Calls
from yewstage.holding.config import HoldingConfig
from yewstage.holding.group_names import LIST_GROUP
from yewstage.holding.identity import Folder
from yewstage.holding.link import VERSION, Hearing, Hello, Link, Said, frame
from yewstage.holding.list_forwarder import Passing
from yewstage.holding.placement import name_of
from yewstage.holding.replicas import Replicas
from yewstage.log import address_event
from yewstage.metrics import Metric, count, gauge, gauges
from yewstage.net.config import Address
from yewstage.net.http_server import HttpConnection, HttpRequest, HttpResponse
from yewstage.raft.messages import AnyMessage
from yewstage.registry.server import Registry

log = logging.getLogger(__name__)

LOOK_S = 0.2  # how often leaders look whether a copy is to be replaced


class Node:
    """All of it."""

    def __init__(
        self,
        config: HoldingConfig,
        folder: Folder,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        over: asyncio.Event,
    ) -> None:
        self.config, self._loop, self._rng, self.over = config, loop, rng, over
        self.failure = ""
        self._links: dict[str, Link] = {}  # by name
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.refused_peers = 0
        self.replicas = Replicas(config, folder, loop, rng, self._send, self._fail, self._greet, self._spawn)
        self.registry = Registry(config.service, self.replicas.all[LIST_GROUP], loop, rng)
        self.calls = Calls(self.replicas, loop, self._spawn)
        self.registry.listener.handle = self._call
        service = config.service
        self.passing = Passing(
            self.replicas.holders_of_list,
            self.registry.later,
            loop,
            rng,
            self._spawn,
            service.watches,
            service.most_age_ms,
        )
        self.registry.forward_list = self.passing.list

    # --- Start and end ------------------------------------------------------------------------------------

    async def start(self) -> Address:
        """Hear the others, then serve; the address where clients call."""
        host, port = self.config.peer
        self._server = await self._loop.create_server(self._hearing, host, port)
        address = await self.registry.start()
        port = self._server.sockets[0].getsockname()[1]
        replicas = self.replicas
        replicas.me = structs.replace(replicas.me, peer=f"{host}:{port}", call=f"{address[0]}:{address[1]}")
        log.info(address_event("peers", "hearing others on", (host, port)))
        for name in self.config.peers:
            self._link(name)
        replicas.start()
        self._spawn(self._look())
        self._spawn(self.calls.forget())
        return address

    async def stop(self) -> None:
        """Hand leadership over, then end."""
        handed = [group for group in self.replicas.led() if self.replicas.all[group].hand_over()]
        until = self._loop.time() + self.config.settings.election_ms / 1000
        while set(handed) & set(self.replicas.led()) and self._loop.time() < until:
            await asyncio.sleep(0.01)
        await self.registry.stop()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.passing.close()
        self.replicas.close()

    def _fail(self, why: str) -> None:
        """A replica that cannot keep its promises makes none: the process ends."""
        self.failure = why
        self.over.set()

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        """A part that failed is not missed in silence."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(f"a part failed: {task.exception()!r}")

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            await self.replicas.look()

    # --- Links --------------------------------------------------------------------------------------------

    def _hearing(self) -> Hearing:
        return Hearing(self.config.cluster, self._heard, self._said, self._refuse)

    def _refuse(self, why: str) -> None:
        self.refused_peers += 1

    def _heard(self, hello: Hello) -> None:
        member = hello.member
        self.replicas.hear(member, hello.leads, hello.table)
        if member.name not in self._links and member.name != self.config.name:
            self._link(member.name)

    def _said(self, said: Said) -> None:
        self.replicas.said(said.group, said.message)

    def _hello(self) -> bytes:
        replicas = self.replicas
        return frame(Hello(VERSION, self.config.cluster, replicas.me, replicas.reports(), replicas.table))

    def _greet(self) -> None:
        """What is said each second has changed."""
        for link in self._links.values():
            link.greet()

    def _link(self, name: str) -> Link:
        link = self._links[name] = Link(lambda: self._address(name), self._hello, self._rng)
        self._spawn(link.run())
        return link

    def _address(self, name: str) -> Address | None:
        """Where a process is reached from here: as configured, else as it says itself."""
        if name in self.config.peers:
            return self.config.peers[name]
        replicas = self.replicas
        heard = sorted(replicas.heard.present.values(), key=lambda told: -told[1])
        known = [m for m, _ in heard if m.name == name]
        for ledger in replicas.all.values():
            known += [m for m in ledger.group.replica.members if m.name == name]
        host, _, port = known[0].peer.rpartition(":") if known else ("", "", "")
        return (host, int(port)) if host else None

    def _send(self, group: str, message: AnyMessage) -> None:
        name = name_of(message.dst)
        if name == self.config.name:
            return  # our own name's earlier disk
        (self._links.get(name) or self._link(name)).send(frame(Said(group, message)))

    # --- Calls --------------------------------------------------------------------------------------------

    def _call(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        if call.path.startswith(("/v1/holding/", *BY_KEY)):
            return self.calls.handle(call, caller)
        return self.registry.handle(call, caller)

    # --- Figures ------------------------------------------------------------------------------------------

    def metrics(self) -> list[Metric]:
        """What operators read, beside the list service's."""
        replicas, links = self.replicas, self._links.values()
        accounts, granted = self.calls.accounts()
        here = {group: ledger for group, ledger in replicas.all.items() if replicas.begun(group)}
        held = {group: ledger.group.replica for group, ledger in here.items()}

        def by_group(name: str, meaning: str, values: dict[str, float]) -> Metric:
            return gauges(name, meaning, "group", values)

        return [
            by_group("holding_leads", "whether it leads", {g: r.leading() for g, r in held.items()}),
            by_group("holding_term", "of the group", {g: r.term for g, r in held.items()}),
            by_group("holding_commit", "index", {g: r.commit_index for g, r in held.items()}),
            by_group(
                "holding_age_seconds",
                "bound on how old what is known here is",
                {g: ledger.age_ms() / 1000 for g, ledger in here.items()},
            ),
            by_group(
                "holding_copies_short",
                "as the leader hears; -1: not the leader",
                {g: replicas.short(g) for g in held},
            ),
            gauge("holding_table_epoch", "of the places that are known here", replicas.table.epoch),
            gauge("holding_keys", "kept here, of keyed requests", self.calls.keys()),
            gauge("holding_accounts", "kept here, of customers' quotas", accounts),
            gauge("holding_granted_units", "in shares of accounts led here", granted),
            gauge(
                "holding_disk_full",
                "whether writes to the disk fail",
                any(ledger.broken for ledger in replicas.all.values()),
            ),
            gauge(
                "holding_disk_bytes",
                "that the files take",
                sum(ledger.disk.bytes() for ledger in replicas.all.values()),
            ),
            count("holding_elections", "stood in here", self._sum_of("elections")),
            count("holding_member_changes", "begun here", replicas.changes),
            count("holding_copied_bytes", "sent to copies that are made", replicas.pace.copied),
            count(
                "holding_disk_forgot",
                "what a peer's disk had said to be durable",
                self._sum_of("durability_losses"),
            ),
            count("holding_passed_on", "calls for the list, to one that holds it", self.passing.passed),
            count("holding_passed_on_failed", "nobody answered in time", self.passing.failed),
            count("holding_unsure", "writes whose result is not known here", self._sum("unsure")),
            count("holding_syncs", "of the disk", sum(one.disk.syncs for one in replicas.all.values())),
            count("holding_messages", "sent to other replicas", sum(link.sent for link in links)),
            count(
                "holding_dropped",
                "messages that links took no more of",
                sum(link.dropped for link in links),
            ),
            count("holding_peers_refused", "of another cluster or version, or nonsense", self.refused_peers),
        ]

    def _sum(self, name: str) -> int:
        return sum(getattr(ledger, name) for ledger in self.replicas.all.values())

    def _sum_of(self, name: str) -> int:
        return sum(getattr(ledger.group.replica, name) for ledger in self.replicas.all.values())
