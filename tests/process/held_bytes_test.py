"""An entry stays below the memory of its instance whatever is sent to the ports that callers don't use, without a key, and
whatever the key-value service answers.

Guards against entries that the platform ends as they hold bodies, heads or unread answers at the ports for other entries,
readiness checks and metrics: these held up to 20,000 bodies of 4 or 8 MB, whatever the memory of the instance. Also against
entries that end as they read a range of the key-value service that has no end: they held 64 MiB of it, on any instance.
"""

import asyncio
import base64
import json
import pathlib
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import cases  # noqa: E402, F401
import http11  # noqa: E402
from fleet import Failure, Fleet, check  # noqa: E402
from platform_side import KeyValueService  # noqa: E402

MEMORY_MB = 88
CONNECTIONS = 40
MANY_CONNECTIONS = 900
BODY_BYTES = 4 << 20
HOLD_SECONDS = 1.5
PAGE_VALUE_BYTES = 1 << 20
VALUES_PER_PAGE = 4
MIN_PAGES = 40
PORTS = ("callers", "readiness", "metrics", "peers")
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
CONFIG = {"version": 1, "routes": [{"name": "call", "path-prefix": "/call/", "host": "a.example", "kind": "unsafe",
                                    "service": "plain", "timeout-ms": 5000, "target-latency-ms": 500, "attempts": 1}],
          "services": [{"name": "plain", "connection-limit": 500}],
          "tenants": [{"name": "a", "api-keys": ["key-a"]}]}
# Records that are not offered but sent at once: enough for full pages.
RECORDS = 60
RECORD_BYTES = 3000


class World:
    """One entry with a key-value service."""

    def __init__(self, fleet):
        self.fleet, self.ports = fleet, {it: fleet.port() for it in PORTS}

    async def start_entry(self, store):
        text = SETTINGS.format(memory=MEMORY_MB, store=store, **self.ports)
        self.fleet.start("entry", "daisytack-entry", "--config=" + self.fleet.write("entry.ini", text))

    async def start(self):
        kv = await KeyValueService().start()
        kv.put("op/config", CONFIG)
        for number in range(RECORDS):
            kv.put(f"other/{number}", "x" * RECORD_BYTES)
        await self.start_entry(kv.port)
        for _ in range(1000):
            if await self.readiness() == "200":
                return self
            await asyncio.sleep(0.02)
        check(False, "the entry is not ready")

    async def readiness(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(http11.read_head(reader), 5)
            http11.close(writer)
            return first[1]
        except (OSError, http11.Broken, asyncio.TimeoutError) as error:
            return repr(error)

    def check_memory(self, when):
        check(self.fleet.processes["entry"].poll() is None, f"the entry has ended {when}")
        status = pathlib.Path(f"/proc/{self.fleet.processes['entry'].pid}/status").read_text()
        peak = int(status.split("VmHWM:")[1].split()[0]) / 1000 * 1.024
        print(f"  {when}: peak {peak:.1f} MB", flush=True)
        check(peak < MEMORY_MB, f"{when}: {peak:.1f} MB of {MEMORY_MB}")

    async def hold(self, port, count, data):
        """Sends the data on each of the connections and holds them; returns the sum of what could be sent."""
        sent = 0

        async def one():
            nonlocal sent
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[port], limit=2048)
            except OSError:
                return None
            writer.transport.set_write_buffer_limits(high=0)
            try:
                for begin in range(0, len(data), 1 << 16):
                    part = data[begin:begin + (1 << 16)]
                    writer.write(part)
                    await asyncio.wait_for(writer.drain(), HOLD_SECONDS)
                    sent += len(part)
            except (OSError, asyncio.TimeoutError):
                pass
            return reader, writer
        held = await asyncio.gather(*[one() for _ in range(count)])
        await asyncio.sleep(HOLD_SECONDS)
        print(f"  {port}: {sent / 1e6:.1f} MB sent on {count} connections", flush=True)
        return [it[1] for it in held if it]


