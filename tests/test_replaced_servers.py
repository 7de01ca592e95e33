"""A new process at the address of one that has gone is another server, whatever its id."""

from collections.abc import Awaitable, Callable

import uvloop
from helpers import MS, SECOND, Bench, entry
from world import World, hold_connections, instance, list_update, never_reply, query, serve, submit, until

from aniseshed import interface as api
from hookport import discovery
from hookport.node import Node

STARTED_MS = 1_700_000_000_000


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


def apply_changes(node: Node, *rows: dict[str, object]) -> None:
    document = {"generation": 2, "reset": False, "instances": list(rows)}
    node.apply_server_list(*discovery.parse_list(document, node.config.names, discovery.ListKind.FULL)[1:])


def test_server_that_comes_up_at_the_address_of_another_replaces_it() -> None:
    """Guards against work for a server that has gone, which reaches a cold one beyond its slow start."""

    async def scenario() -> None:
        async with World(serve, serve) as world:
            client = await (await world.start()).client()
            assert world.node and await client.ask(*query(1)) == b"value"
            world.discovery.push(
                list_update(2, instance("s-new", world.stubs[0].port, started_ms=STARTED_MS))
            )
            await until(lambda: world.node and b"s-new" in world.node.limiter.servers)
            assert set(world.node.limiter.servers) == {b"s-new", b"s-1"}
            assert set(world.node.servers.endpoints) == {b"s-new", b"s-1"}
            assert not world.node.servers.idle.get(b"s-0")

    run(scenario)


def test_server_whose_address_a_later_one_has_is_not_used() -> None:
    """Guards against a late list that brings back a server whose address is another's by now."""

    async def scenario() -> None:
        async with World(serve, serve) as world:
            await world.start()
            node, port = world.node, world.stubs[0].port
            assert node
            apply_changes(node, instance("s-new", port, started_ms=STARTED_MS))
            apply_changes(node, instance("s-0", port, started_ms=STARTED_MS - 1000))
            assert set(node.limiter.servers) == set(node.servers.endpoints) == {b"s-new", b"s-1"}

    run(scenario)


def test_servers_that_swap_their_addresses_are_both_used() -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            await world.start()
            node, (first, second) = world.node, world.stubs
            assert node
            apply_changes(node, instance("s-0", second.port), instance("s-1", first.port))
            assert set(node.limiter.servers) == set(node.servers.endpoints) == {b"s-0", b"s-1"}
            assert node.servers.endpoints[b"s-0"][0][1] == second.port

    run(scenario)


def test_attempt_for_a_server_that_restarts_meanwhile_is_decided_anew() -> None:
    """Guards against a request that was meant for a warm server and is written to its cold successor."""

    async def scenario() -> None:
        async with World(serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            may_open = hold_connections(node.servers)
            client.send(*submit())
            await until(lambda: node.servers.connecting)
            apply_changes(node, instance("s-0", world.stubs[0].port, started_ms=STARTED_MS))
            (attempt,) = node.servers.connecting
            assert attempt.number == 1
            may_open.set()
            assert await client.answer() == b"value"
            assert len(world.stubs[0].commands) == 1 and not node.limiter.in_flight

    run(scenario)


def test_attempt_for_a_server_that_moves_goes_to_its_new_address() -> None:
    """Guards against a request that is written to whoever has the old address by now."""

    async def scenario() -> None:
        async with World(serve, serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            apply_changes(node, instance("s-1", world.stubs[1].port, "DELETED"))
            may_open = hold_connections(node.servers)
            client.send(*submit())
            await until(lambda: node.servers.connecting)
            apply_changes(node, instance("s-0", world.stubs[1].port, started_ms=STARTED_MS))
            may_open.set()
            assert await client.answer() == b"value"
            assert not world.stubs[0].commands and len(world.stubs[1].commands) == 1

    run(scenario)


def test_time_out_of_an_attempt_at_an_old_process_keeps_the_connections_to_the_new_one() -> None:
    async def scenario() -> None:
        async with World(never_reply, serve) as world:
            client, node = await (await world.start()).client(), world.node
            assert node
            apply_changes(node, instance("s-1", world.stubs[1].port, "DELETED"))
            client.send(*submit(1, wait_ms=500))
            await until(lambda: world.stubs[0].commands)
            apply_changes(node, instance("s-0", world.stubs[1].port, started_ms=STARTED_MS))
            assert await (await world.client()).ask(*query(2)) == b"value"
            await until(lambda: node.servers.idle.get(b"s-0"))
            (connection,) = node.servers.idle[b"s-0"]
            assert str(await client.answer()).startswith("ERR")
            assert node.servers.idle[b"s-0"] == [connection]

    run(scenario)


def test_server_that_restarts_has_no_failures_attempts_or_latency_of_the_process_before() -> None:
    """Guards against a new process that is avoided, or kept busy, for what the one before it did."""
    bench = Bench(servers=1)
    server_id = entry(1).server
    held = bench.request(class_index=1)
    for _ in range(2):
        bench.end_attempt(bench.request(), api.Outcome.RESET)
    before = bench.limiter.servers[server_id]
    before.slowness = 3.0
    assert before.ejected_until_ns > bench.now_ns and len(before.in_flight) == 1
    started_ns = bench.now_ns - 20 * SECOND
    bench.handle(api.ServerList(api.ListKind.DELTA, (entry(1, started_ns=started_ns),)))
    after = bench.limiter.servers[server_id]
    assert after.ejected_until_ns == 0 and not after.on_probation and after.slowness == 1.0
    assert not after.in_flight and after.started_ns == started_ns and not after.answers
    bench.end_attempt(held, api.Outcome.RESET)
    for request in [bench.request() for _ in range(3)]:
        assert bench.was_sent(request)
    assert after.consecutive_failures == 0 and len(after.in_flight) == 3


def test_failures_of_processes_that_have_gone_do_not_end_the_ejection_of_others() -> None:
    """Guards against servers that count as ejected though they are no longer listed."""
    bench = Bench(servers=4)
    requests = [bench.request(customer=n) for n in range(6)]
    gone = [entry(n, health=api.Health.GONE) for n in range(1, 4)]
    bench.handle(api.ServerList(api.ListKind.DELTA, tuple(gone)))
    for request in requests:
        bench.end_attempt(request, api.Outcome.RESET, elapsed_ns=20 * MS)
    assert bench.limiter.ejected <= set(bench.limiter.servers.values())


def test_list_that_repeats_a_start_keeps_what_is_known_of_the_server() -> None:
    bench = Bench(servers=1)
    started = api.ServerList(api.ListKind.DELTA, (entry(1, started_ns=bench.now_ns - SECOND),))
    bench.handle(started)
    server = bench.limiter.servers[entry(1).server]
    bench.handle(started)
    assert bench.limiter.servers[entry(1).server] is server
