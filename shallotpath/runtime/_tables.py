"""Connection tables whose counts go to a process's telemetry."""

from __future__ import annotations

from ..connections import ConnectionLimits, ConnectionTable
from ..core import Clock
from ._shell import Telemetry


def make_table(
    listener: str, connections: int, telemetry: Telemetry, clock: Clock
) -> ConnectionTable:
    """Return the table of a listener that keeps up to a number of connections."""

    def report(reason: str, count: int) -> None:
        fields = {"listener": listener, "reason": reason, "count": str(count)}
        telemetry.log("connections_closed", fields)

    def count(reason: str) -> None:
        labels = {"listener": listener, "reason": reason}
        telemetry.count("connections_closed", labels, 1)

    return ConnectionTable(
        ConnectionLimits(connections), clock=clock, report=report, count=count
    )
