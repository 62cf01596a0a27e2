"""The entry and sidecar processes that run on the users' platform."""

from ._edge import EdgeProcess
from ._member import MemberProcess
from ._reporter import BoundedWriter, LineReporter
from ._sidecar import SidecarProcess

__all__ = [
    "BoundedWriter",
    "EdgeProcess",
    "LineReporter",
    "SidecarProcess",
    "MemberProcess",
]
