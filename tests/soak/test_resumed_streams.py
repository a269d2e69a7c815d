# SPDX-License-Identifier: MIT
"""Real hosts before engines whose slots are nearly all in use: two engines of
one software version crash, and callers take their streams up again."""
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
from platform_standin.backends import EVENT_S

# All engines hold this model.
MODEL = "m0"
# Streams last about 4 s, with an event every 80 ms, and 156 of the 160 slots are
# in use before the crash.
TOKENS, SLOWDOWN, DEADLINE_MS = 50, 8.0, 8000
SLOTS, UNDER_WAY = 20, 156
SETTLE_S, COUNTED_S = 6.0, 5.0
CRASHING = (0, 2)

ARGS = None


class ResumedStreams(unittest.IsolatedAsyncioTestCase):
    """Four hosts; eight engines, every other one of another version."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        args = argparse.Namespace(**vars(ARGS))
        soak.MODELS, soak.SLOTS = {MODEL: 300}, SLOTS
        self.site = soak.Site(31, args, pathlib.Path(self.folder.name))
        self.site.software = ["v1", "v1.1"]
        self.stopping, self.streams = False, []

    async def asyncTearDown(self):
        await self.site.end()

    async def send(self, host):
        """A caller that has one stream."""
        caller = Caller(self.site.ledger, self.site.rng, host, [], 0)
        caller.leaves_early, caller.tokens = 0, TOKENS
        caller.deadline_ms, caller.others = DEADLINE_MS, self.site.hosts
        async with aiohttp.ClientSession() as session:
            await caller.send(session, deployment.RESUMABLE, MODEL)

    async def press(self, host):
        """Callers come at a constant rate, whatever becomes of the others."""
        while not self.stopping:
            self.streams.append(asyncio.create_task(self.send(host)))
            await asyncio.sleep(TOKENS * EVENT_S * SLOWDOWN
                                * len(self.site.hosts) / UNDER_WAY)

    async def play(self, features):
        site = self.site
        site.host_arguments = ["--load-features", features] if features else []
        await site.build()
        for engine in site.engines:
            engine.slowdown = SLOWDOWN
        await site.until_all_serve(soak.RECOVER_S, "at the start")
        callers = [asyncio.create_task(self.press(host))
                   for host in site.hosts]
        await asyncio.sleep(SETTLE_S)
        ledger = site.ledger
        ledger.new_streams, ledger.taken_up = [0, 0], [0, 0]
        for at in CRASHING:
            engine = site.engines[at]
            ledger.spoil(engine.instance,
                         asyncio.get_running_loop().time() + 3600)
            await engine.crash()
            # Nobody listens there any more.
            await site.server_proxies[at].stop()
        await asyncio.sleep(COUNTED_S)
        self.stopping = True
        await asyncio.gather(*callers)
        await asyncio.gather(*self.streams)
        print(f"{self.id().rpartition('.')[2]}: taken up and gone on "
              f"{ledger.taken_up}, new and begun {ledger.new_streams}",
              flush=True)
        # Hosts take up some of the 39 streams that break themselves.
        taken_up, went_on = ledger.taken_up
        new, began = ledger.new_streams
        self.assertGreaterEqual(taken_up, 6)
        self.assertGreaterEqual(2 * went_on * new, began * taken_up)
        ledger.check_streams()
        self.assertEqual([line for line in ledger.broken
                          if " cut: " not in line], [])

    async def test_streams_of_crashed_engines_go_on_at_full_engines(self):
        await self.play("")

    async def test_they_go_on_where_engines_have_queues(self):
        await self.play("engine-queues=on")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=4, engines=8, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
