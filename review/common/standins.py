"""Stand-ins for the users' platform, runners, clients and operator, as their pages describe them, and the processes under test.

Only the standard library of Python is used. Every address is in one subnet of the loopback network.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import traceback

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target/src/hemlockhill/hemlockhill"
TEMPLATE = REPOSITORY / "deploy/settings.json.in"
FRONTEND, READY, CONTROL, INTERNAL, LIST, RUNNER = 8149, 8141, 8144, 7380, 8142, 8501
ZONES = ("np-central-a", "np-central-b", "np-central-c")
HOST = "ficu95.example"
# The figures of the small site hrw-registers.
CONTACT_S, DRAIN_MS, GRACE_S, MAX_LAG_S, LIST_RATE, CONFIG_APPLY_S = 3.0, 3000, 8, 0.8, 42.0, 2.0
START_S = 25


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, *words):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words):
        self.note(*words)
        print(*words, flush=True)


# ---- HTTP ----


@dataclasses.dataclass
class Message:
    first: list
    headers: dict
    body: bytes = b""

    def get(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("broken off in a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionResetError("broken off between chunks")
    size = int(line.strip(), 16)
    data = await reader.readexactly(size + 2)
    return data[:size]


async def read_body(reader, message):
    if message.get("Transfer-Encoding").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def head_text(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode()


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(host, port, method, path, headers=None, body=b"", timeout_s=1.0):
    """One request over a new channel."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            sent = {"Host": host, "Content-Length": len(body), "Connection": "close"} | (headers or {})
            writer.write(head_text(f"{method} {path} HTTP/1.1", sent) + body)
            answer = await read_head(reader)
            if answer is None:
                raise ConnectionResetError("closed before an answer")
            return await read_body(reader, answer)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


