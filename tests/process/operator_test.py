"""The operators' client against a deployment: the commands that docs/OPERATORS.md explains."""

import json
import os
import re
import subprocess

from cases import check, check_whole, run_cases, start_long_stream, wait_engines_idle, wait_for
from deployment import OPERATOR_KEY
from fleet import BUILD, HOST, ROOT, request

UNREACHABLE = f"{HOST}:1"


def client(deployment, *arguments, entries=None, key=OPERATOR_KEY, stdin=None):
    """Runs the client; returns its exit code and its output."""
    entries = entries or ",".join(f"{HOST}:{e.operators}" for e in deployment.entries)
    environment = {**os.environ, "DAISYTACK_ENTRIES": entries, "DAISYTACK_KEY": key}
    done = subprocess.run([BUILD / "daisytack", *arguments], env=environment, input=stdin, text=True,
                          capture_output=True, timeout=120, check=False)
    return done.returncode, done.stdout + done.stderr


def expect(deployment, code, *arguments, has="", **options):
    """Runs the client, checks its exit code and a part of its output, and returns the output."""
    got, text = client(deployment, *arguments, **options)
    check(got == code and has in text, f"{arguments}: exit {got}, wanted {code} with {has!r}:\n{text}")
    return text


def rows_of(deployment, statement):
    """Returns the rows of a query as dicts."""
    code, text = client(deployment, "--json", "query", statement)
    check(code == 0, f"{statement}: exit {code}: {text}")
    answer = json.loads(text)
    names = [column["name"] for column in answer["columns"]]
    return [dict(zip(names, row)) for row in answer["rows"]]


def help_matches_page(_):
    """docs/OPERATORS.md lists the flags and exit codes of --help."""
    text = subprocess.run([BUILD / "daisytack", "--help"], text=True, capture_output=True, check=True).stdout
    page = (ROOT / "docs" / "OPERATORS.md").read_text()
    flags = {word.strip(" =[]").split("=")[0] for word in text.split() if word.startswith("--")}
    check(len(flags) > 10, f"flags: {flags}")
    for flag in flags:
        check(f"`{flag}`" in page, f"{flag} is not in OPERATORS.md")
    codes = text[text.index("exit codes:") + len("exit codes:"):text.index("\n\nThe language")]
    for entry in codes.replace("\n", " ").split(","):
        number, name = entry.split()
        check(f"| {number} | {name} |" in page, f"exit code {entry} is not in OPERATORS.md")
    script = subprocess.run([BUILD / "daisytack", "completion"], text=True, capture_output=True, check=True).stdout
    subprocess.run(["bash", "-n"], input=script, text=True, check=True)


def exit_codes(d):
    """Each kind of failure has its own exit code."""
    expect(d, 0, "show", "servers", has="agent-0")
    expect(d, 1, "show", "nothing", has="column 6")
    expect(d, 1, "frobnicate", has="--help")
    expect(d, 1, "--wait=soon", "drain", "agent-0", has="--wait")
    expect(d, 2, "drain", "agent-99", has="not_found")
    expect(d, 2, "show", "servers", key="wrong", has="unauthenticated")
    expect(d, 5, "show", "servers", entries=UNREACHABLE, has="remedy")
    expect(d, 0, "show", "servers", entries=f"{UNREACHABLE},{HOST}:{d.entries[0].operators}", has="agent-0")


def statements_from_a_pipe(d):
    """Without arguments the client reads statements from standard input until its end."""
    text = expect(d, 0, stdin="show classes\n\nshow versions\n")
    check("bulletin" in text and "on_version" in text, text)


def running_request_is_shown(d):
    """A running request is listed with its entry and server; its time line has events of both."""
    stream = start_long_stream(d, "look at me")
    row = wait_for("the request shows as running", lambda: rows_of(d, "show running"))[0]
    check(row["organisation"] == "agora" and row["instance"].startswith("agent-"), f"{row}")
    text = expect(d, 0, f"--request={row['request']}", "timeline")
    for event in ("request_received", "offer_accepted", "run_started", "first_token"):
        check(event in text, f"no {event} in the time line:\n{text}")
    trace = json.loads(expect(d, 0, f"--request={row['request']}", "--format=chrome", "timeline"))
    check(len({e["pid"] for e in trace["traceEvents"]}) >= 2, "a trace over two processes")
    page = expect(d, 0, f"--request={row['request']}", "--format=html", "timeline")
    check("<svg" in page and "Three measures" in page, "no page")
    check("look at me" not in text + page + json.dumps(trace), "the prompt shows")
    check_whole(stream.rest(), "look at me")


