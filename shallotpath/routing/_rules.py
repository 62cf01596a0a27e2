"""Rules that select one upstream of a pool."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from ..limits import Call, affinity_slots
from ._loads import Loads
from ._pool import Pool

# Random draws before the whole subset is scanned for a usable upstream.
MAX_DRAWS = 6
# Utilisation, including the call to be sent, up to which an upstream has capacity.
FULL_UTILISATION = 1.0

Usable = Callable[[str], bool]


class SelectionRule(Protocol):
    """Select one upstream of a pool."""

    def choose(
        self,
        call: Call,
        pool: Pool,
        subset_size: int,
        usable: Usable,
        allow_spill: bool,
    ) -> str | None:
        """Return an upstream, or `None` if none is usable.

        Calls without affinity use the first `subset_size` agents of the pool.
        `allow_spill` permits a call with affinity to use them as well if the
        upstreams that it prefers are full.
        """
        ...


class RandomRule:
    """Select any usable upstream."""

    __slots__ = ("rng",)

    def __init__(self, loads: Loads, rng: Random) -> None:
        self.rng = rng

    def choose(
        self,
        call: Call,
        pool: Pool,
        subset_size: int,
        usable: Usable,
        allow_spill: bool,
    ) -> str | None:
        """Return a random upstream of the subset."""
        return next(iter(draw_upstreams(pool, subset_size, usable, self.rng, 1)), None)


class LeastLoadedRule:
    """Select the upstream with the least reported load of the whole subset."""

    __slots__ = ("loads", "rng")

    def __init__(self, loads: Loads, rng: Random) -> None:
        self.loads = loads
        self.rng = rng

    def choose(
        self,
        call: Call,
        pool: Pool,
        subset_size: int,
        usable: Usable,
        allow_spill: bool,
    ) -> str | None:
        """Return the upstream of the subset that reported the least load."""
        ids = [pool.agent_at(index) for index in range(min(subset_size, len(pool)))]
        return min(
            filter(usable, ids), key=self.loads.reported_utilisation, default=None
        )


class TwoChoicesRule:
    """Select the less loaded of two random upstreams by estimated utilisation."""

    __slots__ = ("loads", "rng")

    def __init__(self, loads: Loads, rng: Random) -> None:
        self.loads = loads
        self.rng = rng

    def choose(
        self,
        call: Call,
        pool: Pool,
        subset_size: int,
        usable: Usable,
        allow_spill: bool,
    ) -> str | None:
        """Return the less loaded of two random upstreams of the subset."""
        drawn = draw_upstreams(pool, subset_size, usable, self.rng, 2)
        return min(drawn, key=self.loads.utilisation, default=None)


class AffinityRule:
    """Select one of two upstreams that are determined by the request.

    The first is derived from the prefix, so that equal prompts find a warm prefix
    cache, the second from the fingerprint, so that requests with a popular prefix
    spread over several upstreams. A repeated request reaches the same two.
    """

    __slots__ = ("fallback", "loads")

    def __init__(self, loads: Loads, rng: Random) -> None:
        self.loads = loads
        self.fallback = TwoChoicesRule(loads, rng)

    def choose(
        self,
        call: Call,
        pool: Pool,
        subset_size: int,
        usable: Usable,
        allow_spill: bool,
    ) -> str | None:
        """Return one of the pair, or another if both are full and spill is allowed."""
        if not call.repeatable or not (call.prefix or call.fingerprint):
            return self.fallback.choose(call, pool, subset_size, usable, allow_spill)
        pair = [id_ for id_ in affinity_pair(call, pool) if usable(id_)]
        for member_id in pair:
            if self.loads.utilisation(member_id) <= FULL_UTILISATION:
                return member_id
        if allow_spill:
            other = self.fallback.choose(call, pool, subset_size, usable, allow_spill)
            pair = [other, *pair] if other is not None else pair
        return min(pair, key=self.loads.utilisation, default=None)


def affinity_pair(call: Call, pool: Pool) -> list[str]:
    """Return the at most two upstreams that a repeatable call prefers."""
    by_prefix, by_fingerprint = map(pool.ranking, affinity_slots(call))
    others = [id_ for id_ in by_fingerprint if id_ not in by_prefix[:1]]
    return by_prefix[:1] + others[:1]


def draw_upstreams(
    pool: Pool, subset_size: int, usable: Usable, rng: Random, count: int
) -> list[str]:
    """Draw distinct usable upstreams of the subset."""
    subset_size = min(subset_size, len(pool))
    drawn: list[str] = []
    for _ in range(MAX_DRAWS if subset_size else 0):
        member_id = pool.agent_at(rng.randrange(subset_size))
        if member_id not in drawn and usable(member_id):
            drawn.append(member_id)
            if len(drawn) == count:
                return drawn
    if not drawn:
        candidates = [pool.agent_at(index) for index in range(subset_size)]
        candidates = [member_id for member_id in candidates if usable(member_id)]
        drawn = rng.sample(candidates, min(count, len(candidates)))
    return drawn
