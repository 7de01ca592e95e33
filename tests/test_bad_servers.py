"""Servers and a counter whose answers are spoilt: no wrong value goes on, and no connection is used again."""

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
from hookport import counter, resp, servers


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
def test_only_what_is_just_as_agreed_says_that_nothing_ran(text: bytes, outcome: Outcome | None) -> None:
    if outcome is None:
        with pytest.raises(resp.StreamError):
            servers.read(resp.SimpleElement(b"-", text))
    else:
        assert servers.read(resp.SimpleElement(b"-", text)) == (outcome, b"")


def test_a_report_that_cannot_be_read_harms_no_value() -> None:
    async def scenario() -> None:
        async with World(reply_with(b"*3\r\n$5\r\nvalue\r\n$3\r\n\xff\xfe\xfd\r\n:9\r\n")) as world:
            client = await (await world.start()).client()
            assert await client.ask(*submit()) == b"value"

    run(scenario)


async def noisy(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """A good answer, and a second copy of it a little later."""
    writer.write(VALUE.replace(b"value", words[2][-5:]))
    await asyncio.sleep(0.001)
    writer.write(VALUE.replace(b"value", words[2][-5:]))


def test_what_comes_behind_an_answer_is_not_taken_for_the_next_one() -> None:
    async def scenario() -> None:
        async with World(noisy) as world:
            client = await (await world.start()).client()
            for n in range(10, 40):
                assert await client.ask(*submit(n)) == b"%05x" % n

    run(scenario)


def test_a_connection_with_something_unread_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(servers, "REST_S", -1.0)
        async with World(serve) as world:
            client = await (await world.start()).client()
            assert await client.ask(*submit()) == b"value"
            assert world.node
            pool = world.node.servers
            await until(lambda: pool.idle.get(b"s-0"))
            # written past the loop, so that the limiter has had no turn to read it
            os.write(world.stubs[0].writers[0].get_extra_info("socket").fileno(), VALUE)
            assert pool.warm(b"s-0") is None
            await until(lambda: not pool.links)

    run(scenario)


@pytest.mark.parametrize("text", [b"*3\r\n$9\r\nval", b"*3\r\n$5\r\nvalue\r\n", b"-ERR", b"*3"])
def test_half_an_answer_is_waited_for_no_longer_than_it_takes(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, text: bytes
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(servers, "STALL_S", 0.02)
        async with World(reply_with(text)) as world:
            client = await (await world.start()).client()
            assert str(await client.ask(*submit())) == "ERR failed"
            assert "half an answer" in caplog.text

    run(scenario)


def test_what_is_kept_by_server_goes_with_it() -> None:
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
                await until(lambda n=n: list(pool.places)[-1:] == [b"s-%d" % n])  # type: ignore[misc]
                assert await client.ask(*submit(n)) == b"value"
            world.discovery.push(list_update(40, instance("s-39", port, "DRAINING")))
            await until(lambda: pool.draining)
            world.discovery.push(
                list_update(41, instance("s-39", port, "DELETED"), instance("s-0", port, "DELETED"))
            )
            await until(lambda: not pool.places and not pool.links)
            assert not pool.draining and not pool.idle and not node.limiter.servers
            assert not node.attempts and not node.limiter.in_flight

    run(scenario)


def test_a_connection_that_ends_its_work_after_its_server_left_is_not_kept() -> None:
    async def late(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
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
            await until(lambda: not node.servers.places)
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            await until(lambda: not node.servers.links)
            assert not node.servers.idle

    run(scenario)


@pytest.mark.parametrize("text", [b"$9\r\n12", b"+what", b"-WHAT\r\n", b"$3\r\nabc\r\n", b"$900\r\n"])
def test_a_spoilt_total_may_have_been_added_and_its_connection_goes(text: bytes) -> None:
    async def scenario() -> None:
        async with World(serve, count=reply_with(text)) as world:
            node = (await world.start()).node
            assert node and node.counter
            ends: list[Outcome] = []
            node.counter.ended = lambda call, outcome, total: ends.append(outcome)
            node.counter.call(5, 1.0, 1000)
            await until(lambda: ends)
            world.counter.handler = reply_with(b"$1\r\n7\r\n")
            await until(lambda: world.counter.closed)
            node.counter.call(5, 1.0, 1000)
            await until(lambda: len(ends) == 2)
            assert ends == [Outcome.TIMEOUT, Outcome.OK]

    run(scenario)


def test_a_silent_counter_connection_is_left_soon_and_a_silent_counter_not_pestered() -> None:
    async def scenario() -> None:
        stub = await Stub(never_reply).start()
        ends: list[Outcome] = []
        calls = counter.Counter(
            asyncio.get_running_loop(), ("127.0.0.1", stub.port), 0.01, 5.0,
            lambda call, how, total: ends.append(how),
        )  # fmt: skip
        first_s = calls.stuck_s

        async def call() -> None:
            while stub.closed < 2:
                calls.call(1, 1.0, 10**9)
                await asyncio.sleep(0.01)

        await within_timeout(call())
        assert calls.stuck_s >= 4 * first_s  # each silent one in a row is waited for longer
        calls.close()
        stub.kill()

    run(scenario)


def test_a_value_larger_than_any_that_clients_send_goes_on() -> None:
    async def scenario() -> None:
        value = b"x" * 400_000
        async with World(reply_with(b"*3\r\n$400000\r\n%s\r\n$-1\r\n$-1\r\n" % value)) as world:
            client = await (await world.start()).client()
            assert await client.ask(*submit()) == value

    run(scenario)