def stop_a_request(d):
    """A stopped request ends with an error at the caller, and its run ends."""
    stream = start_long_stream(d, "stop me")
    row = wait_for("the request runs", lambda: rows_of(d, "show running"))[0]
    expect(d, 0, "stop", row["request"], has="stopped 1")
    events = stream.rest()
    check(events[-1].get("event") == "error" and "cancelled" in events[-1]["data"], f"{events[-1:]}")
    wait_engines_idle(d)
    expect(d, 0, "stop", row["request"], has="unchanged")


def drain_under_load(d):
    """A drained server finishes accepted requests and gets no new ones."""
    stream = start_long_stream(d, "drain me")
    row = wait_for("the request runs", lambda: rows_of(d, "show running"))[0]
    text = expect(d, 0, "--wait=30s", "drain", row["instance"], has="applied")
    check("in force in" in text, text)
    check_whole(stream.rest(), "drain me")
    for n in range(4):
        check(d.complete(f"elsewhere {n}").status == 200, "a prompt beside a drained server")
    check(rows_of(d, "show servers where drained = true")[0]["server"] == row["instance"], "drained shows")
    expect(d, 0, "--wait=30s", "undrain", row["instance"], has="applied")
    expect(d, 0, "undrain", row["instance"], has="unchanged")


def versions_are_counted(d):
    """Servers are counted by the version that they report."""
    for n in range(8):
        d.complete(f"version {n}")
    row = rows_of(d, "show versions where model = m")[0]
    check(row["version"] == "v1" and row["on_version"] >= 1 and row["on_other"] == 0, f"{row}")
    check(any(s["version"] == "v1" and s["heard"] is not None for s in rows_of(d, "show servers")), "servers' versions")


def configure(d):
    """Configuration objects are created, changed and deleted, bad changes are refused, and key hashes are hidden."""
    expect(d, 0, "--wait=30s", "admit", "class", "quotes", "priority=9", "deadline=2s", has="in force")
    expect(d, 2, "admit", "class", "quotes", has="exists")
    expect(d, 3, "--expected_revision=0", "set", "class", "quotes", "deadline=4s", has="conflict")
    changed = expect(d, 0, "--wait=30s", "set", "class", "quotes", "deadline=5s", has="revision ")
    revision = re.search(r"revision (\d+)", changed)[1]
    expect(d, 0, f"--expected_revision={revision}", "set", "class", "quotes", "deadline=6s", has="applied")
    expect(d, 3, f"--expected_revision={revision}", "set", "class", "quotes", "deadline=7s", has="conflict")
    expect(d, 1, "--expected_revision=x", "set", "class", "quotes", "deadline=7s", has="whole number")
    expect(d, 0, "--wait=30s", "set", "class", "quotes", "deadline=3s")
    check(rows_of(d, "show classes where class = quotes")[0]["deadline"] == 3_000_000, "the new deadline")
    expect(d, 2, "set", "class", "quotes", "priority=77", has="bad_value")
    expect(d, 1, "set", "class", "quotes", "speed=1", has="no such field")
    expect(d, 0, "--wait=30s", "delete", "class", "quotes")
    check(not rows_of(d, "show classes where class = quotes"), "the class is gone")
    check("(hidden)" in expect(d, 0, "show", "config"), "key hashes are hidden")


def purge(d):
    """A purge increments the epoch in every process."""
    expect(d, 0, "--wait=30s", "purge", "agora", has="in force in")
    check(rows_of(d, "show organisations where organisation = agora")[0]["epoch"] == 1, "the epoch")
    expect(d, 2, "set", "reuse", "agora:*", "epoch=0", has="forbidden")


def service_down(d):
    """While the key-value service is down, commands fail and requests are still served."""
    request(d.kv, "POST", "/standin/faults", {"down": True})
    code, text = client(d, "drain", "agent-0")
    check(code in (2, 4), f"exit {code}: {text}")
    check(d.complete("while it is down").status == 200, "a prompt while the service is down")
    request(d.kv, "POST", "/standin/faults", {"down": False})
    wait_for("commands work again", lambda: client(d, "undrain", "agent-0")[0] == 0)


def measures_are_exported(d):
    """First-token time, prompt tokens and recomputed tokens are exported per model and class."""
    text = request(d.entries[0].operators, "GET", "/metrics").body
    for name in ("daisytack_first_token_seconds_count", "daisytack_prompt_tokens_total",
                 "daisytack_prompt_tokens_recomputed_total"):
        check(f'{name}{{model="m",class="' in text, f"{name} by model and class:\n{text}")
    text = request(d.agents[0].operators, "GET", "/metrics").body
    check('daisytack_link_bytes_total{direction="fetch"}' in text, text)
    check("daisytack_process_resident_bytes" in text, text)


run_cases(help_matches_page, exit_codes, statements_from_a_pipe, running_request_is_shown, stop_a_request,
          drain_under_load, versions_are_counted, configure, purge, measures_are_exported, service_down,
          services=0, agents=2)
