"""An entry whose machine was suspended believes nothing longer than it may.

Seen: nothing by callers; by reading, every decision took its time from the steady clock, which stands still while a machine is
suspended. What was confirmed before a suspension of ten seconds counted as confirmed just now: an entry cut off from the
key-value service refused, for good, keys that may have been added meanwhile, held its lease for too long, and let requests
run on past their time. Here the clocks behave as after a suspension (preload/suspended.cpp).
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import http11  # noqa: E402
import soak  # noqa: E402
from fleet import BUILD, Fleet, check  # noqa: E402
from proxy import SILENT  # noqa: E402

WORK_SECONDS = 60


async def status_of(entry, path, key):
    """Of the answer to one request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["callers"])
    headers = {"Host": "a.example", "X-Daisytack-Request-Id": "r", "X-Api-Key": key, "Content-Length": "0",
               "X-Daisytack-Deadline-Milliseconds": "8000"}
    writer.write(http11.head_of(f"POST {path} HTTP/1.1", headers))
    first, _ = await http11.read_head(reader)
    http11.close(writer)
    return int(first[1])


async def stale_key_set_is_not_final(entry):
    """An unknown key is refused for good only by an entry that heard from the service within 2.5 s."""
    check(await status_of(entry, "/call/x", "unknown") == 401, "an entry that knows doesn't refuse for good")
    entry.link.state = SILENT
    entry.signal(signal.SIGUSR1)
    status = await status_of(entry, "/call/x", "unknown")
    check(status == 503, f"after the suspension an unknown key is refused with {status}")


async def request_deadline_passes(world, entry):
    """The time of a request that runs is over when the machine is back."""
    for server in world.servers:
        server.work = WORK_SECONDS
    answer = asyncio.ensure_future(status_of(entry, "/call/y", "k1"))
    await asyncio.sleep(0.5)
    entry.signal(signal.SIGUSR1)
    try:
        status = await asyncio.wait_for(answer, 1.5)
    except asyncio.TimeoutError:
        status = "no answer"
    check(status == 504, f"a request whose time is over by far has {status}")


async def run(fleet):
    world = soak.World(fleet, 1)
    try:
        await world.start()
        entry = world.entries[0]
        for other in world.entries[1:]:
            other.kill()
        await request_deadline_passes(world, entry)
        await asyncio.sleep(3)  # It hears from the service again.
        await stale_key_set_is_not_final(entry)
    finally:
        await soak.end_everything(world)


os.environ["LD_PRELOAD"] = str(BUILD / "libsuspended.so")
with Fleet() as it:
    asyncio.run(run(it))
