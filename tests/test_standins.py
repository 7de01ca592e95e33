"""The simulated servers, counter, discovery and network on real sockets, with each fault that they inject."""

import asyncio
import json
import time
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import hiredis
import pytest
import uvloop

from hookport.rehearsal.runtime import Environment, free_ports, random_loopback_host
from hookport.rehearsal.scripted import Client, until, within_timeout
from hookport.rehearsal.standins import Agent, Counter, DatagramRelay, Fleet, Model, Proxy, Server
from hookport.rehearsal.standins.server import RequestSpec

Row = dict[str, Any]


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection(Environment.host, port))


class ServerBench:
    """A server whose request ids define the work: "w20" takes 20 ms, "c20" is a claim that takes 20 ms."""

    def __init__(self, **model: Any) -> None:
        self.rows: list[Row] = []
        self.events: list[str] = []
        self.kill_at = ""
        settings = Model(**{"cores": 1, "queue_capacity": 1, "speed": 1.0, **model})
        self.server = Server(
            asyncio.get_running_loop(), 0, settings, self.look_up, self.rows.append, self.hook
        )

    def look_up(self, id: str) -> RequestSpec | None:
        if id[:1] not in ("w", "c"):
            return None
        return RequestSpec(work_s=int(id[1:].split("-")[0]) / 1000, unsafe=id[0] == "c", fails=False)

    def hook(self, event: str, server: Server, job: Any) -> None:
        self.events.append(event)
        if event == self.kill_at:
            server.stop("killed")

    def kinds(self, *kinds: str) -> list[str]:
        return [row["e"] for row in self.rows if row["e"] in kinds]

    async def start(self, cold: bool = False) -> Client:
        await self.server.start("s-0", 1, cold)
        return await self.client()

    async def client(self) -> Client:
        return await connect(self.server.ports[0])


def ask(id: str) -> tuple[bytes, ...]:
    arguments = (b"0000000000000007", id.encode(), b"c=x,t=y,d=500")
    return (b"SVC.SUBMIT", *arguments, b"body") if id[0] == "c" else (b"SVC.QUERY", *arguments)


def test_a_server_replies_and_records_arrival_effect_and_reply() -> None:
    async def scenario() -> None:
        bench = ServerBench()
        client = await bench.start()
        value, use, report = await client.ask(*ask("c5"))
        assert value.startswith(b"s-0/c5/") and use is None and report is None
        assert bench.kinds("arrive", "effect", "reply") == ["arrive", "effect", "reply"]
        assert await client.ask(b"PING") == b"PONG"
        assert str(await client.ask(b"HELLO", b"3")) == "ERR unknown command"
        bench.server.stop("the end")

    run(scenario)


def test_a_full_queue_answers_busy_and_replies_keep_their_order() -> None:
    async def scenario() -> None:
        bench = ServerBench()
        client = await bench.start()
        for id in ("w60", "w1", "w2"):
            client.send(*ask(id))
        assert (await client.answer())[0].startswith(b"s-0/w60")
        assert (await client.answer())[0].startswith(b"s-0/w1")
        assert str(await client.answer()) == "BUSY"
        assert bench.kinds("turned") == ["turned"]
        bench.server.stop("the end")

    run(scenario)


@pytest.mark.parametrize(
    ("event", "effects"), [("claim-received", 0), ("claim-begun", 0), ("claim-effect", 1)]
)
def test_a_server_killed_during_a_claim_sends_no_reply_and_restarts_on_its_port(
    event: str, effects: int
) -> None:
    async def scenario() -> None:
        bench = ServerBench()
        bench.kill_at = event
        client = await bench.start()
        client.send(*ask("c5"))
        with pytest.raises(EOFError):
            await client.answer()
        assert bench.kinds("effect") == ["effect"] * effects and not bench.kinds("reply")
        with pytest.raises(ConnectionRefusedError):
            await bench.client()
        await bench.server.start("s-0", 1, cold=True)  # on the same port
        bench.kill_at = ""
        assert (await (await bench.client()).ask(*ask("c6")))[0].startswith(b"s-0/c6")
        bench.server.stop("the end")

    run(scenario)


@pytest.mark.parametrize(("cancel", "effects"), [("none", 2), ("queued", 1), ("all", 0)])
def test_a_closed_connection_cancels_the_jobs_that_the_model_chooses(cancel: str, effects: int) -> None:
    async def scenario() -> None:
        bench = ServerBench(cancel=cancel)
        client = await bench.start()
        client.send(*ask("c40-1"))
        client.send(*ask("c40-2"))
        await until(lambda: len(bench.kinds("arrive")) == 2)
        client.writer.transport.abort()
        await until(lambda: not bench.server.connections)
        other = await bench.client()
        await other.ask(*ask("w1"))  # queued behind the jobs that still run
        await until(lambda: not bench.server.running and not bench.server.queue)
        assert len(bench.kinds("effect")) == effects
        bench.server.stop("the end")

    run(scenario)


