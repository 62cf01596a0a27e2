"""Attempts that an entry makes to serve one request."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime

from transitions import Machine

from ..core import Code, RunState, Submit

# From no run to a certain run of the request.
_RUN_STATES_BY_CERTAINTY = [RunState.NO, RunState.UNKNOWN, RunState.YES]

# Codes after which a retry is useless: any upstream would respond the same, or no
# caller waits for the response.
FINAL_CODES = frozenset(
    {
        Code.MALFORMED_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.QUARANTINED,
        Code.TEAM_LIMIT,
        Code.SLOW_READER,
        Code.DEADLINE_EXCEEDED,
        Code.CLAIM_IN_PROGRESS,
    }
)

_TRANSITIONS = [
    ["submit", ["new", "between"], "submitted"],
    ["deliver", ["submitted", "delivering"], "delivering"],
    ["pause", ["submitted", "delivering"], "between"],
    ["complete", ["submitted", "delivering"], "completed"],
    ["give_up", ["new", "submitted", "delivering", "between"], "failed"],
]


class OutgoingCall:
    """Track the attempts of one request and decide whether another is allowed."""

    def __init__(
        self, template: Submit, deadline: datetime, *, generation: bool
    ) -> None:
        self.template = template
        self.deadline = deadline
        self.generation = generation
        self.attempt_ = 0
        self.run_ = RunState.NO
        self.tokens_ = 0
        self.relayed_bytes_ = 0
        self.digest_ = ""
        self.tried_ids_: set[str] = set()
        _machine.add_model(self)
        # add_model binds the triggers to the call. Staying in the list of models would
        # keep every call in memory for the lifetime of the process.
        _machine.remove_model(self)

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt, from 1."""
        return self.attempt_

    @property
    def run(self) -> RunState:
        """Return whether any attempt is known to have run the request."""
        return self.run_

    @property
    def tokens(self) -> int:
        """Return the number of tokens that the caller has received."""
        return self.tokens_

    def begin(self, member_id: str, now: datetime) -> Submit:
        """Start the next attempt and return its message."""
        self.submit()
        self.attempt_ += 1
        self.tried_ids_.add(member_id)
        return replace(
            self.template,
            attempt=self.attempt_,
            time_left=self.deadline - now,
            resume_from=self.tokens_,
            # A resumed generation must not continue on other weights.
            digest=self.digest_ if self.tokens_ else "",
            fresh_key=self.template.fresh_key and self.attempt_ == 1,
        )

    def delivered(self, size: int, tokens: int, digest: str) -> None:
        """Record what was relayed to the caller and the digest of its weights."""
        if self.state != "delivering":
            self.deliver()
        self.relayed_bytes_ += size
        self.tokens_ += tokens
        self.digest_ = digest

    def ended(self, run: RunState) -> None:
        """Record the end of an attempt that did not complete."""
        self.pause()
        # An earlier attempt may have run the request even if a later one is refused.
        self.run_ = max(self.run_, run, key=_RUN_STATES_BY_CERTAINTY.index)

    def unsent(self) -> None:
        """Record that no home agent was available to check the key of the call."""
        # A key chosen by the caller may have been used before, and that earlier request
        # may have run.
        if not self.template.repeatable and not self.template.fresh_key:
            self.run_ = max(
                self.run_, RunState.UNKNOWN, key=_RUN_STATES_BY_CERTAINTY.index
            )

    def fault(self) -> None:
        """Record that an error in the entry interrupted the current attempt, if any."""
        if self.state in ("submitted", "delivering"):
            self.ended(RunState.UNKNOWN)

    def may_retry(self, code: Code, run: RunState) -> bool:
        """Check whether the last attempt permits another one."""
        if code in FINAL_CODES:
            return False
        if run is RunState.NO:
            return True
        if not self.template.repeatable:
            return False
        if self.generation:
            return True
        return run is RunState.UNKNOWN and self.relayed_bytes_ == 0


_machine = Machine(
    model=None,
    states=[
        "new",
        "submitted",
        "delivering",
        "between",
        "completed",
        "failed",
    ],
    transitions=_TRANSITIONS,
    initial="new",
    auto_transitions=False,
)
