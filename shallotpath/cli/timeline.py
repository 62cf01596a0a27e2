"""Program `shallot-timeline`: merge the events of all processes into one timeline."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

from aiohttp import ClientError, ClientSession, ClientTimeout
from cyclopts import App, Parameter

from .. import __version__
from ..telemetry import (
    TimelineFilter,
    TraceEvent,
    format_html,
    format_text,
    merge_events,
    parse_lines,
)
from ..webclient import open_session
from ._program import run_app

READ_TIMEOUT_S = 3.0
EXIT_UNREACHABLE = 3

app = App(
    name="shallot-timeline",
    help="Merge the events of all processes into one timeline.",
    version=f"shallot-timeline {__version__}",
)


@app.default
def show(
    *urls: Annotated[str, Parameter(help="HTTP address of each process.")],
    request: str = "",
    vm: str = "",
    domain: str = "",
    model_version: str = "",
    kind: str = "",
    text: Annotated[
        str, Parameter(help="Part of any field, such as the id of an upstream.")
    ] = "",
    lines: Annotated[
        tuple[Path, ...],
        Parameter(help="File of log lines; repeat it for further files."),
    ] = (),
    html: Annotated[
        Path | None, Parameter(help="Write a self-contained page instead of text.")
    ] = None,
) -> int:
    """Print the merged events and name the processes that did not answer."""
    if not urls and not lines:
        print(
            "no source was named; give the [node] http addresses, or --lines FILE "
            "for the output of programs on the users' platform",
            file=sys.stderr,
        )
        return 2
    events, unreachable = asyncio.run(read_all(urls))
    try:
        events += read_lines(lines)
    except OSError as error:
        print(f"{error}; name a file that can be read", file=sys.stderr)
        return EXIT_UNREACHABLE
    selection = TimelineFilter(request, vm, domain, model_version, kind, text)
    merged = merge_events(events, selection)
    if html is not None:
        html.write_text(format_html(merged), encoding="utf-8")
    else:
        print(format_text(merged))
    for url in unreachable:
        print(f"{url} did not answer; its events are missing", file=sys.stderr)
    return EXIT_UNREACHABLE if unreachable else 0


def read_lines(paths: tuple[Path, ...]) -> list[TraceEvent]:
    """Return the events of files of log lines; report how many lines were skipped."""
    events: list[TraceEvent] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            found, unreadable = parse_lines(file)
        events += found
        if unreadable:
            print(f"{path}: {unreadable} lines are not log lines", file=sys.stderr)
    return events


async def read_all(urls: tuple[str, ...]) -> tuple[list[TraceEvent], list[str]]:
    """Return the events of all processes and the addresses that did not answer."""
    async with open_session(timeout=ClientTimeout(READ_TIMEOUT_S)) as session:
        pages = await asyncio.gather(
            *(_read(session, url) for url in urls), return_exceptions=True
        )
    events: list[TraceEvent] = []
    unreachable: list[str] = []
    for url, page in zip(urls, pages, strict=True):
        if isinstance(page, ClientError | TimeoutError):
            unreachable.append(url)
        elif isinstance(page, BaseException):
            raise page
        else:
            events += page
    return events, unreachable


async def _read(session: ClientSession, url: str) -> list[TraceEvent]:
    base = url if url.startswith("http") else f"http://{url}"
    events: list[TraceEvent] = []
    after = 0
    while True:
        async with session.get(f"{base}/events?after={after}") as response:
            page = (await response.json())["events"]
        if not page:
            return events
        events += [TraceEvent(**item) for item in page]
        after = events[-1].seq


def main() -> None:
    """Run the program."""
    run_app(app)
