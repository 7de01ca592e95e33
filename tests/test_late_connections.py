"""Attempts whose connection comes up late: what held when they were decided may hold no more."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import uvloop
from helpers import KEYED, MS, SECOND, SETTINGS, UNSAFE, Bench
from world import World, hold_connections, query, reply_with, serve, submit, until

from aniseshed import interface as api

KEYED_CLASS = SETTINGS.classes.index(KEYED)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


def make_keyed(world: World, window_ns: int) -> None:
    """Let the servers drop repeats of submits for this time after the first attempt."""
    assert world.node
    settings = world.node.settings
    submits = replace(
        settings.classes[1],
        idempotency=api.Idempotency.KEYED,
        dedup_scope=api.DedupScope.ALL,
        dedup_window_ns=window_ns,
    )
    world.node.limiter.settings = replace(settings, classes=(settings.classes[0], submits))


def test_further_attempt_of_a_keyed_request_says_when_it_must_be_written() -> None:
    bench = Bench()
    request = bench.request(class_index=KEYED_CLASS)
    first_sent_ns = bench.now_ns
    bench.advance(100 * MS)
    bench.end_attempt(request, api.Outcome.ERROR)
    assert bench.sent[request, 0].write_by_ns == 0
    assert bench.sent[request, 1].write_by_ns == first_sent_ns + KEYED.dedup_window_ns


def test_further_attempt_of_what_has_not_run_may_be_written_at_any_time() -> None:
    for class_index in (KEYED_CLASS, SETTINGS.classes.index(UNSAFE)):
        bench = Bench()
        request = bench.request(class_index=class_index)
        bench.end_attempt(request, api.Outcome.CONNECT_FAILED)
        assert bench.sent[request, 1].write_by_ns == 0


def test_keyed_request_is_not_written_again_after_its_window_on_a_late_connection() -> None:
    """Guards against a claim that runs twice as its connection came up after the servers had forgotten it."""

    async def scenario() -> None:
        failing = reply_with(b"-ERR failed\r\n")
        async with World(failing, failing) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            make_keyed(world, 300 * MS)
            may_open = hold_connections(node.servers, prompt=1)
            client.send(*submit())
            await until(
                lambda: sum(len(stub.commands) for stub in world.stubs) == 1 and node.servers.connecting
            )
            asyncio.get_running_loop().call_later(1.0, may_open.set)
            answer = str(await client.answer())
            answered_in_time = not may_open.is_set()
            await may_open.wait()
            await asyncio.sleep(0.1)
            assert answer.startswith("BUSY") and answered_in_time  # at the end of the window
            assert sum(len(stub.commands) for stub in world.stubs) == 1
            assert not node.attempts and not node.limiter.in_flight

    run(scenario)


def test_attempt_is_not_written_after_its_time_when_the_loop_is_held_up() -> None:
    """Guards against a late connection whose event is handled before the timer of its window."""

    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            may_open = hold_connections(node.servers)
            client.send(*query(1))
            await until(lambda: node.servers.connecting)
            (attempt,) = node.servers.connecting
            attempt.write_by_ns = node.now_ns()
            may_open.set()
            assert str(await client.answer()).startswith("BUSY")
            assert not world.stubs[0].commands and not node.limiter.in_flight

    run(scenario)


def test_server_is_told_the_time_that_is_left_when_the_command_is_written() -> None:
    """Guards against a server that works for a client whose time is up, as its connection came up late."""

    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            may_open = hold_connections(node.servers)
            client.send(*query(1, wait_ms=1000))
            await until(lambda: node.servers.connecting)
            await asyncio.sleep(0.4)
            may_open.set()
            assert await client.answer() == b"value"
            told_ms = int(world.stubs[0].commands[0][3].split(b"d=")[1].split(b",")[0])
            assert 0 < told_ms <= SECOND // MS - 400

    run(scenario)
