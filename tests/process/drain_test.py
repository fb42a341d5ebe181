"""A caller that reads slowly still gets its whole answer from an entry that is stopped with SIGTERM."""

import json
import socket
import threading
import time

from cases import answer_of, check, run_cases, wait_for
from deployment import default_objects
from fleet import HOST

TOKENS = 300000
SMALL_BUFFER = 4096


def slow_reader_of_whole_answer(d):
    entry, prompt = d.entries[0], "a long answer"
    body = json.dumps({"model": "m", "prompt": prompt, "max_tokens": TOKENS})
    finished = d.engine_stats("finished")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    caller.settimeout(60)
    caller.connect((HOST, entry.work))
    caller.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: {d.headers()['Authorization']}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    wait_for("the engine has finished", lambda: d.engine_stats("finished") > finished)
    got = caller.recv(1)
    codes = []
    ending = threading.Thread(target=lambda: codes.append(d.fleet.terminate(entry.name)))
    ending.start()
    time.sleep(2)  # By now the entry may have only the write of the answer left.
    while part := caller.recv(65536):
        got += part
    ending.join()
    answer = got.partition(b"\r\n\r\n")[2]
    check(answer.endswith(b"}"), f"cut off after {len(got)} bytes")
    check(json.loads(answer)["choices"][0]["text"] == answer_of(prompt, TOKENS), "another text")
    check(codes == [0], f"exit codes {codes}")


# Before its first answer an agent predicts a long run time for long answers, hence the long deadline.
long_deadline_objects = default_objects()
long_deadline_objects["class/default"]["deadline"] = "20h"
run_cases(slow_reader_of_whole_answer, services=0, agents=1, entries=1, stores=0, objects=long_deadline_objects,
          engine_flags=("--prefill_rate=0", "--decode_rate=0"),
          settings={"entry": {"requests": {"max_tokens": 1000000}},
                    "agent": {"agent": {"max_answer_bytes": "64M", "max_held_bytes": "256M"}}})
