"""The daemon's entry point (``python -m hookport``)."""

from __future__ import annotations

import sys

from hookport.startup_signals import StartupSignals


def main() -> int:
    """Run one limiter until it has shut down; returns its exit status."""
    signals = StartupSignals()
    signals.install()
    from hookport import daemon  # imported with the signals installed: loading it takes a while

    return daemon.main(signals)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from hookport.cli import main as command  # imported here because the daemon doesn't need it

        sys.exit(command())
    sys.exit(main())
