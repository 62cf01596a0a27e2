"""Peer-to-peer transfer of weights between the VMs that run the same model."""

from ._newer_version import abandons_transfer
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
    "abandons_transfer",
]
