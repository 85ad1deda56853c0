"""Entry point of the command line, which also runs as ``python -m loomwind``."""

import signal
import sys


def main() -> None:
    """Run the command line interface."""
    if sys.argv[1:2] == ["serve"]:
        # The default action of a reload signal would end a daemon that is still starting.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from loomwind import cli

    cli.main()


if __name__ == "__main__":
    main()
