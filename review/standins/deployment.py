"""A small deployment on loopback for the cases of review/: real entries (target/daisytack-entry, as the deploy file
starts them) and stand-ins for the platform's store, model servers, stores of KV cache and clients.

The platform's store is the project's own stand-in (tests/soak/platform_side.py). Model servers and stores of KV cache
are small new ones, which do only what the users' pages say.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))
import http11  # noqa: E402
from platform_side import KeyValueService  # noqa: E402

ENTRY = ROOT / "target" / "daisytack-entry"
JSON = {"Content-Type": "application/json"}
HOST = "nylo40.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# What platform/entry.ini makes of the settings of a small deployment.
SETTINGS = """[process]
threads = 1
kill_after = 8s
[instance]
name = {name}
failure_domain = {zone}
link_mbps = 1000
regions = z0:r,z1:r
[callers]
listen = 127.0.0.1:{frontend}
[readiness]
listen = 127.0.0.1:{readiness}
path = /readiness
[metrics]
listen = 127.0.0.1:{metrics}
[peers]
listen = 127.0.0.1:{peers}
seeds = {seeds}
[retries]
share = 0.2
slack = 54
[placement]
old_weights_limit = 12000ms
[store]
address = 127.0.0.1:{store}
lease_term = 3000ms
wake_pause = 300ms
[weights]
servers_check_fence = true
"""


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


def now():
    return asyncio.get_event_loop().time()


def clock_ms():
    """The servers' clock."""
    return int(time.time() * 1000)


class CouldNotRun(Exception):
    pass


class Entry:
    def __init__(self, name, zone, folder, store_port):
        self.name, self.zone, self.folder, self.store_port = name, zone, folder, store_port
        self.ports = {it: free_port() for it in ("frontend", "readiness", "metrics", "peers")}
        self.seeds, self.process = "", None

    def start(self):
        path = self.folder / f"{self.name}.ini"
        path.write_text(SETTINGS.format(name=self.name, zone=self.zone, store=self.store_port, seeds=self.seeds,
                                        **self.ports))
        log = open(self.folder / f"{self.name}.log", "ab")
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        self.process = subprocess.Popen([str(ENTRY)], cwd=ROOT, stdout=log, stderr=log,
                                        env={**environment, "DAISYTACK_CONFIG": str(path)})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(http11.read_head(reader), 1)
            http11.close(writer)
            return first[1] == "200"
        except (OSError, asyncio.TimeoutError, http11.Broken):
            return False

    def log_lines(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()


class Deployment:
    """Starts and ends everything, and keeps the record."""

    def __init__(self, record):
        self.record_file = open(record, "w")
        self.began = time.monotonic()
        self.kv = KeyValueService()
        self.entries, self.servers = [], []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def elapsed(self):
        return time.monotonic() - self.began

    def record(self, text):
        line = f"{self.elapsed():8.3f} s  {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    async def start_entries(self, zones):
        if not ENTRY.exists():
            raise CouldNotRun("target/daisytack-entry is not built")
        for number, zone in enumerate(zones):
            self.entries.append(Entry(f"entry-{number}", zone, self.folder, self.kv.port))
        seeds = ",".join(f"127.0.0.1:{it.ports['peers']}" for it in self.entries)
        for entry in self.entries:
            entry.seeds = seeds
            entry.start()
        end = now() + 20
        while not all([await it.is_ready() for it in self.entries]):
            if now() > end:
                raise CouldNotRun("an entry did not become ready")
            await asyncio.sleep(0.1)

    def register(self, server, state="ready"):
        value = {"service": server.service, "address": f"127.0.0.1:{server.port}", "zone": server.zone,
                 "version": "v1", "slots": 128, "state": state, "cold-remaining-ms": 0, "sequence": 0}
        if server.models:
            value["models"] = [{"name": name, "version": version, "adapters": []}
                               for name, version in server.models.items()]
        self.kv.put(f"servers/{server.id}", value)

    async def heartbeats(self):
        while True:
            for server in self.servers:
                self.register(server)
            await asyncio.sleep(1.2)

    async def end(self):
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


async def request(entry, headers, body=b"", path="/", method="POST", timeout=8.0, on_connection=None):
    """Sends one request and reads its answer; returns (status, headers, body) or (None, {}, reason)."""
    reader, writer = on_connection or await asyncio.open_connection("127.0.0.1", entry.ports["frontend"])
    try:
        writer.write(http11.head_of(f"{method} {path} HTTP/1.1",
                                    {"Host": HOST, **headers, "Content-Length": str(len(body))}) + body)
        await writer.drain()
        first, got = await asyncio.wait_for(http11.read_head(reader), timeout)
        return int(first[1]), got, await asyncio.wait_for(http11.read_body(reader, got), timeout)
    except (http11.Broken, OSError, asyncio.TimeoutError, ValueError, IndexError) as error:
        return None, {}, f"{type(error).__name__} {error}"
    finally:
        if not on_connection:
            http11.close(writer)


def run_case(play, record):
    """Runs the coroutine play(deployment, with_trouble) and exits with its result."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = Deployment(record)
        asyncio.get_event_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await deployment.kv.start()
            return await asyncio.wait_for(play(deployment, with_trouble), 110)
        except (CouldNotRun, asyncio.CancelledError, asyncio.TimeoutError, OSError) as error:
            deployment.record(f"could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        finally:
            await deployment.end()

    result = asyncio.run(main())
    print({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[result])
    sys.exit(result)
