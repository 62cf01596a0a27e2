"""Bounded queue with priorities and weighted fair shares of teams."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from math import ceil

from ._model import Call

MIN_WEIGHT = 1


class FairQueue:
    """Hold calls and release them by priority, then by weighted share of teams.

    Implements start-time fair queueing: each team has a virtual start time, which grows
    by cost / weight with each of its calls that runs.
    """

    __slots__ = (
        "calls_by_class_",
        "calls_by_id_",
        "capacity",
        "start_by_team_",
        "virtual_time_",
        "weight",
    )

    def __init__(self, capacity: int, weight: Callable[[str], int]) -> None:
        self.capacity = capacity
        self.weight = weight
        self.calls_by_class_: dict[int, dict[str, deque[Call]]] = {}
        self.calls_by_id_: dict[str, Call] = {}
        self.start_by_team_: dict[str, float] = {}
        self.virtual_time_ = 0.0

    def __len__(self) -> int:
        return len(self.calls_by_id_)

    def __iter__(self) -> Iterator[Call]:
        return iter(self.calls_by_id_.values())

    def push(self, call: Call, capacity: int | None = None) -> Call | None:
        """Add a call; return the call that is displaced if the queue is full."""
        capacity = self.capacity if capacity is None else capacity
        calls_by_team = self.calls_by_class_.setdefault(call.priority, {})
        calls_by_team.setdefault(call.team, deque()).append(call)
        self.calls_by_id_[call.request_id] = call
        if len(self) <= capacity:
            return None
        return self._displace()

    def charge(self, call: Call, cost: float) -> None:
        """Charge a team for a call that starts, whether or not it was queued."""
        start = max(self.start_by_team_.get(call.team, 0.0), self.virtual_time_)
        weight = max(MIN_WEIGHT, self.weight(call.team))
        self.start_by_team_[call.team] = start + cost / weight
        # A team that used idle capacity must not be served less for it later.
        self.virtual_time_ = start
        if not self.calls_by_class_:
            self._forget_idle_teams()

    def peek(self) -> Call | None:
        """Return the call that runs next."""
        if not self.calls_by_class_:
            return None
        calls_by_team = self.calls_by_class_[max(self.calls_by_class_)]
        team = min(calls_by_team, key=self._start)
        return calls_by_team[team][0]

    def pop(self) -> Call:
        """Remove and return the call that runs next."""
        call = self.peek()
        if call is None:
            raise IndexError("the queue is empty; peek before pop")
        self.remove(call)
        return call

    def remove(self, call: Call) -> None:
        """Remove a call."""
        calls_by_team = self.calls_by_class_[call.priority]
        calls_by_team[call.team].remove(call)
        del self.calls_by_id_[call.request_id]
        if not calls_by_team[call.team]:
            del calls_by_team[call.team]
        if not calls_by_team:
            del self.calls_by_class_[call.priority]

    def find(self, request_id: str) -> Call | None:
        """Return a queued call, or `None` if no such call is queued."""
        return self.calls_by_id_.get(request_id)

    def ahead(self, call: Call, *, joined: bool = False) -> int:
        """Estimate how many calls run before a new one, or before a team's last one."""
        higher = sum(
            len(calls)
            for priority, calls_by_team in self.calls_by_class_.items()
            if priority > call.priority
            for calls in calls_by_team.values()
        )
        return higher + self._ahead_in_class(call, joined)

    def last(self, priority: int, team: str) -> Call | None:
        """Return the last queued call of a team in a priority class."""
        calls = self.calls_by_class_.get(priority, {}).get(team)
        return calls[-1] if calls else None

    def tails(self) -> list[Call]:
        """Return the last queued call of each team in each priority class."""
        return [
            calls[-1]
            for calls_by_team in self.calls_by_class_.values()
            for calls in calls_by_team.values()
        ]

    def _ahead_in_class(self, call: Call, joined: bool) -> int:
        calls_by_team = self.calls_by_class_.get(call.priority, {})
        own = len(calls_by_team.get(call.team, ())) - int(joined)
        rounds = (own + 1) / max(MIN_WEIGHT, self.weight(call.team))
        return own + sum(
            min(len(calls), ceil(rounds * max(MIN_WEIGHT, self.weight(team))))
            for team, calls in calls_by_team.items()
            if team != call.team
        )

    def _start(self, team: str) -> float:
        return max(self.start_by_team_.get(team, 0.0), self.virtual_time_)

    def _displace(self) -> Call:
        """Remove the last call of the team that is furthest above its share."""
        calls_by_team = self.calls_by_class_[min(self.calls_by_class_)]
        team = max(
            calls_by_team,
            key=lambda team: (
                len(calls_by_team[team]) / max(MIN_WEIGHT, self.weight(team))
            ),
        )
        call = calls_by_team[team][-1]
        self.remove(call)
        return call

    def _forget_idle_teams(self) -> None:
        self.start_by_team_ = {
            team: start
            for team, start in self.start_by_team_.items()
            if start > self.virtual_time_
        }
