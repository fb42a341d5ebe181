"""An entry stays below the memory of its instance, and answers other requests, while peers of each kind send it bytes
without end: callers with and without a key, backend servers, the key-value service, another entry, and whoever connects to
the ports of peers, readiness and metrics.

Guards against input that is collected without a limit in some state of the HTTP parser: an entry of 110 MB ended in a third
of a second when one connection sent a chunk extension or trailer fields without end. Guards also against an end of the
process when the last bytes of a chunked body come one by one.
"""

import asyncio
import base64
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import cases  # noqa: E402, F401
import http11  # noqa: E402
from fleet import Fleet, check  # noqa: E402
from platform_side import KeyValueService  # noqa: E402

MEMORY_MB = 110
END_MB = 300  # An entry that takes more is ended, so that a failing run doesn't take the memory of the machine.
MAX_SENT = 400 << 20  # By one connection; an entry without a limit has taken END_MB long before.
ANSWER_SECONDS = 20
SEED = 1
SETTINGS = """[process]
threads = 1
[instance]
name = entry-0
failure_domain = d1
memory_mb = {memory}
[callers]
listen = 127.0.0.1:{callers}
[readiness]
listen = 127.0.0.1:{readiness}
path = /readiness
[metrics]
listen = 127.0.0.1:{metrics}
[peers]
listen = 127.0.0.1:{peers}
[store]
address = 127.0.0.1:{store}
"""
ROUTE = {"host": "a.example", "kind": "unsafe", "timeout-ms": 8000, "target-latency-ms": 500, "attempts": 1}
CONFIG = {"version": 1, "routes": [{**ROUTE, "name": "call", "path-prefix": "/call/", "service": "sound"},
                                   {**ROUTE, "name": "bad", "path-prefix": "/bad/", "service": "endless"}],
          "services": [{"name": "sound", "connection-limit": 500}, {"name": "endless", "connection-limit": 500}],
          "limits": {"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000,
                     "idle-timeout-ms": 5000},
          "tenants": [{"name": "org", "api-keys": ["key"]}]}
PIECE = b"x" * 16384
# What follows a head with chunks: a beginning, and what is sent again and again.
CHUNKED = {
    "chunk size": (b"", b"0" * 16384),
    "chunk extension": (b"1;a=", PIECE),
    "chunk extensions": (b"", b"1;a=" + PIECE + b"\r\nx\r\n"),
    "chunk extension after chunks": (b"1\r\nx\r\n" * 3 + b"1;a=", PIECE),
    "chunk data": (b"", b"4000\r\n" + PIECE + b"\r\n"),
    "chunks of one byte": (b"", b"1\r\nx\r\n" * 1000),
    "missing end of a chunk": (b"1\r\nx", PIECE),
    "extension of the last chunk": (b"0;a=", PIECE),
    "trailer line": (b"0\r\nA: ", PIECE),
    "trailer fields": (b"0\r\n", b"A: b\r\n" * 1000),
    "trailer fields after chunks": (b"1\r\nx\r\n0\r\n", b"A: b\r\n" * 1000),
}
HEADS = {
    "first line": (b"", PIECE),
    "empty lines": (b"", b"\r\n" * 1000),
    "field name": (b"X", PIECE),
    "field value": (b"X: ", PIECE),
    "fields": (b"", b"A: b\r\n" * 1000),
    "folded lines": (b"A: b\r\n", b" c\r\n" * 1000),
}


def request_kinds(headers):
    """Returns requests without end by name: the beginning, and what is sent again and again."""
    out = {}
    for name, (begin, repeat) in HEADS.items():
        first = b"" if name in ("first line", "empty lines") else http11.head_of("POST /call/x HTTP/1.1", headers)[:-2]
        out[name] = (first + begin, repeat)
    head = http11.head_of("POST /call/x HTTP/1.1", {**headers, "Transfer-Encoding": "chunked"})
    out.update({name: (head + begin, repeat) for name, (begin, repeat) in CHUNKED.items()})
    out["body"] = (http11.head_of("POST /call/x HTTP/1.1", {**headers, "Content-Length": "4194304"}), PIECE)
    return out


def answer_kinds(headers):
    """Returns answers without end by name, as request_kinds() does."""
    out = {}
    for name, (begin, repeat) in HEADS.items():
        first = b"" if name in ("first line", "empty lines") else http11.head_of("HTTP/1.1 200 OK", headers)[:-2]
        out[name] = (first + begin, repeat)
    head = http11.head_of("HTTP/1.1 200 OK", {**headers, "Transfer-Encoding": "chunked"})
    out.update({name: (head + begin, repeat) for name, (begin, repeat) in CHUNKED.items()})
    out["body"] = (http11.head_of("HTTP/1.1 200 OK", {**headers, "Content-Length": str(10 ** 12)}), PIECE)
    out["unframed body"] = (http11.head_of("HTTP/1.1 200 OK", headers), PIECE)
    out["interim answers"] = (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500)
    return out


