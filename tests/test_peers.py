"""Datagrams between limiters on loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys

import pytest
from world import World, serve, settings, until

from hookport import peers
from hookport.config import ConfigError, parse_config
from hookport.node import Node

PROBE = "import sys, hookport.node; print('hookport.peers' in sys.modules)"


def configuration(peer_ports: list[int], own: int, **overrides: object) -> dict[str, object]:
    raw = settings()
    raw.update(selfIndex=own, siblings=len(peer_ports))
    raw["bounds"]["peerMessages"] = True
    addresses = [f"127.0.0.1:{port}" for port in peer_ports]
    base = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "counter": "127.0.0.1:1", "settings": raw}
    return {**base, "peer_listen": addresses[own], "peers": addresses, **overrides}


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def test_only_datagrams_of_other_limiters_within_the_limits_are_received() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        received: list[list[tuple[int, bytes]]] = [[], []]
        ports = free_ports(2)
        addresses = [("127.0.0.1", port) for port in ports]
        both = [
            peers.Peers(
                loop, addresses, None, n, lambda sender, data, n=n: received[n].append((sender, data))
            )  # type: ignore[misc]
            for n in range(2)
        ]
        for n, one in enumerate(both):
            await one.start(addresses[n])
        unlisted = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        unlisted.sendto(b"here", addresses[1])
        both[0].send(None, b"here")
        both[0].send(1, b"you")
        await until(lambda: len(received[1]) == 2)
        assert received == [[], [(0, b"here"), (0, b"you")]]
        with pytest.raises(ValueError, match="256 at most"):
            both[0].send(1, bytes(257))
        both[1].current_second, both[1].received_count = int(loop.time()), peers.MAX_RECEIVED_PER_SECOND
        both[1].datagram_received(b"flood", addresses[0])
        assert len(received[1]) == 2 or both[1].current_second != int(loop.time())
        unlisted.close()
        for one in both:
            one.close()
        both[0].send(1, b"after the end")

    asyncio.run(scenario())


def test_two_nodes_receive_each_others_heartbeats() -> None:
    async def scenario() -> None:
        ports = free_ports(2)
        async with World(serve):
            loop = asyncio.get_running_loop()
            nodes = [Node(parse_config(configuration(ports, own), {}), loop) for own in range(2)]
            for node in nodes:
                await node.start()
            await until(
                lambda: (
                    nodes[1].limiter.partition_detector.message_ns.get(0)
                    and nodes[0].limiter.partition_detector.message_ns.get(1)
                )
            )
            nodes[0].report()
            for node in nodes:
                node.close()

    asyncio.run(scenario())


def test_peer_addresses_that_do_not_match_the_settings_are_reported(caplog: pytest.LogCaptureFixture) -> None:
    twice = parse_config(configuration([5, 5], 0, peers=["127.0.0.1:5", "127.0.0.1:5"]), {})
    assert caplog.messages == [
        "peers[1] has the same address as peers[0]: its datagrams count as the latter's"
    ]
    loop = asyncio.new_event_loop()
    assert peers.Peers(loop, twice.peers, None, 1, lambda *_: None).index_by_address == {("127.0.0.1", 5): 0}
    loop.close()
    with pytest.raises(ConfigError, match="peers has 1 addresses for 2 limiters"):
        raw = configuration([5, 6], 0)
        raw["peers"] = ["127.0.0.1:5"]
        parse_config(raw, {})
    with pytest.raises(ConfigError, match=r"peers\[1\] is not an address"):
        parse_config(configuration([5, 6], 0, peers=["127.0.0.1:5", "nowhere"]), {})
    assert parse_config(configuration([5, 6], 0, peer_listen=None), {}).peers == ()


def test_peers_module_is_not_imported_when_it_is_off() -> None:
    out = subprocess.run([sys.executable, "-c", PROBE], capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "False"
