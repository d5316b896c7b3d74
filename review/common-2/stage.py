"""The project's programs as processes on loopback, and small stand-ins of the platform: the list of
runners, model runners, plain runners, the operator and clients (PROTOCOL.md, DEPLOY.md).

Each case imports this file. Python 3.11, standard library alone.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "calls.example"
LEAD_S = 10.0  # traffic starts this long after the machines
MEMORY_MB = {"frontend": 260, "core": 256}
DEADLINE_S = 112


class CannotRun(Exception):
    """The case could not be played; run.sh ends with 2."""


class Closed(Exception):
    """A connection ended before a whole message had arrived."""


class Record:
    """Writes record.txt beside the script, with seconds since its start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self.begin:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


# ---- HTTP/1.1 ----

async def read_head(reader):
    """Returns (first line, list of (name, value)); bytes are kept as latin-1."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from None
    lines = text[:-4].split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_chunks(reader):
    """Yields the chunks of a body, reads its trailer; raises Closed when its end is missing."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            yield data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from None


async def read_body(reader, fields):
    found = dict(fields)
    if found.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    try:
        return await reader.readexactly(int(found.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from None


def message(first, headers, body=b""):
    lines = [first.encode()]
    for name, value in headers.items():
        value = value if isinstance(value, bytes) else str(value).encode("latin-1")
        lines.append(name.encode() + b": " + value)
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def connect(address, local=None):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(
        host, int(port), local_addr=(local, 0) if local else None, limit=1 << 20)


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """A call on a connection of its own: (status, fields, body); status 0 without a whole answer."""

    async def run():
        reader, writer = await connect(address)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": address, "Connection": "close", **(headers or {})}, body))
            first, fields = await read_head(reader)
            return int(first.split()[1]), dict(fields), await read_body(reader, fields)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, Closed, asyncio.TimeoutError):
        return 0, {}, b""


# ---- the programs ----

def deploy_roles():
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]


