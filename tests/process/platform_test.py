"""Commands and prompts while the key-value service is down, loses answers or drops watches."""

from cases import check, check_whole, run_cases, start_long_stream, wait_for
from fleet import set_faults


def prompts_work(d, prompt):
    check_whole(start_long_stream(d, prompt).rest(), prompt)


def config_shows(d, entry, text):
    """Returns whether the entry's classes contain the text."""
    answer = d.command("show classes", at=entry, kind="query")
    return answer.status == 200 and text in answer.body


def service_down_for_a_while(d):
    set_faults(d.kv, down=True)
    prompts_work(d, "service down")
    refused = d.command("set class bulletin priority = 7")
    check(refused.status >= 400, f"a command without the service: {refused.status} {refused.body}")
    set_faults(d.kv, down=False)
    wait_for("a command works again", lambda: d.command("set class bulletin priority = 8").status == 200)
    for entry in d.entries:
        wait_for(f"{entry.name} has the change in force", lambda e=entry: config_shows(d, e, "8"))


def answer_lost(d):
    """A write takes effect but its answer is lost: the command reads it back and succeeds."""
    set_faults(d.kv, lose_answers=1)
    answer = d.command("set class bulletin priority = 6")
    check(answer.status == 200, f"the change is read back: {answer.status} {answer.body}")
    for entry in d.entries:
        wait_for(f"{entry.name} has the change in force", lambda e=entry: config_shows(d, e, "6"))


def watch_dropped_and_compacted(d):
    set_faults(d.kv, drop_watch=True)
    set_faults(d.kv, drop_watch=False, compact=True)
    wait_for("a command works", lambda: d.command("set class bulletin priority = 4").status == 200)
    for entry in d.entries:
        wait_for(f"{entry.name} has the change in force", lambda e=entry: config_shows(d, e, "4"))


def started_from_peers(d):
    """An entry that starts while the service is down takes the configuration from its peers."""
    entry = d.entries[1]
    d.fleet.kill(entry.name)
    set_faults(d.kv, down=True)
    d.start_instance(entry)
    d.wait_ready(entry)
    answer = wait_for("it answers", lambda: d.complete("from peers", at=entry).status == 200)
    check(answer, "a prompt through the new entry")
    set_faults(d.kv, down=False)


run_cases(service_down_for_a_while, answer_lost, watch_dropped_and_compacted, started_from_peers,
          services=0, agents=2)
