"""Answers of servers whose bytes don't end until the entry closes the connection."""

import asyncio

import http11

KINDS = ("head", "body", "chunks", "unframed body", "no HTTP")
INTERVAL = 4  # One in this many answers has no end.
MAX_SECONDS = 30.0  # Ends an answer that the entry does not close.
PIECE = b"x" * 16384
FRAMING = {"body": {"Content-Length": str(10 ** 12)}, "chunks": {"Transfer-Encoding": "chunked"}}


def begin_of(kind, headers):
    if kind == "no HTTP":
        return b""
    if kind == "head":
        return b"HTTP/1.1 200 OK\r\nX-Long: "
    return http11.head_of("HTTP/1.1 200 OK", {**headers, **FRAMING.get(kind, {})})


async def send(writer, headers, kind, is_slow):
    """Sends bytes until the connection is closed: one each 50 ms, or as many as it takes, a few MB a second at most."""
    piece = b"x" if is_slow else PIECE
    if kind == "chunks":
        piece = b"%x\r\n%s\r\n" % (len(piece), piece)
    end = asyncio.get_event_loop().time() + MAX_SECONDS
    try:
        writer.write(begin_of(kind, headers))
        while not writer.is_closing() and asyncio.get_event_loop().time() < end:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.05 if is_slow else 0.005)
    except OSError:
        pass  # The entry has closed the connection.
