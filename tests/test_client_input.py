"""How the bytes of client connections are read, wait and end: turns, memory, clients that leave."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import hiredis
import pytest
import uvloop
from world import (
    Client,
    World,
    hold_connections,
    hold_submits,
    never_reply,
    query,
    replies_until_close,
    serve,
    submit,
    until,
)  # fmt: skip

from hookport import clients, memory_budget, resp_reader
from hookport.client_connection import MAX_PIPELINED, PendingReply
from hookport.input_scheduler import COMMANDS_PER_TURN, TURNS_PER_LOOP_ITERATION, InputScheduler
from hookport.socket_inspector import SystemSocketInspector

# Turns of connections that have just received data, and then those of the queue.
MAX_COMMANDS_PER_ITERATION = 2 * COMMANDS_PER_TURN * TURNS_PER_LOOP_ITERATION


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


class ParseCounter:
    """Counts the messages that the daemon parses in each iteration of the loop; ``most`` is the maximum."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = self.most = 0
        gets = resp_reader.Reader.gets

        def counted(reader: resp_reader.Reader) -> object:
            self.count += 1
            self.most = max(self.most, self.count)
            return gets(reader)

        monkeypatch.setattr(resp_reader.Reader, "gets", counted)
        self.on_iteration()

    def on_iteration(self) -> None:
        self.count = 0
        asyncio.get_running_loop().call_soon(self.on_iteration)


async def send_at_once(clients: list[Client], data: bytes) -> None:
    """Write in one iteration of the loop, so that the daemon finds all connections readable in the next."""
    for client in clients:
        client.writer.write(data)


def test_invalid_commands_that_arrive_together_are_handled_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limiter that hangs while it looks through all that bad clients have sent at once."""

    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            bad, good = [await world.client() for _ in range(30)], await world.client()
            assert await good.ask(b"PING") == b"PONG"
            counter = ParseCounter(monkeypatch)
            await send_at_once(bad, hiredis.pack_command((b"SVC.QUERY",)) * 3000)
            assert await good.ask(*query(1)) == b"value"
            for client in bad:
                assert len(await replies_until_close(client)) <= 1  # a reset may overtake the error
            assert counter.most <= MAX_COMMANDS_PER_ITERATION

    run(scenario)


def test_commands_of_many_connections_that_arrive_together_are_handled_in_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a burst over many connections that is handled before any other socket is read."""

    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            senders = [await world.client() for _ in range(100)]
            counter = ParseCounter(monkeypatch)
            await send_at_once(senders, hiredis.pack_command((b"PING",)) * COMMANDS_PER_TURN)
            for client in senders:
                assert [await client.answer() for _ in range(COMMANDS_PER_TURN)] == [
                    b"PONG"
                ] * COMMANDS_PER_TURN
            assert counter.most <= MAX_COMMANDS_PER_ITERATION

    run(scenario)


def test_errors_of_invalid_commands_come_before_the_answer_of_a_valid_one_behind_them() -> None:
    """Guards against answers out of order, where the errors of a connection's first commands are withheld."""

    async def scenario() -> None:
        async with World(serve) as world:
            client = await (await world.start()).client()
            invalid, valid = hiredis.pack_command(query(0, wait_ms=0)), hiredis.pack_command(query(1))
            client.writer.write(invalid * 50 + valid + invalid * 2)
            replies = await replies_until_close(client)
            assert [reply.startswith("ERR d ") for reply in replies] == [True] * 50 + [False] + [True] * 2
            assert world.node and replies[50] == "b'value'"
            await until(lambda: world.node and not world.node.clients.connections)

    run(scenario)


