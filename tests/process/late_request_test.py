"""A stopped entry finishes each request that it takes after SIGTERM, or refuses it at once as not run.

Guards against an entry that passes on requests which outlast its grace period: those that may not be repeated ran and got
502 or no answer, and streams broke off midway. Callers send requests of four kinds all the time, before and after the
signal; the checks are about those sent after it. Requests of an entry that knows how long answers take, and of one that
has just started, are covered.

With figures: late_request_test.py --measure prints what became of the requests, and fails on nothing.
"""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import entry as soak_entry  # noqa: E402
import http11  # noqa: E402
import platform_side  # noqa: E402
import soak  # noqa: E402
from fleet import Fleet, check  # noqa: E402

KINDS = {"call": "unary", "safe": "unary", "long": "stream", "ask": "stream"}
UNREPEATABLE = ("call", "long")
TIMEOUT_SECONDS = 20
EVENT_SECONDS = 0.25
SEND_INTERVAL_SECONDS = 0.02
SENDERS_AT_ONCE = 400
KILL_MARGIN_SECONDS = 1.0  # The process ends by itself before the platform would kill it.
LEARNING_ANSWERS = 12  # Of each kind, before the signal; an entry needs ten to know how long they take.
SETTINGS = soak_entry.SETTINGS


def seconds_of(request):
    return int(request.first[1].rpartition("-")[2]) / 1000


async def run_request(self, request, run, echo, writer):
    """Answers after the time that the request's path names."""
    end = platform_side.now() + seconds_of(request)
    kind = request.first[1].split("/")[1]
    if KINDS[kind] == "unary":
        await asyncio.sleep(end - platform_side.now())
        writer.write(http11.response(200, echo, run.body))
        return await writer.drain()
    writer.write(http11.head_of("HTTP/1.1 200 OK", {**echo, "Content-Type": "text/event-stream",
                                                    "Transfer-Encoding": "chunked"}))
    number = 0
    while number == 0 or platform_side.now() < end:
        number += 1
        event = f"id: {number}\ndata: {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(max(0, min(EVENT_SECONDS, end - platform_side.now())))
    writer.write(b"0\r\n\r\n")
    await writer.drain()


platform_side.BackendServer._run = run_request


class Sent:
    """A request and what became of it: answered, refused (not run), failed (an error although it may have run), cut
    (answer broken off midway), dropped (no answer) or unconnected."""

    def __init__(self, kind, number, seconds):
        self.kind, self.id = kind, f"{kind}{number}"
        self.path = f"/{kind}/{self.id}-{int(seconds * 1000)}"
        self.at, self.outcome, self.status = platform_side.now(), None, None

    async def send(self, port):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            self.outcome = "unconnected"
            return
        try:
            headers = {"Host": "a.example", "X-Daisytack-Request-Id": self.id, "X-Api-Key": "k1", "Content-Length": "0",
                       "X-Daisytack-Deadline-Milliseconds": str(TIMEOUT_SECONDS * 1000)}
            if self.kind == "ask":
                headers |= {"X-Daisytack-Model": "m", "X-Daisytack-Token-Counts": "100,10"}
            self.outcome = "dropped"
            writer.write(http11.head_of(f"POST {self.path} HTTP/1.1", headers))
            first, headers = await http11.read_head(reader)
            self.status = int(first[1])
            self.outcome = "cut"
            await http11.read_body(reader, headers)
            self.outcome = {200: "answered", 503: "refused"}.get(self.status, "failed")
        except (http11.Broken, OSError, ValueError):
            pass
        finally:
            http11.close(writer)


