"""Messages between limiters about customers whose quota the counter has just found exhausted.

Derivation: docs/design/full-fleet.md.

Each of several hundred limiters sees such a customer only now and then and finds its small share of the quota
still full, so without a counter call all of them would let it in.  A message makes them leave the customer to
the counter for a while.  A lost message is harmless: that limiter decides as without it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from aniseshed.account import SmoothBursty
from aniseshed.partition import CUSTOMER_BITS, SECOND_NS

MESSAGE_LIFETIME_NS = 6 * SECOND_NS  # how long a message holds: a burst of requests ends within five seconds
# Messages per second by all limiters together: half of what one of them may take in.
MESSAGES_PER_SECOND = 20.0
# Messages that a quiet period saves up.  Those of the plan that loses least wait until all are available.
MESSAGE_BURST = 4.0
# Customers remembered.  Within the lifetime of a message no more can be announced.
MAX_REMEMBERED_CUSTOMERS = 4096
CUSTOMER_SIZE_BYTES = -(-CUSTOMER_BITS // 8)  # bytes of a customer's number in a message
MESSAGE_TYPE = b"S"


@dataclass(slots=True)
class ExhaustedQuotas:
    """Customers known to be beyond their quotas.  Times are in nanoseconds on the limiter's clock."""

    message_tokens: SmoothBursty
    expires_ns: dict[int, int] = field(default_factory=dict)  # customer -> expiry, soonest first

    def remaining_ns(self, now_ns: int, customer: int) -> int:
        """How long a message about the customer still holds; 0 if there is none."""
        return max(0, self.expires_ns.get(customer, 0) - now_ns)

    def record(self, now_ns: int, customer: int) -> None:
        self.expires_ns.pop(customer, None)
        self.expires_ns[customer] = now_ns + MESSAGE_LIFETIME_NS
        oldest = next(iter(self.expires_ns))
        if len(self.expires_ns) > MAX_REMEMBERED_CUSTOMERS or self.expires_ns[oldest] <= now_ns:
            del self.expires_ns[oldest]

    def on_refused(self, now_ns: int, customer: int, rank: float) -> bytes | None:
        """The counter refused the customer: the message to send, or None.

        There is none while an earlier message holds for more than half its lifetime, or without a token.
        ``rank`` is the value of one second of the customer's quota relative to the most valuable plan's, from
        0 to 1.
        """
        self.message_tokens.resync(now_ns)
        known = self.remaining_ns(now_ns, customer) > MESSAGE_LIFETIME_NS / 2
        if known or self.message_tokens.stored_permits < 1 + (MESSAGE_BURST - 1) * (1 - rank):
            return None
        self.message_tokens.reserve(1.0)
        self.record(now_ns, customer)
        return MESSAGE_TYPE + customer.to_bytes(CUSTOMER_SIZE_BYTES, "big")

    def on_message(self, now_ns: int, payload: bytes) -> None:
        """Record another limiter's message; any other payload is ignored."""
        if len(payload) == 1 + CUSTOMER_SIZE_BYTES and payload.startswith(MESSAGE_TYPE):
            self.record(now_ns, int.from_bytes(payload[1:], "big"))
