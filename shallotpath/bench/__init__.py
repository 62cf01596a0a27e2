"""Load generator and experiments."""

from ._burst import BurstReport, run_burst
from ._burst_load import BurstSettings
from ._burst_model import Rules
from ._core_model import CoreCost, bytes_per_upstream, measure_core

__all__ = [
    "BurstReport",
    "BurstSettings",
    "CoreCost",
    "Rules",
    "bytes_per_upstream",
    "measure_core",
    "run_burst",
]