class Machine:
    """One machine with one role, as a process with the command of the deploy file."""

    def __init__(self, stage, kind, number):
        self.stage = stage
        self.kind = kind  # frontend or core
        self.number = number
        self.name = f"{kind}-{number + 1}"
        self.ip = stage.ip((10 if kind == "frontend" else 30) + number)
        role = next(role for role in deploy_roles().values() if role["on"] == kind)
        self.command = role["run"].split()
        if "STAGE_BIN" in os.environ:  # another build folder, for trials
            self.command[0] = os.path.join(os.environ["STAGE_BIN"], os.path.basename(self.command[0]))
        self.serves = role["serves"]
        self.child = None
        self.settings_file = stage.folder / f"{self.name}.json"
        self.data = stage.folder / f"{self.name}-data"

    def address(self, port):
        return f"{self.ip}:{self.stage.ports[port]}"

    def settings(self, bootstrap):
        stage = self.stage
        front = self.kind == "frontend"
        listen = ({"Front": self.address("front"), "Ready": self.address("ready")} if front
                  else {"Control": self.address("control")})
        return {
            "NodeName": self.name, "Role": "", "MachineClass": self.kind, "Serves": self.serves, "Ip": self.ip,
            "Zone": stage.zone(self.number), "Region": "here",
            "Zones": {"za": "here", "zb": "here", "zc": "here"}, "Listen": listen,
            "InternalPortRange": [stage.ports["internal"], stage.ports["internal"] + 15],
            "Seeds": [core.address("control") for core in stage.cores[:3]],
            "Bootstrap": bootstrap, "FaultCounted": not front,
            "Limits": {"CpuShare": 0.25 if front else 0.6, "Cores": 1, "MemoryMb": MEMORY_MB[self.kind],
                       "MaxFds": 4100 if front else 4096, "LinkMbps": 1000.0, "DiskMb": 0 if front else 128},
            "DataDir": None if front else str(self.data),
            "Discovery": "cloud", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
                       "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
                       "RollbackSlackMs": 250, "MaxExtensionMs": 5000, "RetryBudgetRatio": 0.2,
                       "BudgetWindowS": 10, "BudgetExtraRetries": 58, "RecoveryS": 12, "PassMs": 120,
                       "RetryAfterS": 0, "FencingEnforced": stage.fencing, "LeaseMs": 3000, "ThawMs": 300,
                       "CeilingWindowS": 5, "LoadBurstFactor": 1.1},
            "ConfigMode": "highest",
            "CloudApi": {"Address": stage.list.address, "RatePerS": 47.0, "Duties": [], "LagMs": 800},
        }

    def start(self, bootstrap=False):
        if self.kind == "core":
            self.data.mkdir(exist_ok=True)
        self.settings_file.write_text(json.dumps(self.settings(bootstrap)))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CROCUSSLIP_CONFIG"] = str(self.settings_file)
        with open(self.stage.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(self.command, cwd=ROOT, env=env, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def memory_mb(self):
        """(resident, highest resident) in MB; None when the process is gone."""
        try:
            text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return None
        found = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        if "VmRSS" not in found:
            return None
        return tuple(int(found[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))

    def log_lines(self, word):
        text = (self.stage.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]


# ---- the platform ----

class Runner:
    """A runner of PROTOCOL.md. A model runner holds what it is ordered to hold."""

    def __init__(self, stage, service, number, slots, queue=24, models=None, held=(), event_s=0.01, events=12,
                 work_s=0.015):
        self.stage = stage
        self.service = service
        self.number = number
        self.slots = slots
        self.queue_limit = queue
        self.catalogue = models  # name: (MB, adapters, MB of an adapter, load s); None for a plain runner
        self.held = {name: set() for name in held}
        self.disk = set(held)
        self.event_s = event_s
        self.events = events
        self.work_s = work_s
        self.id = f"i-{service}-{number}"
        self.ip = stage.ip((60 if models is not None else 90) + number)
        self.address = f"{self.ip}:{stage.ports['runner']}"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = False
        self.fence = 0
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Condition()
        self.orders = []
        self.adapter_slots = 8
        self.weights_mb = 83000
        self.hook = None  # called with (runner, method, path, fields, body, writer); true: it has answered

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20, backlog=512)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path, _ = first.split(" ")
                if not await self.answer(reader, writer, method, path, fields, body):
                    break
        except (Closed, OSError, RuntimeError, ValueError):
            pass
        finally:
            writer.close()

    async def reply(self, writer, status, headers=None, body=b""):
        writer.write(message(f"HTTP/1.1 {status} X", headers or {}, body))
        await writer.drain()
        return True

    def load_header(self):
        return {"X-Instance-Load": f"{self.running},{self.waiting},{self.slots}"}

    async def answer(self, reader, writer, method, path, fields, body):
        found = dict(fields)
        not_run = {"X-Not-Executed": "1", **self.load_header()}
        if found.get("x-expect-instance") not in (None, self.id):
            return await self.reply(writer, 421, not_run)
        if path == "/report":
            return await self.reply(writer, 200, {"Content-Type": "application/json"},
                                    json.dumps(self.report()).encode())
        if path == "/order":
            return await self.reply(writer, self.take_order(json.loads(body)))
        if path == "/health":
            return await self.reply(writer, 200, {"X-Instance-Id": self.id, **self.load_header()})
        identity = found.get("x-request-id", "")
        echo = {"X-Request-Id": identity}
        if not identity:
            return await self.reply(writer, 400, not_run)
        model = found.get("x-model", "")
        if self.catalogue is not None and not self.holds(model):
            return await self.reply(writer, 421, {**not_run, **echo})
        if self.running >= self.slots and self.waiting >= self.queue_limit:
            return await self.reply(writer, 503, {**not_run, **echo})
        if self.running >= self.slots:
            self.waiting += 1
            try:
                limit = float(found.get("x-deadline-ms", "1000")) / 1000
                async with self.slot:
                    await asyncio.wait_for(self.slot.wait_for(lambda: self.running < self.slots), limit)
            except asyncio.TimeoutError:
                return await self.reply(writer, 503, {**not_run, **echo})
            finally:
                self.waiting -= 1
        self.running += 1
        watch = asyncio.ensure_future(reader.read(0))
        try:
            self.stage.record.note(f"ran {identity} at {self.id} {method} {path} model={ascii(model)}")
            self.stage.ran.append((time.monotonic(), identity, self.id, method, path, fields, body))
            return await self.run(writer, path, {**echo, "X-Server-Stamp": f"{self.id}.{identity}",
                                                 **self.load_header()})
        finally:
            watch.cancel()
            self.running -= 1
            async with self.slot:
                self.slot.notify_all()

    async def run(self, writer, path, headers):
        if self.catalogue is None:
            await asyncio.sleep(self.work_s)
            return await self.reply(writer, 200, headers, f"{path} {headers['X-Request-Id']}".encode())
        head = ("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        writer.write(head)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {headers['X-Request-Id']} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def holds(self, name):
        model, _, adapter = name.partition("/")
        return model in self.held and (not adapter or adapter in self.held[model])

    def content(self):
        return [{"Name": name, "Version": 1, "Adapters": sorted(adapters)}
                for name, adapters in sorted(self.held.items())]

    def report(self):
        return {"Stage": "both", "born": self.born, "Models": self.content(), "Busy": self.busy,
                "Sequence": self.sequence, "Queued": self.waiting, "Running": self.running, "KvUsed": 0,
                "KvTotal": 120000, "Handles": 0, "Pending": [],
                "Available": {"Resident": [], "OnDisk": sorted(self.disk)}}

    def take_order(self, order):
        status = self.judge_order(order)
        self.orders.append((time.monotonic(), order, status))
        self.stage.record.note(f"order at {self.id} {json.dumps(order)[:400]} -> {status}")
        return status

    def judge_order(self, order):
        if not isinstance(order.get("Holder"), str) or not isinstance(order.get("FencingToken"), int):
            return 400
        if self.stage.fencing and order["FencingToken"] < self.fence:
            return 412
        self.fence = max(self.fence, order["FencingToken"])
        operation, model, adapter = order.get("Operation"), order.get("Model"), order.get("Adapter")
        if operation not in ("load", "unload") or model not in self.catalogue:
            return 400
        size, adapters, _, load_s = self.catalogue[model]
        names = {f"a{i + 1}" for i in range(adapters)}
        if adapter is not None and (adapter not in names or model not in self.held):
            return 400
        if order.get("Expect", self.sequence) != self.sequence or self.busy:
            return 409
        if adapter is not None:
            if (adapter in self.held[model]) == (operation == "load"):
                return 200
            self.sequence += 1
            (self.held[model].add if operation == "load" else self.held[model].discard)(adapter)
            return 202 if operation == "load" else 200
        if (model in self.held) == (operation == "load"):
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.ensure_future(self.carry_out(operation, model, load_s))
        return 202

    async def carry_out(self, operation, model, load_s):
        if operation == "load":
            await asyncio.sleep(0.2 if model in self.disk else load_s)
            self.held[model] = set()
            self.disk.add(model)
        else:
            await asyncio.sleep(0.03)
            self.held.pop(model, None)
        self.busy = False

    def entry(self):
        return {"Id": self.id, "Service": self.service, "Address": self.address,
                "Zone": self.stage.zone(self.number), "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdRemainingMs": 0, "Stage": "both",
                "Models": self.content() if self.catalogue is not None else [], "born": self.born}


class List:
    """The platform's list, as it was LagMs ago."""

    def __init__(self, stage, address, lag_s=0.8):
        self.stage = stage
        self.address = address
        self.lag_s = lag_s
        self.history = []

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        asyncio.ensure_future(self.watch())

    async def watch(self):
        while True:
            self.history.append((time.monotonic(), [runner.entry() for runner in self.stage.runners]))
            while len(self.history) > 1 and self.history[1][0] < time.monotonic() - self.lag_s:
                self.history.pop(0)
            await asyncio.sleep(0.05)

    async def serve(self, reader, writer):
        with contextlib.suppress(Closed, OSError):
            await read_head(reader)
            body = json.dumps({"Instances": self.history[0][1], "Next": None}).encode()
            writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json",
                                                     "Connection": "close"}, body))
            await writer.drain()
        writer.close()


