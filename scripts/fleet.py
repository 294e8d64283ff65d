"""Processes, ports and HTTP requests of the demo and the benchmarks. Timeouts are in seconds. Uses
the standard library only."""

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
    """A program is missing, ended unexpectedly or did not answer as expected."""


def find_program(build, name):
    """Returns the path of a built program; raises FleetError if the program does not exist."""
    for folder, _, files in os.walk(os.path.join(build, "src")):
        path = os.path.join(folder, name)
        if name in files and os.access(path, os.X_OK):
            return path
    raise FleetError(f"program {name} not found under {build}/src")


class Ports:
    """Allocates loopback ports from one block of BLOCK_SIZE ports and skips those in use. The block
    starts at the given base or, if another run uses that block, at a later one. The first port of
    the block stays bound to reserve the block, so that concurrent runs use different blocks."""

    BLOCK_SIZE = 200

    def __init__(self, base):
        self._reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        while True:
            try:
                self._reservation.bind((LOOPBACK, base))
                break
            except OSError:
                base += self.BLOCK_SIZE
                if base > 65535 - self.BLOCK_SIZE:
                    raise FleetError("no free block of ports left") from None
        self._next_port = base + 1
        self._end_port = base + self.BLOCK_SIZE

    def take(self):
        """Returns "127.0.0.1:port" of a port that is free for TCP and UDP."""
        while self._next_port < self._end_port:
            port = self._next_port
            self._next_port += 1
            if self._is_free(port):
                return f"{LOOPBACK}:{port}"
        raise FleetError("no free port left in the block")

    @staticmethod
    def _is_free(port):
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, socket_type) as test_socket:
                try:
                    test_socket.bind((LOOPBACK, port))
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
            # The process has a session of its own, so that Ctrl-C interrupts the script alone. The
            # script then stops all processes in order.
            self.process = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT,
                                            stdin=subprocess.DEVNULL, start_new_session=True)

    def is_running(self):
        return self.process.poll() is None

    def terminate(self):
        if self.is_running():
            self.process.send_signal(signal.SIGTERM)

    def wait(self, timeout):
        """Returns the exit status. Kills a process that has not ended within the timeout and
        returns None."""
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
    """All processes of one run, with their log files in the work folder. Stops only processes that
    it started."""

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
        """Raises FleetError if a program has ended without being stopped by the script."""
        for program in self.programs:
            if not program.is_running():
                raise FleetError(f"{program.name} ended unexpectedly: {program.log_tail(1)}")

    def stop(self, program, timeout=STOP_TIMEOUT_S):
        program.terminate()
        status = program.wait(timeout)
        if program in self.programs:
            self.programs.remove(program)
        return status

    def stop_all(self):
        """Stops all processes in reverse order of their start. Returns the names of those that
        had to be killed because they did not end within STOP_TIMEOUT_S."""
        killed = []
        for program in reversed(self.programs):
            program.terminate()
        for program in reversed(self.programs):
            if program.wait(STOP_TIMEOUT_S) is None:
                killed.append(program.name)
        self.programs = []
        return killed

    def write_file(self, name, text):
        """Writes a file in the work folder and returns its path."""
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path


def http_get(address, target, timeout=2.0):
    """Returns the body of a response with status 200, otherwise None."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request("GET", target)
        response = connection.getresponse()
        body = response.read()
        return body if response.status == 200 else None
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def http_json(address, target, timeout=5.0):
    """Returns the parsed JSON of a response with status 200; raises FleetError otherwise."""
    body = http_get(address, target, timeout)
    if body is None:
        raise FleetError(f"no answer from {address}{target}")
    return json.loads(body)


def http_post_json(address, target, value, timeout=5.0):
    """Posts a JSON value; raises FleetError unless the response has status 200."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request("POST", target, json.dumps(value))
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as failure:
        raise FleetError(f"no answer from {address}{target}: {failure}") from failure
    finally:
        connection.close()
    if response.status != 200:
        raise FleetError(f"{address}{target} answered {response.status}: {body.decode()}")


def wait_until(condition, timeout, description, interval=0.05):
    """Polls the condition until it is true. Raises FleetError with the description of the condition
    after the timeout."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(interval)
    raise FleetError(f"{description}: not within {timeout} s")
