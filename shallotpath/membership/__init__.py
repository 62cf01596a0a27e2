"""Which processes exist and which of them take work."""

from ._model import Member, MembershipView, MemberState, Role, StaticMembership

__all__ = ["Member", "MemberState", "MembershipView", "Role", "StaticMembership"]
