"""Processes, ports and HTTP calls of the demo and the benchmarks. Standard library only."""

import http.client
import json
import os
import signal
import socket
import subprocess
import time

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 15


class FleetError(Exception):
    """A program did not start, stop or answer as needed."""


def find_program(build, name):
    """Path of a built program."""
    for folder, _, files in os.walk(os.path.join(build, "src")):
        path = os.path.join(folder, name)
        if name in files and os.access(path, os.X_OK):
            return path
    raise FleetError(f"program {name} not found under {build}/src")


class Ports:
    """Hands out loopback ports of one block, from a fixed base upwards, and leaves out those in
    use. The first port of the block stays bound as a claim, so that two runs at the same time use
    different blocks."""

    BLOCK = 200

    def __init__(self, base):
        self._claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        while True:
            try:
                self._claim.bind((LOOPBACK, base))
                break
            except OSError:
                base += self.BLOCK
                if base > 65535 - self.BLOCK:
                    raise FleetError("no free block of ports left") from None
        self._next = base + 1
        self._end = base + self.BLOCK

    def take(self):
        """Returns "127.0.0.1:port" of a port that is free for TCP and UDP."""
        while self._next < self._end:
            port = self._next
            self._next += 1
            if self._is_free(port):
                return f"{LOOPBACK}:{port}"
        raise FleetError("no free port left in the block")

    @staticmethod
    def _is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    return False
        return True


class Program:
    """A started process whose output goes to a log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        with open(log_path, "ab") as log:
            # Its own session, so that Ctrl-C reaches the script alone, which then stops all in
            # order.
            self.process = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT,
                                            stdin=subprocess.DEVNULL, start_new_session=True)

    def running(self):
        return self.process.poll() is None

    def terminate(self):
        if self.running():
            self.process.send_signal(signal.SIGTERM)

    def wait(self, timeout):
        """Returns the exit status, or None when the process had to be killed."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None

    def log_tail(self, lines=5):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return "".join(log.readlines()[-lines:])


class Fleet:
    """All processes of one run. Ends exactly those that it started."""

    def __init__(self, build, work_folder):
        self.build = build
        self.folder = work_folder
        self.programs = []
        os.makedirs(work_folder, exist_ok=True)
        for name in os.listdir(work_folder):
            if name.endswith(".log"):
                os.remove(os.path.join(work_folder, name))

    def start(self, name, program, *arguments):
        path = find_program(self.build, program)
        log_path = os.path.join(self.folder, f"{name}.log")
        started = Program(name, [path, *map(str, arguments)], log_path)
        self.programs.append(started)
        return started

    def check_running(self):
        """Raises FleetError when a program has ended that nobody stopped."""
        for program in self.programs:
            if not program.running():
                raise FleetError(f"{program.name} ended by itself: {program.log_tail(1)}")

    def stop(self, program, timeout=STOP_TIMEOUT_S):
        program.terminate()
        status = program.wait(timeout)
        if program in self.programs:
            self.programs.remove(program)
        return status

    def stop_all(self):
        """Stops all in reverse order of their start; returns names of killed processes."""
        killed = []
        for program in reversed(self.programs):
            program.terminate()
        for program in reversed(self.programs):
            if program.wait(STOP_TIMEOUT_S) is None:
                killed.append(program.name)
        self.programs = []
        return killed

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path


def http_get(address, target, timeout=2.0):
    """Body of a 200 answer, or None."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request("GET", target)
        answer = connection.getresponse()
        body = answer.read()
        return body if answer.status == 200 else None
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def http_json(address, target, timeout=5.0):
    """Parsed JSON of a 200 answer; raises FleetError otherwise."""
    body = http_get(address, target, timeout)
    if body is None:
        raise FleetError(f"no answer from {address}{target}")
    return json.loads(body)


def http_post_json(address, target, value, timeout=5.0):
    """Posts a JSON value; raises FleetError unless the answer is 200."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request("POST", target, json.dumps(value))
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as failure:
        raise FleetError(f"no answer from {address}{target}: {failure}") from failure
    finally:
        connection.close()
    if answer.status != 200:
        raise FleetError(f"{address}{target} answered {answer.status}: {body.decode()}")


def wait_until(condition, timeout, what, interval=0.05):
    """Polls condition until it holds; raises FleetError after timeout seconds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(interval)
    raise FleetError(f"{what}: not within {timeout} s")
