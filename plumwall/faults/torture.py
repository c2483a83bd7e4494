"""Rounds of faults on real processes under load, drawn by a seed, with what must hold looked at all along.

Each key has one writer, whose versions only rise, and each write expects the revision of the one before:
what was acknowledged and is not there any more refuses the next write, however soon that comes. Others claim
and release shared keys, and every key's history has to be linearizable. Two processes want one duty; both may
never hold it at once by their own clocks, one slow and one fast, and tokens only rise. A round ends when no
copy is missing any more and every member tells a list that has all that was acknowledged.
"""

from __future__ import annotations

import asyncio
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Annotated

import msgspec
import numpy as np

from plumwall.faults.gateways import check_weights
from plumwall.faults.keyed import KeyedPlan
from plumwall.faults.linear import NEVER, Call, UndecidedError, breach
from plumwall.faults.machines import HOST, ZONES, Machine, Machines
from plumwall.faults.members import MembersPlan
from plumwall.faults.shares import SharesPlan
from yewstage.holding.group_names import LIST_GROUP
from yewstage.holding.placement import machine_name_of
from yewstage.registry.client import LeaseHolder, NoAnswerError, ServiceClient, ServiceReply

PLANS = Path(__file__).parent / "plans"
ROUND_S = 60.0  # by when all copies must be there again
FAULT_S = 1.0  # how long a pause or a cut lasts
TTL_MS = 1e8
Count = Annotated[int, msgspec.Meta(ge=0)]


class Plan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="copies"):
    """Machines lost under writers."""

    machines: Annotated[int, msgspec.Meta(ge=3, le=30)]
    copies: Annotated[int, msgspec.Meta(ge=1, le=7)]
    writers: Count
    keys: Annotated[int, msgspec.Meta(ge=1, le=1000)]
    gone_ms: float
    zone_every: Count
    keyed: Annotated[int, msgspec.Meta(ge=0, le=32)]
    faults: dict[str, float]


FAULTS = (
    "lost",
    "member_lost",
    "leader_lost",
    "killed",
    "torn",
    "earlier",
    "paused",
    "deaf",
    "mute",
    "cut",
    "full",
    "all_killed",
)
ROOM = 2000  # bytes that a file may still grow by when a disk fills
CLAIMERS = 4  # of shared keys,
KEY_S = 2.0  # each of which is used for so long: a history stays short enough to be searched
DRIFT = 0.008  # by which the clock of one holder of the duty is slow, and the other's fast; 0.01 is allowed


def read_plan(name: str) -> Plan | KeyedPlan | MembersPlan | SharesPlan:
    """A plan by its name or path; ValueError names the field."""
    path = Path(name) if name.endswith(".toml") else PLANS / f"{name}.toml"
    try:
        kinds = Plan | KeyedPlan | MembersPlan | SharesPlan
        plan = msgspec.convert(tomllib.loads(path.read_text()), kinds)
        if isinstance(plan, MembersPlan | SharesPlan):
            plan.check()
        elif isinstance(plan, Plan):
            check_weights(plan.faults, FAULTS)
    except (OSError, ValueError) as error:  # of TOML and of fields, too
        raise ValueError(f"{path}: {error}") from None
    return plan


@dataclass(frozen=True)
class Round:
    """One round's fault."""

    number: int
    fault: str
    at: int  # which machine, or which zone


def draw(plan: Plan, rounds: int, seed: int) -> list[Round]:
    """The rounds of a seed."""
    rng = np.random.default_rng(np.random.SeedSequence(seed))
    names = list(plan.faults)
    weights = np.array(list(plan.faults.values())) / sum(plan.faults.values())
    drawn = []
    for number in range(1, rounds + 1):
        fault, at = str(rng.choice(names, p=weights)), int(rng.integers(plan.machines))
        if plan.zone_every and number % plan.zone_every == 0:
            fault, at = "zone_lost", int(rng.integers(len(ZONES)))
        drawn.append(Round(number, fault, at))
    return drawn


WITH_DISK = ("lost", "member_lost", "leader_lost", "zone_lost")


class BreachError(AssertionError):
    """A promise was broken."""


