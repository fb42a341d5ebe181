"""Starts, signals and restarts real entries in quick series on the same ports, and counts how they end.

    start_series.py --rounds 400 --seed 1

Guards against processes that don't start, end by themselves, or end with a wrong exit code: ports that were just used,
signals during the start, twice or while draining, settings that are rewritten meanwhile, a key-value service that is
down, slow or busy.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import http11  # noqa: E402
import sanitizers  # noqa: E402
from entry import Entry  # noqa: E402
from fleet import BUILD, Fleet  # noqa: E402
from platform_side import KeyValueService  # noqa: E402
from proxy import SILENT, SOUND, Proxy  # noqa: E402

LANES = 3  # Entries at a time, each with its own ports and its own link to the key-value service.
GRACE_SECONDS = 3.0
# Beyond the grace period for a machine that is busy; the time itself is what the soak checks.
END_SECONDS = GRACE_SECONDS + 20
READY_SECONDS = 20
DELAYS = (0, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3)
SIGNALS = {
    "TERM": (signal.SIGTERM,), "TERM twice": (signal.SIGTERM, signal.SIGTERM),
    "HUP in a drain": (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP), "HUP, TERM": (signal.SIGHUP, signal.SIGTERM),
    "HUP, TERM, HUP, TERM": (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    "KILL": (signal.SIGKILL,), "TERM, KILL": (signal.SIGTERM, signal.SIGKILL)}
STATES = ("sound", "sound", "busy", "slow", "silent", "no answer")
CONNECTIONS = 6


class Lane:
    """One entry after another on the same ports."""

    def __init__(self, number, fleet, rng, kv, link):
        self.rng, self.kv, self.link, self.fleet = rng, kv, link, fleet
        self.entry = Entry(fleet, number, 0, link)
        self.entry.knows_grace, self.entry.grace_seconds = True, GRACE_SECONDS
        self.entry.seeds = f"127.0.0.1:{self.entry.ports['peers']}"
        self.ends = collections.Counter()  # By signals, exit code and last line.
        self.problems = []

    @property
    def log(self):
        return self.fleet.directory / f"{self.entry.name}.log"

    @property
    def settings(self):
        return self.fleet.directory / f"{self.entry.name}.ini"

    async def run_round(self, number):
        state, way = self.rng.choice(STATES), self.rng.choice(sorted(SIGNALS))
        delay, waits = self.rng.choice(DELAYS), self.rng.random() < 0.4
        rewrites, gap = self.rng.random() < 0.4, self.rng.choice(DELAYS)
        self._set_service(state)
        size = self.log.stat().st_size if self.log.exists() else 0
        self.entry.start()
        connections = []
        if waits:
            await self._wait_serving(number, state == "sound")
            connections = await self._connect()
        else:
            await asyncio.sleep(delay)
        # Before main() has blocked them, SIGTERM and SIGHUP end any process.
        was_early = not self.entry.handles_signals()
        if rewrites and not was_early:
            self._rewrite_settings()
        for it in SIGNALS[way]:
            self._signal(it)
            await asyncio.sleep(gap)
        code = await self._ended()
        text = self.log.read_bytes()[size:].decode(errors="replace")
        self._judge(number, way, code, was_early, text, f"service {state}, after {'serving' if waits else delay}")
        self._set_service("sound")
        for writer in connections:
            http11.close(writer)

    def _set_service(self, state):
        self.link.state = SILENT if state == "silent" else SOUND
        self.link.target = 1 if state == "no answer" else self.kv.port
        # The service is one for all entries: what it does, it does to those of other lanes as well.
        self.kv.status = 429 if state == "busy" else 0
        self.kv.delay = 0.3 if state == "slow" else 0.0
        if state == "no answer":
            self.link.reset()

    def _rewrite_settings(self):
        """Writes the settings in place: first a part, which is invalid, then all with another memory."""
        text = self.settings.read_text()
        self.settings.write_text(text[:len(text) // 2] + "[")
        self.settings.write_text(re.sub(r"memory_mb = \d+", f"memory_mb = {self.rng.choice((88, 110, 260))}", text))

    def _signal(self, number):
        try:
            self.entry.signal(number)
        except ProcessLookupError:
            pass  # It has ended.

    async def _wait_serving(self, number, must_be_ready):
        """Waits until the entry listens, or is ready if it must become so."""
        loop = asyncio.get_event_loop()
        end = loop.time() + READY_SECONDS
        while self.entry.is_running():
            if await (self.entry.is_ready() if must_be_ready and self.kv.status == 0 else self._listens()):
                return
            if loop.time() > end:
                self.problems.append(f"round {number}: not serving after {READY_SECONDS} s")
                return
            await asyncio.sleep(0.02)

    async def _listens(self):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.entry.ports["callers"])
        except OSError:
            return False
        http11.close(writer)
        return True

    async def _connect(self):
        """Opens connections with requests, so that the ports have connections left when the next entry starts."""
        out = []
        for port in ("callers", "readiness", "metrics", "peers"):
            for _ in range(CONNECTIONS):
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.entry.ports[port])
                except OSError:
                    continue
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                out.append(writer)
        return out

    async def _ended(self):
        """Returns the exit code, or None if the entry had to be killed."""
        end = asyncio.get_event_loop().time() + END_SECONDS
        while self.entry.is_running():
            if asyncio.get_event_loop().time() > end:
                self.entry.kill()
                return None
            await asyncio.sleep(0.005)
        return self.entry.ended()

    def _judge(self, number, way, code, was_early, text, how):
        lines = [it for it in text.splitlines() if not it.startswith("{")]
        last = re.sub(r"^\S+ ", "", lines[-1]) if lines else "no line"
        last = re.sub(r"\d+", "N", last)
        self.ends[(way, code, "early" if was_early else "", last)] += 1
        allowed = {0}
        if signal.SIGKILL in SIGNALS[way]:
            allowed.add(-signal.SIGKILL)
        if was_early:
            # Signals that came while all were blocked, as a thread was created, are delivered by their numbers.
            allowed.update(-it for it in SIGNALS[way])
        reports = [it for it in lines if sanitizers.REPORT.search(it)]
        if code not in allowed or reports:
            self.problems.append(f"round {number}: {way}, {how}{', before main()' if was_early else ''}: ended with "
                                 f"{code}\n" + "\n".join((reports or lines)[-12:]))


async def run(options, fleet):
    kv = await KeyValueService().start()
    lanes = []
    for n in range(LANES):
        link = await Proxy(kv.port).start()
        lanes.append(Lane(n, fleet, random.Random(f"{options.seed}/{n}"), kv, link))
    kv.put("op/config", {"version": 1, "routes": [], "services": [], "tenants": []})

    async def series(lane, rounds):
        for number in range(rounds):
            await lane.run_round(number)

    await asyncio.gather(*[series(it, options.rounds // LANES) for it in lanes])
    ends, problems = sum((it.ends for it in lanes), collections.Counter()), sum((it.problems for it in lanes), [])
    for (way, code, early, last), count in sorted(ends.items(), key=str):
        print(f"{count:5} {way}: exit code {code}{', before main()' if early else ''}, last line: {last}")
    print(*[f"PROBLEM {it}" for it in problems], sep="\n")
    print(f"seed {options.seed}: {sum(ends.values())} starts, {len(problems)} problems")
    fleet.stop()
    rest = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
    return 1 if problems else 0


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--rounds", type=int, default=400)
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--build-directory", type=pathlib.Path, default=BUILD)
    options = arguments.parse_args()
    sanitizers.prepare(options.build_directory)
    with Fleet(options.build_directory.resolve()) as fleet:
        return asyncio.run(run(options, fleet))


if __name__ == "__main__":
    sys.exit(main())
