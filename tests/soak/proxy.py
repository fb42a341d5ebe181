"""A TCP proxy on loopback that injects link faults.

A link is sound, slow, silent (no data in either direction, connections stay open), deaf (no data from the client to the
server) or mute (no data from the server to the client). Data is held back meanwhile and passed on if the connection is
still open when the state ends. reset() resets the open connections of the link. The end of a connection is passed on as what
it is, an end or a reset: an answer without a length is complete only at an end.
"""

import asyncio

import http11

SOUND, SLOW, SILENT, DEAF, MUTE = "sound", "slow", "silent", "deaf", "mute"
FAULTS = (SLOW, SILENT, DEAF, MUTE)
SLOW_DELAY_SECONDS = 0.15
BLOCK_BYTES = 64 * 1024


class Proxy:
    def __init__(self, target):
        self.target = target
        self.state = SOUND
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        return self

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.writers):
            http11.reset(writer)
            http11.close(writer)

    def stop(self):
        self.server.close()
        self.reset()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        out = None
        try:
            from_server, out = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(out)
            ways = [asyncio.ensure_future(self._pass(reader, out, DEAF)),
                    asyncio.ensure_future(self._pass(from_server, writer, MUTE))]
            done, _ = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            if any(it.exception() for it in done):
                http11.reset(writer)
                http11.reset(out)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for it in (writer, out):
                if it:
                    self.writers.discard(it)
                    http11.close(it)

    async def _pass(self, reader, writer, blocking_state):
        while block := await reader.read(BLOCK_BYTES):
            while self.state in (SILENT, blocking_state):
                await asyncio.sleep(0.02)
            if self.state == SLOW:
                await asyncio.sleep(SLOW_DELAY_SECONDS)
            writer.write(block)
            await writer.drain()
        # The last block must arrive before the connection to the receiver is closed.
        await asyncio.sleep(0.01)
