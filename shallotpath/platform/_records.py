"""Decoders for the records of the platform's store."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import msgspec

from ..core import PlatformError
from ..gateway import (
    CallerLimits,
    Catalog,
    CatalogAnnounced,
    DomainDisabled,
    DomainEnabled,
    EngineRates,
    OperatorRecord,
    Origin,
    Route,
    RouteKind,
    Service,
    Team,
    UpstreamRecord,
    WeightedService,
    WeightsAnnounced,
)
from ..settings import check_host_port
from ._decoding import DECODING_ERRORS, describe_error

CONFIGURATION_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
VERSION_PREFIX = "version/"
# Longer than any upstream stays cold; a larger number is an error of its writer.
MAX_COLD_REMAINING = timedelta(days=1)
_ROUTE_KINDS_BY_NAME = {
    "idempotent": RouteKind.REPEATABLE,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
_DEFAULT_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 * 1024 * 1024,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class RecordError(PlatformError):
    """Report a record that cannot be decoded."""


def decode_operator_record(key: str, value: bytes | None) -> OperatorRecord | None:
    """Decode an operator's record; return `None` if this system ignores its key."""
    if key.startswith(EVACUATE_PREFIX):
        domain = key.removeprefix(EVACUATE_PREFIX)
        return DomainEnabled(domain) if value is None else DomainDisabled(domain)
    if value is None:
        return None
    if key == CONFIGURATION_KEY:
        return _decode(key, value, lambda fields: CatalogAnnounced(_catalog(fields)))
    if key.startswith(VERSION_PREFIX):
        return _decode(key, value, _weights_announced)
    return None


def decode_upstream(key: str, value: bytes) -> UpstreamRecord:
    """Decode the record of an upstream or raise `RecordError`."""
    return _decode(key, value, lambda fields: _upstream(key, fields))


def _decode(key: str, value: bytes, build):
    try:
        fields = msgspec.json.decode(value)
        if not isinstance(fields, dict):
            raise TypeError("record is not a JSON object")
        return build(fields)
    except DECODING_ERRORS as error:
        raise RecordError(
            f"record {key!r} cannot be decoded: {describe_error(error)}; the last "
            "valid record stays in force; correct the record and write it again"
        ) from error


def _ms(value: Any) -> timedelta:
    return timedelta(milliseconds=_number(value))


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{value!r} is not a number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def _catalog(fields: dict[str, Any]) -> Catalog:
    limits = _DEFAULT_LIMITS | (fields.get("limits") or {})
    services = [service for service in fields["services"] if not service.get("origin")]
    origins = [service for service in fields["services"] if service.get("origin")]
    teams = [_team(item) for item in fields.get("tenants") or ()]
    return Catalog(
        version=int(_number(fields["version"])),
        routes=tuple(_route(item) for item in fields["routes"]),
        services_by_id={item["name"]: _service(item) for item in services},
        origins_by_id={item["name"]: _origin(item) for item in origins},
        teams_by_key={key: team for team in teams for key in team.keys},
        limits=CallerLimits(
            header_bytes=int(limits["maxHeaderBytes"]),
            body_bytes=int(limits["maxBodyBytes"]),
            header_timeout=_ms(limits["headerTimeoutMs"]),
            idle_timeout=_ms(limits["idleTimeoutMs"]),
        ),
        requires_keys="tenants" in fields,
    )


def _origin(item: dict[str, Any]) -> Origin:
    link_mbps, connections = item.get("linkMbps"), item.get("maxConns")
    return Origin(
        item["name"],
        # `origin` is the address from which weights are fetched.
        item["origin"],
        bytes_per_s=_number(link_mbps) * 1_000_000 / 8 if link_mbps else None,
        max_connections=int(_number(connections)) if connections else None,
    )


