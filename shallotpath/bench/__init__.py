"""Load generator and experiments."""

from ._load import LoadGenerator, LoadResult, Outcome, Request, StreamChecker

__all__ = ["LoadGenerator", "LoadResult", "Outcome", "Request", "StreamChecker"]
