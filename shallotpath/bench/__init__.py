"""Load generator and experiments."""

from ._weights import run_weights

__all__ = ["run_weights"]
