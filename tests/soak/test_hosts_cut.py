# SPDX-License-Identifier: MIT
"""Real hosts that lose the path to all backend servers, while callers, the
store and the other hosts reach them."""
import argparse
import asyncio
import pathlib
import re
import sys
import tempfile
import unittest

import aiohttp

import soak
from callers import Caller
from ledger import CUT_KNOWN_S
from platform_standin import deployment

COUNTED_S = 5.0
HEALED_S = 2.0
PAUSE_S = 0.05
LEASE_KEY = "valeledge/controller/leader"

ARGS = None


class HostsCut(unittest.IsolatedAsyncioTestCase):
    """Four hosts, two of them in the same zone; six engines and three plain
    servers."""

    async def asyncSetUp(self):
        # The debug mode of test loops slows the proxies down several times.
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(11, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
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

    async def play(self, hosts, how):
        """Cuts hosts off and heals the cut; the counts of first tries."""
        callers = [asyncio.create_task(self.press(host, kind, model))
                   for host in self.site.hosts
                   for kind, model in [(deployment.ONCE, ""),
                                       (deployment.SAFE, ""),
                                       (deployment.RESUMABLE, "m0"),
                                       (deployment.STREAM, "m1")]]
        await asyncio.sleep(1.0)
        ledger = self.site.ledger
        ledger.cut_off([host.name for host in hosts])
        for host in hosts:
            host.cut_from_servers(how)
        await asyncio.sleep(CUT_KNOWN_S + COUNTED_S)
        cut = ledger.heal()
        for host in hosts:
            await host.heal_links()
        await asyncio.sleep(HEALED_S)
        self.stopping = True
        await asyncio.gather(*callers)
        await self.site.until_all_serve(soak.RECOVER_S, "after the cut")
        print(f"{how}, {len(hosts)} hosts cut: first tries and those served: "
              f"{cut.inside}, at the others {cut.outside}", flush=True)
        self.show_logs_of(ledger.broken)
        self.assertEqual(ledger.broken, [])
        self.assertGreater(cut.inside[0], 20)
        return cut

    def show_logs_of(self, broken):
        """Prints what the hosts wrote about the requests that are named."""
        names = {name for line in broken
                 for name in re.findall(r"\b[0-9a-f]{16}\b", line)}
        for log in pathlib.Path(self.folder.name).glob("*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if any(name in line for name in names):
                    print(log.stem, line)

    async def test_callers_of_a_host_whose_connections_hang_are_served(self):
        await self.play(self.site.hosts[:1], "silent")

    async def test_callers_of_a_host_whose_connections_are_reset_are_served(
            self):
        await self.play(self.site.hosts[1:2], "reset")

    async def test_callers_of_a_host_that_only_opens_no_connections_are_served(
            self):
        await self.play(self.site.hosts[2:3], "live")

    async def test_callers_of_a_host_that_only_receives_nothing_are_served(
            self):
        await self.play(self.site.hosts[3:], "back")

    async def test_callers_of_all_hosts_of_a_zone_are_served(self):
        zone = [host for host in self.site.hosts if host.zone == soak.ZONES[0]]
        await self.play(zone, "silent")

    def lease_holder(self):
        """The host that may give orders; None if the lease is free."""
        item = self.site.store.items.get(LEASE_KEY)
        holders = [host for host in self.site.hosts if item is not None
                   and item.value.decode().endswith(
                       f":{host.ports['peers']}")]
        return holders[0] if holders else None

    async def test_a_lease_holder_that_cannot_give_orders_gives_up_the_lease(
            self):
        holder = self.lease_holder()
        self.assertIsNotNone(holder)
        successor = asyncio.create_task(self.next_holder(holder))
        await self.play([holder], "silent")
        self.assertTrue(await successor)

    async def next_holder(self, holder):
        """Whether another host takes the lease before the cut is judged."""
        for _ in range(int((1.0 + CUT_KNOWN_S + COUNTED_S) / 0.1)):
            await asyncio.sleep(0.1)
            if self.lease_holder() not in (None, holder):
                return True
        return False

    async def test_callers_of_all_hosts_but_one_are_served(self):
        await self.play(self.site.hosts[1:], "reset")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--connect-shim", required=True)
    parser.set_defaults(hosts=4, engines=6, callers=0, clock_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
