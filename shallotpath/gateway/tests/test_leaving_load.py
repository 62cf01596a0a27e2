"""Share of callers served on time while one of five engines leaves."""

from datetime import timedelta

import pytest

from shallotpath.core import EPOCH

from .load_simulation import LoadSimulation, capacity

ENGINES = 5
SECONDS = 12
LEAVES_AT = EPOCH + timedelta(seconds=4)
# The list tells that an engine leaves with the next read and pull of each entry.
LIST_DELAY = timedelta(milliseconds=600)
ENDS_AT = LEAVES_AT + timedelta(seconds=4)
SEEDS = (1, 2, 3, 4)
ALLOWED_DIFFERENCE = 0.02


class LeavingSimulation(LoadSimulation):
    """Let the first engine leave; entries learn it in one of several ways."""

    def __init__(self, seed, told_by):
        super().__init__(engines=ENGINES, seed=seed)
        self.told_by = told_by
        self.late_requests = 0
        self.leaving = self.records[0]
        if told_by == "list":
            self.at(LEAVES_AT + LIST_DELAY, lambda: self.tell(self.entries))
        self.at(ENDS_AT, self.end_engine)

    def tell(self, entries):
        for dispatcher in entries:
            dispatcher.upstreams.notices.record_leaving(self.leaving)

    def first_token(self, work):
        super().first_token(work)
        dispatcher = self.work_by_key[self._key(work)][0]
        at_leaving = work in self.engines[0].running
        if self.told_by == "list" or not at_leaving or self.now < LEAVES_AT:
            return
        everyone = self.told_by == "answers, passed on"
        self.tell(self.entries if everyone else [dispatcher])

    def _send(self, dispatcher, call, caller, placement):
        if placement.upstream.id == self.leaving.id and self.now >= ENDS_AT:
            self.late_requests += 1
        super()._send(dispatcher, call, caller, placement)

    def end_engine(self):
        engine = self.engines[0]
        for work in [*engine.queue, *engine.running]:
            self._leave(work)
        engine.take = self._leave
        # The record is removed when the engine has left.
        self.tell(self.entries)


def on_time_share(told_by, times):
    on_time = callers = 0
    for seed in SEEDS:
        simulation = LeavingSimulation(seed, told_by)
        rate = times * capacity(ENGINES)
        outcome = simulation.run(lambda at, rate=rate: rate, SECONDS)
        assert simulation.late_requests == 0
        on_time += outcome.on_time
        callers += outcome.callers
    return on_time / callers


@pytest.mark.parametrize("times", [0.6, 0.9])
def test_engine_that_leaves_by_its_answers_costs_no_more_than_by_the_list(times):
    # Load pattern: steady load, and an engine of five leaves. Guards against callers
    # that are late or cut because their entry has not had an answer from it yet.
    by_list = on_time_share("list", times)
    by_answers = on_time_share("answers", times)
    assert by_answers >= by_list - ALLOWED_DIFFERENCE
