"""One holding process: its replica, the links to the others, the calls of clients and operators."""

from __future__ import annotations

import asyncio
import logging
import random
import time

import msgspec
from msgspec import structs

from yewstage.holding.config import HoldingConfig
from yewstage.holding.group import GROUP, Group, first_data
from yewstage.holding.identity import Folder
from yewstage.holding.ledger import Copied
from yewstage.holding.link import VERSION, Hearing, Hello, Link, Said, frame
from yewstage.holding.members import View, next_change, used_twice
from yewstage.holding.recover import FORMAT as BACKUP_FORMAT
from yewstage.holding.recover import Backup
from yewstage.log import Event, at
from yewstage.metrics import Metric, count, gauge
from yewstage.net.config import Address, ConfigError
from yewstage.net.serve import Answer, Call, Caller
from yewstage.raft.core import BusyError, NotLeaderError, Saved, Write, first_state
from yewstage.raft.disk import Disk
from yewstage.raft.messages import AnyMessage, Member, Members
from yewstage.registry.ledger import ElsewhereError, LaterError
from yewstage.registry.server import Registry, failed, misdirected, said

log = logging.getLogger(__name__)

LOOK_S = 0.2  # how often a leader looks whether a copy is to be replaced
FORGET_MS = 60_000.0
FRESH_MS = 4000.0  # a process that was heard of within this is there: four of its signs of life


class _Named(msgspec.Struct, forbid_unknown_fields=True):
    """A member as calls name it."""

    id: str
    name: str
    zone: str
    peer: str
    call: str


