"""The subset of HTTP/1.1 over asyncio that the stand-ins and clients of the review need."""

import asyncio
import socket
import struct

HEAD_LIMIT = 64 * 1024


class Closed(Exception):
    """The connection ended or failed, or its bytes are no HTTP message."""


class Message:
    """A request or a response."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at the end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
        return (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
        raise Closed(str(error)) from error


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while chunk := await read_chunk(reader):
            out += chunk
        return out
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Closed(str(error)) from error


async def read_message(reader):
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def head(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode()


def response(status, headers=None, body=b""):
    return head(f"HTTP/1.1 {status} X", {**(headers or {}), "Content-Length": str(len(body))}) + body


def reset(writer):
    """Resets the connection."""
    connection = writer.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    except (OSError, RuntimeError, AttributeError):
        pass


async def serve(handle, port=0, host="127.0.0.1"):
    """Calls handle(request, reader, writer) for each request of a connection, one after the other, until it raises
    Closed or the peer leaves."""

    async def connection(reader, writer):
        try:
            while True:
                await handle(await read_message(reader), reader, writer)
                await writer.drain()
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except (OSError, RuntimeError):
                pass

    return await asyncio.start_server(connection, host, port, limit=HEAD_LIMIT)


def port_of(server):
    return server.sockets[0].getsockname()[1]


async def call(port, method, target, headers=None, body=b"", timeout=5.0, host="127.0.0.1"):
    """One request on a new connection. Returns the whole response, or None if the connection ended without one."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
        fields = {"Host": "x", **(headers or {})}
        if method not in ("GET", "HEAD") or body:
            fields["Content-Length"] = str(len(body))
        writer.write(head(f"{method} {target} HTTP/1.1", fields) + body)
        return await asyncio.wait_for(read_message(reader), timeout)
    except (Closed, OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()
