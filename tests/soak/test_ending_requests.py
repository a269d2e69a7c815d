# SPDX-License-Identifier: MIT
"""A request that ends each server that begins to run it, sent again and again
to real hosts in turn, under a new id each time. tests/auto/host/
test_ending_requests.cc tells how this was found."""
import argparse
import asyncio
import pathlib
import sys
import tempfile
import unittest

import aiohttp

import soak
from callers import Caller
from platform_standin import deployment

# Enough for each host to send it more often than is allowed to all together.
ATTEMPTS_A_HOST = 5
# Between two attempts: longer than a server is away.
PAUSE_S = 1.1

ARGS = None


class EndingRequests(unittest.IsolatedAsyncioTestCase):
    """Three hosts, six engines and three plain servers."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        # Callers come from pools of addresses.
        self.addresses = (f"127.0.1.{last}" for last in range(1, 255))
        self.site = soak.Site(7, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    def caller(self, host):
        caller = Caller(self.site.ledger, self.site.rng, host,
                        list(soak.MODELS), 0)
        caller.leaves_early = 0
        caller.direct = True
        return caller

    async def send_to_all(self, kind, model, text, times=ATTEMPTS_A_HOST):
        """The request in turn to each host, again and again."""
        for _ in range(times):
            for host in self.site.hosts:
                connector = aiohttp.TCPConnector(
                    local_addr=(next(self.addresses), 0))
                async with aiohttp.ClientSession(
                        connector=connector) as session:
                    await self.caller(host).send(session, kind, model, text)
                await asyncio.sleep(PAUSE_S)

    async def test_servers_do_not_end_one_after_the_other(self):
        await asyncio.gather(
            self.send_to_all(deployment.STREAM, "m0", "a"),
            self.send_to_all(deployment.ONCE, "", "b"))
        ends = sorted(map(len, self.site.ledger.ended.values()))
        self.assertEqual(self.site.ledger.broken, [])
        self.assertEqual(ends, [3, 3])

    async def test_hosts_that_all_start_again_know_it(self):
        await self.send_to_all(deployment.ONCE, "", "c", 2)
        self.assertEqual(sorted(map(len, self.site.ledger.ended.values())),
                         [3])
        await asyncio.gather(*(host.kill() for host in self.site.hosts))
        for host in self.site.hosts:
            await host.start(first=False)
        await self.site.until_all_serve(soak.RECOVER_S, "after the restart")
        await self.send_to_all(deployment.ONCE, "", "c", 2)
        self.assertEqual(self.site.ledger.broken, [])
        self.assertEqual(sorted(map(len, self.site.ledger.ended.values())),
                         [3])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=3, engines=6, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
