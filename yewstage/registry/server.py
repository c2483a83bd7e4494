"""The HTTP interface of the list service: lists, watches, registrations and leases. A write is answered
once it is durable, and all watchers of a revision share one encoded answer."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import asdict

from yewstage.log import Event
from yewstage.metrics import Metric, MetricsPage, counter, gauge, labelled_counter, labelled_gauge
from yewstage.net.config import ConfigError
from yewstage.net.http_server import ConnectionLimits, HttpConnection, HttpRequest, HttpResponse, HttpServer
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError, StoreBackend
from yewstage.registry.config import NAME, Config, Fields
from yewstage.registry.log import WriteFailedError
from yewstage.registry.store import GONE, READY, Entry, Record, RefusedError, Store, WritePlan

log = logging.getLogger(__name__)

MAX_WAIT_MS = 60_000
CALL_TIMEOUT_S, READ_TIMEOUT_S, IDLE_TIMEOUT_S = 5.0, 10.0, 75.0
EXPIRY_CHECK_INTERVAL_S = 0.1  # how often overdue servers are looked for
RETRY_AFTER_RANGE_S = 1.0, 5.0  # a random Retry-After, so that rejected clients do not all return at once
MAX_CACHED_ENCODINGS = 64  # of changes since a revision: watchers do not all wait on the same one
WARNING_INTERVAL_S = 10.0  # between warnings that too many servers are silent

# Query parameter of a call that another process forwarded; it is not forwarded again.
FORWARDED_PARAMETER = "passed"

Handler = Callable[[HttpRequest, HttpConnection, str], HttpResponse | None]
# Takes the revision (None: the whole list), the ms to wait and the connection; whether the call is forwarded.
ForwardList = Callable[[int | None, int, HttpConnection], bool]


def json_response(status: int, body: dict[str, object], headers: bytes = b"") -> HttpResponse:
    """A response with one line of JSON."""
    line = json.dumps(body, separators=(",", ":")).encode() + b"\n"
    return HttpResponse(status, line, b"application/json", headers)


def error_response(status: int, why: str, field: str = "") -> HttpResponse:
    """A response with the reason of an error, and the field at fault if there is one."""
    return json_response(status, {"error": why, **({"field": field} if field else {})})


def malformed(error: ConfigError) -> HttpResponse:
    """A 400 response for a field that is missing or invalid."""
    field, _, why = str(error).partition(": ")
    return error_response(400, why, field)


def misdirected(error: MisdirectedError) -> HttpResponse:
    """A 421 response with the address of the process that accepts the call."""
    return json_response(421, {"error": str(error), "leader": error.leader_address})


class Registry:
    """Handles the calls of the list service and answers them from its store."""

    def __init__(
        self, config: Config, backend: StoreBackend, loop: asyncio.AbstractEventLoop, rng: random.Random
    ) -> None:
        self.config, self.backend, self._loop, self._rng = config, backend, loop, rng
        backend.changed = self._on_list_changed
        # Forwards calls for the list that cannot be answered here.
        self.forward_list: ForwardList | None = None
        limits = ConnectionLimits(
            config.connections, CALL_TIMEOUT_S, READ_TIMEOUT_S, IDLE_TIMEOUT_S, error_response
        )
        self.listener = HttpServer(loop, self.handle, limits)
        # The revision that each pending watch waits on, and its timer.
        self._watches: dict[HttpConnection, tuple[int, asyncio.TimerHandle]] = {}
        # Answers by the revision asked for, None for the whole list. Cleared when the list changes.
        self._encoded_lists: dict[int | None, bytes] = {}
        self._tasks: set[asyncio.Task] = set()
        has_records = bool(backend.store.records)
        self._settled_at = loop.time() + (0.0 if has_records else config.settle_ms / 1000)
        self._has_known_servers = has_records  # a server is or was registered, now or in the loaded files
        self._warned_at = -WARNING_INTERVAL_S
        self._metrics_page = MetricsPage(self.collect)
        self.writes, self.refused, self.not_durable, self.renewals, self.expired = 0, 0, 0, 0, 0
        self.rejected_too_many = self.rejected_not_ready = self.rejected_too_old = self.watches_answered = 0

    async def start(self) -> tuple[str, int]:
        """Start to listen, and to expire overdue servers. Returns the address."""
        self._start_task(self._expire_servers())
        return await self.listener.start(self.config.listen)

    async def stop(self) -> None:
        """Close all connections and cancel what is pending."""
        self.listener.stop()
        for task in self._tasks:
            task.cancel()

    def ready(self) -> bool:
        """Whether lists are served. A store that began empty first waits `settle_ms` and for at least one
        registration.

        A gateway takes an empty list to mean that all servers are gone, so a service that knows no server
        gives no list.
        """
        self._has_known_servers = self._has_known_servers or bool(self.store.records)
        return self._has_known_servers and self._loop.time() >= self._settled_at

    @property
    def store(self) -> Store:
        """The store as known in this process."""
        return self.backend.store

    def handle(self, request: HttpRequest, connection: HttpConnection) -> HttpResponse | None:
        """Handle one call; None if it is answered later."""
        kind, _, name = request.path.removeprefix("/v1/").partition("/")
        name, _, action = name.partition("/")
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
        methods = routes.get((kind, bool(name), action)) if request.path.startswith("/v1/") else None
        if methods is None:
            return error_response(404, "no such path")
        if request.method not in methods:
            answer = error_response(405, f"not {request.method}")
            return HttpResponse(
                405, answer.body, answer.content_type, b"Allow: %b\r\n" % ", ".join(methods).encode()
            )
        try:
            if name and not NAME.fullmatch(name):
                raise ConfigError("id: must be 1 to 64 letters, digits, dots, colons, dashes and underlines")
            return methods[request.method](request, connection, name)
        except ConfigError as error:
            return malformed(error)
        except RefusedError as error:
            self.refused += 1
            return error_response(error.status, error.why, error.field)

    # --- Lists and watches --------------------------------------------------------------------------------

    def _list(self, request: HttpRequest, connection: HttpConnection, name: str) -> HttpResponse | None:
        after, wait_ms = (
            _query_integer(request, "after", None),
            min(_query_integer(request, "wait_ms", 0), MAX_WAIT_MS),
        )
        if (
            self.forward_list is not None
            and FORWARDED_PARAMETER not in request.query
            and self.forward_list(after, wait_ms, connection)
        ):
            return None
        if not self.ready():
            self.rejected_not_ready += 1
            return self.retry_later_response("the list is not complete yet")
        age_ms = self.backend.age_ms()
        if age_ms > self.config.max_age_ms:
            self.rejected_too_old += 1
            return self.retry_later_response(f"what is known here may be {age_ms / 1000:.0f} s old")
        if after is None:
            return self._listing(None)
        changes = self.store.changes(after)
        # The client has a later revision from another replica.
        ahead = after > self.store.revision and self.backend.leader_store() is None
        if ahead and not wait_ms:
            return self.retry_later_response("not as far as that yet")
        if not ahead and (changes or changes is None or not wait_ms):
            return self._listing(after if changes is not None else None)
        if len(self._watches) >= self.config.watches:
            self.rejected_too_many += 1
            return self.retry_later_response("too many watches")
        timer = self._loop.call_later(wait_ms / 1000, self._on_watch_timeout, connection)
        self._watches[connection] = (after, timer)
        connection.on_disconnect = lambda: self._unwatch(connection)
        return None

    def retry_later_response(self, why: str) -> HttpResponse:
        """A 503 response with a random Retry-After, so that clients do not all return at once."""
        wait = b"Retry-After: %.2f\r\n" % self._rng.uniform(*RETRY_AFTER_RANGE_S)
        answer = error_response(503, why)
        return HttpResponse(503, answer.body, answer.content_type, wait)

    def _listing(self, after: int | None) -> HttpResponse:
        """The whole list or the changes since a revision, encoded once for all that ask."""
        body = self._encoded_lists.get(after)
        if body is None:
            changes = None if after is None else self.store.changes(after)
            servers = self.store.records.items() if changes is None else changes
            listing = {
                "generation": self.store.revision,
                "reset": changes is None,
                "instances": [_instance(name, record) for name, record in servers],
            }
            body = json.dumps(listing, separators=(",", ":")).encode()
            if len(self._encoded_lists) >= MAX_CACHED_ENCODINGS:
                self._encoded_lists.pop(next(iter(self._encoded_lists)))
            self._encoded_lists[after] = body
        return HttpResponse(200, body, b"application/json", b"X-Age-Ms: %d\r\n" % self.backend.age_ms())

    def _on_watch_timeout(self, connection: HttpConnection) -> None:
        """Answer a watch whose time is over: with no changes, or 503 if the list here may be outdated."""
        after, _ = self._watches.pop(connection)
        if self.backend.age_ms() > self.config.max_age_ms or after > self.store.revision:
            self.rejected_too_old += 1
            connection.answer(self.retry_later_response("what is known here may be too old"))
        else:
            connection.answer(self._listing(after))

    def _unwatch(self, connection: HttpConnection) -> None:
        _, timer = self._watches.pop(connection, (0, None))
        if timer is not None:
            timer.cancel()

    def _on_list_changed(self) -> None:
        """Answer the watches that wait for a change. All watches are taken out first, since an answered
        client may ask again at once. A watch whose revision is ahead of this store keeps waiting."""
        self._encoded_lists.clear()
        revision = self.store.revision
        watches, self._watches = self._watches, {}
        for connection, (after, timer) in watches.items():
            if after >= revision:
                self._watches[connection] = after, timer
                continue
            timer.cancel()
            self.watches_answered += 1
            connection.answer(self._listing(after))

    # --- Writes -------------------------------------------------------------------------------------------

    def _write(
        self, connection: HttpConnection, plan: WritePlan, answer: Callable[[], dict[str, object]]
    ) -> None:
        """Carry out a write and answer once it is durable."""
        self._start_task(self._execute_write(connection, plan, answer))

    async def _execute_write(
        self, connection: HttpConnection, plan: WritePlan, answer: Callable[[], dict[str, object]]
    ) -> None:
        try:
            self.writes += await self.backend.write(plan)
            connection.answer(json_response(200, answer()))
        except RefusedError as error:
            self.refused += 1
            connection.answer(error_response(error.status, error.why, error.field))
        except MisdirectedError as error:
            connection.answer(self._redirect_to_leader(error))
        except OutcomeUnknownError as error:
            connection.answer(self.retry_later_response(str(error)))
        except WriteFailedError as error:
            log.error(Event("not_durable", "a write could not be made durable: {error}", error=str(error)))
            self.not_durable += 1
            connection.answer(self.retry_later_response(f"writes are refused: {error}"))
        except Exception:
            log.exception(Event("write_failed", "a write failed"))
            connection.answer(error_response(500, "the service failed"))

    def _redirect_to_leader(self, error: MisdirectedError) -> HttpResponse:
        """Redirect a write to the leader, or 503 while none is known."""
        if not error.leader_address:
            return self.retry_later_response(str(error))
        return misdirected(error)

    async def _expire_servers(self) -> None:
        """Remove servers whose TTL has passed, unless too many are silent at once."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            store = self.backend.leader_store()
            if store is None:
                continue
            overdue = store.overdue(self.backend.now())
            if store.withheld_expiries and self._loop.time() - self._warned_at >= WARNING_INTERVAL_S:
                self._warned_at = self._loop.time()
                log.warning(
                    Event(
                        "held_back",
                        "{silent} of {servers} servers have not renewed; the fault is more likely "
                        "on this side, so none is removed",
                        silent=store.withheld_expiries,
                        servers=len(store.records),
                    )
                )
            for name in overdue:
                try:
                    if await self.backend.write(lambda store, now, name=name: store.plan_expire(name, now)):
                        self.writes += 1
                        self.expired += 1
                        log.info(Event("expired", "{server} has not renewed in time", server=name))
                except (WriteFailedError, MisdirectedError, OutcomeUnknownError) as error:
                    log.error(
                        Event(
                            "not_expired",
                            "{server} could not be removed: {error}",
                            server=name,
                            error=str(error),
                        )
                    )
                    break

    def _start_task(self, work: object) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- Servers ------------------------------------------------------------------------------------------

    def _register(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
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
            ttl_ms=fields.number("ttlMs", None, config.min_ttl_ms, config.max_ttl_ms),
        )
        expect, fence = _expect(fields), _fence(fields)
        fields.done()

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_register(record, expect)
            if entry is None:
                store.renew(name, None, now)
            return entry

        self._write_record(connection, name, fence, plan)

    def _write_record(
        self, connection: HttpConnection, name: str, fence: tuple[str, int] | None, plan: WritePlan
    ) -> None:
        """Write a server's record, checking the fencing token if one is given. The answer describes the
        record as of this write, even if it changes again before the answer is sent."""
        result: dict[str, object] = {}

        def fenced(store: Store, now: float) -> Entry | None:
            if fence is not None:
                store.check_token(*fence)
            entry = plan(store, now)
            result.update(_write_result(store, name, entry))
            return entry

        self._write(connection, fenced, lambda: result)

    def _renew(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        registered = fields.integer("registered", 0, 0) or None
        fields.done()
        result: dict[str, object] = {}

        def plan(store: Store, now: float) -> None:
            record = store.renew(name, registered, now)
            result.update(revision=record.revision, registered=record.registered, ttlMs=record.ttl_ms)
            self.renewals += 1

        self._write(connection, plan, lambda: result)

    def _drain(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        draining = fields.flag("draining") if fields.has("draining") else True
        expect, fence = _expect(fields), _fence(fields)
        fields.done()
        self._write_record(
            connection, name, fence, lambda store, now: store.plan_drain(name, draining, expect)
        )

    def _verdict(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        well, fence = fields.flag("well"), _fence(fields)
        fields.done()
        if fence is None:
            raise ConfigError("lease: a verdict is written by the holder of a duty")
        self._write_record(connection, name, fence, lambda store, now: store.plan_verdict(name, well))

    def _deregister(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        expect, fence = _expect(fields), _fence(fields)
        fields.done()
        self._write_record(connection, name, fence, lambda store, now: store.plan_deregister(name, expect))

    # --- Leases -------------------------------------------------------------------------------------------

    def _leases(self, request: HttpRequest, connection: HttpConnection, name: str) -> HttpResponse:
        now, store = self.backend.now(), self.backend.leader_store()
        if store is None:
            return self._redirect_to_leader(MisdirectedError(self.backend.leader()))
        return json_response(
            200,
            {
                "leases": [
                    {
                        "name": lease.name,
                        "holder": held.holder if held else "",
                        "token": lease.token,
                        "endsInMs": round(store.lease_remaining_ms(lease.name, now)) if held else 0,
                    }
                    for lease in store.leases.values()
                    for held in [store.active_lease(lease.name, now)]
                ]
            },
        )

    def _acquire(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        holder = fields.name("holder")
        ttl_ms = fields.number("ttlMs", None, self.config.min_ttl_ms, self.config.max_ttl_ms)
        fields.done()

        result: dict[str, object] = {}

        def plan(store: Store, now: float) -> Entry | None:
            entry = store.plan_acquire(name, holder, ttl_ms, now)
            if entry is None:
                store.renew_lease(name, holder, store.leases[name].token, now)
            lease = entry or asdict(store.leases[name])
            result.update(token=lease["token"], ttlMs=lease["ttl_ms"])
            return entry

        self._write(connection, plan, lambda: result)

    def _renew_lease(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        holder, token = fields.name("holder"), fields.integer("token", None, 1)
        fields.done()
        result: dict[str, object] = {}

        def plan(store: Store, now: float) -> None:
            lease = store.renew_lease(name, holder, token, now)
            result.update(token=lease.token, ttlMs=lease.ttl_ms)
            self.renewals += 1

        self._write(connection, plan, lambda: result)

    def _release(self, request: HttpRequest, connection: HttpConnection, name: str) -> None:
        fields = _fields(request)
        holder, token = fields.name("holder"), fields.integer("token", None, 1)
        fields.done()
        self._write(connection, lambda store, now: store.plan_release(name, holder, token), lambda: {})

    # --- Figures ------------------------------------------------------------------------------------------

    def metrics(self) -> str:
        """The metrics page in text form."""
        return self._metrics_page.text()

    def collect(self) -> list[Metric]:
        """The metrics, for this service's page or as part of another."""
        records = self.store.records.values()
        out = sum(record.lifecycle() != READY for record in records)
        now, live = self.backend.now(), self.backend.leader_store()
        held = (
            sum(live.active_lease(name, now) is not None for name in live.leases) if live is not None else 0
        )
        return [
            gauge("registry_revision", "of the list", self.store.revision),
            gauge("registry_ready", "whether it tells a list", self.ready()),
            labelled_gauge(
                "registry_servers", "in the list", "lifecycle", {"ready": len(records) - out, "draining": out}
            ),
            gauge(
                "registry_held_back",
                "servers past their time that are kept",
                live.withheld_expiries if live is not None else 0,
            ),
            gauge("registry_leases_held", "duties that somebody holds", held),
            gauge("registry_connections", "open", len(self.listener.connections)),
            gauge("registry_watches", "held", len(self._watches)),
            counter("registry_changes_told", "answers to watches that had waited", self.watches_answered),
            labelled_counter(
                "registry_turned_away",
                "calls answered 503",
                "reason",
                {
                    "too_many": self.rejected_too_many,
                    "not_ready": self.rejected_not_ready,
                    "too_old": self.rejected_too_old,
                },
            ),
            counter(
                "registry_dropped", "peers that were slow, silent or in the way", self.listener.closed_count
            ),
            labelled_counter(
                "registry_writes",
                "by what came of them",
                "result",
                {"done": self.writes, "refused": self.refused, "not_durable": self.not_durable},
            ),
            counter("registry_renewals", "of servers and leases", self.renewals),
            counter("registry_expired", "servers let go for their silence", self.expired),
            gauge("registry_log_entries", "since the last snapshot", self.backend.log_entries),
            gauge("registry_log_broken", "whether the log takes no more", bool(self.backend.broken)),
        ]


def _write_result(store: Store, name: str, entry: Entry | None) -> dict[str, object]:
    """The answer to a write: the server's record as it is once the entry, if any, is applied."""
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


def _instance(name: str, record: Record | None) -> dict[str, object]:
    """A server in the format of the discovery protocol."""
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


def _fields(request: HttpRequest) -> Fields:
    """The fields of a request's body."""
    try:
        raw = json.loads(request.body or b"{}")
    except (ValueError, RecursionError):
        raise ConfigError("body: is not JSON") from None
    if not isinstance(raw, dict):
        raise ConfigError("body: must be an object")
    return Fields(raw)


def _expect(fields: Fields) -> int | None:
    return fields.integer("expect", None, 0) if fields.has("expect") else None


def _fence(fields: Fields) -> tuple[str, int] | None:
    """The lease that a write is made under and its fencing token; None if the request names neither."""
    if not fields.has("lease") and not fields.has("token"):
        return None
    return fields.name("lease"), fields.integer("token", None, 1)


def _query_integer(request: HttpRequest, name: str, default: int | None) -> int | None:
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise ConfigError(f"{name}: must be a whole number")
    return int(text)
