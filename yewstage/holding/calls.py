"""What operators and gateways call: how things are, who holds what, keys of requests that must not run
twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import msgspec
from msgspec import structs

from yewstage.holding.accounts import LIFE_MS, Ask
from yewstage.holding.group_names import (
    KEYED,
    LIST_GROUP,
    MOST_KEYED,
    PLACEMENT_GROUP,
    all_group_names,
    group_of,
)
from yewstage.holding.keys import DONE, KeyStore, claim_plan
from yewstage.holding.member_changes import beginner, used_twice
from yewstage.holding.placement import (
    ClusterView,
    PlacementTable,
    first_table,
    moved,
    name_of,
    with_machine,
    without_machine,
)
from yewstage.holding.recover import FORMAT as BACKUP_FORMAT
from yewstage.holding.replicas import Replicas
from yewstage.holding.replicated_backend import ReplicatedBackend
from yewstage.net.config import ConfigError
from yewstage.net.http_server import HttpConnection, HttpRequest, HttpResponse
from yewstage.raft.messages import Member, Members
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError
from yewstage.registry.config import NAME, Fields
from yewstage.registry.server import error_response, json_response, malformed, misdirected
from yewstage.registry.store import Entry, RefusedError

FORGET_S = 0.2  # spacing of the look for keys whose window is over
LONGEST_ANSWER = 16 * 1024  # of a keyed request, as base64: what is longer is remembered as done only
MOST_WINDOW_MS = 3_600_000.0
# Calls that go to the group of their key, and what they may ask of it.
BY_KEY = {"/v1/keys/": ("claim", "done", "release"), "/v1/shares/": ("take", "show")}


class _Named(msgspec.Struct, forbid_unknown_fields=True):
    """A member as calls name it."""

    id: str
    name: str
    zone: str
    peer: str
    call: str


class _Init(msgspec.Struct, forbid_unknown_fields=True):
    members: list[_Named]
    first: float  # Unix time in ms
    keyed: int = 4


class Calls:
    """Each call to its part."""

    def __init__(
        self,
        replicas: Replicas,
        loop: asyncio.AbstractEventLoop,
        spawn: Callable[[Coroutine], None],
    ) -> None:
        self._replicas, self._loop, self._spawn = replicas, loop, spawn

    def handle(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """One call; None if it is answered later."""
        for prefix, verbs in BY_KEY.items():
            if call.path.startswith(prefix):
                return self._keyed(call, caller, prefix, verbs)
        verb = call.path.removeprefix("/v1/holding/")
        calls = {
            "status": ("GET", self._status),
            "init": ("POST", self._init),
            "move": ("POST", self._move),
            "add": ("POST", self._add),
            "remove": ("POST", self._remove),
            "hand-over": ("POST", self._hand_over),
            "backup": ("GET", self._backup),
        }
        if verb not in calls:
            return error_response(404, "no such path")
        method, handle = calls[verb]
        if call.method != method:
            return error_response(405, f"not {call.method}")
        try:
            return handle(call, caller)
        except msgspec.MsgspecError as error:
            return error_response(400, str(error))
        except ConfigError as error:
            return malformed(error)

    # --- How things are -----------------------------------------------------------------------------------

    def _status(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        replicas = self._replicas
        me, table = replicas.me, replicas.table
        begun = [group for group in replicas.all if replicas.begun(group)]
        return json_response(
            200,
            {
                "cluster": replicas.config.cluster,
                "id": me.id,
                "name": me.name,
                "zone": me.zone,
                "peer": me.peer,
                "call": me.call,
                "copies": replicas.config.copies,
                "begun": bool(begun),
                "epoch": table.epoch,
                "homes": {p.group: list(p.machine_names) for p in table.placed},
                "out": list(table.out),
                "usedTwice": used_twice(replicas.present()),
                "present": sorted(m.name for m in replicas.present()),
                "copiedBytes": replicas.pace.copied,
                "diskBytes": sum(ledger.disk.bytes() for ledger in replicas.all.values()),
                "groups": {group: self._group(group) for group in begun},
            },
        )

    def _group(self, group: str) -> dict[str, object]:
        replicas, ledger = self._replicas, self._replicas.all[group]
        replica, leads = ledger.group.replica, ledger.group.is_leader()
        now, age = replicas.now(), ledger.age_ms()
        rows = []
        for member in replica.members:
            peer = replica.peers.get(member.id) if leads else None
            heard = round(now - peer.heard_at) if peer is not None and peer.heard_at > 0 else None
            rows.append(
                {
                    "id": member.id,
                    "zone": member.zone,
                    "voter": member.voter,
                    "call": member.call,
                    "behind": replica.last - peer.match if peer is not None else None,
                    "heardMsAgo": heard,
                    "forgot": peer.durability_losses if peer is not None else 0,
                }
            )
        learner = replicas.me.id not in replica.voters()
        return {
            "role": "leader" if leads else "learner" if learner else "follower",
            "term": replica.term,
            "leader": replica.leader,
            "commit": replica.commit_index,
            "applied": ledger.group.applied,
            "short": replicas.short(group),
            "ageMs": round(age) if age < 1e9 else None,
            "members": rows,
            "diskBytes": ledger.disk.bytes(),
            "full": ledger.broken,
        }

    # --- A cluster's beginning ----------------------------------------------------------------------------

    def _init(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """Begin a cluster on these processes. One of them does it, so that two operators at once cannot
        begin two. Where a list is held already, as by earlier versions, it is taken in."""
        told = msgspec.json.decode(call.body, type=_Init)
        members: Members = tuple(Member(*structs.astuple(m)) for m in told.members)
        replicas, copies = self._replicas, self._replicas.config.copies
        if not 0 <= told.keyed <= MOST_KEYED:
            return error_response(400, f"must be from 0 to {MOST_KEYED}", "keyed")
        if len({m.name for m in members}) < len(members) or len({m.id for m in members}) < len(members):
            return error_response(400, "a name or an id stands twice", "members")
        if not members or beginner(members, PLACEMENT_GROUP, copies).id != replicas.me.id:
            return error_response(
                409, "another member begins: the least id of those that hold places", "members"
            )
        if replicas.begun(PLACEMENT_GROUP):
            return error_response(409, "this process holds something already")
        left_out = sorted({m.name for m in replicas.present()} - {m.name for m in members})
        if left_out:  # else two operators who name different ones could begin two clusters
            return error_response(409, f"{', '.join(left_out)} is there, too: name all that are", "members")
        kept = {}
        listed = replicas.heard.reports.get(LIST_GROUP)
        if replicas.begun(LIST_GROUP):
            kept[LIST_GROUP] = tuple(m.name for m in replicas.all[LIST_GROUP].group.replica.members)
        elif listed is not None:
            kept[LIST_GROUP] = tuple(name_of(member) for member, _ in listed[0].members)
        table = first_table(all_group_names(told.keyed), members, copies, told.first, kept)
        self._spawn(self._begin(table, caller))
        return None

    async def _begin(self, table: PlacementTable, caller: HttpConnection) -> None:
        await self._replicas.begin_cluster(table)
        caller.answer(json_response(200, {"groups": len(table.placed)}))

    # --- Places -------------------------------------------------------------------------------------------

    def _move(self, call: HttpRequest, caller: HttpConnection) -> None:
        """A copy of a group from one machine to another."""
        fields = Fields(msgspec.json.decode(call.body, type=dict[str, object]))
        group, old, new = fields.name("group"), fields.name("from"), fields.name("to")
        fields.done()
        self._spawn(self._placed(caller, lambda sight: moved(sight, group, old, new)))

    def _add(self, call: HttpRequest, caller: HttpConnection) -> None:
        """A machine is to hold its part."""
        name = self._machine(call)
        self._spawn(self._placed(caller, lambda sight: with_machine(sight, name)))

    def _remove(self, call: HttpRequest, caller: HttpConnection) -> None:
        """A machine is to hold nothing."""
        name = self._machine(call)
        self._spawn(self._placed(caller, lambda sight: without_machine(sight, name)))

    @staticmethod
    def _machine(call: HttpRequest) -> str:
        fields = Fields(msgspec.json.decode(call.body, type=dict[str, object]))
        name = fields.name("name")
        fields.done()
        return name

    async def _placed(
        self, caller: HttpConnection, next_table: Callable[[ClusterView], PlacementTable]
    ) -> None:
        replicas = self._replicas

        async def change() -> dict[str, object]:
            await replicas.all[PLACEMENT_GROUP].confirm()
            table = next_table(replicas.sight())
            await replicas.all[PLACEMENT_GROUP].write(lambda store, now: store.plan(table))
            return {"epoch": table.epoch, "homes": {p.group: list(p.machine_names) for p in table.placed}}

        await self._told(caller, change)

    async def _answered(
        self, work: Callable[[], Coroutine[object, object, dict[str, object]]]
    ) -> HttpResponse:
        """What came of a write, as callers are told it."""
        try:
            return json_response(200, await work())
        except RefusedError as error:
            return error_response(error.status, error.why, error.field)
        except MisdirectedError as error:
            return misdirected(error) if error.leader_address else error_response(503, str(error))
        except OutcomeUnknownError as error:
            return error_response(503, str(error))

    def _hand_over(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        """Let another replica lead: of one group, or of all that are led here."""
        body = msgspec.json.decode(call.body or b"{}", type=dict[str, str])
        group = body.get("group", "")
        if group and group not in self._replicas.led():
            at = self._replicas.leader_of(group)
            return misdirected(MisdirectedError(at)) if at else error_response(503, "no leader is known")
        chosen = [group] if group else self._replicas.led()
        return json_response(200, {"handed": [g for g in chosen if self._replicas.all[g].hand_over()]})

    def _backup(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """All that a group holds, as of now or later."""
        group = call.query.get("group", LIST_GROUP)
        if group not in self._replicas.all:
            at = self._replicas.leader_of(group)
            return (
                misdirected(MisdirectedError(at)) if at else error_response(404, f"no group {group}", "group")
            )
        ledger = self._replicas.all[group]

        async def read() -> dict[str, object]:
            await ledger.confirm()
            return {
                "format": BACKUP_FORMAT,
                "cluster": self._replicas.config.cluster,
                "group": group,
                "index": ledger.group.applied,
                "state": msgspec.to_builtins(ledger.store.snapshot()),
            }

        self._spawn(self._told(caller, read))
        return None

    async def _told(self, caller: HttpConnection, work: Callable[[], Coroutine]) -> None:
        caller.answer(await self._answered(work))

    # --- Keys ---------------------------------------------------------------------------------------------

    def keys(self) -> int:
        """Records that are kept here."""
        stores = [ledger.store for ledger in self._replicas.all.values()]
        return sum(len(store.records) for store in stores if isinstance(store, KeyStore))

    def _keyed(
        self, call: HttpRequest, caller: HttpConnection, prefix: str, verbs: tuple[str, ...]
    ) -> HttpResponse | None:
        """A call that goes to the group of its key."""
        key, _, verb = call.path.removeprefix(prefix).partition("/")
        keyed = sum(p.group.startswith(KEYED) for p in self._replicas.table.placed)
        if call.method != "POST" or verb not in verbs:
            return error_response(405 if verb in verbs else 404, "no such call")
        if not NAME.fullmatch(key):
            return error_response(
                400, "must be 1 to 64 letters, digits, dots, colons, dashes and underlines", "key"
            )
        if not keyed:
            return error_response(503, "no places for keys are known here")
        group = group_of(key, keyed)
        ledger = self._replicas.all.get(group)
        if ledger is None or not ledger.group.is_leader():
            at = ledger.leader() if ledger is not None else self._replicas.leader_of(group)
            return misdirected(MisdirectedError(at)) if at else error_response(503, "no leader is known")
        try:
            fields = Fields(msgspec.json.decode(call.body or b"{}", type=dict[str, object]))
            work = {
                "claim": self._claim,
                "done": self._done,
                "release": self._release,
                "take": self._take,
                "show": self._show,
            }[verb](ledger, key, fields)
        except msgspec.MsgspecError as error:
            return error_response(400, str(error), "body")
        except ConfigError as error:
            return malformed(error)
        self._spawn(self._told(caller, work))
        return None

    def _take(self, ledger: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        """A share of a customer's quota, before any of it may be spent."""
        ask = Ask(
            fields.text("by", 128),
            fields.integer("serial", None, 0),
            fields.number("rate", None, 1e-6),
            fields.number("burst", None, 0.0),
            fields.number("want", None, 0.0),
            fields.number("least", None, 0.0),
            fields.number("lifeMs", None, *LIFE_MS),
        )
        fields.done()
        granted = [0.0]

        def plan(store: KeyStore, now: float) -> Entry | None:
            entry, granted[0] = store.accounts.plan_take(key, ask, now)
            return entry

        async def take() -> dict[str, object]:
            await ledger.write(plan)
            return {"units": granted[0]}

        return take

    def _show(self, ledger: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        """An account as of now or later."""
        fields.done()

        async def show() -> dict[str, object]:
            await ledger.confirm()
            return {
                "account": ledger.leader_store().accounts.told(key, ledger.now())
                if ledger.leader_store()
                else None
            }

        return show

    def _claim(self, ledger: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        window_ms = fields.number("windowMs", None, 1.0, MOST_WINDOW_MS)
        fields.done()
        told: dict[str, object] = {}

        async def claim() -> dict[str, object]:
            await ledger.write(claim_plan(key, by, window_ms, told))
            return told or {"state": "yours"}

        return claim

    def _done(self, ledger: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        status = fields.integer("status", None, 100, 599)
        answer = fields.text("answer", LONGEST_ANSWER) if fields.has("answer") else ""
        fields.done()

        async def done() -> dict[str, object]:
            await ledger.write(lambda store, now: store.plan_done(key, by, status, answer))
            return {"state": DONE}

        return done

    def _release(self, ledger: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        fields.done()

        async def release() -> dict[str, object]:
            await ledger.write(lambda store, now: store.plan_release(key, by))
            return {"state": "free"}

        return release

    def accounts(self) -> tuple[int, float]:
        """Accounts kept here, and units granted of those that are led here."""
        here = [(ledger, ledger.store) for ledger in self._replicas.all.values()]
        held = [(ledger, store.accounts) for ledger, store in here if isinstance(store, KeyStore)]
        led = [sum(accounts.granted(ledger.now())) for ledger, accounts in held if ledger.group.is_leader()]
        return sum(len(accounts.all) for _, accounts in held), sum(led)

    async def forget(self) -> None:
        """As long as groups of keys are led here, let go what is past its window."""
        while True:
            await asyncio.sleep(FORGET_S)
            for group, ledger in list(self._replicas.all.items()):
                store = ledger.leader_store()
                if not group.startswith(KEYED) or store is None:
                    continue
                try:
                    while store.plan_forget(self._replicas.now()) and await ledger.write(
                        lambda store, now: store.plan_forget(now)
                    ):
                        pass
                except (MisdirectedError, OutcomeUnknownError):
                    continue  # another one leads
