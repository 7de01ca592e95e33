"""Runs many calls on a pool, a limited number at a time; Ctrl-C lets the running ones finish."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Executor, Future, wait
from contextlib import contextmanager
from typing import Any, TypeVar

Item = TypeVar("Item", bound=tuple[Any, ...])  # the arguments of one call
Result = TypeVar("Result")


@contextmanager
def interruptible() -> Iterator[threading.Event]:
    """Within the block, SIGINT sets the returned event instead of raising KeyboardInterrupt."""
    stopped = threading.Event()
    previous_handler = signal.signal(signal.SIGINT, lambda *_: stopped.set())
    try:
        yield stopped
    finally:
        signal.signal(signal.SIGINT, previous_handler)


def run_parallel(
    pool: Executor,
    function: Callable[..., Result],
    items: Iterable[Item],
    jobs: int,
    should_stop: Callable[[], bool],
) -> Iterator[tuple[Item, Result]]:
    """Call ``function`` on each item, ``jobs`` at a time; yield each item with its result as it completes.

    No call is started once ``should_stop`` returns true. An exception of a call is raised here.
    """
    pending: dict[Future[Result], Item] = {}
    remaining = iter(items)
    while True:
        while len(pending) < jobs and not should_stop() and (item := next(remaining, None)) is not None:
            pending[pool.submit(function, *item)] = item
        if not pending:
            return
        done, _ = wait(pending, return_when=FIRST_COMPLETED)
        for future in [future for future in pending if future in done]:  # in the order of their start
            yield pending.pop(future), future.result()
