"""Computes the tables of docs/CAPACITY.md: slopes measured on this machine, multiplied by the design size.

usage: scripts/capacity [--spread FILE] [--print]

FILE holds the output of an earlier run of scripts/bench-spread, which is shown beside the computed figures.
"""

import argparse
import dataclasses
import json
import math
import os
import re
import subprocess

from deployment import Deployment, key_of
from fleet import BUILD, HOST, ROOT, Fleet

PAGE = ROOT / "docs" / "CAPACITY.md"

# The deployment size that the design is sized for. REQUESTS and TOKENS are rates per second.
ENTRIES, AGENTS, DOMAINS, REGIONS = 1300, 10000, 14, 4
ACCELERATORS, ORGANISATIONS, MODELS = 80000, 7900, 8
REQUESTS, TOKENS = 180000, 42e6
PROMPTS, CHANGES_A_DAY, REPLACED_A_DAY, FAILED_A_DAY = 800000, 34000, 1700, 150
READERS_PER_DOMAIN = 2
DAY = 86400
MEMBERS = ENTRIES + AGENTS

# Budgets of the control part on one node: share of a core, memory in bytes, bytes sent per second.
CPU_SHARE, MEMORY, BYTES = 0.048, 128e6, 5000

# Defaults of the control part: src/control/gossip.h and src/runtime/control_runtime.h.
FANOUT, DIGEST_SECONDS, LIST_SECONDS, IP_AND_SEAL = 4, 1, 1, 72
LINK_IDLE_SECONDS = 60

