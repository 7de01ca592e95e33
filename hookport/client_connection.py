"""One client connection: its commands, their replies in order, and what its client has to do next."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from hookport import resp, resp_reader
from hookport.arrival_times import ArrivalTimes
from hookport.input_scheduler import COMMANDS_PER_TURN

if TYPE_CHECKING:
    from hookport.clients import Clients
    from hookport.limits import Session
    from hookport.wait_queue import WaitQueue

log = logging.getLogger("hookport.clients")

SECOND_NS = 1_000_000_000
MAX_ARGUMENTS = 8  # the longest command, HELLO with all its options, has seven
MAX_PIPELINED = 64  # unanswered commands of a connection; the next ones wait
MAX_REJECTED = 16  # invalid commands on a connection that has also sent valid requests
MAX_UNREAD_REPLY_BYTES = 1 << 20  # a client with more unread replies is disconnected
MAX_UNCOUNTED_REPLY_BYTES = 16 * 1024  # written, but not taken by the system; more counts as held memory
REFERENCE_BYTES = 8  # of one element of a list


class PendingReply:
    """One command's reply, or a placeholder for it, in the reply queue of its connection."""

    __slots__ = ("connection", "on_disconnect", "reply")

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.on_disconnect: Callable[[], None] | None = None  # called if the client disconnects first

    def complete(self, reply: bytes) -> None:
        """Set the reply; it is written once all earlier commands of the connection have theirs."""
        self.reply, self.on_disconnect = reply, None
        connection = self.connection
        if not (pending_replies := connection.pending_replies):
            return  # the connection has ended
        if pending_replies[0] is self:
            connection.flush()
        else:
            connection.waiting_reply_bytes += len(reply)
            connection.update_held_bytes()


