"""A new configuration under load: SIGHUP moves discovery and the counter and drops nothing."""

import asyncio
import json
import pathlib
import signal

from world import (
    Discovery,
    Stub,
    World,
    instance,
    list_update,
    query,
    reply_when_released,
    reply_with,
    serve,
    until,
    within_timeout,
)

from aniseshed.interface import Counted, Outcome
from hookport import config


def test_a_move_drops_no_request_no_server_and_no_warm_connection() -> None:
    async def scenario() -> None:
        async with World(reply_when_released) as world:
            node, new = (await world.start()).node, await Discovery().start()
            assert node
            await until(lambda: world.discovery.watches)
            world.discovery.push(list_update(7, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.discovery.generation == 7)
            client = await world.client()
            client.send(*query(1))
            await until(lambda: world.stubs[0].commands)
            told = {**world.configuration(), "discovery": f"127.0.0.1:{new.port}"}
            node.reconfigure(config.parse_config(told, {}))
            await until(lambda: new.requests)
            assert b"index=0" in new.requests[0]  # versions of another place mean nothing: the whole list
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            new.push(list_update(3, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.discovery.generation == 3)
            assert await client.ask(*query(2)) == b"value"
            assert len(world.stubs[0].writers) == 1
            new.server.close()
            new.watches[-1].transport.abort()

    asyncio.run(scenario())


async def silent(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    pass


def test_calls_at_the_old_counter_end_once_and_later_ones_go_to_the_new() -> None:
    async def scenario() -> None:
        async with World(serve, count=silent) as world:
            node, new = (await world.start()).node, await Stub(reply_with(b"$1\r\n2\r\n")).start()
            assert node and node.counter
            events: list[Counted] = []
            node.feed = events.append  # type: ignore[assignment,method-assign]
            node.counter.timeout_s = 20.0
            node.counter.call(5, 1.0, 1000)
            await until(lambda: world.counter.commands)
            told = {**world.configuration(), "counter": f"127.0.0.1:{new.port}"}
            node.reconfigure(config.parse_config(told, {}))
            assert [e.outcome for e in events] == [Outcome.TIMEOUT]  # it may have been added
            node.counter.call(5, 1.0, 1000)
            await until(lambda: len(events) == 2)
            assert (events[1].outcome, events[1].total) == (Outcome.OK, 2.0)
            assert len(world.counter.commands) == 1 and len(new.commands) == 1
            await until(lambda: world.counter.closed)  # the old connection is not kept
            new.kill()

    asyncio.run(scenario())


def test_at_a_reload_the_file_wins_over_the_environment(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE))
    environ = {"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": "127.0.0.1:1"}
    assert config.load_config(environ).discovery == ("127.0.0.1", 1)
    assert config.load_config(environ, reloading=True).discovery == ("127.0.0.1", 2)


FILE = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:2", "settings": {"lanes": [], "tiersOfService": []}}


def test_sighup_moves_the_process_and_a_bad_file_changes_nothing(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.spawn(tmp_path)
            process, path = world.process, tmp_path / "config.json"
            assert process and process.stderr
            client, new = await world.client(), await Discovery().start()
            assert await client.ask(*query(1)) == b"value"
            good = {**world.configuration(), "discovery": f"127.0.0.1:{new.port}"}
            for text in ("", "{}", json.dumps({**good, "counter": "nowhere"})):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                while b"keeping the old configuration" not in (
                    line := await within_timeout(process.stderr.readline())
                ):
                    assert line, "it ended on a bad file"
            assert not new.requests
            path.write_text(json.dumps(good))
            process.send_signal(signal.SIGHUP)
            await until(lambda: new.watches)
            assert await client.ask(*query(2)) == b"value"
            new.server.close()
            new.watches[-1].transport.abort()

    asyncio.run(scenario())
