"""Every decision of yewstage. Settings, events and actions: yewstage/interface.py (times in milliseconds).

A request's life: quota and ceiling, admission by SiRED, choice of a server, attempts, one final answer.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque

from yewstage import interface as api

# --- Constants -------------------------------------------------------------------------------------------
SWEEP_MS = 100.0  # spacing of the housekeeping timer and of the q updates: a tenth of the quickest trouble
OUTCOMES = 125  # outcomes that also close a q interval (design page)
W = 0.3  # weight of a new mean in q: at SWEEP_MS apart it forgets in about 0.3 s, under every aim seen
FEW = 5.0  # outcomes in an estimate's memory: a mean of fewer weighs less, whatever its interval
Q_MIN, Q_MAX, F_MIN = 0.2, 0.45, 0.05  # idle service takes 0.1 to 0.15 of an aim; its tail is longer
STALL = 2.0  # a sweep this many spacings late is a stall of ours, not of the back end
RATE_MEMORY_MS = 1000.0  # memory of observed rates (completions, work sent to warm hosts)
GAIN = 0.2  # weight of one outcome in a host's or class's running mean
BACKOFF_MS, BACKOFF_MAX_MS = 500.0, 4000.0  # a failing host's rest before one trial, doubled to the second
STRIKES = 3  # slow or failed answers in a row that count as a host's failure
HOLDERS, HELD = 10, 12  # gateways that send to one server, where that leaves each so many well ones
NOISE = 0.2  # chance in the choice of a server; a dial, where it has a price, weighs as much
LINK_SHARE = 0.5  # of the servers' idle limit, in which an idle link is still there
FAR = 4.0  # a server that others hold is sought at so many times the load
BAD = 2.5  # a host this many times slower than the fleet is unwell: no q samples, no patience
COLD_MARGIN = 0.5  # part of the cold budget that we use: capacity is only guessed and others may run ahead
IDLE, NEWS_MS = 0.7, 2000.0  # a cold host that reported less use is warmer than it must be; for how long
RETRY_SHARE, RETRY_BANK = 0.2, 10.0  # further attempts per admitted request, and how many may be saved up
PATIENCE, LOST = 2.5, 0.06  # usual latencies before an answer is missed; share missed that shows a loss
TRIES = 64  # last tries of a class that tell its usual time left
ROOM = 0.5  # beyond-quota work is let in only while q is under this part of Q_MIN
WINDOWS = 2.0  # a count's window, in burst / rate: what idle times left unused in one is not lent out later
SPLIT = 1.5  # our part of a silent counter's even split while there is room: use is uneven, peers may be dead
OTHERS_MS = 1000.0  # memory of the others' rate of use
HEED, CROWD = 0.35, 4  # weight of one counter reply in a mean of them; the power of the mean that thins calls
RESERVE = 0.5  # part of our asking that found something, under which we ask without reserving
CALL_REST_MS = 1000.0  # one call in this time is made however few are answered: it finds the counter's return
FORGET_WINDOWS = 6.0  # windows without a request after which a customer is forgotten
KEEP_MAX_MS = 60000.0  # longest life of a count
SHARE_MS, SHARE_OF_MS = 3000.0, 1000.0  # life of a share; it is asked for as what is used in so long
# What a next process takes over, beside names and windows.
HANDED = ("born", "q", "f", "q_seen", "ok_q", "lost", "mid", "done_rate", "warm_rate", "bank", "heard")
HANDED_HOST = (
    "born",
    "slow",
    "strikes",
    "fails",
    "down_until",
    "died",
    "cold_from_ms",
    "credit",
    "credit_at",
)
HANDED_USE = (
    "width",
    "own",
    "added",
    "base_own",
    "base_at",
    "base_use",
    "base_left",
    "most",
    "left",
    "left_at",
    "others",
    "seen",
    "ceiling",
    "ceiling_at",
    "luck",
)


def _finite(value: object) -> float:
    """A number that another process told; ValueError where it is none."""
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return value


def quota_account_name(plan: str, customer: str) -> str:
    """The name of a customer's account, where shares are granted; it tells nobody who that is."""
    return hashlib.blake2s(f"{plan}/{customer}".encode(), digest_size=16).hexdigest()


def ramp(q: float) -> float:
    """The SiRED fraction for smoothed occupancy q."""
    return max(F_MIN, min((Q_MAX - q) / (Q_MAX - Q_MIN), 1.0))


class _Host:
    """What this gateway knows of one server."""

    __slots__ = (
        "name",
        "zone",
        "cell",
        "nominal",
        "up",
        "born",
        "cold_from_ms",
        "open",
        "slow",
        "strikes",
        "fails",
        "down_until",
        "died",
        "credit",
        "credit_at",
        "rank",
        "util",
        "told_at",
        "linked",
        "linked_until",
    )

    def __init__(self, server: api.Server, rank: int) -> None:
        self.name, self.rank = server.name, rank
        self.util, self.told_at = 1.0, 0.0  # how busy it reported to be, and when
        self.linked, self.linked_until = 0, 0.0  # idle links to it, by what came back, and until when
        self.open = 0
        self.slow = 1.0  # running latency over its class's usual one
        self.strikes = self.fails = 0
        self.down_until = 0.0
        self.died = False  # connections failed: what answers next may have just started
        self.born = self.cold_from_ms = 0.0
        self.credit = self.credit_at = 0.0  # work that we may send it while cold, as of when
        self.update(server)

    def update(self, server: api.Server) -> None:
        self.zone, self.cell, self.nominal = server.zone, server.cell, max(server.nominal_capacity, 1e-6)
        self.up = server.status == "up"
        if server.up_since_ms > self.born:
            self.born = self.cold_from_ms = server.up_since_ms
            self.strikes = self.fails = self.linked = 0
            self.down_until, self.died, self.slow = 0.0, False, 1.0


class _Attempt:
    __slots__ = ("host", "sent", "open", "ran", "works", "touched")

    def __init__(self, host: _Host) -> None:
        self.host = host
        self.sent = math.inf  # not yet, or its body is still on its way
        self.open = self.ran = True  # may be running until an outcome proves that it never did
        self.works = False  # its server is at it, as far as we know
        self.touched = True  # something of it may have left

    def start(self, now: float) -> None:
        self.sent, self.works = now, True
        self.host.open += 1

    def stop(self) -> None:
        self.host.open -= self.works
        self.works = False


class _Held:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "req",
        "cls",
        "use",
        "aim_at",
        "end_at",
        "attempts",
        "answered",
        "stream",
        "work",
        "loading",
        "most",
        "claim",
    )

    def __init__(
        self,
        req: api.Request,
        cls: api.RequestClass,
        use: _Use,
        aim_at: float,
        end_at: float,
        work: float,
        most: int,
    ) -> None:
        self.req, self.cls, self.use, self.work, self.most = req, cls, use, work, most
        self.aim_at, self.end_at = aim_at, end_at
        self.attempts: list[_Attempt] = []
        self.answered = self.stream = False
        self.loading = not req.body_is_buffered  # its body is on its way
        self.claim = ""  # "asked" or "yours", where a record has to be asked first


