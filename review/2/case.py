"""A worker starts again under a new id and answers a booking with 421; a second copy of that answer arrives late."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import platform_standin as platform  # noqa: E402

WORKERS = 3  # As in the sheet of this service; the least that can crash is one of them.
DOWN_S = 0.2  # The worker is down for this time.
WARM_UP = 60  # Bookings before the crash; the worker answers at least 34 of them within 5 s.
ROUNDS = 5  # At most, six seconds and more apart: the entry need not choose the new id next.
STATE = {
    "version": 3,
    "routes": [{"name": "book", "host": "api.example", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 1000,
                "target_latency_ms": 100, "priority": 2, "service": "desk", "max_attempts": 1,
                "allow_anonymous": False}],
    "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 96}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "shop", "api_keys": ["key-shop"]}],
}


class SecondCopy:
    """Repeats one answer with 421 on its channel, where the answer to the next request is expected."""

    def __init__(self, record):
        self.record = record
        self.armed = False
        self.sent = 0
        self.copies = {}

    def spoil(self, worker, channel, request, status, answer):
        if self.armed and status == 421:
            self.armed = False
            self.copies[channel] = (request, answer)

    def before(self, worker, channel, request):
        if channel in self.copies:
            of, answer = self.copies.pop(channel)
            self.sent += 1
            channel.send(answer)
            self.record.write(worker.name, f"sends a second copy of its answer with 421 to {of}")


def case(deployment):
    workers = [deployment.add_worker(f"desk-{n}", n, "desk") for n in range(1, WORKERS + 1)]
    deployment.store.put_config(STATE)
    for number, worker in enumerate(workers, 1):
        worker.work_s = 0.01 if number == 1 else 0.03  # Workers of one service differ in speed.
        worker.start("i-" + worker.name)
    front = deployment.add_front(1)
    deployment.start(front)
    if not deployment.wait_ready([front]):
        return None
    time.sleep(4)
    requester = deployment.requester(front)
    restarted = workers[0]
    copy = SecondCopy(deployment.record)
    restarted.spoil, restarted.before = copy.spoil, copy.before
    asked = []
    for number in range(ROUNDS):
        # A few at once first, so that the entry learns how fast each worker is.
        together = [threading.Thread(target=requester.send, args=("/book/1",), kwargs={"key": "key-shop"})
                    for _ in range(4 * WORKERS)]
        for thread in together:
            thread.start()
        for thread in together:
            thread.join()
        before = restarted.answers
        for _ in range(WARM_UP):
            if requester.send("/book/1", key="key-shop")[1] != 200:
                return None
        deployment.record.write("judge", f"{restarted.name} has answered {restarted.answers - before} of {WARM_UP}")
        if platform.trouble():
            copy.armed = restarted.answers - before >= 34
            earlier = restarted.identity
            restarted.crash()
            # Its entry is removed after three heartbeat intervals of silence.
            expiry = threading.Timer(3 * platform.HEARTBEAT_S, deployment.store.put, ("keyed.servers", earlier, b""))
            expiry.daemon = True
            expiry.start()
            time.sleep(DOWN_S)
            restarted.start(f"i-{restarted.name}-{number + 2}")
            time.sleep(0.1)
        round_asked = []
        for _ in range(20):
            request, status, _, _ = requester.send("/book/1", key="key-shop")
            round_asked.append((request, status))
        asked += round_asked
        time.sleep(1)
        if any(len(platform.runs_of(deployment, request)) > 1 for request, _ in round_asked):
            break
        time.sleep(6)
    if platform.trouble() and not copy.sent:
        return None
    broken = []
    for request, status in asked:
        runs = platform.runs_of(deployment, request)
        if len(runs) > 1 or (status in (408, 421, 429, 503) and runs):
            broken.append((request, status, [worker for _, _, worker in runs]))
    deployment.record.say(f"bookings that ran twice, or were refused and ran: {broken}")
    # RULES.md, TWICE: a request that isn't idempotent runs more than once. REFUSED: 503 and has run.
    return not broken


platform.main(FOLDER, case)
