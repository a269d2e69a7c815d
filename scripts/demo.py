# SPDX-License-Identifier: MIT
"""Starts everything, sends one request of each kind, and stops it again."""
import argparse
import json
import sys
import time

import deployment as dep


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true",
                        help="leave the system running and print addresses")
    options = parser.parse_args()
    system = dep.Deployment()
    try:
        run(system)
    except Exception as failed:  # pylint: disable=broad-except
        print(f"demo failed: {failed}\nlogs: {system.dir}", file=sys.stderr)
        system.kill_all()
        return 1
    if options.keep:
        print("\nleft running:")
        for name, port in sorted(system.ports.items()):
            print(f"  {name:20} 127.0.0.1:{port}")
        print("processes: " + " ".join(
            str(each.child.pid) for each in system.processes.values()))
        return 0
    statuses = system.stop_all()
    print("stopped:", ", ".join(f"{k} {v}" for k, v in statuses.items()))
    bad = {k: v for k, v in statuses.items() if v != 0}
    if bad:
        print(f"not stopped gracefully: {bad}", file=sys.stderr)
        return 1
    return 0


def run(system):
    system.start_kv()
    rows = [
        {"kind": "partner", "name": "tallow-creek", "weight": 2},
        {"kind": "model", "name": "season-draft", "partner": "tallow-creek",
         "memory_mb": 400, "replicas": 2},
        {"kind": "service", "name": "booking", "partner": "tallow-creek",
         "idempotent": "no"},
    ]
    for zone in ("city-hall", "waterworks"):
        engine = f"engine-{zone}"
        port = system.start_engine(engine, capacity_mb=1000, slots=4,
                                   single_load=True)
        rows.append({"kind": "server", "name": engine, "zone": zone,
                     "address": f"127.0.0.1:{port}", "memory_mb": 1000,
                     "slots": 4, "doubled_load": "no"})
    port = system.start_service("desk")
    rows.append({"kind": "server", "name": "desk", "zone": "city-hall",
                 "address": f"127.0.0.1:{port}", "base": "booking",
                 "cell": "desk", "slots": 16})
    print(system.import_table(rows)[1].strip())
    for zone in ("city-hall", "waterworks"):
        for program in ("scheduler", "controller", "gateway"):
            system.start_daemon(program, f"{program}-{zone}", zone)
    gateway = system.ports["gateway-city-hall"]
    for zone in ("city-hall", "waterworks"):
        system.wait_ready(f"gateway-{zone}")

    def answers():
        return dep.chat(gateway, "season-draft")[0] == 200

    dep.wait_until(answers, "the model to be loaded and reachable")

    status, headers, body = dep.chat(gateway, "season-draft", stream=True)
    text, whole = dep.text_of_stream(body)
    print(f"\nstreamed completion: {status}, whole: {whole}\n  {text}")
    assert status == 200 and whole
    for zone in ("city-hall", "waterworks"):
        counts = dep.get_json(system.ports[f"engine-{zone}"], "/counts")
        print(f"  engine-{zone} ran {counts['requests']} requests")

    key = {"Idempotency-Key": "hall-7-friday"}
    for attempt in ("first", "again"):
        status, headers, body = dep.call(
            gateway, "POST", "/services/booking/halls/7", {"day": "friday"},
            key)
        print(f"booking, {attempt}: {status}, ran at "
              f"{headers.get('Valeledge-Server', '(recorded answer)')}: {body}")
        assert status == 200
    runs = dep.get_json(system.ports["desk"], "/runs")
    print(f"  the service ran it {runs['runs']['hall-7-friday']} time(s)")
    assert runs["runs"]["hall-7-friday"] == 1

    print(system.ctl("table", "set", "partner/tallow-creek", "weight=3")[1]
          .strip())
    started = time.monotonic()
    daemons = [name for name in system.ports if name.endswith(".admin")]

    def everywhere():
        return all(dep.get_json(system.ports[name], "/status")
                   ["table_revision"] == 2 for name in daemons)

    dep.wait_until(everywhere, "the change to be in force everywhere")
    print(f"  in force in all {len(daemons)} processes after "
          f"{time.monotonic() - started:.2f} s")
    print(json.dumps(json.loads(
        dep.call(gateway, "GET", "/v1/models")[2])["data"]))


if __name__ == "__main__":
    sys.exit(main())
