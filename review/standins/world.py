"""A small deployment for the review's scripts.

Starts `carobhinge control` and `carobhinge entry` as separate processes on
loopback addresses, with settings as deploy/settings.json renders them for a
small site, and stands in for the platform: its operator, the servers of a plain
service, and clients. Everything that is sent, answered and run goes into
record.txt of the case.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "carobhinge")
ZONES = ["tanta-a", "mansoura-b", "zagazig-c"]
SERVICE = "ledger-app"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

FRONT, READY, CONTROL, PEER, METRICS = 8227, 8220, 8229, 7340, 7355

# The bounds of the site halib-pay.
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "revocation_ms": 5000,
          "repeat_ratio": 0.2, "repeat_slack": 136, "repeat_window_s": 10}
CONTACT_S = 3.0
DRAIN_S = 2.0
CATCH_UP_S = 4.0
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        line = "%8.3f  %s" % (self.now(), text)
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length, in chunks, or to its end.
    Returns (first line, headers, body, whether it is complete)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a connection of its own. Returns (status, headers, body);
    status 0 if there was no whole answer."""
    ip, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": "%s:%d" % (ip, port), "Connection": "close"}
            fields.update(headers or {})
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = str(len(body))
            text = "%s %s HTTP/1.1\r\n" % (method, path)
            text += "".join("%s: %s\r\n" % each for each in fields.items())
            writer.write(text.encode() + b"\r\n" + body)
            await writer.drain()
            first, answer, data = await read_message(reader)
            return int(first.split()[1]), answer, data
    except (OSError, EOFError, asyncio.TimeoutError, ValueError, IndexError,
            asyncio.LimitOverrunError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine of the system and its process."""

    def __init__(self, world, name, role, ip, zone):
        self.world, self.name, self.role = world, name, role
        self.ip, self.zone = ip, zone
        self.process = None
        self.starts = 0
        self.data = os.path.join(world.folder, name + "-data")

    def settings(self, first_start):
        seeds = ["%s:%d" % (each.ip, CONTROL) for each in self.world.seeds]
        result = {
            "host": self.name, "ip": self.ip, "failure_domain": self.zone,
            "failure_domains": ZONES, "peer_port": PEER,
            "metrics_port": METRICS, "seeds": seeds,
            "first_start": first_start,
            "report_interval_ms": int(HEARTBEAT_S * 1000),
            "faults_borne": {"hosts": 1, "failure_domains": 1},
            "bounds": BOUNDS}
        if self.role == "entry":
            result["caller_address"] = "%s:%d" % (self.ip, FRONT)
            result["readiness_address"] = "%s:%d" % (self.ip, READY)
        else:
            result["control_address"] = "%s:%d" % (self.ip, CONTROL)
            result["data_folder"] = self.data
        return result

    def start(self, first_start=False):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(first_start), file)
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", ""),
                       "CAROBHINGE_CONFIG": path}
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen([PROGRAM, self.role], cwd=ROOT,
                                        env=environment, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.world.record.write("start %s (%s)" % (self.name, self.ip))

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.runs():
            self.process.send_signal(number)
            self.world.record.write("%s to %s" % (
                signal.Signals(number).name, self.name))

    async def ended(self, timeout=10.0):
        end = time.monotonic() + timeout
        while self.runs() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.runs():
            raise CannotRun("%s did not end" % self.name)
        self.world.record.write("%s has ended" % self.name)

    async def lose_power(self):
        """The process ends at once."""
        self.signal(signal.SIGKILL)
        await self.ended()

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.world.record.write("the disk of %s is lost" % self.name)


class Server:
    """A server of the plain service: sends heartbeats and runs requests."""

    def __init__(self, world, name, ip, port, zone):
        self.world, self.name, self.zone = world, name, zone
        self.ip, self.port = ip, port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reporting = True
        self.left_at = None
        self.listener = None
        self.tasks = []
        self.work_s = 0.02
        self.runs = []
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip,
                                                   self.port)
        self.tasks.append(asyncio.create_task(self.beat_loop()))

    async def stop(self):
        self.reporting = False
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            writer.close()

    async def restart(self):
        """A new life under the same id, at the same address."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reporting = True
        await self.start()

    def report(self):
        self.sequence += 1
        return {"service": SERVICE, "addr": "%s:%d" % (self.ip, self.port),
                "zone": self.zone, "version": "v1", "slots": 6,
                "state": "ready", "cold_left_ms": 0, "born": self.born,
                "seq": self.sequence}

    def report_state(self):
        return {"busy": False, "seq": 0, "queued": 0, "active": 0,
                "born": self.born}

    async def beat(self):
        body = json.dumps(self.report()).encode()
        nodes = self.world.control_addresses()
        first = random.randrange(len(nodes))
        for i in range(len(nodes)):
            status, _, _ = await call(
                nodes[(first + i) % len(nodes)], "PUT",
                "/instances/" + self.name,
                {"Content-Type": "application/json"}, body)
            if 200 <= status < 300:
                return True
        return False

    async def beat_loop(self):
        while self.reporting:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def leave(self, first):
        """Sends DELETE until a node acknowledges it, from `first` on. Returns
        the machine that did."""
        self.reporting = False
        nodes = [first] + [m for m in self.world.controls if m is not first]
        for _ in range(10):
            for node in nodes:
                status, _, _ = await call((node.ip, CONTROL), "DELETE",
                                          "/instances/" + self.name)
                self.world.record.write("server %s: DELETE /instances/%s to %s: %d"
                                        % (self.name, self.name, node.name,
                                           status))
                if 200 <= status < 300:
                    self.left_at = self.world.record.now()
                    return node
            await asyncio.sleep(0.2)
        raise CannotRun("no node acknowledged that the server leaves")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.answer(writer, first, headers, body)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, first, headers, body):
        method, path, _ = first.split()
        attempt = headers.get("x-carobhinge-attempt-id", "")
        if path == "/healthz":
            writer.write(("HTTP/1.1 200 OK\r\nX-Carobhinge-Instance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n" % self.name).encode())
            return
        if path == "/report":
            data = json.dumps(self.report_state()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
            return
        if headers.get("x-carobhinge-expect-instance", self.name) != self.name:
            self.world.record.write("server %s: %s rejected with 421"
                                    % (self.name, attempt))
            writer.write(("HTTP/1.1 421 Misdirected Request\r\n"
                          "X-Carobhinge-Attempt-Id: %s\r\n"
                          "X-Carobhinge-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n" % attempt).encode())
            return
        self.runs.append((self.world.record.now(), attempt))
        self.world.record.write("server %s: runs %s %s %s" % (
            self.name, attempt, method, path))
        await asyncio.sleep(self.work_s)
        data = ("%s by %s" % (attempt, self.name)).encode()
        writer.write(("HTTP/1.1 200 OK\r\nX-Carobhinge-Attempt-Id: %s\r\n"
                      "X-Carobhinge-Server-Stamp: %s\r\n"
                      "Content-Length: %d\r\n\r\n"
                      % (attempt, self.name, len(data))).encode() + data)
        await writer.drain()


class World:
    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="carobhinge-review-")
        self.network = self.free_network()
        self.controls, self.entries, self.servers = [], [], []
        self.seeds = []
        self.sent = {}
        self.number = 0
        self.timeout_ms = 800

    @staticmethod
    def free_network():
        """The first three parts of addresses whose ports are free."""
        for _ in range(100):
            network = "127.%d.%d" % (random.randrange(1, 250),
                                     random.randrange(1, 250))
            try:
                for last in (11, 12, 13, 14, 31, 32, 33):
                    for port in (FRONT, READY, CONTROL, PEER, METRICS):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (network, last), port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add_control(self, number):
        machine = Machine(self, "core-%d" % number, "control",
                          "%s.%d" % (self.network, 10 + number),
                          ZONES[(number - 1) % 3])
        self.controls.append(machine)
        return machine

    def control_addresses(self):
        """The operator's and the servers' list: the machines that run."""
        return [(each.ip, CONTROL) for each in self.controls if each.runs()] \
            or [(self.controls[0].ip, CONTROL)]

    def config(self, version):
        def route(name, prefix, kind, attempts):
            return {"name": name, "host": HOST, "path_prefix": prefix,
                    "route_kind": kind, "timeout_ms": self.timeout_ms,
                    "goal_ms": 300,
                    "priority": 2, "service": SERVICE,
                    "max_attempts": attempts, "public": False, "sticky": False,
                    "resumable": False}
        return {"version": version,
                "routes": [route("r-post", "/puxa403/", "non_idempotent", 1),
                           route("r-get", "/lohu930/", "idempotent", 2),
                           route("r-v%d" % version, "/v%d/" % version,
                                 "idempotent", 2)],
                "services": [{"name": SERVICE, "health_path": "/healthz",
                              "max_conns": 110, "protocol": "h1", "tls": False,
                              "cold_start_s": 0.0, "cold_per_s": 0.0}],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": TENANT, "api_keys": [KEY],
                             "priority": 1}]}

    async def operate(self, method, path, body=b"", node=None):
        """One call of the operator. Follows a 307 twice. Returns (status, body,
        machine that answered)."""
        addresses = self.control_addresses()
        address = (node.ip, CONTROL) if node else random.choice(addresses)
        for _ in range(3):
            status, headers, data = await call(
                address, method, path, {"Content-Type": "application/json"},
                body)
            if status != 307:
                break
            place = headers["location"].split("//", 1)[1].split("/", 1)[0]
            address = (place.rsplit(":", 1)[0], int(place.rsplit(":", 1)[1]))
        machine = next((m for m in self.controls if m.ip == address[0]), None)
        return status, data, machine

    async def put_config(self, version, timeout=15.0):
        """Sends a configuration until it is acknowledged. Returns the machine
        that did, or None."""
        body = json.dumps(self.config(version)).encode()
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, machine = await self.operate("PUT", "/config", body)
            self.record.write("operator: PUT /config version %d: %d%s" % (
                version, status, " from " + machine.name if machine else ""))
            if status == 200:
                return machine
            await asyncio.sleep(0.2)
        return None

    async def read_version(self):
        """The version that a read of the configuration returns, or None."""
        status, data, machine = await self.operate("GET", "/config")
        version = json.loads(data)["version"] if status == 200 else None
        self.record.write("operator: GET /config: %d%s%s" % (
            status, " version %s" % version if version else "",
            " from " + machine.name if machine else ""))
        return version

    async def leader(self, timeout=10.0):
        """The machine that answers reads of the configuration itself."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for each in self.controls:
                if not each.runs():
                    continue
                status, _, _ = await call((each.ip, CONTROL), "GET", "/config")
                if status == 200:
                    return each
            await asyncio.sleep(0.1)
        raise CannotRun("no machine of the core leads")

    async def is_ready(self, entry):
        status, _, _ = await call((entry.ip, READY), "GET", "/readyz")
        return status == 200

    async def request(self, entry, method="GET", prefix="/lohu930/",
                      deadline_ms=1500, headers=None):
        """One attempt of a client. Returns its status, 0 if none came."""
        self.number += 1
        attempt = "%016x" % random.getrandbits(64)
        path = "%s%x" % (prefix, self.number)
        self.sent[attempt] = (self.record.now(), entry.name)
        self.record.write("client: %s %s %s to %s" % (attempt, method, path,
                                                      entry.name))
        fields = {"Host": HOST, "X-Carobhinge-Attempt-Id": attempt,
                  "X-Carobhinge-Deadline-Ms": str(deadline_ms),
                  "X-Carobhinge-Key": KEY}
        fields.update(headers or {})
        status, answer, _ = await call((entry.ip, FRONT), method, path, fields,
                                       timeout=deadline_ms / 1000)
        self.record.write("client: %s gets %d%s" % (
            attempt, status, " of " + answer["x-carobhinge-server-stamp"]
            if "x-carobhinge-server-stamp" in answer else ""))
        return status

    async def start(self, servers=3, entries=3, zones=ZONES):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun("the build of the deploy file is missing")
        for number in (1, 2, 3):
            self.add_control(number)
        self.seeds = self.controls[:3]
        for i in range(entries):
            self.entries.append(Machine(self, "edge-%d" % (i + 1), "entry",
                                        "%s.%d" % (self.network, 31 + i),
                                        ZONES[i % 3]))
        for machine in self.controls + self.entries:
            machine.start(first_start=True)
        for i in range(servers):
            server = Server(self, "i-%08x" % random.getrandbits(32),
                            "%s.%d" % (self.network, 101 + i), 8080,
                            zones[i % len(zones)])
            self.servers.append(server)
            await server.start()
        if not await self.put_config(1):
            raise CannotRun("the first configuration was not acknowledged")
        end = time.monotonic() + 15
        while not all([await self.is_ready(e) for e in self.entries]):
            if time.monotonic() > end:
                raise CannotRun("the machines were not ready in time")
            await asyncio.sleep(0.1)

    async def wait_served(self, timeout=10.0):
        """Until each entry machine serves, and each server was reached."""
        end = time.monotonic() + timeout
        while True:
            served = [await self.request(e) == 200 for e in self.entries]
            if all(served) and all(s.runs for s in self.servers):
                return
            if time.monotonic() > end:
                raise CannotRun("requests were not served in time")

    def ended_by_themselves(self, expected=()):
        return [m.name for m in self.controls + self.entries
                if m.process is not None and not m.runs()
                and m not in expected]

    def clean_up(self):
        for machine in self.controls + self.entries:
            if machine.runs():
                machine.process.kill()
        for machine in self.controls + self.entries:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, case, trouble, limit=115.0):
    """Runs `case(world, trouble)`, which returns a list of breaks of the rule,
    and exits with 1, 0 or 2."""
    world = None

    async def run():
        async with asyncio.timeout(limit):
            return await case(world, trouble)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        world = World(case_folder)
        breaks = asyncio.run(run())
    except CannotRun as error:
        print("could not run:", error)
        if world:
            world.record.write("could not run: %s" % error)
        sys.exit(2)
    except Exception:  # a fault of the script isn't one of the system
        traceback.print_exc()
        sys.exit(2)
    finally:
        if world:
            world.clean_up()
    for text in breaks:
        world.record.write("BROKEN: " + text)
    print("%s: %d breaks" % ("with trouble" if trouble else "without trouble",
                             len(breaks)))
    for text in breaks[:5]:
        print("  " + text)
    sys.exit(1 if breaks else 0)
