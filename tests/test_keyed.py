"""Idempotency keys: the record, the policy that claims keys, and gateways with a record that fails."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from conftest import KEYED, PLAN, FakeHttpServer, GatewayRig, SeenMessage, message, reply, run_on_loop
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from plumwall.faults.keyed import KeyedPlan, KeyedTorture
from yewstage import Gateway
from yewstage import interface as api
from yewstage.holding.keys import BEGUN, DONE, MAX_ANSWER_BYTES, MAX_RECORDS, KeyRecord, KeyStore
from yewstage.registry.store import RefusedError

WINDOW_MS = 1000.0
CLAIMANTS = st.sampled_from(["g1/r1", "g1/r2", "g2/r1"])
KEY = st.sampled_from(["a", "b"])


class KeysMachine(RuleBasedStateMachine):
    """Checks the store against a model: a key is one request's until its release or its window's end."""

    def __init__(self) -> None:
        super().__init__()
        self.store, self.now = KeyStore(), 0.0
        self.owner: dict[str, str] = {}
        self.ended: dict[str, str] = {}
        self.until: dict[str, float] = {}  # a key must not be forgotten earlier

    def write(self, plan: Callable[[KeyStore], dict | None]) -> bool:
        try:
            entry = plan(self.store)
        except RefusedError:
            return False
        if entry is not None:
            self.store.apply(entry, self.now)
        return True

    @rule(key=KEY, by=CLAIMANTS)
    def claim(self, key: str, by: str) -> None:
        before = self.owner.get(key)
        taken = self.write(lambda store: store.plan_claim(key, by, WINDOW_MS))
        assert taken == (before is None or (before == by and key not in self.ended))
        if taken and before is None:
            self.owner[key], self.until[key] = by, self.now + WINDOW_MS

    @rule(key=KEY, by=CLAIMANTS, answer=st.sampled_from(["x", "y"]))
    def done(self, key: str, by: str, answer: str) -> None:
        assert self.write(lambda store: store.plan_done(key, by, 200, answer)) == (self.owner.get(key) == by)
        if self.owner.get(key) == by and key not in self.ended:
            self.ended[key], self.until[key] = answer, self.now + WINDOW_MS

    @rule(key=KEY, by=CLAIMANTS)
    def release(self, key: str, by: str) -> None:
        mine = self.owner.get(key) == by
        assert self.write(lambda store: store.plan_release(key, by)) == (not mine or key not in self.ended)
        if mine and key not in self.ended:
            self.forget(key)

    @rule(ms=st.sampled_from([1.0, 500.0, 1000.0]))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule()
    def forget_expired(self) -> None:
        before = set(self.store.records)
        self.write(lambda store: store.plan_expiry(self.now))
        for key in before - set(self.store.records):
            assert self.now >= self.until[key], "forgotten before the end of its window"
            self.forget(key)

    @precondition(lambda self: self.owner)
    @rule()
    def change_leader(self) -> None:
        """Restore a snapshot; a new leader starts every window anew."""
        state = msgspec.msgpack.decode(msgspec.msgpack.encode(self.store.snapshot()))
        self.store = KeyStore.restored(None, state, self.now)
        self.until = {key: self.now + WINDOW_MS for key in self.owner}

    def forget(self, key: str) -> None:
        for known in (self.owner, self.ended, self.until):
            known.pop(key, None)

    @invariant()
    def agrees(self) -> None:
        for key, record in self.store.records.items():
            assert record.claimant == self.owner[key]
            assert record.state == (DONE if key in self.ended else BEGUN)
            assert record.answer == self.ended.get(key, "")
        assert set(self.store.records) == set(self.owner)


TestKeys = KeysMachine.TestCase


def test_a_full_record_refuses_new_keys_and_keeps_existing_ones() -> None:
    store = KeyStore()
    for i in range(MAX_RECORDS):
        store.records[str(i)] = KeyRecord("g/r", 1.0)
    with pytest.raises(RefusedError) as refused:
        store.plan_claim("more", "g/r", 1.0)
    assert refused.value.status == 503 and store.plan_claim("5", "g/r", 1.0) is None


def test_above_its_byte_limit_a_record_stores_done_without_the_answer() -> None:
    store = KeyStore()
    for i in range(3):
        store.apply(store.plan_claim(f"k{i}", "g/r", 1.0), 0.0)
        store.apply(store.plan_done(f"k{i}", "g/r", 200, "x" * (MAX_ANSWER_BYTES // 2)), 0.0)
    assert [bool(store.records[f"k{i}"].answer) for i in range(3)] == [True, True, False]
    assert store.records["k2"].state == DONE and store.answer_bytes == MAX_ANSWER_BYTES
    store.apply(store.plan_expiry(1.0), 1.0)
    assert store.answer_bytes == 0 and not store.records


# --- The policy


def gateway_with_claim() -> Gateway:
    settings = api.Settings(classes=(KEYED,), plans=(PLAN,), try_limit=3, tick_ms=4, uses_claim_record=True)
    gateway = Gateway(settings, seed=1)
    gateway.handle(0, api.ServerList("full", (api.Server("a", "za", 0), api.Server("b", "zb", 1))))
    request = api.Request("r", "put", "basic", "c", time_left_ms=2000)
    (claim,) = [act for act in gateway.handle(10, request) if not isinstance(act, api.Timer)]
    assert isinstance(claim, api.Claim) and claim.window_ms >= KEYED.window_ms + KEYED.deadline_ms
    assert 0 < claim.wait_ms <= 2000
    return gateway


@pytest.mark.parametrize(
    ("result", "answer"),
    [("done", api.Recall("r")), ("held", api.Fail("r")), ("silent", api.Refuse("r", reason="no record"))],
)
def test_a_request_whose_key_is_claimed_by_another_is_never_sent(result: str, answer: api.Action) -> None:
    gateway = gateway_with_claim()
    assert gateway.handle(20, api.Claimed("r", result)) == [answer]
    assert gateway.handle(21, api.Claimed("r", "yours")) == []  # a later result changes nothing


def test_a_claim_is_released_only_if_no_attempt_can_have_run() -> None:
    for first, released in ((api.FULL, True), (api.RESET, False)):
        gateway = gateway_with_claim()
        (send,) = gateway.handle(20, api.Claimed("r", "yours"))
        assert isinstance(send, api.Send)
        actions = gateway.handle(30, api.Outcome("r", 0, send.server, first, 5.0, False))
        for attempt in (1, 2):
            sends = [act for act in actions if isinstance(act, api.Send)]
            if sends:
                actions = gateway.handle(40, api.Outcome("r", attempt, sends[0].server, first, 5.0, False))
        assert (api.Release("r") in actions) == released, actions


def test_a_client_that_leaves_during_its_claim_releases_the_key() -> None:
    gateway = gateway_with_claim()
    assert gateway.handle(15, api.ClientLeft("r")) == [api.Release("r")]
    assert gateway.handle(20, api.Claimed("r", "yours")) == []


def test_a_request_whose_claim_is_answered_too_late_is_refused_and_releases_the_key() -> None:
    gateway = gateway_with_claim()
    assert gateway.handle(2500, api.Claimed("r", "yours")) == [
        api.Refuse("r", reason="gave up"),
        api.Release("r"),
    ]


# --- Gateways and a fake record


class FakeRecord(FakeHttpServer):
    """A fake of the holding's calls about keys, with answers given by the test."""

    def __init__(self, answer_call: Callable[[str, dict], bytes | None]) -> None:
        self.calls: list[tuple[str, dict]] = []
        super().__init__(lambda seen: self.take(seen, answer_call))

    def take(self, seen: SeenMessage, answer_call: Callable[[str, dict], bytes | None]) -> bytes | None:
        verb, body = seen.line.split()[1].rpartition("/")[2], json.loads(seen.body)
        self.calls.append((verb, body))
        return answer_call(verb, body)


