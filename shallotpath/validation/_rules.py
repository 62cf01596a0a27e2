"""Rules that a configuration is checked against."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta

from ..gateway import CallerLimits, Catalog, Route, RouteKind, Service, Team
from ._findings import Deployment, Finding, Severity

# Range of priorities that engines accept; 0 is the most urgent.
MAX_PRIORITY = 9
# More findings of one rule are summed up in one line.
MAX_FINDINGS_PER_RULE = 50


def check_configuration(
    catalog: Catalog,
    teams: Sequence[Team],
    service_ids: Sequence[str],
    deployment: Deployment,
) -> list[Finding]:
    """Return all findings, errors first.

    `teams` and `service_ids` hold every entry as written; the catalog keeps only one of
    those that share a key or an id.
    """
    findings = [
        *_check_matching(catalog),
        *_check_shares(catalog),
        *_check_route_times(catalog.routes),
        *_check_attempts(catalog.routes, deployment),
        *_check_priorities(catalog.routes, teams),
        *_check_services(catalog, service_ids),
        *_check_teams(catalog, teams),
        *_check_regions(catalog, teams, deployment),
        *_check_limits(catalog.limits, deployment),
    ]
    findings = list(_limit_per_rule(findings))
    findings.sort(key=lambda finding: finding.severity is not Severity.ERROR)
    return findings


def _error(code: str, place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, code, place, message)


def _warning(code: str, place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, code, place, message)


def _limit_per_rule(findings: Iterable[Finding]) -> Iterator[Finding]:
    """Leave out what exceeds the limit of a rule; tell how many were left out."""
    count_by_code: Counter[str] = Counter()
    severity_by_code: dict[str, Severity] = {}
    for finding in findings:
        count_by_code[finding.code] += 1
        severity_by_code[finding.code] = finding.severity
        if count_by_code[finding.code] <= MAX_FINDINGS_PER_RULE:
            yield finding
    for code, count in count_by_code.items():
        more = count - MAX_FINDINGS_PER_RULE
        if more > 0:
            message = f"{more} more findings of this rule are not shown"
            yield Finding(severity_by_code[code], code, "configuration", message)


def _check_matching(catalog: Catalog) -> Iterator[Finding]:
    """Find routes that the matcher never returns."""
    seen_ids: set[str] = set()
    for route in catalog.routes:
        place = f"route {route.id}"
        if route.id in seen_ids:
            yield _error("route-twice", place, "the name stands twice; rename one")
        seen_ids.add(route.id)
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(
                "prefix-form",
                place,
                f"prefix {route.prefix!r} does not begin and end with a slash",
            )
            continue
        found = catalog.match(route.host, route.prefix)
        if found is None:
            yield _error(
                "never-matches",
                place,
                f"no request has the host {route.host!r}; write it without a port",
            )
        elif found is not route:
            yield _error(
                "hidden-route",
                place,
                f"route {found.id} has the same host and prefix and is matched first",
            )


def _check_shares(catalog: Catalog) -> Iterator[Finding]:
    """Find routes whose services do not exist or get no requests."""
    for route in catalog.routes:
        place = f"route {route.id}"
        for share in route.shares:
            if share.service in catalog.origins_by_id:
                yield _error(
                    "origin-as-service",
                    place,
                    f"service {share.service} is an origin of weights",
                )
            elif share.service not in catalog.services_by_id:
                yield _error(
                    "unknown-service", place, f"service {share.service} does not exist"
                )
            if share.weight < 0:
                yield _error(
                    "negative-weight",
                    place,
                    f"service {share.service} has the weight {share.weight:g}",
                )
            elif share.weight == 0:
                yield _warning(
                    "zero-weight",
                    place,
                    f"service {share.service} has the weight 0 and gets no requests",
                )
        if sum(share.weight for share in route.shares) <= 0:
            yield _error("no-weight", place, "the weights sum up to nothing")


def _check_route_times(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find times of routes that exclude each other."""
    for route in routes:
        place = f"route {route.id}"
        if route.timeout <= timedelta():
            yield _error("no-timeout", place, "the timeout is not above 0 ms")
        elif route.target_latency > route.timeout:
            yield _error(
                "target-above-timeout",
                place,
                f"the target of {_ms(route.target_latency)} is above the timeout of "
                f"{_ms(route.timeout)}",
            )
        if route.target_latency <= timedelta():
            yield _warning("no-target", place, "the target latency is not above 0 ms")
        is_stream = route.kind is RouteKind.STREAM
        if is_stream and route.gap_target > route.timeout:
            yield _error(
                "gap-above-timeout",
                place,
                f"the gap target of {_ms(route.gap_target)} is above the timeout of "
                f"{_ms(route.timeout)}",
            )
        if route.resumable and not is_stream:
            yield _warning(
                "resume-without-stream", place, "only streams can be resumed"
            )


