"""Checks of a configuration before it is published.

All rules work on the decoded catalog and call the matcher and the limits that the
programs use, so that a check cannot disagree with them.
"""

from ._differences import Difference, compare_catalogs
from ._findings import Deployment, Finding, Severity
from ._rules import check_configuration

__all__ = [
    "Deployment",
    "Difference",
    "Finding",
    "Severity",
    "check_configuration",
    "compare_catalogs",
]
