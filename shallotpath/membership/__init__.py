"""Which processes exist and which of them take work."""

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
