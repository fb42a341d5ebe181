"""What the scripts of the cases share: the exit codes, the record and the end of all processes."""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text, at=None):
        self.file.write(f"{(at or time.monotonic()) - self.began:8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def run(folder, scenario):
    """Runs scenario(record, has_trouble), which returns an exit code, and ends the process with it."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        # A case that is told to end still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(scenario(record, has_trouble), LIMIT_SECONDS)

    try:
        code = asyncio.run(bounded())
    except BaseException as error:  # Also a timeout or an interrupt: the case did not run to its end.
        record.write(traceback.format_exc())
        record.say(f"the case could not run: {error!r}")
        code = CANNOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "not run"}[code])
    record.file.close()
    sys.stdout.flush()
    # Connections that were silenced would complain about the end of their event loop.
    os._exit(code)
