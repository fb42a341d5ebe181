"""Starts daisytack's processes on loopback and stops them by pid.

Used by scripts/demo, the numbered examples and tests/process. Each run locks a block of ports against other runs on the
machine. Every wait polls for a result with a timeout.
"""

import fcntl
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DAISYTACK_BUILD", ROOT / "build"))
HOST = "127.0.0.1"
FIRST_PORT = int(os.environ.get("DAISYTACK_BASE_PORT", "23000"))
BLOCK_PORTS = 50
BLOCKS = 140
WAIT_SECONDS = 60


class Failure(Exception):
    """A check failed or a wait timed out."""


def check(condition, text):
    """Raises Failure with the text if the condition is false."""
    if not condition:
        raise Failure(text)


def wait_for(what, probe, seconds=WAIT_SECONDS):
    """Polls until the probe returns a true value and returns it; raises Failure after the timeout."""
    end = time.monotonic() + seconds
    while True:
        try:
            found = probe()
        except (OSError, http.client.HTTPException, ValueError):
            found = None
        if found:
            return found
        if time.monotonic() > end:
            raise Failure(f"not within {seconds} s: {what}")
        time.sleep(0.02)


class Answer:
    """An HTTP response with its whole body."""

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = response.read().decode(errors="replace")

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout=WAIT_SECONDS):
    """Sends an HTTP request; returns the whole answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body if isinstance(body, (str, bytes, type(None))) else json.dumps(body),
                           headers or {})
        return Answer(connection.getresponse())
    finally:
        connection.close()


class Stream:
    """An answer with server-sent events, read one by one."""

    def __init__(self, port, path, body, headers=None, timeout=WAIT_SECONDS):
        self.connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        self.connection.request("POST", path, json.dumps(body), headers or {})
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.headers = self.response.headers
        self.events = []

    def next(self):
        """Returns the next event as a dict of its fields, or None at the end or after a connection failure."""
        event = {}
        while True:
            try:
                line = self.response.readline()
            except (OSError, http.client.HTTPException):
                return None
            if not line:
                return None
            line = line.decode().rstrip("\r\n")
            if not line and event:
                self.events.append(event)
                return event
            name, _, value = line.partition(":")
            if name:
                event[name] = value.removeprefix(" ")

    def rest(self):
        """Reads the stream to its end; returns all events read so far."""
        while self.next():
            pass
        return self.events

    def close(self):
        self.connection.close()


class Fleet:
    """The processes of one run. Leaving the context stops them all."""

    def __init__(self, build=BUILD):
        self.build = build
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="daisytack-"))
        self.processes = {}
        self.lock = None
        self.base, self.used = self._lock_port_block(), 0

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        if kind:
            self.show_logs()
        self.stop()

    def _lock_port_block(self):
        locks = pathlib.Path(tempfile.gettempdir()) / "daisytack-ports"
        locks.mkdir(exist_ok=True)
        for block in range(BLOCKS):
            first = FIRST_PORT + block * BLOCK_PORTS
            self.lock = open(locks / str(first), "w")
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                self.lock.close()
                continue
            if all(self._is_free(port) for port in range(first, first + BLOCK_PORTS)):
                return first
            self.lock.close()
        raise Failure("no free block of ports")

    @staticmethod
    def _is_free(port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
        return True

    def port(self):
        """Returns an unused port from the block of this run."""
        self.used += 1
        check(self.used <= BLOCK_PORTS, "too many ports for one run")
        return self.base + self.used - 1

    def write(self, name, text):
        """Writes a file into the directory of this run; returns its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def start(self, name, program, *arguments):
        """Starts a program of the build directory."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(self.build / program), *arguments], stdout=log, stderr=log,
                                                    stdin=subprocess.DEVNULL)

    def start_standin(self, mode, name, *arguments):
        """Starts a stand-in and waits until it serves; returns its port."""
        port = self.port()
        self.start(name, "daisytack-standin", mode, f"--listen={HOST}:{port}", f"--name={name}", *arguments)
        self.wait_up(name, port, "/standin/stats")
        return port

    def check_runs(self, name):
        """Raises Failure if the process has ended."""
        code = self.processes[name].poll()
        check(code is None, f"{name} ended with {code}")

    def wait_up(self, name, port, path):
        """Waits until the process answers the path with 200."""
        def probe():
            self.check_runs(name)
            return request(port, "GET", path, timeout=5).status == 200
        wait_for(f"{name} answers {path}", probe)

    def wait_listens(self, name, port):
        """Waits until the process accepts connections."""
        def probe():
            self.check_runs(name)
            socket.create_connection((HOST, port), timeout=5).close()
            return True
        wait_for(f"{name} listens", probe)

    def signal(self, name, number):
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kills one process with SIGKILL."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name, seconds=WAIT_SECONDS):
        """Sends SIGTERM to one process and waits for its end; returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=seconds)

    def stop(self):
        """Stops all processes: SIGTERM first, SIGKILL after a timeout."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name, process in self.processes.items():
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
        if self.lock:
            self.lock.close()

    def show_logs(self):
        """Prints the last lines of each log file."""
        for log in sorted(self.directory.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()[-15:]
            print(f"--- {log.name}", *lines, sep="\n")


def set_faults(port, **switches):
    """Sets fault switches of a stand-in; returns all its switches."""
    answer = request(port, "POST", "/standin/faults", switches)
    check(answer.status == 200, f"switches {switches}: {answer.body}")
    return answer.json()


def stats(port):
    """Returns the counters of a stand-in."""
    return request(port, "GET", "/standin/stats").json()


def numbers_in(text):
    """Returns all integers in a text."""
    return [int(found) for found in re.findall(r"\d+", text)]
