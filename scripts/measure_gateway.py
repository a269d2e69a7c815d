# SPDX-License-Identifier: MIT
"""Measures what the path adds: the same requests sent to a stand-in engine
directly and through a gateway, in pairs of runs; then the most that one
gateway process carries, and memory at rest. Prints ratios beside times."""
import argparse
import json
import os
import subprocess
import sys

import deployment as dep


def write_plan(system, name, gateways, rate, duration, tokens, models,
               demands=1):
    path = os.path.join(system.dir, name + ".toml")
    addresses = ", ".join(f'"127.0.0.1:{port}"' for port in gateways)
    text = (f'[run]\nduration = "{duration}s"\ngateways = [{addresses}]\n'
            f'first_token = "640ms"\nbetween_tokens = "51ms"\n')
    for i in range(demands):
        text += (f'[[demand]]\nname = "d{i}"\npartner = "p"\n'
                 f'model = "m{{}}"\nmodels = {models}\n'
                 f'rate = {rate / demands}\ntokens = {tokens}\n'
                 f'prompt_chars = 40\n')
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def start(engines, slots, step, threads):
    system = dep.Deployment()
    system.start_kv()
    rows = [{"kind": "partner", "name": "p"},
            {"kind": "model", "name": "m0", "partner": "p", "memory_mb": 100,
             "replicas": engines}]
    for i in range(engines):
        port = system.start_engine(f"e{i}", capacity_mb=1000, slots=slots,
                                   token_step=step, prefill="1us",
                                   step_growth=0, single_load=True)
        rows.append({"kind": "server", "name": f"e{i}", "zone": "a",
                     "address": f"127.0.0.1:{port}", "memory_mb": 1000,
                     "slots": slots, "doubled_load": "no"})
    system.import_table(rows)
    system.start_daemon("scheduler", "s1", "a")
    system.start_daemon("controller", "c1", "a",
                        "[weight_store]\nloads_per_second = 100.0")
    system.start_daemon("gateway", "g1", "a", f"threads = {threads}")
    system.wait_ready("g1")
    for i in range(engines):
        dep.wait_until(lambda i=i: "model/m0@1" in dep.get_json(
            system.ports[f"e{i}"], "/load")["loaded"], "loads")
    dep.wait_until(lambda: dep.chat(system.ports["g1"], "m0")[0] == 200,
                   "the model")
    return system


def added_latency(rounds):
    system = start(1, 64, "5ms", 2)
    try:
        print("resident at rest, MB:", {
            name: round(process.resident_kb() / 1024, 1)
            for name, process in system.processes.items()
            if name in ("g1", "s1", "c1")})
        for _ in range(rounds):
            direct = dep.run_load(system, write_plan(
                system, "direct", [system.ports["e0"]], 40, 6, 8, 1))
            through = dep.run_load(system, write_plan(
                system, "through", [system.ports["g1"]], 40, 6, 8, 1))
            print("first token, ms (direct / through / added): " + "; ".join(
                f"{share} {direct[key]:.2f} / {through[key]:.2f} / "
                f"{through[key] - direct[key]:.2f}"
                for share, key in (("p50", "first_token_p50_ms"),
                                   ("p95", "first_token_p95_ms"),
                                   ("p99", "first_token_p99_ms"))),
                  f"whole {direct['whole']}/{through['whole']}", flush=True)
    finally:
        system.kill_all()


def most(rates, tokens, step, engines, threads, duration):
    for rate in rates:
        system = start(engines, 4096, step, threads)
        try:
            before = system.processes["g1"].cpu_seconds()
            plans = [write_plan(system, f"p{i}", [system.ports["g1"]],
                                rate / 2, duration, tokens, 1)
                     for i in range(2)]
            runs = [subprocess.Popen(
                [os.path.join(system.bin, "valeledge-load"), plan],
                stdout=subprocess.PIPE, text=True) for plan in plans]
            results = [json.loads(run.communicate(timeout=120)[0])
                       for run in runs]
            used = system.processes["g1"].cpu_seconds() - before
            asked = sum(each["requests"] for each in results)
            whole = sum(each["whole"] for each in results)
            met = sum(each["met_target"] for each in results)
            sent = sum(each["tokens"] for each in results)
            worst = max(each["first_token_p99_ms"] for each in results)
            print(f"asked {asked / duration:.0f} requests/s, "
                  f"{asked * tokens / duration:.0f} tokens/s: whole "
                  f"{whole / asked:.3f}, met {met / asked:.3f}, first token "
                  f"p99 {worst:.1f} ms, tokens {sent / duration:.0f}/s, "
                  f"gateway {100 * used / duration:.0f}% of a core, "
                  f"{system.processes['g1'].resident_kb() / 1024:.0f} MB",
                  [each["refusals"] for each in results], flush=True)
        finally:
            system.kill_all()


def cost_of_grants(rates):
    """Bytes and processor time that each request costs a scheduler, from two
    rates; both ends of the calls between processes are counted once."""
    system = start(2, 64, "1ms", 2)
    try:
        points = []
        for rate in rates:
            names = ("s1", "g1")
            before = {name: (dep.read_metrics(system.ports[name + ".admin"]),
                             system.processes[name].cpu_seconds())
                      for name in names}
            result = dep.run_load(system, write_plan(
                system, "grants", [system.ports["g1"]], rate, 8, 16, 1))
            row = {"rate": result["requests"] / 8}
            for name in names:
                values, cpu = before[name]
                after = dep.read_metrics(system.ports[name + ".admin"])
                row[name + "_call_kb_s"] = sum(
                    after[key] - values[key]
                    for key in ("valeledge_call_bytes_sent",
                                "valeledge_call_bytes_received")) / 8000
                row[name + "_cpu_pct"] = 100 * (
                    system.processes[name].cpu_seconds() - cpu) / 8
            points.append(row)
            print({key: round(value, 3) for key, value in row.items()},
                  flush=True)
        low, high = points[0], points[-1]
        span = high["rate"] - low["rate"]
        for name in ("s1", "g1"):
            print(name, "each request:",
                  round(1000 * (high[name + "_call_kb_s"] -
                                low[name + "_call_kb_s"]) / span), "bytes,",
                  round(10000 * (high[name + "_cpu_pct"] -
                                 low[name + "_cpu_pct"]) / span),
                  "microseconds")
    finally:
        system.kill_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("latency", "requests", "tokens", "grants"))
    parser.add_argument("--rates", default="")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--threads", type=int, default=2)
    options = parser.parse_args()
    rates = [float(rate) for rate in options.rates.split(",") if rate]
    if options.part == "latency":
        added_latency(options.rounds)
    elif options.part == "grants":
        cost_of_grants(rates or [20, 100, 200])
    elif options.part == "requests":
        most(rates or [500, 1000, 1800], 2, "1ms", 2, options.threads, 8)
    else:
        most(rates or [100, 200, 400], 128, "20ms", 6, options.threads, 10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
