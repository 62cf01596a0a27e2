"""Peer-to-peer transfer of weights between the VMs that run the same model."""

from ._origin_schedule import OriginLimits, SwarmMember, origin_order
from ._pacer import UploadPacer
from ._plan import ORIGIN, Fetch, SwarmPlan
from ._rolling_update import RollingUpdate
from ._version_planner import CurrentTransfer, TransferTimes, VersionPlanner

__all__ = [
    "ORIGIN",
    "CurrentTransfer",
    "Fetch",
    "OriginLimits",
    "RollingUpdate",
    "SwarmMember",
    "SwarmPlan",
    "TransferTimes",
    "UploadPacer",
    "VersionPlanner",
    "origin_order",
]
