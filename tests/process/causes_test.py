"""scripts/causes names the cause of each request that was late, refused, failed or aborted, from log lines alone."""
import io
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
import causes  # noqa: E402


def sent(request, attempt=1, **fields):
    return {"process": "e1", "event": "attempt_sent", "request": request, "attempt": attempt,
            "predicted_first_byte_ms": 80.0, "fetch_excess_ms": 0, "sourced_tokens": 0, **fields}


def ended(request, attempt=1, result="answered", **fields):
    return {"process": "e1", "event": "attempt_ended", "request": request, "attempt": attempt, "result": result, **fields}


def end(request, outcome="answered", **fields):
    return {"process": "e1", "event": "request_ended", "request": request, "route": "r", "outcome": outcome,
            "target_ms": 500.0, **fields}


# The log lines of a request, and its expected end and cause.
CASES = [
    ([sent("a"), ended("a", first_byte_ms=90.0), end("a", first_byte_ms=91.0)], None),
    ([end("b", "refused", reason="overloaded")], ("refused", "overloaded, no server was asked")),
    ([sent("c", predicted_first_byte_ms=600.0), ended("c", first_byte_ms=620.0), end("c", first_byte_ms=621.0)],
     ("late", "queue known when it was sent")),
    ([sent("d", fetch_excess_ms=300.0, sourced_tokens=900), ended("d", first_byte_ms=700.0), end("d", first_byte_ms=700.0)],
     ("late", "congested link to a store")),
    ([sent("e", sourced_tokens=900), ended("e", first_byte_ms=700.0), end("e", first_byte_ms=700.0)],
     ("late", "fetch or server slower than predicted")),
    ([sent("f"), ended("f", first_byte_ms=700.0), end("f", first_byte_ms=700.0)],
     ("late", "server slower than predicted")),
    ([sent("g"), ended("g", result="failed"), sent("g", 2), ended("g", 2, first_byte_ms=60.0), end("g", first_byte_ms=2060.0)],
     ("late", "sent again: failed")),
    ([sent("h"), ended("h", result="failed"), end("h", "failed", reason="backend_failed")], ("failed", "backend_failed")),
    ([sent("i"), ended("i", result="abandoned"), end("i", "broken_off")], ("broken_off", "abandoned")),
    ([end("j", first_byte_ms=700.0)], ("late", "no attempt logged")),  # Entries omit lines above their log rate limit.
]


def main():
    failed = 0
    for lines, wanted in CASES:
        requests, found = causes.count(lines)
        if requests != {"r": 1} or dict(found) != ({("r",) + wanted: 1} if wanted else {}):
            failed += 1
            print("wanted", wanted, "found", dict(found))
    text = "   1.5 e1 " + json.dumps(end("k", "refused", reason="overloaded")) + "\n{\"cut\nno brace\n"
    table = io.StringIO()
    causes.print_table(*causes.count(causes.read_lines(io.StringIO(text))), table)
    if "100.0%" not in table.getvalue() or "1 requests, 0 of them answered in time" not in table.getvalue():
        failed += 1
        print(table.getvalue())
    print("%d passed, %d failed" % (len(CASES) + 1 - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