class _Use:
    """One customer's use: the count of this window, and this gateway's part of the ceiling."""

    __slots__ = (
        "plan",
        "width",
        "window",
        "name",
        "own",
        "added",
        "base",
        "base_own",
        "base_at",
        "base_use",
        "base_left",
        "most",
        "left",
        "left_at",
        "others",
        "calling",
        "in_call",
        "call_at",
        "asking",
        "open",
        "elsewhere",
        "seen",
        "ceiling",
        "ceiling_at",
        "luck",
        "loading",
        "share",
        "share_until",
        "share_rests",
        "taken",
        "floored",
    )

    def __init__(self, plan: api.Plan, width: int, now: float, age: float) -> None:
        self.plan, self.width, self.seen = plan, width, now
        self.window, self.name = -1, ""
        self.own = self.added = self.in_call = 0.0  # our use in the window; told; in a call
        self.calling, self.call_at = False, 0.0
        self.base: float | None = None  # last total read; None: nothing read in this life
        self.base_own = self.base_use = self.base_at = 0.0  # what it held of ours, our use then, when
        self.most = self.base_left = plan.burst  # left if the others use nothing; the same at base
        self.others = plan.rate / 1000 * (1 - 1 / width)  # estimate of the others' use, units per ms
        # Danger: a gateway back from the dead has spent what it no longer knows. It earns its split anew.
        self.left, self.left_at = min(plan.burst, plan.rate * age / 1000) / width, now
        # Wait for a total: request, class, aim, end.
        self.asking: list[tuple[api.Request, api.RequestClass, float, float]] = []
        self.open = self.elsewhere = 0  # out here; out at the process that handed over
        self.ceiling = self.ceiling_at = 0.0
        self.loading = 0.0  # units of bodies on their way: taken from our part, not yet from the store
        self.luck = 1.0  # part of our asking that found something left
        self.share = self.taken = 0.0  # units that are ours alone; what was spent since we asked for them
        self.share_until = self.share_rests = 0.0  # and until when; when to ask again at the soonest
        self.floored = False  # nobody was heard, and what may be spent so was begun


