"""TCP proxies that simulate network faults; each forwards to one target address.

``python -m standins.link --targets HOST:PORT,HOST:PORT`` prints ``ready``, the port of each link
in order, and the control port. A line ``STATE [TARGET...]`` on the control port, with a state of
:class:`LinkState`, sets the state of the links to these targets, or of all links, and is echoed.
"""

import asyncio
import enum
import socket

import fire

LISTEN_BACKLOG = 100
# With a backlog of 0, the kernel drops SYN packets once this many connections are pending.
BACKLOG_FILL_CONNECTIONS = 4


class LinkState(enum.Enum):
    """How a link treats connections and data.

    ``heal`` forwards everything; ``cut`` aborts open connections, and new ones after accepting
    them; ``reset`` aborts open connections and refuses new ones; ``refuse_new`` refuses new
    connections and keeps open ones; ``blackhole`` accepts connections and drops all data;
    ``partition`` drops all data, and new connections hang.
    """

    OPEN = "heal"
    CUT = "cut"
    BLACKHOLE = "blackhole"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"
    PARTITION = "partition"

    @property
    def forwards_bytes(self) -> bool:
        """Whether data on open connections is forwarded."""
        return self in (LinkState.OPEN, LinkState.REFUSE_NEW)

    @property
    def aborts_open_connections(self) -> bool:
        """Whether open connections are aborted."""
        return self in (LinkState.CUT, LinkState.RESET)

    @property
    def refuses_new_connections(self) -> bool:
        """Whether new connections are refused."""
        return self in (LinkState.RESET, LinkState.REFUSE_NEW)


class Link:
    """TCP proxy to one target."""

    def __init__(self, target: str, host: str) -> None:
        self.target = target
        target_host, _, target_port = target.rpartition(":")
        self._target_address = (target_host, int(target_port))
        self._state = LinkState.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._backlog_sockets: list[socket.socket] = []
        self._accept_task: asyncio.Task[None] | None = None
        self._listener = self._listen((host, 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        self._start_accepting()

    @staticmethod
    def _listen(address: tuple[str, int]) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(LISTEN_BACKLOG)
        return listener

    def _start_accepting(self) -> None:
        self._accept_task = asyncio.get_running_loop().create_task(self._accept_connections())

    async def _accept_connections(self) -> None:
        while True:
            client_socket, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            task = asyncio.get_running_loop().create_task(self._forward_connection(client_socket))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def set_state(self, state: LinkState) -> None:
        """Switch the link to a state."""
        await self._stop_accepting()
        self._state = state
        if state.aborts_open_connections:
            for writer in list(self._writers):
                writer.transport.abort()
        if state.refuses_new_connections:
            self._listener.close()
            return
        if self._listener.fileno() < 0:
            self._listener = self._listen(self.address)
        if state is LinkState.PARTITION:
            self._fill_backlog()
        else:
            self._listener.listen(LISTEN_BACKLOG)
            self._start_accepting()

    async def _stop_accepting(self) -> None:
        if self._accept_task is not None:
            self._accept_task.cancel()
            await asyncio.wait([self._accept_task])
            self._accept_task = None
        for backlog_socket in self._backlog_sockets:
            backlog_socket.close()
        self._backlog_sockets.clear()

    def _fill_backlog(self) -> None:
        """Fill the listen backlog, so that further connections hang."""
        self._listener.listen(0)
        for _ in range(BACKLOG_FILL_CONNECTIONS):
            backlog_socket = socket.socket()
            backlog_socket.setblocking(False)
            backlog_socket.connect_ex(self.address)
            self._backlog_sockets.append(backlog_socket)

    async def _forward_connection(self, client_socket: socket.socket) -> None:
        """Forward a connection in both directions."""
        reader, writer = await asyncio.open_connection(sock=client_socket)
        if self._state is LinkState.CUT:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target_address)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        tasks = [
            asyncio.create_task(self._forward(reader, target_writer)),
            asyncio.create_task(self._forward(target_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self._writers -= {writer, target_writer}
        target_writer.transport.abort()
        writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if self._state.forwards_bytes:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return


class SimulatedNetwork:
    """The links of this process and their control connection."""

    def __init__(self, targets: list[str], host: str) -> None:
        self.links = [Link(target, host) for target in targets]

    async def control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Apply commands from a control connection, one per line."""
        while line := await reader.readline():
            state, *targets = line.decode().split()
            for link in self.links:
                if not targets or link.target in targets:
                    await link.set_state(LinkState(state))
            writer.write(line)
        writer.close()


async def _serve(targets: list[str], host: str) -> None:
    network = SimulatedNetwork(targets, host)
    control = await asyncio.start_server(network.control, host, 0)
    ports = [str(link.address[1]) for link in network.links]
    ports.append(str(control.sockets[0].getsockname()[1]))
    print("ready", *ports, flush=True)
    await asyncio.Event().wait()


def main(targets: str | tuple[str, ...], host: str = "127.0.0.1") -> None:
    """Run the links until the process is killed.

    :param targets: comma-separated ``host:port`` of each link's target.
    """
    target_list = targets.split(",") if isinstance(targets, str) else list(targets)
    asyncio.run(_serve(target_list, host))


if __name__ == "__main__":
    fire.Fire(main)
