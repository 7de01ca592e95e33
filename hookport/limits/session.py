"""Connection state and the connection commands that Redis clients send before any other command.

HELLO, AUTH, CLIENT, COMMAND, SELECT, ECHO, PING, RESET and QUIT reply as documented for Redis. After
``HELLO 3`` replies are encoded in RESP3, of which maps and null are used."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hookport import resp

VALID_NAME = re.compile(rb"[!-~]{0,64}").fullmatch  # printable and without spaces, as in CLIENT SETNAME
NOAUTH = b"-NOAUTH Authentication required.\r\n"
WRONGPASS = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO = b"-NOPROTO unsupported protocol version\r\n"
WRONG_ARGUMENT_COUNT = resp.error("wrong number of arguments")
Authenticate = Callable[[bytes, bytes], bool]  # checks a user's name and secret


@dataclass(slots=True)
class Session:
    """State of one connection: ``user`` is None until authenticated, ``protocol`` is the RESP version."""

    connection_id: int
    version: str
    protocol: int = 2
    user: bytes | None = None
    name: bytes = b""
    closing: bool = False  # whether QUIT was received
    failed_auths: int = 0

    def reply_to(self, verb: bytes, args: Sequence[bytes], authenticate: Authenticate) -> bytes | None:
        """Return the reply to one command, or None if it is not a connection command."""
        handler = HANDLERS.get(verb)
        return handler(self, args, authenticate) if handler else None

    def hello(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        protocol, user, name, position = self.protocol, None, None, 2
        if len(args) > 1:
            if args[1] not in (b"2", b"3"):
                return NOPROTO
            protocol = int(args[1])
        while position < len(args):
            option = args[position].upper()
            if option == b"AUTH" and position + 2 < len(args):
                user = args[position + 1]
                if not authenticate(user, args[position + 2]):
                    return WRONGPASS
                position += 3
            elif option == b"SETNAME" and position + 1 < len(args) and VALID_NAME(args[position + 1]):
                name = args[position + 1]
                position += 2
            else:
                return resp.error("Syntax error in HELLO option")
        self.protocol, self.user = protocol, user if user is not None else self.user
        self.name = self.name if name is None else name
        return self.encode_map(
            (b"server", resp.bulk(b"hookport")),
            (b"version", resp.bulk(self.version.encode())),
            (b"proto", b":%d\r\n" % self.protocol),
            (b"id", b":%d\r\n" % self.connection_id),
            (b"mode", resp.bulk(b"standalone")),
            (b"role", resp.bulk(b"master")),
            (b"modules", b"*0\r\n"),
        )

    def encode_map(self, *pairs: tuple[bytes, bytes]) -> bytes:
        """Encode a map: a RESP3 map, or in RESP2 a flat array of keys and values."""
        header = b"%%%d\r\n" % len(pairs) if self.protocol == 3 else b"*%d\r\n" % (2 * len(pairs))
        return header + b"".join(resp.bulk(key) + value for key, value in pairs)

    @property
    def null(self) -> bytes:
        return b"_\r\n" if self.protocol == 3 else b"$-1\r\n"

    def auth(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        if len(args) not in (2, 3):
            return WRONG_ARGUMENT_COUNT
        user = args[1] if len(args) == 3 else b"default"
        if not authenticate(user, args[-1]):
            return WRONGPASS
        self.user = user
        return resp.OK

    def client(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        subcommand = args[1].upper() if len(args) > 1 else b""
        if subcommand == b"ID" and len(args) == 2:
            return b":%d\r\n" % self.connection_id
        if subcommand == b"GETNAME" and len(args) == 2:
            return resp.bulk(self.name) if self.name else self.null
        if subcommand == b"SETNAME" and len(args) == 3:
            if not VALID_NAME(args[2]):
                return resp.error("Client names cannot contain spaces, newlines or special characters.")
            self.name = args[2]
            return resp.OK
        if subcommand == b"SETINFO" and len(args) == 4:
            if args[2].upper() not in (b"LIB-NAME", b"LIB-VER"):
                return resp.error("Unrecognized option")
            return resp.OK
        if (
            subcommand in (b"NO-EVICT", b"NO-TOUCH", b"REPLY")
            and len(args) == 3
            and args[2].upper() in (b"ON", b"OFF")
        ):
            return (
                resp.OK if subcommand != b"REPLY" or args[2].upper() == b"ON" else resp.error("not supported")
            )
        return resp.error("unknown subcommand of CLIENT")

    def command(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        subcommand = args[1].upper() if len(args) > 1 else b""
        if subcommand == b"COUNT":
            return b":0\r\n"
        if subcommand == b"DOCS":
            return self.encode_map()
        return b"*0\r\n"

    def ping(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        return resp.PONG if len(args) == 1 else resp.bulk(args[1]) if len(args) == 2 else WRONG_ARGUMENT_COUNT

    def echo(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        return resp.bulk(args[1]) if len(args) == 2 else WRONG_ARGUMENT_COUNT

    def select(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        if len(args) != 2:
            return WRONG_ARGUMENT_COUNT
        return resp.OK if args[1] == b"0" else resp.error("DB index is out of range")

    def reset(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        self.protocol, self.user, self.name = 2, None, b""
        return b"+RESET\r\n"

    def quit(self, args: Sequence[bytes], authenticate: Authenticate) -> bytes:
        self.closing = True
        return resp.OK


HANDLERS: dict[bytes, Callable[[Session, Sequence[bytes], Authenticate], bytes]] = {
    b"HELLO": Session.hello,
    b"AUTH": Session.auth,
    b"CLIENT": Session.client,
    b"COMMAND": Session.command,
    b"PING": Session.ping,
    b"ECHO": Session.echo,
    b"SELECT": Session.select,
    b"RESET": Session.reset,
    b"QUIT": Session.quit,
}