def json_reply(body: dict, status: int = 200) -> bytes:
    return reply(json.dumps(body).encode(), status=status)


def run_with_record(
    tmp_path: Path,
    answer_call: Callable[[str, dict], bytes | None],
    scenario: Callable[[GatewayRig, FakeRecord], object],
) -> None:
    async def run_scenario() -> None:
        fake_record = FakeRecord(answer_call)
        await fake_record.start()
        async with GatewayRig(tmp_path, lambda seen: reply(b"effect")) as rig:
            rig.config["holding"] = [f"127.0.0.1:{fake_record.port}"]
            rig.path.write_text(json.dumps(rig.config))
            rig.process.kill()
            await rig.process.wait()
            await rig.spawn()
            while (await rig.ask(b"GET /ready HTTP/1.1\r\n\r\n")).line.split()[1] != "200":
                await asyncio.sleep(0.02)
            await scenario(rig, fake_record)
        fake_record.stop()

    run_on_loop(run_scenario, 30)


def put_request(deadline: str = "3000m") -> bytes:
    return message("put", rid=b"0123456789abcdef", deadline=deadline)


def test_a_key_is_claimed_before_the_request_and_settled_after_it(tmp_path: Path) -> None:
    async def scenario(rig: GatewayRig, fake_record: FakeRecord) -> None:
        answer = await rig.ask(put_request())
        assert answer.body == b"effect"
        await fake_record.wait_until(lambda fake: len(fake_record.calls) >= 2)
        (claim, first), (done, last) = fake_record.calls
        assert (claim, done) == ("claim", "done") and first["by"] == last["by"] and last["status"] == 200
        assert base64.b64decode(last["answer"]).endswith(b"\neffect") and len(rig.hosts[0].seen) == 1
        assert (await rig.metrics())['gateway_keyed_claims_total{result="yours"}'] == 1

    run_with_record(
        tmp_path, lambda verb, _: json_reply({"state": "yours" if verb == "claim" else "done"}), scenario
    )


