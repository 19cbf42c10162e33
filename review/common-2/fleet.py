"""Stand-ins of the platform, runners, clients and operator, and the start of the project's own processes, for the scripts of this review.

Everything listens on addresses of one random loopback network. The processes are started with the command of deploy/system.toml and
settings with the keys of deploy/settings.json.in.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONTEND, READY, CONTROL, LIST, RUNNER = 8149, 8141, 8144, 8142, 8080
HOST = "clubs.example"
CASE_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


class Record:
    """The file record.txt of a case: what was sent, answered and run, and what the processes did."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")


class Message:
    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def path(self):
        return self.first.split(" ")[1]


async def read_message(reader, has_body=True):
    """Reads a request or an answer. Returns None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers)
    if not has_body:
        return message
    if message.header("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                break
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
    return message


def answer_text(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} Answer", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on one address."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        raise NotImplementedError


class Runner(Server):
    """A sound runner of a service. Where models are given, it holds them and carries out orders to load and unload others."""

    def __init__(self, fleet, number, service, slots=16, work_s=0.02, models=None):
        super().__init__(f"{fleet.net}.{100 + number}", RUNNER)
        self.fleet, self.service, self.slots, self.work_s = fleet, service, slots, work_s
        self.id = f"i-{number}-{random.getrandbits(24):06x}"
        self.born = int(time.time() * 1000)
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.models = models
        self.state = "ready"
        self.active = 0
        self.sequence = 0
        self.busy = False
        self.loads_s = 1.0
        self.runs = []

    def entry(self):
        entry = {
            "id": self.id,
            "born": self.born,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
        }
        if self.models is not None:
            entry |= {"phase": "combined", "models": self.held()}
        return entry

    def held(self):
        return [{"name": model, "version": 1, "adapters": sorted(adapters)} for model, adapters in sorted(self.models.items())]

    def report(self):
        return {
            "phase": "combined",
            "born": self.born,
            "models": self.held(),
            "busy": self.busy,
            "sequence": self.sequence,
            "queued": 0,
            "active": self.active,
            "kv_used": 0,
            "kv_total": 156371,
            "handles": 0,
            "pending": [],
            "residency": {"in_memory": sorted(self.models), "on_disk": sorted(self.models)},
            "state": self.state,
            "runs": [],
        }

    async def answer(self, request, writer):
        path = request.path
        if path == "/healthz":
            writer.write(answer_text(200, {"X-Instance-Id": self.id}))
        elif request.header("X-Expect-Instance", self.id) != self.id:
            writer.write(answer_text(421, {"X-Not-Executed": "1", "X-Attempt-Id": request.header("X-Attempt-Id")}))
        elif path == "/api/report" and self.models is not None:
            writer.write(answer_text(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode()))
        elif path == "/api/order" and self.models is not None:
            writer.write(answer_text(self.order(json.loads(request.body))))
        else:
            await self.handle(request, writer)

    def order(self, order):
        self.fleet.record(f"runner {self.id} is ordered {json.dumps(order)}")
        if self.busy or order.get("precondition", self.sequence) != self.sequence:
            return 409
        model, adapter = order["model"], order.get("adapter")
        self.sequence += 1
        if adapter:
            adapters = self.models.setdefault(model, set())
            (adapters.add if order["operation"] == "load" else adapters.discard)(adapter)
            return 202
        if order["operation"] == "unload":
            self.models.pop(model, None)
            return 202
        self.busy = True

        def done():
            self.busy = False
            self.models.setdefault(model, set())

        asyncio.get_running_loop().call_later(self.loads_s, done)
        return 202

    async def handle(self, request, writer):
        attempt = request.header("X-Attempt-Id")
        headers = {"X-Attempt-Id": attempt}
        if not attempt:
            writer.write(answer_text(400, {"X-Not-Executed": "1"}))
            return
        model = request.header("X-Model").partition("/")[0]
        if self.models is not None and model not in self.models:
            writer.write(answer_text(421, headers | {"X-Not-Executed": "1"}))
            return
        if self.active >= self.slots:
            writer.write(answer_text(503, headers | {"X-Not-Executed": "1"}))
            return
        self.active += 1
        try:
            self.runs.append((time.monotonic(), request))
            self.fleet.record(f"runner {self.id} runs {request.first[:80]} {attempt[:40]}")
            await asyncio.sleep(self.work_s)
            await self.respond(request, headers | {"X-Server-Stamp": f"{self.id}.{attempt[:40]}"}, writer)
        finally:
            self.active -= 1

    async def respond(self, request, headers, writer):
        writer.write(answer_text(200, headers, body_of(request.header("X-Attempt-Id"))))


def body_of(attempt):
    return (f"answer to {attempt[:40]} " * 20).encode()


class InstanceList(Server):
    def __init__(self, fleet):
        super().__init__(f"{fleet.net}.200", LIST)
        self.fleet = fleet

    def text(self):
        return json.dumps({"instances": [runner.entry() for runner in self.fleet.runners if runner.server], "next": None}).encode()

    async def answer(self, request, writer):
        writer.write(answer_text(200, {"Content-Type": "application/json"}, self.text()))


class Node:
    """One process of the project."""

    def __init__(self, fleet, name, ip, zone, is_core):
        self.fleet, self.name, self.ip, self.is_core = fleet, name, ip, is_core
        self.file = fleet.folder / f"{name}.json"
        self.log = fleet.folder / f"{name}.log"
        self.settings = {
            "node": name,
            "ip": ip,
            "region": "np-central",
            "data_centre": zone,
            "first_internal_port": 7380,
            "last_internal_port": 7395,
            "seeds": ",".join(f"{seed}:{CONTROL}" for seed in fleet.seeds),
            "first_start": True,
            "list": f"{fleet.net}.200:{LIST}",
            "controller_losses": 1,
            "link_megabits_per_second": "1000.0",
            "drain": "3000ms",
            "propagation": "2000ms",
            "memory_megabytes": "256" if is_core else "260",
            "descriptors": 4096 if is_core else 4100,
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine",
            "grace": "8s",
        }
        if is_core:
            data = fleet.folder / f"{name}-data"
            data.mkdir()
            self.settings |= {"control": f"{ip}:{CONTROL}", "data_folder": str(data)}
        else:
            self.settings |= {"callers": f"{ip}:{FRONTEND}", "readiness": f"{ip}:{READY}"}
        self.process = None
        self.ends = []
        self.stopping = False

    async def start(self):
        self.file.write_text(json.dumps(self.settings))
        if self.stopping:
            return
        role = "controller" if self.is_core else "entry"
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]["run"].split()
        environment = {"HEMLOCKHILL_SETTINGS": str(self.file), "PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder)}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self.fleet.record(f"{self.name} started as {self.ip}, process {self.process.pid}")
        self.settings["first_start"] = False
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if not self.stopping:
            self.ends.append(code)
            last = self.log.read_text(errors="replace").strip().splitlines()[-1:]
            self.fleet.record(f"{self.name} ended by itself with code {code}; its last words: {' '.join(last)[:300]}")
            if self.fleet.restart_delay_s is not None:
                await asyncio.sleep(self.fleet.restart_delay_s)
                await self.start()

    def running(self):
        return self.process is not None and self.process.returncode is None

    def resident_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) / 1024 * 1.048576 for line in status.splitlines() if line.startswith("VmRSS")), 0)

    async def kill(self):
        self.stopping = True
        if self.running():
            self.process.send_signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Fleet:
    """A small deployment."""

    def __init__(self, case, entries=2, core=3):
        self.case = pathlib.Path(case)
        self.record = Record(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record(f"trouble: {self.trouble}")
        self.net = f"127.{random.SystemRandom().randrange(20, 250)}.{random.SystemRandom().randrange(1, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hemlockhill-review-"))
        self.zones = [f"np-central-{letter}" for letter in "abc"]
        self.seeds = [f"{self.net}.{10 + number}" for number in range(3)]
        self.list = InstanceList(self)
        self.runners = []
        self.core = [Node(self, f"core-{n}", f"{self.net}.{10 + n}", self.zones[n % 3], True) for n in range(core)]
        self.entries = [Node(self, f"entry-{n}", f"{self.net}.{50 + n}", self.zones[n % 3], False) for n in range(entries)]
        self.version = 1
        self.routes, self.services = [], []
        self.attempts = 0
        # How long after its end the platform starts a process again; None if it doesn't.
        self.restart_delay_s = None

    @property
    def nodes(self):
        return self.core + self.entries

    def add_service(self, name, count, engine=None, **options):
        service = {"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": False}
        if engine:
            service["engine"] = engine
        self.services.append(service)
        for _ in range(count):
            self.runners.append(self.runner_type(self, len(self.runners), name, **options))

    runner_type = Runner

    def add_route(self, name, prefix, kind, service, **more):
        route = {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "type": kind,
            "timeout_ms": 1500,
            "target_latency_ms": 300,
            "priority": 1,
            "service": service,
            "max_attempts": 1 if kind == "unsafe" else 2,
            "sticky": False,
            "resumable": False,
            "target_gap_ms": 250,
        }
        self.routes.append(route | more)

    def config(self):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        return {"version": self.version, "routes": self.routes, "services": self.services, "limits": limits}

    async def start(self):
        await self.list.open()
        for runner in self.runners:
            await runner.open()
        for node in self.nodes:
            await node.start()
        await asyncio.wait_for(self.put_config(), 30)
        end = time.monotonic() + 20
        while not all([await self.is_ready(node) for node in self.entries]):
            if time.monotonic() > end:
                raise CannotRun("the entry nodes were not ready")
            await asyncio.sleep(0.1)
        self.record("all entry nodes are ready")

    async def put_config(self):
        """Sends the config as the operator does, until it is acknowledged."""
        body = json.dumps(self.config()).encode()
        while True:
            for node in random.sample(self.core, len(self.core)):
                ip = node.ip
                for _ in range(3):
                    answer = await self.call(ip, CONTROL, "PUT", "/api/config", body=body, timeout_s=3)
                    status = answer.status if answer else 0
                    if status == 307:
                        ip = answer.header("Location").split("//")[1].split(":")[0]
                        continue
                    break
                self.record(f"config {self.version} sent to {ip}: {status}")
                if status == 200:
                    return ip
                if 400 <= status < 500:
                    raise CannotRun(f"config refused: {answer.body[:300]}")
                await asyncio.sleep(0.3)

    async def leader(self):
        """The machine that answers a read of the config itself."""
        for node in self.core:
            answer = await self.call(node.ip, CONTROL, "GET", "/api/config", timeout_s=2)
            if answer and answer.status == 307:
                ip = answer.header("Location").split("//")[1].split(":")[0]
                return next(other for other in self.core if other.ip == ip)
            if answer and answer.status == 200:
                return node
        return None

    async def is_ready(self, node):
        answer = await self.call(node.ip, READY, "GET", "/api/readyz", timeout_s=1)
        return answer is not None and answer.status == 200

    async def call(self, ip, port, method, path, headers=None, body=b"", timeout_s=3):
        """Sends one request on a new channel. Returns None without an answer."""

        async def exchange():
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Host: {(headers or {}).get('Host', ip)}", "Connection: close"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
                if body or method in ("POST", "PUT"):
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
                return await read_message(reader)
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), timeout_s)
        except (OSError, TimeoutError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            return None

    def next_attempt(self):
        self.attempts += 1
        return f"{random.getrandbits(32):08x}{self.attempts:08x}"

    async def request(self, node, path, method="POST", body=b"body", headers=None, deadline_ms=1500):
        """One client attempt. Returns its answer, or None if the channel closed without one."""
        attempt = self.next_attempt()
        all_headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms} | (headers or {})
        answer = await self.call(node.ip, FRONTEND, method, path, all_headers, body, deadline_ms / 1000 + 0.5)
        self.record(f"client sent {method} {path} {attempt} to {node.name}: {answer.status if answer else 'no answer'}")
        return answer

    async def stop(self):
        self.restart_delay_s = None
        for node in self.nodes:
            node.stopping = True
        for node in self.nodes:
            await node.kill()
        if keep := os.environ.get("KEEP"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(fleet, case):
    """Plays a case: a coroutine that returns a list of what broke the rule. Ends with exit code 1, 0 or 2."""

    async def main():
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                await fleet.start()
                broken = await case(fleet)
            for fault in broken:
                fleet.record(f"BROKEN: {fault}")
                print(f"broken: {fault}")
            fleet.record("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError, OSError) as error:
            fleet.record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(main()))
