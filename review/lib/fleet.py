# SPDX-License-Identifier: MIT
"""The project's own hosts as separate processes, started as deploy/system.toml
says, each at a loopback address of its own."""
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of a small deployment.
CONTACT_S, DRAIN_S, GRACE_S, LEASE_S = 3.0, 2.0, 8, 3.0


def command():
    """The program and its arguments from the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()


def _is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def choose_ports(addresses):
    """Four ports that are free at all addresses: callers, readiness, other
    hosts, and the first of those for the hosts' own use."""
    rng = random.Random(os.getpid())
    while True:
        first = rng.randrange(12000, 31000)
        ports = list(range(first, first + 4))
        if all(_is_free(address, port)
               for address in addresses for port in ports):
            return ports


class Host:
    """One machine and its process."""

    def __init__(self, name, zone, address, ports, store_port, folder):
        self.name, self.zone, self.address = name, zone, address
        self.front, self.ready, self.control, self.own = ports
        self.store_port = store_port
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process = None
        # End of the last disruption of this machine.
        self.disturbed_at = time.monotonic()

    def write_settings(self, hosts, first, extra=""):
        seeds = ",".join(f'"{host.address}:{host.control}"'
                         for host in hosts[:3])
        zones = "\n".join(sorted({f'{host.zone} = "piedmont"'
                                  for host in hosts}))
        self.settings.write_text(f"""NodeName = "{self.name}"
Role = "host"
MachineClass = "front"
Serves = ["front","control"]
Ip = "{self.address}"
Zone = "{self.zone}"
Region = "piedmont"
PortRange = [{self.own},{self.own}]
Seeds = [{seeds}]
Bootstrap = {"true" if first else "false"}
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[Zones]
{zones}
[Listen]
Front = "{self.address}:{self.front}"
Ready = "{self.address}:{self.ready}"
Control = "{self.address}:{self.control}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
StretchMaxMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 58
RecoverS = 12
PassMs = 120
RetryAfterS = 0
RequireFence = true
LeaseMs = 3000
ThawGraceMs = 300
CeilingWindowS = 5
CeilingOver = 1.1
{extra}[Platform]
Address = "127.0.0.1:{self.store_port}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
""")

    def start(self):
        environment = {"VALELEDGE_NODE_FILE": str(self.settings)}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command(), cwd=ROOT, stdout=log,
                                            stderr=log, env=environment)
        self.disturbed_at = time.monotonic()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
        self.disturbed_at = time.monotonic()

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.disturbed_at = time.monotonic()

    def in_touch_from(self):
        """When this machine is in touch if nothing else is done to it."""
        return self.disturbed_at + CONTACT_S


class Fleet:
    def __init__(self, zones, store, folder):
        """`zones`: the zone of each machine."""
        self.store, self.folder = store, folder
        self.hosts = []
        self.addresses = [f"127.0.1.{at + 1}" for at in range(len(zones))]
        self.zones = zones

    async def prepare(self):
        ports = choose_ports(self.addresses)
        for at, zone in enumerate(self.zones):
            name = f"front-{zone}-{at + 1}"
            await self.store.listen(name, "127.0.0.1")
            self.hosts.append(Host(name, zone, self.addresses[at], ports,
                                   self.store.ports[name], self.folder))

    def start(self, extra=""):
        for host in self.hosts:
            host.write_settings(self.hosts, True, extra)
            host.start()

    def restart(self, host, extra=""):
        host.write_settings(self.hosts, False, extra)
        host.start()

    def end(self):
        for host in self.hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
