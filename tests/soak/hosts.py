# SPDX-License-Identifier: MIT
"""Hosts: real programs as separate processes, started and signalled here."""
import asyncio
import os
import pathlib
import signal
import socket
import time

import aiohttp

from ledger import CUT_KNOWN_S
from platform_standin import deployment
from proxy import HostLink, Proxy

GRACE_S = 4.0
LEASE_MS = 1500
# A host counts as disturbed for so long after what was done to it.
AFTER_S = 3.0


# Below the ports that the kernel gives out by itself, so that nothing else
# takes one while a host is down.
PORTS = range(12000, 32000)
PORTS_OF_RUN = 200


def ports_of_run():
    """Ports of this run alone: runs that go on beside it have other ones."""
    runs = len(PORTS) // PORTS_OF_RUN
    first = PORTS.start + os.getpid() % runs * PORTS_OF_RUN
    for port in range(first, first + PORTS_OF_RUN):
        if is_free(port):
            yield port


def is_free(port: int) -> bool:
    """Whether nobody has the port, for TCP or UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Host:
    """One host, its settings, its proxies and its log."""

    def __init__(self, name, zone, program, folder: pathlib.Path, store,
                 ledger, ports, clock_shim=None):
        self.name, self.zone, self.program = name, zone, program
        self.folder, self.store, self.ledger = folder, store, ledger
        self.clock_shim = clock_shim
        self.clock_offset_s = 0
        # Library that redirects connections to `links`, and the links by the
        # ports that backend servers show; without it, hosts connect directly.
        self.connect_shim = None
        self.links = {}
        self.links_cut_at = None
        self.ports = {name: next(ports)
                      for name in ("callers", "ready", "peers")}
        self.proxy = Proxy(self.ports["callers"])
        self.store_proxy = Proxy(store.port)
        self.process = None
        self.seeds = []
        # Until when what callers see of it is no one's fault.
        self.disturbed_until = 0.0
        # When it was told to stop, if it was and has not ended.
        self.stopping_since = None
        self.started_at = 0.0
        self.expects_end = False
        self.frozen = False
        # It was killed and has not been started again: the kernel may take
        # seconds to end a process.
        self.killed = False
        # Whether its settings are those of high load.
        self.high_load = False
        # Added to its command.
        self.arguments = []

    async def prepare(self) -> None:
        await self.proxy.start()
        await self.store_proxy.start()

    async def add_links(self, connect_shim, server_ports) -> None:
        """Gives this host a path of its own to each backend server."""
        self.connect_shim = connect_shim
        for port in server_ports:
            self.links[port] = HostLink(port)
            await self.links[port].start()

    def cut_from_servers(self, how: str) -> None:
        self.links_cut_at = time.monotonic()
        for link in self.links.values():
            link.cut(how)

    async def heal_links(self) -> None:
        for link in self.links.values():
            await link.heal()

    def disturb(self, seconds: float) -> None:
        self.disturbed_until = max(self.disturbed_until,
                                   time.monotonic() + seconds + AFTER_S)

    def disturbed(self) -> bool:
        return time.monotonic() < self.disturbed_until

    def in_touch(self) -> bool:
        """Whether callers' first tries here are judged: it runs undisturbed,
        has not just started and does not stop."""
        return (not self.disturbed() and self.stopping_since is None
                and time.monotonic() - self.started_at >= AFTER_S)

    async def start(self, first: bool) -> None:
        path = self.folder / f"{self.name}.toml"
        path.write_text(deployment.settings(
            self.name, self.zone, self.ports, self.store_proxy.port,
            self.seeds, first, GRACE_S, LEASE_MS, self.high_load))
        environment = dict(os.environ)
        shims = [str(shim) for shim in (self.clock_shim, self.connect_shim)
                 if shim]
        if shims:
            environment["LD_PRELOAD"] = ":".join(shims)
            environment["SOAK_CLOCK_OFFSET_S"] = str(self.clock_offset_s)
            environment["SOAK_PORT_MAP"] = ",".join(
                f"{port}:{link.port}" for port, link in self.links.items())
            # The sanitizer wants to be loaded first, but does not need to.
            environment["ASAN_OPTIONS"] = "verify_asan_link_order=0"
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self.program), "--settings", str(path), *self.arguments,
                stdout=log, stderr=log, env=environment)
        self.expects_end, self.stopping_since = False, None
        self.started_at = time.monotonic()
        self.killed = False
        asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process) -> None:
        status = await process.wait()
        self.ledger.forgets(self.name)
        if not self.expects_end:
            self.ledger.break_promise(
                "own-end", f"{self.name} ended by itself, status {status}")
        elif self.stopping_since is not None and status != 0:
            self.ledger.break_promise(
                "own-end", f"{self.name} ended with status {status} as it "
                "was stopped")

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        self.disturb(0)
        self.expects_end = True
        self.frozen = False
        self.killed = True
        self.ledger.host_lost_at = time.monotonic()
        if self.alive():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def stop(self) -> None:
        """SIGTERM; what it has taken must be answered."""
        self.expects_end = True
        self.stopping_since = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        while not await self._ends_within(GRACE_S):
            # A stall of this program or machine took time from the host's.
            if self.ledger.stalled_at < time.monotonic() - GRACE_S - 1:
                self.ledger.break_promise("stop",
                                          f"{self.name} outlived its grace")
                await self.kill()

    async def _ends_within(self, seconds: float) -> bool:
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except asyncio.TimeoutError:
            return False
        return True

    def freeze(self, seconds: float) -> None:
        self.disturb(seconds)
        self.frozen = True
        self.ledger.host_lost_at = time.monotonic()
        self.ledger.excuses(self.name)
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.disturb(0)
        if self.frozen:
            self.ledger.excuses(self.name)
        if self.frozen and self.alive():
            self.process.send_signal(signal.SIGCONT)
        self.frozen = False

    async def reload(self) -> None:
        """SIGHUP, as soon as the program has begun: before its first line runs
        the signal's default would end the process, whatever the program does."""
        while self.alive() and not self._takes_reload_signal():
            await asyncio.sleep(0.002)
        if self.alive():
            self.process.send_signal(signal.SIGHUP)

    def _takes_reload_signal(self) -> bool:
        """Whether the process holds SIGHUP back or handles it."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            masks = [int(line.split()[1], 16)
                     for line in status.read_text().splitlines()
                     if line.startswith(("SigBlk:", "SigCgt:"))]
        except OSError:
            return False
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def note_cut(self, name: str, kind: str, reason: str) -> None:
        """A caller's connection ended without a whole answer. That is this
        host's fault if nothing disturbed it and a request had been read: one
        that no server was sent may have crossed the close."""
        ran = self.ledger.run.get(name)
        sound = (ran and not self.ledger.spoiled_at(ran[-1].instance)
                 and not self._lost_with_links(name, kind)
                 and not self._failed_by_servers(name)
                 and not self._lost_with_relay(name, kind))
        if sound and not self.disturbed() and not self.killed:
            self.ledger.break_promise(
                "cut", f"{name} ({kind}) ran and was cut by {self.name}: "
                f"{reason}")

    def _failed_by_servers(self, name: str) -> bool:
        """Whether as many servers have run a request as may, and one of them
        failed it itself: a stream that has begun can only be broken off."""
        return (len(self.ledger.run[name]) >= self.ledger.sent[name].most_runs
                and bool(self.ledger.failures.get(name)))

    def _lost_with_relay(self, name: str, kind: str) -> bool:
        """Whether a request that cannot be sent again was under way while this
        host was cut from all servers, and a host that may have relayed it was
        killed or frozen."""
        sent = self.ledger.sent[name]
        return (not sent.may_repeat
                and sent.at < self.ledger.host_lost_at
                and sent.at < self.ledger.relays_until.get(self.name, 0))

    def _lost_with_links(self, name: str, kind: str) -> bool:
        """Whether a request that cannot be sent again was under way when the
        links to the servers were cut, or before the host had to know it."""
        if self.links_cut_at is None or kind in (deployment.RESUMABLE,
                                                 deployment.SAFE):
            return False
        return self.ledger.sent[name].at < self.links_cut_at + CUT_KNOWN_S

    def memory_kb(self) -> int:
        """Memory that its process holds; 0 if it does not run."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            return next(int(line.split()[1])
                        for line in status.read_text().splitlines()
                        if line.startswith("VmRSS:"))
        except (OSError, StopIteration):
            return 0

    async def is_ready(self) -> bool:
        url = f"http://127.0.0.1:{self.ports['ready']}{deployment.READY_PATH}"
        try:
            timeout = aiohttp.ClientTimeout(total=0.5)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url) as answer:
                    return answer.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False
