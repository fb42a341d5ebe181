"""The stand-ins follow docs/PROTOCOL.md."""

import base64
import hashlib
import http.client
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, Stream, check, request, set_faults, stats, wait_for  # noqa: E402


def b64(text):
    return base64.b64encode(text.encode()).decode()


def call(port, path, body):
    return request(port, "POST", path, body).json()


def put(port, key, value, **more):
    return call(port, "/v3/kv/put", {"key": b64(key), "value": b64(value), **more})


def get(port, key):
    return call(port, "/v3/kv/range", {"key": b64(key)}).get("kvs", [])


def swap(port, key, value, revision):
    return call(port, "/v3/kv/txn", {
        "compare": [{"key": b64(key), "target": "MOD", "mod_revision": str(revision)}],
        "success": [{"requestPut": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"requestRange": {"key": b64(key)}}]})


def check_kv(fleet):
    port = fleet.start_standin("kv", "kv")
    first = put(port, "a/1", "x")["header"]["revision"]
    check(swap(port, "a/1", "y", first).get("succeeded"), "swap at the right revision")
    lost = swap(port, "a/1", "z", first)
    check(not lost.get("succeeded"), "swap at an old revision")
    kept = lost["responses"][0]["response_range"]["kvs"][0]
    check(base64.b64decode(kept["value"]) == b"y" and kept["version"] == "2", "failure branch shows the value")
    check(not swap(port, "new", "1", 5).get("succeeded"), "an absent key has revision 0")
    check(swap(port, "new", "1", 0).get("succeeded"), "create when absent")

    set_faults(port, lose_answers=1)
    try:
        put(port, "a/2", "applied")
        check(False, "the answer should be lost")
    except http.client.HTTPException:
        pass
    check(get(port, "a/2"), "a write whose answer was lost is applied")

    watch = {"create_request": {"key": b64("a/"), "range_end": b64("a0"), "start_revision": first}}
    stream = Stream(port, "/v3/watch", watch)
    check(json.loads(stream.response.readline())["result"]["created"], "watch created")
    events = json.loads(stream.response.readline())["result"]["events"]
    check([base64.b64decode(e["kv"]["value"]) for e in events] == [b"x", b"y", b"applied"], "watch from a revision")
    call(port, "/v3/kv/deleterange", {"key": b64("a/1")})
    event = json.loads(stream.response.readline())["result"]["events"][0]
    check(event["type"] == "DELETE", "deletion is watched")
    set_faults(port, drop_watch=True)
    check(stream.next() is None, "dropped watch ends")
    set_faults(port, drop_watch=False, compact=True)
    stream = Stream(port, "/v3/watch", watch)
    stream.response.readline()
    cancelled = json.loads(stream.response.readline())["result"]
    check(cancelled["canceled"] and int(cancelled["compact_revision"]) > 0, "compacted watch is cancelled")

    lease = call(port, "/v3/lease/grant", {"TTL": "1"})["ID"]
    put(port, "leased", "x", lease=lease)
    wait_for("the lease expires", lambda: not get(port, "leased"))
    gone = call(port, "/v3/lease/keepalive", {"ID": lease})["result"]
    check("TTL" not in gone, "an expired lease can't be kept alive")
    check(stats(port)["calls /v3/watch"] == 2, "calls are counted")


def complete(port, prompt, **more):
    return call(port, "/v1/completions", {"prompt": prompt, **more})


def expected(prompt, first, last):
    word = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f"{word}.{n} " for n in range(first, last))


def check_engine(fleet):
    port = fleet.start_standin("engine", "engine", "--cache_pieces=3", "--event_lag_ms=0", "--status_lag_ms=1",
                               "--check_fencing", "--load_ms=1")
    text = lambda answer: answer["choices"][0]["text"]
    check(text(complete(port, "p", max_tokens=4)) == expected("p", 0, 4), "the answer is the prompt's")
    resumed = complete(port, "p", max_tokens=4, resume_text=expected("p", 0, 2))
    check(text(resumed) == expected("p", 2, 4), "an answer continues")

    prompt = "q" * 4 * 1024 * 2
    pieces = ["aa", "bb"]
    cached = lambda: complete(port, prompt, pieces=pieces, max_tokens=1)["usage"]["cached_tokens"]
    check(cached() == 0 and cached() == 2048, "the second time the prefix is cached")
    complete(port, prompt, pieces=["cc", "dd"], max_tokens=1)
    check(cached() == 1024, "the least recently used piece was evicted, the prefix's end first")
    exported = request(port, "GET", "/control/pieces/aa")
    check(exported.status == 200, "export")
    set_faults(port, clear_cache=True)
    check(request(port, "GET", "/control/pieces/aa").status == 404, "cleared")
    request(port, "PUT", "/control/pieces/aa", "wrong bytes")
    check("corrupt" in text(complete(port, prompt, pieces=pieces, max_tokens=1)), "a wrong import shows")
    kinds = {e["kind"] for e in request(port, "GET", "/control/cache_events?from=0").json()["events"]}
    check(kinds == {"stored", "evicted", "cleared"}, f"cache events: {kinds}")

    set_faults(port, fail_after_chunks=2)
    broken = Stream(port, "/v1/completions", {"prompt": "p", "max_tokens": 9, "stream": True})
    check(len(broken.rest()) == 2, "the stream breaks after two chunks")
    set_faults(port, fail_after_chunks=0)

    order = lambda fence: request(port, "POST", "/control/orders",
                                  {"kind": "load_weights", "version": "v2", "fence": fence})
    check(order(7).status == 202, "order")
    check(order(6).status == 409 and order(6).json()["fence"] == 7, "an old fencing number is refused")
    status = lambda: request(port, "GET", "/control/status").json()
    wait_for("the new version is loaded", lambda: status()["version"] == "v2")

    running = Stream(port, "/v1/completions", {"prompt": "p", "max_tokens": 100000, "stream": True, "request_id": "r"})
    running.next()
    check(call(port, "/control/suspend", {"request_id": "r"})["runs"] == 1, "suspend")
    check(call(port, "/control/resume", {"request_id": "r"})["runs"] == 1, "resume")
    check(call(port, "/control/cancel", {"request_id": "r"})["runs"] == 1, "cancel")
    check(all(e.get("data") != "[DONE]" for e in running.rest()), "a cancelled stream isn't whole")


