"""Anti-entropy of the shared tables: when to ask which member, with questions and answers sent as payloads of
the membership protocol. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable

from yewstage.membership.messages import ALIVE, MemberRow
from yewstage.membership.messages import encode as encode_payload
from yewstage.membership.swim import Swim
from yewstage.shared.tables import Answer, Question, Settings, Table, Tables, parse


class SharedTables:
    """One member's copy of the tables, synchronized with the copies of the other members."""

    def __init__(
        self, swim: Swim, tables: Iterable[Table], settings: Settings, rng: random.Random, now: float
    ) -> None:
        self._swim, self._rng = swim, rng
        self.tables = Tables(swim.own_row.name, swim.own_row.start_id, tables, settings, rng, now)
        self.undecodable = 0  # payloads that could not be decoded

    def next_tick_at(self) -> float:
        """The time by which `tick` has to be called, in ms."""
        return self.tables.next_question_at

    def tick(self, now: float) -> None:
        """Ask a random live member if a question is due."""
        if now < self.tables.next_question_at or self._swim.has_left:
            return
        members = self._swim.alive()
        self.tables.members({row.name: row.start_id for row in members}, now)
        question = self.tables.ask(now)
        candidates = [row for row in members if row.state == ALIVE]
        if candidates:
            self._swim.send_payload(self._rng.choice(candidates), encode_payload(question))

    def handle(self, now: float, sender: MemberRow, data: bytes) -> None:
        """Process a payload received from a member."""
        try:
            message = parse(data)
        except ValueError:
            self.undecodable += 1
            return
        match message:
            case Question():
                for page in self.tables.answer(message, now):
                    self._swim.send_payload(sender, encode_payload(page))
            case Answer():
                self.tables.take(message, now)
