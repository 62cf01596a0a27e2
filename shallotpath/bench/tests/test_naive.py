from shallotpath.bench import LoadGenerator, NaiveEntry, Request
from shallotpath.standins import EngineApp, serve


async def test_answers_pass_through_while_nothing_fails():
    # Guards against a baseline that looks bad because it does not work at all.
    engine = EngineApp(service="fold-model", digest="d", token_interval_s=0.0)
    engine.cold_runs_left_ = 0
    async with serve(engine.build()) as url:
        naive = NaiveEntry({"fold-model": [url]})
        async with (
            serve(naive.build()) as entry,
            LoadGenerator(lambda: [entry]) as load,
        ):
            for index in range(5):
                body = {"prompt": f"p{index}", "max_tokens": 3}
                load.send(Request(str(index), "fold-model", "generate", body, "t"))
            result = await load.finish()
    assert result.counts() == {"answered": 5}
    assert naive.held_bytes_ == 0
