"""Settings of the optional features: the JSON file named by HOOKPORT_OPTIONS, validated as a whole.

Without a file every optional feature is disabled and its package is not imported. ``hookport options`` prints
the JSON Schema of the file."""

from __future__ import annotations

import argparse
import difflib
import json
import re
import sys
from collections.abc import Sequence
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=1e9)]


class OptionsError(Exception):
    """An options file is invalid; the one-line message names the file, the key and what is allowed."""


class TrustRow(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Trust in a server that was last confirmed age_s seconds ago, until its own answers confirm it."""

    age_s: Seconds
    # Fraction of the list that may be tried at the same time.
    open_part: Annotated[float, Meta(gt=0, le=1)]
    # Successful answers that confirm a server; 0 trusts it like one that discovery lists.
    answers: Annotated[float, Meta(ge=0, le=100)]
    # Whether an unconfirmed server may get requests that are not safe to repeat.
    claims: bool


class Membership(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Start from a server list saved on disk, and keep serving while discovery is unavailable."""

    path: Annotated[str, Meta(min_length=1, max_length=4096)]  # {name} is replaced by the limiter's name
    # Identifies the fleet that the list belongs to; if empty, the address of discovery does.
    fleet: Annotated[str, Meta(max_length=200)] = ""
    write_s: Seconds = 5.0  # minimum time between two writes
    # An unchanged list is written again after this long, so that its recorded age stays correct.
    refresh_s: Seconds = 30.0
    forget_s: Seconds = 14 * 86_400.0  # older information about a server is discarded
    # When discovery comes back, a list that omits more than this fraction of the servers is held in doubt;
    # 0 accepts every list.
    loss_part: Fraction = 0.0
    # How long the servers that such a list omits are kept, for searches only.
    doubt_s: Seconds = 60.0
    trust: tuple[TrustRow, ...] = ()  # in order of age; if empty, the built-in table applies


class LimitUser(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A user of the limit commands, with a secret from a file or an environment variable."""

    name: Annotated[str, Meta(pattern="^[!-~]{1,64}$")]
    secret_file: str = ""
    secret_env: str = ""
    commands: tuple[Literal["take", "peek", "give"], ...] = ("take", "peek", "give")
    customers: tuple[Annotated[str, Meta(pattern="^[0-9a-f]{16}$")], ...] = ()  # if empty, all customers


class Limits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """RESP commands for quotas, and the connection commands that Redis clients send before them."""

    users: tuple[LimitUser, ...] = ()  # if empty, no authentication is required
    keep_s: Seconds = 60.0  # how long a repeated id gets the same answer
    most_ids: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000  # ids remembered, about 400 bytes each
    most_open: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000  # requests pending at the same time


class Options(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The optional features; one that is absent is disabled."""

    membership: Membership | None = None
    limits: Limits | None = None


def load(path: str) -> Options:
    """Read and validate an options file; raises OptionsError."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise OptionsError(f"{path}: cannot be read: {error.strerror}") from error
    return parse(data, path)


def parse(data: bytes, file: str) -> Options:
    """Validate the contents of an options file; raises OptionsError, which names ``file`` and the key."""
    try:
        options = msgspec.json.decode(data, type=Options)
    except msgspec.ValidationError as error:
        raise OptionsError(f"{file}: {describe_error(str(error))}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise OptionsError(f"{file}: not JSON: {error}") from error
    if options.membership and options.membership.trust:
        from hookport.membership.curve import TrustCurve, TrustPoint

        try:
            TrustCurve(
                [TrustPoint(r.age_s, r.open_part, r.answers, r.claims) for r in options.membership.trust]
            )
        except ValueError as error:
            raise OptionsError(f"{file}: membership.trust: {error}") from error
    return options


def describe_error(message: str) -> str:
    """Reword msgspec's message: path of the key first, and the closest known key for an unknown one."""
    problem, _, path = message.partition(" - at `$")
    path = path.rstrip("`").lstrip(".") or "top level"
    if match := re.search(r"unknown field `(.+?)`", problem):
        structs = {
            "membership": Membership,
            "membership.trust": TrustRow,
            "limits": Limits,
            "limits.users": LimitUser,
        }
        struct = structs.get(re.sub(r"\[.*?\]", "", path), Options)
        similar = difflib.get_close_matches(match[1], struct.__struct_fields__, 1)
        return f"{path}: unknown key {match[1]}" + (
            f"; did you mean {similar[0]}?" if similar else "; remove it"
        )
    return f"{path}: {problem}"


def schema() -> dict[str, Any]:
    """The JSON Schema (2020-12) of an options file."""
    return msgspec.json.schema(Options)


def main(arguments: Sequence[str]) -> int:
    """``hookport options``: validate a file or print its JSON Schema; returns the exit status."""
    parser = argparse.ArgumentParser(prog="hookport options", description=main.__doc__)
    parser.add_argument(
        "file", nargs="?", help="the file to validate; if omitted, the JSON Schema is printed"
    )
    args = parser.parse_args(arguments)
    if args.file is None:
        print(json.dumps(schema(), indent=2))
        return 0
    try:
        options = load(args.file)
    except OptionsError as error:
        print(f"hookport: {error}", file=sys.stderr)
        return 2
    print(
        "on: "
        + (", ".join(name for name in options.__struct_fields__ if getattr(options, name)) or "nothing")
    )
    return 0
