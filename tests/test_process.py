"""The whole program as a process: start, serve, refuse, a server dying, SIGTERM."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import hiredis
import pytest
from world import VALUE, Stub, World, query, reply_with, serve, submit, until, within_timeout


async def hold_orders(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    if words[0] == b"SVC.SUBMIT":
        await stub.release.wait()
    writer.write(VALUE)


def test_a_life_from_start_to_sigterm(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        busy = reply_with(b"-BUSY\r\n")
        async with World(hold_orders, hold_orders, count=busy, perSecond=0.01, storeSize=4.0) as world:
            await world.spawn(tmp_path)
            assert world.process
            client = await world.client()
            assert await client.ask(b"PING") == b"PONG"
            assert await client.ask(*query(1)) == b"value"
            # refused: the slice of four is spent, and what goes beyond it would wait for long
            replies = [await client.ask(*query(n, customer=9)) for n in range(2, 12)]
            refused = [r for r in replies if isinstance(r, hiredis.ReplyError)]
            assert 4 <= len(replies) - len(refused) <= 5
            assert {str(r) for r in refused} == {"BUSY 1000"}
            # a server dies with what it holds: that fails, as it may have run; others serve on
            client.send(*submit(20))
            await until(lambda: any(s.commands and s.commands[-1][0] == b"SVC.SUBMIT" for s in world.stubs))
            victim = next(s for s in world.stubs if s.commands and s.commands[-1][0] == b"SVC.SUBMIT")
            victim.kill()
            assert str(await client.answer()) == "ERR failed"
            for n in range(30, 36):
                assert await client.ask(*query(n, customer=n)) == b"value"
            # SIGTERM: connections still come, what is held is answered, those between requests are closed
            other = next(s for s in world.stubs if s is not victim)
            client.send(*submit(40))
            await until(lambda: other.commands[-1][2] == b"%016x" % 40)
            world.process.send_signal(signal.SIGTERM)
            assert world.process.stderr
            while b"shutting down" not in await within_timeout(world.process.stderr.readline()):
                pass
            late = await world.client()
            assert await late.ask(*query(41, customer=50)) == b"value"
            with pytest.raises(EOFError):
                await late.answer()
            other.release.set()
            assert await client.answer() == b"value"
            with pytest.raises(EOFError):
                await client.answer()
            assert await within_timeout(world.process.wait()) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("text", [None, "", "[]", "{}", '{"settings": {"lanes": [{}]}}', '{"settings": 3}'])
def test_a_bad_configuration_ends_it_with_one_plain_line(tmp_path: pathlib.Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    environ = {**os.environ, "PROXY_CONFIG": str(path)}
    done = subprocess.run([sys.executable, "-m", "hookport"], env=environ, capture_output=True, timeout=60)
    assert done.returncode == 2
    assert len(done.stderr.decode().splitlines()) == 1 and done.stderr.startswith(b"hookport: ")


def test_many_connections_survive_sigterm_between_requests(tmp_path: pathlib.Path) -> None:
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
