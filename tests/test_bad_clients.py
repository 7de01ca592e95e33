"""Clients that send what cannot be used, say nothing or do not read: each costs little and ends soon."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from world import Client, World, query, reply_when_released, serve, submit, until

from hookport import clients, resp


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


async def ended(client: Client) -> list[str]:
    """All that the limiter says until it closes."""
    said = []
    with pytest.raises(EOFError):
        while True:
            said.append(str(await client.answer()))
    return said


@pytest.mark.parametrize(
    "head", [b"*1000000000\r\n", b"*4\r\n*400000000\r\n", b"*9\r\n", b"*4\r\n$65537\r\n"]
)
def test_what_a_length_announces_costs_nothing_before_its_bytes_come(head: bytes) -> None:
    # Guards against an array made as long as its header says: letting go of it takes a second of CPU.
    reader = resp.Reader(8)
    reader.feed(head)
    with pytest.raises(resp.StreamError):
        reader.gets()


@pytest.mark.parametrize(
    "text", [b"kkkk", b"*-3\r\n", b"*x\r\n", b"$3\r\nabcd\r\n", b"+" + b"k" * 600, b"*1\n"]
)
def test_what_is_no_message_is_found_as_soon_as_it_is_there(text: bytes) -> None:
    reader = resp.Reader(8)
    reader.feed(text)
    with pytest.raises(resp.StreamError):
        reader.gets()


def test_messages_come_whole_however_they_are_cut() -> None:
    text = b"*3\r\n$5\r\na\r\nbc\r\n$-1\r\n:7\r\n+OK\r\n$0\r\n\r\n-ERR no\r\n*-1\r\n"
    for size in range(1, len(text) + 1):
        reader, got = resp.Reader(3), []
        for at in range(0, len(text), size):
            reader.feed(text[at : at + size])
            while (reply := reader.gets()) is not False:
                got.append(reply)
        assert got == [
            [b"a\r\nbc", None, resp.SimpleElement(b":", b"7")], resp.SimpleElement(b"+", b"OK"), b"",
            resp.SimpleElement(b"-", b"ERR no"), None,
        ]  # fmt: skip
        assert not reader.has_unparsed_data() and not reader.buffer  # an idle connection keeps nothing


def test_who_says_nothing_or_half_a_command_is_told_and_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "LOOK_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            for row in (node.clients.silent, node.clients.unsaid, node.clients.greeted):
                row.wait_s = 0.05
            silent, half, later, greeted = [await world.client() for _ in range(4)]
            half.writer.write(b"*4\r\n$9\r\nSVC.QUE")
            assert await greeted.ask(b"PING") == b"PONG"
            assert await later.ask(*query(1)) == b"value"
            later.writer.write(b"*4\r\n")
            for client in (silent, half, later):
                assert await ended(client) == ["ERR no command in time"]
            assert await ended(greeted) == []
            await until(lambda: not node.clients.connections)

    run(scenario)


def test_a_bad_command_closes_a_connection_that_never_brought_a_good_one() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            bad, good = await world.client(), await world.client()
            for _ in range(300):
                bad.send(*query(wait_ms=0))
            assert len(await ended(bad)) == 1
            assert await good.ask(*query(1)) == b"value"
            assert str(await good.ask(*query(2, wait_ms=0))).startswith("ERR d ")
            assert await good.ask(*query(3)) == b"value"

    run(scenario)


def test_what_is_open_on_a_connection_that_is_broken_off_fails_at_once() -> None:
    async def scenario() -> None:
        async with World(reply_when_released, reply_when_released) as world:
            client, node = await (await world.start()).client(), world.node
            client.send(*submit(1))
            client.send(b"PING")
            assert node
            await until(lambda: node.attempts)
            client.writer.write(b"noise\r\n")
            said = await ended(client)
            assert said[0].startswith("ERR failed") and said[1] == "b'PONG'" and said[2].startswith("ERR ")
            assert not node.open_requests and not node.limiter.pending

    run(scenario)


def test_an_id_that_is_open_or_was_is_not_taken_again() -> None:
    # Guards against two attempts under one id, which a server cannot tell from one effect twice.
    async def scenario() -> None:
        async with World(reply_when_released) as world:
            client, thief = await (await world.start()).client(), await world.client()
            client.send(*query(1))
            await until(lambda: world.stubs[0].commands)
            assert await ended_with(thief, "ERR the id is in use")
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            assert await ended_with(await world.client(), "ERR the id is in use")
            assert await client.ask(*query(2)) == b"value"
            assert len(world.stubs[0].commands) == 2

    async def ended_with(client: Client, text: str) -> bool:
        client.send(*query(1, customer=8))
        return await ended(client) == [text]

    run(scenario)


def test_ids_are_forgotten_after_the_longest_deadline() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.longest_ns = 0  # each id begins a set anew
            client = await world.client()
            for n in range(50):
                assert await client.ask(*query(n)) == b"value"
            assert sum(map(len, node.ids)) <= 2

    run(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        b"c=lookup,t=team,d=3000,units=1e300,spread=1,first=0",
        b"c=lookup,t=team,d=3000,units=1_0,spread=1,first=0",
        b"c=lookup,t=team,d=3000,units=5,spread=1,first=0",
        b"c=lookup,t=team,d=3000,units=1,spread=2,first=0",
        b"c=lookup,t=team,d=3000,units=1,spread=1,first=1",
        b"c=lookup,t=team,d=6001,units=1,spread=1,first=0",
    ],
)
def test_values_beyond_the_settings_never_reach_the_module(fields: bytes) -> None:
    # In a usual customer's name they would put its next ticket out of reach, or size its slice wrongly.
    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            client.send(*query()[:3], fields)
            assert len(await ended(client)) == 1
            assert world.node and not world.node.limiter.accounts
            assert await (await world.client()).ask(*query(2)) == b"value"

    run(scenario)


def test_who_never_asked_makes_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "SETTLED_S", 0.0)
        monkeypatch.setattr(clients, "IDLE_PART", 1.0)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.clients.most = 3
            used, greeted, silent = [await world.client() for _ in range(3)]
            assert await used.ask(*query(1)) == b"value"
            assert await greeted.ask(b"PING") == b"PONG"
            await until(lambda: len(node.clients.connections) == 3)
            newest = await world.client()
            assert await ended(silent) == []
            assert await newest.ask(*query(2)) == b"value"
            last = await world.client()
            assert await ended(greeted) == []
            assert await last.ask(*query(3)) == b"value"
            assert await used.ask(*query(4)) == b"value"

    run(scenario)


def test_who_does_not_read_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "LOOK_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.clients.unread.wait_s = 0.05
            node.clients.take = lambda words, answer: answer.complete(resp.bulk(b"x" * 60000))
            client = await world.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for n in range(1000):
                client.send(*query(n))
            await until(lambda: node.clients.connections)
            await until(lambda: not node.clients.connections)

    run(scenario)


def test_more_commands_than_may_be_unanswered_are_all_answered_in_turn() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            most = 0
            node = world.node
            assert node
            take = node.clients.take

            def count(words: object, answer: clients.PendingReply) -> None:
                nonlocal most
                most = max(most, len(answer.connection.pending_replies))
                take(words, answer)  # type: ignore[arg-type]

            node.clients.take = count
            for n in range(300):
                client.send(*query(n, customer=n))
            said = [await client.answer() for _ in range(300)]
            assert {str(reply) for reply in said} <= {"b'value'", "BUSY 1000"} and said[0] == b"value"
            assert 1 < most <= clients.MOST_PIPELINED

    run(scenario)


def test_a_connection_that_stays_idle_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "LOOK_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            client = await world.client()
            assert await client.ask(*query(1)) == b"value"
            await asyncio.sleep(0)
            node.clients.idle.wait_s = 0.0
            assert await ended(client) == []

    run(scenario)


def test_connections_kept_after_one_request_give_their_places_to_those_who_ask() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            assert world.node
            world.node.clients.most = 20
            kept = [await world.client() for _ in range(7)]
            for n, client in enumerate(kept):
                assert await client.ask(*query(n)) == b"value"
            await asyncio.sleep(clients.SETTLED_S + 0.02)
            new = [await world.client() for _ in range(3)]
            for n, client in enumerate(new):  # each, once served, takes the place of the longest idle
                assert await client.ask(*query(10 + n)) == b"value"
            for client in kept[:3]:
                with pytest.raises(EOFError):
                    await client.answer()
            assert await kept[-1].ask(*query(20)) == b"value"
            assert world.node.clients.closed["idle in another's place"] == 3

    run(scenario)
