"""Kills, pauses and terminates processes while streams run."""

import signal

from cases import (LONG_TOKENS, agent_running, check, check_whole, in_parallel, restart, run_cases, start_long_stream,
                   wait_engines_idle, wait_for)
from deployment import problem_of


def agent_killed_mid_stream(d):
    stream = start_long_stream(d, "killed agent")
    agent = agent_running(d)
    d.fleet.kill(agent.name)
    check_whole(stream.rest(), "killed agent")
    restart(d, agent)
    wait_engines_idle(d)


def agent_paused_mid_stream(d):
    stream = start_long_stream(d, "paused agent")
    agent = agent_running(d)
    d.fleet.signal(agent.name, signal.SIGSTOP)
    try:
        check_whole(stream.rest(), "paused agent")
    finally:
        d.fleet.signal(agent.name, signal.SIGCONT)
    wait_engines_idle(d)
    check_whole(start_long_stream(d, "after the pause").rest(), "after the pause")
    wait_engines_idle(d)


def entry_killed_mid_stream(d):
    first, second = d.entries
    stream = start_long_stream(d, "killed entry", events=10, at=first)
    seen = list(stream.events)
    d.fleet.kill(first.name)
    last = seen[-1]["id"]
    other_organisation = d.stream("killed entry", at=second, headers=d.headers("balta", Last_Event_ID=last),
                                  max_tokens=LONG_TOKENS)
    check(other_organisation.status in (401, 403, 404, 410),
          f"another organisation's stream: {other_organisation.status}")
    rest = d.stream("killed entry", at=second, headers=d.headers(Last_Event_ID=last), max_tokens=LONG_TOKENS)
    check(rest.status == 200, f"resume: {rest.status}")
    check_whole(seen + rest.rest(), "killed entry")
    restart(d, first)
    wait_engines_idle(d)


def forged_resume_id(d):
    stream = start_long_stream(d, "forged")
    name = stream.events[-1]["id"]
    forged = name[:-1] + ("0" if name[-1] != "0" else "1")
    answer = d.complete("forged", headers=d.headers(Last_Event_ID=forged), max_tokens=LONG_TOKENS)
    check(answer.status >= 400, f"forged id: {answer.status}")
    problem_of(answer)
    check_whole(stream.rest(), "forged")
    wait_engines_idle(d)


def caller_disconnect_cancels(d):
    finished = d.engine_stats("finished")
    stream = d.stream("gone caller", max_tokens=1500)
    check(stream.status == 200, f"stream: {stream.status}")
    stream.next()
    agent_running(d)
    stream.response.close()
    stream.close()
    wait_engines_idle(d)
    check(d.engine_stats("finished") == finished, "the run was cancelled, not finished")


def concurrent_streams(d, prompts, entry):
    """Returns functions that each stream a different prompt through one entry."""
    def one(prompt):
        stream = d.stream(prompt, at=entry, max_tokens=LONG_TOKENS // 3)
        if stream.status != 200:
            return prompt, stream.status, stream.response.read().decode()
        return prompt, 200, stream.rest()
    return [lambda p=p: one(p) for p in prompts]


def check_streams(results):
    """Checks that each answer is whole or refused as not run; returns the number of whole ones."""
    for prompt, status, got in results:
        if status == 200:
            check_whole(got, prompt, LONG_TOKENS // 3)
        else:
            check('"not_run"' in got, f"refused, but not as not run: {status} {got}")
    return sum(status == 200 for _, status, _ in results)


def terminate_during_streams(d, instance, entry):
    """Sends SIGTERM while streams run: none is cut off and the exit code is 0."""
    codes = []

    def terminate():
        wait_for("streams run", lambda: d.engine_stats("running") >= 8)
        codes.append(d.fleet.terminate(instance.name))
    *results, _ = in_parallel(concurrent_streams(d, [f"flow {instance.name} {n}" for n in range(16)], entry) +
                              [terminate])
    whole = check_streams(results)
    check(whole >= 8, f"only {whole} streams were taken")
    check(codes == [0], f"exit code {codes}")
    restart(d, instance)
    wait_engines_idle(d)


def entry_terminated_during_streams(d):
    terminate_during_streams(d, d.entries[0], d.entries[0])


def agent_terminated_during_streams(d):
    terminate_during_streams(d, d.agents[0], d.entries[1])


run_cases(agent_killed_mid_stream, entry_killed_mid_stream, forged_resume_id, caller_disconnect_cancels,
          entry_terminated_during_streams, agent_terminated_during_streams, agent_paused_mid_stream, services=0)