def check_store(fleet):
    port = fleet.start_standin("store", "store", "--memory_bytes=8", "--disk_bytes=8")

    def keep(key, content):
        number = request(port, "POST", f"/pieces/{key}").json()["generation"]
        filled = request(port, "PUT", f"/pieces/{key}/{number}", content)
        if filled.status != 204:
            request(port, "DELETE", f"/pieces/{key}/{number}")
            return filled.status
        checksum = hashlib.sha256(content.encode()).hexdigest()
        return request(port, "POST", f"/pieces/{key}/{number}/commit",
                       {"length": len(content), "checksum": checksum, "meta": "m"}).status

    number = request(port, "POST", "/pieces/a").json()["generation"]
    request(port, "PUT", f"/pieces/a/{number}", "hidden")
    check(request(port, "GET", "/pieces/a").status == 404, "uncommitted bytes don't show")
    request(port, "DELETE", f"/pieces/a/{number}")
    check(keep("a", "12345678") == 200 and keep("b", "12345678") == 200, "two pieces fit")
    check(keep("c", "1") == 507, "the third finds no room")
    request(port, "DELETE", f"/pieces/b/{request(port, 'GET', '/pieces/b/generation').json()['generation']}")
    number = request(port, "POST", "/pieces/b").json()["generation"]
    upload = lambda content: request(port, "PUT", f"/pieces/b/{number}", content).status
    check([upload("12345678"), upload("12345678")] == [204, 204], "a repeated upload takes the room of the first")
    check(upload("123456789") == 507, "a repeated upload finds no more room than the first")
    checksum = hashlib.sha256(b"12345678").hexdigest()
    check(request(port, "POST", f"/pieces/b/{number}/commit",
                  {"length": 8, "checksum": checksum, "meta": "m"}).status == 200, "the refused bytes replace nothing")
    status = request(port, "GET", "/status").json()
    check(status["memory_used"] + status["disk_used"] == 16, f"used: {status}")
    tiers = {p["key"]: p["tier"] for p in call(port, "/lookup", {"keys": ["a", "b", "c"]})["found"]}
    check(tiers == {"a": "disk", "b": "memory"}, f"tiers: {tiers}")
    set_faults(port, torn=True)
    torn = request(port, "GET", "/pieces/a")
    check(len(torn.body) < int(torn.headers["X-Length"]), "torn bytes are short")
    check(call(port, "/lookup", {"keys": ["a"]})["found"][0]["generation"] ==
          request(port, "GET", "/pieces/a/generation").json()["generation"], "generation")
    set_faults(port, torn=False, free_while_reading=True)
    request(port, "GET", "/pieces/a")
    check(request(port, "GET", "/pieces/a/generation").json()["generation"] == 0, "freed while read")
    check(request(port, "GET", "/usage?meta_prefix=m").json() == {"bytes": 8, "pieces": 1}, "usage")


def check_others(fleet):
    port = fleet.start_standin("list", "list")
    call(port, "/standin/instances", [{"name": "a"}, {"name": "b"}])
    check(request(port, "GET", "/instances").json()["version"] == 2, "list version")
    set_faults(port, lag_ms=600000)
    call(port, "/standin/instances", [{"name": "a", "state": "gone"}])
    check(request(port, "GET", "/instances?since=2").json()["instances"] == [], "a change lags")
    set_faults(port, lag_ms=0)
    check(request(port, "GET", "/instances?since=2").json()["instances"][0]["state"] == "gone", "then it shows")

    port = fleet.start_standin("weights", "weights", "--weights_bytes=1000")
    check(len(request(port, "GET", "/weights/m/v2").body) == 1000, "weights")
    check(request(port, "GET", "/weights/m/v9").status == 404, "unknown version")

    port = fleet.start_standin("service", "service")
    for _ in range(2):
        request(port, "POST", "/x", "b", {"Idempotency-Key": "k"})
    check(stats(port)["runs_by_key"] == {"k": 2}, "runs are counted by key")
    set_faults(port, down=True)
    try:
        request(port, "GET", "/x")
        check(False, "a service that is down doesn't answer")
    except http.client.HTTPException:
        pass


with Fleet() as all_standins:
    for case in (check_kv, check_engine, check_store, check_others):
        case(all_standins)
        print(case.__name__, "ok")
