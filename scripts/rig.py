"""Starts a deployment of real processes on loopback; used by quickstart.py and scale-rig.py."""
import json
import os
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30


class Process:
    """One program; its output goes to files, so that it never blocks on a pipe."""

    def __init__(self, build, logs, name, program, arguments, environment):
        self.name = name
        self.out_path = logs / f"{name}.out"
        self.err_path = logs / f"{name}.log"
        with open(self.out_path, "wb") as out, open(self.err_path, "wb") as err:
            command = [str(Path(build) / "bin" / program), *arguments]
            self.child = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=err,
                                          env=environment)
        self.ready = None

    def wait_until_ready(self):
        give_up = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up:
            text = self.out_path.read_text()
            if "\n" in text:
                self.ready = json.loads(text.splitlines()[0])
                return self
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start:\n{self.err_path.read_text()}")

    @property
    def url(self):
        return "http://" + self.ready["listen"]

    def resident_mb(self):
        for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def processor_seconds(self):
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self):
        if self.child.poll() is None:
            self.child.terminate()

    def wait(self):
        try:
            return self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Rig:
    """Platform stand-ins, targets with agents, and entries. Use as a context manager."""

    def __init__(self, build, domains):
        self.build = build
        self.domains = domains
        self.folder = tempfile.TemporaryDirectory(prefix="celeryroute-rig-")
        self.logs = Path(self.folder.name)
        self.platform, self.targets, self.agents, self.entries = [], [], [], []
        keys = subprocess.run([str(Path(build) / "bin" / "standin-keys")], capture_output=True, text=True, check=True)
        public_key, secret_key = keys.stdout.split()
        # By the environment, because every user of a machine can read command lines.
        self.environment = {**os.environ, "CELERYROUTE_CURVE_PUBLIC_KEY": public_key,
                            "CELERYROUTE_CURVE_SECRET_KEY": secret_key}

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for group in (self.entries, self.agents, self.targets, self.platform):
            for process in group:
                process.stop()
            for process in group:
                process.wait()
        self.folder.cleanup()

    def start(self, group, name, program, arguments):
        environment = self.environment if program == "celeryrouted" else None
        process = Process(self.build, self.logs, name, program, arguments, environment)
        group.append(process)
        return process.wait_until_ready()

    def start_platform(self, weights_arguments=()):
        self.log = self.start(self.platform, "log", "standin-log", [])
        self.hosts = self.start(self.platform, "hosts", "standin-hosts", ["--lag-ms=100"])
        self.weights = self.start(self.platform, "weights", "standin-weights", list(weights_arguments))

    def daemon_arguments(self, role, host, domain):
        return [f"--role={role}", f"--host={host}", f"--domain={domain}", "--listen=127.0.0.1:0",
                "--peer-listen=127.0.0.1:0", f"--log-url={self.log.url}", f"--hosts-url={self.hosts.url}"]

    def register(self, process, role, host, domain, pool):
        entry = {"host": host, "address": process.ready["peer"], "domain": domain, "role": role, "pool": pool,
                 "state": "live"}
        call("PUT", f"{self.hosts.url}/v1/hosts/{host}", entry)

    def start_workers(self, pool, count, program, target_arguments=()):
        for number in range(count):
            host = f"{pool}-{number}"
            domain = self.domains[number % len(self.domains)]
            arguments = list(target_arguments)
            if program == "standin-engine":
                arguments.append(f"--weights-url={self.weights.url}")
            target = self.start(self.targets, f"target-{host}", program, arguments)
            agent = self.start(self.agents, host, "celeryrouted",
                               self.daemon_arguments("agent", host, domain)
                               + [f"--pool={pool}", f"--target-url={target.url}"])
            self.register(agent, "agent", host, domain, pool)

    def start_entries(self, count, arguments=()):
        for number in range(count):
            host = f"entry-{number}"
            domain = self.domains[number % len(self.domains)]
            entry = self.start(self.entries, host, "celeryrouted",
                               self.daemon_arguments("entry", host, domain) + list(arguments))
            self.register(entry, "entry", host, domain, "")

    def celeryctl(self, *arguments):
        command = [str(Path(self.build) / "bin" / "celeryctl"), f"--log-url={self.log.url}", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        if result.returncode != 0:
            raise RuntimeError(f"{' '.join(command)} failed with {result.returncode}:\n{result.stdout}{result.stderr}")
        return result.stdout

    def apply_example(self, name):
        files = sorted(str(path) for path in (ROOT / "examples" / name).glob("*.yaml"))
        return self.celeryctl("apply", *files)

    def grant_key(self, customer):
        return json.loads(self.celeryctl("--json", "key", "grant", customer))["key"]

    def wait_until_ready(self):
        for process in self.entries + self.agents:
            wait_for(lambda url=process.url: call("GET", url + "/readyz")[0] == 200, f"{process.name} is not ready")


def wait_for(happened, complaint):
    give_up = time.monotonic() + READY_TIMEOUT_S
    while not happened():
        if time.monotonic() > give_up:
            raise RuntimeError(complaint)
        time.sleep(0.05)


def call(method, url, body=None, headers=None):
    """Status and text of one call; an error status is an answer too."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers={"Content-Type": "application/json", **(headers or {})})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=READY_TIMEOUT_S) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (urllib.error.URLError, OSError) as error:
        return -1, str(error)


def build_folder():
    return os.environ.get("BUILD", str(ROOT / "build"))
