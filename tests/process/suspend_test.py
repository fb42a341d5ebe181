"""After its machine was suspended, an entry counts the suspended time in all timeouts.

Guards against decisions by the steady clock, which stands still during a suspension. State confirmed before a
suspension of ten seconds then counted as just confirmed: an entry cut off from the key-value service refused with 401
keys that might have been added since, held its lease for too long, and let requests run past their deadlines. Here the
clocks behave as after a suspension (preload/suspended.cpp).
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
    """Sends a request; returns the status of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["callers"])
    headers = {"Host": "a.example", "X-Daisytack-Request-Id": "r", "X-Api-Key": key, "Content-Length": "0",
               "X-Daisytack-Deadline-Milliseconds": "8000"}
    writer.write(http11.head_of(f"POST {path} HTTP/1.1", headers))
    first, _ = await http11.read_head(reader)
    http11.close(writer)
    return int(first[1])


async def stale_key_set_is_not_final(entry):
    """An entry answers 401 to an unknown key only if it reached the key-value service in the last 2.5 s, else 503."""
    check(await status_of(entry, "/call/x", "unknown") == 401,
          "an entry with current keys must answer 401 to an unknown key")
    entry.link.state = SILENT
    entry.signal(signal.SIGUSR1)
    status = await status_of(entry, "/call/x", "unknown")
    check(status == 503, f"after the suspension an unknown key is refused with {status}")


async def request_deadline_passes(world, entry):
    """A running request whose deadline passed during the suspension ends with 504."""
    for server in world.servers:
        server.work = WORK_SECONDS
    answer = asyncio.ensure_future(status_of(entry, "/call/y", "k1"))
    await asyncio.sleep(0.5)
    entry.signal(signal.SIGUSR1)
    try:
        status = await asyncio.wait_for(answer, 1.5)
    except asyncio.TimeoutError:
        status = "no answer"
    check(status == 504, f"a request long past its deadline got {status}")


async def run(fleet):
    world = soak.World(fleet, 1)
    try:
        await world.start()
        entry = world.entries[0]
        for other in world.entries[1:]:
            other.kill()
        await request_deadline_passes(world, entry)
        await asyncio.sleep(3)  # The entry reaches the key-value service again.
        await stale_key_set_is_not_final(entry)
    finally:
        await soak.end_everything(world)


os.environ["LD_PRELOAD"] = str(BUILD / "libsuspended.so")
with Fleet() as it:
    asyncio.run(run(it))
