"""Deterministic fold of log records into the configuration."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch

from ._checks import check_base, check_change, check_conflict, object_written
from ._model import DomainState, Service
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
    Snapshot,
    TakeDomainOut,
)
from ._state import ChangeMark, ConfigurationState, Outcome, prune_state


@dataclass(slots=True, frozen=True)
class Accepted:
    """Report that a record took effect."""


@dataclass(slots=True, frozen=True)
class Rejected:
    """Report why a record had no effect and how to proceed."""

    reason: str
    remedy: str


@dataclass(slots=True, frozen=True)
class Repeated:
    """Report that an earlier record of the same command was already decided."""

    first: Outcome


Verdict = Accepted | Rejected | Repeated


def fold(state: ConfigurationState, offset: int, record: Record) -> Verdict:
    """Apply the record that follows the state and return the verdict."""
    state.offset = offset
    if isinstance(record.change, Snapshot):
        state.snapshot_record_offset = offset
        return Accepted()
    verdict = judge(state, offset, record)
    if isinstance(verdict, Repeated):
        return verdict
    if isinstance(verdict, Accepted):
        apply_change(record.change, state)
        header = record.header
        state.marks_by_object[object_written(record.change)] = ChangeMark(
            offset, header.operator, header.command_id
        )
    outcome = make_outcome(offset, record, verdict)
    state.outcomes_by_command_id[record.header.command_id] = outcome
    prune_state(state)
    return verdict


def judge(state: ConfigurationState, offset: int, record: Record) -> Verdict:
    """Return the verdict on a record without applying it."""
    first = state.outcomes_by_command_id.get(record.header.command_id)
    if first is not None:
        return Repeated(first)
    fault = (
        check_base(record, offset)
        or check_conflict(record, state)
        or check_change(record.change, state)
    )
    return Accepted() if fault is None else Rejected(*fault)


def make_outcome(offset: int, record: Record, verdict: Verdict) -> Outcome:
    """Describe a verdict for the history."""
    if isinstance(verdict, Repeated):
        return verdict.first
    header = record.header
    rejected = isinstance(verdict, Rejected)
    return Outcome(
        offset,
        header.command_id,
        header.operator,
        header.at,
        summarise(record.change),
        not rejected,
        verdict.reason if rejected else "",
        verdict.remedy if rejected else "",
    )


def summarise(change: Change) -> str:
    """Return a short description of a change."""
    return f"{type(change).__name__}: {object_written(change)}"


@singledispatch
def apply_change(change: Change, state: ConfigurationState) -> None:
    """Apply a checked change to the state."""
    raise TypeError(f"{type(change).__name__} is not a change")


@apply_change.register
def _(change: PutTeam, state: ConfigurationState) -> None:
    state.teams_by_id[change.team.id] = change.team


@apply_change.register
def _(change: DeleteTeam, state: ConfigurationState) -> None:
    del state.teams_by_id[change.id]


@apply_change.register
def _(change: PutService, state: ConfigurationState) -> None:
    _replace_service(change.service, state)


@apply_change.register
def _(change: DeleteService, state: ConfigurationState) -> None:
    del state.services_by_id[change.id]
    state.previous_version_by_service.pop(change.id, None)
    if change.id in state.paused_services:
        state.paused_services.remove(change.id)


@apply_change.register
def _(change: PutVersion, state: ConfigurationState) -> None:
    state.versions_by_id[change.version.id] = change.version


@apply_change.register
def _(change: DeleteVersion, state: ConfigurationState) -> None:
    del state.versions_by_id[change.id]


@apply_change.register
def _(change: DefinePreset, state: ConfigurationState) -> None:
    state.presets_by_id[change.preset.id] = change.preset


@apply_change.register
def _(change: ApplyPreset, state: ConfigurationState) -> None:
    state.preset_id = change.id


@apply_change.register
def _(change: TakeDomainOut, state: ConfigurationState) -> None:
    domain = state.domains_by_id[change.id]
    state.domains_by_id[change.id] = replace(domain, out=True)


@apply_change.register
def _(change: BringDomainIn, state: ConfigurationState) -> None:
    known = state.domains_by_id.get(change.id)
    region = change.region or (known.region if known is not None else "")
    state.domains_by_id[change.id] = DomainState(change.id, region)


@apply_change.register
def _(change: PauseRollout, state: ConfigurationState) -> None:
    if change.service not in state.paused_services:
        state.paused_services.append(change.service)


@apply_change.register
def _(change: ResumeRollout, state: ConfigurationState) -> None:
    if change.service in state.paused_services:
        state.paused_services.remove(change.service)


@apply_change.register
def _(change: RollBack, state: ConfigurationState) -> None:
    service = state.services_by_id[change.service]
    previous = state.previous_version_by_service[change.service]
    _replace_service(replace(service, version=previous), state)


def _replace_service(service: Service, state: ConfigurationState) -> None:
    known = state.services_by_id.get(service.id)
    if known is not None and known.version and known.version != service.version:
        state.previous_version_by_service[service.id] = known.version
    state.services_by_id[service.id] = service
