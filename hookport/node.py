"""The daemon's core: passes events to the policy, performs its actions, and tracks the open requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from aniseshed import interface as api
from aniseshed.policy import Limiter
from hookport import resp
from hookport.client_connection import PendingReply
from hookport.clients import Clients
from hookport.config import Address, Config
from hookport.counter import Call, Counter
from hookport.discovery import Discovery
from hookport.servers import Attempt, Servers
from hookport.socket_inspector import SocketInspector, SystemSocketInspector

if TYPE_CHECKING:
    from hookport.limits import LimitCommands
    from hookport.membership import MembershipManager
    from hookport.peers import Peers

log = logging.getLogger("hookport.node")

MS_NS = 1_000_000
SECOND_NS = 1_000_000_000
# A request ends this long before its client stops waiting: enough for the reply to be written and to arrive.
REPLY_MARGIN_MS = 25
# Share of the descriptors for client connections. Clients with requests use a third of all descriptors, and
# as many connections may be open without a request.
CLIENT_CONNECTION_SHARE = 0.62
RESERVED_SOCKETS = 32  # for the loop, discovery, the counter and sockets that are being closed
# SIGKILL may follow SIGTERM after this time, or after the longest deadline if that is shorter, plus 0.7 s.
KILL_AFTER_NS = 3 * SECOND_NS
KILL_GRACE_S = 0.4  # the part of those 0.7 s that is used; the rest is for the replies to arrive
# Shares of the memory limit: open requests with their arguments, and what client connections hold besides.
MAX_BODY_SHARE = 0.25
CLIENT_MEMORY_SHARE = 0.3
OPEN_REQUEST_BYTES = 2048  # of an open request without its arguments


class OpenRequest:
    """A client's request that has not been answered yet."""

    __slots__ = (
        "pending_reply",
        "attempt_count",
        "command",
        "deadline_timer",
        "deadline_ns",
        "request_id",
        "size_bytes",
    )

    def __init__(
        self, request_id: int, command: resp.Command, pending_reply: PendingReply, deadline_ns: int
    ) -> None:
        self.request_id, self.command, self.pending_reply = request_id, command, pending_reply
        self.deadline_ns, self.attempt_count = deadline_ns, 0
        self.size_bytes = OPEN_REQUEST_BYTES + sum(map(len, command.arguments))
        self.deadline_timer: asyncio.TimerHandle | None = None


