# SPDX-License-Identifier: MIT
"""One real host of three is stopped in calm while callers go on with their
connections: what its servers have run is answered, whatever the grace."""
import argparse
import asyncio
import sys
import unittest

import soak
from site_test import SiteTest
import hosts
from platform_standin import deployment

# Times that callers wait, and the time-out of the routes.
DEADLINES_MS = (1000, 3000, 5000, 8000)
TIMEOUT_S = 8.0
# Half of the requests to plain servers take long.
LONG_SHARE = 0.5
SLOTS = 60
CALLS = [(deployment.ONCE, "")] * 10 + [(deployment.SAFE, "")] * 8 + [
    (deployment.STREAM, "m0"), (deployment.RESUMABLE, "m1")]
BEFORE_S = 2.0
ROUNDS = 2

ARGS = None


class PlannedStop(SiteTest):
    """Three hosts, six engines and three plain servers."""

    def arguments(self):
        return ARGS

    def prepare(self):
        hosts.GRACE_S = next(float(grace) for grace in (3, 4, 8, 12)
                             if f"grace_of_{grace}_s" in self.id())
        soak.SLOTS = SLOTS
        deployment.set_timeouts(TIMEOUT_S)

    async def after_request(self, caller, session, kind, model):
        caller.deadline_ms = self.site.rng.choice(DEADLINES_MS)

    async def play(self):
        site = self.site
        for server in site.servers[-3:]:
            server.long_share = LONG_SHARE
        callers = self.start_callers(CALLS)
        for at in range(ROUNDS):
            host = site.hosts[at % len(site.hosts)]
            await asyncio.sleep(BEFORE_S)
            await host.stop()
            await host.start(first=False)
            while not await host.is_ready():
                await asyncio.sleep(0.05)
        await self.end_callers(callers)
        self.judge()

    async def test_what_ran_is_answered_within_a_grace_of_3_s(self):
        await self.play()

    async def test_what_ran_is_answered_within_a_grace_of_4_s(self):
        await self.play()

    async def test_what_ran_is_answered_within_a_grace_of_8_s(self):
        await self.play()

    async def test_what_ran_is_answered_within_a_grace_of_12_s(self):
        await self.play()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=3, engines=6, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
