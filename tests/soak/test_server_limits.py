# SPDX-License-Identifier: MIT
"""Real hosts before servers that advertise a rate limit for all of them."""
import argparse
import asyncio
import pathlib
import sys
import tempfile
import time
import unittest

import aiohttp

import soak
from callers import Caller
from platform_standin import deployment

RATE = 2
# Limits are known to all hosts, and judged, from then on.
SETTLED_S = 5.0
CALM_S = 8.0
TROUBLE_S = 10.0
PAUSE_S = 0.05

ARGS = None


class ServerLimits(unittest.IsolatedAsyncioTestCase):
    """Four hosts, six engines and three plain servers."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(7, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.plain = [server for server in self.site.servers
                      if server not in self.site.engines]
        self.stopping = False

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    async def press(self, host):
        """One caller that sends plain requests through a host all the time."""
        caller = Caller(self.site.ledger, self.site.rng, host, [], 0)
        caller.leaves_early = 0
        while not self.stopping:
            async with aiohttp.ClientSession() as session:
                await caller.send(session, deployment.ONCE, "")
            await asyncio.sleep(PAUSE_S)

    def arrived(self):
        return sum(limit.total for limit in self.site.ledger.limits.values())

    async def test_hosts_keep_the_limits_of_all_servers_of_a_service(self):
        for server in self.plain:
            server.limit = RATE
        callers = [asyncio.create_task(self.press(host))
                   for host in self.site.hosts for _ in range(3)]
        await asyncio.sleep(SETTLED_S)
        before, begun = self.arrived(), time.monotonic()
        await asyncio.sleep(CALM_S)
        passed = time.monotonic() - begun
        used = (self.arrived() - before) / (RATE * len(self.plain) * passed)
        await self.trouble_hosts()
        self.stopping = True
        await asyncio.gather(*callers)
        self.assertEqual(self.site.ledger.broken, [])
        self.assertGreater(used, 0.5)

    async def trouble_hosts(self):
        """Each host, the holder of the lease among them, is killed in turn
        while another one is frozen."""
        hosts = self.site.hosts
        for at, host in enumerate(hosts):
            frozen = hosts[(at + 1) % len(hosts)]
            frozen.freeze(TROUBLE_S / len(hosts))
            await host.kill()
            await host.start(first=False)
            await asyncio.sleep(TROUBLE_S / len(hosts))
            frozen.thaw()

    async def test_a_limit_that_ends_is_forgotten(self):
        for server in self.plain:
            server.limit = 0
        callers = [asyncio.create_task(self.press(host))
                   for host in self.site.hosts]
        await asyncio.sleep(SETTLED_S)
        for server in self.plain:
            server.limit = None
        await self.site.until_all_serve(soak.RECOVER_S, "after the limit")
        self.stopping = True
        await asyncio.gather(*callers)
        self.assertEqual(self.site.ledger.broken, [])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=4, engines=6, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
