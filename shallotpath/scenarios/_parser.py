"""Parser of the scenario language."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from ..core import Code, ShallotError
from ._model import (
    DomainSpec,
    EntrySpec,
    Expectation,
    Layout,
    Scenario,
    ServiceSpec,
    Step,
    UpstreamSpec,
)

GRAMMAR = r"""
start: _NL? "scenario" STRING _NL (_line _NL)*
_line: decides | seed | end | domain | entry | service | upstream | team | preset
     | at | expect
decides: "decides" STRING
seed: "seed" INT
end: "end" DURATION
domain: "domain" NAME "in" NAME
entry: "entry" NAME "in" NAME
service: "service" NAME ["non-repeatable" NAME]
upstream: "upstream" NAME "of" NAME "in" NAME ["capacity" INT "cold" INT]
team: "team" NAME
preset: "preset" NAME
at: "at" DURATION step
?step: "take" "domain" NAME "out" -> domain_out
     | "bring" "domain" NAME "in" -> domain_in
     | "crash" "upstream" NAME -> crash
     | "turn" "upstream" NAME "cold" -> turn_cold
     | "swap" "weights" "of" NAME -> swap_weights
     | "log" "down" -> log_down
     | "log" "up" -> log_up
     | "log" "loses" "answers" -> log_loses
     | "pause" "agent" NAME "for" DURATION -> pause
     | "cut" "domain" NAME -> cut_domain
     | "restore" "domain" NAME -> restore_domain
     | "cut" "region" NAME -> cut_region
     | "restore" "region" NAME -> restore_region
     | "restart" "agent" NAME -> restart
     | "leave" "agent" NAME -> leave
     | "retire" "vm" NAME -> retire
     | "load" RATE "of" NAME "for" DURATION ["through" "entry" NAME] -> load
     | "order" "key" NAME "of" NAME "through" "entry" NAME -> order
     | "poison" "request" "of" NAME "through" "entry" NAME -> poison
     | "apply" "preset" NAME "by" NAME -> apply_preset
expect: "expect" expectation
?expectation: "by" DURATION "no" "new" "work" "in" NAME -> no_work_in
     | "by" DURATION "no" "new" "work" "on" NAME -> no_work_on
     | "after" DURATION "new" "work" "on" NAME -> work_on
     | "run" "twice" INT -> run_twice
     | "key" NAME "run" INT -> key_run
     | "key" NAME "answered" "by" DURATION -> key_answered
     | "answered" "all" -> answered_all
     | "answered" "all" "but" "poison" -> answered_others
     | "preset" NAME "everywhere" "by" DURATION -> preset_everywhere
     | "preset" "never" "reverts" -> never_reverts
     | "engine" "crashes" "at" "most" INT -> crashes
     | "only" "published" "weights" -> only_published
     | "no" "false" "refusal" -> no_false_refusal
