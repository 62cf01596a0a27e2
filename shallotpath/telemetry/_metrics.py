"""Counters, gauges and histograms by name, exposed through aioprometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

PREFIX = "shallot_"
LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """Create each metric on first use."""

    __slots__ = (
        "constant_labels",
        "counters_by_name_",
        "gauges_by_name_",
        "histograms_by_name_",
        "registry_",
    )

    def __init__(self, constant_labels: dict[str, str]) -> None:
        self.constant_labels = constant_labels
        self.registry_ = Registry()
        self.counters_by_name_: dict[str, Counter] = {}
        self.gauges_by_name_: dict[str, Gauge] = {}
        self.histograms_by_name_: dict[str, Histogram] = {}

    def count(self, name: str, labels: dict[str, str], amount: int = 1) -> None:
        """Add to a counter."""
        if name not in self.counters_by_name_:
            self.counters_by_name_[name] = self._create(Counter, f"{name}_total")
        self.counters_by_name_[name].add(labels, amount)

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge."""
        if name not in self.gauges_by_name_:
            self.gauges_by_name_[name] = self._create(Gauge, name)
        self.gauges_by_name_[name].set(labels, value)

    def observe(self, name: str, labels: dict[str, str], seconds: float) -> None:
        """Add a duration to a histogram."""
        if name not in self.histograms_by_name_:
            self.histograms_by_name_[name] = self._create(
                Histogram, f"{name}_seconds", buckets=LATENCY_BUCKETS_S
            )
        self.histograms_by_name_[name].observe(labels, seconds)

    def value(self, name: str, labels: dict[str, str] | None = None) -> float:
        """Return the value of a counter or gauge, or 0 if it was never set."""
        metric = self.counters_by_name_.get(name) or self.gauges_by_name_.get(name)
        if metric is None:
            return 0
        wanted_labels = labels or {}
        return next((v for key, v in metric.get_all() if key == wanted_labels), 0)

    def expose(self, accept: list[str] | None = None) -> tuple[bytes, dict]:
        """Return the exposition text and its HTTP headers."""
        return render(self.registry_, accept or ["text/plain"])

    def _create(self, cls, name: str, **kwargs):
        doc = name.replace("_", " ").capitalize()
        return cls(
            PREFIX + name,
            doc,
            const_labels=self.constant_labels,
            registry=self.registry_,
            **kwargs,
        )
