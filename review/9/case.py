"""All entries are killed while workers of two software versions serve: no stream can be taken up again. See claim.txt."""
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
EVENTS = 90
PAUSE_S = 0.15  # A stream takes 13.5 s.
STREAMS = 24
BUDGET_S = 15
DOWN_S = 1.0  # The sheets play 1 to 2 s.
RETRY_S = 1.2  # More than the 0.2 s of Retry-After.
MOST_TRIES = 7
IN_TOUCH_S = 3.2  # `stability_window_ms` is 3,000.


class Streamer:
    def __init__(self, number, version):
        self.version = version
        self.worker = p.Worker("127.0.1.%d" % number, "i-%d" % number, self.handle)
        self.born = int(time.time() * 1000)

    async def handle(self, worker, fields, line, body, writer):
        if line.startswith("GET /api/report"):
            writer.write(p.report(["m1"], 0, self.born))
            return
        if line.startswith("POST /api/order"):
            writer.write(p.message(200, {}))
            return
        writer.write(p.message(200, {"X-Request-Id": fields["x-request-id"], "X-Server-Signature": "s",
                                     "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
                               b"").replace(b"Content-Length: 0\r\n", b""))
        for number in range(int(fields.get("last-event-id", 0)) + 1, EVENTS + 1):
            event = ("id: %d\ndata: %s %s\n\n" % (number, self.version, worker.id)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")


class Stream:
    """A requester that takes its stream up again when the channel breaks, and honours Retry-After."""

    def __init__(self, name, entries, record):
        self.name, self.entries, self.record = name, entries, record
        self.last, self.versions, self.first_id = 0, set(), None
        self.tried_in_touch = self.went_on_in_touch = self.complete = False
        self.broken_off = asyncio.Event()

    async def attempt(self, number, until):
        """Returns (status, seconds to wait before the next try)."""
        entry = self.entries[(hash(self.name) + number) % len(self.entries)]
        name = "%s.%d" % (self.name, number)
        in_touch = time.monotonic() - entry.started >= IN_TOUCH_S
        head = ("POST /chat/ HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "X-Model: m1\r\nX-Token-Usage: 100,90\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 2\r\n"
                % (name, max(1, (until - time.monotonic()) * 1000)))
        if self.last:
            head += "Last-Event-Id: %d\r\nResumes: %s\r\n" % (self.last, self.first_id)
            self.tried_in_touch = self.tried_in_touch or in_touch
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, entry.front), 1)
            writer.write(head.encode() + b"\r\n{}")
            status, fields = int((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]), {}
            if status != 200:
                return status, RETRY_S
            while True:
                reading = asyncio.ensure_future(reader.readline())
                breaking = asyncio.ensure_future(self.broken_off.wait())
                done, _ = await asyncio.wait({reading, breaking}, return_when=asyncio.FIRST_COMPLETED)
                breaking.cancel()
                if reading not in done:
                    reading.cancel()
                    self.broken_off.clear()
                    return "left", RETRY_S
                line = reading.result()
                if not line:
                    return "cut", RETRY_S
                if line.startswith(b"id: "):
                    if self.last and int(line[4:]) == self.last + 1 and number > 0 and in_touch:
                        self.went_on_in_touch = True
                    self.first_id = self.first_id or name
                    self.last = int(line[4:])
                elif line.startswith(b"data: "):
                    self.versions.add(line[6:8].decode())
                elif line == b"0\r\n":
                    self.complete = True
                    return "complete", 0
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            return type(error).__name__, RETRY_S
        finally:
            if writer is not None:
                writer.close()

    async def run(self):
        until = time.monotonic() + BUDGET_S
        number, trail = 0, []
        while time.monotonic() < until and not self.complete and number < MOST_TRIES:
            status, pause = await self.attempt(number, until)
            trail.append("%s@%d" % (status, self.last))
            number += 1
            await asyncio.sleep(pause)
        self.record.note("%s: %s, versions %s" % (self.name, " ".join(trail), sorted(self.versions)))


async def main(folder, record):
    store = p.Store()
    await store.start()
    fleet = [Streamer(number, version) for number, version in enumerate(("v1", "v1", "v2", "v2"), 1)]
    for streamer in fleet:
        await streamer.worker.start()
        store.put("keyed.servers", streamer.worker.id,
                  p.server_record(streamer.worker, "chat", 64, streamer.version, born=streamer.born,
                                  models=[{"name": "m1", "version": 1, "adapters": []}]))
    store.put("keyed.op", "config", {
        "version": 1,
        "routes": [{"name": "chat", "host": "yard.example", "path_prefix": "/chat/", "kind": "streaming",
                    "timeout_ms": 1000 * BUDGET_S, "target_latency_ms": 600, "target_gap_ms": 600, "priority": 0,
                    "service": "chat", "max_attempts": 2, "resumable": True}],
        "services": [p.engine_service("chat", ["m1"])],
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
    agents = [p.Process(folder, "agent", streamer.worker.ip, {
        "internal_ports": [peers, peers + 15], "platform": {"address": store.address}, "service": "chat",
        "app": streamer.worker.address, "limits": {"memory_mb": 192, "max_fds": 4096, "cpu_share": 0.2},
        "bounds": p.BOUNDS}) for streamer in fleet]
    try:
        for process in entries + agents:
            process.start()
            process.started = time.monotonic()
        for entry in entries:
            if not await p.wait_ready(entry.ip, entry.check):
                record.note("an entry did not become ready")
                return 2
        await asyncio.sleep(5)
        streams = [Stream("s%d" % number, entries, record) for number in range(STREAMS)]
        tasks = [asyncio.create_task(stream.run()) for stream in streams]
        await asyncio.sleep(3)
        record.note("streams with events: %d of %d" % (sum(stream.last > 0 for stream in streams), STREAMS))
        if TROUBLE:
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
        else:
            record.note("no entry is killed")
            await asyncio.sleep(DOWN_S)
            for stream in streams:
                stream.broken_off.set()
            record.note("all requesters break their channels off and take their streams up again")
        await asyncio.sleep(IN_TOUCH_S + 1)
        fresh = [Stream("n%d" % number, entries, record) for number in range(STREAMS)]
        tasks += [asyncio.create_task(stream.run()) for stream in fresh]
        await asyncio.gather(*tasks)
    finally:
        for process in entries + agents:
            process.end()
    taken = [stream for stream in streams if stream.tried_in_touch]
    went_on = sum(stream.went_on_in_touch for stream in taken)
    began = sum(stream.last > 0 for stream in fresh)
    mixed = sum(len(stream.versions) > 1 for stream in streams + fresh)
    record.note("taken up again at machines in touch: %d, of these went on: %d; new streams that began: %d of %d; "
                "streams of two versions: %d" % (len(taken), went_on, began, STREAMS, mixed))
    if len(taken) < 12:
        record.note("too few streams were taken up")
        return 2
    broken = went_on / len(taken) < 0.5 * began / STREAMS
    record.note("BROKEN" if broken else "held")
    return 1 if broken else 0


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
