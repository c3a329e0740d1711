"""Stand-ins of the platform for the scripts in this folder: its store, runners, clients, a proxy,
and code that starts dispatcher hosts as the deploy file does. Loopback only; no dependencies.

Everything runs in one asyncio loop. Each host, runner and the store has a loopback address of its
own, so that the ports are those of a deployment. All that is sent, answered and run is recorded.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {
    "retransmit_ms": 1300, "max_hold_ms": 1000, "stop_grace_ms": 50, "grace_period_s": 6,
    "drain_ms": 2000, "remote_factor": 2, "cancel_ms": 3000, "contact_ms": 3000,
}
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, with the seconds since the script's start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        line = f"{self.now():8.3f}  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP ----------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads an HTTP message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(address, handler):
    """Serves HTTP at an address. `handler(method, target, headers, body)` returns (status, json)."""

    async def connection(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, reply = await handler(method, target, headers, body)
                data = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address[0], address[1])


class Connection:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address):
        return Connection(*await asyncio.open_connection(*address))

    def send(self, data):
        self.writer.write(data)

    async def answer(self):
        """Returns the status and body of the next answer, or None if the connection broke."""
        message = await read_message(self.reader)
        if message is None:
            return None
        return int(message[0].split(" ")[1]), message[2].decode()

    def reset(self):
        """Closes the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self):
        self.writer.close()


# --- the store -----------------------------------------------------------------------------------


