"""Rules that a change must satisfy; shared by the fold and by shallotctl."""

from __future__ import annotations

from functools import singledispatch

from ._model import ServiceKind
from ._records import (
    ApplyPreset,
    BringDomainIn,
    Change,
    DefinePreset,
    DeleteService,
    DeleteTeam,
    DeleteVersion,
    PauseRollout,
    PutService,
    PutTeam,
    PutVersion,
    Record,
    ResumeRollout,
    RollBack,
    TakeDomainOut,
)
from ._state import HISTORY_RECORDS, ConfigurationState

# The reason why a change is rejected, and a remedy for the operator.
Fault = tuple[str, str]


def check_base(record: Record, offset: int) -> Fault | None:
    """Check that the base offset is recent and lies before the record."""
    base = record.header.base_offset
    if base >= offset:
        return f"base offset {base} is not before {offset}", "read the log again"
    if offset - base > HISTORY_RECORDS:
        return (
            f"base offset {base} is more than {HISTORY_RECORDS} records old",
            "read the configuration again and repeat the command",
        )
    return None


def check_conflict(record: Record, state: ConfigurationState) -> Fault | None:
    """Check that no object the record depends on changed after its base offset."""
    for key in objects_read(record.change):
        mark = state.marks_by_object.get(key)
        if mark is not None and mark.offset > record.header.base_offset:
            return (
                f"{key} was changed by {mark.operator} at offset {mark.offset} "
                f"(command {mark.command_id}) after you read it",
                f"look at the change with 'shallotctl diff --since "
                f"{record.header.base_offset}', then repeat the command",
            )
    return None


@singledispatch
def objects_read(change: Change) -> list[str]:
    """Return the keys of the objects that the change depends on."""
    raise TypeError(f"{type(change).__name__} is not a change")


@objects_read.register
def _(change: PutTeam) -> list[str]:
    return [f"team {change.team.id}"]


@objects_read.register
def _(change: DeleteTeam) -> list[str]:
    return [f"team {change.id}"]


@objects_read.register
def _(change: PutService) -> list[str]:
    return [f"service {change.service.id}"]


@objects_read.register
def _(change: DeleteService) -> list[str]:
    return [f"service {change.id}"]


@objects_read.register
def _(change: PutVersion) -> list[str]:
    return [f"version {change.version.id}"]


@objects_read.register
def _(change: DeleteVersion) -> list[str]:
    return [f"version {change.id}"]


@objects_read.register
def _(change: DefinePreset) -> list[str]:
    return [f"preset {change.preset.id}"]


@objects_read.register
def _(change: ApplyPreset) -> list[str]:
    return ["preset in force", f"preset {change.id}"]


@objects_read.register(TakeDomainOut)
@objects_read.register(BringDomainIn)
def _(change: TakeDomainOut | BringDomainIn) -> list[str]:
    return [f"domain {change.id}"]


@objects_read.register(PauseRollout)
@objects_read.register(ResumeRollout)
def _(change: PauseRollout | ResumeRollout) -> list[str]:
    return [f"rollout {change.service}"]


@objects_read.register
def _(change: RollBack) -> list[str]:
    return [f"service {change.service}"]


def object_written(change: Change) -> str:
    """Return the key of the object that the change replaces."""
    return objects_read(change)[0]


@singledispatch
def check_change(change: Change, state: ConfigurationState) -> Fault | None:
    """Check a change against the state that it would replace."""
    return None


@check_change.register
def _(change: PutTeam, state: ConfigurationState) -> Fault | None:
    team = change.team
    if not team.id or not team.token_digest:
        return "a team needs an id and a token", "give both"
    if team.weight < 1 or team.max_in_flight < 1:
        return "weight and max_in_flight must be at least 1", "give larger values"
    for other in state.teams_by_id.values():
        if other.token_digest == team.token_digest and other.id != team.id:
            return f"team {other.id} has the same token", "create another token"
    return None


