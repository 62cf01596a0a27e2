"""Soak test: run the programs as loopback processes and inject seeded faults."""

from ._ledger import Violation
from ._schedule import make_schedule
from ._settings import SoakSettings
from ._verdict import Verdict
from ._world import run_soak

__all__ = ["SoakSettings", "Verdict", "Violation", "make_schedule", "run_soak"]
