"""Figures of the path on loopback: added time, requests a second, many slow streams, memory."""

import json
import subprocess
import sys

from deployment import Deployment, key_of
from fleet import BUILD, HOST, Fleet

SLOW_STREAMS = 10000
IDLE_CONNECTIONS = 5000
INSTANT = ("--prefill_rate=0", "--decode_rate=0", "--slots=100000", "--cache_pieces=0")
SLOW = ("--prefill_rate=0", "--decode_rate=1", "--slots=100000", "--cache_pieces=0")
WIDE = {"agent": {"agent": {"max_running": 64, "max_waiting": 1000000}}}


def load(port, pid=0, **flags):
    """Runs the load generator; its figures."""
    arguments = [str(BUILD / "bench_loopback"), f"--target={HOST}:{port}", f"--key={key_of('agora')}", f"--pid={pid}"]
    arguments += [f"--{name}={value}" for name, value in flags.items()]
    return json.loads(subprocess.run(arguments, check=True, capture_output=True, text=True).stdout)


def show(title, figures):
    print(f"{title}: {json.dumps(figures)}", flush=True)


def measure_overhead():
    """Added time and rate, direct and through entry and agent by turns."""
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
        show("throughput, one entry", load(entry.work, mode="throughput", requests=40000, at_once=64))
        pid = fleet.processes[entry.name].pid
        show("idle connections", load(entry.work, pid, mode="idle", at_once=IDLE_CONNECTIONS))


def measure_streams(streams):
    """Many slow streams through one entry."""
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=1, services=0, stores=0, engine_flags=SLOW, settings=WIDE).start()
        entry = d.entries[0]
        figures = load(entry.work, fleet.processes[entry.name].pid, mode="streams", at_once=streams, tokens=20)
        figures["entry_bytes_per_stream"] = (figures["peak_kib"] - figures["rss_before_kib"]) * 1024 / streams
        show(f"{streams} slow streams", figures)


chosen = sys.argv[1:] or ["overhead", "streams"]
if "overhead" in chosen:
    measure_overhead()
if "streams" in chosen:
    measure_streams(SLOW_STREAMS)