def test_a_draining_server_finishes_its_jobs_and_refuses_new_ones() -> None:
    async def scenario() -> None:
        bench = ServerBench()
        client = await bench.start()
        client.send(*ask("w40"))
        await until(lambda: bench.kinds("arrive"))
        bench.server.draining = True
        assert str(await (await bench.client()).ask(*ask("w1"))) == "BUSY"
        assert (await client.answer())[0].startswith(b"s-0/w40")
        bench.server.stop("the end")

    run(scenario)


def test_a_cold_server_is_slower_and_stops_when_overloaded() -> None:
    async def scenario() -> None:
        bench = ServerBench(
            queue_capacity=100,
            cold_capacity_share=0.1,
            warm_up_s=1000.0,
            overload_multiple=2.0,
            overload_window_s=1.0,
            mean_work_s=0.01,
        )
        client = await bench.start(cold=True)
        before = time.monotonic()
        await client.ask(*ask("w10"))
        assert time.monotonic() - before >= 0.09  # a tenth of the speed takes ten times as long
        for _ in range(20):  # one second of work at once; the budget is 200 ms per second
            client.send(*ask("w50"))
        with pytest.raises(EOFError):
            await client.answer()
        assert bench.kinds("fell", "down") == ["fell", "down"]
        with pytest.raises(ConnectionRefusedError):
            await bench.client()

    run(scenario)


def test_connections_over_the_limit_are_reset_and_bad_syntax_is_recorded() -> None:
    async def scenario() -> None:
        bench = ServerBench(max_connections=1)
        client = await bench.start()
        assert await client.ask(b"PING") == b"PONG"
        with pytest.raises((EOFError, ConnectionError)):
            await (await bench.client()).ask(b"PING")
        assert str(await client.ask(b"SVC.QUERY", b"x", b"nobody's", b"c=x,d=5")) == "SYNTAX"
        assert bench.kinds("syntax") == ["syntax"]
        bench.server.stop("the end")

    run(scenario)


def test_idle_connections_are_closed() -> None:
    async def scenario() -> None:
        bench = ServerBench(idle_timeout_s=0.1)
        client = await bench.start()
        assert await client.ask(b"PING") == b"PONG"
        with pytest.raises(EOFError):
            await client.answer()
        bench.server.stop("the end")

    run(scenario)


# The counter


async def count(client: Client, key: bytes, amount: float, ttl_ms: int = 9000) -> Any:
    return await client.ask(b"INCRTTL", key, b"%f" % amount, b"%d" % ttl_ms)


def test_the_counter_adds_expires_keys_and_refuses_invalid_calls() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        client = await connect((await counter.start(1))[0])
        assert await count(client, b"a", 2, 60) == b"2"
        assert await count(client, b"a", -0.5, 60) == b"1.5"
        await asyncio.sleep(0.08)
        assert await count(client, b"a", 1, 60) == b"1"  # expired: later calls don't extend the lifetime
        for line in (b"INCRTTL a", b"INCRTTL a x 1", b"INCRTTL a 1e10 1", b"INCRTTL a nan 1",
                     b"INCRTTL a 1 0", b"GET a"):  # fmt: skip
            assert str(await client.ask(*line.split())).startswith("ERR")
        counter.close()

    run(scenario)


def test_counter_calls_are_served_in_order_and_a_full_queue_answers_busy() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop(), shards=1, per_s=50.0, queue_limit=3)
        client = await connect((await counter.start(1))[0])
        before = time.monotonic()
        for _ in range(8):
            client.send(b"INCRTTL", b"a", b"1", b"9000")
        answers = [await client.answer() for _ in range(8)]
        totals = [a for a in answers if isinstance(a, bytes)]
        assert totals == [b"%d" % n for n in range(1, len(totals) + 1)] and 3 <= len(totals) <= 5
        assert {str(a) for a in answers if not isinstance(a, bytes)} == {"BUSY"}
        assert time.monotonic() - before >= 0.05
        counter.close()

    run(scenario)


