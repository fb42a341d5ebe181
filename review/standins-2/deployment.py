"""Starts the project's entries as the deploy file does, with settings rendered from its template.

An entry reaches the platform's store through a link of its own, whose open connections can be silenced for good.
"""

import asyncio
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {"drain-ms": 2000, "grace-period-s": 8, "retry-budget-ratio": 0.2, "retry-budget-slack": 54,
          "require-fencing": True, "lease-ms": 3000, "thaw-ms": 300, "version-ms": 12000}


class CannotRun(Exception):
    """The case can't run here."""


used_ports = set()


def free_port():
    """A port that nobody listens on, and that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used_ports:
            used_ports.add(port)
            return port


def render(template, fields):
    """Fills in the placeholders of DEPLOY.md that the project's template uses."""

    def look_up(name, scope):
        here = scope
        for part in name.split("."):
            if isinstance(here, list):
                here = here[int(part)] if int(part) < len(here) else None
            else:
                here = here.get(part) if isinstance(here, dict) else None
        return here

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value = look_up(match.group(1), fields)
        if not isinstance(value, dict):
            return match.group(2) if value not in (None, False) else ""
        rows = list(value.items())
        out = ""
        for n, (key, item) in enumerate(rows):
            row = match.group(2).replace("{{@}}", key).replace("{{.}}", text_of(item))
            out += row.replace("{{,}}", "," if n + 1 < len(rows) else "")
        return out

    out = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda it: text_of(look_up(it.group(1), fields)), out)


class Link:
    """A TCP relay on loopback. silence() stops the data on all connections that are open, in both directions and for
    good, without closing them; connections made later work. cut() does the same, and new ones hang until heal()."""

    def __init__(self, target):
        self.target, self.silent_before, self.opened = target, 0, 0
        self.is_cut, self.server, self.kept = False, None, []

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = web.port_of(self.server)
        return self

    def silence(self):
        self.silent_before = self.opened

    def reset(self):
        for writer in self.kept:
            web.reset(writer)
        self.kept.clear()

    async def _connection(self, reader, writer):
        number = self.opened
        self.opened += 1
        self.kept.append(writer)
        try:
            back, out = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return web.reset(writer)
        self.kept.append(out)
        ways = [asyncio.ensure_future(self._pass(number, reader, out)),
                asyncio.ensure_future(self._pass(number, back, writer))]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        if number >= self.silent_before:
            for it in (writer, out):
                it.close()
        for way in ways:
            way.cancel()

    async def _pass(self, number, reader, writer):
        try:
            while block := await reader.read(64 * 1024):
                while number < self.silent_before or self.is_cut:
                    await asyncio.sleep(0.05)
                writer.write(block)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass


class Entry:
    """One process of the role that the deploy file names."""

    def __init__(self, deployment, name, zone, link):
        self.deployment, self.name, self.zone, self.link = deployment, name, zone, link
        self.ports = {it: free_port() for it in ("frontend", "readiness", "internal", "metrics")}
        self.process = None

    def settings(self):
        return {"node-name": self.name, "zone": self.zone, "zones": self.deployment.zones, "ip-address": "127.0.0.1",
                "limits": {"memory-mb": 260, "link-mbps": 1000.0},
                "listen-addresses": {it: f"127.0.0.1:{self.ports[it]}" for it in ("frontend", "readiness")},
                "internal-port-range": [self.ports["internal"], self.ports["internal"] + 1],
                "seeds": self.deployment.seeds, "bounds": BOUNDS,
                "platform": {"address": f"127.0.0.1:{self.link.port}"}}

    def start(self):
        role = self.deployment.role
        text = render((ROOT / role["template"]).read_text(), self.settings())
        # All instances share the address of this machine, so that each needs a port of its own for metrics.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.ports['metrics']}")
        path = self.deployment.directory / f"{self.name}.ini"
        path.write_text(text)
        log = (self.deployment.directory / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ["PATH"], "HOME": "/", "DAISYTACK_CONFIG": str(path)})

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self):
        if self.process.poll() is not None:
            raise CannotRun(f"{self.name} has ended with {self.process.poll()}")
        answer = await web.call(self.ports["readiness"], "GET", "/readiness", timeout=1.0)
        return answer is not None and answer.first[1] == "200"


class Deployment:
    def __init__(self, store, zones=("kengarags", "imanta", "jugla")):
        self.store, self.zones = store, {it: "riga" for it in zones}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.entries, self.seeds = [], []

    async def start_entries(self, count):
        zones = list(self.zones)
        for n in range(count):
            link = await Link(self.store.port).start()
            self.entries.append(Entry(self, f"frontend-{zones[n % len(zones)]}-{n}", zones[n % len(zones)], link))
        # The setting holds addresses of a role for control, which this deployment does not have.
        for entry in self.entries:
            entry.start()
        await self.wait_ready()

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while not all([await it.is_ready() for it in self.entries]):
            if time.monotonic() > end:
                raise CannotRun("the entries don't get ready")
            await asyncio.sleep(0.1)

    def end(self):
        """Ends all processes that were started."""
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)
