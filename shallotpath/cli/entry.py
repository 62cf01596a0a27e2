"""Run an entry."""

from __future__ import annotations

import asyncio

from ..nodes import EntryProcess, check_security
from ..settings import EntrySettings
from ._node import run_process
from ._program import make_program, run_app


async def run(settings: EntrySettings, stopping: asyncio.Event) -> None:
    """Serve callers until the program is stopped, then drain."""
    await run_process(EntryProcess(settings), stopping)


app = make_program(
    "shallot-entry",
    "Accept callers' requests, select an upstream, relay the response.",
    EntrySettings,
    run,
    check_security,
)


def main() -> None:
    """Run the program."""
    run_app(app)
