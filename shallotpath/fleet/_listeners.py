"""Listeners of one process, which share its descriptors and parsing time."""

from __future__ import annotations

from ..connections import (
    ConnectionLimits,
    ConnectionTable,
    DescriptorShares,
    ParsingTurns,
)
from ..core import Clock
from ..forwarding import Handler, Listener
from ..platform import ProcessSettings
from ._reporter import LineReporter


class ListenerFactory:
    """Make the listeners of a process."""

    __slots__ = ("clock", "descriptors", "reporter", "turns")

    def __init__(
        self, settings: ProcessSettings, clock: Clock, reporter: LineReporter
    ) -> None:
        self.descriptors = DescriptorShares.for_process(settings.max_descriptors)
        self.turns = ParsingTurns()
        self.clock = clock
        self.reporter = reporter

    def callers(self, handler: Handler, **options) -> Listener:
        """Return the listener for callers."""
        return self._make(handler, "callers", self.descriptors.callers, **options)

    def peers(self, handler: Handler) -> Listener:
        """Return the listener for peers."""
        return self._make(handler, "peers", self.descriptors.peers)

    def metrics(self, handler: Handler) -> Listener:
        """Return the listener for metrics."""
        return self._make(handler, "metrics", self.descriptors.monitoring)

    def readiness(self, handler: Handler) -> Listener:
        """Return the listener for readiness probes."""
        return self._make(handler, "readiness", self.descriptors.monitoring)

    def _make(
        self, handler: Handler, name: str, connections: int, **options
    ) -> Listener:
        def report(reason: str, count: int) -> None:
            self.reporter.event(
                "connections_closed", listener=name, reason=reason, count=count
            )

        def count(reason: str) -> None:
            self.reporter.count("connections_closed", listener=name, reason=reason)

        table = ConnectionTable(
            ConnectionLimits(connections),
            clock=self.clock,
            turns=self.turns,
            report=report,
            count=count,
        )
        return Listener(handler, table=table, **options)
