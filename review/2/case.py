# SPDX-License-Identifier: MIT
"""Servers that leave while the store refuses calls of a third of the machines
are used by the other machines for longer than DrainMs."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from case import (TROUBLE, configuration, engine_service, publish, route,  # noqa: E402
                  run, stream_fields)
from fleet import DRAIN_S  # noqa: E402
from servers import Engine  # noqa: E402

ZONES = ["city-hall", "city-hall", "city-hall", "waterworks", "waterworks",
         "waterworks", "fairgrounds", "fairgrounds", "fairgrounds"]
# The store refuses the calls of a third of the machines for so long, again and
# again.
REFUSED_S = 0.6
SERVED_S = 0.4
SPAN_S = 8.0
# Half of the servers are replaced, one after the other.
SERVERS, LEAVING, GAP_S = 12, 6, 0.82
# A server goes on for so long after its entry was removed.
LINGER_S = 2.3


async def press(case, host):
    """Streams through one machine, each a second long."""
    while not case.stopping:
        asyncio.ensure_future(case.ask(
            host, "POST", "/season-roster/2f", stream_fields("daka51", 20),
            b"roster", 15000, "stream"))
        await asyncio.sleep(0.1)


async def refuse(case, hosts):
    """The store refuses the calls of some machines now and then."""
    end = time.monotonic() + SPAN_S
    case.say("the store begins to refuse calls (429) of "
             + ", ".join(host.name for host in hosts))
    while time.monotonic() < end:
        for status, seconds in ((429, REFUSED_S), (0, SERVED_S)):
            for host in hosts:
                case.store.turn_away(host.name, status)
            await asyncio.sleep(seconds)
    case.say("the store serves all machines again")


async def start_server(case, at):
    server = Engine(case.store, "drafting-assistant", ZONES[at % len(ZONES)],
                    case.on_server, slots=64, models=["daka51"],
                    sizes={"daka51": 60000})
    await server.start()
    case.servers.append(server)


async def leave(case, server):
    """A server that never says that it is draining: its entry goes, and it
    serves a little longer than DrainMs."""
    revision = case.store.remove("servers/" + server.id)
    removed = time.monotonic()
    case.say(f"entry of {server.id} removed at revision {revision}")
    await asyncio.sleep(LINGER_S)
    server.end()
    case.say(f"{server.id} exits")
    return server.id, removed


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
    for at in range(SERVERS):
        await start_server(case, at)
    case.fleet.start()
    await case.until_ready(hosts)
    callers = [asyncio.create_task(press(case, host)) for host in hosts]
    await asyncio.sleep(8)
    # One machine of each zone follows the store; the others ask it.
    readers = [max((host for host in hosts if host.zone == zone),
                   key=lambda host: watching.get(host.name, 0))
               for zone in sorted(set(ZONES))]
    trouble = asyncio.create_task(refuse(case, readers)) if TROUBLE else None
    await asyncio.sleep(0.5)
    leaves = []
    for at, server in enumerate(case.servers[:LEAVING]):
        await start_server(case, at)
        leaves.append(asyncio.create_task(leave(case, server)))
        await asyncio.sleep(GAP_S)
    gone = dict(await asyncio.gather(*leaves))
    if trouble is not None:
        await trouble
    case.stopping = True
    await asyncio.gather(*callers)
    await case.until("all requests have ended",
                     lambda: len(case.answers) == len(case.sent), 18)
    late, lost = [], []
    for name, runs in case.runs.items():
        _, host, _ = case.sent[name]
        for at, server in runs:
            if server not in gone or host in readers:
                continue
            after = at - gone[server]
            if after > DRAIN_S + 0.02:
                late.append((name, after, host.name, server))
                if case.answers[name][1] != 200:
                    lost.append((name, host.name, case.answers[name]))
    late.sort(key=lambda each: each[1])
    for name, after, host, server in late[-6:]:
        case.say(f"{name} sent by {host} reached {server} {after:.2f} s after "
                 "its removal was acknowledged")
    for name, host, ended in lost:
        case.say(f"{name} ran there and ended with {ended[1] or ended[2]} "
                 f"at {host}")
    case.say(f"DRAIN: {len(late)} requests of machines in touch reached a "
             f"server that had gone later than {DRAIN_S} s, {len(lost)} of them were lost")
    return bool(late)


run(HERE, ZONES, play)
