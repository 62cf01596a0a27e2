"""Manifests and update states of weights that an earlier release wrote."""

from datetime import UTC, datetime
from random import Random

import pytest

from shallotpath.core import decode, encode
from shallotpath.core.tests.recorded_values import load_recorded
from shallotpath.weights import Manifest, decode_manifest, encode_manifest
from shallotpath.weights._status import StatusTable

RECORDED = load_recorded(__file__, "encodings.json")
MANIFEST = RECORDED["manifest"]
NOW = datetime(2026, 3, 1, 12, tzinfo=UTC)
# Whether the agent has finished with the target digest, and whether it is ready.
STATES = {
    "none": (False, False),
    "finished": (True, False),
    "ready": (False, True),
    "finished_and_ready": (True, True),
}


def test_a_recorded_manifest_keeps_its_bytes_and_digest():
    # Guards against a renamed field of the manifest: its digest pins a version, so all
    # published versions would count as altered.
    payload = MANIFEST["encoded"].encode()
    manifest = decode_manifest(payload)
    expected = Manifest(
        model="fold",
        version="v7",
        size=2500,
        chunk_bytes=1024,
        chunks=manifest.chunks,
    )
    assert manifest == expected
    assert len(manifest.chunks) == 3
    assert encode_manifest(manifest) == payload
    assert manifest.digest == MANIFEST["digest"]


def test_all_combinations_of_flags_are_recorded():
    # Guards against a recorded file that leaves out a flag.
    assert set(STATES) == set(RECORDED["statuses"])


@pytest.mark.parametrize("name", STATES)
def test_an_agent_sends_its_update_state_in_the_recorded_bytes(name):
    # Guards against a changed layout, hash or flag of the packed states: agents of two
    # releases would take each other for unfinished and hold the rolling update up.
    finished, ready = STATES[name]
    digest = MANIFEST["digest"]
    table = StatusTable("agent-7", "incarnation-9", Random(1))
    table.update_own("other", not ready, [])
    table.update_own(digest if finished else "", ready, ["agent-8"])
    ((_, message),) = table.messages(digest, ["agent-8"], NOW)
    assert encode(message).hex() == RECORDED["statuses"][name]


@pytest.mark.parametrize("name", STATES)
def test_a_recorded_update_state_is_passed_on_unchanged(name):
    # Guards against a flag or a version that is lost between receiving a state and
    # passing it on.
    frame = bytes.fromhex(RECORDED["statuses"][name])
    message = decode(frame)
    table = StatusTable("agent-8", "incarnation-1", Random(1))
    table.receive(message.digest, message.entries, lambda key: None, ["agent-9"])
    ((_, passed_on),) = table.messages(message.digest, ["agent-9"], NOW)
    assert encode(passed_on) == frame
