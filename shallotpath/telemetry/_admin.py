"""HTTP endpoints for operators: health, metrics, status and events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from time import process_time

from aiohttp import web

from ._telemetry import ProcessTelemetry

StatusSource = Callable[[], dict]


def make_admin_app(
    telemetry: ProcessTelemetry, status: StatusSource
) -> web.Application:
    """Return the aiohttp application that serves operators and their tools."""

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def metrics(request: web.Request) -> web.Response:
        telemetry.gauge("process_cpu_seconds", {}, process_time())
        body, headers = telemetry.metrics.expose(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def status_page(request: web.Request) -> web.Response:
        return web.json_response(status())

    async def events(request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return web.Response(status=400, text="after must be an integer\n")
        selected = telemetry.events_after(after)
        return web.json_response({"events": [asdict(event) for event in selected]})

    app = web.Application()
    app.add_routes(
        [
            web.get("/healthz", healthz),
            web.get("/metrics", metrics),
            web.get("/status", status_page),
            web.get("/events", events),
        ]
    )
    return app