def test_a_silent_counter_adds_without_answering_and_a_fresh_one_starts_at_zero() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop(), shards=1)
        port = (await counter.start(1))[0]
        client = await connect(port)
        await counter.set_mode("silent")
        client.send(b"INCRTTL", b"a", b"5", b"9000")
        await until(lambda: counter.totals[0])
        await counter.set_mode("ok")
        assert await count(await connect(port), b"a", 1) == b"6"
        await counter.set_mode("fresh")
        assert await count(await connect(port), b"a", 1) == b"1"
        counter.close()

    run(scenario)


def test_a_split_counter_has_two_totals_and_a_stopped_one_returns_on_its_port() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        ports = await counter.start(2)
        one, two = await connect(ports[0]), await connect(ports[1])
        assert await count(one, b"a", 1) == b"1"
        await counter.set_mode("split")
        assert await count(one, b"a", 1) == b"2" and await count(two, b"a", 5) == b"6"
        await counter.set_mode("down")
        for port in (ports[0], await counter.change_address(0)):  # the new port refuses connections too
            with pytest.raises(ConnectionRefusedError):
                await connect(port)
        before_count = len(counter.snapshots)
        await counter.set_mode("ok")
        assert len(counter.snapshots) > before_count  # snapshots are taken again
        assert await count(await connect(ports[1]), b"a", 0) == b"2"
        counter.close()

    run(scenario)


def test_a_split_follows_the_given_sides_and_a_limiter_can_switch() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        ports = await counter.start(4)
        clients = [await connect(port) for port in ports]
        await counter.set_mode("split", sides=((0, 1), (2, 3)))
        totals = [await count(client, b"a", 1) for client in clients]
        assert totals == [b"1", b"2", b"1", b"2"]
        counter.switch_side(1)
        with pytest.raises(EOFError):
            await clients[1].answer()
        assert await count(await connect(ports[1]), b"a", 1) == b"3"
        counter.switch_side(1)
        assert await count(await connect(ports[1]), b"a", 0) == b"2"
        assert await count(clients[0], b"a", 0) == b"2"
        counter.close()

    run(scenario)


class Mailbox(asyncio.DatagramProtocol):
    """Queues the datagrams that arrive, each with its sender's address."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[bytes, object]] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.put_nowait((data, addr))


def test_datagrams_show_their_sender_by_address_and_partitions_drop_them() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        mailboxes = [Mailbox() for _ in range(3)]
        sockets = [
            (await loop.create_datagram_endpoint(lambda b=b: b, (Environment.host, 0)))[0] for b in mailboxes
        ]
        lost = {2}
        relay = DatagramRelay(
            loop, 0.5, (0.0, 0.0), lambda purpose, n: 0.0 if purpose == "lost" and n in lost else 0.9
        )
        addresses = await relay.start([one.get_extra_info("sockname")[1] for one in sockets])

        def address(sender: int, receiver: int) -> tuple[str, int]:
            host, port = addresses[sender][receiver].split(":")
            return host, int(port)

        async def receive(receiver: int) -> tuple[bytes, object]:
            return await asyncio.wait_for(mailboxes[receiver].received.get(), 5)

        sockets[0].sendto(b"one", address(0, 1))
        assert await receive(1) == (b"one", address(1, 0))  # comes from the address that reaches its sender
        sockets[0].sendto(b"lost", address(0, 1))
        await until(lambda: relay.sent[0] == 2)
        sockets[0].sendto(bytes(257), address(0, 1))
        sockets[2].sendto(b"as 0", address(0, 1))  # this socket accepts datagrams from limiter 0 only
        await until(lambda: relay.sent[0] == 3)
        relay.partitions = (frozenset({0, 2}), frozenset({1}))
        sockets[0].sendto(b"cut", address(0, 1))
        sockets[0].sendto(b"near", address(0, 2))
        assert await receive(2) == (b"near", address(2, 0))
        relay.partitions = ()
        sockets[0].sendto(b"again", address(0, 1))
        assert await receive(1) == (b"again", address(1, 0))
        assert relay.sent == [6, 0, 0] and relay.largest_bytes[0] == 257 and max(relay.busiest_second) <= 2
        relay.close()
        for one in sockets:
            one.close()

    run(scenario)


def test_a_snapshot_restores_older_totals_and_one_shard_can_stop_alone() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop(), shards=2)
        port = (await counter.start(1))[0]
        client = await connect(port)
        assert await count(client, b"a", 1) == b"1"
        counter.take_snapshots()
        assert await count(client, b"a", 5) == b"6"
        await counter.set_mode("snapshot", age_s=0.01)
        with pytest.raises(EOFError):  # its connections are aborted
            await client.answer()
        client = await connect(port)
        assert await count(client, b"a", 1) == b"2"
        await counter.set_mode("part")
        keys = [b"n%d" % n for n in range(20)]
        lost_key = next(key for key in keys if zlib.crc32(key) % 2 == 0)
        live_key = next(key for key in keys if zlib.crc32(key) % 2 == 1)
        assert await count(client, live_key, 1) == b"1"
        client.send(b"INCRTTL", lost_key, b"1", b"9000")
        client.send(b"INCRTTL", live_key, b"1", b"9000")
        await until(lambda: counter.totals[0][live_key][0] == 2)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.1)
        assert lost_key not in counter.totals[0]
        counter.close()

    run(scenario)


def test_the_counter_answers_late_answers_busy_and_changes_its_address() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        ports = await counter.start(1)
        client = await connect(ports[0])
        await counter.set_mode("late", 0.05)
        before = time.monotonic()
        assert await count(client, b"a", 1) == b"1"
        assert time.monotonic() - before >= 0.045
        await counter.set_mode("busy")
        assert str(await count(client, b"a", 1)) == "BUSY"
        await counter.set_mode("ok")
        new = await counter.change_address(0)
        assert new != ports[0]
        with pytest.raises(ConnectionRefusedError):
            await connect(ports[0])
        assert await count(client, b"a", 1) == b"2"  # an open connection continues for a while
        with pytest.raises(EOFError):
            await client.answer()
        assert await count(await connect(new), b"a", 1) == b"3"
        counter.close()

    run(scenario)


# Discovery


def entry(lifecycle: str = "SERVING", started: int = 0) -> Row:
    return {"zone": "a", "machineType": "m", "cell": 0, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": started}  # fmt: skip


class WatchClient:
    """Opens a discovery watch and reads its lines, as a limiter does."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port: int, index: int = 0) -> "WatchClient":
        reader, writer = await asyncio.open_connection(Environment.host, port)
        writer.write(b"GET /v1/endpoints?stream=1&index=%d HTTP/1.1\r\nHost: x\r\n\r\n" % index)
        assert b"200 OK" in await within_timeout(reader.readuntil(b"\r\n\r\n"))
        return cls(reader, writer)

    async def line(self) -> Any:
        while True:
            size = int(await within_timeout(self.reader.readline()), 16)
            text = (await within_timeout(self.reader.readexactly(size + 2))).strip()
            if text:
                return json.loads(text)