class Connection(asyncio.BufferedProtocol):
    """One client connection, which carries requests of many customers."""

    __slots__ = (
        "accepted_count", "arrival_times", "clients", "closing", "command_arrival_s", "command_count",
        "handling_commands", "held_bytes", "input_ready", "last_input", "pending_replies", "queue", "reader",
        "reading_behind", "reading_paused", "rejected_count", "session", "transport", "waiting_reply_bytes",
        "withheld_errors", "write_paused",
    )  # fmt: skip

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = resp_reader.Reader(MAX_ARGUMENTS)
        self.arrival_times = ArrivalTimes()
        self.command_arrival_s = 0.0  # of the command that is being handled
        self.pending_replies: deque[PendingReply] = deque()
        self.waiting_reply_bytes = 0  # of replies that wait for those of earlier commands
        self.held_bytes = 0  # of the process's memory for client connections
        self.queue: WaitQueue | None = None  # the queue of what the client has to do next
        self.session: Session | None = None  # set by the limit commands, if the options enable them
        self.reading_paused = False
        self.reading_behind = False  # If True, the client has sent more than may wait.
        self.write_paused = False
        self.handling_commands = False
        self.input_ready = False  # If True, complete commands may wait to be handled.
        self.last_input = False  # If True, no more is read; what was read is answered, then it closes.
        self.closing = False  # If True, no further command is handled.
        # Commands of any kind, valid requests, invalid commands.
        self.command_count, self.accepted_count, self.rejected_count = 0, 0, 0
        self.withheld_errors: list[bytes] = []  # replies that are sent only if a valid request follows

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_UNCOUNTED_REPLY_BYTES)
        self.clients.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.discard()
        self.clients.remove_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.clients.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.clients.receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.reader.feed(data)
        self.arrival_times.add(len(data), self.clients.loop.time())
        self.input_ready = True
        if self.clients.scheduler.take_immediate_turn():
            self.handle_commands(COMMANDS_PER_TURN)
        else:
            self.proceed(False)

    def handle_commands(self, max_commands: int) -> None:
        """Handle up to ``max_commands`` complete commands; queue for another turn if more may be ready."""
        count_before = self.command_count
        self.handling_commands = True
        try:
            while self.may_handle_command() and self.command_count - count_before < max_commands:
                self.handle_next_command()
        except resp_reader.StreamError as error:
            self.close_with_error(str(error))
        finally:
            self.handling_commands = False
        self.proceed(self.command_count > count_before)

    def proceed(self, restart: bool) -> None:
        """Do what comes next after commands were received, handled or answered: close, read on, or wait.

        ``restart`` tells whether the client did something, which restarts its time-out."""
        self.update_held_bytes()
        if self.closing or self.may_end():
            return self.close_when_answered()
        if self.may_handle_command():
            self.clients.scheduler.add(self)
        self.update_reading()
        self.update_queue(restart)

    def may_end(self) -> bool:
        """Whether the connection is to end, and all commands that may still be answered are."""
        if self.pending_replies or self.input_ready:
            return False
        if self.last_input:
            return True
        # Reading may have been paused while commands waited, and the rest of a command may be on its way.
        return self.clients.draining and not self.reader.has_unparsed_data() and not self.has_unread_data()

    def has_unread_data(self) -> bool:
        """Whether the client has sent something that was not read, or has closed the connection."""
        return self.clients.sockets.has_unread_data(self.transport)

    def may_handle_command(self) -> bool:
        """Whether the next command may be handled, if it is complete."""
        return (
            self.input_ready
            and not self.closing
            and not self.write_paused
            and len(self.pending_replies) < MAX_PIPELINED
        )

    def handle_next_command(self) -> None:
        """Handle the next command, or find that it is not complete."""
        if (message := self.reader.gets()) is False:
            self.input_ready = False
            self.arrival_times.forget()
            return
        self.command_arrival_s = self.arrival_times.last_byte_s(self.reader.unparsed_bytes())
        self.input_ready = self.reader.has_unparsed_data()
        self.command_count += 1
        self.handle_command(message)

    def close_with_error(self, reason: str) -> None:
        """Send an error and close the connection of a client that violates the protocol or is too slow.

        The requests that are still unanswered on the connection fail at once."""
        self.clients.close_counts[reason] += 1
        unanswered, self.closing = list(self.pending_replies), True
        self.discard_input()
        self.send_reply(resp.error(reason))
        for pending in unanswered:
            if on_disconnect := pending.on_disconnect:
                pending.complete(resp.error("failed: the connection is closed"))
                on_disconnect()
        self.close_when_answered()

    def command_age_ns(self) -> int:
        """How long ago the command that is being handled arrived."""
        return round((self.clients.loop.time() - self.command_arrival_s) * SECOND_NS)

    def handle_command(self, message: resp_reader.Message) -> None:
        if not isinstance(message, list) or not message or not isinstance(message[0], bytes):
            return self.reject_command("a command is an array of bulk strings")
        verb = message[0].upper()
        if verb in resp.REQUEST_VERBS:
            if self.withheld_errors and self.clients.is_request(message):
                self.send_withheld_errors()
            pending = PendingReply(self)
            self.pending_replies.append(pending)
            try:
                self.clients.on_request(message, pending)
                self.accepted_count += 1
            except resp.CommandError as error:
                self.pending_replies.remove(pending)
                self.reject_command(str(error))
        elif (limit_commands := self.clients.limit_commands) and limit_commands.handle_command(
            self, verb, message
        ):
            pass
        elif verb == b"PING":
            self.send_reply(resp.PONG if len(message) == 1 else resp.error("wrong number of arguments"))
        elif verb in (b"CLIENT", b"SELECT"):
            self.send_reply(resp.OK)
        else:
            self.send_reply(resp.error("unknown command"))

    def reject_command(self, reason: str) -> None:
        """Reply with an error; read no more if the client sent no valid request or too many invalid ones.

        Otherwise a client that sends nothing but invalid commands keeps a descriptor and the CPU busy. What
        was read by then is handled in the connection's turns, and valid requests among it are answered. If
        there are none, the client gets one error."""
        self.rejected_count += 1
        if not self.last_input and (not self.accepted_count or self.rejected_count > MAX_REJECTED):
            self.last_input = True
            self.clients.close_counts[reason] += 1
        if self.accepted_count or self.rejected_count == 1:
            self.send_reply(resp.error(reason))
        else:
            self.withheld_errors.append(resp.error(reason))

    def send_withheld_errors(self) -> None:
        """Reply to the invalid commands before a valid request, so that its answer follows theirs."""
        errors, self.withheld_errors = self.withheld_errors, []
        for error in errors:
            self.send_reply(error)

    def send_reply(self, reply: bytes) -> None:
        """Queue a reply behind those of the earlier commands."""
        pending = PendingReply(self)
        self.pending_replies.append(pending)
        pending.complete(reply)

    def flush(self) -> None:
        """Write the first reply, which is there, and those behind it that no unanswered command precedes."""
        pending_replies = self.pending_replies
        data = pending_replies.popleft().reply or b""
        if pending_replies and pending_replies[0].reply is not None:
            ready = [data]
            while pending_replies and (reply := pending_replies[0].reply) is not None:
                pending_replies.popleft()
                ready.append(reply)
                self.waiting_reply_bytes -= len(reply)
            data = b"".join(ready)
        if self.transport.is_closing():
            return
        self.transport.write(data)
        if self.write_paused and self.transport.get_write_buffer_size() > MAX_UNREAD_REPLY_BYTES:
            log.warning("closing the connection of a client that does not read its replies")
            return self.transport.abort()
        if not self.handling_commands:
            self.proceed(False)

    def update_reading(self) -> None:
        """Pause reading while the client is behind, so that one client cannot fill the memory."""
        max_waiting_bytes = self.clients.memory.max_waiting_bytes()
        too_much_waits = self.input_ready and self.reader.unparsed_bytes() > max_waiting_bytes
        self.reading_behind = self.reading_behind or too_much_waits
        pause = self.closing or self.last_input or self.write_paused or too_much_waits
        if pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            if pause:
                self.transport.pause_reading()
                self.clients.hangup_monitor.add(self)
            else:
                self.clients.hangup_monitor.remove(self)
                self.transport.resume_reading()

    def is_behind(self) -> bool:
        """Whether the client's close may lie behind bytes that were not read, as it has sent too much.

        Nothing should begin for it then.  It has caught up once all that it sent is read."""
        if self.reading_behind and not self.reading_paused and not self.has_unread_data():
            self.reading_behind = False
        return self.reading_behind

    def abandon(self) -> None:
        """Drop the connection at once with all that waits on it."""
        self.discard()
        self.transport.abort()

    def discard(self) -> None:
        """Forget what was received and what waits to be sent, and end the requests without an answer."""
        self.closing, self.write_paused = True, False
        self.discard_input()
        pending_replies, self.pending_replies = self.pending_replies, deque()
        self.waiting_reply_bytes = 0
        for pending in pending_replies:
            if pending.on_disconnect:
                pending.on_disconnect()
        self.update_held_bytes()

    def discard_input(self) -> None:
        """Forget the commands that were received and not handled."""
        self.reader.clear()
        self.withheld_errors.clear()
        self.input_ready = False

    def update_held_bytes(self) -> None:
        """Tell the process's budget how much memory this connection holds."""
        held_bytes = self.reader.held_bytes() + self.waiting_reply_bytes
        if self.withheld_errors:
            held_bytes += REFERENCE_BYTES * len(self.withheld_errors)
        if self.write_paused:
            held_bytes += self.transport.get_write_buffer_size()
        memory = self.clients.memory
        memory.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        # Also without a change: what the last look spared, as a command might have been complete, may go now.
        if memory.held_bytes > memory.limit_bytes:
            self.clients.on_memory_exceeded()

    def give_up_memory(self) -> None:
        """Free what this connection holds, if it is more than a read and the client has to act next."""
        if self.write_paused:
            self.clients.close_counts["memory for unread replies"] += 1
            self.abandon()
        elif self.held_bytes > self.clients.memory.read_bytes and not self.input_ready:
            self.close_with_error("the memory for client connections is used up")

    def pause_writing(self) -> None:
        self.write_paused = True
        self.update_held_bytes()
        self.update_reading()
        self.update_queue(True)

    def resume_writing(self) -> None:
        self.write_paused = False
        self.proceed(True)

    def update_queue(self, restart: bool) -> None:
        """Enter the queue of what the client has to do next; ``restart`` its time-out if it did something."""
        clients, queue = self.clients, None
        if self.write_paused or self.closing:
            queue = clients.unread_replies
        elif self.input_ready:
            queue = None  # the daemon has to do something next, not the client
        elif not self.command_count:
            queue = clients.no_command
        elif self.reader.has_unparsed_data():
            queue = clients.partial_command
        elif not self.pending_replies:
            queue = clients.idle if self.accepted_count else clients.no_request
        if queue is not self.queue or restart:
            self.leave_queue()
            if queue:
                queue.enter(self, clients.loop.time())
            self.queue = queue
            if queue is clients.idle:
                clients.evict_idle()

    def leave_queue(self) -> None:
        if self.queue:
            self.queue.entered_s.pop(self, None)
            self.queue = None

    def close_when_answered(self) -> None:
        """Read no more commands; close once all replies are written."""
        self.closing = True
        if not self.pending_replies:
            self.transport.close()
        else:
            self.update_reading()
        self.update_queue(False)
