from datetime import timedelta

from shallotpath.core import EPOCH
from shallotpath.streams import Heartbeats, PeerLost, Probe, ReplaceConnection

STEP = timedelta(milliseconds=200)


def run(heartbeats, seconds, start, heard=False):
    actions = []
    now = start
    while now < start + timedelta(seconds=seconds):
        if heard:
            heartbeats.record_activity("a", now)
        actions += heartbeats.poll({"a"}, now)
        now += STEP
    return actions, now


def test_a_silent_peer_gets_new_connections_and_is_then_lost():
    # Guards against streams that wait for a connection that stays silent.
    actions, _ = run(Heartbeats(), 5.1, EPOCH)
    assert actions.count(ReplaceConnection("a")) == 2
    assert actions[-1] == PeerLost("a")


def test_a_peer_that_sends_data_is_not_probed():
    # Guards against heartbeats that exceed the control budget beside streams.
    actions, _ = run(Heartbeats(2 * STEP), 10, EPOCH, heard=True)
    assert actions == [Probe("a")]


def test_a_peer_that_only_answers_heartbeats_is_probed_at_the_interval():
    heartbeats, now, probes = Heartbeats(2 * STEP), EPOCH, 0
    while now < EPOCH + timedelta(seconds=10):
        for action in heartbeats.poll({"a"}, now):
            assert action == Probe("a")
            heartbeats.record_activity("a", now)
            probes += 1
        now += STEP
    assert probes == 25


def test_silence_is_measured_from_the_last_frame():
    heartbeats = Heartbeats()
    _, now = run(heartbeats, 1, EPOCH)
    assert heartbeats.silent_for("a", now) == timedelta(seconds=1)
    heartbeats.record_activity("a", now)
    assert heartbeats.silent_for("a", now) == timedelta(0)
    assert heartbeats.silent_for("unknown", now) == timedelta(0)


def test_a_pause_of_this_process_is_not_silence_of_its_peers():
    # Guards against giving up all peers after a pause.
    heartbeats = Heartbeats()
    _, now = run(heartbeats, 1, EPOCH, heard=True)
    actions = heartbeats.poll({"a"}, now + timedelta(seconds=30))
    assert actions == [Probe("a")]


def test_a_peer_that_is_used_again_starts_anew():
    heartbeats = Heartbeats()
    _, now = run(heartbeats, 1, EPOCH)
    heartbeats.poll(set(), now)
    assert heartbeats.poll({"a"}, now + timedelta(hours=1)) == [Probe("a")]
