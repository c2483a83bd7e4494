"""Whether a history of calls could have come about one after the other: linearizability, key by key.

The search is Wing and Gong's, with the memory of states that Lowe added: an operation may come next if it
began before any other that is left has ended. One whose answer never came may have come about at any time
after it began, or never. A key's sequential behaviour is a function, so any store can be checked.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass

NEVER = float("inf")


@dataclass(frozen=True)
class Call:
    """One call: what was asked and what was answered."""

    key: str
    asked: Hashable
    begun: float
    ended: float = NEVER  # never: no answer, so that it is not known whether it came about
    told: Hashable = None

    def line(self) -> str:
        """For people."""
        end = "no answer" if self.ended == NEVER else f"{self.ended:.4f} {self.told}"
        return f"{self.key}: {self.begun:.4f} {self.asked} -> {end}"


Step = Callable[[Hashable, Hashable], tuple[Hashable, Hashable]]  # state, asked to state, told
MOST = 200_000  # states of one search


class UndecidedError(Exception):
    """The search would take too long; nothing is said of the history."""


def linearizable(calls: Sequence[Call], start: Hashable, step: Step) -> bool:
    """Whether one key's calls have an order that explains all answers. UndecidedError past `MOST` states."""
    seen: set[tuple[frozenset[int], Hashable]] = set()
    stack: list[tuple[frozenset[int], Hashable]] = [(frozenset(range(len(calls))), start)]
    while stack:
        left, state = stack.pop()
        if all(calls[i].ended == NEVER for i in left):
            return True
        if (left, state) in seen:
            continue
        seen.add((left, state))
        if len(seen) > MOST:
            raise UndecidedError(f"over {MOST} states of {len(calls)} calls")
        first_end = min(calls[i].ended for i in left)
        for i in left:
            call = calls[i]
            if call.begun > first_end:
                continue
            after, told = step(state, call.asked)
            if call.ended == NEVER:
                if after != state:  # else it explains nothing: it may as well never come about
                    stack.append((left - {i}, after))
            elif told == call.told:
                stack.append((left - {i}, after))
    return False


def breach(calls: Sequence[Call], start: Hashable, step: Step) -> list[Call]:
    """Nothing where every key's history is linearizable. Else the shortest piece of one key's that cannot be:
    up to the first answer that does not fit, from the last quiet moment on from which it fits no state."""
    by_key: dict[str, list[Call]] = {}
    for call in sorted(calls, key=lambda call: call.begun):
        by_key.setdefault(call.key, []).append(call)
    for key in sorted(by_key):
        if not linearizable(by_key[key], start, step):
            return _shortest(by_key[key], start, step)
    return []


def _shortest(calls: list[Call], start: Hashable, step: Step) -> list[Call]:
    for end in sorted(call.ended for call in calls if call.ended != NEVER):
        cut = [call if call.ended <= end else _open(call) for call in calls if call.begun <= end]
        if not linearizable(cut, start, step):
            calls = cut
            break
    states = _states(calls, start, step)
    for moment in sorted((call.begun for call in calls), reverse=True):
        if any(call.begun < moment <= call.ended != NEVER for call in calls):
            continue  # not quiet: some call was under way
        piece = [call for call in calls if call.begun >= moment or call.ended == NEVER]
        if not any(linearizable(piece, state, step) for state in states):
            return piece
    return calls


def _states(calls: list[Call], start: Hashable, step: Step) -> set[Hashable]:
    """All states that there can be."""
    states, new = {start}, {start}
    while new:
        new = {step(state, call.asked)[0] for state in new for call in calls} - states
        states |= new
    return states


def _open(call: Call) -> Call:
    return Call(call.key, call.asked, call.begun)
