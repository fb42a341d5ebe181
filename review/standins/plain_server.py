"""A stand-in for a server of a plain service. It runs a request when it gets one, echoes its id and signs its answer.
A request without an id gets 400 and is not run."""

import asyncio

import http11

WORK_SECONDS = 0.015


class PlainServer:
    models = {}

    def __init__(self, deployment, number, service, zone):
        self.deployment, self.id, self.service, self.zone = deployment, f"i-{number}", service, zone
        self.runs = []          # Ids of requests, in the order in which they were run.
        self.doubles = False    # Whether the server also sends a second answer, late (garble, "extra late").
        self.answered = self.doubled = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        return self

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def _connection(self, reader, writer):
        second = b""  # The second answer, which arrives where the next answer is expected.
        try:
            while True:
                request = await http11.read_message(reader)
                if second:
                    self.deployment.record(f"{self.id} sends its answer of before a second time, late")
                    writer.write(second)
                    await writer.drain()
                    second = b""
                answer, is_doubled = self._answer(request)
                await asyncio.sleep(WORK_SECONDS)
                writer.write(answer)
                await writer.drain()
                self.answered += 1
                if is_doubled and self.doubles:
                    second = answer
                    self.doubled += 1
        except (http11.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            http11.close(writer)

    def _answer(self, request):
        expected = request.header("x-daisytack-expected-instance")
        request_id = request.header("x-daisytack-request-id")
        echo = {"X-Daisytack-Request-Id": request_id} if request_id else {}
        if expected and expected != self.id:
            return http11.response(421, {**echo, "X-Daisytack-Not-Executed": "1"}), False
        if not request_id:
            self.deployment.record(f"{self.id} gets a request without an id: 400, not executed")
            return http11.response(400, {"X-Daisytack-Not-Executed": "1"}), True
        self.deployment.record(f"{self.id} runs request {request_id}")
        self.runs.append(request_id)
        signature = f"{self.id}.{len(self.runs)}"
        head = {**echo, "X-Daisytack-Server-Signature": signature}
        return http11.response(200, head, b"done " + signature.encode()), False
