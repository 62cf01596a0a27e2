"""Helpers that run the platform's processes on loopback, for tests."""

import asyncio
import json
import socket
from contextlib import AsyncExitStack, asynccontextmanager

from shallotpath.core import MonotonicClock
from shallotpath.fleet import LineReporter, SidecarProcess
from shallotpath.platform import (
    METRICS_PORT_VARIABLE,
    OPERATOR_TOPIC,
    parse_process_settings,
)

from .standins import HOST, StoreStandIn, listen

ENGINE = {
    "slots": 4,
    "kvTokens": 1000,
    "models": [{"name": "m", "warmS": 0.1}],
    "step_ms": 9,
    "read_per_s": 20000,
    "chunk": 2048,
}


def make_config(version, origin="127.0.0.1:1"):
    return {
        "version": version,
        "routes": [],
        "services": [
            {"name": "llm", "engine": ENGINE},
            {"name": "files", "origin": origin},
        ],
        "tenants": [],
    }


def make_server(**changes):
    return {
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": "a-1",
        "slots": 4,
        "state": "ready",
    } | changes


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def make_settings(name, store_port, engine_port=None, metrics_port=None, domain="a-1"):
    callers, ready, peer = free_ports(3)
    lines = [
        f"node={name}",
        f"ip={HOST}",
        f"zone={domain}",
        "zones.a-1=a",
        "zones.b-1=b",
        f"internalPorts={peer},{peer}",
        f"platform.address={HOST}:{store_port}",
    ]
    if engine_port is None:
        lines += [f"listen.front={HOST}:{callers}", f"listen.ready={HOST}:{ready}"]
    else:
        lines += [f"app={HOST}:{engine_port}"]
    environment = {METRICS_PORT_VARIABLE: str(metrics_port)} if metrics_port else {}
    return parse_process_settings("\n".join(lines), environment)


class Output:
    """Collect log lines instead of writing them to standard output."""

    def __init__(self):
        self.lines = []

    def write(self, line):
        self.lines.append(json.loads(line))

    def flush(self):
        pass

    def kinds(self):
        return [line["message"] for line in self.lines]


@asynccontextmanager
async def running(process_cls, settings, clock=None):
    clock = clock or MonotonicClock()
    reporter = LineReporter(settings.node, settings.domain, clock, Output())
    process = process_cls(settings, clock=clock, reporter=reporter)
    await process.start()
    try:
        yield process
    finally:
        await process.stop()


async def until(condition, limit=5.0):
    async with asyncio.timeout(limit):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@asynccontextmanager
async def stores(log, count):
    async with AsyncExitStack() as stack:
        result = []
        for _ in range(count):
            store = StoreStandIn(log)
            runner, port = await listen(store.handle)
            stack.push_async_callback(runner.cleanup)
            result.append((store, port))
        yield result


@asynccontextmanager
async def sidecars(log, origin, *engines, clock=None):
    """Run a sidecar for each engine, with the given origin in the configuration."""
    async with AsyncExitStack() as stack:
        ((_, store_port),) = await stack.enter_async_context(stores(log, 1))
        runner, origin_port = await listen(origin.handle)
        stack.push_async_callback(runner.cleanup)
        log.put(OPERATOR_TOPIC, "config", make_config(1, f"{HOST}:{origin_port}"))
        processes = []
        for number, engine in enumerate(engines):
            runner, port = await listen(engine.handle)
            stack.push_async_callback(runner.cleanup)
            settings = make_settings(f"mate-{number}", store_port, port)
            processes.append(
                await stack.enter_async_context(
                    running(SidecarProcess, settings, clock)
                )
            )
        yield processes
