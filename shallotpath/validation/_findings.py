"""Findings of a check, and what the rules know of the deployment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class Severity(StrEnum):
    """Tell whether a finding contradicts what its author can have meant."""

    # Some requests cannot be served as the configuration says.
    ERROR = "error"
    # The entry has no effect, or takes effect in a way that is easily overlooked.
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class Finding:
    """Describe one fault: what it is, where it is and how to mend it."""

    severity: Severity
    # Short stable name of the rule, for scripts.
    code: str
    # Object that the finding is about, such as `route r-1`.
    place: str
    message: str


@dataclass(slots=True, frozen=True)
class Deployment:
    """Hold the limits of the deployment that a configuration is meant for.

    Rules whose limit is not known are left out.
    """

    regions_by_domain: Mapping[str, str] = field(default_factory=dict)
    # Largest request body that an entry can hold while it is otherwise idle, in bytes.
    max_body_bytes: int | None = None
    # Share of the requests that may be retried, and a number on top of it.
    budget_ratio: float | None = None
    budget_extra: float | None = None
