from datetime import timedelta

import pytest

from shallotpath.core import SettingError
from shallotpath.settings import EntrySettings, load_settings

VALID = """
[node]
id = entry-1
domain = bne-a
region = south
peer = 127.0.0.1:7001
bulk = 127.0.0.1:7002
http = 127.0.0.1:7003
[entry]
listen = 127.0.0.1:8001
[platform]
url = http://127.0.0.1:9000
[peers]
seeds = 127.0.0.1:7001, 127.0.0.1:7011
[timeouts]
silence = 500ms
[limits]
max_body = 2MiB
"""


def write(tmp_path, text):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    return path


def test_units_and_defaults(tmp_path):
    # Guards against a value in the wrong unit and a default that is not applied.
    settings = load_settings(EntrySettings, write(tmp_path, VALID))
    assert settings.silence == timedelta(milliseconds=500)
    assert settings.max_body == 2 * 1024**2
    assert settings.drain == timedelta(seconds=120)
    assert settings.seeds == ["tcp://127.0.0.1:7001", "tcp://127.0.0.1:7011"]


def test_every_fault_is_listed_with_file_section_key_and_remedy(tmp_path):
    # Guards against an operator who corrects one fault per start.
    text = (
        VALID.replace("silence = 500ms", "silense = 500ms")
        .replace("max_body = 2MiB", "max_body = 2")
        .replace("peer = 127.0.0.1:7001", "peer = localhost:7001")
        .replace("id = entry-1\n", "")
    )
    path = write(tmp_path, text + "[zzz]\na = 1\n")
    with pytest.raises(SettingError) as caught:
        load_settings(EntrySettings, path)
    faults = caught.value.message.splitlines()
    assert len(faults) == 5
    assert all(fault.startswith(f"{path}: [") for fault in faults)
    joined = "\n".join(faults)
    assert "[node] id: required but not set; add it" in joined
    assert "[node] peer: 'localhost:7001' is not an address" in joined
    assert "[limits] max_body: '2' needs a number and one of the units" in joined
    assert "[timeouts] silense: unknown key; did you mean 'silence'?" in joined
    assert "[zzz]: unknown section; use one of" in joined


@pytest.mark.parametrize(
    ("text", "remedy"),
    [("[node", "correct the INI syntax"), (None, "name a readable file")],
)
def test_an_unreadable_file_is_a_setting_error(tmp_path, text, remedy):
    # Guards against a program that starts with a traceback in place of a remedy.
    path = tmp_path / "missing.ini" if text is None else write(tmp_path, text)
    with pytest.raises(SettingError, match=remedy):
        load_settings(EntrySettings, path)
