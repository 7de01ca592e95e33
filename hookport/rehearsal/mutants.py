"""Mutants: the daemon with one defect each, to test that the referee detects it.

``python -m hookport.rehearsal.mutants NAME`` runs a mutant in place of the daemon. Each names the rule that
it must break. A mutant patches functions of the daemon by name: when such a function is gone, the mutant
fails with an AttributeError instead of running without its defect.
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
from hookport import client_connection, node, resp, servers

REQUESTS_PER_FAULT = 25  # Mutants with occasional faults affect one request in this many on average.
LEAKED_BYTES_PER_REQUEST = 200_000
RNG = random.Random(7)
ApplyMutant = Callable[[], None]


class Mutant(NamedTuple):
    """A broken limiter: the rule that it must break, and the function that applies its defect."""

    rule: str
    description: str
    apply: ApplyMutant


def patch(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace ``owner.name``, which must exist, by ``make`` of its old value."""
    setattr(owner, name, make(getattr(owner, name)))


def draw_fault() -> bool:
    """Whether this request gets a fault, drawn at random."""
    return RNG.randrange(REQUESTS_PER_FAULT) == 0


def sends_again() -> None:
    """Sends a claim again after a failure or timeout, as if it had not run."""
    setattr(policy, "NEVER_EXECUTED", tuple(api.Outcome))  # noqa: B010 - its type is a tuple of three outcomes


def refuses_requests_that_may_have_run() -> None:
    def make(old: Any) -> Any:
        def refuse(self: Any, work: Any, wait_ns: int) -> None:
            for attempt in work.attempts:
                attempt.may_have_run = False
            old(self, work, wait_ns)

        return refuse

    patch(policy.Limiter, "refuse", make)


def sends_two_copies() -> None:
    """Sends some attempts twice, to the same server."""

    def make(old: Any) -> Any:
        def send(self: Any, action: api.Send) -> None:
            old(self, action)
            if action.request_id in self.open_requests and draw_fault():
                request = self.open_requests[action.request_id]
                now_ns = self.now_ns()
                duplicate = servers.Attempt(
                    0, 99, action.server, request.command, now_ns, now_ns + 500 * node.MS_NS
                )
                self.servers.send(duplicate)

        return send

    def ignore_duplicate(old: Any) -> Any:
        def attempt_ended(self: Any, attempt: Any, outcome: Any, value: bytes) -> None:
            if attempt.number != 99:
                old(self, attempt, outcome, value)

        return attempt_ended

    patch(node.Node, "send", make)
    patch(node.Node, "attempt_ended", ignore_duplicate)


def answers_twice() -> None:
    def make(old: Any) -> Any:
        def complete(self: Any, reply: bytes) -> None:
            old(self, reply + reply if draw_fault() and reply.startswith(b"$") else reply)

        return complete

    patch(client_connection.PendingReply, "complete", make)


def ignores_drains() -> None:
    def make(old: Any) -> Any:
        def apply_server_list(known: Any, event: api.ServerList) -> None:
            entries = tuple(e for e in event.entries if e.health is api.Health.READY)
            old(known, api.ServerList(event.kind, entries))

        return apply_server_list

    patch(policy, "apply_server_list", make)
    patch(servers.Servers, "stop_sending", lambda old: lambda self, server: None)
    patch(servers.Servers, "remove_server", lambda old: lambda self, server: None)


def drains_late() -> None:
    """Applies server lists two seconds late."""

    def make(old: Any) -> Any:
        def apply_server_list(self: Any, server_list: api.ServerList, addresses: Any) -> None:
            self.loop.call_later(2.0, old, self, server_list, addresses)

        return apply_server_list

    patch(node.Node, "apply_server_list", make)


def drops_requests_at_sigterm() -> None:
    patch(node.Node, "shut_down", lambda old: lambda self: os._exit(0))


def exits_at_sighup() -> None:
    patch(node.Node, "reconfigure", lambda old: lambda self, config: os._exit(1))


