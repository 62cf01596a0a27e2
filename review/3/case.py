"""A frozen process orders a load on the strength of an outdated check.

The mate reads all staged pieces back and checks them before it orders the engine to
load them. It is frozen between the check and the order. Some staged pieces turn bad
meanwhile, over three seconds before it wakes, and it orders the load without another
check. Callers then get tokens made with them.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys
from pathlib import Path

import aiohttp
from aiohttp import web

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    LAYERS,
    MODEL,
    OPERATOR_TOPIC,
    PIECE_BYTES,
    PIECES,
    CaseError,
    Clients,
    Machine,
    Store,
    Worker,
    configuration,
    engine_route,
    engine_service,
    free_ports_once,
    run_case,
)

ZONES = {"a-1": "a", "b-1": "b"}
NAMINGS = 3
# Time from the last read of the check until the freeze.
FREEZE_DELAY_S = 0.008
FREEZE_S = 4.0
ROT_DELAY_S = 0.4
ROT_SHARE = 0.06
# A piece that turned bad this short before the load is excused.
EXCUSED_S = 3.0
LOAD_S = 0.3
NAMING_LIMIT_S = 25.0


def piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    seed = hashlib.sha256(f"{version}/{number}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


class Origin:
    """Serve manifests and pieces."""

    def __init__(self) -> None:
        self.newest = 1

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        version = int(request.query.get("version", self.newest))
        if request.path == f"/manifest/{MODEL}":
            digests = [
                hashlib.sha256(piece(version, n)).hexdigest() for n in range(PIECES)
            ]
            manifest = {"model": MODEL, "version": version, "layers": LAYERS}
            manifest |= {"chunkBytes": PIECE_BYTES, "digests": digests}
            return web.json_response(manifest)
        if request.path == f"/piece/{MODEL}":
            return web.Response(body=piece(version, int(request.query["num"])))
        return web.Response(status=404)


class EngineWorker(Worker):
    """Stage pieces, load them on an order, and stream tokens made with them."""

    def __init__(self, store: Store, port: int) -> None:
        super().__init__(store, service="llm", zone="a-1", port=port, slots=16)
        self.version, self.busy, self.orders = 1, False, 0
        self.staged = {number: piece(1, number) for number in range(PIECES)}
        # When pieces turned bad.
        self.bad_since: dict[int, float] = {}
        # Pieces that were bad for too long when the load took them.
        self.taken_bad: list[int] = []
        self.bad_tokens = 0
        self.reads = 0
        self.check_read = asyncio.Event()
        self.loads: set[asyncio.Task] = set()
        self._set_models()

    def _set_models(self) -> None:
        layers = {"from": 0, "to": LAYERS, "version": self.version}
        held = {"name": MODEL, "version": self.version, "adapters": []}
        self.models = [held | {"layers": layers}]

    def rot(self) -> None:
        """Let some staged pieces turn bad."""
        for number in range(0, PIECES, round(1 / ROT_SHARE)):
            self.staged[number] = b"x" * PIECE_BYTES
            self.bad_since[number] = self.record.now()
        self.record.write(f"staged pieces {sorted(self.bad_since)} turn bad")

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/report":
            report = {"stage": "both", "models": self.models, "busy": self.busy}
            report |= {"seq": self.orders, "queued": 0, "active": self.active}
            report |= {"kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": self.born}
            return web.json_response(report)
        if request.path == f"/stage-put/{MODEL}":
            number = int(request.query["num"])
            self.staged[number] = await request.read()
            self.bad_since.pop(number, None)
            self.reads = 0
            return web.Response()
        if request.path == f"/stage-get/{MODEL}":
            return self._staged(request)
        if request.path == "/order":
            return await self._order(request)
        if self.busy:
            headers = {"Shallotpath-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        return await super()._handle(request)

    def _staged(self, request: web.BaseRequest) -> web.Response:
        if "num" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        self.reads += 1
        if self.reads == PIECES:
            self.check_read.set()
        return web.Response(body=self.staged[int(request.query["num"])])

    async def _order(self, request: web.BaseRequest) -> web.Response:
        order = await request.json()
        if order.get("expect", self.orders) != self.orders or self.busy:
            return web.Response(status=409)
        self.orders += 1
        self.busy = True
        now = self.record.now()
        self.taken_bad = [
            number for number, at in self.bad_since.items() if now - at > EXCUSED_S
        ]
        self.record.write(
            f"worker {self.id} takes version {order['version']}; "
            f"pieces bad for over {EXCUSED_S:.0f} s: {self.taken_bad}"
        )
        task = asyncio.create_task(self._load(order["version"]))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)
        return web.Response(status=202)

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version, self.busy = version, False
        self._set_models()
        self.register()
        self.record.write(f"worker {self.id} holds version {version}")

    async def answer(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Stream tokens made with the loaded layers."""
        await asyncio.sleep(0.05)
        if self.taken_bad:
            self.bad_tokens += 1
            request_id = headers["Shallotpath-Request-Id"]
            self.record.write(f"WHOLE: tokens of {request_id} are made with bad pieces")
        versions = {"Shallotpath-Weight-Versions": str(self.version)}
        response = web.StreamResponse(
            headers=headers | versions | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        for number in range(1, 5):
            await response.write(b"id: %d\ndata: tokens\n\n" % number)
            await asyncio.sleep(0.02)
        return response


async def press(clients: Clients, machine: Machine) -> None:
    """Send requests for tokens."""
    number = 0
    while True:
        number += 1
        headers = {
            "Shallotpath-Model": MODEL,
            "Shallotpath-Token-Counts": "600,40",
            "Shallotpath-Prompt-Prefix": f"5ca1ab1e:40,{number:08x}:560",
        }
        clients.start(machine, "POST", "/guide/a", "guide.example", headers, 6078)
        await asyncio.sleep(0.3)


async def name_version(
    store: Store, engine: EngineWorker, mate: Machine, version: int, trouble: bool
) -> None:
    """Name new weights, freeze the mate after its check, and await the load."""
    engine.check_read.clear()
    store.put(OPERATOR_TOPIC, f"version/{MODEL}", {"model": MODEL, "version": version})
    engine.record.write(f"store acknowledged: version {version}")
    async with asyncio.timeout(NAMING_LIMIT_S):
        await engine.check_read.wait()
        if trouble:
            await asyncio.sleep(FREEZE_DELAY_S)
            mate.freeze()
            await asyncio.sleep(ROT_DELAY_S)
            engine.rot()
            await asyncio.sleep(FREEZE_S - ROT_DELAY_S)
            mate.wake()
        while engine.version != version:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)


