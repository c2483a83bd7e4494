"""Any order of what can cross: all are answered once, nothing begins for who has left, nothing leaks."""

from __future__ import annotations

import dataclasses

import pytest
from conftest import CAPPED, KEYED, OPEN, PLAN, SAFE, UNSAFE, server, settings
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from yewstage import interface as api
from yewstage.policy import Gateway

SERVERS = 6
SHORT = dataclasses.replace(KEYED, window_ms=700)  # a key is forgotten before its request's time is up
CLASSES = {c.name: c for c in (SAFE, SHORT, UNSAFE)}
CAP = api.Plan("cap", parallel=6)
PLANS = (PLAN, CAPPED, OPEN, CAP)
RESULTS = [
    api.OK,
    api.ERROR,
    api.FULL,
    api.TIMED_OUT,
    api.CONNECT_FAILED,
    api.RESET,
    api.CANCELLED,
    api.START_EXPIRED,
]


@dataclasses.dataclass
class Out:
    """An attempt that is out."""

    server: str
    sent: float
    ran: bool = True  # may have, as far as anybody knows
    open: bool = True


@dataclasses.dataclass
class Asked:
    """A request, as its client and the servers see it."""

    cls: str
    kept: bool
    state: str = "open"  # then answered or left; streaming where an answer has begun
    attempts: list[Out] = dataclasses.field(default_factory=list)

    def owed(self) -> bool:
        return self.state == "open"