def ignores_sigterm() -> None:
    patch(node.Node, "shut_down", lambda old: lambda self: None)


def serves_previous_value() -> None:
    previous = [b""]

    def make(old: Any) -> Any:
        def attempt_ended(self: Any, attempt: Any, outcome: Any, value: bytes) -> None:
            wrong_value, previous[0] = previous[0], value
            old(self, attempt, outcome, wrong_value if wrong_value and draw_fault() else value)

        return attempt_ended

    patch(node.Node, "attempt_ended", make)


def invents_values() -> None:
    """Answers a failed claim with a value, as if it had been served."""

    def make(old: Any) -> Any:
        def fail(self: Any, action: api.Fail) -> None:
            self.answer(action.request_id, resp.bulk(b"done"))

        return fail

    patch(node.Node, "fail", make)


def floods_cold_servers() -> None:
    """Sends every request to the server that started last."""

    def make(old: Any) -> Any:
        def pick_server(self: Any, tried: Any, request: Any) -> Any:
            ready = [s for s in self.server_order if s.entry.health is api.Health.READY]
            newest = max(ready, key=lambda s: s.started_ns, default=None)
            return (
                newest if newest and newest.started_ns and newest not in tried else old(self, tried, request)
            )

        return pick_server

    patch(policy.Limiter, "pick_server", make)
    patch(policy.Limiter, "over_limit", lambda old: lambda self, work, part=1.0: False)


def grants_full_quota_per_limiter() -> None:
    """Grants the full quota at every limiter, without calls to the counter."""

    def make(old: Any) -> Any:
        def account_for(self: Any, request: api.Request, plan: api.Plan) -> Any:
            account = old(self, request, plan)
            account.bucket.stable_interval_ns = SECOND_NS / plan.rate
            account.bucket.max_permits = plan.burst
            account.total = None
            return account

        return account_for

    patch(policy.Limiter, "account_for", make)
    patch(policy.Limiter, "may_call_counter", lambda old: lambda self, saved: False)


def admits_everything() -> None:
    """Forwards every request without any check."""

    def make(old: Any) -> Any:
        def admit(self: Any, work: Any, account: Any) -> None:
            self.send_first_attempt(work)

        return admit

    def without_ceiling(old: Any) -> Any:
        def account_for(self: Any, request: api.Request, plan: api.Plan) -> Any:
            account = old(self, request, plan)
            account.ceiling.stored_permits = account.ceiling.max_permits = math.inf
            return account

        return account_for

    patch(policy.Limiter, "admit", make)
    patch(policy.Limiter, "account_for", without_ceiling)
    patch(policy.Limiter, "over_limit", lambda old: lambda self, work, part=1.0: False)


def never_answers() -> None:
    def make(old: Any) -> Any:
        def complete(self: Any, reply: bytes) -> None:
            if not draw_fault():
                old(self, reply)

        return complete

    patch(client_connection.PendingReply, "complete", make)


def answers_late() -> None:
    """Holds some refusals until after the client's deadline."""

    def make(old: Any) -> Any:
        def refuse(self: Any, action: api.Refuse) -> None:
            if draw_fault():
                self.loop.call_later(2.2, old, self, action)
                if request := self.open_requests.get(action.request_id):
                    request.deadline_timer.cancel()
            else:
                old(self, action)

        return refuse

    patch(node.Node, "refuse", make)


def closes_instead() -> None:
    """Closes the connection instead of answering that a request is refused."""

    def make(old: Any) -> Any:
        def refuse(self: Any, action: api.Refuse) -> None:
            if draw_fault() and (request := self.remove_request(action.request_id)):
                request.pending_reply.connection.transport.abort()
            else:
                old(self, action)

        return refuse

    patch(node.Node, "refuse", make)


