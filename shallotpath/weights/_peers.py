"""Agents that need the same version."""

from __future__ import annotations

from ..config import ConfigurationView
from ..membership import Member, MembershipView, MemberState, Role

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


def agents_by_id(
    configuration: ConfigurationView, membership: MembershipView, service: str
) -> dict[str, Member]:
    """Return the present agents of all services with the same version as this one."""
    own = configuration.services_by_id.get(service)
    if own is None:
        return {}
    wanted = (own.model, own.version)
    services = {
        other.id
        for other in configuration.services_by_id.values()
        if (other.model, other.version) == wanted
    }
    return {
        member.id: member
        for member in membership.members_by_id.values()
        if member.role is Role.AGENT
        and member.service in services
        and member.state in PRESENT_STATES
    }
