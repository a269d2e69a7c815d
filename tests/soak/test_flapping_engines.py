# SPDX-License-Identifier: MIT
"""Real hosts before engines that go down and up by turns. No request ends an
engine, and the heads of the prompts are shared."""
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
from callers import Caller
from platform_standin import deployment

CALLERS = 40
CALM_S = 3.0
FLAPPING_S = 24.0
# How long an engine is down, and up, in turn.
FLAP_S = (0.4, 1.2)
# Every third engine flaps.
FLAPPING_EVERY = 3
HEADS = ["ead00001", "ead00002"]
# Without so many requests the day says little.
ASKED_LEAST = 500

ARGS = None


class FlappingEngines(unittest.IsolatedAsyncioTestCase):
    """Refusals are judged by the promises `held` and `innocent`."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(47, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.asked = 0
        self.stopping = False

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    async def ask(self, at):
        """A caller whose streams all have the same head."""
        rng = random.Random(1000 + at)
        host = self.site.hosts[at % len(self.site.hosts)]
        caller = Caller(self.site.ledger, rng, host, list(soak.MODELS), 0)
        caller.leaves_early = 0
        caller.shared_parts = [HEADS[at % len(HEADS)]]
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                kind = rng.choice([deployment.STREAM, deployment.RESUMABLE])
                model = f"m{min(int(rng.expovariate(0.7)), 4)}"
                await caller.send(session, kind, model)
                self.asked += 1
                await asyncio.sleep(rng.expovariate(10))

    async def flap(self, engine, proxy, until):
        rng = random.Random(engine.port)
        while time.monotonic() < until:
            self.site.ledger.spoil(engine.instance, time.monotonic() + 3600)
            await engine.crash()
            proxy.reset()
            await asyncio.sleep(rng.uniform(*FLAP_S))
            await engine.boot()
            await asyncio.sleep(rng.uniform(*FLAP_S))

    async def test_shared_heads_are_not_refused_beside_flapping_engines(self):
        load = self.site.ledger.load
        tasks = [asyncio.create_task(self.ask(at)) for at in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        until = time.monotonic() + FLAPPING_S
        load.flaps(until)
        self.asked = 0
        pairs = list(zip(self.site.engines, self.site.server_proxies))
        await asyncio.gather(*(self.flap(engine, proxy, until)
                               for engine, proxy in pairs[::FLAPPING_EVERY]))
        self.stopping = True
        await asyncio.gather(*tasks)
        print(f"{load.counts['held back']} of {self.asked} requests refused "
              "as quarantined", flush=True)
        self.assertGreaterEqual(self.asked, ASKED_LEAST)
        self.assertEqual([line for line in self.site.ledger.broken
                          if " held: " in line or " innocent: " in line], [])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=9)
    parser.set_defaults(callers=0, clock_shim=None, connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