class Stop:
    """Stops an entry under load."""

    def __init__(self, world, grace, name, stream_seconds, unary_seconds):
        self.world, self.grace, self.name, self.rng = world, grace, name, random.Random(name)
        self.seconds = {"stream": stream_seconds, "unary": unary_seconds}
        self.entry, self.sent, self.tasks = world.entries[0], [], []
        self.numbers = itertools.count()
        self.signal_at = None

    def send(self, kind, seconds):
        request = Sent(kind, f"-{self.name}-{next(self.numbers)}", seconds)
        self.sent.append(request)
        self.tasks.append(asyncio.ensure_future(request.send(self.entry.ports["callers"])))

    async def learn(self):
        """Shows the entry the slowest answers of each kind."""
        for kind, shape in KINDS.items():
            for _ in range(LEARNING_ANSWERS):
                self.send(kind, self.seconds[shape][1])
        await asyncio.gather(*self.tasks)
        for request in self.sent:
            check(request.outcome == "answered", f"{request.id}: {request.outcome} {request.status}")
        self.sent.clear()
        self.tasks.clear()

    async def load(self, seconds):
        end = platform_side.now() + seconds
        while platform_side.now() < end and self.entry.ended() is None:
            kind = self.rng.choice(sorted(KINDS))
            if sum(not it.done() for it in self.tasks) < SENDERS_AT_ONCE:
                self.send(kind, self.rng.uniform(*self.seconds[KINDS[kind]]))
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    async def run(self):
        await self.load(0.5)
        self.signal_at = platform_side.now()
        self.entry.signal(signal.SIGTERM)
        await self.load(self.grace + KILL_MARGIN_SECONDS)
        await asyncio.wait_for(asyncio.gather(*self.tasks), TIMEOUT_SECONDS)
        check(self.entry.ended() is not None, f"it still runs {self.grace + KILL_MARGIN_SECONDS} s after the signal")

    def late(self):
        return [it for it in self.sent if it.at > self.signal_at]

    def runs(self):
        return {it.request.header("x-daisytack-request-id") for server in self.world.all_servers for it in server.runs}

    def problems(self):
        """Returns the requests taken after the signal that neither ended well nor were refused as not run."""
        ran = self.runs()
        for it in self.late():
            after = f"{it.id}, sent {it.at - self.signal_at:.2f} s after the signal"
            if it.outcome == "cut":
                yield f"{after}: cut midway"
            elif it.kind in UNREPEATABLE and it.id in ran and it.outcome != "answered":
                yield f"{after}: ran and {it.outcome}, status {it.status}"
            elif it.outcome == "failed":
                yield f"{after}: status {it.status}"
            elif it.outcome == "refused" and it.id in ran:
                yield f"{after}: refused as not run, but it ran"

    def summary(self, title):
        out = []
        for name, requests in (("before", [it for it in self.sent if it.at <= self.signal_at]), ("after", self.late())):
            for shape in ("unary", "stream"):
                counts = collections.Counter(it.outcome for it in requests if KINDS[it.kind] == shape)
                out.append(f"{title}: sent {name} the signal, {shape}: "
                           + ", ".join(f"{count} {what}" for what, count in sorted(counts.items())))
        ran = self.runs()
        lost = [it for it in self.late() if it.kind in UNREPEATABLE and it.id in ran and it.outcome != "answered"]
        out.append(f"{title}: taken after the signal, may not be repeated, ran and not answered: {len(lost)}")
        return "\n".join(out)


def configure(world):
    """Lets requests take longer than each grace period."""
    for route in world.config["routes"]:
        route |= {"timeout-ms": TIMEOUT_SECONDS * 1000, "target-latency-ms": 8000, "target-gap-ms": 0}
    world.config["version"] += 1
    world.config_version += 1
    world.kv.put("op/config", world.config)


async def stop_with(world, grace, learns, stream_seconds, unary_seconds):
    """Starts an entry with the grace period, stops it under load and starts it again."""
    soak_entry.SETTINGS = SETTINGS.replace("threads = 1\n", f"threads = 1\nkill_after = {grace}s\n")
    entry = world.entries[0]
    entry.kill()
    entry.start()
    await world.wait_ready(f"with a grace period of {grace} s")
    await asyncio.sleep(1)
    stop = Stop(world, grace, f"{grace}{'known' if learns else 'unknown'}", stream_seconds, unary_seconds)
    if learns:
        await stop.learn()
    await stop.run()
    entry.start()
    return stop


async def run(fleet, is_measured):
    world = soak.World(fleet, 1)
    try:
        await world.start()
        configure(world)
        problems = []
        # (grace, whether the answers are known, seconds of streams, seconds of unary answers)
        cases = [(3, True, (1, 2.5), (0.01, 1.2)), (4, True, (2, 4), (0.01, 1.8)), (8, True, (2, 8), (0.01, 1.8)),
                 (2, False, (0.5, 3), (0.01, 1.8)), (8, False, (4, 8), (0.01, 1.8))]
        if is_measured:
            cases = [(grace, learns, (4, 12), (0.01, 1.8)) for grace in (3, 4, 8) for learns in (True, False)]
        for case in cases:
            grace, learns = case[:2]
            stop = await stop_with(world, *case)
            title = f"grace {grace} s, answers {'known' if learns else 'unknown'}"
            print(stop.summary(title), flush=True)
            found = list(stop.problems())
            print(f"{title}: {len(found)} against the promise", *found[:10], sep="\n  ", flush=True)
            problems += found
            if not learns or grace < 8:
                continue
            # Guards against an entry that refuses all late requests.
            early = [it for it in stop.late() if KINDS[it.kind] == "unary" and it.at < stop.signal_at + 2]
            refused = sum(it.outcome != "answered" for it in early)
            if refused:
                problems.append(f"{title}: {refused} of {len(early)} short requests not answered in the notice period")
        check(is_measured or not problems, "\n".join(problems))
    finally:
        await soak.end_everything(world)


if __name__ == "__main__":
    os.environ.pop("LD_PRELOAD", None)
    with Fleet() as it:
        asyncio.run(run(it, "--measure" in sys.argv))
