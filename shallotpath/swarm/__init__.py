"""Transfer of weights between the VMs of a model within a time bound."""

from ._pacer import UploadPacer
from ._plan import ORIGIN, Fetch, SwarmMember, SwarmPlan

__all__ = ["ORIGIN", "Fetch", "SwarmMember", "SwarmPlan", "UploadPacer"]