async def case(record, folder, trouble) -> int:
    """Run the case and return its exit code."""
    store, origin = Store(record), Origin()
    runner = web.ServerRunner(web.Server(origin.handle), shutdown_timeout=0.1)
    (origin_port, engine_port) = free_ports_once(2)
    await runner.setup()
    await web.TCPSite(runner, HOST, origin_port).start()
    engine = EngineWorker(store, engine_port)
    services = [engine_service()]
    services.append({"name": "files", "origin": f"{HOST}:{origin_port}"})
    store.put(OPERATOR_TOPIC, "config", configuration([engine_route()], services))
    machines, tasks = [], []
    for name, address in (("edge1", ""), ("mate1", f"{HOST}:{engine_port}")):
        (port,) = free_ports_once(1)
        await store.listen(name, port)
        options = {"zone": "a-1", "zones": ZONES, "store_port": port}
        machines.append(
            Machine(name, folder=folder, record=record, engine=address, **options)
        )
    edge, mate = machines
    try:
        await engine.start()
        async with aiohttp.ClientSession() as session:
            for machine in machines:
                await machine.start()
            await edge.wait_until_ready(session)
            tasks.append(asyncio.create_task(press(Clients(record, session), edge)))
            await asyncio.sleep(3.0)
            for version in range(2, 2 + NAMINGS):
                origin.newest = version
                await name_version(store, engine, mate, version, trouble)
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            await machine.end()
        await engine.stop()
        await runner.cleanup()
        await store.close()
    if not engine.runs:
        raise CaseError("the worker got no requests")
    print(f"requests with tokens made with bad pieces: {engine.bad_tokens}")
    return BROKEN if engine.bad_tokens else HELD


if __name__ == "__main__":
    sys.exit(run_case("3", case))
