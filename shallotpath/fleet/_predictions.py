"""Metrics of what an entry has learnt from the answers of upstreams."""

from __future__ import annotations

from datetime import timedelta

from ..core import Clock
from ..gateway import LatencyPredictor
from ._reporter import LineReporter

_MILLISECOND = timedelta(milliseconds=1)


def report_predictions(
    predictor: LatencyPredictor, clock: Clock, reporter: LineReporter
) -> None:
    """Set the metrics of usual times to answer and of the errors of predictions."""
    now = clock.now()
    for service, region in predictor.errors.averages_by_key_:
        delay = predictor.errors.delay(service, region, now) / _MILLISECOND
        reporter.gauge("prediction_delay_ms", delay, service=service, region=region)
    for service in predictor.loads.completions.reporting_services_:
        usual = predictor.loads.completions.usual_time(service)
        if usual is not None:
            reporter.gauge("usual_answer_ms", usual / _MILLISECOND, service=service)
