"""Index of agents by service and failure domain."""

from __future__ import annotations

from ..membership import Member, MembershipView, MemberState, Role
from ._pool import Pool


class Directory:
    """Index the agents by service and failure domain, one member update at a time."""

    __slots__ = ("entry_id", "membership", "place_by_id_", "pools_by_service_")

    def __init__(self, entry_id: str, membership: MembershipView) -> None:
        self.entry_id = entry_id
        self.membership = membership
        # Service and failure domain of each indexed agent.
        self.place_by_id_: dict[str, tuple[str, str]] = {}
        self.pools_by_service_: dict[str, dict[str, Pool]] = {}

    def load(self) -> None:
        """Index all members; call once at startup."""
        for member_id in self.membership.members_by_id:
            self.update(member_id)

    def update(self, member_id: str) -> None:
        """Update the index for one member."""
        member = self.membership.members_by_id.get(member_id)
        place = self._place(member)
        indexed = self.place_by_id_.get(member_id)
        if place == indexed:
            return
        if indexed is not None:
            del self.place_by_id_[member_id]
            self.pools_by_service_[indexed[0]][indexed[1]].remove(member_id)
        if place is not None:
            self.place_by_id_[member_id] = place
            pools = self.pools_by_service_.setdefault(place[0], {})
            pools.setdefault(place[1], Pool(self.entry_id)).add(member_id)

    def pools(self, service: str) -> dict[str, Pool]:
        """Return the pools of a service by failure domain."""
        return self.pools_by_service_.get(service, {})

    def member(self, member_id: str) -> Member | None:
        """Return a member that accepts new calls, or `None`."""
        member = self.membership.members_by_id.get(member_id)
        if member is None or member.state is not MemberState.ALIVE:
            return None
        return member

    def _place(self, member: Member | None) -> tuple[str, str] | None:
        if member is None or member.role is not Role.AGENT or not member.service:
            return None
        # A suspect member stays indexed, so that a false suspicion does not remap
        # the requests with affinity to it.
        if member.state in (MemberState.LEAVING, MemberState.DEAD):
            return None
        return member.service, member.domain
