"""Input without end: a sound HTTP message up to any of its bytes, then its last piece again and again.

Servers, the key-value service, callers and a false peer send it; see docs/SOAK.md.
"""

import asyncio
import dataclasses
import re

import http11

PACES = ("slow", "quick", "flood", "flood")
SLOW_SECONDS, QUICK_SECONDS = 0.05, 0.005  # Between two blocks; a slow block is one piece.
BLOCK_BYTES = 64 * 1024
# All floods of a run together: an entry that keeps what it can't parse passes 88 MB within two seconds, and the
# soak's only thread has time left for everything else.
FLOOD_BYTES_PER_SECOND = 64e6
MAX_LAG_SECONDS, LAG_FACTOR = 0.01, 3.0
MAX_WAIT_SECONDS = 0.5  # A sender notices the end of its connection within this time.
MAX_MESSAGE_BYTES = 10 ** 12  # Length of a body that never ends.
UNITS = ("byte", "line", "two lines", "part")
EVENTS = b"id: 1\nevent: m\ndata: a\n\n: comment\nid: 2\ndata: b\n\n"
NO_HTTP = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"


@dataclasses.dataclass(frozen=True)
class Input:
    """Bytes that begin, and those that follow again and again. Immutable."""

    name: str
    begin: bytes
    piece: bytes

    def block(self, pace):
        """Returns what is sent at once; nothing if only the beginning is sent."""
        return self.piece if pace == "slow" or not self.piece else self.piece * max(1, BLOCK_BYTES // len(self.piece))


class Pace:
    """Shares FLOOD_BYTES_PER_SECOND among all floods, and less while the soak's own thread is late: it measures times
    of the stand-ins, too."""

    def __init__(self):
        self.free_at = 0.0

    async def wait(self, size):
        loop = asyncio.get_event_loop()
        due = max(self.free_at, loop.time()) + size / FLOOD_BYTES_PER_SECOND
        self.free_at = due = min(due, loop.time() + MAX_WAIT_SECONDS)
        await asyncio.sleep(due - loop.time())
        lag = loop.time() - due - MAX_LAG_SECONDS
        self.free_at = max(self.free_at, loop.time() + LAG_FACTOR * max(0.0, lag))


FLOOD_PACE = Pace()


def chunk(data, extension=b";a=b"):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def messages(first, headers):
    """Returns sound messages with a body of each framing, by name. The headers come from the sender."""
    def head(**more):
        return http11.head_of(first, {**headers, "Content-Type": "text/event-stream", **more})

    chunked = head(**{"Transfer-Encoding": "chunked"})
    out = {
        "length": head(**{"Content-Length": str(MAX_MESSAGE_BYTES)}) + EVENTS,
        "chunks": (chunked + chunk(EVENTS) + chunk(EVENTS, b"") + b"0;c=d\r\n"
                   + b"X-First: v\r\nX-Second: w\r\n\r\n")}
    if first.startswith("HTTP/"):
        out["unframed"] = head() + EVENTS
        out["interim"] = (b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                          + out["length"])
    return out


def cut(name, message, size, unit):
    """Cuts a message after a number of bytes, or after the line of that byte, and repeats its last piece: a byte, one
    or two lines, or a part, which ends with an empty line."""
    begin = message[:size]
    if unit != "byte":
        begin += message[size:].partition(b"\n")[0] + b"\n"
    lines = re.findall(rb"[^\n]*\n", begin)
    if unit == "byte":
        piece = begin[-1:]
    elif unit == "part":
        end = max((m.end() for m in re.finditer(rb"\r?\n\r?\n", begin[:-4])), default=0)
        piece = begin[end:]
    else:
        piece = b"".join(lines[-1 if unit == "line" else -2:])
    return Input(f"{name} cut at byte {size}, {unit}", begin, piece)


def random_input(rng, first, headers):
    some = messages(first, headers)
    name = rng.choice(sorted(some))
    return cut(name, some[name], rng.randint(1, len(some[name]) - 1), rng.choice(UNITS))


def named_inputs(first, headers):
    """Returns an input for each state of a message's parser, by name."""
    some = messages(first, headers)
    bare = http11.head_of(first, headers)[:-2]  # Without the empty line.
    chunked = some["chunks"][:some["chunks"].index(EVENTS)].rpartition(b"\r\n")[0].rpartition(b"\r\n")[0] + b"\r\n"
    length = some["length"][:-len(EVENTS)]
    out = {
        "start line": (first.encode()[:-1], b"x"),
        "header name": (bare, b"x"),
        "header value": (bare + b"X-Long: ", b"x"),
        "headers": (bare, b"X-Many: v\r\n"),
        "body with a length": (length, b"x"),
        "chunk size": (chunked, b"0"),
        "chunk extension": (chunked + b"1;a=", b"x"),
        "chunk extension of the last chunk": (chunked + chunk(b"x") + b"0;a=", b"x"),
        "chunks": (chunked, chunk(b"x")),
        "chunks of one byte without extensions": (chunked, chunk(b"x", b"")),
        "chunk data": (chunked + b"%x\r\n" % MAX_MESSAGE_BYTES, b"x"),
        "trailer line": (chunked + b"0\r\nX-Long: ", b"x"),
        "trailer name": (chunked + b"0\r\n", b"x"),
        "trailers": (chunked + chunk(b"x") + b"0\r\n", b"X-Many: v\r\n"),
        "no HTTP": (b"", NO_HTTP),
        "empty lines": (b"", b"\r\n"),
        "one event": (length + b"data: ", b"x"),
        "events": (length, b"id: 1\ndata: a\n\n"),
        "events in chunks": (chunked, chunk(b"id: 1\ndata: a\n\n", b"")),
        "comment lines": (length, b": comment\n"),
        "id lines": (length, b"id: 1\n")}
    if first.startswith("HTTP/"):
        out["interim answers"] = (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
        out["interim answer with many headers"] = (b"HTTP/1.1 103 Early Hints\r\n", b"Link: </x>\r\n")
        out["body without a length"] = (some["unframed"][:-len(EVENTS)], b"x")
    return {name: Input(name, begin, piece) for name, (begin, piece) in out.items()}


class Inputs:
    """Gives one input after another: those of all states of a message in random order, and between them as many that
    are cut anywhere."""

    def __init__(self, rng):
        self.rng, self.left, self.turn = rng, [], 0

    def next(self, first, headers):
        self.turn += 1
        if self.turn % 2 == 0:
            return random_input(self.rng, first, headers)
        named = named_inputs(first, headers)
        if not self.left:
            self.left = sorted(named)
            self.rng.shuffle(self.left)
        return named[self.left.pop()]


async def send(writer, given, pace, seconds):
    """Sends the input until the connection is closed or the time is over; returns whether the time was over."""
    block, loop = given.block(pace), asyncio.get_event_loop()
    end = loop.time() + seconds
    try:
        writer.write(given.begin)
        while not writer.is_closing():
            left = end - loop.time()
            if left <= 0:
                return True
            writer.write(block)
            # wait_for() loses a cancellation that comes as its coroutine ends, before Python 3.12.
            async with asyncio.timeout(left):
                await writer.drain()
            if pace == "flood" and block:
                await FLOOD_PACE.wait(len(block))
            else:
                await asyncio.sleep(QUICK_SECONDS if pace == "quick" and block else SLOW_SECONDS)
    except OSError:
        pass  # The other side has closed the connection.
    except asyncio.TimeoutError:
        return True
    return False
