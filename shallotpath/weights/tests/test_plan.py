from datetime import timedelta

import pytest

from shallotpath.core import Tick
from shallotpath.weights import (
    ChunkCorrupt,
    Manifest,
    ManifestError,
    TransferLimits,
    check_manifest,
)

from .swarm import CHUNK_BYTES, Swarm, make_version

SEEDS = [1] * 40


def test_each_chunk_leaves_the_origin_and_crosses_the_regions_once():
    # Guards against several agents that each fetch the same chunk over the slow links.
    swarm = Swarm(12, regions=("a", "b"))
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.chunks_by_from_origin[True] == len(SEEDS)
    assert set(swarm.crossings_by_index.values()) == {1}
    assert len(swarm.crossings_by_index) == len(SEEDS)


def test_a_corrupt_chunk_of_the_right_length_is_dropped_and_fetched_again():
    # Guards against a chunk that is accepted because only its length is checked.
    bad = {3, 17}
    swarm = Swarm(6)

    def corrupt(source, receiver, index):
        hit = index in bad
        bad.discard(index)
        return hit

    swarm.corrupt = corrupt
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.chunks_by_from_origin[True] == len(SEEDS) + 2
    assert all(agent.engine.incomplete_orders == 0 for agent in swarm.agents.values())


def test_without_digest_checks_a_corrupt_chunk_reaches_the_engine(monkeypatch):
    # Checks that the test above fails without the digest check.
    monkeypatch.setattr(Manifest, "matches", lambda self, index, payload: True)
    swarm = Swarm(2)
    swarm.corrupt = lambda source, receiver, index: index == 3
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert not swarm.run(swarm.all_serve(digest), seconds=20)
    assert any(agent.engine.incomplete_orders for agent in swarm.agents.values())


def test_a_sender_that_corrupts_repeatedly_is_banned():
    # Guards against an agent that keeps requesting chunks from a faulty peer.
    swarm = Swarm(8)
    swarm.corrupt = lambda source, receiver, index: source == "vm-0"
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))
    limit = swarm.limits.max_corrupt_chunks + swarm.limits.slots_per_peer
    for agent in swarm.agents.values():
        source = agent.plan.sources_by_id_.get("vm-0")
        assert source is None or source.corrupt_chunks <= limit
    banned = [
        agent.plan.sources_by_id_["vm-0"].banned
        for agent in swarm.agents.values()
        if "vm-0" in agent.plan.sources_by_id_
    ]
    assert any(banned)


def test_a_version_altered_on_the_origin_is_not_loaded_until_published_anew():
    # Guards against engines that load content published again under the same version,
    # and against agents that fetch it at full rate although its digests never match.
    swarm = Swarm(4)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    swarm.run(lambda: swarm.chunks_by_from_origin[True] >= 10)
    changed = make_version("1", [2] * 40)
    swarm.origin["1"] = (changed, [2] * 40)
    assert not swarm.run(lambda: swarm.serving(digest) > 0, seconds=30)
    assert swarm.serving("old") == 4
    # Content that keeps failing the digest is not fetched at full rate.
    assert swarm.chunks_by_from_origin[True] < 10 + 40 * 4
    mixed = [1] * 20 + [2] * 20
    swarm.chunks_by_from_origin.clear()
    second = swarm.publish("2", mixed)
    swarm.deploy("2")
    assert swarm.run(swarm.all_serve(second))
    # Chunks already held under the first manifest are not fetched again.
    assert swarm.chunks_by_from_origin[True] < 40


def test_a_chunk_on_a_stalled_link_is_requested_elsewhere():
    # Guards against a request without an answer that blocks its chunk for good.
    swarm = Swarm(8)
    swarm.stalled = lambda source, receiver, index: source == "vm-1"
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))


@pytest.mark.parametrize("silent", ["dead", "stalled"])
def test_a_standby_takes_over_from_a_silent_receiver(silent):
    # Guards against chunks that never enter the region since their receiver is dead or
    # stalled, and against a second fetch of all chunks by the standby.
    swarm = Swarm(10)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    swarm.step()
    receiver_id = swarm.agents["vm-0"].plan.layout_.receivers_[0]
    if silent == "dead":
        swarm.run(lambda: swarm.chunks_by_from_origin[True] >= 8)
        swarm.kill(receiver_id)
        assert swarm.run(swarm.all_serve(digest))
    else:
        swarm.stalled = lambda source, receiver, index: receiver == receiver_id
        assert swarm.run(lambda: swarm.serving(digest) == 9)
    assert swarm.chunks_by_from_origin[True] <= 1.5 * len(SEEDS)


