"""Load generator and experiments."""

from ._load import LoadGenerator, LoadResult, Outcome, Request, StreamChecker
from ._naive import NaiveEntry
from ._weights import run_weights

__all__ = [
    "LoadGenerator",
    "LoadResult",
    "NaiveEntry",
    "Outcome",
    "Request",
    "StreamChecker",
    "run_weights",
]
