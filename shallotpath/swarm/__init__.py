"""Transfer of weights between the VMs of a model within a time bound."""

from ._pacer import UploadPacer
from ._plan import ORIGIN, Fetch, SwarmMember, SwarmPlan
from ._rolling_update import RollingUpdate

__all__ = [
    "ORIGIN",
    "Fetch",
    "RollingUpdate",
    "SwarmMember",
    "SwarmPlan",
    "UploadPacer",
]
