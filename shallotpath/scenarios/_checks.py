"""Check the expectations of a scenario against what its world recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from datetime import timedelta

from ..core import EPOCH, RunState
from ._fakes import DIGEST
from ._model import Expectation
from ._world import WARM_UP, World


def failed_expectations(world: World) -> list[str]:
    """Return what does not hold, with the line of each expectation."""
    failures = []
    for expectation in world.scenario.expectations:
        fault = check_expectation(world, expectation)
        if fault:
            failures.append(f"line {expectation.line}: {expectation.kind}: {fault}")
    return failures


def check_expectation(world: World, expectation: Expectation) -> str:
    """Return what contradicts an expectation, or an empty string."""
    return _CHECKS[expectation.kind](world, *expectation.values)


def _no_work_in(world: World, since: timedelta, domain: str) -> str:
    late = [s for s in world.starts if s.domain == domain]
    return _late(late, since)


def _no_work_on(world: World, since: timedelta, upstream: str) -> str:
    late = [s for s in world.starts if s.upstream == upstream]
    return _late(late, since)


def _work_on(world: World, since: timedelta, upstream: str) -> str:
    limit = EPOCH + WARM_UP + since
    found = any(s.upstream == upstream and s.at > limit for s in world.starts)
    return "" if found else "no starts"


def _late(starts: list, since: timedelta) -> str:
    limit = EPOCH + WARM_UP + since
    late = [start for start in starts if start.at > limit]
    return f"{len(late)} starts, the last of {late[-1].request_id}" if late else ""


def _run_twice(world: World, allowed: int) -> str:
    runs = Counter(start.key for start in world.starts if start.key)
    twice = sorted(key for key, count in runs.items() if count > 1)
    return "" if len(twice) == allowed else f"run twice: {twice}"


def _key_run(world: World, key: str, expected: int) -> str:
    runs = sum(start.key == key for start in world.starts)
    return "" if runs == expected else f"{key} ran {runs} times"


def _answered_others(world: World) -> str:
    return _answered_all(world, world.poisonous)


def _answered_all(world: World, excepted: Collection[str] = ()) -> str:
    codes = {id: "open" for id in world.sent if id not in excepted}
    for id in codes:
        if id in world.outcomes_by_id:
            codes[id] = world.outcomes_by_id[id].code
    missing = [f"{id} {code}" for id, code in codes.items() if code != "answered"]
    return f"{len(missing)} of {len(codes)}: {missing[:5]}" if missing else ""


def _key_answered(world: World, key: str, by: timedelta) -> str:
    limit = EPOCH + WARM_UP + by
    answered = any(
        outcome.key == key and outcome.code == "answered" and outcome.at <= limit
        for outcome in world.outcomes_by_id.values()
    )
    return "" if answered else f"{key} is not answered in time"


def _preset_everywhere(world: World, preset: str, by: timedelta) -> str:
    limit = EPOCH + WARM_UP + by
    wrong = {}
    for process in world.all_processes:
        if process.stopped_at_ is not None and process.stopped_at_ <= limit:
            continue
        seen = [change for change in process.preset_changes_ if change[0] <= limit]
        # A process without a configuration serves nothing yet.
        if seen and seen[-1][1] >= 0 and seen[-1][2] != preset:
            wrong[process.member.incarnation] = seen[-1][2]
    return f"other presets: {wrong}" if wrong else ""


def _never_reverts(world: World) -> str:
    preset_by_offset: dict[int, str] = {}
    for process in world.all_processes:
        last = -2
        for _, offset, preset in process.preset_changes_:
            if offset < last:
                return f"{process.id} moved from offset {last} to {offset}"
            if preset_by_offset.setdefault(offset, preset) != preset:
                return f"two presets at offset {offset}"
            last = offset
    return ""


def _crashes(world: World, most: int) -> str:
    crashes = sum(upstream.crashes_ for upstream in world.upstreams_by_id.values())
    return f"{crashes} crashes" if crashes > most else ""


def _only_published(world: World) -> str:
    other = [s.request_id for s in world.starts if s.digest not in ("", DIGEST)]
    return f"run on other weights: {other[:5]}" if other else ""


def _no_false_refusal(world: World) -> str:
    started = {start.request_id for start in world.starts}
    false = [
        outcome.request_id
        for outcome in world.outcomes_by_id.values()
        if outcome.run is RunState.NO
        and (outcome.request_id in started or _ran_before(world, outcome))
    ]
    return f"reported as not run: {false[:5]}" if false else ""


def _ran_before(world: World, outcome) -> bool:
    return any(
        start.key == outcome.key and start.at <= outcome.at
        for start in world.starts
        if start.key
    )


_CHECKS: dict[str, Callable[..., str]] = {
    "no_work_in": _no_work_in,
    "no_work_on": _no_work_on,
    "work_on": _work_on,
    "run_twice": _run_twice,
    "key_run": _key_run,
    "key_answered": _key_answered,
    "answered_all": _answered_all,
    "answered_others": _answered_others,
    "preset_everywhere": _preset_everywhere,
    "never_reverts": _never_reverts,
    "crashes": _crashes,
    "only_published": _only_published,
    "no_false_refusal": _no_false_refusal,
}
