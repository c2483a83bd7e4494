"""The list service: calls to the store, each write durable before it is seen, watches that share one
encoding."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import asdict

from yewstage.log import Event
from yewstage.metrics import Metric, MetricsPage, count, counts, gauge, gauges
from yewstage.net.config import ConfigError
from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError, StoreBackend
from yewstage.registry.config import NAME, Config, Fields
from yewstage.registry.log import FullError
from yewstage.registry.store import GONE, READY, Entry, Plan, Record, RefusedError, Store

log = logging.getLogger(__name__)

LONGEST_WAIT_MS = 60_000
CALL_S, READ_S, IDLE_S = 5.0, 10.0, 75.0
EXPIRE_S = 0.1  # spacing of the look for servers whose time is up
RETRY_S = 1.0, 5.0  # who is turned away comes back after a random time between these
KEPT_ENCODINGS = 64  # of the list's changes, for watchers that are not all equally far
TOLD_S = 10.0  # spacing of the log's word that too many servers are silent

PASSED = "passed"  # in a query: another process passes the call on, it is not passed on again

Handler = Callable[[HttpRequest, HttpConnection, str], HttpResponse | None]
PassOn = Callable[
    [int | None, int, HttpConnection], bool
]  # behind which revision, ms to wait; whether it was taken


def json_response(status: int, body: dict[str, object], headers: bytes = b"") -> HttpResponse:
    """An answer of one line of JSON."""
    line = json.dumps(body, separators=(",", ":")).encode() + b"\n"
    return HttpResponse(status, line, b"application/json", headers)


def error_response(status: int, why: str, field: str = "") -> HttpResponse:
    """What was wrong, and with which field."""
    return json_response(status, {"error": why, **({"field": field} if field else {})})


def malformed(error: ConfigError) -> HttpResponse:
    """A call whose field is wrong."""
    field, _, why = str(error).partition(": ")
    return error_response(400, why, field)


def misdirected(error: MisdirectedError) -> HttpResponse:
    """Who does it instead."""
    return json_response(421, {"error": str(error), "leader": error.leader_address})


class Registry:
    """Calls in, answers out."""

    def __init__(
        self, config: Config, ledger: StoreBackend, loop: asyncio.AbstractEventLoop, rng: random.Random
    ) -> None:
        self.config, self.ledger, self._loop, self._rng = config, ledger, loop, rng
        ledger.changed = self._changed
        self.forward_list: PassOn | None = None  # to whom calls for the list go that cannot be answered here
        manners = ConnectionLimits(config.connections, CALL_S, READ_S, IDLE_S, error_response)
        self.listener = HttpServer(loop, self.handle, manners)
        self._watches: dict[
            HttpConnection, tuple[int, asyncio.TimerHandle]
        ] = {}  # who waits behind which revision
        self._encoded: dict[int | None, bytes] = {}  # since a revision, or the whole list; as of now
        self._tasks: set[asyncio.Task] = set()
        known = bool(ledger.store.records)
        self._settled_at = loop.time() + (0.0 if known else config.settle_ms / 1000)
        self._heard = known  # of a server, in this life or before
        self._told_at = -TOLD_S
        self._figures = MetricsPage(self.collect)
        self.writes, self.refused, self.failed, self.renewals, self.expired = 0, 0, 0, 0, 0
        self.turned_away = self.turned_away_early = self.turned_away_old = self.changes_told = 0

    async def start(self) -> tuple[str, int]:
        """Listen, and begin to look for servers whose time is up."""
        self._spawn(self._expire())
        return await self.listener.start(self.config.listen)

    async def stop(self) -> None:
        """End all connections and whatever waits."""
        self.listener.stop()
        for task in self._tasks:
            task.cancel()

    def ready(self) -> bool:
        """Whether lists are told: a store that began empty has waited for its servers, and heard some.

        Danger: to a gateway an empty list says that all servers are gone. One that knows none says nothing.
        """
        self._heard = self._heard or bool(self.store.records)
        return self._heard and self._loop.time() >= self._settled_at

    @property
    def store(self) -> Store:
        """What has come about, as it is known here."""
        return self.ledger.store

    def handle(self, call: HttpRequest, caller: HttpConnection) -> HttpResponse | None:
        """One call; None if it is answered later."""
        kind, _, name = call.path.removeprefix("/v1/").partition("/")
        name, _, verb = name.partition("/")
        routes: dict[tuple[str, bool, str], dict[str, Handler]] = {
            ("endpoints", False, ""): {"GET": self._list},
            ("endpoints", True, ""): {"PUT": self._register, "DELETE": self._deregister},
            ("endpoints", True, "renew"): {"POST": self._renew},
            ("endpoints", True, "drain"): {"POST": self._drain},
            ("endpoints", True, "verdict"): {"POST": self._verdict},
            ("leases", False, ""): {"GET": self._leases},
            ("leases", True, ""): {"PUT": self._acquire, "DELETE": self._release},
            ("leases", True, "renew"): {"POST": self._renew_lease},
        }
        methods = routes.get((kind, bool(name), verb)) if call.path.startswith("/v1/") else None
        if methods is None:
            return error_response(404, "no such path")
        if call.method not in methods:
            answer = error_response(405, f"not {call.method}")
            return HttpResponse(405, answer.body, answer.kind, b"Allow: %b\r\n" % ", ".join(methods).encode())
        try:
            if name and not NAME.fullmatch(name):
                raise ConfigError("id: must be 1 to 64 letters, digits, dots, colons, dashes and underlines")
            return methods[call.method](call, caller, name)
        except ConfigError as error:
            return malformed(error)
        except RefusedError as error:
            self.refused += 1
            return error_response(error.status, error.why, error.field)

    # --- Lists and watches --------------------------------------------------------------------------------

    def _list(self, call: HttpRequest, caller: HttpConnection, name: str) -> HttpResponse | None:
        after, wait_ms = _whole(call, "after", None), min(_whole(call, "wait_ms", 0), LONGEST_WAIT_MS)
        if (
            self.forward_list is not None
            and PASSED not in call.query
            and self.forward_list(after, wait_ms, caller)
        ):
            return None
        if not self.ready():
            self.turned_away_early += 1
            return self.later("the list is not complete yet")
        age_ms = self.ledger.age_ms()
        if age_ms > self.config.most_age_ms:
            self.turned_away_old += 1
            return self.later(f"what is known here may be {age_ms / 1000:.0f} s old")
        if after is None:
            return self._listing(None)
        changes = self.store.changes(after)
        # Another replica has told more.
        ahead = after > self.store.revision and self.ledger.leader_store() is None
        if ahead and not wait_ms:
            return self.later("not as far as that yet")
        if not ahead and (changes or changes is None or not wait_ms):
            return self._listing(after if changes is not None else None)
        if len(self._watches) >= self.config.watches:
            self.turned_away += 1
            return self.later("too many watches")
        timer = self._loop.call_later(wait_ms / 1000, self._waited, caller)
        self._watches[caller] = (after, timer)
        caller.on_disconnect = lambda: self._unwatch(caller)
        return None

    def later(self, why: str) -> HttpResponse:
        """Come back, and not all at one moment."""
        wait = b"Retry-After: %.2f\r\n" % self._rng.uniform(*RETRY_S)
        answer = error_response(503, why)
        return HttpResponse(503, answer.body, answer.kind, wait)

    def _listing(self, after: int | None) -> HttpResponse:
        """The whole list, or what has changed: encoded once, however many ask for it."""
        body = self._encoded.get(after)
        if body is None:
            changes = None if after is None else self.store.changes(after)
            told = self.store.records.items() if changes is None else changes
            listing = {
                "generation": self.store.revision,
                "reset": changes is None,
                "instances": [_row(name, record) for name, record in told],
            }
            body = json.dumps(listing, separators=(",", ":")).encode()
            if len(self._encoded) >= KEPT_ENCODINGS:
                self._encoded.pop(next(iter(self._encoded)))
            self._encoded[after] = body
        return HttpResponse(200, body, b"application/json", b"X-Age-Ms: %d\r\n" % self.ledger.age_ms())

    def _waited(self, caller: HttpConnection) -> None:
        """Nothing has changed in its time, or nothing was heard of what has."""
        after, _ = self._watches.pop(caller)
        if self.ledger.age_ms() > self.config.most_age_ms or after > self.store.revision:
            self.turned_away_old += 1
            caller.answer(self.later("what is known here may be too old"))
        else:
            caller.answer(self._listing(after))

    def _unwatch(self, caller: HttpConnection) -> None:
        _, timer = self._watches.pop(caller, (0, None))
        if timer is not None:
            timer.cancel()

    def _changed(self) -> None:
        """Tell all who wait. They are let go first: some ask again at once. Who knows more than we do waits
        on."""
        self._encoded.clear()
        revision = self.store.revision
        watches, self._watches = self._watches, {}
        for caller, (after, timer) in watches.items():
            if after >= revision:
                self._watches[caller] = after, timer
                continue
            timer.cancel()
            self.changes_told += 1
            caller.answer(self._listing(after))

    # --- Writes -------------------------------------------------------------------------------------------

    def _write(self, caller: HttpConnection, plan: Plan, answer: Callable[[], dict[str, object]]) -> None:
        """Answer a write once it is durable."""
        self._spawn(self._written(caller, plan, answer))

    async def _written(
        self, caller: HttpConnection, plan: Plan, answer: Callable[[], dict[str, object]]
    ) -> None:
        try:
            self.writes += await self.ledger.write(plan)
            caller.answer(json_response(200, answer()))
        except RefusedError as error:
            self.refused += 1
            caller.answer(error_response(error.status, error.why, error.field))
        except MisdirectedError as error:
            caller.answer(self._elsewhere(error))
        except OutcomeUnknownError as error:
            caller.answer(self.later(str(error)))
        except FullError as error:
            log.error(Event("not_durable", "a write could not be made durable: {error}", error=str(error)))
            self.failed += 1
            caller.answer(self.later(f"writes are refused: {error}"))
        except Exception:
            log.exception(Event("write_failed", "a write failed"))
            caller.answer(error_response(500, "the service failed"))

    def _elsewhere(self, error: MisdirectedError) -> HttpResponse:
        """Writes go to the leader: told where that is; come back later while there is none."""
        if not error.leader_address:
            return self.later(str(error))
        return misdirected(error)

    async def _expire(self) -> None:
        """Let servers go whose time is up, as long as it is not most of them."""
        while True:
            await asyncio.sleep(EXPIRE_S)
            store = self.ledger.leader_store()
            if store is None:
                continue
            late = store.overdue(self.ledger.now())
            if store.held_back and self._loop.time() - self._told_at >= TOLD_S:
                self._told_at = self._loop.time()
                log.warning(
                    Event(
                        "held_back",
                        "{silent} of {servers} servers are silent: likelier it is "
                        "we who hear nothing; all are kept",
                        silent=store.held_back,
                        servers=len(store.records),
                    )
                )
            for name in late:
                try:
                    if await self.ledger.write(lambda store, now, name=name: store.plan_expire(name, now)):
                        self.writes += 1
                        self.expired += 1
                        log.info(Event("expired", "{server} has not renewed in time", server=name))
                except (FullError, MisdirectedError, OutcomeUnknownError) as error:
                    log.error(
                        Event(
                            "not_expired",
                            "{server} could not be let go: {error}",
                            server=name,
                            error=str(error),
                        )
                    )
                    break

    def _spawn(self, work: object) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- Servers ------------------------------------------------------------------------------------------

    def _register(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        config = self.config
        host, port = fields.address("hostPort")
        record = Record(
            id=name,
            address=f"{host}:{port}",
            zone=fields.optional("zone"),
            kind=fields.optional("machineType"),
            cell=fields.integer("cell", 0, 0),
            weight=fields.number("weight", 1.0, 1e-6, 1e6),
            started_at_ms=fields.number("startedAtMs", 0.0, 0.0, 1e14),
            ttl_ms=fields.number("ttlMs", None, config.least_ttl_ms, config.most_ttl_ms),
        )
        expect, fence = _expect(fields), _fence(fields)
        fields.done()

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_register(record, expect)
            if entry is None:
                store.renew(name, None, now)
            return entry

        self._change(caller, name, fence, plan)

    def _change(self, caller: HttpConnection, name: str, fence: tuple[str, int] | None, plan: Plan) -> None:
        """A write of one server's record, by the holder of a duty where a fence says so; answered with what
        the
        record was then, whatever came of it since."""
        told: dict[str, object] = {}

        def fenced(store: Store, now: float) -> Entry | None:
            if fence is not None:
                store.check_token(*fence)
            entry = plan(store, now)
            told.update(_told(store, name, entry))
            return entry

        self._write(caller, fenced, lambda: told)

    def _renew(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        registered = fields.integer("registered", 0, 0) or None
        fields.done()
        told: dict[str, object] = {}

        def plan(store: Store, now: float) -> None:
            record = store.renew(name, registered, now)
            told.update(revision=record.revision, registered=record.registered, ttlMs=record.ttl_ms)
            self.renewals += 1

        self._write(caller, plan, lambda: told)

    def _drain(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        draining = fields.flag("draining") if fields.has("draining") else True
        expect, fence = _expect(fields), _fence(fields)
        fields.done()
        self._change(caller, name, fence, lambda store, now: store.plan_drain(name, draining, expect))

    def _verdict(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        well, fence = fields.flag("well"), _fence(fields)
        fields.done()
        if fence is None:
            raise ConfigError("lease: a verdict is written by the holder of a duty")
        self._change(caller, name, fence, lambda store, now: store.plan_verdict(name, well))

    def _deregister(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        expect, fence = _expect(fields), _fence(fields)
        fields.done()
        self._change(caller, name, fence, lambda store, now: store.plan_deregister(name, expect))

    # --- Leases -------------------------------------------------------------------------------------------

    def _leases(self, call: HttpRequest, caller: HttpConnection, name: str) -> HttpResponse:
        now, store = self.ledger.now(), self.ledger.leader_store()
        if store is None:
            return self._elsewhere(MisdirectedError(self.ledger.leader()))
        return json_response(
            200,
            {
                "leases": [
                    {
                        "name": lease.name,
                        "holder": held.holder if held else "",
                        "token": lease.token,
                        "endsInMs": round(store.lease_ends_ms(lease.name, now)) if held else 0,
                    }
                    for lease in store.leases.values()
                    for held in [store.holder(lease.name, now)]
                ]
            },
        )

    def _acquire(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        holder = fields.name("holder")
        ttl_ms = fields.number("ttlMs", None, self.config.least_ttl_ms, self.config.most_ttl_ms)
        fields.done()

        told: dict[str, object] = {}

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_acquire(name, holder, ttl_ms, now)
            if entry is None:
                store.renew_lease(name, holder, store.leases[name].token, now)
            lease = entry or asdict(store.leases[name])
            told.update(token=lease["token"], ttlMs=lease["ttl_ms"])
            return entry

        self._write(caller, plan, lambda: told)

    def _renew_lease(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        holder, token = fields.name("holder"), fields.integer("token", None, 1)
        fields.done()
        told: dict[str, object] = {}

        def plan(store: Store, now: float) -> None:
            lease = store.renew_lease(name, holder, token, now)
            told.update(token=lease.token, ttlMs=lease.ttl_ms)
            self.renewals += 1

        self._write(caller, plan, lambda: told)

    def _release(self, call: HttpRequest, caller: HttpConnection, name: str) -> None:
        fields = _fields(call)
        holder, token = fields.name("holder"), fields.integer("token", None, 1)
        fields.done()
        self._write(caller, lambda store, now: store.plan_release(name, holder, token), lambda: {})

    # --- Figures ------------------------------------------------------------------------------------------

    def metrics(self) -> str:
        """What operators read."""
        return self._figures.text()

    def collect(self) -> list[Metric]:
        """The figures, to be told alone or beside others."""
        records = self.store.records.values()
        out = sum(record.lifecycle() != READY for record in records)
        now, live = self.ledger.now(), self.ledger.leader_store()
        held = sum(live.holder(name, now) is not None for name in live.leases) if live is not None else 0
        return [
            gauge("registry_revision", "of the list", self.store.revision),
            gauge("registry_ready", "whether it tells a list", self.ready()),
            gauges(
                "registry_servers", "in the list", "lifecycle", {"ready": len(records) - out, "draining": out}
            ),
            gauge(
                "registry_held_back",
                "servers past their time that are kept",
                live.held_back if live is not None else 0,
            ),
            gauge("registry_leases_held", "duties that somebody holds", held),
            gauge("registry_connections", "open", len(self.listener.callers)),
            gauge("registry_watches", "held", len(self._watches)),
            count("registry_changes_told", "answers to watches that had waited", self.changes_told),
            counts(
                "registry_turned_away",
                "calls answered 503",
                "reason",
                {
                    "too_many": self.turned_away,
                    "not_ready": self.turned_away_early,
                    "too_old": self.turned_away_old,
                },
            ),
            count("registry_dropped", "peers that were slow, silent or in the way", self.listener.dropped),
            counts(
                "registry_writes",
                "by what came of them",
                "result",
                {"done": self.writes, "refused": self.refused, "not_durable": self.failed},
            ),
            count("registry_renewals", "of servers and leases", self.renewals),
            count("registry_expired", "servers let go for their silence", self.expired),
            gauge("registry_log_entries", "since the last snapshot", self.ledger.log_entries),
            gauge("registry_log_broken", "whether the log takes no more", bool(self.ledger.broken)),
        ]


def _told(store: Store, name: str, entry: Entry | None) -> dict[str, object]:
    """What a server's record is once an entry, if there is one, has come about."""
    if entry is not None:
        record = Record(**entry["record"]) if entry["op"] == "put" else None
        revision = entry["revision"]
    else:
        record, revision = store.records.get(name), store.revision
    if record is None:
        return {"revision": revision}
    return {
        "revision": record.revision,
        "registered": record.registered,
        "ttlMs": record.ttl_ms,
        "lifecycle": record.lifecycle(),
    }


