"""Naive baseline: round robin, no limits, retry on any error."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from itertools import cycle
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 10.0


class NaiveEntry:
    """Forward each request straight to the engines of its service in turn.

    An answer is read as fast as the engine sends it and kept in memory until
    the caller has read it.
    """

    def __init__(self, engines_by_service: dict[str, Sequence[str]]) -> None:
        self.engines_by_service = engines_by_service
        self.cycle_by_service_ = {
            service: cycle(urls) for service, urls in engines_by_service.items()
        }
        self.held_bytes_ = 0
        self.held_bytes_max_ = 0
        self.attempts_ = 0
        self.session_: ClientSession | None = None

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application()
        app.router.add_post("/{service}/{path:.*}", self._forward)
        app.on_startup.append(self._open)
        app.on_cleanup.append(self._close)
        return app

    async def _open(self, app: web.Application) -> None:
        self.session_ = ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(ATTEMPT_TIMEOUT_S)
        )

    async def _close(self, app: web.Application) -> None:
        await self.session_.close()

    async def _forward(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        for _ in range(MAX_ATTEMPTS):
            self.attempts_ += 1
            engine = next(self.cycle_by_service_[request.match_info["service"]])
            try:
                return await self._attempt(request, engine, body)
            except (TimeoutError, ClientError, RuntimeError):
                continue
        raise web.HTTPBadGateway

    async def _attempt(
        self, request: web.Request, engine: str, body: bytes
    ) -> web.StreamResponse:
        headers = {"X-Request-Id": uuid4().hex}
        if "Idempotency-Key" in request.headers:
            headers["Idempotency-Key"] = request.headers["Idempotency-Key"]
        url = f"{engine}/run/{request.match_info['path']}"
        async with self.session_.post(url, data=body, headers=headers) as answer:
            if answer.status != 200:
                raise ClientError(f"status {answer.status}")
            response = web.StreamResponse(
                headers={
                    "Content-Type": answer.headers["Content-Type"],
                    "X-Weights-Digest": answer.headers.get("X-Weights-Digest", ""),
                }
            )
            await response.prepare(request)
            await self._relay(answer.content, response)
        await response.write_eof()
        return response

    async def _relay(self, content, response: web.StreamResponse) -> None:
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        writer = asyncio.create_task(self._write(queue, response))
        try:
            async for chunk in content.iter_any():
                self._add_held_bytes(len(chunk))
                queue.put_nowait(chunk)
            queue.put_nowait(None)
            await writer
        finally:
            writer.cancel()
            while not queue.empty():
                self._add_held_bytes(-len(queue.get_nowait() or b""))

    async def _write(self, queue: asyncio.Queue, response: web.StreamResponse) -> None:
        while (chunk := await queue.get()) is not None:
            await response.write(chunk)
            self._add_held_bytes(-len(chunk))

    def _add_held_bytes(self, change: int) -> None:
        self.held_bytes_ += change
        self.held_bytes_max_ = max(self.held_bytes_max_, self.held_bytes_)
