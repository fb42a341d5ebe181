"""Stand-ins for the servers of a service (PROTOCOL.md, "Servers" and "Service discovery")."""

import asyncio
import itertools
import json
import time

import web

HEARTBEAT_SECONDS = 1.2
numbers = itertools.count(1)


class PlainServer:
    """A sound server of a plain service: keeps connections, checks X-Daisytack-Expected-Instance, echoes the id and
    signs its answers. `runs` holds what it began to work on."""

    def __init__(self, store, service, zone, slots=6, work=0.06):
        self.store, self.service, self.zone, self.slots, self.work = store, service, zone, slots, work
        self.id = f"i-{next(numbers):08x}"
        self.runs, self.sequence, self.is_listed, self.server = [], 0, True, None

    async def start(self, port=0):
        self.server = await web.serve(self._handle, port)
        self.port = web.port_of(self.server)
        self.register()
        asyncio.ensure_future(self._beat())
        return self

    def record(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence}

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", self.record())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_listed:
                self.register()

    async def _handle(self, request, reader, writer):
        identity = {"X-Daisytack-Request-Id": request.header("x-daisytack-request-id")}
        if request.first[1] == "/health":
            return writer.write(web.response(200, {"X-Daisytack-Instance-Id": self.id}))
        if request.header("x-daisytack-expected-instance", self.id) != self.id:
            return writer.write(web.response(421, {**identity, "X-Daisytack-Not-Executed": "1"}))
        await self.answer(request, identity, reader, writer)

    async def answer(self, request, identity, _reader, writer):
        self.runs.append((time.monotonic(), request))
        signature = {"X-Daisytack-Server-Signature": f"{self.id}.{len(self.runs)}"}
        await asyncio.sleep(self.work)
        writer.write(web.response(200, {**identity, **signature}, b"done"))


def pretty(value):
    return json.dumps(value, sort_keys=True)
