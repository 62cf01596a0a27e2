"""Peer-to-peer transfer of weights between the VMs that run the same model."""

from ._newer_version import abandons_transfer
from ._origin_schedule import OriginLimits, SwarmMember, origin_order
from ._pacer import UploadPacer
from ._plan import ORIGIN, Fetch, SwarmPlan
from ._rolling_update import RollingUpdate

__all__ = [
    "ORIGIN",
    "Fetch",
    "OriginLimits",
    "RollingUpdate",
    "SwarmMember",
    "SwarmPlan",
    "UploadPacer",
    "abandons_transfer",
    "origin_order",
]
