"""Home agents, retired home agents and the home set of a service."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

from ..core import rendezvous_choice
from ._records import HomeImage, ServiceImage, UnresolvedClaimsImage, Witness


@dataclass(slots=True)
class Home:
    """Describe a home agent, active or waiting for its activation.

    `read` is the offset of the stream that it has confirmed, `seq` the number of its
    last contact record.
    """

    member: str
    incarnation: str
    domain: str
    joined_at: int
    read: int
    vm_incarnation: str = ""
    seq: int = -1
    witnesses: list[Witness] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class UnresolvedClaims:
    """Describe a retired home agent whose offline claims have not been read.

    `members` is the home set when it was retired and `read_at` the time when this
    process learned of that.
    """

    member: str
    incarnation: str
    witnesses: list[Witness]
    members: tuple[str, ...]
    read_at: datetime

    def affects(self, key: str) -> bool:
        """Check whether the retired agent was the home agent of a key."""
        return rendezvous_choice(key, self.members) == self.member


@dataclass(slots=True)
class ServiceHomes:
    """Hold the home set of one service.

    `version` increases whenever a member joins, becomes active or departs.
    """

    active_by_id: dict[str, Home] = field(default_factory=dict)
    pending_by_id: dict[str, Home] = field(default_factory=dict)
    debts_by_incarnation: dict[str, UnresolvedClaims] = field(default_factory=dict)
    version: int = 0

    def find(self, member: str, incarnation: str) -> Home | None:
        """Return a home agent at an incarnation, active or pending."""
        for homes in (self.active_by_id, self.pending_by_id):
            home = homes.get(member)
            if home is not None and home.incarnation == incarnation:
                return home
        return None

    def image(self, service: str) -> ServiceImage:
        """Return the record form of this home set."""
        return ServiceImage(
            service,
            [_home_image(home) for home in self.active_by_id.values()],
            [_home_image(home) for home in self.pending_by_id.values()],
            [
                UnresolvedClaimsImage(
                    claims.member,
                    claims.incarnation,
                    claims.witnesses,
                    list(claims.members),
                )
                for claims in self.debts_by_incarnation.values()
            ],
        )


def restore_homes(image: ServiceImage, now: datetime) -> ServiceHomes:
    """Return the home set that a snapshot carries.

    Restored unresolved claims expire a claim window after they are restored, which
    is later than needed and therefore safe.
    """
    unresolved = (
        UnresolvedClaims(
            stored.member,
            stored.incarnation,
            stored.witnesses,
            tuple(stored.members),
            now,
        )
        for stored in image.unresolved
    )
    return ServiceHomes(
        {home.member: _home(home) for home in image.active},
        {home.member: _home(home) for home in image.pending},
        {claims.incarnation: claims for claims in unresolved},
    )


def _home_image(home: Home) -> HomeImage:
    return HomeImage(
        home.member,
        home.incarnation,
        home.domain,
        home.joined_at,
        home.read,
        home.vm_incarnation,
        home.seq,
        home.witnesses,
    )


def _home(image: HomeImage) -> Home:
    return Home(
        image.member,
        image.incarnation,
        image.domain,
        image.joined_at,
        image.read,
        image.vm_incarnation,
        image.seq,
        image.witnesses,
    )
