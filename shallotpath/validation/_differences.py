"""Differences between two configurations and their effect on requests."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, fields
from functools import singledispatch

from ..gateway import (
    CallerLimits,
    Catalog,
    Origin,
    Route,
    Service,
    Team,
    WeightedService,
)

# Keys of teams are secrets; only their number is shown.
HIDDEN_FIELDS = frozenset({"keys"})


@dataclass(slots=True, frozen=True)
class Difference:
    """Describe one object that was added, removed or changed."""

    # One of `added`, `removed`, `changed`.
    change: str
    place: str
    detail: str
    # What it means for requests in flight and for later ones.
    effect: str


def compare_catalogs(
    old: Catalog, new: Catalog, old_teams: Sequence[Team], new_teams: Sequence[Team]
) -> list[Difference]:
    """Return how `new` differs from `old`, by kind and then by id."""
    return [
        *_compare(_by_id(old.routes), _by_id(new.routes), "route"),
        *_compare(old.services_by_id, new.services_by_id, "service"),
        *_compare(old.origins_by_id, new.origins_by_id, "origin"),
        *_compare(_by_id(old_teams), _by_id(new_teams), "team"),
        *_compare({"": old.limits}, {"": new.limits}, "limits"),
        *_compare_key_use(old, new),
    ]


def _by_id(items: Sequence) -> dict[str, object]:
    return {item.id: item for item in items}


def _compare(old: Mapping, new: Mapping, kind: str) -> Iterator[Difference]:
    for id in sorted(old.keys() | new.keys()):
        place = f"{kind} {id}".strip()
        before, after = old.get(id), new.get(id)
        if before is None:
            yield Difference("added", place, "", effect_of_addition(after))
        elif after is None:
            yield Difference("removed", place, "", effect_of_removal(before))
        elif before != after:
            changed = [
                field.name
                for field in fields(before)
                if getattr(before, field.name) != getattr(after, field.name)
            ]
            detail = "; ".join(_describe(before, after, name) for name in changed)
            yield Difference("changed", place, detail, effect_of_change(after, changed))


def _compare_key_use(old: Catalog, new: Catalog) -> Iterator[Difference]:
    if old.requires_keys != new.requires_keys:
        effect = (
            "requests without a known key are denied, except on public routes"
            if new.requires_keys
            else "requests need no key any more"
        )
        yield Difference("changed", "teams", "", effect)


def _describe(before: object, after: object, name: str) -> str:
    old, new = getattr(before, name), getattr(after, name)
    if name in HIDDEN_FIELDS:
        added, removed = len(set(new) - set(old)), len(set(old) - set(new))
        return f"{name}: {added} added, {removed} removed"
    return f"{name}: {_show(old)} -> {_show(new)}"


@singledispatch
def _show(value: object) -> str:
    return str(value)


@_show.register
def _(value: frozenset) -> str:
    return ", ".join(sorted(value)) or "any"


@_show.register
def _(value: tuple) -> str:
    return ", ".join(_show(item) for item in value)


@_show.register
def _(value: WeightedService) -> str:
    return f"{value.service} x {value.weight:g}"


@singledispatch
def effect_of_addition(item: object) -> str:
    """Return what the addition of an object means for requests."""
    return "available to routes of this configuration"


@effect_of_addition.register
def _(item: Route) -> str:
    return "requests to it are served once an entry has the configuration"


@effect_of_addition.register
def _(item: Team) -> str:
    return "its keys are accepted"


@singledispatch
def effect_of_removal(item: object) -> str:
    """Return what the removal of an object means for requests."""
    return "gets no new requests; those in flight are answered"


@effect_of_removal.register
def _(item: Route) -> str:
    return "new requests get 404 or a shorter prefix; those in flight are answered"


@effect_of_removal.register
def _(item: Team) -> str:
    return "new requests with its keys get 401; those in flight are answered"


@effect_of_removal.register
def _(item: Origin) -> str:
    return "no more weights are fetched from it"


@singledispatch
def effect_of_change(item: object, changed: Sequence[str]) -> str:
    """Return what the change of some fields of an object means for requests."""
    return "new requests follow it; those in flight keep what they began with"


@effect_of_change.register
def _(item: Team, changed: Sequence[str]) -> str:
    if "keys" in changed:
        return "new requests with removed keys get 401; those in flight are answered"
    return "new requests follow it; those in flight keep what they began with"


@effect_of_change.register
def _(item: Service, changed: Sequence[str]) -> str:
    return "takes effect for the next choice of an upstream, also of retries"


@effect_of_change.register
def _(item: CallerLimits, changed: Sequence[str]) -> str:
    if set(changed) <= {"idle_timeout", "header_timeout"}:
        return "applies to new connections"
    return "applies to requests whose body has not been read"
