from pathlib import Path

import pytest

from shallotpath.cli import agent, engine, entry, platform, timeline
from shallotpath.cli._program import run_app

PLATFORM = "[platform]\nlisten = 127.0.0.1:0\n"


def exit_code(app, arguments, monkeypatch):
    monkeypatch.setattr("sys.argv", [app.name[0], *arguments])
    with pytest.raises(SystemExit) as caught:
        run_app(app)
    return caught.value.code


@pytest.mark.parametrize(
    "app", [platform.app, engine.app, entry.app, agent.app, timeline.app]
)
@pytest.mark.parametrize("flag", ["--help", "--version"])
def test_help_and_version(app, flag, monkeypatch, capsys):
    assert exit_code(app, [flag], monkeypatch) == 0
    assert capsys.readouterr().out


def test_check_config_accepts_good_settings(tmp_path, monkeypatch):
    path = tmp_path / "platform.ini"
    path.write_text(PLATFORM)
    arguments = ["--config", str(path), "--check-config"]
    assert exit_code(platform.app, arguments, monkeypatch) == 0


def test_wrong_settings_exit_with_2_and_name_the_key(tmp_path, monkeypatch, capsys):
    path = tmp_path / "platform.ini"
    path.write_text(PLATFORM + "vms_lag = 5\n")
    assert exit_code(platform.app, ["--config", str(path)], monkeypatch) == 2
    assert "[platform] vms_lag: '5' needs a number" in capsys.readouterr().err


def test_wrong_keys_are_a_setting_error(tmp_path, monkeypatch, capsys):
    # Guards against a program that starts and then dies of its keys.
    path = tmp_path / "entry.ini"
    example = Path(__file__).parents[3] / "examples" / "entry.ini"
    path.write_text(example.read_text() + "[security]\npublic_key = short\n")
    arguments = ["--config", str(path), "--check-config"]
    assert exit_code(entry.app, arguments, monkeypatch) == 2
    assert "create a pair with 'shallotctl keys'" in capsys.readouterr().err


def test_a_wrong_option_exits_with_2(monkeypatch, capsys):
    # Guards against a usage error that a script cannot tell from a failure.
    assert exit_code(platform.app, ["--bogus"], monkeypatch) == 2
