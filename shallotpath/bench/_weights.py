"""Distribute one version to many VMs and compare with fetching from the origin."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, suppress
from itertools import cycle
from statistics import quantiles
from time import process_time

from aiohttp import ClientError

from ..core import ConfigurationChanged, Data, PlatformError
from ..runtime import PlatformClient
from ..standins import RateLimiter, make_token
from ._weights_world import MODEL, REGIONS, Shape, World, build_world, wait_until

# The live messages have the size of a few tokens with their frame.
LIVE_MESSAGE_BYTES = 1024
LIVE_LOAD_SHARE = 0.9
# All VMs share one processor here, so more VMs get slower links.
DEFAULT_VMS = 24
DEFAULT_TARGET_S = 16.0
TARGET_S_PER_VM = 1.0
PROBE_INTERVAL_S = 0.05
NAIVE_S = 8.0
SHARED_CHUNK_SHARE = 0.9
TIMEOUT_BOUND_FACTOR = 4.0


async def run_weights(
    vms: int = 24, target_s: float | None = None, **shape_options: float
) -> dict:
    """Measure one distribution, one partial update and the naive baseline."""
    if target_s is None:
        target_s = DEFAULT_TARGET_S if vms <= DEFAULT_VMS else vms * TARGET_S_PER_VM
    shape = Shape(vms, target_s=target_s, **shape_options)
    async with AsyncExitStack() as stack:
        world = await build_world(shape, stack)
        first = await world.publish("1", seed=1)
        for vm in world.vms_by_id.values():
            vm.weights.start()
        checks = Checks(world)
        tasks = [asyncio.create_task(job) for job in (checks.probe(), checks.live())]
        try:
            result = await _distribute(world, first.digest, "1")
            result |= checks.live_result()
            result |= await _update(world)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        result |= {"probes": checks.probes_, "mixed": checks.mixed_}
    async with AsyncExitStack() as stack:
        result |= await _naive(shape)
    result["target_seconds"] = target_s
    result["speedup"] = round(result["naive_seconds"] / result["seconds"], 2)
    return result


class Checks:
    """Ask engines for answers and send live traffic between the regions."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.probes_ = 0
        self.mixed_ = 0
        self.live_sent_ = 0
        self.live_delays_: list[float] = []
        self.live_started_ = 0.0

    async def probe(self) -> None:
        """Compare each token with the version that the answer names."""
        known = {"previous"}
        for vm in cycle(list(self.world.vms_by_id.values())):
            known |= {
                v.digest for v in self.world.configuration.versions_by_id.values()
            }
            prompt = f"probe {self.probes_}"
            with suppress(ClientError):
                answer = await self.world.session.post(
                    f"{vm.engine_url}/run/generate",
                    json={"prompt": prompt, "max_tokens": 2},
                )
                digest = answer.headers["X-Weights-Digest"]
                consistent = digest in known and _tokens(await answer.text()) == [
                    make_token(digest, prompt, index) for index in range(2)
                ]
                self.probes_ += 1
                self.mixed_ += not (consistent and self._is_verified(vm, digest))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _is_verified(self, vm, digest: str) -> bool:
        staged = vm.engine.staged_by_digest_.get(digest)
        return digest == "previous" or (staged is not None and staged.verified())

    async def live(self) -> None:
        """Send live traffic at most of the region link's share for live requests."""
        shape = self.world.shape
        link = self.world.region_links[REGIONS]
        rate = (
            shape.rate(shape.region_copies) * (1 - shape.region_share) * LIVE_LOAD_SHARE
        )
        vms = list(self.world.vms_by_id.values())
        sender = next(vm for vm in vms if vm.region == REGIONS[0])
        receiver = next(vm for vm in vms if vm.region == REGIONS[1])
        receiver.shell.handlers_by_type[Data] = self._live_arrived
        loop = asyncio.get_running_loop()
        self.live_started_ = due = loop.time()
        jobs: set[asyncio.Task] = set()
        while True:
            job = asyncio.create_task(self._live_one(link, sender, receiver, due))
            jobs.add(job)
            job.add_done_callback(jobs.discard)
            self.live_sent_ += 1
            due += LIVE_MESSAGE_BYTES / rate
            await asyncio.sleep(max(0.0, due - loop.time()))

    async def _live_one(self, link: RateLimiter, sender, receiver, due: float) -> None:
        await link.send(LIVE_MESSAGE_BYTES)
        payload = due.hex().encode().ljust(LIVE_MESSAGE_BYTES)
        sender.shell.peer.send(
            receiver.shell.peer.address_, Data("live", 0, self.live_sent_, payload)
        )

    def _live_arrived(self, peer: str, message: Data) -> None:
        due = float.fromhex(message.payload.decode().strip())
        self.live_delays_.append(asyncio.get_running_loop().time() - due)

    def live_result(self) -> dict:
        """Return the share of the offered live traffic that arrived, and its delay."""
        delays = sorted(self.live_delays_)
        percentiles = quantiles(delays, n=100) if len(delays) > 1 else [0.0] * 99
        return {
            "live_share": round(len(delays) / max(1, self.live_sent_), 3),
            "live_p50_ms": round(percentiles[49] * 1000, 1),
            "live_p99_ms": round(percentiles[98] * 1000, 1),
        }


