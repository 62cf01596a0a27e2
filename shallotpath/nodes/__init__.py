"""Composition of entries and agents from their parts."""

from ._agent import AgentProcess
from ._entry import EntryProcess
from ._home_set_controller import HomeSetController
from ._process import Process, check_security
from ._served import ServedVersion

__all__ = [
    "AgentProcess",
    "EntryProcess",
    "HomeSetController",
    "Process",
    "ServedVersion",
    "check_security",
]
