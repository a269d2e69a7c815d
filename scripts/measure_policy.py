# SPDX-License-Identifier: MIT
"""Compares the scheduler's decisions with plain ways, under the same demand
in the same run: routing by scheduler against random, round robin and the less
busy of two by own counts. Also shares between two partners that both want
more, and goodput beyond capacity. Several seeds; prints each and the spread.
"""
import argparse
import csv
import json
import os
import sys

import deployment as dep

ENGINES = 6
SLOTS = 4
TOKENS = 32
STEP_MS = 10
MODELS = 12
ZONES = ("a", "b", "c")


def capacity():
    """Requests a second when every slot of every engine is busy."""
    step = STEP_MS * (1 + 0.02 * (SLOTS - 1))
    return ENGINES * SLOTS / (TOKENS * step / 1000)


def start(routing):
    system = dep.Deployment()
    system.start_kv()
    rows = [{"kind": "partner", "name": "big", "weight": 3},
            {"kind": "partner", "name": "small", "weight": 1}]
    for i in range(MODELS):
        rows.append({"kind": "model", "name": f"m{i}", "memory_mb": 200,
                     "partner": "big" if i % 2 == 0 else "small",
                     "replicas": min(2, ENGINES), "move_price": 1000000})
    for i in range(ENGINES):
        port = system.start_engine(
            f"e{i}", capacity_mb=1000, slots=SLOTS, single_load=True,
            token_step=f"{STEP_MS}ms", prefill="20us")
        rows.append({"kind": "server", "name": f"e{i}", "zone": ZONES[i % 3],
                     "address": f"127.0.0.1:{port}", "memory_mb": 1000,
                     "slots": SLOTS, "doubled_load": "no"})
    system.import_table(rows)
    for zone in ZONES:
        system.start_daemon("scheduler", f"s-{zone}", zone)
        system.start_daemon("gateway", f"g-{zone}", zone,
                            f'[backends]\nrouting = "{routing}"')
    system.start_daemon("controller", "c1", "a",
                        "[weight_store]\nloads_per_second = 100.0")
    for zone in ZONES:
        system.wait_ready(f"g-{zone}")
    for i in range(MODELS):
        for zone in ZONES:
            dep.wait_until(lambda i=i, z=zone: dep.chat(
                system.ports[f"g-{z}"], f"m{i}", max_tokens=1)[0] == 200,
                f"m{i}")
    return system


def plan(system, load, seed, duration, skew):
    path = os.path.join(system.dir, "plan.toml")
    gateways = ", ".join(f'"127.0.0.1:{system.ports["g-" + zone]}"'
                         for zone in ZONES)
    admin = system.ports["c1.admin"]
    text = (f'[run]\nduration = "{duration}s"\nseed = {seed}\n'
            f'gateways = [{gateways}]\ncontrollers = ["127.0.0.1:{admin}"]\n'
            f'accelerators = {ENGINES}\n')
    # Each model is a demand of its own, so that tokens count for its partner.
    weights = [1 / (i + 1) ** skew for i in range(MODELS)]
    for i in range(MODELS):
        rate = load * capacity() * weights[i] / sum(weights)
        text += (f'[[demand]]\nname = "m{i}"\nmodel = "m{i}"\n'
                 f'partner = "{"big" if i % 2 == 0 else "small"}"\n'
                 f'rate = {rate:.4f}\ntokens = {TOKENS}\nprefixes = 8\n')
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ways",
                        default="scheduler,random,round_robin,two_choices")
    parser.add_argument("--loads", default="0.9")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--duration", type=int, default=12)
    parser.add_argument("--skew", type=float, default=0.5)
    parser.add_argument("--out", default="policy.csv")
    options = parser.parse_args()
    rows = []
    print(f"capacity about {capacity():.0f} requests/s")
    for way in options.ways.split(","):
        system = start(way)
        try:
            for load in options.loads.split(","):
                for seed in range(1, options.seeds + 1):
                    result = dep.run_load(system, plan(system, float(load), seed,
                                              options.duration, options.skew))
                    tokens = result["tokens_by_partner"]
                    row = {
                        "way": way, "load": load, "seed": seed,
                        "requests": result["requests"],
                        "met": result["met_target"],
                        "met_share": round(result["met_target"] /
                                           result["requests"], 4),
                        "attainment_per_accelerator": round(
                            result["attainment_per_accelerator"], 2),
                        "goodput_per_s": round(result["goodput_per_s"], 2),
                        "moves": result["moves"],
                        "broken": result["broken"],
                        "big_share": round(tokens["big"] /
                                           max(sum(tokens.values()), 1), 4),
                        "first_token_p50_ms": result["first_token_p50_ms"],
                        "first_token_p95_ms": result["first_token_p95_ms"],
                        "refused_after_p95_ms": result["refused_after_p95_ms"],
                        "refusals": json.dumps(result["refusals"]),
                    }
                    rows.append(row)
                    print(row, flush=True)
        finally:
            system.kill_all()
    with open(options.out, "w", encoding="utf-8", newline="") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