class _Init(msgspec.Struct, forbid_unknown_fields=True):
    members: list[_Named]


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
        listen, peer = config.service.listen, config.peer
        self.me = Member(
            folder.id, config.name, config.zone, f"{peer[0]}:{peer[1]}", f"{listen[0]}:{listen[1]}"
        )
        self._disk = Disk(folder.path / GROUP)
        saved = self._disk.load()
        self.cut = self._disk.cut
        self.ledger = Copied(
            self._group(saved), self._disk, config.service.snapshot_entries, loop, self._send, self._fail
        )
        self.registry = Registry(config.service, self.ledger, loop, rng)
        self.registry.listener.handle = self._call
        self._present: dict[str, tuple[Member, float]] = {}  # by id, and when it last said so, ms
        self._links: dict[str, Link] = {}  # by name
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._leads_since = float("inf")
        self.refused_peers = self.changes = 0

    def _group(self, saved: Saved) -> Group:
        return Group(
            self.me.id,
            self.config.settings,
            self.config.service.rules,
            saved,
            self._rng,
            self._loop.time() * 1000,
        )

    # --- Start and end ------------------------------------------------------------------------------------

    async def start(self) -> Address:
        """Hear the others, then serve; the address where clients call."""
        host, port = self.config.peer
        self._server = await self._loop.create_server(self._hearing, host, port)
        address = await self.registry.start()
        port = self._server.sockets[0].getsockname()[1]
        self.me = structs.replace(self.me, peer=f"{host}:{port}", call=f"{address[0]}:{address[1]}")
        log.info(at("peers", "hearing others on", (host, port)))
        for name in self.config.peers:
            self._link(name)
        self.ledger.start()
        self._spawn(self._look())
        return address

    async def stop(self) -> None:
        """Hand leadership over, then end."""
        if self.ledger.hand_over():
            until = self._loop.time() + self.config.settings.election_ms / 1000
            while self.ledger.group.leads() and self._loop.time() < until:
                await asyncio.sleep(0.01)
        await self.registry.stop()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.ledger.close()

    def _fail(self, why: str) -> None:
        """A replica that cannot keep its promises makes none: the process ends."""
        self.failure = why
        self.over.set()

    def _spawn(self, work: object) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        """A part that failed is not missed in silence."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(f"a part failed: {task.exception()!r}")

    # --- Links --------------------------------------------------------------------------------------------

    def _hearing(self) -> Hearing:
        return Hearing(self.config.cluster, self._heard, self._said, self._refuse)

    def _refuse(self, why: str) -> None:
        self.refused_peers += 1

    def _heard(self, member: Member) -> None:
        now = self.ledger.now()
        if member.id not in self._present:  # disks that are long gone are forgotten
            self._present = {name: told for name, told in self._present.items() if now - told[1] < FORGET_MS}
        self._present[member.id] = member, now
        if member.name not in self._links and member.name != self.config.name:
            self._link(member.name)

    def _said(self, said: Said) -> None:
        if said.group == GROUP:
            self.ledger.handle(said.message)

    def _link(self, name: str) -> Link:
        link = self._links[name] = Link(
            lambda: self._address(name),
            lambda: frame(Hello(VERSION, self.config.cluster, self.me)),
            self._rng,
        )
        self._spawn(link.run())
        return link

    def _address(self, name: str) -> Address | None:
        """Where a process is reached from here: as configured, else as it says itself."""
        if name in self.config.peers:
            return self.config.peers[name]
        heard = sorted(self._present.values(), key=lambda told: -told[1])
        known = [m for m, _ in heard if m.name == name]
        known += [m for m in self.ledger.group.replica.members if m.name == name]
        host, _, port = known[0].peer.rpartition(":") if known else ("", "", "")
        return (host, int(port)) if host else None

    def _send(self, message: AnyMessage) -> None:
        name = message.dst.rpartition(".")[0]
        if name == self.config.name:
            return  # our own name's earlier disk
        (self._links.get(name) or self._link(name)).send(frame(Said(GROUP, message)))

    # --- Members ------------------------------------------------------------------------------------------

    def view(self) -> View:
        """What we see, as leader."""
        now, replica = self.ledger.now(), self.ledger.group.replica
        since = {
            m.id: max(peer.heard_at, self._leads_since)
            for m in replica.members
            for peer in [replica.peers.get(m.id)]
            if peer is not None
        }
        present = tuple(m for m, heard_at in self._present.values() if now - heard_at <= FRESH_MS)
        caught_up = frozenset(name for name, peer in replica.peers.items() if peer.match >= replica.commit)
        return View(
            self.me.id,
            GROUP,
            replica.members,
            {name: now - heard_at for name, heard_at in since.items()},
            present,
            caught_up,
            self.config.copies,
            self.config.gone_ms,
            FRESH_MS,
        )

    async def _look(self) -> None:
        """As long as we lead, replace what is lost, one member at a time."""
        while True:
            await asyncio.sleep(LOOK_S)
            if not self.ledger.group.leads():
                self._leads_since = float("inf")
                continue
            self._leads_since = min(self._leads_since, self.ledger.now())
            members = next_change(self.view())
            if members is None:
                continue
            try:
                self.ledger.change(members)
            except (NotLeaderError, BusyError):
                continue
            self.changes += 1
            log.info(
                Event(
                    "members",
                    "members are changed to {members}",
                    members=", ".join(m.id + ("" if m.voter else " (learner)") for m in members),
                )
            )

    # --- Calls --------------------------------------------------------------------------------------------

    def _call(self, call: Call, caller: Caller) -> Answer | None:
        if not call.path.startswith("/v1/holding/"):
            return self.registry.handle(call, caller)
        verb = call.path.removeprefix("/v1/holding/")
        calls = {
            "status": ("GET", self._status),
            "init": ("POST", self._init),
            "remove": ("POST", self._remove),
            "hand-over": ("POST", self._hand_over),
            "backup": ("GET", self._backup),
        }
        if verb not in calls:
            return failed(404, "no such path")
        method, handle = calls[verb]
        if call.method != method:
            return failed(405, f"not {call.method}")
        try:
            return handle(call, caller)
        except (msgspec.MsgspecError, ConfigError) as error:
            return failed(400, str(error))

    def _status(self, call: Call, caller: Caller) -> Answer:
        replica, now = self.ledger.group.replica, self.ledger.now()
        leads = self.ledger.group.leads()
        rows = []
        for member in replica.members:
            peer = replica.peers.get(member.id) if leads else None
            rows.append(
                {
                    "id": member.id,
                    "zone": member.zone,
                    "voter": member.voter,
                    "call": member.call,
                    "behind": replica.last - peer.match if peer is not None else None,
                    "heardMsAgo": round(now - peer.heard_at)
                    if peer is not None and peer.heard_at > 0
                    else None,
                }
            )
        age = self.ledger.age_ms()
        return said(
            200,
            {
                "cluster": self.config.cluster,
                "group": GROUP,
                "id": self.me.id,
                "name": self.me.name,
                "zone": self.me.zone,
                "peer": self.me.peer,
                "call": self.me.call,
                "role": "leader"
                if leads
                else "learner"
                if self.me.id not in replica.voters()
                else "follower",
                "begun": bool(replica.term or replica.snapshot.index),
                "term": replica.term,
                "leader": replica.leader,
                "commit": replica.commit,
                "applied": self.ledger.group.applied,
                "copies": self.config.copies,
                "short": self._short(),
                "ageMs": round(age) if age < 1e9 else None,
                "members": rows,
                "usedTwice": used_twice(self.view()),
                "diskBytes": self._disk.bytes(),
                "full": self.ledger.broken,
            },
        )

    def _short(self) -> int:
        """Copies that are missing, as far as a leader hears; -1: not known here."""
        replica = self.ledger.group.replica
        if not self.ledger.group.leads():
            return -1
        now = self.ledger.now()
        whole = sum(v == self.me.id or now - replica.peers[v].heard_at < FRESH_MS for v in replica.voters())
        return max(self.config.copies - whole, 0)

    def _init(self, call: Call, caller: Caller) -> Answer | None:
        """Begin a new group with these members. One process does it, the one with the least id, so that two
        operators at once cannot begin two."""
        named = msgspec.json.decode(call.body, type=_Init).members
        chosen: Members = tuple(Member(*structs.astuple(m)) for m in named)
        replica = self.ledger.group.replica
        if not chosen or self.me.id != min(m.id for m in chosen):
            return failed(409, "the member with the least id begins", "members")
        if len({m.name for m in chosen}) < len(chosen) or len({m.id for m in chosen}) < len(chosen):
            return failed(400, "a name or an id stands twice", "members")
        if replica.members == chosen:
            return said(200, {"members": len(chosen)})
        if replica.snapshot.index or replica.last:
            return failed(409, "this process holds something already")
        self._spawn(self._begin(chosen, caller))
        return None

    async def _begin(self, members: Members, caller: Caller) -> None:
        saved = first_state(members, first_data(self.config.service.rules, time.time() * 1000))
        replica = self.ledger.group.replica
        term, vote = (replica.term, replica.vote) if replica.term > saved.term else (saved.term, "")
        saved.term, saved.vote = term, vote
        write = Write(1, (term, vote), (), saved.snapshot, True)
        await self.ledger.begin(write, lambda: self._group(saved))
        caller.answer(said(200, {"members": len(members)}))

    def _remove(self, call: Call, caller: Caller) -> Answer:
        """Take a member out, by its id."""
        name = msgspec.json.decode(call.body, type=dict[str, str]).get("id", "")
        replica = self.ledger.group.replica
        if replica.member(name) is None:
            return failed(404, f"no member {name}", "id")
        return self._lead(lambda: self.ledger.change(tuple(m for m in replica.members if m.id != name)))

    def _hand_over(self, call: Call, caller: Caller) -> Answer:
        """Let another lead."""
        if not self.ledger.group.leads():
            return self._lead(lambda: self.ledger.change(()))
        return said(200, {"handed": self.ledger.hand_over()})

    def _backup(self, call: Call, caller: Caller) -> None:
        """All that is held, as of now or later."""
        self._spawn(self._backed_up(caller))

    async def _backed_up(self, caller: Caller) -> None:
        try:
            await self.ledger.confirm()
            state = self.ledger.store.snapshot()
            held = Backup(BACKUP_FORMAT, self.config.cluster, self.ledger.group.applied, state)
            caller.answer(said(200, msgspec.to_builtins(held)))
        except ElsewhereError as error:
            caller.answer(misdirected(error) if error.at else failed(503, str(error)))
        except LaterError as error:
            caller.answer(failed(503, str(error)))

    def _lead(self, do: object) -> Answer:
        try:
            do()
        except NotLeaderError as error:
            member = self.ledger.group.replica.member(error.leader)
            if member is None:
                return failed(503, "no leader is known")
            return misdirected(ElsewhereError(member.call))
        except BusyError as error:
            return failed(409, str(error))
        return said(200, {})

    # --- Figures ------------------------------------------------------------------------------------------

    def figures(self) -> list[Metric]:
        """What operators read, beside the list service's."""
        replica, ledger = self.ledger.group.replica, self.ledger
        return [
            gauge("holding_leads", "whether this replica leads", ledger.group.leads()),
            gauge("holding_term", "of its group", replica.term),
            gauge("holding_commit", "index", replica.commit),
            gauge("holding_age_seconds", "bound on how old what is known here is", ledger.age_ms() / 1000),
            gauge("holding_copies_short", "as the leader hears; -1: not the leader", self._short()),
            gauge("holding_disk_full", "whether writes to the disk fail", bool(ledger.broken)),
            gauge("holding_disk_bytes", "that the files take", self._disk.bytes()),
            count("holding_elections", "that this replica stood in", replica.elections),
            count("holding_member_changes", "begun here", self.changes),
            count("holding_unsure", "writes whose result is not known here", ledger.unsure),
            count("holding_syncs", "of the disk", self._disk.syncs),
            count("holding_messages", "sent to other replicas", sum(k.sent for k in self._links.values())),
            count(
                "holding_dropped",
                "messages that links took no more of",
                sum(k.dropped for k in self._links.values()),
            ),
            count("holding_peers_refused", "of another cluster or version, or nonsense", self.refused_peers),
        ]
