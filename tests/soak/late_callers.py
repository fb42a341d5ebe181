"""Callers that send requests to a stopping entry, on connections that were open before the stop."""

import asyncio
import random

import http11
from callers import Caller

CHAINERS_PER_ENTRY, SLOW_SENDERS_PER_ENTRY = 4, 4
PIECE_INTERVAL_SECONDS = 0.2
SLOW_HEAD_SECONDS = 2.5  # Below the configured header-timeout-ms.
SLOW_BODY_SECONDS = 6.0


class LateCaller(Caller):
    """Sends all requests to one entry; most of them are for long streams."""

    def __init__(self, name, rng, world, entry):
        super().__init__(name, rng, world)
        self.entry = entry

    async def run(self):
        while not self.world.is_over:
            try:
                await self._send_request(self.entry)
            except (http11.Broken, OSError, asyncio.TimeoutError):
                self._close_connection(self.entry)
                await asyncio.sleep(0.05)

    def _random_request(self):
        keys = [it for it in self.world.all_keys if it not in self.world.revoked]
        if self.world.varies_stops:
            return self._next_request(self.entry, self.rng.choice(self._kind_mix()), keys)
        return self._next_request(self.entry, "long" if self.rng.random() < 0.8 else "call", keys)


class Chainer(LateCaller):
    """Sends the next request as soon as an answer ends, or pipelines two requests."""

    async def _send_request(self, entry):
        reader, writer = await self._connection(entry)
        requests = [self._random_request() for _ in range(2 if self.rng.random() < 0.3 else 1)]
        writer.write(b"".join(self._request_head(it) + it.body for it in requests))
        await writer.drain()
        for sent in requests:
            # The entry reads a pipelined request only after the previous answer has ended.
            sent.at = sent.fully_sent_at = self.world.now()
            self.world.sent.append(sent)
            with self._recording_end(sent):
                await self._await_answer(sent, self._answer(sent, reader), sent.timeout + 3)
        if requests[-1].status != 200:
            await asyncio.sleep(0.1)


class SlowSender(LateCaller):
    """Sends the head or body of a request in small pieces over some seconds."""

    async def _send_request(self, entry):
        reader, writer = await self._connection(entry)
        sent = self._random_request()
        answer = asyncio.ensure_future(self._answer(sent, reader))
        try:
            with self._recording_end(sent):
                await self._send_slowly(writer, sent, answer)
                self.world.sent.append(sent)
                await self._await_answer(sent, answer, sent.timeout + 3)
        finally:
            answer.cancel()
            # A request that was never sent completely counts only if it was answered.
            if sent.status and not sent.fully_sent_at:
                self.world.sent.append(sent)

    async def _send_slowly(self, writer, sent, answer):
        head = self._request_head(sent)
        in_head = self.rng.random() < 0.3
        first = len(head) // 2 if in_head else len(head)
        pieces = int(self.rng.random() * (SLOW_HEAD_SECONDS if in_head else SLOW_BODY_SECONDS) / PIECE_INTERVAL_SECONDS)
        data = head + sent.body
        pieces = min(pieces, len(data) - first - 1)
        writer.write(data[:first])
        for n in range(first, first + pieces):
            await asyncio.wait([answer], timeout=PIECE_INTERVAL_SECONDS)
            if answer.done():
                answer.result()
            if answer.done() or self.world.is_over:
                raise http11.Broken("ended before it was whole")
            writer.write(data[n:n + 1])
        writer.write(data[first + pieces:])
        await writer.drain()
        sent.at = sent.fully_sent_at = self.world.now()


def late_callers(world):
    out = []
    for entry in world.entries:
        for kind, count in ((Chainer, CHAINERS_PER_ENTRY), (SlowSender, SLOW_SENDERS_PER_ENTRY)):
            for n in range(count):
                name = f"{kind.__name__}/{entry.name}/{n}"
                out.append(kind(name, random.Random(f"{world.seed}/{name}"), world, entry))
    return out
