"""A stopped entry exits in time with the right code, after writing its last log lines and removing its announcement.

Guards against three failures:
- Stopped entries hung until they were killed at the end of the grace period. The log library starts four threads while
  the program is loaded, and the destructor of its static object joins them. On a platform that takes over the waits of
  a process after its libraries were loaded, nothing wakes these threads. Here they never run
  (preload/stuck_threads.cpp).
- The key of a stopped entry stayed until its lease expired, since the process exited before the queued call that ends
  the lease was sent.
- A second signal lost the log lines of the last tenth of a second.
"""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import entry as soak_entry  # noqa: E402
import http11  # noqa: E402
import soak  # noqa: E402
from fleet import BUILD, Fleet, check  # noqa: E402
from platform_side import event_count  # noqa: E402
from proxy import SILENT, SOUND  # noqa: E402

END_SECONDS = 5  # Below the grace period of 8 s; the drain itself takes less than a second here.
EVENTS = 8
LONG_WORK_SECONDS = 60
soak_entry.SETTINGS += "[entry]\ndrain_notice = 300ms\n"


async def until(what, probe, seconds=30):
    end = asyncio.get_event_loop().time() + seconds
    while not probe():
        check(asyncio.get_event_loop().time() < end, f"not within {seconds} s: {what}")
        await asyncio.sleep(0.01)


async def send(entry, path, request_id):
    """Sends a request; returns the reader and writer of its connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["callers"])
    headers = {"Host": "a.example", "X-Daisytack-Request-Id": request_id, "X-Api-Key": "k1", "Content-Length": "0",
               "X-Daisytack-Deadline-Milliseconds": "2900"}
    if path.startswith("/ask/"):
        headers |= {"X-Daisytack-Model": "m", "X-Daisytack-Token-Counts": "100,10"}
    writer.write(http11.head_of(f"POST {path} HTTP/1.1", headers))
    return reader, writer


def log_of(world, entry):
    return (world.fleet.directory / f"{entry.name}.log").read_text()


def announcements(world, entry):
    """Returns the keys under a lease that contain the entry's name."""
    return [key for key, it in world.kv.items.items() if it["lease"] and entry.name in key]


async def check_ends(world, entry, code, case):
    """Checks that the entry exits with the code in time and logs that it stopped; returns its log."""
    await until(f"{entry.name} ends, {case}", lambda: entry.ended() is not None, END_SECONDS)
    check(entry.ended() == code, f"{case}: exit code {entry.ended()} instead of {code}")
    lines = log_of(world, entry)
    check("daisytack-entry stopped" in lines, f"{case}: the last line is missing")
    return lines


async def idle(world, entry):
    await until("it is announced", lambda: announcements(world, entry))
    entry.signal(signal.SIGTERM)
    lines = await check_ends(world, entry, 0, "idle")
    check('"event":"stopped"' in lines, "the last decision line is missing")
    check(not announcements(world, entry), f"it is still announced: {announcements(world, entry)}")


async def streaming(world, entry):
    for server in world.servers:
        server.work = 0.1
    request_id = next(f"stream-{n}" for n in range(1000) if event_count(f"stream-{n}") == EVENTS)
    reader, _ = await send(entry, f"/ask/{request_id}", request_id)
    first, headers = await http11.read_head(reader)
    check(first[1] == "200", f"the stream began with {first}")
    entry.signal(signal.SIGTERM)
    body = (await http11.read_body(reader, headers)).decode()
    software = body.partition(f"{request_id}/1/")[2].partition("\n")[0]
    check(software in ("v1", "v2"), f"the first event is missing in {body!r}")
    for n in range(1, EVENTS + 1):
        check(f"data: {request_id}/{n}/{software}\n" in body, f"event {n} is missing in {body!r}")
    await check_ends(world, entry, 0, "streaming")


async def service_silent(world, entry):
    entry.link.state = SILENT
    entry.signal(signal.SIGTERM)
    await check_ends(world, entry, 0, "key-value service silent")
    entry.link.state = SOUND
    entry.link.reset()


async def peers_gone(world, entry):
    others = [it for it in world.entries if it is not entry]
    for other in others:
        other.kill()
    entry.signal(signal.SIGTERM)
    await check_ends(world, entry, 0, "peers gone")
    for other in others:
        other.start()


def start_with_pipes(world, entry):
    """Starts the entry with pipes as its outputs; returns the (read, write) ends of stdout and stderr."""
    settings = world.fleet.directory / f"{entry.name}.ini"
    out, err = os.pipe(), os.pipe()
    world.fleet.processes[entry.name] = subprocess.Popen([str(BUILD / "daisytack-entry"), f"--config={settings}"],
                                                         stdout=out[1], stderr=err[1], stdin=subprocess.DEVNULL)
    return out, err


def fill(pipe):
    """Fills the pipe; its blocking mode is the same afterwards."""
    before = os.get_blocking(pipe)
    os.set_blocking(pipe, False)
    try:
        while os.write(pipe, b"x" * 4096):
            pass
    except BlockingIOError:
        pass
    os.set_blocking(pipe, before)


async def log_pipe_full(world, entry):
    """The entry ends although nothing reads its full output pipes."""
    entry.kill()
    out, err = start_with_pipes(world, entry)
    await world.wait_ready("with its outputs in pipes")
    fill(out[1])
    fill(err[1])
    entry.signal(signal.SIGTERM)
    await until("it ends, log unread", lambda: entry.ended() is not None, END_SECONDS)
    check(entry.ended() == 0, f"log unread: exit code {entry.ended()}")
    for pipe in (*out, *err):
        os.close(pipe)


async def second_signal(world, entry):
    """Two signals at once while a server works on a request: the last log lines are still written."""
    for server in world.servers:
        server.work = LONG_WORK_SECONDS
    runs = sum(len(it.runs) for it in world.servers)
    connection = await send(entry, "/call/long", "long")
    await until("a server is at work", lambda: sum(len(it.runs) for it in world.servers) > runs)
    entry.signal(signal.SIGTERM)
    # Pending signals may be handled in either order, and only SIGINT ends a drain.
    for _ in range(END_SECONDS * 100):
        entry.signal(signal.SIGINT)
        await asyncio.sleep(0.01)
        if entry.ended() is not None:
            break
    lines = await check_ends(world, entry, 5, "second signal")
    check('"event":"draining"' in lines, "the decision lines of the last moment are missing")
    http11.close(connection[1])


async def run(fleet):
    world = soak.World(fleet, 1)
    try:
        await world.start()
        entry = world.entries[0]
        for case in (idle, streaming, service_silent, peers_gone, log_pipe_full, second_signal):
            check(not world.problems, f"{world.problems}")
            await case(world, entry)
            print(f"{case.__name__} ok", flush=True)
            entry.start()
            await world.wait_ready(f"after {case.__name__}")
    finally:
        await soak.end_everything(world)


os.environ["LD_PRELOAD"] = str(BUILD / "libstuck_threads.so")
with Fleet() as it:
    asyncio.run(run(it))
