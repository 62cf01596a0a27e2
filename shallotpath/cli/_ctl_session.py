"""Session of a shallotctl command: read the log, append a change, await its effect."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout
from rich.console import Console
from rich.table import Table

from .. import webclient
from ..config import (
    STREAM,
    Change,
    Header,
    Outcome,
    Record,
    Rejected,
    Replica,
    encode_record,
    judge,
    make_outcome,
)
from ..core import PlatformError, SettingError, parse_duration
from ..runtime import PlatformClient
from ._ctl_options import (
    EXIT_DONE,
    EXIT_REJECTED,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
    Options,
)

APPEND_ATTEMPTS = 4
# Wait before looking for a record whose append failed; it may take effect late.
RECHECK_DELAY_S = 0.3
POLL_S = 0.2
STATUS_TIMEOUT_S = 2.0
READ_LIMIT = 1000
NON_TERMINAL_WIDTH_COLUMNS = 160


@dataclass(slots=True)
class Session:
    """Hold the connections of one command and the configuration read so far."""

    options: Options
    http: ClientSession
    client: PlatformClient
    replica: Replica
    next_offset: int = 0

    async def read(self) -> Replica:
        """Read the log up to its end."""
        while True:
            page = await self.client.read(
                STREAM, self.next_offset, wait_ms=0, limit=READ_LIMIT
            )
            self.replica.add(page.records)
            self.next_offset = max(page.next_offset, page.first_offset)
            if not page.records:
                break
        if self.replica.has_gap:
            raise PlatformError(
                f"the log starts after offset {self.replica.offset} and holds no "
                "snapshot; wait until a process appends one, then repeat"
            )
        return self.replica

    async def submit(self, change: Change, base: int | None = None) -> Outcome:
        """Append a change once and return its outcome.

        `base` is the offset of the configuration that the change was derived from.
        The change is rejected rather than overwrite what was changed since then.
        """
        await self.read()
        command_id = self.options.command_id or uuid4().hex
        known = self.outcome(command_id)
        if known is not None:
            return known
        header = Header(
            command_id,
            self.options.operator_name,
            datetime.now(UTC),
            self.replica.offset if base is None else base,
        )
        record = Record(header, change)
        verdict = judge(self.replica.state_, self.replica.offset + 1, record)
        if isinstance(verdict, Rejected) or self.options.dry_run:
            return make_outcome(-1, record, verdict)
        return await self._append(record)

    def outcome(self, command_id: str) -> Outcome | None:
        """Return the outcome of a command, if the log holds it."""
        return self.replica.state_.outcomes_by_command_id.get(command_id)

    async def _append(self, record: Record) -> Outcome:
        data = encode_record(record)
        command_id = record.header.command_id
        for _ in range(APPEND_ATTEMPTS):
            try:
                await self.client.append(STREAM, [data])
            except PlatformError:
                await asyncio.sleep(RECHECK_DELAY_S)
            # The answer may be lost although the append took effect.
            outcome = await self._find_outcome(command_id)
            if outcome is not None:
                return outcome
        raise PlatformError(
            f"the platform did not confirm the change; it may still take effect. "
            f"Repeat with --command-id {command_id} to find out or to try again"
        )

    async def _find_outcome(self, command_id: str) -> Outcome | None:
        try:
            await self.read()
        except PlatformError:
            return None
        return self.outcome(command_id)

    async def status_urls(self) -> list[str]:
        """Return the base URLs of the processes that serve `/status`."""
        if self.options.node:
            return [url.rstrip("/") for url in self.options.node]
        try:
            async with self.http.get(
                f"{self.client.url}/vms", timeout=ClientTimeout(STATUS_TIMEOUT_S)
            ) as response:
                page = await response.json()
        except (ClientError, TimeoutError, ValueError) as error:
            raise PlatformError(
                f"the VM list is unavailable ({type(error).__name__}); "
                "name the processes with --node URL"
            ) from error
        return [vm["http"].rstrip("/") for vm in page["vms"] if vm.get("http")]

    async def statuses(self) -> dict[str, dict | None]:
        """Return the status of each process by URL; `None` if it did not answer."""
        urls = await self.status_urls()
        found = await asyncio.gather(*(self._status(url) for url in urls))
        return dict(zip(urls, found, strict=True))

    async def _status(self, url: str) -> dict | None:
        try:
            async with self.http.get(
                f"{url}/status", timeout=ClientTimeout(STATUS_TIMEOUT_S)
            ) as response:
                return await response.json() if response.status == 200 else None
        except (ClientError, TimeoutError, ValueError):
            return None

    async def wait_in_force(self, offset: int) -> list[str]:
        """Wait for an offset; return the processes that have not reached it."""
        return await self.wait_for(lambda status: status["config_offset"] >= offset)

    async def wait_for(self, reached: Callable[[dict], bool]) -> list[str]:
        """Wait until all processes reach a state; return those that lag."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + parse_seconds_option(self.options.timeout)
        while True:
            statuses = await self.statuses()
            lagging = [u for u, s in statuses.items() if s is None or not reached(s)]
            if not lagging or loop.time() >= deadline:
                return lagging
            await asyncio.sleep(POLL_S)


