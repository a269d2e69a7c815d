# SPDX-License-Identifier: MIT
"""What callers and backend servers saw, and the promises that it must keep."""
import collections
import math
import time
from dataclasses import dataclass

from load_ledger import LoadLedger

# A server that said it leaves may be sent requests for so long: the bound of
# two seconds, and half a second for this machine's own delays.
DRAIN_S = 2.5
# A request that has ended three servers reaches servers at most three times
# more, later than it takes hosts to tell each other.
ENDS_MOST, SENDS_MORE, TELL_S = 3, 3, 2.0
# Requests with a part of a prompt under which five servers have ended reach
# servers at most three times more, later than this.
PART_ENDS_MOST, PART_SENDS_MORE, PART_KNOWN_S = 5, 3, 3.0
# From so long after that end on, sound requests begin at least this share as
# often as before the first end; judged on at least so many each.
SOUND_KNOWN_S, SOUND_SHARE, SOUND_LEAST = 6.0, 0.5, 20
# What a server that advertises a limit may get in a window, from hosts that
# have known of it for a while; judged once the limit is so old.
LIMIT_WINDOW_S, LIMIT_OVER, LIMIT_SLACK = 4.0, 1.5, 5
LIMIT_KNOWN_S, LIMIT_SETTLED_S = 0.5, 4.0
# What a server may get from a host that it has asked for a backoff, later than
# this after it has asked.
BACKOFF_MOST, BACKOFF_KNOWN_S = 2, 0.5


# Brittle servers that may fall over in one time, and per server.
FALLS, FALL_SHARE = 2, 0.1
# First tries at hosts that are cut from all servers, from so long after the
# cut: their share served, against the others', and how many may fail anyway.
CUT_KNOWN_S, CUT_SHARE, CUT_MOST, CUT_MOST_SHARE = 3.0, 2 / 3, 10, 1 / 50
# A host has found out by then that a cut has ended.
REGAINED_S = 1.0
# Streams that may hold events of two software versions. Of so many or more that
# callers take up again, the share that goes on is at least this share of the
# new streams that begin.
JOINED_MOST, TAKEN_UP_LEAST, GOES_ON_SHARE = 2, 12, 0.5


@dataclass
class Cut:
    """Hosts that are cut from all servers, and the first tries of callers at
    them and at the others: how many there were, and how many were served."""
    hosts: set
    since: float
    inside: list
    outside: list


@dataclass
class Limit:
    """What one server advertises, and what it gets meanwhile."""
    rate: float
    since: float
    # When each host was first told, by its name.
    told: dict
    # Requests of hosts that knew.
    arrivals: collections.deque
    total: int = 0


@dataclass
class Backoff:
    """The time for which a server wants no requests from one host."""
    begin: float
    end: float
    arrivals: int = 0


@dataclass(frozen=True)
class Run:
    """One request that began at a backend server."""
    instance: str
    method: str
    target: str
    body: bytes
    at: float


@dataclass(frozen=True)
class Sent:
    """One request as its caller sent it."""
    kind: str
    method: str
    target: str
    body: bytes
    may_repeat: bool
    most_runs: int
    host: str
    # Its host could hear from the others for long enough before.
    calm: bool = True
    at: float = 0.0
    # The part of its prompt that ends servers, if it has one.
    part: str = ""


