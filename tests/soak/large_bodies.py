"""Callers that send bodies of the allowed maximum size or don't read large answers, and the servers for them.

They hold as much of the entries' memory as they can get. They may be refused; the entries must stay below the memory of
their instances, and small requests of other organisations must go on.
"""

import asyncio
import dataclasses
import hashlib
import random

import http11

MAX_BODY_BYTES = 4_000_000  # Setting max-body-bytes.
PIECE_BYTES = 64 * 1024
ORGANISATIONS = {f"large{n}": f"l{n}" for n in range(3)}  # Name and key.
CALLERS = 4
MAX_AT_ONCE = 40
REQUEST_SECONDS = 6.0  # Deadline of a large request; after it the caller closes its connection.
DEAF_SECONDS = 5.0  # How long a server doesn't read.
SLOW_PIECE_SECONDS = 0.05
BODY = random.Random(0).randbytes(MAX_BODY_BYTES)
LARGE_ANSWER = BODY[::-1]
UNSENT_BYTES = 100  # What a body lacks when its sender stops.


@dataclasses.dataclass
class LargeRequest:
    """One request with a large body or answer, and its result."""

    id: str
    kind: str
    entry: str
    at: float
    size: int
    status: int = 0
    retry_after: str = ""
    answer: bytes = b""
    is_whole: bool = False  # Whether the caller got the whole answer.


class LargeServer:
    """Reads bodies at once ("fast"), slowly ("slow"), or not for some seconds ("deaf"), and answers with their digest. A
    GET gets a large answer."""

    def __init__(self, pace):
        self.id, self.pace = f"large-{pace}-1", pace
        self.read_whole = set()  # Ids of the requests that were read whole.
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=PIECE_BYTES)
        return self

    def record(self):
        return {"service": "large", "address": f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}", "zone": "d0",
                "version": "v1", "slots": 256, "state": "ready", "cold-remaining-ms": 0, "sequence": 0}

    async def _connection(self, reader, writer):
        try:
            while True:
                first, headers = await http11.read_head(reader)
                await self._answer(first[0], headers, reader, writer)
        except (http11.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            http11.close(writer)

    async def _answer(self, method, headers, reader, writer):
        request_id = headers.get("x-daisytack-request-id", "")
        size = int(headers.get("content-length", "0"))
        if size and self.pace == "deaf":
            await asyncio.sleep(DEAF_SECONDS)
        digest, left = hashlib.sha256(), size
        while left:
            piece = await http11.read_exactly(reader, min(left, PIECE_BYTES))
            digest.update(piece)
            left -= len(piece)
            await asyncio.sleep(SLOW_PIECE_SECONDS if self.pace == "slow" else 0)
        self.read_whole.add(request_id)
        echo = {"X-Daisytack-Request-Id": request_id, "X-Daisytack-Server-Signature": self.id}
        answer = LARGE_ANSWER if method == "GET" else digest.hexdigest().encode()
        writer.write(http11.head_of("HTTP/1.1 200 OK", {**echo, "Content-Length": str(len(answer))}))
        for n in range(0, len(answer), PIECE_BYTES):
            writer.write(answer[n:n + PIECE_BYTES])
            await writer.drain()


class LargeCaller:
    """Sends some large requests at once to one entry, again and again, until it is cancelled."""

    def __init__(self, number, world):
        self.name, self.world = f"large{number}", world
        self.rng = random.Random(f"{world.seed}/{self.name}")
        self.count = 0

    async def run(self):
        while True:
            entry, kind = self.rng.choice(self.world.entries), self.rng.choice(("whole", "slow", "stops", "unread"))
            some = self.rng.randint(5, MAX_AT_ONCE)
            self.world.log(f"{self.name}: {some} requests at {entry.name}, {kind}")
            await asyncio.gather(*[self._send(entry, kind) for _ in range(some)])
            await asyncio.sleep(self.rng.random())

    async def _send(self, entry, kind):
        self.count += 1
        sent = LargeRequest(f"{self.name}-{self.count}", kind, entry.name, self.world.now(),
                            0 if kind == "unread" else self.rng.choice((MAX_BODY_BYTES // 4, MAX_BODY_BYTES)))
        self.world.large_sent.append(sent)
        key = self.rng.choice(list(ORGANISATIONS.values()))
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", entry.ports["callers"], limit=PIECE_BYTES), 1)
        except (OSError, asyncio.TimeoutError):
            return
        answer = asyncio.ensure_future(self._read_answer(sent, reader))
        try:
            await asyncio.wait_for(self._exchange(sent, key, answer, writer), REQUEST_SECONDS + 1)
        except (OSError, asyncio.TimeoutError, http11.Broken):
            pass
        finally:
            answer.cancel()
            await asyncio.gather(answer, return_exceptions=True)
            http11.close(writer)

    async def _exchange(self, sent, key, answer, writer):
        method, path = ("GET", "/get/") if sent.kind == "unread" else ("POST", "/put/")
        writer.write(http11.head_of(f"{method} {path}{sent.id} HTTP/1.1", {
            "Host": "a.example", "X-Daisytack-Request-Id": sent.id, "X-Api-Key": key,
            "X-Daisytack-Deadline-Milliseconds": str(round(REQUEST_SECONDS * 1000)), "Content-Length": str(sent.size)}))
        size = sent.size - UNSENT_BYTES if sent.kind == "stops" else sent.size
        for n in range(0, size, PIECE_BYTES):
            if answer.done():
                break  # It was refused.
            writer.write(BODY[n:min(n + PIECE_BYTES, size)])
            await writer.drain()
            if sent.kind == "slow":
                await asyncio.sleep(SLOW_PIECE_SECONDS)
        await answer

    async def _read_answer(self, sent, reader):
        first, headers = await http11.read_head(reader)
        sent.status, sent.retry_after = int(first[1]), headers.get("retry-after", "")
        if sent.kind == "unread" and sent.status == 200:
            await asyncio.sleep(self.rng.random() * REQUEST_SECONDS)
        sent.answer = await http11.read_body(reader, headers)
        sent.is_whole = True
        if sent.kind == "unread":
            # Kept as its digest: the large answers of a run are more than a process should hold.
            sent.answer = hashlib.sha256(sent.answer).hexdigest().encode()


def expected_answer(sent):
    """Returns the digest that is the whole answer to a large request, or stands for it."""
    data = LARGE_ANSWER if sent.kind == "unread" else BODY[:sent.size]
    return hashlib.sha256(data).hexdigest().encode()


def services():
    return [{"name": "large", "connection-limit": 200}]


def routes(route):
    slow = {"service": "large", "target-latency-ms": 5000, "timeout-ms": 8000, "attempts": 1}
    return [{**route, **slow, "name": "put", "path-prefix": "/put/", "kind": "unsafe"},
            {**route, **slow, "name": "get", "path-prefix": "/get/", "kind": "safe"}]


def organisations():
    return [{"name": name, "api-keys": [key]} for name, key in ORGANISATIONS.items()]


async def start_servers():
    return [await LargeServer(it).start() for it in ("fast", "slow", "deaf")]
