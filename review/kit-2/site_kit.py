"""A small deployment on loopback addresses: the platform's store, servers and clients as stand-ins, and the
project's own entry instances as separate processes, started by the command of the deploy file.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import json
import logging
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds as in the settings that the pages show for a small deployment.
BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "configuration_ms": 2000, "revoke_ms": 5000, "strict_revoke": True,
    "budget_ratio": 0.2, "budget_slack": 52, "recovery_s": 12, "contact_ms": 3000,
}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name):
    return next((value for key, value in headers if key == name), None)


async def read_chunks(reader, parts):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
        part = await reader.readexactly(size + 2)
        if part[size:] != b"\r\n":
            raise ValueError("malformed chunk")
        if size == 0:
            return
        parts.append(part[:size])


async def read_body(reader, headers):
    length = header(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if header(headers, "transfer-encoding"):
        parts = []
        await read_chunks(reader, parts)
        return b"".join(parts)
    return b""


class Store:
    """The platform's store: a log with keyed topics, as the pages describe it."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self):
        self.topics = {}
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = server.sockets[0].getsockname()

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, topic, key, value):
        """Appends a record as the operator or a server does; returns its offset."""
        records = self.topic(topic)
        records.append((key.encode() if isinstance(key, str) else key, value))
        return len(records) - 1

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                status, kind, answer = self.answer(method, target, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        records = self.topic(query.get("topic", ""))
        if url.path == "/api/log-append" and method == "POST":
            return self.append(query, records, body)
        if url.path == "/api/log-read" and method == "GET":
            return self.read(query, records)
        if url.path == "/api/log-newest" and method == "GET":
            return self.newest(query, records)
        return 404, "application/json", b"{}"

    @staticmethod
    def json(status, value):
        return status, "application/json", json.dumps(value).encode()

    def append(self, query, records, body):
        if query.get("topic") == "keyed.servers":
            return self.json(403, {})
        if "store_revision" in query and int(query["store_revision"]) != len(records):
            return self.json(412, {"end": len(records)})
        offset = len(records)
        while body:
            (size,) = struct.unpack(">I", body[:4])
            record, body = body[4 : 4 + size], body[4 + size :]
            key_size = record[0]
            records.append((record[1 : 1 + key_size], record[1 + key_size :] or None))
        return self.json(200, {"offset": offset, "end": len(records)})

    def read(self, query, records):
        start = int(query.get("from", 0))
        most = int(query.get("maximum_kilobytes", 1024)) * 1024
        out = [struct.pack(">QQ", len(records), 0)]
        size = 0
        for key, value in records[start:]:
            record = bytes([len(key)]) + key + (value or b"")
            size += len(record) + 4
            if size > most:
                break
            out.append(struct.pack(">I", len(record)) + record)
        return 200, "application/octet-stream", b"".join(out)

    def newest(self, query, records):
        newest = {}
        for offset, (key, value) in enumerate(records):
            if value is None:
                newest.pop(key, None)
            else:
                newest[key] = (offset, value)
        after = query.get("after_revision", "").encode()
        keys = sorted(key for key in newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = newest[key]
            text = base64.b64encode(value).decode()
            size += len(text) + len(key) + 60
            if items and (len(items) >= self.PAGE_ITEMS or size > self.PAGE_BYTES):
                break
            items.append({"private_key": key.decode(), "value": text, "offset": offset})
        return self.json(200, {"items": items, "has_more": len(items) < len(keys), "end": len(records)})


class Server:
    """A sound server of one service. `behave` may replace its answers."""

    def __init__(self, record, service, zone, behave=None, work_s=0.01):
        self.record, self.service, self.zone = record, service, zone
        self.id = "i-" + secrets.token_hex(4)
        self.behave, self.work_s = behave, work_s
        self.runs = []
        self.address = None
        self.running = 0

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = server.sockets[0].getsockname()

    def entry(self, sequence):
        return json.dumps({
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "slots": 7, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
        }).encode()

    async def beat(self, store):
        sequence = 0
        while True:
            sequence += 1
            store.put("keyed.servers", self.id, self.entry(sequence))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                await self.answer(method, target, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        attempt = header(headers, "firdock-attempt-id")
        if method == "GET" and target == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nFirdock-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        expected = header(headers, "firdock-expected-instance")
        if expected not in (None, self.id):
            writer.write((
                f"HTTP/1.1 421 Misdirected Request\r\nFirdock-Attempt-Id: {attempt}\r\n"
                f"Firdock-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n").encode())
            return await writer.drain()
        if attempt is None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nFirdock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return await writer.drain()
        tenant = header(headers, "firdock-tenant")
        self.runs.append((time.monotonic(), attempt, tenant, method, target, body))
        self.record(f"run    {attempt} at {self.id}: {method} {target}, Firdock-Tenant: {tenant!r}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = f"{self.id} did {attempt} ".encode() * 12
        if self.behave is not None:
            return await self.behave(self, attempt, answer, writer)
        writer.write(self.head(attempt, len(answer)) + answer)
        await writer.drain()

    def head(self, attempt, length):
        return (
            f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nFirdock-Attempt-Id: {attempt}\r\n"
            f"Firdock-Response-Signature: {self.id}.{attempt}\r\nFirdock-Server-Load: {self.running},0,7\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def fill(template, fields):
    """Fills a template by the rules of the pages, as far as the project's template uses them."""

    def find(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def run(part, scopes):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def expand(found):
            value = find(found[1], scopes)
            if value is None or value is False:
                return ""
            if not isinstance(value, list):
                inner = [value, *scopes] if not isinstance(value, bool) else scopes
                return run(found[2], inner)
            return "".join(
                run(found[2].replace("{{,}}", "," if n + 1 < len(value) else ""), [entry, *scopes])
                for n, entry in enumerate(value))

        part = section.sub(expand, part)
        part = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda f: json.dumps(find(f[1], scopes)), part)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda f: text(find(f[1], scopes)), part)

    return run(template, [fields])


class Instance:
    """An entry instance of the project as a process of its own."""

    def __init__(self, site, number, zone):
        self.site, self.name, self.zone = site, f"front-{zone}-{number}", zone
        self.ip = f"{site.net}.{10 + number}"
        self.front, self.ready_port = free_ports(self.ip, 2)
        self.process = None
        self.log = None

    def settings(self):
        site = self.site
        fields = {
            "node": self.name, "role": "entry", "ip": self.ip, "zone": self.zone, "region": "amman",
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready_port}"},
            "internal_ports": [7600, 7615], "seeds": [f"{i.ip}:8229" for i in site.instances[:3]],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4200,
                       "link_mbps": 1000.0},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "quota", "platform"],
            "bounds": BOUNDS, "platform": {"address": "%s:%d" % site.store.address},
        }
        path = site.folder / f"{self.name}.conf"
        path.write_text(fill((ROOT / site.role["template"]).read_text(), fields))
        return path

    async def start(self):
        path = self.settings()
        self.log = open(self.site.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.site.role["run"].split(), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "FIRDOCK_BOOT": str(path)})
        self.site.record(f"start  {self.name} (process {self.process.pid}) at {self.ip}:{self.front}")

    async def is_ready(self):
        try:
            status, _, _, _ = await asyncio.wait_for(exchange(
                (self.ip, self.ready_port), b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def exchange(address, request, at=None):
    """Sends a request over a new channel. Returns status, headers, body and whether the body is whole."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        await writer.drain()
        line, headers = await read_head(reader)
        while line.split(" ")[1].startswith("1"):
            line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        length, coding = header(headers, "content-length"), header(headers, "transfer-encoding")
        parts, whole = [], True
        try:
            if length is not None:
                parts.append(await reader.readexactly(int(length)))
            elif coding:
                await read_chunks(reader, parts)
            else:
                parts.append(await reader.read())
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
            parts.append(getattr(e, "partial", b""))
            whole = False
        return status, headers, b"".join(parts), whole
    finally:
        writer.close()


def read_role():
    """Returns the program and the template of the deploy file's only role."""
    lines = re.findall(r'^(run|template) = "([^"]*)"$', (ROOT / "deploy/system.toml").read_text(), re.M)
    return dict(lines)


class Site:
    """A store, servers and instances."""

    def __init__(self, record):
        self.role = read_role()
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the build of the deploy file has not run")
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="firdock-review-"))
        low = os.getpid()
        self.net = f"127.{1 + low % 250}.{1 + low // 250 % 250}"
        self.store = Store()
        self.servers, self.instances, self.tasks = [], [], []
        self.attempts = 0

    async def start(self, servers, instances, manifest):
        await self.store.start(f"{self.net}.2")
        for number, server in enumerate(servers):
            await server.start(f"{self.net}.{100 + number}")
            self.servers.append(server)
            self.tasks.append(asyncio.create_task(server.beat(self.store)))
        self.write_manifest(manifest)
        zones = ["hall-a", "hall-b"]
        self.instances = [Instance(self, n, zones[n % 2]) for n in range(instances)]
        for instance in self.instances:
            await instance.start()
        await self.until_ready(20)

    async def until_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while not all([await i.is_ready() for i in self.instances]):
            if time.monotonic() > end:
                raise CannotRun("the instances are not ready")
            await asyncio.sleep(0.1)
        self.record("all instances are ready")

    def write_manifest(self, manifest):
        offset = self.store.put("keyed.op", "config", json.dumps(manifest, ensure_ascii=False).encode())
        names = [t["name"] for t in manifest["tenants"]]
        self.record(f"store  took manifest version {manifest['version']} (op/config, offset {offset}), tenants {names}")

    async def call(self, instance, method, path, key, limit_s=3.0, body=b"x", deadline_ms=1500):
        self.attempts += 1
        attempt = f"{self.attempts:04x}{secrets.token_hex(6)}"
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: portal.example\r\nFirdock-Attempt-Id: {attempt}\r\n"
            f"Firdock-Deadline-Milliseconds: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        sent = time.monotonic()
        self.record(f"send   {attempt} to {instance.name}: {method} {path}, key {key}")
        try:
            status, headers, answer, whole = await asyncio.wait_for(
                exchange((instance.ip, instance.front), request), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            self.record(f"answer {attempt}: none ({type(e).__name__})")
            return sent, attempt, None, [], b"", False
        reason = re.search(rb'"reason":"([^"]*)"', answer)
        note = f", reason {reason[1].decode()}" if reason else ""
        self.record(f"answer {attempt}: {status}, {len(answer)} bytes, whole: {whole}{note}")
        return sent, attempt, status, headers, answer, whole

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            await instance.end()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Dose:
    """Servers that hand out wrong bytes: half of the servers, one in 34 of their answers (0.029), for 5 s."""

    ANSWERS = 34
    SECONDS = 5.0

    def __init__(self, record):
        self.record, self.began, self.counts = record, None, {}

    def begin(self, servers):
        """Lets the first half of the servers spoil answers from now on."""
        self.began = time.monotonic()
        self.counts = {server.id: 0 for server in servers[: len(servers) // 2]}
        if TROUBLE:
            self.record(f"server {', '.join(self.counts)} spoils one in {self.ANSWERS} answers for {self.SECONDS} s")

    def spoils(self, server):
        if not TROUBLE or self.began is None or server.id not in self.counts:
            return False
        if time.monotonic() > self.began + self.SECONDS:
            return False
        self.counts[server.id] += 1
        return self.counts[server.id] % self.ANSWERS == 0


async def load(site, dose, one, workers=6):
    """Calls `one(instance)` by some clients side by side, as long as the servers are in trouble; returns the results."""
    dose.begin(site.servers)
    results = []

    async def client(instance):
        while time.monotonic() < dose.began + dose.SECONDS:
            results.append(await one(instance))

    await asyncio.gather(*[client(site.instances[n % len(site.instances)]) for n in range(workers)])
    return results


def manifest(version, tenants, kind="unsafe"):
    """A manifest of the form that the pages show, with one route of a plain service."""
    return {
        "version": version,
        "routes": [{
            "name": "r-26tta82", "host": "portal.example", "path_prefix": "/meter/", "kind": kind,
            "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "meter-portal", "attempts": 1,
            "public": False, "sticky": False, "resumable": False}],
        "services": [{"name": "meter-portal", "health_path": "/health", "connection_limit": 100, "protocol": "h1",
                      "tls": False}],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


def tenant(name, *keys):
    return {"name": name, "api_keys": list(keys), "priority": 1, "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": 233855, "burst": 233855}


def play(record, case):
    """Plays a case, which returns whether the rule held, with its record in that file, and exits as the issue asks."""

    async def run():
        site = Site(record)
        try:
            return await asyncio.wait_for(case(site), 110), site
        finally:
            await site.end()

    try:
        # Connections that are cut at the end of the case need no traceback.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        held, site = asyncio.run(run())
    except Exception as e:  # An error of the script itself is no broken rule.
        print(f"the case could not run: {e!r}")
        sys.exit(2)
    if held is None:
        print("the case could not run: the site did not serve before the disruption")
        sys.exit(2)
    site.record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
