"""All front machines lose power while the last worker of an earlier software version leaves; streams go on elsewhere."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import platform_standin as platform  # noqa: E402

WORKERS = 8  # One of them is replaced: the share of `release` is 0.125.
STREAMS = 12
DOWN_S = 2.0  # herd_kill with power, for_s 2.0
RETRIES = 1  # Of a requester, as the sheet tells for each kind of request.
GAP_S = 10.0  # Two seconds, four times the objective or eight times the pause, whichever is longest.
STATE = {
    "version": 3,
    "routes": [{"name": "draft", "host": "api.example", "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 2500, "target_gap_ms": 600, "priority": 1,
                "service": "advisor", "max_attempts": 2, "allow_anonymous": False, "sticky_sessions": True,
                "resumable": True}],
    "services": [{"name": "advisor", "health_path": "/healthz", "max_connections": 360,
                  "engine": {"slots": 64, "kv_capacity": 250000, "weights_mb": 140000, "adapter_slots": 8,
                             "loads_per_s": 4.2,
                             "models": [{"name": "m1", "weights_mb": 42700, "load_s": 6.0, "disk_s": 0.5,
                                         "warm_s": 0.5, "adapters": 0, "adapter_mb": 66.0}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "shop", "api_keys": ["key-shop"]}],
}


class Stream:
    """A requester that takes its stream up where it broke off, as the pages tell."""

    def __init__(self, deployment, fronts, number):
        self.deployment = deployment
        self.record = deployment.record
        self.fronts = fronts
        self.number = number
        self.first_request = None
        self.last_event = 0
        self.origins = []  # (software version, event)
        self.last_at = time.monotonic()
        self.complete = False
        self.began = time.monotonic()

    def run(self):
        self._try(self.fronts[self.number % len(self.fronts)])
        for number in range(RETRIES):
            if not self.complete:
                self._try(self.fronts[(self.number + number + 1) % len(self.fronts)])

    def _try(self, front):
        requester = self.deployment.requester(front)
        request = "q%06d" % next(platform.Requester.numbers)
        left = 15000 - int((time.monotonic() - self.began) * 1000)
        head = ["POST /draft/1 HTTP/1.1", "Host: api.example", f"X-Request-Id: {request}", f"X-Deadline-Ms: {left}",
                "Authorization: Bearer key-shop", "X-Model: m1", "X-Token-Usage: 20,73",
                f"X-Prompt-Prefix: aa:10,{self.number:x}:10", "Content-Length: 1"]
        if self.last_event:
            head += [f"Last-Event-Id: {self.last_event}", f"Resumes: {self.first_request}"]
        self.record.write(f"stream {self.number}", f"sends {request} to {front}, last event {self.last_event}")
        try:
            channel = requester.connect()
            channel.sock.settimeout(16)
            channel.send(("\r\n".join(head) + "\r\n\r\n").encode() + b"x")
            first, fields = channel.head()
            status = int(first.split(" ")[1])
            self.record.write(f"stream {self.number}", f"gets {status} for {request}")
            if status != 200:
                channel.close()
                return
            while True:
                size = int(channel.line(), 16)
                if size == 0:
                    self.complete = True
                    break
                for event in channel.exactly(size).decode().split("\n\n")[:-1]:
                    lines = dict(line.split(": ", 1) for line in event.split("\n"))
                    self.first_request = self.first_request or request
                    self.last_event = int(lines["id"])
                    self.last_at = time.monotonic()
                    self.origins.append((lines["data"], self.last_event))
                channel.line()
            channel.close()
        except (OSError, ValueError) as error:
            # A machine without power closes no channel: the requester sees only that nothing comes, and abandons the
            # stream after the gap that the page tells.
            time.sleep(max(0.0, self.last_at + GAP_S - time.monotonic()))
            self.record.write(f"stream {self.number}", f"is abandoned {GAP_S} s after event {self.last_event}: {error}")


class StreamWorker(platform.Worker):
    """Its events name its software version; it goes on after Last-Event-Id, whatever version began the stream."""

    def serve(self, channel, method, target, fields, body):
        self.after = {} if not hasattr(self, "after") else self.after
        self.after[fields.get("x-request-id")] = int(fields.get("last-event-id", "0"))
        super().serve(channel, method, target, fields, body)

    def _stream(self, channel, request):
        head = {"Content-Type": "text/event-stream", "X-Server-Signature": "s." + request, "X-Request-Id": request,
                "Transfer-Encoding": "chunked", "X-Weight-Versions": "1"}
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n"
        channel.send(text.encode())
        for number in range(self.after[request] + 1, 73):
            time.sleep(0.12)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            channel.send(b"%x\r\n%s\r\n" % (len(event), event))
        channel.send(b"0\r\n\r\n")


def add_advisor(deployment, number, version, models):
    ip = deployment.side_ip(number)
    worker = StreamWorker(f"advisor-{number}", (ip, platform.free_port(ip)), "advisor", deployment.store,
                          deployment.record, models=models, disk=["m1"], slots=64)
    worker.version = version
    deployment.workers.append(worker)
    return worker


def case(deployment):
    advisors = [add_advisor(deployment, number, "v1" if number == 1 else "v2", ["m1"] if number <= 2 else [])
                for number in range(1, WORKERS + 1)]
    deployment.store.put_config(STATE)
    fronts = [deployment.add_front(1), deployment.add_front(2)]
    sides = []
    for number, worker in enumerate(advisors, 1):
        worker.start(f"i-{number}")
        sides.append(deployment.add_side(number, worker))
    for name in fronts + sides:
        deployment.start(name)
    if not deployment.wait_ready(fronts):
        return None
    time.sleep(4)
    replacement = add_advisor(deployment, WORKERS + 1, "v2", ["m1"])
    replacement.start("i-new")
    deployment.start(deployment.add_side(WORKERS + 1, replacement))
    time.sleep(1)
    streams = [Stream(deployment, fronts, number) for number in range(STREAMS)]
    threads = [threading.Thread(target=stream.run, daemon=True) for stream in streams]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(0.3)
    advisors[0].expire()  # It leaves without a report, and goes on serving for many seconds.
    time.sleep(1)
    if platform.trouble():
        for front in fronts:
            deployment.kill(front)
        time.sleep(DOWN_S)
        for front in fronts:
            deployment.restart(front)
    for thread in threads:
        thread.join(20)
    mixed = []
    for stream in streams:
        versions = []
        for version, _ in stream.origins:
            if version not in versions:
                versions.append(version)
        if len(versions) > 1:
            mixed.append(stream.number)
        deployment.record.say(f"stream {stream.number}: versions {versions}, events {len(stream.origins)}, "
                              f"{'complete' if stream.complete else 'incomplete'}")
    deployment.record.say(f"streams with events of two software versions: {len(mixed)}")
    began_at_first = sum(bool(stream.origins) and stream.origins[0][0] == "v1" for stream in streams)
    if began_at_first < 3:
        return None
    # Letter 5, ORDER: more than two streams hold events from workers of two software versions of one service.
    return len(mixed) <= 2


platform.main(FOLDER, case)