def add_agent(fleet: Fleet, rows: list[Row], **more: Any) -> Agent:
    agent = Agent(asyncio.get_running_loop(), 0, 0.0, lambda e: "127.0.0.1:9", rows.append, **more)
    fleet.agents.append(agent)
    return agent


def test_a_watch_gets_the_full_list_then_changes_and_each_is_recorded() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        agent = add_agent(fleet, rows)
        fleet.add({"instanceId": "s-1", **entry()})
        watch = await WatchClient.open(await agent.start())
        first = await watch.line()
        assert first["reset"] and [i["instanceId"] for i in first["instances"]] == ["s-1"]
        fleet.change("s-1", **entry("DRAINING"))
        update = await watch.line()
        assert not update["reset"] and update["instances"][0]["lifecycle"] == "DRAINING"
        assert [(r["s"], r["state"], r["arrived"]) for r in rows] == [
            ("s-1", "SERVING", True), ("s-1", "DRAINING", True)]  # fmt: skip
        fleet.change("s-1", **entry("DELETED"))
        assert (await watch.line())["instances"][0]["lifecycle"] == "DELETED"
        resumed = await WatchClient.open(agent.port, index=update["generation"])
        assert (await resumed.line())["instances"][0]["lifecycle"] == "DELETED"
        agent.close()

    run(scenario)


def test_a_silent_agent_queues_changes_and_sends_them_later() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        agent = add_agent(fleet, rows)
        fleet.add({"instanceId": "s-1", **entry()})
        watch = await WatchClient.open(await agent.start())
        await watch.line()
        agent.set_silent(True)
        fleet.change("s-1", **entry("DRAINING"))
        await until(lambda: agent.pending)
        assert len(rows) == 1
        agent.set_silent(False)
        assert (await watch.line())["instances"][0]["lifecycle"] == "DRAINING"
        agent.close()

    run(scenario)


def test_a_stopped_agent_refuses_connections_at_a_new_address_until_started() -> None:
    async def scenario() -> None:
        agent = add_agent(Fleet(), [])
        await agent.start()
        agent.close()
        port = await agent.change_address()
        with pytest.raises(ConnectionRefusedError):
            await WatchClient.open(port)
        assert await agent.start(agent.port) == port
        await (await WatchClient.open(port)).line()
        assert await agent.change_address() != port
        await (await WatchClient.open(agent.port)).line()
        agent.close()

    run(scenario)