class Store:
    """The platform's store: rows with versions, read whole or by changes."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()

    async def start(self):
        self.server = await serve(self.address, self.handle)

    def put(self, table, key, value, part=""):
        if not isinstance(value, str):
            value = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.rows[table, part, key] = {"value": value, "ver": self.version}
        self.wake()

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.version += 1
            self.rows[table, part, key] = {"value": "", "ver": self.version, "gone": True}
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def common(self):
        return {"ver": self.version, "now_ms": int((time.monotonic() - self.started) * 1000)}

    def find(self, table, after=-1):
        rows = []
        for (row_table, part, key), row in self.rows.items():
            if row_table == table and row["ver"] > after:
                rows.append({"table": table, "part": part, "private_key": key, **row})
        return rows

    async def handle(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/-/rows-get":
            rows = [row for row in self.find(query["table"]) if not row.get("gone")]
            rows = [row for row in rows if row["private_key"] >= query.get("from_revision", "")]
            rows.sort(key=lambda row: row["private_key"].encode())
            return 200, {"rows": rows[:500], "more": len(rows) > 500, **self.common()}
        if path == "/-/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                changed = self.changed
                rows = sorted(self.find(query["table"], after), key=lambda row: row["ver"])
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, **self.common()}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/-/rows-tx":
            call = json.loads(body)
            for row in call["put"]:
                self.put(row["table"], row["private_key"], row["value"], row["part"])
            for row in call["remove"]:
                self.remove(row["table"], row["private_key"], row["part"])
            return 200, self.common()
        return 404, {}


# --- runners -------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, attempt, work_ms, cpu, now):
        self.task, self.attempt, self.cpu = task, attempt, cpu
        self.work_s, self.started = work_ms / 1000, now


class Runner:
    """A runner.

    A task's specification says how long it works and how many thousandths of a core it takes:
    `work 5000 cpu 27000` works for 5,000 ms.
    """

    def __init__(self, record, store, id, address, zone, service, kind, rack, cpu=64000):
        self.record, self.store, self.id, self.address = record, store, id, address
        self.zone, self.service, self.kind, self.rack = zone, service, kind, rack
        self.cpu = cpu
        self.is_up = False
        self.server = None
        self.connections = set()
        # Each run that ended: (task, attempt, started, ended, how).
        self.history = []
        self.sequence = 0

    # - its life -

    async def start(self):
        """Begins a life and writes its entry."""
        self.born = int(time.time() * 1000)
        self.life = time.monotonic()
        self.token, self.lease = 0, 0.0
        self.running, self.finished, self.number = {}, [], 0
        self.highest = {}
        self.ended = asyncio.Event()
        self.is_up = True
        self.server = await asyncio.start_server(self.serve_connection, *self.address)
        self.ticker = asyncio.create_task(self.tick())
        self.write_entry("ready")
        self.beats = asyncio.create_task(self.beat())
        self.record.write(f"runner {self.id}: up, kind {self.kind}, born {self.born}")

    def write_entry(self, state):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "memory_request_mb": 262144, "gpus": 0},
            "labels": [self.kind, self.rack], "clock_ms": self.clock(), "born": self.born,
            "sequence": self.sequence})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry("ready")

    # - its work -

    def clock(self):
        return int((time.monotonic() - self.life) * 1000)

    def end(self, run, how):
        self.running.pop(run.task, None)
        self.number += 1
        self.finished.append([self.number, run.task, run.attempt, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.history.append((run.task, run.attempt, run.started, self.record.now(), how))
        self.record.write(f"runner {self.id}: {run.task} run {run.attempt} ends {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    def advance(self):
        if self.running and self.clock() > self.lease:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if self.record.now() - run.started >= run.work_s:
                self.end(run, "done")

    async def tick(self):
        while True:
            await asyncio.sleep(0.002)
            self.advance()

    def hold(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS["max_hold_ms"]))

    async def serve_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                status, reply = await self.handle(first.split(" ")[1], headers, body)
                data = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, path, headers, body):
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        call = json.loads(body)
        self.advance()

        def conflict(reason):
            return 409, {"clock_ms": self.clock(), "reason": reason}

        token = call.get("fencing_token", 0)
        if token < self.token:
            return conflict("fence")
        self.token = token
        if path == "/-/hold":
            self.hold(call.get("deadline_ms"))
            seen = call.get("last_seen", 0)
            self.finished = [row for row in self.finished if row[0] > seen]
            wait, ended = call.get("wait_ms", 0) / 1000, self.ended
            if wait > 0 and not self.finished:
                try:
                    await asyncio.wait_for(ended.wait(), wait)
                except TimeoutError:
                    pass
            self.advance()
            running = []
            for run in self.running.values():
                percent = int(100 * (self.record.now() - run.started) / run.work_s)
                running.append([run.task, run.attempt, "", min(percent, 99), run.cpu])
            return 200, {"clock_ms": self.clock(), "running": running,
                         "finished": self.finished[:500], "born": self.born}
        task, attempt = call["task"], call["attempt"]
        if path == "/-/run-start":
            if call["deadline_ms"] < self.clock():
                return conflict("late")
            self.hold(call["deadline_ms"])
            current = self.running.get(task)
            if current is not None and current.attempt == attempt:
                return 200, {"clock_ms": self.clock()}
            if attempt <= self.highest.get(task, 0) or current is not None:
                return conflict("old")
            words = call["specification"].split()
            cpu = int(words[3]) if len(words) > 3 else 27000
            if sum(run.cpu for run in self.running.values()) + cpu > self.cpu:
                return conflict("room")
            self.running[task] = Run(task, attempt, float(words[1]), cpu, self.record.now())
            self.record.write(f"runner {self.id} ({self.kind}): {task} run {attempt} starts")
            return 200, {"clock_ms": self.clock()}
        if path == "/-/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), attempt)
            current = self.running.get(task)
            if current is not None and current.attempt <= attempt:
                self.end(current, "stopped")
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def all_runs(self):
        """Returns all runs; those that still run end now."""
        still = [(r.task, r.attempt, r.started, self.record.now(), "runs") for r in
                 self.running.values()] if self.is_up else []
        return self.history + still


# --- hosts ---------------------------------------------------------------------------------------


def fill_template(text, fields):
    """Fills a settings template as the platform does."""

    def look_up(name, entry, scope):
        if name == ".":
            return entry
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(text, entry, comma):
        def section(match):
            value = look_up(match[1], entry, fields)
            if isinstance(value, list):
                last = len(value) - 1
                return "".join(
                    fill(match[2], item, "," if i < last else "") for i, item in enumerate(value))
            return "" if value is None or value is False else fill(match[2], value, comma)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = text.replace("{{,}}", comma)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look_up(m[1], entry, fields)), text)

    return fill(text, None, "")


class Host:
    """A dispatcher host, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone, ip, seeds, peers_address=None):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.frontend, self.readiness = (ip, 8161), (ip, 8167)
        self.control = (ip, 8166)
        shown = peers_address or self.control
        self.fields = {
            "node_name": name, "zone": zone, "ip_address": ip,
            "listen": {"frontend": f"{ip}:8161", "readiness": f"{ip}:8167",
                       "control": f"{shown[0]}:{shown[1]}"},
            "platform": {"address": "%s:%d" % deployment.store.address},
            "seed_nodes": [f"{seed}:8166" for seed in seeds],
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "link_mbps": 1000.0}, "bounds": BOUNDS,
        }
        self.is_behind_proxy = peers_address is not None
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["dispatcher"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill_template(file.read(), self.fields)
        if self.is_behind_proxy:
            settings = f'peers-bind = "{self.control[0]}:{self.control[1]}"\n' + settings
        folder = self.deployment.folder
        path = os.path.join(folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "GANNETRIDGE_BOOT": path})
        self.deployment.record.write(f"host {self.name}: started")

    def signal(self, number):
        self.deployment.record.write(f"host {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            conn = await asyncio.wait_for(Connection.open(self.readiness), 0.5)
            conn.send(encode_request("GET", "/-/readiness", {"Host": self.ip}))
            answer = await asyncio.wait_for(conn.answer(), 0.5)
            conn.close()
            return answer is not None and answer[0] == 200
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"host {self.name} isn't ready after {seconds} s")


