"""Stand-ins for a model server and for a managed store of KV cache, as PROTOCOL.md describes them.

The model server keeps nothing itself: it takes each part of a prompt from the store that the request names, or reads it
and saves it where the request says. The store keeps a part as it was first made, under its salt and id, checks nothing
else, and frees nothing by itself. It also notes who made a part, which only the check uses.
"""

import asyncio
import dataclasses
import json

import http11
from deployment import JSON, clock_ms, now

EVENT_DELAY_SECONDS = 0.06
TOKENS_PER_SECOND = 112_000


@dataclasses.dataclass
class Part:
    tokens: int
    tenant: str
    request: str
    model: str
    version: int


@dataclasses.dataclass
class Use:
    """A part that a request took from a store."""

    request: str
    tenant: str
    model: str
    version: int
    salt: str
    id: str
    part: Part


class ContextStore:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.epoch, self.parts, self.events = 77120, {}, []
        self.server = None

    async def start(self):
        self.server = await http11.serve(self._handle)
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def service(self):
        return {"name": self.name, "kv-store-address": self.address, "zone": self.zone, "managed": True,
                "kv-capacity-tokens": 278289, "link-mbps": 310000.0, "max-concurrent": 12, "first_ms": 0.5}

    def save(self, salt, part_id, part):
        key = (salt, part_id)
        if key in self.parts:
            return
        self.parts[key] = part
        self.events.append((now() + EVENT_DELAY_SECONDS,
                            [len(self.events) + 1, "+", salt, part_id, part.tokens, part.model]))

    async def _handle(self, request, writer):
        path, _, query = request.first[1].partition("?")
        body = {"epoch": self.epoch, "clock_ms": clock_ms()}
        if path == "/kv-events":
            since, end = int(query.partition("=")[2] or 0), now() + int(request.header("wait-ms", "0")) / 1000
            while not (due := [it for at, it in self.events if at <= now() and it[0] > since]) and now() < end:
                await asyncio.sleep(0.02)
            body.update({"next": due[-1][0] if due else since, "lost": False, "events": due})
        elif path == "/kv-list":
            body.update({"next": len(self.events), "incomplete-parts": [],
                         "held": [[*key, it.tokens, it.model] for key, it in self.parts.items()]})
        elif path == "/report":
            body.update({"kv-used": sum(it.tokens for it in self.parts.values()), "kv-total": 278289})
        elif path == "/kv-free":
            for key in map(tuple, json.loads(request.body)["parts"]):
                self.parts.pop(key, None)
        writer.write(http11.response(200, JSON, json.dumps(body).encode()))
        await writer.drain()


class ModelServer:
    def __init__(self, deployment, number, service, zone, models, stores):
        self.deployment, self.id, self.service, self.zone = deployment, f"i-{number}", service, zone
        self.models, self.stores = dict(models), {it.address: it for it in stores}
        self.orders, self.uses, self.runs = 0, [], []
        self.server = None

    async def start(self):
        self.server = await http11.serve(self._handle)
        return self

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def _handle(self, request, writer):
        expected = request.header("x-daisytack-expected-instance")
        request_id = request.header("x-daisytack-request-id")
        echo = {"X-Daisytack-Request-Id": request_id} if request_id else {}
        path = request.first[1]
        if expected and expected != self.id:
            writer.write(http11.response(421, {**echo, "X-Daisytack-Not-Executed": "1"}))
        elif path == "/report":
            writer.write(http11.response(200, JSON, json.dumps(self._report()).encode()))
        elif path == "/order":
            writer.write(http11.response(self._order(json.loads(request.body)), {}))
        else:
            await self._run(request, request_id, echo, writer)

    def _report(self):
        return {"stage": "combined", "busy": False, "sequence": self.orders, "waiting": 0, "running": 0, "kv-used": 0,
                "kv-total": 142125, "handles": 0, "clock_ms": clock_ms(),
                "models": [{"name": name, "version": version, "adapters": []}
                           for name, version in self.models.items()]}

    def _order(self, order):
        if order.get("expected", self.orders) != self.orders:
            return 409
        if self.models[order["model"]] >= order["version"]:
            return 200
        self.orders += 1
        self.models[order["model"]] = order["version"]
        self.deployment.record(f"{self.id} takes version {order['version']} of {order['model']}")
        return 202

    async def _run(self, request, request_id, echo, writer):
        model, tenant = request.header("x-daisytack-model"), request.header("x-daisytack-tenant")
        wanted = request.header("x-daisytack-expected-version")
        if model not in self.models or (wanted and int(wanted) != self.models[model]):
            writer.write(http11.response(421, {**echo, "X-Daisytack-Not-Executed": "1"}))
            return
        version, salt = self.models[model], request.header("x-daisytack-cache-salt")
        parts = [it.split(":") for it in request.header("x-daisytack-prompt-prefix").split(",") if it]
        sources = request.header("x-daisytack-kv-source").split(",")
        destinations = request.header("x-daisytack-kv-destination").split(",")
        self.deployment.record(f"{self.id} runs request {request_id} of {tenant}, {model} version {version}, "
                               f"salt {salt!r}")
        self.runs.append(request_id)
        taken = 0
        for (part_id, _), source in zip(parts, sources):
            store = self.stores.get(source.partition("/")[0])
            part = store and store.parts.get((salt, part_id))
            if not part:
                break
            taken += 1
            self.uses.append(Use(request_id, tenant, model, version, salt, part_id, part))
            self.deployment.record(f"  it takes part {part_id} from {store.name}, made by request {part.request} of "
                                   f"{part.tenant}, {part.model} version {part.version}")
        await asyncio.sleep(sum(int(it[1]) for it in parts[taken:]) / TOKENS_PER_SECOND)
        for (part_id, tokens), address in zip(parts, destinations):
            if address in self.stores:
                self.stores[address].save(salt, part_id, Part(int(tokens), tenant, request_id, model, version))
                self.deployment.record(f"  it saves part {part_id} in {self.stores[address].name}")
        head = {**echo, "X-Daisytack-Server-Signature": f"{self.id}.{len(self.runs)}",
                "X-Daisytack-Weight-Versions": str(version), "Content-Type": "text/event-stream"}
        body = b"".join(f"id: {n}\ndata: {request_id}/{n}\n\n".encode() for n in range(1, 4))
        writer.write(http11.response(200, head, body))
        await writer.drain()
