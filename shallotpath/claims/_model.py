"""Decisions on claims, the state of a key and the settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

from ..core import Code, Event, RunState
from ._homes import CLAIM_WINDOW


class Phase(StrEnum):
    """Describe what a home agent knows about a key."""

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
    """Periods and bounds of a claim table."""

    # Safety does not depend on this period; orders wait that long in an outage.
    handover_timeout: timedelta = timedelta(seconds=2)
    window: timedelta = CLAIM_WINDOW
    contact_interval: timedelta = timedelta(seconds=5)
    # Longer than the hand-over period, so that a request that arrives as the
    # log fails is still decided through witnesses.
    decide_within: timedelta = timedelta(seconds=8)
    # Witnesses of a retired home agent answer within milliseconds or are gone.
    witness_read_within: timedelta = timedelta(seconds=2)
    retry_interval: timedelta = timedelta(milliseconds=500)
    # The share of the log's several hundred appends a second for all claims.
    appends_per_second: float = 200.0
    # Far below the log's retention, so that several may fail in between.
    snapshot_interval: timedelta = timedelta(minutes=10)
    max_keys: int = 50_000
    witness_count: int = 3


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """Identify a request that waits for the decision on its key."""

    request_id: str
    fresh: bool
    deadline: datetime


@dataclass(slots=True)
class KeyEntry:
    """State of one key."""

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
