"""Commands for teams, services, versions, presets, domains and rollouts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import Annotated

import msgspec
from aiohttp import ClientError, ClientTimeout
from cyclopts import App, Parameter

from ..config import (
    ApplyPreset,
    BringDomainIn,
    ConfigurationState,
    DefinePreset,
    DeleteService,
    DeleteTeam,
    DeleteVersion,
    ModelVersion,
    PauseRollout,
    Preset,
    PutService,
    PutTeam,
    PutVersion,
    ResumeRollout,
    RollBack,
    Service,
    ServiceKind,
    TakeDomainOut,
    Team,
)
from ..core import PlatformError, SettingError, parse_size, sha256_hex
from ._ctl_options import EXIT_DONE, Options
from ._ctl_session import (
    Session,
    change,
    open_session,
    parse_seconds_option,
    print_rows,
)

PUBLISH_TIMEOUT_S = 60.0
DEFAULT_OPTIONS = Options()

teams = App(name="teams", help="Teams that may call services.")
services = App(name="services", help="Services that callers reach.")
versions = App(name="versions", help="Published model weights.")
presets = App(name="presets", help="Limits and priorities of a kind of day.")
domains = App(name="domains", help="Failure domains.")
rollouts = App(name="rollouts", help="Rolling updates of services.")


async def show_objects(
    options: Options,
    choose: Callable[[ConfigurationState], Mapping[str, object]],
    key: str = "",
) -> int:
    """Print all objects of a kind, or the one with the given key."""
    async with open_session(options) as session:
        found = choose((await session.read()).state_)
    if key and key not in found:
        names = ", ".join(sorted(found)) or "none"
        raise SettingError(f"{key!r} does not exist; use one of: {names}")
    chosen = {key: found[key]} if key else found
    rows = [
        {"id": id, **msgspec.to_builtins(item)} for id, item in sorted(chosen.items())
    ]
    columns = list(rows[0]) if rows else ["id"]
    print_rows(options, columns, rows)
    return EXIT_DONE


@teams.command(name="list")
async def list_teams(*, options: Options = DEFAULT_OPTIONS) -> int:
    """List all teams."""
    return await show_objects(options, lambda state: state.teams_by_id)


@teams.command(name="put")
async def put_team(
    id: str,
    *,
    token: str,
    weight: int = 1,
    priority: int = 0,
    max_in_flight: int = 1000,
    options: Options = DEFAULT_OPTIONS,
) -> int:
    """Create or replace a team; only the digest of its token is recorded."""
    digest = sha256_hex(token.encode())
    team = Team(id, digest, weight, priority, max_in_flight)
    return await change(options, PutTeam(team))


@teams.command(name="delete")
async def delete_team(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Remove a team."""
    confirm = f"Callers of team {id} will be refused."
    return await change(options, DeleteTeam(id), confirm=confirm)


@services.command(name="list")
async def list_services(*, options: Options = DEFAULT_OPTIONS) -> int:
    """List all services."""
    return await show_objects(options, lambda state: state.services_by_id)


@services.command(name="put")
async def put_service(
    id: str,
    *,
    kind: ServiceKind = ServiceKind.MODEL,
    model: str = "",
    version: str = "",
    non_repeatable_path: Annotated[list[str] | None, Parameter()] = None,
    min_ready: int = 1,
    default_deadline: str = "30s",
    bytes_per_token: int = 1024,
    default_max_tokens: int = 256,
    options: Options = DEFAULT_OPTIONS,
) -> int:
    """Create or replace a service."""
    service = Service(
        id,
        kind,
        model,
        version,
        [path.strip("/") for path in non_repeatable_path or []],
        min_ready,
        timedelta(seconds=parse_seconds_option(default_deadline)),
        bytes_per_token,
        default_max_tokens,
    )
    return await change(options, PutService(service))


@services.command(name="set-version")
async def set_version(
    id: str, version: str, *, options: Options = DEFAULT_OPTIONS
) -> int:
    """Start a rolling update of a service to another version."""
    async with open_session(options) as session:
        state = (await session.read()).state_
    known = state.services_by_id.get(id)
    if known is None:
        raise SettingError(f"service {id!r} does not exist; create it with 'put'")
    put = PutService(replace(known, version=version))
    return await change(options, put, base=state.offset)


