"""Messages that arrive a byte at a time end no entry.

Guards against assertions of the HTTP parser that hold only while messages arrive in larger pieces: "0\\r\\n" and a byte
more ended an entry by SIGABRT, from a caller without a key, at every port.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import http11  # noqa: E402
from endless_input import chunk  # noqa: E402
from fleet import BUILD, Fleet  # noqa: E402
from soak import World, end_everything  # noqa: E402

BYTE_SECONDS = 0.002  # Between two bytes, so that most are read by themselves.
ANSWER_SECONDS = 5
SEED = 1
ID = "00112233"
PORTS = {"callers": "POST /safe/x HTTP/1.1", "peers": "POST /peer HTTP/1.1", "readiness": "GET /readiness HTTP/1.1",
         "metrics": "GET /metrics HTTP/1.1"}
LAST_CHUNKS = (b"0\r\n\r\n", b"00\r\n\r\n", b"0;a=b\r\n\r\n", b"0\r\nX-First: v\r\n\r\n", b"0\r\n\r\nx",
               b"0\r\nx\r\n\r\n", b"0\n\n")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
BODIES = tuple(begin + last for begin in (b"", chunk(b"x", b""), chunk(b"xy")) for last in LAST_CHUNKS)


def message(first, body, headers=()):
    return http11.head_of(first, {"Host": "a.example", **dict(headers), "Transfer-Encoding": "chunked"}) + body


async def write_bytes(writer, data, at_once):
    """Sends the first bytes at once and the others one by one."""
    writer.write(data[:at_once])
    for n in range(at_once, len(data)):
        await asyncio.sleep(BYTE_SECONDS)
        writer.write(data[n:n + 1])


async def send(port, data, at_once):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await write_bytes(writer, data, at_once)
        await asyncio.wait_for(reader.read(1), ANSWER_SECONDS)
        http11.close(writer)
    except (OSError, asyncio.TimeoutError):
        pass  # What matters is whether the entry ends.


def check_runs(world, what):
    ended = [(it.name, it.ended()) for it in world.entries if not it.is_running()]
    assert not ended, f"{what}: {ended}"


async def check_callers(world):
    entry = world.entries[0]
    for port, first in PORTS.items():
        some = [message(first, body) for body in BODIES]
        head = len(message(first, b""))
        await asyncio.gather(*[send(entry.ports[port], it, at_once) for it in some for at_once in (0, head)])
        check_runs(world, f"requests at the port for {port}")


def answer_in_pieces(world, owner, method, headers):
    """Makes a stand-in answer each request with the next body, a byte at a time, and every second round of them with a
    head in bytes, too, after interim answers. Returns what it has sent."""
    sent = []

    async def answer(*arguments):
        writer = next(it for it in arguments if isinstance(it, asyncio.StreamWriter))
        turn, n = divmod(len(sent), len(BODIES))
        sent.append(BODIES[n])
        head = message("HTTP/1.1 200 OK", b"", headers)
        if turn % 2:
            await write_bytes(writer, INTERIM + head + BODIES[n], 0)
        else:
            await write_bytes(writer, head + BODIES[n], len(head))
        raise http11.Broken("the answer has ended")

    setattr(owner, method, answer)
    return sent


async def check_servers(world):
    sent = [answer_in_pieces(world, it, "_serve", {"X-Daisytack-Request-Id": ID}) for it in world.servers]
    head = {"Host": "a.example", "X-Api-Key": "k1", "Content-Length": "0", "X-Daisytack-Request-Id": ID}
    for path in ("safe", "call", "long"):
        for _ in BODIES:
            await send(world.entries[1].ports["callers"], http11.head_of(f"POST /{path}/x HTTP/1.1", head), 10 ** 6)
    check_runs(world, "answers of servers")
    assert sum(map(len, sent)) >= len(BODIES), f"{sum(map(len, sent))} answers"


async def check_service(world):
    sent = answer_in_pieces(world, world.kv, "_handle", {"Store-Era": "1"})
    world.entries[2].link.reset()
    end = world.now() + 20
    while len(sent) < len(BODIES) and world.now() < end:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    check_runs(world, "answers of the key-value service")
    assert len(sent) >= len(BODIES), f"{len(sent)} answers"


async def run(fleet):
    world = World(fleet, SEED)
    try:
        await world.start()
        assert not world.problems, world.problems
        for check in (check_callers, check_servers, check_service):
            await check(world)
    finally:
        await end_everything(world)
    print(f"{len(BODIES)} bodies in pieces ended no entry")


def main():
    with Fleet(pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else BUILD).resolve()) as fleet:
        asyncio.run(run(fleet))


if __name__ == "__main__":
    sys.exit(main())
