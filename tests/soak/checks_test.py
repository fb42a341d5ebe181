"""Each check of the soak reports its own seeded defects and no others."""

import asyncio
import dataclasses
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import types

import checks
import endless_input
import large_bodies
import sanitizers
from callers import KINDS as REQUEST_KINDS, PROMPT_KINDS, SentRequest
from endless_callers import EndlessConnection
from entry import Entry, Stop
from http11 import Message
from kept_context import Fetch
from large_bodies import LargeRequest
from platform_side import BackendServer, Run
from soak import World

ID = "00112233"


class FakeWorld:
    """A world with one request that was answered correctly, and no faults."""

    def __init__(self, kind="call"):
        self.server = BackendServer("engines0" if kind in PROMPT_KINDS else "plain0", "service")
        self.all_servers = [self.server]
        self.organisation_of = {"k1": "one"}
        self.revoked, self.leaving, self.removed, self.stops = {}, {}, {}, []
        self.fetch = Fetch(ID, ("shared@1", "aa11"), 100.0, 100.5, discarded=False, was_whole=True)
        self.store = types.SimpleNamespace(name="kept0", fetches=[self.fetch], freed=[])
        self.stores = [self.store]
        self.fatal_ends = []
        self.fatal_part_ends = []
        self.evacuated = {}
        self.memory_passed, self.wrong_ends, self.fault_reports = [], [], []
        self.endless_connections = []
        self.large_sent, self.large_servers = [], [types.SimpleNamespace(read_whole=set())]
        path = checks.KINDS[kind][1] + ID
        self.request = Message([checks.KINDS[kind][0], path, "HTTP/1.1"],
                               {"x-daisytack-request-id": ID, "x-daisytack-tenant": "one"}, b"b")
        self.sent = [SentRequest(ID, kind, "k1", "entry-0", 100.0, path, b"b", ended=100.1)]
        run = self.run()
        answer = run.body if kind in ("call", "safe") else checks.stream_text(ID, kind)
        self.sent[0] = dataclasses.replace(self.sent[0], status=200, signature=run.signature, answer=answer)

    def run(self):
        run = Run.__new__(Run)
        run.server, run.at, run.request = self.server.id, 100.0, self.request
        run.ended = run.at + 0.1
        run.signature, run.body = f"s{len(self.server.runs)}", b"whole"
        self.server.runs.append(run)
        return run

    def had_no_faults(self, *_, **__):
        return True

    @staticmethod
    def domain_of(_server):
        return "d0"

    def had_sound_links(self, *_):
        return True

    def reaches_servers(self, *_):
        return True

    def ran_without_pause(self, *_):
        return True

    def ran_without_restart(self, *_):
        return True

    def planned_stop(self, _entry, _at):
        return self.stops[0].begin if self.stops else None

    def stop_during(self, _entry, begin, end):
        return next((it for it in self.stops if it.begin <= end and begin <= it.end), None)

    grace_seconds = 8.0
    varies_stops = False
    answer_seconds = dict.fromkeys(REQUEST_KINDS, 0.02)
    outlasts_stop = World.outlasts_stop

    @property
    def entries(self):
        return [types.SimpleNamespace(name="entry-0", grace_seconds=self.grace_seconds)]

    def entry_of(self, _request_id):
        return "entry-0"

    def ran_undisturbed(self, *_):
        return True

    def change(self, **values):
        self.sent[0] = dataclasses.replace(self.sent[0], **values)


def endless_answer_received(world):
    world.server.endless_times = [(100.0, 130.0, ID)]


def second_run(world):
    world.run()


def second_run_of_a_draft(world):
    """A stream that can't be resumed runs again after its first run has ended."""
    world.run().at = world.sent[0].ended + 1


def gone_on_beside_the_first_run(world):
    """The entry gives up a server that is silent, and the server works on."""
    world.server.runs[0].ended = 102.5
    world.run().at = 102.0


