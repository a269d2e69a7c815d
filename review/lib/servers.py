# SPDX-License-Identifier: MIT
"""Stand-ins for backend servers of a plain service."""
import asyncio
import time
import uuid

from http11 import Server, response


class PlainServer:
    """Runs any request for `work_s` and answers with a body made from its id.
    `on_event(what, server, request_id)` hears what happens: arrives, rejected,
    runs, answered, ended."""

    def __init__(self, store, service, zone, on_event, slots=6, work_s=0.03,
                 queue=4):
        self.store, self.service, self.zone = store, service, zone
        self.on_event, self.slots, self.work_s = on_event, slots, work_s
        # Requests that may wait for a slot, and those that do.
        self.queue, self.waiting = queue, []
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.born = int(time.time() * 1000)
        self.state, self.beats, self.running = "ready", 0, 0
        self.server = Server(self._handle)
        self.address, self.port = "127.0.0.1", 0

    async def start(self):
        self.port = await self.server.listen(self.address)
        self.enter()

    def entry(self):
        self.beats += 1
        return {"Service": self.service, "Zone": self.zone, "Version": "v1",
                "Address": f"{self.address}:{self.port}", "Slots": self.slots,
                "State": self.state, "ColdLeftMs": 0, "Seq": self.beats,
                "born": self.born}

    def enter(self):
        return self.store.put("servers/" + self.id, self.entry())

    def end(self):
        """Exits; what it runs ends without a response."""
        self.on_event("exits", self, "")
        self.server.end()

    async def crash(self, heartbeat_s=1.2):
        """Ends without a word; its entry goes after three heartbeats."""
        self.state = "gone"
        self.end()
        await asyncio.sleep(3 * heartbeat_s)
        self.store.remove("servers/" + self.id)

    async def _take_slot(self):
        """Waits for a slot; false if too many wait already."""
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return False
            turn = asyncio.Event()
            self.waiting.append(turn)
            try:
                await turn.wait()
            except asyncio.CancelledError:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                else:
                    self._free_slot()
                raise
            return True
        self.running += 1
        return True

    def _free_slot(self):
        """The next in the queue takes the slot."""
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.running -= 1

    def _refuse(self, request, status):
        return response(status, {
            "X-Not-Run": "1", "X-Request-Id": request.field("x-request-id"),
            "X-Instance-Id": self.id})

    async def _handle(self, request):
        name = request.field("x-request-id")
        if request.path == "/health":
            return response(200, {"X-Instance-Id": self.id})
        if not name:
            return self._refuse(request, 400)
        if request.field("x-expect-instance", self.id) != self.id:
            self.on_event("misdirected", self, name)
            return self._refuse(request, 421)
        self.on_event("arrives", self, name)
        if not await self._take_slot():
            self.on_event("rejected", self, name)
            return self._refuse(request, 503)
        self.on_event("runs", self, name)
        try:
            await asyncio.sleep(self.work_s)
            self.on_event("answered", self, name)
            return response(200, {
                "X-Request-Id": name, "X-Instance-Id": self.id,
                "X-Server-Stamp": f"{self.id}.1.2.3"},
                f"answer to {name}".encode())
        finally:
            self._free_slot()


class Engine(PlainServer):
    """A model server. A stream has as many events as the request asks tokens
    for, one every `event_s`. It carries out one order at a time."""

    def __init__(self, *args, models=(), sizes=None, weights_mb=200000,
                 load_s=1.0, event_s=0.05, version="v1", **more):
        super().__init__(*args, **more)
        self.version = version
        self.held = {name: set() for name in models}
        self.sizes, self.weights_mb = sizes or {}, weights_mb
        self.load_s, self.event_s = load_s, event_s
        self.accepted, self.fence, self.busy = 0, 0, False

    def _models(self):
        return [{"Name": name, "Version": 1, "Adapters": sorted(adapters)}
                for name, adapters in sorted(self.held.items())]

    def entry(self):
        return {**super().entry(), "Version": self.version, "Stage": "both",
                "Models": self._models(),
                "AtHand": {"InMemory": [], "OnDisk": []}}

    async def _handle(self, request):
        if request.path == "/-/report":
            return self._report(request)
        if request.path == "/-/order":
            return self._order(request)
        name = request.field("x-request-id")
        if request.field("x-expect-instance", self.id) != self.id:
            self.on_event("misdirected", self, name)
            return self._refuse(request, 421)
        self.on_event("arrives", self, name)
        model, _, adapter = request.field("x-model").partition("/")
        if model not in self.held or (adapter and
                                      adapter not in self.held[model]):
            self.on_event("misdirected", self, name)
            return self._refuse(request, 421)
        if not await self._take_slot():
            self.on_event("rejected", self, name)
            return self._refuse(request, 503)
        return await self._stream(request, name)

    async def _stream(self, request, name):
        self.on_event("runs", self, name)
        events = int(request.field("x-token-count", "1,1").split(",")[1])
        begun = int(request.field("last-event-id", "0") or 0)
        writer = request.writer
        try:
            await asyncio.sleep(0.03)
            writer.write((
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-Id: {name}\r\nX-Instance-Id: {self.id}\r\n"
                f"X-Server-Stamp: {self.id}.1.2.3\r\nX-Weight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(begun + 1, events + 1):
                event = f"id: {number}\ndata: {self.version} {name}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if number < events:
                    await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            self.on_event("answered", self, name)
            return None
        finally:
            self._free_slot()

    def _report(self, request):
        if request.field("x-expect-instance", self.id) != self.id:
            return self._refuse(request, 421)
        return response(200, {"X-Instance-Id": self.id}, {
            "Stage": "both", "Models": self._models(), "Busy": self.busy,
            "Seq": self.accepted, "Queued": len(self.waiting), "Active": self.running,
            "KvUsed": 0, "KvTotal": 145945, "Handles": 0, "Coming": [],
            "AtHand": {"InMemory": [], "OnDisk": []}, "born": self.born})

    def _order(self, request):
        order = request.json()
        if request.field("x-expect-instance", self.id) != self.id:
            return self._refuse(request, 421)
        if "Holder" not in order or "Fence" not in order:
            return response(400)
        self.on_event(f"order {order}", self, "")
        if order["Fence"] < self.fence:
            return response(412)
        self.fence = order["Fence"]
        if self.busy or order.get("Expected", self.accepted) != self.accepted:
            return response(409)
        model, adapter = order.get("Model"), order.get("Adapter")
        if adapter:
            if model not in self.held:
                return response(409)
            there = adapter in self.held[model]
            if there == (order["Op"] == "load"):
                return response(200)
            self.accepted += 1
            if order["Op"] == "load":
                self.held[model].add(adapter)
                return response(202)
            self.held[model].discard(adapter)
            return response(200)
        if (model in self.held) == (order["Op"] == "load"):
            return response(200)
        self.accepted += 1
        self.busy = True
        asyncio.ensure_future(self._carry_out(order["Op"], model))
        return response(202)

    async def _carry_out(self, verb, model):
        await asyncio.sleep(self.load_s if verb == "load" else 0.05)
        if verb == "load":
            self.held[model] = set()
        else:
            self.held.pop(model, None)
        self.busy = False
        if self.state != "gone":
            self.enter()
