"""Checks of the guarantees, on what callers and backend servers recorded. Each check yields a text per violation."""

import math
import re

import endless_callers
import large_bodies
from callers import ENTRY_CLOSES, KINDS, PROMPT_KINDS, STREAM_KINDS, UNREPEATABLE_KINDS
from platform_side import RETRY_AFTER_SECONDS, FATAL_BODY, event_count, stream_id_of

STATUSES_NOT_EXECUTED = (408, 421, 429, 503)
ENDLESS_SECONDS = 8.0 + 1.5  # The longest timeout of a route, and until its server sees that the connection ends.
MIN_SMALL_REQUESTS = 20  # Fewer tell nothing about their share.
MIN_RESUMPTIONS = 12  # Fewer resumed streams tell nothing about their share.
OVERLAP_SECONDS = 0.4  # A server may work on a request this long after another one begins to; the users' bound.
REVOKED_SECONDS = 5.0  # Entries refuse a revoked key after this delay; the bound of the deployments.
SIGNAL_SECONDS = 0.25  # A process notices SIGTERM within this time; requests that are read until then came before it.
CROSSING_SECONDS = 0.5  # A request may cross the close of its connection if it was sent at most this long before.
DRAIN_SECONDS = 2.0  # A leaving server gets no new requests after this delay.
PROPAGATION_SECONDS = 3.0  # After this delay all entries have each other's observations, also an entry that starts.
FATAL_CRASH_LIMIT = 3  # Entries stop sending a request after it crashed this many servers,
MAX_FATAL_SENDS = 3  # except for at most this many sends.
FATAL_PART_CRASH_LIMIT = 5  # The same for all requests with a prompt part after this many crashes.
REJECTION_DELAY_SECONDS = 0.5  # Requests already under way still reach a rejecting server within this time;
MAX_SENDS_AFTER_REJECTION = 2  # after it, one entry sends at most this many.
EVACUATION_SECONDS = 3.0  # No request reaches servers of an evacuated failure domain after this delay.
# In each window a limited server gets at most FACTOR * limit * WINDOW + SLACK requests.
LIMIT_WINDOW_SECONDS, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
LIMIT_DELAY_SECONDS = 0.5  # A limit binds an entry this long after it passed on the first answer with the limit.
REVOCATION_VISIBLE_SECONDS = 0.25  # From this delay on, a process that refused a key with 401 must still refuse it.
COLD_REQUESTS_PER_SECOND = 4.0  # Request rate that a cold server can take (setting cold-per-s).
COLD_MAX_REQUESTS = 4.0 * 1.5 + 3  # Maximum that all entries together may send to a cold server in one second.


def runs_by_id(world):
    out = {}
    for server in world.all_servers:
        for run in server.runs:
            out.setdefault(run.request.header("x-daisytack-request-id"), []).append(run)
    return out


def at_most_once(world, runs):
    for sent in world.sent:
        if sent.kind in UNREPEATABLE_KINDS and len(runs.get(sent.id, [])) > 1:
            yield f"{sent.id} ran {len(runs[sent.id])} times at {[it.server for it in runs[sent.id]]}"


def runs_do_not_overlap(world, runs):
    """A stream goes on at another server only after the server before has stopped, or has been told to for a time in
    which the close of its connection reaches it. Both the system and the caller may move it. A suspended server works
    on nothing."""
    policies = {it.id: it.connections for it in world.all_servers}
    streams = {}
    for some in runs.values():
        for run in some:
            streams.setdefault(stream_id_of(run.request), []).append(run)
    for stream, some in streams.items():
        some.sort(key=lambda it: it.at)
        for before, after in zip(some, some[1:]):
            end = before.ended or math.inf
            overlap = end - after.at - policies[before.server].suspended_seconds(after.at, end)
            entry = world.entry_of(before.request.header("x-daisytack-request-id"))
            if overlap > OVERLAP_SECONDS and world.reaches_servers(entry, before.at, after.at + OVERLAP_SECONDS):
                yield (f"{stream} went on at {after.server} while {before.server} worked on it for {overlap:.2f} s "
                       f"more, sent by {entry}")


def refusals_not_executed(world, runs):
    for sent in world.sent:
        if sent.status in STATUSES_NOT_EXECUTED and not sent.signature and sent.id in runs:
            yield f"{sent.id} ({sent.kind}) was answered {sent.status} and ran at {runs[sent.id][0].server}"
        if sent.status == 503 and not sent.signature and not sent.retry_after:
            yield f"{sent.id} was refused with 503 and without Retry-After"


