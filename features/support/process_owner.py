"""Starts a stand-in, prints the id of its process and waits to be ended, as a test run would."""

import signal
import tempfile
from pathlib import Path

from features.support.processes import Process


def main() -> None:
    """Run until a signal comes."""
    with tempfile.TemporaryDirectory() as folder:
        process = Process("standins.pool.store", [], Path(folder) / "store.log")
        process.ports()
        print(process.identity, flush=True)
        signal.pause()


if __name__ == "__main__":
    main()
