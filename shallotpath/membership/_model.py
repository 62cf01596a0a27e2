"""Members of the system as one process knows them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class Role(StrEnum):
    """Describe what a member does."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(StrEnum):
    """Describe whether a member accepts work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True, frozen=True)
class Member:
    """Describe one process at one incarnation."""

    id: str
    role: Role
    domain: str
    region: str
    address: str
    incarnation: str
    state: MemberState = MemberState.ALIVE
    service: str = ""
    bulk_address: str = ""
    version: int = 0


class MembershipView(Protocol):
    """Read the members that this process knows."""

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """Return all known members."""
        ...


@dataclass(slots=True)
class StaticMembership:
    """Fixed set of members, for tests and embedding."""

    members_by_id: dict[str, Member] = field(default_factory=dict)
