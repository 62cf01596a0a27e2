from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import EPOCH, Credit, Data, End, Head, Load, Resume
from shallotpath.streams import ResponseReader, ResponseWriter

LOAD = Load(1, 0)
SECOND = timedelta(seconds=1)


def make_pair(window=64):
    writer = ResponseWriter("r", 1, window)
    writer.begin(200, "text/plain", "d")
    return writer, ResponseReader("r", 1, window, EPOCH)


def read_and_consume_all(reader):
    consumed = b""
    replies = []
    while payload := reader.read():
        consumed += payload
        credit = reader.consume(len(payload))
        if credit is not None:
            replies.append(credit)
    return consumed, replies


def apply_reply(writer, message):
    if isinstance(message, Resume):
        writer.resume(message.from_seq, message.total_bytes)
    elif isinstance(message, Credit):
        writer.credit(message.total_bytes)


@given(
    parts=st.lists(st.binary(min_size=1, max_size=100), max_size=12),
    window=st.integers(min_value=8, max_value=80),
    data=st.data(),
)
def test_response_is_whole_despite_lost_reordered_and_duplicated_frames(
    parts, window, data
):
    # Guards against truncated or mixed responses and an unbounded resend buffer.
    writer, reader = make_pair(window)
    for part in parts:
        writer.write(part)
    writer.finish(LOAD)
    to_reader, to_writer, consumed, now = [], [], b"", EPOCH
    faults_left = 40
    for _ in range(2000):
        if reader.complete and not reader.held_bytes:
            break
        to_reader += writer.frames()
        assert writer.unacknowledged_bytes_ <= window
        if not to_reader and not to_writer:
            now += SECOND
            to_writer += reader.poll(now)
        for queue, receiver in ((to_reader, "r"), (to_writer, "w")):
            if not queue:
                continue
            fault = "none"
            if faults_left:
                faults_left -= 1
                fault = data.draw(
                    st.sampled_from(["none", "lose", "reorder", "duplicate"])
                )
            index = (
                data.draw(st.integers(0, len(queue) - 1)) if fault == "reorder" else 0
            )
            message = queue.pop(index)
            if fault == "lose":
                continue
            if fault == "duplicate":
                queue.append(message)
            if receiver == "r":
                to_writer += reader.receive(message, now)
            else:
                apply_reply(writer, message)
        assert not reader.broken
        read, credits = read_and_consume_all(reader)
        consumed += read
        to_writer += credits
    assert reader.complete
    assert consumed == b"".join(parts)


def test_writer_stops_at_the_window_until_credit_arrives():
    # Guards against unbounded buffering for a stalled reader.
    writer, reader = make_pair(window=10)
    writer.write(b"x" * 25)
    sent = [m for m in writer.frames() if isinstance(m, Data)]
    assert sum(len(m.payload) for m in sent) == 10
    assert writer.room < 0
    assert writer.frames() == []
    writer.credit(20)
    assert sum(len(m.payload) for m in writer.frames()) == 10
    assert reader.held_bytes == 0


def test_excessive_credit_does_not_raise_the_window():
    # Guards against unbounded buffering after a credit that is too large.
    writer, _ = make_pair(window=10)
    writer.credit(10**9)
    writer.write(b"x" * 100)
    assert sum(len(m.payload) for m in writer.frames()[1:]) == 10


@pytest.mark.parametrize(
    "change", [{"checksum": "0"}, {"length": 4}, {"frames": 0}, {"digest": "other"}]
)
def test_end_frame_that_does_not_match_breaks_the_response(change):
    # Guards against accepting a response with lost, altered or foreign bytes.
    writer, reader = make_pair()
    writer.write(b"abc")
    writer.finish(LOAD)
    *frames, end = writer.frames()
    for frame in frames:
        reader.receive(frame, EPOCH)
    fields = {name: getattr(end, name) for name in End.__slots__}
    reader.receive(End(**{**fields, **change}), EPOCH)
    assert reader.broken
    assert not reader.complete


def test_frames_of_another_attempt_or_request_are_ignored():
    # Guards against responses that are swapped between requests.
    _, reader = make_pair()
    reader.receive(Head("r", 1, 200, "text/plain", "d"), EPOCH)
    assert reader.receive(Data("r", 2, 0, b"late"), EPOCH) == []
    assert reader.receive(Data("other", 1, 0, b"swapped"), EPOCH) == []
    assert reader.held_bytes == 0


def test_data_beyond_the_credit_breaks_the_response():
    # Guards against a sender that ignores the window and exhausts the reader's memory.
    _, reader = make_pair(window=4)
    reader.receive(Head("r", 1, 200, "text/plain", "d"), EPOCH)
    reader.receive(Data("r", 1, 0, b"12345"), EPOCH)
    assert reader.broken


def test_confirmed_response_is_settled_and_holds_no_bytes():
    # Guards against frames of finished responses that stay in memory.
    writer, reader = make_pair()
    writer.write(b"abc")
    writer.finish(LOAD)
    replies = []
    for frame in writer.frames():
        replies += reader.receive(frame, EPOCH)
    assert not writer.settled
    for reply in replies:
        apply_reply(writer, reply)
    assert writer.settled
    assert writer.held_bytes == 0


def test_late_resume_for_released_frames_has_no_effect():
    # Guards against a delayed resume that repeats or skips frames.
    writer, _ = make_pair(window=4)
    writer.write(b"12345678")
    writer.frames()
    writer.credit(8)
    writer.frames()
    assert not writer.resume(0, 4)
    assert writer.frames() == []


def test_pending_parts_share_a_frame_within_credit_and_size():
    # Guards against a joined frame that exceeds the credit or the frame size limit.
    writer = ResponseWriter("r", 1, 10)
    writer.begin(200, "text/plain", "")
    for part in (b"abc", b"def", b"ghi", b"jkl"):
        writer.write(part)
    payloads = [m.payload for m in writer.frames() if isinstance(m, Data)]
    assert payloads == [b"abcdefghi", b"j"]
    assert writer.room == -2
    writer.credit(20)
    assert [m.payload for m in writer.frames()] == [b"kl"]
