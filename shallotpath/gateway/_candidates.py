"""Upstreams of a service, grouped by how much an entry knows about their load."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from ._subsets import EntrySubsets
from ._upstreams import Upstream, UpstreamTable

# Upstreams that are examined for each one that is wanted, as some are not fit.
EXAMINED_PER_CANDIDATE = 4


@dataclass(slots=True, frozen=True)
class Candidates:
    """Group the upstreams of one service for one entry."""

    # Revisions of the lists that the groups were made from.
    revisions: tuple[int, int]
    # The own entry is one of their primary entries and learns of each request to them.
    preferred: tuple[Upstream, ...]
    remote_preferred: tuple[Upstream, ...]
    # All others, in the own region and in other regions.
    regional: tuple[Upstream, ...]
    remote: tuple[Upstream, ...]

    @property
    def count(self) -> int:
        """Return the number of upstreams in all groups."""
        groups = (self.preferred, self.remote_preferred, self.regional, self.remote)
        return sum(map(len, groups))


class CandidateTable:
    """Keep the groups of each service until an upstream or an entry comes or goes."""

    __slots__ = (
        "candidates_by_service_",
        "own_region",
        "region_of",
        "subsets",
        "upstreams",
    )

    def __init__(
        self,
        *,
        upstreams: UpstreamTable,
        subsets: EntrySubsets,
        own_region: str,
        region_of: Callable[[Upstream], str],
    ) -> None:
        self.upstreams = upstreams
        self.subsets = subsets
        self.own_region = own_region
        self.region_of = region_of
        self.candidates_by_service_: dict[str, Candidates] = {}

    def get(self, service: str) -> Candidates:
        """Return the groups of a service."""
        revisions = (self.upstreams.revision, self.subsets.revision)
        known = self.candidates_by_service_.get(service)
        if known is None or known.revisions != revisions:
            known = self._build(service, revisions)
            self.candidates_by_service_[service] = known
        return known

    def _build(self, service: str, revisions: tuple[int, int]) -> Candidates:
        groups: dict[tuple[bool, bool], list[Upstream]] = {}
        for upstream in self.upstreams.of_service(service):
            region = self.region_of(upstream)
            is_preferred = self.subsets.is_primary(upstream.id, region)
            key = (is_preferred, region == self.own_region)
            groups.setdefault(key, []).append(upstream)
        return Candidates(
            revisions,
            preferred=tuple(groups.get((True, True), ())),
            remote_preferred=tuple(groups.get((True, False), ())),
            regional=tuple(groups.get((False, True), ())),
            remote=tuple(groups.get((False, False), ())),
        )


def sample_fit(
    upstreams: Sequence[Upstream],
    count: int,
    is_fit: Callable[[Upstream], bool],
    random: Random,
) -> list[Upstream]:
    """Return up to a number of random upstreams that are fit.

    The cost does not grow with the number of upstreams, so a fit one may be missed.
    """
    examined = min(len(upstreams), EXAMINED_PER_CANDIDATE * count)
    found = []
    for upstream in random.sample(upstreams, examined):
        if is_fit(upstream):
            found.append(upstream)
            if len(found) == count:
                break
    return found
