# SPDX-License-Identifier: MIT
"""Real hosts with a quarter of a core each: for some seconds all new
connections go to one host, then to another one, and callers open more."""
import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
import time
import unittest

import aiohttp

import soak
from callers import Caller
from platform_standin import deployment

CALLERS = 60
# Between two requests of a caller, before and during the rush.
PAUSE_S, RUSH_PAUSE_S = 0.6, 0.3
CALM_S, RUSH_S = 6.0, 8.0
# A host has to cope from so long after the rush began.
CONTACT_S = 3.0
# First tries are served at least this share as often as before.
SERVED_SHARE = 0.75
# The processor's quota of a host: it runs so long in each period.
QUOTA_S, PERIOD_S = 0.025, 0.1

ARGS = None


class ConnectionRush(unittest.IsolatedAsyncioTestCase):
    """Six hosts, nine engines, three plain servers."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(41, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.stopping = False
        # The host that gets all new connections; None: any.
        self.rushed = None
        # When each first try was sent, and whether it was served.
        self.tries = []
        self.quota = None

    async def asyncTearDown(self):
        if self.quota:
            self.quota.cancel()
        for host in self.site.hosts:
            host.thaw()
        await self.site.end()
        self.folder.cleanup()

    async def limit_processors(self):
        """Lets the hosts run by turns for a part of each period."""
        hosts = [host.process for host in self.site.hosts]
        try:
            while True:
                for process in hosts:
                    process.send_signal(signal.SIGCONT)
                await asyncio.sleep(QUOTA_S)
                for process in hosts:
                    process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(PERIOD_S - QUOTA_S)
        finally:
            for process in hosts:
                process.send_signal(signal.SIGCONT)

    async def ask(self):
        """One caller, with a new connection for each request."""
        rng = self.site.rng
        while not self.stopping:
            host = self.rushed or rng.choice(self.site.hosts)
            caller = Caller(self.site.ledger, rng, host, list(soak.MODELS), 0)
            caller.leaves_early, caller.direct = 0, True
            at = time.monotonic()
            async with aiohttp.ClientSession() as session:
                served = await caller.ask(session)
            self.tries.append((at, served))
            pause = RUSH_PAUSE_S if self.rushed else PAUSE_S
            await asyncio.sleep(rng.expovariate(1 / pause))

    def served_between(self, begin, end):
        tries = [served for at, served in self.tries if begin <= at < end]
        return sum(tries), len(tries)

    async def play(self):
        tasks = [asyncio.create_task(self.ask()) for _ in range(CALLERS)]
        await asyncio.sleep(1.0)
        began = time.monotonic()
        await asyncio.sleep(CALM_S)
        spans = [(began, time.monotonic())]
        for host in self.site.hosts[1:3]:
            self.rushed, rushed_at = host, time.monotonic()
            await asyncio.sleep(RUSH_S)
            spans.append((rushed_at + CONTACT_S, time.monotonic()))
        self.stopping = True
        await asyncio.gather(*tasks)
        counts = [self.served_between(*span) for span in spans]
        print(f"{self.id().rpartition('.')[2]}: served of first tries before, "
              f"in the first rush, in the second: {counts}", flush=True)
        (before, all_before), *rushes = counts
        for served, tried in rushes:
            self.assertGreaterEqual(served * all_before,
                                    SERVED_SHARE * before * tried)

    async def test_one_host_serves_all_new_connections(self):
        await self.play()

    async def test_one_host_with_a_quota_serves_all_new_connections(self):
        self.quota = asyncio.create_task(self.limit_processors())
        await self.play()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=6, engines=9, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
