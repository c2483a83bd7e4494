"""HTTP calls of operators and gateways: status, placement, backups, idempotency keys, quota shares."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import msgspec
from msgspec import structs

from yewstage.holding.accounts import SHARE_LIFE_RANGE_MS, ShareRequest
from yewstage.holding.group_names import (
    KEY_GROUP_PREFIX,
    LIST_GROUP,
    MAX_KEY_GROUPS,
    PLACEMENT_GROUP,
    all_group_names,
    group_of,
)
from yewstage.holding.keys import DONE, KeyStore, claim_plan
from yewstage.holding.member_changes import duplicate_names, founder
from yewstage.holding.placement import (
    ClusterView,
    PlacementTable,
    add_machine,
    first_table,
    machine_name_of,
    move_copy,
    remove_machine,
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

EXPIRY_INTERVAL_S = 0.2  # between searches for expired keys and unused accounts
MAX_ANSWER_CHARS = 16 * 1024  # base64; a caller with a longer answer records the end without it
MAX_WINDOW_MS = 3_600_000.0
# Path prefixes of calls that are served by the group of their key, with the verbs of each.
KEY_CALLS = {"/v1/keys/": ("claim", "done", "release"), "/v1/shares/": ("take", "show")}


class _Named(msgspec.Struct, forbid_unknown_fields=True):
    """A member in the body of a call; the field names are part of the format."""

    id: str
    name: str
    zone: str
    peer: str
    call: str


class _Init(msgspec.Struct, forbid_unknown_fields=True):
    """The body of an init call."""

    members: list[_Named]
    first: float  # Unix time in ms at which the cluster begins
    keyed: int = 4  # number of groups over which keys are distributed


class Calls:
    """Routes calls and answers them."""

    def __init__(
        self,
        replicas: Replicas,
        loop: asyncio.AbstractEventLoop,
        spawn: Callable[[Coroutine], None],
    ) -> None:
        self._replicas, self._loop, self._spawn = replicas, loop, spawn

    def handle(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """Handle one call; None if it is answered later."""
        for prefix, verbs in KEY_CALLS.items():
            if call.path.startswith(prefix):
                return self._handle_key_call(call, caller, prefix, verbs)
        verb = call.path.removeprefix("/v1/holding/")
        calls = {
            "status": ("GET", self._status),
            "init": ("POST", self._init),
            "move": ("POST", self._move),
            "add": ("POST", self._add),
            "remove": ("POST", self._remove),
            "hand-over": ("POST", self._transfer_leadership),
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

    # --- Status -------------------------------------------------------------------------------------------

    def _status(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        replicas = self._replicas
        me, table = replicas.me, replicas.table
        groups_with_state = [group for group in replicas.backends if replicas.has_state(group)]
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
                "begun": bool(groups_with_state),
                "epoch": table.epoch,
                "homes": {p.group: list(p.machine_names) for p in table.placements},
                "out": list(table.removed),
                "usedTwice": duplicate_names(replicas.present_members()),
                "present": sorted(m.name for m in replicas.present_members()),
                "copiedBytes": replicas.copy_rate_limiter.copied_bytes,
                "diskBytes": sum(backend.disk.bytes() for backend in replicas.backends.values()),
                "groups": {group: self._group_status(group) for group in groups_with_state},
            },
        )

    def _group_status(self, group: str) -> dict[str, object]:
        replicas, backend = self._replicas, self._replicas.backends[group]
        replica, leads = backend.group.replica, backend.group.is_leader()
        now, age = replicas.now(), backend.age_ms()
        rows = []
        for member in replica.members:
            peer = replica.peers.get(member.id) if leads else None
            heard_ms_ago = round(now - peer.heard_at) if peer is not None and peer.heard_at > 0 else None
            rows.append(
                {
                    "id": member.id,
                    "zone": member.zone,
                    "voter": member.voter,
                    "call": member.call,
                    "behind": replica.last_index - peer.match if peer is not None else None,
                    "heardMsAgo": heard_ms_ago,
                    "forgot": peer.durability_losses if peer is not None else 0,
                }
            )
        learner = replicas.me.id not in replica.voters()
        return {
            "role": "leader" if leads else "learner" if learner else "follower",
            "term": replica.term,
            "leader": replica.leader,
            "commit": replica.commit_index,
            "applied": backend.group.applied_index,
            "short": replicas.missing_copies(group),
            "ageMs": round(age) if age < 1e9 else None,
            "members": rows,
            "diskBytes": backend.disk.bytes(),
            "full": backend.broken,
        }

    # --- Initialising a cluster ---------------------------------------------------------------------------

    def _init(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """Initialise a cluster with these processes as members.

        Only the founder accepts the call, so that two operators cannot initialise two clusters at once. A
        list group that exists already, as earlier versions had it, is kept.
        """
        init = msgspec.json.decode(call.body, type=_Init)
        members: Members = tuple(Member(*structs.astuple(m)) for m in init.members)
        replicas, copies = self._replicas, self._replicas.config.copies
        if not 0 <= init.keyed <= MAX_KEY_GROUPS:
            return error_response(400, f"must be from 0 to {MAX_KEY_GROUPS}", "keyed")
        if len({m.name for m in members}) < len(members) or len({m.id for m in members}) < len(members):
            return error_response(400, "a name or an id stands twice", "members")
        if not members or founder(members, PLACEMENT_GROUP, copies).id != replicas.me.id:
            return error_response(
                409,
                "another member begins: the least id of those that hold places",
                "members",
            )
        if replicas.has_state(PLACEMENT_GROUP):
            return error_response(409, "this process holds something already")
        left_out = sorted({m.name for m in replicas.present_members()} - {m.name for m in members})
        if left_out:  # two operators who name different members could otherwise initialise two clusters
            return error_response(409, f"{', '.join(left_out)} is there, too: name all that are", "members")
        existing_homes = {}
        list_report = replicas.peer_reports.leader_reports.get(LIST_GROUP)
        if replicas.has_state(LIST_GROUP):
            existing_homes[LIST_GROUP] = tuple(
                m.name for m in replicas.backends[LIST_GROUP].group.replica.members
            )
        elif list_report is not None:
            existing_homes[LIST_GROUP] = tuple(
                machine_name_of(member) for member, _ in list_report[0].members
            )
        table = first_table(all_group_names(init.keyed), members, copies, init.first, existing_homes)
        self._spawn(self._begin(table, caller))
        return None

    async def _begin(self, table: PlacementTable, caller: HttpConnection) -> None:
        await self._replicas.bootstrap_cluster(table)
        caller.answer(json_response(200, {"groups": len(table.placements)}))

    # --- Placement, leadership and backups ----------------------------------------------------------------

    def _move(self, call: HttpRequest, caller: HttpConnection) -> None:
        """Move a replica of a group from one machine to another."""
        fields = Fields(msgspec.json.decode(call.body, type=dict[str, object]))
        group, old, new = fields.name("group"), fields.name("from"), fields.name("to")
        fields.done()
        self._spawn(self._change_placement(caller, lambda view: move_copy(view, group, old, new)))

    def _add(self, call: HttpRequest, caller: HttpConnection) -> None:
        """Add a machine to the cluster, or bring back a removed one."""
        name = self._machine_name(call)
        self._spawn(self._change_placement(caller, lambda view: add_machine(view, name)))

    def _remove(self, call: HttpRequest, caller: HttpConnection) -> None:
        """Remove a machine: its replicas are moved to others."""
        name = self._machine_name(call)
        self._spawn(self._change_placement(caller, lambda view: remove_machine(view, name)))

    @staticmethod
    def _machine_name(call: HttpRequest) -> str:
        fields = Fields(msgspec.json.decode(call.body, type=dict[str, object]))
        name = fields.name("name")
        fields.done()
        return name

    async def _change_placement(
        self, caller: HttpConnection, next_table: Callable[[ClusterView], PlacementTable]
    ) -> None:
        replicas = self._replicas

        async def change() -> dict[str, object]:
            await replicas.backends[PLACEMENT_GROUP].confirm()
            table = next_table(replicas.cluster_view())
            await replicas.backends[PLACEMENT_GROUP].write(lambda store, now: store.plan(table))
            return {"epoch": table.epoch, "homes": {p.group: list(p.machine_names) for p in table.placements}}

        await self._run_and_answer(caller, change)

    async def _run_to_response(
        self, work: Callable[[], Coroutine[object, object, dict[str, object]]]
    ) -> HttpResponse:
        """Run the work of a call and make the response of its result or error."""
        try:
            return json_response(200, await work())
        except RefusedError as error:
            return error_response(error.status, error.why, error.field)
        except MisdirectedError as error:
            return misdirected(error) if error.leader_address else error_response(503, str(error))
        except OutcomeUnknownError as error:
            return error_response(503, str(error))

    def _transfer_leadership(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse:
        """Transfer leadership to another replica: of one group, or of all groups led here."""
        body = msgspec.json.decode(call.body or b"{}", type=dict[str, str])
        group = body.get("group", "")
        if group and group not in self._replicas.led_groups():
            leader_address = self._replicas.leader_address(group)
            return (
                misdirected(MisdirectedError(leader_address))
                if leader_address
                else error_response(503, "no leader is known")
            )
        chosen = [group] if group else self._replicas.led_groups()
        return json_response(
            200, {"handed": [g for g in chosen if self._replicas.backends[g].transfer_leadership()]}
        )

    def _backup(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """The whole state of a group, as of the call or later."""
        group = call.query.get("group", LIST_GROUP)
        if group not in self._replicas.backends:
            leader_address = self._replicas.leader_address(group)
            return (
                misdirected(MisdirectedError(leader_address))
                if leader_address
                else error_response(404, f"no group {group}", "group")
            )
        backend = self._replicas.backends[group]

        async def read() -> dict[str, object]:
            await backend.confirm()
            return {
                "format": BACKUP_FORMAT,
                "cluster": self._replicas.config.cluster,
                "group": group,
                "index": backend.group.applied_index,
                "state": msgspec.to_builtins(backend.store.snapshot()),
            }

        self._spawn(self._run_and_answer(caller, read))
        return None

    async def _run_and_answer(self, caller: HttpConnection, work: Callable[[], Coroutine]) -> None:
        caller.answer(await self._run_to_response(work))

    # --- Idempotency keys and quota shares ----------------------------------------------------------------

    def key_count(self) -> int:
        """Number of idempotency key records in the replicas of this process."""
        stores = [backend.store for backend in self._replicas.backends.values()]
        return sum(len(store.records) for store in stores if isinstance(store, KeyStore))

    def _handle_key_call(
        self, call: HttpRequest, caller: HttpConnection, prefix: str, verbs: tuple[str, ...]
    ) -> HttpResponse | None:
        """A call for one key: served here by the leader of its group, else redirected to that leader."""
        key, _, verb = call.path.removeprefix(prefix).partition("/")
        key_group_count = sum(p.group.startswith(KEY_GROUP_PREFIX) for p in self._replicas.table.placements)
        if call.method != "POST" or verb not in verbs:
            return error_response(405 if verb in verbs else 404, "no such call")
        if not NAME.fullmatch(key):
            return error_response(
                400, "must be 1 to 64 letters, digits, dots, colons, dashes and underlines", "key"
            )
        if not key_group_count:
            return error_response(503, "no places for keys are known here")
        group = group_of(key, key_group_count)
        backend = self._replicas.backends.get(group)
        if backend is None or not backend.group.is_leader():
            leader_address = backend.leader() if backend is not None else self._replicas.leader_address(group)
            return (
                misdirected(MisdirectedError(leader_address))
                if leader_address
                else error_response(503, "no leader is known")
            )
        try:
            fields = Fields(msgspec.json.decode(call.body or b"{}", type=dict[str, object]))
            work = {
                "claim": self._claim,
                "done": self._done,
                "release": self._release,
                "take": self._take,
                "show": self._show,
            }[verb](backend, key, fields)
        except msgspec.MsgspecError as error:
            return error_response(400, str(error), "body")
        except ConfigError as error:
            return malformed(error)
        self._spawn(self._run_and_answer(caller, work))
        return None

    def _take(self, backend: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        """Grant a share of a customer's quota. A gateway spends only what was granted before."""
        share_request = ShareRequest(
            fields.text("by", 128),
            fields.integer("serial", None, 0),
            fields.number("rate", None, 1e-6),
            fields.number("burst", None, 0.0),
            fields.number("want", None, 0.0),
            fields.number("least", None, 0.0),
            fields.number("lifeMs", None, *SHARE_LIFE_RANGE_MS),
        )
        fields.done()
        granted = [0.0]

        def plan(store: KeyStore, now: float) -> Entry | None:
            entry, granted[0] = store.accounts.plan_take(key, share_request, now)
            return entry

        async def take() -> dict[str, object]:
            await backend.write(plan)
            return {"units": granted[0]}

        return take

    def _show(self, backend: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        """The account of a customer, as of the call or later."""
        fields.done()

        async def show() -> dict[str, object]:
            await backend.confirm()
            return {
                "account": backend.leader_store().accounts.describe(key, backend.now())
                if backend.leader_store()
                else None
            }

        return show

    def _claim(self, backend: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        window_ms = fields.number("windowMs", None, 1.0, MAX_WINDOW_MS)
        fields.done()
        known_record: dict[str, object] = {}

        async def claim() -> dict[str, object]:
            await backend.write(claim_plan(key, by, window_ms, known_record))
            return known_record or {"state": "yours"}

        return claim

    def _done(self, backend: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        status = fields.integer("status", None, 100, 599)
        answer = fields.text("answer", MAX_ANSWER_CHARS) if fields.has("answer") else ""
        fields.done()

        async def done() -> dict[str, object]:
            await backend.write(lambda store, now: store.plan_done(key, by, status, answer))
            return {"state": DONE}

        return done

    def _release(self, backend: ReplicatedBackend, key: str, fields: Fields) -> Callable[[], Coroutine]:
        by = fields.text("by", 128)
        fields.done()

        async def release() -> dict[str, object]:
            await backend.write(lambda store, now: store.plan_release(key, by))
            return {"state": "free"}

        return release

    def account_totals(self) -> tuple[int, float]:
        """Number of accounts in the replicas of this process, and the units granted by those led here."""
        stores = [(backend, backend.store) for backend in self._replicas.backends.values()]
        held_accounts = [
            (backend, store.accounts) for backend, store in stores if isinstance(store, KeyStore)
        ]
        granted_units = [
            sum(accounts.granted(backend.now()))
            for backend, accounts in held_accounts
            if backend.group.is_leader()
        ]
        return sum(len(accounts.by_name) for _, accounts in held_accounts), sum(granted_units)

    async def expire_keys(self) -> None:
        """Remove expired keys and unused accounts from the key groups led here, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for group, backend in list(self._replicas.backends.items()):
                store = backend.leader_store()
                if not group.startswith(KEY_GROUP_PREFIX) or store is None:
                    continue
                try:
                    while store.plan_expiry(self._replicas.now()) and await backend.write(
                        lambda store, now: store.plan_expiry(now)
                    ):
                        pass
                except (MisdirectedError, OutcomeUnknownError):
                    continue  # this process is no longer the leader
