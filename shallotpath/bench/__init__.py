"""Load generator and experiments."""

from ._domain import run_domain
from ._load import LoadGenerator, LoadResult, Outcome, Request, StreamChecker
from ._naive import NaiveEntry
from ._overhead import run_overhead
from ._slow import run_slow
from ._weights import run_weights

__all__ = [
    "LoadGenerator",
    "LoadResult",
    "NaiveEntry",
    "Outcome",
    "Request",
    "StreamChecker",
    "run_domain",
    "run_overhead",
    "run_slow",
    "run_weights",
]