def gone_on_at_another_entry_beside_the_first_run(world):
    """The caller's stream breaks off, and the caller resumes it while the first server works on."""
    resume(world, answer=world.sent[0].answer.split(b"\n\n", 1)[1])
    world.change(answer=world.sent[0].answer.split(b"\n\n", 1)[0] + b"\n\n", failure="gone")
    world.server.runs[0].ended = 0.0
    world.server.runs[1].at = 102.0


def gone_on_after_the_first_run(world):
    """The first server stops shortly after another one has begun, as its connection was closed."""
    world.server.runs[0].ended = 102.3
    world.run().at = 102.0


def gone_on_while_the_first_server_was_suspended(world):
    """The first server can't stop, and does no work, until it is resumed."""
    world.server.runs[0].ended = 104.1
    world.server.connections.suspensions.append((100.05, 104.0))
    world.run().at = 102.0


def gone_on_after_the_first_server_was_resumed(world):
    world.server.runs[0].ended = 104.6
    world.server.connections.suspensions.append((100.05, 104.0))
    world.run().at = 102.0


def refused_though_it_ran(world):
    world.change(status=503, signature="", retry_after="1")


def refused_without_a_time(world):
    world.server.runs.clear()
    world.change(status=503, signature="")


def refused_with_a_time_of_zero(world):
    world.server.runs.clear()
    world.change(status=503, signature="", retry_after="0.000")


def limited_without_a_number(world):
    world.server.runs.clear()
    world.change(status=429, signature="", retry_after="soon")


def run_after_a_servers_refusal(world):
    """An entry passes on the 503 of a server and sends the request to another one nevertheless."""
    world.change(status=503, retry_after="1")
    world.run().at = world.sent[0].ended + 0.1


def cut_answer(world):
    world.change(answer=world.sent[0].answer[:-2])


def other_answer(world):
    world.change(wrong_id=True)


def forged_signature(world):
    world.change(signature="forged")


def missing_event(world):
    world.change(answer=world.sent[0].answer.replace(b"id: 2\n", b"id: 4\n"), failure="gone")


def stream_of_two_versions(world):
    world.change(answer=world.sent[0].answer.replace(b"/1\n", b"/1/v1\n").replace(b"/2\n", b"/2/v2\n"))


def resumed_at_another_version(world):
    """The caller resumes its stream, and the rest comes from a server of another version."""
    text = world.sent[0].answer
    first, rest = text.split(b"\n\n", 1)
    world.change(answer=first + b"/v1\n\n", failure="gone")
    resume(world, answer=rest.replace(b"/2\n", b"/2/v2\n"))


def resume(world, **values):
    """Adds a request that resumes the stream after its first event."""
    request = Message(world.request.first, {**world.request.headers, "x-daisytack-request-id": "ffff", "resumes": ID}, b"b")
    world.request = request
    run = world.run()
    values = {"answer": checks.stream_text(ID, "ask", 1), "status": 200, "signature": run.signature, **values}
    world.sent.append(dataclasses.replace(world.sent[0], id="ffff", failure="", resumes=ID, last_event=1,
                                          software="v1", servers_left=2, **values))


def resumptions_refused(world):
    for n in range(checks.MIN_RESUMPTIONS):
        world.sent.append(dataclasses.replace(world.sent[0], id=f"f{n}", resumes=ID, last_event=1, servers_left=2,
                                              status=503, signature="", answer=b"", retry_after="1"))


def resumptions_refused_without_servers(world):
    resumptions_refused(world)
    world.sent = [dataclasses.replace(it, servers_left=min(it.servers_left, 1)) for it in world.sent]


def resumed_at_the_same_version(world):
    resumed_at_another_version(world)
    world.sent[1] = dataclasses.replace(world.sent[1], answer=world.sent[1].answer.replace(b"/v2", b"/v1"))


def changed_body(world):
    world.request.body = b"other"


