"""Engines that answer for another request, twice, in part or not at all."""

from cases import (LONG_TOKENS, agent_running, answer_of, check, check_whole, in_parallel, run_cases, start_long_stream,
                   text_of, wait_engines_idle)
from deployment import is_whole
from fleet import set_faults

DEADLINE_MS = 5000


def set_all(d, **switches):
    for port in d.engines():
        set_faults(port, **switches)


def crossed_answers(d):
    """A caller gets its own answer or an error, never another's."""
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
    """One engine breaks off; the answer is finished elsewhere."""
    stream = start_long_stream(d, "broken off")
    set_faults(agent_running(d).server, fail_after_chunks=20)
    check_whole(stream.rest(), "broken off")
    set_all(d, fail_after_chunks=0)


def every_engine_fails(d):
    """Nobody can finish it: the end is honest."""
    set_all(d, fail_after_chunks=5)
    events = d.stream("hopeless", max_tokens=LONG_TOKENS, headers=d.headers(X_Daisytack_Deadline_Ms=DEADLINE_MS)).rest()
    check(not is_whole(events), "a broken answer must not look whole")
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
