"""The command line: help, errors, and that the daemon imports none of the tools."""

import subprocess
import sys

import pytest

from hookport import cli


def run_hookport(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "hookport", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_help_and_version_need_no_configuration() -> None:
    result = run_hookport("--help")
    assert result.returncode == 0 and "rehearse" in result.stdout and "PROXY_CONFIG" in result.stdout
    assert run_hookport("--version").stdout.startswith("hookport 0.")


def test_without_arguments_the_daemon_runs() -> None:
    result = run_hookport()
    assert result.returncode == 2 and result.stderr.startswith("hookport: PROXY_CONFIG is not set")


def test_an_unknown_command_gets_a_one_line_error_that_lists_the_commands() -> None:
    result = run_hookport("rehears")
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1 and "rehearse" in result.stderr


def test_a_missing_package_gets_an_error_with_the_install_command(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    for name in [name for name in sys.modules if name.startswith("hookport.rehearsal")]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "msgspec", None)
    assert cli.main(["rehearse", "--list"]) == 2
    assert "pip install 'hookport[rehearsal]'" in capsys.readouterr().err


def test_the_daemon_imports_none_of_the_tools() -> None:
    """An import at module level would make every daemon load the tools and their dependencies."""
    code = (
        "import sys, hookport.__main__, hookport.daemon\n"
        "heavy = {'hookport.cli', 'hookport.rehearsal', 'msgspec', 'rich', 'psutil', 'argparse'}\n"
        "print(sorted(heavy & set(sys.modules)))"
    )
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    assert result.stdout.strip() == "[]"