@check_change.register
def _(change: DeleteTeam, state: ConfigurationState) -> Fault | None:
    return _check_exists("team", change.id, state.teams_by_id)


@check_change.register
def _(change: PutService, state: ConfigurationState) -> Fault | None:
    service = change.service
    if not service.id or "/" in service.id:
        return "a service needs an id without '/'", "choose another id"
    if service.min_ready < 1:
        return "min_ready must be at least 1", "give a larger value"
    if service.kind is ServiceKind.PLAIN or not service.version:
        return None
    version_id = f"{service.model}/{service.version}"
    return _check_exists("version", version_id, state.versions_by_id)


@check_change.register
def _(change: DeleteService, state: ConfigurationState) -> Fault | None:
    return _check_exists("service", change.id, state.services_by_id)


@check_change.register
def _(change: PutVersion, state: ConfigurationState) -> Fault | None:
    version = change.version
    if not version.model or not version.version or not version.digest:
        return "a version needs a model, a name and a digest", "publish it again"
    if version.size < 1 or version.chunk_bytes < 1:
        return "size and chunk must be at least 1 byte", "give larger values"
    known = state.versions_by_id.get(version.id)
    if known is not None and known.digest != version.digest:
        return (
            f"version {version.id} is recorded with another digest",
            "publish the weights under a new version name",
        )
    return None


@check_change.register
def _(change: DeleteVersion, state: ConfigurationState) -> Fault | None:
    for service in state.services_by_id.values():
        if f"{service.model}/{service.version}" == change.id:
            return f"service {service.id} runs {change.id}", "change the service first"
    return _check_exists("version", change.id, state.versions_by_id)


@check_change.register
def _(change: DefinePreset, state: ConfigurationState) -> Fault | None:
    preset = change.preset
    if not preset.id:
        return "a preset needs an id", "give one"
    for name in ("retry_share", "queue_share", "weights_rate_share"):
        if not 0 <= getattr(preset, name) <= 1:
            return f"{name} must be from 0 to 1", "give a share"
    return None


@check_change.register
def _(change: ApplyPreset, state: ConfigurationState) -> Fault | None:
    return _check_exists("preset", change.id, state.presets_by_id)


@check_change.register
def _(change: TakeDomainOut, state: ConfigurationState) -> Fault | None:
    fault = _check_exists("domain", change.id, state.domains_by_id)
    if fault is not None or change.force:
        return fault
    serving = [d.id for d in state.domains_by_id.values() if not d.out]
    if serving == [change.id]:
        return (
            f"{change.id} is the last failure domain that serves",
            "bring another domain in first, or repeat with --force",
        )
    return None


@check_change.register
def _(change: BringDomainIn, state: ConfigurationState) -> Fault | None:
    if not change.id:
        return "a failure domain needs an id", "give one"
    if change.id not in state.domains_by_id and not change.region:
        return f"domain {change.id} is new and needs a region", "give --region"
    return None


@check_change.register(PauseRollout)
@check_change.register(ResumeRollout)
def _(change: PauseRollout | ResumeRollout, state: ConfigurationState) -> Fault | None:
    return _check_exists("service", change.service, state.services_by_id)


@check_change.register
def _(change: RollBack, state: ConfigurationState) -> Fault | None:
    fault = _check_exists("service", change.service, state.services_by_id)
    if fault is not None:
        return fault
    previous = state.previous_version_by_service.get(change.service, "")
    if not previous:
        return f"{change.service} ran no other version", "put the service instead"
    model = state.services_by_id[change.service].model
    return _check_exists("version", f"{model}/{previous}", state.versions_by_id)


def _check_exists(kind: str, key: str, known: dict) -> Fault | None:
    if key in known:
        return None
    names = ", ".join(sorted(known)) or "none"
    return f"{kind} {key!r} does not exist", f"use one of: {names}"
