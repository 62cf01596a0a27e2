"""Test signals around the end of a program."""

import subprocess
import sys

PROGRAM = """
import asyncio, os, signal
from shallotpath.cli._fleet_program import _run

class Process:
    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self):
        pass

    stop = drain

    def reload(self):
        pass

asyncio.run(_run(Process()))
os.kill(os.getpid(), signal.SIGHUP)
print("ended by itself")
"""


def test_reload_signal_behind_the_event_loop_does_not_end_the_program():
    # Guards against an exit by SIGHUP when the settings change at the end of a stop.
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, "ended by itself\n")
