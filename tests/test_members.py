"""The daemon with a saved server list: it serves without discovery, follows discovery once it is back, and
logs both."""

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
from hookport.config import NameIndex
from hookport.membership import messages, snapshot_codec
from hookport.membership.fleet import ListSource, Snapshot, SnapshotEntry
from hookport.options import Membership, Options

SECOND = 1_000_000_000
NAMES = NameIndex({}, {}, {"a": 0}, {"m": 0})


def save_snapshot(
    path: Path, world: World, age_s: float, draining: tuple[int, ...] = (), generation: int = 5
) -> None:
    """Write a snapshot of the world's servers that was saved ``age_s`` ago."""
    saved_ns = time.time_ns() - round(age_s * SECOND)
    servers = tuple(
        SnapshotEntry(
            ServerEntry(b"s-%d" % n, 0, 0, 0, Health.DRAINING if n in draining else Health.READY, 1.0, 0),
            ("127.0.0.1", stub.port), generation, saved_ns, saved_ns,
        )
        for n, stub in enumerate(world.stubs)
    )  # fmt: skip
    path.write_bytes(snapshot_codec.encode(Snapshot("f", generation, saved_ns, servers, {}), NAMES))


def use_snapshot(world: World, path: Path, **more: float) -> World:
    """Configure a world with a snapshot file and without a list in the configuration."""
    world.known = False
    world.options = Options(membership=Membership(path=str(path), fleet="f", write_s=0.05, **more))
    return world