def test_a_repeated_request_gets_the_stored_answer(tmp_path: Path) -> None:
    known = {"state": "done", "status": 200, "answer": base64.b64encode(b"text/plain\nas before").decode()}

    async def scenario(rig: GatewayRig, fake_record: FakeRecord) -> None:
        answer = await rig.ask(put_request())
        assert answer.body == b"as before" and not rig.hosts[0].seen
        assert answer.headers["content-type"] == "text/plain"

    run_with_record(tmp_path, lambda verb, body: json_reply(known), scenario)


@pytest.mark.parametrize(
    ("answer_call", "status"),
    [
        (lambda verb, body: None, 503),  # silent
        (lambda verb, body: b"", 503),  # connection closed during the call
        (lambda verb, body: b"nonsense", 503),
        (lambda verb, body: json_reply({"error": "no leader"}, 503), 503),
        (lambda verb, body: json_reply({"error": "elsewhere", "leader": "127.0.0.1:1"}, 421), 503),
        # Claimed by another request whose result is unknown.
        (lambda verb, body: json_reply({"state": "begun"}), 502),
        # Done without a stored answer.
        (lambda verb, body: json_reply({"state": "done", "status": 200}), 502),
        (lambda verb, body: json_reply({"state": "done", "status": 200, "answer": "%"}), 502),
        (lambda verb, body: json_reply({"state": "what"}), 502),
    ],
)
def test_without_a_valid_claim_nothing_is_sent(
    tmp_path: Path, answer_call: Callable[[str, dict], bytes | None], status: int
) -> None:
    async def scenario(rig: GatewayRig, fake_record: FakeRecord) -> None:
        assert await rig.status(put_request("800m")) == status
        assert not rig.hosts[0].seen and fake_record.calls

    run_with_record(tmp_path, answer_call, scenario)


def test_a_claim_whose_answer_was_lost_is_released(tmp_path: Path) -> None:
    async def scenario(rig: GatewayRig, fake_record: FakeRecord) -> None:
        assert await rig.status(put_request("800m")) == 503
        await fake_record.wait_until(lambda fake: any(verb == "release" for verb, _ in fake_record.calls))
        (by,) = {body["by"] for _, body in fake_record.calls}
        assert by and not rig.hosts[0].seen

    run_with_record(
        tmp_path, lambda verb, body: None if verb == "claim" else json_reply({"state": "free"}), scenario
    )


@pytest.mark.parametrize(
    ("holding", "expected_error"),
    [
        ("127.0.0.1:1", "holding: must be a list of addresses"),
        ([], "holding: must be a list of addresses"),
        (["nowhere"], "holding[0]: 'nowhere' is not HOST:PORT"),
    ],
)
def test_an_invalid_holding_field_ends_the_start(
    tmp_path: Path, holding: object, expected_error: str
) -> None:
    async def scenario() -> None:
        async with GatewayRig(tmp_path, lambda seen: reply(b"")) as rig:
            rig.config["holding"] = holding
            rig.path.write_text(json.dumps(rig.config))
            with pytest.raises(AssertionError, match="exited at its start"):
                await rig.spawn()

    run_on_loop(scenario, 20)


# --- Real gateways and machines, lost together


def keyed_plan(**changes: object) -> KeyedPlan:
    small = {"machines": 4, "servers": 3, "clients": 4, "repeats": 6, "keyed": 2}
    return KeyedPlan(**small, gone_ms=1500.0, spacing_ms=20.0, **changes)


def play_rounds(plan: KeyedPlan, rounds: int, folder: Path) -> KeyedTorture:
    torture = KeyedTorture(plan, folder, 5, lambda line: None)

    async def scenario() -> None:
        await torture.play(rounds)

    run_on_loop(scenario, 120)
    return torture


def test_no_request_runs_twice_while_gateways_are_lost_with_their_disks(tmp_path: Path) -> None:
    outcome = play_rounds(keyed_plan(), 3, tmp_path).outcome
    assert not outcome.breach and outcome.twice == 0 and outcome.rounds == 3
    assert outcome.served > 30 and outcome.repeated_answers > 0


def test_without_the_record_the_same_rounds_run_requests_twice(tmp_path: Path) -> None:
    outcome = play_rounds(keyed_plan(record=False, unheard=0.4), 1, tmp_path).outcome
    assert outcome.twice > 0 and "happened" in outcome.breach
