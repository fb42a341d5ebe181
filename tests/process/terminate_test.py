"""A process that ends by a fault of its own says why in one line on standard error.

Guards against entries that ended by an unhandled exception or a failed allocation without a word. Here a preloaded
library (preload/failing_thread.cpp) throws or allocates on a thread of a real entry.
"""

import asyncio
import os
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import soak  # noqa: E402
from fleet import BUILD, Fleet, check  # noqa: E402

END_SECONDS = 10
MEMORY = "; resident memory [0-9]+[.][0-9] MB, memory limit 88[.]0 MB"
CASES = {signal.SIGUSR1: "ends by an unhandled exception of type std::out_of_range: planted fault" + MEMORY,
         signal.SIGUSR2: "ends by a failed allocation" + MEMORY}


async def ends_with_line(world, entry, number, line):
    entry.signal(number)
    end = world.now() + END_SECONDS
    while entry.ended() is None:
        check(world.now() < end, f"{entry.name} still runs after signal {number}")
        await asyncio.sleep(0.02)
    check(entry.ended() == -signal.SIGABRT, f"exit code {entry.ended()}")
    text = (world.fleet.directory / f"{entry.name}.log").read_text()
    found = re.findall(rf"(?m)^\d{{4}}-\d\d-\d\dT[\d:.]+Z ERROR daisytack-entry {line}$", text)
    check(len(found) == 1, f"{len(found)} lines like {line!r} in {text[-2000:]}")
    check('"event":"started","version":' in text and '"memory_mb":88,"max_connections":1074' in text,
          f"no version and limits in {text[:2000]}")


async def run(fleet):
    world = soak.World(fleet, 1)
    try:
        await world.start()
        check(not world.problems, f"{world.problems}")
        for entry, (number, line) in zip(world.entries, CASES.items()):
            await ends_with_line(world, entry, number, line)
            print(f"{number.name} ok", flush=True)
    finally:
        await soak.end_everything(world)


os.environ["LD_PRELOAD"] = str(BUILD / "libfailing_thread.so")
with Fleet() as it:
    asyncio.run(run(it))
