"""Tables on top of a member: whom to ask and when, questions and answers in its letters. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable

from yewstage.membership.messages import ALIVE, MemberRow
from yewstage.membership.messages import encode as encoded
from yewstage.membership.swim import Swim
from yewstage.shared.tables import Answer, Question, Settings, Table, Tables, parse


class SharedTables:
    """One member's tables, kept with those of the others."""

    def __init__(
        self, swim: Swim, tables: Iterable[Table], settings: Settings, rng: random.Random, now: float
    ) -> None:
        self._swim, self._rng = swim, rng
        self.tables = Tables(swim.own_row.name, swim.own_row.start_id, tables, settings, rng, now)
        self.nonsense = 0

    def next_at(self) -> float:
        """When `tick` is to be called at the latest."""
        return self.tables.ask_at

    def tick(self, now: float) -> None:
        """Time has passed."""
        if now < self.tables.ask_at or self._swim.left:
            return
        there = self._swim.alive()
        self.tables.members({row.name: row.start_id for row in there}, now)
        question = self.tables.ask(now)
        well = [row for row in there if row.state == ALIVE]
        if well:
            self._swim.carry(self._rng.choice(well), encoded(question))

    def handle(self, now: float, sender: MemberRow, data: bytes) -> None:
        """What a member's letter carried."""
        try:
            message = parse(data)
        except ValueError:
            self.nonsense += 1
            return
        match message:
            case Question():
                for page in self.tables.answer(message, now):
                    self._swim.carry(sender, encoded(page))
            case Answer():
                self.tables.take(message, now)
