"""Many plays on a pool: the next begins as soon as one ends, and Ctrl-C lets those in play end."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Executor, Future, wait
from contextlib import contextmanager
from typing import Any, TypeVar

Item = TypeVar("Item", bound=tuple[Any, ...])  # the arguments of one call
T = TypeVar("T")


@contextmanager
def interruptible() -> Iterator[threading.Event]:
    """An event that SIGINT sets in place of raising, for as long as the block lasts."""
    stopped = threading.Event()
    before = signal.signal(signal.SIGINT, lambda *_: stopped.set())
    try:
        yield stopped
    finally:
        signal.signal(signal.SIGINT, before)


def run_parallel(
    pool: Executor,
    call: Callable[..., T],
    items: Iterable[Item],
    jobs: int,
    stop: Callable[[], bool],
) -> Iterator[tuple[Item, T]]:
    """Each item with what came of it, as they end; ``jobs`` at a time.

    None is begun once ``stop`` says so. What a call raises is raised here."""
    waiting: dict[Future[T], Item] = {}
    upcoming = iter(items)
    while True:
        while len(waiting) < jobs and not stop() and (item := next(upcoming, None)) is not None:
            waiting[pool.submit(call, *item)] = item
        if not waiting:
            return
        done, _ = wait(waiting, return_when=FIRST_COMPLETED)
        for future in [future for future in waiting if future in done]:  # in the order of their beginning
            yield waiting.pop(future), future.result()
