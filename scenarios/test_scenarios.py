"""Run every scenario, and each promise once without its mechanism."""

from pathlib import Path

import pytest

from shallotpath.scenarios import (
    ScenarioError,
    World,
    failed_expectations,
    parse,
    parse_file,
    run,
)

FILES = sorted(Path(__file__).parent.glob("*.scn"))
BY_NAME = {path.stem: path for path in FILES}
HEAD = 'scenario "t"\ndomain a in south\nentry e1 in a\n'


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path):
    # Guards the promise that the file names in its `decides` line.
    assert failed_expectations(run(parse_file(path))) == []


# Scenario, the mechanism that is switched off, and an expectation that must fail.
MUTANTS = [
    ("domain-out", "domain check", "no_work_in"),
    ("upstream-leaves", "drain", "no_work_on"),
    ("cold-start", "gate", "crashes"),
    ("turns-cold", "gate", "crashes"),
    ("order-log-down", "claims", "run_twice"),
    ("order-restart", "claims", "run_twice"),
    ("order-cut-domain", "claims", "run_twice"),
    ("order-retired-vm", "claims", "run_twice"),
    ("order-pause", "claims", "run_twice"),
    ("order-lost-answers", "claims", "run_twice"),
    ("order-domain-out", "home duty", "key_answered"),
    ("refusals", "run states", "no_false_refusal"),
    ("preset-race", "conflict check", "preset_everywhere"),
    ("poison", "suspects", "crashes"),
    ("weights-swapped", "weights check", "only_published"),
    ("pair-log-down-cut", "claims", "run_twice"),
    ("pair-pause-restart", "claims", "run_twice"),
    ("pair-out-log-down", "claims", "run_twice"),
    ("pair-out-cold", "gate", "crashes"),
    ("pair-leave-cut", "drain", "no_work_on"),
    ("pair-leave-crash", "drain", "no_work_on"),
    ("pair-preset-cut", "conflict check", "preset_everywhere"),
]


@pytest.mark.parametrize(("name", "mechanism", "kind"), MUTANTS)
def test_the_expectation_fails_without_the_mechanism(name, mechanism, kind):
    # Guards against expectations that hold whatever the parts decide.
    failures = failed_expectations(run(parse_file(BY_NAME[name]), [mechanism]))
    assert any(f": {kind}: " in failure for failure in failures), failures


@pytest.mark.parametrize("name", ["turns-cold", "order-restart", "refusals"])
def test_a_run_is_deterministic(name):
    # Guards against results that depend on hash order or the machine's clock.
    first, second = (run(parse_file(BY_NAME[name])) for _ in range(2))
    assert first.starts == second.starts
    assert first.timeline == second.timeline


@pytest.mark.parametrize("name", ["order-log-down", "order-restart", "preset-log-down"])
def test_timeline(name, snapshot):
    # Guards against changes of decisions that no expectation covers.
    assert "\n".join(run(parse_file(BY_NAME[name])).timeline) == snapshot


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("at 2s explode domain a", "unexpected text at column 7; write one of: apply"),
        ("at soon log down", "unexpected text"),
        ("entry e2 in b", "domain 'b' is unknown; declare it or use one of: a"),
        ("at 1s take domain b out", "domain 'b' is unknown"),
        ("at 1s crash upstream u9", "upstream 'u9' is unknown; declare it"),
        ("at 1s apply preset peak by ann", "preset 'peak' is unknown"),
        ("expect by 1s no new work in b", "domain 'b' is unknown"),
        ("entry a in a", "'a' exists twice; rename one of them"),
    ],
)
def test_a_fault_names_file_line_and_remedy(line, fault):
    # Guards against scenarios that silently test nothing.
    with pytest.raises(ScenarioError) as raised:
        parse(f"{HEAD}# comment\n{line}\n", "x.scn")
    assert raised.value.message.startswith("x.scn:5: ")
    assert fault in raised.value.message


def test_an_unknown_mechanism_is_an_error():
    with pytest.raises(ValueError, match="unknown mechanism"):
        World(parse(HEAD), ["gravity"])
