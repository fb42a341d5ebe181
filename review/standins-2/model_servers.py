"""Stand-ins for model servers and for a managed store of kept KV cache (PROTOCOL.md, "KV cache" and "Requests").

Each cached part carries its origin: the model and version whose weights made it. Servers keep parts by model, under the
text of X-Daisytack-Cache-Salt. A store keeps parts by that text and the part's id, and checks nothing else.
"""

import asyncio
import json
import random
import time

import web
from servers import PlainServer

JSON = {"Content-Type": "application/json"}
LOAD_SECONDS = 1.3
EVENT_DELAY_SECONDS = 0.06


def clock_ms():
    return int(time.time() * 1000)


class Part:
    """A kept part. `origin` is (model, version)."""

    def __init__(self, tokens, origin, is_complete=True):
        self.tokens, self.origin, self.is_complete = tokens, origin, is_complete


class ManagedStore:
    """Keeps every part until it is freed, and all parts are gone after restart()."""

    def __init__(self, name, zone, capacity=2_000_000, link_mbps=310000.0):
        self.name, self.zone, self.capacity, self.link_mbps = name, zone, capacity, link_mbps
        self.fetches, self.saves = [], []
        self._begin()

    def _begin(self):
        self.epoch = random.randrange(1, 1 << 40)
        self.parts, self.events, self.changed = {}, [], asyncio.Event()

    async def start(self):
        self.server = await web.serve(self._handle)
        self.port = web.port_of(self.server)
        self.address = f"127.0.0.1:{self.port}"
        return self

    def service(self):
        return {"name": self.name, "kv-store-address": self.address, "zone": self.zone,
                "kv-capacity-tokens": self.capacity, "link-mbps": self.link_mbps, "max-concurrent": 12,
                "managed": True, "first_ms": 0.5}

    def _add_event(self, kind, key, part):
        self.events.append([len(self.events) + 1, kind, key[0], key[1], part.tokens, part.origin[0]])
        self.changed.set()
        self.changed = asyncio.Event()

    async def save(self, salt, part_id, tokens, origin, seconds=0.02):
        """A server sends a part. Space is reserved at once; a part that is held stays as it was first made."""
        key = (salt, part_id)
        if key in self.parts or sum(it.tokens for it in self.parts.values()) + tokens > self.capacity:
            return
        part = self.parts[key] = Part(tokens, origin, False)
        await asyncio.sleep(seconds)
        if self.parts.get(key) is part:
            part.is_complete = True
            self.saves.append((time.monotonic(), key, origin))
            await asyncio.sleep(EVENT_DELAY_SECONDS)
            self._add_event("+", key, part)

    def fetch(self, salt, part_id):
        part = self.parts.get((salt, part_id))
        self.fetches.append((time.monotonic(), (salt, part_id), part))
        return part

    async def _handle(self, request, _reader, writer):
        path, _, query = request.first[1].partition("?")
        if path == "/kv-events":
            body = await self._events(int(dict(it.split("=") for it in query.split("&"))["since"]),
                                      int(request.header("wait-ms", "0")))
        elif path == "/kv-list":
            body = {"epoch": self.epoch, "next": len(self.events), "clock_ms": clock_ms(),
                    "held": [[*key, it.tokens, it.origin[0]] for key, it in self.parts.items() if it.is_complete],
                    "incomplete-parts": [[*key, 0, it.tokens] for key, it in self.parts.items() if not it.is_complete]}
        elif path == "/kv-free":
            return writer.write(web.response(self._free(json.loads(request.body)), JSON, b"{}"))
        else:
            body = {"kv-used": sum(it.tokens for it in self.parts.values()), "kv-total": self.capacity,
                    "epoch": self.epoch, "clock_ms": clock_ms()}
        writer.write(web.response(200, JSON, json.dumps(body).encode()))

    async def _events(self, since, wait_ms):
        end = time.monotonic() + min(wait_ms, 1000) / 1000
        while len(self.events) <= since and time.monotonic() < end:
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return {"epoch": self.epoch, "next": len(self.events), "lost": False, "clock_ms": clock_ms(),
                "events": self.events[since:]}

    def _free(self, body):
        if body.get("epoch", self.epoch) != self.epoch or clock_ms() > body.get("until_ms", clock_ms()):
            return 409
        for row in body["parts"]:
            part = self.parts.pop(tuple(row), None)
            if part:
                self._add_event("-", tuple(row), part)
        return 200


