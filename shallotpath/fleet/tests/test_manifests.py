"""Requests of many sidecars to the origin of weights."""

import asyncio
from datetime import timedelta
from random import Random

from shallotpath.core import ManualClock
from shallotpath.fleet._manifests import ManifestSource
from shallotpath.platform import OPERATOR_TOPIC, CallError
from shallotpath.swarm import SwarmMember

from .processes import sidecars, until
from .standins import Engine, Log, Origin

MEMBERS = [SwarmMember(f"m{n}", f"r{n % 3}") for n in range(40)]


class FakeFetcher:
    """Record whom a manifest is requested from."""

    def __init__(self, old_peers=()):
        self.asked = []
        self.old_peers = old_peers

    async def manifest(self, model, version):
        self.asked.append("origin")
        return "manifest"

    async def peer_manifest(self, peer_id, model, version):
        self.asked.append(peer_id)
        if peer_id in self.old_peers:
            raise CallError("unknown path", 404)
        return "manifest"


async def count_fetched(sources):
    results = [await s.fetch("m", 2, MEMBERS, []) for s in sources]
    return len([result for result in results if result is not None])


async def test_few_members_of_a_swarm_ask_the_origin_for_a_manifest():
    # Load pattern: 40 members hear of a version at once. Guards against a manifest for
    # each member, which delays the chunks, and against members that wait for good
    # where those before them have no answer.
    clock, fetcher = ManualClock(), FakeFetcher()
    sources = [ManifestSource(m.id, fetcher, clock, Random(1)) for m in MEMBERS]
    assert await count_fetched(sources) == 4
    clock.advance(timedelta(milliseconds=450))
    assert await count_fetched(sources) == 8
    clock.advance(timedelta(seconds=2))
    assert await count_fetched(sources) == 40


async def test_manifest_comes_from_a_peer_that_has_one():
    # Guards against a member that waits for its turn at the origin although a peer has
    # the manifest, and against one that a peer of an earlier release keeps waiting.
    fetcher = FakeFetcher(old_peers=["m8"])
    source = ManifestSource("m9", fetcher, ManualClock(), Random(1))
    assert await source.fetch("m", 2, MEMBERS, ["m7"])
    assert await source.fetch("m", 2, MEMBERS, ["m8"])
    assert fetcher.asked == ["m7", "m8", "origin"]


async def test_connections_to_the_origin_are_not_kept():
    # Load pattern: more members than the origin accepts connections. Guards against
    # idle connections that leave none for the manifest of the next version.
    log, origin, engine = Log(), Origin(), Engine()
    kept = []
    handle = origin.handle

    async def record(request):
        kept.append(request.keep_alive)
        return await handle(request)

    origin.handle = record
    log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 1})
    async with sidecars(log, origin, engine):
        await until(lambda: engine.version == 1)
    assert kept
    assert not any(kept)


async def test_version_announced_within_a_transfer_is_planned_and_loaded():
    # Load pattern: two versions 0.3 s apart over a slow origin. Guards against a
    # sidecar that cannot decide between them and loads neither.
    log, origin, engines = Log(), Origin(), [Engine(), Engine()]
    handle = origin.handle

    async def delay(request):
        await asyncio.sleep(0.2)
        return await handle(request)

    origin.handle = delay
    async with sidecars(log, origin, *engines) as processes:
        processes[0].peers.learn(processes[1].address)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 1})
        await until(lambda: all(e.version == 1 for e in engines), 20)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        await asyncio.sleep(0.3)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 3})
        await until(lambda: all(e.version == 3 for e in engines), 20)
        for process in processes:
            # Both compared the newest version with the transfer in progress.
            assert process.choice_.reported_[:3] == ("m", 2, 3)
