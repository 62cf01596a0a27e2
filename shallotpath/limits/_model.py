"""Calls and the decisions that admission control makes on them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Code


@dataclass(slots=True, frozen=True)
class Call:
    """Describe a request without its body."""

    request_id: str
    service: str
    team: str
    deadline: datetime
    priority: int = 0
    prompt_bytes: int = 0
    max_tokens: int = 0
    fingerprint: str = ""
    prefix: str = ""
    key: str = ""
    repeatable: bool = True


@dataclass(slots=True, frozen=True)
class Admit:
    """Allow the call to run now."""


@dataclass(slots=True, frozen=True)
class Queue:
    """Queue the call until capacity is free or its deadline is unreachable."""


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the call before it is sent to the upstream."""

    code: Code
    retry_after: timedelta | None = None


Decision = Admit | Queue | Refuse


@dataclass(slots=True, frozen=True)
class Expired:
    """Report a queued call that can no longer run and the reason."""

    call: Call
    code: Code
