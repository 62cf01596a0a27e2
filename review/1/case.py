"""An entry process keeps sending to a worker whose removal it never learns of.

Two entry processes of one zone share one reader of the list of workers. The reader is
killed and starts again at once. Meanwhile a worker leaves: its entry is removed, and it
goes on serving for `drainMs` and a little longer.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    SERVER_TOPIC,
    DeskFleet,
    Machine,
    run_case,
)

LEAVERS = 5
# Time from the kill until the worker's entry is removed.
REMOVAL_DELAY_S = 0.15
SETTLING_S = 5.0


def find_reader(fleet: DeskFleet) -> Machine:
    """Return the machine that read the list of workers last."""
    polls = fleet.store.polls
    return max(fleet.machines, key=lambda m: polls.get(f"{m.name} {SERVER_TOPIC}", 0.0))


async def case(record, folder, trouble) -> int:
    """Run the case and return its exit code."""
    fleet, late = DeskFleet(record, folder), 0
    try:
        async with aiohttp.ClientSession() as session:
            await fleet.start(session, workers=3)
            await asyncio.sleep(SETTLING_S)
            for _ in range(LEAVERS):
                await fleet.add_worker()
                await asyncio.sleep(SETTLING_S)
                leaver = fleet.take_leaver()
                if trouble:
                    reader = find_reader(fleet)
                    await reader.kill()
                    await reader.start()
                    await asyncio.sleep(REMOVAL_DELAY_S)
                leaver.deregister()
                late += await fleet.count_late_arrivals(leaver, record.now())
    finally:
        await fleet.close()
    print(f"requests that reached a worker later than drainMs: {late}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case("1", case))
