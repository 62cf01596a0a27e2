"""Admission control, adaptive limits and the isolation of suspect requests."""

from ._adaptive_limit import AdaptiveLimit
from ._designation import affinity_slot, affinity_slots, designated_agent
from ._fair_queue import FairQueue
from ._gate import Gate
from ._limit_rules import AimdRule, FixedRule, GradientRule, LimitRule
from ._memory import MemoryLedger
from ._model import Admit, Call, Decision, Expired, Queue, Refuse
from ._settings import GateSettings
from ._suspects import Suspects, Suspicion

__all__ = [
    "AdaptiveLimit",
    "Admit",
    "AimdRule",
    "Call",
    "Decision",
    "Expired",
    "FairQueue",
    "FixedRule",
    "Gate",
    "GateSettings",
    "GradientRule",
    "LimitRule",
    "MemoryLedger",
    "Queue",
    "Refuse",
    "Suspects",
    "Suspicion",
    "affinity_slot",
    "affinity_slots",
    "designated_agent",
]
