# SPDX-License-Identifier: MIT
"""Real hosts before engines that end under one part of a prompt. Requests with
that part come at any host, no two alike; sound ones share their other parts."""
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

SOUND_CALLERS = 24
# Between two requests with the part at one host.
PAUSE_S = 1.0
# Sound requests alone, before the first one with the part.
CALM_S = 4.0
# With the part; servers have ended five times after two or three seconds.
PRESSED_S = 14.0
DOCUMENTS = ["91bd3f06", "77aa0c19", "3f6be210"]
PART, SECOND_PART = "dead0001", "dead0002"
RESTART_S = 0.3
KILL_PAUSE_S = 2.5
STORE_AWAY_S = 4.0

ARGS = None


class EndingPartsTest(unittest.IsolatedAsyncioTestCase):
    """Four hosts, nine engines."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.site = soak.Site(31, ARGS, pathlib.Path(self.folder.name))
        await self.site.build()
        await self.site.until_all_serve(soak.RECOVER_S, "at the start")
        self.site.ledger.sound_tries.clear()
        self.stopping = False
        self.tasks = [asyncio.create_task(self.ask(at))
                      for at in range(SOUND_CALLERS)]
        await asyncio.sleep(CALM_S)

    async def asyncTearDown(self):
        await self.site.end()
        self.folder.cleanup()

    async def ask(self, at):
        """One caller of sound streams, at one host, over kept connections."""
        rng = self.site.rng
        host = self.site.hosts[at % len(self.site.hosts)]
        caller = Caller(self.site.ledger, rng, host, list(soak.MODELS), 0)
        caller.leaves_early = 0
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                caller.shared_parts = [rng.choice(DOCUMENTS)]
                kind = rng.choice([deployment.STREAM, deployment.RESUMABLE])
                model = f"m{min(int(rng.expovariate(0.7)), 4)}"
                await caller.send(session, kind, model)
                await asyncio.sleep(rng.expovariate(4))

    async def press(self, host, part, always=()):
        """Requests with the part at one host: another model, route, body and
        place of the part each time."""
        rng = self.site.rng
        caller = Caller(self.site.ledger, rng, host, list(soak.MODELS), 0)
        caller.leaves_early = 0
        until = asyncio.get_running_loop().time() + PRESSED_S
        while asyncio.get_running_loop().time() < until:
            parts = [part, *always, rng.choice(DOCUMENTS)]
            rng.shuffle(parts)
            caller.shared_parts = parts
            kind = rng.choice([deployment.STREAM, deployment.RESUMABLE])
            async with aiohttp.ClientSession() as session:
                await caller.send(session, kind, f"m{rng.randrange(5)}")
            await asyncio.sleep(PAUSE_S * rng.uniform(0.5, 1.5))

    async def press_all(self, part=PART, hosts=None, always=()):
        await asyncio.gather(*(self.press(host, part, always)
                               for host in hosts or self.site.hosts))

    async def judge(self, parts=(PART,)):
        self.stopping = True
        await asyncio.gather(*self.tasks)
        ledger = self.site.ledger
        began_before, before, began_after, after = ledger.check_sound()
        for part in parts:
            print(f"{self.id().rpartition('.')[2]}: {part}: "
                  f"{ledger.part_arrivals[part]} arrivals, "
                  f"{len(ledger.part_ends[part])} ends, "
                  f"{ledger.late_part_arrivals[part]} late; sound begun "
                  f"{began_before} of {before} before, {began_after} of "
                  f"{after} after", flush=True)
            self.assertGreaterEqual(len(ledger.part_ends[part]), 3)
        self.assertGreaterEqual(min(before, after), 20)
        kinds = (" part: ", " sound: ", " innocent: ", " twice: ",
                 " not-run: ", " mixed: ", " order: ", " whole: ")
        broken = [line for line in ledger.broken
                  if any(kind in line for kind in kinds)]
        self.assertEqual(broken, [])


class EndingParts(EndingPartsTest):
    """Parts under which engines end while hosts reach the store."""

    async def test_engines_do_not_end_one_after_the_other(self):
        await self.press_all()
        await self.judge()

    async def test_engines_that_send_no_byte_of_an_answer(self):
        for engine in self.site.engines:
            engine.heads_before_end = False
        await self.press_all()
        await self.judge()

    async def test_two_hosts_get_all_requests_with_the_part(self):
        await self.press_all(hosts=self.site.hosts[:2])
        await self.judge()

    async def test_hosts_are_killed_in_turn(self):
        async def kill_in_turn():
            for host in self.site.hosts:
                await asyncio.sleep(KILL_PAUSE_S)
                await host.kill()
                await asyncio.sleep(RESTART_S)
                await host.start(first=False)
                host.disturb(0)
        await asyncio.gather(self.press_all(), kill_in_turn())
        await self.judge()

    async def test_a_sound_part_always_comes_with_the_other_one(self):
        await self.press_all(always=["c0ffee01"])
        await self.judge()

    async def test_a_document_of_sound_requests_always_comes_with_it(self):
        await self.press_all(always=[DOCUMENTS[0]])
        await self.judge()

    async def test_a_second_part_ends_engines_later(self):
        await self.press_all()
        await self.press_all(SECOND_PART)
        await self.judge((PART, SECOND_PART))

    async def test_answers_without_a_length(self):
        for engine in self.site.engines:
            engine.unframed = True
        await self.press_all()
        await self.judge()


class StoreAway(EndingPartsTest):
    """The same while hosts do not reach the store."""

    async def test_the_store_is_away_from_the_first_end_on(self):
        async def take_store_away():
            while not self.site.ledger.part_ends[PART]:
                await asyncio.sleep(0.02)
            for host in self.site.hosts:
                await host.store_proxy.stop()
            await asyncio.sleep(STORE_AWAY_S)
            for host in self.site.hosts:
                await host.store_proxy.start()
        await asyncio.gather(self.press_all(), take_store_away())
        await self.judge()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.set_defaults(hosts=4, engines=9, callers=0, clock_shim=None,
                        connect_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