def _row(name: str, record: Record | None) -> dict[str, object]:
    """A server as discovery's protocol tells it."""
    if record is None:
        return {"instanceId": name, "lifecycle": GONE}
    return {
        "instanceId": name,
        "hostPort": record.address,
        "zone": record.zone,
        "machineType": record.kind,
        "cell": record.cell,
        "lifecycle": record.lifecycle(),
        "weight": record.weight,
        "startedAtMs": record.started_at_ms,
    }


def _fields(call: HttpRequest) -> Fields:
    """The fields of a call's body."""
    try:
        raw = json.loads(call.body or b"{}")
    except (ValueError, RecursionError):
        raise ConfigError("body: is not JSON") from None
    if not isinstance(raw, dict):
        raise ConfigError("body: must be an object")
    return Fields(raw)


def _expect(fields: Fields) -> int | None:
    return fields.integer("expect", None, 0) if fields.has("expect") else None


def _fence(fields: Fields) -> tuple[str, int] | None:
    """The duty that a write is made for, and the token that it was granted with."""
    if not fields.has("lease") and not fields.has("token"):
        return None
    return fields.name("lease"), fields.integer("token", None, 1)


def _whole(call: HttpRequest, name: str, default: int | None) -> int | None:
    text = call.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise ConfigError(f"{name}: must be a whole number")
    return int(text)
