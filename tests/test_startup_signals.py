"""Signals that arrive while the daemon starts."""

import asyncio
import json
import os
import signal
import sys
import tomllib
from pathlib import Path

import pytest
from world import Discovery, World, query, serve, until, within_timeout

ROOT = Path(__file__).resolve().parent.parent
# Sends a signal to the process when it imports uvloop, before it has read its configuration.
SIGNAL_AT_IMPORT = """
import os, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), {signal})
sys.meta_path.insert(0, Finder())
from hookport.__main__ import main
sys.exit(main())
"""
# Replaces the configuration file, and sends SIGHUP, right after it was read.
RELOAD_AFTER_READING = """
import os, signal, sys
from hookport import __main__, daemon
load_config = daemon.load_config
def load_and_signal(*args, **options):
    config = load_config(*args, **options)
    if os.path.exists(path := os.environ["PROXY_CONFIG"] + ".next"):
        os.replace(path, os.environ["PROXY_CONFIG"])
        os.kill(os.getpid(), signal.SIGHUP)
    return config
daemon.load_config = load_and_signal
sys.exit(__main__.main())
"""


async def start(world: World, folder: Path, code: str, *command: str) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(world.configuration()))
    world.process = await asyncio.create_subprocess_exec(
        *(command or (sys.executable, "-c", code)), cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    return world.process


async def serves(world: World, process: asyncio.subprocess.Process) -> bool:
    assert process.stderr
    while b" serves on " not in (line := await within_timeout(process.stderr.readline())):
        if not line:
            return False
    world.port = int(line.rsplit(b":", 1)[1])
    return bool(await (await world.client()).ask(*query(1)) == b"value")


def test_reload_signal_while_the_daemon_loads_does_not_end_it(tmp_path: Path) -> None:
    """Guards against a new configuration that kills the limiters which are just starting."""

    async def scenario() -> None:
        async with World(serve) as world:
            code = SIGNAL_AT_IMPORT.format(signal=int(signal.SIGHUP))
            assert await serves(world, await start(world, tmp_path, code))

    asyncio.run(scenario())


def test_reload_signal_before_python_starts_does_not_end_the_command_of_the_deploy_file(
    tmp_path: Path,
) -> None:
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    run = run.replace(".venv/bin/python", sys.executable).replace("exec ", "kill -HUP $$; exec ")

    async def scenario() -> None:
        async with World(serve) as world:
            assert await serves(world, await start(world, tmp_path, "", "/bin/sh", "-c", run))

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_while_the_daemon_loads_ends_it_in_order(tmp_path: Path, number: signal.Signals) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            process = await start(world, tmp_path, SIGNAL_AT_IMPORT.format(signal=int(number)))
            assert await within_timeout(process.wait()) == 0

    asyncio.run(scenario())


def test_reload_signal_right_after_the_configuration_was_read_is_not_lost(tmp_path: Path) -> None:
    """Guards against a limiter that stays with the old discovery for good."""

    async def scenario() -> None:
        async with World(serve) as world:
            new_discovery = await Discovery().start()
            following = {**world.configuration(), "discovery": f"127.0.0.1:{new_discovery.port}"}
            (tmp_path / "config.json.next").write_text(json.dumps(following))
            process = await start(world, tmp_path, RELOAD_AFTER_READING)
            assert await serves(world, process)
            await until(lambda: new_discovery.watches)
            new_discovery.server.close()
            new_discovery.watches[-1].transport.abort()
            await asyncio.sleep(0)

    asyncio.run(scenario())
