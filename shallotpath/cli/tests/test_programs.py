from pathlib import Path

import pytest

from shallotpath.cli import agent, edge, engine, entry, mate, platform, timeline
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


PROCESS = """
node=n
ip=127.0.0.1
zone=a-1
internalPorts=7700,7715
platform.address=127.0.0.1:8007
"""


def fleet_exit_code(program, arguments, monkeypatch):
    monkeypatch.setattr("sys.argv", ["program", *arguments])
    monkeypatch.delenv("SHALLOTPATH_CONFIG", raising=False)
    with pytest.raises(SystemExit) as caught:
        program.main()
    return caught.value.code


@pytest.mark.parametrize("program", [edge, mate])
@pytest.mark.parametrize("flag", ["--help", "--version"])
def test_help_and_version_of_platform_programs(program, flag, monkeypatch, capsys):
    assert fleet_exit_code(program, [flag], monkeypatch) == 0
    assert capsys.readouterr().out


@pytest.mark.parametrize("program", [edge, mate])
def test_platform_programs_check_a_settings_file(
    program, monkeypatch, capsys, tmp_path
):
    path = tmp_path / "boot.conf"
    path.write_text(PROCESS)
    arguments = ["--check-config", str(path)]
    assert fleet_exit_code(program, arguments, monkeypatch) == 0
    path.write_text(PROCESS.replace("node=n\n", ""))
    assert fleet_exit_code(program, arguments, monkeypatch) == 2
    assert "node is missing" in capsys.readouterr().err


def test_platform_program_without_settings_names_the_variable(monkeypatch, capsys):
    assert fleet_exit_code(edge, [], monkeypatch) == 2
    assert "SHALLOTPATH_CONFIG is not set" in capsys.readouterr().err


def test_timeline_reads_files_of_log_lines(tmp_path, monkeypatch, capsys):
    path = tmp_path / "edge.log"
    path.write_text(
        'noise\n{"message": "start", "node": "edge-1", "role": "edge",'
        ' "time": "2026-02-11T22:08:47.172+00:00"}\n'
    )
    assert exit_code(timeline.app, ["--lines", str(path)], monkeypatch) == 0
    output = capsys.readouterr()
    assert "edge-1" in output.out
    assert "1 lines are not log lines" in output.err
    missing = str(tmp_path / "none.log")
    assert exit_code(timeline.app, ["--lines", missing], monkeypatch) == 3
    assert exit_code(timeline.app, [], monkeypatch) == 2