class Ledger:
    """Takes in what is seen, and says which promises were broken."""

    def __init__(self):
        self.began = time.monotonic()
        self.sent: dict[str, Sent] = {}
        self.run: dict[str, list[Run]] = collections.defaultdict(list)
        self.not_run: dict[str, float] = {}
        # Statuses with which servers failed what they had run.
        self.failures: dict[str, set] = collections.defaultdict(set)
        self.failures_seen = 0
        self.broken: list[str] = []
        self.outcomes = collections.Counter()
        # Seconds for which this program itself did not run, and when it was
        # found out last.
        self.stalled_s = 0.0
        self.stalled_at = 0.0
        self.leaving: dict[str, float] = {}
        self.holders: dict[int, str] = {}
        self.newest_term: dict[str, int] = {}
        # Instances whose answers were broken off or lost, and until when.
        self.spoiled: dict[str, float] = {}
        # When servers ended under a request, by target and body, and how often
        # it was sent to servers too late after that.
        self.ended: dict[tuple, list[float]] = collections.defaultdict(list)
        self.late_sends = collections.Counter()
        # When servers ended under a part of prompts, how many requests with it
        # reached servers, and how many of them too late.
        self.part_ends: dict[str, list[float]] = collections.defaultdict(list)
        self.part_arrivals = collections.Counter()
        self.late_part_arrivals = collections.Counter()
        # First tries of sound streams: when they were sent, whether they began.
        self.sound_tries: list[tuple[float, bool]] = []
        # Limits that servers advertise now, by instance; how often they came.
        self.limits: dict[str, Limit] = {}
        self.limits_seen = 0
        # When each host first passed on that a server leaves, and the backoffs
        # that servers have asked it for, by server and host.
        self.passed_leaving: dict[tuple, float] = {}
        self.backoffs: dict[tuple, list[Backoff]] = collections.defaultdict(
            list)
        self.notices_seen = collections.Counter()
        # Brittle servers that fell over in the present time of that kind.
        self.fallen: list[str] = []
        # Hosts that are cut from all servers now, and until when the requests
        # of each may go through another host.
        self.cut: Cut | None = None
        self.relays_until: dict[str, float] = {}
        # When a host was killed or frozen last.
        self.host_lost_at = 0.0
        # Software versions of the events of each stream, by the attempt that
        # began it.
        self.software: dict[str, set] = collections.defaultdict(set)
        # How many servers of a software version serve now.
        self.count_serving = lambda software: 0
        # New streams, and those that callers took up again: how many there
        # were, and how many began or went on.
        self.new_streams, self.taken_up = [0, 0], [0, 0]
        # Spans in which hosts could not know what the store holds.
        self.blind: list[tuple[float, float]] = []
        # What is promised under high load.
        self.load = LoadLedger(self)

    def cut_off(self, hosts) -> None:
        self.cut = Cut(set(hosts), time.monotonic(), [0, 0], [0, 0])
        for host in hosts:
            self.relays_until[host] = math.inf

    def tried(self, host, at, served) -> None:
        """The first try of a request that a caller sent to a calm host."""
        cut = self.cut
        if cut is None or at - cut.since < CUT_KNOWN_S or (
                self.stalled_at > cut.since):
            return
        count = cut.inside if host in cut.hosts else cut.outside
        count[0] += 1
        count[1] += served

    def heal(self) -> Cut:
        """The cut ends; its counts."""
        cut, self.cut = self.cut, None
        for host in cut.hosts:
            self.relays_until[host] = time.monotonic() + REGAINED_S
        tries, served = cut.inside
        others, others_served = cut.outside
        failed = tries - served
        far_worse = others and (
            served * others < CUT_SHARE * others_served * tries)
        if far_worse and failed > CUT_MOST + CUT_MOST_SHARE * tries:
            self.break_promise("cut-off", f"{sorted(cut.hosts)} served "
                               f"{served} of {tries} first tries, the others "
                               f"{others_served} of {others}")
        return cut

    def stream_event(self, begun_by, software) -> None:
        self.software[begun_by].add(software)

    def began_stream(self, began) -> None:
        self.new_streams[0] += 1
        self.new_streams[1] += began

    def took_up(self, software, went_on) -> None:
        """A caller took a stream of this version up again at a calm host."""
        if self.count_serving(software) < 2:
            return
        self.taken_up[0] += 1
        self.taken_up[1] += went_on

    def joined(self) -> list[str]:
        """Streams that hold events of several software versions."""
        return [begun_by for begun_by, versions in self.software.items()
                if len(versions) > 1]

    def check_streams(self) -> None:
        joined = self.joined()
        if len(joined) > JOINED_MOST:
            self.break_promise("versions", f"{len(joined)} streams hold events "
                               f"of several versions: {joined[:3]}")
        taken_up, went_on = self.taken_up
        new, began = self.new_streams
        if taken_up >= TAKEN_UP_LEAST and (
                went_on * new < GOES_ON_SHARE * began * taken_up):
            self.break_promise("resumed", f"{went_on} of {taken_up} streams "
                               f"that were taken up went on, {began} of {new} "
                               "new ones began")

    def break_promise(self, name: str, text: str) -> None:
        at = time.monotonic() - self.began
        self.broken.append(f"{at:7.2f} s {name}: {text}")

    def note_stall(self, seconds: float) -> None:
        """Times that were measured meanwhile say nothing of the hosts."""
        self.stalled_s += seconds
        self.stalled_at = time.monotonic()
        self.blind.append((self.stalled_at - seconds, self.stalled_at + 3.0))

    # -- from backend servers -------------------------------------------------

    def runs(self, request_id, instance, method, target, body, at) -> None:
        sent = self.sent.get(request_id)
        if sent is None:
            self.break_promise("unasked", f"{request_id} was never sent")
            return
        same = (sent.method, sent.target, sent.body) == (method, target, body)
        if not same:
            self.break_promise("changed", f"{request_id} is not as it was sent")
        self._count_after_ends((target, body), sent.calm, at)
        self.load.began(request_id, at)
        self.run[request_id].append(Run(instance, method, target, body, at))
        if not sent.may_repeat and len(self.run[request_id]) > 1:
            self.break_promise("twice", f"{request_id} ({sent.kind}) ran at " +
                               ", ".join(each.instance
                                         for each in self.run[request_id]))
        if len(self.run[request_id]) > sent.most_runs:
            self.break_promise("attempts", f"{request_id} ran too often")
        if request_id in self.not_run:
            self.break_promise("not-run", f"{request_id} ran after all")
        left = self.leaving.get(instance)
        if left is not None and at - left > DRAIN_S:
            self._late_at_leaving(request_id, instance, left, at)

    def fails(self, request_id, status) -> None:
        """A server answers a request that it has run with this status."""
        self.failures[request_id].add(status)

    def _count_after_ends(self, request, calm, at) -> None:
        ends = self.ended.get(request, [])
        blind = any(begin < at < end for begin, end in self.blind)
        if len(ends) < ENDS_MOST or at - ends[ENDS_MOST - 1] < TELL_S or (
                blind or not calm):
            return
        self.late_sends[request] += 1
        if self.late_sends[request] == SENDS_MORE + 1:
            self.break_promise("ending", f"{request[0]} was sent to servers "
                               f"again, {len(ends)} have ended under it")

    def ends(self, target, body, at) -> None:
        """A server has ended under a request."""
        self.ended[target, body].append(at)

    def _late_at_leaving(self, request_id, instance, left, at) -> None:
        # Hosts are only held to it if they could hear of it all the while.
        if any(begin < at and end > left for begin, end in self.blind):
            return
        self.break_promise("drain", f"{request_id} reached {instance} "
                           f"{at - left:.2f} s after it left")

    def ends_under_part(self, part, at) -> None:
        """A server has ended under a request with this part in its prompt."""
        self.part_ends[part].append(at)

    def _count_after_part_ends(self, sent, request_id, at) -> None:
        self.part_arrivals[sent.part] += 1
        ends = self.part_ends[sent.part]
        blind = any(begin < at < end for begin, end in self.blind)
        if len(ends) < PART_ENDS_MOST or blind or not sent.calm or (
                at - ends[PART_ENDS_MOST - 1] <= PART_KNOWN_S):
            return
        self.late_part_arrivals[sent.part] += 1
        if self.late_part_arrivals[sent.part] == PART_SENDS_MORE + 1:
            self.break_promise("part", f"{request_id} reached a server with "
                               f"{sent.part}, {len(ends)} have ended under it")

    def check_sound(self) -> tuple[int, int, int, int]:
        """Compares sound streams before the first end under a part, and from a
        while after the servers had ended; the counts."""
        ends = sorted(at for each in self.part_ends.values() for at in each)
        known = max(each[:PART_ENDS_MOST][-1]
                    for each in self.part_ends.values()) + SOUND_KNOWN_S
        before = [began for at, began in self.sound_tries if at < ends[0]]
        after = [began for at, began in self.sound_tries if at >= known]
        counts = (sum(before), len(before), sum(after), len(after))
        enough = min(len(before), len(after)) >= SOUND_LEAST
        if enough and (sum(after) * len(before) <
                       SOUND_SHARE * sum(before) * len(after)):
            self.break_promise("sound", f"{counts[2]} of {counts[3]} sound "
                               f"streams began, {counts[0]} of {counts[1]} "
                               "before")
        return counts

    def advertises(self, request_id, instance, rate, at) -> None:
        """An answer to a request says which limit its server has, if any."""
        if rate is None:
            self.limits.pop(instance, None)
            return
        known = self.limits.get(instance)
        if known is None or known.rate != rate:
            self.limits_seen += 1
            known = self.limits[instance] = Limit(rate, at, {},
                                                  collections.deque())
        sent = self.sent.get(request_id)
        if sent is not None:
            known.told.setdefault(sent.host, at)

    def forgets(self, host) -> None:
        """A host's process has ended, and what it knew."""
        for limit in self.limits.values():
            limit.told.pop(host, None)
        self.excuses(host)

    def excuses(self, host) -> None:
        """A host has restarted or stood still: it is not held to what servers
        said before."""
        for known in (self.passed_leaving, self.backoffs):
            for key in [key for key in known if key[1] == host]:
                del known[key]

    def passes_on_leaving(self, instance, host, at) -> None:
        """A caller has got a response that says that its server leaves."""
        if (instance, host) not in self.passed_leaving:
            self.notices_seen["leaving"] += 1
            self.passed_leaving[instance, host] = at

    def asks_for_backoff(self, request_id, instance, seconds, at) -> None:
        """A server refuses a request, and wants no others from its host."""
        sent = self.sent.get(request_id)
        if sent is None or self.spoiled_at(instance):
            return
        # The host that was asked is the one that relays for a cut one.
        if at < self.relays_until.get(sent.host, 0):
            return
        self.notices_seen["backoff"] += 1
        self.backoffs[instance, sent.host].append(Backoff(at, at + seconds))

    def _check_notices(self, sent, request_id, instance, at) -> None:
        passed = self.passed_leaving.get((instance, sent.host))
        if passed is not None and sent.at - passed > DRAIN_S:
            self.break_promise("leaving", f"{request_id} reached {instance} "
                               f"{sent.at - passed:.2f} s after {sent.host} "
                               "passed on that it leaves")
        # What a disturbed link held up arrives late.
        if self.spoiled_at(instance):
            return
        for backoff in self.backoffs.get((instance, sent.host), []):
            bound = backoff.begin + BACKOFF_KNOWN_S < at < backoff.end
            if not bound or self.stalled_at > backoff.begin:
                continue
            backoff.arrivals += 1
            if backoff.arrivals == BACKOFF_MOST + 1:
                self.break_promise("backoff", f"{instance} asked {sent.host} "
                                   f"for {backoff.end - backoff.begin:.1f} s "
                                   f"without requests and got {request_id}")

    def arrives(self, request_id, instance, at) -> None:
        """A request reaches a server, which may refuse it."""
        self.load.arrives(request_id)
        limit, sent = self.limits.get(instance), self.sent.get(request_id)
        if sent is not None:
            self._check_notices(sent, request_id, instance, at)
        if sent is not None and sent.part:
            self._count_after_part_ends(sent, request_id, at)
        if limit is None or sent is None:
            return
        if at - limit.told.get(sent.host, at) < LIMIT_KNOWN_S:
            return
        limit.total += 1
        window = limit.arrivals
        window.append(at)
        while at - window[0] >= LIMIT_WINDOW_S:
            window.popleft()
        allowed = int(LIMIT_OVER * LIMIT_WINDOW_S * limit.rate + LIMIT_SLACK)
        # What a disturbed link held up arrives at once.
        held_up = (at - LIMIT_WINDOW_S < self.spoiled.get(instance, 0)
                   or at - LIMIT_WINDOW_S < self.stalled_at)
        settled = window[0] - limit.since >= LIMIT_SETTLED_S
        if settled and not held_up and len(window) > allowed:
            self.break_promise("limit", f"{instance} takes {limit.rate} a "
                               f"second and got {len(window)} in "
                               f"{LIMIT_WINDOW_S} s; allowed {allowed}")
            window.clear()

    def falls(self, instance, tolerated) -> None:
        """A brittle server has had to reject too many requests."""
        if self.stalled_at < time.monotonic() - 2:
            self.fallen.append(f"{instance} ({tolerated} a second)")

    def check_falls(self, servers: int) -> None:
        """A time in which a service's servers were brittle is over."""
        fallen, self.fallen = self.fallen, []
        if len(fallen) > FALLS + FALL_SHARE * servers:
            self.break_promise("falls", f"{len(fallen)} brittle servers of "
                               f"{servers} fell over: {fallen}")

    def leaves(self, instance, at) -> None:
        self.leaving[instance] = at

    def orders(self, instance, holder, term, at) -> None:
        del at
        known = self.holders.setdefault(term, holder)
        if known != holder:
            self.break_promise("one-holder", f"{holder} and {known} both gave "
                               f"orders in term {term}")
        if term < self.newest_term.get(instance, 0):
            self.break_promise("fence", f"{instance} took term {term} late")
        self.newest_term[instance] = term

    def overfull(self, instance, what) -> None:
        self.break_promise("memory", f"{instance} was given more {what} than "
                           "it holds")

    def spoil(self, instance, until) -> None:
        self.spoiled[instance] = max(self.spoiled.get(instance, 0), until)

    def spoiled_at(self, instance) -> bool:
        """Whether an answer of this instance may have been broken there."""
        return time.monotonic() < self.spoiled.get(instance, 0)

    # -- from callers ----------------------------------------------------------

    def refused(self, request_id) -> None:
        self.not_run[request_id] = time.monotonic()
        if self.run[request_id]:
            self.break_promise("not-run", f"{request_id} was refused, but ran")

    def failed(self, request_id, status) -> None:
        """A caller has got a failure with a server's signature."""
        self.failures_seen += 1
        if status not in self.failures[request_id]:
            self.break_promise("mixed", f"{request_id} got {status} of a server "
                               f"that gave {sorted(self.failures[request_id])}")

    def count(self, kind: str, outcome: str) -> None:
        self.outcomes[kind, outcome] += 1
