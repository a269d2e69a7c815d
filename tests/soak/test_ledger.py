# SPDX-License-Identifier: MIT
"""The ledger must see each promise that is broken, and nothing else."""
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from ledger import (CUT_KNOWN_S, BACKOFF_KNOWN_S, DRAIN_S, LIMIT_SETTLED_S,  # noqa: E402
                    PART_KNOWN_S, SOUND_KNOWN_S, TELL_S, Ledger, Sent)
from load_ledger import (FLAP_AFTER_S, GROWTH_MOST_MB, HELD_MOST_S,  # noqa: E402
                         ORDER_S, PATIENT_LEAST, TROUBLE_AFTER_S, WAITED_S)


class LedgerTest(unittest.TestCase):
    """One broken promise a test."""

    def setUp(self):
        self.ledger = Ledger()
        self.now = time.monotonic()

    def send(self, name, may_repeat=False):
        self.ledger.sent[name] = Sent("once", "POST", "/x", b"body",
                                      may_repeat, 2 if may_repeat else 1, "h1")

    def run_at(self, name, instance="i-1", body=b"body", after=0.0):
        self.ledger.runs(name, instance, "POST", "/x", body, self.now + after)

    def broken(self):
        return [line.split()[2].rstrip(":") for line in self.ledger.broken]

    def test_a_proper_run_is_fine(self):
        self.send("a")
        self.run_at("a")
        self.assertEqual(self.broken(), [])

    def test_what_nobody_sent(self):
        self.run_at("a")
        self.assertEqual(self.broken(), ["unasked"])

    def test_another_body(self):
        self.send("a")
        self.run_at("a", body=b"bod")
        self.assertEqual(self.broken(), ["changed"])

    def test_two_runs_of_what_may_run_once(self):
        self.send("a")
        self.run_at("a")
        self.run_at("a", "i-2")
        self.assertEqual(self.broken()[0], "twice")

    def test_more_runs_than_the_route_allows(self):
        self.send("a", may_repeat=True)
        for instance in ("i-1", "i-2", "i-3"):
            self.run_at("a", instance)
        self.assertEqual(self.broken(), ["attempts"])

    def test_a_refusal_after_a_run(self):
        self.send("a")
        self.run_at("a")
        self.ledger.refused("a")
        self.assertEqual(self.broken(), ["not-run"])

    def test_a_status_that_no_server_gave(self):
        self.ledger.fails("a", 503)
        self.ledger.failed("a", 503)
        self.assertEqual(self.broken(), [])
        self.ledger.failed("a", 500)
        self.assertEqual(self.broken(), ["mixed"])

    def test_a_run_after_a_refusal(self):
        self.send("a")
        self.ledger.refused("a")
        self.run_at("a")
        self.assertEqual(self.broken(), ["not-run"])

    def test_a_request_at_a_server_that_left(self):
        self.send("a")
        self.ledger.leaves("i-1", self.now)
        self.run_at("a", after=DRAIN_S + 0.1)
        self.assertEqual(self.broken(), ["drain"])

    def test_hosts_that_could_not_know_that_it_left(self):
        self.send("a")
        self.ledger.blind.append((self.now - 1, self.now + 1))
        self.ledger.leaves("i-1", self.now)
        self.run_at("a", after=DRAIN_S + 0.1)
        self.assertEqual(self.broken(), [])

    def test_two_holders_in_one_term(self):
        self.ledger.orders("i-1", "h1", 4, self.now)
        self.ledger.orders("i-2", "h2", 4, self.now)
        self.assertEqual(self.broken(), ["one-holder"])

    def test_an_engine_that_is_overfull(self):
        self.ledger.overfull("i-1", "weights")
        self.assertEqual(self.broken(), ["memory"])

    def test_a_request_that_has_ended_three_servers_stays_away(self):
        for at in range(3):
            self.send(f"a{at}")
            self.run_at(f"a{at}", f"i-{at}")
            self.ledger.ends("/x", b"body", self.now)
        for at in range(3):
            self.send(f"b{at}")
            self.run_at(f"b{at}", "i-9", after=TELL_S + 0.1)
        self.assertEqual(self.broken(), [])
        self.send("b3")
        self.run_at("b3", "i-9", after=TELL_S + 0.1)
        self.assertEqual(self.broken(), ["ending"])

    def arrive_with_part(self, count, after):
        self.ledger.sent["p"] = Sent("stream", "POST", "/x", b"body", False, 1,
                                     "h1", part="dead1")
        for _ in range(count):
            self.ledger.arrives("p", "i-9", self.now + after)

    def test_a_part_that_has_ended_five_servers_stays_away(self):
        for _ in range(4):
            self.ledger.ends_under_part("dead1", self.now)
        self.arrive_with_part(9, PART_KNOWN_S + 0.1)
        self.ledger.ends_under_part("dead1", self.now)
        self.arrive_with_part(9, PART_KNOWN_S - 0.1)
        self.arrive_with_part(3, PART_KNOWN_S + 0.1)
        self.assertEqual(self.broken(), [])
        self.arrive_with_part(1, PART_KNOWN_S + 0.1)
        self.assertEqual(self.broken(), ["part"])

    def test_sound_streams_begin_beside_a_part_that_ends_servers(self):
        self.ledger.ends_under_part("dead1", self.now)
        late = self.now + SOUND_KNOWN_S
        self.ledger.sound_tries = [(self.now - 1, True)] * 20
        self.ledger.sound_tries += [(late, at % 2 == 0) for at in range(20)]
        self.ledger.check_sound()
        self.assertEqual(self.broken(), [])
        self.ledger.sound_tries += [(late, False)]
        self.ledger.check_sound()
        self.assertEqual(self.broken(), ["sound"])

    def advertise(self, host_known_for):
        """A limit of 1 a second, known to the host h1 for so long by now."""
        self.send("told")
        self.ledger.advertises("told", "i-1", 1, self.now - host_known_for)

    def arrive(self, count, name="told"):
        for at in range(count):
            self.ledger.arrives(name, "i-1", self.now + at / 10)

    def test_more_requests_than_a_server_takes(self):
        self.advertise(LIMIT_SETTLED_S)
        self.arrive(11)
        self.assertEqual(self.broken(), [])
        self.ledger.arrives("told", "i-1", self.now + 3)
        self.assertEqual(self.broken(), ["limit"])

    def test_hosts_that_a_server_has_not_told_of_its_limit(self):
        self.advertise(LIMIT_SETTLED_S)
        self.ledger.sent["other"] = Sent("once", "POST", "/x", b"body", False,
                                         1, "h2")
        self.arrive(30, "other")
        self.assertEqual(self.broken(), [])

    def test_a_limit_that_was_withdrawn(self):
        self.advertise(LIMIT_SETTLED_S)
        self.ledger.advertises("told", "i-1", None, self.now)
        self.arrive(30)
        self.assertEqual(self.broken(), [])

    def test_a_host_that_has_restarted_knows_nothing(self):
        self.advertise(LIMIT_SETTLED_S)
        self.ledger.forgets("h1")
        self.arrive(30)
        self.assertEqual(self.broken(), [])

    def arrive_sent_at(self, name, host, after):
        self.ledger.sent[name] = Sent("once", "POST", "/x", b"body", False, 1,
                                      host, at=self.now + after)
        self.ledger.arrives(name, "i-1", self.now + after)

    def test_a_request_after_a_host_passed_on_that_its_server_leaves(self):
        self.ledger.passes_on_leaving("i-1", "h1", self.now)
        self.arrive_sent_at("a", "h1", DRAIN_S)
        self.arrive_sent_at("b", "h2", DRAIN_S + 0.1)
        self.assertEqual(self.broken(), [])
        self.arrive_sent_at("c", "h1", DRAIN_S + 0.1)
        self.assertEqual(self.broken(), ["leaving"])

    def test_a_frozen_host_is_not_held_to_what_it_passed_on(self):
        self.ledger.passes_on_leaving("i-1", "h1", self.now)
        self.ledger.excuses("h1")
        self.arrive_sent_at("a", "h1", DRAIN_S + 0.1)
        self.assertEqual(self.broken(), [])

    def ask_for_backoff(self, seconds):
        self.send("refused")
        self.ledger.asks_for_backoff("refused", "i-1", seconds, self.now)

    def test_more_than_two_requests_in_a_backoff(self):
        self.ask_for_backoff(3)
        for at in range(2):
            self.arrive_sent_at(f"a{at}", "h1", BACKOFF_KNOWN_S + 0.1)
        self.arrive_sent_at("b", "h2", 1)
        self.assertEqual(self.broken(), [])
        self.arrive_sent_at("c", "h1", 2.9)
        self.assertEqual(self.broken(), ["backoff"])

    def test_requests_on_their_way_and_after_a_backoff(self):
        self.ask_for_backoff(3)
        for at in range(5):
            self.arrive_sent_at(f"a{at}", "h1", BACKOFF_KNOWN_S - 0.1)
            self.arrive_sent_at(f"b{at}", "h1", 3.1)
        self.assertEqual(self.broken(), [])

    def cut_off(self, inside, outside):
        """First tries at a cut host and at another one, as (all, served)."""
        self.ledger.cut_off(["h1"])
        at = self.ledger.cut.since + CUT_KNOWN_S
        for host, (tries, served) in (("h1", inside), ("h2", outside)):
            for number in range(tries):
                self.ledger.tried(host, at, number < served)
                # What was sent earlier does not count.
                self.ledger.tried(host, at - 0.1, False)
        self.ledger.heal()

    def test_callers_of_a_cut_host_are_served_far_worse(self):
        self.cut_off((20, 13), (20, 20))
        self.assertEqual(self.broken(), [])
        self.cut_off((40, 40), (40, 20))
        self.assertEqual(self.broken(), [])
        self.cut_off((40, 26), (40, 40))
        self.assertEqual(self.broken(), ["cut-off"])

    def test_too_many_brittle_servers_fall_over(self):
        for server in ("i-1", "i-2"):
            self.ledger.falls(server, 5)
        self.ledger.check_falls(6)
        self.assertEqual(self.broken(), [])
        for server in ("i-1", "i-2", "i-3"):
            self.ledger.falls(server, 5)
        self.ledger.check_falls(6)
        self.assertEqual(self.broken(), ["falls"])

    def test_a_backoff_of_a_cut_host_is_that_of_the_host_that_relays(self):
        for name in ("a", "b", "c", "d"):
            self.send(name)
        self.ledger.cut_off(["h1"])
        self.ledger.asks_for_backoff("a", "i-1", 2.0, self.now)
        self.ledger.heal()
        for name in ("b", "c", "d"):
            self.ledger.arrives(name, "i-1", self.now + 1.0)
        self.assertEqual(self.broken(), [])

    def test_streams_of_several_versions(self):
        for name in ("a", "b", "c"):
            self.ledger.stream_event(name, "v1")
        self.ledger.check_streams()
        self.assertEqual(self.broken(), [])
        self.ledger.stream_event("a", "v2")
        self.ledger.stream_event("b", "v2")
        self.ledger.check_streams()
        self.assertEqual(self.broken(), [])
        self.ledger.stream_event("c", "v2")
        self.ledger.check_streams()
        self.assertEqual(self.broken(), ["versions"])

    def test_streams_that_are_taken_up_go_on_far_less_than_new_ones_begin(self):
        self.ledger.count_serving = {"v1": 2, "v2": 1}.get
        for number in range(20):
            self.ledger.began_stream(number < 18)
            self.ledger.took_up("v2", False)
            self.ledger.took_up("v1", number < 9)
        self.ledger.check_streams()
        self.assertEqual(self.broken(), [])
        self.ledger.took_up("v1", False)
        self.ledger.check_streams()
        self.assertEqual(self.broken(), ["resumed"])

    def wait(self, name, sent, began, queue="patient"):
        """A request that was sent and began at these times."""
        self.ledger.load.sends(name, (queue,), 6.0, self.now + sent)
        self.ledger.load.arrives(name)
        self.ledger.load.began(name, self.now + began)

    def test_a_waiting_request_that_a_later_one_overtakes(self):
        self.wait("a", 0, 1 + ORDER_S)
        self.wait("b", 0.1, 1)
        self.ledger.load.check_order()
        self.assertEqual(self.broken(), [])
        self.wait("c", 0.1, 0.9)
        self.ledger.load.check_order()
        self.assertEqual(self.broken(), ["overtaken"])

    def test_requests_that_may_be_served_before_earlier_ones(self):
        self.wait("a", 0, 2)
        # Of another queue; sent at almost the same time; had not to wait; ran
        # when the earlier one was late at some engines.
        self.wait("b", 0.1, 0.5, "urgent")
        self.wait("c", 0.01, 0.5)
        self.wait("d", 0.1, 0.1 + WAITED_S / 2)
        self.wait("e", 10, 15)
        self.wait("f", 10.1, 14)
        # An engine has refused the earlier one.
        self.wait("g", 20, 22)
        self.ledger.load.arrives("g")
        self.wait("h", 20.1, 20.5)
        self.ledger.load.check_order()
        self.assertEqual(self.broken(), [])

    def overtake_after(self, kind):
        """A request is overtaken shortly after a fault."""
        with self.ledger.load.trouble(kind):
            pass
        after = TROUBLE_AFTER_S - 0.5
        self.wait("a", after, after + 2)
        self.wait("b", after + 0.1, after + 1)
        self.ledger.load.check_order()

    def test_requests_that_are_overtaken_after_a_fault(self):
        self.overtake_after("host_kill")
        self.assertEqual(self.broken(), [])

    def test_requests_that_are_overtaken_while_engines_are_slow(self):
        self.overtake_after("engines_slow")
        self.assertEqual(self.broken(), ["overtaken"])

    def hold_back(self, after, parts=("d0c1",)):
        self.ledger.load.held_back("a", "patient", parts, True,
                                   self.now + after)

    def test_sound_requests_that_are_held_back_beside_flapping_engines(self):
        self.ledger.load.flaps(self.now + 10)
        self.hold_back(0)
        self.hold_back(HELD_MOST_S, ("d0c2",))
        self.hold_back(HELD_MOST_S)
        self.assertEqual(self.broken(), [])
        self.hold_back(HELD_MOST_S + 0.1)
        self.assertEqual(self.broken(), ["held"])

    def test_sound_requests_that_are_served_in_between(self):
        self.ledger.load.flaps(self.now + 10)
        self.hold_back(0)
        self.ledger.load.served(("d0c1",))
        self.hold_back(HELD_MOST_S + 0.1)
        self.assertEqual(self.broken(), [])

    def test_sound_requests_that_are_held_back_while_no_engine_flaps(self):
        self.ledger.load.flaps(self.now)
        self.hold_back(FLAP_AFTER_S + 0.1)
        self.assertEqual(self.broken(), ["innocent"])

    def lose_holder(self, served_after):
        """Patient requests before and after the lease holder is lost."""
        self.ledger.load.holders_lost = [self.now]
        self.ledger.load.patients = [
            (self.now - 2, True)] * PATIENT_LEAST + [
            (self.now + 1, at < served_after) for at in range(PATIENT_LEAST)]
        self.ledger.load.check_patients()

    def test_patient_requests_after_the_lease_holder_is_lost(self):
        self.lose_holder(PATIENT_LEAST // 2)
        self.assertEqual(self.broken(), [])
        self.lose_holder(PATIENT_LEAST // 2 - 1)
        self.assertEqual(self.broken(), ["patient"])

    def test_patient_requests_while_engines_are_lost_too(self):
        with self.ledger.load.trouble("server_crash"):
            pass
        self.lose_holder(1)
        self.assertEqual(self.broken(), [])
        self.lose_holder(0)
        self.assertEqual(self.broken(), ["patient"])

    def test_a_host_that_keeps_what_callers_do_not_read(self):
        self.ledger.load.grows("h1", 50_000, 50_000 + GROWTH_MOST_MB * 1024)
        self.assertEqual(self.broken(), [])
        self.ledger.load.grows("h1", 50_000,
                               50_000 + (GROWTH_MOST_MB + 1) * 1024)
        self.assertEqual(self.broken(), ["bounded"])


if __name__ == "__main__":
    unittest.main()
