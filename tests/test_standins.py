"""The stand-ins by themselves: each failure that a rehearsal causes is really there on the socket."""

import asyncio
import json
import time
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import hiredis
import pytest
import uvloop

from hookport.rehearsal.loops import Place, free_ports, own_host
from hookport.rehearsal.scripted import Client, until, within_timeout
from hookport.rehearsal.standins import Agent, Counter, DatagramRelay, Fleet, Model, Proxy, Server
from hookport.rehearsal.standins.server import RequestSpec

Row = dict[str, Any]


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(scenario())  # type: ignore[arg-type]


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection(Place.host, port))


class Desk:
    """One server, with requests whose work a test names: id "w20" works 20 ms, "c20" is a claim of 20 ms."""

    def __init__(self, **model: Any) -> None:
        self.rows: list[Row] = []
        self.events: list[str] = []
        self.kill_at = ""
        told = Model(**{"cores": 1, "queue_capacity": 1, "speed": 1.0, **model})
        self.server = Server(asyncio.get_running_loop(), 0, told, self.look_up, self.rows.append, self.hook)

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
    words = (b"0000000000000007", id.encode(), b"c=x,t=y,d=500")
    return (b"SVC.SUBMIT", *words, b"body") if id[0] == "c" else (b"SVC.QUERY", *words)


def test_a_server_serves_and_writes_its_ledger() -> None:
    async def scenario() -> None:
        desk = Desk()
        client = await desk.start()
        value, use, report = await client.ask(*ask("c5"))
        assert value.startswith(b"s-0/c5/") and use is None and report is None
        assert desk.kinds("arrive", "effect", "reply") == ["arrive", "effect", "reply"]
        assert await client.ask(b"PING") == b"PONG"
        assert str(await client.ask(b"HELLO", b"3")) == "ERR unknown command"
        desk.server.stop("the end")

    run(scenario)


def test_a_full_waiting_room_turns_away_and_answers_keep_their_order() -> None:
    async def scenario() -> None:
        desk = Desk()
        client = await desk.start()
        for id in ("w60", "w1", "w2"):
            client.send(*ask(id))
        assert (await client.answer())[0].startswith(b"s-0/w60")
        assert (await client.answer())[0].startswith(b"s-0/w1")
        assert str(await client.answer()) == "BUSY"
        assert desk.kinds("turned") == ["turned"]
        desk.server.stop("the end")

    run(scenario)


@pytest.mark.parametrize(
    ("event", "effects"), [("claim-received", 0), ("claim-begun", 0), ("claim-effect", 1)]
)
def test_a_death_in_the_middle_of_a_claim_is_caused(event: str, effects: int) -> None:
    async def scenario() -> None:
        desk = Desk()
        desk.kill_at = event
        client = await desk.start()
        client.send(*ask("c5"))
        with pytest.raises(EOFError):
            await client.answer()
        assert desk.kinds("effect") == ["effect"] * effects and not desk.kinds("reply")
        with pytest.raises(ConnectionRefusedError):
            await desk.client()
        await desk.server.start("s-0", 1, cold=True)  # at the same address
        desk.kill_at = ""
        assert (await (await desk.client()).ask(*ask("c6")))[0].startswith(b"s-0/c6")
        desk.server.stop("the end")

    run(scenario)


@pytest.mark.parametrize(("cancel", "effects"), [("none", 2), ("queued", 1), ("all", 0)])
def test_what_a_closed_connection_stops(cancel: str, effects: int) -> None:
    async def scenario() -> None:
        desk = Desk(cancel=cancel)
        client = await desk.start()
        client.send(*ask("c40-1"))
        client.send(*ask("c40-2"))
        await until(lambda: len(desk.kinds("arrive")) == 2)
        client.writer.transport.abort()
        await until(lambda: not desk.server.connections)
        other = await desk.client()
        await other.ask(*ask("w1"))  # waits its turn behind what still runs
        await until(lambda: not desk.server.running and not desk.server.queue)
        assert len(desk.kinds("effect")) == effects
        desk.server.stop("the end")

    run(scenario)


