"""Bad input is refused with a specific problem and doesn't affect other requests."""

import json
import socket

from cases import check, check_whole, run_cases, start_long_stream
from deployment import problem_of
from fleet import HOST, request


def send_raw(entry, data, end_sending=False):
    """Sends the bytes; returns all that the entry answers until it closes the connection."""
    with socket.create_connection((HOST, entry.work), timeout=60) as connection:
        connection.sendall(data)
        if end_sending:
            connection.shutdown(socket.SHUT_WR)
        answer = b""
        while part := connection.recv(65536):
            answer += part
    return answer.decode()


def check_refused(d, kind, body, headers=None, path="/v1/completions"):
    answer = request(d.entries[0].work, "POST", path, body, headers or d.headers())
    problem_of(answer, kind, "not_run")


def bad_input_during_stream(d):
    """Sends every kind of bad input during a stream, which must not be affected."""
    good = {"model": "m", "prompt": "p"}
    entry = d.entries[0]
    stream = start_long_stream(d, "beside bad input")
    check_refused(d, "bad_request", "{no json")
    check_refused(d, "bad_request", "[" * 100000)
    check_refused(d, "bad_request", {"model": "m", "prompt": 7})
    check_refused(d, "bad_request", {"model": "m", "prompt": "p", "max_tokens": -1})
    check_refused(d, "bad_request", good, d.headers(X_Daisytack_Deadline_Ms="soon"))
    check_refused(d, "unknown_model", {"model": "nobody", "prompt": "p"})
    check_refused(d, "unknown_class", good, d.headers(X_Daisytack_Class="nobody"))
    check_refused(d, "unauthenticated", good, d.headers("nobody"))
    check_refused(d, "unauthenticated", good, {"Content-Type": "application/json"})
    check_refused(d, "unknown_service", {}, path="/services/nobody/x")
    check_refused(d, "not_found", good, path="/v1/nothing")
    huge = send_raw(entry, b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n")
    check('"body_too_large"' in huge, f"huge body: {huge}")
    wide = send_raw(entry, b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"h" * 100000 + b"\r\n\r\n")
    check('"header_too_large"' in wide, f"wide header: {wide[:200]}")
    slow = send_raw(entry, b"GET /v1/comp")
    check('"request_timeout"' in slow, f"slow header: {slow}")
    half = send_raw(entry, b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", end_sending=True)
    check('"bad_request"' in half, f"half a body: {half}")
    garbage = send_raw(entry, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n")
    check('"bad_request"' in garbage, f"garbage: {garbage}")
    check_whole(stream.rest(), "beside bad input")


def openai_answer_fields(d):
    """Answers to completions, chats and streams have the fields that common clients read."""
    answer = d.complete("shape").json()
    check(answer["object"] == "text_completion" and answer["choices"][0]["finish_reason"], f"completion: {answer}")
    check(answer["usage"]["prompt_tokens"] > 0 and answer["usage"]["completion_tokens"] == 16, f"usage: {answer}")
    body = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 4}
    chat = request(d.entries[0].work, "POST", "/v1/chat/completions", body, d.headers()).json()
    check(chat["object"] == "chat.completion", f"chat: {chat}")
    check(chat["choices"][0]["message"]["role"] == "assistant", f"chat: {chat}")
    check(chat["choices"][0]["message"]["content"], f"chat: {chat}")
    events = d.stream("shape").rest()
    usage = json.loads(events[-2]["data"])["usage"]
    check({"prompt_tokens", "completion_tokens", "prompt_tokens_details", "first_token_us"} <= set(usage), f"{usage}")


def peer_port_rejects_garbage(d):
    """Bytes that aren't a frame close their connection and have no other effect."""
    for port in (d.agents[0].work, d.agents[0].peer, d.entries[0].peer):
        with socket.create_connection((HOST, port), timeout=60) as connection:
            connection.sendall(b"\xff" * 4096)
            try:
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(4096):
                    pass
            except OSError:
                pass
    check(d.complete("after garbage").status == 200, "a prompt after garbage")


run_cases(bad_input_during_stream, openai_answer_fields, peer_port_rejects_garbage, services=0, agents=1, entries=1,
          settings={"entry": {"callers": {"read_timeout": "1s"}}})
