"""Entries that cannot be read hide the removal of a worker from entry processes.

Another writer keeps some entries in the list of workers that cannot be read. Workers
leave meanwhile: an entry is removed, and its worker goes on serving for `drainMs` and a
little longer.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    BROKEN,
    HEARTBEAT_S,
    HELD,
    SERVER_TOPIC,
    DeskFleet,
    run_case,
)

LEAVERS = 6
FOREIGN_ENTRIES = 4
# Brackets that are never closed; a record may have 262,144 bytes.
UNREADABLE = b"[" * 100_000
SETTLING_S = 5.0


async def write_foreign_entry(fleet: DeskFleet, number: int) -> None:
    """Write an entry that cannot be read, as often as a worker writes its own."""
    await asyncio.sleep(number * HEARTBEAT_S / FOREIGN_ENTRIES)
    while True:
        fleet.store.put(SERVER_TOPIC, f"foreign-{number}", UNREADABLE)
        await asyncio.sleep(HEARTBEAT_S)


async def case(record, folder, trouble) -> int:
    """Run the case and return its exit code."""
    fleet, late = DeskFleet(record, folder), 0
    try:
        async with aiohttp.ClientSession() as session:
            await fleet.start(session, workers=3)
            await asyncio.sleep(SETTLING_S)
            if trouble:
                record.write("another writer begins to write entries")
                fleet.tasks.extend(
                    asyncio.create_task(write_foreign_entry(fleet, number))
                    for number in range(FOREIGN_ENTRIES)
                )
            for _ in range(LEAVERS):
                await fleet.add_worker()
                await asyncio.sleep(SETTLING_S)
                leaver = fleet.take_leaver()
                leaver.deregister()
                late += await fleet.count_late_arrivals(leaver, record.now())
    finally:
        await fleet.close()
    print(f"requests that reached a worker later than drainMs: {late}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case("4", case))