class Node:
    """Connects the limiter, which takes all decisions, to sockets and timers."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
        sockets: SocketInspector | None = None,
    ) -> None:
        """``clock_ns`` must be monotonic; ``unix_ns`` is read once; ``sockets`` looks at those of transports.
        All three and the loop can be replaced, as in a simulation."""
        settings, sockets = config.settings, sockets or SystemSocketInspector()
        self.config, self.settings, self.loop = config, settings, loop
        # Counter keys and the servers' start times are based on Unix time, which must not jump: a monotonic
        # clock with a fixed offset.
        self.monotonic_ns = clock_ns
        self.unix_offset_ns = unix_ns() - clock_ns()
        self.max_deadline_ns = max(
            (traffic_class.deadline_ns for traffic_class in settings.classes), default=0
        )
        self.limiter = Limiter(settings, config.seed)
        self.request_parser = resp.RequestParser(config.names, settings)
        self.events: deque[api.Event] = deque()
        self.processing_events = False
        self.stop_timer: asyncio.TimerHandle | None = None
        self.refuses_requests = False  # If True, a server could not answer before a SIGKILL.
        self.open_requests: dict[int, OpenRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.last_request_id, self.open_request_bytes = 0, 0
        self.client_ids: tuple[set[bytes], set[bytes]] = (set(), set())  # recent ids: newer, older
        self.client_ids_since_ns = 0
        max_connections = max(16, config.max_sockets - RESERVED_SOCKETS)
        connect_timeout_s = (settings.connect_timeout_ns or SECOND_NS) / SECOND_NS
        self.clients = Clients(
            loop,
            self.handle_request,
            self.request_parser.accepts,
            round(max_connections * CLIENT_CONNECTION_SHARE),
            sockets,
            int(CLIENT_MEMORY_SHARE * config.memory_limit_bytes),
        )
        max_server_connections = max_connections - self.clients.max_connections
        server_idle_timeout_s = config.server_idle_timeout_ns / SECOND_NS
        self.servers = Servers(
            loop,
            self.attempt_ended,
            connect_timeout_s,
            server_idle_timeout_s,
            max_server_connections,
            sockets,
            self.now_ns,
        )
        self.members = self.create_membership() if config.options and config.options.membership else None
        resubscribe, members = not settings.subscribe, self.members
        on_list = members.receive_list if members else self.apply_server_list
        membership_callbacks = (members.watch_active, members.jittered_wait_s) if members else ()
        self.discovery = Discovery(
            loop,
            config.discovery,
            config.names,
            on_list,
            connect_timeout_s,
            resubscribe,
            *membership_callbacks,
        )
        if members:
            members.discovery = self.discovery
        self.counter: Counter | None = None
        if config.counter:
            counter_timeout_s = settings.counter_timeout_ns / SECOND_NS
            self.counter = Counter(
                loop, config.counter, counter_timeout_s, connect_timeout_s, self.counter_call_ended
            )
        self.peers: Peers | None = None
        if config.peer_listen:
            from hookport.peers import Peers  # imported only if peers are configured

            self.peers = Peers(
                loop, config.peers, config.peers_all, settings.index, self.peer_message_received
            )
        self.limit_commands = (
            self.create_limit_commands() if config.options and config.options.limits else None
        )
        self.clients.limit_commands = self.limit_commands
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.QuotaAnswer: self.answer_quota,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.SetTimer: self.set_timer,
            api.Count: self.count,
            api.Tell: self.tell,
            api.Watch: lambda action: self.discovery.subscribe(action.active),
            api.Log: lambda action: log.info("%s", action.text),
        }

    def create_limit_commands(self) -> LimitCommands:
        """Create the handler of the limit commands, which the options must enable."""
        from hookport import __version__
        from hookport.limits import LimitCommands, Users  # imported only if enabled

        assert self.config.options and self.config.options.limits
        options = self.config.options.limits
        return LimitCommands(
            self.loop, options, self.request_parser, self.settings, self, __version__, Users(options.users)
        )

    def create_membership(self) -> MembershipManager:
        """Create the manager that checks the server list between discovery and the limiter."""
        from hookport.membership import MembershipManager  # imported only if enabled

        config, settings = self.config, self.settings
        assert config.options and config.options.membership
        fleet = "{}:{}".format(*config.discovery)
        return MembershipManager(
            self.loop, config.options.membership, config.name, config.names, fleet, settings.index,
            settings.limiters, self, self.now_ns, settings.may_probe, config.seed,
        )  # fmt: skip

    async def start(self) -> None:
        if self.peers and self.config.peer_listen:
            await self.peers.start(self.config.peer_listen)
        self.discovery.start(self.config.known_list, full_list=self.members is not None)
        if self.counter:
            self.counter.connect()
        host, port = await self.clients.listen(self.config.listen)
        log.info("%s serves on %s:%d", self.config.name, host, port)

    def close(self) -> None:
        if self.stop_timer:
            self.stop_timer.cancel()
        self.clients.close()
        self.discovery.close()
        if self.members:
            self.members.close()
        self.servers.close()
        if self.counter:
            self.counter.close()
        if self.peers:
            self.peers.close()

    def report(self) -> None:
        """Log the counter's state with the bound on quota overrun, and the trust in servers (on SIGUSR1)."""
        log.info("%s", self.limiter.report().to_log_line())
        if self.members:
            log.info("%s", self.members.status_line())

    def reconfigure(self, config: Config) -> None:
        """Apply the new addresses of discovery and the counter (on SIGHUP); open requests continue.

        Everything else takes effect only at a restart."""
        if self.members and config.discovery != self.discovery.address:
            self.members.change_discovery("{}:{}".format(*config.discovery))
        self.discovery.change_address(config.discovery)
        if self.counter and config.counter:
            self.counter.change_address(config.counter)
        if config.settings != self.settings or config.listen != self.config.listen:
            log.warning("only the addresses of discovery and the counter change without a restart")

    def shut_down(self) -> None:
        """Stop on SIGTERM: serve late connections, and answer all requests before a SIGKILL may follow."""
        if self.stop_timer is None:
            wait_s = min(self.max_deadline_ns, KILL_AFTER_NS) / SECOND_NS + KILL_GRACE_S
            self.stop_timer = self.loop.call_later(wait_s, self.answer_all)
            if self.members:
                self.members.save()
            self.clients.shut_down()

    def answer_all(self) -> None:
        """Answer all open requests, including those whose deadline is after the possible SIGKILL.

        Requests that waited behind them on their connections are refused from now on."""
        self.refuses_requests = True
        for request_id in list(self.open_requests):
            if request_id in self.open_requests:
                self.request_expired(request_id)
        if self.limit_commands:
            self.limit_commands.expire_all()

    def now_ns(self) -> int:
        return self.monotonic_ns() + self.unix_offset_ns

    def feed(self, event: api.Event) -> None:
        """Pass an event to the limiter and perform the actions; events that they cause are queued."""
        self.events.append(event)
        if self.processing_events:
            return
        self.processing_events = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.limiter.handle(self.now_ns(), event):
                        self.action_handlers[type(action)](action)
                except Exception:
                    # A fault in one event must not stop the others: log it and fail its request.
                    log.exception("the limiter failed on %s", type(event).__name__)
                    request_id = getattr(event, "request_id", None)
                    if request_id in self.open_requests:
                        self.answer(request_id, resp.error("internal error"))
                        self.events.append(api.HungUp(request_id))  # the limiter may still track it
        finally:
            self.processing_events = False

    # From clients

    def handle_request(self, arguments: Sequence[object], pending_reply: PendingReply) -> None:
        command = self.request_parser.parse(arguments)
        self.register_client_id(command.request_id)
        fields = command.fields
        memory_full = (
            self.open_request_bytes > MAX_BODY_SHARE * self.config.memory_limit_bytes
            or self.clients.memory.is_exceeded()
        )
        too_many = len(self.open_requests) >= (self.settings.max_pending or 20_000)
        deadline_ns = self.settings.classes[fields.class_index].deadline_ns
        timeout_ns = min(max(1, command.wait_ms - REPLY_MARGIN_MS) * MS_NS, deadline_ns)
        timeout_ns -= pending_reply.connection.command_age_ns()
        refused = self.refuses_requests or memory_full or too_many or timeout_ns <= 0
        if refused or pending_reply.connection.is_behind():
            return pending_reply.complete(resp.busy(self.settings.max_retry_after_ns))
        request_id = self.new_id()
        now_ns = self.now_ns()
        request = OpenRequest(request_id, command, pending_reply, now_ns + timeout_ns)
        self.open_requests[request_id] = request
        self.open_request_bytes += request.size_bytes
        request.deadline_timer = self.loop.call_later(
            timeout_ns / SECOND_NS, self.request_expired, request_id
        )
        pending_reply.on_disconnect = lambda: self.client_disconnected(request_id)
        self.feed(command.to_event(request_id, timeout_ns))

    def new_id(self) -> int:
        self.last_request_id = (self.last_request_id + 1) & 0xFFFFFFFF
        return self.last_request_id

    def register_client_id(self, client_id: bytes) -> None:
        """Reject an id that is open or was used recently: its request could be executed twice.

        Clients use a new id for each try. The ids are kept in two sets that rotate after the longest
        deadline, so the id of an open request is never dropped."""
        now_ns = self.monotonic_ns()
        if now_ns - self.client_ids_since_ns > self.max_deadline_ns:
            self.client_ids, self.client_ids_since_ns = (set(), self.client_ids[0]), now_ns
        if client_id in self.client_ids[0] or client_id in self.client_ids[1]:
            raise resp.CommandError("the id is in use")
        self.client_ids[0].add(client_id)

    def remove_request(self, request_id: int) -> OpenRequest | None:
        request = self.open_requests.pop(request_id, None)
        if request:
            self.open_request_bytes -= request.size_bytes
            if request.deadline_timer:
                request.deadline_timer.cancel()
        return request

    def answer(self, request_id: int, reply: bytes) -> None:
        if request := self.remove_request(request_id):
            request.pending_reply.complete(reply)

    def client_disconnected(self, request_id: int) -> None:
        if request := self.remove_request(request_id):
            self.feed(api.HungUp(request_id))
            self.release_attempts(request)

    def release_attempts(self, request: OpenRequest) -> None:
        """End what the limiter did not cancel for a client that has gone, as the settings may forbid it.

        Nothing more begins for the request, and an attempt at a server that hangs ends at its deadline."""
        for number in range(request.attempt_count):
            if not (attempt := self.attempts.get((request.request_id, number))):
                continue
            self.servers.abort_unwritten(attempt)
            if attempt.is_written() and attempt.deadline_timer is None:
                wait_s = (request.deadline_ns - self.now_ns()) / SECOND_NS
                attempt.deadline_timer = self.loop.call_later(
                    wait_s, self.servers.abort_attempt, attempt, api.Outcome.TIMEOUT
                )

    def request_expired(self, request_id: int) -> None:
        """At the deadline, end the attempts as timed out; the limiter then gives the final answer."""
        request = self.open_requests[request_id]
        for number in range(request.attempt_count):
            if attempt := self.attempts.get((request_id, number)):
                self.servers.abort_attempt(attempt, api.Outcome.TIMEOUT)
        if request_id in self.open_requests:
            log.warning("the limiter left a request unanswered at its deadline")
            self.answer(request_id, resp.error("timed out"))
            self.feed(api.HungUp(request_id))

    # Attempts

    def send(self, action: api.Send) -> None:
        request = self.open_requests[action.request_id]
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        now_ns = self.now_ns()
        deadline_ns = min(action.deadline_ns or request.deadline_ns, request.deadline_ns)
        attempt = Attempt(
            action.request_id, number, action.server, request.command, now_ns, deadline_ns, action.write_by_ns
        )
        self.attempts[action.request_id, number] = attempt
        if deadline_ns < request.deadline_ns:
            wait_s = (deadline_ns - now_ns) / SECOND_NS
            attempt.deadline_timer = self.loop.call_later(
                wait_s, self.servers.abort_attempt, attempt, api.Outcome.TIMEOUT
            )
        if attempt.write_by_ns < deadline_ns:
            wait_s = (attempt.write_by_ns - now_ns) / SECOND_NS
            attempt.write_timer = self.loop.call_later(wait_s, self.servers.abort_unwritten, attempt)
        self.servers.send(attempt)

    def cancel(self, action: api.Cancel) -> None:
        if attempt := self.attempts.get((action.request_id, action.attempt)):
            self.servers.abort_attempt(attempt, api.Outcome.CANCELLED)

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, value: bytes) -> None:
        request_id = attempt.request_id
        del self.attempts[request_id, attempt.number]
        if outcome is api.Outcome.OK:
            self.answer(request_id, resp.bulk(value))
        self.feed(
            api.AttemptEnded(
                request_id=request_id,
                attempt=attempt.number,
                server=attempt.server,
                outcome=outcome,
                elapsed_ns=self.now_ns() - attempt.sent_ns,
                concluded=request_id not in self.open_requests,
                meter=0,
                settled_units=0,
                report=(),
            )
        )
        if self.members:
            self.members.record_outcome(attempt.server, outcome)

    # Other actions and events

    def refuse(self, action: api.Refuse) -> None:
        if self.limit_commands and self.limit_commands.on_refused(action.request_id, action.retry_after_ns):
            return
        self.answer(action.request_id, resp.busy(action.retry_after_ns))

    def answer_quota(self, action: api.QuotaAnswer) -> None:
        if self.limit_commands:
            self.limit_commands.on_quota_answer(action)

    def fail(self, action: api.Fail) -> None:
        self.answer(action.request_id, resp.error("failed"))

    def set_timer(self, action: api.SetTimer) -> None:
        # The loop's timers have millisecond resolution; rounding up keeps them from firing early.
        wait_s = -(-action.delay_ns // MS_NS) / 1000
        self.loop.call_later(wait_s, self.feed, api.TimerFired(action.token))

    def count(self, action: api.Count) -> None:
        if self.counter is None:
            return self.feed(api.Counted(action.key, api.Outcome.CONNECT_FAILED, 0.0, 0, action.call_id))
        self.counter.call(action.key, action.amount, action.lifetime_ns, action.call_id)

    def counter_call_ended(self, call: Call, outcome: api.Outcome, total: float) -> None:
        elapsed_ns = int((self.loop.time() - call.sent_s) * SECOND_NS)
        self.feed(api.Counted(call.key, outcome, total, elapsed_ns, call.call_id))

    def tell(self, action: api.Tell) -> None:
        self.send_to_peers(action.peer, action.payload)

    def send_to_peers(self, peer: int | None, payload: bytes) -> None:
        if self.peers:
            self.peers.send(peer, payload)

    def probe(self, server: bytes, on_result: Callable[[bool], None]) -> None:
        self.servers.probe(server, on_result)

    def peer_message_received(self, sender: int, payload: bytes) -> None:
        if self.members and payload.startswith(b"F"):  # a message of the membership manager
            return self.members.receive_message(payload)
        self.feed(api.PeerMessage(sender, payload))

    def apply_server_list(self, server_list: api.ServerList, addresses: dict[bytes, Address]) -> None:
        if server_list.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for server in [s for s in self.servers.endpoints if s not in addresses]:
                self.servers.remove_server(server)
        server_list = self.without_replaced_servers(server_list, addresses)
        for entry in server_list.entries:
            if entry.health is not api.Health.GONE:
                self.servers.update_server(entry.server, addresses[entry.server], entry.started_ns)
        self.feed(server_list)
        for entry in server_list.entries:
            if entry.health is api.Health.GONE:
                self.servers.remove_server(entry.server)
            elif entry.health is api.Health.DRAINING:
                self.servers.stop_sending(entry.server)
        self.servers.abort_outdated()

    def without_replaced_servers(
        self, server_list: api.ServerList, addresses: dict[bytes, Address]
    ) -> api.ServerList:
        """Mark servers as gone whose address is another's: of two, the one that started last is there."""
        listed = {entry.server: entry for entry in server_list.entries}
        for entry in server_list.entries:
            if entry.health is not api.Health.READY:
                continue
            if other := self.ready_server_at(addresses[entry.server], listed):
                replaced, present = sorted((other, entry), key=lambda server: server.started_ns)
                log.warning(
                    "%s is used no more: %s is at its address",
                    replaced.server.decode(),
                    present.server.decode(),
                )
                listed[replaced.server] = replace(replaced, health=api.Health.GONE)
        return replace(server_list, entries=tuple(listed.values()))

    def ready_server_at(
        self, address: Address, listed: dict[bytes, api.ServerEntry]
    ) -> api.ServerEntry | None:
        """The server that was ready at an address before a list, unless the list names it."""
        holder = self.servers.server_at.get(address)
        known = None if holder is None or holder in listed else self.limiter.servers.get(holder)
        return known.entry if known and known.entry.health is api.Health.READY else None
