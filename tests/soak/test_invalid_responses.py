# SPDX-License-Identifier: MIT
"""Real hosts before servers that run requests and answer some of them with a
response that is no valid HTTP."""
import argparse
import asyncio
import sys
import unittest

from site_test import SiteTest
from platform_standin import deployment

# Share of the requests that get such a response.
INVALID_SHARE = 0.1
LEAST_INVALID = 50
PLAY_S = 12.0
CALLS = [(deployment.ONCE, "")] * 3 + [
    (deployment.SAFE, ""), (deployment.STREAM, "m0"),
    (deployment.RESUMABLE, "m1")]

ARGS = None


class InvalidResponses(SiteTest):
    """Three hosts, six engines and three plain servers."""

    def arguments(self):
        return self.arguments_for_relays(ARGS)

    async def play(self, meanwhile):
        for server in self.site.servers:
            server.invalid_responses = INVALID_SHARE
        callers = self.start_callers(CALLS)
        await meanwhile
        await self.end_callers(callers)
        sent = sum(server.invalid_sent for server in self.site.servers)
        print(f"{sent} responses that are no valid HTTP", flush=True)
        self.judge()
        self.assertGreater(sent, LEAST_INVALID)

    async def test_they_are_not_believed(self):
        await self.play(asyncio.sleep(PLAY_S))

    async def test_they_are_not_believed_if_relayed(self):
        await self.play(self.cut_one_host(PLAY_S))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--connect-shim", required=True)
    parser.set_defaults(hosts=3, engines=6, callers=0, clock_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
