"""All entries are killed at once while clients read streams, and start again. The clients take the streams up, with the id
of the last event and the id of the request that brought the first. All servers have one software version."""

import asyncio
import collections
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import case  # noqa: E402
import web  # noqa: E402
from deployment import CannotRun, Deployment  # noqa: E402
from platform_store import PlatformStore  # noqa: E402
from servers import PlainServer  # noqa: E402

EVENTS, EVENT_INTERVAL, DEADLINE_SECONDS = 110, 0.1, 15.0
STREAMS, STREAM_INTERVAL = 40, 0.05
BEFORE_SECONDS, DOWN_SECONDS, AFTER_SECONDS = 5.0, 1.0, 9.0
TOUCH_SECONDS = 3.2  # stability-ms after the start of the process, and a little.
PAUSE_SECONDS = 1.0  # Of a client between two tries, if no longer one is asked for.
FEWEST = 12


class StreamServer(PlainServer):
    """Streams numbered events, and goes on after Last-Event-Id."""

    async def answer(self, request, identity, _reader, writer):
        self.runs.append((time.monotonic(), request))
        writer.write(web.head("HTTP/1.1 200 X", {
            **identity, "X-Daisytack-Server-Signature": f"{self.id}.{len(self.runs)}", "Content-Type":
            "text/event-stream", "Transfer-Encoding": "chunked"}))
        for n in range(int(request.header("last-event-id", "0")) + 1, EVENTS + 1):
            event = f"id: {n}\ndata: {self.id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL)
        writer.write(b"0\r\n\r\n")


def configuration():
    return {"version": 7,
            "routes": [{"name": "ask", "host": "a.example", "path-prefix": "/ask/", "kind": "streaming",
                        "timeout-ms": 15000, "target-latency-ms": 500, "target-gap-ms": 500, "priority": 1,
                        "service": "models", "attempts": 2, "public": False, "sticky": False, "resumable": True}],
            "services": [{"name": "models", "health-path": "/health", "connection-limit": 370, "protocol": "h1",
                          "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "one", "api-keys": ["key-one"]}]}


class Client:
    """One stream. `tries` holds (time, entry, whether it takes the stream up, status, events got)."""

    def __init__(self, number, entries, starts):
        self.number, self.entries, self.starts = number, entries, starts
        self.first_id, self.last_event, self.tries, self.is_whole = None, 0, [], False
        self.deadline = time.monotonic() + DEADLINE_SECONDS

    async def run(self):
        for turn in range(8):
            left = self.deadline - time.monotonic()
            if left < 0.5:
                return
            retry_after = await self._try(self.entries[(self.number + turn) % len(self.entries)], turn, left)
            if self.is_whole:
                return
            await asyncio.sleep(max(PAUSE_SECONDS, min(retry_after, left / 3)))

    async def _try(self, entry, turn, left):
        request_id = f"{self.number:08x}{turn:08x}"
        headers = {"Host": "a.example", "X-Daisytack-Request-Id": request_id, "X-Api-Key": "key-one",
                   "X-Daisytack-Deadline-Milliseconds": str(int(left * 1000)), "Content-Length": "1"}
        if self.last_event:
            headers |= {"Last-Event-Id": str(self.last_event), "Resumes": self.first_id}
        at, status, events, retry_after, writer = time.monotonic(), "no connection", 0, 0.0, None
        is_resumption, age = self.last_event > 0, time.monotonic() - self.starts[entry.name]
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", entry.ports["frontend"]), 1)
            writer.write(web.head(f"POST /ask/{self.number} HTTP/1.1", headers) + b"x")
            first, fields = await asyncio.wait_for(web.read_head(reader), left)
            status, retry_after = first[1], float(fields.get("retry-after", "0"))
            while status == "200":
                chunk = await asyncio.wait_for(web.read_chunk(reader), 4)
                if not chunk:
                    self.is_whole = self.last_event == EVENTS
                    break
                for line in chunk.decode().splitlines():
                    if line.startswith("id: "):
                        self.last_event = int(line[4:])
                        events += 1
                self.first_id = self.first_id or request_id
        except (OSError, web.Closed, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        self.tries.append((at, entry.name, is_resumption, status, events, age))
        return retry_after


async def scenario(record, has_trouble):
    platform = await PlatformStore().start()
    platform.put("op/config", configuration())
    for zone in ("daejeon-a", "daejeon-b", "sejong-c") * 2:
        await StreamServer(platform, "models", zone, slots=64).start()
    deployment = Deployment(platform, ("daejeon-a", "daejeon-b", "sejong-c"))
    try:
        await deployment.start_entries(4)
        starts = {it.name: time.monotonic() for it in deployment.entries}
        await asyncio.sleep(BEFORE_SECONDS)
        clients, tasks = [], []

        async def begin_streams(count):
            for _ in range(count):
                clients.append(Client(len(clients), deployment.entries, starts))
                tasks.append(asyncio.ensure_future(clients[-1].run()))
                await asyncio.sleep(STREAM_INTERVAL)

        await begin_streams(STREAMS)
        await asyncio.sleep(1.0)
        if has_trouble:
            record.say("all entries are killed")
            starts.update({it.name: float("inf") for it in deployment.entries})
            await asyncio.gather(*[it.kill() for it in deployment.entries])
            await asyncio.sleep(DOWN_SECONDS)
            for entry in deployment.entries:
                entry.start()
                starts[entry.name] = time.monotonic()
            await deployment.wait_ready()
            record.say("all entries are ready again")
        await asyncio.sleep(TOUCH_SECONDS)
        await begin_streams(STREAMS)
        await asyncio.sleep(AFTER_SECONDS)
        return judge(record, clients, has_trouble)
    except CannotRun as error:
        record.say(f"the case can't run: {error}")
        return case.CANNOT_RUN
    finally:
        deployment.end()


def judge(record, clients, has_trouble):
    """Of 12 or more streams that are taken up at machines in touch, at least half the share of new ones goes on."""
    taken_up, new = {}, {}
    for client in clients:
        for at, entry, is_resumption, status, events, age in client.tries:
            what = "takes its stream up" if is_resumption else "begins its stream"
            record.write(f"client {client.number} {what} at {entry}, {age:.2f} s after its start: {status}, {events} events", at)
            if age >= TOUCH_SECONDS:
                kind = taken_up if is_resumption else new
                kind[client.number] = kind.get(client.number, False) or (status == "200" and events > 0)
    answers = collections.Counter(it[3] for client in clients for it in client.tries if it[2] and it[5] >= TOUCH_SECONDS)
    record.say(f"machines in touch: {len(taken_up)} streams were taken up, {sum(taken_up.values())} went on (answers "
               f"{dict(answers)}); {len(new)} new ones, {sum(new.values())} began")
    if len(new) < FEWEST or (has_trouble and len(taken_up) < FEWEST):
        return case.CANNOT_RUN
    if len(taken_up) < FEWEST:
        return case.HELD
    share, share_of_new = sum(taken_up.values()) / len(taken_up), sum(new.values()) / len(new)
    return case.BROKEN if share < share_of_new / 2 else case.HELD


case.run(HERE, scenario)
