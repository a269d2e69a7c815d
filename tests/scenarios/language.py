# SPDX-License-Identifier: MIT
"""The scenario language: one statement a line, described in
docs/SCENARIOS.md. Reads a script, drives real programs and stand-ins, and
ends with a verdict."""
import json
import os
import shlex
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import deployment as dep  # noqa: E402
from relay import Relay  # noqa: E402

LIMIT = 30.0


class ScenarioError(Exception):
    """A statement that failed, or an expectation that was not met."""


def duration(text):
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit):
            return float(text[:-len(unit)]) * factor
    raise ScenarioError(f"no duration: {text}")


def options(words):
    """key=value words as a dictionary; a word alone is true."""
    out = {}
    for word in words:
        key, _, value = word.partition("=")
        out[key] = value if value else True
    return out


class Request(threading.Thread):
    """A caller's request that runs beside the script."""

    def __init__(self, world, name, kind, where, target, given):
        super().__init__(daemon=True)
        self.world, self.name_, self.kind = world, name, kind
        self.where, self.target, self.given = where, target, given
        self.status, self.headers, self.body = 0, {}, ""
        self.error = ""
        self.took = 0.0
        # An event of its stream has come.
        self.streaming = False

    def run(self):
        started = time.monotonic()
        try:
            self.send()
        except Exception as failed:  # pylint: disable=broad-except
            self.error = f"{type(failed).__name__}: {failed}"
        self.took = time.monotonic() - started

    def send(self):
        port = self.world.system.ports[self.where]
        headers = {}
        if "deadline" in self.given:
            headers["Valeledge-Deadline"] = self.given["deadline"]
        if "priority" in self.given:
            headers["Valeledge-Priority"] = self.given["priority"]
        if self.kind == "chat":
            self.status, self.headers, self.body = dep.chat(
                port, self.target, self.given.get("text", "Draft the roster"),
                "stream" in self.given, int(self.given.get("tokens", 16)),
                headers, 60, self.note_part if "stream" in self.given else None)
            return
        if "key" in self.given:
            headers["Idempotency-Key"] = self.given["key"]
        self.status, self.headers, self.body = dep.call(
            port, "POST", f"/services/{self.target}/book",
            {"note": self.given.get("text", "")}, headers, 60)

    def note_part(self, part):
        self.streaming = self.streaming or b"data: " in part

    def outcome(self):
        """completed, not_run, unknown, or broken for a cut answer."""
        if self.error:
            return "broken"
        if self.status == 200 and "stream" in self.given:
            return "completed" if dep.text_of_stream(self.body)[1] else "broken"
        if self.status == 200:
            return "completed"
        return self.headers.get("Valeledge-Outcome", "broken")

    def text(self):
        if "stream" in self.given:
            return dep.text_of_stream(self.body)[0]
        return json.loads(self.body)["choices"][0]["message"]["content"]

    def code(self):
        return self.headers.get("Valeledge-Reason", "")


