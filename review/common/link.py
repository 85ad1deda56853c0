"""A link between a daemon and one server: passes connections on until it is cut.

SIGUSR1 cuts it: connections are reset and new ones are refused. Argument: host:port of the server.
"""

import asyncio
import contextlib
import signal
import socket
import struct
import sys


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def main() -> None:
    """Run the link until it is killed."""
    host, _, port = sys.argv[1].rpartition(":")
    writers: set[asyncio.StreamWriter] = set()

    async def pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset(writer)

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        writers.update((writer, far_writer))
        await asyncio.gather(pass_on(reader, far_writer), pass_on(far_reader, writer))
        writers.difference_update((writer, far_writer))

    listener = await asyncio.start_server(on_connection, "127.0.0.1", 0)

    def cut() -> None:
        listener.close()
        for writer in list(writers):
            reset(writer)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, cut)
    print(f"ready {listener.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
