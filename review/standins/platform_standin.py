"""Stand-ins of the users' platform for the review: the store, the workers, the requesters and the operator.

They follow the pages PROTOCOL.md and DEPLOY.md. All of them run in threads of one Python process and listen on
loopback addresses. Whatever a case does beyond a sound peer is switched on by the case itself.
"""

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
KEEP_ALIVE = {"Keep-Alive": "timeout=5"}  # Workers state how long they keep an idle channel.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "outer_ms": 5000, "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_slack": 52, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recover_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "fencing_enabled": False, "lease_ms": 3000, "thaw_ms": 300,
    "ceiling_window_s": 5, "ceiling_overage": 1.1,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for everything that was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, who, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {who:10} {text}\n")
            self._file.flush()

    def say(self, text):
        self.write("judge", text)
        print(text, flush=True)


class Channel:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _more(self):
        part = self.sock.recv(65536)
        if not part:
            raise ConnectionError("closed")
        self.buffer += part

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        part, self.buffer = self.buffer[:count], self.buffer[count:]
        return part

    def head(self):
        first = self.line().decode("latin-1")
        while not first:
            first = self.line().decode("latin-1")
        fields = {}
        while line := self.line():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        return first, fields

    def body(self, fields, until_close=False):
        if "chunked" in fields.get("transfer-encoding", "").lower():
            whole = b""
            while size := int(self.line().split(b";")[0], 16):
                whole += self.exactly(size)
                self.line()
            while self.line():
                pass
            return whole
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if not until_close:
            return b""
        try:
            while True:
                self._more()
        except ConnectionError:
            whole, self.buffer = self.buffer, b""
            return whole

    def request(self):
        first, fields = self.head()
        method, target, _ = first.split(" ", 2)
        return method, target, fields, self.body(fields)

    def answer(self):
        first, fields = self.head()
        status = int(first.split(" ")[1])
        return status, fields, self.body(fields, until_close=True)

    def send(self, data):
        self.sock.sendall(data)

    def close(self, reset=False):
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)  # Also wakes the thread that reads.
        except OSError:
            pass
        try:
            self.sock.close()
        except OSError:
            pass


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def message(status, fields, body=b""):
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts channels in a thread of its own and serves each of them in another one."""

    def __init__(self, address):
        self.address = address
        self._channels = set()
        self._lock = threading.Lock()
        self._listener = None

    def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self, reset=True):
        """Ends as a process does that is killed."""
        listener, self._listener = self._listener, None
        if listener:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self._lock:
            channels, self._channels = self._channels, set()
        for channel in channels:
            channel.close(reset=reset)

    def _accept(self, listener):
        while self._listener is listener:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            channel = Channel(sock)
            with self._lock:
                self._channels.add(channel)
            threading.Thread(target=self._run, args=(channel,), daemon=True).start()

    def _run(self, channel):
        try:
            while True:
                request = channel.request()
                if channel not in self._channels:
                    return
                self.serve(channel, *request)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._channels.discard(channel)
            channel.close()

    def serve(self, channel, method, target, fields, body):
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with keyed topics, held reads and the header Store-Era."""

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.changed = threading.Condition()
        self.topics = {}
        self.times = {}
        self.era = 1
        self.away = False

    def put(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        with self.changed:
            self._append(topic, content)

    def put_config(self, state):
        self.put("keyed.op", "config", json.dumps(state).encode())
        self.record.write("operator", f"op/config version {state['version']} confirmed")

    def _append(self, topic, content):
        offset = len(self.topics.setdefault(topic, []))
        self.topics[topic].append(content)
        self.times.setdefault(topic, []).append(time.monotonic())
        self.changed.notify_all()
        return offset

    def go_away(self):
        """The store is away for a moment: its channels end and new ones are refused."""
        with self.changed:
            self.away = True
            self.changed.notify_all()
        self.close()
        self.record.write("store", "is away")

    def come_back(self, age_s):
        """The store comes back from a copy that is @p age_s old; what was written since is gone."""
        with self.changed:
            since = time.monotonic() - age_s
            for topic, times in self.times.items():
                kept = sum(1 for at in times if at <= since)
                del times[kept:]
                del self.topics[topic][kept:]
            self.era += 1
            self.away = False
        self.open()
        self.record.write("store", f"is back from a copy of {age_s:.1f} s ago, Store-Era {self.era}")

    def _newest(self, topic, after):
        newest = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            key, value = content[1:1 + content[0]].decode("latin-1"), content[1 + content[0]:]
            newest[key] = (offset, value)
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(newest.items()) if value and key > after]
        return {"items": items, "more": False, "end": len(self.topics.get(topic, []))}

    def _read(self, topic, start):
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for content in records[start:]:
            body += struct.pack(">I", len(content)) + content
            if len(body) > 1024 * 1024:
                break
        return body

    def serve(self, channel, method, target, fields, body):
        path, _, text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&") if part)
        topic = query.get("topic", "")
        with self.changed:
            status, kind, answer = 200, "application/json", b""
            if path == "/api/log-newest":
                answer = json.dumps(self._newest(topic, query.get("after", ""))).encode()
            elif path == "/api/log-read":
                start, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
                until = time.monotonic() + wait
                era = self.era
                while len(self.topics.get(topic, [])) <= start and era == self.era and not self.away:
                    left = until - time.monotonic()
                    if left <= 0 or len(self.topics.get(topic, [])) < start:
                        break
                    self.changed.wait(left)
                if self.away or era != self.era:
                    raise ConnectionError
                if len(self.topics.get(topic, [])) < start:
                    status, answer = 410, json.dumps({"first": 0}).encode()
                else:
                    kind, answer = "application/octet-stream", self._read(topic, start)
            elif path == "/api/log-append":
                offset = self._append(topic, body[4:])
                answer = json.dumps({"offset": offset, "end": offset + 1}).encode()
            else:
                status = 400
            head = {"Content-Type": kind, "Store-Era": str(self.era)}
        channel.send(message(status, head, answer))


