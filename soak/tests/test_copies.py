from collections import Counter
from random import Random

import pytest
from aiohttp import web

from shallotpath.core import EPOCH
from shallotpath.platform import _names as names
from soak._callers import Caller
from soak._content import failure_body, whole_body
from soak._copies import Answer, Connection, Copier, make_answer
from soak._ledger import Attempt, Kind, Ledger

OWN = whole_body("r", streaming=False)


class RecordingTransport:
    """Collect what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def is_closing(self):
        return False


def check_answer(body, *, status=200, seal="u.r.0", answered_id="id"):
    """Return the invariants that an answer to the attempt `r` with the id violates."""
    ledger = Ledger()
    caller = Caller(number=0, balancer=None, ledger=ledger, clock=None, random=None)
    attempt = Attempt("r", Kind.ORDER, 0, EPOCH, request_id="id")
    attempt.status, attempt.seal = status, seal
    caller._check_answer(attempt, {names.REQUEST_ID: answered_id}, body)
    return [item.invariant for item in ledger.violations]


@pytest.mark.parametrize(
    ("body", "changes", "expected"),
    [
        (OWN, {}, []),
        (failure_body("r"), {"status": 500}, []),
        # The whole answer to another attempt with the same id.
        (whole_body("q", streaming=False), {}, ["MIXED"]),
        (OWN[:-1], {}, ["MIXED"]),
        (OWN, {"answered_id": "r"}, ["MIXED"]),
        (OWN, {"seal": ""}, ["MIXED"]),
        (failure_body("q"), {"status": 500}, ["MIXED"]),
        (failure_body("r")[:-1], {"status": 500}, ["MIXED"]),
    ],
)
def test_answer_that_is_not_whole_or_of_another_attempt_is_found(
    body, changes, expected
):
    # Guards against callers that accept an answer because of its id alone.
    assert check_answer(body, **changes) == expected


def test_copies_are_whole_or_cut_inside_the_head_with_and_without_the_id():
    # Guards against a soak that never writes one of the kinds of copies.
    answer = Answer(200, [(names.REQUEST_ID, "id"), ("Content-Length", "2")], b"ok")
    connection, counts, found = Connection({"id": answer}), Counter(), set()
    copier = Copier(Random(1), counts)
    for _ in range(100):
        transport = RecordingTransport()
        is_cut = copier._write(transport, connection, "after an answer")
        head, end, body = transport.written.partition(b"\r\n\r\n")
        assert (end == b"") == is_cut
        assert is_cut or body == b"ok"
        found.add((is_cut, b"id\r\n" in head))
    assert found == {(False, False), (False, True), (True, False), (True, True)}
    assert sum(counts.values()) == 100


def test_answer_in_chunks_is_copied_in_chunks():
    # Guards against copies that no reader takes for an answer.
    response = web.Response(body=b"x" * 10)
    response.headers["Transfer-Encoding"] = "chunked"
    body = make_answer(None, response).body
    assert body == b"a\r\nxxxxxxxxxx\r\n0\r\n\r\n"