def forwarded_key(world):
    world.request.headers["x-api-key"] = "k1"


def wrong_organisation(world):
    world.request.headers["x-daisytack-tenant"] = "two"


def run_without_request(world):
    world.sent.clear()


def never_answered(world):
    world.server.runs.clear()
    world.change(status=0, signature="", failure="no final answer", ended=110.0)


def revoked_key(world):
    world.revoked["k1"] = 90.0


def sent_to_draining_server(world):
    world.leaving[world.server.id] = 90.0
    world.server.arrivals.append((100.0, ID))


def sent_to_removed_server(world):
    world.removed[world.server.id] = 90.0
    world.server.arrivals.append((100.0, ID))


def sent_after_leaving_answer(world):
    world.server.leaving_answers.append((90.0, ID))
    world.server.arrivals += [(91.0, ID), (93.0, ID)]


def sent_while_rejecting(world):
    world.server.rejections.append((90.0, ID))
    world.server.arrivals += [(90.6, ID), (90.7, ID), (90.8, ID), (92.1, ID)]


def sent_shortly_after_rejection(world):
    sent_while_rejecting(world)
    world.server.arrivals = [(90.3, ID), (90.4, ID), (90.6, ID), (90.7, ID), (92.1, ID)]


def sent_while_evacuated(world):
    world.evacuated["d0"] = [(80.0, 85.0), (90.0, 96.0)]
    world.server.arrivals += [(87.0, ID), (92.0, ID), (95.0, ID)]


def sent_around_evacuations(world):
    world.evacuated["d0"] = [(80.0, 85.0), (90.0, None)]
    world.evacuated["d1"] = [(80.0, None)]
    world.server.arrivals += [(82.0, ID), (87.0, ID), (92.0, ID)]


def overloaded_while_cold(world):
    world.server.cold_times.append((90.0, 92.0, True))
    world.server.arrivals += [(90.5 + n * 0.09, ID) for n in range(10)]


def overloaded_after_cold_record(world):
    world.server.cold_times.append((90.0, 93.0, False))
    world.server.arrivals += [(91.6 + n * 0.05, ID) for n in range(10)]


def sent_within_cold_limit(world):
    world.server.cold_times += [(90.0, 92.0, True), (95.0, 98.0, False)]
    world.server.arrivals += [(90.5 + n * 0.12, ID) for n in range(12)]
    world.server.arrivals += [(95.1 + n * 0.05, ID) for n in range(20)]  # Entries don't have the record yet.
    world.server.arrivals += [(98.1 + n * 0.01, ID) for n in range(20)]  # Warm.


def sent_beyond_limit(world):
    world.server.limit_times.append((90.0, 98.0, 1.0))
    world.server.limit_answers.append((90.1, ID))
    world.server.arrivals += [(91.0 + n * 0.25, ID) for n in range(20)]


def sent_within_limit(world):
    world.server.limit_times.append((90.0, 98.0, 1.0))
    world.server.limit_answers.append((90.1, ID))
    world.server.arrivals += [(90.2 + n * 0.01, ID) for n in range(30)]  # The limit doesn't bind the entry yet.
    world.server.arrivals += [(91.0 + n, ID) for n in range(7)]
    world.server.arrivals += [(98.1 + n * 0.01, ID) for n in range(30)]  # The server no longer names a limit.


def accepted_revoked_key(world):
    refused = dataclasses.replace(world.sent[0], id="ffff", status=401, signature="", at=90.0, ended=90.1)
    world.sent.append(refused)


def fatal_sent_too_often(world):
    world.fatal_ends += [80.0, 80.1, 80.2]
    world.change(body=checks.FATAL_BODY)
    world.request.body = checks.FATAL_BODY
    world.server.arrivals += [(84.0 + n, ID) for n in range(4)]


def fatal_sent_within_limit(world):
    fatal_sent_too_often(world)
    world.server.arrivals = [(82.0, ID), (84.0, ID), (85.0, ID), (86.0, ID)]