@dataclass
class TortureOutcome:
    """What came of all rounds."""

    rounds: int = 0
    writes: int = 0
    unsure: int = 0  # tries without an acknowledgement
    grants: int = 0
    breach: str = ""
    after: Round | None = None
    claims: int = 0  # answered, of shared keys
    histories: int = 0  # of keys, that were found linearizable
    undecided: int = 0  # whose search would have taken too long
    gaps_s: list[float] = field(default_factory=list)  # without a write, after a leader was lost
    whole_s: list[float] = field(default_factory=list)  # until no copy was missing
    copied: dict[str, int] = field(default_factory=dict)  # bytes of that, by disk, as last told
    history: list[str] = field(default_factory=list)  # the calls that show a breach; else the last ones


class TortureLoad:
    """Writers, and two who want a duty."""

    def __init__(self, machines: Machines, plan: Plan) -> None:
        self._machines, self._plan = machines, plan
        self.begun: dict[str, int] = {}
        self.acknowledged: dict[str, int] = {}
        self.revisions: dict[str, int] = {}
        self.writes = self.unsure = 0
        self.last_at = time.monotonic()
        self.longest_s = 0.0  # without a write since this was set to 0
        self.duties: list[LeaseHolder] = []
        self.tokens: list[tuple[str, int]] = []
        self._clients: list[ServiceClient] = []
        self._tasks: list[asyncio.Task] = []
        self.breach = ""
        self.shows: list[str] = []  # the calls that show it
        self.history: list[str] = []
        self.calls: list[Call] = []  # of shared keys, not looked at yet
        self.claims = self.histories = self.undecided = 0

    def start(self) -> None:
        """Begin."""
        for writer in range(self._plan.writers):
            self._tasks.append(asyncio.create_task(self._write(writer)))
        for name, drift in (("h1", -DRIFT), ("h2", DRIFT)):
            clock = partial(_drifting, 1 + drift)
            duty = LeaseHolder(self._client(), "duty", name, 1500.0, 0.01, clock)
            self.duties.append(duty)
            self._tasks.append(asyncio.create_task(self._hold(duty, name)))
        for claimer in range(CLAIMERS if self._plan.keyed else 0):
            self._tasks.append(asyncio.create_task(self._claim(claimer)))
        self._tasks.append(asyncio.create_task(self._look()))

    async def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        for ended in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(ended, Exception) and not self.breach:
                self.breach = f"the load failed: {ended!r}"
        for client in self._clients:
            client.close()

    def _client(self) -> ServiceClient:
        client = self._machines.client()
        self._clients.append(client)
        return client

    async def _write(self, writer: int) -> None:
        client, number = self._client(), 0
        while True:
            number += 1
            key = f"w{writer}-{number % self._plan.keys}"
            version = self.begun[key] = self.begun.get(key, 0) + 1
            began = time.monotonic()
            while (told := await self._put(client, key, version)) is None or told.status != 200:
                self.unsure += 1
                if told is not None and told.status == 409:
                    self.breach = f"{key} = {version - 1} was acknowledged and is lost: {told.body}"
                    self.shows = [line for line in self.history if f" {key} = " in line][-3:]
                    self.shows.append(f"{began:.3f} {time.monotonic():.3f} {key} = {version}: {told.body}")
                    return
                await asyncio.sleep(0.02)
            self.acknowledged[key], self.revisions[key] = version, told.body["revision"]
            self.writes += 1
            now = time.monotonic()
            self.longest_s = max(self.longest_s, now - self.last_at)
            self.last_at = now
            self.history.append(f"{began:.3f} {now:.3f} {key} = {version}")
            del self.history[:-2000]
            await asyncio.sleep(0.01)

    async def _put(self, client: ServiceClient, key: str, version: int) -> ServiceReply | None:
        """One try. A repeat of one that came about says nothing new and is taken; else the revision must be
        that of the version before."""
        words = {
            "hostPort": f"{HOST}:1",
            "ttlMs": TTL_MS,
            "startedAtMs": version,
            "expect": self.revisions.get(key, 0),
        }
        try:
            async with asyncio.timeout(2.0):
                return await client.call("PUT", f"/v1/endpoints/{key}", words)
        except (NoAnswerError, TimeoutError):
            return None

    async def _hold(self, duty: LeaseHolder, name: str) -> None:
        token, rounds = 0, 0
        while True:
            rest_s = await duty.acquire_or_renew()
            if duty.token != token:
                token = duty.token
                if self.tokens and token <= self.tokens[-1][1] and self.tokens[-1][0] != name:
                    self.breach = f"{name} got token {token} after {self.tokens[-1]}"
                    self.shows = [f"{who} was granted token {number}" for who, number in self.tokens[-2:]]
                self.tokens.append((name, token))
            await asyncio.sleep(min(rest_s, 0.4))
            rounds += duty.is_held()
            if rounds % 5 == 4 and duty.is_held():
                await duty.release()  # now and then it passes on
                await asyncio.sleep(0.5)

    async def _claim(self, claimer: int) -> None:
        """Claim a key that others claim, too; if it is ours give it back."""
        client, number = self._client(), 0
        while True:
            number += 1
            key, by = f"shared-{int(time.monotonic() / KEY_S)}", f"c{claimer}/{number}"
            if await self._shared(client, key, "claim", by) == "yours":
                await asyncio.sleep(0.003 * (claimer + 1))
                await self._shared(client, key, "release", by)
            await asyncio.sleep(0.005)

    async def _shared(self, client: ServiceClient, key: str, verb: str, by: str) -> object:
        """One call, noted with its answer if it has one; 503 does not say whether it came about."""
        begun, told = time.monotonic(), None
        body = {"by": by, **({"windowMs": 600_000.0} if verb == "claim" else {})}
        try:
            async with asyncio.timeout(2.0):
                told = await client.call("POST", f"/v1/keys/{key}/{verb}", body)
        except (NoAnswerError, TimeoutError):
            pass
        known = told is not None and told.status == 200
        state = told.body.get("state") if known else None
        self.calls.append(Call(key, (verb, by), begun, time.monotonic() if known else NEVER, state))
        self.claims += known
        if not known:
            await asyncio.sleep(0.1)  # each call without an answer makes the search longer
        return state

    def look_at_shared(self, all_of_them: bool = False) -> list[Call]:
        """The fewest calls that show a history which is not linearizable, of the keys that are over."""
        newest = int(time.monotonic() / KEY_S - 1)
        over = [call for call in self.calls if all_of_them or _number(call.key) < newest]
        gone = {call.key for call in over}
        self.calls = [call for call in self.calls if call.key not in gone]
        for key in sorted(gone):
            try:
                wrong = breach([call for call in over if call.key == key], "", claimed)
            except UndecidedError:
                self.undecided += 1
                continue
            if wrong:
                return wrong
            self.histories += 1
        return []

    async def _look(self) -> None:
        while True:
            if sum(duty.is_held() for duty in self.duties) > 1:
                self.breach = f"two hold the duty at once: {self.tokens[-2:]}"
                self.shows = [f"{who} was granted token {number}" for who, number in self.tokens[-2:]]
            await asyncio.sleep(0.002)


