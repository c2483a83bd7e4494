"""Random orders of concurrent events, as a state machine.

Each request is answered once, no attempt starts for a client that has left, and no state leaks.
The names of the rules and their arguments decide which orders hypothesis generates.
"""

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
SHORT = dataclasses.replace(KEYED, window_ms=700)  # the key's window ends before the request's deadline
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
class ServerAttempt:
    """An attempt, as its server sees it."""

    server: str
    sent_at: float
    may_have_run: bool = True  # until its outcome proves otherwise
    is_open: bool = True


@dataclasses.dataclass
class ClientRequest:
    """A request, as its client sees it."""

    cls: str
    kept: bool
    state: str = "open"  # open, streaming, answered or left
    attempts: list[ServerAttempt] = dataclasses.field(default_factory=list)

    def is_unanswered(self) -> bool:
        return self.state == "open"


class Crossings(RuleBasedStateMachine):
    """The decision module with simulated clients, servers, counter, claim record and operators."""

    copies, cancel, record = False, True, False

    def __init__(self) -> None:
        super().__init__()
        self.gateway = Gateway(self.settings(), 1)
        self.now, self.serial, self.has_handed_over = 1e6, 0, False
        self.client_requests: dict[str, ClientRequest] = {}
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

    # Events to the module and checks of its actions

    def give(self, event: api.Event) -> None:
        for act in self.gateway.handle(self.now, event):
            self.act(act)

    def act(self, act: api.Action) -> None:
        match act:
            case api.Send():
                client_request = self.client_requests[act.request]
                assert client_request.is_unanswered(), "attempt after the client left or the answer was given"
                assert self.status.get(act.server) == "up", "sent to a server that is draining or removed"
                assert self.copies or not any(attempt.is_open for attempt in client_request.attempts)
                risky = [attempt for attempt in client_request.attempts if attempt.may_have_run]
                assert not risky or client_request.cls != "pay", "an unsafe request was repeated"
                if risky and client_request.cls == "put":
                    assert 0 <= act.start_deadline_ms <= SHORT.window_ms - (self.now - risky[0].sent_at)
                client_request.attempts.append(ServerAttempt(act.server, self.now))
            case api.Refuse():
                client_request = self.end(act.request)
                assert client_request.cls == "read" or not any(
                    attempt.may_have_run for attempt in client_request.attempts
                )
            case api.Fail() | api.Recall():
                self.end(act.request)
            case api.Count():
                self.counts.append(act.name)
            case api.Claim():
                self.claims.append(act.request)

    def end(self, request: str) -> ClientRequest:
        client_request = self.client_requests[request]
        assert client_request.is_unanswered(), "answered twice, or after its client left"
        client_request.state = "answered"
        return client_request

    def open_attempts(self) -> list[tuple[str, int]]:
        return [
            (rid, n)
            for rid, client_request in self.client_requests.items()
            for n, attempt in enumerate(client_request.attempts)
            if attempt.is_open
        ]

    # Rules

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
        self.client_requests[rid] = ClientRequest(cls, kept)
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

    @precondition(
        lambda self: any(client_request.state != "left" for client_request in self.client_requests.values())
    )
    @rule(data=st.data())
    def left(self, data: st.DataObject) -> None:
        rid = data.draw(
            st.sampled_from(
                [
                    rid
                    for rid, client_request in self.client_requests.items()
                    if client_request.state != "left"
                ]
            )
        )
        self.client_requests[rid].state = "left"
        self.give(api.ClientLeft(rid))

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data(), result=st.sampled_from(RESULTS), unbegun=st.booleans())
    def outcome(self, data: st.DataObject, result: str, unbegun: bool) -> None:
        self.ends(
            *data.draw(st.sampled_from(self.open_attempts())), result, unbegun and result in api.NEVER_RAN
        )

    def ends(self, rid: str, n: int, result: str, unbegun: bool = False) -> None:
        client_request = self.client_requests[rid]
        attempt = client_request.attempts[n]
        attempt.is_open, attempt.may_have_run = False, result not in api.NEVER_RAN
        if client_request.is_unanswered() and result == api.OK or client_request.state == "streaming":
            client_request.state = "answered"
        self.give(
            api.Outcome(
                rid,
                n,
                attempt.server,
                result,
                self.now - attempt.sent_at,
                not client_request.is_unanswered(),
                billed_units=2.0 if result == api.OK else 0.0,
                nothing_sent=unbegun,
            )
        )

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data())
    def stream(self, data: st.DataObject) -> None:
        rid, n = data.draw(st.sampled_from(self.open_attempts()))
        if self.client_requests[rid].is_unanswered():
            self.client_requests[rid].state = "streaming"
            self.give(api.StreamStarted(rid, n, 5.0))

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data())
    def uploaded(self, data: st.DataObject) -> None:
        rid, _ = data.draw(st.sampled_from(self.open_attempts()))
        if not self.client_requests[rid].kept and self.client_requests[rid].is_unanswered():
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
        """A full list: servers that it does not name are removed, even with open attempts."""
        self.status = {f"h{i}": "up" for i in names}
        born = self.now if restarted else 0.0
        self.give(api.ServerList("full", tuple(server(i, up_since_ms=born) for i in sorted(names))))

    @rule(size=st.sampled_from([2, 3, 40]), tries=st.sampled_from([1, 4]), aim=st.sampled_from([300.0, 1e3]))
    def sighup(self, size: int, tries: int, aim: float) -> None:
        classes = (dataclasses.replace(SAFE, objective_ms=aim), SHORT, UNSAFE)
        self.give(api.Retuned(self.settings(fleet_size=size, try_limit=tries, classes=classes)))

    @precondition(lambda self: not self.has_handed_over)
    @rule()
    def drain(self) -> None:
        """Hand over: open requests stay here, new ones go to the next process."""
        self.has_handed_over = True
        self.gateway.hand_over()

    @invariant()
    def nothing_leaks(self) -> None:
        gateway = self.gateway
        with_open_attempts = {rid for rid, _ in self.open_attempts()}
        assert all(rid in with_open_attempts or rid in self.claims for rid in gateway.open_requests), (
            "request kept after its end"
        )
        for host in gateway.servers.values():
            assert host.in_flight >= 0
        for use in gateway.customer_quotas.values():
            assert use.open_requests >= 0 and use.uploading >= -1e-9

    def teardown(self) -> None:
        """End all that is open; then no request may be unanswered or kept."""
        while self.open_attempts() or self.claims or self.counts:
            while self.claims:
                self.give(api.Claimed(self.claims.pop(0), "silent"))
            while self.counts:
                self.give(api.CountReply(self.counts.pop(0), api.TIMED_OUT, 0.0))
            for rid, n in self.open_attempts():
                self.ends(rid, n, api.RESET)
        for _ in range(4):  # the sweep ends waits for lost totals
            self.now += 100
            self.give(api.TimerDue("sweep"))
        assert not self.open_attempts(), "attempt started after the deadline"
        unanswered = [
            rid for rid, client_request in self.client_requests.items() if client_request.is_unanswered()
        ]
        assert not unanswered and not self.gateway.open_requests and not self.gateway.waiting_requests
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
