"""Stand-ins for the platform's store, the weight origin and an engine."""

import asyncio
import base64
import hashlib
import json
import time
from collections import Counter

from aiohttp import web

HOST = "127.0.0.1"


async def listen(handler):
    """Serve a handler on a free port; return the runner and the port."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]


class Log:
    """Hold the records of the store's keyed topics, and fall back to older copies."""

    def __init__(self, era=1, clock=time.monotonic):
        # Sent in all answers; `None` sends nothing.
        self.era = era
        # All stores that serve the log refuse calls.
        self.away = False
        self.clock = clock
        self.topics = {}
        self.firsts = {}
        # Times at which the records of a topic were written.
        self.times = {}
        # Ends of the copy that the last fall returned to.
        self.copied = {}

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, data)

    def put_raw(self, topic, key, data):
        self.topics.setdefault(topic, []).append((key, data))
        self.times.setdefault(topic, []).append(self.clock())

    def forget_history(self, topic):
        self.firsts[topic] = len(self.topics.get(topic, []))

    def fall_back(self, age_s=0.0):
        """Return to a copy of an age; return the lost records of each topic."""
        copied_until = self.clock() - age_s
        lost = {}
        for topic, records in self.topics.items():
            kept = sum(at < copied_until for at in self.times[topic])
            lost[topic] = records[kept:]
            self.copied[topic] = kept
            del records[kept:], self.times[topic][kept:]
            self.firsts[topic] = min(self.firsts.get(topic, 0), kept)
        self.era += 1
        return lost

    def write_again(self, topic, lost):
        """Write the last lost record of each key again, as its writer does.

        Keys that were written since the fall are left out.
        """
        written = {key for key, _ in self.topics[topic][self.copied[topic] :]}
        for key, data in dict(lost.get(topic, ())).items():
            if key not in written:
                self.put_raw(topic, key, data)


class StoreStandIn:
    """Serve a log over HTTP, or refuse all calls with 503."""

    def __init__(self, log):
        self.log = log
        self.refusing = False
        self.calls = 0
        # Listings by topic.
        self.listings = Counter()

    async def handle(self, request):
        self.calls += 1
        response = await self._answer(request)
        if self.log.era is not None:
            response.headers["Store-Era"] = str(self.log.era)
        return response

    async def _answer(self, request):
        if self.refusing or self.log.away:
            return web.Response(status=503)
        topic = request.query["topic"]
        records = self.log.topics.get(topic, [])
        if request.path == "/log-newest":
            self.listings[topic] += 1
            newest = {k: (v, n) for n, (k, v) in enumerate(records)}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": n}
                for k, (v, n) in newest.items()
                if v
            ]
            page = {"items": items, "hasMore": False, "end": len(records)}
            return web.json_response(page)
        if request.path == "/log-read":
            start, first = int(request.query["from"]), self.log.firsts.get(topic, 0)
            if not first <= start <= len(records):
                return web.json_response({"first": first}, status=410)
            body = len(records).to_bytes(8, "big") + bytes(8)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += len(content).to_bytes(4, "big") + content
            return web.Response(body=body)
        if request.path == "/log-append":
            return await self._append(request, topic, len(records))
        return web.Response(status=404)

    async def _append(self, request, topic, end):
        body = await request.read()
        if int(request.query.get("at", end)) != end:
            return web.json_response({"end": end}, status=412)
        length = body[4]
        self.log.put_raw(topic, body[5 : 5 + length].decode(), body[5 + length :])
        return web.json_response({"offset": end, "end": end + 1})


class Origin:
    """Serve versions of a model; chunks in `spoilt` are corrupt the first time."""

    def __init__(self, chunks=8):
        self.count = chunks
        self.sent = 0
        self.spoilt = set()
        # Changes to the fields of the next manifest.
        self.manifest_changes = {}

    def chunk(self, version, index):
        return f"{version}/{index}".encode() * 100

    async def handle(self, request):
        version = int(request.query.get("version", "1"))
        if request.path.startswith("/manifest/"):
            digests = [
                hashlib.sha256(self.chunk(version, i)).hexdigest()
                for i in range(self.count)
            ]
            body = {"model": "m", "version": version, "layers": 4, "digests": digests}
            body |= self.manifest_changes
            self.manifest_changes = {}
            return web.json_response(body)
        index = int(request.query["num"])
        self.sent += 1
        if index in self.spoilt:
            self.spoilt.discard(index)
            return web.Response(body=b"corrupt")
        return web.Response(body=self.chunk(version, index))


class Engine:
    """Store staged chunks and load them unchecked; some get corrupt or lost once."""

    def __init__(self):
        self.staged = {}
        self.version = 0
        self.loaded = {}
        self.orders = []
        self.corrupts_once = set()
        self.loses_once = set()
        # The next order is accepted, but its answer does not arrive.
        self.loses_answer_once = False
        # Reports show the state before any order.
        self.reports_late = False
        self.refused_orders = 0
        # Called with the number of staged chunks that were read since the last order.
        self.on_read = lambda reads: None
        self.reads = 0
        self.read_delay_s = 0.0

    async def handle(self, request):
        if request.path == "/report":
            shown = self.version and not self.reports_late
            models = [{"name": "m", "version": self.version}] if shown else []
            seq = 0 if self.reports_late else len(self.orders)
            report = {"models": models, "busy": False, "born": 1, "seq": seq}
            return web.json_response(report)
        if request.path == "/order":
            return await self._take_order(request)
        if request.path.startswith("/stage-put/"):
            self.staged[int(request.query["num"])] = await request.read()
            return web.Response()
        if "num" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        index = int(request.query["num"])
        if index in self.loses_once:
            self.loses_once.discard(index)
            self.staged.pop(index, None)
        if index not in self.staged:
            return web.Response(status=404)
        if index in self.corrupts_once:
            self.corrupts_once.discard(index)
            self.staged[index] = b"corrupt"
        await asyncio.sleep(self.read_delay_s)
        body = self.staged[index]
        self.reads += 1
        self.on_read(self.reads)
        return web.Response(body=body)

    async def _take_order(self, request):
        order = await request.json()
        if order.get("expect", len(self.orders)) != len(self.orders):
            self.refused_orders += 1
            return web.Response(status=409)
        self.reads = 0
        self.orders.append(order["version"])
        self.version, self.loaded = order["version"], dict(self.staged)
        if self.loses_answer_once:
            self.loses_answer_once = False
            request.transport.abort()
        return web.Response(status=202)