def test_a_draining_server_ends_what_it_has_and_turns_new_work_away() -> None:
    async def scenario() -> None:
        desk = Desk()
        client = await desk.start()
        client.send(*ask("w40"))
        await until(lambda: desk.kinds("arrive"))
        desk.server.draining = True
        assert str(await (await desk.client()).ask(*ask("w1"))) == "BUSY"
        assert (await client.answer())[0].startswith(b"s-0/w40")
        desk.server.stop("the end")

    run(scenario)


def test_a_cold_server_is_slower_and_falls_over_when_it_gets_too_much() -> None:
    async def scenario() -> None:
        desk = Desk(
            queue_capacity=100,
            cold_capacity_share=0.1,
            warm_up_s=1000.0,
            overload_multiple=2.0,
            overload_window_s=1.0,
            mean_work_s=0.01,
        )
        client = await desk.start(cold=True)
        before = time.monotonic()
        await client.ask(*ask("w10"))
        assert time.monotonic() - before >= 0.09  # ten times as long at a tenth of its speed
        for _ in range(20):  # a second of work at once, where 200 ms in each second are its budget
            client.send(*ask("w50"))
        with pytest.raises(EOFError):
            await client.answer()
        assert desk.kinds("fell", "down") == ["fell", "down"]
        with pytest.raises(ConnectionRefusedError):
            await desk.client()

    run(scenario)


def test_connections_beyond_the_limit_are_reset_and_a_bad_form_is_told() -> None:
    async def scenario() -> None:
        desk = Desk(max_connections=1)
        client = await desk.start()
        assert await client.ask(b"PING") == b"PONG"
        with pytest.raises((EOFError, ConnectionError)):
            await (await desk.client()).ask(b"PING")
        assert str(await client.ask(b"SVC.QUERY", b"x", b"nobody's", b"c=x,d=5")) == "SYNTAX"
        assert desk.kinds("syntax") == ["syntax"]
        desk.server.stop("the end")

    run(scenario)


def test_idle_connections_are_closed() -> None:
    async def scenario() -> None:
        desk = Desk(idle_timeout_s=0.1)
        client = await desk.start()
        assert await client.ask(b"PING") == b"PONG"
        with pytest.raises(EOFError):
            await client.answer()
        desk.server.stop("the end")

    run(scenario)


# The counter


async def count(client: Client, name: bytes, amount: float, life_ms: int = 9000) -> Any:
    return await client.ask(b"INCRTTL", name, b"%f" % amount, b"%d" % life_ms)


def test_the_counter_adds_expires_and_refuses_what_is_no_call() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        client = await connect((await counter.start(1))[0])
        assert await count(client, b"a", 2, 60) == b"2"
        assert await count(client, b"a", -0.5, 60) == b"1.5"
        await asyncio.sleep(0.08)
        assert await count(client, b"a", 1, 60) == b"1"  # forgotten: later calls do not extend a life
        for line in (b"INCRTTL a", b"INCRTTL a x 1", b"INCRTTL a 1e10 1", b"INCRTTL a nan 1",
                     b"INCRTTL a 1 0", b"GET a"):  # fmt: skip
            assert str(await client.ask(*line.split())).startswith("ERR")
        counter.close()

    run(scenario)


def test_calls_are_served_in_turn_and_a_full_line_turns_away() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop(), shards=1, per_s=50.0, queue_limit=3)
        client = await connect((await counter.start(1))[0])
        before = time.monotonic()
        for _ in range(8):
            client.send(b"INCRTTL", b"a", b"1", b"9000")
        answers = [await client.answer() for _ in range(8)]
        taken = [a for a in answers if isinstance(a, bytes)]
        assert taken == [b"%d" % n for n in range(1, len(taken) + 1)] and 3 <= len(taken) <= 5
        assert {str(a) for a in answers if not isinstance(a, bytes)} == {"BUSY"}
        assert time.monotonic() - before >= 0.05
        counter.close()

    run(scenario)