@pytest.mark.parametrize("max_waiting_bytes", [16 * 1024, memory_budget.MAX_WAITING_BYTES])
def test_commands_that_wait_unread_in_the_socket_are_answered_before_a_drained_connection_closes(
    monkeypatch: pytest.MonkeyPatch, max_waiting_bytes: int
) -> None:
    """Guards against a shutdown that closes a connection over whole requests that were not read yet."""
    monkeypatch.setattr(memory_budget, "MAX_WAITING_BYTES", max_waiting_bytes)

    async def scenario() -> None:
        async with World(never_reply) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            commands = [submit(n) for n in range(MAX_PIPELINED)]
            commands += [submit(MAX_PIPELINED + n, body=b"b" * 60_000) for n in range(30)]
            client.writer.write(b"".join(map(hiredis.pack_command, commands)))
            (connection,) = node.clients.connections
            await until(lambda: connection.reader.unparsed_bytes() > 16 * 1024)
            node.clients.drain()
            node.answer_all()
            assert len(await replies_until_close(client)) == len(commands)
            await until(node.clients.done.is_set)

    run(scenario)


def test_drained_connection_waits_for_the_rest_of_a_command() -> None:
    """Guards against a shutdown that closes a connection while its client is writing a request."""

    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            command = hiredis.pack_command(submit())
            client.writer.write(command[:30])
            await until(lambda: any(c.reader.has_unparsed_data() for c in node.clients.connections))
            node.clients.drain()
            client.writer.write(command[30:])
            assert await replies_until_close(client) == ["b'value'"]
            await until(node.clients.done.is_set)

    run(scenario)


@pytest.mark.parametrize("evicted", [False, True])
def test_idle_connection_is_not_closed_over_a_request_that_was_just_sent(
    monkeypatch: pytest.MonkeyPatch, evicted: bool
) -> None:
    """Guards against a request that is lost because it crosses the end of an idle connection."""
    monkeypatch.setattr(clients, "EVICTION_GRACE_S", 0.0)

    async def scenario() -> None:
        async with World(serve) as world:
            node = (await world.start()).node
            with socket.create_connection(("127.0.0.1", world.port)) as sock:
                client = Client(*await asyncio.open_connection(sock=sock))
                assert node and await client.ask(*query(1)) == b"value"
                await until(lambda: node.clients.idle.entered_s)
                sock.send(hiredis.pack_command(query(2)))
                if evicted:
                    node.clients.max_connections = 1
                    node.clients.evict_idle()
                    node.clients.max_connections = 100
                else:
                    node.clients.idle.timeout_s = 0.0
                    node.clients.check_timeouts()
                    node.clients.idle.timeout_s = 15.0
                assert await client.answer() == b"value"
                client.writer.transport.abort()

    run(scenario)


@pytest.mark.parametrize(
    ("body_bytes", "max_waiting_bytes"), [(500, 8 * 1024), (8192, memory_budget.MAX_WAITING_BYTES)]
)
def test_client_that_closes_is_noticed_behind_unread_commands(
    monkeypatch: pytest.MonkeyPatch, body_bytes: int, max_waiting_bytes: int
) -> None:
    """Guards against requests that are sent on for a client whose close lies behind unread ones.

    Where the system holds all of it, the close is seen though the connection is not read; where it does not,
    the connection has to be read."""
    monkeypatch.setattr(memory_budget, "MAX_WAITING_BYTES", max_waiting_bytes)

    async def scenario() -> None:
        async with World(hold_submits) as world:
            node = (await world.start()).node
            assert node
            handled = 0
            on_request = node.clients.on_request

            def count(arguments: Sequence[object], reply: PendingReply) -> None:
                nonlocal handled
                handled += 1
                on_request(arguments, reply)

            node.clients.on_request = count
            commands = [submit(n, body=b"b" * body_bytes) for n in range(100)]
            with socket.create_connection(("127.0.0.1", world.port)) as sock:
                await asyncio.to_thread(sock.sendall, b"".join(map(hiredis.pack_command, commands)))
                await until(lambda: handled == MAX_PIPELINED)
            await until(lambda: not node.clients.connections)
            world.stubs[0].release.set()
            await until(lambda: not node.attempts)
            assert handled == MAX_PIPELINED and not node.open_requests and not node.limiter.in_flight
            assert not node.clients.hangup_monitor.connections

    run(scenario)