def callers_return(world, runs):
    """A refused caller can rely on its answer: the time after which it should return is above 0, and the request does
    not begin to run after a 503, whoever wrote it."""
    for sent in world.sent:
        if sent.status in (429, 503) and sent.retry_after and seconds_of(sent.retry_after) <= 0:
            yield (f"{sent.id} ({sent.kind}) at {sent.entry} was refused with {sent.status} and Retry-After "
                   f"{sent.retry_after!r}: {sent.answer.decode(errors='replace')}")
        if sent.status == 503 and any(it.at > sent.ended for it in runs.get(sent.id, [])):
            yield f"{sent.id} ran after it was answered 503"


def seconds_of(text):
    """Returns the seconds of a Retry-After, 0 if it is no finite number."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def endless_input_ids(world):
    """Returns the ids of the requests that got input without end from a server (endless_input.py). Its end may look like
    that of a whole answer, and events that go on at another server follow it."""
    return set().union(*[it.endless_inputs for it in world.all_servers])


def answers_match_runs(world, runs):
    endless = endless_input_ids(world)
    for sent in world.sent:
        if sent.wrong_id:
            yield f"{sent.id} got another request's answer"
        if sent.id in endless:
            continue
        if not sent.signature:
            if sent.status == 200:
                yield f"{sent.id} got a success without a server signature"
            continue
        run = next((it for it in runs.get(sent.id, []) if it.signature == sent.signature), None)
        if not run:
            yield f"{sent.id} got a server signature of none of its runs"
        elif sent.status == 200 and not was_cut(sent):
            expected = run.body if sent.kind in ("call", "safe") else expected_stream(sent)
            if without_versions(sent.answer) != expected:
                yield f"{sent.id} ({sent.kind}) got {sent.answer[:60]!r}, not {expected[:60]!r}"


def was_cut(sent):
    """Returns whether the caller could see that its answer is incomplete."""
    return sent.abandoned or bool(sent.failure and ENTRY_CLOSES not in sent.failure)


def stream_text(request_id, kind, after=0):
    """Returns the events of a stream after one of them, without the versions of the servers that wrote them."""
    count = event_count(request_id, kind)
    return b"".join(f"id: {n}\ndata: {request_id}/{n}\n\n".encode() for n in range(after + 1, count + 1))


def expected_stream(sent):
    return stream_text(sent.resumes or sent.id, sent.kind, sent.last_event)


def without_versions(answer):
    return re.sub(rb"/v\d+\n", b"\n", answer)


def is_beginning(sent, version):
    """Returns whether the answer is a beginning of its stream. Its last event may be cut; version is that of the server
    that wrote this event."""
    whole, end, cut = sent.answer.rpartition(b"\n\n")
    expected = expected_stream(sent)
    begin = without_versions(whole + end)
    next_event = expected[len(begin):].partition(b"\n\n")[0] + version + b"\n\n"
    return expected.startswith(begin) and next_event.startswith(cut)


def is_broken_endless_answer(world, sent):
    """Returns whether the caller got the start of an answer without end, which isn't a stream, and saw it break off."""
    is_endless = any(sent.id == it[2] for server in world.all_servers for it in server.endless_times)
    return is_endless and was_cut(sent) and not sent.answer.strip(b"x")


def events_in_order(world, _runs):
    endless = endless_input_ids(world)
    for sent in world.sent:
        if sent.id in endless or is_broken_endless_answer(world, sent):
            continue
        is_stream = sent.kind in STREAM_KINDS and sent.status == 200
        if is_stream and not any(is_beginning(sent, version) for version in (b"/v1", b"/v2")):
            yield (f"{sent.id} got events out of order: {sent.answer[:40]!r}, then {sent.answer[-80:]!r}, "
                   f"failure {sent.failure!r}, abandoned {sent.abandoned}")


def streams_of_one_version(world, _runs):
    """A stream holds events of servers of one software version, in one answer and over all tries of its caller."""
    versions = {}
    for sent in world.sent:
        if sent.kind in STREAM_KINDS and sent.status == 200:
            found = set(re.findall(rb"/(v\d+)\n\n", sent.answer))
            versions.setdefault(sent.resumes or sent.id, set()).update(found)
    for stream, found in versions.items():
        if len(found) > 1:
            yield f"stream {stream} holds events of the software versions {sorted(found)}"