def test_a_silent_counter_adds_and_says_nothing_and_a_fresh_one_starts_at_zero() -> None:
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


def test_a_split_has_two_sides_and_a_counter_that_is_down_comes_back_at_its_address() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        ports = await counter.start(2)
        one, two = await connect(ports[0]), await connect(ports[1])
        assert await count(one, b"a", 1) == b"1"
        await counter.set_mode("split")
        assert await count(one, b"a", 1) == b"2" and await count(two, b"a", 5) == b"6"
        await counter.set_mode("down")
        for port in (ports[0], await counter.change_address(0)):  # down at its new address too
            with pytest.raises(ConnectionRefusedError):
                await connect(port)
        kept = len(counter.snapshots)
        await counter.set_mode("ok")
        assert len(counter.snapshots) > kept  # it keeps copies again
        assert await count(await connect(ports[1]), b"a", 0) == b"2"
        counter.close()

    run(scenario)


def test_a_split_runs_where_it_is_told_and_one_limiter_changes_sides() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop())
        ports = await counter.start(4)
        clients = [await connect(port) for port in ports]
        await counter.set_mode("split", sides=((0, 1), (2, 3)))
        told = [await count(client, b"a", 1) for client in clients]
        assert told == [b"1", b"2", b"1", b"2"]
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
    def __init__(self) -> None:
        self.came: asyncio.Queue[tuple[bytes, object]] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.came.put_nowait((data, addr))


def test_datagrams_go_through_doors_that_tell_who_sent_them_and_a_cut_stops_them() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        boxes = [Mailbox() for _ in range(3)]
        sockets = [(await loop.create_datagram_endpoint(lambda b=b: b, (Place.host, 0)))[0] for b in boxes]
        lost = {2}
        relay = DatagramRelay(
            loop, 0.5, (0.0, 0.0), lambda what, n: 0.0 if what == "lost" and n in lost else 0.9
        )
        doors = await relay.start([one.get_extra_info("sockname")[1] for one in sockets])

        def address(sender: int, receiver: int) -> tuple[str, int]:
            host, port = doors[sender][receiver].split(":")
            return host, int(port)

        async def take(receiver: int) -> tuple[bytes, object]:
            return await asyncio.wait_for(boxes[receiver].came.get(), 5)

        sockets[0].sendto(b"one", address(0, 1))
        assert await take(1) == (b"one", address(1, 0))  # it answers to where it came from
        sockets[0].sendto(b"lost", address(0, 1))
        await until(lambda: relay.sent[0] == 2)
        sockets[0].sendto(bytes(257), address(0, 1))
        sockets[2].sendto(b"as 0", address(0, 1))  # from no limiter of that door
        await until(lambda: relay.sent[0] == 3)
        relay.partitions = (frozenset({0, 2}), frozenset({1}))
        sockets[0].sendto(b"cut", address(0, 1))
        sockets[0].sendto(b"near", address(0, 2))
        assert await take(2) == (b"near", address(2, 0))
        relay.partitions = ()
        sockets[0].sendto(b"again", address(0, 1))
        assert await take(1) == (b"again", address(1, 0))
        assert relay.sent == [6, 0, 0] and relay.largest_bytes[0] == 257 and max(relay.busiest_second) <= 2
        relay.close()
        for one in sockets:
            one.close()

    run(scenario)


def test_a_snapshot_takes_the_place_of_what_was_added_since_and_one_part_may_die() -> None:
    async def scenario() -> None:
        counter = Counter(asyncio.get_running_loop(), shards=2)
        port = (await counter.start(1))[0]
        client = await connect(port)
        assert await count(client, b"a", 1) == b"1"
        counter.take_snapshots()
        assert await count(client, b"a", 5) == b"6"
        await counter.set_mode("snapshot", age_s=0.01)
        with pytest.raises(EOFError):  # its connections went with it
            await client.answer()
        client = await connect(port)
        assert await count(client, b"a", 1) == b"2"
        await counter.set_mode("part")
        names = [b"n%d" % n for n in range(20)]
        dead = next(name for name in names if zlib.crc32(name) % 2 == 0)
        living = next(name for name in names if zlib.crc32(name) % 2 == 1)
        assert await count(client, living, 1) == b"1"
        client.send(b"INCRTTL", dead, b"1", b"9000")
        client.send(b"INCRTTL", living, b"1", b"9000")
        await until(lambda: counter.totals[0][living][0] == 2)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.1)
        assert dead not in counter.totals[0]
        counter.close()

    run(scenario)