async def send_endless(writer, begin, repeat, has_ended):
    """Sends until the other side closes the connection, or has_ended() is true; returns the number of bytes."""
    sent = 0
    try:
        writer.write(begin)
        while sent < MAX_SENT and not writer.is_closing() and not has_ended():
            writer.write(repeat)
            await writer.drain()
            sent += len(repeat)
            await asyncio.sleep(0)
    except OSError:
        pass  # The entry has closed the connection.
    return sent


class EndlessKeyValueService(KeyValueService):
    """Answers as long as `kind` is empty; else it sends an answer of that kind without end."""

    kind, sent = "", 0

    async def _handle(self, request, writer):
        if not self.kind:
            return await super()._handle(request, writer)
        begin, repeat = answer_kinds(self._era())[self.kind]
        self.sent += 1
        if await send_endless(writer, begin, repeat, lambda: False) >= MAX_SENT:
            self.faults.append("an answer of the key-value service has no limit")
        raise http11.Broken("the entry has closed the connection")


class World:
    """One entry, a key-value service, a sound server, an endless server and a peer that is no entry."""

    def __init__(self, fleet):
        self.fleet, self.ports = fleet, {it: fleet.port() for it in ("callers", "readiness", "metrics", "peers")}
        self.sent, self.answered, self.faults, self.peer_calls = 0, 0, [], 0
        self.kinds = list(answer_kinds({}))

    async def start(self):
        self.kv = await EndlessKeyValueService().start()
        self.kv.faults = self.faults
        self.kv.put("op/config", CONFIG)
        for service, handle in (("sound", self.serve), ("endless", self.serve_endless)):
            server = await http11.serve(handle)
            self.kv.put(f"servers/{service}", {
                "service": service, "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "zone": "d1",
                "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1,
                "models": []})
        text = SETTINGS.format(memory=MEMORY_MB, store=self.kv.port, **self.ports)
        self.fleet.start("entry", "daisytack-entry", "--config=" + self.fleet.write("entry.ini", text))
        self.watch = asyncio.ensure_future(self.watch_memory())
        for _ in range(1000):
            try:
                if await self.call("/call/x") == 200:
                    return
            except (OSError, http11.Broken):
                pass
            await asyncio.sleep(0.02)
        check(False, "the entry doesn't serve")

    async def serve(self, request, writer):
        writer.write(http11.response(200, {"X-Daisytack-Request-Id": request.header("x-daisytack-request-id")}, b"ok"))
        await writer.drain()

    async def serve_endless(self, request, writer):
        request_id = request.header("x-daisytack-request-id")
        begin, repeat = answer_kinds({"X-Daisytack-Request-Id": request_id,
                                      "X-Daisytack-Server-Signature": "s"})[request.body.decode()]
        await self.send_to_entry(writer, begin, repeat, request.body.decode())
        raise http11.Broken("the entry has closed the connection")

    async def serve_peer(self, request, writer):
        kind = self.kinds[self.peer_calls % len(self.kinds)]
        self.peer_calls += 1
        await self.send_to_entry(writer, *answer_kinds({})[kind], kind)
        raise http11.Broken("the entry has closed the connection")

    async def send_to_entry(self, writer, begin, repeat, kind):
        if await send_endless(writer, begin, repeat, lambda: False) >= MAX_SENT:
            self.faults.append(f"{kind}: has no limit")

    def headers(self, key="key"):
        self.sent += 1
        return {"Host": "a.example", "X-Daisytack-Request-Id": f"r-{self.sent}",
                "X-Daisytack-Deadline-Milliseconds": "7000", **({"X-Api-Key": key} if key else {})}

    async def call(self, path, body=b""):
        """Sends a request; returns its status. Raises Broken without an answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["callers"])
        try:
            writer.write(http11.head_of(f"POST {path} HTTP/1.1", {**self.headers(), "Content-Length": str(len(body))})
                         + body)
            first, _ = await asyncio.wait_for(http11.read_head(reader), ANSWER_SECONDS)
            return int(first[1])
        except asyncio.TimeoutError as error:
            raise http11.Broken("no answer in time") from error
        finally:
            http11.close(writer)

    def memory(self, name):
        try:
            text = pathlib.Path(f"/proc/{self.fleet.processes['entry'].pid}/status").read_text()
            return int(text.split(name + ":")[1].split()[0]) / 1000 * 1.024
        except (OSError, IndexError):
            return 0.0  # The entry has ended.

    async def watch_memory(self):
        while self.memory("VmRSS") < END_MB:
            await asyncio.sleep(0.002)
        self.faults.append(f"the entry took {self.memory('VmRSS'):.0f} MB and was ended")
        self.fleet.processes["entry"].kill()

    def check_entry(self, when):
        check(not self.faults, f"{when}: {self.faults}")
        check(self.fleet.processes["entry"].poll() is None, f"{when}: the entry has ended")
        peak = self.memory("VmHWM")
        print(f"  {when}: peak {peak:.1f} MB, {self.answered} other requests", flush=True)
        check(peak < MEMORY_MB, f"{when}: {peak:.1f} MB of {MEMORY_MB}")

    async def beside_other_requests(self, load):
        """Sends sound requests until the load ends; each must get its answer."""
        task = asyncio.ensure_future(load)
        while not task.done():
            status = await self.call("/call/x", b"small")
            check(status == 200, f"another request got {status}")
            self.answered += 1
        return task.result()


async def endless_request(world, port, name, begin, repeat):
    """Sends a request without end; it must be refused, and its connection closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", world.ports[port])
    answer = bytearray()

    async def read():
        try:
            while part := await reader.read(65536):
                answer.extend(part)
        except OSError:
            pass
    reading = asyncio.ensure_future(read())
    sent = await send_endless(writer, begin, repeat, lambda: b"Connection: close" in answer or reading.done())
    await asyncio.wait_for(reading, ANSWER_SECONDS)
    http11.close(writer)
    check(sent < MAX_SENT and (b"HTTP/1.1 4" in answer or b"HTTP/1.1 503" in answer),
          f"{port}, {name}: sent {sent} bytes, got {bytes(answer[:200])}")


