# SPDX-License-Identifier: MIT
"""A loopback proxy before one port, which delays, silences, cuts and resets
what passes it."""
import asyncio
import enum
import socket
import struct


class Mode(enum.Enum):
    """What happens to bytes."""
    PASS = "pass"
    # Bytes wait before they go on.
    DELAY = "delay"
    # Nothing passes, and nobody is told.
    SILENT = "silent"
    # The same, but only from the far end back.
    SILENT_BACK = "silent_back"
    # Connections are refused.
    REFUSE = "refuse"


class Proxy:
    """Passes TCP connections on to a port of this machine."""

    def __init__(self, target: int):
        self.target = target
        self.port = 0
        self.mode = Mode.PASS
        self.delay_s = 0.05
        self.server = None
        self.pairs = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self.server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections, at both ends."""
        for pair in list(self.pairs):
            for writer in pair:
                _abort(writer)

    async def _accept(self, reader, near) -> None:
        if self.mode is Mode.REFUSE:
            _abort(near)
            return
        try:
            back, far = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            _abort(near)
            return
        pair = (near, far)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, far, False),
                                 self._pump(back, near, True))
        finally:
            self.pairs.discard(pair)
            for writer in pair:
                writer.close()

    async def _pump(self, source, sink, backward: bool) -> None:
        try:
            while True:
                data = await source.read(65536)
                while self._is_silent(backward):
                    await asyncio.sleep(0.05)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                if not data:
                    break
                sink.write(data)
                await sink.drain()
            if sink.can_write_eof():
                sink.write_eof()
        except (OSError, RuntimeError):
            _abort(sink)

    def _is_silent(self, backward: bool) -> bool:
        return self.mode is Mode.SILENT or (
            self.mode is Mode.SILENT_BACK and backward)


class BlockedPort:
    """A port on loopback to which no connection can be opened: the kernel drops
    the opening packets, as for a machine without power."""

    def __init__(self, port: int):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(0)
        self.sockets = [listener]
        # They fill the queue of the listener.
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self.sockets.append(filler)

    def close(self) -> None:
        for each in self.sockets:
            each.close()


class HostLink(Proxy):
    """The path from one host to one backend server, which can be cut."""

    def __init__(self, target: int):
        super().__init__(target)
        # Set while no new connection can be opened.
        self.blocked = None

    def cut(self, how: str) -> None:
        """`silent`: nothing passes; `back`: nothing comes back; `reset`:
        connections are reset and new ones refused; `live`: connections live
        on and new ones are refused."""
        self.server.close()
        if how == "reset":
            self.reset()
        if how in ("silent", "back"):
            self.mode = Mode.SILENT if how == "silent" else Mode.SILENT_BACK
            self.blocked = BlockedPort(self.port)

    async def heal(self) -> None:
        if self.blocked:
            self.blocked.close()
        self.blocked = None
        self.mode = Mode.PASS
        await self.start()


def _abort(writer) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
    except OSError:
        # It is closed already.
        pass
    writer.transport.abort()
