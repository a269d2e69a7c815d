# SPDX-License-Identifier: MIT
"""Real hosts before sound servers that are silent for about a second while the
configuration changes: what had been sent meanwhile runs afterwards."""
import argparse
import asyncio
import sys
import unittest

import soak
from platform_standin import deployment
from proxy import Mode
from site_test import SiteTest

# Time-out of the plain routes in every other configuration, shorter than the
# silence.
SHORTENED_S = 0.7
# For how long connections of callers may be idle in some of them.
IDLE_S = 3.0
# Configurations: how they differ from the usual one, the share of the servers
# that is silent 0.6 s later, and for how long.
ROUNDS = [("idle", 1.0, 1.2), ("timeout", 0.6, 1.1), ("route", 1.0, 1.3),
          ("idle", 0.6, 1.0)]
SILENT_AFTER_S, PAUSE_S = 0.6, 1.2
CALLS = [(deployment.ONCE, "")] * 4 + [
    (deployment.SAFE, ""), (deployment.RESUMABLE, "m0"),
    (deployment.STREAM, "m1")]

ARGS = None


class SilentServers(SiteTest):
    """Four hosts, six engines and three plain servers."""

    def arguments(self):
        args = argparse.Namespace(**vars(ARGS))
        if "connection" not in self.id():
            args.connect_shim = None
        return args

    async def configure(self, how):
        """Writes the next configuration."""
        site = self.site
        site.version += 1
        if how == "route":
            site.added.append(f"extra{site.version}")
        changed = deployment.configuration(
            site.version, site.models, soak.MEMORY_MB, site.slots,
            soak.ADAPTERS, soak.ADAPTER_SLOTS, site.added)
        if how == "idle":
            deployment.set_idle_time(changed, IDLE_S)
        if how == "timeout":
            deployment.shorten_timeouts(changed, SHORTENED_S,
                                        deployment.PLAIN_SERVICE)
        await site.store.put(deployment.CONFIGURATION_KEY, changed)

    async def play(self, silence):
        """`silence` makes the servers with these indices silent."""
        callers = self.start_callers(CALLS)
        await asyncio.sleep(1.0)
        servers = range(len(self.site.servers))
        for how, share, seconds in ROUNDS * ARGS.repeat:
            await self.configure(how)
            await asyncio.sleep(SILENT_AFTER_S)
            chosen = self.site.rng.sample(servers, int(share * len(servers)))
            await silence(chosen, seconds)
            await asyncio.sleep(PAUSE_S)
        await self.end_callers(callers)
        self.judge()

    async def hold_bytes(self, chosen, seconds):
        """The servers' machines accept connections, and pass nothing on."""
        for at in chosen:
            self.site.server_proxies[at].mode = Mode.SILENT
        await asyncio.sleep(seconds)
        for at in chosen:
            self.site.server_proxies[at].mode = Mode.PASS

    async def stall(self, chosen, seconds):
        """The servers read requests, and neither begin nor go on with any."""
        for at in chosen:
            self.site.servers[at].goes_on.clear()
        await asyncio.sleep(seconds)
        for at in chosen:
            self.site.servers[at].goes_on.set()

    async def open_none(self, chosen, seconds):
        """No connection opens, and open ones carry nothing."""
        links = [host.links[self.site.servers[at].shown_port]
                 for host in self.site.hosts for at in chosen]
        for link in links:
            link.cut("silent")
        await asyncio.sleep(seconds)
        await asyncio.gather(*(link.heal() for link in links))

    async def test_requests_that_run_after_a_silence_were_not_refused(self):
        await self.play(self.hold_bytes)

    async def test_requests_that_wait_in_a_stalled_server_run_once(self):
        await self.play(self.stall)

    async def test_servers_to_which_no_connection_opens_run_nothing_twice(self):
        await self.play(self.open_none)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--connect-shim", required=True)
    # How often the four configurations come.
    parser.add_argument("--repeat", type=int, default=1)
    parser.set_defaults(hosts=4, engines=6, callers=0, clock_shim=None)
    ARGS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
