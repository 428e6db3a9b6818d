"""A request crashes its workers, and all entries are killed twice. See claim.txt."""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import platform2 as p

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IPS = ("127.0.0.2", "127.0.0.3")
WORKERS = 4
BACK_S = 2.0  # "the worker is back after some seconds"
DOWN_S = 1.0
COMES_AGAIN_S = 4.0
KILLS = (19.4, 43.4)  # Seconds from the first request.
LENGTH_S = 60.0
IN_TOUCH_S = 3.2  # `stability_window_ms` is 3,000.


class Engine:
    def __init__(self, number, store, record, arrivals):
        self.store, self.record, self.arrivals = store, record, arrivals
        self.worker = p.Worker("127.0.1.%d" % number, "i-%d" % number, self.handle)
        self.sequence, self.writers, self.active = 0, set(), 0

    async def start(self, port=None):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.worker.start(port)
        await self.register()

    async def register(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.worker.id,
                       p.server_record(self.worker, "llm", 64, born=self.born, sequence=self.sequence,
                                       models=[{"name": "m1", "version": 1, "adapters": []}]))

    async def handle(self, worker, fields, line, body, writer):
        if line.startswith("GET /api/report"):
            writer.write(p.report(["m1"], 0, self.born, self.active))
            return
        if line.startswith("POST /api/order"):
            writer.write(p.message(200, {}))
            return
        self.writers.add(writer)
        if body == b"poison":
            self.arrivals.append((time.monotonic(), fields["x-request-id"], worker.id))
            self.record.note("%s reaches %s and crashes it" % (fields["x-request-id"], worker.id))
            asyncio.create_task(self.crash())
            await asyncio.sleep(5)
            return
        self.active += 1
        await asyncio.sleep(0.05)
        self.active -= 1
        writer.write(p.signed(fields, b"priced"))

    async def crash(self):
        port = self.worker.port
        self.worker.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(BACK_S)
        await self.start(port)


async def call(entry, name, body):
    head = ("POST /price/ HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Model: m1\r\n"
            "X-Token-Usage: 10,10\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            % (name, len(body)))
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, entry.front), 1)
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(p.read_message(reader), 4)
        writer.close()
        return "closed" if answer is None else answer[0].split(" ")[1]
    except (OSError, asyncio.TimeoutError) as error:
        return type(error).__name__


async def main(folder, record):
    store, arrivals = p.Store(), []
    await store.start()
    fleet = [Engine(number, store, record, arrivals) for number in range(1, WORKERS + 1)]
    for engine in fleet:
        await engine.start()
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [{"name": "price", "host": "yard.example", "path_prefix": "/price/", "kind": "safe",
                    "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, "service": "llm", "max_attempts": 1}],
        "services": [p.engine_service("llm", ["m1"])],
        "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1}],
        "limits": p.LIMITS})
    peers, entries = p.free_port(IPS[0]), []
    for ip in IPS:
        front, check = p.free_port(ip), p.free_port(ip)
        entry = p.Process(folder, "entry", ip, {
            "internal_ports": [peers, peers + 15], "listen": {"front": "%s:%d" % (ip, front),
                                                              "ready": "%s:%d" % (ip, check)},
            "platform": {"address": store.address}, "limits": {"memory_mb": 260, "max_fds": 4100, "cpu_share": 0.5},
            "bounds": p.BOUNDS})
        entry.front, entry.check = front, check
        entries.append(entry)
    agents = [p.Process(folder, "agent", engine.worker.ip, {
        "internal_ports": [peers, peers + 15], "platform": {"address": store.address}, "service": "llm",
        "app": engine.worker.address, "limits": {"memory_mb": 192, "max_fds": 4096, "cpu_share": 0.2},
        "bounds": p.BOUNDS}) for engine in fleet]
    counted, crashes, ordinary = [], 0, {}
    try:
        for process in entries + agents:
            process.start()
            process.started = time.monotonic()
        for entry in entries:
            if not await p.wait_ready(entry.ip, entry.check):
                record.note("an entry did not become ready")
                return 2
        await asyncio.sleep(4)
        begin = time.monotonic()

        async def heartbeats():
            while True:
                await asyncio.sleep(1.2)
                for engine in fleet:
                    if engine.worker.server.is_serving():
                        await engine.register()

        async def usual():
            number = 0
            while True:
                await asyncio.sleep(0.25)
                number += 1
                status = await call(entries[number % 2], "u%d" % number, b"lot %d" % number)
                ordinary[status] = ordinary.get(status, 0) + 1

        async def kills():
            for at in KILLS:
                await asyncio.sleep(max(0, begin + at - time.monotonic()))
                for entry in entries:
                    entry.process.kill()
                record.note("both entries are killed")
                await asyncio.sleep(DOWN_S)
                for entry in entries:
                    entry.values["bootstrap"] = "false"
                    entry.process.wait()
                    entry.start()
                    entry.started = time.monotonic()
                record.note("both entries start again")

        others = [asyncio.create_task(heartbeats()), asyncio.create_task(usual())]
        if TROUBLE:
            others.append(asyncio.create_task(kills()))
        number, third = 0, None
        while time.monotonic() - begin < LENGTH_S:
            entry = entries[number % 2]
            number += 1
            before, sent = len(arrivals), time.monotonic()
            status = await call(entry, "p%d" % number, b"poison")
            reached = arrivals[before:]
            crashes += len(reached)
            if third is None and crashes >= 3:
                third = time.monotonic()
            late = bool(reached) and third is not None and crashes > 3 and sent >= third + 3.0
            in_touch = sent - entry.started >= IN_TOUCH_S
            if late and in_touch:
                counted += reached
            record.note("p%d: %s at %s, ran for %.1f s; crashes so far: %d%s" % (
                number, status, entry.name, sent - entry.started, crashes, "  COUNTED" if late and in_touch else ""))
            await asyncio.sleep(max(0, COMES_AGAIN_S - (time.monotonic() - sent)))
        for task in others:
            task.cancel()
    finally:
        for process in entries + agents:
            process.end()
    record.note("other requests of the tenant: %s" % ordinary)
    record.note("retries that reached workers at machines in touch after the third crash: %d; the rule allows three"
                % len(counted))
    if crashes < 3:
        return 2
    return 1 if len(counted) > 3 else 0


if __name__ == "__main__":
    folder = p.temporary_folder()
    try:
        code = asyncio.run(asyncio.wait_for(main(folder, p.Record(HERE / "record.txt")), 110))
    except Exception as error:  # The case could not run.
        print(repr(error))
        code = 2
    finally:
        p.remove_folder(folder)
    sys.exit(code)
