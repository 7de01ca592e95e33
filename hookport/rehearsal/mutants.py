"""Broken limiters: the real daemon with one thing done wrong, to see that the referee bites.

``python -m hookport.rehearsal.mutants NAME`` runs one in the daemon's place.  Each is told with the rule
under which it must be caught; a change of the daemon that takes a mutant's handle away ends that mutant with
an AttributeError instead of letting it pass for healthy.
"""

from __future__ import annotations

import math
import os
import random
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from aniseshed import interface as api
from aniseshed import policy
from aniseshed.partition import SECOND_NS
from hookport import __main__ as daemon
from hookport import clients, node, resp, servers

ONE_IN = 25  # requests that a now-and-then mutant spoils
LEAK_BYTES = 200_000
CHANCE = random.Random(7)
Harm = Callable[[], None]


class Mutant(NamedTuple):
    """One broken limiter: what it does and the rule under which that is caught."""

    rule: str
    told: str
    harm: Harm


def patch(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Put ``make(old)`` in the place of ``owner.name``, which must be there."""
    setattr(owner, name, make(getattr(owner, name)))


def now_and_then() -> bool:
    return CHANCE.randrange(ONE_IN) == 0


def sends_again() -> None:
    """A claim whose attempt failed or timed out is taken for never run and sent again."""
    setattr(policy, "NEVER_EXECUTED", tuple(api.Outcome))  # noqa: B010 - the type says three of them


def refuses_what_may_have_run() -> None:
    def make(old: Any) -> Any:
        def refuse(self: Any, work: Any, wait_ns: int) -> None:
            for attempt in work.attempts:
                attempt.may_have_run = False
            old(self, work, wait_ns)

        return refuse

    patch(policy.Limiter, "refuse", make)


def sends_two_copies() -> None:
    """Every attempt goes out twice, to the same server."""

    def make(old: Any) -> Any:
        def send(self: Any, action: api.Send) -> None:
            old(self, action)
            if action.request_id in self.open_requests and now_and_then():
                request = self.open_requests[action.request_id]
                twin = servers.Attempt(0, 99, action.server, request.command.forward(500), self.now_ns())
                self.servers.send(twin)

        return send

    def ended(old: Any) -> Any:
        def attempt_ended(self: Any, attempt: Any, outcome: Any, value: bytes) -> None:
            if attempt.number != 99:
                old(self, attempt, outcome, value)

        return attempt_ended

    patch(node.Node, "send", make)
    patch(node.Node, "attempt_ended", ended)


def answers_twice() -> None:
    def make(old: Any) -> Any:
        def complete(self: Any, reply: bytes) -> None:
            old(self, reply + reply if now_and_then() and reply.startswith(b"$") else reply)

        return complete

    patch(clients.PendingReply, "complete", make)


def ignores_drains() -> None:
    def make(old: Any) -> Any:
        def apply_server_list(known: Any, event: api.ServerList) -> None:
            rows = tuple(e for e in event.entries if e.health is api.Health.READY)
            old(known, api.ServerList(event.kind, rows))

        return apply_server_list

    patch(policy, "apply_server_list", make)
    patch(servers.Servers, "stop_sending", lambda old: lambda self, server: None)
    patch(servers.Servers, "remove_server", lambda old: lambda self, server: None)


def drains_late() -> None:
    """Hears of drains two seconds late."""

    def make(old: Any) -> Any:
        def apply_server_list(self: Any, told: api.ServerList, places: Any) -> None:
            self.loop.call_later(2.0, old, self, told, places)

        return apply_server_list

    patch(node.Node, "apply_server_list", make)


def loses_at_sigterm() -> None:
    patch(node.Node, "shut_down", lambda old: lambda self: os._exit(0))


def ends_at_sighup() -> None:
    patch(node.Node, "reconfigure", lambda old: lambda self, config: os._exit(1))


def ignores_sigterm() -> None:
    patch(node.Node, "shut_down", lambda old: lambda self: None)


def serves_anothers_value() -> None:
    last = [b""]

    def make(old: Any) -> Any:
        def attempt_ended(self: Any, attempt: Any, outcome: Any, value: bytes) -> None:
            wrong, last[0] = last[0], value
            old(self, attempt, outcome, wrong if wrong and now_and_then() else value)

        return attempt_ended

    patch(node.Node, "attempt_ended", make)


def makes_values_up() -> None:
    """A claim that failed is answered as served."""

    def make(old: Any) -> Any:
        def fail(self: Any, action: api.Fail) -> None:
            self.answer(action.request_id, resp.bulk(b"done"))

        return fail

    patch(node.Node, "fail", make)


def floods_cold_servers() -> None:
    """Sends all to the server that started last."""

    def make(old: Any) -> Any:
        def pick_server(self: Any, tried: Any, request: Any) -> Any:
            ready = [s for s in self.server_order if s.entry.health is api.Health.READY]
            young = max(ready, key=lambda s: s.started_ns, default=None)
            return young if young and young.started_ns and young not in tried else old(self, tried, request)

        return pick_server

    patch(policy.Limiter, "pick_server", make)
    patch(policy.Limiter, "over_limit", lambda old: lambda self, work, part=1.0: False)


def grants_each_slice_whole() -> None:
    """Every limiter takes the whole quota for its own slice and asks no counter."""

    def make(old: Any) -> Any:
        def account_for(self: Any, request: api.Request, plan: api.Plan) -> Any:
            customer = old(self, request, plan)
            customer.bucket.stable_interval_ns = SECOND_NS / plan.rate
            customer.bucket.max_permits = plan.burst
            customer.total = None
            return customer

        return account_for

    patch(policy.Limiter, "account_for", make)
    patch(policy.Limiter, "may_call_counter", lambda old: lambda self, saved: False)


def lets_all_in() -> None:
    """Asks nobody: every request is sent on."""

    def make(old: Any) -> Any:
        def admit(self: Any, work: Any, customer: Any) -> None:
            self.send_first_attempt(work)

        return admit

    def without_ceiling(old: Any) -> Any:
        def account_for(self: Any, request: api.Request, plan: api.Plan) -> Any:
            customer = old(self, request, plan)
            customer.ceiling.stored_permits = customer.ceiling.max_permits = math.inf
            return customer

        return account_for

    patch(policy.Limiter, "admit", make)
    patch(policy.Limiter, "account_for", without_ceiling)
    patch(policy.Limiter, "over_limit", lambda old: lambda self, work, part=1.0: False)


def never_answers() -> None:
    def make(old: Any) -> Any:
        def complete(self: Any, reply: bytes) -> None:
            if not now_and_then():
                old(self, reply)

        return complete

    patch(clients.PendingReply, "complete", make)


def answers_late() -> None:
    """Holds what it gave up until after the client has gone."""

    def make(old: Any) -> Any:
        def refuse(self: Any, action: api.Refuse) -> None:
            if now_and_then():
                self.loop.call_later(2.2, old, self, action)
                if request := self.open_requests.get(action.request_id):
                    request.deadline_timer.cancel()
            else:
                old(self, action)

        return refuse

    patch(node.Node, "refuse", make)


def closes_instead() -> None:
    """Closes the connection instead of saying that a request failed."""

    def make(old: Any) -> Any:
        def refuse(self: Any, action: api.Refuse) -> None:
            if now_and_then() and (request := self.remove_request(action.request_id)):
                request.pending_reply.connection.transport.abort()
            else:
                old(self, action)

        return refuse

    patch(node.Node, "refuse", make)


def leaks() -> None:
    kept: list[bytes] = []

    def make(old: Any) -> Any:
        def handle_request(self: Any, words: Any, answer: Any) -> None:
            kept.append(os.urandom(LEAK_BYTES))
            old(self, words, answer)

        return handle_request

    patch(node.Node, "handle_request", make)


def changes_commands() -> None:
    """Sends servers an id of its own making."""

    def make(old: Any) -> Any:
        def forward(self: Any, wait_ms: int) -> bytes:
            text: bytes = old(self, wait_ms)
            return text.replace(self.arguments[2], self.arguments[2][::-1]) if now_and_then() else text

        return forward

    patch(resp.Command, "forward", make)


def leaves_bad_clients() -> None:
    """Says nothing to clients that send what cannot be read."""
    patch(clients.Connection, "close_with_error", lambda old: lambda self, why: None)


def crashes() -> None:
    def make(old: Any) -> Any:
        def handle_request(self: Any, words: Any, answer: Any) -> None:
            if CHANCE.randrange(200) == 0:
                os._exit(3)
            old(self, words, answer)

        return handle_request

    patch(node.Node, "handle_request", make)


def forgets_ejection() -> None:
    """No mutant: the daemon without the ejection of failing servers, to see which way the score goes."""
    policy.EJECT_FAILURES = 1 << 30


MUTANTS: dict[str, Mutant] = {
    "sends-again": Mutant("effect", "sends a claim again after a failure or a time-out", sends_again),
    "refuses-run": Mutant("effect", "refuses what may have run", refuses_what_may_have_run),
    "two-copies": Mutant("effect", "sends some requests twice at once", sends_two_copies),
    "answers-twice": Mutant("answer", "answers some requests twice", answers_twice),
    "never-answers": Mutant("answer", "never answers some requests", never_answers),
    "answers-late": Mutant("answer", "holds some refusals until after the deadline", answers_late),
    "closes-instead": Mutant("answer", "closes instead of refusing", closes_instead),
    "others-value": Mutant("answer", "serves another request's value", serves_anothers_value),
    "made-up": Mutant("answer", "answers failed claims with a value of its own", makes_values_up),
    "lost-at-term": Mutant("answer", "drops what it holds at SIGTERM", loses_at_sigterm),
    "ignores-drains": Mutant("drain", "goes on sending to draining servers", ignores_drains),
    "drains-late": Mutant("drain", "hears of drains two seconds late", drains_late),
    "floods-cold": Mutant("cold", "sends all to the server that started last", floods_cold_servers),
    "lets-all-in": Mutant("ceiling", "keeps no quota and no ceiling", lets_all_in),
    "whole-slices": Mutant("quota", "grants each limiter's slice whole", grants_each_slice_whole),
    "other-ids": Mutant("protocol", "sends ids of its own making to servers", changes_commands),
    "ends-at-hup": Mutant("process", "ends at SIGHUP", ends_at_sighup),
    "ignores-term": Mutant("process", "goes on after SIGTERM", ignores_sigterm),
    "crashes": Mutant("process", "crashes now and then", crashes),
    "leaks": Mutant("memory", "keeps something for every request", leaks),
    "mute-to-rude": Mutant("rude", "says nothing to bad clients", leaves_bad_clients),
}
SHORT = ("sends-again", "never-answers", "ignores-drains", "others-value")  # what CI plays
WEAKER: dict[str, Harm] = {"no-ejection": forgets_ejection}


def main() -> int:
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in MUTANTS and name not in WEAKER:
        print(f"mutants: name one of {', '.join((*MUTANTS, *WEAKER))}", file=sys.stderr)
        return 2
    (MUTANTS[name].harm if name in MUTANTS else WEAKER[name])()
    del sys.argv[1:]
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
