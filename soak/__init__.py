"""Fault soak of the platform's programs, run as separate processes on loopback."""

from ._ledger import Broken
from ._schedule import make_schedule
from ._settings import SoakSettings
from ._world import Verdict, run_soak

__all__ = ["Broken", "SoakSettings", "Verdict", "make_schedule", "run_soak"]