def leaks_memory() -> None:
    leaked: list[bytes] = []

    def make(old: Any) -> Any:
        def handle_request(self: Any, arguments: Any, reply: Any) -> None:
            leaked.append(os.urandom(LEAKED_BYTES_PER_REQUEST))
            old(self, arguments, reply)

        return handle_request

    patch(node.Node, "handle_request", make)


def changes_request_ids() -> None:
    """Sends some requests to servers under another id."""

    def make(old: Any) -> Any:
        def forward(self: Any, wait_ms: int) -> bytes:
            payload: bytes = old(self, wait_ms)
            return payload.replace(self.arguments[2], self.arguments[2][::-1]) if draw_fault() else payload

        return forward

    patch(resp.Command, "forward", make)


def ignores_bad_clients() -> None:
    """Neither answers nor closes the connections of clients that send malformed requests."""
    for method in ("close_with_error", "reject_command"):
        patch(client_connection.Connection, method, lambda old: lambda self, why: None)


def crashes() -> None:
    def make(old: Any) -> Any:
        def handle_request(self: Any, arguments: Any, reply: Any) -> None:
            if RNG.randrange(200) == 0:
                os._exit(3)
            old(self, arguments, reply)

        return handle_request

    patch(node.Node, "handle_request", make)


def disables_ejection() -> None:
    """Breaks no rule: shows what the ejection of failing servers contributes to the score."""
    policy.EJECT_FAILURES = 1 << 30


MUTANTS: dict[str, Mutant] = {
    "sends-again": Mutant("effect", "sends a claim again after a failure or a timeout", sends_again),
    "refuses-run": Mutant("effect", "refuses requests that may have run", refuses_requests_that_may_have_run),
    "two-copies": Mutant("effect", "sends some requests twice at once", sends_two_copies),
    "answers-twice": Mutant("answer", "answers some requests twice", answers_twice),
    "never-answers": Mutant("answer", "never answers some requests", never_answers),
    "answers-late": Mutant("answer", "holds some refusals until after the deadline", answers_late),
    "closes-instead": Mutant("answer", "closes connections instead of refusing", closes_instead),
    "others-value": Mutant("answer", "serves another request's value", serves_previous_value),
    "made-up": Mutant("answer", "answers failed claims with an invented value", invents_values),
    "lost-at-term": Mutant("answer", "drops its pending requests at SIGTERM", drops_requests_at_sigterm),
    "ignores-drains": Mutant("drain", "keeps sending to draining servers", ignores_drains),
    "drains-late": Mutant("drain", "applies server lists two seconds late", drains_late),
    "floods-cold": Mutant("cold", "sends every request to the server that started last", floods_cold_servers),
    "lets-all-in": Mutant("ceiling", "enforces no quota and no ceiling", admits_everything),
    "whole-slices": Mutant("quota", "grants the full quota at every limiter", grants_full_quota_per_limiter),
    "other-ids": Mutant("protocol", "sends some requests to servers under another id", changes_request_ids),
    "ends-at-hup": Mutant("process", "exits at SIGHUP", exits_at_sighup),
    "ignores-term": Mutant("process", "ignores SIGTERM", ignores_sigterm),
    "crashes": Mutant("process", "crashes at some requests", crashes),
    "leaks": Mutant("memory", "leaks memory at every request", leaks_memory),
    "mute-to-rude": Mutant("rude", "does not answer malformed requests", ignores_bad_clients),
}
QUICK_MUTANTS = ("sends-again", "never-answers", "ignores-drains", "others-value")  # those that CI runs
SCORE_VARIANTS: dict[str, ApplyMutant] = {"no-ejection": disables_ejection}


def main() -> int:
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in MUTANTS and name not in SCORE_VARIANTS:
        print(f"mutants: expected one of {', '.join((*MUTANTS, *SCORE_VARIANTS))}", file=sys.stderr)
        return 2
    (MUTANTS[name].apply if name in MUTANTS else SCORE_VARIANTS[name])()
    del sys.argv[1:]
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
