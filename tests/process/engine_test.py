"""Engines that send answers of other requests, duplicate chunks, partial answers or no answer."""

from cases import (LONG_TOKENS, agent_running, answer_of, check, check_whole, in_parallel, run_cases, start_long_stream,
                   text_of, wait_engines_idle)
from deployment import is_whole
from fleet import set_faults

DEADLINE_MS = 5000


def set_all(d, **switches):
    for port in d.engines():
        set_faults(port, **switches)


def crossed_answers(d):
    """A caller gets its own answer or an error, never the answer of another request."""
    set_all(d, cross_answers=1)
    prompts = [f"crossed {n}" for n in range(12)]
    headers = d.headers(X_Daisytack_Deadline_Ms=DEADLINE_MS)
    answers = in_parallel([lambda p=p: d.complete(p, max_tokens=8, headers=headers) for p in prompts])
    for prompt, answer in zip(prompts, answers):
        if answer.status == 200:
            check(answer.json()["choices"][0]["text"] == answer_of(prompt, 8), f"another's answer: {answer.body}")
        else:
            check("crossed" not in answer.body, f"another's text in a refusal: {answer.body}")
    streams = in_parallel([lambda p=p: (p, d.stream(p, max_tokens=8, headers=headers).rest()) for p in prompts])
    for prompt, events in streams:
        check(answer_of(prompt, 8).startswith(text_of(events)), f"another's text in a stream: {events}")
    set_all(d, cross_answers=0)
    wait_engines_idle(d)


def duplicate_chunks(d):
    set_all(d, duplicate_chunks=True)
    check_whole(start_long_stream(d, "doubled").rest(), "doubled")
    answer = d.complete("doubled", max_tokens=8).json()
    check(answer["choices"][0]["text"] == answer_of("doubled", 8), f"doubled: {answer}")
    set_all(d, duplicate_chunks=False)


def engine_fails_mid_stream(d):
    """One engine fails during a stream; another one completes the answer."""
    stream = start_long_stream(d, "broken off")
    set_faults(agent_running(d).server, fail_after_chunks=20)
    check_whole(stream.rest(), "broken off")
    set_all(d, fail_after_chunks=0)


def every_engine_fails(d):
    """No engine can complete the stream: its end shows that it is incomplete."""
    set_all(d, fail_after_chunks=5)
    events = d.stream("hopeless", max_tokens=LONG_TOKENS, headers=d.headers(X_Daisytack_Deadline_Ms=DEADLINE_MS)).rest()
    check(not is_whole(events), "an incomplete answer must not look complete")
    check(answer_of("hopeless", LONG_TOKENS).startswith(text_of(events)), f"text: {text_of(events)}")
    set_all(d, fail_after_chunks=0)
    wait_engines_idle(d)


def engine_killed(d):
    stream = start_long_stream(d, "killed engine")
    agent = agent_running(d)
    name = f"engine-{agent.number}"
    d.fleet.kill(name)
    check_whole(stream.rest(), "killed engine")
    check_whole(start_long_stream(d, "after the kill").rest(), "after the kill")


run_cases(crossed_answers, duplicate_chunks, engine_fails_mid_stream, every_engine_fails, engine_killed, services=0,
          entries=1)
