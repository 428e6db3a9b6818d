#!/usr/bin/env python3
"""Recomputes the tables of docs/CAPACITY.md from docs/capacity/slopes.json.

Without arguments rewrites the page. `--check` fails when the page differs from the slopes, or when the
sizes differ from what the program `capacity-slopes` prints.
"""
import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"
BEGIN, END = "<!-- tables: begin -->", "<!-- tables: end -->"

# The target size.
NODES, WORKERS = 1_900, 11_000
REQUESTS_PER_S, TOKENS_PER_S = 89_000, 21_000_000
MODELS, ADAPTERS, DOMAINS = 140, 12_000, 25
CHANGES_PER_DAY, REPLACEMENTS_PER_DAY = 10_000, 2_160
SECONDS_PER_DAY = 86_400
NODE_CORES, NODE_MB, NODE_KB_PER_S = 0.026, 256, 11

# What the design sets; each is named on the page.
AGENTS_PER_NODE = WORKERS / NODES
ENTRIES = 64
REPLICAS = 2
HEARTBEATS_PER_S = 2.0
HOST_LIST_READS_PER_S = 2.0
SNAPSHOT_INTERVAL_S = 1800
LOG_POLLS_PER_S = 1.0
HTTP_OVERHEAD_BYTES = 350
RESIDENT_MODELS_PER_AGENT = 8
LOG_APPENDS_PER_S = 300
CLAIMS_PER_BATCH = 100
ENTRY_HOST_CORES = 16
# The serving roles.
HEARTBEAT_S = 0.9
# Intervals that grow with the number of entries, for 64 of them: src/node/statepublication.cpp, src/allowance/reporttiming.cpp.
LOAD_S, STATE_S = 0.6, 2.7
REPORT_S, WHOLE_REPORT_S = 1 / 3, 2.0
DATAGRAM_HEADER_BYTES = 28
MODELS_PER_TARGET = 2
ENTRIES_NAMED = 32
CUSTOMERS = 100


def figure(value):
    if value >= 1000:
        return f"{value:,.0f}"
    if value >= 10:
        return f"{value:.1f}"
    return f"{value:.3g}"


def verdict(value, limit):
    return "within" if value <= limit else f"over by a factor of {value / limit:.1f}"


def log_traffic(sizes):
    """Rows of (source, records a second, bytes a second)."""
    items_per_replacement = (MODELS + ADAPTERS) * REPLICAS / WORKERS * AGENTS_PER_NODE * 2
    replacements = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    snapshot_bytes = sizes["snapshot_bytes_per_adapter"] * (MODELS + ADAPTERS)
    snapshot_parts = snapshot_bytes / (192 * 1024)
    divisions = replacements * ENTRIES / NODES * 2
    return [
        ("declarations and keys", changes, changes * sizes["route_change_bytes"]),
        ("authority after replacements", replacements * AGENTS_PER_NODE * 2,
         replacements * items_per_replacement * sizes["authority_item_bytes"]),
        ("shares after entries change", divisions, divisions * ENTRIES * sizes["share_bytes_per_entry"]),
        ("snapshots", snapshot_parts / SNAPSHOT_INTERVAL_S, snapshot_bytes / SNAPSHOT_INTERVAL_S),
    ]


def node_rows(sizes, measured):
    log_bytes = sum(row[2] for row in log_traffic(sizes)) + LOG_POLLS_PER_S * HTTP_OVERHEAD_BYTES
    reply = sizes["heartbeat_reply_bytes"] + RESIDENT_MODELS_PER_AGENT * sizes["heartbeat_reply_bytes_per_model"]
    heartbeats = ENTRIES * HEARTBEATS_PER_S * (sizes["heartbeat_bytes"] + reply)
    hosts = (WORKERS + ENTRIES) * sizes["host_list_bytes_per_host"] * HOST_LIST_READS_PER_S
    return [
        ("processor, cores", AGENTS_PER_NODE * measured["agent_idle_cores"], NODE_CORES),
        ("memory, MB", AGENTS_PER_NODE * measured["agent_idle_mb"]
         + AGENTS_PER_NODE * (MODELS + ADAPTERS) * measured["state_bytes_per_adapter"] / 1e6, NODE_MB),
        ("log reads, KB/s", AGENTS_PER_NODE * log_bytes / 1000, NODE_KB_PER_S),
        ("heartbeats of all entries, KB/s", AGENTS_PER_NODE * heartbeats / 1000, NODE_KB_PER_S),
        ("host list reads, KB/s", AGENTS_PER_NODE * hosts / 1000, NODE_KB_PER_S),
    ]


