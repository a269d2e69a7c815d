# SPDX-License-Identifier: MIT
"""What is promised while callers compete for engines, see the ledger."""
import collections
import contextlib
import time
from dataclasses import dataclass

# A later request that has waited for so long runs at most so long before an
# earlier one of its route, workspace and model that could still be in time.
WAITED_S, ORDER_S = 0.2, 0.5
# Those sent within so short a time of each other may change places on their
# way to the queue.
TIE_S = 0.05
# Requests have to be judged over so long after a fault, as hosts are.
TROUBLE_AFTER_S = 3.0
# Faults that leave the order of waiting requests as it is.
ORDERLY = {"engines_slow", "callers_unread"}
# No sound request is held back for longer than this. A quarantine that a crash
# of flapping engines has caused is judged by this until so long after them.
HELD_MOST_S, FLAP_AFTER_S = 3.0, 4.0
# Patient requests that were sent in these times before and after the loss of
# the lease holder: at least this share as many of them are served.
HOLDER_BEFORE_S, HOLDER_AFTER_S = 3.0, 6.0
PATIENT_SHARE, PATIENT_LEAST = 0.5, 10
# Faults that take neither engines nor the paths to them: the share is judged
# beside these alone. Beside others at least one request is served.
KEEPS_ENGINES = ("host_", "queue_owner_kill", "queue_owner_freeze",
                 "lease_holder_kill", "callers_", "configuration")
# The growth of a host's memory while callers do not read.
GROWTH_MOST_MB = 100


@dataclass
class Waiting:
    """A request that may wait for an engine, and when one began to run it."""
    name: str
    # Route, workspace and model: requests of one queue are served in order.
    queue: tuple
    objective_s: float
    sent: float
    began: float = 0.0
    # Engines that it reached; one that has refused it does not get it again.
    reached: int = 0


class LoadLedger:
    """The part of the ledger for high load."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.waiting: dict[str, Waiting] = {}
        # When something may disturb the order, and what; the end is infinite
        # while the fault goes on.
        self.troubles: list[list] = []
        self.orders_judged = 0
        # Until when crashes of flapping engines excuse a quarantine that ends
        # in time; since when requests with these parts are held back.
        self.flaps_until = 0.0
        self.held_since: dict[tuple, float] = {}
        # Patient requests at hosts in touch: when sent, whether served.
        self.patients: list[tuple[float, bool]] = []
        self.holders_lost: list[float] = []
        self.unread_streams = 0
        self.counts = collections.Counter()

    @contextlib.contextmanager
    def trouble(self, kind):
        """While a fault goes on, and a while longer."""
        if kind in ORDERLY:
            yield
            return
        span = [time.monotonic(), float("inf"), kind]
        self.troubles.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic() + TROUBLE_AFTER_S

    def sends(self, name, queue, objective_s, at) -> None:
        self.waiting[name] = Waiting(name, queue, objective_s, at)

    def arrives(self, name) -> None:
        """A request reaches an engine, which may refuse it."""
        if name in self.waiting:
            self.waiting[name].reached += 1

    def began(self, name, at) -> None:
        waiting = self.waiting.get(name)
        if waiting is not None and not waiting.began:
            waiting.began = at

    def _is_troubled(self, begin, end) -> bool:
        spans = [each[:2] for each in self.troubles] + self.ledger.blind
        return any(begin < until and end > since for since, until in spans)

    def _keeps_engines(self, begin, end) -> bool:
        return all(kind.startswith(KEEPS_ENGINES)
                   for since, until, kind in self.troubles
                   if begin < until and end > since)

    def check_order(self) -> None:
        queues = collections.defaultdict(list)
        for each in self.waiting.values():
            if each.began:
                queues[each.queue].append(each)
        for queue in queues.values():
            queue.sort(key=lambda each: each.sent)
            for at, earlier in enumerate(queue):
                self._check_overtaken(earlier, queue[at + 1:])

    def _check_overtaken(self, earlier, later_ones) -> None:
        if earlier.reached > 1:
            return
        if self._is_troubled(earlier.sent, earlier.began):
            return
        for later in later_ones:
            if later.sent >= earlier.began:
                return
            # One that would be late at an engine may be passed over there.
            late = later.began > earlier.sent + earlier.objective_s / 2
            if late or later.sent - earlier.sent < TIE_S:
                continue
            if later.began - later.sent < WAITED_S:
                self.counts["passed by new ones"] += (
                    earlier.began - later.began > ORDER_S)
                continue
            self.orders_judged += 1
            if earlier.began - later.began > ORDER_S:
                self.ledger.break_promise(
                    "overtaken", f"{later.name} waited "
                    f"{later.began - later.sent:.2f} s and ran "
                    f"{earlier.began - later.began:.2f} s before "
                    f"{earlier.name}, sent {later.sent - earlier.sent:.2f} s "
                    f"before it ({earlier.queue})")
                return

    def flaps(self, until) -> None:
        """Engines go down and up until then."""
        self.flaps_until = max(self.flaps_until, until + FLAP_AFTER_S)

    def held_back(self, name, kind, parts, calm, now) -> None:
        """A sound request is refused as quarantined."""
        if now > self.flaps_until:
            self.ledger.break_promise("innocent", f"{name} ({kind}) is held "
                                      "back")
            return
        self.counts["held back"] += 1
        since = self.held_since.setdefault(parts, now)
        if calm and now - since > HELD_MOST_S and (
                self.ledger.stalled_at < since):
            self.ledger.break_promise(
                "held", f"{name} ({kind}) with {parts} is held back, as such "
                f"requests have been for {now - since:.1f} s")
            del self.held_since[parts]

    def served(self, parts) -> None:
        """A sound request with these parts was served whole."""
        self.held_since.pop(parts, None)

    def check_patients(self) -> None:
        for lost in self.holders_lost:
            before = [served for sent, served in self.patients
                      if lost - HOLDER_BEFORE_S < sent < lost - 1]
            after = [served for sent, served in self.patients
                     if lost < sent < lost + HOLDER_AFTER_S]
            if min(len(before), len(after)) < PATIENT_LEAST:
                continue
            share = 0.0
            if self._keeps_engines(lost - HOLDER_BEFORE_S,
                                   lost + HOLDER_AFTER_S):
                share = PATIENT_SHARE
            self.counts["holder changes judged"] += 1
            self.counts["by the share"] += share > 0
            least = share * sum(before) * len(after)
            if sum(before) and not sum(after) or (
                    sum(after) * len(before) < least):
                self.ledger.break_promise(
                    "patient", f"{sum(after)} of {len(after)} patient requests "
                    f"were served after the lease holder was lost, "
                    f"{sum(before)} of {len(before)} before")

    def grows(self, host, before_kb, after_kb) -> None:
        """What a host held before and while callers did not read."""
        grown = (after_kb - before_kb) // 1024
        self.counts["MB grown"] = max(self.counts["MB grown"], grown)
        if grown > GROWTH_MOST_MB:
            self.ledger.break_promise(
                "bounded", f"{host} grew by {grown} MB while "
                f"{self.unread_streams} streams were not read")

    def check(self) -> None:
        self.check_order()
        self.check_patients()

    def seen(self) -> str:
        """What was judged, for the line of a run."""
        waited = sum(each.began - each.sent > WAITED_S
                     for each in self.waiting.values())
        again = sum(each.reached > 1 for each in self.waiting.values())
        return (f"high load: {waited} requests waited, {again} were refused "
                f"by an engine, {self.orders_judged} pairs in order, {self.unread_streams} streams not read, "
                f"{dict(self.counts)}")
