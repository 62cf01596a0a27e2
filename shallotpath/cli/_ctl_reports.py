"""Commands that show status, history, differences and the progress of a version."""

from __future__ import annotations

import asyncio

import msgspec
from cyclopts import App
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn

from ..config import STREAM as CONFIG_STREAM
from ..config import ConfigurationState, Outcome, Replica
from ..core import PlatformError, SettingError
from ._ctl_objects import DEFAULT_OPTIONS
from ._ctl_options import EXIT_DONE, EXIT_UNAVAILABLE, Options
from ._ctl_session import (
    POLL_S,
    Session,
    open_session,
    parse_seconds_option,
    print_json,
    print_rows,
)

_ATTRIBUTES_BY_KIND = {
    "team": "teams_by_id",
    "service": "services_by_id",
    "version": "versions_by_id",
    "preset": "presets_by_id",
    "domain": "domains_by_id",
}


async def show_status(*, options: Options = DEFAULT_OPTIONS) -> int:
    """Show each process and how far it lags behind the log."""
    async with open_session(options) as session:
        statuses = await session.statuses()
        try:
            head = (await session.read()).offset
        except PlatformError:
            known = [s["config_offset"] for s in statuses.values() if s is not None]
            head = max(known, default=-1)
    rows = [status_row(url, status, head) for url, status in statuses.items()]
    columns = ["id", "role", "domain", "config_offset", "lag", "preset", "members"]
    print_rows(options, [*columns, "in_flight", "url"], rows)
    return EXIT_DONE


def status_row(url: str, status: dict | None, head: int) -> dict:
    """Return one row, with empty columns for a process that did not answer."""
    if status is None:
        return {"id": "no answer", "url": url, "lag": ""}
    return {**status, "url": url, "lag": max(0, head - status["config_offset"])}


async def show_history(*, limit: int = 50, options: Options = DEFAULT_OPTIONS) -> int:
    """Show who changed what and when, with the reason of each rejection."""
    async with open_session(options) as session:
        found = (await session.read()).state_.outcomes_by_command_id.values()
    outcomes = sorted(found, key=lambda outcome: outcome.offset)[-limit:]
    columns = ["offset", "at", "operator", "summary", "verdict", "reason", "remedy"]
    print_rows(options, columns, [outcome_row(outcome) for outcome in outcomes])
    return EXIT_DONE


def outcome_row(outcome: Outcome) -> dict:
    """Return one row of the history."""
    row = msgspec.to_builtins(outcome)
    row["verdict"] = "accepted" if outcome.accepted else "rejected"
    return row


async def show_diff(*, since: int, options: Options = DEFAULT_OPTIONS) -> int:
    """Show what changed after an offset."""
    async with open_session(options) as session:
        before = await state_at(session, since)
        after = (await session.read()).state_
    rows = diff_states(before, after)
    print_rows(options, ["object", "field", "before", "after"], rows)
    return EXIT_DONE


async def state_at(session: Session, offset: int) -> ConfigurationState:
    """Return the configuration at an offset that the log still covers."""
    replica = Replica()
    start = 0
    while replica.offset < offset:
        page = await session.client.read(CONFIG_STREAM, start, wait_ms=0)
        if not page.records:
            break
        replica.add([record for record in page.records if record.offset <= offset])
        start = page.next_offset
    if replica.offset != offset:
        raise SettingError(
            f"the log no longer covers offset {offset}; use a later one, see "
            "'shallotctl history'"
        )
    return replica.state_


def diff_states(before: ConfigurationState, after: ConfigurationState) -> list[dict]:
    """Return the changed fields of all objects."""
    rows = []
    if before.preset_id != after.preset_id:
        rows.append(
            diff_row("preset in force", "id", before.preset_id, after.preset_id)
        )
    for kind, attribute in _ATTRIBUTES_BY_KIND.items():
        old = msgspec.to_builtins(getattr(before, attribute))
        new = msgspec.to_builtins(getattr(after, attribute))
        for key in sorted(old.keys() | new.keys()):
            rows += diff_object(f"{kind} {key}", old.get(key, {}), new.get(key, {}))
    old_paused, new_paused = set(before.paused_services), set(after.paused_services)
    rows += [
        diff_row(f"rollout {id}", "paused", id in old_paused, id in new_paused)
        for id in sorted(old_paused ^ new_paused)
    ]
    return rows


def diff_object(name: str, old: dict, new: dict) -> list[dict]:
    """Return the changed fields of one object."""
    return [
        diff_row(name, field, old.get(field, ""), new.get(field, ""))
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field)
    ]


def diff_row(name: str, field: str, old: object, new: object) -> dict:
    """Return one row of a difference."""
    return {"object": name, "field": field, "before": old, "after": new}


async def watch_version(id: str, *, options: Options = DEFAULT_OPTIONS) -> int:
    """Show how much of a version, named MODEL/VERSION, the agents have fetched."""
    async with open_session(options) as session:
        version = (await session.read()).state_.versions_by_id.get(id)
        if version is None:
            raise SettingError(f"version {id!r} is not recorded; publish it first")
        if options.output == "json":
            shares = await poll_progress(session, version.digest, lambda shares: None)
        else:
            shares = await poll_progress_with_bars(session, version.digest)
    done = bool(shares) and min(shares.values()) >= 1
    if options.output == "json":
        print_json({"version": id, "done": done, "progress_by_id": shares})
    return EXIT_DONE if done else EXIT_UNAVAILABLE


async def poll_progress(session: Session, digest: str, show) -> dict[str, float]:
    """Poll the agents until all hold the version or the timeout has passed.

    Return the fetched share by agent id.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + parse_seconds_option(session.options.timeout)
    while True:
        found = [s for s in (await session.statuses()).values() if s is not None]
        shares = {s["id"]: s["progress"] for s in found if s["digest"] == digest}
        show(shares)
        done = bool(shares) and min(shares.values()) >= 1
        if done or loop.time() >= deadline:
            return shares
        await asyncio.sleep(POLL_S)


async def poll_progress_with_bars(session: Session, digest: str) -> dict[str, float]:
    """Poll the agents and show a progress bar for each."""
    columns = (TextColumn("{task.description}"), BarColumn(), TaskProgressColumn())
    with Progress(*columns) as progress:
        tasks_by_id = {}

        def show(shares: dict[str, float]) -> None:
            for id, share in sorted(shares.items()):
                if id not in tasks_by_id:
                    tasks_by_id[id] = progress.add_task(id, total=1.0)
                progress.update(tasks_by_id[id], completed=share)

        return await poll_progress(session, digest, show)


def register(app: App, versions: App) -> None:
    """Add the commands of this module to the program."""
    app.command(show_status, name="status")
    app.command(show_history, name="history")
    app.command(show_diff, name="diff")
    versions.command(watch_version, name="watch")
