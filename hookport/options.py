"""The daemon's own settings: JSON in the file that HOOKPORT_OPTIONS names, checked in full before any of it
counts.

No file, and all is off: what is off is not even imported.  ``hookport options`` prints the JSON Schema."""

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

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=1e9)]


class OptionsError(Exception):
    """A file of options that cannot be used: file, key and what would do, in one line."""


class TrustRow(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a server gets that was last vouched for this long ago, until it has proved itself."""

    age_s: Seconds
    open_part: Annotated[float, Meta(gt=0, le=1)]  # of the list that is tried at one time
    answers: Annotated[float, Meta(ge=0, le=100)]  # good ones that prove a server; 0 trusts it as if told
    claims: bool  # whether it gets requests that are not safe to repeat before that


class Membership(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Starting from a kept list of servers, and going on without discovery."""

    path: Annotated[str, Meta(min_length=1, max_length=4096)]  # {name} stands for the limiter's name
    fleet: Annotated[str, Meta(max_length=200)] = ""  # whose list it is; empty: the address of discovery
    write_s: Seconds = 5.0  # between two writes at least
    refresh_s: Seconds = (
        30.0  # an unchanged list is written again after this long, so that its age stays true
    )
    forget_s: Seconds = 14 * 86_400.0  # an older word is of no use
    loss_part: Share = (
        0.0  # of the servers that a list may lack at once after discovery was away; 0 believes all
    )
    doubt_s: Seconds = 60.0  # for which such a list is doubted
    trust: tuple[TrustRow, ...] = ()  # by age; empty takes the built-in table


class LimitUser(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who may use limit commands, with a secret that comes from a file or the environment."""

    name: Annotated[str, Meta(pattern="^[!-~]{1,64}$")]
    secret_file: str = ""
    secret_env: str = ""
    commands: tuple[Literal["take", "peek", "give"], ...] = ("take", "peek", "give")
    customers: tuple[Annotated[str, Meta(pattern="^[0-9a-f]{16}$")], ...] = ()  # empty: all


class Limits(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """RESP commands for limits, and what ordinary Redis clients say before they use them."""

    users: tuple[LimitUser, ...] = ()  # empty: whoever connects
    keep_s: Seconds = 60.0  # for which the same id gets the same answer
    most_ids: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000  # remembered; some 400 bytes each
    most_open: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000  # questions held at one time


class Options(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All of it; what is absent is off."""

    membership: Membership | None = None
    limits: Limits | None = None


def load(path: str) -> Options:
    """Read and check a file; raises OptionsError."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise OptionsError(f"{path}: cannot be read: {error.strerror}") from error
    return parse(data, path)


def parse(data: bytes, file: str) -> Options:
    """Check the text of a file; raises OptionsError that names the file, the key and what would do."""
    try:
        options = msgspec.json.decode(data, type=Options)
    except msgspec.ValidationError as error:
        raise OptionsError(f"{file}: {explain(str(error))}") from error
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


def explain(text: str) -> str:
    """msgspec's message with the place first and, where a key is unknown, the one that was meant."""
    what, _, place = text.partition(" - at `$")
    place = place.rstrip("`").lstrip(".") or "the options"
    if found := re.search(r"unknown field `(.+?)`", what):
        kinds = {
            "membership": Membership,
            "membership.trust": TrustRow,
            "limits": Limits,
            "limits.users": LimitUser,
        }
        kind = kinds.get(re.sub(r"\[.*?\]", "", place), Options)
        close = difflib.get_close_matches(found[1], kind.__struct_fields__, 1)
        return f"{place}: unknown key {found[1]}" + (
            f"; did you mean {close[0]}?" if close else "; take it out"
        )
    return f"{place}: {what}"


def schema() -> dict[str, Any]:
    """The JSON Schema (2020-12) of a file of options."""
    return msgspec.json.schema(Options)


def main(arguments: Sequence[str]) -> int:
    """``hookport options``: check a file, or print the schema; returns the exit status."""
    parser = argparse.ArgumentParser(prog="hookport options", description=main.__doc__)
    parser.add_argument("file", nargs="?", help="check this file; without one the JSON Schema is printed")
    told = parser.parse_args(arguments)
    if told.file is None:
        print(json.dumps(schema(), indent=2))
        return 0
    try:
        options = load(told.file)
    except OptionsError as error:
        print(f"hookport: {error}", file=sys.stderr)
        return 2
    print(
        "on: "
        + (", ".join(name for name in options.__struct_fields__ if getattr(options, name)) or "nothing")
    )
    return 0
