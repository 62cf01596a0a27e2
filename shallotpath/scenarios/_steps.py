"""What each step of a scenario does to the world."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from ..config import ApplyPreset, BringDomainIn, TakeDomainOut
from ..core import Submit
from ..limits import Call
from ._agent import POISON
from ._fakes import TOKENS
from ._model import Step

if TYPE_CHECKING:
    from ._world import World

DEADLINE = timedelta(seconds=30)
DRAIN_POLL = timedelta(milliseconds=50)
PREFIXES = 4


def perform(world: World, step: Step) -> None:
    """Perform a step."""
    words = [_text(value) for value in step.values if value != ""]
    world.note(" ".join([f"step {step.kind}", *words]))
    _STEPS[step.kind](world, *step.values)


def _text(value) -> str:
    return f"{value.total_seconds():g}s" if isinstance(value, timedelta) else str(value)


def _change(world: World, change, operator: str = "operator") -> None:
    # Operators base a change on what a running entry shows them.
    shown = next(iter(world.processes.values())).configuration.offset
    command = f"command-{len(world.timeline)}"
    if not world.append_change(change, operator, shown, command):
        world.note("change refused")


def _domain_out(world: World, domain: str) -> None:
    _change(world, TakeDomainOut(domain, force=True))


def _domain_in(world: World, domain: str) -> None:
    _change(world, BringDomainIn(domain))


def _apply_preset(world: World, preset: str, operator: str) -> None:
    _change(world, ApplyPreset(preset), operator)


def _pause(world: World, id: str, duration: timedelta) -> None:
    world.processes[id].paused_until_ = world.now + duration


def _restart(world: World, id: str) -> None:
    world.stop_process(id, listed=True)
    world.start_process(id)


def _retire(world: World, id: str) -> None:
    world.stop_process(id, listed=False)
    upstream = world.upstreams_by_id[id]
    upstream.up_ = False
    upstream.generation_ += 1


def _leave(world: World, id: str) -> None:
    agent = world.processes[id]
    agent.drain()

    def poll() -> None:
        if not world.has("drain") or world.processes.get(id) is not agent:
            return
        if agent.done:
            world.note(f"{id} left")
            world.stop_process(id, listed=False)
        else:
            world.queue.after(DRAIN_POLL, poll)

    world.queue.after(DRAIN_POLL, poll)


def _load(
    world: World, rate: int, service: str, duration: timedelta, entry: str
) -> None:
    entries = [entry] if entry else list(world.scenario.layout.entries_by_id)
    total = round(rate * duration.total_seconds())
    for number in range(total):
        via = entries[number % len(entries)]
        world.queue.after(
            timedelta(seconds=number / rate),
            lambda via=via: _send(world, service, via),
        )


def _order(world: World, key: str, service: str, entry: str) -> None:
    _send(world, service, entry, key=key)


def _poison(world: World, service: str, entry: str) -> None:
    _send(world, service, entry, fingerprint=POISON)


def _send(
    world: World, service: str, entry: str, key: str = "", fingerprint: str = ""
) -> None:
    request_id = f"r{len(world.sent) + 1}"
    world.sent.append(request_id)
    if fingerprint == POISON:
        world.poisonous.add(request_id)
    path = world.scenario.layout.services_by_id[service].non_repeatable
    submit = Submit(
        request_id,
        0,
        service,
        path if key else "generate",
        "lab",
        b"",
        DEADLINE,
        key=key,
        repeatable=not key,
        fingerprint=fingerprint or ("" if key else request_id),
    )
    call = Call(
        request_id,
        service,
        "lab",
        world.now + DEADLINE,
        max_tokens=TOKENS,
        fingerprint=submit.fingerprint,
        prefix="" if key else f"prefix-{len(world.sent) % PREFIXES}",
        key=key,
        repeatable=not key,
    )
    process = world.processes[entry]
    process.later(timedelta(), lambda: process.request(submit, call))


_STEPS: dict[str, Callable] = {
    "domain_out": _domain_out,
    "domain_in": _domain_in,
    "apply_preset": _apply_preset,
    "crash": lambda world, id: world.upstreams_by_id[id].crash(),
    "turn_cold": lambda world, id: world.upstreams_by_id[id].turn_cold(),
    "swap_weights": lambda world, id: setattr(
        world.upstreams_by_id[id], "digest", "unpublished"
    ),
    "log_down": lambda world: setattr(world.log, "up", False),
    "log_up": lambda world: setattr(world.log, "up", True),
    "log_loses": lambda world: setattr(world.log, "loses_answers", True),
    "pause": _pause,
    "cut_domain": lambda world, id: world.links.cut_domains.add(id),
    "restore_domain": lambda world, id: world.links.cut_domains.discard(id),
    "cut_region": lambda world, id: world.links.cut_regions.add(id),
    "restore_region": lambda world, id: world.links.cut_regions.discard(id),
    "restart": _restart,
    "leave": _leave,
    "retire": _retire,
    "load": _load,
    "order": _order,
    "poison": _poison,
}
