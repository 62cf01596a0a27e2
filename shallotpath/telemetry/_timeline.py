"""Merge the events of all processes into one timeline."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from html import escape

from ._hlc import stamp_seconds
from ._telemetry import TraceEvent


@dataclass(slots=True, frozen=True)
class TimelineFilter:
    """Select events that match all criteria; an empty value matches any event."""

    request: str = ""
    node: str = ""
    domain: str = ""
    version: str = ""
    kind: str = ""
    # Substring of any field, such as the id of an upstream, a path or a reason.
    text: str = ""

    def matches(self, event: TraceEvent) -> bool:
        """Check whether an event is selected."""
        return (
            (not self.request or event.fields.get("request") == self.request)
            and (not self.node or event.node == self.node)
            and (not self.domain or event.domain == self.domain)
            and (not self.version or self.version in event.fields.values())
            and (not self.kind or event.kind == self.kind)
            and (
                not self.text
                or any(self.text in value for value in event.fields.values())
            )
        )


def merge_events(
    events: Iterable[TraceEvent], selection: TimelineFilter | None = None
) -> list[TraceEvent]:
    """Return the selected events in the order of their stamps."""
    selection = selection or TimelineFilter()
    selected = [event for event in events if selection.matches(event)]
    return sorted(selected, key=lambda event: (event.stamp, event.node, event.seq))


def format_text(events: list[TraceEvent]) -> str:
    """Return the timeline as text with one event on each line."""
    width = max((len(event.node) for event in events), default=0)
    return "\n".join(
        f"{_time_text(event)}  {event.node:<{width}}  {event.kind:<20}  "
        f"{_fields_text(event)}"
        for event in events
    )


def format_html(events: list[TraceEvent], title: str = "shallotpath events") -> str:
    """Return the timeline as a self-contained HTML page."""
    rows = "\n".join(
        f'<tr data-text="{escape(_search_text(event))}">'
        f"<td>{_time_text(event)}</td><td>{escape(event.domain)}</td>"
        f"<td>{escape(event.node)}</td><td>{escape(event.kind)}</td>"
        f"<td>{escape(_fields_text(event))}</td></tr>"
        for event in events
    )
    return _PAGE_TEMPLATE.format(title=escape(title), count=len(events), rows=rows)


def _time_text(event: TraceEvent) -> str:
    moment = datetime.fromtimestamp(stamp_seconds(event.stamp), UTC)
    return moment.strftime("%H:%M:%S.%f")


def _fields_text(event: TraceEvent) -> str:
    return " ".join(f"{key}={value}" for key, value in event.fields.items())


def _search_text(event: TraceEvent) -> str:
    return f"{event.domain} {event.node} {event.kind} {_fields_text(event)}".lower()


_PAGE_TEMPLATE = """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>{title}</title>
<style>
body {{ font: 14px sans-serif; margin: 1.5em; color: #222; }}
table {{ border-collapse: collapse; width: 100%; }}
td, th {{ padding: 2px 10px; text-align: left; border-bottom: 1px solid #ddd; }}
td:first-child {{ font-family: monospace; white-space: nowrap; }}
th {{ position: sticky; top: 0; background: #f4f4f4; }}
input {{ font: inherit; width: 30em; margin-bottom: 1em; padding: 4px; }}
</style>
<h1>{title}</h1>
<p>{count} events. <input id="q" placeholder="filter by request, VM, domain"></p>
<table>
<thead><tr><th>time (UTC)<th>domain<th>process<th>event<th>details</tr></thead>
<tbody id="rows">
{rows}
</tbody>
</table>
<script>
document.getElementById("q").addEventListener("input", (e) => {{
  const words = e.target.value.toLowerCase().split(/\\s+/);
  for (const row of document.getElementById("rows").rows)
    row.hidden = !words.every((w) => row.dataset.text.includes(w));
}});
</script>
</html>
"""
