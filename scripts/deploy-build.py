#!/usr/bin/env python3
"""Builds as the users' machines do, and checks what comes out.

Runs the `build` command of deploy/system.toml in a clean checkout of HEAD below BUILD and checks that
everything it makes lies in target/, that the programs of all roles are there and refuse to run without
settings, and that `packages` brings along every header, library and tool that the build took from Debian.
"""
import os
import re
import shlex
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "CELERYROUTE_CONFIG"
USAGE_EXIT = 2


class Failure(Exception):
    pass


def check_out(folder):
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", "HEAD"], check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)


def files_outside_target(folder):
    return {path for path in folder.rglob("*") if path.relative_to(folder).parts[0] != "target"}


def build(folder, command):
    before = files_outside_target(folder)
    begin = time.monotonic()
    run = subprocess.run(["/bin/sh", "-c", command], cwd=folder, text=True,
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    if run.returncode != 0:
        raise Failure(f"the build ended with status {run.returncode}:\n" + "\n".join(run.stdout.splitlines()[-40:]))
    strays = files_outside_target(folder) - before
    if strays:
        raise Failure(f"the build made files outside target/: {sorted(map(str, strays))[:5]}")
    return time.monotonic() - begin


def check_program(folder, run):
    program = folder / shlex.split(run)[0]
    if not os.access(program, os.X_OK):
        raise Failure(f"{run}: no such program was built")
    environment = {name: value for name, value in os.environ.items() if not name.startswith("CELERYROUTE_")}
    end = subprocess.run([program], cwd=folder, env=environment, text=True, capture_output=True, timeout=60)
    if end.returncode != USAGE_EXIT or SETTINGS_VARIABLE not in end.stderr:
        raise Failure(f"{run}: without settings it ended with status {end.returncode} and said '{end.stderr.strip()}'")


def dependency_words(text):
    return [re.sub(r"[ (:].*", "", word.strip()) for word in re.split(r"[,|]", text) if word.strip()]


def closure(packages):
    """The packages and all that they depend on, as they are installed here."""
    listing = subprocess.run(["dpkg-query", "-W", "-f=${Package}\t${Depends}, ${Pre-Depends}\t${Provides}\n"],
                             check=True, capture_output=True, text=True).stdout
    depends, providers = {}, {}
    for line in listing.splitlines():
        package, needed, provided = line.split("\t")
        depends.setdefault(package, []).extend(dependency_words(needed))
        for word in [package] + dependency_words(provided):
            providers.setdefault(word, set()).add(package)
    reached, waiting = set(), list(packages)
    while waiting:
        for package in providers.get(waiting.pop(), ()):
            if package not in reached:
                reached.add(package)
                waiting.extend(depends[package])
    return reached


def files_taken(target):
    """Headers, libraries and tools of the system that the build used."""
    taken = set()
    for rules in target.rglob("*.d"):
        taken.update(word for word in rules.read_text().replace("\\\n", " ").split() if word.startswith("/usr/"))
    cache = (target / "CMakeCache.txt").read_text()
    for name in ("CMAKE_COMMAND", "CMAKE_CXX_COMPILER", "CMAKE_C_COMPILER", "CMAKE_MAKE_PROGRAM",
                 "PKG_CONFIG_EXECUTABLE"):
        found = re.search(rf"^{name}:[A-Z]+=(/.*)$", cache, re.MULTILINE)
        if found:
            taken.add(found.group(1))
    for program in (target / "bin").iterdir():
        libraries = subprocess.run(["ldd", str(program)], check=True, capture_output=True, text=True).stdout
        taken.update(re.findall(r"=> (/\S+)", libraries))
    return {os.path.realpath(path) for path in taken}


def owners(paths):
    """The packages that own each path, by path; files of merged folders are known under either name."""
    names = sorted(paths) + sorted(path.removeprefix("/usr") for path in paths)
    listing = subprocess.run(["dpkg-query", "-S"] + names, capture_output=True, text=True).stdout
    found = {path: set() for path in paths}
    for line in listing.splitlines():
        packages, _, path = line.rpartition(": ")
        for known in (path, "/usr" + path):
            if known in found:
                found[known].update(name.strip().split(":")[0] for name in packages.split(","))
    return found


def check_packages(target, packages):
    allowed = closure(packages)
    taken = owners(files_taken(target))
    missing = {path: sorted(names) for path, names in taken.items() if not names & allowed}
    if missing:
        raise Failure(f"`packages` of deploy/system.toml lacks what owns {dict(list(missing.items())[:5])}")
    return len(taken)


def main():
    folder = Path(sys.argv[1]).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="deploy.", dir=folder) as name:
        checkout = Path(name)
        check_out(checkout)
        with open(checkout / "deploy" / "system.toml", "rb") as file:
            deploy = tomllib.load(file)
        seconds = build(checkout, deploy["build"])
        for role in deploy["roles"].values():
            check_program(checkout, role["run"])
        taken = check_packages(checkout / "target", deploy["packages"])
    print(f"deploy-build: built in {seconds:.0f} s; {taken} files of the system, all from `packages`")


if __name__ == "__main__":
    try:
        main()
    except Failure as failure:
        sys.exit(f"deploy-build: {failure}")
