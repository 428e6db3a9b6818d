"""The store is silent for two seconds; afterwards an entry does not learn that a worker leaves. See claim.txt."""
import asyncio
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import platform2 as p

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY = "127.0.0.2"
CALM_S = 10.0
EACH_S = 0.02  # Between two requests; five or six are at work at a time, at three workers.
WORK_S = 0.1
SILENT_S = 2.0  # The sheets play up to 4.5 s.
STABLE_S = 3.2  # `stability_window_ms` is 3,000.
DRAIN_S = 2.0  # `drain_ms`.


class SilentStore(p.Store):
    """While it is silent, no call is answered, also none that came before; calls that come afterwards are."""

    epoch = 0
    silent = False

    async def answer(self, method, path, values, body):
        epoch, came_in_silence = self.epoch, self.silent
        result = await super().answer(method, path, values, body)
        if came_in_silence or self.silent or epoch != self.epoch:
            await asyncio.sleep(60)
        return result


async def call(port, name):
    head = ("GET /look/ HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n"
            "Authorization: Bearer k1\r\nConnection: close\r\n\r\n" % name)
    try:
        reader, writer = await asyncio.open_connection(ENTRY, port)
        writer.write(head.encode())
        answer = await asyncio.wait_for(p.read_message(reader), 2)
        writer.close()
        return "closed" if answer is None else answer[0].split(" ")[1]
    except (OSError, asyncio.TimeoutError) as error:
        return type(error).__name__


async def main(folder, record):
    store, arrivals = SilentStore(), []
    await store.start()

    async def serve(worker, fields, line, body, writer):
        arrivals.append((time.monotonic(), fields["x-request-id"], worker.id))
        await asyncio.sleep(WORK_S)
        writer.write(p.signed(fields, b"price"))

    workers = [p.Worker("127.0.1.%d" % number, "i-%d" % number, serve) for number in (1, 2, 3)]
    states, sequence = {worker.id: "ready" for worker in workers}, 0

    def register(worker):
        nonlocal sequence
        sequence += 1
        store.put("keyed.servers", worker.id, p.server_record(worker, "yard", 6, state=states[worker.id],
                                                              sequence=sequence))

    for worker in workers:
        await worker.start()
        register(worker)
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [{"name": "look", "host": "yard.example", "path_prefix": "/look/", "kind": "safe",
                    "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "yard",
                    "max_attempts": 1}],
        "services": [{"name": "yard", "health_path": "/healthz", "max_connections": 96}],
        "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1}],
        "limits": p.LIMITS})
    front, check, peers = (p.free_port(ENTRY) for _ in range(3))
    entry = p.Process(folder, "entry", ENTRY, {
        "internal_ports": [peers, peers + 15], "listen": {"front": "%s:%d" % (ENTRY, front),
                                                          "ready": "%s:%d" % (ENTRY, check)},
        "platform": {"address": store.address}, "limits": {"memory_mb": 260, "max_fds": 4100, "cpu_share": 0.5},
        "bounds": p.BOUNDS})
    entry.start()
    statuses, sent = {}, {}
    try:
        if not await p.wait_ready(ENTRY, check):
            record.note("the entry did not become ready")
            return 2

        async def heartbeats():
            while True:
                await asyncio.sleep(1.2)
                for worker in workers:
                    register(worker)

        async def callers():
            number, tasks = 0, []

            async def one(name):
                sent[name] = time.monotonic()
                status = await call(front, name)
                statuses[status] = statuses.get(status, 0) + 1

            while True:
                number += 1
                tasks.append(asyncio.create_task(one("r%d" % number)))
                await asyncio.sleep(EACH_S)

        others = [asyncio.create_task(heartbeats()), asyncio.create_task(callers())]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            store.silent = True
            record.note("the store answers nothing")
        await asyncio.sleep(SILENT_S)
        store.silent = False
        store.epoch += TROUBLE
        record.note("the store answers again")
        await asyncio.sleep(STABLE_S)
        leaving = workers[0]
        states[leaving.id] = "draining"
        register(leaving)
        acknowledged = time.monotonic()
        record.note("the store acknowledges that %s is draining; it has answered all calls for %.1f s"
                    % (leaving.id, STABLE_S))
        await asyncio.sleep(DRAIN_S + 4)
        for task in others:
            task.cancel()
    finally:
        entry.end()
    with open(entry.log_path, encoding="utf-8", errors="replace") as log:
        for line in log:
            if '"event":"store.' in line or '"event":"target.draining"' in line:
                event = json.loads(line)
                record.note("log of the entry: %s" % {name: event[name] for name in event
                                                      if name not in ("host", "role", "inc")})
    late = [(at, name) for at, name, worker in arrivals
            if worker == leaving.id and at > acknowledged + DRAIN_S and sent[name] > acknowledged + DRAIN_S]
    record.note("answers: %s" % statuses)
    for at, name in late[:10]:
        record.note("%s was sent %.3f s and reached %s %.3f s after that" % (name, sent[name] - acknowledged, leaving.id,
                                                                          at - acknowledged))
    record.note("requests that were sent and reached the leaving worker later than drain_ms: %d" % len(late))
    return 1 if late else 0


if __name__ == "__main__":
    folder = p.temporary_folder()
    try:
        code = asyncio.run(asyncio.wait_for(main(folder, p.Record(HERE / "record.txt")), 100))
    except Exception as error:  # The case could not run.
        print(repr(error))
        code = 2
    finally:
        p.remove_folder(folder)
    sys.exit(code)