class Worker(Server):
    """A worker of a service: a model worker if it has an engine, else a plain service."""

    def __init__(self, name, address, service, store, record, zone="za", models=(), disk=(), slots=8):
        super().__init__(address)
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.zone = zone
        self.slots = slots
        self.start_models = list(models)
        self.disk = set(disk) | set(models)
        self.version = "v1"
        self.load_s = {}
        self.alive = False
        self.runs = []  # (request id, time, worker)
        self.lock = threading.RLock()
        self.pieces = 5
        self.piece_s = 0.02
        self.work_s = 0.03
        self.answers = 0
        self.spoil = None  # Called with the worker, the channel and the answer that is about to be sent.
        self.before = None  # Called with the worker, the channel and the request, before it is read further.

    def start(self, identity, models=None, first_beat_s=0.0):
        """The worker writes its entry with its first heartbeat, which comes @p first_beat_s after the start."""
        with self.lock:
            self.identity = identity
            self.models = list(self.start_models if models is None else models)
            self.loading = None
            self.sequence = 0
            self.born = int(time.time() * 1000)
            self.alive = True
        self.open()
        if first_beat_s:
            timer = threading.Timer(first_beat_s, self.register)
            timer.daemon = True
            timer.start()
        else:
            self.register()
        self.record.write(self.name, f"starts as {identity}, holds {self.models}")

    def crash(self):
        with self.lock:
            self.alive = False
        self.close()
        self.record.write(self.name, "crashes")

    def expire(self):
        self.store.put("keyed.servers", self.identity, b"")
        self.record.write("store", f"servers/{self.identity} is removed")

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state, "cold_remaining_ms": 0,
                "stage": "combined", "models": self._held(), "sequence": self.sequence, "born": self.born,
                "available": {"in_memory": [], "on_disk": sorted(self.disk)}}

    def register(self):
        self.store.put("keyed.servers", self.identity, json.dumps(self.entry()).encode())

    def _held(self):
        return [{"name": model, "version": 1, "adapters": []} for model in self.models]

    def reply(self, channel, request, status, fields, body=b""):
        fields = dict(fields) | KEEP_ALIVE
        if request:
            fields["X-Request-Id"] = request
        answer = message(status, fields, body)
        self.answers += 1
        channel.send(answer)
        if self.spoil and request:
            self.spoil(self, channel, request, status, answer)

    def serve(self, channel, method, target, fields, body):
        if target == "/api/report":
            return self._report(channel)
        expected = fields.get("x-expect-instance")
        request = fields.get("x-request-id", "")
        if target == "/api/order":
            return self._order(channel, expected, json.loads(body))
        if target == "/healthz":
            return channel.send(message(200, {"X-Instance-Id": self.identity}))
        if self.before:
            self.before(self, channel, request)
        if expected and expected != self.identity:
            self.record.write(self.name, f"answers {request} with 421, wants {expected}")
            return self.reply(channel, request, 421, {"X-Instance-Id": self.identity, "X-Not-Executed": "1"})
        model = fields.get("x-model")
        if model and model not in self.models:
            self.record.write(self.name, f"answers {request} with 421, does not hold {model}")
            return self.reply(channel, request, 421, {"X-Instance-Id": self.identity, "X-Not-Executed": "1"})
        self.run(channel, method, target, fields, body, request)

    def run(self, channel, method, target, fields, body, request):
        with self.lock:
            self.runs.append((request, self.record.now(), self.name))
        self.record.write(self.name, f"runs {request} {method} {target} tenant {fields.get('x-tenant', '-')}")
        if "x-model" in fields:
            self._stream(channel, request)
        else:
            time.sleep(self.work_s)
            self.reply(channel, request, 200, {"X-Server-Signature": "s." + request}, b"done " + request.encode())
        self.record.write(self.name, f"has answered {request}")

    def _stream(self, channel, request):
        head = {"Content-Type": "text/event-stream", "X-Server-Signature": "s." + request, "X-Request-Id": request,
                "Transfer-Encoding": "chunked", "X-Weight-Versions": "1"} | KEEP_ALIVE
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n"
        channel.send(text.encode())
        for number in range(1, self.pieces + 1):
            time.sleep(self.piece_s)
            event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            channel.send(b"%x\r\n%s\r\n" % (len(event), event))
        channel.send(b"0\r\n\r\n")
        self.answers += 1

    def _report(self, channel):
        with self.lock:
            report = {"stage": "combined", "models": self._held(), "busy": self.loading is not None,
                      "sequence": self.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 250000,
                      "handles": 0, "born": self.born,
                      "available": {"in_memory": [], "on_disk": sorted(self.disk)}}
        channel.send(message(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))

    def _order(self, channel, expected, order):
        with self.lock:
            if expected and expected != self.identity:
                status = 421
            elif self.loading or order.get("precondition", self.sequence) != self.sequence:
                status = 409
            elif order["operation"] == "load" and order["model"] in self.models:
                status = 200
            else:
                status = 202
                self.sequence += 1
                if order["operation"] == "load":
                    self.loading = order["model"]
                    took = 0.5 if order["model"] in self.disk else 6.0
                    timer = threading.Timer(took, self._loaded, (self.born, order["model"]))
                    timer.daemon = True
                    timer.start()
                else:
                    self.models.remove(order["model"])
        self.record.write(self.name, f"order {order['operation']} {order['model']} of {order['holder']} "
                                     f"fence {order['fencing_token']}: {status}")
        channel.send(message(status, {"X-Not-Executed": "1"} if status == 421 else {}))
        if status == 202 and order["operation"] == "unload":
            self.register()

    def _loaded(self, born, model):
        with self.lock:
            if born != self.born or not self.alive:
                return
            self.models.append(model)
            self.disk.add(model)
            self.loading = None
        self.record.write(self.name, f"holds {self.models}")
        self.register()


