#!/usr/bin/env python3
"""Runs the benchmarks of the decisions and compares processor times with bounds from the target size.

The bounds follow from the figures in `capacity.py` alone. With arguments only the benchmarks whose name
matches one of them are run. Results go to BUILD/bench/ as JSON.
"""
import json
import os
import re
import subprocess
import sys
from pathlib import Path

import capacity

BUILD = Path(os.environ.get("BUILD", capacity.ROOT / "build"))
LEAST_TIME_S = "0.2"

REGISTRY_CHANGES_PER_REPLACEMENT = 3  # leaving, gone, back


def rates():
    """What one process does in a second at the target size, by the name of its benchmark."""
    serving = capacity.serving_rates()
    targets_replaced = capacity.REPLACEMENTS_PER_DAY * capacity.AGENTS_PER_NODE / capacity.SECONDS_PER_DAY
    return {
        "engineChoice": (serving["choices"], "calls of an entry"),
        "loadChoice": (serving["choices"], "calls of an entry, were each the first of its model"),
        "plainChoice": (serving["choices"], "calls of an entry"),
        "agentMessage": (serving["usage_heard"],
                         "heartbeats of all entries, begin and end of each call, at the agents of a node"),
        "agentStateHeard": (serving["states_heard"], "load figures of all agents"),
        "registryChange": (targets_replaced * REGISTRY_CHANGES_PER_REPLACEMENT / 2, "targets that leave and come back"),
        "demandDue": (serving["usage_sent"], "begin and end of each call, heartbeats to all agents"),
        "gossipHeard": (serving["gossip_heard"], "reports of all other entries while all spend"),
    }


def run(program, patterns):
    results = BUILD / "bench" / f"{program.name}.json"
    results.parent.mkdir(exist_ok=True)
    command = [str(program), f"--benchmark_out={results}", f"--benchmark_min_time={LEAST_TIME_S}"]
    if patterns:
        command.append("--benchmark_filter=" + "|".join(patterns))
    subprocess.run(command, check=True)
    text = results.read_text()
    return json.loads(text)["benchmarks"] if text else []


def microseconds(result):
    return result["cpu_time"] * {"ns": 1e-3, "us": 1, "ms": 1e3, "s": 1e6}[result["time_unit"]]


def main():
    bounds = {name: (capacity.NODE_CORES / rate * 1e6, reason) for name, (rate, reason) in rates().items()}
    rows = []
    for program in sorted((BUILD / "bin").glob("bench-*")):
        for result in run(program, sys.argv[1:]):
            name = re.split("[/<]", result["name"])[0]
            if name in bounds:
                rows.append((result["name"], microseconds(result), bounds[name][0]))
    print(f"\nBounds: {capacity.NODE_CORES} of a core a node, spent on one mechanism alone")
    for name, (bound, reason) in bounds.items():
        print(f"  {name}: {bound:,.1f} us ({reason})")
    over = 0
    for name, value, bound in rows:
        over += value > bound
        print(f"{name:40} {value:12,.2f} us {bound:12,.1f} us {'OVER' if value > bound else ''}".rstrip())
    print(f"{len(rows)} measured, {over} over their bound")
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())
