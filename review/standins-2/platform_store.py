"""A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").

It keeps keys with revisions and leases, answers watches as soon as there are events, and loses nothing.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import web

PAGE_ITEMS = 500
HISTORY_SECONDS = 20.0
JSON = {"Content-Type": "application/json"}


class PlatformStore:
    def __init__(self):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 100
        self.dropped_to = 0  # Events up to this revision are no longer there.
        self.changed = asyncio.Event()
        self.calls = []  # (time, method, path)
        self.server = None

    async def start(self):
        self.server = await web.serve(self._handle)
        self.port = web.port_of(self.server)
        asyncio.ensure_future(self._expire())
        return self

    def put(self, key, value, lease=0):
        """Writes a key; returns the revision. `value` is bytes or what JSON can hold."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self._add_event(self.items[key])
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "tombstone": True})

    def get(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _add_event(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and self.events[0][0] < now - HISTORY_SECONDS:
            self.dropped_to = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [it for it, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request, _reader, writer):
        method, target = request.first[0], request.first[1]
        path, _, query = target.partition("?")
        self.calls.append((time.monotonic(), method, path))
        status, body = await self._answer(method, path, dict(urllib.parse.parse_qsl(query)), request.body)
        writer.write(web.response(status, JSON, json.dumps(body).encode()))

    async def _answer(self, method, path, query, raw):
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "store-revision": self.revision}) if item else (404, {})
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(json.loads(raw))
        if path == "/kv-lease":
            seconds = json.loads(raw)["ttl-ms"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"lease": self.next_lease, "ttl-ms": int(seconds * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][0]
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = (seconds, time.monotonic() + seconds)
        return 200, {"lease": lease, "ttl-ms": int(seconds * 1000)}

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(it for it in self.items if it.startswith(query.get("path-prefix", "")) and it > after)
        page = [self.items[it] for it in keys[:PAGE_ITEMS]]
        return {"items": page, "truncated": len(keys) > PAGE_ITEMS, "store-revision": self.revision}

    async def _watch(self, query):
        after, prefix = int(query.get("after", "0")), query.get("path-prefix", "")
        end = time.monotonic() + min(int(query.get("wait-ms", "1000")), 30000) / 1000
        while True:
            if after < self.dropped_to:
                return 410, {}
            events = [it for _, it in self.events if it["revision"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        def revision_of(key):
            return self.items[key]["revision"] if key in self.items else 0

        expected = body.get("expected", [])
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in body.get("writes", [])):
            return 404, {}
        keys = [row["key"] for row in body.get("writes", [])] + list(body.get("remove", []))
        if any(it.startswith(("op/", "servers/")) for it in keys):
            return 403, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
