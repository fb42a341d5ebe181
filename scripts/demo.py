"""The demonstration of scripts/demo: two entries, three agents with engines, a plain service and two stores."""

import signal
import sys
import time

from deployment import Deployment, answer_of, is_whole, problem_of, prompt_of, text_of
from fleet import Failure, Fleet, Stream, check, request, set_faults, stats, wait_for

TOKENS = 8
PIECES = 8
EVENT_LAG_SECONDS = 2
SHORT_DEADLINE_MS = 150


def show(title, answer, text):
    """Prints one line for an answer; returns the share of its prompt that was recomputed."""
    first = int(answer.headers["X-Daisytack-First-Token-Us"]) / 1000
    prompt = int(answer.headers["X-Daisytack-Prompt-Tokens"])
    recomputed = int(answer.headers["X-Daisytack-Recomputed-Tokens"])
    print(f"{title:<42} first token {first:8.1f} ms, recomputed {recomputed:5d} of {prompt:5d} tokens: {text[:30]}...")
    return recomputed / prompt


def send(deployment, title, prompt, at=None):
    """Sends a prompt and checks the whole answer; returns the share of the prompt that was recomputed."""
    answer = deployment.complete(prompt, at=at, max_tokens=TOKENS)
    check(answer.status == 200, f"{title}: {answer.status} {answer.body}")
    text = answer.json()["choices"][0]["text"]
    check(text == answer_of(prompt, TOKENS), f"{title}: another answer: {text}")
    return show(title, answer, text)


def show_returning_prompt(deployment):
    """Sends a prompt again: once while the engine's cache holds its context, once after the cache was cleared."""
    prompt = prompt_of("notice desk", PIECES)
    check(send(deployment, "prompt, the first time", prompt) == 1, "all of a new prompt is recomputed")
    wait_for("the context is kept in a store", lambda: sum(stats(s).get("commits", 0) for s in deployment.stores) >= PIECES)
    recomputed = send(deployment, "again, through the other entry", prompt, at=deployment.entries[1])
    check(recomputed < 0.2, "an engine's cache or a store is used")
    for engine in deployment.engines():
        set_faults(engine, clear_cache=True)
    # Events of the engine's cache arrive late; until then the evicted context still counts as cached.
    time.sleep(EVENT_LAG_SECONDS)
    evicted = send(deployment, "again, evicted from the engine", prompt)
    check(evicted < 0.2, "the context comes from the store")


def show_stream(deployment):
    """Streams a chat answer and checks its events."""
    body = {"model": "m", "messages": [{"role": "user", "content": "bulletin, please"}], "max_tokens": TOKENS,
            "stream": True}
    stream = Stream(deployment.entries[0].work, "/v1/chat/completions", body, deployment.headers())
    events = stream.rest()
    want = answer_of("user\nbulletin, please\n", TOKENS)
    check(is_whole(events) and text_of(events) == want, f"stream: {events}")
    print(f"{'streamed chat':<42} {len(events)} events: {text_of(events)[:30]}...")


def show_refusal(deployment):
    """Sends a request whose deadline can't be met and checks the refusal."""
    answer = deployment.complete(prompt_of("too late", 2 * PIECES),
                                 headers=deployment.headers(X_Daisytack_Deadline_Ms=SHORT_DEADLINE_MS))
    problem = problem_of(answer, "deadline_too_short", "not_run")
    print(f"{'refused by its deadline':<42} {answer.status} {problem['kind']}, {problem['outcome']}: {problem['remedy']}")


def show_service(deployment):
    """Sends a call to a plain service twice with the same ticket and checks that it ran once."""
    entry = deployment.entries[0]
    ticket = request(entry.work, "POST", "/v1/tickets", {"service": "registry"}, deployment.headers())
    check(ticket.status in (200, 201), f"ticket: {ticket.status} {ticket.body}")
    headers = deployment.headers(Idempotency_Key=ticket.json()["ticket"])
    answers = [request(at.work, "POST", "/services/registry/burials", {"name": "Ndiaye"}, headers)
               for at in deployment.entries]
    check(all(a.status == 200 for a in answers), f"calls: {[(a.status, a.body) for a in answers]}")
    service = next(a for a in deployment.agents if a.serves == "registry")
    runs = stats(service.server)["runs"]
    check(runs == 1, f"the call ran {runs} times")
    print(f"{'plain service, the same ticket twice':<42} answered twice, run once")


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with Fleet() as fleet:
        deployment = Deployment(fleet, engine_flags=("--prefill_rate=20000", "--decode_rate=500")).start()
        print(f"started {len(fleet.processes)} processes on ports from {fleet.base}")
        show_returning_prompt(deployment)
        show_stream(deployment)
        show_refusal(deployment)
        show_service(deployment)
        codes = {i.name: fleet.terminate(i.name) for i in deployment.entries + deployment.agents}
        check(not any(codes.values()), f"exit codes: {codes}")
        print("all ended with exit code 0")


try:
    main()
except Failure as failure:
    print(f"demo: {failure}")
    sys.exit(1)
