"""Clients that send invalid input, stay silent or do not read: each costs little and is closed soon."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import hiredis
import pytest
import uvloop
from world import (
    Client,
    World,
    hold_submits,
    query,
    replies_until_close,
    reply_when_released,
    serve,
    submit,
    until,
)  # fmt: skip

from hookport import client_connection, clients, resp
from hookport.arrival_times import ArrivalTimes
from hookport.resp_reader import Reader, SimpleElement, StreamError


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "head", [b"*1000000000\r\n", b"*4\r\n*400000000\r\n", b"*9\r\n", b"*4\r\n$65537\r\n"]
)
def test_announced_length_allocates_nothing_before_its_bytes_arrive(head: bytes) -> None:
    """Allocating and freeing an array as long as its header says would take a second of CPU."""
    reader = Reader(8)
    reader.feed(head)
    with pytest.raises(StreamError):
        reader.gets()


@pytest.mark.parametrize(
    "text", [b"kkkk", b"*-3\r\n", b"*x\r\n", b"$3\r\nabcd\r\n", b"+" + b"k" * 600, b"*1\n"]
)
def test_invalid_input_is_detected_as_soon_as_it_arrives(text: bytes) -> None:
    reader = Reader(8)
    reader.feed(text)
    with pytest.raises(StreamError):
        reader.gets()


def test_messages_are_parsed_however_the_stream_is_split() -> None:
    text = b"*3\r\n$5\r\na\r\nbc\r\n$-1\r\n:7\r\n+OK\r\n$0\r\n\r\n-ERR no\r\n*-1\r\n"
    for size in range(1, len(text) + 1):
        reader, got = Reader(3), []
        for at in range(0, len(text), size):
            reader.feed(text[at : at + size])
            while (reply := reader.gets()) is not False:
                got.append(reply)
        assert got == [
            [b"a\r\nbc", None, SimpleElement(b":", b"7")], SimpleElement(b"+", b"OK"), b"",
            SimpleElement(b"-", b"ERR no"), None,
        ]  # fmt: skip
        assert not reader.has_unparsed_data() and not reader.buffer  # an idle connection holds no memory


def test_silent_client_or_partial_command_gets_an_error_and_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "TIMEOUT_CHECK_INTERVAL_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            for queue in (node.clients.no_command, node.clients.partial_command, node.clients.no_request):
                queue.timeout_s = 0.05
            silent, half, later, greeted = [await world.client() for _ in range(4)]
            half.writer.write(b"*4\r\n$9\r\nSVC.QUE")
            assert await greeted.ask(b"PING") == b"PONG"
            assert await later.ask(*query(1)) == b"value"
            later.writer.write(b"*4\r\n")
            for client in (silent, half, later):
                assert await replies_until_close(client) == ["ERR no command in time"]
            assert await replies_until_close(greeted) == []
            await until(lambda: not node.clients.connections)

    run(scenario)


def test_invalid_command_closes_a_connection_without_a_valid_request() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            bad, good = await world.client(), await world.client()
            for _ in range(300):
                bad.send(*query(wait_ms=0))
            assert len(await replies_until_close(bad)) == 1
            assert await good.ask(*query(1)) == b"value"
            assert str(await good.ask(*query(2, wait_ms=0))).startswith("ERR d ")
            assert await good.ask(*query(3)) == b"value"

    run(scenario)


def test_valid_requests_behind_an_invalid_one_are_answered_before_the_connection_closes() -> None:
    """They were read, so a client that gets no answer to them cannot know whether they were executed."""

    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            invalid, noise = hiredis.pack_command(query(0, wait_ms=0)), b"noise\r\n"
            valid = [hiredis.pack_command(submit(n)) for n in range(1, 6)]
            client.writer.write(b"".join([invalid, *valid, invalid]))
            replies = await replies_until_close(client)
            assert replies[0].startswith("ERR d ") and replies[1:6] == ["b'value'"] * 5
            assert len(replies) == 7 and replies[6].startswith("ERR d ")
            client = await world.client()
            client.writer.write(invalid + hiredis.pack_command(submit(9)) + noise)
            assert len(await replies_until_close(client)) == 3

    run(scenario)


def test_pending_requests_fail_at_once_when_their_connection_is_closed_with_an_error() -> None:
    async def scenario() -> None:
        async with World(reply_when_released, reply_when_released) as world:
            client, node = await (await world.start()).client(), world.node
            client.send(*submit(1))
            client.send(b"PING")
            assert node
            await until(lambda: node.attempts)
            client.writer.write(b"noise\r\n")
            replies = await replies_until_close(client)
            assert (
                replies[0].startswith("ERR failed")
                and replies[1] == "b'PONG'"
                and replies[2].startswith("ERR ")
            )
            assert not node.open_requests and not node.limiter.pending

    run(scenario)


def test_request_id_in_use_or_used_recently_is_rejected() -> None:
    """With two requests under one id, a server could not tell a new request from a retry."""

    async def scenario() -> None:
        async with World(reply_when_released) as world:
            client, other = await (await world.start()).client(), await world.client()
            client.send(*query(1))
            await until(lambda: world.stubs[0].commands)
            assert await closed_with(other, "ERR the id is in use")
            world.stubs[0].release.set()
            assert await client.answer() == b"value"
            assert await closed_with(await world.client(), "ERR the id is in use")
            assert await client.ask(*query(2)) == b"value"
            assert len(world.stubs[0].commands) == 2

    async def closed_with(client: Client, text: str) -> bool:
        client.send(*query(1, customer=8))
        return await replies_until_close(client) == [text]

    run(scenario)


def test_request_ids_are_forgotten_after_the_longest_deadline() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.max_deadline_ns = 0  # each request starts a new set
            client = await world.client()
            for n in range(50):
                assert await client.ask(*query(n)) == b"value"
            assert sum(map(len, node.client_ids)) <= 2

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
def test_values_beyond_the_settings_never_reach_the_policy(fields: bytes) -> None:
    """They would put the customer's next ticket out of reach or give its share the wrong size."""

    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            client.send(*query()[:3], fields)
            assert len(await replies_until_close(client)) == 1
            assert world.node and not world.node.limiter.accounts
            assert await (await world.client()).ask(*query(2)) == b"value"

    run(scenario)


