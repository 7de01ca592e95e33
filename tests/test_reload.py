"""Reloading the configuration: SIGHUP changes the addresses of discovery and the counter without losses."""

import asyncio
import json
import pathlib
import signal

import pytest
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
from hookport import config, servers


def test_a_new_discovery_address_keeps_requests_servers_and_open_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers stay known until the new service sends its list, so that nothing in flight is dropped."""

    async def scenario() -> None:
        monkeypatch.setattr(servers, "REUSE_DELAY_S", -1.0)
        async with World(reply_when_released) as world:
            node, new_discovery = (await world.start()).node, await Discovery().start()
            assert node
            await until(lambda: world.discovery.watches)
            world.discovery.push(list_update(7, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.discovery.generation == 7)
            client = await world.client()
            client.send(*query(1))
            await until(lambda: world.stubs[0].commands)
            document = {**world.configuration(), "discovery": f"127.0.0.1:{new_discovery.port}"}
            node.reconfigure(config.parse_config(document, {}))
            await until(lambda: new_discovery.requests)
            # Generations of another service are not comparable, so the full list is requested.
            assert b"index=0" in new_discovery.requests[0]
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            new_discovery.push(list_update(3, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.discovery.generation == 3)
            assert await client.ask(*query(2)) == b"value"
            assert len(world.stubs[0].writers) == 1
            new_discovery.server.close()
            new_discovery.watches[-1].transport.abort()

    asyncio.run(scenario())


async def never_answer(stub: Stub, args: list[bytes], writer: asyncio.StreamWriter) -> None:
    pass


def test_calls_to_the_old_counter_end_once_and_later_calls_go_to_the_new_one() -> None:
    async def scenario() -> None:
        async with World(serve, count=never_answer) as world:
            node, new_counter = (await world.start()).node, await Stub(reply_with(b"$1\r\n2\r\n")).start()
            assert node and node.counter
            events: list[Counted] = []
            node.feed = events.append  # type: ignore[assignment,method-assign]
            node.counter.timeout_s = 20.0
            node.counter.call(5, 1.0, 1000)
            await until(lambda: world.counter.commands)
            document = {**world.configuration(), "counter": f"127.0.0.1:{new_counter.port}"}
            node.reconfigure(config.parse_config(document, {}))
            # The old counter may have added the amount.
            assert [event.outcome for event in events] == [Outcome.TIMEOUT]
            node.counter.call(5, 1.0, 1000)
            await until(lambda: len(events) == 2)
            assert (events[1].outcome, events[1].total) == (Outcome.OK, 2.0)
            assert len(world.counter.commands) == 1 and len(new_counter.commands) == 1
            await until(lambda: world.counter.closed)  # the old connection must be closed
            new_counter.kill()

    asyncio.run(scenario())


def test_on_a_reload_the_file_takes_precedence_over_the_environment(tmp_path: pathlib.Path) -> None:
    """The environment still holds the address from the start, which would hide the new one."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIGURATION))
    environ = {"PROXY_CONFIG": str(path), "PROXY_DISCOVERY": "127.0.0.1:1"}
    assert config.load_config(environ).discovery == ("127.0.0.1", 1)
    assert config.load_config(environ, reloading=True).discovery == ("127.0.0.1", 2)


CONFIGURATION = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:2",
    "settings": {"lanes": [], "tiersOfService": []},
}


def test_sighup_applies_a_valid_file_and_ignores_an_invalid_one(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.spawn(tmp_path)
            process, path = world.process, tmp_path / "config.json"
            assert process and process.stderr
            client, new_discovery = await world.client(), await Discovery().start()
            assert await client.ask(*query(1)) == b"value"
            valid = {**world.configuration(), "discovery": f"127.0.0.1:{new_discovery.port}"}
            for text in ("", "{}", json.dumps({**valid, "counter": "nowhere"})):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                while b"keeping the old configuration" not in (
                    line := await within_timeout(process.stderr.readline())
                ):
                    assert line, "the process ended on an invalid file"
            assert not new_discovery.requests
            path.write_text(json.dumps(valid))
            process.send_signal(signal.SIGHUP)
            await until(lambda: new_discovery.watches)
            assert await client.ask(*query(2)) == b"value"
            new_discovery.server.close()
            new_discovery.watches[-1].transport.abort()

    asyncio.run(scenario())
