"""Starts the programs under test as processes of their own, and ends them by their ids."""

import contextlib
import ctypes
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

START_TIMEOUT_SECONDS = 30.0
WAIT_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.02
PORT_BASE_VARIABLE = "LOOMWIND_PORT_BASE"
FIRST_PORT = 10_000
# Runs side by side. Their ports stay below those that the kernel gives to outgoing connections.
PARALLEL_RUNS = 4
PORTS_PER_RUN = 5_600
# From <linux/prctl.h>: the signal that a process gets when the thread that started it ends.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent() -> None:
    """Let the kernel end this process with its parent; run in a child before its program.

    What a killed test run left behind would go on speaking to the addresses that it knew, which
    the next run gives to its own processes.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def wait_until(
    condition: Callable[[], bool], what: str, timeout: float = WAIT_TIMEOUT_SECONDS
) -> None:
    """Wait on a condition.

    :raises AssertionError: it never came true; the time limit only ends a hopeless wait.
    """
    limit = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError(f"never came true: {what}")
        time.sleep(POLL_SECONDS)


def _port_base() -> int:
    return int(
        os.environ.get(PORT_BASE_VARIABLE, FIRST_PORT + os.getpid() % PARALLEL_RUNS * PORTS_PER_RUN)
    )


_port_numbers = itertools.count()


def free_port() -> int:
    """Return a port that nothing listens on.

    It is below the range that the kernel gives to outgoing connections, and no two runs that the
    test runner starts side by side share any, so nobody takes it before its process binds it.
    """
    while True:
        port = _port_base() + next(_port_numbers) % PORTS_PER_RUN
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Process:
    """One process of the project."""

    def __init__(
        self,
        module: str,
        arguments: list[str],
        log: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Start ``python -m module``.

        :param environment: with this environment, standard output goes to the log as well.
        """
        self._log = log.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE if environment is None else self._log,
            stderr=self._log,
            text=True,
            env=environment,
            preexec_fn=end_with_parent,
        )

    def ports(self) -> list[int]:
        """Return the ports of the line ``ready PORT ...``."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline().split()
        if not line or line[0] != "ready":
            raise AssertionError(f"did not start: {line}")
        return [int(port) for port in line[1:]]

    @property
    def identity(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, or None while it runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.alive:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """End the process with SIGKILL and wait for it."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def close(self) -> None:
        """End the process and its log."""
        with contextlib.suppress(ProcessLookupError):
            self.kill()
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._log.close()
