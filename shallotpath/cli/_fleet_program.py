"""Command line of the programs that run on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Callable

from ..core import SettingError
from ..fleet import MemberProcess
from ..platform import ProcessSettings, load_process_settings

EXIT_SETTINGS = 2
# Objects of the libraries live as long as the process; frequent garbage collection
# would scan them again, which costs processor time and delays requests.
GC_YOUNG_THRESHOLD_OBJECTS = 20_000

ProcessFactory = Callable[[ProcessSettings], MemberProcess]


def run_program(name: str, help_text: str, make_process: ProcessFactory) -> None:
    """Run a program; load the command line library only if there are arguments."""
    if len(sys.argv) > 1:
        from ._fleet_command import run_options  # noqa: PLC0415

        run_options(name, help_text)
    try:
        settings = load_process_settings()
    except SettingError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD_OBJECTS, 20, 20)
    asyncio.run(_run(make_process(settings)))


async def _run(process: MemberProcess) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    await stopping.wait()
    await process.drain()
    await process.stop()
    # The handler of the event loop ends with it, and the interpreter only later.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