def _check_attempts(
    routes: Iterable[Route], deployment: Deployment
) -> Iterator[Finding]:
    """Find numbers of attempts that are never reached."""
    ratio, extra = deployment.budget_ratio, deployment.budget_extra
    has_no_budget = ratio is not None and ratio <= 0 and not extra
    for route in routes:
        place = f"route {route.id}"
        if route.max_attempts < 1:
            yield _error(
                "no-attempt", place, f"{route.max_attempts} attempts serve nobody"
            )
        elif route.max_attempts > 1 and has_no_budget:
            yield _warning(
                "attempts-without-budget",
                place,
                f"{route.max_attempts} attempts are allowed, but the retry budget of "
                "the deployment is 0",
            )


def _check_priorities(
    routes: Iterable[Route], teams: Sequence[Team]
) -> Iterator[Finding]:
    """Find priorities out of range, and those of teams, which order nothing."""
    for kind, items in (("route", routes), ("team", teams)):
        for item in items:
            priority = item.priority
            if priority is not None and not 0 <= priority <= MAX_PRIORITY:
                yield _error(
                    "priority-range",
                    f"{kind} {item.id}",
                    f"priority {priority} is not between 0 and {MAX_PRIORITY}",
                )
    if len({team.priority for team in teams}) > 1:
        yield _warning(
            "team-priority-unused",
            "teams",
            "requests are ordered by the priorities of routes; those of teams have no "
            "effect",
        )


def _check_services(catalog: Catalog, service_ids: Sequence[str]) -> Iterator[Finding]:
    """Find services that get no requests or whose limits contradict each other."""
    for service_id, count in Counter(service_ids).items():
        if count > 1:
            yield _error(
                "service-twice",
                f"service {service_id}",
                f"the name stands {count} times; only the last entry is used",
            )
    reached = {share.service for route in catalog.routes for share in route.shares}
    for service in catalog.services_by_id.values():
        place = f"service {service.id}"
        if service.id not in reached:
            yield _warning("unreached-service", place, "no route leads to it")
        if service.max_connections < 0:
            yield _error("connections", place, "the connection limit is negative")
        yield from _check_cold_limit(service, place)
        yield from _check_engine(service, place)


def _check_cold_limit(service: Service, place: str) -> Iterator[Finding]:
    if service.cold_period < timedelta() or service.cold_requests_per_s < 0:
        yield _error("cold-range", place, "a cold limit is negative")
    elif service.cold_period and not service.cold_requests_per_s:
        yield _warning(
            "cold-without-rate",
            place,
            f"cold for {service.cold_period.total_seconds():g} s, but without a rate "
            "there is no limit",
        )
    elif service.cold_requests_per_s and not service.cold_period:
        yield _warning(
            "rate-without-cold",
            place,
            f"the rate of {service.cold_requests_per_s:g}/s never applies, as no "
            "upstream is ever cold",
        )


