# SPDX-License-Identifier: MIT
"""Measures what control costs a daemon, varying one thing at a time.

Each line starts a fleet on loopback, lets it settle, and reads processor
time, memory, bytes and key-value calls over a window. One stand-in engine
listens on all of 127.0.0.0/8 and stands for many backend servers. Prints and
writes CSV; measures nothing but control, for no request is sent.
"""
import argparse
import csv
import os
import subprocess
import sys
import time

import deployment as dep

PROGRAMS = ("gateway", "scheduler", "controller")
ZONES = ("r1-a", "r1-b", "r2-a", "r2-b")
BYTE_GAUGES = ("valeledge_gossip_bytes_sent", "valeledge_gossip_bytes_received",
               "valeledge_call_bytes_sent", "valeledge_call_bytes_received",
               "valeledge_poll_bytes", "valeledge_platform_bytes")


def build_table(system, servers, models, cell_size):
    port = dep.free_port()
    command = [os.path.join(system.bin, "valeledge-standin-engine"),
               "--listen", f"0.0.0.0:{port}", "--capacity-mb", "100000000",
               "--single-load", "--per-host"]
    system.start("engines", command)
    rows = [{"kind": "partner", "name": "p"}]
    for i in range(models):
        rows.append({"kind": "model", "name": f"m{i}", "partner": "p",
                     "memory_mb": 10})
    for i in range(servers):
        zone = ZONES[i % 4]
        rows.append({
            "kind": "server", "name": f"s{i}", "zone": zone,
            "cell": f"{zone}.{i // 4 // cell_size}", "slots": 8,
            "address": f"127.0.{1 + i // 250}.{1 + i % 250}:{port}",
            "memory_mb": 100 * (1 + models // max(servers, 1)),
            "doubled_load": "no"})
    dep.wait_until(lambda: dep.call(port, "GET", "/counts")[0] == 200, "engines")
    system.import_table(rows)


def start_fleet(system, daemons):
    names = []
    for i in range(daemons):
        program = PROGRAMS[i % 3]
        name = f"{program}{i}"
        extra = ""
        if program == "controller":
            extra = "[weight_store]\nloads_per_second = 200.0\nloads_at_once = 50"
        system.start_daemon(program, name, ZONES[(i // 3) % 4], extra,
                            wait=False)
        names.append(name)
    for name in names:
        system.wait_ready(name, 120)
    dep.wait_until(
        lambda: all(dep.read_metrics(system.ports[name + ".admin"])
                    ["valeledge_members"] == daemons for name in names),
        "all members to know each other", 120)
    return names


def settled(system, names):
    """No order is under way."""
    moves = [dep.get_json(system.ports[name + ".admin"], "/status")
             .get("moves", 0) for name in names if "controller" in name]
    time.sleep(3)
    again = [dep.get_json(system.ports[name + ".admin"], "/status")
             .get("moves", 0) for name in names if "controller" in name]
    return moves == again and sum(again) > 0


def quiet(system, names):
    """No process has news of the start left to tell."""
    return all(dep.read_metrics(system.ports[name + ".admin"])
               ["valeledge_gossip_rumors"] == 0 for name in names)


def read_all(system, names):
    out = {}
    for name in names:
        values = dep.read_metrics(system.ports[name + ".admin"])
        out[name] = {
            "bytes": sum(values.get(gauge, 0) for gauge in BYTE_GAUGES),
            "gossip": sum(values.get(gauge, 0) for gauge in BYTE_GAUGES[:2]),
            "cpu": system.processes[name].cpu_seconds(),
            "rss": system.processes[name].resident_kb(),
            "calls": {key: value for key, value in values.items()
                      if key.startswith("valeledge_platform_calls_total")},
        }
    return out


def measure(daemons, servers, models, edits, window, cell_size):
    system = dep.Deployment()
    try:
        system.start_kv()
        build_table(system, servers, models, cell_size)
        names = start_fleet(system, daemons)
        dep.wait_until(lambda: settled(system, names), "placement to settle",
                       180)
        dep.wait_until(lambda: quiet(system, names), "news to be told", 300)
        before = read_all(system, names)
        start = time.monotonic()
        spread = run_edits(system, names, edits, window)
        left = window - (time.monotonic() - start)
        if left > 0:
            time.sleep(left)
        after = read_all(system, names)
        length = time.monotonic() - start
        return summarise(daemons, servers, models, edits, before, after,
                         length, spread)
    finally:
        system.kill_all()


def run_edits(system, names, edits, window):
    """Changes a row so often a second; the longest time to be everywhere."""
    if edits == 0:
        return 0.0
    worst = 0.0
    end = time.monotonic() + window
    number = 0
    while time.monotonic() < end:
        number += 1
        started = time.monotonic()
        text = system.ctl("table", "set", "partner/p", f"weight={number}")[1]
        revision = int(text.rsplit(" ", 1)[1])
        accepted = time.monotonic()
        if number % 4 == 1:
            dep.wait_until(
                lambda: all(dep.get_json(system.ports[name + ".admin"],
                                         "/status")["table_revision"]
                            >= revision for name in names), "spread")
            worst = max(worst, time.monotonic() - accepted)
        pause = 1 / edits - (time.monotonic() - started)
        if pause > 0:
            time.sleep(pause)
    return worst


def summarise(daemons, servers, models, edits, before, after, length, spread):
    row = {"daemons": daemons, "servers": servers, "models": models,
           "edits_per_s": edits, "spread_s": round(spread, 3)}
    for program in PROGRAMS:
        names = [name for name in after if name.startswith(program)]
        if not names:
            continue
        cpu = [(after[n]["cpu"] - before[n]["cpu"]) / length for n in names]
        rate = [(after[n]["bytes"] - before[n]["bytes"]) / length
                for n in names]
        gossip = [(after[n]["gossip"] - before[n]["gossip"]) / length
                  for n in names]
        rss = [after[n]["rss"] / 1024 for n in names]
        row[f"{program}_cpu_pct"] = round(100 * sum(cpu) / len(cpu), 3)
        row[f"{program}_cpu_pct_max"] = round(100 * max(cpu), 3)
        row[f"{program}_kb_s"] = round(sum(rate) / len(rate) / 1000, 3)
        row[f"{program}_kb_s_max"] = round(max(rate) / 1000, 3)
        row[f"{program}_gossip_kb_s"] = round(
            sum(gossip) / len(gossip) / 1000, 3)
        row[f"{program}_rss_mb_max"] = round(max(rss), 1)
    kinds = {}
    for name in after:
        for key, value in after[name]["calls"].items():
            kind = key.split('"')[1]
            kinds[kind] = (kinds.get(kind, 0) + value -
                           before[name]["calls"].get(key, 0))
    for kind in ("read", "write", "watch", "lease"):
        row[f"kv_{kind}_s"] = round(kinds.get(kind, 0) / length, 3)
    return row


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--window", type=float, default=15)
    parser.add_argument("--out", default="capacity.csv")
    parser.add_argument("--cell-size", type=int, default=8)
    parser.add_argument("lines", nargs="*",
                        help="DAEMONS:SERVERS:MODELS:EDITS_PER_S")
    options = parser.parse_args()
    rows = []
    for line in options.lines:
        daemons, servers, models, edits = line.split(":")
        try:
            row = measure(int(daemons), int(servers), int(models),
                          float(edits), options.window, options.cell_size)
        except (TimeoutError, RuntimeError, subprocess.SubprocessError) as why:
            print(f"{line}: not measured: {why}", flush=True)
            continue
        rows.append(row)
        print(row, flush=True)
    if not rows:
        return 1
    with open(options.out, "w", encoding="utf-8", newline="") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
