# SPDX-License-Identifier: MIT
"""Callers that compete for few engines, and faults while they wait."""
import asyncio
import json
import random
import time

import aiohttp

from callers import Caller, Stream
from platform_standin import backends, deployment
from proxy import Mode

URGENT_CALLERS, PATIENT_CALLERS = 8, 32
STREAM_EVENTS = 40
PATIENT_DEADLINE_MS, URGENT_DEADLINE_MS = 8000, 4000
# Hosts count deadlines in whole milliseconds.
DEADLINE_ROUNDING_S = 0.005
# A caller that was refused comes back after this time.
RETURN_S = 0.3
# Event of a host's log: requests wait for engines, and it owns their queue.
QUEUE_BEGAN = 3051
SLOWDOWN = [2, 4, 8]
FLAP_S = (0.5, 3.0)
# Streams of which a caller reads nothing, or this much at a time.
UNREAD_STREAMS, SLOW_STREAMS, SLOW_BYTES, SLOW_S = 8, 4, 2000, 0.05
LONG_STREAM_EVENTS = 400


class LoadCaller(Caller):
    """A caller of one urgent or patient route, for one workspace."""

    def __init__(self, *args, kind: str, workspace: str):
        super().__init__(*args, 0)
        self.kind, self.workspace = kind, workspace
        self.tokens = STREAM_EVENTS
        self.deadline_ms = (PATIENT_DEADLINE_MS if kind == deployment.PATIENT
                            else URGENT_DEADLINE_MS)

    async def ask(self, session) -> bool:
        model = self.rng.choice(self.models)
        begun, calm = time.monotonic(), self.host.in_touch()
        self.left = False
        served = await self._send(self.kind, model, "", session, Stream())
        calm = calm and self.host.in_touch() and not self.left
        if calm and self.kind == deployment.PATIENT:
            self.ledger.load.patients.append((begun, served))
        if not served:
            await asyncio.sleep(RETURN_S)
        return served

    def _note_sent(self, name, kind, model) -> None:
        self.ledger.load.sends(name, (kind, self.workspace, model),
                               deployment.OBJECTIVES_S[kind], time.monotonic())

    def _may_be_late(self, name) -> bool:
        """Patient requests may begin shortly before their deadline."""
        took = time.monotonic() - self.ledger.sent[name].at
        return took >= self.deadline_ms / 1000 - DEADLINE_ROUNDING_S


class SlowReader(Caller):
    """A caller that reads little of a long stream until a time, or nothing."""

    def __init__(self, *args):
        super().__init__(*args)
        self.until, self.reads = 0.0, False
        self.leaves_early, self.tokens = 0, LONG_STREAM_EVENTS
        self.deadline_ms = PATIENT_DEADLINE_MS
        self.body_start = backends.LONG_EVENTS.decode()

    def _check_time(self, name, kind, begun) -> None:
        """It is late itself."""

    async def _take_stream(self, name, kind, answer, stream) -> None:
        self.ledger.load.unread_streams += 1
        self.ledger.count(kind, "not read")
        try:
            while time.monotonic() < self.until:
                await asyncio.sleep(SLOW_S)
                if self.reads and not await answer.content.read(SLOW_BYTES):
                    return
        except aiohttp.ClientError:
            # A host may end what is not read.
            pass


