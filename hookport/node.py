"""The loop: facts in, ``Limiter.handle``, actions out; timers and the table of open requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from aniseshed import interface as api
from aniseshed.policy import Limiter
from hookport import resp
from hookport.clients import Clients, PendingReply
from hookport.config import Address, Config
from hookport.counter import Call, Counter
from hookport.discovery import Discovery
from hookport.servers import Attempt, Servers, unread

if TYPE_CHECKING:
    from hookport.limits import LimitCommands
    from hookport.membership import MembershipManager
    from hookport.peers import Peers

log = logging.getLogger("hookport.node")

MS = 1_000_000
SECOND = 1_000_000_000
MARGIN_MS = 25  # before a client's time runs out: enough for its last answer to be written and arrive
CLIENTS_PART = 0.62  # of the descriptors: they hold a third in use, and as many may come for nothing
SPARE_SOCKETS = 32  # for the loop, discovery, the counter and what is just closing
KILL_AFTER_NS = 3 * SECOND  # after SIGTERM, or the longest deadline if that is shorter, SIGKILL may come
KILL_GRACE_S = 0.4  # of the 0.7 s more that are granted then: the rest is for the answers to arrive
BODY_PART = 0.25  # of the memory at most for the bodies of open requests


class Open:
    """A request that is owed an answer."""

    __slots__ = ("pending_reply", "attempts", "command", "deadline_timer", "ends_ns", "request_id", "size")

    def __init__(self, request_id: int, command: resp.Command, answer: PendingReply, ends_ns: int) -> None:
        self.request_id, self.command, self.pending_reply = request_id, command, answer
        self.ends_ns, self.attempts = ends_ns, 0
        self.size = sum(map(len, command.arguments))
        self.deadline_timer: asyncio.TimerHandle | None = None


class Node:
    """Joins the module to the sockets; it decides nothing."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        clock_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
        unread: Callable[[asyncio.Transport], bool] = unread,
    ) -> None:
        """``clock_ns`` never goes back, ``unix_ns`` is read once; ``unread`` tells whether a connection that
        rests has something to read.  All three and the loop are handed in: a test may bring its own."""
        settings = config.settings
        self.config, self.settings, self.loop = config, settings, loop
        # The limiters name counts by the clock and servers' starts are Unix times: Unix time, but steady.
        self.monotonic_ns = clock_ns
        self.clock_ns = unix_ns() - clock_ns()
        self.longest_ns = max((kind.deadline_ns for kind in settings.classes), default=0)
        self.limiter = Limiter(settings, config.seed)
        self.grammar = resp.RequestParser(config.names, settings)
        self.events: deque[api.Event] = deque()
        self.busy = False
        self.stopping: asyncio.TimerHandle | None = None
        self.open_requests: dict[int, Open] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.next_id, self.held_bytes = 0, 0
        self.ids: tuple[set[bytes], set[bytes]] = (set(), set())  # of clients: newer and older
        self.ids_since_ns = 0
        most = max(16, config.max_sockets - SPARE_SOCKETS)
        connect_s = (settings.connect_timeout_ns or SECOND) / SECOND
        self.clients = Clients(loop, self.handle_request, round(most * CLIENTS_PART))
        for_servers = most - self.clients.most
        idle_s = config.server_idle_timeout_ns / SECOND
        self.servers = Servers(loop, self.attempt_ended, connect_s, idle_s, for_servers, unread)
        self.members = self.believe() if config.options and config.options.membership else None
        follow, members = not settings.subscribe, self.members
        told = members.receive_list if members else self.apply_server_list
        more = (members.watch_active, members.jittered_wait_s) if members else ()
        self.discovery = Discovery(loop, config.discovery, config.names, told, connect_s, follow, *more)
        if members:
            members.discovery = self.discovery
        self.counter: Counter | None = None
        if config.counter:
            wait_s = settings.counter_timeout_ns / SECOND
            self.counter = Counter(loop, config.counter, wait_s, connect_s, self.counted)
        self.peers: Peers | None = None
        if config.peer_listen:
            from hookport.peers import Peers  # only here: without peers it costs nothing

            self.peers = Peers(
                loop, config.peers, config.peers_all, settings.index, self.peer_message_received
            )
        self.limit_commands = self.take_asks() if config.options and config.options.limits else None
        self.clients.front = self.limit_commands
        self.doers: dict[type, Callable[[Any], None]] = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.QuotaAnswer: self.verdict,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.SetTimer: self.set_timer,
            api.Count: self.count,
            api.Tell: self.tell,
            api.Watch: lambda action: self.discovery.subscribe(action.active),
            api.Log: lambda action: log.info("%s", action.text),
        }

    def take_asks(self) -> LimitCommands:
        """Limit commands, where the options switch them on."""
        from hookport import __version__
        from hookport.limits import LimitCommands, Users  # only here: off, it costs nothing

        assert self.config.options and self.config.options.limits
        options = self.config.options.limits
        return LimitCommands(
            self.loop, options, self.grammar, self.settings, self, __version__, Users(options.users)
        )

    def believe(self) -> MembershipManager:
        """What stands between discovery and the module, where the options switch it on."""
        from hookport.membership import MembershipManager  # only here: off, it costs nothing

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
        if self.stopping:
            self.stopping.cancel()
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
        """SIGUSR1: the state of the counter, since when, and the bound on the overrun, in the log."""
        log.info("%s", self.limiter.report().to_log_line())
        if self.members:
            log.info("%s", self.members.status_line())

    def reconfigure(self, config: Config) -> None:
        """SIGHUP: go on with what is held, under new addresses; all else holds from start to exit."""
        if self.members and config.discovery != self.discovery.address:
            self.members.change_discovery("{}:{}".format(*config.discovery))
        self.discovery.change_address(config.discovery)
        if self.counter and config.counter:
            self.counter.move(config.counter)
        if config.settings != self.settings or config.listen != self.config.listen:
            log.warning("of a new configuration only discovery and counter count before a restart")

    def shut_down(self) -> None:
        """SIGTERM: take what still comes, and answer all before the process may be killed."""
        if self.stopping is None:
            wait_s = min(self.longest_ns, KILL_AFTER_NS) / SECOND + KILL_GRACE_S
            self.stopping = self.loop.call_later(wait_s, self.answer_all)
            if self.members:
                self.members.save()
            self.clients.shut_down()

    def answer_all(self) -> None:
        """Guards against requests whose clients would wait longer than this process is let live."""
        for request_id in list(self.open_requests):
            if request_id in self.open_requests:
                self.overdue(request_id)
        if self.limit_commands:
            self.limit_commands.expire_all()

    def now_ns(self) -> int:
        return self.monotonic_ns() + self.clock_ns

    def feed(self, event: api.Event) -> None:
        """Hand an event to the module and do what it says; what that brings about waits its turn."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.limiter.handle(self.now_ns(), event):
                        self.doers[type(action)](action)
                except Exception:
                    # Guards against one event taking all others down: told in full, and the request fails.
                    log.exception("the module failed on %s", type(event).__name__)
                    request_id = getattr(event, "request_id", None)
                    if request_id in self.open_requests:
                        self.answer(request_id, resp.error("internal error"))
                        self.events.append(api.HungUp(request_id))  # the module may hold it yet
        finally:
            self.busy = False

    # From clients

    def handle_request(self, words: Sequence[object], answer: PendingReply) -> None:
        command = self.grammar.parse(words)
        self.once(command.request_id)
        fields = command.fields
        full = self.held_bytes > BODY_PART * self.config.memory_limit_bytes
        if full or len(self.open_requests) >= (self.settings.max_pending or 20_000):
            return answer.complete(resp.busy(self.settings.max_retry_after_ns))
        deadline_ns = self.settings.classes[fields.class_index].deadline_ns
        patience_ns = min(max(1, command.wait_ms - MARGIN_MS) * MS, deadline_ns)
        request_id = self.new_id()
        now_ns = self.now_ns()
        request = Open(request_id, command, answer, now_ns + patience_ns)
        self.open_requests[request_id] = request
        self.held_bytes += request.size
        request.deadline_timer = self.loop.call_later(patience_ns / SECOND, self.overdue, request_id)
        answer.gone = lambda: self.hung_up(request_id)
        self.feed(command.to_event(request_id, patience_ns))

    def new_id(self) -> int:
        self.next_id = (self.next_id + 1) & 0xFFFFFFFF
        return self.next_id

    def once(self, client_id: bytes) -> None:
        """Guards against an effect twice, by an id that is open or was lately: ids are new with each try.

        Two sets take turns: one is kept for the longest deadline at least, so nothing open is forgotten."""
        now_ns = self.monotonic_ns()
        if now_ns - self.ids_since_ns > self.longest_ns:
            self.ids, self.ids_since_ns = (set(), self.ids[0]), now_ns
        if client_id in self.ids[0] or client_id in self.ids[1]:
            raise resp.CommandError("the id is in use")
        self.ids[0].add(client_id)

    def remove_request(self, request_id: int) -> Open | None:
        request = self.open_requests.pop(request_id, None)
        if request:
            self.held_bytes -= request.size
            if request.deadline_timer:
                request.deadline_timer.cancel()
        return request

    def answer(self, request_id: int, reply: bytes) -> None:
        if request := self.remove_request(request_id):
            request.pending_reply.complete(reply)

    def hung_up(self, request_id: int) -> None:
        if self.remove_request(request_id):
            self.feed(api.HungUp(request_id))

    def overdue(self, request_id: int) -> None:
        """No more time: attempts end as timed out, and the module has the last word."""
        request = self.open_requests[request_id]
        for number in range(request.attempts):
            if attempt := self.attempts.get((request_id, number)):
                self.servers.give_up(attempt, api.Outcome.TIMEOUT)
        if request_id in self.open_requests:
            log.warning("a request was still held at its deadline")
            self.answer(request_id, resp.error("timed out"))
            self.feed(api.HungUp(request_id))

    # Attempts

    def send(self, action: api.Send) -> None:
        request = self.open_requests[action.request_id]
        number, request.attempts = request.attempts, request.attempts + 1
        now_ns = self.now_ns()
        until_ns = min(action.deadline_ns or request.ends_ns, request.ends_ns)
        payload = request.command.forward(max(1, (until_ns - now_ns) // MS))
        attempt = Attempt(action.request_id, number, action.server, payload, now_ns)
        self.attempts[action.request_id, number] = attempt
        if until_ns < request.ends_ns:
            wait_s = (until_ns - now_ns) / SECOND
            attempt.until = self.loop.call_later(wait_s, self.servers.give_up, attempt, api.Outcome.TIMEOUT)
        self.servers.send(attempt)

    def cancel(self, action: api.Cancel) -> None:
        if attempt := self.attempts.get((action.request_id, action.attempt)):
            self.servers.give_up(attempt, api.Outcome.CANCELLED)

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

    # Other actions and facts

    def refuse(self, action: api.Refuse) -> None:
        if self.limit_commands and self.limit_commands.on_refused(action.request_id, action.retry_after_ns):
            return
        self.answer(action.request_id, resp.busy(action.retry_after_ns))

    def verdict(self, action: api.QuotaAnswer) -> None:
        if self.limit_commands:
            self.limit_commands.on_quota_answer(action)

    def fail(self, action: api.Fail) -> None:
        self.answer(action.request_id, resp.error("failed"))

    def set_timer(self, action: api.SetTimer) -> None:
        # The loop's timers are in whole milliseconds: rounded up, none fires before its time.
        wait_s = -(-action.delay_ns // MS) / 1000
        self.loop.call_later(wait_s, self.feed, api.TimerFired(action.token))

    def count(self, action: api.Count) -> None:
        if self.counter is None:
            return self.feed(api.Counted(action.key, api.Outcome.CONNECT_FAILED, 0.0, 0, action.call_id))
        self.counter.call(action.key, action.amount, action.lifetime_ns, action.call_id)

    def counted(self, call: Call, outcome: api.Outcome, total: float) -> None:
        elapsed_ns = int((self.loop.time() - call.sent_s) * SECOND)
        self.feed(api.Counted(call.name, outcome, total, elapsed_ns, call.number))

    def tell(self, action: api.Tell) -> None:
        self.send_to_peers(action.peer, action.payload)

    def send_to_peers(self, peer: int | None, payload: bytes) -> None:
        if self.peers:
            self.peers.tell(peer, payload)

    def probe(self, server: bytes, ended: Callable[[bool], None]) -> None:
        self.servers.probe(server, ended)

    def peer_message_received(self, sender: int, payload: bytes) -> None:
        if self.members and payload.startswith(b"F"):
            return self.members.receive_message(payload)
        self.feed(api.PeerMessage(sender, payload))

    def apply_server_list(self, told: api.ServerList, places: dict[bytes, Address]) -> None:
        if told.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for server in [s for s in self.servers.places if s not in places]:
                self.servers.remove_server(server)
        for entry in told.entries:
            if entry.health is not api.Health.GONE:
                self.servers.learn(entry.server, places[entry.server], entry.started_ns)
        self.feed(told)
        for entry in told.entries:
            if entry.health is api.Health.GONE:
                self.servers.remove_server(entry.server)
            elif entry.health is api.Health.DRAINING:
                self.servers.stop_sending(entry.server)
