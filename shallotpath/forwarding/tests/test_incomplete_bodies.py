"""Bodies of callers that stop before their end."""

import asyncio

from shallotpath.forwarding import MemoryBudget
from shallotpath.gateway import Team

from .helpers import Upstream, make_request, make_world, read_answer, reply

BODY_BYTES = 100_000


async def test_team_that_fills_the_memory_gives_way_to_another():
    # Load pattern: one team's bodies stop just short of their end and stay open.
    # Guards against another team that is refused for them, and against a refusal of a
    # request that an upstream has seen.
    upstream = Upstream(reply())
    memory = MemoryBudget(4_000_000)
    async with make_world(upstream, memory=memory) as world:
        teams = world.forwarder.operator.catalog.teams_by_key
        teams["other"] = Team("other", ("other",), None, frozenset())
        readers = []
        for number in range(12):
            reader, writer = await world.connect()
            body = b"a" * BODY_BYTES
            writer.write(make_request(method="POST", number=number, body=body)[:-1])
            readers.append((reader, writer))
        async with asyncio.timeout(10):
            while not world.outcomes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        head, _ = await world.call(method="POST", key="other", number=99, body=body)
        assert " 200 " in head
        refused = len(world.outcomes) - 1
        heads = [(await read_answer(reader))[0] for reader, _ in readers[:refused]]
        assert all(" 503 " in head and "Retry-After" in head for head in heads)
        assert [b for _, b in upstream.requests] == [body]
        # The others get on as soon as they send the rest.
        readers[-1][1].write(b"a")
        assert " 200 " in (await read_answer(readers[-1][0]))[0]
        for _, writer in readers:
            writer.close()
    assert memory.held_bytes == memory.bodies.held_bytes == 0
