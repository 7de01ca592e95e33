"""The command line: what it says, and that the daemon pays nothing for it."""

import subprocess
import sys

import pytest

from hookport import cli


def words(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "hookport", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_help_and_version_need_no_configuration() -> None:
    told = words("--help")
    assert told.returncode == 0 and "rehearse" in told.stdout and "PROXY_CONFIG" in told.stdout
    assert words("--version").stdout.startswith("hookport 0.")


def test_no_arguments_is_the_daemon_as_ever() -> None:
    told = words()
    assert told.returncode == 2 and told.stderr.startswith("hookport: PROXY_CONFIG is not set")


def test_an_unknown_command_is_told_in_one_line() -> None:
    told = words("rehears")
    assert told.returncode == 2 and len(told.stderr.splitlines()) == 1 and "rehearse" in told.stderr


def test_a_missing_package_is_named_with_the_mend(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    for name in [name for name in sys.modules if name.startswith("hookport.rehearsal")]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "msgspec", None)
    assert cli.main(["rehearse", "--list"]) == 2
    assert "pip install 'hookport[rehearsal]'" in capsys.readouterr().err


def test_the_daemon_imports_none_of_the_tools() -> None:
    code = (
        "import sys, hookport.__main__\n"
        "heavy = {'hookport.cli', 'hookport.rehearsal', 'msgspec', 'rich', 'psutil', 'argparse'}\n"
        "print(sorted(heavy & set(sys.modules)))"
    )
    command = [sys.executable, "-c", code]
    told = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    assert told.stdout.strip() == "[]"
