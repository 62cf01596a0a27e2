"""Report of the burst experiment, printed by `shallot-bench burst`."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ._burst_baselines import NaiveModel, OracleModel
from ._burst_load import LARGE_TEAM, SMALL_TEAMS, BurstSettings
from ._burst_model import BurstModel, BurstResult, Rules

# A refusal within this time is early: the caller can still try something else.
EARLY_REFUSAL_S = 0.5


@dataclass(slots=True, frozen=True)
class BurstReport:
    """Sums over all seeds.

    `capacity` is the number of responses that the oracle delivers in time while
    calls arrive, and `share_of_capacity` compares the same count. `share_of_answerable`
    compares all responses in time, so it also credits a longer queue at the end.
    """

    sent: int
    answered_in_time: int
    answered_late: int
    refused: int
    refused_early: int
    attempts_per_request: float
    upstream_crashes: int
    capacity: int
    share_of_capacity: float
    lowest_share_of_capacity: float
    share_of_answerable: float
    large_team_answered: float
    small_teams_answered: float
    naive_answered_in_time: int
    naive_upstream_crashes: int


def run_burst(
    settings: BurstSettings, seeds: Iterable[int], rules: Rules | None = None
) -> BurstReport:
    """Run the experiment and both baselines on the same load for each seed."""
    seeded_settings = [replace(settings, seed=seed) for seed in seeds]
    real = [BurstModel(seeded, rules).run() for seeded in seeded_settings]
    oracle = [OracleModel(seeded).run() for seeded in seeded_settings]
    naive = [NaiveModel(seeded).run() for seeded in seeded_settings]
    return make_report(real, oracle, naive)


def make_report(
    real: list[BurstResult], oracle: list[BurstResult], naive: list[BurstResult]
) -> BurstReport:
    """Add up the results of all seeds."""
    sent = sum(result.sent for result in real)
    in_time = sum(result.answered_in_time for result in real)
    shares = [
        result.answered_in_window / bound.answered_in_window
        for result, bound in zip(real, oracle, strict=True)
    ]
    capacity = sum(result.answered_in_window for result in oracle)
    answerable = sum(result.answered_in_time for result in oracle)
    in_window = sum(result.answered_in_window for result in real)
    delays = [delay for result in real for delay in result.refusal_seconds]
    return BurstReport(
        sent=sent,
        answered_in_time=in_time,
        answered_late=sum(result.answered_late for result in real),
        refused=sum(result.refused for result in real),
        refused_early=sum(delay <= EARLY_REFUSAL_S for delay in delays),
        attempts_per_request=round(sum(r.attempts for r in real) / sent, 3),
        upstream_crashes=sum(result.load_crashes for result in real),
        capacity=capacity,
        share_of_capacity=round(in_window / capacity, 3),
        lowest_share_of_capacity=round(min(shares), 3),
        share_of_answerable=round(in_time / answerable, 3),
        large_team_answered=_answered_share(real, (LARGE_TEAM,)),
        small_teams_answered=_answered_share(real, SMALL_TEAMS),
        naive_answered_in_time=sum(result.answered_in_time for result in naive),
        naive_upstream_crashes=sum(result.load_crashes for result in naive),
    )


def _answered_share(results: list[BurstResult], teams: tuple[str, ...]) -> float:
    sent = sum(result.sent_by_team[team] for result in results for team in teams)
    answered = sum(
        result.answered_by_team[team] for result in results for team in teams
    )
    return round(answered / max(1, sent), 3)