def test_requests_of_a_client_that_sends_more_than_may_wait_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that are sent on for a client whose close the system has no room for."""
    monkeypatch.setattr(memory_budget, "MAX_WAITING_BYTES", 64 * 1024)

    async def scenario() -> None:
        async with World(hold_submits) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            commands = [submit(n, body=b"b" * 60_000) for n in range(200)]
            client.writer.write(b"".join(map(hiredis.pack_command, commands)))
            (connection,) = node.clients.connections
            await until(lambda: connection.reading_behind)
            begun = len(node.attempts)
            world.stubs[0].release.set()
            replies = [str(await client.answer()) for _ in commands]
            served = replies.count("b'value'")
            assert served == len(world.stubs[0].commands) <= begun + 5  # the last ones when it has caught up
            assert {reply.split()[0] for reply in replies} == {"b'value'", "BUSY"}
            assert await client.ask(*submit(1000)) == b"value"  # it has caught up

    run(scenario)


def test_attempt_that_may_not_be_cancelled_does_not_begin_for_a_client_that_has_gone() -> None:
    """Guards against a late connection that carries a request whose client has gone."""

    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            node.limiter.settings = replace(node.settings, may_cancel=False)
            may_open = hold_connections(node.servers)
            client.send(*submit())
            await until(lambda: node.servers.connecting)
            client.writer.close()
            await until(lambda: not node.clients.connections)
            may_open.set()
            assert await (await world.client()).ask(*query(2)) == b"value"
            assert [command[0] for command in world.stubs[0].commands] == [b"SVC.QUERY"]
            assert not node.attempts and not node.limiter.in_flight

    run(scenario)


def test_attempt_at_a_hung_server_ends_at_the_deadline_of_a_client_that_has_gone() -> None:
    """Guards against attempts that stay in flight for good, where none is cancelled."""

    async def scenario() -> None:
        async with World(never_reply) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            node.limiter.settings = replace(node.settings, may_cancel=False)
            client.send(*submit(wait_ms=300))
            await until(lambda: world.stubs[0].commands)
            client.writer.close()
            await until(lambda: not node.open_requests)
            assert node.limiter.in_flight
            await until(lambda: not node.attempts)
            assert not node.limiter.in_flight and node.limiter.concurrency.current == 0

    run(scenario)


@pytest.mark.parametrize(("waiting", "commands"), [(2, COMMANDS_PER_TURN), (16, 2), (100, 1)])
def test_turns_are_shorter_the_more_connections_wait(waiting: int, commands: int) -> None:
    """Guards against a command that waits for four commands of each of hundreds of connections."""
    turns: list[int] = []

    class Source:
        def handle_commands(self, max_commands: int) -> None:
            turns.append(max_commands)

    async def scenario() -> None:
        scheduler = InputScheduler(asyncio.get_running_loop())
        for _ in range(waiting):
            scheduler.add(Source())
        scheduler.run()
        scheduler.close()
        assert set(turns) == {commands} and sum(turns) <= COMMANDS_PER_TURN * TURNS_PER_LOOP_ITERATION

    run(scenario)


@pytest.mark.parametrize(
    ("events", "closed"), [(select.POLLIN, False), (select.POLLHUP, True), (select.POLLRDHUP, True)]
)
def test_close_is_told_by_the_events_of_a_close_alone(events: int, closed: bool) -> None:
    """Guards against a client that is dropped as gone, where a poll reports more than was asked for."""

    class Poller:
        register = unregister = lambda *_: None

        def poll(self, timeout: int) -> list[tuple[int, int]]:
            return [(0, events)]

    class Transport:
        def get_extra_info(self, name: str) -> socket.socket:
            return sock

    inspector = SystemSocketInspector()
    inspector.poller = Poller()  # type: ignore[assignment]
    with socket.socket() as sock:
        assert inspector.is_closed_by_peer(Transport()) is closed  # type: ignore[arg-type]