def test_a_limiter_without_a_watch_counts_as_notified_after_a_delay() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        add_agent(fleet, rows, assume_notified_after_s=0.02)
        fleet.add({"instanceId": "s-1", **entry()})
        fleet.change("s-1", **entry("DRAINING"))
        await until(lambda: rows)
        assert (rows[0]["state"], rows[0]["arrived"]) == ("DRAINING", False)

    run(scenario)


def test_a_request_that_discovery_does_not_know_gets_404() -> None:
    async def scenario() -> None:
        agent = add_agent(Fleet(), [])
        reader, writer = await asyncio.open_connection(Environment.host, await agent.start())
        writer.write(b"POST /v1/endpoints HTTP/1.1\r\n\r\n")
        assert b"404" in await within_timeout(reader.readline())
        agent.close()

    run(scenario)


# The proxy


class Echo:
    """A server behind a proxy that sends each line back."""

    async def start(self) -> tuple[Proxy, asyncio.StreamReader, asyncio.StreamWriter]:
        async def echo_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                writer.write(line)

        self.server = await asyncio.start_server(echo_lines, Environment.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        proxy = Proxy(asyncio.get_running_loop(), lambda: port)
        reader, writer = await asyncio.open_connection(Environment.host, await proxy.start())
        writer.write(b"first\n")
        assert await within_timeout(reader.readline()) == b"first\n"
        return proxy, reader, writer


def check_through_proxy(
    mode: str,
    check: Callable[[Proxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    **more: Any,
) -> None:
    async def scenario() -> None:
        echo = Echo()
        proxy, reader, writer = await echo.start()
        proxy.set_mode(mode, **more)
        writer.write(b"0123456789\n")
        await check(proxy, reader, writer)
        proxy.close()
        echo.server.close()

    run(scenario)


def test_proxy_delays_splits_into_bytes_and_adds_garbage() -> None:
    async def check_delay(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before = time.monotonic()
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        assert time.monotonic() - before >= 0.08  # the delay applies in both directions

    async def check_trickle(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parts = []
        while sum(map(len, parts)) < 11:
            parts.append(await within_timeout(reader.read(100)))
        assert b"".join(parts) == b"0123456789\n" and len(parts) >= 5

    async def check_garbage(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        assert b"noise" in await within_timeout(reader.readuntil(b"noise"))

    check_through_proxy("delay", check_delay, delay_s=0.05)
    check_through_proxy("trickle", check_trickle)
    check_through_proxy("garbage", check_garbage)


def test_proxy_ends_a_connection_after_some_bytes_by_reset_or_close() -> None:
    async def check_reset(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with pytest.raises(ConnectionResetError):
            while await within_timeout(reader.read(100)):
                pass

    async def check_truncated(
        proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert await within_timeout(reader.read()) == b"0123"

    check_through_proxy("reset", check_reset, cut_after_bytes=4)
    check_through_proxy("truncate", check_truncated, cut_after_bytes=4)


def test_proxy_silence_forwards_nothing_and_resets_when_it_ends() -> None:
    async def check_silence(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        # A new connection is accepted, but nothing is forwarded.
        other, second = await asyncio.open_connection(Environment.host, proxy.port)
        second.write(b"x\n")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(other.read(1), 0.1)
        proxy.set_mode("pass")
        with pytest.raises(ConnectionResetError):
            await within_timeout(reader.read(1))

    check_through_proxy("silence", check_silence)


def test_proxy_refusal_leaves_open_connections_alone() -> None:
    async def check_refusal(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        other, second = await asyncio.open_connection(Environment.host, proxy.port)
        with pytest.raises(ConnectionResetError):
            second.write(b"x\n")
            await within_timeout(other.read(1))

    check_through_proxy("refuse", check_refusal)


def test_hiredis_parses_the_reply_format_of_a_server() -> None:
    parser = hiredis.Reader()
    parser.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
    assert parser.gets() == [b"v", None, None]


def test_no_port_is_given_out_twice_and_each_run_has_its_own_address() -> None:
    first = [port for port, _ in zip(free_ports(Environment.host), range(300), strict=False)]
    second = [port for port, _ in zip(free_ports(Environment.host), range(300), strict=False)]
    assert not set(first) & set(second) and len({*first}) == 300
    assert len({random_loopback_host() for _ in range(20)}) > 1
