# SPDX-License-Identifier: MIT
"""A stand-in for the platform's metadata store. It has one port a machine, so
that a case can tell which machine calls, and cut single machines off."""
import asyncio
import base64
import itertools
import json
import time

from http11 import Server, response

CONFIGURATION_KEY = "op/config"


class Item:
    """One key and the revisions of its creation and last change."""

    def __init__(self, value, revision, made, lease):
        self.value, self.revision = value, revision
        self.made, self.lease = made, lease


class Store:
    def __init__(self, history_s=20):
        self.history_s = history_s
        self.items = {}
        # Number: [length in s, end].
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.revision = 100
        # (revision, key, item or None, time), the oldest first.
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        # Called with the machine and the method and path of each call.
        self.on_call = lambda machine, method, path: None
        self.ports = {}
        # Machines that are turned away, with the status of the answers.
        self.away = {}
        self.servers = []
        self.sweeper = None

    async def listen(self, machine, address):
        """Opens the port for calls of one machine."""
        async def handle(request):
            return await self._handle(machine, request)
        server = Server(handle)
        self.servers.append(server)
        self.ports[machine] = await server.listen(address)
        if self.sweeper is None:
            self.sweeper = asyncio.create_task(self._sweep())

    def end(self):
        if self.sweeper is not None:
            self.sweeper.cancel()
        for server in self.servers:
            server.end()

    def turn_away(self, machine, status):
        """Refuses the calls of one machine, also the watch that waits; 0:
        serves it again."""
        self.away[machine] = status
        self._wake()

    # What the operator and the servers write.

    def put(self, key, value, lease=0):
        """Writes a key; returns the revision, which acknowledges it."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._write(key, data, lease, self.revision)
        return self.revision

    def remove(self, key):
        self.revision += 1
        self._remove(key, self.revision)
        return self.revision

    # Serving.

    def _write(self, key, data, lease, revision):
        before = self.items.get(key)
        item = Item(data, revision, before.made if before else revision, lease)
        self.items[key] = item
        self._note(revision, key, item)

    def _remove(self, key, revision):
        if self.items.pop(key, None) is not None:
            self._note(revision, key, None)

    def _note(self, revision, key, item):
        self.history.append((revision, key, item, time.monotonic()))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number, (_, ends) in list(self.leases.items()):
                if now > ends:
                    self._end_lease(number)
            while self.history and now - self.history[0][3] > self.history_s:
                self.forgotten = self.history.pop(0)[0]

    def _end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return
        for key in [key for key, item in self.items.items()
                    if item.lease == number]:
            self.remove(key)

    @staticmethod
    def _render(key, item):
        return {"Key": key, "Value": base64.b64encode(item.value).decode(),
                "Revision": item.revision, "Made": item.made,
                "Lease": item.lease}

    async def _handle(self, machine, request):
        self.on_call(machine, request.method, request.path)
        # The usual time of an answer.
        await asyncio.sleep(0.004)
        if self.away.get(machine):
            return response(self.away[machine], body={})
        path = request.path
        if path == "/-/kv-key":
            return self._get(request.query["Key"])
        if path == "/-/kv-range":
            return self._range(request.query)
        if path == "/-/kv-watch":
            return await self._watch(machine, request.query)
        if path == "/-/kv-txn":
            return self._transact(request.json())
        if path == "/-/kv-lease":
            return self._grant(request.json())
        if path.startswith("/-/kv-keep/"):
            return self._keep(int(path.rpartition("/")[2]))
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return response(200, body={})
        return response(404, body={})

    def _get(self, key):
        item = self.items.get(key)
        if item is None:
            return response(404, body={"CurrentRev": self.revision})
        return response(200, body={**self._render(key, item),
                                   "CurrentRev": self.revision})

    def _range(self, query):
        prefix, after = query.get("PathPrefix", ""), query.get("after")
        found = [self._render(key, item)
                 for key, item in sorted(self.items.items())
                 if key.startswith(prefix) and (not after or key > after)]
        return response(200, body={"items": found[:500],
                                   "MorePages": len(found) > 500,
                                   "CurrentRev": self.revision})

    async def _watch(self, machine, query):
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if self.away.get(machine):
                return response(self.away[machine], body={})
            if after < self.forgotten:
                return response(410, body={})
            events = [self._render(key, item) if item else
                      {"Key": key, "Revision": revision, "Tombstone": True}
                      for revision, key, item, _ in self.history
                      if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return response(200, body={"events": events,
                                           "CurrentRev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get("Expected", []):
            item = self.items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                now = [self._render(each["Key"], self.items[each["Key"]])
                       for each in body["Expected"]
                       if each["Key"] in self.items]
                return response(412, body={"items": now})
        for row in body.get("Writes", []):
            if row["Key"].startswith(("op/", "servers/")):
                return response(403, body={})
            if row.get("Lease", 0) and row["Lease"] not in self.leases:
                return response(404, body={})
        self.revision += 1
        for row in body.get("Writes", []):
            self._write(row["Key"], base64.b64decode(row["Value"]),
                        row.get("Lease", 0), self.revision)
        for key in body.get("Remove", []):
            self._remove(key, self.revision)
        return response(200, body={"Revision": self.revision})

    def _grant(self, body):
        number, length = next(self.lease_ids), body["TtlMs"] / 1000
        self.leases[number] = [length, time.monotonic() + length]
        return response(200, body={"Lease": number, "TtlMs": body["TtlMs"]})

    def _keep(self, number):
        lease = self.leases.get(number)
        if lease is None:
            return response(404, body={})
        lease[1] = time.monotonic() + lease[0]
        return response(200, body={})