def fatal_part_sent_too_often(world):
    world.fatal_part_ends += [80.0, 80.1, 80.2, 80.3, 80.4]
    world.change(parts="aa11:500,dead:600,{own}:200")
    world.server.arrivals += [(84.0 + n, ID) for n in range(4)]


def fatal_part_sent_within_limit(world):
    fatal_part_sent_too_often(world)
    world.server.arrivals = [(82.0, ID), (84.0, ID), (85.0, ID), (86.0, ID)]


def harmless_quarantined(world):
    world.server.runs.clear()
    world.change(status=503, signature="", retry_after="600", answer=b'{"kind":"request_quarantined"}')


def cut_by_a_planned_stop(world):
    world.stops.append(Stop(100.05))
    world.change(status=0, signature="", failure="gone")


def two_holders(world):
    world.server.tokens += [(1, 7, "entry-0"), (2, 7, "entry-1")]


def passed_on_late_and_cut(world):
    """A request on a connection that was open at the stop, cut off by the kill at the end of the grace period."""
    world.stops.append(Stop(95.0, 103.0))
    world.change(fully_sent_at=100.0, timeout=4.8, ended=103.0, failure="gone", answer=world.sent[0].answer[:-2])


def read_late_and_dropped(world):
    world.server.runs.clear()
    world.stops.append(Stop(95.0, 101.0))
    world.change(fully_sent_at=100.0, ended=101.0, status=0, signature="", failure="gone")


def refused_late_without_a_time(world):
    read_late_and_dropped(world)
    world.change(status=503, failure="Broken the entry closes")


def freed_under_a_fetch(world):
    world.store.freed.append((100.3, world.fetch.key))


def fetched_while_written(world):
    world.fetch.was_whole = False


def refused_late(world):
    refused_late_without_a_time(world)
    world.change(retry_after="1")


def sent_as_connection_closed(world):
    read_late_and_dropped(world)
    world.change(ended=100.1)


def cut_by_the_server(world):
    passed_on_late_and_cut(world)
    world.server.runs[0].aborted = True


def abandoned_at_deadline(world):
    passed_on_late_and_cut(world)
    world.change(timeout=3.0)


def sent_to_the_next_process(world):
    passed_on_late_and_cut(world)
    world.stops[0].end = 99.0


def answered_by_a_stopping_entry(world):
    """A request that came late in the grace period runs at a slow server, and the entry answers 502 at its end."""
    world.stops.append(Stop(98.0, 100.1))
    world.change(fully_sent_at=100.0, timeout=4.8, status=502, signature="")


def answered_by_an_entry_stopped_later(world):
    """The request came before the signal, so that the entry could not know its end."""
    answered_by_a_stopping_entry(world)
    world.stops[0].begin = 100.05


def answered_at_its_deadline(world):
    answered_by_a_stopping_entry(world)
    world.change(timeout=0.2)


def answered_after_its_server_broke_off(world):
    answered_by_a_stopping_entry(world)
    world.server.runs[0].aborted = True


def repeatable_answered_by_a_stopping_entry(world):
    answered_by_a_stopping_entry(world)


def cut_in_a_grace_period_too_short_for_it(world):
    """A request that came before the signal, and whose server takes longer than the grace period."""
    world.grace_seconds = 2.0
    world.varies_stops = True
    world.answer_seconds = dict.fromkeys(FakeWorld.answer_seconds, 6.0)
    world.stops.append(Stop(100.5, 102.5))
    world.change(fully_sent_at=100.0, timeout=4.8, ended=102.5, failure="gone", answer=world.sent[0].answer[:-2])


def sent_late_and_cut_in_a_short_grace_period(world):
    cut_in_a_grace_period_too_short_for_it(world)
    world.stops[0] = Stop(99.0, 101.0)
    world.change(ended=101.0)