def test_connections_without_a_request_are_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "EVICTION_GRACE_S", 0.0)
        monkeypatch.setattr(clients, "MAX_IDLE_SHARE", 1.0)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.clients.max_connections = 3
            active, greeted, silent = [await world.client() for _ in range(3)]
            assert await active.ask(*query(1)) == b"value"
            assert await greeted.ask(b"PING") == b"PONG"
            await until(lambda: len(node.clients.connections) == 3)
            newest = await world.client()
            assert await replies_until_close(silent) == []
            assert await newest.ask(*query(2)) == b"value"
            last = await world.client()
            assert await replies_until_close(greeted) == []
            assert await last.ask(*query(3)) == b"value"
            assert await active.ask(*query(4)) == b"value"

    run(scenario)


def test_client_that_does_not_read_its_replies_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "TIMEOUT_CHECK_INTERVAL_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            node.clients.unread_replies.timeout_s = 0.05
            node.clients.on_request = lambda arguments, answer: answer.complete(resp.bulk(b"x" * 60000))
            client = await world.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for n in range(1000):
                client.send(*query(n))
            await until(lambda: node.clients.connections)
            await until(lambda: not node.clients.connections)

    run(scenario)


def test_pipelined_commands_beyond_the_limit_are_all_answered_in_order() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            most_pending = 0
            node = world.node
            assert node
            on_request = node.clients.on_request

            def count(arguments: object, answer: client_connection.PendingReply) -> None:
                nonlocal most_pending
                most_pending = max(most_pending, len(answer.connection.pending_replies))
                on_request(arguments, answer)  # type: ignore[arg-type]

            node.clients.on_request = count
            for n in range(300):
                client.send(*query(n, customer=n))
            replies = [await client.answer() for _ in range(300)]
            assert {str(reply) for reply in replies} <= {"b'value'", "BUSY 1000"} and replies[0] == b"value"
            assert 1 < most_pending <= client_connection.MAX_PIPELINED

    run(scenario)


def test_connection_that_is_idle_for_too_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(clients, "TIMEOUT_CHECK_INTERVAL_S", 0.01)
        async with World(serve) as world:
            node = (await world.start()).node
            assert node
            client = await world.client()
            assert await client.ask(*query(1)) == b"value"
            await asyncio.sleep(0)
            node.clients.idle.timeout_s = 0.0
            assert await replies_until_close(client) == []

    run(scenario)


