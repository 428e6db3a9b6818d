"""A worker restarts empty and answers a request with 421; a second copy of that answer arrives late."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import platform_standin as platform  # noqa: E402

DOWN_S = 0.2  # The worker is down for this time.
FIRST_BEAT_S = 1.0  # From its start to its first heartbeat, which is less than heartbeat_ms.
WORKERS = 6  # One of them crashes and has a second copy: not more than the share 0.17 of srv_crash.
WARM_UP = 40  # Answers in the seconds before the one that has a second copy: less than x (0.03) of them have one.
ROUNDS = 4  # At most: the request has to come before the agent has read that the worker has started again.
STATE = {
    "version": 3,
    "routes": [{"name": "draft", "host": "api.example", "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 5000, "target_latency_ms": 800, "target_gap_ms": 600, "priority": 1,
                "service": "advisor", "max_attempts": 1, "allow_anonymous": False, "sticky_sessions": True,
                "resumable": False}],
    "services": [{"name": "advisor", "health_path": "/healthz", "max_connections": 360,
                  "engine": {"slots": 64, "kv_capacity": 250000, "weights_mb": 140000, "adapter_slots": 8,
                             "loads_per_s": 4.2,
                             "models": [{"name": name, "weights_mb": 42700, "load_s": 6.0, "disk_s": 0.5,
                                         "warm_s": 0.5, "adapters": 0, "adapter_mb": 66.0}
                                        for name in ("m1", "m2", "m3", "m4", "m5", "m6")]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "shop", "api_keys": ["key-shop"]}],
}


class SecondCopy:
    """Repeats one answer with 421 on its channel, where the answer to the next request is expected."""

    def __init__(self, record):
        self.record = record
        self.armed = False
        self.copies = {}

    def spoil(self, worker, channel, request, status, answer):
        if self.armed and status == 421:
            self.armed = False
            self.copies[channel] = (request, answer)

    def before(self, worker, channel, request):
        if channel in self.copies:
            of, answer = self.copies.pop(channel)
            channel.send(answer)
            self.record.write(worker.name, f"sends a second copy of its answer with 421 to {of}")


def case(deployment):
    advisors = [deployment.add_worker(f"advisor-{n}", n, "advisor", models=[f"m{n}"], slots=64)
                for n in range(1, WORKERS + 1)]
    restarted = advisors[0]
    copy = SecondCopy(deployment.record)
    restarted.spoil, restarted.before = copy.spoil, copy.before
    deployment.store.put_config(STATE)
    names = [deployment.add_front(1)]
    for number, worker in enumerate(advisors, 1):
        worker.pieces, worker.piece_s = 3, 0.01
        worker.start("i-" + worker.name)
        names.append(deployment.add_side(number, worker))
    for name in names:
        deployment.start(name)
    if not deployment.wait_ready(names[:1]):
        return None
    time.sleep(2)
    requester = deployment.requester(names[0])
    asked = []
    for _ in range(ROUNDS):
        for _ in range(WARM_UP):
            if requester.send("/draft/1", key="key-shop", model="m1", deadline_ms=5000)[1] != 200:
                return None
        time.sleep(1.5)
        if platform.trouble():
            copy.armed = True
            restarted.crash()
            time.sleep(DOWN_S)
            restarted.start(restarted.identity, models=[], first_beat_s=FIRST_BEAT_S)
            time.sleep(0.005)
        request, status, _, _ = requester.send("/draft/1", key="key-shop", model="m1", deadline_ms=5000)
        time.sleep(1)
        asked.append((request, status, len(platform.runs_of(deployment, request))))
        if platform.trouble() and not copy.armed:
            break
        time.sleep(5)
    if platform.trouble() and copy.armed:
        return None
    deployment.record.say(f"request, status, runs: {asked}")
    # RULES.md, TWICE: a request that isn't idempotent runs more than once. REFUSED: 503 and has run.
    return all(runs <= 1 and not (status in (429, 503) and runs > 0) for _, status, runs in asked)


platform.main(FOLDER, case)