def resumptions_go_on(world, _runs):
    """At entries that ran undisturbed, at least half as many resumed streams as new ones go on, as long as two servers
    of their version serve."""
    def share(some):
        return sum(it.status == 200 for it in some) / len(some)

    asks = [it for it in world.sent if it.kind == "ask" and it.ended and it.key not in world.revoked
            and it.body != FATAL_BODY and world.ran_without_restart(it.at - PROPAGATION_SECONDS, it.ended, it.entry)]
    resumed = [it for it in asks if it.resumes and it.servers_left >= 2]
    new = [it for it in asks if not it.resumes]
    if len(resumed) >= MIN_RESUMPTIONS and new and share(resumed) * 2 < share(new):
        yield f"{share(resumed):.2f} of {len(resumed)} resumed streams went on, {share(new):.2f} of {len(new)} new ones"


def requests_as_sent(world, runs):
    known = {it.id: it for it in world.sent}
    for request_id, all_runs in runs.items():
        sent = known.get(request_id)
        if not sent:
            first = all_runs[0]
            yield f"{request_id} ran though no caller sent it: {' '.join(first.request.first)} at {first.server}"
            continue
        for run in all_runs:
            method, path, _ = run.request.first
            if (method, path, run.request.body) != (KINDS[sent.kind][0], sent.path, sent.body):
                yield f"{request_id} ran as {method} {path} with {len(run.request.body)} bytes"
            if run.request.header("x-daisytack-tenant") != world.organisation_of.get(sent.key):
                yield f"{request_id} ran for {run.request.header('x-daisytack-tenant')!r}"
            if run.request.header("x-api-key") or run.request.header("x-daisytack-hold"):
                yield f"{request_id} ran with a header that callers may not set"
            wanted = "engines" if sent.kind in PROMPT_KINDS else "plain"
            if not run.server.startswith(wanted):
                yield f"{request_id} ({sent.kind}) ran at {run.server}"


def requests_end_with_answer(world, _runs):
    for sent in world.sent:
        if sent.failure == "no final answer" and world.had_no_faults(sent.at - 3, sent.ended, sent.entry):
            yield f"{sent.id} at {sent.entry} had no final answer"


def revoked_keys(world, runs):
    for sent in world.sent:
        since = world.revoked.get(sent.key)
        late = since and sent.at > since + REVOKED_SECONDS
        if late and sent.id in runs and world.had_no_faults(since, sent.ended, sent.entry):
            yield f"{sent.id} ran {sent.at - since:.1f} s after its key was revoked"


def draining_servers(world, _runs):
    for server in world.all_servers:
        since = world.leaving.get(server.id)
        for at, request_id in server.arrivals:
            if since and at > since + DRAIN_SECONDS and world.had_no_faults(since - 3, at):
                yield f"{request_id} reached {server.id} {at - since:.1f} s after it was draining"


def removed_servers(world, _runs):
    """A server whose record was removed gets nothing new of entries that nothing disturbs, whatever happens to others."""
    for server in world.all_servers:
        since = world.removed.get(server.id)
        for at, request_id in server.arrivals:
            is_late = since and at > since + DRAIN_SECONDS
            if is_late and world.ran_undisturbed(world.entry_of(request_id), since - 3, at):
                yield f"{request_id} reached {server.id} {at - since:.1f} s after its record was removed"


def servers_leaving_by_answer(world, _runs):
    """An entry that passed on an answer with Server-Leaving sends no new requests to that server."""
    for server in world.all_servers:
        first_answer = {}
        for at, request_id in server.leaving_answers:
            first_answer.setdefault(world.entry_of(request_id), at)
        for at, request_id in server.arrivals:
            entry = world.entry_of(request_id)
            since = first_answer.get(entry)
            if since and at > since + DRAIN_SECONDS and world.ran_undisturbed(entry, since, at):
                yield f"{request_id} reached {server.id} from {entry} {at - since:.1f} s after its answer"


def rejecting_servers(world, _runs):
    """After a rejection with Retry-After, the entry sends the server at most a few requests until that time."""
    for server in world.all_servers:
        for rejected_at, rejected_id in server.rejections:
            entry = world.entry_of(rejected_id)
            begin, end = rejected_at + REJECTION_DELAY_SECONDS, rejected_at + RETRY_AFTER_SECONDS
            late = [it for at, it in server.arrivals if begin < at < end and world.entry_of(it) == entry]
            if len(late) > MAX_SENDS_AFTER_REJECTION and world.ran_undisturbed(entry, rejected_at, end):
                yield f"{server.id} got {late} from {entry} after it had rejected a request with Retry-After"