def test_idle_connections_are_evicted_for_clients_with_requests() -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            assert world.node
            world.node.clients.max_connections = 20
            idle = [await world.client() for _ in range(7)]
            for n, client in enumerate(idle):
                assert await client.ask(*query(n)) == b"value"
            await asyncio.sleep(clients.EVICTION_GRACE_S + 0.02)
            new = [await world.client() for _ in range(3)]
            for n, client in enumerate(new):  # each, once served, evicts the connection that is idle longest
                assert await client.ask(*query(10 + n)) == b"value"
            for client in idle[:3]:
                with pytest.raises(EOFError):
                    await client.answer()
            assert await idle[-1].ask(*query(20)) == b"value"
            assert world.node.clients.close_counts["evicted while idle"] == 3

    run(scenario)


def test_flood_on_one_connection_delays_the_others_by_a_few_commands_only() -> None:
    """With all that a read has brought handled at once, a limiter answers nobody for seconds."""
    flood_size = 1000

    async def scenario() -> None:
        async with World(serve) as world:
            client, flooding = await (await world.start()).client(), await world.client()
            assert await client.ask(b"PING") == b"PONG"
            node = world.node
            assert node
            handled: list[object] = []
            flood_arrived = asyncio.Event()

            def refuse(arguments: Sequence[object], reply: client_connection.PendingReply) -> None:
                handled.append(arguments)
                flood_arrived.set()
                reply.complete(resp.busy(0))

            node.clients.on_request = refuse
            flooding.writer.write(
                b"".join(hiredis.pack_command(query(n, customer=n)) for n in range(flood_size))
            )
            await flood_arrived.wait()
            assert await client.ask(b"PING") == b"PONG"
            assert len(handled) < flood_size / 2
            assert len([await flooding.answer() for _ in range(flood_size)]) == len(handled)

    run(scenario)


def test_client_that_closes_is_noticed_while_its_commands_wait() -> None:
    """Otherwise attempts begin for a client that has gone, as soon as its first command is answered."""

    async def scenario() -> None:
        async with World(reply_when_released) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            handled: list[object] = []
            on_request = node.clients.on_request

            def count(arguments: Sequence[object], reply: client_connection.PendingReply) -> None:
                handled.append(arguments)
                on_request(arguments, reply)

            node.clients.on_request = count
            for n in range(client_connection.MAX_PIPELINED + 20):
                client.send(*query(n, customer=n))
            await until(lambda: len(handled) == client_connection.MAX_PIPELINED)
            client.writer.close()
            await until(lambda: not node.clients.connections)
            assert len(handled) == client_connection.MAX_PIPELINED
            assert not node.open_requests and not node.limiter.pending
            assert not node.clients.scheduler.ready

    run(scenario)


def test_arrival_of_a_command_is_that_of_its_last_byte() -> None:
    times = ArrivalTimes()
    for size_bytes, now_s in ((10, 1.0), (10, 2.0), (10, 3.0)):
        times.add(size_bytes, now_s)
    assert [times.last_byte_s(unparsed) for unparsed in (25, 20, 19, 10, 9, 0)] == [1, 1, 2, 2, 3, 3]
    times.forget()
    for _ in range(5):
        times.add(1, 4.0)
    assert len(times.chunks) == 1  # one record for each tick of the clock, not for each chunk
    assert times.last_byte_s(0) == 4.0
    times.add(1, 4.004)
    times.add(1, 4.006)
    assert [chunk[1] for chunk in times.chunks] == [4.0, 4.006]  # pieces that follow at once share a record


def test_commands_that_an_answer_lets_through_are_decided_before_their_connection_closes() -> None:
    """Handled in the event of that answer, they are sent after the close and count as in flight forever."""

    async def scenario() -> None:
        async with World(hold_submits, perSecond=0.01, storeSize=4.0) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            commands = [submit(0, wait_ms=100)]
            commands += [
                query(n, customer=9) for n in range(1, client_connection.MAX_PIPELINED)
            ]  # mostly beyond the quota
            commands += [
                query(n, customer=n)
                for n in range(client_connection.MAX_PIPELINED, client_connection.MAX_PIPELINED + 30)
            ]
            client.writer.write(b"".join(map(hiredis.pack_command, commands)) + b"noise\r\n")
            assert len(await replies_until_close(client)) == len(commands) + 1
            assert not node.open_requests and not node.limiter.pending
            await until(lambda: not node.attempts)
            assert not node.limiter.in_flight and node.limiter.concurrency.current == 0

    run(scenario)
