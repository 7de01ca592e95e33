"""Word between limiters of customers that the counter has just refused (docs/design/full-fleet.md).

Each of hundreds sees such a customer now and then and finds its sliver of a slice full: without a call all
let it in. Told, they leave it to the counter for a while. A word that is lost changes nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from aniseshed.account import SmoothBursty
from aniseshed.partition import NAME_BITS, SECOND_NS

SPENT_NS = 6 * SECOND_NS  # for which a word holds: a burst of requests ends within five seconds
TOLD_A_SECOND = 20.0  # words, by all limiters together: half of what one may take in
WORDS_SAVED = 4.0  # by a quiet while; those of the plan that loses least wait until all of them are there
MOST_KNOWN = 4096  # customers: more cannot be told of while a word holds
SIZE = -(-NAME_BITS // 8)  # bytes of a customer's number
KIND = b"S"


@dataclass(slots=True)
class ExhaustedQuotas:
    """Which customers are known to be beyond their quotas.  Times in nanoseconds on the module's clock."""

    message_tokens: SmoothBursty
    expires_ns: dict[int, int] = field(default_factory=dict)  # in order of their ends

    def remaining_ns(self, now_ns: int, customer: int) -> int:
        """For how long a word about the customer still holds; 0 without one."""
        return max(0, self.expires_ns.get(customer, 0) - now_ns)

    def record(self, now_ns: int, customer: int) -> None:
        self.expires_ns.pop(customer, None)
        self.expires_ns[customer] = now_ns + SPENT_NS
        oldest = next(iter(self.expires_ns))
        if len(self.expires_ns) > MOST_KNOWN or self.expires_ns[oldest] <= now_ns:
            del self.expires_ns[oldest]

    def on_refused(self, now_ns: int, customer: int, rank: float) -> bytes | None:
        """The word that is due, if the others' last one is about to end; ``rank`` is what a second of the
        customer's quota is worth beside the dearest plan's, from 0 to 1."""
        self.message_tokens.resync(now_ns)
        known = self.remaining_ns(now_ns, customer) > SPENT_NS / 2
        if known or self.message_tokens.stored_permits < 1 + (WORDS_SAVED - 1) * (1 - rank):
            return None
        self.message_tokens.reserve(1.0)
        self.record(now_ns, customer)
        return KIND + customer.to_bytes(SIZE, "big")

    def on_message(self, now_ns: int, payload: bytes) -> None:
        """A word of another limiter; what is none is passed over."""
        if len(payload) == 1 + SIZE and payload.startswith(KIND):
            self.record(now_ns, int.from_bytes(payload[1:], "big"))