# ---- a deployment ----

def route(prefix, kind, service, timeout_ms, target_ms, attempts=1, resumable=False, gap_ms=0, priority=1):
    return {"Name": "r" + prefix.strip("/"), "Host": HOST, "PathPrefix": prefix, "RouteKind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": priority, "Service": service,
            "MaxAttempts": attempts, "Sticky": kind == "streaming", "Resumable": resumable,
            "TargetGapMs": gap_ms}


class Stage:
    """Addresses, processes and stand-ins of one run."""

    def __init__(self, folder, entries=2, cores=5, fencing=True):
        self.record = Record(folder)
        self.fencing = fencing
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="crocusslip-review-"))
        self.net = self.free_net()
        self.ports = self.free_ports()
        self.ran = []
        self.runners = []
        self.list = List(self, f"{self.ip(200)}:{self.ports['list']}")
        self.cores = []
        self.cores = [Machine(self, "core", i) for i in range(cores)]
        self.entries = [Machine(self, "frontend", i) for i in range(entries)]
        self.next_id = 0
        self.sent = {}

    def ip(self, number):
        return f"127.{self.net}.0.{number + 1}"

    @staticmethod
    def zone(number):
        return ("za", "zb", "zc")[number % 3]

    @staticmethod
    def free_net():
        return random.randrange(20, 250)

    def free_ports(self):
        """A block of ports that are free at the addresses used."""
        for _ in range(50):
            base = random.randrange(20000, 30000)
            ports = {"front": base, "ready": base + 1, "control": base + 2, "list": base + 3,
                     "runner": base + 4, "internal": base + 10}
            try:
                for port in ports.values():
                    for number in (10, 30, 60, 90, 200):
                        with socket.socket() as probe:
                            probe.bind((self.ip(number), port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def identity(self, note=""):
        self.next_id += 1
        name = f"{self.next_id:08x}{random.randrange(1 << 32):08x}"
        self.sent[name] = note
        return name

    async def start(self):
        for machine in self.cores + self.entries:
            if not (ROOT / machine.command[0]).exists():
                raise CannotRun(f"{machine.command[0]} is not built")
        for runner in self.runners:
            await runner.start()
        await self.list.start()
        for machine in self.cores + self.entries:
            machine.start(bootstrap=True)

    async def ready(self, limit_s=30.0):
        end = time.monotonic() + limit_s
        for entry in self.entries:
            while (await call(entry.address("ready"), "GET", "/readiness"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    async def operate(self, method, path, body=b"", timeout=1.0, first=None):
        """A call of the operator at some node, following two redirects: (status, body)."""
        address = (first or random.choice(self.cores)).address("control")
        status, text = 0, b""
        for _ in range(3):
            status, fields, text = await call(address, method, path, body, {"Content-Type": "application/json"},
                                              timeout)
            if status != 307:
                break
            address = fields["location"].split("/")[2]
        return status, text

    async def publish(self, config, limit_s=20.0):
        """Sends a configuration until it is acknowledged; returns the time of the acknowledgement, or None."""
        body = json.dumps(config).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, text = await self.operate("POST", "/config/replace", body)
            self.record.note(f"configuration {config['Version']} -> {status}")
            if status == 200:
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused: {text[:200]}")
            await asyncio.sleep(0.2)
        return None

    def leader(self):
        """The core machine that took the lead last, by its log."""
        best = None
        for core in self.cores:
            for line in core.log_lines("leads the fleet"):
                if core.running() and (best is None or line[:23] > best[0]):
                    best = (line[:23], core)
        return best[1] if best else None

    def close(self):
        for machine in self.cores + self.entries:
            if machine.running():
                machine.child.send_signal(signal.SIGCONT)
                machine.child.kill()
        for machine in self.cores + self.entries:
            if machine.child is not None:
                machine.child.wait()
        if os.environ.get("KEEP") == "1":
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# ---- clients ----

async def ask(stage, entry, method, path, headers=None, body=b"", deadline_s=15.0, silence_s=2.4, note=""):
    """One attempt of a client on a connection of its own. Returns (status, fields, body, complete)."""
    identity = stage.identity(note)
    begin = time.monotonic()
    status, fields, data, complete = 0, {}, b"", False
    writer = None
    try:
        reader, writer = await asyncio.wait_for(connect(entry.address("front")), 1.0)
        writer.write(message(f"{method} {path} HTTP/1.1",
                             {"Host": HOST, "X-Request-Id": identity,
                              "X-Deadline-Ms": int(deadline_s * 1000), **(headers or {})}, body))
        end = begin + deadline_s

        def left():
            return max(0.01, min(silence_s, end - time.monotonic()))

        first, pairs = await asyncio.wait_for(read_head(reader), left())
        status, fields = int(first.split()[1]), dict(pairs)
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = read_chunks(reader)
            while True:
                try:
                    data += await asyncio.wait_for(parts.__anext__(), left())
                except StopAsyncIteration:
                    complete = True
                    break
        else:
            data = await asyncio.wait_for(read_body(reader, pairs), left())
            complete = True
    except (OSError, Closed, asyncio.TimeoutError) as error:
        stage.record.note(f"client gave up on {identity}: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
    stage.record.note(f"answer {identity} {note} {method} {path} {entry.name} -> {status} "
                      f"{'complete' if complete else 'incomplete'} after {time.monotonic() - begin:.3f} "
                      f"{fields.get('retry-after', '')} {data[:40]!r}")
    return status, fields, data, complete


def served(answer):
    status, fields, _, complete = answer
    return 200 <= status < 300 and complete and "x-server-stamp" in fields


def play(case_file, scenario, **options):
    """Runs a scenario and ends with 0 (held), 1 (broken) or 2 (could not run)."""
    folder = pathlib.Path(case_file).resolve().parent
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384), hard))

    async def main():
        stage = Stage(folder, **options)
        stage.record.say(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            return await asyncio.wait_for(scenario(stage), DEADLINE_S)
        except (CannotRun, asyncio.TimeoutError) as error:
            stage.record.say(f"could not run: {type(error).__name__} {error}")
            return 2
        finally:
            stage.close()
            stage.record.say("all processes ended")

    # Told to end, by run.sh's limit for instance: the processes are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception as error:  # a fault of the script is not a finding
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        code = 2
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code], flush=True)
    sys.exit(code)
