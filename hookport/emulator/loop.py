"""An asyncio event loop in virtual time, whose clock jumps to the next timer.

The daemon and the test harness use asyncio's loop, protocols and transports only, so this loop and the
network of ``network.py`` replace all that a run needs of the operating system: ``select`` takes no time, and
``create_connection``, ``create_server`` and ``create_datagram_endpoint`` connect within this process. Tasks,
timers and timeouts are asyncio's. Callbacks due at the same time run in the order in which they were
scheduled, so neither memory addresses nor the iteration order of a set affects a run.

A SimulatedProcess stands for one process of a run in real time. Everything that it starts belongs to it,
through a context variable that tasks, timers and connections inherit. So it can be killed or stopped at any
point: callbacks of a terminated process never run, and those of a stopped one wait.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from hookport.emulator.network import Network

MAX_TURNS_PER_INSTANT = 200_000  # more loop iterations at one time mean a callback that reschedules itself
START_S = 1000.0  # first value of the loop's clock, not 0: code must not assume that a clock starts at zero


class SpinError(Exception):
    """The clock does not advance because callbacks keep rescheduling themselves; the message names them."""


class StallError(Exception):
    """No callback is scheduled, so the run can never continue."""


class SimulatedProcess:
    """A process of the run: whether it has terminated, and until when it is stopped (SIGSTOP)."""

    def __init__(self, name: str) -> None:
        self.name, self.terminated, self.stopped_until_s = name, False, 0.0


CURRENT_PROCESS: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "process", default=None
)


class OrderedTimer(asyncio.TimerHandle):
    """A timer that orders itself after the earlier-scheduled timers of the same time."""

    __slots__ = ("serial",)

    serial: int

    def __lt__(self, other: object) -> bool:
        if not isinstance(other, OrderedTimer):
            return NotImplemented
        return (self.when(), self.serial) < (other.when(), other.serial)


class VirtualSelector:
    """Replaces the selector: waiting advances the clock to the next timer."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.turns = loop, 0

    def select(self, timeout: float | None) -> list[Any]:
        loop = self.loop
        if timeout is None:
            raise StallError("no callback is scheduled: the run waits for an event that cannot occur")
        if timeout > 0:
            loop.now_s, self.turns = max(loop.now_s, loop.next_due_s()), 0
            return []
        self.turns += 1
        if self.turns > MAX_TURNS_PER_INSTANT:
            raise SpinError(f"the clock is stuck at {loop.now_s:.6f} s; next: {loop.describe_ready()}")
        return []

    def close(self) -> None:
        """There are no resources to release."""


class ProcessCallback:
    """A callback of a process: it never runs once the process has terminated, and waits while it is stopped.

    It can be cancelled while it waits. Otherwise a timeout that expired during a stop would, after the stop,
    still end an operation whose answer arrived in the meantime."""

    __slots__ = ("args", "callback", "context", "handle", "process", "loop")

    def __init__(
        self, loop: VirtualLoop, process: SimulatedProcess, callback: Callable[..., object],
        args: tuple[Any, ...], context: contextvars.Context | None,
    ) -> None:  # fmt: skip
        self.loop, self.process, self.callback, self.args, self.context = (
            loop,
            process,
            callback,
            args,
            context,
        )
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        if self.process.terminated or (self.handle and self.handle.cancelled()):
            return
        if self.process.stopped_until_s > self.loop.now_s:
            self.loop.resume_later(self)
        else:
            self.handle = None  # breaks the reference cycle between the callback and its handle
            self.callback(*self.args)

    def __repr__(self) -> str:
        return f"<ProcessCallback of {self.process.name}: {self.callback!r}>"


HandleType = TypeVar("HandleType", bound=asyncio.Handle)


def attach_handle(callback: Callable[..., object], handle: HandleType) -> HandleType:
    """Store in a process's callback the handle by which it can be cancelled."""
    if isinstance(bound := getattr(callback, "__self__", None), ProcessCallback) and bound.handle is None:
        bound.handle = handle
    return handle


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop. Its clock starts at ``START_S``; ``network`` must be set before anything connects."""

    network: Network

    def __init__(self) -> None:
        super().__init__()
        self.now_s, self.serial = START_S, 0
        self._selector = VirtualSelector(self)

    def time(self) -> float:
        return self.now_s

    def now_ns(self) -> int:
        return round(self.now_s * 1e9)

    def next_due_s(self) -> float:
        scheduled: list[OrderedTimer] = self._scheduled  # type: ignore[attr-defined]
        return scheduled[0].when() if scheduled else self.now_s

    def describe_ready(self) -> str:
        """Describe the next callbacks, for the message of a SpinError."""
        ready = list(self._ready)[:3]  # type: ignore[attr-defined]
        return "; ".join(repr(handle)[:300] for handle in ready) or "nothing"

    def _process_events(self, event_list: list[Any]) -> None:
        """Does nothing: the network is simulated with timers and produces no I/O events."""

    def _write_to_self(self) -> None:
        """Does nothing: the loop never blocks, so it needs no wake-up."""

    # Callbacks and the process to which they belong

    def bind_to_process(
        self, callback: Callable[..., object], args: tuple[Any, ...], context: contextvars.Context | None
    ) -> tuple[Callable[..., object], tuple[Any, ...]]:
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        if process is None:
            return callback, args
        bound = ProcessCallback(self, process, callback, args, context)
        return bound.run, ()

    def resume_later(self, callback: ProcessCallback) -> None:
        """Run a callback when its process resumes; the handle returned to the caller still cancels it."""
        self.schedule_at(callback.process.stopped_until_s, callback.run, (), callback.context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        callback, args = self.bind_to_process(callback, args, context)
        return attach_handle(callback, super().call_soon(callback, *args, context=context))

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        return self.call_at(self.now_s + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        callback, args = self.bind_to_process(callback, args, context)
        return attach_handle(callback, self.schedule_at(when, callback, args, context))

    def schedule_at(
        self, when: float, callback: Callable[..., object], args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> OrderedTimer:  # fmt: skip
        timer = OrderedTimer(max(when, self.now_s), callback, args, self, context)
        self.serial += 1
        timer.serial = self.serial
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    # The network

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return await self.network.connect(factory, (host, port))

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return self.network.listen(factory, (host, port))

    async def create_datagram_endpoint(self, factory: Any, local_addr: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return self.network.open_datagram_endpoint(factory, local_addr)
