"""Table of members and the rule which of two updates is newer."""

from __future__ import annotations

from dataclasses import replace
from hashlib import blake2b
from struct import unpack
from sys import intern

from ..core import DomainSummary, MemberUpdate
from ._model import Member, MemberState, Role

RING_COUNT = 8
_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


class MemberTable:
    """Keep the newest update per member and a summary per failure domain."""

    __slots__ = ("checksums_by_domain_", "counts_by_domain_", "members_by_id_")

    def __init__(self) -> None:
        self.members_by_id_: dict[str, Member] = {}
        self.checksums_by_domain_: dict[str, int] = {}
        self.counts_by_domain_: dict[str, int] = {}

    def put(self, member: Member) -> None:
        """Store a member in place of its older state."""
        self.remove(member.id)
        self.members_by_id_[member.id] = member
        self._update_summary(member, 1)

    def remove(self, member_id: str) -> None:
        """Remove a member."""
        known = self.members_by_id_.pop(member_id, None)
        if known is not None:
            self._update_summary(known, -1)

    def summaries(self) -> list[DomainSummary]:
        """Return the summaries of all domains."""
        return [self.summary(domain) for domain in sorted(self.counts_by_domain_)]

    def summary(self, domain: str) -> DomainSummary:
        """Return the summary of one domain."""
        return DomainSummary(
            domain,
            self.counts_by_domain_.get(domain, 0),
            self.checksums_by_domain_.get(domain, 0),
        )

    def in_domain(self, domain: str) -> list[Member]:
        """Return all members of a domain, the dead ones included."""
        return [m for m in self.members_by_id_.values() if m.domain == domain]

    def _update_summary(self, member: Member, change: int) -> None:
        if member.state is MemberState.DEAD:
            return
        domain = member.domain
        checksum = self.checksums_by_domain_.get(domain, 0) ^ _checksum(member)
        self.checksums_by_domain_[domain] = checksum
        self.counts_by_domain_[domain] = self.counts_by_domain_.get(domain, 0) + change


def precedence(member: Member) -> tuple[int, int, str]:
    """Return a key that is larger for the newer of two updates of one member.

    The version is raised only by the member itself, so that a replaced VM or a
    wrongly suspected process overrides what others say about it. Incarnations
    are compared last, only to break ties in the same way everywhere.
    """
    return (member.version, _RANK_BY_STATE[member.state], member.incarnation)


def to_update(member: Member) -> MemberUpdate:
    """Return the wire form of a member."""
    return MemberUpdate(
        member.id,
        member.role.value,
        member.domain,
        member.region,
        member.address,
        member.incarnation,
        member.state.value,
        member.version,
        member.service,
        member.bulk_address,
    )


def to_member(update: MemberUpdate) -> Member | None:
    """Return the member of an update, or `None` if it names unknown values."""
    try:
        role, state = Role(update.role), MemberState(update.state)
    except ValueError:
        return None
    return Member(
        update.id,
        role,
        intern(update.domain),
        intern(update.region),
        update.address,
        update.incarnation,
        state,
        intern(update.service),
        update.bulk_address,
        update.version,
    )


def with_state(member: Member, state: MemberState) -> Member:
    """Return a member in another state."""
    return replace(member, state=state)


def ring_positions(member_id: str) -> tuple[int, ...]:
    """Return the positions of a member on the rings."""
    digest = blake2b(member_id.encode(), digest_size=8 * RING_COUNT).digest()
    return unpack(f">{RING_COUNT}Q", digest)


def _checksum(member: Member) -> int:
    # Suspicions are not sent to other domains, so they must not change the summary.
    leaving = member.state is MemberState.LEAVING
    text = f"{member.id}\x00{member.incarnation}\x00{member.version}\x00{leaving}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
