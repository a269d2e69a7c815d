# SPDX-License-Identifier: MIT
"""A machine that was frozen goes on sending requests to a server that is gone:
the machine from which it catches up has started since the server left."""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from case import (CouldNotRun, TROUBLE, configuration, engine_service,  # noqa: E402
                  publish, route, run, stream_fields)
from fleet import DRAIN_S  # noqa: E402
from servers import Engine  # noqa: E402

ZONES = ["city-hall", "city-hall", "waterworks", "waterworks"]
# The machine stands still for so long.
FREEZE_S = 2.2
# The killed process is started again after so long.
RESTART_S = 0.4
# The server goes on for so long after its entry was removed.
LINGER_S = 8.5


async def press(case, host):
    """Streams through one machine, two at a time."""
    while not case.stopping:
        if host.is_running():
            asyncio.ensure_future(case.ask(
                host, "POST", "/season-roster/2f", stream_fields("daka51", 20),
                b"roster", 15000, "stream"))
        await asyncio.sleep(0.5)


async def play(case):
    store, hosts = case.store, case.fleet.hosts
    watching = {}

    def on_call(machine, _, path):
        if path == "/-/kv-watch":
            watching[machine] = time.monotonic()
    store.on_call = on_call
    publish(case, configuration(
        7, [route("season-roster", "drafting-assistant", "stream", 15000, 1000,
                  GapAimMs=300)],
        [engine_service("drafting-assistant", {"daka51": 60000})]))
    for at in range(3):
        server = Engine(store, "drafting-assistant", ZONES[at], case.on_server,
                        slots=64, models=["daka51"],
                        sizes={"daka51": 60000})
        await server.start()
        case.servers.append(server)
    case.fleet.start()
    await case.until_ready(hosts)
    callers = [asyncio.create_task(press(case, host)) for host in hosts]
    await asyncio.sleep(8)
    # In the first zone one machine follows the store; the other asks it.
    zone = hosts[:2]
    reader = max(zone, key=lambda host: watching.get(host.name, 0))
    frozen = zone[1 - zone.index(reader)]
    if time.monotonic() - watching.get(reader.name, 0) > 1.5:
        raise CouldNotRun("no machine of the zone follows the store")
    gone = case.servers[0]
    case.say(f"{reader.name} follows the store for its zone")
    began = time.monotonic()
    if TROUBLE:
        case.say(f"node_freeze of {frozen.name}")
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        case.say(f"node_kill of {reader.name}")
        reader.kill()
        await asyncio.sleep(RESTART_S / 2)
    revision = store.remove("servers/" + gone.id)
    removed = time.monotonic()
    case.say(f"entry of {gone.id} removed at revision {revision}")
    if TROUBLE:
        await asyncio.sleep(RESTART_S / 2)
        case.fleet.restart(reader)
        case.say(f"{reader.name} started again")
        await asyncio.sleep(max(0, began + FREEZE_S - time.monotonic()))
        frozen.signal(signal.SIGCONT)
        case.say(f"{frozen.name} woken")
    await asyncio.sleep(max(0, removed + LINGER_S - time.monotonic()))
    gone.end()
    case.say(f"{gone.id} exits")
    case.stopping = True
    await asyncio.gather(*callers)
    await case.until("all requests have ended",
                     lambda: len(case.answers) == len(case.sent), 18)
    late, lost = [], []
    for name, runs in case.runs.items():
        sent, host, _ = case.sent[name]
        in_touch = sent >= host.in_touch_from()
        for at, server in runs:
            if server == gone.id and in_touch and at > removed + DRAIN_S + 0.1:
                late.append((name, at - removed, host.name))
                if case.answers[name][1] != 200:
                    lost.append((name, host.name, case.answers[name]))
    for name, after, host in late[:3] + late[-3:]:
        case.say(f"{name} sent by {host} reached {gone.id} {after:.2f} s after "
                 "its removal was acknowledged")
    for name, host, ended in lost:
        case.say(f"{name} ran there and ended with {ended[1] or ended[2]} "
                 f"at {host}")
    case.say(f"DRAIN: {len(late)} requests of machines in touch reached "
             f"{gone.id} later than {DRAIN_S} s, {len(lost)} of them were lost")
    return bool(late)


run(HERE, ZONES, play)
