"""Verification of staged chunks at engines that write answers a second time, late."""

import asyncio
import hashlib
from random import Random

from shallotpath.core import MonotonicClock
from shallotpath.fleet._staging import EngineStaging
from shallotpath.forwarding.tests.helpers import HOST, RecordingReporter, read_message
from shallotpath.platform import (
    Endpoint,
    EngineClient,
    HttpCaller,
    open_chunk_session,
    open_session,
)
from shallotpath.swarm import SwarmMember, SwarmPlan

CHUNK = b"chunk"


class StutteringEngine:
    """Write the first answer of a connection again if its request comes again."""

    def __init__(self):
        self.staged = b""

    async def serve(self, reader, writer):
        answers_by_target = {}
        try:
            while True:
                head, body = await read_message(reader)
                target = head.split("\r\n")[0]
                if target.startswith("PUT"):
                    self.staged = body
                content = b"" if body else self.staged
                own = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
                    len(content),
                    content,
                )
                writer.write(answers_by_target.setdefault(target, own))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def test_verification_reads_what_is_staged_now():
    # Guards against weights that are loaded on a late copy of an answer to an earlier
    # verification, although a chunk has become corrupt since.
    engine = StutteringEngine()
    server = await asyncio.start_server(engine.serve, HOST, 0)
    address = Endpoint(HOST, server.sockets[0].getsockname()[1])
    clock = MonotonicClock()
    plan = SwarmPlan(
        own=SwarmMember("n", "a"),
        model="m",
        version=2,
        digests=[hashlib.sha256(CHUNK).hexdigest()],
        started_at=clock.now(),
        random=Random(1),
    )
    plan.reuse([CHUNK])
    async with open_session() as session, open_chunk_session() as chunk_session:
        client = EngineClient(address, HttpCaller(session), HttpCaller(chunk_session))
        staging = EngineStaging(client, clock, RecordingReporter())
        staging.begin(plan)
        assert await staging.verify(plan)
        engine.staged = b"corrupt"
        assert not await staging.verify(plan)
    server.close()
