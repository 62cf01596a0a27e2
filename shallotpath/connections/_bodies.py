"""Share memory among the bodies that are being received, without I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import datetime


class Body:
    """Count the bytes of one body until it has arrived or is refused."""

    __slots__ = ("begun_at", "on_refused", "received_bytes", "team")

    def __init__(
        self, team: str, begun_at: datetime, on_refused: Callable[[], None]
    ) -> None:
        self.team = team
        self.begun_at = begun_at
        self.received_bytes = 0
        # Ends the request, which has not run; called at most once.
        self.on_refused = on_refused


class BodyBudget:
    """Limit the bytes of all bodies of a process."""

    __slots__ = ("bodies_", "bytes_by_team_", "held_bytes_", "limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes_ = 0
        self.bytes_by_team_: Counter[str] = Counter()
        self.bodies_: set[Body] = set()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all bodies."""
        return self.held_bytes_

    def open(self, team: str, now: datetime, on_refused: Callable[[], None]) -> Body:
        """Return the count of a new body."""
        body = Body(team, now, on_refused)
        self.bodies_.add(body)
        return body

    def receive(self, body: Body, size: int, now: datetime) -> None:
        """Count bytes that have arrived; refuse bodies until the rest fits."""
        if body not in self.bodies_:
            return
        self._add(body, size)
        while self.held_bytes_ > self.limit_bytes and self.bodies_:
            refused = self.choose_refused(now)
            self.close(refused)
            refused.on_refused()

    def complete(self, body: Body) -> None:
        """Keep a body that has arrived; it counts until `close` and is not refused."""
        self.bodies_.discard(body)

    def close(self, body: Body) -> None:
        """Forget a body; may be called twice."""
        self.bodies_.discard(body)
        self._add(body, -body.received_bytes)

    def choose_refused(self, now: datetime) -> Body:
        """Return the body that holds most for longest, of the team that holds most.

        A team with a small share keeps its bodies whatever the others send.
        """
        team = max(
            {body.team for body in self.bodies_}, key=self.bytes_by_team_.__getitem__
        )

        def cost(body: Body) -> float:
            # A body that has just begun holds its bytes too.
            age_s = 1 + (now - body.begun_at).total_seconds()
            return body.received_bytes * age_s

        return max((body for body in self.bodies_ if body.team == team), key=cost)

    def _add(self, body: Body, size: int) -> None:
        body.received_bytes += size
        self.held_bytes_ += size
        self.bytes_by_team_[body.team] += size
        if not self.bytes_by_team_[body.team]:
            del self.bytes_by_team_[body.team]
