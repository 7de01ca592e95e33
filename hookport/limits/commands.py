"""The limit commands on the daemon's connections.

    LIMIT.TAKE CUSTOMER ID LIST    takes units from the quota, once for each id
    LIMIT.PEEK CUSTOMER ID LIST    reports what a take would do, without taking anything
    LIMIT.GIVE ID                  returns the unused units that were taken under an id, once

``LIST`` is that of a forwarded request (``c=search,t=standard,units=2,spread=3,first=1``), where ``d`` is
optional. TAKE and PEEK reply with three integers: 1 or 0 (allowed or not), the units that remain, and the
milliseconds to wait before the next attempt. GIVE replies with 1, or with 0 if there was nothing to return.

The policy handles a take like a forwarded request, except that it ends in a quota answer instead of at a
server. Both therefore draw from the same token bucket, slice and counter, and wait in the same way."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from aniseshed import interface as api
from hookport import resp
from hookport.client_connection import Connection, PendingReply
from hookport.limits.ledger import Key, Ledger, TakeRecord
from hookport.limits.session import NOAUTH, Session
from hookport.limits.users import Users
from hookport.options import Limits

MS_NS, SECOND_NS = 1_000_000, 1_000_000_000
EXPIRY_MARGIN_S = 0.1  # added to the timeout of a request, so that the policy normally answers first
MAX_FAILED_AUTHS = 8  # on one connection
NOPERM = b"-NOPERM this user may not use this command, or not for this customer\r\n"
TAKE, PEEK, GIVE = b"LIMIT.TAKE", b"LIMIT.PEEK", b"LIMIT.GIVE"
PERMISSIONS = {TAKE: "take", PEEK: "peek", GIVE: "give"}


class Daemon(Protocol):
    """The part of the daemon that limit commands use."""

    refuses_requests: bool

    def now_ns(self) -> int: ...
    def new_id(self) -> int: ...
    def feed(self, event: api.Event) -> None: ...


@dataclass(slots=True)
class PendingCommand:
    """A request that the policy has yet to answer, and the replies that wait for it."""

    units: float
    key: Key | None  # None for a peek, which is not recorded
    record: TakeRecord | None
    replies: list[PendingReply] = field(default_factory=list)
    expiry_timer: asyncio.TimerHandle | None = None


class LimitCommands:
    """Runs the limit and connection commands of all connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: Limits,
        parser: resp.RequestParser,
        settings: api.Settings,
        daemon: Daemon,
        version: str,
        users: Users,
    ) -> None:
        self.loop, self.options, self.parser, self.settings, self.daemon = (
            loop,
            options,
            parser,
            settings,
            daemon,
        )
        self.version, self.users = version, users
        self.ledger = Ledger(round(options.keep_s * SECOND_NS), options.most_ids)
        self.pending: dict[int, PendingCommand] = {}
        self.connection_ids = itertools.count(1)

    def handle_command(self, connection: Connection, verb: bytes, arguments: Sequence[object]) -> bool:
        """Reply to a limit or connection command; returns False for any other command."""
        session = connection.session
        if session is None:
            session = connection.session = Session(next(self.connection_ids), self.version)
        args = [argument for argument in arguments if isinstance(argument, bytes)]
        if len(args) != len(arguments):
            return False
        if verb in PERMISSIONS:
            try:
                self.handle_limit_command(connection, session, verb, args)
            except resp.CommandError as error:
                connection.reject_command(str(error))
            return True
        reply = session.reply_to(verb, args, self.users.authenticate)
        if reply is None:
            return False
        if reply.startswith(b"-WRONGPASS"):
            session.failed_auths += 1
            if session.failed_auths > MAX_FAILED_AUTHS:
                connection.close_with_error("too many wrong secrets")
                return True
        connection.send_reply(reply)
        if session.closing:
            connection.close_when_answered()
        return True

    def handle_limit_command(
        self, connection: Connection, session: Session, verb: bytes, args: Sequence[bytes]
    ) -> None:
        if self.users.users and session.user is None:
            return connection.send_reply(NOAUTH)
        if verb == GIVE:
            return self.handle_give(connection, session, args)
        command = self.parser.parse_limit_request(args)
        if not self.users.is_allowed(session.user, PERMISSIONS[verb], command.customer):
            return connection.send_reply(NOPERM)
        connection.accepted_count += 1
        fields, key = command.fields, (session.user, command.request_id)
        now_ns, parameters = self.daemon.now_ns(), (command.customer, fields)
        if verb == TAKE and (record := self.ledger.find(now_ns, key)):
            return self.handle_repeat(connection, record, parameters)
        deadline_ns = self.settings.classes[fields.class_index].deadline_ns
        timeout_ns = min(command.wait_ms * MS_NS or deadline_ns, deadline_ns) - connection.command_age_ns()
        too_many = len(self.pending) >= self.options.most_open
        if self.daemon.refuses_requests or too_many or timeout_ns <= 0:
            return connection.send_reply(self.encode_refusal(self.settings.max_retry_after_ns))
        pending = PendingCommand(fields.units, None, None)
        if verb == TAKE:
            pending.key, pending.record = key, self.ledger.add(now_ns, key, parameters, command.customer)
        pending_reply = PendingReply(connection)
        connection.pending_replies.append(pending_reply)
        pending.replies.append(pending_reply)
        request_id = self.daemon.new_id()
        self.pending[request_id] = pending
        mode = api.RequestMode.TAKE if verb == TAKE else api.RequestMode.PEEK
        self.daemon.feed(command.to_event(request_id, timeout_ns, mode))
        if request_id in self.pending:
            # Without a timer, a request that the policy never answers would stay pending forever.
            pending.expiry_timer = self.loop.call_later(
                timeout_ns / SECOND_NS + EXPIRY_MARGIN_S, self.expire, request_id
            )

    def handle_repeat(
        self, connection: Connection, record: TakeRecord, parameters: tuple[object, ...]
    ) -> None:
        """Reply to a repeated id with the reply of the first request, once there is one."""
        if record.parameters != parameters:
            raise resp.CommandError("the id stands for another question")
        if record.reply is not None:
            return connection.send_reply(record.reply)
        pending = next((p for p in self.pending.values() if p.record is record), None)
        if pending is None:
            return connection.send_reply(self.encode_refusal(0))
        pending_reply = PendingReply(connection)
        connection.pending_replies.append(pending_reply)
        pending.replies.append(pending_reply)

    def handle_give(self, connection: Connection, session: Session, args: Sequence[bytes]) -> None:
        if len(args) != 2:
            raise resp.CommandError("wrong number of arguments")
        now_ns, key = self.daemon.now_ns(), (session.user, args[1])
        record = self.ledger.find(now_ns, key)
        if not self.users.is_allowed(session.user, "give", record.customer if record else None):
            return connection.send_reply(NOPERM)
        connection.accepted_count += 1
        returned = self.ledger.mark_given_back(now_ns, key)
        if returned:
            self.daemon.feed(api.UnitsReturned(returned.customer, returned.units))
        connection.send_reply(b":1\r\n" if returned else b":0\r\n")

    # Results from the policy

    def on_quota_answer(self, action: api.QuotaAnswer) -> None:
        """Reply to a request that the policy allowed or denied."""
        if pending := self.remove(action.request_id):
            wait_ms = -(-action.wait_ns // MS_NS)
            if pending.record and action.allowed:
                pending.record.units = pending.units
            self.complete(
                pending,
                b"*3\r\n:%d\r\n:%d\r\n:%d\r\n" % (action.allowed, int(action.remaining_units), wait_ms),
            )

    def on_refused(self, request_id: int, wait_ns: int) -> bool:
        """Reply to a request that the policy refused; returns False if it is not a limit request."""
        pending = self.remove(request_id)
        if pending:
            self.complete(pending, self.encode_refusal(wait_ns))
        return pending is not None

    @staticmethod
    def encode_refusal(wait_ns: int) -> bytes:
        return b"*3\r\n:0\r\n:0\r\n:%d\r\n" % -(-wait_ns // MS_NS)

    def remove(self, request_id: int) -> PendingCommand | None:
        pending = self.pending.pop(request_id, None)
        if pending and pending.expiry_timer:
            pending.expiry_timer.cancel()
        return pending

    def complete(self, pending: PendingCommand, reply: bytes) -> None:
        if pending.record:
            pending.record.reply = reply
        for pending_reply in pending.replies:
            pending_reply.complete(reply)

    def expire(self, request_id: int) -> None:
        """Time out a request that the policy didn't answer; nothing is taken and its id can be used again."""
        if pending := self.remove(request_id):
            if pending.key:
                self.ledger.remove(pending.key)
                pending.record = None
            self.complete(pending, resp.error("timed out"))
            self.daemon.feed(api.HungUp(request_id))

    def expire_all(self) -> None:
        """Time out all pending requests, so that each gets its reply before the process may be killed."""
        for request_id in list(self.pending):
            self.expire(request_id)
