"""Callers, and a false peer, that send input without end, beside ordinary load.

A refusal of theirs is honest and their answers are not checked. Their connections must end in bounded time, the entries
stay below the memory of their instances, and other requests go on.
"""

import asyncio
import dataclasses
import math
import random
import socket

import endless_input
import faults
import http11

ORGANISATION, KEY = "endless", "e1"
ID_PREFIX = "endless-"  # Of the ids of requests that the checks leave out.
HEADER_SECONDS, IDLE_SECONDS = 3, 4  # Settings header-timeout-ms and idle-timeout-ms beside these callers.
# After this time a connection must have ended. For callers: the head, the body, the longest timeout of a route (8 s)
# and a margin of 3 s. The other ports allow 10 s for a head and 10 s for a body. A peer's answer has 2 s at most.
END_SECONDS = {"callers": HEADER_SECONDS + IDLE_SECONDS + 8 + 3, "readiness": 23, "metrics": 23, "peers": 23,
               "as a peer": 13}
MANY = 24  # Connections of one burst.
PIPELINE_SECONDS = 2.0  # A caller that pipelines sound requests may go on for as long as it likes.
DATAGRAMS, DATAGRAM_SECONDS = 400, 0.002
MAX_DATAGRAM_BYTES = 1400
READ_BYTES = 64 * 1024
MAX_PAUSE_SECONDS = 0.6
TARGETS = (("callers", KEY), ("callers", "unknown"), ("callers", None), ("peers", None), ("readiness", None),
           ("metrics", None))
# Of a round: a burst of a caller, datagrams, answers of a server, or of the key-value service. The last disturbs its
# readers, so it excuses checks with a bound on times, and is rare.
ROUNDS = ("burst",) * 5 + ("datagrams", "server", "server", "service")
WAYS = ("endless",) * 7 + ("pipelined", "unfinished", "silent")


@dataclasses.dataclass
class EndlessConnection:
    """A connection that sends input without end, and when its entry closed it. The entry is None if it isn't known."""

    entry: str | None
    port: str
    what: str
    begin: float
    end: float = math.inf