@services.command(name="delete")
async def delete_service(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Remove a service."""
    confirm = f"Service {id} will take no more work."
    return await change(options, DeleteService(id), confirm=confirm)


@versions.command(name="list")
async def list_versions(*, options: Options = DEFAULT_OPTIONS) -> int:
    """List all recorded versions."""
    return await show_objects(options, lambda state: state.versions_by_id)


@versions.command(name="publish")
async def publish_version(
    model: str,
    version: str,
    *,
    size: str,
    chunk: str = "1MiB",
    seed: int = 1,
    base: str = "",
    shared: float = 0.0,
    region: str = "",
    options: Options = DEFAULT_OPTIONS,
) -> int:
    """Publish weights at the platform's origin, then record the version."""
    query = {
        "size": parse_size_option(size),
        "chunk": parse_size_option(chunk),
        "seed": seed,
        "base": base,
        "shared": shared,
    }
    digest = "dry-run"
    if not options.dry_run:
        async with open_session(options) as session:
            digest = await put_weights(session, model, version, query)
    recorded = ModelVersion(
        model, version, digest, query["size"], query["chunk"], region
    )
    return await change(options, PutVersion(recorded))


def parse_size_option(text: str) -> int:
    """Return the bytes of an option with a size or raise `SettingError`."""
    try:
        return parse_size(text)
    except ValueError as error:
        raise SettingError(str(error)) from error


async def put_weights(session: Session, model: str, version: str, query: dict) -> str:
    """Publish synthetic weights and return the digest of their manifest."""
    url = f"{session.client.url}/versions/{model}/{version}"
    try:
        async with session.http.put(
            url, params=query, timeout=ClientTimeout(PUBLISH_TIMEOUT_S)
        ) as response:
            if response.status == 200:
                return (await response.json())["digest"]
            text = (await response.text()).strip()
    except (ClientError, TimeoutError) as error:
        text = type(error).__name__
    raise PlatformError(
        f"the origin did not take {model}/{version} ({text}); nothing was "
        "recorded, check the platform and repeat"
    )


@versions.command(name="delete")
async def delete_version(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Remove a version, named MODEL/VERSION, that no service runs."""
    confirm = f"Version {id} can no longer be rolled out or back."
    return await change(options, DeleteVersion(id), confirm=confirm)


@presets.command(name="list")
async def list_presets(*, options: Options = DEFAULT_OPTIONS) -> int:
    """List all presets and name the one in force."""
    async with open_session(options) as session:
        state = (await session.read()).state_
    rows = [
        {"id": id, "in_force": id == state.preset_id}
        for id in sorted(state.presets_by_id)
    ]
    print_rows(options, ["id", "in_force"], rows)
    return EXIT_DONE


@presets.command(name="show")
async def show_preset(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Show one preset."""
    return await show_objects(options, lambda state: state.presets_by_id, id)


@presets.command(name="define")
async def define_preset(
    id: str,
    *,
    retry_share: float | None = None,
    domain_ramp: str | None = None,
    queue_share: float | None = None,
    weights_rate_share: float | None = None,
    min_priority: int | None = None,
    options: Options = DEFAULT_OPTIONS,
) -> int:
    """Create a preset or change the given values of an existing one."""
    ramp = (
        None
        if domain_ramp is None
        else timedelta(seconds=parse_seconds_option(domain_ramp))
    )
    given = {
        "retry_share": retry_share,
        "domain_ramp": ramp,
        "queue_share": queue_share,
        "weights_rate_share": weights_rate_share,
        "min_priority": min_priority,
    }
    async with open_session(options) as session:
        state = (await session.read()).state_
    known = state.presets_by_id.get(id, Preset(id))
    changed = {name: value for name, value in given.items() if value is not None}
    define = DefinePreset(replace(known, **changed))
    return await change(options, define, base=state.offset)


@presets.command(name="apply")
async def apply_preset(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Put a preset in force."""
    async with open_session(options) as session:
        state = (await session.read()).state_
    new = state.presets_by_id.get(id)
    confirm = ""
    if new is not None:
        current = state.presets_by_id[state.preset_id]
        if new.min_priority > current.min_priority:
            confirm = f"Calls below priority {new.min_priority} will be refused."
    return await change(options, ApplyPreset(id), confirm=confirm, base=state.offset)


@domains.command(name="list")
async def list_domains(*, options: Options = DEFAULT_OPTIONS) -> int:
    """List all failure domains."""
    return await show_objects(options, lambda state: state.domains_by_id)


@domains.command(name="out")
async def take_out(
    id: str, *, force: bool = False, options: Options = DEFAULT_OPTIONS
) -> int:
    """Stop new work for a failure domain."""
    confirm = f"Domain {id} will take no new work."
    return await change(options, TakeDomainOut(id, force), confirm=confirm)


@domains.command(name="in")
async def bring_in(
    id: str, *, region: str = "", options: Options = DEFAULT_OPTIONS
) -> int:
    """Allow new work for a failure domain."""
    return await change(options, BringDomainIn(id, region))


@rollouts.command(name="pause")
async def pause_rollout(service: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Stop further upstreams of a service from switching versions."""
    return await change(options, PauseRollout(service))


@rollouts.command(name="resume")
async def resume_rollout(service: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Allow upstreams of a service to switch versions again."""
    return await change(options, ResumeRollout(service))


@rollouts.command(name="back")
async def roll_back(service: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Return a service to the version that it ran before."""
    return await change(options, RollBack(service))
