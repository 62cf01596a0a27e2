from datetime import timedelta

import pytest
from transitions import MachineError

from shallotpath.core import EPOCH, Code, FrameError, RunState, Submit
from shallotpath.streams import OutgoingCall, SlowReaderBudget, SseParser

SECOND = timedelta(seconds=1)


def make_call(*, repeatable=True, generation=False, fresh_key=False):
    template = Submit(
        "r",
        0,
        "s",
        "p",
        "t",
        b"",
        SECOND,
        repeatable=repeatable,
        fresh_key=fresh_key,
    )
    return OutgoingCall(template, EPOCH + 30 * SECOND, generation=generation)


@pytest.mark.parametrize(
    ("repeatable", "generation", "run", "allowed"),
    [
        (False, False, RunState.NO, True),
        (False, False, RunState.UNKNOWN, False),
        (False, False, RunState.YES, False),
        (True, False, RunState.NO, True),
        (True, False, RunState.UNKNOWN, True),
        (True, False, RunState.YES, False),
        (True, True, RunState.YES, True),
    ],
)
def test_only_safe_attempts_are_repeated(repeatable, generation, run, allowed):
    # Guards against requests with side effects that run twice.
    call = make_call(repeatable=repeatable, generation=generation)
    call.begin("a", EPOCH)
    call.ended(run)
    assert call.may_retry(Code.UPSTREAM_FAILED, run) is allowed


@pytest.mark.parametrize(
    ("repeatable", "fresh_key", "run"),
    [
        (False, False, RunState.UNKNOWN),
        (False, True, RunState.NO),
        (True, False, RunState.NO),
    ],
)
def test_request_that_was_not_sent_may_have_run_only_under_a_key_of_the_caller(
    repeatable, fresh_key, run
):
    # Guards against reporting `run: no` for a key under which a request ran before its
    # home agent became unreachable.
    call = make_call(repeatable=repeatable, fresh_key=fresh_key)
    call.unsent()
    assert call.run is run


def test_plain_response_that_has_started_is_not_repeated():
    # Guards against a response that mixes the bytes of two runs.
    call = make_call()
    call.begin("a", EPOCH)
    call.delivered(10, 0, "d")
    call.ended(RunState.UNKNOWN)
    assert not call.may_retry(Code.UPSTREAM_LOST, RunState.UNKNOWN)


def test_generation_resumes_after_its_tokens_on_the_same_weights():
    # Guards against repeated tokens and against a text that mixes two versions.
    call = make_call(generation=True)
    assert call.begin("a", EPOCH).digest == ""
    call.delivered(10, 3, "d")
    call.ended(RunState.YES)
    submit = call.begin("b", EPOCH + SECOND)
    assert (submit.resume_from, submit.digest, submit.attempt) == (3, "d", 2)
    assert submit.time_left == 29 * SECOND
    assert call.tried_ids_ == {"a", "b"}


def test_later_refusal_does_not_hide_an_earlier_run():
    # Guards against reporting that a request did not run if an earlier attempt may have
    # run it.
    call = make_call()
    call.begin("a", EPOCH)
    call.ended(RunState.UNKNOWN)
    call.begin("b", EPOCH)
    call.ended(RunState.NO)
    assert call.run is RunState.UNKNOWN


def test_key_is_fresh_only_in_the_first_attempt():
    # Guards against a second run of a key that an earlier attempt has already used.
    call = make_call(repeatable=False, fresh_key=True)
    assert call.begin("a", EPOCH).fresh_key
    call.ended(RunState.NO)
    assert not call.begin("a", EPOCH).fresh_key


def test_completed_call_allows_no_further_attempt():
    # Guards against a second run of a request that was already served.
    call = make_call()
    call.begin("a", EPOCH)
    call.complete()
    with pytest.raises(MachineError):
        call.begin("b", EPOCH)


def test_stream_with_the_most_bytes_and_stalled_time_is_cancelled_first():
    # Guards against cancelling more streams than the budget requires.
    budget = SlowReaderBudget(100)
    budget.update("old_small", 30, EPOCH)
    budget.update("new_large", 60, EPOCH + 9 * SECOND)
    budget.update("old_large", 50, EPOCH)
    assert budget.streams_to_cancel(EPOCH + 10 * SECOND) == ["old_large"]
    budget.remove("old_large")
    assert budget.streams_to_cancel(EPOCH + 10 * SECOND) == []
    assert budget.held_bytes == 90


def test_reader_that_makes_progress_is_not_cancelled():
    # Guards against cancelling a reader for its many bytes although it reads them.
    budget = SlowReaderBudget(100)
    budget.update("stalled", 60, EPOCH)
    budget.update("reads", 90, EPOCH)
    budget.update("reads", 90, EPOCH + 9 * SECOND, progress=True)
    assert budget.streams_to_cancel(EPOCH + 10 * SECOND) == ["stalled"]


def test_events_are_complete_for_every_position_of_one_frame_boundary():
    # Guards against an event that is lost or damaged where a frame ends within it.
    stream = b'data: {"i": 0, "t": "a"}\n\nevent: end\ndata: {"n": 1}\n\n'
    for cut in range(len(stream)):
        parser = SseParser()
        events = parser.feed(stream[:cut]) + parser.feed(stream[cut:])
        assert [event.token_index() for event in events] == [0, None]
        assert events[1].token_count() == 1
        assert not parser.partial


@pytest.mark.parametrize(
    "data", [b"data: {\n\n", b'data: {"i": "x"}\n\n', b"data: \n\n"]
)
def test_malformed_event_raises_a_frame_error(data):
    # Guards against decoder errors that callers of the parser do not expect.
    (event,) = SseParser().feed(data)
    with pytest.raises(FrameError, match="check the engine"):
        event.token_index()


def test_event_without_a_boundary_is_limited_in_size():
    # Guards against a stream without event boundaries that exhausts memory.
    with pytest.raises(FrameError, match="exceeds"):
        SseParser().feed(b"x" * 300_000)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_do_not_depend_on_the_frame_size(size):
    # Guards against a fast path for whole events that loses bytes of split ones.
    stream = b'data: {"i": 0}\n\n: ping\n\nevent: end\ndata: {"n": 1}\n\n'
    parser = SseParser()
    frames = [stream[at : at + size] for at in range(0, len(stream), size)]
    events = [event for frame in frames for event in parser.feed(frame)]
    assert b"".join(event.raw for event in events) == stream
    assert [event.name for event in events] == ["", "", "end"]
    assert events[0].token_index() == 0
    assert events[2].token_count() == 1
