import json

import pytest

from shallotpath.bench import LoadGenerator, Request, StreamChecker
from shallotpath.standins import EngineApp, make_token, serve


def make_request(prompt="crane", tokens=2):
    body = {"prompt": prompt, "max_tokens": tokens}
    return Request(prompt, "run", "generate", body, "secret")


def make_event(index, token):
    return f"data: {json.dumps({'i': index, 't': token})}\n"


END = 'event: end\ndata: {"n": 2}\n'


@pytest.mark.parametrize(
    ("events", "kind"),
    [
        ([0, 1, END], "answered"),
        ([0, 1], "truncated"),
        ([0, END], "truncated"),
        ([0, 0, 1, END], "truncated"),
        ([1, 0, END], "truncated"),
    ],
)
def test_the_checker_finds_missing_and_repeated_tokens(events, kind):
    # Guards against a load tool that counts any 200 as an answer.
    checker = StreamChecker(make_request(), "d1")
    for item in events:
        is_token = isinstance(item, int)
        token = make_token("d1", "crane", item) if is_token else ""
        checker.check(make_event(item, token) if is_token else item)
    assert checker.outcome().kind == kind


@pytest.mark.parametrize(("digest", "prompt"), [("d2", "crane"), ("d1", "boat")])
def test_the_checker_finds_other_versions_and_other_callers_tokens(digest, prompt):
    # Guards against counting tokens of another version or request as an answer.
    checker = StreamChecker(make_request(), "d1")
    checker.check(make_event(0, make_token("d1", "crane", 0)))
    checker.check(make_event(1, make_token(digest, prompt, 1)))
    checker.check(END)
    assert checker.outcome().kind == "crossed"


async def test_answers_are_counted_once_and_an_entry_that_is_down_is_skipped():
    # Guards against lost or repeated outcomes and callers stuck on a refused entry.
    engine = EngineApp(digest="d1", token_interval_s=0.0)
    engine.cold_runs_left_ = 0
    async with serve(engine.build()) as url:
        down = "http://127.0.0.1:9"
        async with LoadGenerator(lambda: [down, url]) as load:
            await load.steady(200, 0.05, lambda i: make_request(f"p{i}"))
            result = await load.finish()
    assert result.counts() == {"answered": 10}
    assert result.percentile_ms(99) > 0