def post(path, body_bytes):
    return http11.head_of(f"POST {path} HTTP/1.1", {"Host": "x", "Content-Length": str(body_bytes)})


async def check_held(world, port, count, data, when):
    writers = await world.hold(port, count, data)
    world.check_memory(when)
    if port != "readiness":
        check(await world.readiness() == "200", f"{when}: readiness is not answered")
    for writer in writers:
        http11.close(writer)
    for _ in range(500):
        if await world.readiness() == "200":
            return
        await asyncio.sleep(0.02)
    check(False, f"{when}: the entry is not ready any more")


async def bodies_of_peers(world):
    """Bodies of messages to an entry, each within the limit on one, that stop before their end."""
    await check_held(world, "peers", CONNECTIONS, post("/peer", BODY_BYTES) + b"x" * (BODY_BYTES - 100), "bodies")
    await check_held(world, "peers", MANY_CONNECTIONS, post("/peer", 1 << 20) + b"x" * ((1 << 20) - 100),
                     "many smaller bodies")
    chunk = http11.head_of("POST /peer HTTP/1.1", {"Host": "x", "Transfer-Encoding": "chunked"}) + b"100000\r\n"
    await check_held(world, "peers", MANY_CONNECTIONS, chunk + b"x" * ((1 << 20) - 100), "many bodies in chunks")


async def answers_to_peers(world):
    """Requests for pages of records whose sender doesn't read the answers."""
    # Version 1, RecordsRequest, newer than revision 0.
    request = post("/peer", 10) + struct.pack("<BBQ", 1, 0, 0)
    await check_held(world, "peers", MANY_CONNECTIONS, request * 400, "unread answers to peers")


async def heads_of_peers(world):
    """Heads without end."""
    data = b"POST /peer HTTP/1.1\r\nA: " + b"x" * 16_000
    await check_held(world, "peers", MANY_CONNECTIONS, data, "heads of peers")


async def bodies_of_checks(world):
    for port in ("readiness", "metrics"):
        data = post("/readiness", BODY_BYTES) + b"x" * (BODY_BYTES - 100)
        await check_held(world, port, CONNECTIONS, data, f"bodies at {port}")


async def unread_metrics(world):
    await check_held(world, "metrics", MANY_CONNECTIONS, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 400,
                     "unread metrics")


async def endless_range(world):
    """Pages of a range without end, each with new keys."""
    pages, value = 0, base64.b64encode(b"v" * PAGE_VALUE_BYTES).decode()

    async def serve(request, writer):
        nonlocal pages
        pages += 1
        items = [{"key": f"k{pages:06}{it}", "value": value, "revision": 3, "created": 3, "lease": 0}
                 for it in range(VALUES_PER_PAGE)]
        body = {"items": items, "truncated": True, "store-revision": 10}
        writer.write(http11.response(200, {"Store-Era": "1"}, json.dumps(body).encode()))
        await writer.drain()
    server = await http11.serve(serve)
    await world.start_entry(server.sockets[0].getsockname()[1])
    for _ in range(1500):
        if pages >= MIN_PAGES:
            break
        await asyncio.sleep(0.02)
    check(pages >= MIN_PAGES, f"only {pages} pages were read")
    world.check_memory("a range without end")
    check(await world.readiness() == "503", "an entry without a configuration is ready")


async def run():
    failed = []
    for case in (bodies_of_peers, answers_to_peers, heads_of_peers, bodies_of_checks, unread_metrics, endless_range):
        if len(sys.argv) > 1 and case.__name__ not in sys.argv[1:]:
            continue
        with Fleet() as fleet:
            world = World(fleet)
            try:
                if case != endless_range:
                    await world.start()
                await case(world)
                print(f"{case.__name__} ok", flush=True)
            except Failure as error:
                print(f"{case.__name__} FAILED: {error}", flush=True)
                failed.append(case.__name__)
    check(not failed, f"failed: {failed}")


asyncio.run(run())
