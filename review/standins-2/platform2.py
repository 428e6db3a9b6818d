"""Stand-ins of the platform for the second review: the store, workers, callers, and the settings of a process.

They follow SYSTEM.md, PROTOCOL.md and DEPLOY.md. All of them run on one asyncio loop and use loopback addresses only.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/bin/celeryrouted"
TEMPLATE = ROOT / "deploy/node.settings.template"

# The bounds of the sheets of the first sites.
BOUNDS = {
    "revoke_ms": 5000, "config_apply_ms": 2000, "drain_ms": 2000, "grace_s": 8, "reuse_after_s": 2,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 110000, "ceiling_window_s": 5, "ceiling_overage": 1.1, "lease_ms": 3000,
    "fencing_enabled": "false",
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message with a length, chunks or no body. Returns (first line, fields, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif int(fields.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def message(status, fields, body=b"", reason="OK"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    fields = dict(fields)
    fields.setdefault("Content-Length", str(len(body)))
    head += "".join("%s: %s\r\n" % item for item in fields.items())
    return head.encode("latin-1") + b"\r\n" + body


class Store:
    """The platform's metadata store: a log with topics that have keys, held reads and appends."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.topics = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.address = "%s:%d" % (self.ip, self.port)

    def append(self, topic, content):
        records = self.topics.setdefault(topic, [])
        records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put(self, topic, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + text)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, _, body = request
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                values = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
                writer.write(await self.answer(method, path, values, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, values, body):
        topic = values.get("topic", "")
        records = self.topics.get(topic, [])
        if path == "/api/log-newest":
            newest = {}
            for offset, content in enumerate(records):
                key = content[1:1 + content[0]].decode()
                value = content[1 + content[0]:]
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                else:
                    newest.pop(key, None)
            items = [newest[key] for key in sorted(newest) if key > values.get("after", "")]
            text = json.dumps({"items": items[:500], "more": len(items) > 500, "end": len(records)}).encode()
            return message(200, {"Content-Type": "application/json"}, text)
        if path == "/api/log-read":
            first = int(values["from"])
            until = time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            while len(self.topics.get(topic, [])) <= first and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for content in records[first:]:
                data += len(content).to_bytes(4, "big") + content
            return message(200, {"Content-Type": "application/octet-stream"}, data)
        if path == "/api/log-append":
            offset = None
            while body:
                length = int.from_bytes(body[:4], "big")
                at = self.append(topic, body[4:4 + length])
                offset = at if offset is None else offset
                body = body[4 + length:]
            text = json.dumps({"offset": offset, "end": len(self.topics[topic])}).encode()
            return message(200, {"Content-Type": "application/json"}, text)
        return message(404, {}, b"", "Not Found")


class Process:
    """A process of the system with a settings file that is filled in from the project's template."""

    def __init__(self, folder, role, ip, values, name=None):
        self.name = name or role + "-" + ip.rsplit(".", 1)[1]
        self.role, self.ip, self.folder = role, ip, folder
        self.values = {
            "node_name": self.name, "role": role, "ip": ip, "zone": "z-a", "bootstrap": "true", "heartbeat_ms": 1200,
            **values,
        }
        self.process = None

    def write_settings(self):
        def value(match):
            found = self.values
            for part in match.group(1).split("."):
                if isinstance(found, dict):
                    found = found.get(part, "")
                elif isinstance(found, list):
                    found = found[int(part)]
            return str(found)

        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, TEMPLATE.read_text(encoding="utf-8"))
        self.settings = os.path.join(self.folder, self.name + ".settings")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        self.log_path = os.path.join(self.folder, self.name + ".log")
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log, env={"PATH": "/usr/bin:/bin", "LANG": "C",
                                                              "CELERYROUTE_CONFIG": self.settings})

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Worker:
    """A worker: `handle(worker, fields, line, body, writer)` writes the answer to one request."""

    def __init__(self, ip, identity, handle):
        self.ip, self.id, self.handle = ip, identity, handle
        self.requests = 0

    async def start(self, port=None):
        self.port = port or free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.address = "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, fields, body = request
                expected = fields.get("x-expect-instance")
                if expected is not None and expected != self.id:
                    writer.write(message(421, {"X-Request-Id": fields.get("x-request-id", ""),
                                               "X-Instance-Id": self.id}, b"", "Misdirected Request"))
                else:
                    self.requests += 1
                    await self.handle(self, fields, line, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def signed(fields, body=b"ok", more=None):
    return message(200, {"X-Request-Id": fields.get("x-request-id", ""), "X-Server-Signature": "s", **(more or {})},
                   body)


def server_record(worker, service, slots=6, version="v1", state="ready", sequence=0, **more):
    return {"service": service, "address": worker.address, "zone": "z-a", "version": version, "slots": slots,
            "state": state, "cold_remaining_ms": 0, "sequence": sequence, **more}


def engine_service(name, models):
    return {"name": name, "health_path": "/healthz", "max_connections": 360,
            "engine": {"slots": 64, "kv_capacity": 251265, "weights_mb": 140000, "adapter_slots": 8, "loads_per_s": 4.2,
                       "models": [{"name": model, "weights_mb": 42700.0, "load_s": 6.0, "adapters": 0,
                                   "adapter_mb": 66.0, "warm_s": 0.44, "disk_s": 0.57} for model in models]}}


def report(models, sequence, born, active=0):
    """The answer to GET /api/report."""
    text = json.dumps({"stage": "combined", "models": [{"name": model, "version": 1, "adapters": []}
                                                       for model in models],
                       "busy": False, "sequence": sequence, "queued": 0, "active": active, "kv_used": 0,
                       "kv_total": 251265, "handles": 0, "born": born}).encode()
    return message(200, {"Content-Type": "application/json"}, text)


async def ready(ip, port):
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(read_message(reader), 1)
        writer.close()
        return answer is not None and " 200 " in answer[0]
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_ready(ip, port, limit_s=10):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if await ready(ip, port):
            return True
        await asyncio.sleep(0.1)
    return False


def temporary_folder():
    return tempfile.mkdtemp(prefix="celeryroute-review-")


def remove_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)
