"""What the scripts share: the record, dispatcher hosts as processes, and clients."""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from platform_standins import Runner, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/gannetridge-dispatcher"

# The bounds of the small deployment savska-gannet.
CONTACT_S = 3.0
ACK_TIMEOUT_S = 4.0
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
STOP_GRACE_S = 0.05
LOSS_SLACK_S = 0.2


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.events = []
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        with self.lock:
            at = self.now()
            self.events.append((at, event, fields))
            self.file.write("%8.3f %s %s\n" % (at, event, json.dumps(fields)))
            self.file.flush()
            return at

    def of(self, event):
        with self.lock:
            return [(at, fields) for at, name, fields in self.events if name == event]


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for open_socket in sockets:
        open_socket.bind(("127.0.0.1", 0))
    ports = [open_socket.getsockname()[1] for open_socket in sockets]
    for open_socket in sockets:
        open_socket.close()
    return ports


class Host:
    """A dispatcher host: its settings file, and its process."""

    def __init__(self, case, name, zone, seeds):
        self.case, self.name = case, name
        callers, readiness, peers, metrics = ("127.0.0.1:%d" % port for port in free_ports(4))
        self.callers, self.readiness, self.peers = callers, readiness, peers
        self.settings = case.folder / (name + ".toml")
        # Filled from the template of the deploy file, but for free ports on one address.
        template = (ROOT / "platform/settings.toml.in").read_text()
        fields = {
            "node_name": name, "zone": zone, "listen.frontend": callers,
            "listen.readiness": readiness, "listen.control": peers,
            "{{ip_address}}:9464": metrics, "platform.address": case.store.address,
            "limits.cpu_share": "0.25", "limits.cpu_cores": "1", "limits.link_mbps": "1000.0",
            "limits.memory_mb": "260", "limits.max_file_descriptors": "4100",
            "bounds.retransmit_ms": "1300", "bounds.max_hold_ms": "1000",
            "bounds.stop_grace_ms": "50", "bounds.grace_period_s": "6",
            "bounds.drain_ms": "2000", "bounds.remote_factor": "2",
        }
        text = template.replace("{{ip_address}}:9464", metrics)
        text = re.sub(r"\{\{#seed_nodes\}\}.*?\{\{/seed_nodes\}\}",
                      ",".join('"%s"' % seed for seed in seeds), text)
        text = re.sub(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda found: found.group(2).replace("{{.}}", fields[found.group(1)]),
                      text, flags=re.S)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda found: fields[found.group(1)], text)
        self.settings.write_text(text)
        self.process = None

    def start(self):
        log = open(self.case.folder / (self.name + ".log"), "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["GANNETRIDGE_BOOT"] = str(self.settings)
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.case.processes.append(self.process)
        self.case.record.write("host started", host=self.name)

    def is_ready(self):
        try:
            return call(self.readiness, "GET", "/-/readiness", timeout_s=1.0)[0] == 200
        except OSError:
            return False

    def wait_until_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun("%s isn't ready" % self.name)
            time.sleep(0.05)


def call(address, method, path, host="", body=None, headers=None, timeout_s=40.0):
    """One request on a connection of its own; returns the status and the body."""
    name, port = address.split(":")
    connection = http.client.HTTPConnection(name, int(port), timeout=timeout_s)
    try:
        headers = dict(headers or {}, **({"Host": host} if host else {}))
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        connection.request(method, path, body=data, headers=headers)
        reply = connection.getresponse()
        return reply.status, reply.read().decode()
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()


class Case:
    """A run of a script: the stand-ins, the hosts, the record and the verdict."""

    def __init__(self, folder):
        if not PROGRAM.exists():
            raise CannotRun("the program isn't built")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write("case", trouble=self.trouble)
        self.processes = []
        self.store = Store()
        self.version = 0

    def configure(self, routes):
        """Puts a configuration, as the operator does; returns when it was acknowledged."""
        self.version += 3
        self.store.put("op", "config", {
            "version": self.version,
            "routes": [dict({
                "kind": "non_idempotent", "timeout_ms": 60000, "target_latency_ms": 60,
                "priority": 0, "max_attempts": 3, "extension": 1.6,
            }, **route) for route in routes],
            "services": [{
                "name": "huvo11a", "health_path": "/health", "max_connections": 64,
                "protocol": "h1", "tls": False, "admission_check": True, "headroom": False,
            }],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
        prefixes = [route["path_prefix"] for route in routes]
        return self.record.write("configuration acknowledged", version=self.version, routes=prefixes)

    def runners(self, count, zone):
        return [Runner(self.store, self.record, "i-%08x" % (0x7f3a0000 + number), "huvo11a", zone)
                for number in range(count)]

    def post(self, host, route, job_id, body, deadline_ms):
        """Submits a job in a thread of its own, which records the answer or the broken connection."""
        def run():
            self.record.write("job sent", host=host.name, id=job_id)
            try:
                status, text = call(host.callers, "POST", route["path_prefix"] + job_id,
                                    route["host"], body, {"X-Deadline-Ms": str(deadline_ms)},
                                    deadline_ms / 1000 + 2)
                self.record.write("job answered", host=host.name, id=job_id, status=status, body=text)
            except OSError as error:
                self.record.write("job connection broken", host=host.name, id=job_id, error=str(error))
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def cancel(self, host, route, job_id):
        """Cancels a job; returns when the answer came and its status."""
        self.record.write("cancel sent", host=host.name, id=job_id)
        status, text = call(host.callers, "DELETE", route["path_prefix"] + job_id, route["host"],
                            timeout_s=5.0)
        at = self.record.write("cancel answered", host=host.name, id=job_id, status=status, body=text)
        return at, status

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record.file.close()
        self.temporary.cleanup()


def main(folder, run):
    """Runs a case; exits with 1 if it returns a broken rule, 0 if none, 2 if it couldn't run."""
    case, code = None, 2
    # A script that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        case = Case(folder)
        broken = run(case)
        case.record.write("verdict", broken=broken)
        print("broken: " + broken if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as error:  # A script that fails by itself shows nothing.
        print("the case couldn't run: %r" % error, file=sys.stderr)
        code = 2
    finally:
        if case is not None:
            case.close()
    os._exit(code)