def test_late_answers_noise_and_a_move() -> None:
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
        assert await count(client, b"a", 1) == b"2"  # the open one goes on for a while
        with pytest.raises(EOFError):
            await client.answer()
        assert await count(await connect(new), b"a", 1) == b"3"
        counter.close()

    run(scenario)


# Discovery


def entry(lifecycle: str = "SERVING", started: int = 0) -> Row:
    return {"zone": "a", "machineType": "m", "cell": 0, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": started}  # fmt: skip


class Watching:
    """Reads a watch as a limiter would."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port: int, index: int = 0) -> "Watching":
        reader, writer = await asyncio.open_connection(Place.host, port)
        writer.write(b"GET /v1/endpoints?stream=1&index=%d HTTP/1.1\r\nHost: x\r\n\r\n" % index)
        assert b"200 OK" in await within_timeout(reader.readuntil(b"\r\n\r\n"))
        return cls(reader, writer)

    async def line(self) -> Any:
        while True:
            size = int(await within_timeout(self.reader.readline()), 16)
            text = (await within_timeout(self.reader.readexactly(size + 2))).strip()
            if text:
                return json.loads(text)


def agent_of(fleet: Fleet, rows: list[Row], **more: Any) -> Agent:
    agent = Agent(asyncio.get_running_loop(), 0, 0.0, lambda e: "127.0.0.1:9", rows.append, **more)
    fleet.agents.append(agent)
    return agent


def test_a_watch_gets_the_whole_list_then_changes_and_the_telling_is_noted() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        agent = agent_of(fleet, rows)
        fleet.add({"instanceId": "s-1", **entry()})
        watch = await Watching.open(await agent.start())
        first = await watch.line()
        assert first["reset"] and [i["instanceId"] for i in first["instances"]] == ["s-1"]
        fleet.change("s-1", **entry("DRAINING"))
        told = await watch.line()
        assert not told["reset"] and told["instances"][0]["lifecycle"] == "DRAINING"
        assert [(r["s"], r["state"], r["arrived"]) for r in rows] == [
            ("s-1", "SERVING", True), ("s-1", "DRAINING", True)]  # fmt: skip
        fleet.change("s-1", **entry("DELETED"))
        assert (await watch.line())["instances"][0]["lifecycle"] == "DELETED"
        again = await Watching.open(agent.port, index=told["generation"])
        assert (await again.line())["instances"][0]["lifecycle"] == "DELETED"
        agent.close()

    run(scenario)


def test_a_silent_agent_keeps_what_comes_and_tells_it_later() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        agent = agent_of(fleet, rows)
        fleet.add({"instanceId": "s-1", **entry()})
        watch = await Watching.open(await agent.start())
        await watch.line()
        agent.set_silent(True)
        fleet.change("s-1", **entry("DRAINING"))
        await until(lambda: agent.pending)
        assert len(rows) == 1
        agent.set_silent(False)
        assert (await watch.line())["instances"][0]["lifecycle"] == "DRAINING"
        agent.close()

    run(scenario)


def test_an_agent_that_is_down_is_down_at_its_new_address_until_it_starts() -> None:
    async def scenario() -> None:
        agent = agent_of(Fleet(), [])
        await agent.start()
        agent.close()
        port = await agent.change_address()
        with pytest.raises(ConnectionRefusedError):
            await Watching.open(port)
        assert await agent.start(agent.port) == port
        await (await Watching.open(port)).line()
        assert await agent.change_address() != port
        await (await Watching.open(agent.port)).line()
        agent.close()

    run(scenario)


def test_who_does_not_listen_counts_as_told_after_a_while() -> None:
    async def scenario() -> None:
        fleet, rows = Fleet(), []
        agent_of(fleet, rows, assume_notified_after_s=0.02)
        fleet.add({"instanceId": "s-1", **entry()})
        fleet.change("s-1", **entry("DRAINING"))
        await until(lambda: rows)
        assert (rows[0]["state"], rows[0]["arrived"]) == ("DRAINING", False)

    run(scenario)


def test_what_is_no_request_to_discovery_is_refused() -> None:
    async def scenario() -> None:
        agent = agent_of(Fleet(), [])
        reader, writer = await asyncio.open_connection(Place.host, await agent.start())
        writer.write(b"POST /v1/endpoints HTTP/1.1\r\n\r\n")
        assert b"404" in await within_timeout(reader.readline())
        agent.close()

    run(scenario)


# The proxy


class Echo:
    """Answers every line with itself, after a proxy."""

    async def start(self) -> tuple[Proxy, asyncio.StreamReader, asyncio.StreamWriter]:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                writer.write(line)

        self.server = await asyncio.start_server(talk, Place.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        proxy = Proxy(asyncio.get_running_loop(), lambda: port)
        reader, writer = await asyncio.open_connection(Place.host, await proxy.start())
        writer.write(b"first\n")
        assert await within_timeout(reader.readline()) == b"first\n"
        return proxy, reader, writer


def through(mode: str, check: Callable[[Proxy, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
            **more: Any) -> None:  # fmt: skip
    async def scenario() -> None:
        echo = Echo()
        proxy, reader, writer = await echo.start()
        proxy.set_mode(mode, **more)
        writer.write(b"0123456789\n")
        await check(proxy, reader, writer)
        proxy.close()
        echo.server.close()

    run(scenario)


def test_proxy_delay_trickle_and_garbage() -> None:
    async def late(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before = time.monotonic()
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        assert time.monotonic() - before >= 0.08  # both ways

    async def slow(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parts = []
        while sum(map(len, parts)) < 11:
            parts.append(await within_timeout(reader.read(100)))
        assert b"".join(parts) == b"0123456789\n" and len(parts) >= 5

    async def noisy(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        assert b"noise" in await within_timeout(reader.readuntil(b"noise"))

    through("delay", late, delay_s=0.05)
    through("trickle", slow)
    through("garbage", noisy)


def test_proxy_cuts_at_a_byte_by_a_reset_or_an_end() -> None:
    async def reset(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with pytest.raises(ConnectionResetError):
            while await within_timeout(reader.read(100)):
                pass

    async def ended(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await within_timeout(reader.read()) == b"0123"

    through("reset", reset, cut_after_bytes=4)
    through("truncate", ended, cut_after_bytes=4)


def test_proxy_silence_says_nothing_and_resets_when_it_is_over() -> None:
    async def silent(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        other, second = await asyncio.open_connection(Place.host, proxy.port)  # comes up, and stays mute
        second.write(b"x\n")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(other.read(1), 0.1)
        proxy.set_mode("pass")
        with pytest.raises(ConnectionResetError):
            await within_timeout(reader.read(1))

    through("silence", silent)


def test_proxy_refuses_new_connections_only() -> None:
    async def refuses(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await within_timeout(reader.readline()) == b"0123456789\n"
        other, second = await asyncio.open_connection(Place.host, proxy.port)
        with pytest.raises(ConnectionResetError):
            second.write(b"x\n")
            await within_timeout(other.read(1))

    through("refuse", refuses)


def test_hiredis_reads_what_the_stand_ins_write() -> None:
    parser = hiredis.Reader()
    parser.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
    assert parser.gets() == [b"v", None, None]


def test_no_port_is_handed_out_twice_and_evenings_have_addresses_of_their_own() -> None:
    first = [port for port, _ in zip(free_ports(Place.host), range(300), strict=False)]
    second = [port for port, _ in zip(free_ports(Place.host), range(300), strict=False)]
    assert not set(first) & set(second) and len({*first}) == 300
    assert len({own_host() for _ in range(20)}) > 1