def short_and_cut_in_a_short_grace_period(world):
    """The request's own time is longer than the grace period, but not what its server takes."""
    cut_in_a_grace_period_too_short_for_it(world)
    world.answer_seconds = FakeWorld.answer_seconds


def endless_input_cut(world):
    """A caller sees input without end of a server break off; what it got is no beginning of its stream."""
    world.server.endless_inputs[ID] = "id lines"
    world.change(answer=b"id: 1\nid: 1\n", failure="Broken the answer is too long")


def endless_connection_stays(world):
    world.endless_connections.append(EndlessConnection("entry-0", "callers", "trailers, slow", 100.0))


def endless_connection_closed(world):
    world.endless_connections.append(EndlessConnection("entry-0", "callers", "trailers, slow", 100.0, 103.0))


def small_requests_refused_beside_endless_input(world):
    endless_connection_closed(world)
    for n in range(checks.MIN_SMALL_REQUESTS):
        world.sent.append(dataclasses.replace(world.sent[0], id=f"f{n}", status=503, signature="", answer=b"",
                                              retry_after="1"))


def killed_for_memory(world):
    world.memory_passed.append(("entry-0", 89.0, 88))


def ended_by_itself(world):
    world.wrong_ends.append("entry-0 ended by itself with -6")


def sanitizer_report(world):
    world.fault_reports.append("ERROR: AddressSanitizer")


def small_request_refused_for_memory(world):
    world.server.runs.clear()
    world.change(status=503, signature="", retry_after="1", answer=b'{"detail":"no memory is left"}')


def add_large_request(world, **values):
    world.large_sent.append(LargeRequest("large0-1", "whole", "entry-0", 100.0, 10, **values))
    world.large_servers[0].read_whole.add("large0-1")


def small_requests_refused(world):
    add_large_request(world)
    for n in range(checks.MIN_SMALL_REQUESTS):
        world.sent.append(dataclasses.replace(world.sent[0], id=f"f{n}", status=503, signature="", answer=b"",
                                              retry_after="1"))


def large_body_cut(world):
    add_large_request(world, status=200, is_whole=True, answer=hashlib.sha256(large_bodies.BODY[:9]).hexdigest().encode())


def large_body_refused_though_it_ran(world):
    add_large_request(world, status=503, retry_after="1")


def large_body_answered(world):
    add_large_request(world, status=200, is_whole=True, answer=hashlib.sha256(large_bodies.BODY[:10]).hexdigest().encode())


def freed_under_a_discarded_fetch(world):
    freed_under_a_fetch(world)
    world.fetch.discarded = True


def freed_after_the_fetch(world):
    world.store.freed += [(99.9, world.fetch.key), (100.5, world.fetch.key), (100.3, ("shared@2", "aa11"))]


ALLOWED = (refused_late, sent_as_connection_closed, cut_by_the_server, abandoned_at_deadline, sent_to_the_next_process,
           freed_under_a_discarded_fetch, freed_after_the_fetch, sent_shortly_after_rejection, fatal_sent_within_limit,
           fatal_part_sent_within_limit,
           sent_around_evacuations, sent_within_cold_limit, sent_within_limit, resumptions_refused_without_servers,
           resumed_at_the_same_version, gone_on_after_the_first_run, gone_on_while_the_first_server_was_suspended,
           small_request_refused_for_memory, large_body_answered, answered_by_an_entry_stopped_later,
           answered_at_its_deadline, answered_after_its_server_broke_off, repeatable_answered_by_a_stopping_entry,
           cut_in_a_grace_period_too_short_for_it, endless_input_cut, endless_connection_closed)
