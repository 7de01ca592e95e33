"""Servers and a counter with invalid answers: no wrong value is passed on, no such connection is reused."""

import asyncio
import os
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from world import (
    VALUE,
    Stub,
    World,
    instance,
    list_update,
    never_reply,
    reply_with,
    serve,
    submit,
    until,
    within_timeout,
)

from aniseshed.interface import Outcome
from hookport import counter, servers
from hookport.resp_reader import SimpleElement, StreamError


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("text", "outcome"),
    [
        (b"ERR failed", Outcome.ERROR),
        (b"BUSY", Outcome.FULL),
        (b"BUSY inflight=7,util=0.61", Outcome.FULL),
        (b"BUSYX", None),
        (b"BUSY \xb9\xa7", None),
        (b"busy", None),
        (b"WHAT is this", None),
    ],
)
def test_only_a_well_formed_error_counts_as_not_executed(text: bytes, outcome: Outcome | None) -> None:
    if outcome is None:
        with pytest.raises(StreamError):
            servers.parse_answer(SimpleElement(b"-", text))
    else:
        assert servers.parse_answer(SimpleElement(b"-", text)) == (outcome, b"")


def test_value_is_served_although_its_load_report_is_unreadable() -> None:
    async def scenario() -> None:
        async with World(reply_with(b"*3\r\n$5\r\nvalue\r\n$3\r\n\xff\xfe\xfd\r\n:9\r\n")) as world:
            client = await (await world.start()).client()
            assert await client.ask(*submit()) == b"value"

    run(scenario)


async def answer_twice(stub: Stub, args: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Send a valid answer and, one millisecond later, a copy of it."""
    writer.write(VALUE.replace(b"value", args[2][-5:]))
    await asyncio.sleep(0.001)
    writer.write(VALUE.replace(b"value", args[2][-5:]))


def test_bytes_behind_an_answer_are_not_taken_for_the_next_answer() -> None:
    async def scenario() -> None:
        async with World(answer_twice) as world:
            client = await (await world.start()).client()
            for n in range(10, 40):
                assert await client.ask(*submit(n)) == b"%05x" % n

    run(scenario)


async def pool_with_idle_connection(world: World) -> servers.Servers:
    client = await (await world.start()).client()
    assert await client.ask(*submit()) == b"value"
    assert world.node
    pool = world.node.servers
    await until(lambda: pool.idle.get(b"s-0"))
    return pool


def test_connection_is_not_reused_while_a_second_answer_may_come_late() -> None:
    """A second answer comes some milliseconds late; on a reused connection the next customer would get it."""

    async def scenario() -> None:
        async with World(serve) as world:
            pool = await pool_with_idle_connection(world)
            (connection,) = pool.idle[b"s-0"]
            connection.idle_since_s = pool.loop.time() - 0.012
            assert pool.take_idle(b"s-0") is None
            connection.idle_since_s = pool.loop.time() - 0.2
            assert pool.take_idle(b"s-0") is connection

    run(scenario)


def test_connection_with_unread_data_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(servers, "REUSE_DELAY_S", -1.0)
        async with World(serve) as world:
            pool = await pool_with_idle_connection(world)
            # written directly to the socket, so that the limiter's loop has not read it yet
            os.write(world.stubs[0].writers[0].get_extra_info("socket").fileno(), VALUE)
            assert pool.take_idle(b"s-0") is None
            await until(lambda: not pool.connections)

    run(scenario)


@pytest.mark.parametrize("text", [b"*3\r\n$9\r\nval", b"*3\r\n$5\r\nvalue\r\n", b"-ERR", b"*3"])
def test_incomplete_answer_fails_the_attempt_after_the_stall_timeout(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, text: bytes
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(servers, "STALL_TIMEOUT_S", 0.02)
        async with World(reply_with(text)) as world:
            client = await (await world.start()).client()
            assert str(await client.ask(*submit())) == "ERR failed"
            assert "incomplete answer" in caplog.text

    run(scenario)


def test_state_of_a_server_is_removed_with_the_server() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            pool, port = node.servers, world.stubs[0].port
            await until(lambda: world.discovery.watches)
            for n in range(2, 40):
                world.discovery.push(
                    list_update(n, instance(f"s-{n}", port), instance(f"s-{n - 1}", port, "DELETED"))
                )
                await until(lambda n=n: list(pool.endpoints)[-1:] == [b"s-%d" % n])  # type: ignore[misc]
                assert await client.ask(*submit(n)) == b"value"
            world.discovery.push(list_update(40, instance("s-39", port, "DRAINING")))
            await until(lambda: pool.draining)
            world.discovery.push(
                list_update(41, instance("s-39", port, "DELETED"), instance("s-0", port, "DELETED"))
            )
            await until(lambda: not pool.endpoints and not pool.connections)
            assert not pool.draining and not pool.idle and not node.limiter.servers
            assert not node.attempts and not node.limiter.in_flight

    run(scenario)


def test_connection_is_not_kept_if_its_server_was_removed_during_the_request() -> None:
    async def late(stub: Stub, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        await stub.release.wait()
        writer.write(VALUE)

    async def scenario() -> None:
        async with World(late) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            await until(lambda: world.discovery.watches)
            client.send(*submit())
            await until(lambda: world.stubs[0].commands)
            world.discovery.push(list_update(2, instance("s-0", world.stubs[0].port, "DELETED")))
            await until(lambda: not node.servers.endpoints)
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            await until(lambda: not node.servers.connections)
            assert not node.servers.idle

    run(scenario)


@pytest.mark.parametrize("text", [b"$9\r\n12", b"+what", b"-WHAT\r\n", b"$3\r\nabc\r\n", b"$900\r\n"])
def test_invalid_total_counts_as_timed_out_and_closes_the_connection(text: bytes) -> None:
    async def scenario() -> None:
        async with World(serve, count=reply_with(text)) as world:
            node = (await world.start()).node
            assert node and node.counter
            ends: list[Outcome] = []
            node.counter.on_end = lambda call, outcome, total: ends.append(outcome)
            node.counter.call(5, 1.0, 1000)
            await until(lambda: ends)
            world.counter.handler = reply_with(b"$1\r\n7\r\n")
            await until(lambda: world.counter.closed)
            node.counter.call(5, 1.0, 1000)
            await until(lambda: len(ends) == 2)
            assert ends == [Outcome.TIMEOUT, Outcome.OK]

    run(scenario)


def test_silent_counter_connection_is_replaced_with_growing_delays() -> None:
    async def scenario() -> None:
        stub = await Stub(never_reply).start()
        ends: list[Outcome] = []
        calls = counter.Counter(
            asyncio.get_running_loop(), ("127.0.0.1", stub.port), 0.01, 5.0,
            lambda call, result, total: ends.append(result),
        )  # fmt: skip
        first_s = calls.stall_s

        async def call() -> None:
            while stub.closed < 2:
                calls.call(1, 1.0, 10**9)
                await asyncio.sleep(0.01)

        await within_timeout(call())
        assert calls.stall_s >= 4 * first_s  # the wait doubles with each silent connection in a row
        calls.close()
        stub.kill()

    run(scenario)


def test_value_larger_than_any_client_may_send_is_passed_on() -> None:
    async def scenario() -> None:
        value = b"x" * 400_000
        async with World(reply_with(b"*3\r\n$400000\r\n%s\r\n$-1\r\n$-1\r\n" % value)) as world:
            client = await (await world.start()).client()
            assert await client.ask(*submit()) == value

    run(scenario)