def test_a_limiter_without_discovery_serves_from_its_snapshot_and_avoids_draining_servers(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with World(serve, serve, serve) as world:
            save_snapshot(tmp_path / "k", world, 3600, draining=(1,))
            await use_snapshot(world, tmp_path / "k").start()
            node, client = world.node, await world.client()
            assert node and node.members and node.members.fleet.source is ListSource.SNAPSHOT
            reply = await client.ask(*submit(1))
            assert str(reply).startswith("BUSY"), "a claim went to an unproved server of an old list"
            for n in range(2, 12):
                assert await client.ask(*query(n)) == b"value"
            assert await client.ask(*submit(20)) == b"value", "the servers have proved themselves"
            assert not world.stubs[1].commands
            assert "source=kept" in node.members.status_line() and "draining=1" in node.members.status_line()

    asyncio.run(scenario())


def test_discovery_that_returns_replaces_the_snapshot_and_missing_servers_get_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            save_snapshot(tmp_path / "k", world, 1)
            await use_snapshot(world, tmp_path / "k").start()
            node, client = world.node, await world.client()
            assert node and node.members
            for n in (1, 2):
                client.send(*query(n))
            assert [await client.answer(), await client.answer()] == [b"value"] * 2
            assert all(stub.commands for stub in world.stubs)
            await until(lambda: world.discovery.watches)
            assert b"index=0" in world.discovery.requests[0], (
                "the watch must ask for the full list, since missed changes are unknown"
            )
            world.discovery.push(list_update(9, instance("s-0", world.stubs[0].port), full=True))
            await until(lambda: node.members and node.members.fleet.live)
            before = len(world.stubs[1].commands)
            for n in range(11, 31):
                assert await client.ask(*query(n)) == b"value"
            assert len(world.stubs[1].commands) == before
            assert not world.stubs[0].closed, "connections to servers that discovery lists stay open"
            path = tmp_path / "k"
            await until(lambda: snapshot_codec.decode(path.read_bytes(), NAMES).generation == 9)
            saved = snapshot_codec.decode(path.read_bytes(), NAMES)
            assert [e.entry.server for e in saved.servers] == [b"s-0"] and set(saved.tombstones) == {b"s-1"}
            fleet = node.members.fleet
            world.discovery.watches[-1].transport.abort()
            await until(lambda: fleet.source is ListSource.LOST_DISCOVERY)
            await until(lambda: len(world.discovery.watches) > 1)
            world.discovery.push(b"")
            # An empty line from discovery means that nothing has changed.
            await until(lambda: fleet.source is ListSource.LIVE_DISCOVERY)

    asyncio.run(scenario())


def test_a_change_of_discovery_while_none_answers_keeps_serving_and_brings_back_no_drained_server(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            save_snapshot(tmp_path / "k", world, 1, draining=(1,))
            await use_snapshot(world, tmp_path / "k").start()
            node, new_discovery = world.node, await Discovery().start()
            assert node and node.members
            configuration = {**world.configuration(), "discovery": f"127.0.0.1:{new_discovery.port}"}
            node.reconfigure(replace(config.parse_config(configuration, {}), options=world.options))
            await until(lambda: new_discovery.watches)
            client = await world.client()
            assert await client.ask(*query(1)) == b"value"
            new_discovery.push(
                list_update(900, *(instance(f"s-{n}", s.port) for n, s in enumerate(world.stubs)), full=True)
            )
            await until(lambda: node.members and node.members.fleet.live)
            for n in range(2, 12):
                assert await client.ask(*query(n)) == b"value"
            assert not world.stubs[1].commands, (
                "a generation of another discovery brought back a drained server"
            )
            new_discovery.server.close()
            new_discovery.watches[-1].transport.abort()

    asyncio.run(scenario())


def test_a_server_that_never_answers_and_one_of_another_protocol_do_not_block_requests(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with World(serve, reply_with(b"220 mail ready\r\n"), never_reply) as world:
            save_snapshot(tmp_path / "k", world, 86_400)
            await use_snapshot(world, tmp_path / "k").start()
            client = await world.client()
            for n in range(1, 21):
                assert await client.ask(*query(n)) == b"value"
            assert world.node and world.node.members
            assert len(world.stubs[1].commands) <= 2, (
                "a server that answers in another protocol still gets attempts"
            )
            assert world.node.members.fleet.servers[b"s-1"].trust < Trust.TOLD

    asyncio.run(scenario())


@pytest.mark.parametrize("pong", [b"+PONG\r\n", b"-ERR not ready\r\n"])
def test_probes_prove_servers_only_if_the_settings_permit_them(tmp_path: Path, pong: bytes) -> None:
    async def scenario() -> None:
        async with World(reply_with(pong)) as world:
            save_snapshot(tmp_path / "k", world, 3600)
            await use_snapshot(world, tmp_path / "k").start()
            assert world.node and world.node.members
            assert [b"PING"] not in world.stubs[0].commands, "probed without permission"
            world.node.members.may_probe = True
            record = world.node.members.fleet.servers[b"s-0"]
            if pong.startswith(b"+"):
                await until(lambda: record.trust is Trust.TOLD)
            else:
                await until(lambda: record.failures >= 2)
                assert record.trust < Trust.TOLD

    asyncio.run(scenario())


def test_saves_that_fail_are_logged_once_and_requests_are_served(
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
            await until(lambda: node.members and node.members.save_failures >= 2)
            assert await (await world.client()).ask(*query(1)) == b"value"
            (tmp_path / "none").mkdir()
            await until((tmp_path / "none" / "k").exists)

    with caplog.at_level(logging.INFO):
        asyncio.run(scenario())
    lines = [r.getMessage() for r in caplog.records if r.name == "hookport.membership"]
    assert (
        sum("the server list cannot be saved: [Errno 2]" in line for line in lines) == 1
        and "the server list is saved again" in lines
    )


def test_waits_between_connections_to_discovery_are_jittered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve) as world:
            await use_snapshot(world, tmp_path / "k").start()
            assert world.node
            waits = [world.node.discovery.jitter(2.0) for _ in range(50)]
            assert all(1.0 <= wait <= 3.0 for wait in waits) and max(waits) - min(waits) > 1.0

    asyncio.run(scenario())


def test_limiters_report_draining_servers_to_each_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(serve, serve) as world:
            save_snapshot(tmp_path / "k", world, 1)
            await use_snapshot(world, tmp_path / "k").start()
            node = world.node
            assert node and node.members
            sent: list[bytes] = []
            node.members.daemon.send_to_peers = lambda peer, payload: sent.append(payload)  # type: ignore[method-assign]
            await until(lambda: messages.QUERY in sent)
            node.peer_message_received(1, messages.encode_report([b"s-0"]))
            client = await world.client()
            for n in range(1, 9):
                assert await client.ask(*query(n)) == b"value"
            assert not world.stubs[0].commands
            await until(lambda: world.discovery.watches)
            rows = [instance("s-0", world.stubs[0].port), instance("s-1", world.stubs[1].port)]
            world.discovery.push(list_update(9, *rows, full=True))
            world.discovery.push(list_update(10, instance("s-1", world.stubs[1].port, "DRAINING")))
            await until(lambda: messages.encode_report([b"s-1"]) in sent)
            node.members.last_report_s = 0.0
            sent.clear()
            node.peer_message_received(1, messages.QUERY)
            assert sent == [messages.encode_report([b"s-1"])]
            node.peer_message_received(1, messages.QUERY)
            assert len(sent) == 1, "more than one report per second"

    asyncio.run(scenario())


def test_a_limiter_starts_from_the_previous_snapshot_if_the_current_one_is_invalid(tmp_path: Path) -> None:
    """Run as a process, which writes the trust report to its log on SIGUSR1."""

    async def scenario() -> None:
        async with World(serve) as world:
            options = tmp_path / "options.json"
            options.write_text(
                json.dumps({"membership": {"path": str(tmp_path / "{name}.kept"), "fleet": "f"}})
            )
            save_snapshot(tmp_path / "n0.kept.old", world, 100)
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


def test_invalid_options_raise_an_error_that_names_the_key(tmp_path: Path) -> None:
    options = tmp_path / "options.json"
    options.write_text('{"membership": {"path": ""}}')
    with pytest.raises(config.ConfigError, match="membership.path: Expected `str` of length >= 1"):
        config.load_options({"HOOKPORT_OPTIONS": str(options)})


def test_modules_of_disabled_options_are_not_imported() -> None:
    code = "import sys, hookport.__main__, hookport.daemon; "
    code += "print([m for m in sys.modules if m.split('.')[-1] in ("
    code += "'membership', 'options', 'msgspec', 'emulator')])"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"
