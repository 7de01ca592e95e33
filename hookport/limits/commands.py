"""The limit commands on the daemon's connections.

    LIMIT.TAKE CUSTOMER ID LIST    takes the units now, once for each id
    LIMIT.PEEK CUSTOMER ID LIST    what a take would come to; takes nothing
    LIMIT.GIVE ID                  gives back what was taken under an id and not used, once

``LIST`` is that of a forwarded request (``c=search,t=standard,units=2,spread=3,first=1``); ``d`` may be left
out.  Take and peek are answered by three integers: 1 or 0, the units that are left, and after how many
milliseconds to come back. Give is answered 1, or 0 if there was nothing to give back.

A take is a request to the module that ends in a verdict where another one ends at a server, so both draw from
one bucket, slice, counter and hold."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from aniseshed import interface as api
from hookport import resp
from hookport.clients import Connection, PendingReply
from hookport.limits.ledger import Key, Ledger, TakeRecord
from hookport.limits.session import NOAUTH, Session
from hookport.limits.users import Users
from hookport.options import Limits

MS, SECOND = 1_000_000, 1_000_000_000
SPARE_S = 0.1  # after the time of a question, before it is taken for forgotten
MOST_WRONG = 8  # secrets on one connection
NOPERM = b"-NOPERM this user may not use this command, or not for this customer\r\n"
TAKE, PEEK, GIVE = b"LIMIT.TAKE", b"LIMIT.PEEK", b"LIMIT.GIVE"
NAMES = {TAKE: "take", PEEK: "peek", GIVE: "give"}


class Door(Protocol):
    """What the daemon offers."""

    def now_ns(self) -> int: ...
    def new_id(self) -> int: ...
    def feed(self, event: api.Event) -> None: ...


@dataclass(slots=True)
class Pending:
    """A question that the module holds, and who waits for its answer."""

    units: float
    key: Key | None  # None: a peek, which nobody remembers
    taken: TakeRecord | None
    answers: list[PendingReply] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None


class LimitCommands:
    """The commands of all connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: Limits,
        grammar: resp.RequestParser,
        settings: api.Settings,
        door: Door,
        version: str,
        users: Users,
    ) -> None:
        self.loop, self.options, self.grammar, self.settings, self.door = (
            loop,
            options,
            grammar,
            settings,
            door,
        )
        self.version, self.users = version, users
        self.ledger = Ledger(round(options.keep_s * SECOND), options.most_ids)
        self.pending: dict[int, Pending] = {}
        self.numbers = itertools.count(1)

    def handle_command(self, connection: Connection, verb: bytes, words: Sequence[object]) -> bool:
        """PendingReply a command; False if it is none of these."""
        session = connection.session
        if session is None:
            session = connection.session = Session(next(self.numbers), self.version)
        texts = [word for word in words if isinstance(word, bytes)]
        if len(texts) != len(words):
            return False
        if verb in NAMES:
            try:
                self.limit(connection, session, verb, texts)
            except resp.CommandError as error:
                connection.reject_command(str(error))
            return True
        reply = session.answer(verb, texts, self.users.admit)
        if reply is None:
            return False
        if reply.startswith(b"-WRONGPASS"):
            session.wrong += 1
            if session.wrong > MOST_WRONG:
                connection.close_with_error("too many wrong secrets")
                return True
        connection.send_reply(reply)
        if session.ending:
            connection.close_when_answered()
        return True

    def limit(self, connection: Connection, session: Session, verb: bytes, words: Sequence[bytes]) -> None:
        if self.users.users and session.user is None:
            return connection.send_reply(NOAUTH)
        if verb == GIVE:
            return self.give(connection, session, words)
        command = self.grammar.parse_limit_request(words)
        if not self.users.may(session.user, NAMES[verb], command.customer):
            return connection.send_reply(NOPERM)
        connection.accepted_count += 1
        fields, key = command.fields, (session.user, command.request_id)
        now_ns, about = self.door.now_ns(), (command.customer, fields)
        if verb == TAKE and (known := self.ledger.find(now_ns, key)):
            return self.repeat(connection, known, about)
        if len(self.pending) >= self.options.most_open:
            return connection.send_reply(self.refusal(self.settings.max_retry_after_ns))
        pending = Pending(fields.units, None, None)
        if verb == TAKE:
            pending.key, pending.taken = key, self.ledger.open(now_ns, key, about, command.customer)
        answer = PendingReply(connection)
        connection.pending_replies.append(answer)
        pending.answers.append(answer)
        deadline_ns = self.settings.classes[fields.class_index].deadline_ns
        patience_ns = min(command.wait_ms * MS or deadline_ns, deadline_ns)
        request_id = self.door.new_id()
        self.pending[request_id] = pending
        ask = api.RequestMode.TAKE if verb == TAKE else api.RequestMode.PEEK
        self.door.feed(command.to_event(request_id, patience_ns, ask))
        if request_id in self.pending:
            # Guards against a question that nobody ever answers.
            pending.timer = self.loop.call_later(patience_ns / SECOND + SPARE_S, self.expire, request_id)

    def repeat(self, connection: Connection, known: TakeRecord, about: tuple[object, ...]) -> None:
        """The same id again: the same answer, when there is one."""
        if known.about != about:
            raise resp.CommandError("the id stands for another question")
        if known.answer is not None:
            return connection.send_reply(known.answer)
        waiting = next((p for p in self.pending.values() if p.taken is known), None)
        if waiting is None:
            return connection.send_reply(self.refusal(0))
        answer = PendingReply(connection)
        connection.pending_replies.append(answer)
        waiting.answers.append(answer)

    def give(self, connection: Connection, session: Session, words: Sequence[bytes]) -> None:
        if len(words) != 2:
            raise resp.CommandError("wrong number of arguments")
        now_ns, key = self.door.now_ns(), (session.user, words[1])
        known = self.ledger.find(now_ns, key)
        if not self.users.may(session.user, "give", known.customer if known else None):
            return connection.send_reply(NOPERM)
        connection.accepted_count += 1
        taken = self.ledger.give_back(now_ns, key)
        if taken:
            self.door.feed(api.UnitsReturned(taken.customer, taken.units))
        connection.send_reply(b":1\r\n" if taken else b":0\r\n")

    # From the module

    def on_quota_answer(self, action: api.QuotaAnswer) -> None:
        """What the module said to a question."""
        if pending := self.forget(action.request_id):
            wait_ms = -(-action.wait_ns // MS)
            if pending.taken and action.allowed:
                pending.taken.units = pending.units
            self.answer(
                pending,
                b"*3\r\n:%d\r\n:%d\r\n:%d\r\n" % (action.allowed, int(action.remaining_units), wait_ms),
            )

    def on_refused(self, request_id: int, wait_ns: int) -> bool:
        """A refusal of the module; False if the request is none of these."""
        pending = self.forget(request_id)
        if pending:
            self.answer(pending, self.refusal(wait_ns))
        return pending is not None

    @staticmethod
    def refusal(wait_ns: int) -> bytes:
        return b"*3\r\n:0\r\n:0\r\n:%d\r\n" % -(-wait_ns // MS)

    def forget(self, request_id: int) -> Pending | None:
        pending = self.pending.pop(request_id, None)
        if pending and pending.timer:
            pending.timer.cancel()
        return pending

    def answer(self, pending: Pending, reply: bytes) -> None:
        if pending.taken:
            pending.taken.answer = reply
        for answer in pending.answers:
            answer.complete(reply)

    def expire(self, request_id: int) -> None:
        """No answer of the module in time: nothing was taken, and the id is free."""
        if pending := self.forget(request_id):
            if pending.key:
                self.ledger.drop(pending.key)
                pending.taken = None
            self.answer(pending, resp.error("timed out"))
            self.door.feed(api.HungUp(request_id))

    def expire_all(self) -> None:
        """Before the process may be killed: each question gets its answer."""
        for request_id in list(self.pending):
            self.expire(request_id)
