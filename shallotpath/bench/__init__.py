"""Load generator and experiments."""

from ._config import run_config
from ._config_nodes import run_member
from ._membership import measure_memory, run_membership

__all__ = ["measure_memory", "run_config", "run_member", "run_membership"]
