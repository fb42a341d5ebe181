"""The subset of HTTP/1.1 over asyncio that the soak's stand-ins and callers need."""

import asyncio
import math
import socket
import struct

MAX_HEAD_BYTES = 64 * 1024
CLOSE_POLL_SECONDS = 0.02


class Broken(Exception):
    """The peer closed or reset the connection, or sent invalid HTTP."""


class Message:
    """A request or response: the words of its first line, the headers by lower-case name, and the body."""

    read_at = 0.0  # When a server had read it, also if it was suspended then.

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a message head; returns the words of its first line and the headers."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_exactly(reader, size):
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Broken(str(error)) from error


async def read_chunk(reader):
    """Reads the next chunk of a body; returns an empty one at the end."""
    try:
        line = await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    try:
        size = int(line.strip() or b"x", 16)
    except ValueError as error:
        raise Broken(f"chunk {line!r}") from error
    data = await read_exactly(reader, size + 2)
    return data[:-2]


async def read_body(reader, headers):
    """Reads the whole body of a message, by its Content-Length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while chunk := await read_chunk(reader):
            out += chunk
        return out
    return await read_exactly(reader, int(headers.get("content-length", "0")))


async def read_message(reader):
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def head_of(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode()


def response(status, headers, body=b""):
    return head_of(f"HTTP/1.1 {status} X", {**headers, "Content-Length": str(len(body))}) + body


def reset(writer):
    """Makes the close of the connection a reset."""
    connection = writer.get_extra_info("socket")
    if connection and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def end_connection(writer):
    """Ends the connection after the data written so far, so that its peer reads the end of the data."""
    await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()
    raise Broken("the connection ends")


def close(writer):
    """Aborts the connection; unsent data is dropped."""
    try:
        writer.transport.abort()
    except (OSError, RuntimeError):
        pass


class ConnectionPolicy:
    """How a server treats its connections. Fault switches: idle connections are closed after idle_seconds, those beyond
    max_open are reset, and while the server is suspended, as by SIGSTOP, it does nothing about what it has received."""

    def __init__(self):
        self.idle_seconds, self.max_open = None, None
        self.open = 0
        self.suspensions = []  # (begin, end); end is infinite while it lasts.
        self._runs = asyncio.Event()
        self._runs.set()

    def suspend(self):
        self.suspensions.append((asyncio.get_event_loop().time(), math.inf))
        self._runs.clear()

    def resume(self):
        if self.is_suspended():
            self.suspensions[-1] = (self.suspensions[-1][0], asyncio.get_event_loop().time())
            self._runs.set()

    def is_suspended(self):
        return not self._runs.is_set()

    async def wait_resumed(self):
        await self._runs.wait()

    def suspended_seconds(self, begin, end):
        """Returns how much of the time the server was suspended for."""
        return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in self.suspensions)


async def run_until_closed(step, reader, policy):
    """Runs the coroutine, and cancels it when the peer closes the connection."""
    task = asyncio.ensure_future(step)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=CLOSE_POLL_SECONDS)
            if not task.done() and (reader.at_eof() or reader.exception()):
                await policy.wait_resumed()
                raise Broken("the peer closed the connection")
        task.result()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def serve(handle, port=0, policy=None):
    """Calls handle(request, writer) for each request, until it raises Broken or either side closes the connection."""
    policy = policy or ConnectionPolicy()

    async def connection(reader, writer):
        policy.open += 1
        try:
            if policy.max_open is not None and policy.open > policy.max_open:
                reset(writer)
                return
            while not writer.is_closing():
                request = await asyncio.wait_for(read_message(reader), policy.idle_seconds)
                request.read_at = asyncio.get_event_loop().time()
                await policy.wait_resumed()
                await run_until_closed(handle(request, writer), reader, policy)
        except (Broken, OSError, asyncio.CancelledError, asyncio.TimeoutError):
            pass
        finally:
            policy.open -= 1
            close(writer)

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=MAX_HEAD_BYTES)
