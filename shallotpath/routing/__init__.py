"""Upstream selection and retries."""

from ._health import HealthRule, SkipRule
from ._loads import Loads
from ._pool import Pool
from ._retry import RetryPolicy
from ._router import Router
from ._rules import (
    AffinityRule,
    LeastLoadedRule,
    RandomRule,
    SelectionRule,
    TwoChoicesRule,
    affinity_pair,
)
from ._settings import RouterSettings

__all__ = [
    "AffinityRule",
    "HealthRule",
    "LeastLoadedRule",
    "Loads",
    "Pool",
    "RandomRule",
    "RetryPolicy",
    "Router",
    "RouterSettings",
    "SelectionRule",
    "SkipRule",
    "TwoChoicesRule",
    "affinity_pair",
]