class CannotRun(Exception):
    """The case couldn't run."""


class LossyLink:
    """Forwards connections, and loses packets.

    What is read at once counts as a packet, and so does the end of a connection (empty data).
    `is_lost(data)` is asked each time a packet is sent. A lost packet is sent again after 0.2 s,
    then after twice as long each time, as TCP does. Connections don't affect each other, and their
    set-up isn't lost.
    """

    FIRST_RETRANSMISSION_S = 0.2

    def __init__(self, address, server):
        self.address, self.server = address, server
        self.is_lost = lambda data: False

    async def start(self):
        self.listener = await asyncio.start_server(self.forward, *self.address)

    async def transmit(self, data):
        """Waits until a packet has come through."""
        pause = self.FIRST_RETRANSMISSION_S
        while self.is_lost(data):
            await asyncio.sleep(pause)
            pause *= 2

    async def copy(self, source, sink):
        try:
            while data := await source.read(65536):
                await self.transmit(data)
                sink.write(data)
                await sink.drain()
            await self.transmit(b"")
        except ConnectionError:
            pass
        finally:
            sink.close()

    async def forward(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.server)
            await asyncio.gather(self.copy(reader, to_writer), self.copy(to_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


# --- the deployment ------------------------------------------------------------------------------

QUEUE = {"name": "r-alarms", "host": "gauges.example", "path_prefix": "/alarms/",
         "kind": "non_idempotent", "timeout_ms": 30000, "target_latency_ms": 60, "priority": 0,
         "service": "gauge-answers", "max_attempts": 4, "extension": 1.6}
SERVICE = {"name": "gauge-answers", "health_path": "/health", "max_connections": 64,
           "admission_check": True}


class Deployment:
    """A store, runners and hosts on loopback addresses that nothing else uses."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="gannetridge-review-")
        self.net = self.free_net()
        self.next_ip = 1
        self.store = Store((self.ip(), 8169))
        self.hosts, self.runners = [], []

    @staticmethod
    def free_net():
        """Returns the first three numbers of unused loopback addresses."""
        for _ in range(100):
            net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            try:
                for last in range(1, 40):
                    for port in (8080, 8161, 8166, 8167, 8169, 9464):
                        with socket.socket() as sock:
                            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            sock.bind((f"{net}.{last}", port))
            except OSError:
                continue
            return net
        raise CannotRun("no free loopback addresses")

    def ip(self):
        self.next_ip += 1
        return f"{self.net}.{self.next_ip - 1}"

    async def start_store(self):
        await self.store.start()
        self.store.put("op", "config", {
            "version": 7, "routes": [QUEUE], "services": [SERVICE], "limits": {}})

    async def add_runner(self, zone, kind="a", cpu=64000):
        number = len(self.runners)
        runner = Runner(self.record, self.store, f"i-{random.getrandbits(32):08x}",
                        (self.ip(), 8080), zone, "gauge-answers", kind, f"r{number // 8}-1", cpu)
        await runner.start()
        self.runners.append(runner)
        return runner

    def runs_of(self, task_prefix):
        """Returns (started, ended, runner, task, attempt, how) of all runs, by start."""
        runs = []
        for runner in self.runners:
            for task, attempt, started, ended, how in runner.all_runs():
                if task.startswith(task_prefix):
                    runs.append((started, ended, runner, task, attempt, how))
        return sorted(runs, key=lambda run: run[0])

    async def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def job_body(work_ms, cpu=27000, count=1, requirements=None):
    step = {"count": count, "cpu": cpu, "memory_request_mb": 64, "estimated_ms": work_ms}
    if requirements:
        step["requirements"] = requirements
    return json.dumps({"specification": f"work {work_ms} cpu {cpu}", "best_effort": True,
                       "steps": [step]}).encode()


def new_id():
    return f"{random.getrandbits(64):016x}"


def post(id, body, deadline_ms=30000):
    headers = {"Host": QUEUE["host"], "X-Deadline-Ms": str(deadline_ms)}
    return encode_request("POST", QUEUE["path_prefix"] + id, headers, body)


async def run_job(record, host, work_ms, cpu=27000, count=1, requirements=None, say=True):
    """Submits a job and returns its id and the answer."""
    id = new_id()
    conn = await Connection.open(host.frontend)
    if say:
        record.write(f"client: POST {id} to {host.name}")
    conn.send(post(id, job_body(work_ms, cpu, count, requirements)))
    answer = await conn.answer()
    if say:
        record.write(f"client: answer to {id} from {host.name}: {answer}")
    conn.close()
    return id, answer


async def until_served(record, hosts, seconds=10):
    """Waits until each host has served a short job."""
    for host in hosts:
        end = time.monotonic() + seconds
        while True:
            _, answer = await run_job(record, host, 20, 1000, say=False)
            if answer is not None and answer[0] == 200:
                break
            if time.monotonic() > end:
                raise CannotRun(f"host {host.name} serves nothing after {seconds} s")
            await asyncio.sleep(0.1)


def overlaps(runs):
    """Returns the pairs of runs of one task that ran at the same time, for over 50 ms."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run[3], []).append(run)
    pairs = []
    for of_task in by_task.values():
        for i, first in enumerate(of_task):
            for second in of_task[i + 1:]:
                if second[0] < min(first[1], second[1]) - 0.05:
                    pairs.append((first, second))
    return pairs


def main(folder, case, limit_s=110, record_name="record.txt"):
    """Runs a case: `case(record, deployment, trouble)` returns whether the rule was kept."""
    record = Record(os.path.join(folder, record_name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def play():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(record, deployment, trouble), limit_s)
        finally:
            await deployment.end()

    loop = asyncio.new_event_loop()
    task = loop.create_task(play())
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        kept = loop.run_until_complete(task)
    except (Exception, asyncio.CancelledError) as error:
        # A fault of the script must not look like a broken rule.
        record.write(f"the case couldn't run: {error!r}")
        code = 2
    else:
        record.write("the rule held" if kept else "the rule was BROKEN")
        code = 0 if kept else 1
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
