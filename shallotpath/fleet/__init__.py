"""The processes that run on the users' platform."""

from ._edge import EdgeProcess
from ._mate import MateProcess
from ._member import MemberProcess
from ._reporter import BoundedWriter, LineReporter

__all__ = [
    "BoundedWriter",
    "EdgeProcess",
    "LineReporter",
    "MateProcess",
    "MemberProcess",
]