RATE.3: /[0-9]+\/s/
DURATION.2: /[0-9]+(ms|s)\b/
INT: /[0-9]+/
NAME: /[a-z][a-z0-9-]*/
STRING: /"[^"\n]*"/
_NL: /([ \t]*(#[^\n]*)?\r?\n[ \t]*)+/
%ignore /[ \t]+/
%ignore /#[^\n]*/
"""

_lark = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=True)

# The kind of name that each value of a step or expectation must be.
KINDS = {
    "domain_out": ("domain",),
    "domain_in": ("domain",),
    "crash": ("upstream",),
    "turn_cold": ("upstream",),
    "swap_weights": ("upstream",),
    "pause": ("upstream", ""),
    "cut_domain": ("domain",),
    "restore_domain": ("domain",),
    "cut_region": ("region",),
    "restore_region": ("region",),
    "restart": ("upstream",),
    "leave": ("upstream",),
    "retire": ("upstream",),
    "load": ("", "service", "", "entry"),
    "order": ("", "service", "entry"),
    "poison": ("service", "entry"),
    "apply_preset": ("preset", ""),
    "no_work_in": ("", "domain"),
    "no_work_on": ("", "upstream"),
    "work_on": ("", "upstream"),
    "preset_everywhere": ("preset", ""),
}


class ScenarioError(ShallotError):
    """Report a fault in a scenario with its file, line and remedy."""

    code = Code.BAD_SETTING


def parse_file(path: Path) -> Scenario:
    """Parse a scenario file."""
    return parse(path.read_text(), str(path))


def parse(text: str, file: str = "scenario") -> Scenario:
    """Parse a scenario or raise `ScenarioError`."""
    try:
        tree = _lark.parse(text.rstrip() + "\n")
    except UnexpectedInput as error:
        raise _syntax_error(error, file) from error
    title, *lines = tree.children
    scenario = Scenario(_value(title))
    for line in lines:
        _add(scenario, line, file)
    _check_names(scenario, file)
    return scenario


def _syntax_error(error: UnexpectedInput, file: str) -> ScenarioError:
    allowed = getattr(error, "accepts", None) or getattr(error, "allowed", None)
    names = ", ".join(sorted(name.lower() for name in allowed or ()))
    remedy = f"write one of: {names}" if names else "see docs/scenarios.md"
    return ScenarioError(
        f"{file}:{error.line}: unexpected text at column {error.column}; {remedy}"
    )


def _value(token: Token | None):
    if token is None:
        return ""
    if token.type == "INT":
        return int(token)
    if token.type == "RATE":
        return int(token.removesuffix("/s"))
    if token.type == "DURATION":
        if token.endswith("ms"):
            return timedelta(milliseconds=int(token[:-2]))
        return timedelta(seconds=int(token[:-1]))
    return token.strip('"')


def _add(scenario: Scenario, line: Tree, file: str) -> None:
    kind, number = line.data, line.meta.line
    if kind in ("at", "expect"):
        body = line.children[-1]
        values = tuple(_value(child) for child in body.children)
        if kind == "expect":
            scenario.expectations.append(Expectation(str(body.data), values, number))
            return
        at = _value(line.children[0])
        scenario.steps.append(Step(at, str(body.data), values, number))
        return
    values = [_value(child) for child in line.children]
    if kind in ("decides", "seed", "end"):
        setattr(scenario, kind, values[0])
        return
    _add_to_layout(scenario.layout, str(kind), values, f"{file}:{number}")


def _add_to_layout(layout: Layout, kind: str, values: list, where: str) -> None:
    name = values[0]
    known = {
        *layout.domains_by_id,
        *layout.entries_by_id,
        *layout.upstreams_by_id,
        *layout.services_by_id,
    }
    if name in known:
        raise ScenarioError(f"{where}: {name!r} exists twice; rename one of them")
    if kind == "domain":
        layout.domains_by_id[name] = DomainSpec(*values)
    elif kind == "entry":
        _check_known(values[1], layout, "domain", where)
        layout.entries_by_id[name] = EntrySpec(*values)
    elif kind == "service":
        layout.services_by_id[name] = ServiceSpec(*values)
    elif kind == "upstream":
        _check_known(values[1], layout, "service", where)
        _check_known(values[2], layout, "domain", where)
        given = [value for value in values if value != ""]
        layout.upstreams_by_id[name] = UpstreamSpec(*given)
    elif kind == "team":
        layout.teams.append(name)
    else:
        layout.presets.append(name)


def _names(layout: Layout, kind: str) -> set[str]:
    return {
        "domain": set(layout.domains_by_id),
        "region": {domain.region for domain in layout.domains_by_id.values()},
        "entry": set(layout.entries_by_id),
        "service": set(layout.services_by_id),
        "upstream": set(layout.upstreams_by_id),
        "preset": {*layout.presets, "ordinary"},
    }[kind]


def _check_known(name: str, layout: Layout, kind: str, where: str) -> None:
    names = _names(layout, kind)
    if name in names:
        return
    known = ", ".join(sorted(names)) or "none"
    raise ScenarioError(
        f"{where}: {kind} {name!r} is unknown; declare it or use one of: {known}"
    )


def _check_names(scenario: Scenario, file: str) -> None:
    for item in [*scenario.steps, *scenario.expectations]:
        kinds = KINDS.get(item.kind, ())
        for kind, value in zip(kinds, item.values, strict=True) if kinds else ():
            if kind and value != "":
                _check_known(value, scenario.layout, kind, f"{file}:{item.line}")
