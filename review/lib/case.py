# SPDX-License-Identifier: MIT
"""What all cases share: the record, the configuration, callers, exit codes."""
import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback
import uuid

from fleet import Fleet
from http11 import exchange, request
from store import CONFIGURATION_KEY, Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
AUTHORITY = "ficu95.example"


class CouldNotRun(Exception):
    """The case did not get as far as its question."""


class Case:
    def __init__(self, folder, zones):
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w",
                           buffering=1, encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store()
        self.fleet = Fleet(zones, self.store, pathlib.Path(self.temporary.name))
        self.servers = []
        # Request id: (time sent, host, kind).
        self.sent = {}
        # Request id: list of (time, server id), as the servers ran them.
        self.runs = {}
        # Request id: (time, status, why it ended otherwise).
        self.answers = {}
        self.stopping = False
        self.note("TROUBLE=" + ("1" if TROUBLE else "0"))

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.note(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    # Servers.

    def on_server(self, what, server, name):
        self.note(f"server {server.id} {what} {name}")
        if what == "runs":
            self.runs.setdefault(name, []).append((time.monotonic(),
                                                   server.id))

    # Callers.

    async def ask(self, host, method, target, fields=None, body=b"",
                  deadline_ms=1500, kind="unsafe"):
        """Sends one client attempt and waits for its end."""
        name = uuid.uuid4().hex[:16]
        self.sent[name] = (time.monotonic(), host, kind)
        self.note(f"client sends {name} {method} {target} to {host.name}")
        answer = await exchange(host.address, host.front, request(method, target, {
            "Host": AUTHORITY, "X-Request-Id": name,
            "X-Deadline-Ms": str(deadline_ms), **(fields or {})}, body),
            deadline_ms / 1000 + 1)
        self.answers[name] = (time.monotonic(), answer.status, answer.ended)
        stamp = answer.fields.get("x-server-stamp", "")
        self.note(f"client got {name} {answer.status or answer.ended} "
                  f"{'from ' + stamp if stamp else ''}")
        return name, answer

    # Times.

    async def until(self, what, check, limit_s):
        """Waits for a condition; the case could not run without it."""
        end = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > end:
                raise CouldNotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    async def until_ready(self, hosts, limit_s=15):
        """Waits until the hosts say that they are ready."""
        end = time.monotonic() + limit_s
        for host in hosts:
            while True:
                answer = await exchange(host.address, host.ready, request(
                    "GET", "/-/ready", {"Host": "x"}), 1)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CouldNotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.05)

    def end(self):
        self.stopping = True
        self.fleet.end()
        for server in self.servers:
            server.server.end()
        self.store.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.fleet.hosts:
                pathlib.Path(keep, host.log.name).write_bytes(
                    host.log.read_bytes())
        self.temporary.cleanup()
        self.record.close()


def configuration(version, routes, services, **more):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
            **more}


def route(name, service, kind="unsafe", timeout_ms=1500, slo_ms=150,
          attempts=1, **more):
    return {"Name": name, "Host": AUTHORITY, "PathPrefix": f"/{name}/",
            "Kind": kind, "Service": service, "TimeoutMs": timeout_ms,
            "SloMs": slo_ms, "MaxAttempts": attempts, "Priority": 1, **more}


def engine_service(name, models, slots=64, weights_mb=200000, loads_per_s=1.4,
                   adapters=0):
    """A service of model servers; `models`: name and size in MB."""
    return {"Name": name, "MaxConns": 370, "Engine": {
        "Slots": slots, "KvCapacity": 145945, "WeightsMb": weights_mb,
        "AdapterSlots": 8, "LoadsPerS": loads_per_s, "Models": [
            {"Name": each, "WeightsMb": size, "LoadS": 5, "DiskS": 2,
             "WarmS": 1, "Adapters": adapters, "AdapterMb": 100}
            for each, size in models.items()]}}


def stream_fields(model, events, prompt=400):
    """The fields of a request for a stream of so many events."""
    part = uuid.uuid4().hex[:8]
    return {"X-Model": model, "X-Token-Count": f"{prompt},{events}",
            "X-Prompt-Prefix": f"5c1e07a2:100,{part}:{prompt - 100}"}


def publish(case, configured):
    return case.store.put(CONFIGURATION_KEY, configured)


def run(folder, zones, play):
    """Plays a case; `play(case)` returns whether the rule was broken."""
    async def main():
        case = Case(folder, zones)
        try:
            async with asyncio.timeout(110):
                await case.fleet.prepare()
                return BROKEN if await play(case) else HELD
        except CouldNotRun as why:
            case.say(f"could not run: {why}")
            return COULD_NOT_RUN
        except Exception:
            case.say("could not run: " + traceback.format_exc())
            return COULD_NOT_RUN
        finally:
            case.end()
    sys.exit(asyncio.run(main()))
