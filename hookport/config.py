"""What a limiter is told at its start: environment and JSON configuration, checked."""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aniseshed import interface as api
from aniseshed import wire

if TYPE_CHECKING:
    from hookport.options import Options

log = logging.getLogger("hookport.config")

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; the text says why."""


@dataclass(slots=True, frozen=True)
class Names:
    """Positions in the settings' lists, by name."""

    classes: dict[bytes, int]
    plans: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    memory_bytes: int
    sockets: int
    idle_ns: int  # for which a server keeps an idle connection
    known: dict[str, Any]
    names: Names
    settings: api.Settings
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()  # by index, this limiter's own among them
    peers_all: Address | None = None
    options: Options | None = None  # None: all that they switch on is off


def address(text: object, what: str) -> Address:
    """An IP address and a port as ``host:port``."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{what} is not an address like 127.0.0.1:6379: {text!r:.60}")
    return host, int(port)


def read(told: Any, environ: Mapping[str, str]) -> Config:
    """Check a parsed configuration; the environment's addresses win."""
    if not isinstance(told, dict) or not isinstance(told.get("settings"), dict):
        raise ConfigError("the configuration is not a JSON object with an object 'settings'")
    raw: dict[str, Any] = told["settings"]
    try:
        settings = wire.read_settings(json.dumps(raw).encode())
        limits = told.get("limits", {})
        return Config(
            name=str(environ.get("PROXY_NAME") or told.get("name") or "hookport"),
            listen=address(environ.get("PROXY_LISTEN") or told.get("listen"), "PROXY_LISTEN"),
            discovery=address(environ.get("PROXY_DISCOVERY") or told.get("discovery"), "PROXY_DISCOVERY"),
            counter=address(told["counter"], "counter") if settings.has_counter else None,
            seed=int(str(told.get("seed", "0")), 16),
            memory_bytes=int(float(limits.get("memory_mb", 192)) * (1 << 20)),
            sockets=int(limits.get("sockets", 1024)),
            idle_ns=int(raw.get("bounds", {}).get("connIdle", 0)) or 10_000_000_000,
            known=told.get("known") or {"generation": 0, "reset": True, "instances": []},
            names=Names(
                {lane["name"].encode(): n for n, lane in enumerate(raw.get("lanes", ()))},
                {tier["name"].encode(): n for n, tier in enumerate(raw.get("tiersOfService", ()))},
                {name: n for n, name in enumerate(raw.get("zones", ()))},
                {name: n for n, name in enumerate(raw.get("hostTypes", ()))},
            ),
            settings=settings,
            options=read_options(environ),
            **peer_addresses(told, settings),
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration cannot be used: {error}") from error


def read_options(environ: Mapping[str, str]) -> Options | None:
    """The daemon's own settings; without HOOKPORT_OPTIONS nothing of them is even imported."""
    path = environ.get("HOOKPORT_OPTIONS")
    if not path:
        return None
    from hookport import options

    try:
        return options.load(path)
    except options.OptionsError as error:
        raise ConfigError(str(error)) from error


def peer_addresses(told: dict[str, Any], settings: api.Settings) -> dict[str, Any]:
    """Where limiters send one another datagrams; nothing unless the settings allow it."""
    if not settings.may_message_peers or not told.get("peer_listen"):
        return {}
    peers = tuple(address(peer, f"peers[{n}]") for n, peer in enumerate(told.get("peers", ())))
    for n, peer in enumerate(peers):
        if (first := peers.index(peer)) != n:
            log.warning("peers[%d] is the address of peers[%d]: the first is used", n, first)
    if len(peers) != settings.limiters:
        raise ConfigError(f"peers has {len(peers)} addresses for {settings.limiters} limiters: one for each")
    everyone = told.get("peers_all")
    return {
        "peer_listen": address(told["peer_listen"], "peer_listen"),
        "peers": peers,
        "peers_all": address(everyone, "peers_all") if everyone else None,
    }


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read the file that ``PROXY_CONFIG`` names; when it is read again, its addresses win."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the JSON configuration")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration {path}: {error}") from error
    if again and isinstance(told, dict) and told.get("discovery"):
        # Guards against a new file that changes nothing: the environment still tells the first address.
        environ = {name: value for name, value in environ.items() if name != "PROXY_DISCOVERY"}
    return read(told, environ)
