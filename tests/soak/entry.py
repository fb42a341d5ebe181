"""A real entry process of the soak."""

import asyncio
import dataclasses
import pathlib
import signal

import http11

SETTINGS = """[process]
threads = 1
{kill_after}[instance]
name = {name}
memory_mb = {memory_mb}
failure_domain = d{domain}
[callers]
listen = 127.0.0.1:{callers}
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
lease_term = {lease_ms}ms
wake_pause = 300ms
[weights]
servers_check_fence = true
[slow_start]
overshoot = 1.5
slack = 3
"""


@dataclasses.dataclass
class Stop:
    """A planned stop: the time from SIGTERM to the end of the process."""

    begin: float
    end: float = float("inf")


class Entry:
    """A real entry process with its own link to the key-value service."""

    memory_mb = 88  # Memory of the smallest instances, in MB of 10^6 bytes.
    grace_seconds = 8.0  # From SIGTERM until the platform sends SIGKILL; the value of the deployments.
    knows_grace = False  # Whether the setting kill_after names the grace period.
    lease_ms = 3000

    def __init__(self, fleet, number, domain, link):
        self.name, self.fleet, self.link, self.domain = f"entry-{number}", fleet, link, domain
        self.ports = {it: fleet.port() for it in ("callers", "readiness", "metrics", "peers")}
        self.seeds = ""
        self.stops = []
        self.is_stopping = False
        self.unexpected_ends = []  # Exit codes of processes that ended by themselves.

    def start(self):
        self.is_stopping = False
        kill_after = f"kill_after = {self.grace_seconds:.0f}s\n" if self.knows_grace else ""
        text = SETTINGS.format(kill_after=kill_after, lease_ms=self.lease_ms, name=self.name,
                               domain=self.domain, store=self.link.port, seeds=self.seeds, memory_mb=self.memory_mb,
                               **self.ports)
        self.fleet.start(self.name, "daisytack-entry", "--config=" + self.fleet.write(f"{self.name}.ini", text))

    def stop(self, now):
        """Begins a planned stop with SIGTERM."""
        self.note_end()
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        self.stops.append(Stop(now))
        return self.stops[-1]

    def signal(self, number):
        self.fleet.signal(self.name, number)

    async def wait_signals_handled(self):
        """Waits until the process blocks or catches signals: before main() a signal would end it. Doesn't yield to
        other tasks after the last check, since another fault might restart the entry."""
        while not self.handles_signals():
            await asyncio.sleep(0.01)

    def handles_signals(self):
        """Returns whether SIGHUP and SIGTERM are blocked or caught, or there is no process that they could end. On a
        busy machine a process takes more than 0.1 s from its start to main()."""
        try:
            status = pathlib.Path(f"/proc/{self.fleet.processes[self.name].pid}/status").read_text()
        except OSError:
            return True
        lines = dict(line.split(":", 1) for line in status.splitlines())
        if lines["State"].split()[0] in "ZX":
            return True
        blocked, caught = int(lines["SigBlk"], 16), int(lines["SigCgt"], 16)
        # Before main() the log library creates threads, and all signals are blocked for a moment while one is created.
        # Only a mask that leaves other signals unblocked is set by the program itself.
        if blocked >> (signal.SIGUSR1 - 1) & 1:
            blocked = 0
        held = blocked | caught
        return all(held >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM))

    def kill(self):
        self.note_end()
        self.fleet.kill(self.name)

    def note_end(self):
        """Records the exit code if the process ended by itself, once."""
        if self.is_running() or self.is_stopping or self.name not in self.fleet.processes:
            return
        self.unexpected_ends.append(self.ended())
        self.is_stopping = True

    def is_running(self):
        return self.name in self.fleet.processes and self.ended() is None

    def ended(self):
        """Returns the exit code of the process, or None while it runs."""
        return self.fleet.processes[self.name].poll()

    def peak_memory_mb(self):
        """Returns the highest resident memory of the process since its start, in MB of 10^6 bytes."""
        status = pathlib.Path(f"/proc/{self.fleet.processes[self.name].pid}/status").read_text()
        _, _, peak = status.partition("VmHWM:")
        return int(peak.split()[0]) * 1024 / 1e6 if peak else 0.0  # A process that has just ended has no such line.

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ports["readiness"]), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(http11.read_head(reader), 1)
            http11.close(writer)
            return first[1] == "200"
        except (OSError, asyncio.TimeoutError, http11.Broken):
            return False