def evacuated_domains(world, _runs):
    for server in world.all_servers:
        for since, until in world.evacuated.get(world.domain_of(server), []):
            for at, request_id in server.arrivals:
                is_late = at > since + EVACUATION_SECONDS and (until is None or at < until)
                if is_late and world.had_no_faults(since - 3, at, planned=True):
                    yield f"{request_id} reached {server.id} {at - since:.1f} s after its domain was evacuated"


def cold_servers(world, _runs):
    """A cold server gets at most COLD_MAX_REQUESTS in a second from all entries together.

    A server that starts is cold in its first record, so the limit holds from its first request. One that becomes cold
    later is limited once the entries have its new record.
    """
    for server in world.all_servers:
        for begin, end, is_start in server.cold_times:
            known = begin if is_start else begin + PROPAGATION_SECONDS / 2
            if not is_start and not world.had_no_faults(begin - 3, end, planned=True):
                continue
            arrivals = sorted(at for at, _ in server.arrivals if known <= at < end)
            for first in arrivals:
                together = [at for at in arrivals if first <= at < first + 1]
                if len(together) > COLD_MAX_REQUESTS and world.had_sound_links(first - 1, first + 1):
                    yield f"{server.id} got {len(together)} requests in a second, cold for {first - begin:.1f} s"
                    break


def limited_servers(world, _runs):
    """The entries that passed on an answer with a server's limit together keep to it, after a propagation delay."""
    for server in world.all_servers:
        for begin, end, limit in server.limit_times:
            first_answer = {}
            for at, request_id in server.limit_answers:
                if begin <= at <= end:
                    first_answer.setdefault(world.entry_of(request_id), at)
            arrivals = [(at, world.entry_of(it)) for at, it in server.arrivals if begin <= at <= end]
            arrivals = [(at, it) for at, it in arrivals
                        if it in first_answer and at >= first_answer[it] + LIMIT_DELAY_SECONDS]
            for last, _ in arrivals:
                first = last - LIMIT_WINDOW_SECONDS
                some = [it for at, it in arrivals if first < at <= last and world.ran_undisturbed(it, first, last)]
                if (last >= begin + PROPAGATION_SECONDS
                        and len(some) > LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK):
                    yield (f"{server.id} got {len(some)} requests in {LIMIT_WINDOW_SECONDS:.0f} s, "
                           f"{last - begin:.1f} s after it had named a limit of {limit} a second")
                    break


def revocations_stay(world, runs):
    """A process that refused a key with 401 never accepts it later, even if the key-value service was rolled back."""
    refused = {}
    for sent in sorted(world.sent, key=lambda it: it.ended):
        if sent.status == 401:
            refused.setdefault((sent.entry, sent.key), sent.ended)
    for sent in world.sent:
        since = refused.get((sent.entry, sent.key))
        if (since and sent.at > since + REVOCATION_VISIBLE_SECONDS and sent.id in runs
                and world.ran_without_restart(since, sent.at, sent.entry)):
            yield f"{sent.id} ran {sent.at - since:.1f} s after {sent.entry} had refused its key"


def fatal_requests(world, _runs):
    """A request that crashed FATAL_CRASH_LIMIT servers reaches only a few more."""
    if len(world.fatal_ends) < FATAL_CRASH_LIMIT:
        return
    known = sorted(world.fatal_ends)[FATAL_CRASH_LIMIT - 1] + PROPAGATION_SECONDS
    fatal = {it.id: it.entry for it in world.sent if it.body == FATAL_BODY}
    late = [(at, it) for server in world.all_servers for at, it in server.arrivals if at > known and it in fatal]
    late = [it for at, it in late if world.ran_undisturbed(fatal[it], at - PROPAGATION_SECONDS, at)]
    if len(late) > MAX_FATAL_SENDS:
        yield f"{late} reached servers after the same request had crashed {FATAL_CRASH_LIMIT} servers"


def fatal_parts(world, _runs):
    """Requests with a prompt part that crashed FATAL_PART_CRASH_LIMIT servers reach only a few more."""
    if len(world.fatal_part_ends) < FATAL_PART_CRASH_LIMIT:
        return
    known = sorted(world.fatal_part_ends)[FATAL_PART_CRASH_LIMIT - 1] + PROPAGATION_SECONDS
    fatal = {it.id: it.entry for it in world.sent if it.parts}
    late = [(at, it) for server in world.all_servers for at, it in server.arrivals if at > known and it in fatal]
    late = [it for at, it in late if world.ran_undisturbed(fatal[it], at - PROPAGATION_SECONDS, at)]
    if len(late) > MAX_FATAL_SENDS:
        yield f"{late} reached servers after their prompt part had crashed {FATAL_PART_CRASH_LIMIT} servers"


