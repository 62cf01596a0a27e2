"""Admission and limits."""

from ._model import Admit, Call, Decision, Expired, Queue, Refuse

__all__ = ["Admit", "Call", "Decision", "Expired", "Queue", "Refuse"]