DEFECTS = {
    second_run: "at_most_once", second_run_of_a_draft: "at_most_once",
    gone_on_beside_the_first_run: "runs_do_not_overlap",
    gone_on_at_another_entry_beside_the_first_run: "runs_do_not_overlap",
    gone_on_after_the_first_server_was_resumed: "runs_do_not_overlap", refused_though_it_ran: "refusals_not_executed",
    refused_without_a_time: "refusals_not_executed", refused_with_a_time_of_zero: "callers_return",
    limited_without_a_number: "callers_return", run_after_a_servers_refusal: "callers_return",
    cut_answer: "answers_match_runs",
    other_answer: "answers_match_runs", forged_signature: "answers_match_runs", missing_event: "events_in_order",
    stream_of_two_versions: "streams_of_one_version", resumed_at_another_version: "streams_of_one_version",
    resumptions_refused: "resumptions_go_on", changed_body: "requests_as_sent", forwarded_key: "requests_as_sent", wrong_organisation: "requests_as_sent",
    run_without_request: "requests_as_sent", never_answered: "requests_end_with_answer", revoked_key: "revoked_keys",
    sent_to_draining_server: "draining_servers", sent_to_removed_server: "removed_servers",
    cut_by_a_planned_stop: "planned_restarts_cut_nothing",
    two_holders: "one_holder_per_fencing_token", passed_on_late_and_cut: "stops_lose_no_request",
    read_late_and_dropped: "stops_lose_no_request", refused_late_without_a_time: "refusals_not_executed",
    freed_under_a_fetch: "parts_freed_while_read", fetched_while_written: "parts_freed_while_read",
    sent_after_leaving_answer: "servers_leaving_by_answer", sent_while_rejecting: "rejecting_servers",
    fatal_sent_too_often: "fatal_requests", fatal_part_sent_too_often: "fatal_parts", harmless_quarantined: "no_false_quarantine",
    sent_while_evacuated: "evacuated_domains", sent_beyond_limit: "limited_servers",
    accepted_revoked_key: "revocations_stay", overloaded_while_cold: "cold_servers",
    overloaded_after_cold_record: "cold_servers", endless_answer_received: "endless_answers_closed",
    answered_by_a_stopping_entry: "late_requests_end_with_their_answer",
    sent_late_and_cut_in_a_short_grace_period: "stops_lose_no_request",
    short_and_cut_in_a_short_grace_period: "stops_lose_no_request",
    endless_connection_stays: "endless_connections_closed",
    small_requests_refused_beside_endless_input: "small_requests_go_on",
    killed_for_memory: "memory_kept", ended_by_itself: "entries_end_well", sanitizer_report: "no_fault_reports",
    small_request_refused_for_memory: "small_requests_not_refused_for_memory",
    small_requests_refused: "small_requests_go_on", large_body_cut: "large_requests_answered_right",
    large_body_refused_though_it_ran: "large_requests_answered_right"}
KINDS = {missing_event: "ask", fatal_sent_too_often: "ask", fatal_part_sent_too_often: "ask", passed_on_late_and_cut: "long",
         stream_of_two_versions: "ask", resumed_at_another_version: "ask", resumptions_refused: "ask",
         resumptions_refused_without_servers: "ask", resumed_at_the_same_version: "ask",
         sent_late_and_cut_in_a_short_grace_period: "long", short_and_cut_in_a_short_grace_period: "long",
         repeatable_answered_by_a_stopping_entry: "safe",
         endless_input_cut: "ask",
         run_after_a_servers_refusal: "safe", second_run_of_a_draft: "draft", gone_on_beside_the_first_run: "ask",
         gone_on_at_another_entry_beside_the_first_run: "ask", gone_on_after_the_first_run: "ask",
         gone_on_while_the_first_server_was_suspended: "ask", gone_on_after_the_first_server_was_resumed: "ask"}

# A request may be refused for the memory of an engine.
ALLOWED_KINDS = {small_request_refused_for_memory: "ask"}


PROGRAM = """import os, signal, sys, time
if sys.argv[1] == "holds":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
if sys.argv[1] == "starts a thread":
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
print("begun", flush=True)
time.sleep(60)
"""