def make_callers(site, rng: random.Random, patient_models) -> list[LoadCaller]:
    """Urgent callers of two models; patient ones of these too, and of models
    that take turns on the engines."""
    workspaces, callers = list(deployment.WORKSPACES), []
    for at in range(URGENT_CALLERS + PATIENT_CALLERS):
        urgent = at < URGENT_CALLERS
        models = ["m0", "m1"]
        if not urgent and at % 4 == 0:
            models = patient_models
        caller = LoadCaller(
            site.ledger, random.Random(rng.random()),
            site.hosts[at % len(site.hosts)], models,
            kind=deployment.URGENT if urgent else deployment.PATIENT,
            workspace=workspaces[at // 4 % len(workspaces)])
        caller.shared_parts = [f"d0c{at % 3:05x}"]
        callers.append(caller)
    return callers


def owns_queue_since(host) -> str:
    """When the host last began to own a queue with waiting requests, as its
    log has it; empty if it never did."""
    since = ""
    for line in (host.folder / f"{host.name}.log").read_bytes().splitlines():
        if b'"event":%d,' % QUEUE_BEGAN in line:
            since = json.loads(line)["time"]
    return since


class LoadFaults:
    """Faults of an injector while callers compete for engines."""

    def _queue_owner(self, fault):
        """The host that last said that it owns the queue of the engines."""
        owner = max(self.site.hosts, key=owns_queue_since)
        if not owns_queue_since(owner):
            return None
        self.site.ledger.load.counts[fault.kind] += 1
        return owner if owner.alive() and owner not in self.busy else None

    async def _queue_owner_kill(self, fault):
        owner = self._queue_owner(fault)
        if owner is not None:
            await self._kill([owner], fault.for_s)

    async def _queue_owner_freeze(self, fault):
        owner = self._queue_owner(fault)
        if owner is not None:
            await self._freeze(owner, fault.for_s)

    async def _queue_owner_cut(self, fault):
        """The owner loses its paths to all servers and to the store."""
        owner, ledger = self._queue_owner(fault), self.site.ledger
        if owner is None or ledger.cut is not None:
            return
        self.site.blind_for(fault.for_s)
        ledger.cut_off([owner.name])
        owner.cut_from_servers("silent")
        owner.store_proxy.mode = Mode.SILENT
        await asyncio.sleep(fault.for_s)
        owner.store_proxy.mode = Mode.PASS
        ledger.heal()
        await owner.heal_links()

    async def _lease_holder_kill(self, fault):
        ledger = self.site.ledger
        name = ledger.holders[max(ledger.holders)] if ledger.holders else ""
        holder = next((host for host in self.site.hosts if host.name == name),
                      None)
        if holder is None or not holder.alive() or holder in self.busy:
            return
        ledger.load.holders_lost.append(time.monotonic())
        await self._kill([holder], fault.for_s)

    async def _engines_slow(self, fault):
        """Every second or third engine is slow."""
        slow = self.site.engines[fault.target % 2::2 + fault.target % 2]
        for engine in slow:
            engine.slowdown = SLOWDOWN[fault.target % len(SLOWDOWN)]
        await asyncio.sleep(fault.for_s)
        for engine in slow:
            engine.slowdown = 1.0

    async def _engines_flap(self, fault):
        """One or two engines end and come back, again and again."""
        first = fault.target % len(self.site.engines)
        self.site.ledger.load.flaps(time.monotonic() + fault.for_s + FLAP_S[1])
        await asyncio.gather(*(
            self._flap((first + at) % len(self.site.engines), fault)
            for at in range(1 + fault.target % 2)))

    async def _flap(self, at, fault):
        server, proxy = self.site.servers[at], self.site.server_proxies[at]
        rng = random.Random(fault.target + at)
        until = time.monotonic() + fault.for_s
        while time.monotonic() < until:
            # Another fault may have ended it, and brings it back.
            if server.up and not server.leaving:
                gone = server.instance
                self.site.ledger.spoil(gone, time.monotonic() + 3600)
                await server.crash()
                proxy.reset()
                await asyncio.sleep(rng.uniform(*FLAP_S))
                if server.instance == gone:
                    await server.boot()
            await asyncio.sleep(rng.uniform(*FLAP_S))

    async def _callers_unread(self, fault):
        """Callers of one host read their long streams slowly, or not at
        all."""
        host = self._host(fault)
        if host is None:
            return
        until, process = time.monotonic() + fault.for_s, host.process
        before = most = host.memory_kb()
        readers = [asyncio.ensure_future(self._read_slowly(
            host, at >= UNREAD_STREAMS, f"m{at % 5}", until))
            for at in range(UNREAD_STREAMS + SLOW_STREAMS)]
        while time.monotonic() < until and host.process is process:
            most = max(most, host.memory_kb())
            await asyncio.sleep(0.1)
        self.site.ledger.load.grows(host.name, before, most)
        await asyncio.gather(*readers)

    async def _read_slowly(self, host, reads, model, until):
        reader = SlowReader(self.site.ledger, random.Random(), host, [], 0)
        reader.until, reader.reads = until, reads
        while time.monotonic() < until:
            async with aiohttp.ClientSession() as session:
                await reader._send(deployment.STREAM, model, "", session,
                                   Stream())
            await asyncio.sleep(RETURN_S)