SLOPE_SIZES = ((1000, 700), (5650, 3950), (11300, 7900))
STREAM_TOKENS = (20, 100, 200)
STREAMS, DECODE_RATE = 300, 50
REQUEST_COUNT = 20000


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measured figure: value and unit, how and at which sizes it was measured, worst misfit of a linear fit."""

    value: float
    unit: str
    how: str
    sizes: str
    misfit: float = 0.0


def fit(xs, ys):
    """Fits a line by least squares; returns intercept, slope and the worst misfit as a share of the largest value."""
    n, sx, sy = len(xs), sum(xs), sum(ys)
    slope = (n * sum(x * y for x, y in zip(xs, ys)) - sx * sy) / (n * sum(x * x for x in xs) - sx * sx)
    intercept = (sy - slope * sx) / n
    misfit = max(abs(intercept + slope * x - y) for x, y in zip(xs, ys)) / max(map(abs, ys))
    return intercept, slope, misfit


def run(name, *arguments):
    return subprocess.run([str(BUILD / name), *map(str, arguments)], check=True, capture_output=True, text=True).stdout


def control_slopes():
    """Returns memory, CPU time and payload sizes of the control part, from bench_slopes at three sizes."""
    pattern = {
        "total_mb": r"in all ([\d.]+) MB", "merge_us": r"([\d.]+) us to merge a change",
        "build_us": r"([\d.]+) us with the new snapshot", "member_us": r"([\d.]+) us for a change of members",
        "digest_b": r"digest (\d+) B", "change_b": r"change of an organisation (\d+) B",
        "member_b": r"change of a member (\d+) B", "signal_b": r"signal (\d+) B",
        "image_mb": r"new process: ([\d.]+) MB", "serve_us": r"([\d.]+) us to serve", "tick_us": r"news: ([\d.]+) us",
    }
    rows = []
    for members, organisations in SLOPE_SIZES:
        text = run("bench_slopes", members, organisations)
        rows.append({key: float(re.search(rule, text).group(1)) for key, rule in pattern.items()})
    xs = [members for members, _ in SLOPE_SIZES]
    sizes = ", ".join(f"{m}+{o}" for m, o in SLOPE_SIZES)
    out = {}

    def add_linear(name, field, scale, unit, how):
        intercept, slope, misfit = fit(xs, [row[field] * scale for row in rows])
        out[name] = Slope(slope, f"{unit} per member", f"bench_slopes, {how}", sizes, misfit)
        out[name + "_full"] = Slope(rows[-1][field] * scale, unit, f"bench_slopes, {how}", sizes.split(", ")[-1])

    def add_constant(name, field, unit, how):
        out[name] = Slope(rows[-1][field], unit, f"bench_slopes, {how}", sizes.split(", ")[-1])

    add_linear("memory", "total_mb", 1e6, "B", "all of configuration, members, peers and snapshot")
    add_linear("change_cpu", "build_us", 1, "us", "a change of configuration with its snapshot")
    add_linear("member_cpu", "member_us", 1, "us", "a change of members with its snapshot")
    add_linear("image", "image_mb", 1e6, "B", "image for a new process")
    add_constant("merge_cpu", "merge_us", "us", "merging a change, no snapshot")
    add_constant("tick_cpu", "tick_us", "us", "a tick without news")
    for name, what in (("digest", "digest"), ("change", "change of an organisation"), ("member", "change of a member"),
                       ("signal", "signal")):
        add_constant(name + "_bytes", name + "_b", "B", f"payload of a {what}")
    return out


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat", encoding="ascii").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid):
    return int(open(f"/proc/{pid}/statm", encoding="ascii").read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def load(target, **flags):
    text = run("bench_loopback", f"--target={HOST}:{target}", f"--key={key_of('agora')}",
               *[f"--{name}={value}" for name, value in flags.items()])
    figures = json.loads(text)
    if figures.get("failed") or figures.get("mixed"):
        raise SystemExit(f"the load generator saw failures: {figures}")
    return figures


def request_slopes():
    """Returns the request rate of one entry and the CPU time of entry and agent per request and per streamed chunk."""
    out, request_us, stream_us = {}, {}, {"entry": [], "agent": []}
    instant = ("--prefill_rate=0", "--decode_rate=0", "--slots=100000", "--cache_pieces=0")
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=1, services=0, stores=0, engine_flags=instant).start()
        pids = {role: fleet.processes[i.name].pid for role, i in (("entry", d.entries[0]), ("agent", d.agents[0]))}
        before = {role: cpu_seconds(pid) for role, pid in pids.items()}
        figures = load(d.entries[0].work, mode="throughput", requests=REQUEST_COUNT, at_once=32)
        for role, pid in pids.items():
            request_us[role] = (cpu_seconds(pid) - before[role]) / REQUEST_COUNT * 1e6
        out["rate"] = Slope(figures.get("per_second", figures.get("requests_per_second", 0)), "requests/s",
                            "scripts/capacity, one entry, 32 at once", f"{REQUEST_COUNT} requests")
    steady = ("--prefill_rate=0", f"--decode_rate={DECODE_RATE}", "--slots=100000", "--cache_pieces=0")
    wide = {"agent": {"agent": {"max_running": 512, "max_waiting": 1000000}}}
    with Fleet() as fleet:
        d = Deployment(fleet, entries=1, agents=1, services=0, stores=0, engine_flags=steady, settings=wide).start()
        pids = {role: fleet.processes[i.name].pid for role, i in (("entry", d.entries[0]), ("agent", d.agents[0]))}
        for tokens in STREAM_TOKENS:
            before = {role: cpu_seconds(pid) for role, pid in pids.items()}
            load(d.entries[0].work, mode="streams", at_once=STREAMS, tokens=tokens)
            for role, pid in pids.items():
                stream_us[role].append((cpu_seconds(pid) - before[role]) / STREAMS * 1e6)
    for role in ("entry", "agent"):
        out[role + "_request"] = Slope(request_us[role], "us per request",
                                       "scripts/capacity, whole answers of 4 chunks", f"{REQUEST_COUNT} requests")
        _, slope, misfit = fit(STREAM_TOKENS, stream_us[role])
        out[role + "_chunk"] = Slope(slope, "us per chunk", f"scripts/capacity, {STREAMS} streams at {DECODE_RATE}/s",
                                     ", ".join(map(str, STREAM_TOKENS)) + " chunks", misfit)
    return out


def ticket_slope():
    text = run("bench_once")
    rows = re.findall(r"(\d+) tickets .* record +(\d+) B", text)
    return {"ticket": Slope(float(rows[-1][1]), "B per ticket", "bench_once", ", ".join(row[0] for row in rows))}


def slope_table(slopes):
    lines = ["| slope | value | unit | measured by | at sizes | misfit |", "|---|---:|---|---|---|---:|"]
    for name, s in slopes.items():
        misfit = f"{s.misfit * 100:.0f}%" if s.misfit else ""
        lines.append(f"| {name} | {s.value:.4g} | {s.unit} | {s.how} | {s.sizes} | {misfit} |")
    return "\n".join(lines)


def control_rows(s):
    """Yields the costs of the control part on one node at full size, with their budgets."""
    changes = CHANGES_A_DAY / DAY
    member_changes = (REPLACED_A_DAY * 3 + FAILED_A_DAY * 2) / DAY
    change_traffic = (changes * (s["change_bytes"].value + IP_AND_SEAL) +
                      member_changes * (s["member_bytes"].value + IP_AND_SEAL)) * FANOUT
    digest_traffic = 2 * (s["digest_bytes"].value + IP_AND_SEAL) / DIGEST_SECONDS
    image_traffic = s["image_full"].value * (REPLACED_A_DAY + FAILED_A_DAY) / MEMBERS / DAY
    processor = changes * s["change_cpu_full"].value + member_changes * s["member_cpu_full"].value
    yield "bytes sent a second", change_traffic + digest_traffic + image_traffic, BYTES, "B/s", \
        "rumours to a bounded number of peers, digests"
    yield "processor", processor / 1e6 * 100, CPU_SHARE * 100, "% of a core", "one merge and one snapshot per change"
    yield "memory", s["memory_full"].value / 1e6, MEMORY / 1e6, "MB", "one replica and one snapshot"


def role_rows(s):
    """Yields the load of each role at full size."""
    per_entry, per_agent = REQUESTS / ENTRIES, REQUESTS / AGENTS
    chunks_entry, chunks_agent = TOKENS / ENTRIES, TOKENS / AGENTS
    links = AGENTS * (1 - math.exp(-per_entry * LINK_IDLE_SECONDS / AGENTS))
    entry_cores = (per_entry * s["entry_request"].value + chunks_entry * s["entry_chunk"].value) / 1e6
    agent_cores = (per_agent * s["agent_request"].value + chunks_agent * s["agent_chunk"].value) / 1e6
    yield "entry", "requests a second", f"{per_entry:.0f}", "balancer"
    yield "entry", "chunks a second, one a token", f"{chunks_entry:.0f}", "streams over shared links"
    yield "entry", "cores for requests and chunks", f"{entry_cores:.2f}", "slopes entry_request, entry_chunk"
    yield "entry", f"links open to agents, {LINK_IDLE_SECONDS} s idle limit", f"{links:.0f}", "on demand, closed when idle"
    yield "agent", "requests a second", f"{per_agent:.0f}", "consistent hashing, bounded load"
    yield "agent", "chunks a second, one a token", f"{chunks_agent:.0f}", ""
    yield "agent", "cores for requests and chunks", f"{agent_cores:.3f}", "slopes agent_request, agent_chunk"
    yield "agent", "links open from entries", f"{links * ENTRIES / AGENTS:.0f}", ""
    yield "agent", "records of 18 at-most-once calls/s over 10 min, MB", f"{18 * 600 * s['ticket'].value / 1e6:.1f}", "ledger bounded by count"
    yield "reader", "processes that read the platform", f"{READERS_PER_DOMAIN * DOMAINS}", "rendezvous in each failure domain"
    yield "key-value service", "waiting watches", f"{READERS_PER_DOMAIN * DOMAINS}", "constant in the fleet's size"
    yield "key-value service", "configuration writes a second", f"{CHANGES_A_DAY / DAY:.2f}", "one compare-and-swap a change"
    yield "instance list", "polls a second", f"{READERS_PER_DOMAIN * DOMAINS / LIST_SECONDS:.0f}", "readers only, only what changed"
    yield "stores", "returning prompts to hold", f"{PROMPTS}", "piece keys hashed over stores; no index"


def tables(s):
    out = ["### Slopes", "", slope_table(s), "", "### Control, one node", "",
           "| what | at full size | budget | unit | share | carried by |", "|---|---:|---:|---|---:|---|"]
    for what, value, budget, unit, mechanism in control_rows(s):
        out.append(f"| {what} | {value:.3g} | {budget:.3g} | {unit} | {value / budget * 100:.0f}% | {mechanism} |")
    out += ["", "### By role", "", "| role | what | at full size | carried by |", "|---|---|---:|---|"]
    out += [f"| {role} | {what} | {value} | {mechanism} |" for role, what, value, mechanism in role_rows(s)]
    return "\n".join(out)


def spread_block(path):
    with open(path, encoding="utf-8") as file:
        return "### Spread on real processes\n\n```text\n" + file.read().strip() + "\n```"


def replace(text, name, block):
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, rest = text.split(begin, 1)
    return head + begin + "\n\n" + block + "\n\n" + end + rest.split(end, 1)[1]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--spread")
    parser.add_argument("--print", action="store_true")
    options = parser.parse_args()
    slopes = {**control_slopes(), **request_slopes(), **ticket_slope()}
    block = tables(slopes)
    if options.print:
        print(block)
        return
    text = replace(PAGE.read_text(encoding="utf-8"), "tables", block)
    if options.spread:
        text = replace(text, "spread", spread_block(options.spread))
    PAGE.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
