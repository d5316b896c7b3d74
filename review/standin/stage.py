"""The platform as the project's pages describe it, for scripts of the review: starts the two programs of
the deploy file as processes on loopback, keeps the list of runners, is the operator, and sends requests."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
LAG_S = 0.8
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
          "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
          "MaxExtensionMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtraRetries": 58,
          "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0, "FencingEnforced": True, "LeaseMs": 3000,
          "ThawMs": 300, "CeilingWindowS": 5, "LoadBurstFactor": 1.1}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what happens to record.txt, and remembers what broke the rule."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.broken = []

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()

    def breaks(self, text):
        self.broken.append(text)
        self.note(f"BROKEN {text}")


class Node:
    """One process of a role."""

    def __init__(self, platform, role, number):
        self.platform = platform
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = f"zone-{number % 2}"
        self.ip = platform.ip((10 if role == "frontend" else 30) + number)
        self.data = platform.folder / f"{self.name}-data"
        self.internal = platform.ports["internal"]
        self.child = None

    def settings(self, bootstrap):
        platform = self.platform
        listen = ({"Front": platform.at(self.ip, "front"), "Ready": platform.at(self.ip, "ready")}
                  if self.role == "frontend" else {"Control": platform.at(self.ip, "control")})
        return {
            "NodeName": self.name, "Role": "entry" if self.role == "frontend" else "control",
            "MachineClass": self.role, "Serves": ["frontend" if self.role == "frontend" else "control"],
            "Ip": self.ip, "Zone": self.zone, "Region": "region", "Zones": {"zone-0": "region", "zone-1": "region"},
            "Listen": listen, "InternalPortRange": [self.internal, self.internal + 15],
            "Seeds": [platform.at(node.ip, "control") for node in platform.cores[:3]],
            "Bootstrap": bootstrap, "FaultCounted": self.role == "core",
            "Limits": {"CpuShare": 0.6, "Cores": 1, "MemoryMb": 256, "MaxFds": 4096, "LinkMbps": 1000.0,
                       "DiskMb": 128 if self.role == "core" else 0},
            "DataDir": str(self.data) if self.role == "core" else None, "Discovery": "cloud", "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"],
            "FaultTolerance": {"Machines": (len(platform.cores) - 1) // 2, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
            "ConfigMode": "highest",
            "CloudApi": {"Address": platform.at(platform.ip(250), "cloud"), "RatePerS": 47.0, "Duties": [],
                         "LagMs": int(LAG_S * 1000)},
        }

    def start(self, bootstrap):
        if self.role == "core":
            self.data.mkdir(exist_ok=True)
        path = self.platform.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(bootstrap)), encoding="utf-8")
        program = ROOT / "target" / "bin" / ("crocusslip-platform-entry" if self.role == "frontend"
                                             else "crocusslip-platform-control")
        environment = {"CROCUSSLIP_CONFIG": str(path), "PATH": os.environ.get("PATH", ""),
                       "HOME": str(self.platform.folder), "LANG": "C.UTF-8"}
        with open(self.platform.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen([program], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                          stdout=log, stderr=log)
        self.platform.record.note(f"{self.name} started")

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            self.platform.record.note(f"{self.name} gets {signal.Signals(number).name}")
            self.child.send_signal(number)

    def end(self):
        if self.running():
            self.child.kill()
            self.child.wait()


class Runner:
    """A runner of the platform. Models and adapters are held and ordered as the pages say."""

    def __init__(self, platform, number, service, slots, engine=None):
        self.platform = platform
        self.service = service
        self.slots = slots
        self.engine = engine
        self.id = f"i-{service}-{number}"
        self.zone = f"zone-{number % 2}"
        self.ip = platform.ip(100 + number)
        self.address = platform.at(self.ip, "runner")
        self.first_models = ()  # placed at the first start
        self.server = None
        self.disk = set()
        self.life = 0
        self.writers = set()
        self.on_order = None  # may take an order over; returns True then
        self.on_request = None  # may answer a request instead; returns True then
        self.event_s = 0.02
        self.at_work = {}  # request: when the runner last worked on it
        self.events = 10
        self.prompt_s = 0.0

    async def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.models = {name: set() for name in self.first_models if self.life == 1}  # name: set of adapters
        self.disk |= set(self.models)
        self.sequence = 0
        self.busy = False
        self.fence = 0
        self.running = 0
        self.uses = {}
        self.past = []
        self.server = await asyncio.start_server(self.serve, self.ip, self.platform.ports["runner"])
        self.platform.record.note(f"{self.id} starts, life {self.life}, born {self.born}, holds {sorted(self.models)}")
        asyncio.create_task(self.remember(self.life))

    def crash(self):
        if self.server is None:
            return
        self.platform.record.note(f"{self.id} crashes")
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def remember(self, life):
        while self.life == life and self.server is not None:
            self.past.append((time.monotonic(), self.state_now()))
            while len(self.past) > 1 and self.past[1][0] < time.monotonic() - 0.3:
                self.past.pop(0)
            await asyncio.sleep(0.02)

    def state_now(self):
        return {"Stage": "both", "born": self.born, "Models": self.held(), "Busy": self.busy,
                "Sequence": self.sequence, "Queued": 0, "Running": self.running, "KvUsed": 0,
                "KvTotal": (self.engine or {}).get("KvCapacity", 0), "Handles": 0,
                "Available": {"Resident": [], "OnDisk": sorted(self.disk)}}

    def held(self):
        return [{"Name": name, "Version": 1, "Adapters": sorted(adapters)}
                for name, adapters in sorted(self.models.items())]

    def entry(self):
        entry = {"Id": self.id, "Service": self.service, "Address": self.address, "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                 "born": self.born}
        if self.engine:
            entry.update({"Stage": "both", "Models": self.held()})
        return entry

    async def serve(self, reader, writer):
        self.writers.add(writer)
        life = self.life
        try:
            while self.life == life and self.server is not None:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                method, path, _ = first.split()
                if not await self.answer(reader, writer, method, path, headers, body):
                    break
        except (wire.Closed, OSError, RuntimeError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, status, headers=None, body=b""):
        writer.write(wire.message(f"HTTP/1.1 {status} Answer", headers or {}, body))
        await writer.drain()
        return True

    async def answer(self, reader, writer, method, path, headers, body):
        identity = headers.get("x-request-id", "")
        not_run = {"X-Not-Executed": "1", "X-Request-Id": identity}
        if headers.get("x-expect-instance", self.id) != self.id:
            return await self.reply(writer, 421, not_run)
        if path == "/report":
            return await self.reply(writer, 200, {}, json.dumps(self.past[0][1]).encode())
        if path == "/health":
            return await self.reply(writer, 200, {"X-Instance-Id": self.id})
        if path == "/order":
            order = json.loads(body)
            if self.on_order and self.on_order(order, headers):
                await reader.read()  # no answer: until the sender gives up
                return False
            status = self.order(order)
            self.platform.record.note(f"{self.id} answers {status} to {text_of(order)}")
            return await self.reply(writer, status)
        if self.on_request and await self.on_request(reader, writer, method, path, headers, body):
            return False
        return await self.run(reader, writer, path, headers, not_run)

    async def still_wanted(self, reader):
        """Whether the connection of a request is open: a runner drops a request when it closes."""
        return not reader.at_eof() and reader.exception() is None

    async def run(self, reader, writer, path, headers, not_run):
        identity = headers.get("x-request-id", "")
        name, _, adapter = headers.get("x-model", "").partition("/")
        if self.engine and (name not in self.models or adapter and adapter not in self.models[name]):
            return await self.reply(writer, 421, not_run)
        if self.running >= self.slots:
            return await self.reply(writer, 503, not_run)
        self.platform.record.note(f"{self.id} runs {identity}")
        answer = {"X-Request-Id": identity, "X-Server-Stamp": f"{self.id}.{identity}"}
        self.running += 1
        key = (name, adapter)
        self.uses[key] = self.uses.get(key, 0) + 1
        try:
            if not self.engine:
                await asyncio.sleep(0.015)
                return await self.reply(writer, 200, answer, f"{path} {identity}".encode())
            head = ("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in answer.items())
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
            first = int(headers.get("last-event-id", "0")) + 1
            until = time.monotonic() + self.prompt_s
            while time.monotonic() < until and await self.still_wanted(reader):
                self.at_work[identity] = time.monotonic()
                await asyncio.sleep(0.02)
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                if not await self.still_wanted(reader):
                    self.platform.record.note(f"{self.id} drops {identity}, whose connection has closed")
                    return False
                self.at_work[identity] = time.monotonic()
                event = f"id: {number}\ndata: {identity} {number}\n\n".encode()
                writer.write((head if number == first else b"") + b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write((head if first > self.events else b"") + b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1
            self.uses[key] -= 1

    def size(self, name):
        return next(model for model in self.engine["Models"] if model["Name"] == name)

    def used_mb(self):
        return sum(self.size(name)["WeightsMb"] + len(adapters) * self.size(name)["AdapterMb"]
                   for name, adapters in self.models.items())

    def order(self, order):
        """Takes an order; returns the status. A load beyond what the runner holds crashes it."""
        name, adapter = order.get("Model"), order.get("Adapter")
        load = order.get("Operation") == "load"
        if order.get("Operation") not in ("load", "unload") or "Holder" not in order or "FencingToken" not in order:
            return 400
        if order["FencingToken"] < self.fence:
            return 412
        self.fence = order["FencingToken"]
        if self.busy or order.get("Expect", self.sequence) != self.sequence:
            return 409
        if adapter and name not in self.models:
            return 400
        present = adapter in self.models[name] if adapter else name in self.models
        if present == load:
            return 200
        self.sequence += 1
        if load:
            added = self.size(name)["AdapterMb" if adapter else "WeightsMb"]
            adapters = sum(len(held) for held in self.models.values()) + bool(adapter)
            if (self.used_mb() + added > self.engine["WeightsMb"]
                    or adapters > self.engine["AdapterSlots"]):
                self.platform.record.breaks(
                    f"{self.id} holds {self.used_mb()} of {self.engine['WeightsMb']} MB in "
                    f"{json.dumps(self.held())}, and is ordered to load {name}"
                    f"{'/' + adapter if adapter else ''} of {added} MB: {text_of(order)}")
                self.crash()
                return 202
        if adapter:
            if load:
                self.models[name].add(adapter)
                return 202
            if self.uses.get((name, adapter), 0) == 0:
                self.models[name].discard(adapter)
                return 200
        if not adapter:
            self.busy = True
        asyncio.create_task(self.carry_out(name, adapter, load, self.life))
        return 202

    async def carry_out(self, name, adapter, load, life):
        if load:
            size = self.size(name)
            await asyncio.sleep(size["DiskS"] if name in self.disk else size["LoadS"])
        else:
            while any(count for (model, own), count in self.uses.items()
                      if model == name and (not adapter or own == adapter)):
                await asyncio.sleep(0.01)
        if life != self.life or self.server is None:
            return
        if load:
            self.models[name] = set()
            self.disk.add(name)
        elif adapter:
            self.models[name].discard(adapter)
        else:
            self.models.pop(name)
        if not adapter:
            self.busy = False
        self.platform.record.note(f"{self.id} holds {json.dumps(self.held())}, sequence {self.sequence}")


def text_of(order):
    return " ".join(f"{key}={value}" for key, value in sorted(order.items()))


class Proxy:
    """A link to an address. Its open connections can go silent for good; new ones work."""

    def __init__(self, ip, port, target_ip, target_port):
        self.own = (ip, port)
        self.target = (target_ip, target_port)
        self.open = []
        self.kept = []
        self.never = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.own)

    def silence(self):
        """No byte and no close passes any more on the connections that are open now."""
        count = sum(not silent.is_set() for silent in self.open)
        for silent in self.open:
            silent.set()
        return count

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        silent = asyncio.Event()
        self.open.append(silent)
        # Holds the sockets of silent connections open.
        self.kept.append((asyncio.current_task(), writer, far_writer))
        await asyncio.gather(self.pump(reader, far_writer, silent), self.pump(far_reader, writer, silent))
        self.open.remove(silent)

    async def pump(self, reader, writer, silent):
        waiting = asyncio.create_task(silent.wait())
        try:
            while True:
                reading = asyncio.create_task(reader.read(65536))
                await asyncio.wait({reading, waiting}, return_when=asyncio.FIRST_COMPLETED)
                if silent.is_set():
                    reading.cancel()
                    await self.never.wait()  # for good
                data = reading.result()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass
        finally:
            waiting.cancel()
            writer.close()


class Platform:
    def __init__(self, record, fronts=2, cores=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randint(20, 250)
        self.ports = self.free_ports()
        self.fronts = [Node(self, "frontend", number) for number in range(fronts)]
        self.cores = [Node(self, "core", number) for number in range(cores)]
        self.runners = []
        self.list_history = []
        self.servers = []
        self.list_answer = None  # may replace the body of the list

    def ip(self, number):
        return f"127.{self.net}.0.{number}"

    def at(self, ip, port):
        return f"{ip}:{self.ports[port]}"

    def free_ports(self):
        names = ["front", "ready", "control", "cloud", "runner", "internal"]
        for _ in range(50):
            base = random.randint(20000, 30000)
            ports = {name: base + 20 * i for i, name in enumerate(names)}
            if all(self.is_free(port) for port in ports.values()):
                return ports
        raise CannotRun("no free ports")

    def is_free(self, port):
        for number in (10, 30, 100, 250):
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip(number), port))
                except OSError:
                    return False
        return True

    async def start(self, config):
        for program in ("crocusslip-platform-entry", "crocusslip-platform-control"):
            if not (ROOT / "target" / "bin" / program).exists():
                raise CannotRun(f"target/bin/{program} is not built")
        self.servers.append(await asyncio.start_server(self.serve_list, self.ip(250), self.ports["cloud"]))
        asyncio.create_task(self.keep_list())
        for runner in self.runners:
            await runner.start()
        for node in self.cores + self.fronts:
            node.start(bootstrap=True)
        if not await self.configure(config, 20):
            raise CannotRun("the first configuration was not acknowledged")
        until = time.monotonic() + 10
        for front in self.fronts:
            while (await wire.call(self.at(front.ip, "ready"), "GET", "/readiness"))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{front.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.note("all frontend machines are ready")

    async def keep_list(self):
        while True:
            entries = [runner.entry() for runner in self.runners if runner.server is not None]
            self.list_history.append((time.monotonic(), entries))
            while len(self.list_history) > 1 and self.list_history[1][0] < time.monotonic() - LAG_S:
                self.list_history.pop(0)
            await asyncio.sleep(0.05)

    async def serve_list(self, reader, writer):
        try:
            await wire.read_head(reader)
            body = json.dumps({"Instances": self.list_history[0][1], "Next": None}).encode()
            if self.list_answer:
                body = self.list_answer(body)
            writer.write(wire.message("HTTP/1.1 200 OK", {"Content-Type": "application/json",
                                                          "Connection": "close"}, body))
            await writer.drain()
        except (wire.Closed, OSError):
            pass
        finally:
            writer.close()

    async def operate(self, method, path, body=b"", node=None):
        """A call of the operator; follows two redirects."""
        address = self.at((node or random.choice(self.cores)).ip, "control")
        status, text = 0, b""
        for _ in range(3):
            status, headers, text = await wire.call(address, method, path, body)
            if status != 307:
                break
            address = headers["location"].split("/")[2]
        return status, text

    async def configure(self, config, seconds):
        body = json.dumps(config).encode()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await self.operate("POST", "/config/replace", body)
            if status == 200:
                self.record.note(f"configuration {config['Version']} acknowledged")
                return True
            await asyncio.sleep(0.2)
        return False

    async def request(self, front, identity, path, deadline_ms=600, body=b"{}"):
        """A client's plain request on a connection of its own: (status, headers, body)."""
        headers = {"Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": deadline_ms}
        status, got, text = await wire.call(self.at(front.ip, "front"), "POST", path, body, headers,
                                            deadline_ms / 1000 + 0.5)
        whole = status == 200 and "x-server-stamp" in got and text == f"{path} {identity}".encode()
        self.record.note(f"client {identity}: {front.name} answers {status} {text[:60]!r}")
        return status, whole

    async def stream(self, front, identity, path, model, deadline_ms=15000, patience_s=3.2, tokens="200,40",
                     prompt=None):
        """A client's stream: (status, ids of events, complete). Abandoned after a pause of patience_s."""
        headers = {"Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": deadline_ms, "X-Model": model,
                   "X-Token-Count": tokens, "X-Prompt-Prefix": prompt or f"a0:100,{abs(hash(identity)):x}:100"}
        reader = writer = None
        status, ids, complete = 0, [], False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(front.ip, self.ports["front"]), 1.0)
            writer.write(wire.message(f"POST {path} HTTP/1.1", headers, b"{}"))
            first, got = await asyncio.wait_for(wire.read_head(reader), patience_s)
            status = int(first.split()[1])
            if got.get("transfer-encoding", "") == "chunked":
                chunks = wire.read_chunks(reader)
                while True:
                    try:
                        part = await asyncio.wait_for(chunks.__anext__(), patience_s)
                    except StopAsyncIteration:
                        complete = True
                        break
                    ids += [int(line[3:]) for line in part.decode().split("\n") if line.startswith("id:")]
            else:
                await wire.read_body(reader, got)
                complete = True
        except (wire.Closed, OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        self.record.note(f"client {identity} ({model}): status {status}, {len(ids)} events, "
                         f"{'complete' if complete else 'not complete'}")
        return status, ids, complete

    def end(self):
        for node in self.fronts + self.cores:
            node.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, attempts=2, resumable=False, target_ms=800, timeout_ms=15000):
    return {"Name": f"r{prefix.strip('/')}", "Host": HOST, "PathPrefix": prefix, "RouteKind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "Sticky": kind == "streaming", "Resumable": resumable, "TargetGapMs": 300}


def main(case, **sizes):
    """Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't be played."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes on the way out
    record = Record(pathlib.Path(sys.argv[1]).resolve())
    record.note(f"trouble: {'yes' if trouble else 'no'}")
    platform = None
    code = 2
    try:
        platform = Platform(record, **sizes)

        async def play():
            await asyncio.wait_for(case(platform, trouble), 100)

        asyncio.run(play())
        code = 1 if record.broken else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        record.note(f"could not run: {error!r}")
    except Exception:  # pylint: disable=broad-except
        record.note(traceback.format_exc())
    finally:
        if platform:
            if os.environ.get("KEEP"):
                record.note(f"kept {platform.folder}")
                for node in platform.fronts + platform.cores:
                    node.end()
            else:
                platform.end()
    record.note(f"exit {code}")
    print({0: "held", 1: "broken", 2: "could not run"}[code], *record.broken, sep="\n")
    sys.exit(code)