def test_a_vm_that_dies_at_90_percent_does_not_stop_the_others():
    # Guards against agents that wait for chunks that only a dead VM held.
    swarm = Swarm(6)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(lambda: swarm.agents["vm-2"].plan.progress >= 0.9)
    swarm.kill("vm-2")
    assert swarm.run(swarm.all_serve(digest))


def test_peers_that_hold_a_version_serve_it_while_the_origin_is_down():
    # Guards against new VMs that need the origin for a version that their peers hold.
    swarm = Swarm(6)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))
    swarm.origin_down = True
    swarm.chunks_by_from_origin.clear()
    for index in range(6, 9):
        swarm.add(f"vm-{index}", "a")
    assert swarm.run(swarm.all_serve(digest), seconds=600)
    assert swarm.chunks_by_from_origin[True] == 0


def test_of_two_versions_within_a_second_only_the_last_is_loaded():
    # Guards against a replaced version that is still fetched and loaded.
    swarm = Swarm(6)
    first = swarm.publish("1", SEEDS)
    second = swarm.publish("2", [1] * 36 + [2] * 4)
    swarm.deploy("1")
    for _ in range(3):
        swarm.step()
    swarm.deploy("2")
    assert swarm.run(swarm.all_serve(second))
    assert swarm.serving(first) == 0
    assert swarm.chunks_by_from_origin[True] < 80


def test_an_answer_for_the_previous_version_avoids_no_source():
    # Guards against a peer that is banned for chunks of a replaced version.
    swarm = Swarm(2)
    first = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    swarm.run(lambda: swarm.chunks_by_from_origin[True] > 3)
    swarm.publish("2", [2] * 40)
    swarm.deploy("2")
    agent = swarm.agents["vm-0"]
    agent.dispatch(Tick())
    for _ in range(swarm.limits.max_corrupt_chunks):
        agent.dispatch(ChunkCorrupt(first, 0, "vm-1"))
    assert not agent.plan.source("vm-1").banned


def test_only_the_chunks_that_differ_from_a_held_version_are_transferred():
    # Guards against a transfer of chunks that the engines hold from another version.
    swarm = Swarm(6)
    swarm.publish("1", SEEDS)
    swarm.deploy("1")
    swarm.run(swarm.all_serve(swarm.configuration.versions_by_id["m/1"].digest))
    swarm.chunks_by_from_origin.clear()
    second = swarm.publish("2", [1] * 36 + [2] * 4)
    swarm.deploy("2")
    assert swarm.run(swarm.all_serve(second))
    assert swarm.chunks_by_from_origin == {True: 4, False: 20}


def test_neighbours_and_control_traffic_stay_bounded_at_2500_agents():
    # Guards against chunk maps to all agents, which would exceed 14 KB/s per node.
    swarm = Swarm(0)
    for index in range(2500):
        swarm.add(f"vm-{index}", "ab"[index % 2])
    swarm.publish("1", SEEDS)
    swarm.deploy("1")
    for index in range(0, 2500, 50):
        plan = swarm.agents[f"vm-{index}"].plan
        plan.reduce(Tick(), swarm.clock.now())
        assert len(plan.neighbours) <= 8 + 11
    plan = swarm.agents[plan.layout_.receivers_[0]].plan
    plan.reduce(Tick(), swarm.clock.now())
    assert 11 <= len(plan.neighbours) <= 8 + 11
    for _ in range(300):
        plan.reduce(Tick(), swarm.clock.advance(timedelta(milliseconds=200)))
    assert plan.announcer_.sent_bytes_ <= 60 * 3_600 + 16_000


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"version": "2"}, "another digest"),
        ({"chunks": []}, "another digest"),
        ({}, "raise chunk_buffer"),
    ],
)
def test_a_manifest_that_is_altered_or_unusable_is_refused(change, text):
    # Guards against a manifest that was altered, or whose chunks exceed the buffer.
    manifest = make_version("1", SEEDS)
    fields = {name: getattr(manifest, name) for name in Manifest.__slots__}
    with pytest.raises(ManifestError, match=text):
        check_manifest(Manifest(**{**fields, **change}), manifest.digest, CHUNK_BYTES)


@pytest.mark.parametrize("capped", [True, False])
def test_the_region_link_keeps_the_share_of_live_requests(capped):
    # Guards against receivers that together exceed the preset's share. The second case
    # checks that they exceed it without the limit.
    rate = 100.0
    limits = TransferLimits(region_rate=rate if capped else 0.0)
    swarm = Swarm(12, regions=("a", "b"), limits=limits)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    started = swarm.clock.now()
    assert swarm.run(swarm.all_serve(digest))
    seconds = (swarm.clock.now() - started).total_seconds()
    crossed = sum(swarm.crossings_by_index.values()) * CHUNK_BYTES
    burst = limits.receivers * CHUNK_BYTES
    assert (crossed <= 0.5 * rate * seconds + burst) is capped
