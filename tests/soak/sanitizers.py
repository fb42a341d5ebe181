"""Entries of the soak that are built with a sanitizer (DAISYTACK_SANITIZE), and reports of faults in entries' logs."""

import os
import pathlib
import re

MEMORY_MB = 4000  # A sanitized entry takes several times the memory of others.
REPORT_LINES = 60
REPORT = re.compile(r"(ERROR|WARNING): (Address|Leak|Thread)Sanitizer|Sanitizer:DEADLYSIGNAL|: runtime error: |"
                    r"Assertion '.*' failed|daisytack-entry ends by ")
END_OF_REPORT = re.compile(r"^(SUMMARY: |=+$)")
TSAN_SUPPRESSIONS = pathlib.Path(__file__).resolve().parents[1] / "tsan.supp"
# What sanitized entries are checked for. They are several times slower than others, and the bounds on times and shares
# are not made for them.
COUNTED = ("entries_end_well", "no_fault_reports", "at_most_once", "answers_match_runs", "events_in_order",
           "streams_of_one_version", "requests_as_sent", "one_holder_per_fencing_token", "large_requests_answered_right")


def prepare(build):
    """Returns whether the programs of the build directory are sanitized, and sets the sanitizers' options if so."""
    try:
        found = re.search(r"(?m)^DAISYTACK_SANITIZE:\w+=(address|thread)$", (build / "CMakeCache.txt").read_text())
    except OSError:
        found = None
    if found:
        os.environ.setdefault("UBSAN_OPTIONS", "print_stacktrace=1")
        os.environ.setdefault("TSAN_OPTIONS", f"suppressions={TSAN_SUPPRESSIONS} second_deadlock_stack=1")
    return bool(found)


def reports(directory):
    """Returns the first lines of each report in the logs of the directory, each kind of report once for each log."""
    out = []
    for log in sorted(directory.glob("*.log")):
        lines, known = log.read_text(errors="replace").splitlines(), set()
        for n, line in enumerate(lines):
            if not REPORT.search(line):
                continue
            some = lines[n:n + REPORT_LINES]
            end = next((k for k, it in enumerate(some) if k > 0 and END_OF_REPORT.search(it)), 0)
            summary = some[end] if end else re.sub(r"\d+", "", line)
            if summary not in known:
                out.append("\n".join([f"in {log.name}:", *some[:end + 1 or REPORT_LINES]]))
            known.add(summary)
    return out


def split_problems(problems):
    """Prints the first problem of each check that doesn't count for sanitized entries; returns the other problems."""
    known = set()
    for it in problems:
        check = it.partition(":")[0]
        if check not in COUNTED and check not in known:
            print(f"  not counted: {it}", flush=True)
        known.add(check)
    return [it for it in problems if it.partition(":")[0] in COUNTED]
