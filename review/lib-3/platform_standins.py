"""Stand-ins of the platform on loopback addresses: the metadata store and the runners.

They follow the users' PROTOCOL.md and NEWS pages: rows and their feed, run-start, run-stop and
hold with fencing tokens, deadlines on the runner's own clock, numbered ends and long polls.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Server(ThreadingHTTPServer):
    """An HTTP server on a free loopback port, one thread a connection."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, handle):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                answer = handle(self.command, self.path, self.headers, body)
                if answer is None:
                    self.close_connection = True
                    return
                status, reply = answer
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *_):
                pass

        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: rows in tables with one version counter, and a feed of changes."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.started = time.monotonic()
        self.server = Server(self.handle)
        self.address = self.server.address

    def put(self, table, key, value):
        """Writes a row as the operator or a runner does; returns its version."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, encoded)
            self.changed.notify_all()
            return self.version

    def remove(self, table, key):
        """Drops a row."""
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (self.version, None)
            self.changed.notify_all()

    def row(self, table, key):
        version, value = self.rows[(table, key)]
        row = {"table": table, "part": "", "private_key": key, "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = value
        return row

    def answer(self, rows, more=False):
        now_ms = int((time.monotonic() - self.started) * 1000)
        return 200, {"rows": rows, "more": more, "ver": self.version, "now_ms": now_ms}

    def handle(self, method, path, _headers, body):
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/-/rows-get":
            with self.changed:
                keys = sorted(k for t, k in self.rows if t == query["table"])
                start = query.get("from_revision", "")
                live = [k for k in keys if k >= start and self.rows[(query["table"], k)][1] is not None]
                page = live[:500]
                return self.answer([self.row(query["table"], k) for k in page], len(live) > 500)
        if method == "GET" and url.path == "/-/rows-feed":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            with self.changed:
                while True:
                    new = sorted(
                        (version, key)
                        for (table, key), (version, _) in self.rows.items()
                        if table == query["table"] and version > after
                    )
                    left = end - time.monotonic()
                    if new or left <= 0:
                        return self.answer([self.row(query["table"], key) for _, key in new])
                    self.changed.wait(left)
        if method == "POST" and url.path == "/-/rows-tx":
            changes = json.loads(body)
            with self.changed:
                self.version += 1
                for put in changes.get("put", []):
                    self.rows[(put["table"], put["private_key"])] = (self.version, put["value"])
                for gone in changes.get("remove", []):
                    self.rows[(gone["table"], gone["private_key"])] = (self.version, None)
                self.changed.notify_all()
                return self.answer([])
        return 404, {}


class Runner:
    """One runner. Its work is the milliseconds in a task's specification, `work 1200`; a task of
    step N takes the Nth number of `work 1200,800`.
    """

    def __init__(self, store, record, name, service, zone, cores=16000, beat_ms=1500):
        self.store, self.record, self.id = store, record, name
        self.service, self.zone, self.cores = service, zone, cores
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.running = {}
        self.highest = {}
        self.finished = []
        self.last_end = 0
        self.sequence = 0
        self.server = Server(self.handle)
        self.beat()
        threading.Thread(target=self.beat_always, args=(beat_ms / 1000,), daemon=True).start()
        threading.Thread(target=self.advance_always, daemon=True).start()

    def clock(self):
        return (time.monotonic() - self.started) * 1000

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cores, "memory_request_mb": 32768, "gpus": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "clock_ms": int(self.clock()),
            "sequence": self.sequence,
        })

    def beat_always(self, interval_s):
        while True:
            time.sleep(interval_s)
            self.beat()

    def end(self, key, how):
        task, attempt = key
        del self.running[key]
        self.last_end += 1
        self.finished.append([self.last_end, task, attempt, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.record.write("end", runner=self.id, task=task, attempt=attempt, how=how)
        self.lock.notify_all()

    def advance(self):
        """Ends what is done, and everything once the hold is over."""
        now = self.clock()
        for key, run in list(self.running.items()):
            done_at = run["from"] + run["work"]
            if done_at <= min(now, self.deadline):
                self.end(key, "done")
            elif self.deadline <= now:
                self.end(key, "lapsed")

    def advance_always(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                self.advance()

    def listing(self):
        now = self.clock()
        running = [
            [task, attempt, "", min(99, int(100 * (now - run["from"]) / run["work"])), run["cpu"]]
            for (task, attempt), run in self.running.items()
        ]
        return {"clock_ms": int(now), "born": self.born, "running": running, "finished": self.finished[:500]}

    def extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + 1000))

    def handle(self, method, path, headers, body):
        if headers.get("X-Expected-Instance", self.id) != self.id:
            return 421, {}
        if method != "POST":
            return 404, {}
        call = json.loads(body)
        with self.lock:
            self.advance()
            if call.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": int(self.clock()), "reason": "fence"}
            self.token = call.get("fencing_token", 0)
            if path == "/-/hold":
                return self.hold(call)
            key = (call["task"], call["attempt"])
            if path == "/-/run-start":
                return self.start(key, call)
            if path == "/-/run-stop":
                if key in self.running:
                    self.end(key, "stopped")
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
                return 200, {"clock_ms": int(self.clock())}
        return 404, {}

    def hold(self, call):
        self.extend(call.get("deadline_ms"))
        seen = call.get("last_seen", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        end = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < end:
            self.lock.wait(min(0.005, max(0.0, end - time.monotonic())))
            self.advance()
        return 200, self.listing()

    def start(self, key, call):
        now = self.clock()
        refuse = lambda reason: (409, {"clock_ms": int(self.clock()), "reason": reason})
        if key in self.running:
            return 200, {"clock_ms": int(now)}
        if call["deadline_ms"] < now:
            return refuse("late")
        self.extend(call["deadline_ms"])
        task, attempt = key
        others = [number for name, number in self.running if name == task]
        if attempt <= self.highest.get(task, 0) or any(number >= attempt for number in others):
            return refuse("old")
        works = call["specification"].removeprefix("work ").split(",")
        step = int(task.split(".")[2])
        cpu = 2000
        if sum(run["cpu"] for run in self.running.values()) + cpu > self.cores:
            return refuse("room")
        work = float(works[min(step, len(works) - 1)])
        self.running[key] = {"from": now, "work": work, "cpu": cpu}
        self.record.write("start", runner=self.id, task=task, attempt=attempt,
                          specification=call["specification"])
        return 200, {"clock_ms": int(now)}