class ModelServer(PlainServer):
    """A sound model server. `weights` holds the version of each model, `reads` what each run was read from."""

    def __init__(self, store, service, zone, weights, kv_stores):
        super().__init__(store, service, zone, slots=64)
        self.weights, self.kv_stores = dict(weights), {it.address: it for it in kv_stores}
        self.cache, self.orders, self.token, self.is_busy = {}, 0, 0, False
        self.loaded = []  # When loads of weights ended.
        self.reads = []  # (time, request id, model, version, [(part id, origin, where it came from)])

    def models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.weights.items()]

    def record(self):
        return {**super().record(), "models": self.models(), "stage": "combined"}

    async def _handle(self, request, reader, writer):
        path = request.first[1]
        if path == "/report":
            body = {"stage": "combined", "models": self.models(), "busy": self.is_busy, "sequence": self.orders,
                    "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 142125, "handles": 0, "clock_ms": clock_ms()}
            return writer.write(web.response(200, JSON, json.dumps(body).encode()))
        if path == "/order":
            return writer.write(web.response(self._order(request), JSON, b"{}"))
        await super()._handle(request, reader, writer)

    def _order(self, request):
        order = json.loads(request.body)
        if request.header("x-daisytack-expected-instance", self.id) != self.id:
            return 421
        if order["fencing-token"] < self.token:
            return 412
        self.token = order["fencing-token"]
        if self.weights[order["model"]] >= order["version"]:
            return 200
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.is_busy = True
        asyncio.ensure_future(self._load(order["model"], order["version"]))
        return 202

    async def _load(self, model, version):
        await asyncio.sleep(LOAD_SECONDS)
        self.weights[model] = version
        self.loaded.append(time.monotonic())
        self.cache = {key: part for key, part in self.cache.items() if key[0] != model}
        self.is_busy = False
        self.register()

    async def answer(self, request, identity, _reader, writer):
        model = request.header("x-daisytack-model")
        version = self.weights[model]
        expected = request.header("x-daisytack-expected-version")
        if expected and int(expected) != version:
            return writer.write(web.response(421, {**identity, "X-Daisytack-Not-Executed": "1"}))
        if self.is_busy:
            return writer.write(web.response(503, {**identity, "X-Daisytack-Not-Executed": "1"}))
        await self._read_prompt(request, model, version)
        self.runs.append((time.monotonic(), request))
        writer.write(web.head("HTTP/1.1 200 X", {
            **identity, "X-Daisytack-Server-Signature": f"{self.id}.{len(self.runs)}", "Content-Type":
            "text/event-stream", "X-Daisytack-Weight-Versions": str(version), "Transfer-Encoding": "chunked"}))
        for n in range(1, 4):
            event = f"id: {n}\ndata: {model}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")

    async def _read_prompt(self, request, model, version):
        salt = request.header("x-daisytack-cache-salt")
        parts = [it.split(":") for it in request.header("x-daisytack-prompt-prefix").split(",")]

        def addresses(name):
            listed = [it.strip() for it in request.header(name).split(",") if it.strip()]
            return listed if len(listed) > 1 else (listed or ["-"]) * len(parts)

        sources, targets = addresses("x-daisytack-kv-source"), addresses("x-daisytack-kv-destination")
        until = int(request.header("x-daisytack-kv-until", "0")) or clock_ms() + 60000
        read = []
        for (part_id, tokens), source in zip(parts, sources):
            key, where = (model, salt, part_id), "own cache"
            part = self.cache.get(key)
            if part is None and source != "-" and clock_ms() < until:
                await asyncio.sleep(0.002)
                part, where = self.kv_stores[source.split("/")[0]].fetch(salt, part_id), "store"
            if part is None:
                await asyncio.sleep(int(tokens) / 112000)
                part, where = Part(int(tokens), (model, version)), "prefilled"
            self.cache[key] = part
            read.append((part_id, part.origin, where))
        for (part_id, tokens), target in zip(parts, targets):
            if target != "-":
                origin = self.cache[(model, salt, part_id)].origin
                asyncio.ensure_future(self.kv_stores[target].save(salt, part_id, int(tokens), origin))
        self.reads.append((time.monotonic(), request.header("x-daisytack-request-id"), model, version, read))
