from pathlib import Path

import pytest

from shallotpath.settings import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    PlatformSettings,
    load_settings,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS_BY_PREFIX = {
    "agent": AgentSettings,
    "engine": EngineSettings,
    "entry": EntrySettings,
    "platform": PlatformSettings,
}


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=lambda p: p.name)
def test_examples_are_accepted(path):
    # Guards against examples that a renamed or removed setting has broken.
    load_settings(SETTINGS_BY_PREFIX[path.stem.split("-")[0]], path)
