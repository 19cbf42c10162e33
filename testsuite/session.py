"""Runs a session of real processes on loopback and prints its transcript.

A test case is a folder with run.py, which uses this module and prints to standard output, and ref/out.txt, the expected output.
When a session closes, it kills each process that it started by its process id.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

BUILD = pathlib.Path(os.environ.get("HEMLOCKHILL_BUILD", pathlib.Path(__file__).resolve().parent.parent / "build/release"))
PROGRAM = BUILD / "src/hemlockhill/hemlockhill"
FAKES = BUILD / "src/fakes"
SLOW_DISK_PROGRAM = FAKES / "slow_disk_node"
HOST = "127.0.0.1"
TIMEOUT_S = 30
POLL_S = 0.02
# How much of the beginning and of the end of each log a failed session shows.
SHOWN_LOG_CHARACTERS = 4000
LISTEN_PORTS = range(10000, 32768)
PORTS_PER_BLOCK = 64
# Sockets that mark the blocks of ports of this process as taken, until it ends.
PORT_RESERVATIONS = []
AVAILABLE_PORTS = []


def reserve_port_block():
    """Reserves a block of ports for this process, so that sessions that run at the same time use different ones. A process that is killed
    and restarted finds its port unused."""
    while True:
        first = random.choice(LISTEN_PORTS[: -PORTS_PER_BLOCK : PORTS_PER_BLOCK])
        reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            reservation.bind(f"\0hemlockhill-session-ports-{first}")
        except OSError:
            reservation.close()
            continue
        PORT_RESERVATIONS.append(reservation)
        return list(range(first, first + PORTS_PER_BLOCK))


def free_port():
    """Returns a port that is currently unused. It lies below the kernel's ephemeral port range, so that an outgoing connection cannot take
    it before its process listens."""
    while True:
        if not AVAILABLE_PORTS:
            AVAILABLE_PORTS.extend(reserve_port_block())
        port = AVAILABLE_PORTS.pop()
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


def wait_until(condition, what, timeout_s=TIMEOUT_S):
    """Waits until condition() returns a true value and returns it. Fails the session with the description `what` on timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise SystemExit(f"timed out waiting for {what}")


class Process:
    """A process of the session. Its output is appended to a log file."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = log
        self.popen = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM, waits for a graceful stop and returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(TIMEOUT_S)

    def running(self):
        return self.popen.poll() is None


class Node(Process):
    """A Hemlockhill node, with its settings file and its caller and operator addresses."""

    def __init__(self, name, settings, folder, sync_delay=None):
        self.settings = settings
        self.callers = settings["callers"]["listen"]
        self.operators = settings["operators"]["listen"]
        self.file = folder / f"{name}.json"
        self.file.write_text(json.dumps(settings, indent=4))
        program = [SLOW_DISK_PROGRAM, "--sync-delay", sync_delay] if sync_delay else [PROGRAM, "serve"]
        super().__init__(name, [*program, "--settings", self.file], folder / f"{name}.log")

    def ready(self):
        try:
            return http_call(self.callers, "GET", "/readyz")[0] == 200
        except OSError:
            return False


def http_call(address, method, path, body=None, headers=None, timeout_s=TIMEOUT_S):
    """Performs one HTTP exchange and returns the status, headers and body of the response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