def entry_rows(sizes, measured):
    cores = REQUESTS_PER_S / ENTRIES * measured["entry_processor_ms_per_call"] / 1000
    return [
        ("traffic, cores", cores, ENTRY_HOST_CORES),
        ("relayed tokens a second", TOKENS_PER_S / ENTRIES, None),
        ("links to agents, memory MB", measured["entry_idle_mb"] + WORKERS * measured["entry_mb_per_link"], NODE_MB),
        ("links to agents, cores", measured["entry_idle_cores"] + WORKERS * measured["entry_cores_per_link"],
         NODE_CORES),
    ]


def serving_rates():
    """Messages and decisions a second at the target size: of one entry, and of the agents of one node."""
    calls_of_entry = REQUESTS_PER_S / ENTRIES
    return {
        "choices": calls_of_entry,
        "usage_sent": WORKERS / HEARTBEAT_S + 2 * calls_of_entry,
        "loads_heard": WORKERS / LOAD_S,
        "states_heard": WORKERS / STATE_S,
        "news_heard": WORKERS / LOAD_S + WORKERS / STATE_S,
        "gossip_heard": (ENTRIES - 1) / REPORT_S,
        "whole_reports_heard": (ENTRIES - 1) / WHOLE_REPORT_S,
        "usage_heard": AGENTS_PER_NODE * (ENTRIES / HEARTBEAT_S + 2 * REQUESTS_PER_S / WORKERS),
        "loads_sent": AGENTS_PER_NODE * ENTRIES / LOAD_S,
        "states_sent": AGENTS_PER_NODE * ENTRIES / STATE_S,
    }


def serving_rows(sizes, measured):
    rates = serving_rates()
    usage = sizes["entry_usage_bytes"] + sizes["entry_usage_bytes_per_item"] + DATAGRAM_HEADER_BYTES
    state = (sizes["agent_state_bytes"] + MODELS_PER_TARGET * sizes["agent_state_bytes_per_model"]
             + ENTRIES_NAMED * sizes["agent_state_bytes_per_entry_named"] + DATAGRAM_HEADER_BYTES)
    load = sizes["agent_load_bytes"] + DATAGRAM_HEADER_BYTES
    update = (sizes["gossip_bytes"] + sizes["gossip_bytes_per_member"]
              + CUSTOMERS * sizes["gossip_bytes_per_customer"] + DATAGRAM_HEADER_BYTES)
    whole = update + (ENTRIES - 2) * sizes["gossip_bytes_per_member"]
    updates_heard = rates["gossip_heard"] - rates["whole_reports_heard"]
    heap = (WORKERS * measured["entry_heap_bytes_per_target"]
            + CUSTOMERS * ENTRIES * measured["entry_heap_bytes_per_customer_and_peer"]) / 1e6

    def cores(rate, slope):
        return rates[rate] * measured[slope] / 1e6

    entry = [
        ("choices of targets, cores", cores("choices", "engine_choice_us"), NODE_CORES),
        ("usage sent to all agents, cores", cores("usage_sent", "demand_due_us"), NODE_CORES),
        ("usage sent to all agents, KB/s", rates["usage_sent"] * usage / 1000, NODE_KB_PER_S),
        ("states and loads of all agents, cores", cores("news_heard", "agent_state_heard_us"), NODE_CORES),
        ("states and loads of all agents, KB/s",
         (rates["states_heard"] * state + rates["loads_heard"] * load) / 1000, NODE_KB_PER_S),
        ("gossip heard, cores", cores("gossip_heard", "gossip_heard_us"), NODE_CORES),
        ("gossip heard, KB/s",
         (rates["whole_reports_heard"] * whole + updates_heard * update) / 1000, NODE_KB_PER_S),
        ("targets and allowances, memory MB", heap, NODE_MB),
    ]
    node = [
        ("usage heard, cores", cores("usage_heard", "agent_message_us"), NODE_CORES),
        ("usage heard, KB/s", rates["usage_heard"] * usage / 1000, NODE_KB_PER_S),
        ("states and loads sent to all entries, KB/s",
         (rates["states_sent"] * state + rates["loads_sent"] * load) / 1000, NODE_KB_PER_S),
        ("memory, MB", AGENTS_PER_NODE * measured["serving_agent_mb"], NODE_MB),
    ]
    return [(f"Serving entry (one of {ENTRIES})", entry), ("Agents beside the targets of a node (5.8)", node)]


