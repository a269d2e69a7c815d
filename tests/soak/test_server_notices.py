# SPDX-License-Identifier: MIT
"""Real hosts before servers that leave or ask for backoffs in responses."""
import argparse
import asyncio
import pathlib
import sys
import tempfile
import unittest

import aiohttp

import soak
from callers import Caller
from ledger import DRAIN_S
from platform_standin import backends, deployment

BACKOFF_S = 2.0
REFUSES_FOR_S = 5.0
PAUSE_S = 0.02

ARGS = None


class ServerNotices(unittest.IsolatedAsyncioTestCase):
    """Four hosts, six engines and three plain servers."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(9, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.plain = [server for server in self.site.servers
                      if server not in self.site.engines]
        self.stopping = False

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    async def press(self, host, kind, model):
        """One caller that sends requests through a host all the time."""
        caller = Caller(self.site.ledger, self.site.rng, host, [], 0)
        caller.leaves_early = 0
        while not self.stopping:
            async with aiohttp.ClientSession() as session:
                await caller.send(session, kind, model)
            await asyncio.sleep(PAUSE_S)

    def begin(self):
        return [asyncio.create_task(self.press(host, kind, model))
                for host in self.site.hosts
                for kind, model in [(deployment.ONCE, ""),
                                    (deployment.RESUMABLE, "m0"),
                                    (deployment.STREAM, "m1")]]

    async def finish(self, callers):
        self.stopping = True
        await asyncio.gather(*callers)
        self.assertEqual(self.site.ledger.broken, [])

    async def test_servers_that_ask_for_backoffs_get_no_requests(self):
        callers = self.begin()
        refusing = [self.plain[0], self.site.engines[0]]
        for server in refusing:
            server.backoff_s, server.backoff_share = BACKOFF_S, 1.0
        await asyncio.sleep(REFUSES_FOR_S)
        for server in refusing:
            server.backoff_s = 0.0
        await asyncio.sleep(BACKOFF_S)
        self.assertGreater(self.site.ledger.notices_seen["backoff"], 3)
        await self.finish(callers)

    async def test_servers_whose_responses_say_that_they_leave(self):
        callers = self.begin()
        leaving = [self.plain[0], self.site.engines[1]]
        # Hosts cannot read the store meanwhile.
        self.site.store.faults.status = 503
        self.site.blind_for(backends.UNSAID_LINGER_S)
        for server in leaving:
            await server.leave(tells_store=False)
        await asyncio.sleep(DRAIN_S + 2)
        self.site.store.faults.status = 0
        self.assertGreater(self.site.ledger.notices_seen["leaving"], 3)
        for server in leaving:
            self.site.ledger.spoil(server.instance, float("inf"))
        await self.finish(callers)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=4, engines=6, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