async def requests(world):
    """Endless requests at each port, several at a time in an order of their own."""
    cases_ = [(port, name, *kind) for port, key in (("callers", "key"), ("callers", "wrong"), ("callers", ""),
                                                    ("readiness", ""), ("metrics", ""), ("peers", ""))
              for name, kind in request_kinds(world.headers(key)).items()]
    random.Random(SEED).shuffle(cases_)

    async def run_some(begin):
        for it in cases_[begin::4]:
            await endless_request(world, *it)
    await asyncio.gather(*[run_some(begin) for begin in range(4)])


async def stopped_bodies(world):
    """Many bodies that stop before their end, at the ports that take none and reserve no room for them."""
    async def send(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.ports[port])
        try:
            writer.write(http11.head_of("POST /x HTTP/1.1", {"Host": "x", "Content-Length": str(4 << 20)}))
            for _ in range(250):
                writer.write(PIECE)
                await writer.drain()
        except OSError:
            pass  # The entry has closed the connection.
        await asyncio.sleep(1)
        http11.close(writer)
    await asyncio.gather(*[send(port) for port in ("readiness", "metrics") for _ in range(25)])


async def backend_server(world):
    """Endless answers of a backend server; each request gets an answer of the entry."""
    async def call(kind):
        try:
            status = await world.call("/bad/x", kind.encode())
        except http11.Broken:
            return  # The answer had begun.
        check(status in (200, 502, 504), f"{kind}: {status}")
    for kind in world.kinds:
        await call(kind)


async def key_value_service(world):
    """Endless answers of the key-value service; the entry goes on by what it knows."""
    for kind in world.kinds:
        before, world.kv.kind = world.kv.sent, kind
        for _ in range(400):
            if world.kv.sent > before:
                break
            await asyncio.sleep(0.01)
        check(world.kv.sent > before, "the entry asks the key-value service nothing")
        world.kv.kind = ""
        await asyncio.sleep(0.1)


async def peer_entry(world):
    """Endless answers of other entries, which the entry asks for records while the key-value service fails."""
    key = "daisytack/entries/entry-0"
    for _ in range(2000):
        if key in world.kv.items:
            break
        await asyncio.sleep(0.01)
    record = base64.b64decode(world.kv.items[key]["value"]).decode()
    for number in (1, 2):
        server = await http11.serve(world.serve_peer)
        port = server.sockets[0].getsockname()[1]
        world.kv.put(f"daisytack/entries/entry-{number}", record.replace(str(world.ports["peers"]), str(port)))
    # The entry may still pause after the failures of the case before.
    for _ in range(2000):
        if world.kv.revision_sent >= world.kv.revision:
            break
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    world.kv.status = 503
    for _ in range(2000):
        if world.peer_calls >= len(world.kinds):
            break
        await asyncio.sleep(0.01)
    world.kv.status = 0
    check(world.peer_calls > 0, "the entry asks its peer nothing")
    print(f"  {world.peer_calls} answers of the peer", flush=True)


async def split_end(world):
    """The end of an empty body in chunks, byte by byte, as request and as answer."""
    for port in ("callers", "readiness", "metrics", "peers"):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.ports[port])
        writer.write(http11.head_of("POST /call/x HTTP/1.1", {**world.headers(), "Transfer-Encoding": "chunked"}))
        for piece in (b"0\r\n", b"\r", b"\n"):
            writer.write(piece)
            await asyncio.sleep(0.05)
        await asyncio.wait_for(http11.read_head(reader), ANSWER_SECONDS)
        http11.close(writer)


async def run(fleet):
    world = World(fleet)
    await world.start()
    wanted = sys.argv[1:]
    try:
        for case in (split_end, requests, stopped_bodies, backend_server, key_value_service, peer_entry):
            if wanted and case.__name__ not in wanted:
                continue
            try:
                await world.beside_other_requests(case(world))
            except (OSError, http11.Broken, asyncio.TimeoutError) as error:
                world.faults.append(f"a request without an answer: {error!r}")
            world.check_entry(case.__name__)
            print(f"{case.__name__} ok", flush=True)
    finally:
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)


with Fleet() as it:
    asyncio.run(run(it))