async def _distribute(world: World, digest: str, version: str) -> dict:
    shape = world.shape
    loop = asyncio.get_running_loop()
    cpu_started = process_time()
    started = loop.time()
    world.deploy(version)
    for vm in world.vms_by_id.values():
        vm.shell.dispatch(ConfigurationChanged(world.configuration.offset))
    await wait_until(
        lambda: _serving(world, digest) == shape.vms,
        shape.bound_s * TIMEOUT_BOUND_FACTOR,
    )
    seconds = loop.time() - started
    vms = world.vms_by_id.values()
    control = sum(
        vm.weights.plan.announcer_.sent_bytes_ + vm.weights.rollout.table_.sent_bytes_
        for vm in vms
    )
    return {
        "replicas": _serving(world, digest),
        "seconds": round(seconds, 2),
        "bound_seconds": round(shape.bound_s, 2),
        "ratio": round(seconds / shape.bound_s, 3),
        "origin_copies": round(world.origin_bytes(version) / shape.size, 3),
        "region_copies": round(world.crossed_bytes_ / shape.size, 3),
        "corrupted_injected": world.platform.counters_["corrupted"],
        "cpu_share": round((process_time() - cpu_started) / seconds, 2),
        "control_bytes_per_vm_second": round(control / shape.vms / seconds),
        "buffered_bytes_max": max(vm.weights.buffered_bytes_max_ for vm in vms),
        "chunk_buffer": next(iter(vms)).weights.plan.limits.chunk_buffer,
    }


async def _update(world: World) -> dict:
    """Distribute a version that shares most chunks with the last one."""
    second = await world.publish("2", seed=2, base="1", shared=SHARED_CHUNK_SHARE)
    before = sum(_received(vm) for vm in world.vms_by_id.values())
    outcome = await _distribute(world, second.digest, "2")
    transferred = sum(_received(vm) for vm in world.vms_by_id.values()) - before
    shape = world.shape
    return {
        "update_replicas": outcome["replicas"],
        "update_seconds": outcome["seconds"],
        "update_moved_share": round(transferred / shape.vms / shape.size, 3),
        "update_changed_share": round(
            1 - int(shape.chunks * SHARED_CHUNK_SHARE) / shape.chunks, 3
        ),
    }


async def _naive(shape: Shape) -> dict:
    """Run with every VM fetching chunks from the origin, over the same links.

    Only as many chunks as fit the time budget are fetched. The origin's link is
    the bottleneck, so the time is scaled to all chunks, except for the transfer of
    the last chunk over the VM's link.
    """
    per_chunk = shape.vms * shape.chunk_bytes / shape.rate(shape.origin_copies)
    chunks = max(1, min(shape.chunks, int(NAIVE_S / per_chunk)))
    async with AsyncExitStack() as stack:
        world = await build_world(shape, stack)
        await world.publish("1", seed=1)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(
            *(_fetch_all(world, vm, shape, chunks) for vm in world.vms_by_id.values())
        )
        seconds = loop.time() - started
    return {
        "naive_seconds": round(
            (seconds - shape.chunk_s) * shape.chunks / chunks + shape.chunk_s, 2
        ),
        "naive_measured_chunks": chunks,
    }


async def _fetch_all(world: World, vm, shape: Shape, chunks: int) -> None:
    client = PlatformClient(world.session, world.platform_url)
    for index in range(chunks):
        with suppress(PlatformError):
            payload = await client.chunk(MODEL, "1", index, max_bytes=shape.chunk_bytes)
            await vm.incoming.send(len(payload))


def _serving(world: World, digest: str) -> int:
    return sum(
        vm.weights.confirmed_digest == digest and vm.engine.digest_ == digest
        for vm in world.vms_by_id.values()
    )


def _received(vm) -> int:
    return sum(vm.weights.received_bytes_by_source_.values())


def _tokens(text: str) -> list[str]:
    events = [line for line in text.splitlines() if line.startswith('data: {"i"')]
    return [json.loads(event.removeprefix("data: "))["t"] for event in events]
