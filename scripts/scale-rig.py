#!/usr/bin/env python3
"""Runs the larger sample deployment on this machine under a mixed load and reports the measures."""
import argparse
import json
import subprocess
import sys
from pathlib import Path

import rig

CUSTOMERS = ["shop-counters", "hotel-crews", "joiners", "trade-buyers", "sample-desk"]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--calls-per-second", type=float, default=40)
    parser.add_argument("--engines", type=int, default=18)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--bookings", type=float, default=0.05, help="part of all calls")
    parser.add_argument("--models", type=int, default=0, help="most models asked for; 0 for all")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def callable_models(entry, headers):
    status, text = rig.call("GET", entry.url + "/v1/models", headers=headers)
    if status != 200:
        raise RuntimeError(f"GET /v1/models: {status} {text}")
    return [model["id"] for model in json.loads(text)["data"]]


def run_load(fleet, options, *arguments):
    command = [str(Path(fleet.build) / "bin" / "standin-load"), f"--seed={options.seed}", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if not result.stdout:
        raise RuntimeError(result.stderr)
    return json.loads(result.stdout)


def latency_against_direct(fleet, options, key, model):
    """The same streams through celeryroute and straight to an engine that holds the model, in one run."""
    direct = fleet.start(fleet.targets, "target-direct", "standin-engine", [])
    rig.call("POST", direct.url + "/v1/orders/load", {"model": model, "memory_mb": 1, "fencing": 1})
    return run_load(fleet, options, f"--entry-urls={fleet.entries[0].url}", f"--direct-url={direct.url}",
                    f"--keys={key}", f"--models={model}", "--stream-fraction=1", "--calls-per-second=20",
                    "--max-tokens=32", "--seconds=20", "--warm-up-seconds=5")


def mixed_load(fleet, options, keys, models):
    before = {process.name: process.processor_seconds() for process in fleet.entries + fleet.agents}
    report = run_load(fleet, options, "--entry-urls=" + ",".join(entry.url for entry in fleet.entries),
                      "--keys=" + ",".join(keys), "--models=" + ",".join(models), "--service-path=/parcels",
                      f"--booking-fraction={options.bookings}", f"--calls-per-second={options.calls_per_second}",
                      f"--seconds={options.seconds}")
    sent = report["chats"]["sent"] + report["bookings"]["sent"]
    for role, group in (("entry", fleet.entries), ("agent", fleet.agents)):
        spent = sum(process.processor_seconds() - before[process.name] for process in group)
        report[f"{role}_processor_ms_per_call"] = 1000 * spent / max(1, sent)
    return report


def main():
    options = parse_arguments()
    with rig.Rig(rig.build_folder(), ["dar-a", "dar-b", "dar-c"]) as fleet:
        fleet.start_platform()
        fleet.start_workers("stain-advisor", options.engines, "standin-engine")
        fleet.start_workers("dispatch-desk", options.services, "standin-service")
        fleet.start_entries(options.entries)
        fleet.apply_example("mti-finish")
        keys = [fleet.grant_key(customer) for customer in CUSTOMERS]
        fleet.wait_until_ready()
        headers = {"Authorization": "Bearer " + keys[0]}
        for entry in fleet.entries:
            rig.wait_for(lambda url=entry.url: rig.call("GET", url + "/parcels/ready", headers=headers)[0] == 200,
                         f"{entry.name} finds no target")
        models = callable_models(fleet.entries[0], headers)
        report = {"workers": len(fleet.agents), "models_and_adapters": len(models), "customers": len(keys),
                  "idle_entry_mb": max(process.resident_mb() for process in fleet.entries),
                  "idle_agent_mb": max(process.resident_mb() for process in fleet.agents)}
        report["latency"] = latency_against_direct(fleet, options, keys[0], models[0])
        report["mixed"] = mixed_load(fleet, options, keys, models[:options.models] if options.models else models)
        engines = [process for process in fleet.targets if process.name.startswith("target-stain-advisor")]
        stats = [json.loads(rig.call("GET", engine.url + "/control/stats")[1]) for engine in engines]
        report["memory_refusals"] = sum(stat["memory_refusals"] for stat in stats)
        report["loads"] = sum(sum(stat["loads"].values()) for stat in stats)
        print(json.dumps(report, indent=2))
        bad = [report["mixed"][kind][fate] for kind in ("chats", "bookings") for fate in ("unanswered", "wrong")]
        return 0 if sum(bad) == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
