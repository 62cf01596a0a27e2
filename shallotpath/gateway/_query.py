"""A request as the dispatcher looks for an upstream for it."""

from __future__ import annotations

from dataclasses import dataclass

from ..admission import UNRANKED, Level, Rank
from ._call import GatewayCall
from ._catalog import Service
from ._ranked_admission import Contender


@dataclass(slots=True, frozen=True)
class Query:
    """Hold a call, and its place among others if priorities compete."""

    call: GatewayCall
    service: Service
    contender: Contender | None = None

    @property
    def rank(self) -> Rank:
        """Return the rank of the call among the priorities of its service."""
        return UNRANKED if self.contender is None else self.contender.rank

    @property
    def level(self) -> Level | None:
        """Return the level, `None` if no priorities compete."""
        return None if self.contender is None else self.contender.level

    @property
    def minimum_share(self) -> bool:
        """Check whether the call is a part of a minimum share."""
        return self.contender is not None and self.contender.minimum_share

    @property
    def is_most_urgent(self) -> bool:
        """Check whether the request overtakes all others of its service."""
        return self.rank.ordered and self.engine_priority == 0

    @property
    def engine_priority(self) -> int:
        """Return the number that engines order requests by."""
        if self.contender is not None:
            return self.contender.engine_priority
        return UNRANKED.engine_priority(is_retry=self.call.is_retry)