class EndlessCallers:
    """Draws all from random numbers of its own."""

    def __init__(self, world):
        self.world, self.rng = world, random.Random(f"{world.seed}/endless input")
        self.count, self.turn = 0, 0
        self.inputs = []  # Not yet sent: (port, key, name of the state).
        self.false_peer = None

    async def run(self, seconds):
        """Begins rounds for some seconds, and waits until the connections of all of them have ended. The first rounds
        send every state of a message to every port."""
        end, rounds = self.world.now() + seconds, []
        while seconds and (self.inputs or not rounds):
            rounds.append(asyncio.ensure_future(self._send_all_states(self.rng.choice(self.world.entries))))
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_SECONDS)
        while self.world.now() < end:
            rounds.append(asyncio.ensure_future(self._round(self.rng.choice(ROUNDS))))
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_SECONDS)
        await asyncio.gather(*rounds)

    async def start_false_peer(self):
        """Starts a peer whose answers never end. Returns its address."""
        rng = random.Random(f"{self.world.seed}/false peer")
        inputs = endless_input.Inputs(rng)

        async def answer(_request, writer):
            given = inputs.next("HTTP/1.1 200 OK", {})
            await self._send_as(None, "as a peer", given, rng.choice(endless_input.PACES), writer)
            raise http11.Broken("the answer has no end")

        self.false_peer = await http11.serve(answer)
        return f"127.0.0.1:{self.false_peer.sockets[0].getsockname()[1]}"

    async def _round(self, kind):
        if kind == "burst":
            await self._burst(self.rng.choice(self.world.entries))
        elif kind == "datagrams":
            await self._send_datagrams(self.rng.choice(self.world.entries))
        elif kind == "server":
            await faults.endless_input_of_server(self.world, self.rng)
        else:
            await faults.inject(self.world, faults.endless_input_of_service, asyncio.Lock(), self.rng)

    def _request(self, port, key):
        """Returns the first line and the headers of a request to the port."""
        self.count += 1
        if port == "peers":
            return "POST /peer HTTP/1.1", {"Host": "x"}
        if port != "callers":
            return f"GET /{port} HTTP/1.1", {"Host": "x"}
        headers = {"Host": "a.example", "X-Daisytack-Request-Id": f"{ID_PREFIX}{self.count}"}
        if key:
            headers["X-Api-Key"] = key
        return f"POST /{self.rng.choice(('call', 'safe', 'ask'))}/endless HTTP/1.1", headers

    async def _send_all_states(self, entry):
        """Sends the next some dozens of the states of a message to ports of an entry."""
        some = [self._next_input(False)]
        while self.inputs and len(some) < MANY:
            some.append(self._next_input(False))
        await self._open(entry, some, 1, "flood")

    def _next_input(self, may_be_cut):
        """Returns the port, the key and the input of the next connection. Those of all states of a message at all ports
        come once each in random order; every second one may be cut anywhere."""
        if not self.inputs:
            states = endless_input.named_inputs("POST / HTTP/1.1", {})
            self.inputs = [(port, key, state) for port, key in TARGETS for state in states]
            self.rng.shuffle(self.inputs)
        port, key, state = self.inputs.pop()
        self.turn += 1
        first, headers = self._request(port, key)
        if self.turn % 2 or not may_be_cut:
            return port, key, endless_input.named_inputs(first, headers)[state]
        return port, key, endless_input.random_input(self.rng, first, headers)

    async def _burst(self, entry):
        """Opens one connection, some dozens with the same input, or as many with unlike inputs."""
        way, pace = self.rng.choice(WAYS), self.rng.choice(endless_input.PACES)
        count, is_mixed = self.rng.choice(((1, False), (MANY, False), (MANY, True)))
        some = [self._next_input(True) for _ in range(count if is_mixed else 1)]
        if way == "pipelined":
            port, key, _ = some[0]
            first, headers = self._request(port, key)
            whole = http11.head_of(first, {**headers, "Content-Length": "1"}) + b"x"
            some = [(port, key, endless_input.Input("sound requests", b"", whole))]
        elif way == "unfinished":
            some = [(port, key, endless_input.Input(f"unfinished: {given.name}", given.begin or given.piece[:1], b""))
                    for port, key, given in some]
        elif way == "silent":
            some = [("callers", None, endless_input.Input("nothing", b"", b""))]
        await self._open(entry, some, count // len(some), pace)

    async def _open(self, entry, some, count, pace):
        for port, key, given in some:
            self.world.log(f"{count} callers without end at {port} of {entry.name}"
                           f"{f' with key {key}' if key else ''}: {given.name}, {pace}")
        await asyncio.gather(*[self._connect(entry, port, given, pace)
                               for port, _, given in some for _ in range(count)])

    async def _connect(self, entry, port, given, pace):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", entry.ports[port], limit=READ_BYTES), 1)
        except (OSError, asyncio.TimeoutError):
            return
        discarded = asyncio.ensure_future(discard(reader, writer))
        try:
            await self._send_as(entry.name, port, given, pace, writer)
        finally:
            discarded.cancel()
            http11.close(writer)

    async def _send_as(self, entry, port, given, pace, writer):
        sent = EndlessConnection(entry, port, f"{given.name}, {pace}", self.world.now())
        is_sound = given.name == "sound requests"
        seconds = PIPELINE_SECONDS if is_sound else END_SECONDS[port]
        if not is_sound:
            self.world.endless_connections.append(sent)
        is_over = False
        try:
            is_over = await endless_input.send(writer, given, pace, seconds)
        finally:
            # A server's task is cancelled when its connection ends.
            sent.end = math.inf if is_over else self.world.now()

    async def _send_datagrams(self, entry):
        """Sends datagrams of any bytes to the peers' port."""
        self.world.log(f"datagrams of any bytes to {entry.name}")
        rng = random.Random(self.rng.random())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
            for _ in range(DATAGRAMS):
                size = rng.choice((0, 1, 4, 64, MAX_DATAGRAM_BYTES))
                try:
                    out.sendto(rng.randbytes(size), ("127.0.0.1", entry.ports["peers"]))
                except OSError:
                    pass  # The entry doesn't run now.
                await asyncio.sleep(DATAGRAM_SECONDS)


async def discard(reader, writer):
    """Reads what comes, and closes the connection once its other side has."""
    try:
        while await reader.read(READ_BYTES):
            pass
    except OSError:
        pass
    http11.close(writer)


def organisations():
    return [{"name": ORGANISATION, "api-keys": [KEY]}]


def limits():
    return {"header-timeout-ms": HEADER_SECONDS * 1000, "idle-timeout-ms": IDLE_SECONDS * 1000}
