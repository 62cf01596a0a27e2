"""Load generator and experiments."""

from ._burst import run_burst
from ._burst_load import BurstSettings
from ._claims import run_claims
from ._config import run_config
from ._config_nodes import run_member
from ._core_model import bytes_per_upstream, measure_core
from ._domain import run_domain
from ._load import LoadGenerator, LoadResult, Outcome, Request, StreamChecker
from ._membership import measure_memory, run_membership
from ._naive import NaiveEntry
from ._overhead import run_overhead
from ._slow import run_slow
from ._weights import run_weights

__all__ = [
    "BurstSettings",
    "bytes_per_upstream",
    "measure_core",
    "run_burst",
    "run_claims",
    "LoadGenerator",
    "LoadResult",
    "NaiveEntry",
    "Outcome",
    "Request",
    "StreamChecker",
    "measure_memory",
    "run_config",
    "run_domain",
    "run_member",
    "run_membership",
    "run_overhead",
    "run_slow",
    "run_weights",
]
