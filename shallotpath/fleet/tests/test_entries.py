"""Number of entries that share the request limits."""

from datetime import timedelta

import pytest

from shallotpath.core import ManualClock
from shallotpath.fleet import EdgeProcess, LineReporter
from shallotpath.gateway._loads import MAX_PEER_AGE
from shallotpath.replication import (
    MAX_DATAGRAM_BYTES,
    GossipMessage,
    PeerAddress,
    decode_datagram,
    encode_message,
)

from .processes import Output, make_settings
from .standins import HOST

OTHERS = [PeerAddress(f"edge-{n}", HOST, n, False) for n in range(1, 4)]
# More than the time for which a silent entry is counted.
COUNTED = timedelta(seconds=13)


def make_edge():
    """Return an entry that has just started and knows only addresses of its peers."""
    clock = ManualClock()
    settings = make_settings("edge-0", 1)
    reporter = LineReporter(settings.node, settings.domain, clock, Output())
    edge = EdgeProcess(settings, clock=clock, reporter=reporter)
    for address in (*OTHERS, PeerAddress("mate-0", HOST, 9, True)):
        edge.peers.learn(address)
    return edge, clock


def receive_gossip(edge, address, sequence):
    edge.peers.update(GossipMessage(address, 1, sequence, "a-1"), edge.clock.now())


def run_for(edge, clock, span):
    """Advance the clock second by second while the process runs."""
    for _ in range(int(span.total_seconds())):
        clock.advance(timedelta(seconds=1))
        edge.update_entries()


def test_entry_that_starts_counts_entries_that_it_has_not_heard():
    # Guards against a starting entry that uses the whole limit by itself, because it
    # has heard no other entry yet.
    edge, clock = make_edge()
    assert edge.update_entries() == 4
    receive_gossip(edge, OTHERS[0], 1)
    assert edge.update_entries() == 4


def test_entries_that_stay_silent_after_a_start_are_no_longer_counted():
    # Guards against shares of the limit reserved for VMs that no longer exist.
    edge, clock = make_edge()
    for sequence in range(13):
        receive_gossip(edge, OTHERS[0], sequence)
        run_for(edge, clock, timedelta(seconds=1))
    assert edge.update_entries() == 2


def test_suspended_entry_keeps_counting_its_peers():
    # Guards against peers that count as gone because this VM was suspended.
    edge, clock = make_edge()
    run_for(edge, clock, COUNTED)
    for address in OTHERS:
        receive_gossip(edge, address, 1)
    assert edge.update_entries() == 4
    clock.advance(COUNTED)
    assert edge.update_entries() == 4
    run_for(edge, clock, COUNTED)
    assert edge.update_entries() == 1


def test_messages_to_other_regions_grow_slowly_with_the_entries_of_a_region():
    # Guards against links between regions, and entries behind them, that are filled by
    # the loads of ever more entries.
    rates = []
    for entries in (2, 8, 16, 20, 175):
        edge, _ = make_edge()
        for number in range(1, entries):
            address = PeerAddress(f"edge-{number}", HOST, number, False)
            receive_gossip(edge, address, 1)
        assert edge.remote_interval <= MAX_PEER_AGE
        rates.append(entries / edge.remote_interval.total_seconds())
    assert rates[1] == pytest.approx(rates[2])
    assert edge.remote_interval == timedelta(milliseconds=1700)


def test_busiest_entry_of_a_large_fleet_is_still_heard():
    # Load pattern: requests of one entry at each of 900 upstreams, whose callers read
    # slowly. Guards against a message that is larger than a datagram and is not sent.
    edge, clock = make_edge()
    for number in range(1800):
        edge.loads.sent(f"q{number}", f"i-{number % 900:010x}", 3800, clock.now())
    for number in range(10):
        edge.loads.sent(f"busy{number}", "i-busy", 3800, clock.now())
    for number in range(6):
        parts = [f"{part:040}" for part in range(64)]
        crash_id = f"i-{number:010x}/1791471554357"
        edge.suspects.parts.record_crash(crash_id, [parts], clock.now())
    message = edge.gossip_message()
    assert len(message.parts) == 8
    assert len(encode_message(message)) <= MAX_DATAGRAM_BYTES
    assert message.shares["i-busy"].requests == 10


def test_message_of_a_peer_refuses_a_part_that_crashed_upstreams():
    # Guards against a part that crashes upstreams again through each other entry.
    reporting, clock = make_edge()
    for number in range(3):
        lost = [("model/head", "model/dead")]
        reporting.suspects.parts.record_crash(f"u{number}", lost, clock.now())
    assert reporting.evidence_found_.is_set()
    encoded = encode_message(reporting.gossip_message())
    receiving, _ = make_edge()
    receiving.handle_message(decode_datagram(encoded))
    now = receiving.clock.now()
    suspects = receiving.suspects.parts
    assert suspects.find_refused(["model/head", "model/dead"], now)
    assert suspects.find_refused(["model/head"], now) is None
