"""Callers that send several requests at once, and heads in pieces."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from multidict import CIMultiDict

from shallotpath.platform import _names as names

from ._callers import CALLERS_PORT, CONNECT_TIMEOUT_S, DEADLINE_MS, HOST, SlowCaller
from ._content import TEAM_KEY
from ._ledger import Attempt, Ending, Kind

MAX_BATCH = 3
# Batches on one connection at most.
BATCHES_RANGE = (1, 12)
KINDS = (Kind.ORDER, Kind.LOOKUP)
SPLIT_HEAD_SHARE = 0.3
# Shorter than the lowest limit for the time of a head.
HEAD_PAUSE_RANGE_S = (0.0, 0.6)
# Together with the other headers shorter than the lowest limit for a head.
PADDING_BYTES = 2500
ANSWER_TIMEOUT_S = DEADLINE_MS / 1000


@dataclass(kw_only=True)
class PipeliningCaller(SlowCaller):
    """Send up to three requests on a connection before reading their answers."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            entry = self.random.choice(self.balancer.eligible_entries())
            host = self.balancer.entries[entry].host
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(host, CALLERS_PORT)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.pause_s(served=False))
                continue
            reader, writer = streams
            try:
                for _ in range(self.random.randint(*BATCHES_RANGE)):
                    if not await self._send_batch(entry, reader, writer):
                        break
                    await asyncio.sleep(self.pause_s(served=True))
            finally:
                writer.close()

    async def _send_batch(
        self, entry: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send some requests, read their answers and return whether to go on."""
        attempts = [
            self._make_attempt(entry) for _ in range(self.random.randint(1, MAX_BATCH))
        ]
        requests = [self._request(attempt) for attempt in attempts]
        keeps_connection = True
        try:
            await self._write(writer, requests)
            for attempt in attempts:
                attempt.whole_at = self.clock.now()
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                for attempt in attempts:
                    keeps_connection = await self._read_answer(attempt, reader)
                    attempt.ended_at = self.clock.now()
                    if not keeps_connection:
                        break
        except TimeoutError:
            self._end(attempts, Ending.ABANDONED, "no answer")
            return False
        except (OSError, EOFError) as error:
            self._end(attempts, Ending.CUT, repr(error))
            return False
        self._end(attempts, Ending.CUT, "behind the last answer")
        return keeps_connection

    async def _write(self, writer: asyncio.StreamWriter, requests: list[bytes]) -> None:
        """Write requests at once, or with a pause inside the first one."""
        data = b"".join(requests)
        if self.random.random() < SPLIT_HEAD_SHARE:
            size = self.random.randrange(1, len(requests[0]))
            writer.write(data[:size])
            await asyncio.sleep(self.random.uniform(*HEAD_PAUSE_RANGE_S))
            data = data[size:]
        writer.write(data)

    def _make_attempt(self, entry: int) -> Attempt:
        self.sent_count_ += 1
        attempt_id = f"{self.number:02x}{self.sent_count_:06x}"
        attempt = Attempt(
            attempt_id, self.random.choice(KINDS), entry, self.clock.now()
        )
        attempt.request_id = attempt_id
        self.ledger.attempts_by_id[attempt_id] = attempt
        return attempt

    def _end(self, attempts: list[Attempt], ending: Ending, detail: str) -> None:
        """Record the outcome of the attempts without an answer."""
        for attempt in attempts:
            if attempt.ending is Ending.OPEN:
                attempt.ending, attempt.detail = ending, detail
                attempt.ended_at = self.clock.now()

    def _request(self, attempt: Attempt) -> bytes:
        """Return the bytes of a request."""
        padding = "x" * self.random.randrange(PADDING_BYTES)
        body = attempt.id.encode()
        lines = [
            f"POST /{attempt.kind}/{attempt.id} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.REQUEST_ID}: {attempt.request_id}",
            f"{names.API_KEY}: {TEAM_KEY}",
            f"{names.DEADLINE_MS}: {DEADLINE_MS}",
            f"Padding: {padding}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _read_answer(
        self, attempt: Attempt, reader: asyncio.StreamReader
    ) -> bool:
        """Read an answer and return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.split("\r\n")[:-2]
        attempt.status = int(status_line.split()[1])
        headers = CIMultiDict(
            (name, value.strip())
            for name, _, value in (x.partition(":") for x in lines)
        )
        attempt.seal = headers.get(names.SEAL, "")
        if headers.get("Transfer-Encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
        attempt.ending = Ending.ANSWERED
        if attempt.status < 400 or attempt.seal:
            self._check_answer(attempt, headers, body)
        return headers.get("Connection", "").lower() != "close"


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline() or b"0", 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body
