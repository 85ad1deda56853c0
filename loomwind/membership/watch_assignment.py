"""Assigns each back end to a few daemons that watch it, by rendezvous hashing."""

import xxhash


def assigned_watchers(backend: str, daemons: list[str], count: int) -> list[str]:
    """Return the daemons that watch a back end.

    :param daemons: names of the live daemons.
    :param count: the number of daemons that watch each back end.
    """
    return sorted(
        daemons, key=lambda daemon: xxhash.xxh64_intdigest(f"{backend}/{daemon}".encode())
    )[:count]


def assigned_backends(
    daemon: str, backends: list[str], daemons: list[str], count: int
) -> list[str]:
    """Return the back ends that a daemon watches."""
    return [backend for backend in backends if daemon in assigned_watchers(backend, daemons, count)]
