"""Benchmarks entries and agents on loopback: added latency, requests per second, many slow streams and memory."""

import json
import os
import pathlib
import subprocess
import sys

from deployment import Deployment, default_objects, key_of
from fleet import BUILD, HOST, Fleet

SLOW_STREAMS = 10000
IDLE_CONNECTIONS = 5000
INSTANT = ("--prefill_rate=0", "--decode_rate=0", "--slots=100000", "--cache_pieces=0")
SLOW = ("--prefill_rate=0", "--decode_rate=40", "--slots=64", "--cache_pieces=0")
MANY_STREAMS = {"entry": {"process": {"threads": 4}}, "agent": {"agent": {"max_running": 64, "max_waiting": 1000000}}}
STREAM_AGENTS = 8


def load(port, pid=0, **flags):
    """Runs the load generator and returns its figures."""
    arguments = [str(BUILD / "bench_loopback"), f"--target={HOST}:{port}", f"--key={key_of('agora')}", f"--pid={pid}"]
    arguments += [f"--{name}={value}" for name, value in flags.items()]
    return json.loads(subprocess.run(arguments, check=True, capture_output=True, text=True).stdout)


def cpu_seconds(fleet, name):
    """Returns the CPU time that the process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{fleet.processes[name].pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_rate(d, agents, requests=40000):
    """Measures requests per second through one entry and the CPU time of each process per request."""
    names = [d.entries[0].name] + [a.name for a in d.agents]
    before = {name: cpu_seconds(d.fleet, name) for name in names}
    figures = load(d.entries[0].work, mode="throughput", requests=requests, at_once=64)
    used = {name: cpu_seconds(d.fleet, name) - before[name] for name in names}
    figures["entry_cpu_us_per_request"] = used[names[0]] * 1e6 / requests
    figures["agent_cpu_us_per_request"] = sum(used[n] for n in names[1:]) * 1e6 / requests
    show(f"throughput, one entry, {agents} agents", figures)


def show(title, figures):
    print(f"{title}: {json.dumps(figures)}", flush=True)


def measure_overhead():
    """Measures added latency and throughput, alternating direct requests with requests through entry and agent."""
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=1, services=0, stores=0, engine_flags=INSTANT).start()
        engine, entry = d.agents[0].server, d.entries[0]
        for round_number in range(3):
            direct = load(engine, mode="latency", requests=5000, rate=500)
            through = load(entry.work, mode="latency", requests=5000, rate=500)
            show(f"500 requests/s, round {round_number}", {
                "direct_p50_us": direct["p50_us"], "direct_p99_us": direct["p99_us"],
                "through_p50_us": through["p50_us"], "through_p99_us": through["p99_us"],
                "added_p50_us": through["p50_us"] - direct["p50_us"],
                "added_p99_us": through["p99_us"] - direct["p99_us"],
                "failed": through["failed"], "mixed": through["mixed"], "why": through["first_failure"]})
        show("throughput, direct", load(engine, mode="throughput", requests=40000, at_once=64))
        measure_rate(d, 1)
        pid = fleet.processes[entry.name].pid
        show("idle connections", load(entry.work, pid, mode="idle", at_once=IDLE_CONNECTIONS))


def measure_rates():
    """Measures throughput of one entry with several agents."""
    threads = {"entry": {"process": {"threads": 6}}, "agent": {"process": {"threads": 2}}}
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=3, services=0, stores=0, engine_flags=INSTANT, settings=threads).start()
        measure_rate(d, 3)


def measure_streams(streams):
    """Opens many streams through one entry. A server runs 64 at a time; the others wait in the agent's queue."""
    objects = default_objects()
    objects["class/default"]["deadline"] = "30m"
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=STREAM_AGENTS, services=0, stores=0, engine_flags=SLOW,
                       settings=MANY_STREAMS, objects=objects).start()
        entry = d.entries[0]
        figures = load(entry.work, fleet.processes[entry.name].pid, mode="streams", at_once=streams, tokens=20)
        figures["entry_bytes_per_stream"] = (figures["peak_kib"] - figures["rss_before_kib"]) * 1024 / streams
        show(f"{streams} streams over {STREAM_AGENTS} servers", figures)


selected = sys.argv[1:] or ["overhead", "rates", "streams"]
if "overhead" in selected:
    measure_overhead()
if "rates" in selected:
    measure_rates()
if "streams" in selected:
    measure_streams(SLOW_STREAMS)
