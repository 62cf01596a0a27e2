"""Controller of an agent's place in the home set of idempotency keys."""

from __future__ import annotations

from datetime import datetime
from functools import singledispatchmethod

from ..claims import ClaimTable
from ..config import ConfigurationView
from ..core import DrainRequested, Effect, Event, Tick


class HomeSetController:
    """Leave the home set while the failure domain is out of service.

    Otherwise keys whose home agent is in the domain would be refused for as long
    as the domain is out.
    """

    __slots__ = ("claims", "configuration", "domain", "draining_", "leaving_")

    def __init__(
        self, *, domain: str, configuration: ConfigurationView, claims: ClaimTable
    ) -> None:
        self.domain = domain
        self.configuration = configuration
        self.claims = claims
        self.draining_ = False
        self.leaving_ = False

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: DrainRequested, now: datetime) -> list[Effect]:
        # The agent leaves at once, so that its keys move to other agents while its
        # calls finish.
        self.draining_ = True
        return self.claims.leave(now)

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        if self.draining_:
            return []
        state = self.configuration.domains_by_id.get(self.domain)
        out = state is not None and state.out
        if out and not self.leaving_:
            self.leaving_ = True
            return self.claims.leave(now)
        if not out and self.leaving_ and self.claims.away:
            self.leaving_ = False
            return self.claims.rejoin(now)
        return []