def _route(item: dict[str, Any]) -> Route:
    split = item.get("split") or [{"service": item.get("service"), "weight": 1}]
    return Route(
        id=_text(item["name"]),
        host=_text(item["host"]),
        prefix=_text(item["pathPrefix"]),
        kind=_ROUTE_KINDS_BY_NAME[item["kind"]],
        timeout=_ms(item["timeoutMs"]),
        target_latency=_ms(item["targetLatencyMs"]),
        priority=int(item.get("priority") or 0),
        shares=tuple(
            WeightedService(_text(part["service"]), _number(part["weight"]))
            for part in split
        ),
        max_attempts=int(item.get("maxAttempts") or 1),
        public=bool(item.get("public")),
        resumable=bool(item.get("canResume")),
        # Longest gap between two events of a stream that meets its target.
        gap_target=_ms(item.get("gapTargetMs") or 0),
        # Regions in which a request of the route may be served.
        regions=frozenset(item.get("allowedRegions") or ()),
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    models = engine.get("models") or [] if engine else []
    return Service(
        id=_text(item["name"]),
        health_path=item.get("healthPath") or "/",
        max_connections=int(item.get("maxConns") or 0),
        cold_period=timedelta(seconds=_number(item.get("coldS") or 0)),
        # Requests a second that a cold upstream can serve.
        cold_requests_per_s=_number(item.get("coldPerS") or 0),
        engine=_engine_rates(engine) if engine else None,
        models=tuple(_text(model["name"]) for model in models),
        # `warmS` is the time in seconds that an engine needs to load staged weights.
        load_time=timedelta(
            seconds=max(
                (_number(model_fields.get("warmS") or 0) for model_fields in models),
                default=0,
            )
        ),
    )


def _engine_rates(item: dict[str, Any]) -> EngineRates:
    # Token counts of a typical request.
    usual = item.get("usual") or {}
    return EngineRates(
        slots=int(item["slots"]),
        # A decode step takes `step_ms`, plus `per_seq_ms` for each running request and
        # `context_per_k` for each 1000 tokens of its context.
        step=_ms(item["step_ms"]),
        step_per_sequence=_ms(item.get("per_seq_ms") or 0),
        step_per_kilotoken=_ms(item.get("context_per_k") or 0),
        # Prompt tokens are read at `read_per_s`; attention adds `pairs_per_m` for each
        # million pairs of tokens.
        prefill_tokens_per_s=_number(item["read_per_s"]),
        prefill_per_megapair=_ms(item.get("pairs_per_m") or 0),
        # `chunk` is the number of prompt tokens that one pass reads.
        chunk_tokens=int(item["chunk"]),
        # `stride` is the number of decode steps in a pass with running requests.
        steps_per_pass=int(item.get("stride") or 1),
        # `kvTokens` is the size of the key-value cache, counted in tokens.
        memory_tokens=int(item["kvTokens"]),
        usual_prompt_tokens=int(usual.get("prompt") or 500),
        usual_output_tokens=int(usual.get("answer") or 100),
    )


def _team(item: dict[str, Any]) -> Team:
    priority = item.get("priority")
    return Team(
        id=_text(item["name"]),
        keys=tuple(_text(key) for key in item.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        regions=frozenset(item.get("allowedRegions") or ()),
    )


def _weights_announced(fields: dict[str, Any]) -> WeightsAnnounced:
    return WeightsAnnounced(_text(fields["model"]), int(_number(fields["version"])))


def _upstream(key: str, fields: dict[str, Any]) -> UpstreamRecord:
    state = fields["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"state {state!r} is not known")
    models = fields.get("models") or []
    address = _text(fields["address"])
    check_host_port(address)
    cold_remaining = _ms(fields.get("coldLeftMs") or 0)
    if cold_remaining > MAX_COLD_REMAINING:
        raise ValueError(f"cold for another {cold_remaining}")
    return UpstreamRecord(
        id=key,
        service=_text(fields["service"]),
        address=address,
        domain=_text(fields["zone"]),
        slots=int(_number(fields["slots"])),
        draining=state == "draining",
        cold_remaining=cold_remaining,
        # `born` is the start time of the process. A process that restarts keeps its
        # id but none of its state.
        started_ms=int(_number(fields.get("born") or 0)),
        versions_by_model={
            _text(model["name"]): int(_number(model.get("version") or 0))
            for model in models
        },
    )
