"""Test which parts of prompts are refused after crashes of upstreams."""

from datetime import timedelta
from random import Random

import pytest

from shallotpath.core import EPOCH
from shallotpath.gateway import PartSuspects, shared_parts

from .helpers import ms

MESSAGE_ITEMS = 8
SECOND = timedelta(seconds=1)


def exchange(entries, now):
    """Send each entry's message to all others."""
    for sender in entries:
        items = sender.recent(now, MESSAGE_ITEMS)
        for receiver in entries:
            if receiver is not sender:
                receiver.merge(items, now)


def test_part_with_crashes_at_several_entries_is_refused_at_all():
    # Guards against a part that crashes upstreams through one entry after the other.
    entries = [PartSuspects() for _ in range(4)]
    for number in range(3):
        entries[number].record_crash(f"u{number}", [("head", "dead")], EPOCH)
        entries[3].record_answer(["head"], EPOCH)
        exchange(entries, EPOCH)
    for entry in entries:
        assert entry.find_refused(["other", "dead"], EPOCH) == "dead"
        assert entry.find_refused(["head"], EPOCH) is None


def test_part_that_stood_beside_a_deadly_one_is_allowed():
    # Guards against sound requests refused because they waited at the upstreams that a
    # deadly part crashed.
    entry = PartSuspects()
    for number in range(5):
        prompts = [("dead",), ("bystander",)] if number < 4 else [("dead",)]
        entry.record_crash(f"u{number}", prompts, EPOCH + number * SECOND)
    assert entry.find_refused(["dead"], EPOCH)
    assert entry.find_refused(["bystander"], EPOCH) is None


def test_first_part_that_no_entry_has_seen_before_is_allowed_without_the_deadly_one():
    # Guards against all requests with a first part refused after the start of entries,
    # when the deadly part came only with it.
    entry = PartSuspects()
    for number in range(4):
        entry.record_crash(f"u{number}", [("head", "dead")], EPOCH)
    assert entry.find_refused(["head", "dead"], EPOCH)
    assert entry.find_refused(["head", "other"], EPOCH) is None
    entry.record_answer(["head", "other"], EPOCH)
    assert entry.find_refused(["another head", "dead"], EPOCH) == "dead"


def test_answer_at_another_entry_clears_a_refused_part():
    # Guards against a part refused everywhere although upstreams answer it.
    entries = [PartSuspects() for _ in range(2)]
    for number in range(3):
        entries[0].record_crash(f"u{number}", [("p",)], EPOCH)
    exchange(entries, EPOCH)
    assert entries[1].find_refused(["p"], EPOCH)
    entries[1].record_answer(["p"], EPOCH + SECOND)
    exchange(entries, EPOCH + SECOND)
    # What the first entry still sends does not bring the crashes back.
    exchange(entries, EPOCH + SECOND)
    for entry in entries:
        assert entry.find_refused(["p"], EPOCH + SECOND) is None


def test_part_that_was_answered_before_is_refused_after_more_crashes():
    # Guards against a part that turns deadly, as with new weights, and is never found.
    entry = PartSuspects()
    entry.record_answer(["p"], EPOCH)
    for number in range(5):
        assert entry.find_refused(["p"], EPOCH) is None
        entry.record_crash(f"u{number}", [("p", f"session{number}")], EPOCH)
    assert entry.find_refused(["p"], EPOCH) == "p"
    # A caller that crashes upstreams in other ways does not keep others out for long.
    assert entry.find_refused(["p"], EPOCH + timedelta(seconds=31)) is None


def test_refused_part_is_tried_once_in_two_minutes_by_one_entry():
    # Guards against a sound part refused for good, and against a deadly one that
    # crashes an upstream through each entry whenever it is tried.
    number_of_trials, now = 0, EPOCH
    chosen = {}
    entries = [
        PartSuspects(is_trial_entry=lambda turn, n=n: chosen.setdefault(turn, n) == n)
        for n in range(5)
    ]
    for number in range(3):
        entries[0].record_crash(f"u{number}", [("dead",)], now)
    exchange(entries, now)
    for second in range(600):
        now = EPOCH + second * SECOND
        for entry in entries:
            if entry.find_refused(["dead"], now) is None:
                number_of_trials += 1
                entry.record_crash(f"trial{number_of_trials}", [("dead",)], now)
                exchange(entries, now)
    assert number_of_trials == 4


