"""Decisions on claims, the state of a key and the settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

from ..core import Code, Event, RunState
from ._homes import CLAIM_WINDOW


class Phase(StrEnum):
    """Describe what a home agent knows about a key.

    `UNKNOWN` marks a key that may have run at another incarnation or whose outcome
    was lost.
    """

    PENDING = "pending"
    CLAIMED = "claimed"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ClaimState:
    """Describe the run of a claimed key; `status` is that of a finished run."""

    phase: Phase
    status: int = 0


@dataclass(slots=True, frozen=True)
class RunClaim:
    """Allow the request to run the call."""


@dataclass(slots=True, frozen=True)
class KnownClaim:
    """Report that the key was claimed before; the request does not run."""

    state: ClaimState


@dataclass(slots=True, frozen=True)
class RefuseClaim:
    """Refuse the request, which will not run."""

    code: Code
    run: RunState


ClaimDecision = RunClaim | KnownClaim | RefuseClaim


@dataclass(slots=True, frozen=True)
class ClaimDecided(Event):
    """Report the decision on one request."""

    request_id: str
    key: str
    decision: ClaimDecision


@dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Hold the periods and bounds of a claim table."""

    # Requests wait this long in an outage of the log before witnesses are asked.
    # At-most-once execution does not depend on the value.
    handover_timeout: timedelta = timedelta(seconds=2)
    window: timedelta = CLAIM_WINDOW
    contact_interval: timedelta = timedelta(seconds=5)
    # Longer than `handover_timeout`, so that a request that arrives as the log
    # fails is still decided through witnesses.
    decide_within: timedelta = timedelta(seconds=8)
    # Replaces `decide_within` for keys with unresolved claims: witnesses of a
    # retired home agent answer within milliseconds or have stopped.
    witness_read_within: timedelta = timedelta(seconds=2)
    retry_interval: timedelta = timedelta(milliseconds=500)
    # All home agents together; the log takes several hundred appends a second.
    appends_per_second: float = 200.0
    # Far below the log's retention, so that several snapshots in a row may fail.
    snapshot_interval: timedelta = timedelta(minutes=10)
    max_keys: int = 50_000
    witness_count: int = 3


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """Identify a request that waits for the decision on its key.

    `fresh` marks the first attempt, before which the key cannot have run.
    """

    request_id: str
    fresh: bool
    deadline: datetime


@dataclass(slots=True)
class KeyEntry:
    """Hold the state of one key and the requests that wait for its decision."""

    phase: Phase
    at: datetime
    status: int = 0
    waiting: list[WaitingRequest] | None = None


@dataclass(slots=True, frozen=True)
class Identity:
    """Identify the home agent that owns a claim table.

    `vm_incarnation` is that of the platform's VM list. Without it the agent is
    never retired because of the list.
    """

    service: str
    member: str
    incarnation: str
    domain: str
    vm_incarnation: str = field(default="", kw_only=True)
