"""Scripted scenarios: a small language and a world of the real decision parts."""

from ._checks import check_expectation, failed_expectations
from ._model import Expectation, Layout, Scenario, Step
from ._parser import ScenarioError, parse, parse_file
from ._world import MECHANISMS, World, run

__all__ = [
    "MECHANISMS",
    "Expectation",
    "Layout",
    "Scenario",
    "ScenarioError",
    "Step",
    "World",
    "check_expectation",
    "failed_expectations",
    "parse",
    "parse_file",
    "run",
]
