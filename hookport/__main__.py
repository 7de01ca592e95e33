"""Start, signals and exit of one limiter: ``python -m hookport``."""

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

LONGEST_LINE = 400  # characters of a log line: what a peer sends must not fill the log
LINES_A_SECOND = 50


class Bounded(logging.Filter):
    """Guards against a log without bounds: long lines are cut, and a flood of lines is dropped."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second, self.lines = int(record.created), 0
        self.lines += 1
        record.msg, record.args = record.getMessage()[:LONGEST_LINE], ()
        return self.lines <= LINES_A_SECOND


def stray(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """An exception that no code caught: told with its place, and the limiter goes on."""
    logging.getLogger("hookport").error(
        "unhandled: %s", context.get("message"), exc_info=context.get("exception")
    )


def reload(node: Node) -> None:
    """Guards against a bad file ending what serves: it is told, and the old configuration stays."""
    try:
        node.reconfigure(load_config(os.environ, reloading=True))
    except ConfigError as error:
        logging.getLogger("hookport").error("keeping the old configuration: %s", error)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(stray)
    node = Node(config, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.shut_down)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    loop.add_signal_handler(signal.SIGUSR1, node.report)
    await node.start()
    gc.collect()
    gc.freeze()  # what lives as long as the process is not walked again
    await node.clients.done.wait()
    node.close()


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something that can take a new one
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Bounded())
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        config = load_config(os.environ)
        uvloop.run(serve(config))
    except (ConfigError, OSError) as error:
        print(f"hookport: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from hookport.cli import main as command  # only now: the daemon imports none of it

        sys.exit(command())
    sys.exit(main())
