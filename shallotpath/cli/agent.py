"""Run an agent."""

from __future__ import annotations

import asyncio

from ..nodes import AgentProcess, check_security
from ..settings import AgentSettings
from ._node import run_process
from ._program import make_program, run_app


async def run(settings: AgentSettings, stopping: asyncio.Event) -> None:
    """Control the upstream until the program is stopped, then drain."""
    await run_process(AgentProcess(settings), stopping)


app = make_program(
    "shallot-agent",
    "Control all access to the upstream of this VM.",
    AgentSettings,
    run,
    check_security,
)


def main() -> None:
    """Run the program."""
    run_app(app)
