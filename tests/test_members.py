"""The daemon on a kept list: it serves without discovery, obeys it when it is back, and says what it does."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest
from world import (
    Discovery,
    World,
    instance,
    list_update,
    never_reply,
    query,
    reply_with,
    serve,
    submit,
    until,
    within_timeout,
)

from aniseshed.interface import Health, ServerEntry, Trust
from hookport import config
from hookport.config import Names
from hookport.membership import kept as form
from hookport.membership import words
from hookport.membership.fleet import Snapshot, SnapshotEntry, State
from hookport.options import Membership, Options

SECOND = 1_000_000_000
NAMES = Names({}, {}, {"a": 0}, {"m": 0})


def keep(path: Path, world: World, age_s: float, drains: tuple[int, ...] = (), generation: int = 5) -> None:
    """Write a kept list of the world's servers."""
    told_ns = time.time_ns() - round(age_s * SECOND)
    held = tuple(
        SnapshotEntry(
            ServerEntry(b"s-%d" % n, 0, 0, 0, Health.DRAINING if n in drains else Health.READY, 1.0, 0),
            ("127.0.0.1", stub.port), generation, told_ns, told_ns,
        )
        for n, stub in enumerate(world.stubs)
    )  # fmt: skip
    path.write_bytes(form.write(Snapshot("f", generation, told_ns, held, {}), NAMES))


def dark(world: World, path: Path, **more: float) -> World:
    """Without a list in the configuration, and with one kept."""
    world.known = False
    world.options = Options(membership=Membership(path=str(path), fleet="f", write_s=0.05, **more))
    return world


def test_a_limiter_serves_from_its_kept_list_and_sends_nothing_to_who_drains(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve, serve) as world:
            keep(tmp_path / "k", world, 3600, drains=(1,))
            await dark(world, tmp_path / "k").start()
            node, client = world.node, await world.client()
            assert node and node.members and node.members.fleet.state is State.KEPT
            reply = await client.ask(*submit(1))
            assert str(reply).startswith("BUSY"), (
                "no claim to a server of an old list that has proved nothing"
            )
            for n in range(2, 12):
                assert await client.ask(*query(n)) == b"value"
            assert await client.ask(*submit(20)) == b"value", "they have proved themselves"
            assert not world.stubs[1].commands
            assert "source=kept" in node.members.status_line() and "draining=1" in node.members.status_line()

    asyncio.run(scenario())


