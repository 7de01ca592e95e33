"""Signals that arrive while the daemon starts, before its event loop handles them."""

from __future__ import annotations

import signal


class StartupSignals:
    """Remembers the signals of a start; with the default handlers they would end the process, or be lost."""

    def __init__(self) -> None:
        self.reload_requested = self.stop_requested = False

    def install(self) -> None:
        """Remember SIGHUP, SIGTERM and SIGINT from now on, until other handlers take over."""
        signal.signal(signal.SIGHUP, self.on_reload)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self.on_stop)

    def on_reload(self, *_: object) -> None:
        self.reload_requested = True

    def on_stop(self, *_: object) -> None:
        self.stop_requested = True
