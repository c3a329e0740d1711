"""Stand-ins for the platform on loopback, and the project's program as child processes.

`Store` and `Runner` speak the users' published protocol over HTTP/1.1. `Host` starts the command
of the deploy file with the settings of a small deployment. `Record` writes what was sent, answered
and run, and finds two concurrent runs of one task.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FIRST_PORT = 20_000
LAST_PORT = 31_000
# The bounds of a small deployment (its settings file).
BOUNDS = """[bounds]
retransmit-ms = 1300
max-hold-ms = 1000
stop-grace-ms = 50
grace-period-s = 6
drain-ms = 2000
remote-factor = 2
"""
MAX_HOLD_MS = 1_000
HEARTBEAT_S = 1.5
RETRANSMIT_S = 1.3
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


class CannotRun(Exception):
    """The case couldn't run; it says nothing about the rule."""


# Scripts that run side by side look for ports in different places.
_next_port = FIRST_PORT + os.getpid() % 100 * 100


def free_port():
    global _next_port
    for _ in range(LAST_PORT - FIRST_PORT):
        _next_port += 1
        if _next_port > LAST_PORT:
            _next_port = FIRST_PORT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", _next_port))
                return _next_port
            except OSError:
                continue
    raise CannotRun("no free port")


class Record:
    """The events of one run of a case, with seconds since its start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.counts = {}

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads a head and a body; returns the first line, the headers and the body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves `handle(method, path, query, headers, body) -> (status, value)`."""

    def __init__(self, port):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._connection, "127.0.0.1", self.port, reuse_address=True, limit=1 << 22
        )

    async def close(self, reset=True):
        """Ends the process behind the address: its connections break, new ones are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                answer = await self.handle(method, parts.path, query, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: rows with versions, pages and a feed of changes."""

    def __init__(self, record):
        super().__init__(free_port())
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 1
        self.history_from = 0
        self.changed = asyncio.Event()
        self.down = False

    def put(self, table, key, value, part=""):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        row = {
            "table": table,
            "part": part,
            "private_key": key,
            "value": base64.b64encode(raw).decode(),
            "ver": self.version,
        }
        self.rows[(table, part, key)] = row
        self._log(row)

    def remove(self, table, key, part=""):
        row = self.rows.pop((table, part, key), None)
        if row is not None:
            self.version += 1
            self._log({**row, "value": "", "ver": self.version, "gone": True})

    def _log(self, row):
        self.log.append(row)
        if len(self.log) > 20_000:
            self.history_from = self.log[9_999]["ver"]
            del self.log[:10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.history_from = self.version
        self.log.clear()

    def _page(self, rows, **fields):
        page, size = [], 0
        for row in rows:
            size += len(row["value"]) + len(row["private_key"]) + 100
            if len(page) == PAGE_ROWS or (page and size > PAGE_BYTES):
                return {"rows": page, "more": True, **fields}
            page.append(row)
        return {"rows": page, "more": False, **fields}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        now_ms = int(time.monotonic() * 1000)
        if path == "/-/rows-tx":
            change = json.loads(body)
            for put in change["put"]:
                if put["table"] == "servers":
                    return 403, {}
                raw = base64.b64decode(put["value"])
                self.put(put["table"], put["private_key"], raw, put.get("part", ""))
            return 200, {"ver": self.version, "now_ms": now_ms}
        if path == "/-/rows-get":
            table, part = query.get("table", ""), query.get("part", "")
            first = query.get("from_revision", "").encode()
            keys = sorted(
                (key for key in self.rows if key[0] == table and key[1] == part),
                key=lambda key: key[2].encode(),
            )
            rows = [self.rows[key] for key in keys if key[2].encode() >= first]
            return 200, self._page(rows, ver=self.version, now_ms=now_ms)
        if path == "/-/rows-feed":
            table, after = query.get("table", ""), int(query.get("after", "0"))
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                if after < self.history_from:
                    return 410, {}
                changed = self.changed
                latest = {}
                for row in self.log:
                    if row["ver"] > after and row["table"] == table:
                        latest[(row["part"], row["private_key"])] = row
                left = until - time.monotonic()
                if latest or left <= 0:
                    rows = sorted(latest.values(), key=lambda row: row["ver"])
                    page = self._page(rows, ver=self.version, now_ms=now_ms)
                    if page["more"]:
                        page["ver"] = page["rows"][-1]["ver"]
                    return 200, page
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Run:
    def __init__(self, task, attempt, cpu, work_ms):
        self.task, self.attempt, self.cpu = task, attempt, cpu
        self.work_ms, self.left_ms, self.started = work_ms, work_ms, time.monotonic()


class Runner(HttpServer):
    """One runner: fencing token, hold, runs and ends, as PROTOCOL.md says under "Running tasks".

    A task's specification says what it needs: "work MS cpu THOUSANDTHS".
    """

    def __init__(self, platform, number, zone, labels, cpu=64_000):
        super().__init__(free_port())
        self.platform, self.record, self.store = platform, platform.record, platform.store
        self.id = f"i-{number:08x}"
        self.zone, self.labels, self.cpu = zone, list(labels), cpu
        self.state = "ready"
        self.life = 0
        self.up = False

    async def start(self):
        """Starts a life that knows nothing of earlier ones, and writes its entry first."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic() - 1.0
        self.token, self.hold_until, self.sequence = 0, 0.0, 0
        self.runs, self.past, self.finished, self.last_number = {}, {}, [], 0
        self.ended = asyncio.Event()
        self.up = True
        self.write_entry()
        self.record.write("runner-up", id=self.id, life=self.life, labels=",".join(self.labels))
        await self.open()
        self.ticker = asyncio.create_task(self._tick(self.life))

    async def crash(self):
        """The process dies; all that runs there ends with it. Its entry stays for a while."""
        self.record.write("runner-crash", id=self.id, life=self.life)
        self.up = False
        for run in list(self.runs.values()):
            self.platform.run_ended(self, run, "crashed")
        self.runs = {}
        await self.close()

    def clock(self):
        return (time.monotonic() - self.clock_from) * 1000

    def entry(self):
        return {
            "service": self.platform.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "memory_request_mb": 262_144, "gpus": 0},
            "labels": self.labels, "clock_ms": int(self.clock()), "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self):
        self.sequence += 1
        self.store.put("servers", self.id, self.entry())

    async def _tick(self, life):
        next_beat = time.monotonic() + HEARTBEAT_S
        last = time.monotonic()
        while self.up and self.life == life:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            elapsed, last = (now - last) * 1000, now
            if now >= next_beat:
                next_beat = now + HEARTBEAT_S
                self.write_entry()
            lapsed = self.clock() > self.hold_until
            for run in list(self.runs.values()):
                run.left_ms -= elapsed
                if lapsed:
                    self._end(run, "lapsed")
                elif run.left_ms <= 0:
                    self._end(run, "done")

    def _end(self, run, how):
        self.runs.pop((run.task, run.attempt))
        self.past[run.task] = max(self.past.get(run.task, 0), run.attempt)
        self.last_number += 1
        self.finished.append([self.last_number, run.task, run.attempt, how, ""])
        self.platform.run_ended(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _extend(self, deadline):
        if deadline is not None:
            self.hold_until = max(self.hold_until, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body or b"{}")
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            return self._start(call)
        if path == "/-/run-stop":
            key = (call["task"], call["attempt"])
            self.past[key[0]] = max(self.past.get(key[0], 0), key[1])
            if key in self.runs:
                self._end(self.runs[key], "stopped")
            return 200, {"clock_ms": self.clock()}
        if path == "/-/hold":
            self._extend(call.get("deadline_ms"))
            seen = call.get("last_seen", 0)
            self.finished = [row for row in self.finished if row[0] > seen]
            wait = min(call.get("wait_ms", 0), 2_000) / 1000
            if wait and not self.finished:
                try:
                    await asyncio.wait_for(self.ended.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            running = [
                [run.task, run.attempt, "", int(100 - 100 * run.left_ms / run.work_ms), run.cpu]
                for run in self.runs.values()
            ]
            return 200, {
                "clock_ms": self.clock(), "running": running,
                "finished": self.finished[:500], "born": self.born,
            }
        return 404, {}

    def _start(self, call):
        task, attempt = call["task"], call["attempt"]

        def rejected(reason):
            return 409, {"clock_ms": self.clock(), "reason": reason}

        if (task, attempt) in self.runs:
            return 200, {"clock_ms": self.clock()}
        if call["deadline_ms"] < self.clock():
            return rejected("late")
        self._extend(call["deadline_ms"])
        if attempt <= self.past.get(task, 0):
            return rejected("old")
        words = call["specification"].split()
        needs = dict(zip(words[::2], map(int, words[1::2])))
        run = Run(task, attempt, needs["cpu"], needs["work"])
        if run.cpu + sum(other.cpu for other in self.runs.values()) > self.cpu:
            return rejected("room")
        self.runs[(task, attempt)] = run
        self.platform.run_started(self, run)
        return 200, {"clock_ms": self.clock()}


class Platform:
    """The store, the runners and what they ran."""

    def __init__(self, record, service="gauge-answers"):
        self.record, self.service = record, service
        self.store = Store(record)
        self.runners = []
        self.running = {}
        self.concurrent = []
        self.on_start = lambda runner, run: None

    async def start(self, zones, runners_per_zone, labels):
        await self.store.open()
        for number in range(runners_per_zone * len(zones)):
            runner = Runner(self, number + 1, zones[number % len(zones)], labels(number))
            self.runners.append(runner)
            await runner.start()

    def configure(self, version, routes):
        self.store.put("op", "config", {
            "version": version,
            "routes": [{
                "name": name, "host": "gauges.example", "path_prefix": prefix,
                "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
                "priority": priority, "service": self.service, "max_attempts": 3,
                "extension": 1.6,
            } for name, prefix, priority in routes],
            "services": [{"name": self.service, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "admission_check": True,
                          "headroom": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        })

    def run_started(self, runner, run):
        self.record.write("run-start", task=run.task, attempt=run.attempt, runner=runner.id,
                          life=runner.life)
        others = self.running.setdefault(run.task, set())
        if others:
            self.concurrent.append(run.task)
            self.record.write("TWICE", task=run.task, attempt=run.attempt, beside=sorted(others))
        others.add((runner.id, runner.life, run.attempt))
        self.on_start(runner, run)

    def run_ended(self, runner, run, how):
        self.record.write("run-end", task=run.task, attempt=run.attempt, runner=runner.id,
                          life=runner.life, how=how)
        self.running[run.task].discard((runner.id, runner.life, run.attempt))


class Host:
    """One dispatcher host, started by the deploy file's command and restarted when it ends."""

    def __init__(self, record, directory, name, hall, store):
        self.record, self.name, self.hall = record, name, hall
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness, self.peers, self.metrics = ports
        self.settings = os.path.join(directory, f"{name}.toml")
        self.log = os.path.join(directory, f"{name}.log")
        self.store = store
        self.process = None
        self.own_ends = []
        self.expected_end = False
        self.keeper = None

    def write_settings(self, hosts, stale_seed=None):
        """Writes the settings; `stale_seed` is a port that takes the place of the third seed."""
        ports = [host.peers for host in hosts[:3]]
        if stale_seed is not None:
            ports[2:] = [stale_seed]
        seeds = ",".join(f'"127.0.0.1:{port}"' for port in ports)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f'name = "{self.name}"\nhall = "{self.hall}"\n'
                f'callers = "127.0.0.1:{self.callers}"\n'
                f'readiness = "127.0.0.1:{self.readiness}"\n'
                f'peers = "127.0.0.1:{self.peers}"\nmetrics = "127.0.0.1:{self.metrics}"\n'
                f'store = "{self.store.address}"\nseeds = [{seeds}]\n\n'
                f"[processor]\nshare = 0.25\nspeed = 1\n\n[link]\nmbps = 1000.0\n\n{BOUNDS}"
            )

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["dispatcher"]["run"].split(" ")
        program = os.path.join(ROOT, command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{command[0]} isn't built")
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *command[1:], cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "GANNETRIDGE_BOOT": self.settings},
        )
        log.close()
        self.record.write("host-start", host=self.name)

    async def keep(self):
        """Starts the process again 0.5 s after each end, as the platform does."""
        while True:
            code = await self.process.wait()
            if self.expected_end:
                self.expected_end = False
                self.record.write("host-ended", host=self.name, code=code)
            else:
                self.own_ends.append(self.record.now())
                self.record.write("host-ended-by-itself", host=self.name, code=code)
            await asyncio.sleep(0.5)
            await self.start()

    def terminate(self):
        self.expected_end = True
        self.record.write("SIGTERM", host=self.name)
        self.process.send_signal(signal.SIGTERM)

    def kill(self):
        self.expected_end = True
        self.record.write("SIGKILL", host=self.name)
        self.process.kill()

    async def leave(self):
        """Stops the process for good with SIGTERM."""
        self.keeper.cancel()
        self.record.write("SIGTERM", host=self.name)
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        self.record.write("host-left", host=self.name, code=self.process.returncode)

    async def is_ready(self):
        status, _ = await request(self.readiness, "GET", "/-/readiness", timeout=1.0)
        return status == 200

    async def end(self):
        if self.keeper is not None:
            self.keeper.cancel()
            await asyncio.gather(self.keeper, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def request(port, method, path, value=None, headers="", timeout=2.0):
    """Sends one request on a connection of its own; returns status 0 without an answer."""
    body = b"" if value is None else json.dumps(value).encode()
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: gauges.example\r\n{headers}"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
            writer.write(text.encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    first, _, data = message
    try:
        return int(first.split(" ")[1]), json.loads(data or b"null")
    except ValueError:
        return int(first.split(" ")[1]), None


async def submit(record, port, prefix, job_id, tasks, work_ms, cpu=27_000, **step):
    """Sends a job that needn't be kept once, and waits 1.5 s for its answer."""
    body = {
        "specification": f"work {work_ms} cpu {cpu}", "best_effort": True,
        "steps": [{"count": tasks, "cpu": cpu, "memory_request_mb": 64,
                   "estimated_ms": work_ms, **step}],
    }
    record.write("job-sent", id=job_id, port=port)
    status, answer = await request(port, "POST", prefix + job_id, body,
                                   "X-Deadline-Ms: 1500\r\n", 1.5)
    record.write("job-answered", id=job_id, status=status, answer=json.dumps(answer))
    return status, answer


class Deployment:
    """A platform, hosts in three halls, and a temporary folder that is removed at the end."""

    ZONES = ["sisak-hall", "karlovac-hall", "zagreb-hall"]

    def __init__(self, record, zones=ZONES, service="gauge-answers"):
        self.record, self.zones = record, zones
        self.directory = tempfile.mkdtemp(prefix="gannetridge-review-")
        self.platform = Platform(record, service)
        self.hosts = []
        # Hosts that have left the deployment.
        self.removed = []

    async def start(self, hosts=3, runners_per_zone=4, labels=lambda number: ["a", "r1"],
                    stale_seed=None):
        await self.platform.start(self.zones, runners_per_zone, labels)
        for number in range(hosts):
            hall = self.zones[number % 3]
            name = f"frontend-{hall}-{number // 3 + 1}"
            self.hosts.append(Host(self.record, self.directory, name, hall, self.platform.store))
        for host in self.hosts:
            host.write_settings(self.hosts, stale_seed)
            await host.start()
            host.keeper = asyncio.create_task(host.keep())
        await self.until_ready(20)

    async def until_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready = [await host.is_ready() for host in self.hosts]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the hosts don't become ready")

    async def end(self):
        for host in self.hosts + self.removed:
            await host.end()
        for runner in self.platform.runners:
            runner.up = False
            await runner.close()
        await self.platform.store.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, case):
    """Runs `case(record, deployment, trouble)`, which returns whether the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        # Ended from outside, the script still ends what it started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                return await case(record, deployment, trouble)
        finally:
            await deployment.end()

    try:
        held = asyncio.run(play())
        code = 0 if held else 1
    except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
        record.write("CANNOT-RUN", reason=repr(error))
        code = 2
    record.write("RESULT", trouble=int(trouble), code=code)
    record.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
    sys.exit(code)