async def check_signal_guard():
    """handles_signals() is true only once the process blocks or catches signals, or has ended."""
    fleet = types.SimpleNamespace(port=lambda: 1, processes={})
    entry = Entry(fleet, 0, domain=0, link=None)
    for how in ("holds", "starts", "starts a thread"):
        process = subprocess.Popen([sys.executable, "-c", PROGRAM, how], stdout=subprocess.PIPE)
        fleet.processes[entry.name] = process
        process.stdout.readline()
        assert entry.handles_signals() == (how == "holds"), how
        process.kill()
        process.wait()
        assert entry.handles_signals()  # No process is left that a signal could end.
    await entry.wait_signals_handled()


FAULTY_LOG = """2026-12-05T12:00:00.000Z INFO daisytack-entry started
==7==ERROR: AddressSanitizer: heap-use-after-free on address 0x1
    #0 0x2 in f
SUMMARY: AddressSanitizer: heap-use-after-free in f
/usr/include/c++/12/bits/stl_vector.h:1123: reference operator[](size_type): Assertion '__n < this->size()' failed.
2026-12-05T12:00:00.000Z ERROR daisytack-entry ends by an unhandled exception of type X: text
src/a.cpp:1:2: runtime error: signed integer overflow
"""


def check_report_finder():
    """reports() finds each kind of report, and nothing in a log without one."""
    with tempfile.TemporaryDirectory() as directory:
        log = pathlib.Path(directory) / "entry-0.log"
        log.write_text(FAULTY_LOG)
        found = sanitizers.reports(log.parent)
        assert len(found) == 4 and "#0 0x2 in f" in found[0], found
        log.write_text(FAULTY_LOG.splitlines()[0])
        assert not sanitizers.reports(log.parent)


STATES = {"start line", "header name", "header value", "headers", "interim answers", "body with a length",
          "body without a length", "chunk size", "chunk extension", "chunk data", "trailer line", "trailers", "no HTTP",
          "one event", "events", "comment lines", "id lines"}


def check_endless_input():
    """Input without end reaches each state of a message, and a cut message goes on with its own last piece."""
    named = endless_input.named_inputs("HTTP/1.1 200 OK", {"X-Own": "v"})
    assert STATES <= set(named), STATES - set(named)
    assert named["chunk extension"].begin.endswith(b"\r\nTransfer-Encoding: chunked\r\n\r\n1;a=")
    assert named["trailers"].begin.endswith(b"\r\n0\r\n") and named["headers"].begin.endswith(b"X-Own: v\r\n")
    for name, message in endless_input.messages("HTTP/1.1 200 OK", {"X-Own": "v"}).items():
        for size in range(1, len(message)):
            for unit in endless_input.UNITS:
                given = endless_input.cut(name, message, size, unit)
                assert given.begin.endswith(given.piece) and given.piece, given
                assert message.startswith(given.begin.rstrip(b"\n")), given
                assert len(given.begin) >= size, given


def main():
    asyncio.run(check_signal_guard())
    check_endless_input()
    check_report_finder()
    for kind in checks.KINDS:
        assert checks.failed_checks(FakeWorld(kind)) == [], checks.failed_checks(FakeWorld(kind))
    for defect, check in DEFECTS.items():
        world = FakeWorld(KINDS.get(defect, "call"))
        defect(world)
        found = {it.partition(":")[0] for it in checks.failed_checks(world)}
        assert found == {check}, (defect.__name__, found)
    for event in ALLOWED:
        world = FakeWorld(ALLOWED_KINDS.get(event) or KINDS.get(event, "long"))
        event(world)
        assert checks.failed_checks(world) == [], (event.__name__, checks.failed_checks(world))
    missed = {it.__name__ for it in checks.ALL_CHECKS} - set(DEFECTS.values())
    assert not missed, missed
    print(f"{len(DEFECTS)} defects shown by {len(checks.ALL_CHECKS)} checks")


if __name__ == "__main__":
    sys.exit(main())
