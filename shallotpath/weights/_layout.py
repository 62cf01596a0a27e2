"""Neighbours, regions and receivers of the version that is transferred."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..core import rendezvous_choice
from ..membership import Member
from ._limits import TransferLimits
from ._topology import Topology, build_topology


class Layout:
    """Hold neighbours, regions and the designated receivers of one version."""

    __slots__ = (
        "digest",
        "limits",
        "member_id",
        "receiver_by_index_",
        "receivers_",
        "region_",
        "remote_neighbours_",
        "topology_",
    )

    def __init__(self, member_id: str, digest: str, limits: TransferLimits) -> None:
        self.member_id = member_id
        self.digest = digest
        self.limits = limits
        self.topology_: Topology | None = None
        self.region_: str | None = None
        self.remote_neighbours_: frozenset[str] = frozenset()
        self.receivers_: list[str] = []
        self.receiver_by_index_: dict[int, str | None] = {}

    @property
    def neighbours(self) -> frozenset[str]:
        """Return the agents that this agent exchanges chunk maps with."""
        return self.topology_.neighbours if self.topology_ else frozenset()

    def knows(self, member: str) -> bool:
        """Check whether a member is one of the present agents."""
        return self.topology_ is not None and member in self.topology_.members_by_id

    def update(self, members_by_id: Mapping[str, Member]) -> bool:
        """Set the present agents and return whether they changed."""
        topology = self.topology_
        if topology is not None and topology.members_by_id == members_by_id:
            return False
        self.topology_ = build_topology(
            self.member_id,
            members_by_id,
            self.digest,
            receivers=self.limits.receivers,
            standbys=self.limits.standbys,
            ring_neighbours=self.limits.ring_neighbours,
        )
        own = members_by_id.get(self.member_id)
        self.region_ = own.region if own else None
        self.remote_neighbours_ = frozenset(
            peer
            for peer in self.neighbours
            if members_by_id[peer].region != self.region_
        )
        return True

    def update_receivers(self, silent: Callable[[str], bool]) -> bool:
        """Replace silent receivers by standbys and return whether any changed."""
        receivers: list[str] = []
        if self.region_ is not None:
            known = {
                *self.topology_.receivers_by_region[self.region_],
                *self.topology_.standbys_by_region[self.region_],
            }
            silent_members = {member for member in known if silent(member)}
            receivers = self.topology_.active_receivers(self.region_, silent_members)
        if receivers == self.receivers_:
            return False
        self.receivers_ = receivers
        self.receiver_by_index_.clear()
        return True

    def designated(self, index: int) -> bool:
        """Check whether this agent is the one to bring a chunk into its region."""
        if index not in self.receiver_by_index_:
            self.receiver_by_index_[index] = rendezvous_choice(
                f"{self.digest}/{index}", self.receivers_
            )
        return self.receiver_by_index_[index] == self.member_id

    def crosses(self, peer: str) -> bool:
        """Check whether a neighbour is in another region."""
        return peer in self.remote_neighbours_

    def origin_region(self, region: str) -> str:
        """Return the origin's region, or the first other one if it has no agents."""
        regions = self.topology_.receivers_by_region
        return region if region in regions else min(regions, default="")
