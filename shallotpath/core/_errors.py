"""Errors with stable codes and messages that name a remedy."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class RunState(StrEnum):
    """Describe whether a refused or failed request was handed to an upstream."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Code(StrEnum):
    """List the stable error codes that callers and operators see."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    TEAM_LIMIT = "team_limit"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    # The failure domain is out of service.
    DOMAIN_OUT = "domain_out"
    WEIGHTS_NOT_READY = "weights_not_ready"
    QUARANTINED = "quarantined"
    ISOLATED = "isolated"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LOST = "upstream_lost"
    SLOW_READER = "slow_reader"
    CANCELLED = "cancelled"
    # A claim lets a request with an idempotency key run at one agent only.
    CLAIM_ELSEWHERE = "claim_elsewhere"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_UNKNOWN = "claim_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    BAD_FRAME = "bad_frame"
    BAD_SETTING = "bad_setting"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    REJECTED_CHANGE = "rejected_change"


class ShallotError(Exception):
    """Carry a stable code and a message that names the remedy."""

    code: ClassVar[Code] = Code.MALFORMED_REQUEST

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class FrameError(ShallotError):
    """Report a frame that cannot be decoded."""

    code = Code.BAD_FRAME


class SettingError(ShallotError):
    """Report one or more wrong settings."""

    code = Code.BAD_SETTING


class PlatformError(ShallotError):
    """Report that the platform did not answer or refused."""

    code = Code.PLATFORM_UNAVAILABLE


class RejectedChangeError(ShallotError):
    """Report a configuration change that was rejected when the log was applied."""

    code = Code.REJECTED_CHANGE
