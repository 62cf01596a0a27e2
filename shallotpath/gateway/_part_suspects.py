"""Detection of parts of prompts that crash the upstreams that answer them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import groupby

# Crashes after which requests with a part are refused. An upstream that crashes also
# loses sound requests that it had not begun to answer, so fewer could be a coincidence.
REFUSAL_CRASHES = 3
# The same for a part on which upstreams have begun answers without crashing.
SOUND_REFUSAL_CRASHES = 5
# Time without a crash after which one request with a refused part is tried.
TRIAL_INTERVAL = timedelta(minutes=2)
# The same for a part on which answers have begun: it is more likely to be sound.
SOUND_TRIAL_INTERVAL = timedelta(seconds=30)
# Time for which the same entry may try it.
TRIAL_TURN = timedelta(seconds=10)
SUSPECT_LIFETIME = timedelta(minutes=10)
# Time for which a change is repeated in messages, as some of them are lost.
NEWS_TIME = timedelta(seconds=3)
# These bound memory and messages.
MAX_SUSPECTS = 1000
MAX_SOUND_PARTS = 4000
MAX_CRASHES_PER_PART = 6
MAX_COMPANIONS = 4


@dataclass(slots=True, frozen=True)
class PartEvidence:
    """Hold what an entry knows of crashes with a part, for other entries."""

    part: str
    crash_ids: tuple[str, ...]
    # Crashes after which an upstream has begun an answer with the part.
    cleared_ids: tuple[str, ...]
    # Parts that all requests had which were lost in these crashes.
    companions: tuple[str, ...]
    # Whether any answer with the part has ever begun.
    answered: bool
    # Time since the last crash.
    age: timedelta


@dataclass(slots=True)
class _Suspect:
    crashed_at: datetime
    updated_at: datetime
    companions: frozenset[str]
    # Oldest first.
    crash_ids: dict[str, None] = field(default_factory=dict)
    cleared_ids: set[str] = field(default_factory=set)

    @property
    def open_ids(self) -> set[str]:
        """Return the crashes after which no answer with the part has begun."""
        return self.crash_ids.keys() - self.cleared_ids

    def add_crashes(self, crash_ids: Iterable[str], crashed_at: datetime) -> None:
        """Add crashes, the last of them at a given time, and keep the newest."""
        added = dict.fromkeys(crash_ids)
        if crashed_at < self.crashed_at:
            self.crash_ids = added | self.crash_ids
        else:
            self.crash_ids |= added
            self.crashed_at = crashed_at
        while len(self.crash_ids) > MAX_CRASHES_PER_PART:
            oldest = next(iter(self.crash_ids))
            del self.crash_ids[oldest]
            self.cleared_ids.discard(oldest)


def _ignore_change(part: str, crash_ids: Collection[str], refused: bool) -> None:
    """Ignore that a part is refused or no longer refused."""


class PartSuspects:
    """Decide which parts of prompts are refused, from crashes and from answers.

    A part is charged with the crash of an upstream that had not begun to answer a
    request with it. An answer that begins clears its parts of the crashes before it.
    Crashes are attributed first to parts on which no answer has ever begun, and those
    of a refused part are not held against other parts.
    """

    __slots__ = (
        "explained_ids_",
        "is_trial_entry",
        "on_change",
        "on_evidence",
        "refused_",
        "rotation_",
        "sound_parts_",
        "suspects_by_part_",
        "trial_turns_by_part_",
    )

    def __init__(
        self,
        on_change: Callable[[str, Collection[str], bool], None] = _ignore_change,
        on_evidence: Callable[[], None] = lambda: None,
        is_trial_entry: Callable[[str], bool] = lambda turn: True,
    ) -> None:
        # Called when a part becomes refused or is no longer refused.
        self.on_change = on_change
        # Called when this entry has seen something that peers should know at once.
        self.on_evidence = on_evidence
        # Whether this entry is the one that tries a refused part in a turn.
        self.is_trial_entry = is_trial_entry
        self.suspects_by_part_: dict[str, _Suspect] = {}
        # Parts on which answers have begun, the latest of this entry at the end.
        self.sound_parts_: OrderedDict[str, None] = OrderedDict()
        self.refused_: set[str] = set()
        # Crashes of refused parts.
        self.explained_ids_: set[str] = set()
        self.trial_turns_by_part_: dict[str, int] = {}
        self.rotation_ = 0

    @property
    def refused(self) -> list[str]:
        """Return the parts because of which requests are refused."""
        return sorted(self.refused_)

    def record_answer(self, parts: Sequence[str], now: datetime) -> None:
        """Record that an upstream has begun an answer without crashing."""
        for part in parts:
            self._remember_sound(part)
            suspect = self.suspects_by_part_.get(part)
            if suspect is not None and suspect.open_ids:
                # One crash refuses nothing, so peers can learn of it with the next
                # message.
                is_urgent = len(suspect.open_ids) > 1
                suspect.cleared_ids.update(suspect.crash_ids)
                suspect.updated_at = now
                self._explain()
                if is_urgent:
                    self.on_evidence()

    def record_crash(
        self, crash_id: str, lost_prompts: Iterable[Sequence[str]], now: datetime
    ) -> None:
        """Charge the parts of requests that a crash cost before their answers began."""
        prompts = [frozenset(parts) for parts in lost_prompts if parts]
        for prompt in prompts:
            for part in prompt:
                self._charge(part, [crash_id], prompt - {part}, now, now)
        if prompts:
            self._limit_suspects()
            self._explain()
            self.on_evidence()

    def merge(self, items: Iterable[PartEvidence], now: datetime) -> None:
        """Add what a peer knows of parts."""
        changes = [self._merge_item(item, now) for item in items]
        if any(changes):
            self._limit_suspects()
            self._explain()

    def find_refused(self, parts: Sequence[str], now: datetime) -> str | None:
        """Return a part because of which a request is refused, if there is one."""
        if not self.refused_:
            return None
        for part in parts:
            if (
                part in self.refused_
                and self._has_companions(part, parts)
                and not self._try_again(part, now)
            ):
                return part
        return None

    def is_suspected(self, parts: Sequence[str]) -> bool:
        """Check for a part that had a crash before and never began an answer."""
        return any(
            part in self.suspects_by_part_
            and part not in self.sound_parts_
            and not self.suspects_by_part_[part].open_ids <= self.explained_ids_
            for part in parts
        )

    def time_to_trial(self, part: str, now: datetime) -> timedelta:
        """Return the time until a request with a refused part may be tried."""
        suspect = self.suspects_by_part_.get(part)
        if suspect is None:
            return timedelta()
        trial_at = suspect.crashed_at + self._trial_interval(part)
        return max(timedelta(), trial_at - now)

    def recent(self, now: datetime, limit: int) -> list[PartEvidence]:
        """Return what peers should know: refused parts and the latest changes."""
        if not self.suspects_by_part_:
            return []
        latest = sorted(
            (
                (part not in self.sound_parts_, suspect.updated_at, part)
                for part, suspect in self.suspects_by_part_.items()
                if now - suspect.updated_at <= NEWS_TIME
            ),
            reverse=True,
        )
        refused = sorted(self.refused_)
        self.rotation_ += 1
        start = self.rotation_ % max(1, len(refused))
        chosen = dict.fromkeys((refused[start:] + refused[:start])[: limit // 2])
        for _, _, part in latest[: limit - len(chosen)]:
            chosen[part] = None
        return [self._evidence(part, now) for part in chosen]

    def expire(self, now: datetime) -> None:
        """Drop suspects whose last crash was long ago."""
        expired = [
            part
            for part, suspect in self.suspects_by_part_.items()
            if now - suspect.crashed_at > SUSPECT_LIFETIME
        ]
        for part in expired:
            del self.suspects_by_part_[part]
            self.trial_turns_by_part_.pop(part, None)
        if expired:
            self._explain()

    def _merge_item(self, item: PartEvidence, now: datetime) -> bool:
        """Add what a peer knows of a part and return whether it is new."""
        if item.age > SUSPECT_LIFETIME:
            return False
        is_sound_news = item.answered and item.part not in self.sound_parts_
        if is_sound_news:
            self._remember_sound(item.part)
        suspect = self.suspects_by_part_.get(item.part)
        known_ids = suspect.crash_ids.keys() if suspect else set()
        cleared_ids = suspect.cleared_ids if suspect else set()
        new_ids = [id_ for id_ in item.crash_ids if id_ not in known_ids]
        crashed_at = now - max(timedelta(), item.age)
        if len(known_ids) == MAX_CRASHES_PER_PART and crashed_at < suspect.crashed_at:
            # These are older than the crashes that are kept here.
            new_ids = []
        if not new_ids and cleared_ids.issuperset(known_ids & {*item.cleared_ids}):
            return is_sound_news
        companions = frozenset(item.companions)
        suspect = self._charge(item.part, new_ids, companions, crashed_at, now)
        suspect.cleared_ids.update(
            id_ for id_ in item.cleared_ids if id_ in suspect.crash_ids
        )
        return True

    def _remember_sound(self, part: str) -> None:
        self.sound_parts_[part] = None
        self.sound_parts_.move_to_end(part)
        while len(self.sound_parts_) > MAX_SOUND_PARTS:
            self.sound_parts_.popitem(last=False)

    def _charge(
        self,
        part: str,
        crash_ids: Collection[str],
        companions: Collection[str],
        crashed_at: datetime,
        now: datetime,
    ) -> _Suspect:
        suspect = self.suspects_by_part_.get(part)
        if suspect is None:
            suspect = _Suspect(crashed_at, now, frozenset(companions))
            self.suspects_by_part_[part] = suspect
        elif crash_ids:
            suspect.companions &= frozenset(companions)
        suspect.add_crashes(crash_ids, crashed_at)
        suspect.updated_at = now
        return suspect

    def _limit_suspects(self) -> None:
        """Drop those with the fewest crashes that have not changed for longest."""
        if len(self.suspects_by_part_) <= MAX_SUSPECTS:
            return
        ordered = sorted(
            self.suspects_by_part_.items(),
            key=lambda item: (len(item[1].open_ids), item[1].updated_at),
        )
        # Dropping a quarter at once keeps the cost of a flood low.
        self.suspects_by_part_ = dict(ordered[-MAX_SUSPECTS * 3 // 4 :])

    def _explain(self) -> None:
        """Attribute crashes to parts, those with the most crashes first."""
        open_by_part = {
            part: suspect.open_ids for part, suspect in self.suspects_by_part_.items()
        }

        def rank(part: str) -> tuple[bool, int, bool]:
            count = len(open_by_part[part])
            return part in self.sound_parts_, -count, part not in self.refused_

        candidates = sorted(
            (p for p, ids in open_by_part.items() if len(ids) >= REFUSAL_CRASHES),
            key=rank,
        )
        refused: set[str] = set()
        explained: set[str] = set()
        for (is_sound, _, is_new), parts in groupby(candidates, key=rank):
            required = SOUND_REFUSAL_CRASHES if is_sound else REFUSAL_CRASHES
            unexplained = {part: open_by_part[part] - explained for part in parts}
            # Hysteresis keeps a part refused if a coincidence explains one crash.
            found = self._select(unexplained, required - (not is_new))
            refused.update(found)
            explained.update(*(open_by_part[part] for part in found))
        changed = refused ^ self.refused_
        self.refused_, self.explained_ids_ = refused, explained
        for part in sorted(changed):
            self.on_change(part, open_by_part.get(part, ()), part in refused)

    def _select(self, unexplained: dict[str, set[str]], required: int) -> list[str]:
        """Return the parts that have enough crashes of their own.

        Parts that share crashes, but came in different requests, need one more, which
        a coincidence is likely not to have.
        """
        found = [part for part, ids in unexplained.items() if len(ids) >= required]
        selected = []
        for part in found:
            ids = unexplained[part]
            tied = {p for p in found if p != part and unexplained[p] & ids}
            is_ambiguous = tied and not self.suspects_by_part_[part].companions & tied
            is_new = part not in self.refused_
            if len(ids) >= required + (bool(is_ambiguous) and is_new):
                selected.append(part)
        return selected

    def _has_companions(self, part: str, parts: Sequence[str]) -> bool:
        """Check for the parts that cannot be told apart from a refused part."""
        companions = self.suspects_by_part_[part].companions & self.refused_
        return companions.issubset(parts)

    def _try_again(self, part: str, now: datetime) -> bool:
        """Check whether this request is the one with which a part is tried."""
        age = now - self.suspects_by_part_[part].crashed_at
        turn = age // TRIAL_TURN
        if age < self._trial_interval(part):
            return False
        if self.trial_turns_by_part_.get(part) == turn:
            return False
        if not self.is_trial_entry(f"{part}/{turn}"):
            return False
        self.trial_turns_by_part_[part] = turn
        return True

    def _trial_interval(self, part: str) -> timedelta:
        return SOUND_TRIAL_INTERVAL if part in self.sound_parts_ else TRIAL_INTERVAL

    def _evidence(self, part: str, now: datetime) -> PartEvidence:
        suspect = self.suspects_by_part_[part]
        return PartEvidence(
            part,
            tuple(suspect.crash_ids),
            tuple(sorted(suspect.cleared_ids)),
            tuple(sorted(suspect.companions)[:MAX_COMPANIONS]),
            part in self.sound_parts_,
            now - suspect.crashed_at,
        )
