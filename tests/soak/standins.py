"""Stand-ins of the users' platform: model runners, plain runners and the list of both."""

import asyncio
import json
import random
import time

import wire

DRAIN_S = 3.0
LIST_LAG_S = 0.5
MODELS = {f"m{i}": 34300 if i % 2 else 16100 for i in range(8)}
RUNNER_MB = 83000
STORE_LOAD_S = 0.8
DISK_LOAD_S = 0.2
EVENTS = 12
EVENT_S = 0.02


class Runner:
    """One runner. Everything that it runs is written into the record."""

    def __init__(self, record, service, number, address, engine):
        self.record = record
        self.service = service
        self.address = address
        self.number = number
        self.engine = engine
        self.starts = 0
        self.disk = set()
        self.server = None
        self.starting = False
        self.connections = set()
        self.grey = 0.0
        self.lose = 0.0
        self.slow = 1.0

    async def start(self):
        if self.server is not None or self.starting:
            return
        self.starting = True
        self.starts += 1
        self.id = f"{self.service}-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.left = None
        self.models = set()
        if self.engine and self.starts == 1:
            self.models = {f"m{self.number % len(MODELS)}"}
            self.disk |= self.models
        self.sequence = 0
        self.busy = False
        self.fences = {}
        self.running = 0
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.starting = False

    def crash(self):
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def restart(self):
        await asyncio.sleep(random.uniform(1.0, 3.0))
        await self.start()

    def drain(self):
        self.state = "draining"
        self.left = time.monotonic()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                if self.server is None or writer.is_closing():
                    break
                method, path, _ = first.split()
                if not await self.answer(reader, writer, method, path, headers, body):
                    break
        except (wire.Closed, OSError, RuntimeError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def reply(self, writer, status, headers=None, body=b""):
        writer.write(wire.message(f"HTTP/1.1 {status} X", headers or {}, body))
        await writer.drain()
        return True

    async def answer(self, reader, writer, method, path, headers, body):
        expected = headers.get("x-expect-instance")
        not_run = {"X-Not-Executed": "1"}
        if expected not in (None, self.id):
            return await self.reply(writer, 421, not_run)
        if path == "/report":
            return await self.reply(writer, 200, {}, json.dumps(self.report()).encode())
        if path == "/order":
            return await self.reply(writer, self.order(json.loads(body)))
        model = headers.get("x-model")
        identity = headers.get("x-request-id", "")
        echo = {"X-Request-Id": identity}
        deadly = self.record.reached(identity, headers.get("x-prompt-prefix", "")) if self.engine else None
        if self.engine and model not in self.models:
            return await self.reply(writer, 421, {**not_run, **echo})
        if self.running >= 8:
            return await self.reply(writer, 503, {**not_run, **echo})
        self.running += 1
        try:
            return await self.run(writer, path, headers, {**echo, "X-Server-Stamp": self.id}, deadly)
        finally:
            self.running -= 1

    async def run(self, writer, path, headers, answer, deadly):
        identity = answer["X-Request-Id"]
        self.record.ran(identity, self)
        head = ("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in answer.items())
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        if deadly:
            if random.random() < 0.5:
                writer.write(head)
            self.record.deadly[deadly].append(time.monotonic())
            self.crash()
            asyncio.create_task(self.restart())
            return False
        if random.random() < self.grey:
            return await self.reply(writer, 500, answer, b"broken")
        if not path.startswith("/stream"):
            await asyncio.sleep(random.uniform(0.005, 0.02) * self.slow)
            if random.random() < self.lose:
                writer.transport.abort()
                return False
            return await self.reply(writer, 200, answer, f"{path} {identity}".encode())
        writer.write(head)
        for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S * self.slow)
            if random.random() < self.lose / EVENTS:
                writer.transport.abort()
                return False
            event = f"id: {number}\ndata: {path} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.record.begun.add(identity)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def report(self):
        return {"Stage": "both", "born": self.born, "Busy": self.busy, "Sequence": self.sequence,
                "Models": self.held(), "Queued": 0, "Running": self.running, "KvUsed": 0,
                "KvTotal": 100000, "Handles": 0, "Available": {"Resident": [], "OnDisk": sorted(self.disk)}}

    def held(self):
        return [{"Name": name, "Version": 1, "Adapters": []} for name in sorted(self.models)]

    def order(self, order):
        fence, holder = order["FencingToken"], order["Holder"]
        if fence < max(self.fences, default=0):
            return 412
        if self.fences.setdefault(fence, holder) != holder:
            self.record.broken("two holders gave orders with one fencing token",
                               f"{self.id}: {self.fences[fence]} and {holder} with {fence}")
        if order.get("Expect", self.sequence) != self.sequence or self.busy:
            return 409
        model = order["Model"]
        load = order["Operation"] == "load"
        if (model in self.models) == load:
            return 200
        self.sequence += 1
        self.busy = True
        asyncio.create_task(self.carry_out(model, load, self.starts))
        return 202

    async def carry_out(self, model, load, start):
        if load:
            used = sum(MODELS[name] for name in self.models) + MODELS[model]
            if used > RUNNER_MB:
                self.record.broken("a runner was ordered to load more than it holds", f"{self.id}: {model}")
            await asyncio.sleep(DISK_LOAD_S if model in self.disk else STORE_LOAD_S)
        if start != self.starts or self.server is None:
            return
        if load:
            self.models.add(model)
            self.disk.add(model)
        else:
            self.models.discard(model)
        self.busy = False

    def entry(self, address):
        return {"Id": self.id, "Service": self.service, "Address": address, "Zone": f"z{self.number % 2}",
                "Version": "v1", "Slots": 8, "State": self.state, "ColdRemainingMs": 0, "Stage": "both",
                "Models": self.held(), "born": self.born}


class List:
    """The platform's list of runners, as it was LIST_LAG_S ago, with an entry of another writer."""

    def __init__(self, address, runners, proxies):
        self.address = address
        self.runners = runners
        self.proxies = proxies
        self.history = []

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        asyncio.create_task(self.watch())

    async def watch(self):
        while True:
            entries = [runner.entry(proxy.address) for runner, proxy in zip(self.runners, self.proxies)
                       if runner.server is not None]
            self.history.append((time.monotonic(), entries + [{"Id": 7, "State": "unknown"}]))
            while len(self.history) > 1 and self.history[1][0] < time.monotonic() - LIST_LAG_S:
                self.history.pop(0)
            await asyncio.sleep(0.05)

    async def serve(self, reader, writer):
        try:
            await wire.read_head(reader)
            body = json.dumps({"Instances": self.history[0][1], "Next": None}).encode()
            writer.write(wire.message("HTTP/1.1 200 OK", {"Connection": "close"}, body))
            await writer.drain()
        except (wire.Closed, OSError):
            pass
        finally:
            writer.close()