def no_false_quarantine(world, _runs):
    """No request other than the fatal ones is quarantined."""
    for sent in world.sent:
        if sent.body != FATAL_BODY and not sent.parts and b"request_quarantined" in sent.answer:
            yield f"{sent.id} ({sent.kind}) at {sent.entry} was quarantined: {sent.answer.decode(errors='replace')}"


def planned_restarts_cut_nothing(world, _runs):
    """If SIGTERM is the only disturbance, every request that the entry has read is answered."""
    for sent in world.sent:
        if not sent.failure or sent.status or sent.abandoned or sent.kind == "ask":
            continue
        term = world.planned_stop(sent.entry, sent.ended)
        if term and world.outlasts_stop(sent, term):
            continue
        if term and sent.at < term and world.had_no_faults(sent.at - 3, sent.ended, sent.entry, planned=True):
            yield f"{sent.id} was cut off by the planned stop of {sent.entry}: {sent.failure}"


def stops_lose_no_request(world, runs):
    """A stopping entry answers every request that it has read completely, until it exits or is killed after the grace
    period. A request without a complete answer was neither sent to a server nor kept waiting."""
    for sent in world.sent:
        if (not sent.fully_sent_at or not was_cut(sent) or sent.abandoned
                or sent.ended > sent.fully_sent_at + sent.timeout - 0.3):
            continue
        stop = world.stop_during(sent.entry, sent.fully_sent_at, sent.ended)
        if not stop or not world.had_no_faults(sent.at - 3, sent.ended, sent.entry, planned=True):
            continue
        if world.outlasts_stop(sent, stop.begin):
            continue
        request_runs = runs.get(sent.id, [])
        when = (f"{sent.id} ({sent.kind} of {sent.caller}), sent completely {sent.fully_sent_at - stop.begin:.1f} s "
                f"after SIGTERM of {sent.entry},")
        if request_runs and not any(it.aborted for it in request_runs):
            yield f"{when} was passed on to {request_runs[-1].server} and cut off at {sent.ended - stop.begin:.1f} s"
        elif not request_runs and sent.ended > sent.fully_sent_at + CROSSING_SECONDS:
            yield f"{when} had no answer when its connection closed at {sent.ended - stop.begin:.1f} s"


def late_requests_end_with_their_answer(world, runs):
    """A request that comes after SIGTERM and may not be repeated is passed on only if its server's answer comes in time:
    it doesn't end with an answer of the entry itself, unless its server broke off or its own time is over.
    stops_lose_no_request finds answers that are cut."""
    for sent in world.sent:
        if sent.kind not in UNREPEATABLE_KINDS or not sent.fully_sent_at or sent.abandoned:
            continue
        request_runs = runs.get(sent.id, [])
        if (not sent.status or sent.signature or not request_runs or any(it.aborted for it in request_runs)
                or sent.ended > sent.fully_sent_at + sent.timeout - 0.3):
            continue
        stop = world.stop_during(sent.entry, sent.at, sent.ended)
        if (stop and sent.at > stop.begin + SIGNAL_SECONDS
                and world.had_no_faults(sent.at - 3, sent.ended, sent.entry, planned=True)):
            yield (f"{sent.id} ({sent.kind} of {sent.caller}), sent {sent.at - stop.begin:.1f} s after SIGTERM of "
                   f"{sent.entry}, ran at {request_runs[-1].server} and was answered {sent.status} by the entry at "
                   f"{sent.ended - stop.begin:.1f} s")


def parts_freed_while_read(world, _runs):
    """No engine uses a part that was incomplete, or that was freed during the fetch."""
    for store in world.stores:
        for fetch in store.fetches:
            if fetch.discarded:
                continue
            if not fetch.was_whole:
                yield f"{fetch.request} read {fetch.key} of {store.name} before it was complete"
            for at, key in store.freed:
                if key == fetch.key and fetch.begin <= at < fetch.end:
                    yield (f"{fetch.request} read {key} of {store.name} for {fetch.end - fetch.begin:.2f} s, and it "
                           f"was freed {at - fetch.begin:.2f} s after its begin")


def one_holder_per_fencing_token(world, _runs):
    for server in world.all_servers:
        holders = {}
        for _, token, holder in server.tokens:
            if holders.setdefault(token, holder) != holder:
                yield f"{server.id} got token {token} from {holder} and {holders[token]}"


