"""Metrics, logs, the event timeline and the HTTP endpoints that serve them."""

from ._admin import make_admin_app
from ._hlc import HybridClock, stamp_seconds
from ._lines import parse_lines
from ._metrics import Metrics
from ._telemetry import ProcessTelemetry, TraceEvent, configure_logging
from ._timeline import TimelineFilter, format_html, format_text, merge_events

__all__ = [
    "HybridClock",
    "Metrics",
    "ProcessTelemetry",
    "TimelineFilter",
    "TraceEvent",
    "configure_logging",
    "format_html",
    "format_text",
    "make_admin_app",
    "merge_events",
    "parse_lines",
    "stamp_seconds",
]