class Crossings(RuleBasedStateMachine):
    """The module between clients that come and go, servers, the counter, the record and its operators."""

    copies, cancel, record = False, True, False

    def __init__(self) -> None:
        super().__init__()
        self.gateway = Gateway(self.settings(), 1)
        self.now, self.serial, self.handed = 1e6, 0, False
        self.asked: dict[str, Asked] = {}
        self.counts: list[str] = []
        self.claims: list[str] = []
        self.status = dict.fromkeys((f"h{i}" for i in range(SERVERS)), "up")
        self.give(api.ServerList("kept", tuple(server(i) for i in range(SERVERS))))

    def settings(self, **changes: object) -> api.Settings:
        changes.setdefault("classes", tuple(CLASSES.values()))
        return settings(
            plans=PLANS,
            second_copies=self.copies,
            cancel=self.cancel,
            uses_claim_record=self.record,
            **changes,
        )

    # What the module is told, and what it does

    def give(self, event: api.Event) -> None:
        for act in self.gateway.handle(self.now, event):
            self.act(act)

    def act(self, act: api.Action) -> None:
        match act:
            case api.Send():
                asked = self.asked[act.request]
                assert asked.owed(), "begun for who has left, or after the answer"
                assert self.status.get(act.server) == "up", "sent to a server that drains or is gone"
                assert self.copies or not any(out.open for out in asked.attempts)
                risky = [out for out in asked.attempts if out.ran]
                assert not risky or asked.cls != "pay", "what may not be repeated was"
                if risky and asked.cls == "put":
                    assert 0 <= act.start_deadline_ms <= SHORT.window_ms - (self.now - risky[0].sent)
                asked.attempts.append(Out(act.server, self.now))
            case api.Refuse():
                asked = self.end(act.request)
                assert asked.cls == "read" or not any(out.ran for out in asked.attempts)
            case api.Fail() | api.Recall():
                self.end(act.request)
            case api.Count():
                self.counts.append(act.name)
            case api.Claim():
                self.claims.append(act.request)

    def end(self, request: str) -> Asked:
        asked = self.asked[request]
        assert asked.owed(), "answered twice, or after its client left"
        asked.state = "answered"
        return asked

    def out(self) -> list[tuple[str, int]]:
        return [
            (rid, n) for rid, asked in self.asked.items() for n, out in enumerate(asked.attempts) if out.open
        ]

    # Events, in any order

    @rule(ms=st.sampled_from([0.0, 20.0, 120.0, 750.0, 3000.0]))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule()
    def sweep(self) -> None:
        self.now += 100
        self.give(api.TimerDue("sweep"))

    @rule(
        cls=st.sampled_from(sorted(CLASSES)),
        plan=st.sampled_from(PLANS),
        customer=st.sampled_from("ab"),
        left=st.sampled_from([4.0, 400.0, 4000.0]),
        units=st.sampled_from([1.0, 3.0]),
        kept=st.booleans(),
    )
    def request(self, cls: str, plan: api.Plan, customer: str, left: float, units: float, kept: bool) -> None:
        self.serial += 1
        rid = f"r{self.serial}"
        self.asked[rid] = Asked(cls, kept)
        self.give(
            api.Request(
                rid,
                cls,
                plan.name,
                customer + plan.name,
                left,
                units,
                2,
                0,
                body_is_buffered=kept,
                cls=CLASSES[cls],
            )
        )

    @precondition(lambda self: any(asked.state != "left" for asked in self.asked.values()))
    @rule(data=st.data())
    def left(self, data: st.DataObject) -> None:
        rid = data.draw(st.sampled_from([rid for rid, asked in self.asked.items() if asked.state != "left"]))
        self.asked[rid].state = "left"
        self.give(api.ClientLeft(rid))

    @precondition(lambda self: self.out())
    @rule(data=st.data(), result=st.sampled_from(RESULTS), unbegun=st.booleans())
    def outcome(self, data: st.DataObject, result: str, unbegun: bool) -> None:
        self.ends(*data.draw(st.sampled_from(self.out())), result, unbegun and result in api.NEVER_RAN)

    def ends(self, rid: str, n: int, result: str, unbegun: bool = False) -> None:
        asked = self.asked[rid]
        out = asked.attempts[n]
        out.open, out.ran = False, result not in api.NEVER_RAN
        if asked.owed() and result == api.OK or asked.state == "streaming":
            asked.state = "answered"
        self.give(
            api.Outcome(
                rid,
                n,
                out.server,
                result,
                self.now - out.sent,
                not asked.owed(),
                billed_units=2.0 if result == api.OK else 0.0,
                nothing_sent=unbegun,
            )
        )

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def stream(self, data: st.DataObject) -> None:
        rid, n = data.draw(st.sampled_from(self.out()))
        if self.asked[rid].owed():
            self.asked[rid].state = "streaming"
            self.give(api.StreamStarted(rid, n, 5.0))

    @precondition(lambda self: self.out())
    @rule(data=st.data())
    def uploaded(self, data: st.DataObject) -> None:
        rid, _ = data.draw(st.sampled_from(self.out()))
        if not self.asked[rid].kept and self.asked[rid].owed():
            self.give(api.Uploaded(rid))

    @precondition(lambda self: self.counts)
    @rule(
        result=st.sampled_from([api.OK, api.FULL, api.TIMED_OUT, api.CONNECT_FAILED]),
        total=st.sampled_from([0.0, 5.0, 500.0]),
    )
    def counted(self, result: str, total: float) -> None:
        self.give(api.CountReply(self.counts.pop(0), result, total))

    @precondition(lambda self: self.claims)
    @rule(result=st.sampled_from(["yours", "done", "held", "silent"]))
    def claimed(self, result: str) -> None:
        self.give(api.Claimed(self.claims.pop(0), result))

    @rule(data=st.data(), status=st.sampled_from(["up", "draining", "removed"]))
    def changed(self, data: st.DataObject, status: str) -> None:
        name = data.draw(st.sampled_from(sorted(f"h{i}" for i in range(SERVERS))))
        if status == "removed":
            self.status.pop(name, None)
        else:
            self.status[name] = status
        self.give(api.ServerList("changes", (server(int(name[1:]), status=status),)))

    @rule(names=st.sets(st.integers(0, SERVERS - 1), min_size=1), restarted=st.booleans())
    def whole_list(self, names: set[int], restarted: bool) -> None:
        """What it does not name is gone, also with work on it."""
        self.status = {f"h{i}": "up" for i in names}
        born = self.now if restarted else 0.0
        self.give(api.ServerList("full", tuple(server(i, up_since_ms=born) for i in sorted(names))))

    @rule(size=st.sampled_from([2, 3, 40]), tries=st.sampled_from([1, 4]), aim=st.sampled_from([300.0, 1e3]))
    def sighup(self, size: int, tries: int, aim: float) -> None:
        classes = (dataclasses.replace(SAFE, objective_ms=aim), SHORT, UNSAFE)
        self.give(api.Retuned(self.settings(fleet_size=size, try_limit=tries, classes=classes)))

    @precondition(lambda self: not self.handed)
    @rule()
    def drain(self) -> None:
        """What is open goes on here; a next process has the rest."""
        self.handed = True
        self.gateway.hand_over()

    @invariant()
    def nothing_leaks(self) -> None:
        gateway = self.gateway
        out = {rid for rid, _ in self.out()}
        assert all(rid in out or rid in self.claims for rid in gateway.open_requests), (
            "held though it is over"
        )
        for host in gateway.servers.values():
            assert host.in_flight >= 0
        for use in gateway.customer_quotas.values():
            assert use.open_requests >= 0 and use.uploading >= -1e-9

    def teardown(self) -> None:
        """All that is out ends at last; then nothing may be owed or held."""
        while self.out() or self.claims or self.counts:
            while self.claims:
                self.give(api.Claimed(self.claims.pop(0), "silent"))
            while self.counts:
                self.give(api.CountReply(self.counts.pop(0), api.TIMED_OUT, 0.0))
            for rid, n in self.out():
                self.ends(rid, n, api.RESET)
        for _ in range(4):  # a wait for a total that was forgotten ends with the sweep
            self.now += 100
            self.give(api.TimerDue("sweep"))
        assert not self.out(), "begun though time was up"
        owed = [rid for rid, asked in self.asked.items() if asked.owed()]
        assert not owed and not self.gateway.open_requests and not self.gateway.waiting_requests
        for use in self.gateway.customer_quotas.values():
            assert use.open_requests == 0 and not use.waiting and abs(use.uploading) < 1e-9
        assert all(host.in_flight == 0 for host in self.gateway.servers.values())


@pytest.mark.parametrize(
    "how", [{}, {"copies": True}, {"cancel": False}, {"copies": True, "cancel": False}, {"record": True}]
)
def test_no_order_of_events_loses_repeats_or_leaks_a_request(how: dict) -> None:
    case = type("Crossing", (Crossings,), how).TestCase
    case.settings = hypothesis_settings(max_examples=120, stateful_step_count=40, deadline=None)
    case().runTest()
