"""Second, late copies of answers on the connections of an upstream."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from weakref import WeakKeyDictionary

from aiohttp import web

from shallotpath.platform import _names as names

from ._content import whole_body

# One in this many requests on a connection in use again meets a copy before its answer.
COPY_BEFORE_INTERVAL = 8
# One in this many answers is followed by a copy. Rare, because entries use connections
# only once for some time after one, and then none meets a copy before an answer.
COPY_AFTER_INTERVAL = 30
CUT_SHARE = 0.5
WITHOUT_ID_SHARE = 0.4
IDLE_SHARE = 0.5
IDLE_DELAY_RANGE_S = (0.002, 0.1)


@dataclass(slots=True)
class Answer:
    """Hold an answer that may be written again."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def head(self, *, with_id: bool) -> bytes:
        """Return the bytes up to the body."""
        lines = [f"HTTP/1.1 {self.status} Copy"]
        lines += [
            f"{name}: {value}"
            for name, value in self.headers
            if with_id or name.lower() != names.REQUEST_ID.lower()
        ]
        return "\r\n".join([*lines, "", ""]).encode()


@dataclass(slots=True)
class Connection:
    """Hold the answers of a connection, the latest one last."""

    answers_by_id: dict[str, Answer] = field(default_factory=dict)
    busy: bool = False


class Copier:
    """Write copies of earlier answers on the connections of one upstream."""

    def __init__(self, random: Random, counts: Counter) -> None:
        self.random = random
        self.counts = counts
        self.connections_by_transport_: WeakKeyDictionary[
            asyncio.Transport, Connection
        ] = WeakKeyDictionary()

    def begin(self, request: web.BaseRequest) -> bool:
        """Perhaps write a copy before an answer; return whether it was cut off."""
        transport = request.transport
        if transport is None:
            return False
        connection = self.connections_by_transport_.setdefault(transport, Connection())
        connection.busy = True
        answers_by_id = connection.answers_by_id
        if not answers_by_id:
            return False
        self.counts["requests on used connections"] += 1
        repeated = answers_by_id.get(request.headers.get(names.REQUEST_ID, ""))
        if repeated is not None:
            # Always, because a request rarely meets the answer to its own id.
            transport.write(repeated.head(with_id=True) + repeated.body)
            self.counts["copies with a repeated id"] += 1
        elif self.random.randrange(COPY_BEFORE_INTERVAL) == 0:
            return self._write(transport, connection, "before an answer")
        return False

    async def end(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Send an answer, keep it, and perhaps write a copy at once or later."""
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        with suppress(ConnectionError):
            await response.prepare(request)
            await response.write_eof()
        connection = self.connections_by_transport_.get(transport)
        if connection is None:
            return
        connection.busy = False
        if names.LAST_EVENT_ID not in request.headers:
            request_id = request.headers.get(names.REQUEST_ID, "")
            connection.answers_by_id.pop(request_id, None)
            connection.answers_by_id[request_id] = make_answer(request, response)
        if not connection.answers_by_id or self.random.randrange(COPY_AFTER_INTERVAL):
            return
        if self.random.random() < IDLE_SHARE:
            delay_s = self.random.uniform(*IDLE_DELAY_RANGE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._write_if_idle, transport, connection)
        else:
            self._write(transport, connection, "after an answer")

    def _write_if_idle(
        self, transport: asyncio.Transport, connection: Connection
    ) -> None:
        if not connection.busy:
            self._write(transport, connection, "while idle")

    def _write(
        self, transport: asyncio.Transport, connection: Connection, when: str
    ) -> bool:
        """Write a copy of the latest answer; return whether it was cut off."""
        if transport.is_closing():
            return False
        answer = list(connection.answers_by_id.values())[-1]
        head = answer.head(with_id=self.random.random() >= WITHOUT_ID_SHARE)
        is_cut = self.random.random() < CUT_SHARE
        size = self.random.randrange(1, len(head)) if is_cut else len(head)
        transport.write(head[:size] if is_cut else head + answer.body)
        self.counts[f"{'cut ' if is_cut else ''}copies {when}"] += 1
        return is_cut


def make_answer(request: web.BaseRequest, response: web.StreamResponse) -> Answer:
    """Return the answer that a response was sent as."""
    if isinstance(response, web.Response):
        body = response.body or b""
    else:
        body = whole_body(request.path.rpartition("/")[2], streaming=True)
    if response.headers.get("Transfer-Encoding") == "chunked":
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return Answer(response.status, list(response.headers.items()), body)