class _Cell:
    """Requests of one class and plan: their worth per work, share of the work, fraction let in."""

    __slots__ = ("value", "work", "f", "r")

    def __init__(self) -> None:
        self.value = self.work = self.r = 0.0
        self.f = 1.0


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.aim = min(c.objective_ms for c in settings.classes)  # the shortest
        self.plans = {p.name: p for p in settings.plans}
        self.out: list[api.Action] = []
        self.servers: dict[str, _Host] = {}
        self.open_requests: dict[str, _Held] = {}
        self.customer_quotas: dict[str, _Use] = {}
        self.calls: dict[str, str] = {}  # name of a count -> customer
        self.asking: dict[str, str] = {}  # requests that wait for a total -> customer
        self.cells: dict[tuple[str, str], _Cell] = {}
        self.latency = {c.name: c.objective_ms / 10 for c in settings.classes}  # usual latency per unit
        self.lefts: dict[str, deque[float]] = {}  # times left of the last tries, by class
        self.now = 0.0
        self.born: float | None = None
        self.sweep_due = 0.0
        self.stalled_at = -1.0
        self.q, self.f = 0.0, 1.0
        self.q_sum, self.q_n, self.q_seen = 0.0, 0, 0
        self.ok_q = self.lost = 0.0  # part of the aim that good answers take; share of answers that are lost
        self.holders = settings.fleet_size  # gateways that send to one server
        self.mid, self.many_fail = 1.0, False  # the hosts' median slowness; whether over half of them fail
        self.done = self.done_rate = 0.0  # good completions since the last sweep, and per ms
        self.size = 1.0  # of the servers that we hold, together
        self.warm_work = self.warm_rate = 0.0  # work sent to warm hosts, and per ms and host
        self.bank = RETRY_BANK
        self.heard, self.call_at = 1.0, 0.0  # part of our counter calls answered; the last one's time
        self.said: dict[str, float] = {}
        self.handed = False  # a next process holds our parts of ceilings, caps and cold budgets

    # --- Events -------------------------------------------------------------------------------------------

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """The actions that answer one event at `now_ms`; times never run backwards."""
        self.now = max(self.now, now_ms)
        self.out = []
        if self.born is None:
            self.born, self.sweep_due = self.now, self.now + SWEEP_MS
            self.out.append(api.Timer("sweep", SWEEP_MS))
            if self.s.server_list_on_request:
                self.out.append(api.Subscribe())
        if self.now > self.sweep_due + STALL * SWEEP_MS:
            # Danger: our own stall looks like a slow back end. What was out during it is no q sample.
            # Holds also for a paused machine or a jammed network card. Hurts: a real jam is seen later.
            self.stalled_at = self.now
        match event:
            case api.Request():
                self._request(event)
            case api.Outcome():
                self._outcome(event)
            case api.TimerDue(name="sweep"):
                self._sweep()
            case api.TimerDue(name="subscribe"):
                self.out.append(api.Subscribe())
            case api.CountReply():
                self._count_reply(event)
            case api.ServerList():
                self._server_list(event)
            case api.StreamStarted():
                self._stream_started(event)
            case api.Uploaded():
                self._uploaded(self.open_requests.get(event.request))
            case api.Claimed():
                self._claimed(event)
            case api.ClientLeft():
                self.asking.pop(event.request, None)
                self._finish(self.open_requests.get(event.request))
            case api.Retuned():
                self._retune(event.settings)
            case api.TakenOver():
                self._take_over(event.state)
            case api.PredecessorGone():
                for use in self.customer_quotas.values():
                    use.elsewhere = 0
            case api.TimerDue():
                pass
            case _:
                raise TypeError(f"not an event of yewstage.interface: {event!r}")
        return self.out

    def _server_list(self, event: api.ServerList) -> None:
        if event.kind == "failed":
            self.out.append(api.Timer("subscribe", BACKOFF_MS * (1 + self.rng.random())))
            return
        if event.kind != "changes":
            named = {s.name for s in event.servers}
            self.servers = {n: h for n, h in self.servers.items() if n in named}
        for server in event.servers:
            if server.status == "removed":
                self.servers.pop(server.name, None)
            elif server.name in self.servers:
                self.servers[server.name].update(server)
            else:
                self.servers[server.name] = _Host(server, self._rank(server.name))
        self._share_out()

    def _share_out(self) -> None:
        """Choose the servers that we hold.

        Danger: all dial all, and know each from one answer in many seconds. A server needs some gateways,
        which keep connections and hear of it often. A gateway needs some servers: left with few, by chance or
        by a loss, it would fill them before it looked further. A small fleet holds all.
        """
        ranks = sorted(h.rank for h in self.servers.values() if h.up and not h.fails)
        enough = ranks[min(HELD, len(ranks)) - 1] + 1 if ranks else 0
        self.holders = min(self.s.fleet_size, max(HOLDERS, enough))

    def _rank(self, name: str) -> int:
        """Our place in a server's own order of all gateways, on which they agree without a word."""
        order = list(range(self.s.fleet_size))
        random.Random(name).shuffle(order)
        return order.index(self.s.gateway_index)

    def _ours(self, host: _Host) -> bool:
        """Whether we are one of the gateways that hold this server."""
        return host.rank < self.holders

    def links(self, name: str) -> int:
        """The most links that we may have to a server: what it bears of us within the shortest aim.

        As many as it answers in that time at the rate at which we send to it, with what chance adds. Who
        sends much has a larger part; the parts of all add up to what the server does within the aim.
        Danger: links beyond that carry requests that are late already, and take the others' places.
        """
        host = self.servers.get(name)
        if host is None:
            return 1
        if self.q_seen < FEW:  # nothing seen yet: an even part of what its size does, at the usual latency
            mean = host.nominal * self.aim / max(self.latency.values()) / self.holders
        else:
            mean = self.done_rate * self.aim * host.nominal / self.size
        return max(1, math.ceil(mean + mean**0.5))

    def may_repeat(self, request: str) -> bool:
        """Whether a request could be sent on again if the answer that is coming broke.

        While it could, an answer that may soon be whole is better held than begun: what was passed on cannot
        be taken back.
        """
        held = self.open_requests.get(request)
        return (
            held is not None
            and held.req.body_is_buffered
            and not held.answered
            and held.cls.effect == "safe"
            and len(held.attempts) < held.most
            and self.bank >= 1
        )

    def rotation(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these get no ordinary work now."""
        return len(self.servers), sum(1 for h in self.servers.values() if not h.up or h.fails)

    def failing(self) -> dict[str, int]:
        """Listed servers that rest after failures or are tried again: how often in a row each has failed."""
        return {h.name: h.fails for h in self.servers.values() if h.up and h.fails}

    # --- Retuning ------------------------------------------------------------------------------------------

    def _retune(self, settings: api.Settings) -> None:
        """Other classes, plans and bounds; what was learnt of customers, hosts and pressure stays."""
        classes = {c.name: c for c in settings.classes}
        same = {name for name, cls in classes.items() if self.classes.get(name) == cls}
        waiting = {cls.name for use in self.customer_quotas.values() for _, cls, _, _ in use.asking}
        known = {*classes, *waiting, *(held.cls.name for held in self.open_requests.values())}
        moved = (settings.gateway_index, settings.fleet_size) != (self.s.gateway_index, self.s.fleet_size)
        self.s, self.classes = settings, classes
        for host in self.servers.values() if moved else ():
            host.rank = self._rank(host.name)
        self.aim = min(c.objective_ms for c in settings.classes)
        # One that is the same is the same object, by which a customer's use is known.
        self.plans = {
            p.name: self.plans[p.name] if self.plans.get(p.name) == p else p for p in settings.plans
        }
        self.latency = {name: value for name, value in self.latency.items() if name in known}
        self.lefts = {name: recent for name, recent in self.lefts.items() if name in same}
        self.cells = {key: cell for key, cell in self.cells.items() if key[0] in classes}
        self._share_out()

    # --- Upgrades ------------------------------------------------------------------------------------------

    def hand_over(self) -> dict[str, object]:
        """All that the rules need of us, for the process that goes on; what it holds we no longer spend."""
        self.handed = True
        for use in self.customer_quotas.values():
            self._left(use)
        state = {
            "own": {name: getattr(self, name) for name in HANDED},
            "latency": dict(self.latency),
            "hosts": {h.name: [getattr(h, name) for name in HANDED_HOST] for h in self.servers.values()},
            "uses": {
                customer: [
                    use.plan.name,
                    use.window,
                    use.name,
                    use.base,
                    use.open + use.elsewhere,
                    *(getattr(use, name) for name in HANDED_USE),
                ]
                for customer, use in self.customer_quotas.items()
            },
        }
        for use in self.customer_quotas.values():
            use.added = use.own  # what was not told yet is told by the next process
        return state

    def _take_over(self, state: dict[str, object] | None) -> None:
        """Go on from another process's state; from nothing where there is none or it makes no sense.

        Danger: without one the parts of ceilings and quotas are earned anew, as after a restart, from now on
        and not from our start, when the other process still spent them.
        """
        self.born = self.now
        if state is None:
            return
        try:
            own = {name: _finite(state["own"][name]) for name in HANDED}
            latency = {name: _finite(v) for name, v in state["latency"].items() if name in self.classes}
            hosts = {
                name: [_finite(v) for v in values]
                for name, values in state["hosts"].items()
                if len(values) == len(HANDED_HOST)
            }
            uses = {
                customer: self._handed_use(values)
                for customer, values in state["uses"].items()
                if values[0] in self.plans
            }
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            self.out.append(api.Log(f"what was handed over makes no sense: {error!r}"))
            return
        for name, value in own.items():
            setattr(self, name, value)
        self.latency.update(latency)
        for name, values in hosts.items():
            host = self.servers.get(name)
            if host is not None and values[0] >= host.born:  # else it has started since
                for field, value in zip(HANDED_HOST, values, strict=True):
                    setattr(host, field, type(getattr(host, field))(value))
        self.customer_quotas = uses

    def _handed_use(self, values: list) -> _Use:
        plan, window, name, base, out, *rest = values
        use = _Use(self.plans[plan], 1, self.now, 0.0)
        use.window, use.name = int(_finite(window)), str(name)
        use.base = None if base is None else _finite(base)
        use.elsewhere = int(_finite(out))
        for field, value in zip(HANDED_USE, rest, strict=True):
            setattr(use, field, _finite(value))
        use.width = max(1, int(use.width))
        return use

    # --- Admission (SiRED) ------------------------------------------------------------------------------

    def _request(self, req: api.Request) -> None:
        cls, plan = req.cls or self.classes.get(req.class_name), self.plans.get(req.plan_name)
        if req.id in self.open_requests or req.id in self.asking:
            return
        if cls is None or plan is None or req.time_left_ms <= 0 or not self.servers:
            self.out.append(api.Refuse(req.id, reason="no host" if not self.servers else "unservable"))
            return
        self.latency.setdefault(cls.name, cls.objective_ms / 10)
        end_at = self.now + req.time_left_ms
        aim_at = (
            end_at if cls.late_worth > 0 else min(self.now + cls.objective_ms - self._spent(req, cls), end_at)
        )
        if aim_at <= self.now:
            # Its aim has passed: whatever we did would be waste.
            self.out.append(api.Refuse(req.id, reason="too late"))
            return
        use = self._use(req, plan)
        # Danger: a try with little time left would be held past its end; it is decided at once.
        if aim_at - self.now > self.s.count_wait_ms + 2 * SWEEP_MS and self._unsure(use, req.units):
            if not self._admit(cls, plan, req.units):  # danger: asking for what f sheds crowds the counter
                self._refuse_new(req, use, "pressed")
                return
            # Exception to refusing at once: the total that settles it is a few ms away.
            self.asking[req.id] = req.customer
            use.asking.append((req, cls, aim_at, end_at))
            # Danger: what is reserved and refused stands in the total until it is taken off, and all read it:
            # for one whom the fleet mostly refuses, the asking alone would fill the quota.
            self._sync(use, req.customer, req.units * (use.luck >= RESERVE or plan.uses_quota_shares), True)
        else:
            self._decide(req, cls, use, aim_at, end_at, False)

    def _spent(self, req: api.Request, cls: api.RequestClass) -> float:
        """Time that the client spent on earlier tries, where its time left tells.

        Danger: late retries take quota and work from those in time. First tries share one time left; a
        shorter one was cut by the class's deadline. Hurts: clients with a short patience of their own; so it
        acts only while a third of the last tries agree on the usual time, and takes what the deadline shows.
        """
        recent = self.lefts.setdefault(cls.name, deque(maxlen=TRIES))
        recent.append(req.time_left_ms)
        usual = sorted(recent)[len(recent) * 7 // 10]
        if self.s.marks_retry and not req.is_retry:
            return 0.0  # a first try, and its client is in a hurry
        agree = sum(1 for left in recent if abs(left - usual) <= 0.01 * usual)
        if len(recent) < TRIES // 2 or 3 * agree < len(recent) or req.time_left_ms > 0.99 * usual:
            return 0.0
        return max(cls.deadline_ms - req.time_left_ms, 0.0)

    def _decide(
        self, req: api.Request, cls: api.RequestClass, use: _Use, aim_at: float, end_at: float, admitted: bool
    ) -> None:
        """Send on or refuse, at once."""
        plan = use.plan
        over = not self._quota_has(use, req.units)
        if over:
            fits = plan.over_worth > plan.over_cost and self.q < ROOM * Q_MIN
        else:
            fits = admitted or self._admit(cls, plan, req.units)
        if not fits or not self._ceiling_has(use, req.units):
            self._refuse_new(req, use, "quota" if over else "ceiling" if fits else "pressed")
            return
        held = _Held(
            req, cls, use, aim_at, end_at, self.latency[cls.name] * max(req.units, 0.0), self.s.try_limit
        )
        host = self._pick(held) if held.aim_at > self.now else None
        if host is None:
            self._refuse_new(req, use, "quota" if over else "no host")
            return
        self.open_requests[req.id] = held
        self.bank = min(self.bank + RETRY_SHARE, RETRY_BANK)
        use.ceiling -= req.units
        use.loading += req.units * held.loading
        use.open += 1
        if not over:
            self._spend(use, req.units)
        self._sync(use, req.customer)
        if self.s.uses_claim_record and cls.effect == "keyed":
            held.claim = "asked"
            left = held.aim_at - self.now
            wait = max(left - self._usual(held), left / 2)
            # Its key must outlive whatever a client may still send for it: hosts count from the first send.
            self.out.append(api.Claim(req.id, cls.window_ms + cls.deadline_ms, wait))
        else:
            self._send(held, host)

    def _claimed(self, event: api.Claimed) -> None:
        """Send on what is ours to send; what another request has of this key is answered by what is known.

        Danger: a key whose end nobody told may have run; a refusal would promise that it did not.
        """
        held = self.open_requests.get(event.request)
        if held is None or held.claim != "asked" or held.answered:
            return
        held.claim = event.result if event.result == "yours" else ""
        host = self._pick(held) if held.claim and held.aim_at > self.now else None
        if host is not None:
            self._send(held, host)
            return
        if event.result != "done":
            self._spend(held.use, -held.req.units)
        self.out.append(
            api.Recall(held.req.id)
            if event.result == "done"
            else api.Fail(held.req.id)
            if event.result == "held"
            else api.Refuse(held.req.id, reason="no record" if event.result == "silent" else "gave up")
        )
        self._finish(held)

    def _admit(self, cls: api.RequestClass, plan: api.Plan, units: float) -> bool:
        """The accumulator: r += f; at 1 or more, subtract 1 and let in."""
        cell = self.cells.setdefault((cls.name, plan.name), _Cell())
        cell.value = cls.worth * plan.worth / max(self.latency[cls.name], 1e-6)
        cell.work += self.latency[cls.name] * max(units, 0.0)
        cell.r += cell.f
        if cell.r < 1.0 - 1e-9:  # the shares add up to one but for rounding
            return False
        cell.r -= 1.0
        return True

    def _refuse_new(self, req: api.Request, use: _Use, why: str) -> None:
        over = why == "quota" and use.plan.rate > 0
        wait = 1000 * req.units / use.plan.rate if over else SWEEP_MS / self.f
        self.out.append(api.Refuse(req.id, min(wait, self.s.max_retry_after_ms * self.s.retry_after), why))

    def _sample(self, held: _Held, attempt: _Attempt, event: api.Outcome) -> None:
        """One outcome's occupancy: the part of the aim that it used up, or that a new one would."""
        if attempt.sent < self.stalled_at or event.result in (api.CONNECT_FAILED, api.RESET, api.CANCELLED):
            return
        if self._unwell(attempt.host):
            return  # danger: a few bad hosts cut f for all; they are the business of health
        q = 1.0
        if event.result in (api.OK, api.ERROR):
            self.ok_q += (min(event.took_ms / held.cls.objective_ms, 1.0) - self.ok_q) / FEW
            self.lost -= self.lost / (4 * FEW)
            # Danger: foretold from two or three completions it is noise that cuts f for nothing.
            foretold = sum(h.open for h in self.servers.values() if not h.fails) / max(self.done_rate, 1e-9)
            trust = 0.5 * min(self.done_rate * (self.now - self.born) / (3 * FEW), 1.0)
            q = min((event.took_ms + trust * (foretold - event.took_ms)) / held.cls.objective_ms, 1.0)
        elif event.result == api.TIMED_OUT and self.ok_q < Q_MIN:
            # Danger: answers lost on their way, or stuck on single hosts, look like a jam. While the others
            # come fast, nothing waits. Hurts: the start of a jam is seen some answers later.
            self.lost += (1 - self.lost) / (4 * FEW)
            return
        self.q_sum += q
        self.q_n += 1
        if self.q_n >= OUTCOMES:
            self._update_f()

    def _update_f(self) -> None:
        if self.q_n:
            self.q_seen += self.q_n
            w = min(W, self.q_n / FEW) if self.q_seen > FEW else self.q_n / self.q_seen
            self.q = (1 - w) * self.q + w * self.q_sum / self.q_n
            self.q_sum, self.q_n = 0.0, 0
        elif not self.open_requests:
            # Danger: near fmin a gateway of two requests a second has one outcome in ten seconds; q would
            # hold on long after a jam, so it fades while nothing is out. Hurts: long jams get more than fmin.
            self.q *= 1 - SWEEP_MS / max(c.objective_ms for c in self.s.classes)
        late = 0
        if self.q_seen < FEW:
            # Danger: outcomes show a jam an aim late, and fresh gateways would fill it until then. What is
            # out for longer than Qmax of its aim counts as full. Hurts: lost answers press a fresh gateway.
            late = sum(
                a.works and self.now - a.sent > Q_MAX * h.cls.objective_ms
                for h in self.open_requests.values()
                for a in h.attempts
            )
        self.f = ramp((FEW * self.q + late) / (FEW + late))
        # Staggered ramps: worth per work decides whose ramp f reaches first; the sum over cells stays f.
        total, above = sum(c.work for c in self.cells.values()), 0.0
        for cell in sorted(self.cells.values(), key=lambda c: -c.value):
            share = cell.work / total if total > 0 else 1.0
            cell.f = max(F_MIN, min((self.f - above) / share, 1.0)) if share > 0 else self.f
            above += share
        if self.f < 0.9:
            self._say("pressed", f"back end pressed: q {self.q:.2f}, letting in {self.f:.0%}")

    # --- Quotas and ceiling -----------------------------------------------------------------------------

    def _use(self, req: api.Request, plan: api.Plan) -> _Use:
        use = self.customer_quotas.get(req.customer)
        width = max(1, min(req.gateway_count, self.s.fleet_size))
        if use is not None and use.plan is not plan and use.plan.name == plan.name:
            use.plan = plan  # the plan was retuned: what the customer has used stays used
        if use is None or use.plan is not plan:
            if use is not None:
                self._settle(use)
            use = self.customer_quotas[req.customer] = _Use(
                plan, width, self.now, self.now - (self.born or 0.0)
            )
            use.ceiling_at = self.born or 0.0
        use.width, use.seen = max(use.width, width), self.now
        if plan.uses_quota_shares:
            use.name = quota_account_name(plan.name, req.customer)
        elif plan.rate > 0:  # windows start at a phase of the customer's own: no herd of calls at their edges
            digest, length = hashlib.blake2s(req.customer.encode(), digest_size=8), self._window_ms(plan)
            clock = self.now / length + int.from_bytes(digest.digest()[:2], "big") / 65536
            if int(clock) != use.window:
                name = f"{digest.hexdigest()}.{int(clock)}"
                self._roll(use, int(clock), name, self.now - clock % 1 * length)
        return use

    @staticmethod
    def _window_ms(plan: api.Plan) -> float:
        return min(max(WINDOWS * 1000.0 * plan.burst / plan.rate, 1.0), KEEP_MAX_MS / 2)

    def _roll(self, use: _Use, window: int, name: str, start: float) -> None:
        """A new window: a new count. What was left unused is carried over, the burst at most.

        Danger: a gateway that sees a customer once in many seconds rolls late; what the others used since the
        window's start is in its total, so what was left is taken at that start, too.
        """
        self.calls.pop(use.name, None)
        self._settle(use)
        use.window, use.name = window, name
        self._left(use, start)
        known = use.most if use.base is None else max(use.left, 0.0)
        # A count holds what was used since its window began: with nothing read yet, so does the time it took.
        use.base_at, use.base_left = start if use.base is None else max(start, use.left_at), known
        use.own = use.base_use = use.own - use.added  # not told yet: told in the new window
        use.added = use.base_own = 0.0
        use.calling = False
        use.base = None if use.base is None else 0.0

    def _left(self, use: _Use, at: float | None = None) -> float:
        """What is left of the quota: carried + rate x time - our use - the others' as read or estimated."""
        span = max((self.now if at is None else at) - use.left_at, 0.0)
        burst, rate = use.plan.burst, use.plan.rate / 1000
        part = min(1.0, (SPLIT if self.f >= 1 else 1.0) / use.width)
        use.most = min(burst, use.most + rate * span)
        gain, most = (0.0, burst * part) if use.base is None else (rate - use.others, burst)
        if use.base is None or self.heard < 0.5:  # nothing is known, or no more: our split at least
            gain = max(gain, rate * part)
        # Others who are refused use nothing: what they ask beyond an empty store is not owed by those after.
        use.left = max(min(most, use.left + gain * span), min(use.left, 0.0))
        use.left_at += span
        return use.left

    def _unsure(self, use: _Use, units: float) -> bool:
        """Nothing was read, or the estimate says no or maybe and the last total does not."""
        if use.plan.uses_quota_shares:
            return self.now >= use.share_rests and not self._share_has(use, units)
        if not self.s.counter_enabled or use.plan.rate <= 0 or not self._may_call():
            return False
        doubt = (max(use.others, 0.0) * (self.now - use.base_at)) ** 0.5  # the others' use may vary so much
        maybe = self._left(use) - doubt < units <= use.most
        return use.base is None or (maybe and self.rng.random() < max(use.luck, self.heard**CROWD))

    def _may_call(self) -> bool:
        """Danger: the crowd at the counter is us. Unanswered calls thin out ours; what was not told waits.

        Holds against a slow, silent or small counter alike. Hurts: totals are older while it acts.
        """
        return self.rng.random() < self.heard**CROWD or self.now > self.call_at + CALL_REST_MS

    @staticmethod
    def _spend(use: _Use, units: float) -> None:
        use.share, use.taken = use.share - units, use.taken + units
        use.own += units
        use.left -= units
        use.most -= units

    def _quota_has(self, use: _Use, units: float) -> bool:
        plan = use.plan
        if plan.parallel and (self.handed or use.open + use.elsewhere >= max(1, plan.parallel // use.width)):
            return False
        if plan.rate <= 0:
            return True
        if plan.uses_quota_shares:
            return self._share_has(use, units)
        if use.base is None and use.own == 0:
            return True  # one request costs nearly nothing, and its count call tells us more
        self._left(use)
        if use.base is None or self.heard < 0.5:
            use.left = self._draw(use.left, units)  # hurts: small parts serve by luck
        return use.left >= units - 1e-9

    def _share_has(self, use: _Use, units: float) -> bool:
        """Invariant: a share is taken out of the customer's account before it is ours, and its time began as
        we asked for it, so that it is over here before the account lets others have what we left."""
        return self.now < use.share_until and use.share >= units - 1e-9 and not self.handed

    def _ceiling_has(self, use: _Use, units: float) -> bool:
        """This gateway's part of the ceiling, 1 / width of its rate and burst, empty at our start.

        Invariant: the parts of all gateways never sum to more than the customer's store, whatever happens to
        messages, counters and clocks: they fill no faster, hold no more, and a restart only
        loses what was held.
        """
        plan = use.plan
        if plan.ceiling_rate <= 0:
            return True
        if self.handed:
            return False
        full = plan.ceiling_burst / use.width - use.loading
        gained = (self.now - use.ceiling_at) * plan.ceiling_rate / 1000 / use.width
        use.ceiling = min(full, use.ceiling + gained)
        use.ceiling_at = self.now
        return units <= use.ceiling + 1e-9

    def _sync(self, use: _Use, customer: str, reserve: float = 0.0, asked: bool = False) -> None:
        """Tell the counter, in batches that shrink as the customer nears its limit."""
        if use.plan.uses_quota_shares:
            if asked and not use.calling:
                used = use.taken / max(self.now - use.call_at, SWEEP_MS) * SHARE_OF_MS
                use.calling, use.call_at, use.taken = True, self.now, 0.0
                use.share = min(use.share, 0.0)  # by asking we give up what is left of the one before
                self.calls[use.name] = customer
                want = min(reserve + used, use.plan.burst)
                self.out.append(api.Count(use.name, want, SHARE_MS, use.plan.name, reserve))
            return
        newer = use.own - use.added + reserve  # asked and told in one; a refusal is taken off again
        if not self.s.counter_enabled or use.plan.rate <= 0 or use.calling:
            return
        if not asked and (not newer or 0 < newer * use.width < self._left(use) or not self._may_call()):
            return
        use.calling, use.call_at, self.call_at = True, self.now, self.now
        use.added += newer
        use.in_call = newer
        self.calls[use.name] = customer
        self.out.append(api.Count(use.name, newer, min(2 * self._window_ms(use.plan), KEEP_MAX_MS)))

    def _count_reply(self, reply: api.CountReply) -> None:
        customer = self.calls.get(reply.name)
        ok = reply.result == api.OK
        if customer in self.customer_quotas and self.customer_quotas[customer].plan.uses_quota_shares:
            return self._granted(self.customer_quotas[customer], reply, ok)
        self.heard += HEED * (ok - self.heard)
        if self.heard < 0.5:
            self._say("counter", "counter silent or crowded: calling less, quotas go by our estimates")
        use = self.customer_quotas.get(customer) if customer is not None else None
        if use is None or use.name != reply.name or not use.calling:
            return
        use.calling = False
        if ok:
            self._read(use, reply.total)
        elif reply.result != api.TIMED_OUT:
            use.added -= use.in_call  # a timed-out call may have counted: it is not added twice
        self._settle(use)
        if ok:
            self._sync(use, customer)

    def _granted(self, use: _Use, reply: api.CountReply, ok: bool) -> None:
        """A share, or word that there is none, or no word: then what a gateway that is cut off may spend."""
        if not use.calling or use.name != reply.name:
            return
        use.calling = False  # what is under 0 is owed: answers that cost more than was guessed
        if ok:
            use.share, use.share_until = use.share + reply.total, use.call_at + SHARE_MS
        elif not use.floored:
            use.share, use.share_until = use.share + use.plan.floor, self.now + use.plan.floor_ms
        use.floored = not ok
        if not ok or reply.total <= 0:  # there is none: not before one unit has filled
            use.share_rests = self.now + max(SWEEP_MS, 1000 / use.plan.rate)
        self._settle(use)

    def _settle(self, use: _Use) -> None:
        """Decide the requests that waited for a total."""
        waiting, use.asking = use.asking, []
        if waiting:  # danger: all gateways ask again and again for a customer who floods them
            found = use.left >= waiting[0][0].units
            use.luck = max(use.luck + HEED * (found - use.luck), 1 / use.width)
        for req, cls, aim_at, end_at in waiting:
            if self.asking.pop(req.id, None) is not None:
                self._decide(req, cls, use, aim_at, end_at, True)

    def _read(self, use: _Use, total: float) -> None:
        """A total: what the others used since the last one comes off what is left."""
        span = max(self.now - use.base_at, 1.0)
        others = total - (use.base or 0.0) - (use.added - use.base_own)
        self._left(use)
        if total >= use.added - 1e-6 and others >= -1e-6:
            gain = use.plan.rate * span / 1000
            full = use.base_left + gain - others - (use.own - use.base_use)
            if use.base is None:
                # Danger: how full the store was as the window began nobody told us; who has used in it what
                # it gives found it empty, most likely. The longer the window lasts, the more that says.
                sure = min(gain / use.plan.burst, 1.0) if use.plan.burst > 0 else 1.0
                full += sure * (use.plan.burst * max(1 - others / gain, 0.0) - full)
            # Danger: what overshot took nothing from the store, so it must not be owed ever after.
            use.left = use.most = max(min(full, use.most), 0.0)
            keep = OTHERS_MS / (OTHERS_MS + span)
            use.others = keep * use.others + (1 - keep) * others / span
        # Else the counter lost its counts: what is left stays as we know it, the count goes on from here.
        use.base, use.base_own, use.base_use = total, use.added, use.own
        use.base_left, use.base_at = use.most, self.now

    # --- Server choice and health ------------------------------------------------------------------------

    def _warmth(self, host: _Host) -> float:
        """The least part of its capacity that a host may have after its start."""
        age = self.now - host.cold_from_ms
        if not host.cold_from_ms or age >= self.s.cold_ms or self.s.cold_ms <= 0:
            return 1.0
        return self.s.cold_from + (1 - self.s.cold_from) * max(age, 0.0) / self.s.cold_ms

    def _cold_room(self, host: _Host, warmth: float, work: float) -> bool:
        """Whether our part of a cold host's budget holds `work`; a part of it is drawn for.

        The yardstick is what this gateway itself sends to a warm host, so the parts of all gateways add up to
        what the fleet sends to one, times warmth. Danger: parts under one request; one for each gateway would
        tip the host, none leave it idle. Hurts: those with no yardstick yet send lone requests only.
        """
        if self.handed:
            return False
        if self.warm_rate <= 0:
            return host.open == 0 and self.rng.random() * self.holders < 1
        most, told = COLD_MARGIN * self.s.fall_multiple, self.now - NEWS_MS < host.told_at
        idle = told and host.told_at > host.cold_from_ms and host.util < IDLE
        rate = (most if idle else min(most, 1.0)) * warmth * self.warm_rate
        span = self.now - max(host.credit_at, host.cold_from_ms)
        host.credit = min(host.credit + rate * span, rate * self.s.tip_after_ms / 2)
        host.credit_at = self.now
        host.credit = self._draw(host.credit, work)
        return host.credit >= work

    def _draw(self, part: float, whole: float) -> float:
        """A part of one unit serves nobody: a fair draw for the whole keeps the sum of all gateways right."""
        if part >= whole or part <= 0:
            return part
        return whole if self.rng.random() * whole < part else 0.0

    def _pick(self, held: _Held) -> _Host | None:
        """A cold host while our part lasts, else the least loaded; a failing one gets lone trials."""
        if not self._may_go_on(held):
            return None
        best, best_score, resting, dear = None, 0.0, [], self.s.handshake > 0
        tried = [a.host for a in held.attempts]
        risky = [a for a in held.attempts if a.ran] if held.cls.effect != "safe" else []
        for host in self.servers.values():
            if not host.up or (risky and not self._repeats(held, risky, host)):
                continue
            warmth = self._warmth(host) if host.cold_from_ms else 1.0
            ours = host.rank < self.holders
            if not ours and (warmth < 1 or host.fails):
                continue  # danger: the trials and the cold budget are for those who hold it
            if warmth < 1 and (held.loading or not self._cold_room(host, warmth, held.work)):
                continue  # danger: a body on its way is work of a later window
            if host.fails:
                if host in tried:
                    continue
                if host.open or self.now < host.down_until:
                    resting.append(host)
                    continue
                if held.cls.effect != "safe":
                    continue
                return host  # its rest is over: one safe request tries it
            if warmth < 1:
                return host
            # Danger: speed is noise of what others send; weighing it in full herds us onto one server.
            # No zone is preferred: where traffic leans to one for good, its servers alone would bear it.
            score = (host.open + 1) * host.slow**0.5 / host.nominal
            score *= (1 + NOISE * self.rng.random()) * (1 if ours else FAR)
            if dear and not (host.linked and self.now < host.linked_until):
                # Danger: among equals every choice opens a link, and each is one more for its server. It
                # never outweighs a request: those on their way count for more.
                score *= 1 + NOISE
            if host in tried:
                score *= 4
            if best is None or score < best_score:
                best, best_score = host, score
        return best if best is not None else min(resting, key=lambda h: h.down_until, default=None)

    def _unwell(self, host: _Host) -> bool:
        """Worse than its fellows. When all are slow or failing none is: then it is f that must act."""
        return host.slow > BAD * self.mid or (host.fails > 0 and not self.many_fail)

    def _judge(self, held: _Held, host: _Host, event: api.Outcome) -> None:
        """What an outcome says of its host."""
        usual = self._usual(held)
        if "util" in event.load_report:
            host.util, host.told_at = event.load_report["util"], self.now
        if event.result == api.OK:
            if host.died:
                # Danger: a host back from the dead is cold long before the list says so.
                host.cold_from_ms, host.died = max(host.cold_from_ms, self.now), False
            host.strikes = host.fails = 0
            host.slow += GAIN * (min(event.took_ms / usual, 20.0) - host.slow)
            units = max(event.billed_units or held.req.units, 1e-6)
            self.latency[held.cls.name] += GAIN / 4 * (event.took_ms / units - self.latency[held.cls.name])
            self.done += 1
        elif event.result == api.CONNECT_FAILED and held.loading and not event.nothing_sent:
            self._strike(host)  # a long body has many chances to break
        elif event.result == api.CONNECT_FAILED:
            # Danger: a dial may also break on its way; it is death when the trial after a rest fails too.
            host.died = host.died or (host.fails > 0 and self.now >= host.down_until)
            self._down(host)
        elif event.result == api.RESET:
            # Danger: one connection may break on its way while its host is well. A host that died breaks all
            # that it holds and takes no new one, which is what tells.
            self._strike(host)
        elif event.result in (api.ERROR, api.TIMED_OUT, api.FULL):
            host.slow += GAIN * (min(max(held.cls.objective_ms / usual, 2.0), 20.0) - host.slow)
            late = event.result == api.TIMED_OUT and self._unwell(host)
            self._strike(host, late or event.result == api.ERROR)

    def _strike(self, host: _Host, counts: bool = True) -> None:
        host.strikes += counts
        if host.fails or host.strikes >= STRIKES:
            self._down(host)

    def _down(self, host: _Host) -> None:
        if host.fails and self.now < host.down_until:
            return
        host.down_until = self.now + min(BACKOFF_MS * 2**host.fails, BACKOFF_MAX_MS)
        host.fails = min(host.fails + 1, 10)
        self._say("host", f"{host.name} fails: resting it")

    # --- Attempts and final answers -----------------------------------------------------------------------

    def _may_go_on(self, held: _Held) -> bool:
        """Whether a request may be sent to any server."""
        if len(held.attempts) >= held.most or held.answered or held.stream:
            return False
        if not self.s.second_copies and any(a.open for a in held.attempts):
            return False
        return held.req.body_is_buffered or not any(a.touched for a in held.attempts)  # else its body is gone

    def _repeats(self, held: _Held, risky: list[_Attempt], host: _Host) -> bool:
        """The rules on repeats, for one server: whether what may have run elsewhere may be sent to it."""
        if held.cls.effect == "unsafe":
            return False
        if self._key_left(held) < 0:
            return False
        scope = held.cls.key_scope
        return scope == "all" or all(
            a.host.zone == host.zone and (scope == "zone" or a.host.cell == host.cell) for a in risky
        )

    def _key_left(self, held: _Held) -> float:
        """How long its key is remembered yet: from the first send that may have run.

        Danger: a send that is decided inside its window may wait for a connection until past it.
        """
        if held.cls.effect != "keyed":
            return math.inf
        sent = next((a.sent for a in held.attempts if a.ran), math.inf)
        return held.cls.window_ms - 2 * self.s.tick_ms - (self.now - sent)

    def _send(self, held: _Held, host: _Host) -> None:
        """One attempt, given up when it can no longer be in time, or when it is better asked for again.

        Danger: an answer that never comes costs its whole aim, whoever lost it: a path, a stuck or a slow
        server. While answers get lost beside fast ones, what may be repeated ends early. Hurts: long jobs.
        """
        timeout = max(held.aim_at - self.now - self.s.tick_ms, min(1.0, held.end_at - self.now))
        early = max(timeout / 2, PATIENCE * self._usual(held))
        if (
            self.lost > LOST
            and held.req.body_is_buffered
            and held.cls.effect != "unsafe"
            and self.bank >= 1
            and len(held.attempts) + 1 < held.most
            and early + self._usual(held) < timeout
        ):
            timeout = early
        self.out.append(api.Send(held.req.id, host.name, timeout, self._key_left(held)))
        attempt = _Attempt(host)
        host.linked = max(host.linked - 1, 0) if self.now < host.linked_until else 0
        held.attempts.append(attempt)
        if not held.loading:
            attempt.start(self.now)
        if self._warmth(host) < 1:
            host.credit -= held.work
        else:
            self.warm_work += held.work

    def _answer(self, held: _Held) -> None:
        """The final answer of a request that will not be served."""
        may_have_run = any(a.ran for a in held.attempts)  # then a refusal would promise too much
        self.out.append(api.Fail(held.req.id) if may_have_run else api.Refuse(held.req.id, reason="gave up"))
        self._finish(held)

    def _finish(self, held: _Held | None) -> None:
        """No more is sent; attempts still out are called off, and awaited."""
        if held is None:
            return
        still = [i for i, a in enumerate(held.attempts) if a.open]
        if self.s.cancel and not held.stream and not held.answered:
            self.out.extend(api.Cancel(held.req.id, i) for i in still)
        held.answered = True
        if not still:
            self._loaded(held)
        if not still and self.open_requests.pop(held.req.id, None) is not None:
            held.use.open -= 1
            if held.claim and not any(a.ran for a in held.attempts):
                self.out.append(api.Release(held.req.id))

    def _still_out(self, event: api.Outcome | api.StreamStarted) -> tuple[_Held, _Attempt] | None:
        """Whose event it is; None if that attempt is over or was never made."""
        held = self.open_requests.get(event.request)
        if held is None or not 0 <= event.attempt < len(held.attempts):
            return None
        attempt = held.attempts[event.attempt]
        return (held, attempt) if attempt.open else None

    def _stream_started(self, event: api.StreamStarted) -> None:
        found = self._still_out(event)
        if found is None or found[0].stream:
            return
        held, attempt = found
        held.stream = True
        # Danger: how fast the client reads is not its server's load.
        attempt.stop()
        self._learn(
            held,
            attempt,
            api.Outcome(event.request, event.attempt, attempt.host.name, api.OK, event.took_ms, False),
        )
        if self.s.cancel:
            self.out.extend(
                api.Cancel(held.req.id, i)
                for i, a in enumerate(held.attempts)
                if a.open and i != event.attempt
            )

    def _uploaded(self, held: _Held | None) -> None:
        if held is not None and held.loading:
            self._loaded(held)
            held.attempts[-1].start(self.now)

    @staticmethod
    def _loaded(held: _Held) -> None:
        held.use.loading -= held.req.units * held.loading
        held.loading = False

    def _outcome(self, event: api.Outcome) -> None:
        found = self._still_out(event)
        if found is None:
            return
        held, attempt = found
        attempt.open = False
        attempt.stop()
        attempt.ran = event.result not in api.NEVER_RAN
        attempt.touched = not event.nothing_sent
        if event.result in (api.OK, api.ERROR, api.FULL):  # its link is free for the next one
            attempt.host.linked += 1
            attempt.host.linked_until = self.now + LINK_SHARE * self.s.idle_ms
        elif event.result == api.CONNECT_FAILED:
            attempt.host.linked = 0
        if event.result != api.START_EXPIRED and not (held.stream and event.result == api.OK):
            self._learn(held, attempt, event)
        if attempt.touched:
            self._loaded(held)
        if event.result == api.OK and event.billed_units > 0 and held.use.plan.rate > 0:
            self._spend(held.use, event.billed_units - held.req.units)
            self._sync(held.use, held.req.customer)
        if event.final or event.result == api.OK or held.answered:
            self._finish(held)
        elif not any(a.open for a in held.attempts) and not self._again(held, event.result):
            self._answer(held)

    def _learn(self, held: _Held, attempt: _Attempt, event: api.Outcome) -> None:
        """What the end of a server's work says of it, and of them all."""
        self._sample(held, attempt, event)
        self._judge(held, attempt.host, event)

    def _usual(self, held: _Held) -> float:
        return self.latency[held.cls.name] * max(held.req.units, 1e-6)

    def _again(self, held: _Held, result: str) -> bool:
        """A further attempt if it can still be in time and is paid for.

        One that met nobody cost no server anything. Danger: with most of its list gone a gateway would spend
        all that it may on refused dials, and give up what the next server takes.
        """
        price = result not in (api.CONNECT_FAILED, api.START_EXPIRED)
        if self.bank < price or held.aim_at - self.now <= max(self._usual(held), 2 * self.s.tick_ms):
            return False
        host = self._pick(held)
        if host is not None:
            self.bank -= price
            self._send(held, host)
        return host is not None

    # --- Timers -------------------------------------------------------------------------------------------

    def _sweep(self) -> None:
        span = max(self.now - self.sweep_due + SWEEP_MS, 1.0)
        # Danger: a rate of two a second means nothing over one second: its memory holds some outcomes, too.
        memory = max(RATE_MEMORY_MS, 3 * FEW / max(self.done_rate, 1e-9))
        memory = min(memory, self.now - self.born)
        keep = memory / (memory + span)
        self.done_rate = keep * self.done_rate + (1 - keep) * self.done / span
        self._share_out()
        held = [h for h in self.servers.values() if h.up and not h.fails and self._ours(h)]
        self.size = max(sum(h.nominal for h in held), 1e-6)
        slow = sorted(h.slow for h in self.servers.values() if h.up)
        self.mid = max(slow[len(slow) // 2], 1.0) if slow else 1.0
        self.many_fail = 2 * sum(1 for h in self.servers.values() if h.up and h.fails) > len(slow)
        warm = sum(1 for h in held if self._warmth(h) >= 1)
        if warm:
            self.warm_rate = keep * self.warm_rate + (1 - keep) * self.warm_work / span / warm
        self.done = self.warm_work = 0.0
        for cell in self.cells.values():
            cell.work *= keep
        self._update_f()
        for use in [u for u in self.customer_quotas.values() if u.asking]:
            if self.now - use.call_at > self.s.count_wait_ms + SWEEP_MS:  # danger: a reply that never comes
                use.calling = use.plan.uses_quota_shares  # a share that comes late is ours all the same
                self._settle(use)
        for customer in [c for c, u in self.customer_quotas.items() if self._stale(u)]:
            self.calls.pop(self.customer_quotas.pop(customer).name, None)
        self.sweep_due = self.now + SWEEP_MS
        self.out.append(api.Timer("sweep", SWEEP_MS))

    def _stale(self, use: _Use) -> bool:
        idle, plan = self.now - use.seen, use.plan
        memory = self._window_ms(plan) if plan.rate > 0 else RATE_MEMORY_MS
        if use.open or use.asking or idle < FORGET_WINDOWS * memory:
            return False
        # A forgotten ceiling part starts anew from our start: only one that would be full again may go.
        return plan.ceiling_rate <= 0 or idle * plan.ceiling_rate >= 1000 * plan.ceiling_burst

    def _say(self, cause: str, text: str) -> None:
        if self.now - self.said.get(cause, -1e9) >= 5000:
            self.said[cause] = self.now
            self.out.append(api.Log(text))
