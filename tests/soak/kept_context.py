"""Stand-ins for managed stores of kept context and for the engines that fetch from and save to them.

A store never evicts anything by itself and doesn't track readers: a freed part is gone at once, even during a fetch.
Its events arrive late, and a few are lost. After a restart it is empty and has a new epoch.
"""

import asyncio
import dataclasses
import json

import http11
from platform_side import JSON, BackendServer, now

MAX_EVENTS = 300
EVENT_LOST_SHARE = 0.02
MAX_EVENT_DELAY_SECONDS = 0.4
SAVE_FAILURE_SHARE = 0.02
NORMAL_TRANSFER_SECONDS = 0.01  # Mean transfer time of one part while the store is not slow.
REPORT_AGE_SECONDS = 0.2  # Age of the reports that an engine returns.
CLOCK_AT_START = 1_700_000_000


def clock_ms():
    """Returns the time of the servers' clock in milliseconds."""
    return int((CLOCK_AT_START + now()) * 1000)


@dataclasses.dataclass
class Fetch:
    """One fetch of a part by an engine: the part's key, and begin and end on the soak's clock."""

    request: str
    key: tuple
    begin: float
    end: float
    discarded: bool  # The engine doesn't use the data.
    was_whole: bool


class ContextStore:
    """A store of parts by (scope, id). Faults set transfer_seconds and is_down from outside."""

    def __init__(self, name, domain, capacity, rng):
        self.name, self.domain, self.capacity, self.rng = name, domain, capacity, rng
        self.epoch, self.number = 1000, 0
        self.parts, self.events = {}, []     # parts: key to (tokens, is complete).
        self.fetches, self.freed = [], []  # Recorded for the checks.
        self.transfer_seconds = NORMAL_TRANSFER_SECONDS
        self.calls, self.max_calls, self.is_down = 0, 4, False
        self.server = None

    async def start(self):
        self.server = await http11.serve(self._handle)
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def service(self):
        """Returns the store's service in the configuration."""
        return {"name": self.name, "kv-store-address": self.address, "zone": self.domain, "managed": True,
                "kv-capacity-tokens": self.capacity, "link-mbps": 300000, "first_ms": 1,
                "max-concurrent": self.max_calls}

    def restart(self):
        """Drops all parts and events and breaks off running fetches."""
        self.epoch += 1
        self.number = 0
        self.parts.clear()
        self.events.clear()
        for it in self.fetches:
            it.discarded |= it.end > now()

    def _transfer_end(self):
        """Returns the end time of a transfer that begins now."""
        return now() + self.transfer_seconds * (0.5 + self.rng.random())

    def fetch(self, request, key, until):
        """Begins to fetch a part, until the given time at most; returns None if the store doesn't have it."""
        if self.is_down or key not in self.parts:
            return None
        end = self._transfer_end()
        self.fetches.append(Fetch(request, key, now(), min(end, until), end > until, self.parts[key][1]))
        return self.fetches[-1]

    async def save(self, key, tokens):
        """Saves a part. Its space is reserved at the begin; without space the part is dropped."""
        used = sum(it for it, _ in self.parts.values())
        if self.is_down or key in self.parts or used + tokens > self.capacity:
            return
        self.parts[key], epoch = (tokens, False), self.epoch
        await asyncio.sleep(self._transfer_end() - now())
        if self.epoch != epoch or self.rng.random() < SAVE_FAILURE_SHARE:
            return
        if key in self.parts:
            self.parts[key] = (tokens, True)
        self._record_event("+", key, tokens)  # Also sent if the part was freed during the save.

    def _record_event(self, sign, key, tokens):
        self.number += 1
        if self.rng.random() >= EVENT_LOST_SHARE:
            self.events.append((now() + self.rng.random() * MAX_EVENT_DELAY_SECONDS,
                                [self.number, sign, *key, tokens, "m"]))
            del self.events[:-MAX_EVENTS]

    def _visible(self):
        """Returns the events that are due, in order: one that is not due yet holds back those after it."""
        out = []
        for at, event in self.events:
            if at > now():
                break
            out.append(event)
        return out

    async def _handle(self, request, writer):
        if self.is_down:
            raise http11.Broken("the store is down")
        path, _, query = request.first[1].partition("?")
        status, body = 404, {}
        if path == "/kv-events":
            status, body = await self._changes(int(query.partition("=")[2] or 0), int(request.header("wait-ms", "0")))
        elif path == "/kv-list":
            rows = [[*key, tokens, whole] for key, (tokens, whole) in self.parts.items()]
            status, body = 200, {"next": self.number, "held": [[*it[:3], "m"] for it in rows if it[3]],
                                 "incomplete-parts": [[*it[:2], it[2] // 2, it[2]] for it in rows if not it[3]]}
        elif path == "/kv-free":
            status = self._free(json.loads(request.body))
        elif path == "/report":
            status, body = 200, {"kv-used": sum(it for it, _ in self.parts.values()), "kv-total": self.capacity}
        body = {**body, "epoch": self.epoch, "clock_ms": clock_ms()}
        writer.write(http11.response(status, JSON, json.dumps(body).encode()))
        await writer.drain()

    async def _changes(self, since, wait_ms):
        if self.calls >= self.max_calls:
            return 429, {}
        self.calls += 1
        end, epoch = now() + min(wait_ms, 1000) / 1000, self.epoch
        while not (events := [it for it in self._visible() if it[0] > since]) and now() < end and self.epoch == epoch:
            await asyncio.sleep(0.02)
        self.calls -= 1
        is_gap = bool(self.events) and self.events[0][1][0] > since + 1
        return 200, {"next": events[-1][0] if events else min(since, self.number), "lost": is_gap, "events": events}

    def _free(self, body):
        if body.get("epoch", self.epoch) != self.epoch or body.get("until_ms", clock_ms()) < clock_ms():
            return 409
        for key in map(tuple, body["parts"]):
            if key in self.parts:
                tokens, _ = self.parts.pop(key)
                self.freed.append((now(), key))
                self._record_event("-", key, tokens)
        return 200


class Engine(BackendServer):
    """An engine without a cache: each part of a prompt is fetched from a store, or prefilled and saved. Loading new
    weights takes LOAD_SECONDS."""

    LOAD_SECONDS = 1.3
    TOKENS_PER_SECOND = 112_000

    def __init__(self, name, incarnation, version, stores):
        super().__init__(name, "engines", incarnation, version)
        self.stores, self.running, self.reports = stores, 0, []

    async def start(self, port=0):
        await super().start(port)
        asyncio.ensure_future(self._record_reports())
        return self

    async def _record_reports(self):
        while True:
            self.reports = [*self.reports[-5:], (now(), self._report())]
            await asyncio.sleep(REPORT_AGE_SECONDS / 4)

    def _report(self):
        return {"stage": "combined", "models": [{"name": "m", "version": self.version, "adapters": []}],
                "busy": self.is_loading, "sequence": self.orders, "waiting": 0, "running": self.running, "kv-used": 0,
                "kv-total": 140000, "handles": 0, "clock_ms": clock_ms()}

    def report(self):
        old = [it for at, it in self.reports if at <= now() - REPORT_AGE_SECONDS]
        return old[-1] if old else self._report()

    def _load(self, version):
        self.is_loading = True
        asyncio.ensure_future(self._load_when_idle(version))

    async def _load_when_idle(self, version):
        """Loads new weights after all runs have finished."""
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.LOAD_SECONDS)
        self.version, self.is_loading = version, False

    async def _serve(self, request, writer):
        if self.is_loading:
            echo = {"X-Daisytack-Request-Id": request.header("x-daisytack-request-id")}
            writer.write(http11.response(503, {**echo, "X-Daisytack-Not-Executed": "1", "Retry-After": "0.2"}))
            return
        self.running += 1
        try:
            await super()._serve(request, writer)
        finally:
            self.running -= 1

    async def _read_prompt(self, request):
        scope = request.header("x-daisytack-cache-salt")
        parts = [it.split(":") for it in request.header("x-daisytack-prompt-prefix").split(",") if it]
        keys = [(scope, it[0]) for it in parts]
        until = int(request.header("x-daisytack-kv-until", "0")) / 1000 - CLOCK_AT_START
        fetched = self._fetch(request, keys, until if until > 0 else float("inf"))
        for fetch in fetched:
            await asyncio.sleep(max(fetch.end - now(), 0))
        await asyncio.sleep(sum(int(it[1]) for it in parts[len(fetched):]) / self.TOKENS_PER_SECOND)
        wanted = request.header("x-daisytack-kv-destination").split(",")
        for key, part, address in zip(keys, parts, wanted):
            if address in self.stores:
                asyncio.ensure_future(self.stores[address].save(key, int(part[1])))

    def _fetch(self, request, keys, until):
        """Begins to fetch the parts for which a store is named. Parts after a missing one can't be used."""
        out = []
        for key, source in zip(keys, request.header("x-daisytack-kv-source").split(",")):
            store = self.stores.get(source.partition("/")[0])
            fetch = store and store.fetch(request.header("x-daisytack-request-id"), key, until)
            if store and not fetch:
                break
            out += [fetch] if fetch else []
        return out
