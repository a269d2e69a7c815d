# SPDX-License-Identifier: MIT
"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""
import asyncio
import json
import socket
import struct


class Request:
    """One request that a server has read."""

    def __init__(self, method, target, fields, body, writer):
        self.method, self.target, self.fields = method, target, fields
        self.body, self.writer = body, writer
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in filter(None, query.split("&")):
            name, _, value = pair.partition("=")
            self.query[_unescape(name)] = _unescape(value)

    def field(self, name, fallback=""):
        return self.fields.get(name.lower(), fallback)

    def json(self):
        return json.loads(self.body or b"{}")


def _unescape(text):
    parts = text.split("%")
    out = parts[0].encode()
    for part in parts[1:]:
        out += bytes([int(part[:2], 16)]) + part[2:].encode()
    return out.decode()


async def read_head(reader):
    """The first line and the fields; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, fields=None, body=b"", close=False):
    """The bytes of a whole response."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        fields = {"Content-Type": "application/json", **(fields or {})}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def abort(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
    except OSError:
        pass  # It is closed already.
    writer.transport.abort()


class Server:
    """Serves `handle(request)`, which returns the bytes of a response, or None
    if it has written the response or closed the connection itself."""

    def __init__(self, handle):
        self.handle = handle
        self.listeners = []
        self.writers = set()

    async def listen(self, address, port=0):
        server = await asyncio.start_server(self._serve, address, port,
                                            limit=1 << 22, backlog=512)
        self.listeners.append(server)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, writer)
                # A caller that closes the connection ends the work on it.
                work = asyncio.ensure_future(self.handle(request))
                gone = asyncio.ensure_future(_closed(reader))
                await asyncio.wait({work, gone},
                                   return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                data = work.result()
                if data is None:
                    if writer.is_closing():
                        return
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self):
        for server in self.listeners:
            server.close()
        self.listeners = []

    def end(self):
        """Ends like a process: connections are reset."""
        self.stop_listening()
        for writer in list(self.writers):
            abort(writer)


async def _closed(reader):
    """Returns when the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


class Answer:
    """What a client got: `status` 0 if the connection ended without a whole
    response, for the reason in `ended`."""

    def __init__(self):
        self.status, self.fields, self.body, self.ended = 0, {}, b"", ""


async def read_stream(address, port, data, timeout_s, on_event):
    """Sends one request and calls `on_event` for each whole event; the answer's
    body is empty, and its status 0 if the stream was cut."""
    out = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port,
                                                           limit=1 << 22)
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                out.ended = "closed without a response"
                return out
            out.fields = head[1]
            status = int(head[0].split(" ")[1])
            if status != 200:
                out.body = await read_body(reader, head[1])
                out.status = status
                return out
            rest = b""
            async for part in read_chunks(reader):
                *events, rest = (rest + part).split(b"\n\n")
                for event in events:
                    on_event(event.decode())
            out.status = status
    except (asyncio.IncompleteReadError, ValueError):
        out.ended = "response cut"
    except (TimeoutError, asyncio.TimeoutError):
        out.ended = "no response in time"
    except OSError as failed:
        out.ended = f"connection failed: {type(failed).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return out


async def exchange(address, port, data, timeout_s):
    """Sends one request on a new connection and reads the whole response."""
    out = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port,
                                                           limit=1 << 22)
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                out.ended = "closed without a response"
                return out
            out.fields = head[1]
            out.body = await read_body(reader, head[1])
            out.status = int(head[0].split(" ")[1])
    except asyncio.IncompleteReadError:
        out.ended = "response cut"
    except (TimeoutError, asyncio.TimeoutError):
        out.ended = "no response in time"
    except OSError as failed:
        out.ended = f"connection failed: {type(failed).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return out


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
