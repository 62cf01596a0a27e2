"""Membership: which processes exist and which of them accept work."""

from ._membership import Membership
from ._model import Member, MembershipView, MemberState, Role, StaticMembership

__all__ = [
    "Member",
    "MemberState",
    "Membership",
    "MembershipView",
    "Role",
    "StaticMembership",
]