def render(template, values):
    """Fills in the plain placeholders of a settings template, as DEPLOY.md tells."""
    def value(match):
        found = values
        for part in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part, "") if isinstance(found, dict) else ""
        return {True: "true", False: "false"}.get(found, str(found)) if isinstance(found, bool) else str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Deployment:
    """The processes of the deploy file, a store, workers and requesters of one case."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.processes = {}
        self.settings = {}
        self.exits = {}
        self.stopping = set()
        self.starting = threading.Lock()  # Nothing is started once the case has ended.
        self.temporary = tempfile.TemporaryDirectory(prefix="celeryroute-review-")
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = Store(("127.0.0.1", free_port("127.0.0.1")), self.record)
        self.store.open()
        self.peer_port = self._peer_port()
        self.workers = []
        signal.signal(signal.SIGALRM, self._too_long)
        signal.signal(signal.SIGTERM, self._too_long)
        signal.signal(signal.SIGINT, self._too_long)
        signal.alarm(115)

    def _too_long(self, *_):
        self.record.say("the case took too long or was stopped")
        self.end()
        os._exit(2)

    @staticmethod
    def _peer_port():
        for _ in range(50):
            port = free_port("127.0.1.1", socket.SOCK_DGRAM)
            if port < 64000:
                return port
        raise OSError("no free port")

    def front_ip(self, number):
        return f"127.0.1.{number}"

    def side_ip(self, number):
        return f"127.0.2.{number}"

    def _fields(self, name, ip, zone, role, **more):
        fields = {"node_name": name, "role": role, "ip": ip, "zone": zone, "region": "z",
                  "internal_ports": [self.peer_port, self.peer_port + 15], "bootstrap": True,
                  "heartbeat_ms": int(HEARTBEAT_S * 1000),
                  "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100},
                  "bounds": BOUNDS, "platform": {"address": "%s:%d" % self.store.address}}
        fields.update(more)
        return fields

    def add_front(self, number, zone="za"):
        ip = self.front_ip(number)
        listen = {"front": f"{ip}:{free_port(ip)}", "ready": f"{ip}:{free_port(ip)}"}
        name = f"front-{number}"
        self.settings[name] = ("entry", self._fields(name, ip, zone, "entry", listen=listen))
        return name

    def add_side(self, number, worker, zone="za"):
        name = f"side-{number}"
        self.settings[name] = ("agent", self._fields(name, self.side_ip(number), zone, "agent",
                                                     app="%s:%d" % worker.address, service=worker.service))
        return name

    def add_worker(self, name, number, service, **more):
        ip = self.side_ip(number)
        worker = Worker(name, (ip, free_port(ip)), service, self.store, self.record, **more)
        self.workers.append(worker)
        return worker

    def start(self, name, bootstrap=True):
        role, fields = self.settings[name]
        fields["bootstrap"] = bootstrap
        program = self.roles[role]
        with open(os.path.join(REPOSITORY, program["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.temporary.name, name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CELERYROUTE_CONFIG"] = path
        log = open(os.path.join(self.temporary.name, name + ".log"), "ab")
        with self.starting:
            if self.ended:
                raise RuntimeError("the case has ended")
            self.processes[name] = subprocess.Popen(program["run"].split(), cwd=REPOSITORY, env=environment,
                                                    stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.record.write(name, "is started")

    def watch(self, restart_after_s=0.5):
        """Restarts processes that end by themselves, as the platform does, and counts these ends."""
        def run():
            while not self.ended:
                for name, process in list(self.processes.items()):
                    if process.poll() is not None and name not in self.stopping:
                        self.exits[name] = self.exits.get(name, 0) + 1
                        self.record.write(name, f"ended by itself, exit status {process.returncode}")
                        time.sleep(restart_after_s)
                        try:
                            self.start(name, bootstrap=False)
                        except (OSError, RuntimeError):
                            return
                time.sleep(0.02)
        threading.Thread(target=run, daemon=True).start()

    ended = False

    def kill(self, name):
        self.stopping.add(name)
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.write(name, "is killed")

    def restart(self, name):
        self.start(name, bootstrap=False)
        self.stopping.discard(name)

    def log(self, name):
        with open(os.path.join(self.temporary.name, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def ready(self, name):
        ip, port = self.settings[name][1]["listen"]["ready"].split(":")
        try:
            with socket.create_connection((ip, int(port)), 1) as sock:
                sock.settimeout(1)
                channel = Channel(sock)
                channel.send(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return channel.answer()[0] == 200
        except (OSError, ValueError):
            return False

    def wait_ready(self, names, within_s=10):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if all(self.ready(name) for name in names):
                return True
            time.sleep(0.05)
        return False

    def requester(self, front):
        return Requester(self, front)

    def end(self):
        # Not waited for without end: a signal may have come while this thread holds the lock.
        locked = self.starting.acquire(timeout=2)
        self.ended = True
        if locked:
            self.starting.release()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if folder := os.environ.get("KEEP_LOGS"):
            os.makedirs(folder, exist_ok=True)
            for name in self.settings:
                with open(os.path.join(folder, name + ".log"), "w", encoding="utf-8") as file:
                    file.write(self.log(name) if name in self.processes else "")
        self.temporary.cleanup()


class Requester:
    """Sends requests to one front machine, over one kept channel or a new one for each request."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, deployment, front):
        self.deployment = deployment
        self.front = front
        self.record = deployment.record

    def connect(self, timeout=1.0):
        ip, port = self.deployment.settings[self.front][1]["listen"]["front"].split(":")
        return Channel(socket.create_connection((ip, int(port)), timeout))

    def send(self, path, *, method="POST", host="api.example", key=None, model=None, deadline_ms=1000, body=b"x",
             request=None, fields=(), channel=None):
        """Returns (request id, status, fields, body); status 0 means a closed channel or no answer."""
        request = request or "q%06d" % next(self.numbers)
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request}",
                f"X-Deadline-Ms: {deadline_ms}"]
        if key:
            head.append(f"Authorization: Bearer {key}")
        if model:
            head += [f"X-Model: {model}", "X-Token-Usage: 20,20", f"X-Prompt-Prefix: aa:10,{request[1:]}:10"]
        head += [f"{name}: {value}" for name, value in fields]
        if method != "GET":
            head.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(head) + "\r\n\r\n").encode() + (body if method != "GET" else b"")
        self.record.write("requester", f"sends {request} {method} {path} to {self.front}")
        own = channel is None
        status, answer, content = 0, {}, b""
        try:
            channel = channel or self.connect()
            channel.sock.settimeout(deadline_ms / 1000 + 0.5)
            channel.send(data)
            status, answer, content = channel.answer()
        except (OSError, ValueError) as error:
            self.record.write("requester", f"gets no answer to {request}: {error}")
        else:
            self.record.write("requester", f"gets {status} for {request}"
                                           + (" with a signature" if "x-server-signature" in answer else ""))
        finally:
            if own and channel:
                channel.close()
        return request, status, answer, content


def runs_of(deployment, request):
    return [run for worker in deployment.workers for run in worker.runs if run[0] == request]


def main(folder, case):
    """Runs @p case with a deployment; it returns True if the rule held, False if not, None if it couldn't run."""
    deployment = None
    outcome = None
    try:
        deployment = Deployment(folder)
        outcome = case(deployment)
    except Exception:  # Whatever keeps the case from running says nothing about the rule.
        traceback.print_exc()
    finally:
        if deployment:
            deployment.end()
    if not deployment:
        os._exit(2)
    deployment.record.say({True: "the rule held", False: "the rule was broken"}.get(outcome, "the case could not run"))
    sys.stdout.flush()
    os._exit({True: 0, False: 1}.get(outcome, 2))
