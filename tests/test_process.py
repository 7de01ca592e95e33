"""The daemon as a process: startup, serving, refusals, a server failure, SIGTERM."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import hiredis
import pytest
from world import World, hold_submits, query, reply_with, serve, submit, until, within_timeout


def test_a_process_from_start_to_sigterm(tmp_path: pathlib.Path) -> None:
    """Each request gets one reply through refusals, a server failure and a shutdown with requests pending."""

    async def scenario() -> None:
        busy = reply_with(b"-BUSY\r\n")
        async with World(hold_submits, hold_submits, count=busy, perSecond=0.01, storeSize=4.0) as world:
            await world.spawn(tmp_path)
            assert world.process
            client = await world.client()
            assert await client.ask(b"PING") == b"PONG"
            assert await client.ask(*query(1)) == b"value"
            # refused: the limiter's share of four units is used up, and more would have to wait too long
            replies = [await client.ask(*query(n, customer=9)) for n in range(2, 12)]
            refused = [r for r in replies if isinstance(r, hiredis.ReplyError)]
            assert 4 <= len(replies) - len(refused) <= 5
            assert {str(r) for r in refused} == {"BUSY 1000"}
            # a server fails with a request in flight: the request may have run, so it fails; others go on
            client.send(*submit(20))
            await until(lambda: any(s.commands and s.commands[-1][0] == b"SVC.SUBMIT" for s in world.stubs))
            failed_server = next(s for s in world.stubs if s.commands and s.commands[-1][0] == b"SVC.SUBMIT")
            failed_server.kill()
            assert str(await client.answer()) == "ERR failed"
            for n in range(30, 36):
                assert await client.ask(*query(n, customer=n)) == b"value"
            # SIGTERM: new connections and pending requests are served, idle connections are closed
            other_server = next(s for s in world.stubs if s is not failed_server)
            client.send(*submit(40))
            await until(lambda: other_server.commands[-1][2] == b"%016x" % 40)
            world.process.send_signal(signal.SIGTERM)
            assert world.process.stderr
            while b"shutting down" not in await within_timeout(world.process.stderr.readline()):
                pass
            late_client = await world.client()
            assert await late_client.ask(*query(41, customer=50)) == b"value"
            with pytest.raises(EOFError):
                await late_client.answer()
            other_server.release.set()
            assert await client.answer() == b"value"
            with pytest.raises(EOFError):
                await client.answer()
            assert await within_timeout(world.process.wait()) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("text", [None, "", "[]", "{}", '{"settings": {"lanes": [{}]}}', '{"settings": 3}'])
def test_an_invalid_configuration_ends_the_process_with_a_one_line_error(
    tmp_path: pathlib.Path, text: str | None
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    environ = {**os.environ, "PROXY_CONFIG": str(path)}
    result = subprocess.run([sys.executable, "-m", "hookport"], env=environ, capture_output=True, timeout=60)
    assert result.returncode == 2
    assert len(result.stderr.decode().splitlines()) == 1 and result.stderr.startswith(b"hookport: ")


def test_sigterm_closes_many_idle_connections_and_ends_the_process(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.spawn(tmp_path)
            clients = [await world.client() for _ in range(20)]
            for n, client in enumerate(clients):
                assert await client.ask(*query(n)) == b"value"
            assert world.process
            world.process.terminate()
            for client in clients:
                with pytest.raises(EOFError):
                    await client.answer()
            assert await within_timeout(world.process.wait()) == 0

    asyncio.run(scenario())