def tables(slopes):
    sizes, measured = slopes["sizes"], slopes["measured"]
    lines = ["### Slopes", "", "| slope | value | command |", "|---|---|---|"]
    for name, value in sizes.items():
        lines.append(f"| {name} | {figure(value)} | `capacity-slopes` (compared exactly in CI) |")
    for name, value in measured.items():
        lines.append(f"| {name} | {figure(value)} | {slopes['commands'][name]} |")
    lines += ["", "### Log at the target size", "", "| source | records/s | bytes/s |", "|---|---|---|"]
    rows = log_traffic(sizes)
    for source, records, size in rows:
        lines.append(f"| {source} | {figure(records)} | {figure(size)} |")
    records = sum(row[1] for row in rows)
    lines.append(f"| all but claims | {figure(records)} | {figure(sum(row[2] for row in rows))} |")
    claims = (LOG_APPENDS_PER_S - records) / 2 * CLAIMS_PER_BATCH
    lines.append("")
    lines.append(f"At {LOG_APPENDS_PER_S} appends/s, with {CLAIMS_PER_BATCH} items in a batch and two items a call, the "
                 f"rest carries {figure(claims)} calls/s that may not be repeated: "
                 f"{figure(100 * claims / REQUESTS_PER_S)}% of {REQUESTS_PER_S:,} requests/s.")
    parts = [("Node (5.8 agents)", node_rows(sizes, measured)), ("Entry (one of 64)", entry_rows(sizes, measured))]
    for title, rows in parts + serving_rows(sizes, measured):
        lines += ["", f"### {title}", "", "| quantity | at the target | limit | today's design |", "|---|---|---|---|"]
        for name, value, limit in rows:
            shown = "none stated" if limit is None else figure(limit)
            judged = "not measured" if limit is None else verdict(value, limit)
            lines.append(f"| {name} | {figure(value)} | {shown} | {judged} |")
    return "\n".join(lines)


def page_with(text):
    page = PAGE.read_text()
    head, rest = page.split(BEGIN)
    return head + BEGIN + "\n" + text + "\n" + END + rest.split(END)[1]


def main():
    slopes = json.loads(SLOPES.read_text())
    wanted = page_with(tables(slopes))
    if "--check" not in sys.argv:
        PAGE.write_text(wanted)
        return 0
    program = Path(os.environ.get("BUILD", ROOT / "build")) / "bin" / "capacity-slopes"
    sizes = json.loads(subprocess.run([str(program)], capture_output=True, check=True).stdout)
    if sizes != slopes["sizes"]:
        print(f"sizes have changed: {sizes}\nrun scripts/measure-slopes.py --write and scripts/capacity.py")
        return 1
    if PAGE.read_text() != wanted:
        print("docs/CAPACITY.md does not match docs/capacity/slopes.json: run scripts/capacity.py")
        return 1
    print("docs/CAPACITY.md matches its slopes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
