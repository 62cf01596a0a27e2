"""Neighbours and designated receivers among the agents of one version."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..core import rendezvous_order
from ..membership import Member


@dataclass(slots=True, frozen=True)
class Topology:
    """Hold the agents of one version from the view of one agent.

    The receivers of a region fetch the chunks that enter it, from the origin or
    from another region. The receivers and standbys of all regions exchange chunk
    maps, so that a standby can detect a silent receiver.
    """

    members_by_id: Mapping[str, Member]
    receivers_by_region: Mapping[str, list[str]]
    standbys_by_region: Mapping[str, list[str]]
    neighbours: frozenset[str] = field(default_factory=frozenset)

    def region_of(self, member_id: str) -> str:
        """Return the region of an agent."""
        return self.members_by_id[member_id].region

    def active_receivers(self, region: str, silent: set[str]) -> list[str]:
        """Return the receivers, with standbys in place of silent ones.

        The chunks of the other receivers keep their receiver. If all candidates
        are silent, the receivers stay as they are, since a change would not help.
        """
        receivers = list(self.receivers_by_region.get(region, ()))
        standbys = [
            member
            for member in self.standbys_by_region.get(region, ())
            if member not in silent
        ]
        for index, member in enumerate(receivers):
            if member in silent and standbys:
                receivers[index] = standbys.pop(0)
        return [member for member in receivers if member not in silent] or receivers


def build_topology(
    own_id: str,
    members_by_id: Mapping[str, Member],
    key: str,
    *,
    receivers: int,
    standbys: int,
    ring_neighbours: int,
) -> Topology:
    """Choose receivers and neighbours.

    Agents with the same members choose the same receivers.
    """
    order_by_region = {
        region: rendezvous_order(
            key, [m.id for m in members_by_id.values() if m.region == region]
        )
        for region in sorted({m.region for m in members_by_id.values()})
    }
    receivers_by_region = {
        region: order[:receivers] for region, order in order_by_region.items()
    }
    standbys_by_region = {
        region: order[receivers : receivers + standbys]
        for region, order in order_by_region.items()
    }
    neighbours: set[str] = set()
    if own_id in members_by_id:
        order = order_by_region[members_by_id[own_id].region]
        neighbours.update(ring_members(own_id, order, ring_neighbours))
        cliques = [
            [*receivers_by_region[region], *standbys_by_region[region]]
            for region in order_by_region
        ]
        if any(own_id in clique for clique in cliques):
            neighbours.update(member for clique in cliques for member in clique)
    neighbours.discard(own_id)
    return Topology(
        members_by_id, receivers_by_region, standbys_by_region, frozenset(neighbours)
    )


def ring_members(own_id: str, order: list[str], count: int) -> set[str]:
    """Return neighbours at geometric distances on both sides of a ring.

    The relation is symmetric, and the neighbours at distance 1 connect all agents.
    """
    size = len(order)
    position = order.index(own_id)
    steps = max(1, count // 2)
    offsets = {max(1, round(size ** (step / steps))) for step in range(steps)}
    return {
        order[(position + sign * offset) % size]
        for offset in offsets
        for sign in (1, -1)
    }
