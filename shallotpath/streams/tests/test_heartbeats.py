from datetime import timedelta

from shallotpath.core import EPOCH
from shallotpath.streams import Heartbeats, PeerLost, Probe, ReplaceConnection

POLL_INTERVAL = timedelta(milliseconds=200)


def poll_repeatedly(heartbeats, seconds, start, active=False):
    actions = []
    now = start
    while now < start + timedelta(seconds=seconds):
        if active:
            heartbeats.record_activity("a", now)
        actions += heartbeats.poll({"a"}, now)
        now += POLL_INTERVAL
    return actions, now


def test_silent_peer_gets_new_connections_and_is_then_lost():
    # Guards against streams that wait forever on a silent connection.
    actions, _ = poll_repeatedly(Heartbeats(), 5.1, EPOCH)
    assert actions.count(ReplaceConnection("a")) == 2
    assert actions[-1] == PeerLost("a")


def test_peer_that_sends_data_is_not_probed():
    # Guards against needless probes that exceed the budget for control traffic.
    actions, _ = poll_repeatedly(Heartbeats(2 * POLL_INTERVAL), 10, EPOCH, active=True)
    assert actions == [Probe("a")]


def test_peer_that_only_answers_heartbeats_is_probed_at_the_interval():
    # Guards against replies to probes that delay or multiply the probes.
    heartbeats, now, probes = Heartbeats(2 * POLL_INTERVAL), EPOCH, 0
    while now < EPOCH + timedelta(seconds=10):
        for action in heartbeats.poll({"a"}, now):
            assert action == Probe("a")
            heartbeats.record_activity("a", now)
            probes += 1
        now += POLL_INTERVAL
    assert probes == 25


def test_silence_is_measured_from_the_last_frame():
    # Guards against a peer that counts as silent although it sent a frame.
    heartbeats = Heartbeats()
    _, now = poll_repeatedly(heartbeats, 1, EPOCH)
    assert heartbeats.silent_for("a", now) == timedelta(seconds=1)
    heartbeats.record_activity("a", now)
    assert heartbeats.silent_for("a", now) == timedelta(0)
    assert heartbeats.silent_for("unknown", now) == timedelta(0)


def test_pause_of_this_process_does_not_count_as_silence_of_peers():
    # Guards against giving up all peers after this process was paused.
    heartbeats = Heartbeats()
    _, now = poll_repeatedly(heartbeats, 1, EPOCH, active=True)
    actions = heartbeats.poll({"a"}, now + timedelta(seconds=30))
    assert actions == [Probe("a")]


def test_peer_that_is_used_again_starts_without_old_silence():
    # Guards against giving up a peer for the time in which it was not in use.
    heartbeats = Heartbeats()
    _, now = poll_repeatedly(heartbeats, 1, EPOCH)
    heartbeats.poll(set(), now)
    assert heartbeats.poll({"a"}, now + timedelta(hours=1)) == [Probe("a")]
