"""Limit commands: Redis clients, idempotency, authorization, and the same quota decisions as forwarding."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import coredis
import hiredis
import pytest
import redis
import redis.asyncio
from helpers import MS, SECOND, SETTINGS, Bench
from hypothesis import given, settings
from hypothesis import strategies as st
from world import Handler, Stub, World, query, serve, until, within_timeout

from aniseshed import interface as api
from hookport.limits import Ledger, Users
from hookport.options import Limits, LimitUser, Options, OptionsError

FIELDS = b"c=lookup,t=team,units=%d,spread=1,first=0"
CUSTOMER = b"%016x" % 7


def take(
    id: bytes, units: int = 1, verb: bytes = b"LIMIT.TAKE", customer: bytes = CUSTOMER
) -> tuple[bytes, ...]:
    return verb, customer, id, FIELDS % units


def counter_with_totals() -> Handler:
    """A counter stub that returns real totals."""
    totals: dict[bytes, float] = {}

    async def count(stub: Stub, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        totals[args[1]] = totals.get(args[1], 0.0) + float(args[2])
        text = b"%.7g" % totals[args[1]]
        writer.write(b"$%d\r\n%s\r\n" % (len(text), text))

    return count


def run_scenario(
    scenario: Callable[[World], Awaitable[None]], limits: Limits | None = None, **more: Any
) -> None:
    """Run a scenario against a limiter with limit commands enabled."""

    async def run() -> None:
        async with World(serve, **{"count": counter_with_totals(), **more}) as world:
            world.options = Options(limits=limits or Limits())
            await world.start()
            await scenario(world)

    asyncio.run(run())


# Redis clients


@pytest.mark.parametrize("protocol", [None, 2, 3])
def test_redis_py_connects_with_its_defaults_pools_and_pipelines(protocol: int | None) -> None:
    more = {} if protocol is None else {"protocol": protocol}

    async def scenario(world: World) -> None:
        def ask() -> None:
            with redis.Redis(port=world.port, client_name="desk", **more) as client:  # type: ignore[arg-type]
                assert client.ping() and client.echo("x") == b"x"
                assert client.client_getname() in (b"desk", "desk") and client.client_id() > 0
                assert client.execute_command("LIMIT.TAKE", *take(b"a%d" % (protocol or 0))[1:])[0] == 1
                with client.pipeline(transaction=False) as pipe:
                    for n in range(200):
                        pipe.execute_command("LIMIT.TAKE", *take(b"p%d" % n)[1:])
                    assert [row[0] for row in pipe.execute()] == [1] * 200
                client.connection_pool.disconnect()
                assert client.ping(), "the client must reconnect"

        await asyncio.to_thread(ask)
        async with redis.asyncio.Redis(port=world.port, **more) as client:  # type: ignore[arg-type]
            rows = await asyncio.gather(*(client.execute_command(*take(b"g%d" % n)) for n in range(40)))
            assert [row[0] for row in rows] == [1] * 40

    run_scenario(scenario)


def test_coredis_connects_with_its_defaults() -> None:
    async def scenario(world: World) -> None:
        client = coredis.Redis(host="127.0.0.1", port=world.port)
        async with client:
            assert await client.ping()
            assert await client.echo("x") in (b"x", "x")

    run_scenario(scenario)


def test_connection_commands_get_the_documented_replies_and_errors() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        hello = await client.ask(b"HELLO", b"2")
        assert dict(zip(hello[::2], hello[1::2], strict=True))[b"proto"] == 2
        assert dict(await client.ask(b"HELLO", b"3", b"SETNAME", b"me"))[b"server"] == b"hookport"
        assert await client.ask(b"CLIENT", b"GETNAME") == b"me"
        assert await client.ask(b"COMMAND", b"DOCS") in ({}, [])
        assert await client.ask(b"COMMAND") == []
        for args, text in (
            ((b"HELLO", b"4"), "NOPROTO"), ((b"HELLO", b"3", b"X"), "Syntax error"),
            ((b"SELECT", b"1"), "out of range"),
            ((b"CLIENT", b"SETNAME", b"a b"), "cannot contain"), ((b"CLIENT", b"KILL"), "unknown subcommand"),
            ((b"CLIENT", b"SETINFO", b"X", b"y"), "Unrecognized"), ((b"GET", b"k"), "unknown command"),
            ((b"AUTH", b"pw"), "WRONGPASS"), ((b"ECHO",), "wrong number"),
        ):  # fmt: skip
            assert text in str(await client.ask(*args)), args
        assert await client.ask(b"RESET") == b"RESET"
        assert await client.ask(b"CLIENT", b"GETNAME") is None
        assert await client.ask(b"QUIT") == b"OK"
        with pytest.raises(EOFError):
            await client.answer()

    run_scenario(scenario)


def test_replies_without_limit_commands_are_unchanged() -> None:
    """If the feature is disabled, its connection and limit commands are unknown, byte for byte."""

    async def scenario() -> None:
        async with World(serve) as world:
            await world.start()
            for args, reply in (
                ((b"HELLO", b"3"), b"-ERR unknown command\r\n"),
                ((b"LIMIT.TAKE",), b"-ERR unknown command\r\n"),
                ((b"PING", b"x"), b"-ERR wrong number of arguments\r\n"), ((b"CLIENT", b"ID"), b"+OK\r\n"),
            ):  # fmt: skip
                reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
                writer.write(hiredis.pack_command(args))  # type: ignore[arg-type,no-untyped-call]
                assert await within_timeout(reader.readline()) == reply
                writer.close()

    asyncio.run(scenario())


# Takes


def test_take_peek_and_give_use_the_quota_of_forwarded_requests() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        assert (await client.ask(*take(b"p", 4, b"LIMIT.PEEK")))[:2] == [1, 8]
        assert (await client.ask(*take(b"a", 4)))[:2] == [1, 4]
        assert await client.ask(*query(1)) == b"value"
        assert (await client.ask(*take(b"p", 4, b"LIMIT.PEEK")))[:2] == [0, 3]
        allowed, _, wait_ms = await client.ask(*take(b"b", 4))
        assert allowed == 0 and wait_ms > 0
        assert await client.ask(b"LIMIT.GIVE", b"a") == 1
        assert await client.ask(b"LIMIT.GIVE", b"a") == 0, "units can be given back only once"
        assert await client.ask(b"LIMIT.GIVE", b"b") == 0, (
            "the take was refused, so there is nothing to give back"
        )
        assert (await client.ask(*take(b"p", 4, b"LIMIT.PEEK")))[:2] == [1, 7]
        assert not world.stubs[0].commands[1:], "only the forwarded request may reach a server"

    run_scenario(scenario, perSecond=0.001, storeSize=8.0)


def test_a_repeated_id_gets_the_same_reply_and_takes_no_further_units() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.client(), await world.client()
        reply = await first.ask(*take(b"a", 4))
        assert await second.ask(*take(b"a", 4)) == reply and reply[1] == 4
        assert "another question" in str(await second.ask(*take(b"a", 2)))
        assert (await first.ask(*take(b"p", 1, b"LIMIT.PEEK")))[1] == 4

    run_scenario(scenario, perSecond=0.001, storeSize=8.0)


def test_a_repeat_of_a_pending_take_gets_the_reply_of_the_first_once_the_counter_answers() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.client(), await world.client()
        assert (await first.ask(*take(b"z", 4)))[0] == 1
        for client in (first, second):
            client.send(*take(b"a", 4))
        assert await first.answer() == await second.answer()

    run_scenario(scenario, perSecond=1.0, storeSize=4.0)


def test_pending_limit_requests_get_one_reply_each_when_the_process_shuts_down() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        commands = world.node.limit_commands  # type: ignore[union-attr]
        assert commands
        commands.daemon.feed = lambda event: None  # the policy no longer answers
        client.send(*take(b"a"))
        await until(lambda: commands.pending)
        world.node.answer_all()  # type: ignore[union-attr]
        assert not commands.pending and not commands.ledger.records, "the id must be usable again"
        assert "timed out" in str(await client.answer())

    run_scenario(scenario)


def test_limit_requests_after_the_end_of_a_shutdown_are_refused_at_once() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        assert world.node and world.node.limit_commands
        world.node.answer_all()
        assert await client.ask(*take(b"a")) == [0, 0, 1000]
        assert not world.node.limit_commands.pending and not world.node.limiter.accounts

    run_scenario(scenario)


def test_invalid_commands_get_an_error_and_too_many_close_the_connection() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        await client.ask(*take(b"ok"))
        for args in (
            (b"LIMIT.TAKE",), take(b"a", 5), take(b"a b"), take(b"a", customer=b"x"), (b"LIMIT.GIVE",),
            (b"LIMIT.TAKE", CUSTOMER, b"a", b"c=lookup,t=team,units=-1"),
            (b"LIMIT.TAKE", CUSTOMER, b"a", b"units=1e300"),
            (b"LIMIT.TAKE", CUSTOMER, b"a", b"c=lookup,t=team,d=0"),
        ):  # fmt: skip
            assert isinstance(await client.ask(*args), Exception), args
        for _ in range(16):
            client.send(b"LIMIT.TAKE")
        with pytest.raises(EOFError):
            while True:
                await client.answer()

    run_scenario(scenario)


def test_a_request_beyond_the_pending_limit_is_refused_at_once() -> None:
    async def scenario(world: World) -> None:
        commands = world.node.limit_commands  # type: ignore[union-attr]
        assert commands
        client, other_client = await world.client(), await world.client()
        original_feed, commands.daemon.feed = commands.daemon.feed, lambda event: None
        client.send(*take(b"a"))
        await until(lambda: commands.pending)
        assert await other_client.ask(*take(b"b")) == [0, 0, 1000]
        commands.daemon.feed = original_feed

    run_scenario(scenario, Limits(most_open=1))


def test_users_need_their_secret_and_are_limited_to_their_commands_and_customers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "secret").write_text("correct horse\n")
    monkeypatch.setenv("DESK", "battery staple")
    users = (
        LimitUser(name="default", secret_file=str(tmp_path / "secret")),
        LimitUser(name="desk", secret_env="DESK", commands=("peek",), customers=(CUSTOMER.decode(),)),
    )

    async def scenario(world: World) -> None:
        client = await world.client()
        assert "NOAUTH" in str(await client.ask(*take(b"a")))
        assert await client.ask(*query(1)) == b"value", "forwarded requests need no authentication"
        assert "WRONGPASS" in str(await client.ask(b"AUTH", b"desk", b"correct horse"))
        assert "WRONGPASS" in str(await client.ask(b"AUTH", b"nobody", b""))
        assert await client.ask(b"AUTH", b"desk", b"battery staple") == b"OK"
        assert "NOPERM" in str(await client.ask(*take(b"a")))
        assert (await client.ask(*take(b"a", verb=b"LIMIT.PEEK")))[0] == 1
        assert "NOPERM" in str(await client.ask(*take(b"a", verb=b"LIMIT.PEEK", customer=b"%016x" % 8)))
        assert await client.ask(b"AUTH", b"correct horse") == b"OK"
        assert (await client.ask(*take(b"a")))[0] == 1
        assert await client.ask(b"HELLO", b"3", b"AUTH", b"desk", b"battery staple")
        assert "NOPERM" in str(await client.ask(b"LIMIT.GIVE", b"a"))
        assert "WRONGPASS" in str(await client.ask(b"HELLO", b"3", b"AUTH", b"default", b"battery staple"))
        for _ in range(5):
            assert "WRONGPASS" in str(await client.ask(b"AUTH", b"guess"))
        assert "too many wrong secrets" in str(await client.ask(b"AUTH", b"guess"))

    run_scenario(scenario, Limits(users=users))


@pytest.mark.parametrize(
    ("user", "reason"),
    [(LimitUser(name="a"), "exactly one of secret_file and secret_env"),
     (LimitUser(name="a", secret_env="NONE"), "0 bytes"),
     (LimitUser(name="a", secret_file="/none/x"), "No such file")],
)  # fmt: skip
def test_a_user_without_a_usable_secret_is_an_error_that_names_the_user(user: LimitUser, reason: str) -> None:
    with pytest.raises(OptionsError, match=f"limits.users: a: .*{reason}"):
        Users([user], {})


def test_the_ledger_evicts_expired_records_and_the_oldest_beyond_its_limit() -> None:
    ledger = Ledger(keep_ns=10, max_ids=3)
    for n in range(5):
        ledger.add(n, (None, b"%d" % n), (), 1)
    assert [key[1] for key in ledger.records] == [b"2", b"3", b"4"]
    assert ledger.find(11, (None, b"2")) and not ledger.find(12, (None, b"2"))
    assert not ledger.find(5, (b"other", b"4")), "each user has its own ids"
    ledger.add(14, (None, b"5"), (), 1)
    assert [key[1] for key in ledger.records] == [b"5"]


# Same decisions as forwarding


def test_a_take_leaves_no_state_behind_and_respects_the_ceiling() -> None:
    ceiling = replace(SETTINGS.plans[0], ceiling_rate=2.0, ceiling_burst=4.0)
    bench = Bench(replace(SETTINGS, limiters=1, has_counter=False, plans=(ceiling,)))
    bench.limiter.retry_tokens = 0.0
    bench.request(units=1.0, set_size=1.0, mode=api.RequestMode.TAKE)
    bench.advance(SECOND)
    granted = [bench.request(units=1.0, set_size=1.0, mode=api.RequestMode.TAKE) for _ in range(6)]
    assert [isinstance(bench.final_answers[n], api.QuotaAnswer) for n in granted] == [True, True] + [
        False
    ] * 4
    bench.request(units=1.0, set_size=1.0, mode=api.RequestMode.PEEK)
    assert not bench.limiter.pending and not bench.limiter.retry_tokens and not bench.sent


@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(0, 1 << 32), size=st.integers(1, 3), rate=st.sampled_from([0.5, 4.0, 40.0]))
def test_takes_and_forwarded_requests_get_the_same_decisions(seed: int, size: int, rate: float) -> None:
    """200 arrivals per example, 12,000 in all: one limiter forwards what an identical one gets as takes.

    Both run on the same simulated clock. A difference would let clients evade the quota on one path."""
    quota = replace(SETTINGS.plans[0], rate=rate, burst=max(4.0, 2 * rate))
    shared_settings = replace(SETTINGS, limiters=size, plans=(quota,), has_counter=size > 1)
    forwarding, taking = Bench(shared_settings, seed=seed), Bench(shared_settings, seed=seed)
    random_source = random.Random(seed)
    for _ in range(200):
        step_ns = round(random_source.expovariate(1.3 * rate) * SECOND)
        units, customer, total = (
            float(random_source.randint(1, 4)),
            random_source.randint(1, 2),
            random_source.uniform(0, quota.burst),
        )
        allowed = []
        for bench, mode in ((forwarding, api.RequestMode.FORWARD), (taking, api.RequestMode.TAKE)):
            bench.advance(step_ns)
            request = bench.request(customer, units=units, set_size=float(size), mode=mode)
            while bench.pending_calls:
                bench.answer_call(total)
            bench.advance(400 * MS)
            if bench.was_sent(request):
                bench.end_attempt(request)
            allowed.append(
                bench.was_sent(request) or isinstance(bench.final_answers.get(request), api.QuotaAnswer)
            )
        assert allowed[0] == allowed[1]
