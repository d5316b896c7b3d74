"""Processes of the deploy file on loopback, with stand-ins of the platform, for the cases 11 to 15.

The stand-ins follow the platform's pages: the list of runners (PROTOCOL.md, Service discovery), runners
(Runners, Model placement) and the operator (The operator's API). Each process has a loopback address of
its own, on free ports, and a folder below a temporary one.
"""

import asyncio
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / "target" / "bin"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
    "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
    "MaxExtensionMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtraRetries": 58,
    "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0, "FencingEnforced": True, "LeaseMs": 3000,
    "ThawMs": 300, "CeilingWindowS": 5, "LoadBurstFactor": 1.1}


class Unable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8", errors="backslashreplace")

    def say(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_message(reader):
    """(first line, headers with lowercase names, body); raises on a broken message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return lines[0], headers, body
            body += data
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """One call on a connection of its own: (status, headers, body); status 0 without an answer."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": address, "Connection": "close", **(headers or {})}, body))
            first, got, text = await read_message(reader)
            return int(first.split()[1]), got, text
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.TimeoutError):
        return 0, {}, b""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Process:
    def __init__(self, lab, role, number, ip):
        self.lab, self.role, self.number, self.ip = lab, role, number, ip
        self.name = f"{role}-{number}"
        self.data = lab.folder / f"{self.name}-data"
        self.child = None

    def start(self, bootstrap=False):
        self.data.mkdir(exist_ok=True)
        path = self.lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.lab.settings(self, bootstrap)))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.lab.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen([BIN / f"crocusslip-platform-{self.role}"], cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL,
                                          env={**environment, "CROCUSSLIP_CONFIG": str(path)})

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def memory_mb(self):
        """Resident memory, and the most that it has been."""
        try:
            text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0.0, 0.0
        values = {line.split(":")[0]: line.split()[1] for line in text.splitlines() if line.startswith("Vm")}
        return int(values.get("VmRSS", 0)) / 1024, int(values.get("VmHWM", 0)) / 1024

    def log(self):
        path = self.lab.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Lab:
    def __init__(self, record, entries=1, control=5, bounds=None):
        if not (BIN / "crocusslip-platform-control").exists():
            raise Unable("the programs of the deploy file are not built")
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="crocusslip-review-"))
        net = random.randint(10, 250)
        zone = random.randint(1, 250)
        self.address = lambda number: f"127.{net}.{zone}.{number}"
        self.front, self.ready, self.control_port, self.internal, self.list_port, self.runner_port = random.sample(
            range(20000, 30000), 6)
        self.control = [Process(self, "control", i, self.address(i + 20)) for i in range(control)]
        self.entries = [Process(self, "entry", i, self.address(i + 60)) for i in range(entries)]
        self.runners = []
        self.tasks = []

    def settings(self, process, bootstrap):
        entry = process.role == "entry"
        return {
            "NodeName": f"{'frontend' if entry else 'core'}-{process.number}", "Role": process.role,
            "MachineClass": "frontend" if entry else "core", "Serves": ["frontend" if entry else "control"],
            "Ip": process.ip, "Zone": f"z{process.number % 4}", "Region": "r",
            "Zones": {f"z{i}": "r" for i in range(4)},
            "Listen": ({"Front": f"{process.ip}:{self.front}", "Ready": f"{process.ip}:{self.ready}"} if entry
                       else {"Control": f"{process.ip}:{self.control_port}"}),
            "InternalPortRange": [self.internal, self.internal + 15],
            "Seeds": [f"{member.ip}:{self.control_port}" for member in self.control[:3]],
            "Bootstrap": bootstrap, "FaultCounted": not entry,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260 if entry else 256,
                       "MaxFds": 4100 if entry else 4096, "LinkMbps": 1000.0, "DiskMb": 0 if entry else 128},
            "DataDir": None if entry else str(process.data), "Discovery": "cloud", "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0}, "Bounds": self.bounds,
            "ConfigMode": "highest",
            "CloudApi": {"Address": f"{self.address(200)}:{self.list_port}", "RatePerS": 47.0, "Duties": [],
                         "LagMs": 800},
        }

    # ---- the platform's list of runners ----

    async def start_list(self):
        async def serve(reader, writer):
            try:
                await read_message(reader)
                entries = [runner.entry() for runner in self.runners if runner.listed]
                body = json.dumps({"Instances": entries, "Next": None}).encode()
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json", "Connection": "close"}, body))
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            finally:
                writer.close()
        self.tasks.append(await asyncio.start_server(serve, self.address(200), self.list_port))

    # ---- the operator ----

    async def publish(self, config, seconds=20.0):
        """Sends a configuration to one node after the other until one acknowledges it."""
        body = json.dumps(config).encode()
        end = time.monotonic() + seconds
        targets = [f"{process.ip}:{self.control_port}" for process in self.control]
        at = 0
        while time.monotonic() < end:
            address, path = targets[at % len(targets)], "/config/replace"
            at += 1
            for _ in range(3):
                status, headers, text = await call(address, "POST", path, body,
                                                   {"Content-Type": "application/json"}, 1.5)
                if status != 307:
                    break
                address = headers["location"].split("//")[1].split("/")[0]
            if status == 200:
                self.record.say(f"operator: version {config['Version']} acknowledged by {address}")
                return True
            if 400 <= status < 500:
                self.record.say(f"operator: version {config['Version']} refused with {status}: {text[:200]!r}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def read_config(self, process):
        """Version that a node names, following 307 twice; None without a clear answer."""
        address = f"{process.ip}:{self.control_port}"
        for _ in range(3):
            status, headers, body = await call(address, "GET", "/config/read")
            if status != 307:
                return json.loads(body)["Version"] if status == 200 else None
            address = headers["location"].split("//")[1].split("/")[0]
        return None

    async def leader(self, seconds=10.0):
        """The process that answers reads of the configuration itself."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for process in self.control:
                status, _, _ = await call(f"{process.ip}:{self.control_port}", "GET", "/config/read", timeout=0.5)
                if status == 200:
                    return process
            await asyncio.sleep(0.1)
        return None

    # ---- clients ----

    async def ask(self, entry, path, headers, body=b"", method="POST", timeout=5.0):
        return await call(f"{entry.ip}:{self.front}", method, path, body,
                          {"Host": "review.example", "Connection": "close", **headers}, timeout)

    async def generate(self, entry, model, timeout=15.0, told=True, path="/chat/1"):
        """One request of a generation, with the headers of the page."""
        identity = uuid.uuid4().hex
        status, headers, _ = await self.ask(
            entry, path,
            {"X-Request-Id": identity, "X-Deadline-Ms": str(int(timeout * 1000)), "X-Token-Count": "100,20",
             "X-Prompt-Prefix": "ab:50,cd:50", "X-Model": model}, b"hello", timeout=timeout + 1)
        if told:
            self.record.note(f"client asks for {model.encode('latin-1')!r}: {status}")
        return status

    async def crowd(self, entry, clients, end, size, pause):
        """Clients that ask for adapters with long names, each name once; returns the statuses.

        The record has their number for each second.
        """
        statuses = {}

        async def tell():
            before = {}
            while True:
                await asyncio.sleep(1)
                self.record.note(f"{entry.name} answered the clients with long names: " + (", ".join(
                    f"{status} x {count - before.get(status, 0)}" for status, count in statuses.items()) or "nothing"))
                before = dict(statuses)

        async def one(number):
            await asyncio.sleep(number * 0.002)
            while time.monotonic() < end:
                status = await self.generate(entry, f"m0/{secrets.token_hex(size // 2)}", 15.0, told=False)
                statuses[status] = statuses.get(status, 0) + 1
                await asyncio.sleep(pause if status else 1.0)
        teller = asyncio.get_running_loop().create_task(tell())
        await asyncio.gather(*(one(number) for number in range(clients)))
        teller.cancel()
        return statuses

    async def until_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        for entry in self.entries:
            while (await call(f"{entry.ip}:{self.ready}", "GET", "/readiness", timeout=0.5))[0] != 200:
                if time.monotonic() > end:
                    raise Unable(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        for process in self.entries + self.control:
            if process.running():
                process.kill()
        for server in self.tasks:
            server.close()
        for runner in self.runners:
            runner.close()
        if os.environ.get("KEEP"):
            self.record.say(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Runner:
    """A runner of a service. A request runs when `work` is called; the record says so."""

    def __init__(self, lab, service, number, slots=8, models=None, engine=False):
        self.lab, self.service, self.number, self.slots, self.engine = lab, service, number, slots, engine
        self.id = f"i-{service}-{number}"
        self.ip = lab.address(100 + number + (50 if engine else 0))
        self.models = {name: set() for name in models or []}
        self.disk = set(self.models)
        self.born = int(time.time() * 1000)
        self.sequence, self.busy, self.fence, self.running = 0, False, 0, 0
        self.listed = True
        self.server = None
        self.runs = []
        self.orders = []
        self.load_s = 1.0
        lab.runners.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.lab.runner_port, limit=1 << 22)

    def close(self):
        if self.server is not None:
            self.server.close()

    def held(self):
        return [{"Name": name, "Version": 1, "Adapters": [{"Name": other, "Version": 1} for other in sorted(adapters)]}
                for name, adapters in sorted(self.models.items())]

    def entry(self):
        entry = {"Id": self.id, "Service": self.service, "Address": f"{self.ip}:{self.lab.runner_port}",
                 "Zone": f"z{self.number % 4}", "Version": "v1", "Slots": self.slots, "State": "ready",
                 "ColdRemainingMs": 0, "born": self.born}
        if self.engine:
            entry.update({"Stage": "both", "Models": self.held()})
        return entry

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                if not await self.answer(writer, method, target, headers, body):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def reply(self, writer, status, headers=None, body=b""):
        writer.write(message(f"HTTP/1.1 {status} X", headers or {}, body))
        await writer.drain()
        return True

    async def answer(self, writer, method, target, headers, body):
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return await self.reply(writer, 421, {"X-Not-Executed": "1"})
        if target == "/report":
            return await self.reply(writer, 200, {"Content-Type": "application/json"}, json.dumps({
                "Stage": "both", "born": self.born, "Models": self.held(), "Busy": self.busy,
                "Sequence": self.sequence, "Queued": 0, "Running": self.running, "KvUsed": 0, "KvTotal": 100000,
                "Handles": 0, "Available": {"Resident": [], "OnDisk": sorted(self.disk)}}).encode())
        if target == "/order":
            return await self.reply(writer, self.order(json.loads(body)))
        if target == "/health":
            return await self.reply(writer, 200, {"X-Instance-Id": self.id})
        identity = headers.get("x-request-id", "")
        echo = {"X-Request-Id": identity}
        if not identity:
            return await self.reply(writer, 400, {"X-Not-Executed": "1"})
        if self.engine:
            model, _, adapter = headers.get("x-model", "").partition("/")
            if model not in self.models or (adapter and adapter not in self.models[model]):
                return await self.reply(writer, 421, {**echo, "X-Not-Executed": "1"})
        if self.running >= self.slots:
            return await self.reply(writer, 503, {**echo, "X-Not-Executed": "1"})
        self.running += 1
        self.runs.append(identity)
        self.lab.record.note(f"{self.id} runs {identity}")
        try:
            return await self.work(writer, headers, {**echo, "X-Server-Stamp": f"stamp.{self.id}"}, body)
        finally:
            self.running -= 1

    async def work(self, writer, headers, answer, body):
        await asyncio.sleep(0.015)
        if not self.engine:
            return await self.reply(writer, 200, answer, b"done " + answer["X-Request-Id"].encode())
        events = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 5))
        writer.write(message("HTTP/1.1 200 OK", {**answer, "Content-Type": "text/event-stream",
                                                 "Transfer-Encoding": "chunked"}))
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events))
        await writer.drain()
        return True

    def order(self, order):
        """Orders as on the page; the record has each of them."""
        adapter = order.get("Adapter")
        name = order["Model"] + (f"/{adapter}" if adapter else "")
        status = self.take(order, adapter)
        self.orders.append((time.monotonic(), order["Holder"], order["FencingToken"], order["Operation"], name, status))
        self.lab.record.note(f"{self.id} is ordered to {order['Operation']} {name[:60]!r} by {order['Holder']} "
                             f"({order['FencingToken']}): {status}")
        return status

    def take(self, order, adapter):
        if order["FencingToken"] < self.fence:
            return 412
        self.fence = order["FencingToken"]
        if order.get("Expect", self.sequence) != self.sequence or self.busy:
            return 409
        model, load = order["Model"], order["Operation"] == "load"
        if adapter:
            known = model in self.models and adapter.startswith("a") and adapter[1:].isdigit()
            if not known:
                return 400
            if (adapter in self.models[model]) == load:
                return 200
            self.sequence += 1
            (self.models[model].add if load else self.models[model].discard)(adapter)
            return 202 if load else 200
        if (model in self.models) == load:
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(model, load))
        return 202

    async def carry_out(self, model, load):
        await asyncio.sleep((0.3 if model in self.disk else self.load_s) if load else 0.05)
        if load:
            self.models[model] = set()
            self.disk.add(model)
        else:
            self.models.pop(model, None)
        self.busy = False


def route(prefix, kind, service, attempts=1, resumable=False, timeout=5000, aim=500):
    return {"Name": f"r{prefix.replace('/', '-')}", "Host": "review.example", "PathPrefix": prefix, "RouteKind": kind,
            "TimeoutMs": timeout, "TargetLatencyMs": aim, "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "Sticky": kind == "streaming", "Resumable": resumable, "TargetGapMs": 300}


def configuration(version, routes, models=(), slots=8):
    """Limits and an engine as in the example of the page."""
    services = [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False}]
    if models:
        services.append({
            "Name": "writer", "HealthPath": "/health", "MaxConnections": 630, "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": slots, "KvCapacity": 139810, "KvBytes": 131072, "LinkMbps": 130000.0, "Moves": True,
                       "Backups": True, "Stride": 1, "Cap": 12, "HostMb": 62000.0, "DiskMb": 550000.0,
                       "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "WeightsMb": 83000.0, "AdapterSlots": 8,
                       "LoadsPerS": 3.5, "Models": [
                           {"Name": name, "WeightsMb": 34300.0, "LoadS": 1.0, "Adapters": 4, "AdapterMb": 40.0,
                            "WarmS": 0.3, "DiskS": 0.3} for name in models]}})
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


def main(folder, case):
    """Runs a case: a coroutine of (record) that returns HELD or BROKEN, within 120 seconds."""
    record = Record(folder)
    record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 112))
    except (Unable, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        result = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
