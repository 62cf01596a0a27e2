"""Load generator and experiments."""

from ._burst import BurstReport, run_burst
from ._burst_load import BurstSettings
from ._burst_model import Rules
from ._claims import run_claims
from ._config import run_config
from ._config_nodes import run_member
from ._core_model import CoreCost, bytes_per_upstream, measure_core
from ._domain import run_domain
from ._load import LoadGenerator, LoadResult, Outcome, Request, StreamChecker
from ._membership import measure_memory, run_membership
from ._naive import NaiveEntry
from ._overhead import OverheadTarget, measure_overhead, run_overhead
from ._slow import run_slow
from ._weights import run_weights

__all__ = [
    "BurstReport",
    "BurstSettings",
    "CoreCost",
    "LoadGenerator",
    "LoadResult",
    "NaiveEntry",
    "Outcome",
    "OverheadTarget",
    "Request",
    "Rules",
    "StreamChecker",
    "bytes_per_upstream",
    "measure_core",
    "measure_memory",
    "measure_overhead",
    "run_burst",
    "run_claims",
    "run_config",
    "run_domain",
    "run_member",
    "run_membership",
    "run_overhead",
    "run_slow",
    "run_weights",
]
