"""Tail a stream of the platform's log and dispatch its records to the node."""

from __future__ import annotations

import asyncio

from ..core import LogContact, PlatformError, RecordsRead
from ._platform_client import LONG_POLL_MS
from ._shell import Shell

RETRY_DELAY_S = 0.5


class LogTailer:
    """Read a stream from an offset for as long as the shell runs."""

    __slots__ = ("next_offset_", "reachable_", "shell", "stream")

    def __init__(self, shell: Shell, stream: str, start: int = 0) -> None:
        self.shell = shell
        self.stream = stream
        self.next_offset_ = start
        self.reachable_: bool | None = None

    async def run(self) -> None:
        """Read until cancelled and report whether the log answers."""
        # The first read does not wait, so that contact with an empty log is reported
        # at once.
        wait_ms = 0
        while True:
            try:
                page = await self.shell.platform.read(
                    self.stream, self.next_offset_, wait_ms=wait_ms
                )
            except PlatformError:
                self._report(False)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            wait_ms = LONG_POLL_MS
            self.next_offset_ = max(page.next_offset, page.first_offset)
            if page.records:
                self.shell.dispatch(
                    RecordsRead(self.stream, page.records, self.next_offset_)
                )
            self._report(True)

    def _report(self, reachable: bool) -> None:
        # Every successful read counts as contact, so it is reported each time.
        if reachable or self.reachable_ is not False:
            self.shell.dispatch(LogContact(self.stream, reachable))
        self.reachable_ = reachable
