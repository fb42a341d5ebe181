"""Why requests were late, refused, failed or broken off, counted from the logs of entries.

Reads lines of JSON as daisytack-entry writes them, from files or standard input. What stands before the first
brace of a line is passed over, and so is every line that is no JSON: a full pipe can cut one.
"""
import argparse
import collections
import json
import sys

# If the first byte is later than predicted by at least this much, the delay had a cause unknown to the entry.
UNEXPECTED_DELAY_MS = 100


def read_lines(file):
    for line in file:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except json.JSONDecodeError:
            continue


def is_late(end):
    return end["outcome"] == "answered" and end.get("first_byte_ms", 0) > end.get("target_ms", 0) > 0


def cause_of_lateness(sent, ended):
    """Returns why an answered request was late, from the log lines of its attempts in order."""
    if len(sent) > 1:
        first = ended[0]["result"] if ended else "not logged"
        return "sent again: " + first
    if not sent:
        return "no attempt logged"
    attempt = sent[0]
    predicted = attempt.get("predicted_first_byte_ms", 0)
    first_byte = ended[0].get("first_byte_ms", 0) if ended else 0
    if first_byte < predicted + UNEXPECTED_DELAY_MS:
        return "queue known when it was sent"
    if attempt.get("fetch_excess_ms", 0) > UNEXPECTED_DELAY_MS:
        return "congested link to a store"
    if attempt.get("sourced_tokens", 0) > 0:
        return "fetch or server slower than predicted"
    return "server slower than predicted"


def cause_of_end(end, sent, ended):
    """Returns how a request ended badly and why, or None if it was answered in time."""
    if is_late(end):
        return "late", cause_of_lateness(sent, ended)
    if end["outcome"] == "answered":
        return None
    reason = end.get("reason") or (ended[-1]["result"] if ended else "no attempt")
    if end["outcome"] == "refused" and not sent:
        reason += ", no server was asked"
    return end["outcome"], reason


def count(lines):
    """Counts requests by route, and bad ends by route, kind and cause."""
    sent = collections.defaultdict(list)
    ended = collections.defaultdict(list)
    requests = collections.Counter()
    causes = collections.Counter()
    for line in lines:
        event = line.get("event")
        key = (line.get("process"), line.get("request"))
        if event == "attempt_sent":
            sent[key].append(line)
        elif event == "attempt_ended":
            ended[key].append(line)
        elif event == "request_ended":
            requests[line["route"]] += 1
            cause = cause_of_end(line, sent.pop(key, []), ended.pop(key, []))
            if cause:
                causes[(line["route"],) + cause] += 1
        elif event == "request_refused":
            requests["(none)"] += 1
            causes["(none)", "refused early", "%s %s" % (line["status"], line.get("reason", ""))] += 1
    return requests, causes


def print_table(requests, causes, out):
    out.write("%-24s %-14s %-44s %8s %8s\n" % ("route", "end", "cause", "requests", "share"))
    for (route, end, cause), n in sorted(causes.items(), key=lambda it: (it[0][0], -it[1])):
        share = 100 * n / requests[route]
        out.write("%-24s %-14s %-44s %8d %7.1f%%\n" % (route, end, cause, n, share))
    total = sum(requests.values())
    out.write("%d requests, %d of them answered in time\n" % (total, total - sum(causes.values())))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="*", help="files; none: standard input")
    options = parser.parse_args()

    def lines():
        if not options.logs:
            yield from read_lines(sys.stdin)
        for name in options.logs:
            with open(name, encoding="utf-8", errors="replace") as file:
                yield from read_lines(file)

    try:
        requests, causes = count(lines())
    except OSError as error:
        print("causes: can't read %s: %s" % (error.filename, error.strerror), file=sys.stderr)
        return 2
    print_table(requests, causes, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
