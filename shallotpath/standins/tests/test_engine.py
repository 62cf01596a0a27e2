import asyncio
import json

import pytest
from aiohttp import ClientError, ClientSession

from shallotpath.standins import EngineApp, make_chunk, make_manifest, make_token, serve


async def test_tokens_depend_on_version_and_prompt():
    # Guards against a mix-up of versions or prompts that no test could see.
    engine = EngineApp(digest="d1", token_interval_s=0.0)
    async with serve(engine.build()) as url, ClientSession() as session:
        answer = await session.post(
            f"{url}/run/generate", json={"prompt": "crane", "max_tokens": 2}
        )
        assert answer.headers["X-Weights-Digest"] == "d1"
        events = (await answer.text()).split("\n\n")
    first = json.loads(events[0].removeprefix("data: "))
    assert first == {"i": 0, "t": make_token("d1", "crane", 0)}
    assert events[2] == 'event: end\ndata: {"n": 2}'


async def test_a_cold_engine_crashes_above_its_cold_limit():
    # Guards against a stand-in that survives loads that crash a cold engine.
    engine = EngineApp(cold_running=1, token_interval_s=0.05)
    async with serve(engine.build()) as url, ClientSession() as session:

        async def call():
            answer = await session.post(f"{url}/run/x", json={"prompt": "p"})
            return await answer.read()

        results = await asyncio.gather(call(), call(), return_exceptions=True)
    assert all(isinstance(result, ClientError) for result in results)
    assert engine.counters_["load_crashes"] == 1


async def test_a_switch_needs_the_complete_verified_set():
    # Guards against answers from partial or mixed weights.
    manifest = make_manifest("m", "1", 300, 100, [7, 7, 7])
    body = {"chunks": manifest.chunks}
    engine = EngineApp()
    async with serve(engine.build()) as url, ClientSession() as session:
        order = {"fencing": 1, "order": "switch", "digest": manifest.digest}
        await session.put(f"{url}/weights/{manifest.digest}", json=body)
        for index in range(2):
            await session.put(
                f"{url}/weights/{manifest.digest}/{index}",
                data=make_chunk(7, index, 100),
            )
        assert (await session.post(f"{url}/orders", json=order)).status == 422
        await session.put(
            f"{url}/weights/{manifest.digest}/2", data=make_chunk(7, 2, 100)
        )
        assert (await session.post(f"{url}/orders", json=order)).status == 200
    assert engine.digest_ == manifest.digest


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 422)])
async def test_only_some_engines_refuse_an_old_fencing_number(checks, status):
    # Guards against an engine that checks fencing numbers contrary to its setting.
    engine = EngineApp(checks_fencing=checks)
    engine.highest_fencing_ = 5
    async with serve(engine.build()) as url, ClientSession() as session:
        answer = await session.post(
            f"{url}/orders", json={"fencing": 4, "order": "load", "digest": "d"}
        )
        assert answer.status == status