class Session:
    """The processes of a session, and the actions of operators and callers in it."""

    def __init__(self, log_folder=None):
        self.folder = pathlib.Path(log_folder or tempfile.mkdtemp(prefix="hemlockhill-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = []
        self.names = {}
        self.operations = 0
        # How much longer each sync to disk takes at the nodes that are started from now on, such as "400ms".
        self.sync_delay = None

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            self.show_logs()

    def show_logs(self):
        for process in self.processes:
            print(f"--- log of {process.name}", file=sys.stderr)
            text = process.log.read_text(errors="replace")
            is_long = len(text) > 2 * SHOWN_LOG_CHARACTERS
            shown = f"{text[:SHOWN_LOG_CHARACTERS]}\n...\n{text[-SHOWN_LOG_CHARACTERS:]}" if is_long else text
            print(shown, file=sys.stderr)

    def print(self, text):
        print(self.normalise(text), flush=True)

    def normalise(self, text):
        """Replaces the addresses of this run with the names of the processes that listen on them."""
        for address, name in self.names.items():
            text = text.replace(address, f"<{name}>")
        return text

    def address(self, name):
        address = f"{HOST}:{free_port()}"
        self.names[address] = name
        return address

    def track(self, process):
        self.processes.append(process)
        return process

    def settings(self, name, data_centre, data_folder=False):
        settings = {
            "cluster": "test-cluster",
            "vm": name,
            "data_centre": data_centre,
            "callers": {"listen": self.address(f"{name}.callers")},
            "operators": {"listen": self.address(f"{name}.operators")},
            "peers": {"listen": self.address(f"{name}.peers"), "others": []},
        }
        if data_folder:
            settings["data_folder"] = str(self.folder / f"{name}-data")
        return settings

    def region(self, vm_locations, controllers=3, **sections):
        """Starts one node for each entry of vm_locations (VM name to data centre); the first `controllers` nodes are controllers. Returns
        them when one of them leads. Keyword arguments update the settings section of the same name."""
        all_settings = [
            self.settings(name, data_centre, data_folder=index < controllers) for index, (name, data_centre) in enumerate(vm_locations.items())
        ]
        for settings in all_settings:
            for section, members in sections.items():
                settings.setdefault(section, {}).update(members)
            for other in all_settings:
                if other is not settings:
                    settings["peers"]["others"].append(
                        {
                            "vm": other["vm"],
                            "data_centre": other["data_centre"],
                            "address": other["peers"]["listen"],
                            "controller": "data_folder" in other,
                        }
                    )
        nodes = [self.start_node(settings) for settings in all_settings]
        leader_of(nodes[:controllers])
        return nodes

    def start_node(self, settings):
        node = self.track(Node(settings["vm"], settings, self.folder, self.sync_delay))
        wait_until(lambda: self.is_healthy(node) or not node.running(), f"{node.name} to listen")
        return node

    @staticmethod
    def is_healthy(node):
        try:
            return http_call(node.callers, "GET", "/healthz")[0] == 200
        except OSError:
            return False

    def engine(self, name, *options):
        address = self.address(name)
        process = self.track(Process(name, [FAKES / "fake_engine", "--listen", address, *options], self.folder / f"{name}.log"))
        process.address = address
        wait_until(lambda: self.listens(address), f"{name} to listen")
        return process

    def service(self, name, *options):
        address = self.address(name)
        process = self.track(Process(name, [FAKES / "fake_service", "--listen", address, *options], self.folder / f"{name}.log"))
        process.address = address
        wait_until(lambda: self.listens(address), f"{name} to listen")
        return process

    @staticmethod
    def listens(address):
        host, port = address.rsplit(":", 1)
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def ctl(self, node, *statements, as_json=False, quiet=False):
        """Runs ctl and, unless quiet, prints the statements and the output. Returns the exit code and the output."""
        flags = ["--json"] if as_json else []
        done = subprocess.run(
            [PROGRAM, "ctl", "--at", node.operators, *flags, *statements], capture_output=True, text=True, timeout=TIMEOUT_S * 2, check=False
        )
        if not quiet:
            for statement in statements:
                self.print(f"{node.name}> {statement}")
            self.print((done.stdout + done.stderr).rstrip())
            if done.returncode != 0:
                self.print(f"(exit code {done.returncode})")
        return done.returncode, done.stdout + done.stderr

    def send_until_accepted(self, node, statement):
        """Resends a command until it is accepted, and prints it with its answer. Adds an operation id if it has none, so that the command
        is idempotent."""
        command = statement if " operation " in statement else f"{statement} operation auto-{len(self.names)}-{self.next_operation()}"

        def attempt():
            code, answer = self.ctl(node, command, quiet=True)
            return answer.strip() if code == 0 else None

        answer = wait_until(attempt, f"'{statement}' to be accepted")
        self.print(f"{node.name}> {statement}")
        self.print(answer)

    def next_operation(self):
        self.operations += 1
        return self.operations

    def script(self, node, statements):
        """Sends many statements through one ctl process. Resends the whole script when a change of leader stops it; the operation ids
        make this idempotent."""
        prefix = f"script-{self.next_operation()}"
        command = [PROGRAM, "ctl", "--at", node.operators, "--operation", prefix]

        def attempt():
            done = subprocess.run(command, input="\n".join(statements), capture_output=True, text=True, check=False)
            if done.returncode != 0 and "no_quorum" not in done.stderr:
                raise SystemExit(f"script refused: {done.stderr}")
            return done.returncode == 0

        wait_until(attempt, "a script to be accepted", TIMEOUT_S * 4)

    @staticmethod
    def metric(node, line_start):
        """Returns the value of the first metric whose line starts with line_start, or 0."""
        for line in http_call(node.operators, "GET", "/metrics")[2].splitlines():
            if line.startswith(line_start):
                return float(line.rsplit(" ", 1)[1])
        return 0

    def event_count(self, node, name):
        """Returns the number of times the node has counted an event."""
        return self.metric(node, f'hemlockhill_events_total{{event="{name}"}}')

    def revision(self, node):
        return int(self.metric(node, 'hemlockhill_state{name="revision"}'))

    def voters(self, node):
        return int(self.metric(node, 'hemlockhill_state{name="voters"}'))

    def chat(self, node, model, prompt, max_tokens=5, stream=True, headers=None):
        """Sends a chat request. Returns the status, the text of the answer and whether the answer was complete; for a refusal, the status,
        the refusal as a dictionary and False."""
        body = json.dumps(
            {"model": model, "stream": stream, "max_tokens": max_tokens, "messages": [{"role": "user", "content": prompt}]}
        )
        status, _, text = http_call(node.callers, "POST", "/v1/chat/completions", body, headers)
        if status != 200:
            return status, json.loads(text), False
        if not stream:
            return status, json.loads(text)["choices"][0]["message"]["content"], True
        return status, *read_stream(text)


def leader_of(nodes):
    """Waits until one of the running nodes is the leader and returns it."""

    def leading():
        for node in nodes:
            if not node.running():
                continue
            if Session.metric(node, 'hemlockhill_state{name="leads"}') == 1:
                return node
        return None

    return wait_until(leading, "a leading controller")


def read_stream(text):
    """Returns the text of a streamed chat answer, and whether its end marker arrived."""
    parts = []
    whole = False
    for event in text.split("\n\n"):
        lines = event.split("\n")
        data = "".join(line[5:].strip() for line in lines if line.startswith("data:"))
        if any(line.startswith("event: error") for line in lines):
            parts.append(f"<error {json.loads(data)['reason']}>")
        elif data == "[DONE]":
            whole = True
        elif data:
            parts.append(json.loads(data)["choices"][0]["delta"].get("content", ""))
    return "".join(parts), whole