def test_restarted_entries_refuse_a_part_and_keep_its_age():
    # Guards against a part that crashes upstreams again after each restart, and against
    # one that restarts keep refused for ever.
    entries = [PartSuspects(is_trial_entry=lambda turn: False) for _ in range(3)]
    for number in range(3):
        entries[0].record_crash(f"u{number}", [("dead",)], EPOCH)
    exchange(entries, EPOCH)
    for minute in range(1, 10):
        now = EPOCH + timedelta(minutes=minute)
        entries[minute % 3] = PartSuspects(is_trial_entry=lambda turn: False)
        exchange(entries, now)
        assert all(entry.find_refused(["dead"], now) for entry in entries)
    now = EPOCH + timedelta(minutes=11)
    for entry in entries:
        entry.expire(now)
        assert entry.find_refused(["dead"], now) is None
    assert not any(entry.recent(now, MESSAGE_ITEMS) for entry in entries)


@pytest.mark.parametrize("seed", range(5))
def test_storms_of_crashes_refuse_the_deadly_part_only(seed):
    # Guards against sound parts refused while upstreams crash again and again: 40
    # entries, 20 upstreams, first parts of which few are common.
    random = Random(seed)
    entries = [PartSuspects() for _ in range(40)]
    heads = [f"head{int(random.paretovariate(0.7)) % 90}" for _ in range(400)]
    for _ in range(200):
        random.choice(entries).record_answer([random.choice(heads)], EPOCH)
    deadly_crashes, wrong = 0, set()
    for step in range(400):
        now = EPOCH + step * ms(50)
        random.choice(entries).record_answer([random.choice(heads)], now)
        prompt = (random.choice(heads), "dead")
        entry = random.choice(entries)
        if step % 10 == 0 and entry.find_refused(prompt, now) is None:
            deadly_crashes += 1
            entry.record_crash(f"u{step}", [prompt], now)
            for bystander in random.sample(entries, 3):
                bystander.record_crash(f"u{step}", [(random.choice(heads),)], now)
        if step % 37 == 0:
            # A crash of another cause.
            for bystander in random.sample(entries, 3):
                bystander.record_crash(f"other{step}", [(random.choice(heads),)], now)
        if step % 5 == 0:
            exchange(entries, now)
        wrong |= {h for e in entries for h in e.refused_ if e.find_refused([h], now)}
    wrong.discard("dead")
    assert deadly_crashes <= 5
    assert not wrong


def test_entries_agree_on_the_crashes_that_they_keep():
    # Guards against entries that send each other old crashes for ever.
    entries = [PartSuspects() for _ in range(2)]
    for number in range(9):
        now = EPOCH + number * SECOND
        entries[number > 5].record_crash(f"u{number}", [("dead",)], now)
    for _ in range(3):
        exchange(entries, now + SECOND)
    later = now + 5 * SECOND
    exchange(entries, later)
    kept = [entry.recent(later, MESSAGE_ITEMS)[0].crash_ids for entry in entries]
    assert {"u6", "u7", "u8"} <= set(kept[0]) == set(kept[1])
    assert all(e.suspects_by_part_["dead"].updated_at < later for e in entries)


def test_flood_of_parts_is_bounded():
    # Guards against a caller whose requests fill memory and messages with parts.
    entry = PartSuspects()
    for number in range(3):
        entry.record_crash(f"u{number}", [("dead",)], EPOCH)
    for number in range(40):
        parts = [f"{number}-{part}" for part in range(64)]
        entry.record_crash(f"c{number}", [parts], EPOCH + SECOND)
        entry.record_answer([f"sound-{part}" for part in parts], EPOCH + SECOND)
        entry.record_answer([f"more-{part}" for part in parts], EPOCH + SECOND)
    assert len(entry.suspects_by_part_) <= 1000
    assert len(entry.sound_parts_) <= 4000
    assert len(entry.recent(EPOCH + SECOND, MESSAGE_ITEMS)) <= MESSAGE_ITEMS
    assert entry.find_refused(["dead"], EPOCH + SECOND)


def test_last_part_of_a_prompt_is_not_shared():
    # Guards against parts of single requests that fill the memory, and against names
    # that cannot be sent to peers.
    assert shared_parts("m", ("a", "b", "a", "own")) == ("m/a", "m/b")
    assert shared_parts("m", ("own",)) == ()
    (name,) = shared_parts("m", ("\udcff" * 500, "own"))
    assert len(name) <= 40
    assert name.isascii()
