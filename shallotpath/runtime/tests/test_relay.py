from datetime import timedelta

import pytest

from shallotpath.core import EPOCH, Accepted, Code, Head, Load, RunState, StatusReply
from shallotpath.core import Submit as SubmitMessage
from shallotpath.membership import Member, Role
from shallotpath.runtime._exchange import Exchange
from shallotpath.runtime._relay import InvalidResponseError, TokenRelay
from shallotpath.streams import OutgoingCall

HEAD = Head("r", 1, 200, "text/event-stream", "d")
SUBMIT = SubmitMessage("r", 1, "s", "p", "t", b"", timedelta(seconds=30))


class FakeCaller:
    def __init__(self):
        self.started = False
        self.written_ = b""

    async def start(self, status, content_type, version, digest):
        self.started = True

    async def write(self, payload):
        self.written_ += payload


def token(index):
    return b'data: {"i": %d}\n\n' % index


def end(count):
    return b'event: end\ndata: {"n": %d}\n\n' % count


def make_relay():
    call = OutgoingCall(SUBMIT, EPOCH, generation=True)
    call.begin("a", EPOCH)
    return TokenRelay(call, FakeCaller(), str)


async def test_stream_that_restarts_from_the_beginning_repeats_no_token():
    # Guards against repeated tokens when an engine ignores `resume_from`.
    relay = make_relay()
    await relay.feed(HEAD, token(0) + token(1) + b"data: {")
    relay.call.ended(RunState.YES)
    relay.call.begin("b", EPOCH)
    relay.begin_attempt()
    await relay.feed(HEAD, token(0) + token(1) + token(2) + end(3))
    assert relay.caller.written_ == token(0) + token(1) + token(2)
    await relay.finish(HEAD)
    assert relay.caller.written_.endswith(end(3))


@pytest.mark.parametrize(
    "stream",
    [token(1), token(0) + end(2), end(0) + token(0), b"event: odd\ndata: x\n\n"],
)
async def test_stream_with_missing_or_unknown_events_is_rejected(stream):
    # Guards against gaps, wrong token counts and unknown events that reach the caller.
    with pytest.raises(InvalidResponseError):
        await make_relay().feed(HEAD, stream)


@pytest.mark.parametrize("stream", [token(0), token(0) + end(1) + b"data"])
async def test_stream_without_a_complete_end_is_rejected(stream):
    # Guards against a truncated stream that passes as complete.
    relay = make_relay()
    await relay.feed(HEAD, stream)
    with pytest.raises(InvalidResponseError):
        await relay.finish(HEAD)


@pytest.mark.parametrize(
    ("accepted_by", "replied_by", "run"),
    [
        ("", "a-1", RunState.NO),
        ("", "a-2", RunState.UNKNOWN),
        ("a-1", "a-1", RunState.UNKNOWN),
        ("a-2", "a-2", RunState.UNKNOWN),
        ("a-1", "a-2", RunState.UNKNOWN),
    ],
)
def test_only_the_same_incarnation_proves_that_nothing_ran(
    accepted_by, replied_by, run
):
    # Guards against a retry of a request that a previous incarnation of the agent ran.
    member = Member("a", Role.AGENT, "", "", "", "a-1")
    exchange = Exchange(SUBMIT, member, FakeCaller(), EPOCH, EPOCH)
    if accepted_by:
        exchange.receive(Accepted("r", 1, accepted_by, Load(1, 0)), EPOCH)
    exchange.receive(StatusReply("r", "unknown", 1, replied_by, 0), EPOCH)
    assert (exchange.failure.code, exchange.failure.run) == (Code.UPSTREAM_LOST, run)
