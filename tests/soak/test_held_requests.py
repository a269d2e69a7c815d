# SPDX-License-Identifier: MIT
"""Real hosts whose requests cannot be served: whether callers have a response by
the time-out of the route, as seen from outside."""
import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time
import unittest

import aiohttp

import soak
from platform_standin import deployment
from proxy import BlockedPort

# A response may come so long after the time-out.
TOLERANCE_S = 0.5
# Callers wait so much longer than the time-out.
PATIENCE_S = 4.0
CALLERS = 12
# Deadline of requests whose route allows more.
DEADLINE_S = 1.5
TIMEOUT_S = {kind: min(deployment.timeout_s(kind), DEADLINE_S)
             for kind in (deployment.STREAM, deployment.RESUMABLE,
                          deployment.ONCE, deployment.SAFE)}
SHORTENED_S = 0.5

ARGS = None


class HeldRequests(unittest.IsolatedAsyncioTestCase):
    """Four hosts, six engines and three plain servers."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(61, ARGS, pathlib.Path(self.folder.name))
        self.site.watch = asyncio.create_task(self.site.watch_own_time())
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.asked, self.late = 0, []
        self.stopping = False
        self.timeout_s = dict(TIMEOUT_S)

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    async def ask(self, session, host, kind, rng):
        """Sends one request, and notes whether its response was late."""
        name = f"{rng.getrandbits(64):016x}"
        streams = kind in (deployment.STREAM, deployment.RESUMABLE)
        model = f"m{rng.randrange(3)}" if streams else ""
        if streams and rng.random() < 0.3:
            model += f"/a{rng.randint(1, soak.ADAPTERS)}"
        headers = deployment.request_headers(name, int(DEADLINE_S * 1000),
                                             model, 25)
        url = f"http://127.0.0.1:{host.ports['callers']}/{kind}/{name}"
        method = "GET" if kind == deployment.SAFE else "POST"
        limit_s = self.timeout_s[kind]
        begun, how = time.monotonic(), "none"
        try:
            async with asyncio.timeout(limit_s + PATIENCE_S):
                async with session.request(method, url,
                                           headers=headers) as response:
                    how = str(response.status)
                    await response.read()
        except (aiohttp.ClientError, ConnectionError):
            how += ", cut"
        except asyncio.TimeoutError:
            how += ", no end"
        took = time.monotonic() - begun
        self.asked += 1
        if took > limit_s + TOLERANCE_S:
            self.late.append(f"{name} {kind} at {host.name}: {how} after "
                             f"{took:.2f} of {limit_s} s")

    async def press(self, hosts, at, kinds):
        rng = random.Random(at)
        host = hosts[at % len(hosts)]
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self.stopping:
                await self.ask(session, host, rng.choice(kinds), rng)
                await asyncio.sleep(0.02)

    async def play(self, hosts, disturb, kinds=tuple(TIMEOUT_S)):
        """Presses the hosts while `disturb` runs; no response may be late."""
        callers = [asyncio.create_task(self.press(hosts, at, kinds))
                   for at in range(CALLERS)]
        await asyncio.sleep(0.5)
        await disturb
        self.stopping = True
        await asyncio.gather(*callers)
        print(f"{len(self.late)} of {self.asked} responses late; the first: "
              f"{self.late[:3]}", flush=True)
        self.show_logs_of_late()
        self.assertGreater(self.asked, 5 * CALLERS)
        self.assertEqual(self.late, [])

    def show_logs_of_late(self):
        """What hosts wrote of late requests, and for how long this program
        stood still meanwhile."""
        if not self.late:
            return
        names = [each.split()[0] for each in self.late[:10]]
        print("this program stood still for "
              f"{self.site.ledger.stalled_s:.2f} s", flush=True)
        for log in pathlib.Path(self.folder.name).glob("*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if any(name in line for name in names):
                    print(log.stem, line, flush=True)

    async def endless(self, what):
        for server in self.site.servers:
            server.endless = what
        await asyncio.sleep(4.0)

    async def test_refusals_without_an_end_hold_no_request(self):
        await self.play(self.site.hosts, self.endless("refusal"))

    async def test_misdirections_without_an_end_hold_no_request(self):
        await self.play(self.site.hosts, self.endless("misdirected"))

    async def test_bodies_without_an_end_hold_no_request(self):
        await self.play(self.site.hosts, self.endless("body"))

    async def test_heads_without_an_end_hold_no_request(self):
        await self.play(self.site.hosts, self.endless("head"))

    async def test_mute_servers_hold_no_request(self):
        await self.play(self.site.hosts, self.endless("nothing"))

    async def suspend_each(self, hosts):
        """Whichever of them owns queues, slots or the lease."""
        for host in hosts:
            host.freeze(2.0)
            await asyncio.sleep(2.0)
            host.thaw()
            await asyncio.sleep(0.5)

    async def test_suspended_owners_hold_no_request_of_others(self):
        await self.play(self.site.hosts[2:],
                        self.suspend_each(self.site.hosts[:2]))

    async def lose_power(self, hosts):
        for host in hosts:
            await host.kill()
            blocked = BlockedPort(host.ports["peers"])
            await asyncio.sleep(3.0)
            blocked.close()
            await host.start(first=False)
            await asyncio.sleep(1.0)

    async def test_owners_without_power_hold_no_request_of_others(self):
        await self.play(self.site.hosts[2:],
                        self.lose_power(self.site.hosts[:2]))

    async def test_hosts_that_give_out_slots_and_lose_power_hold_no_request(
            self):
        await self.play(self.site.hosts[3:],
                        self.lose_power(self.site.hosts[:3]),
                        [deployment.ONCE, deployment.SAFE])

    async def lose_all_power(self):
        await asyncio.gather(*(host.kill() for host in self.site.hosts))
        await asyncio.sleep(1.0)
        for host in self.site.hosts:
            await host.start(first=False)
        await asyncio.sleep(6.0)

    async def test_hosts_that_all_lost_power_hold_no_request_afterwards(self):
        await self.play(self.site.hosts, self.lose_all_power())

    async def shorten(self):
        """Servers do not respond, and the operators shorten a time-out."""
        for server in self.site.servers:
            server.endless = "nothing"
        self.site.version += 1
        changed = deployment.configuration(
            self.site.version, self.site.models, soak.MEMORY_MB,
            self.site.slots, soak.ADAPTERS, soak.ADAPTER_SLOTS)
        deployment.shorten_timeouts(changed, SHORTENED_S)
        await self.site.store.put(deployment.CONFIGURATION_KEY, changed)
        await asyncio.sleep(soak.APPLY_S)
        self.timeout_s = dict.fromkeys(self.timeout_s, SHORTENED_S)
        await asyncio.sleep(3.0)

    async def test_a_shortened_time_out_holds_for_new_requests(self):
        await self.play(self.site.hosts, self.shorten())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=4, engines=6, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