def parse_seconds_option(text: str) -> float:
    """Return the seconds of an option with a duration or raise `SettingError`."""
    try:
        return parse_duration(text).total_seconds()
    except ValueError as error:
        raise SettingError(str(error)) from error


@asynccontextmanager
async def open_session(options: Options) -> AsyncIterator[Session]:
    """Open the connections of one command."""
    url = options.platform_url
    async with webclient.open_session() as http:
        yield Session(options, http, PlatformClient(http, url), Replica())


async def change(
    options: Options, change: Change, *, confirm: str = "", base: int | None = None
) -> int:
    """Submit a change, report its outcome and return the exit code."""
    if confirm and not options.dry_run and not confirmed(options, confirm):
        return EXIT_USAGE
    async with open_session(options) as session:
        outcome = await session.submit(change, base)
        lagging = []
        if outcome.accepted and options.wait and not options.dry_run:
            lagging = await session.wait_in_force(outcome.offset)
    report_outcome(options, outcome, lagging)
    if not outcome.accepted:
        return EXIT_REJECTED
    return EXIT_UNAVAILABLE if lagging else EXIT_DONE


def confirmed(options: Options, question: str) -> bool:
    """Ask the operator unless `--yes` was given."""
    if options.yes:
        return True
    if not sys.stdin.isatty():
        print_failure(options, f"{question} Confirm with --yes")
        return False
    Console(stderr=True).print(f"{question} [y/N] ", end="", markup=False)
    return sys.stdin.readline().strip().lower() in ("y", "yes")


def report_outcome(options: Options, outcome: Outcome, lagging: list[str]) -> None:
    """Print the outcome of a change."""
    if options.output == "json":
        print_json(
            {
                "accepted": outcome.accepted,
                "dry_run": options.dry_run,
                "offset": outcome.offset,
                "command_id": outcome.command_id,
                "change": outcome.summary,
                "reason": outcome.reason,
                "remedy": outcome.remedy,
                "lagging": lagging,
            }
        )
        return
    if not outcome.accepted:
        print(f"rejected: {outcome.reason}; {outcome.remedy}")
    elif options.dry_run:
        print(f"would be accepted: {outcome.summary}")
    else:
        print(f"accepted at offset {outcome.offset}: {outcome.summary}")
    for url in lagging:
        print(f"not in force yet: {url}; look at it with 'shallotctl status'")


def print_json(value: object) -> None:
    """Print a value as one JSON document."""
    print(json.dumps(value, default=str, sort_keys=True))


def print_rows(options: Options, columns: list[str], rows: list[dict]) -> None:
    """Print rows as a table or as JSON."""
    if options.output == "json":
        print_json(rows)
        return
    table = Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH_COLUMNS
    Console(width=width).print(table)


def print_failure(options: Options, message: str) -> None:
    """Print an error in the chosen format."""
    if options.output == "json":
        print_json({"error": message})
    else:
        print(message, file=sys.stderr)
