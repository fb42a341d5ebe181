"""A call that may not be repeated runs at most once, whichever process or connection fails."""

import http.client
import threading

from cases import check, restart, run_cases, wait_for
from deployment import problem_of
from fleet import request, set_faults, stats


def service(d):
    return next(a for a in d.agents if a.serves == "registry")


def runs(d, key):
    return stats(service(d).server)["runs_by_key"].get(key, 0)


def call(d, body, key=None, at=None):
    headers = d.headers(Idempotency_Key=key) if key else d.headers()
    return request((at or d.entries[0]).work, "POST", "/services/registry/burials?year=2026", body, headers)


def ticket(d):
    answer = request(d.entries[0].work, "POST", "/v1/tickets", {"service": "registry"}, d.headers())
    check(answer.status in (200, 201), f"ticket: {answer.status} {answer.body}")
    return answer.json()["ticket"]


def total_runs(d):
    return stats(service(d).server).get("runs", 0)


def same_ticket_on_two_entries(d):
    key, before = ticket(d), total_runs(d)
    answers = [call(d, "one", key, at) for at in d.entries]
    check([a.status for a in answers] == [200, 200], f"calls: {[(a.status, a.body) for a in answers]}")
    check(answers[0].body == answers[1].body, "both get the answer of the one run")
    check(total_runs(d) == before + 1, "one run")
    problem_of(call(d, "another body", key), "key_reused", "not_run")


def own_key_on_two_entries(d):
    before = total_runs(d)
    answers = [call(d, "two", "caller-chosen-key-1", at) for at in d.entries]
    check([a.status for a in answers] == [200, 200], f"calls: {[(a.status, a.body) for a in answers]}")
    check(total_runs(d) == before + 1, "one run")


def answer_lost(d):
    """The service runs the call and closes the connection without an answer."""
    key, before = ticket(d), total_runs(d)
    set_faults(service(d).server, lose_answers=1)
    problem_of(call(d, "three", key), outcome="may_have_run")
    again = call(d, "three", key, d.entries[1])
    check(again.status != 200, f"nothing to answer with: {again.status} {again.body}")
    problem_of(again, outcome="may_have_run")
    check(total_runs(d) == before + 1, "one run")


def agent_killed_mid_call(d):
    key, before = ticket(d), total_runs(d)
    agent = service(d)
    set_faults(agent.server, work_ms=1500)

    results = []

    def caller():
        try:
            results.append(call(d, "four", key))
        except http.client.HTTPException as error:
            results.append(error)
    thread = threading.Thread(target=caller)
    thread.start()
    wait_for("the call runs", lambda: total_runs(d) == before + 1)
    d.fleet.kill(agent.name)
    thread.join()
    problem_of(results[0], outcome="may_have_run")
    set_faults(agent.server, work_ms=0)
    restart(d, agent)
    fresh = wait_for("the service is back", lambda: call(d, "five").status == 200)
    check(fresh, "a new call runs")
    for at in d.entries:
        answer = call(d, "four", key, at)
        check(answer.status != 200, f"a ticket of the dead agent: {answer.status} {answer.body}")
        problem_of(answer, outcome="may_have_run")
    bodies = stats(agent.server)["runs_by_key"]
    check(sum(n for k, n in bodies.items() if k in (key, "four")) <= 1, f"runs: {bodies}")


def without_key(d):
    """A call without a key is attempted only once."""
    before = total_runs(d)
    set_faults(service(d).server, lose_answers=1)
    problem_of(call(d, "six"), outcome="may_have_run")
    check(total_runs(d) == before + 1, "one run")


run_cases(same_ticket_on_two_entries, own_key_on_two_entries, answer_lost, without_key, agent_killed_mid_call,
          agents=1, services=1)
