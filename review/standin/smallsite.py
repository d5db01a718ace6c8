"""A small site on loopback for the cases under `review/`: the platform's store, servers, callers, and
entry instances that are started with the command and the template of the deploy file.

Only the standard library is used. Everything listens on loopback addresses and free ports; instances are
real processes, which are signalled by their process ids and ended by `Site.close`.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "shop.example"
PEERS_PORT = 7600
HEARTBEAT_SECS = 1.2

# Exit codes of a case's program. Python itself exits with 1 on an error, so `run.sh` maps these.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
# Time limit of a case, in seconds.
TIME_LIMIT = 100

# Bounds of the small sites' sheets.
BOUNDS = {
    "grace_s": 8, "budget_ratio": 0.2, "budget_slack": 52, "revoke_ms": 5000, "configuration_ms": 2000,
}


class CouldNotRun(Exception):
    """The case did not come about, so that it says nothing about the rule."""


def trouble():
    """Whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, by time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


class Store:
    """The platform's store: keyed topics in memory. It has a door for each instance, which it may turn away."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.topics = {}
        self.doors = []

    def door(self, ip):
        """Opens an address for one instance. Its `mode` is `pass`, `busy` (503) or `reset`."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body, kind="application/json"):
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                mode = self.server.mode
                if mode == "busy":
                    self.reply(503, b"{}")
                elif mode == "reset":
                    reset(self.connection)
                    self.close_connection = True
                else:
                    self.reply(*store.serve(self.command, self.path, body))

            do_GET = do_POST = handle_call

        class Door(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                """The instance closed its channel."""

        server = Door((ip, 0), Handler)
        server.mode = "pass"
        self.doors.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def put(self, topic, key, value):
        """Writes a record as the operator or a server does. The return is the acknowledgement."""
        data = None if value is None else json.dumps(value).encode()
        with self.lock:
            records = self.topics.setdefault(topic, [])
            records.append((key, data))
            return len(records)

    def serve(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        with self.lock:
            records = self.topics.setdefault(query.get("topic", ""), [])
            if parts.path == "/api/log-read":
                return 200, self.read(records, int(query.get("from", 0))), "application/octet-stream"
            if parts.path == "/api/log-newest":
                return 200, self.newest(records, query.get("after_revision", "")), "application/json"
            if parts.path == "/api/log-append" and method == "POST":
                return self.append(records, query, body)
        return 404, b"{}", "application/json"

    @staticmethod
    def read(records, start):
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            name, data = key.encode(), value or b""
            out += struct.pack(">IB", 1 + len(name) + len(data), len(name)) + name + data
        return out

    @staticmethod
    def newest(records, after):
        last = {}
        for offset, (key, value) in enumerate(records):
            last[key] = (value, offset)
        items = [
            {"private_key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (v, o) in sorted(last.items())
            if v is not None and k > after
        ]
        page = {"items": items[:500], "has_more": len(items) > 500, "end": len(records)}
        return json.dumps(page).encode()

    @staticmethod
    def append(records, query, body):
        at = query.get("store_revision")
        if at is not None and int(at) != len(records):
            return 412, json.dumps({"end": len(records)}).encode(), "application/json"
        first = len(records)
        while len(body) > 5:
            length, key_length = struct.unpack(">IB", body[:5])
            key = body[5 : 5 + key_length].decode()
            records.append((key, body[5 + key_length : 4 + length] or None))
            body = body[4 + length :]
        answer = {"offset": first, "end": len(records)}
        return 200, json.dumps(answer).encode(), "application/json"


class Request:
    """A request as a server received it."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = headers.get("firdock-attempt-id", "")


def read_request(connection):
    """Reads a request from a connection; `None` if it ends first."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(body) < length:
        part = connection.recv(65536)
        if not part:
            return None
        body += part
    return Request(lines[0], headers, body)


class Server:
    """A server: one thread for each channel, one request on each. `work` answers the request."""

    def __init__(self, site, name, work, service="pool", version="v1", backlog=128):
        self.site = site
        self.name = name
        self.work = work
        self.service = service
        self.version = version
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.lock = threading.Lock()
        self.open = set()
        self.ended = threading.Event()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((site.server_ip(), 0))
        self.address = self.listener.getsockname()
        self.listener.listen(backlog)
        self.accepting = threading.Event()
        self.accepting.set()

    def start(self):
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        threading.Thread(target=self.renew, daemon=True).start()
        return self

    def accept(self, listener):
        while True:
            self.accepting.wait()
            try:
                connection, peer = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            request = read_request(connection)
            if request is None:
                return
            expected = request.headers.get("firdock-expected-instance", self.name)
            if expected != self.name:
                connection.sendall(answer_head(421, request.id, ["Content-Length: 0"], None))
                return
            with self.lock:
                self.runs.append(request)
            self.site.record.write(
                f"server {self.name} ({self.version}) receives {request.id} {request.method} {request.target}"
                f" tenant={request.headers.get('firdock-tenant')}"
                f" last-event={request.headers.get('last-event-id')}"
            )
            self.work(self, connection, request)
        except OSError as e:
            self.site.record.write(f"server {self.name}: channel lost: {e}")
        finally:
            with self.lock:
                self.open.discard(connection)
            connection.close()

    def entry(self):
        ip, port = self.address
        return {
            "service": self.service, "address": f"{ip}:{port}", "zone": "hall-a", "version": self.version,
            "slots": 8, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self):
        self.sequence += 1
        self.site.store.put("keyed.servers", self.name, self.entry())

    def renew(self):
        while not self.ended.is_set():
            self.write_entry()
            self.ended.wait(HEARTBEAT_SECS)

    def crash(self):
        """Ends like a crashed process: resets all channels, and its address refuses new ones."""
        self.ended.set()
        self.listener.close()
        self.reset_channels()

    def reset_channels(self):
        with self.lock:
            connections, self.open = list(self.open), set()
        for connection in connections:
            reset(connection)


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Other threads may be blocked on it.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


def answer_head(status, attempt, more, signature="signed"):
    reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Firdock-Attempt-Id: {attempt}"]
    if signature:
        lines.append(f"Firdock-Response-Signature: {signature}")
    return ("\r\n".join(lines + more) + "\r\n\r\n").encode()


class Answer:
    """What a caller received: the head, the body, and how the channel ended."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.end = "open"

    @property
    def signature(self):
        return self.headers.get("firdock-response-signature")

    def __str__(self):
        return f"status={self.status} signature={self.signature} body={len(self.body)} bytes end={self.end}"


class Caller:
    """A caller's channel to an instance."""

    def __init__(self, address, timeout=30):
        self.connection = socket.create_connection(address, timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @staticmethod
    def head(method, path, attempt, key, length, deadline_ms, more=()):
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Firdock-Attempt-Id: {attempt}",
            f"Firdock-Deadline-Milliseconds: {deadline_ms}", f"Authorization: Token {key}",
            f"Content-Length: {length}", *more,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send(self, data):
        self.connection.sendall(data)

    def receive(self, on_body=None):
        """Reads one answer until its framing or the channel ends it."""
        answer, data = Answer(), b""
        try:
            while b"\r\n\r\n" not in data:
                part = self.connection.recv(65536)
                if not part:
                    answer.end = "closed without an answer"
                    return answer
                data += part
            head, rest = data.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                name, value = line.split(":", 1)
                answer.headers[name.strip().lower()] = value.strip()
            self.read_body(answer, rest, on_body)
        except ConnectionError as e:
            answer.end = f"reset ({type(e).__name__})"
        except socket.timeout:
            answer.end = "silent"
        return answer

    def read_body(self, answer, rest, on_body):
        if "chunked" in answer.headers.get("transfer-encoding", "").lower():
            decode, framed = Chunks(), "chunks"
        elif "content-length" in answer.headers:
            decode, framed = Length(int(answer.headers["content-length"])), "length"
        else:
            decode, framed = None, "neither"
        while True:
            if decode is None:
                answer.body += rest
            else:
                answer.body += decode.push(rest)
                if decode.done:
                    answer.end = f"complete by its {framed}"
                    return
            if on_body:
                on_body(answer)
            rest = self.connection.recv(65536)
            if not rest:
                answer.end = "complete: closed in order" if decode is None else "cut short"
                return

    def close(self):
        self.connection.close()


class Length:
    def __init__(self, length):
        self.left = length
        self.done = length == 0

    def push(self, data):
        data = data[: self.left]
        self.left -= len(data)
        self.done = self.left == 0
        return data


class Chunks:
    def __init__(self):
        self.buffer = b""
        self.done = False

    def push(self, data):
        self.buffer += data
        out = b""
        while b"\r\n" in self.buffer:
            line, rest = self.buffer.split(b"\r\n", 1)
            size = int(line.split(b";")[0], 16)
            if len(rest) < size + 2:
                return out
            out += rest[:size]
            self.buffer = rest[size + 2 :]
            if size == 0:
                self.done = True
                return out
        return out


def render(template, fields):
    """Fills a settings template as the platform does."""

    def find(name, entry):
        if name == ".":
            return entry
        value = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(text, entry, last):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def expand(match):
            value = find(match[1], entry)
            if value is None or value is False:
                return ""
            items = value if isinstance(value, list) else [value]
            return "".join(fill(match[2], item, n == len(items) - 1) for n, item in enumerate(items))

        text = section.sub(expand, text)
        text = text.replace("{{,}}", "" if last else ",")

        def gap(match):
            value = find(match[1], entry)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)

    return fill(template, None, True)


class Instance:
    """An entry instance: the program of the deploy file with settings from its template."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"front-hall-a-{number}"
        self.ip = site.instance_ip(number)
        self.door = site.store.door(site.server_ip())
        self.callers = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.process = None
        store_ip, store_port = self.door.server_address
        seeds = [f"{site.instance_ip(n)}:8229" for n in range(1, min(site.instances, 3) + 1)]
        fields = {
            "node": self.name, "zone": "hall-a", "ip": self.ip, "internal_ports": [PEERS_PORT, 7615],
            "listen": {"front": "%s:%d" % self.callers, "ready": "%s:%d" % self.ready},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "platform": {"address": f"{store_ip}:{store_port}"},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "platform"],
            "seeds": seeds, "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as template:
            text = render(template.read(), fields)
        self.settings = os.path.join(site.folder, f"{self.name}.toml")
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(text)
        self.log = os.path.join(site.folder, f"{self.name}.log")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            command = re.search(r'^run = "([^"]+)"', deploy.read(), re.M)[1].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["FIRDOCK_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.site.record.write(f"instance {self.name} started")
        return self

    def signal(self, number):
        self.site.record.write(f"instance {self.name} gets {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    def is_ready(self):
        try:
            caller = Caller(self.ready, 0.3)
            caller.send(f"GET /api/readiness HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            status = caller.receive().status
            caller.close()
            return status == 200
        except OSError:
            return False

    def until_ready(self):
        end = time.monotonic() + 20
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} does not become ready")
            time.sleep(0.05)
        self.site.record.write(f"instance {self.name} is ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Site:
    """The site of one case."""

    def __init__(self, case, instances):
        self.folder = tempfile.mkdtemp(prefix="firdock-review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.instances = instances
        self.network = f"127.{1 + os.getpid() % 250}.{1 + (os.getpid() // 250) % 250}"
        self.store = Store(self.record)
        self.processes = []

    def instance_ip(self, number):
        return f"{self.network}.{number}"

    def server_ip(self):
        return f"{self.network}.200"

    def instance(self, number):
        instance = Instance(self, number).start()
        self.processes.append(instance)
        return instance

    def manifest(self, version, tenants, timeout_ms=15000, **more):
        """Writes the manifest. Routes: `/once/` (unsafe), `/safe/`, `/stream/` (resumable)."""

        def route(name, kind, resumable=False):
            return {
                "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
                "target_latency_ms": 800, "priority": 0, "service": "pool", "attempts": 2, "public": False,
                "resumable": resumable, "target_gap_ms": 400, "sticky": False,
            }

        manifest = {
            "version": version,
            "routes": [route("once", "unsafe"), route("safe", "safe"), route("stream", "streaming", True)],
            "services": [{"name": "pool"}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 10000,
                       "idle_timeout_ms": 60000},
            "tenants": tenants,
            **more,
        }
        self.store.put("keyed.op", "config", manifest)
        self.record.write(f"store acknowledges manifest {version}")

    def close(self):
        for instance in self.processes:
            instance.end()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, instances, play):
    """Plays a case and exits with its result."""
    site = Site(os.path.dirname(os.path.abspath(case_file)), instances)

    def finish(result, text):
        site.close()
        site.record.write(text)
        print(text, flush=True)
        os._exit(result)

    def stop(*_):
        finish(COULD_NOT_RUN, "the case could not run: it was stopped or took too long")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(TIME_LIMIT)
    site.record.write(f"TROUBLE={int(trouble())}")
    try:
        broken = play(site)
    except Exception as e:  # whatever went wrong says nothing about the rule
        finish(COULD_NOT_RUN, f"the case could not run: {type(e).__name__}: {e}")
    if broken:
        finish(BROKEN, f"the rule was broken: {broken}")
    finish(HELD, "the rule held")
