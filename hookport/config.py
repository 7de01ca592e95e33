"""The limiter's configuration: read from a JSON file and the environment, and validated."""

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
    """The configuration is invalid; the message names the setting and the reason."""


@dataclass(slots=True, frozen=True)
class NameIndex:
    """Maps names to their positions in the settings' lists, which the policy uses as indices."""

    classes: dict[bytes, int]
    plans: dict[bytes, int]
    zones: dict[str, int]
    host_types: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
    """The validated configuration of one limiter process."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    memory_limit_bytes: int
    max_sockets: int
    server_idle_timeout_ns: int  # servers close a connection that has been idle this long
    known_list: dict[str, Any]  # the server list to start with, in discovery's JSON form
    names: NameIndex
    settings: api.Settings
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()  # indexed by limiter, including this one
    peers_all: Address | None = None  # an address that reaches all limiters at once
    options: Options | None = None  # None disables all optional features


def parse_address(text: object, setting: str) -> Address:
    """Parse ``host:port``; ``setting`` names the setting in the ConfigError raised for anything else."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{setting} is not an address of the form 127.0.0.1:6379: {text!r:.60}")
    return host, int(port)


def parse_config(document: Any, environ: Mapping[str, str]) -> Config:
    """Validate a decoded configuration; addresses from the environment take precedence.

    Raises ConfigError if a value is missing or invalid."""
    if not isinstance(document, dict) or not isinstance(document.get("settings"), dict):
        raise ConfigError("the configuration must be a JSON object with an object 'settings'")
    raw_settings: dict[str, Any] = document["settings"]
    try:
        settings = wire.read_settings(json.dumps(raw_settings).encode())
        limits = document.get("limits", {})
        return Config(
            name=str(environ.get("PROXY_NAME") or document.get("name") or "hookport"),
            listen=parse_address(environ.get("PROXY_LISTEN") or document.get("listen"), "PROXY_LISTEN"),
            discovery=parse_address(
                environ.get("PROXY_DISCOVERY") or document.get("discovery"), "PROXY_DISCOVERY"
            ),
            counter=parse_address(document["counter"], "counter") if settings.has_counter else None,
            seed=int(str(document.get("seed", "0")), 16),
            memory_limit_bytes=int(float(limits.get("memory_mb", 192)) * (1 << 20)),
            max_sockets=int(limits.get("sockets", 1024)),
            server_idle_timeout_ns=int(raw_settings.get("bounds", {}).get("connIdle", 0)) or 10_000_000_000,
            known_list=document.get("known") or {"generation": 0, "reset": True, "instances": []},
            names=NameIndex(
                {lane["name"].encode(): n for n, lane in enumerate(raw_settings.get("lanes", ()))},
                {tier["name"].encode(): n for n, tier in enumerate(raw_settings.get("tiersOfService", ()))},
                {name: n for n, name in enumerate(raw_settings.get("zones", ()))},
                {name: n for n, name in enumerate(raw_settings.get("hostTypes", ()))},
            ),
            settings=settings,
            options=load_options(environ),
            **peer_addresses(document, settings),
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks the key {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration is invalid: {error}") from error


def load_options(environ: Mapping[str, str]) -> Options | None:
    """Load the optional features' settings, or None if HOOKPORT_OPTIONS is not set.

    The import is local so that the daemon doesn't load msgspec unless the variable is set."""
    path = environ.get("HOOKPORT_OPTIONS")
    if not path:
        return None
    from hookport import options

    try:
        return options.load(path)
    except options.OptionsError as error:
        raise ConfigError(str(error)) from error


def peer_addresses(document: dict[str, Any], settings: api.Settings) -> dict[str, Any]:
    """Read the addresses for datagrams between limiters; empty unless the settings allow them."""
    if not settings.may_message_peers or not document.get("peer_listen"):
        return {}
    peers = tuple(parse_address(peer, f"peers[{n}]") for n, peer in enumerate(document.get("peers", ())))
    for n, peer in enumerate(peers):
        if (first := peers.index(peer)) != n:
            log.warning(
                "peers[%d] has the same address as peers[%d]: its datagrams count as the latter's", n, first
            )
    if len(peers) != settings.limiters:
        raise ConfigError(
            f"peers has {len(peers)} addresses for {settings.limiters} limiters: it must list one for each"
        )
    broadcast = document.get("peers_all")
    return {
        "peer_listen": parse_address(document["peer_listen"], "peer_listen"),
        "peers": peers,
        "peers_all": parse_address(broadcast, "peers_all") if broadcast else None,
    }


def load_config(environ: Mapping[str, str], reloading: bool = False) -> Config:
    """Load the file named by ``PROXY_CONFIG``; on a reload the file's discovery address takes precedence.

    Raises ConfigError if the file cannot be read or is invalid."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it must name the JSON configuration file")
    try:
        with open(path, "rb") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration file {path}: {error}") from error
    if reloading and isinstance(document, dict) and document.get("discovery"):
        # PROXY_DISCOVERY still holds the address from the start and would override the reloaded file.
        environ = {name: value for name, value in environ.items() if name != "PROXY_DISCOVERY"}
    return parse_config(document, environ)