def test_discovery_that_is_back_takes_over_and_what_it_lacks_gets_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            keep(tmp_path / "k", world, 1)
            await dark(world, tmp_path / "k").start()
            node, client = world.node, await world.client()
            assert node and node.members
            for n in (1, 2):
                client.send(*query(n))
            assert [await client.answer(), await client.answer()] == [b"value"] * 2
            assert all(stub.commands for stub in world.stubs)
            await until(lambda: world.discovery.watches)
            assert b"index=0" in world.discovery.requests[0], "the whole list: what was missed is not known"
            world.discovery.push(list_update(9, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.members and node.members.fleet.live)
            before = len(world.stubs[1].commands)
            for n in range(11, 31):
                assert await client.ask(*query(n)) == b"value"
            assert len(world.stubs[1].commands) == before
            assert not world.stubs[0].closed, "what it names keeps its connections"
            path = tmp_path / "k"
            await until(lambda: form.read(path.read_bytes(), NAMES).generation == 9)
            told = form.read(path.read_bytes(), NAMES)
            assert [h.entry.server for h in told.servers] == [b"s-0"] and set(told.gone) == {b"s-1"}
            fleet = node.members.fleet
            world.discovery.watches[-1].transport.abort()
            await until(lambda: fleet.state is State.LAST_WORD)
            await until(lambda: len(world.discovery.watches) > 1)
            world.discovery.push(b"")
            await until(lambda: fleet.state is State.TOLD)  # nothing has changed, which is a word too

    asyncio.run(scenario())


def test_a_move_to_another_discovery_in_the_dark_keeps_serving(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            keep(tmp_path / "k", world, 1, drains=(1,))
            await dark(world, tmp_path / "k").start()
            node, new = world.node, await Discovery().start()
            assert node and node.members
            told = {**world.configuration(), "discovery": f"127.0.0.1:{new.port}"}
            node.reconfigure(replace(config.parse_config(told, {}), options=world.options))
            await until(lambda: new.watches)
            client = await world.client()
            assert await client.ask(*query(1)) == b"value"
            new.push(
                list_update(900, *(instance(f"s-{n}", s.port) for n, s in enumerate(world.stubs)), full=True)
            )
            await until(lambda: node.members and node.members.fleet.live)
            for n in range(2, 12):
                assert await client.ask(*query(n)) == b"value"
            assert not world.stubs[1].commands, "another discovery's numbers bring back nothing that drained"
            new.server.close()
            new.watches[-1].transport.abort()

    asyncio.run(scenario())


def test_a_black_hole_and_noise_on_the_list_cost_their_share_and_no_more(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, reply_with(b"220 mail ready\r\n"), never_reply) as world:
            keep(tmp_path / "k", world, 86_400)
            await dark(world, tmp_path / "k").start()
            client = await world.client()
            for n in range(1, 21):
                assert await client.ask(*query(n)) == b"value"
            assert world.node and world.node.members
            assert len(world.stubs[1].commands) <= 2, "what answers noise is left alone"
            assert world.node.members.fleet.beliefs[b"s-1"].trust < Trust.TOLD

    asyncio.run(scenario())


@pytest.mark.parametrize("pong", [b"+PONG\r\n", b"-ERR not ready\r\n"])
def test_probes_prove_servers_where_the_settings_allow_them(tmp_path: Path, pong: bytes) -> None:
    async def scenario() -> None:
        async with World(reply_with(pong)) as world:
            keep(tmp_path / "k", world, 3600)
            await dark(world, tmp_path / "k").start()
            assert world.node and world.node.members
            assert [b"PING"] not in world.stubs[0].commands, "not allowed"
            world.node.members.may_probe = True
            belief = world.node.members.fleet.beliefs[b"s-0"]
            if pong.startswith(b"+"):
                await until(lambda: belief.trust is Trust.TOLD)
            else:
                await until(lambda: belief.fails >= 2)
                assert belief.trust < Trust.TOLD

    asyncio.run(scenario())


def test_a_disk_that_fails_is_told_once_and_harms_nobody(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            world.options = Options(membership=Membership(path=str(tmp_path / "none" / "k"), write_s=0.02))
            await world.start()
            node = world.node
            assert node and node.members
            await until(lambda: world.discovery.watches)
            world.discovery.push(list_update(9, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.members and node.members.failures >= 2)
            assert await (await world.client()).ask(*query(1)) == b"value"
            (tmp_path / "none").mkdir()
            await until((tmp_path / "none" / "k").exists)

    with caplog.at_level(logging.INFO):
        asyncio.run(scenario())
    told = [r.getMessage() for r in caplog.records if r.name == "hookport.membership"]
    assert sum("no longer kept: [Errno 2]" in line for line in told) == 1 and "the list is kept again" in told


def test_limiters_do_not_ask_a_discovery_that_is_back_as_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await dark(world, tmp_path / "k").start()
            assert world.node
            waits = [world.node.discovery.spread(2.0) for _ in range(50)]
            assert all(1.0 <= wait <= 3.0 for wait in waits) and max(waits) - min(waits) > 1.0

    asyncio.run(scenario())


def test_limiters_tell_one_another_who_drains(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            keep(tmp_path / "k", world, 1)
            await dark(world, tmp_path / "k").start()
            node = world.node
            assert node and node.members
            said: list[bytes] = []
            node.members.door.send_to_peers = lambda peer, payload: said.append(payload)  # type: ignore[method-assign]
            await until(lambda: words.ASK in said)
            node.peer_message_received(1, words.tell([b"s-0"]))
            client = await world.client()
            for n in range(1, 9):
                assert await client.ask(*query(n)) == b"value"
            assert not world.stubs[0].commands
            await until(lambda: world.discovery.watches)
            rows = [instance("s-0", world.stubs[0].port), instance("s-1", world.stubs[1].port)]
            world.discovery.push(list_update(9, *rows, full=True))
            world.discovery.push(list_update(10, instance("s-1", world.stubs[1].port, "DRAINING")))
            await until(lambda: words.tell([b"s-1"]) in said)
            node.members.word_s = 0.0
            said.clear()
            node.peer_message_received(1, words.ASK)
            assert said == [words.tell([b"s-1"])]
            node.peer_message_received(1, words.ASK)
            assert len(said) == 1, "one a second"

    asyncio.run(scenario())


def test_a_list_that_cannot_be_used_is_told_and_the_limiter_starts(tmp_path: Path) -> None:
    """As a process: the log has the reason, the age and the report on SIGUSR1."""

    async def scenario() -> None:
        async with World(serve) as world:
            options = tmp_path / "options.json"
            options.write_text(
                json.dumps({"membership": {"path": str(tmp_path / "{name}.kept"), "fleet": "f"}})
            )
            keep(tmp_path / "n0.kept.old", world, 100)
            (tmp_path / "n0.kept").write_bytes(b"hookport-kept 9 00000000 1\n{")
            world.known = False
            os.environ["HOOKPORT_OPTIONS"] = str(options)
            try:
                await world.spawn(tmp_path)
            finally:
                del os.environ["HOOKPORT_OPTIONS"]
            assert await (await world.client()).ask(*query(1)) == b"value"
            process = world.process
            assert process and process.stderr
            process.send_signal(signal.SIGUSR1)
            text = b""
            while b"trusted=1" not in text:
                text += await within_timeout(process.stderr.readline())
            process.send_signal(signal.SIGTERM)
            assert await within_timeout(process.wait()) == 0

    asyncio.run(scenario())


def test_options_that_cannot_be_used_end_the_start_with_one_line(tmp_path: Path) -> None:
    options = tmp_path / "options.json"
    options.write_text('{"membership": {"path": ""}}')
    with pytest.raises(config.ConfigError, match="membership.path: Expected `str` of length >= 1"):
        config.load_options({"HOOKPORT_OPTIONS": str(options)})


def test_what_is_off_is_not_even_imported() -> None:
    code = "import sys, hookport.__main__; print([m for m in sys.modules if m.split('.')[-1] in "
    code += "('membership', 'options', 'msgspec', 'emulator')])"
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"
