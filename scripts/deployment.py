# SPDX-License-Identifier: MIT
"""Starts the system's programs and stand-ins on free loopback ports.

Used by the demo, the scenarios and the measurements. Ends only processes that
it started itself.
"""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEFAULT_BIN = os.path.join(ROOT, "build", "release", "bin")


# Below the range from which the kernel takes ports for outgoing connections,
# so that none of those takes a port between its choice and its use.
PORTS = range(12000, 32000)
TAKEN = set()


def free_port():
    """A port that is free for TCP and UDP now, and not given out before."""
    while True:
        port = random.choice(PORTS)
        if port in TAKEN:
            continue
        TAKEN.add(port)
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                tcp.bind(("0.0.0.0", port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind(("0.0.0.0", port))
            return port
        except OSError:
            continue


def call(port, method, path, body=None, headers=None, timeout=20,
         on_part=None):
    """One HTTP call; (status, headers, body text). `on_part` gets the body as
    it comes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        if on_part is None:
            text = answer.read().decode()
            return answer.status, dict(answer.getheaders()), text
        parts = []
        while part := answer.read1():
            parts.append(part)
            on_part(part)
        return (answer.status, dict(answer.getheaders()),
                b"".join(parts).decode())
    finally:
        connection.close()


def get_json(port, path):
    return json.loads(call(port, "GET", path)[2])


def read_metrics(port):
    """What /metrics says, as numbers by name with label."""
    out = {}
    for line in call(port, "GET", "/metrics")[2].split("\n"):
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            out[name] = float(value)
    return out


def wait_until(condition, what, limit=30.0):
    """Waits for an event, looking often; raises after the bound."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            if condition():
                return time.monotonic()
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.01)
    raise TimeoutError(f"waited {limit:g} s for: {what}")


class Process:
    """One started program."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.command = command
        self.child = subprocess.Popen(command, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, limit=30.0):
        return self.child.wait(timeout=limit)

    def is_running(self):
        return self.child.poll() is None

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_kb(self):
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0


class Deployment:
    """A set of processes that know each other."""

    def __init__(self, bin_dir=None, keep=False):
        self.bin = bin_dir or os.environ.get("VALELEDGE_BIN", DEFAULT_BIN)
        self.dir = tempfile.mkdtemp(prefix="valeledge-")
        self.processes = {}
        self.ports = {}
        self.settings = {}
        self.seeds = []
        self.keep = keep

    # -- starting ---------------------------------------------------------

    def start(self, name, command):
        self.processes[name] = Process(
            name, command, os.path.join(self.dir, name + ".log"))
        return self.processes[name]

    def start_kv(self, name="kv"):
        port = self.ports.setdefault(name, free_port())
        self.start(name, [os.path.join(self.bin, "valeledge-standin-kv"),
                          "--listen", f"127.0.0.1:{port}"])
        wait_until(lambda: call(port, "GET", "/calls")[0] == 200, name)
        return port

    def start_engine(self, name, listen_on="127.0.0.1", **options):
        port = self.ports.setdefault(name, free_port())
        command = [os.path.join(self.bin, "valeledge-standin-engine"),
                   "--listen", f"{listen_on}:{port}"]
        for key, value in options.items():
            flag = "--" + key.replace("_", "-")
            if value is True:
                command.append(flag)
            elif value is not False:
                command += [flag, str(value)]
        self.settings[name] = command
        self.start(name, command)
        wait_until(lambda: call(port, "GET", "/counts")[0] == 200, name)
        return port

    def start_service(self, name):
        port = self.ports.setdefault(name, free_port())
        command = [os.path.join(self.bin, "valeledge-standin-service"),
                   "--listen", f"127.0.0.1:{port}"]
        self.settings[name] = command
        self.start(name, command)
        wait_until(lambda: call(port, "GET", "/healthz")[0] in (200, 503), name)
        return port

    def start_daemon(self, program, name, zone="a", extra="", kv_port=None,
                     gossip=None, wait=True):
        """Starts a gateway, scheduler or controller."""
        peer = self.ports.setdefault(name + ".peer", free_port())
        admin = self.ports.setdefault(name + ".admin", free_port())
        seeds = [f'"127.0.0.1:{port}"' for port in self.seeds if port != peer]
        lines = [
            "[node]", f'id = "{name}"', f'zone = "{zone}"',
            f'peer_listen = "127.0.0.1:{peer}"',
            f'admin_listen = "127.0.0.1:{admin}"',
            f"seeds = [{', '.join(seeds)}]",
            "[platform]",
            f'key_value = "127.0.0.1:{kv_port or self.ports["kv"]}"',
            f'host_list = "127.0.0.1:{kv_port or self.ports["kv"]}"',
            'host_list_interval = "200ms"',
        ]
        if gossip:
            lines.append("[gossip]")
            lines += [f"{key} = {value}" for key, value in gossip.items()]
        if program == "gateway":
            caller = self.ports.setdefault(name, free_port())
            lines += ["[callers]", f'caller_listen = "127.0.0.1:{caller}"']
        if extra:
            lines.append(extra)
        path = os.path.join(self.dir, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        if len(self.seeds) < 4 and peer not in self.seeds:
            self.seeds.append(peer)
        command = [os.path.join(self.bin, "valeledge-" + program),
                   "--config", path]
        self.settings[name] = command
        self.start(name, command)
        if wait:
            wait_until(lambda: call(admin, "GET", "/healthz")[0] == 200, name)
        return self.processes[name]

    def restart(self, name):
        """Starts a process again with the same settings and ports."""
        return self.start(name, self.settings[name])

    def wait_ready(self, name, limit=30.0):
        admin = self.ports[name + ".admin"]
        return wait_until(
            lambda: call(admin, "GET", "/readyz")[0] == 200,
            f"{name} to be ready", limit)

    # -- the table --------------------------------------------------------

    def ctl(self, *words, check=True):
        """Runs valeledgectl; (exit status, output)."""
        command = [os.path.join(self.bin, "valeledgectl"), *words,
                   "--platform", f"127.0.0.1:{self.ports['kv']}"]
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=60, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(words)}: {done.stderr}")
        return done.returncode, done.stdout + done.stderr

    def import_table(self, rows):
        """Imports rows given as dictionaries of columns."""
        columns = ["kind", "name"]
        for row in rows:
            columns += [key for key in row if key not in columns]
        lines = [",".join(columns)]
        for row in rows:
            lines.append(",".join(str(row.get(key, "")) for key in columns))
        path = os.path.join(self.dir, "table.csv")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return self.ctl("table", "import", path)

    # -- ending -----------------------------------------------------------

    def stop_all(self, limit=30.0):
        """SIGTERM to all, entry processes first; the exit statuses."""
        statuses = {}
        order = sorted(self.processes, key=lambda name: (
            "standin" in self.processes[name].command[0], name))
        for name in order:
            self.processes[name].signal(signal.SIGCONT)
            self.processes[name].signal(signal.SIGTERM)
        for name in order:
            try:
                statuses[name] = self.processes[name].wait(limit)
            except subprocess.TimeoutExpired:
                self.processes[name].signal(signal.SIGKILL)
                statuses[name] = "killed"
        return statuses

    def kill_all(self):
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                pass


def run_load(system, plan, limit=180):
    """Runs the load tool on a plan; its figures."""
    done = subprocess.run([os.path.join(system.bin, "valeledge-load"), plan],
                          capture_output=True, text=True, check=True,
                          timeout=limit)
    return json.loads(done.stdout)


def chat(port, model, text="Draft the spring season roster", stream=False,
         max_tokens=16, headers=None, timeout=30, on_part=None):
    """One completion; (status, headers, body)."""
    body = {"model": model, "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}]}
    return call(port, "POST", "/v1/chat/completions", body,
                {"Content-Type": "application/json", **(headers or {})},
                timeout, on_part)


def text_of_stream(body):
    """(text, whole): whole only if the end marker came."""
    text, whole = "", False
    for line in body.split("\n"):
        if line == "data: [DONE]":
            whole = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            for choice in event.get("choices", []):
                text += choice["delta"].get("content", "")
    return text, whole
