"""The daemon: startup, signal handling and exit of one limiter."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import Any

import uvloop

from hookport.config import Config, ConfigError, load_config
from hookport.node import Node
from hookport.startup_signals import StartupSignals

# Log lines may quote what a peer sent, so their length and rate are limited to keep the log from filling up.
MAX_LINE_CHARS = 400
MAX_LINES_PER_SECOND = 50


class RateLimitFilter(logging.Filter):
    """Truncates long log lines and drops lines beyond the maximum rate."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.line_count = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second, self.line_count = int(record.created), 0
        self.line_count += 1
        record.msg, record.args = record.getMessage()[:MAX_LINE_CHARS], ()
        return self.line_count <= MAX_LINES_PER_SECOND


def log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that reached the event loop with its traceback; the process keeps running."""
    logging.getLogger("hookport").error(
        "unhandled exception: %s", context.get("message"), exc_info=context.get("exception")
    )


def reload(node: Node) -> None:
    """Apply the configuration file again; if it is invalid, log why and keep the current configuration."""
    try:
        node.reconfigure(load_config(os.environ, reloading=True))
    except ConfigError as error:
        logging.getLogger("hookport").error("keeping the old configuration: %s", error)


async def serve(config: Config, signals: StartupSignals) -> None:
    """Run one limiter until it has shut down."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_unhandled)
    node = Node(config, loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.shut_down)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    loop.add_signal_handler(signal.SIGUSR1, node.report)
    if signals.stop_requested:
        return  # nothing was accepted yet
    await node.start()
    if signals.reload_requested:
        reload(node)  # the file may have changed since it was read
    gc.collect()
    gc.freeze()  # objects that live as long as the process are not scanned again
    await node.clients.done.wait()
    node.close()


def main(signals: StartupSignals) -> int:
    """Run one limiter; returns its exit status. ``signals`` holds those that arrived during the start."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        config = load_config(os.environ)
        uvloop.run(serve(config, signals))
    except (ConfigError, OSError) as error:
        print(f"hookport: {error}", file=sys.stderr)
        return 2
    return 0