def _check_engine(service: Service, place: str) -> Iterator[Finding]:
    engine = service.engine
    if engine is None:
        return
    if engine.slots < 1:
        yield _error("no-slots", place, "the engine has no slots")
    usual_tokens = engine.usual_prompt_tokens + engine.usual_output_tokens
    if engine.memory_tokens < usual_tokens:
        yield _error(
            "engine-memory",
            place,
            f"the engine holds {engine.memory_tokens} tokens, a usual request needs "
            f"{usual_tokens}",
        )
    if not service.models:
        yield _error("no-model", place, "the engine runs no model")


def _check_teams(catalog: Catalog, teams: Sequence[Team]) -> Iterator[Finding]:
    """Find teams that cannot call, and keys that stand twice."""
    needs_key = any(not route.public for route in catalog.routes)
    if catalog.requires_keys and not teams and needs_key:
        yield _error("no-teams", "teams", "there is no team, but routes need a key")
    if not catalog.requires_keys and needs_key:
        yield _warning(
            "open-routes",
            "teams",
            "without teams, routes that are not public are open to everybody",
        )
    team_by_key: dict[str, str] = {}
    for team, count in Counter(team.id for team in teams).items():
        if count > 1:
            yield _error("team-twice", f"team {team}", "the name stands twice")
    for team in teams:
        place = f"team {team.id}"
        if not team.keys:
            yield _warning("no-keys", place, "the team has no key and cannot call")
        for number, key in enumerate(team.keys, 1):
            owner = team_by_key.setdefault(key, team.id)
            is_repeat = key in team.keys[: number - 1]
            if owner != team.id:
                # The key itself is a secret and is not printed.
                yield _error(
                    "shared-key", place, f"key {number} is also one of team {owner}"
                )
            elif is_repeat:
                yield _warning("key-twice", place, f"key {number} stands twice")


def _check_regions(
    catalog: Catalog, teams: Sequence[Team], deployment: Deployment
) -> Iterator[Finding]:
    """Find regions without a failure domain, and pairs that share none."""
    known = set(deployment.regions_by_domain.values())
    for kind, items in (("route", catalog.routes), ("team", teams)):
        for item in items:
            unknown = sorted(item.regions - known) if known else []
            if not unknown:
                continue
            nowhere = item.regions <= set(unknown)
            make = _error if nowhere else _warning
            what = "its requests can be served nowhere" if nowhere else "it is ignored"
            yield make(
                "unknown-region",
                f"{kind} {item.id}",
                f"no failure domain is in {', '.join(unknown)}; {what}",
            )
    restricted = [team for team in teams if team.regions]
    for route in catalog.routes:
        if not route.regions or route.public:
            continue
        apart = [team.id for team in restricted if not team.regions & route.regions]
        if apart:
            yield _warning(
                "regions-exclude",
                f"route {route.id}",
                f"shares no region with team {', '.join(sorted(apart)[:5])}"
                + (f" and {len(apart) - 5} more" if len(apart) > 5 else ""),
            )


def _check_limits(limits: CallerLimits, deployment: Deployment) -> Iterator[Finding]:
    """Find limits of callers that cut each other or exceed what an entry can hold."""
    for name, value in (
        ("header_bytes", limits.header_bytes),
        ("body_bytes", limits.body_bytes),
        ("header_timeout", limits.header_timeout.total_seconds()),
        ("idle_timeout", limits.idle_timeout.total_seconds()),
    ):
        if value <= 0:
            yield _error("limit-range", f"limit {name}", "the limit is not above 0")
    if limits.idle_timeout < limits.header_timeout:
        yield _warning(
            "idle-below-header",
            "limit idle_timeout",
            f"{_ms(limits.idle_timeout)} ends a connection before its "
            f"{_ms(limits.header_timeout)} for a request's head are over",
        )
    max_body = deployment.max_body_bytes
    if max_body is not None and limits.body_bytes > max_body:
        yield _error(
            "body-above-memory",
            "limit body_bytes",
            f"{limits.body_bytes} bytes are allowed, but an idle entry holds "
            f"{max_body} at most",
        )


def _ms(duration: timedelta) -> str:
    return f"{duration / timedelta(milliseconds=1):g} ms"