# ---- The processes under test ----


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells: values, values as JSON, and sections."""

    def look_up(name):
        value = fields
        for key in name.split("."):
            if isinstance(value, list) and key.isdigit():
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1])
        return match[2] if value is not None and value is not False else ""

    def placeholder(match):
        name, _, form = match[1].partition("|")
        value = look_up(name)
        if form == "json":
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else "" if value is None else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^#/}][^}]*)\}\}", placeholder, text)


class Node:
    """One machine: a process of the role that the deploy file runs there."""

    def __init__(self, world, name, ip, zone, is_core):
        self.world, self.name, self.ip, self.zone, self.is_core = world, name, ip, zone, is_core
        self.data = world.folder / f"{name}-data" if is_core else None
        self.settings = world.folder / f"{name}.json"
        self.log = world.folder / f"{name}.log"
        self.bootstrap = True
        self.process = None
        self.watcher = None
        self.may_end = False
        # The last time at which something disturbed the machine, for the rules that hold only in touch.
        self.disturbed_at = time.monotonic()

    def fields(self):
        listen = {"control_plane": f"{self.ip}:{CONTROL}"} if self.is_core else {
            "frontend_address": f"{self.ip}:{FRONTEND}", "ready_address": f"{self.ip}:{READY}"}
        return {
            "node_name": self.name, "ip": self.ip, "zone": self.zone, "region": "np-central", "listen": listen,
            "internal_ports": [INTERNAL, INTERNAL + 15], "seed_nodes": [f"{ip}:{CONTROL}" for ip in self.world.seeds],
            "bootstrap": self.bootstrap, "limits": {"link_mbps": 1000.0}, "data_dir": str(self.data) if self.data else None,
            "cloud": {"address": f"{self.world.list.ip}:{LIST}"}, "fault_tolerance": {"machines": 1},
            "bounds": {"drain_ms": DRAIN_MS, "grace_s": GRACE_S},
        }

    async def start(self):
        if self.data:
            self.data.mkdir(exist_ok=True)
        self.settings.write_text(render(TEMPLATE.read_text(), self.fields()))
        self.bootstrap = False
        self.may_end = False
        self.disturbed_at = time.monotonic()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "gateway", stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=REPOSITORY,
                env=environment | {"HEMLOCKHILL_SETTINGS": str(self.settings)})
        self.world.record.note("start", self.name, "pid", self.process.pid)
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if process is self.process and not self.may_end:
            self.world.own_ends.append((self.name, code))
            self.world.record.say("process ended by itself:", self.name, "code", code)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.disturbed_at = time.monotonic()
        self.world.record.note("signal", signal.Signals(number).name, self.name)
        if self.running():
            self.process.send_signal(number)

    async def kill(self):
        self.may_end = True
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """SIGTERM, and SIGKILL after grace_s, as the infrastructure does."""
        self.may_end = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            await self.kill()
        self.disturbed_at = time.monotonic()

    async def is_ready(self):
        try:
            return (await call(self.ip, READY, "GET", "/api/readyz")).status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


# ---- The platform's list ----


class InstanceList:
    """GET /instances. Shows the instances as they were a lag ago."""

    def __init__(self, world, ip, lag_s):
        self.world, self.ip, self.lag_s = world, ip, lag_s
        # The entries of each runner with the times from which on they hold; None for an absent one.
        self.history = {}
        self.calls = []

    def put(self, key, entry, after_s=0.0):
        self.history.setdefault(key, []).append((time.monotonic() + after_s, entry))

    def entries(self):
        then = time.monotonic() - self.lag_s
        shown = []
        for changes in self.history.values():
            entry = None
            for since, value in changes:
                if since <= then:
                    entry = value
            if entry is not None:
                shown.append(entry)
        return shown

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, LIST)

    async def serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                now = time.monotonic()
                self.calls = [at for at in self.calls if at > now - 1] + [now]
                is_over = len(self.calls) > LIST_RATE
                body = b"{}" if is_over else json.dumps({"instances": self.entries(), "next": None}).encode()
                headers = {"Content-Type": "application/json", "Content-Length": len(body)}
                writer.write(head_text("HTTP/1.1 429 Over" if is_over else "HTTP/1.1 200 OK", headers) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


# ---- Runners ----


class Runner:
    """A runner of a service. Subclasses define how a request runs."""

    def __init__(self, world, service, ip, zone, slots, models=()):
        self.world, self.service, self.ip, self.zone, self.slots = world, service, ip, zone, slots
        self.models = tuple(models)
        self.held = set(models)
        self.version = "v1"
        self.key = ip
        self.server = None
        self.writers = set()
        self.active = 0
        self.sequence = 0
        self.listed = "ready"
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)

    @property
    def address(self):
        return f"{self.ip}:{RUNNER}"

    def model_list(self):
        return [{"name": model, "version": 1, "adapters": []} for model in sorted(self.held)]

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.listed, "cold_remaining_ms": 0, "phase": "combined", "models": self.model_list(), "id": self.id,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, RUNNER)
        self.world.list.put(self.key, self.entry())

    def is_up(self):
        return self.server is not None

    async def crash(self, down_s, same_id, keeps_models=True):
        """Ends the runner; it is back after down_s as a new lifetime. A crashed runner stays on the list until then."""
        if not self.is_up():
            return
        self.server.close()
        self.server = None
        self.world.record.note("crash of", self.id, "born", self.born)
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(down_s)
        if not same_id:
            self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.active = 0
        self.held = set(self.models) if keeps_models else set()
        await self.start()
        self.world.record.note("runner", self.id, "is back, born", self.born)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, status, headers, body=b""):
        writer.write(head_text(f"HTTP/1.1 {status} Runner", headers | {"Content-Length": len(body)}) + body)
        await writer.drain()

    def report(self):
        return {"phase": "combined", "models": self.model_list(), "busy": False, "sequence": self.sequence, "queued": 0,
                "active": self.active, "kv_used": 0, "kv_total": 156371, "handles": 0, "born": self.born, "state": self.listed,
                "pending": [], "residency": {"in_memory": list(self.models), "on_disk": list(self.models)}}

    async def answer(self, request, writer):
        """Answers one request. Returns whether the channel stays open."""
        method, path = request.first[0], request.first[1]
        not_run = {"X-Not-Executed": "1"}
        expected = request.get("X-Expect-Instance")
        if path == "/healthz":
            await self.send(writer, 200, {"X-Instance-Id": self.id})
            return True
        if expected and expected != self.id:
            await self.send(writer, 421, not_run | {"X-Attempt-Id": request.get("X-Attempt-Id")})
            return True
        if path == "/api/report":
            await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode())
            return True
        if path == "/api/order":
            await self.on_order(json.loads(request.body), writer)
            return True
        attempt = request.get("X-Attempt-Id")
        headers = {"X-Attempt-Id": attempt}
        if not attempt:
            await self.send(writer, 400, not_run)
            return True
        model = request.get("X-Model").partition("/")[0]
        if model and model not in self.held:
            await self.send(writer, 421, headers | not_run)
            return True
        if self.active >= self.slots:
            await self.send(writer, 503, headers | not_run)
            return True
        self.active += 1
        born = self.born
        try:
            self.world.on_run(self, request)
            return await self.run(request, writer, headers | {"X-Server-Stamp": f"{self.id}.{self.born}.{attempt}"})
        finally:
            if self.born == born:
                self.active -= 1

    async def on_order(self, order, writer):
        if "precondition" in order and order["precondition"] != self.sequence:
            await self.send(writer, 409, {})
        elif order["operation"] == "load" and order["model"] in self.held:
            await self.send(writer, 200, {})
        else:
            # Runners of these cases hold what they need from the start, with room for nothing else to be asked for.
            self.sequence += 1
            (self.held.add if order["operation"] == "load" else self.held.discard)(order["model"])
            await self.send(writer, 202, {})

    async def run(self, request, writer, headers):
        raise NotImplementedError


def body_of(attempt):
    return (f"answer to {attempt} " * 30).encode()


class AppRunner(Runner):
    """A runner of a plain service, with 60 ms of work for each request."""

    work_s = 0.06

    async def run(self, request, writer, headers):
        await asyncio.sleep(self.work_s * random.uniform(0.6, 1.4))
        await self.send(writer, 200, headers, body_of(request.get("X-Attempt-Id")))
        return True


def event_of(subject, number, version):
    return f"id: {number}\ndata: {subject} {number} {version}\n\n"


class StreamRunner(Runner):
    """A model runner: a prompt is read in prefill_s, then come events."""

    prefill_s, event_s, events = 0.08, 0.03, 57

    async def run(self, request, writer, headers):
        await asyncio.sleep(self.prefill_s)
        if await self.world.before_writing(self, request):
            return False
        begin = int(request.get("Last-Event-Id") or 0)
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "X-Weight-Versions": "1"}
        writer.write(head_text("HTTP/1.1 200 Runner", headers))
        subject = request.first[1]
        for number in range(begin + 1, self.events + 1):
            event = event_of(subject, number, self.version).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---- The whole installation ----


class World:
    """Three core machines and some frontends before stand-ins. Use as an asynchronous context manager."""

    def __init__(self, case_folder, entries=7, lag_s=MAX_LAG_S):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hemlockhill-review-"))
        self.net = self.free_net()
        self.list = InstanceList(self, f"{self.net}.200", lag_s)
        self.seeds = [f"{self.net}.{10 + number}" for number in range(3)]
        self.core = [Node(self, f"core-{number}", ip, ZONES[number], True) for number, ip in enumerate(self.seeds)]
        self.fronts = [Node(self, f"front-{number}", f"{self.net}.{50 + number}", ZONES[number % 3], False) for number in range(entries)]
        self.runners = []
        self.own_ends = []
        self.count = 0
        self.version = 0

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.SystemRandom().randrange(20, 250)}.{random.SystemRandom().randrange(1, 250)}"
            try:
                for port, host in ((CONTROL, 10), (FRONTEND, 50), (LIST, 200), (RUNNER, 100), (INTERNAL, 10)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add_runner(self, kind, service, slots, models=()):
        number = len(self.runners)
        runner = kind(self, service, f"{self.net}.{100 + number}", ZONES[number % 3], slots, models)
        self.runners.append(runner)
        return runner

    def on_run(self, runner, request):
        """A runner begins to run a request."""
        self.record.note("run", request.get("X-Attempt-Id"), "at", runner.id)

    async def before_writing(self, runner, request):
        """Called when a model runner begins to write an answer. Returns whether the runner has fallen."""
        return False

    def config(self):
        raise NotImplementedError

    async def __aenter__(self):
        try:
            return await self.begin()
        except BaseException:
            await self.__aexit__()
            raise

    async def begin(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.name} is not built in target/")
        await self.list.start()
        for runner in self.runners:
            await runner.start()
        for node in (*self.core, *self.fronts):
            await node.start()
        await self.change_config(START_S)
        end = time.monotonic() + START_S
        while not all(await asyncio.gather(*(node.is_ready() for node in self.fronts))):
            if time.monotonic() > end:
                raise CannotRun("the frontends did not become ready")
            await asyncio.sleep(0.1)
        self.record.note("all frontends are ready")
        return self

    async def __aexit__(self, *_):
        for node in (*self.core, *self.fronts):
            if node.running():
                await node.kill()
        if keep := os.environ.get("REVIEW_KEEP"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def send_config(self, method, body=b"", first=None):
        """One call of the operator, who follows a 307 twice. Returns None without a clear response."""
        host = first or random.choice(self.core).ip
        try:
            for _ in range(3):
                answer = await call(host, CONTROL, method, "/api/config", {"Content-Type": "application/json"}, body)
                if answer.status != 307:
                    return answer
                host = answer.get("Location").split("//")[1].split(":")[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return None

    async def change_config(self, patience_s=10):
        self.version += 1
        body = json.dumps({"version": self.version} | self.config()).encode()
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            answer = await self.send_config("PUT", body)
            if answer is not None and answer.status == 200:
                self.record.note("config", self.version, "acknowledged")
                return
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"config refused: {answer.status} {answer.body[:200]!r}")
            await asyncio.sleep(0.2)
        raise CannotRun("no config was acknowledged")

    def attempt_id(self):
        self.count += 1
        return f"{self.count:06x}{random.getrandbits(40):010x}"


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False}


def engine_service(name, models):
    engine = {"slots": 64, "kv_capacity": 156371, "kv_bytes": 327680, "link_mbps": 740000.0, "moves": False, "backups": False,
              "stride": 3, "max_count": 12, "models": models, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 1.4}
    return {"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False, "engine": engine}


def model(name, weights_mb=72700.0):
    return {"name": name, "weights_mb": weights_mb, "load_s": 8.6, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.6, "disk_s": 1.7}


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts=1, sticky=False, resumable=False, gap_ms=250):
    made = {"name": name, "host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 1, "service": service, "max_attempts": attempts, "sticky": sticky, "resumable": resumable}
    return made | ({"target_gap_ms": gap_ms} if kind == "streaming" else {})


async def ask(world, node, method, path, headers, body=b"", deadline_ms=1500):
    """One client attempt over a new channel. Returns (attempt id, answer or None)."""
    attempt = world.attempt_id()
    sent = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms} | headers
    answer = None
    world.record.note("sent", attempt, method, path, "to", node.name)
    try:
        answer = await call(node.ip, FRONTEND, method, path, sent, body, timeout_s=deadline_ms / 1000 + 0.3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    world.record.note("answered", attempt, "nothing" if answer is None else answer.status)
    return attempt, answer


def play(main):
    """Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:  # Whatever stops a case says nothing about the rule.
        traceback.print_exc()
        print("could not run:", type(error).__name__, error, flush=True)
        raise SystemExit(2) from error
    print("broken" if broken else "held", flush=True)
    raise SystemExit(1 if broken else 0)