class World:
    """What a script has started and seen."""

    def __init__(self):
        self.system = dep.Deployment()
        self.rows = []
        self.requests = {}
        self.relays = {}
        self.marks = {}
        self.editors = []
        self.measured = {}
        self.engines = []
        self.services = []
        self.stopped = {}

    def port(self, name):
        return self.system.ports[name]

    def relay(self, name, port):
        """Puts a relay before a port, so that it can be cut."""
        relay = Relay(port)
        self.relays[name] = relay
        return relay.port

    def end(self):
        for relay in self.relays.values():
            relay.close()
        self.system.kill_all()

    # -- building ---------------------------------------------------------

    def do_kv(self, words):
        given = options(words)
        self.system.start_kv()
        if "relay" in given:
            real = self.system.ports["kv"]
            self.system.ports["kv.direct"] = real
            self.system.ports["kv"] = self.relay("kv", real)

    def do_partner(self, words):
        self.rows.append({"kind": "partner", "name": words[0],
                          **options(words[1:])})

    def do_model(self, words):
        self.rows.append({"kind": "model", "name": words[0],
                          **options(words[1:])})

    def do_adapter(self, words):
        self.rows.append({"kind": "adapter", "name": words[0],
                          **options(words[1:])})

    def do_service(self, words):
        self.rows.append({"kind": "service", "name": words[0],
                          **options(words[1:])})

    def do_engine(self, words):
        name, given = words[0], options(words[1:])
        zone = given.pop("zone", "a")
        cell = given.pop("cell", "")
        memory = int(given.pop("memory", 1000))
        slots = int(given.pop("slots", 8))
        fencing = "fencing" in given
        single = "single" in given
        relayed = given.pop("relay", False)
        host = given.pop("at", "127.0.0.1")
        port = self.system.start_engine(
            name, capacity_mb=memory, slots=slots, fencing=fencing,
            single_load=single, token_step=given.get("step", "5ms"),
            load_time=given.get("load", "20ms"), listen_on="0.0.0.0")
        self.engines.append(name)
        if relayed:
            port = self.relay(name, port)
        self.rows.append({
            "kind": "server", "name": name, "zone": zone, "cell": cell,
            "address": f"{host}:{port}", "memory_mb": memory,
            "slots": slots, "fencing": "yes" if fencing else "no",
            "doubled_load": "no" if single else "yes"})

    def do_desk(self, words):
        name, given = words[0], options(words[1:])
        port = self.system.start_service(name)
        self.services.append(name)
        if given.pop("relay", False):
            port = self.relay(name, port)
        self.rows.append({
            "kind": "server", "name": name, "zone": given.get("zone", "a"),
            "cell": given.get("cell", "desk"), "base": given["runs"],
            "address": f"127.0.0.1:{port}", "slots": given.get("slots", 64)})

    def do_table(self, words):
        del words
        self.system.import_table(self.rows)

    def daemon(self, program, words):
        name, given = words[0], options(words[1:])
        zone = given.pop("zone", "a")
        sections = {}
        for key, value in given.items():
            section, _, entry = key.partition(".")
            if value[0].isdigit() and value[-1].isdigit():
                sections.setdefault(section, []).append(f"{entry} = {value}")
            else:
                sections.setdefault(section, []).append(f'{entry} = "{value}"')
        gossip = {key.split(" = ")[0]: key.split(" = ")[1]
                  for key in sections.pop("gossip", [])}
        extra = "\n".join(
            ("" if section == "callers" and program == "gateway"
             else f"[{section}]\n") + "\n".join(lines)
            for section, lines in sorted(
                sections.items(), key=lambda item: item[0] != "callers"))
        self.system.start_daemon(program, name, zone, extra, gossip=gossip)

    def do_gateway(self, words):
        self.daemon("gateway", words)

    def do_scheduler(self, words):
        self.daemon("scheduler", words)

    def do_controller(self, words):
        self.daemon("controller", words)

    # -- acting -----------------------------------------------------------

    def do_ready(self, words):
        """ready GATEWAY...: until each is ready."""
        for name in words:
            self.system.wait_ready(name)

    def do_reachable(self, words):
        """reachable MODEL via GATEWAY [within T]: until a request succeeds."""
        limit = duration(words[4]) if len(words) > 4 else LIMIT
        started = time.monotonic()
        dep.wait_until(
            lambda: dep.chat(self.port(words[2]), words[0],
                             max_tokens=1)[0] == 200,
            f"{words[0]} to be reachable via {words[2]}", limit)
        self.measured[f"{words[0]} reachable after"] = (
            time.monotonic() - started)

    def do_chat(self, words):
        """chat NAME via GATEWAY MODEL options: starts a request."""
        self.start_request("chat", words)

    def do_book(self, words):
        """book NAME via GATEWAY SERVICE key=K: starts a call."""
        self.start_request("book", words)

    def start_request(self, kind, words):
        request = Request(self, words[0], kind, words[2], words[3],
                          options(words[4:]))
        self.requests[words[0]] = request
        request.start()

    def do_wait(self, words):
        """wait NAME...: until the requests have ended."""
        for name in self.matching(words):
            self.requests[name].join(60)
            if self.requests[name].is_alive():
                raise ScenarioError(f"request {name} did not end")

    def matching(self, words):
        names = []
        for word in words:
            if word.endswith("*"):
                names += [each for each in self.requests
                          if each.startswith(word[:-1])]
            else:
                names.append(word)
        return names

    def do_repeat(self, words):
        """repeat N chat|book NAME ...: starts N requests NAME1, NAME2, ..."""
        for i in range(1, int(words[0]) + 1):
            copy = [word.replace("%", str(i)) for word in words[2:]]
            copy[0] = copy[0] + str(i)
            self.start_request(words[1], copy)

    def do_kill(self, words):
        for name in words:
            self.system.processes[name].signal(signal.SIGKILL)
            self.system.processes[name].wait()

    def do_freeze(self, words):
        for name in words:
            self.system.processes[name].signal(signal.SIGSTOP)

    def do_thaw(self, words):
        for name in words:
            self.system.processes[name].signal(signal.SIGCONT)

    def do_restart(self, words):
        for name in words:
            self.system.restart(name)
            port = self.system.ports.get(name + ".admin", None)
            path = "/healthz" if port else "/counts"
            if name in self.services:
                path = "/healthz"
            port = port or self.port(name)
            dep.wait_until(lambda: dep.call(port, "GET", path)[0] == 200, name)

    def do_stop(self, words):
        """stop NAME...: SIGTERM; the exit status is kept."""
        for name in words:
            self.system.processes[name].signal(signal.SIGTERM)

    def do_stopped(self, words):
        """stopped NAME...: until each has ended, with status 0."""
        for name in words:
            status = self.system.processes[name].wait(60)
            if status != 0:
                raise ScenarioError(f"{name} ended with status {status}")

    def do_ended(self, words):
        """ended NAME STATUS: until it has ended, with this status."""
        status = self.system.processes[words[0]].wait(60)
        if status != int(words[1]):
            raise ScenarioError(f"{words[0]} ended with status {status}")

    def do_cut(self, words):
        for name in words:
            self.relays[name].cut()

    def do_heal(self, words):
        for name in words:
            self.relays[name].heal()

    def do_fault(self, words):
        """fault NAME key=value...: tells a stand-in to misbehave."""
        body = {}
        for key, value in options(words[1:]).items():
            if value is True or value == "yes":
                body[key] = True
            elif value == "no":
                body[key] = False
            elif value.lstrip("-").isdigit():
                body[key] = int(value)
            else:
                body[key] = value
        name = "kv.direct" if words[0] == "kv" and (
            "kv.direct" in self.system.ports) else words[0]
        dep.call(self.port(name), "POST", "/fault", body)

    def do_drain(self, words):
        for name in words:
            dep.call(self.port(name), "POST", "/drain", {})

    def do_save(self, words):
        del words
        dep.call(self.port("kv"), "POST", "/save", {})

    def do_restore(self, words):
        del words
        dep.call(self.port("kv"), "POST", "/restore", {})

    def do_hosts(self, words):
        """hosts leaving IP...: what the host list says."""
        hosts = [{"address": ip, "state": "leaving"} for ip in words[1:]]
        dep.call(self.port("kv"), "POST", "/hosts", {"hosts": hosts})

    def do_set(self, words):
        """set KIND/NAME column=value...: one accepted change."""
        self.system.ctl("table", "set", *words)

    def do_refuse(self, words):
        """refuse set ...: a change that must be refused."""
        status, text = self.system.ctl("table", *words, check=False)
        if status != 1:
            raise ScenarioError(f"was not refused: {status} {text}")

    def do_race(self, words):
        """race N KIND/NAME column: N operators change one cell at once, each
        from the same revision."""
        seen = str(self.revision())
        results = []

        def edit(i):
            results.append(self.system.ctl(
                "table", "set", words[1], f"{words[2]}={i}", "--seen", seen,
                "--author", f"operator{i}", check=False))

        threads = [threading.Thread(target=edit, args=(i,))
                   for i in range(1, int(words[0]) + 1)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        self.editors = results

    def do_spread(self, words):
        """spread N KIND/NAME* column: N operators change N different rows."""
        results = []

        def edit(i):
            results.append(self.system.ctl(
                "table", "set", words[1].replace("%", str(i)),
                f"{words[2]}={i}", check=False))

        threads = [threading.Thread(target=edit, args=(i,))
                   for i in range(1, int(words[0]) + 1)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        self.editors = results

    def revision(self):
        text = self.system.ctl("table", "show")[1]
        return int(text.rsplit("revision ", 1)[1])

    def do_mark(self, words):
        """mark NAME: remembers the requests that each engine has run."""
        self.marks[words[0]] = {
            name: dep.get_json(self.port(name), "/counts")["requests"]
            for name in self.engines
            if self.system.processes[name].is_running()}
        self.marks[words[0] + ".time"] = time.monotonic()

    def do_until(self, words):
        """until WHAT ... [within T]: waits for an event."""
        limit = LIMIT
        if "within" in words:
            at = words.index("within")
            limit, words = duration(words[at + 1]), words[:at]
        started = time.monotonic()
        dep.wait_until(lambda: self.holds(words), " ".join(words), limit)
        self.measured[" ".join(words)] = time.monotonic() - started

    def holder(self, names):
        for name in names:
            process = self.system.processes[name]
            if not process.is_running() or name in self.stopped:
                continue
            try:
                if self.is_holds_lease([name]):
                    return name
            except OSError:
                continue
        return None

    def do_freeze_holder(self, words):
        """freeze-holder C1 C2: freezes the controller with the lease."""
        name = self.holder(words)
        self.do_freeze([name])
        self.stopped[name] = True

    def do_kill_holder(self, words):
        self.do_kill([self.holder(words)])

    def do_thaw_frozen(self, words):
        del words
        for name in list(self.stopped):
            self.do_thaw([name])
            del self.stopped[name]

    def do_freeze_busy(self, words):
        """freeze-busy: freezes the engine that runs a request."""
        del words
        for name in self.engines:
            if dep.get_json(self.port(name), "/load")["in_flight"] > 0:
                self.do_freeze([name])
                self.stopped[name] = True
                return
        raise ScenarioError("no engine is busy")

    def do_leave_after(self, words):
        """leave-after N via GATEWAY MODEL options: a caller that reads N
        events of its stream and closes the connection."""
        given = options(words[4:])
        body = json.dumps({
            "model": words[3], "stream": True,
            "max_tokens": int(given.get("tokens", 16)),
            "messages": [{"role": "user", "content": "leaving"}]})
        link = socket.create_connection(("127.0.0.1", self.port(words[2])))
        link.sendall((f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        seen = b""
        while seen.count(b"data: ") < int(words[0]):
            seen += link.recv(4096)
        if int(words[0]) == 0:
            dep.wait_until(lambda: self.is_begun(["1"]), "the request to begin")
        link.close()

    # -- expecting --------------------------------------------------------

    def is_begun(self, words):
        """begun N: so many requests are with the engines now."""
        return sum(dep.get_json(self.port(name), "/load")["in_flight"]
                   for name in self.engines) >= int(words[0])

    def is_streaming(self, words):
        """streaming NAME...: each of these callers has had an event."""
        return all(self.requests[name].streaming for name in words)

    def is_claimed_or_running(self, words):
        """claimed-or-running N: so many claims have been written."""
        del words
        text = ""
        for name in self.system.ports:
            if name.endswith(".admin"):
                text += dep.call(self.port(name), "GET", "/metrics")[2]
        return "valeledge_claim_writes_total" in text

    def is_cancelled_anywhere(self, words):
        return sum(dep.get_json(self.port(name), "/counts")["cancelled"]
                   for name in self.engines) >= int(words[0])

    def is_somewhere(self, words):
        """somewhere ARTIFACT: an engine that runs has it loaded."""
        return any(self.is_loaded([name, words[0]]) for name in self.engines
                   if self.system.processes[name].is_running())

    def is_some_lease(self, words):
        return self.holder(words) is not None

    def is_other_lease(self, words):
        """other-lease C1 C2: one that is not frozen holds the lease."""
        return self.holder([name for name in words
                            if name not in self.stopped]) is not None

    def is_one_lease(self, words):
        """one-lease C1 C2: exactly one says that it holds the lease."""
        return sum(bool(self.is_holds_lease([name])) for name in words) == 1

    def is_holds(self, words):
        """holds GATEWAY MODEL tokens=N: it holds such a request back."""
        given = options(words[2:])
        status, _, body = dep.chat(self.port(words[0]), words[1],
                                   "Draft the roster",
                                   max_tokens=int(given["tokens"]))
        return status == 503 and json.loads(body)["error"]["code"] == 2010

    def is_ready_everywhere(self, words):
        """ready-everywhere E...: a scheduler that answers has them up."""
        for name in words:
            found = False
            for admin in self.system.ports:
                if not admin.endswith(".admin"):
                    continue
                if not self.system.processes[admin[:-6]].is_running():
                    continue
                status = dep.get_json(self.port(admin), "/status")
                for cell in status.get("cells", []):
                    for server in cell["servers"]:
                        found |= (cell["owned"] and server["server"] == name
                                  and not server["down"])
            if not found:
                return False
        return True

    def is_idle_for(self, words):
        """idle-for E T: the engine began no request for T, while requests
        are sent all the time."""
        name, span = words[0], duration(words[1])
        before = dep.get_json(self.port(name), "/counts")["requests"]
        end = time.monotonic() + span
        while time.monotonic() < end:
            dep.chat(self.port("g1"), self.rows_model(), max_tokens=1)
        return dep.get_json(self.port(name), "/counts")["requests"] == before

    def rows_model(self):
        """The first model of the table."""
        return next(row["name"] for row in self.rows if row["kind"] == "model")

    def is_in_force_known(self, words):
        """in-force-known T: all running processes have the newest revision
        that any of them has, and that does not go down."""
        del words
        revisions = [
            dep.get_json(self.port(name), "/status")["table_revision"]
            for name in self.system.ports if name.endswith(".admin")
            and self.system.processes[name[:-6]].is_running()]
        highest = max(revisions)
        good = (min(revisions) == highest and
                highest >= self.marks.get("revision", 0))
        self.marks["revision"] = max(highest, self.marks.get("revision", 0))
        return good

    def is_alarm(self, words):
        """alarm: a watcher has counted a revision that ran backwards."""
        del words
        return any(self.is_counter([name[:-6], "valeledge_refusals_total",
                                    "RevisionBackwards", "1"])
                   for name in self.system.ports if name.endswith(".admin")
                   and self.system.processes[name[:-6]].is_running())

    def is_no_lease(self, words):
        """no-lease C1 C2: none of them says that it holds the lease."""
        return not any(self.is_holds_lease([name]) for name in words)

    def do_expect(self, words):
        if not self.holds(words):
            raise ScenarioError("not so: " + " ".join(words) + "\n" +
                                self.explain())

    def explain(self):
        lines = []
        for name, request in self.requests.items():
            if request.outcome() != "completed":
                lines.append(f"  {name}: {request.outcome()} "
                             f"{request.status} {request.code()} "
                             f"{request.error} {request.body[-200:]!r}")
        return "\n".join(lines)

    def holds(self, words):
        handler = getattr(self, "is_" + words[0].replace("-", "_"), None)
        if handler is None:
            raise ScenarioError(f"unknown condition: {words[0]}")
        return handler(words[1:])

    def is_outcome(self, words):
        """outcome NAME A|B: how the request ended for its caller."""
        return all(self.requests[name].outcome() in words[1].split("|")
                   for name in self.matching(words[:1]))

    def is_code(self, words):
        return self.requests[words[0]].code() in words[1].split("|")

    def is_refused_some(self, words):
        """refused-some PREFIX CODE: at least one, as not run with this code
        and a time to come back; the others completed."""
        names = self.matching([words[0] + "*"])
        refused = [name for name in names
                   if self.requests[name].outcome() == "not_run"]
        return bool(refused) and all(
            self.requests[name].code() == words[1] and
            self.is_retry_after([name]) for name in refused) and all(
            self.requests[name].outcome() == "completed"
            for name in names if name not in refused)

    def is_retry_after(self, words):
        """retry-after NAME: the answer says when to come back."""
        return int(self.requests[words[0]].headers.get("Retry-After", 0)) > 0

    def is_faster(self, words):
        """faster NAME T: the answer came within T."""
        return all(self.requests[name].took < duration(words[1])
                   for name in self.matching(words[:1]))

    def is_same_text(self, words):
        """same-text A B: two whole answers are equal byte for byte."""
        return (self.requests[words[0]].text() ==
                self.requests[words[1]].text())

    def is_same_body(self, words):
        return self.requests[words[0]].body == self.requests[words[1]].body

    def is_runs(self, words):
        """runs SERVICE KEY N: runs under a key, on all desks that run."""
        total = 0
        for name in self.services:
            if self.system.processes[name].is_running():
                total += dep.get_json(self.port(name), "/runs")["runs"].get(
                    words[0], 0)
        return total == int(words[1])

    def is_answers(self, words):
        """answers GATEWAY SERVICE: a call under a new key completes."""
        key = {"Idempotency-Key": f"probe-{time.monotonic_ns()}"}
        return dep.call(self.port(words[0]), "POST",
                        f"/services/{words[1]}/book", {}, key)[0] == 200

    def is_runs_some(self, words):
        """runs-some PREFIX N: so many keys of the prefix have run."""
        keys = set()
        for name in self.services:
            keys |= {key for key in dep.get_json(
                self.port(name), "/runs")["runs"] if key.startswith(words[0])}
        return len(keys) >= int(words[1])

    def is_at_most_once(self, words):
        """at-most-once PREFIX: no key of the prefix ran twice; those told
        completed ran, those told not_run did not."""
        runs = {}
        for name in self.services:
            if not self.system.processes[name].is_running():
                continue
            for key, count in dep.get_json(self.port(name),
                                           "/runs")["runs"].items():
                runs[key] = runs.get(key, 0) + count
        outcomes = {}
        for request in self.requests.values():
            key = request.given.get("key", "")
            if key.startswith(words[0]):
                outcomes.setdefault(key, set()).add(request.outcome())
        for key, told in outcomes.items():
            count = runs.get(key, 0)
            if count > 1 or ("completed" in told and count != 1):
                print(f"  {key}: ran {count} times, told {told}")
                return False
            if told == {"not_run"} and count != 0:  # every one was told so
                print(f"  {key}: ran {count} times, told {told}")
                return False
        return True

    def is_not_run_true(self, words):
        """not-run-true PREFIX: what was told not_run never reached an engine
        as a whole request (engines count each request they begin)."""
        told = sum(1 for name in self.matching([words[0] + "*"])
                   if self.requests[name].outcome() != "not_run")
        begun = sum(dep.get_json(self.port(name), "/counts")["requests"]
                    for name in self.engines
                    if self.system.processes[name].is_running())
        return begun <= told + int(words[1])

    def is_no_overcommit(self, words):
        del words
        for name in self.engines:
            if not self.system.processes[name].is_running():
                continue
            counts = dep.get_json(self.port(name), "/counts")
            if counts["overcommits"] != 0:
                print(f"  {name}: {counts}")
                return False
        return True

    def is_loaded(self, words):
        """loaded ENGINE ARTIFACT"""
        return words[1] in dep.get_json(self.port(words[0]), "/load")["loaded"]

    def is_unloaded(self, words):
        return not self.is_loaded(words)

    def is_idle_since(self, words):
        """idle-since MARK ENGINE: it has begun no request since."""
        counts = dep.get_json(self.port(words[1]), "/counts")
        return counts["requests"] == self.marks[words[0]][words[1]]

    def is_in_force(self, words):
        """in-force REVISION|newest [PROCESS...]"""
        revision = (self.revision() if words[0] == "newest"
                    else int(words[0]))
        names = words[1:] or [name[:-6] for name in self.system.ports
                              if name.endswith(".admin")]
        return all(
            dep.get_json(self.port(name + ".admin"),
                         "/status")["table_revision"] >= revision
            for name in names
            if self.system.processes[name].is_running())

    def is_revision(self, words):
        """revision PROCESS N"""
        return dep.get_json(self.port(words[0] + ".admin"),
                            "/status")["table_revision"] == int(words[1])

    def is_accepted(self, words):
        """accepted N: so many of the last racing edits were accepted, and
        every other was told both values."""
        good = [text for status, text in self.editors if status == 0]
        bad = [text for status, text in self.editors if status != 0]
        told = all("there:" in text and "wanted:" in text for text in bad)
        if len(good) != int(words[0]) or not told:
            print("  accepted", len(good), bad[:2])
        return len(good) == int(words[0]) and told

    def is_holds_lease(self, words):
        return dep.get_json(self.port(words[0] + ".admin"),
                            "/status")["holds_lease"]

    def is_unsettled(self, words):
        """unsettled CONTROLLER SERVER N: orders without a known end."""
        status = dep.get_json(self.port(words[0] + ".admin"), "/status")
        return any(each["server"] == words[1] and
                   each["unsettled"] == int(words[2])
                   for each in status["reservations"])

    def is_member(self, words):
        """member PROCESS OTHER leaving|dead|alive"""
        status = dep.get_json(self.port(words[0] + ".admin"), "/status")
        for each in status["members"]:
            if each["id"] == words[1]:
                return (each["leaving"] if words[2] == "leaving"
                        else each["health"] == words[2])
        return words[2] == "dead"

    def is_counter(self, words):
        """counter PROCESS NAME REASON AT-LEAST"""
        text = dep.call(self.port(words[0] + ".admin"), "GET", "/metrics")[2]
        line = f'{words[1]}{{reason="{words[2]}"}} '
        for each in text.split("\n"):
            if each.startswith(line):
                return int(each[len(line):]) >= int(words[3])
        return int(words[3]) == 0

    def is_kv_peak(self, words):
        """kv-peak below N: most calls in one second."""
        peak = dep.get_json(self.port("kv.direct" if "kv.direct" in
                                      self.system.ports else "kv"),
                            "/calls")["peak_per_second"]
        return peak < int(words[1])

    def is_cancelled(self, words):
        """cancelled ENGINE N: requests that the engine saw go away."""
        counts = dep.get_json(self.port(words[0]), "/counts")
        return counts["cancelled"] >= int(words[1])


def statements(path):
    """Each statement of a script with its place; include FILE is replaced."""
    with open(path, encoding="utf-8") as script:
        for number, line in enumerate(script, 1):
            words = shlex.split(line, comments=True)
            if words and words[0] == "include":
                yield from statements(
                    os.path.join(os.path.dirname(path), words[1]))
            elif words:
                yield number, line, words


def run(path):
    """Runs a script; the measured times. Raises when it fails."""
    world = World()
    number, line = 0, ""
    try:
        for number, line, words in statements(path):
            handler = getattr(world, "do_" + words[0].replace("-", "_"), None)
            if handler is None:
                raise ScenarioError(f"unknown statement: {words[0]}")
            handler(words[1:])
        return world.measured
    except Exception as failed:
        raise ScenarioError(
            f"{path}:{number}: {line.strip()}\n{failed}\n"
            f"{world.explain()}\nlogs: {world.system.dir}") from failed
    finally:
        world.end()


def main():
    failed = False
    for path in sys.argv[1:]:
        started = time.monotonic()
        name = os.path.basename(path)
        try:
            measured = run(path)
        except ScenarioError as reason:
            print(f"FAILED {name}\n{reason}")
            failed = True
            continue
        print(f"passed {name} in {time.monotonic() - started:.1f} s")
        for what, took in measured.items():
            print(f"  {what}: {took:.2f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
