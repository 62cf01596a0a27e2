from datetime import timedelta
from random import Random

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    Breaker,
    CallerLimits,
    Catalog,
    CatalogAnnounced,
    Dispatcher,
    EngineRates,
    EntrySubsets,
    GatewayCall,
    LoadTracker,
    LostRequest,
    OperatorState,
    PlacementRules,
    Route,
    RouteKind,
    Service,
    UpstreamRecord,
    UpstreamTable,
    WeightedService,
    WriteTime,
)


def ms(value):
    return timedelta(milliseconds=value)


RATES = EngineRates(
    slots=16,
    step=ms(9.27),
    step_per_sequence=ms(0.0232),
    step_per_kilotoken=ms(0.0322),
    prefill_tokens_per_s=20_700,
    prefill_per_megapair=ms(1.18),
    chunk_tokens=2048,
    steps_per_pass=5,
    memory_tokens=317_000,
    usual_prompt_tokens=979,
    usual_output_tokens=92,
)


def lost_request(fingerprint, upstream_id, now, parts=()):
    return LostRequest(fingerprint, upstream_id, upstream_id, now, parts)


REGIONS = {"a-1": "a", "b-1": "b", "c-1": "c"}


def make_route(**changes):
    values = {
        "id": "r",
        "host": "h.example",
        "prefix": "/m/",
        "kind": RouteKind.STREAM,
        "timeout": ms(6000),
        "target_latency": ms(400),
        "priority": 1,
        "shares": (WeightedService("llm", 1),),
        "max_attempts": 2,
        "public": False,
        "resumable": True,
        "gap_target": ms(400),
        "regions": frozenset(),
    }
    return Route(**(values | changes))


def make_catalog(version=1, routes=None, cold_per_s=26.0):
    llm = Service("llm", "/health", 294, ms(3000), cold_per_s, RATES, ("m",))
    plain = Service("desk", "/health", 100, timedelta(), 0.0)
    return Catalog(
        version=version,
        routes=tuple(routes or [make_route()]),
        services_by_id={"llm": llm, "desk": plain},
        origins_by_id={},
        teams_by_key={},
        limits=CallerLimits(16384, 4 << 20, ms(3000), ms(15000)),
        requires_keys=True,
    )


def make_record(number, domain="a-1", service="llm", version=1, **changes):
    values = {
        "id": f"u{number}",
        "service": service,
        "address": f"10.0.0.{number}:80",
        "domain": domain,
        "slots": 16,
        "draining": False,
        "cold_remaining": timedelta(),
        "started_ms": 1,
        "versions_by_model": {"m": version} if version else {},
    }
    return UpstreamRecord(**(values | changes))


def make_call(number=0, now=EPOCH, **changes):
    values = {
        "request_id": f"q{number}",
        "route": make_route(),
        "service": "llm",
        "team": "t",
        "priority": 1,
        "regions": frozenset(),
        "arrived_at": now,
        "caller_timeout": ms(6078),
        "fingerprint": f"f{number}",
        "model": "m",
        "prompt_tokens": 979,
        "output_tokens": 92,
    }
    return GatewayCall(**(values | changes))


def make_regions(entries):
    """Return the regions of some entries, spread over three."""
    return {f"e{number}": "abc"[number % 3] for number in range(entries)}


def make_subsets(number=0, entries=1):
    """Return the subsets as one of some entries knows them."""
    regions = make_regions(entries)
    subsets = EntrySubsets(f"e{number}", regions[f"e{number}"])
    subsets.update(regions)
    return subsets


def make_dispatcher(records=(), seed=1, catalog=None, domain="a-1", subsets=None):
    operator = OperatorState()
    operator.apply(CatalogAnnounced(catalog or make_catalog()), WriteTime(EPOCH))
    upstreams = UpstreamTable()
    for record in records:
        upstreams.apply(record, EPOCH)
    return Dispatcher(
        rules=PlacementRules(domain, REGIONS, ms(8000), 1.5, 5.0),
        operator=operator,
        upstreams=upstreams,
        loads=LoadTracker(service_of=upstreams.service_id),
        breaker=Breaker(),
        subsets=subsets or make_subsets(),
        random=Random(seed),
    )