def endless_answers_closed(world, _runs):
    """An answer without end is broken off when the time of its request is over, whatever else goes on."""
    for server in world.all_servers:
        for begin, end, request_id in server.endless_times:
            if end - begin > ENDLESS_SECONDS and world.had_no_faults(begin, end, world.entry_of(request_id)):
                yield f"{server.id} sent the answer to {request_id} for {end - begin:.1f} s"


def endless_connections_closed(world, _runs):
    """A connection that sends input without end ends in bounded time, unless its entry may have been paused meanwhile.
    No other fault is an excuse: an entry that ends closes its connections."""
    for sent in world.endless_connections:
        limit = endless_callers.END_SECONDS[sent.port]
        if sent.end - sent.begin >= limit and world.ran_without_pause(sent.begin, sent.begin + limit):
            yield f"{sent.what} at {sent.port} of {sent.entry} went on for {limit} s"


def memory_kept(world, _runs):
    for entry, megabytes, limit in world.memory_passed:
        yield f"{entry} took {megabytes:.1f} MB of {limit} MB, and was killed for it"


def entries_end_well(world, _runs):
    """Entries end only when they are stopped or killed; a stopped one ends in time and with exit code 0."""
    yield from world.wrong_ends


def no_fault_reports(world, _runs):
    """No entry wrote a report of a sanitizer, a failed assertion of the library or an unhandled exception."""
    yield from world.fault_reports


def small_requests_not_refused_for_memory(world, _runs):
    """Callers with large bodies hold memory; the organisations of small requests hold next to nothing, so that there is
    always room for theirs. Refusals for the memory of an engine are another matter."""
    for sent in world.sent:
        if sent.kind not in PROMPT_KINDS and sent.status == 503 and not sent.signature and b"memory" in sent.answer:
            yield f"{sent.id} ({sent.kind}, {len(sent.body)} bytes) at {sent.entry} was refused: {sent.answer!r}"


def small_requests_go_on(world, _runs):
    """Beside large bodies and input without end at least half of the small requests at undisturbed entries are
    answered."""
    endless = endless_input_ids(world)
    some = [it for it in world.sent if (world.large_sent or world.endless_connections) and it.kind in ("call", "safe")
            and it.id not in endless and it.ended and not it.abandoned and it.key not in world.revoked
            and world.had_no_faults(it.at - PROPAGATION_SECONDS, it.ended, it.entry, planned=True)
            and world.ran_without_restart(it.at - PROPAGATION_SECONDS, it.ended, it.entry)]
    answered = sum(it.status == 200 for it in some)
    if len(some) >= MIN_SMALL_REQUESTS and answered * 2 < len(some):
        yield f"{answered} of {len(some)} small requests were answered beside large bodies or input without end"


def large_requests_answered_right(world, _runs):
    """A whole answer to a large request is its own, and a refused one was not run and is told when to return."""
    run = set().union(*[it.read_whole for it in world.large_servers])
    for sent in world.large_sent:
        if sent.status == 200 and sent.is_whole and sent.answer != large_bodies.expected_answer(sent):
            yield f"{sent.id} ({sent.kind}, {sent.size} bytes) got {sent.answer[:80]!r}"
        if sent.status == 503 and (seconds_of(sent.retry_after) <= 0 or sent.id in run):
            yield f"{sent.id} ({sent.kind}) was refused, Retry-After {sent.retry_after!r}, run: {sent.id in run}"


ALL_CHECKS = (at_most_once, runs_do_not_overlap, refusals_not_executed, callers_return, answers_match_runs, events_in_order,
              streams_of_one_version, resumptions_go_on, requests_as_sent,
              requests_end_with_answer, revoked_keys, draining_servers, removed_servers, servers_leaving_by_answer, rejecting_servers,
              evacuated_domains, cold_servers, limited_servers, revocations_stay, fatal_requests, fatal_parts,
              no_false_quarantine,
              planned_restarts_cut_nothing, stops_lose_no_request, late_requests_end_with_their_answer, parts_freed_while_read,
              one_holder_per_fencing_token, endless_answers_closed, endless_connections_closed, memory_kept, entries_end_well, no_fault_reports,
              small_requests_not_refused_for_memory, small_requests_go_on, large_requests_answered_right)


def failed_checks(world):
    runs = runs_by_id(world)
    return [f"{check.__name__}: {text}" for check in ALL_CHECKS for text in check(world, runs)]
