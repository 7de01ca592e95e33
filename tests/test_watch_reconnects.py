"""How soon a watch is open again: what discovery's agent has counts as told, whether or not one is open."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from world import Discovery as Agent
from world import World, instance, list_update, serve, until

from aniseshed import interface as api
from hookport import discovery
from hookport.config import NameIndex

GRACE_S = 0.25  # of a drain


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


def test_silent_watch_is_reopened_at_once_however_long_discovery_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for draining servers when discovery comes back while no watch is open."""
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            await until(lambda: world.discovery.watches)
            await asyncio.sleep(1.5)
            assert len(world.discovery.watches) >= 10
            assert world.node and world.node.discovery.watch

    run(scenario)


def test_watch_is_open_within_the_grace_when_discovery_takes_connections_again() -> None:
    """Guards against a delay that has grown with an outage, and that the first drains after it fall into."""

    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            assert world.node
            agent = world.discovery
            await until(lambda: agent.watches)
            agent.server.close()
            agent.watches.pop().transport.abort()
            await asyncio.sleep(2.5)
            agent.server = await asyncio.start_server(agent.handle_connection, "127.0.0.1", agent.port)
            returned_s = asyncio.get_running_loop().time()
            await until(lambda: agent.watches)
            assert asyncio.get_running_loop().time() - returned_s < GRACE_S
            agent.push(list_update(2, instance("s-0", world.stubs[0].port, "DRAINING")))
            servers = world.node.limiter.servers
            await until(lambda: servers[b"s-0"].entry.health is api.Health.DRAINING)

    run(scenario)


def test_silent_watch_is_reopened_at_once_where_lists_are_asked_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a drain that is seen too late, as a silent watch waits for the policy's next call."""
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        agent, kinds = await Agent().start(), list[api.ListKind]()
        client = discovery.Discovery(
            asyncio.get_running_loop(),
            ("127.0.0.1", agent.port),
            NameIndex({}, {}, {}, {}),
            lambda server_list, addresses: kinds.append(server_list.kind),
            0.25,
            auto_reconnect=False,
        )
        client.subscribe(True)
        await until(lambda: len(agent.watches) >= 3)
        assert not kinds  # else the policy would open another watch
        agent.watches[-1].transport.abort()
        await until(lambda: kinds == [api.ListKind.FAILED])
        client.close()
        agent.server.close()

    run(scenario)
