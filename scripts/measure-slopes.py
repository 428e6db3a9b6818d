#!/usr/bin/env python3
"""Measures the processor and memory slopes of docs/CAPACITY.md on idle deployments of two sizes.

Prints JSON; `--write` stores it in docs/capacity/slopes.json.
"""
import argparse
import json
import subprocess
import time
from pathlib import Path

import rig

SLOPES = rig.ROOT / "docs" / "capacity" / "slopes.json"
FEW_AGENTS, MANY_AGENTS = 3, 18
SETTLE_S, WINDOW_S = 8, 20


def idle(build, agents):
    """Processor share (cores) and memory (MB) of one entry and of the mean agent, without traffic."""
    with rig.Rig(build, ["domain-a", "domain-b", "domain-c"]) as fleet:
        fleet.start_platform()
        fleet.start_workers("stain-advisor", agents, "standin-engine")
        fleet.start_entries(1)
        fleet.apply_example("mti-finish")
        fleet.wait_until_ready()
        time.sleep(SETTLE_S)
        processes = fleet.entries + fleet.agents
        before = [process.processor_seconds() for process in processes]
        time.sleep(WINDOW_S)
        cores = [(process.processor_seconds() - start) / WINDOW_S for process, start in zip(processes, before)]
        memory = [process.resident_mb() for process in processes]
        return {"entry_cores": cores[0], "entry_mb": memory[0],
                "agent_cores": sum(cores[1:]) / agents, "agent_mb": sum(memory[1:]) / agents}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    build = rig.build_folder()
    few, many = idle(build, FEW_AGENTS), idle(build, MANY_AGENTS)
    links = MANY_AGENTS - FEW_AGENTS
    measured = {
        "entry_idle_cores": round(few["entry_cores"], 5),
        "entry_cores_per_link": round(max(0.0, many["entry_cores"] - few["entry_cores"]) / links, 6),
        "entry_idle_mb": round(few["entry_mb"], 2),
        "entry_mb_per_link": round(max(0.0, many["entry_mb"] - few["entry_mb"]) / links, 4),
        "agent_idle_cores": round(many["agent_cores"], 5),
        "agent_idle_mb": round(many["agent_mb"], 2),
    }
    sizes = json.loads(subprocess.run([str(Path(build) / "bin" / "capacity-slopes")], capture_output=True,
                                      check=True).stdout)
    print(json.dumps({"sizes": sizes, "measured": measured}, indent=4))
    if options.write:
        slopes = json.loads(SLOPES.read_text()) if SLOPES.exists() else {}
        slopes["sizes"] = sizes
        slopes.setdefault("measured", {}).update(measured)
        SLOPES.parent.mkdir(exist_ok=True)
        SLOPES.write_text(json.dumps(slopes, indent=4) + "\n")


if __name__ == "__main__":
    main()