def claimed(owner: str, asked: tuple[str, str]) -> tuple[str, str]:
    """How a key behaves: whose it is after a call, and what the caller is told."""
    verb, by = asked
    if verb == "release":
        return ("" if owner == by else owner), "free"
    return (owner, "begun") if owner not in ("", by) else (by, "yours")


def _number(key: str) -> int:
    return int(key.rpartition("-")[2])


def _drifting(rate: float) -> float:
    """A clock that runs at another rate."""
    return time.monotonic() * rate


class TortureRunner:
    """Plays rounds."""

    def __init__(
        self, machines: Machines, plan: Plan, say: Callable[[str], None] = lambda text: None
    ) -> None:
        self._machines, self._plan, self._say = machines, plan, say
        self.load = TortureLoad(machines, plan)
        self.outcome = TortureOutcome()
        self._wrong: list[Call] = []

    async def play(self, rounds: list[Round]) -> TortureOutcome:
        """All rounds, or up to the first breach."""
        machines = self._machines
        await machines.init(machines.all, self._plan.keyed)
        await machines.wait_until_replicated()
        self.load.start()
        try:
            for turn in rounds:
                await self._round(turn)
                self.outcome.rounds = turn.number
        except BreachError as breach:
            self.outcome.breach, self.outcome.after = str(breach), turn
        finally:
            await self.load.stop()
        self.outcome.history = self.load.shows or self.load.history[-200:]
        wrong = self._wrong or self.load.look_at_shared(all_of_them=True)
        if wrong:
            self.outcome.history = [call.line() for call in wrong]
            self.outcome.breach = f"the history of {wrong[0].key} is not linearizable"
        self.outcome.claims, self.outcome.histories = self.load.claims, self.load.histories
        self.outcome.undecided = self.load.undecided
        self.outcome.writes, self.outcome.unsure = self.load.writes, self.load.unsure
        self.outcome.grants = len(self.load.tokens)
        return self.outcome

    async def _round(self, turn: Round) -> None:
        leader = await self._machines.leader()
        hit = [self._machines.all[turn.at % len(self._machines.all)]]
        if turn.fault == "zone_lost":
            hit = [m for m in self._machines.all if m.zone == ZONES[turn.at]]
        elif turn.fault == "leader_lost":
            hit = [leader]
        elif turn.fault == "all_killed":
            hit = self._machines.all
        elif turn.fault == "member_lost":
            names = sorted(
                machine_name_of(m["id"])
                for m in (await self._machines.wait_until_replicated())[LIST_GROUP]["members"]
            )
            hit = [self._machines.by_name(names[turn.at % len(names)])]
        self._say(f"round {turn.number}: {turn.fault} {', '.join(m.name for m in hit)}")
        self.load.longest_s, self.load.last_at = 0.0, time.monotonic()
        began = time.monotonic()
        await self._strike(turn.fault, hit)
        try:
            async with asyncio.timeout(ROUND_S):
                await self._whole_or_broken()
                self.outcome.copied |= await self._machines.copied()
                self.outcome.whole_s.append(time.monotonic() - began)
                await self._all_tell()
        except TimeoutError:
            raise BreachError(f"round {turn.number}: not whole after {ROUND_S:.0f} s") from None
        self._wrong = self.load.look_at_shared()
        if self._wrong:
            raise BreachError("a history is not linearizable")
        if leader in hit:
            self.outcome.gaps_s.append(max(self.load.longest_s, time.monotonic() - self.load.last_at))
        if self.load.breach:
            raise BreachError(self.load.breach)

    async def _whole_or_broken(self) -> None:
        """Wait until every copy is there, or a promise was broken."""
        whole = asyncio.create_task(self._machines.wait_until_replicated())
        try:
            while not whole.done():
                if self.load.breach:
                    raise BreachError(self.load.breach)
                await asyncio.wait([whole], timeout=0.05)
            whole.result()
        finally:
            whole.cancel()
        if self.load.breach:
            raise BreachError(self.load.breach)

    async def _strike(self, fault: str, hit: list[Machine]) -> None:
        machines = self._machines
        if fault in ("paused", "deaf", "mute", "cut"):
            for machine in hit:
                if fault == "paused":
                    machine.pause()
                else:
                    machines.isolate(machine, out=fault != "deaf", into=fault != "mute")
            await asyncio.sleep(FAULT_S)
            for machine in hit:
                machine.wake()
            machines.heal()
            return
        if fault == "full":
            hit[0].fill(ROOM)
            await asyncio.sleep(FAULT_S)
            hit[0].make_room()
            return
        if fault == "earlier":
            hit[0].keep_copy()
            await asyncio.sleep(FAULT_S)
        await asyncio.gather(*(m.kill(fault in WITH_DISK) for m in hit))
        if fault == "torn":
            hit[0].tear(40)
        elif fault == "earlier":
            hit[0].bring_back()
        await asyncio.gather(*(machines.start(machine) for machine in hit))

    async def _all_tell(self) -> None:
        """Every member's list has all that was acknowledged before it was asked; within the round's time it
        has to have heard of it."""
        known = dict(self.load.acknowledged)
        status = await self._machines.wait_until_replicated()
        names = {machine_name_of(member["id"]) for member in status[LIST_GROUP]["members"]}
        for machine in self._machines.all:
            if machine.name in names:
                await self._tells(machine, known)

    async def _tells(self, machine: Machine, known: dict[str, int]) -> None:
        client = ServiceClient([(HOST, machine.listen)])
        try:
            while True:
                missing = ""
                try:
                    told = await client.call("GET", "/v1/endpoints")
                except NoAnswerError:
                    told = None
                if told is not None and told.status == 200:
                    have = {row["instanceId"]: row.get("startedAtMs", 0) for row in told.body["instances"]}
                    missing = next(
                        (
                            f"{key} = {version}, told {have.get(key)}"
                            for key, version in known.items()
                            if have.get(key, 0) < version
                        ),
                        "",
                    )
                    if not missing:
                        return
                    if await self._machines.leads(machine):
                        raise BreachError(f"{machine.name} leads and has lost {missing}")
                await asyncio.sleep(0.05)
        finally:
            client.close()


async def run_torture(
    plan: Plan, rounds: list[Round], folder: Path, say: Callable[[str], None]
) -> TortureOutcome:
    """Start the machines, play, end them."""
    async with Machines(
        folder, plan.machines, copies=plan.copies, gone_ms=plan.gone_ms, most_ttl_ms=TTL_MS
    ) as machines:
        return await TortureRunner(machines, plan, say).play(rounds)
