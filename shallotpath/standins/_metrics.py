"""Expose the counters of a stand-in to Prometheus."""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp import web

from ..telemetry import Metrics


def counters_route(name: str, counters: Mapping[str, int]) -> web.RouteDef:
    """Return the route that serves the counters as one gauge with a label."""

    async def serve_metrics(request: web.Request) -> web.Response:
        metrics = Metrics({"node": name})
        for kind, amount in counters.items():
            metrics.gauge("standin_events", {"kind": kind}, amount)
        body, headers = metrics.expose(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    return web.get("/metrics", serve_metrics)
