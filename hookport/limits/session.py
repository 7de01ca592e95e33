"""What a Redis client says to set up its connection, and the answers it wants to hear.

Commands and answers follow the published command pages: HELLO, AUTH, CLIENT, COMMAND, SELECT, ECHO, PING,
RESET, QUIT. After ``HELLO 3`` answers take the forms of RESP3 (the RESP3 specification), of which maps and
null are used."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hookport import resp

NAME = re.compile(rb"[!-~]{0,64}").fullmatch  # printable, no spaces, as CLIENT SETNAME has it
NOAUTH = b"-NOAUTH Authentication required.\r\n"
WRONGPASS = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO = b"-NOPROTO unsupported protocol version\r\n"
ARGUMENTS = resp.error("wrong number of arguments")
Admit = Callable[[bytes, bytes], bool]  # a user's name and secret


@dataclass(slots=True)
class Session:
    """One connection.  ``user`` is who it has proved to be, None for nobody; ``protocol`` is 2 or 3."""

    number: int
    version: str
    protocol: int = 2
    user: bytes | None = None
    name: bytes = b""
    ending: bool = False  # after QUIT
    wrong: int = 0  # secrets

    def answer(self, verb: bytes, words: Sequence[bytes], admit: Admit) -> bytes | None:
        """The answer to one command, or None if it is not of this kind; ``admit`` checks a secret."""
        do = COMMANDS.get(verb)
        return do(self, words, admit) if do else None

    def hello(self, words: Sequence[bytes], admit: Admit) -> bytes:
        protocol, user, name, at = self.protocol, None, None, 2
        if len(words) > 1:
            if words[1] not in (b"2", b"3"):
                return NOPROTO
            protocol = int(words[1])
        while at < len(words):
            option = words[at].upper()
            if option == b"AUTH" and at + 2 < len(words):
                user = words[at + 1]
                if not admit(user, words[at + 2]):
                    return WRONGPASS
                at += 3
            elif option == b"SETNAME" and at + 1 < len(words) and NAME(words[at + 1]):
                name = words[at + 1]
                at += 2
            else:
                return resp.error("Syntax error in HELLO option")
        self.protocol, self.user = protocol, user if user is not None else self.user
        self.name = self.name if name is None else name
        return self.map(
            (b"server", resp.bulk(b"hookport")),
            (b"version", resp.bulk(self.version.encode())),
            (b"proto", b":%d\r\n" % self.protocol),
            (b"id", b":%d\r\n" % self.number),
            (b"mode", resp.bulk(b"standalone")),
            (b"role", resp.bulk(b"master")),
            (b"modules", b"*0\r\n"),
        )

    def map(self, *pairs: tuple[bytes, bytes]) -> bytes:
        """A map: its own form in RESP3, a flat array in RESP2."""
        head = b"%%%d\r\n" % len(pairs) if self.protocol == 3 else b"*%d\r\n" % (2 * len(pairs))
        return head + b"".join(resp.bulk(key) + value for key, value in pairs)

    @property
    def null(self) -> bytes:
        return b"_\r\n" if self.protocol == 3 else b"$-1\r\n"

    def auth(self, words: Sequence[bytes], admit: Admit) -> bytes:
        if len(words) not in (2, 3):
            return ARGUMENTS
        user = words[1] if len(words) == 3 else b"default"
        if not admit(user, words[-1]):
            return WRONGPASS
        self.user = user
        return resp.OK

    def client(self, words: Sequence[bytes], admit: Admit) -> bytes:
        what = words[1].upper() if len(words) > 1 else b""
        if what == b"ID" and len(words) == 2:
            return b":%d\r\n" % self.number
        if what == b"GETNAME" and len(words) == 2:
            return resp.bulk(self.name) if self.name else self.null
        if what == b"SETNAME" and len(words) == 3:
            if not NAME(words[2]):
                return resp.error("Client names cannot contain spaces, newlines or special characters.")
            self.name = words[2]
            return resp.OK
        if what == b"SETINFO" and len(words) == 4:
            if words[2].upper() not in (b"LIB-NAME", b"LIB-VER"):
                return resp.error("Unrecognized option")
            return resp.OK
        if (
            what in (b"NO-EVICT", b"NO-TOUCH", b"REPLY")
            and len(words) == 3
            and words[2].upper() in (b"ON", b"OFF")
        ):
            return resp.OK if what != b"REPLY" or words[2].upper() == b"ON" else resp.error("not supported")
        return resp.error("unknown subcommand of CLIENT")

    def command(self, words: Sequence[bytes], admit: Admit) -> bytes:
        what = words[1].upper() if len(words) > 1 else b""
        if what == b"COUNT":
            return b":0\r\n"
        if what == b"DOCS":
            return self.map()
        return b"*0\r\n"

    def ping(self, words: Sequence[bytes], admit: Admit) -> bytes:
        return resp.PONG if len(words) == 1 else resp.bulk(words[1]) if len(words) == 2 else ARGUMENTS

    def echo(self, words: Sequence[bytes], admit: Admit) -> bytes:
        return resp.bulk(words[1]) if len(words) == 2 else ARGUMENTS

    def select(self, words: Sequence[bytes], admit: Admit) -> bytes:
        if len(words) != 2:
            return ARGUMENTS
        return resp.OK if words[1] == b"0" else resp.error("DB index is out of range")

    def reset(self, words: Sequence[bytes], admit: Admit) -> bytes:
        self.protocol, self.user, self.name = 2, None, b""
        return b"+RESET\r\n"

    def quit(self, words: Sequence[bytes], admit: Admit) -> bytes:
        self.ending = True
        return resp.OK


COMMANDS: dict[bytes, Callable[[Session, Sequence[bytes], Admit], bytes]] = {
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
