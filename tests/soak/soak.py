#!/usr/bin/env python3
"""Randomized soak: the real programs under overlapping faults, with the promises checked by what
callers, runners and the operator see.

Usage: tests/soak/soak.py [--seeds 1-50] [--seconds 15] [--keep]

A fault is drawn every moment; several overlap. Prints a line for each seed and ends with 1 if a
promise was broken; the folder with the logs of such a run is kept.
"""

import argparse
import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import standins
import system as programs
import wire

HOST = "soak.example"
ENGINES, PLAIN, ENTRIES = 4, 3, 3
NOT_RUN = (408, 421, 429, 503)
APPLY_S = 2.0
RECOVERY_S = 12.0
# Requests after which the drained runner may still get some: those of an entry process that was
# frozen or had no leader to hear it from.
CALM_S = 8.0
# Requests with a part of a prompt that crashes runners: how long they come, and when they are held back.
DEADLY_S = 12.0
DEADLY_CRASHES, HOLD_S, MAX_LATE = 5, 3.0, 3


class Record:
    """What the runners ran, and which promises were broken."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.answers = {}
        self.findings = []
        self.last_disturbance = 0.0
        self.disturbed = collections.defaultdict(float)  # by entry process, and of the control group
        self.deadly = {}  # part of a prompt: times of its crashes
        self.striking = set()
        self.senders = {}  # entry processes of the requests with such a part
        self.late = collections.Counter()
        self.begun = set()

    def is_calm(self, entry):
        last = max(self.disturbed["control"], self.disturbed[entry.name])
        return time.monotonic() - last > CALM_S

    def reached(self, identity, prompt):
        """A stream reached a runner. Returns the part of its prompt that crashes runners, if any."""
        part = next((part for part in wire.shared_parts(prompt) if part in self.deadly), None)
        crashes = self.deadly.get(part, [])
        if len(crashes) >= DEADLY_CRASHES and self.is_calm(self.senders[identity]) and (
                time.monotonic() - crashes[DEADLY_CRASHES - 1] > HOLD_S):
            self.late[part] += 1
            if self.late[part] == MAX_LATE + 1:
                self.broken("requests with a deadly part of a prompt still reach runners",
                            f"part {part}, {identity} at {self.senders[identity].name}")
        return part

    def ran(self, identity, runner):
        now = time.monotonic()
        self.runs[identity].append(runner.id)
        late = runner.left is not None and now - runner.left > (
            standins.LIST_LAG_S + standins.DRAIN_S + 1.0)
        if late and now - self.last_disturbance > CALM_S:
            self.broken("a leaving runner got a request", f"{identity} at {runner.id}")

    def broken(self, promise, detail):
        self.findings.append(f"{promise}: {detail}")


class Soak:
    def __init__(self, seed, folder, net):
        self.random = random.Random(seed)
        random.seed(seed)
        self.record = Record()
        self.system = programs.System(folder, net, ENTRIES)
        self.runners, self.proxies = [], []
        for number in range(ENGINES + PLAIN):
            engine = number < ENGINES
            own = f"{self.system.ip(100 + number)}:{programs.RUNNER}"
            seen = f"{self.system.ip(150 + number)}:{programs.RUNNER}"
            self.runners.append(standins.Runner(self.record, "llm" if engine else "desk", number, own, engine))
            self.proxies.append(wire.Proxy(seen, own))
        self.list = standins.List(f"{self.system.ip(200)}:{programs.LIST}", self.runners, self.proxies)
        self.version = 0
        self.acknowledged = []  # (time, version)
        self.stopping = False
        self.counts = collections.Counter()
        self.next_id = 0
        self.wiped_at = 0.0
        self.streams = []  # (identity, whether requests with a deadly part are held back meanwhile)

    # ---- the operator ----

    def config(self, version):
        def route(prefix, kind, service, resumable, attempts):
            return {"Name": prefix, "Host": HOST, "PathPrefix": prefix, "RouteKind": kind,
                    "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
                    "MaxAttempts": attempts, "Sticky": True, "Resumable": resumable, "TargetGapMs": 300}
        engine = {"Slots": 8, "KvCapacity": 100000, "WeightsMb": standins.RUNNER_MB, "AdapterSlots": 8,
                  "LoadsPerS": 4.0, "HostMb": 0, "DiskMb": 550000, "Models": [
                      {"Name": name, "WeightsMb": size, "LoadS": standins.STORE_LOAD_S, "Adapters": 0,
                       "AdapterMb": 40, "WarmS": standins.DISK_LOAD_S, "DiskS": standins.DISK_LOAD_S}
                      for name, size in standins.MODELS.items()]}
        return {"Version": version, "Routes": [
            route("/safe/", "safe", "desk", False, 2), route("/once/", "unsafe", "desk", False, 1),
            route("/stream/", "streaming", "llm", True, 2), route("/stream1/", "streaming", "llm", False, 1),
            route(f"/new{version}/", "safe", "desk", False, 2)],
            "Services": [
                {"Name": "llm", "HealthPath": "/health", "MaxConnections": 100, "Engine": engine},
                {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}

    async def operate(self, method, path, body=b"", headers=None):
        """To any control process, following two redirects."""
        address = f"{self.random.choice(self.system.control).ip}:{programs.CONTROL}"
        status, text = 0, b""
        for _ in range(3):
            status, got, text = await wire.call(address, method, path, body, headers)
            if status != 307:
                break
            address = got["location"].split("/")[2]
        return status, text

    async def change(self, give_up_s):
        self.version += self.random.randint(1, 3)
        body = json.dumps(self.config(self.version)).encode()
        version, until = self.version, time.monotonic() + give_up_s
        while time.monotonic() < until:
            status, _ = await self.operate("POST", "/config/replace", body)
            if status == 200:
                self.acknowledged.append((time.monotonic(), version))
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.broken("a proper change was refused", f"version {version}: {status}")
            await asyncio.sleep(0.1)
        return False

    async def read_back(self):
        begin = time.monotonic()
        status, text = await self.operate("GET", "/config/read")
        if status != 200:
            return
        self.counts["config reads"] += 1
        due = max((v for t, v in self.acknowledged if t < begin - APPLY_S), default=0)
        if json.loads(text)["Version"] < due:
            self.record.broken("an accepted change was read back older", f"{json.loads(text)['Version']} < {due}")

    async def operator(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            await (self.change(4.0) if self.random.random() < 0.5 else self.read_back())

    # ---- callers ----

    def identity(self):
        self.next_id += 1
        return f"r{self.next_id}"

    async def caller(self, keeps):
        """Uses a connection to one entry process, to its end or for some requests, then takes another."""
        while not self.stopping:
            entry = self.random.choice(self.system.entries)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(entry.ip, programs.FRONT), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in itertools.count() if keeps else range(self.random.randint(1, 30)):
                    if self.stopping or not await self.request(entry, reader, writer):
                        break
                    await asyncio.sleep(self.random.uniform(0, 0.05))
            finally:
                writer.close()

    async def request(self, entry, reader, writer):
        kind = self.random.choice(["/safe/", "/safe/", "/once/", "/once/", "/stream/", "/stream/", "/stream1/"])
        path = f"{kind}{self.random.randint(0, 999)}"
        identity = self.identity()
        headers = {"Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": "4000"}
        if "stream" in kind:
            headers.update(self.prompt(f"b{self.random.randint(0, 3)}"))
            if not self.record.striking or self.held_back(entry):
                self.streams.append((identity, bool(self.record.striking)))
        restarts, disruptions, begin = entry.restarts, entry.disruptions, time.monotonic()
        writer.write(wire.message(f"POST {path} HTTP/1.1", headers, b"{}"))
        status, keep, cut = 0, False, False
        try:
            status, keep = await asyncio.wait_for(self.answer(reader, identity, path), 7.0)
        except (wire.Closed, OSError):
            cut = True
        except asyncio.TimeoutError:
            if entry.restarts == restarts and not entry.paused and time.monotonic() - self.record.last_disturbance > 7:
                self.record.broken("a request got no answer", f"{identity} at {entry.name}")
        self.record.answers[identity] = (kind, status)
        self.counts[status if not cut else "cut"] += 1
        # A stream may break with its runner; anything else is answered unless its process was killed.
        undisturbed = entry.restarts == restarts and entry.running() or entry.disruptions == disruptions
        if cut and "stream" not in kind and undisturbed and (
                time.monotonic() - begin > 0.2 or self.record.runs.get(identity)):
            self.record.broken("a request was dropped", f"{identity} at {entry.name}")
        return status != 0 and keep

    def prompt(self, part):
        model = f"m{int(len(standins.MODELS) * self.random.random() ** 2)}"
        return {"X-Model": model, "X-Token-Count": "100,36",
                "X-Prompt-Prefix": f"a0:60,{part}:20,{0x100000 + self.next_id:x}:20"}

    def held_back(self, entry):
        """Whether requests with a deadly part should no longer get in the way of sound ones."""
        crashes = [self.record.deadly[part][:DEADLY_CRASHES] for part in self.record.striking]
        return self.record.is_calm(entry) and all(
            times and time.monotonic() - times[-1] > 2 * HOLD_S for times in crashes)

    async def answer(self, reader, identity, path):
        first, headers = await wire.read_head(reader)
        status = int(first.split()[1])
        chunks = headers.get("transfer-encoding", "") == "chunked"
        body = await wire.read_body(reader, headers)
        if status == 200:
            if path.startswith("/stream"):
                whole = "".join(f"id: {n}\ndata: {path} {n}\n\n" for n in range(1, standins.EVENTS + 1))
            else:
                whole = f"{path} {identity}"
            if body.decode() != whole or not headers.get("x-server-stamp") or (
                    headers.get("x-request-id") != identity):
                self.record.broken("a success is not the whole answer to its request", f"{identity}: {body[:200]}")
        return status, headers.get("connection", "") != "close" and (chunks or "content-length" in headers)

    # ---- faults ----

    def disturb(self, process):
        self.record.last_disturbance = time.monotonic()
        self.record.disturbed["control" if process.role == "control" else process.name] = time.monotonic()

    async def fault(self):
        kind = self.random.choice([name for name in dir(self) if name.startswith("fault_")])
        self.counts["faults"] += 1
        await getattr(self, kind)()

    async def fault_link(self):
        proxy = self.random.choice(self.proxies)
        proxy.inject(self.random.choice(wire.Proxy.FAULTS))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        proxy.inject(None)

    async def fault_runner_crash(self):
        runner = self.random.choice(self.runners)
        if runner.server is None or runner.state != "ready":
            return
        runner.crash()
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        await runner.start()

    async def fault_runner_leaves(self):
        runner = self.random.choice(self.runners)
        if runner.server is None or runner.state != "ready":
            return
        runner.drain()
        await asyncio.sleep(standins.DRAIN_S + 3.0)
        runner.crash()
        await asyncio.sleep(1.0)
        await runner.start()

    async def fault_runner_grey(self):
        runner = self.random.choice(self.runners)
        runner.grey, runner.lose = self.random.choice([(0.4, 0), (0, 0.1), (0, 0)])
        runner.slow = self.random.choice([1, 1, 6])
        await asyncio.sleep(self.random.uniform(1.0, 4.0))
        runner.grey, runner.lose, runner.slow = 0.0, 0.0, 1.0

    async def fault_entry_killed(self):
        await self.restart(self.random.choice(self.system.entries), kill=True)

    async def fault_entry_stopped(self):
        await self.restart(self.random.choice(self.system.entries), kill=False)

    async def fault_control_killed(self):
        # All of them may be killed at once; their disks stay.
        count = self.random.choice([1, 1, 2, 5])
        chosen = self.random.sample(self.system.control, count)
        await asyncio.gather(*[self.restart(process, kill=True) for process in chosen])

    async def fault_control_stopped(self):
        await self.restart(self.random.choice(self.system.control), kill=False)

    async def fault_control_wiped(self):
        # Two lost disks of five are borne; a lost one counts until it has caught up again.
        if time.monotonic() - self.wiped_at < 8.0:
            return
        self.wiped_at = time.monotonic()
        await self.restart(self.random.choice(self.system.control), kill=True, wipe=True)

    async def restart(self, process, kill, wipe=False):
        if not process.running() or process.stopped_by_us:
            return
        self.disturb(process)
        if kill:
            process.restarts += 1
            process.kill()
        else:
            process.terminate()
            for _ in range(90):
                if not process.running():
                    break
                await asyncio.sleep(0.1)
            else:
                self.record.broken("a process did not end in its grace", process.name)
                process.kill()
            process.restarts += 1
        if wipe:
            process.wipe()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        process.start()
        self.disturb(process)

    async def fault_pause(self):
        process = self.random.choice(self.system.processes())
        if not process.running() or process.paused or process.stopped_by_us:
            return
        self.disturb(process)
        process.pause(True)
        await asyncio.sleep(self.random.uniform(0.3, 3.5))
        process.pause(False)
        self.disturb(process)

    async def fault_reload(self):
        self.random.choice(self.system.processes()).send(signal.SIGHUP)

    async def fault_signals(self):
        # Two entry processes stop at the same time among reloads; the others stay up.
        if not all(entry.running() and not entry.stopped_by_us for entry in self.system.entries):
            return
        stops = [asyncio.create_task(self.restart(entry, kill=False))
                 for entry in self.random.sample(self.system.entries, 2)]
        for process in self.random.choices(self.system.processes(), k=self.random.randint(4, 12)):
            process.send(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
        await asyncio.gather(*stops)

    async def fault_deadly_prompt(self):
        part = f"dead{len(self.record.deadly):x}"
        self.record.deadly[part] = []
        self.record.striking.add(part)
        calls, until = [], time.monotonic() + DEADLY_S
        while time.monotonic() < until:
            calls.append(asyncio.create_task(self.deadly_request(part)))
            await asyncio.sleep(self.random.uniform(0.2, 0.6))
        self.record.striking.discard(part)
        await asyncio.gather(*calls)

    async def deadly_request(self, part):
        entry, kind = self.random.choice(self.system.entries), self.random.choice(["/stream/", "/stream1/"])
        identity = self.identity()
        self.record.senders[identity] = entry
        status, _, _ = await wire.call(f"{entry.ip}:{programs.FRONT}", "POST", f"{kind}{identity}", b"{}", {
            "Host": HOST, "X-Request-Id": identity, "X-Deadline-Ms": "4000", **self.prompt(part)}, 5.0)
        self.record.answers[identity] = (kind, status)
        self.counts["deadly"] += 1
        if status == 200:
            self.record.broken("a success is not the whole answer to its request", identity)

    # ---- a run ----

    async def watch(self):
        while not self.stopping:
            for process in self.system.processes():
                if process.ended_by_itself():
                    self.record.broken("a process ended by itself", f"{process.name}: {process.child.poll()}")
                    process.start()
            await asyncio.sleep(0.1)

    async def run(self, seconds):
        # Connections that are still open at the end are cancelled; that is no error.
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: isinstance(context.get("exception"), asyncio.CancelledError)
            or loop.default_exception_handler(context))
        for part in self.runners + self.proxies + [self.list]:
            await part.start()
        for process in self.system.processes():
            process.start(bootstrap=True)
        if not await self.change(10.0):
            self.record.broken("the first configuration was not accepted", "10 s")
        await asyncio.sleep(2.0)
        callers = [asyncio.create_task(self.caller(number % 2 == 0)) for number in range(8)]
        others = [asyncio.create_task(self.operator()), asyncio.create_task(self.watch())]
        faults, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*faults)
        await asyncio.gather(asyncio.sleep(RECOVERY_S), self.fault_deadly_prompt())
        await self.check_recovery()
        self.stopping = True
        await asyncio.gather(*callers, *others)
        self.check_runs()
        self.check_sound_streams()
        for part in self.runners + self.proxies + [self.list]:
            if part.server is not None:
                part.server.close()

    async def check_recovery(self):
        if not await self.change(4.0):
            self.record.broken("not recovered", "a change is not accepted")
            return
        await asyncio.sleep(APPLY_S)
        served = 0
        for number in range(30):
            entry = self.system.entries[number % ENTRIES]
            path = [f"/new{self.version}/x", "/once/x", "/safe/x"][number % 3]
            status, _, _ = await wire.call(f"{entry.ip}:{programs.FRONT}", "POST", path, b"{}", {
                "Host": HOST, "X-Request-Id": self.identity(), "X-Deadline-Ms": "2000"}, 3.0)
            served += status == 200
        if served < 27:
            self.record.broken("not recovered", f"{served} of 30 requests served")
        await self.check_leaders()
        begin = time.monotonic()
        status, text = 0, b""
        while status != 200 and time.monotonic() < begin + 4.0:
            status, text = await self.operate("GET", "/config/read")
        newest = max(version for _, version in self.acknowledged)
        if status != 200 or json.loads(text)["Version"] < newest:
            self.record.broken("an accepted change is lost", f"{status}, newest {newest}")

    async def check_leaders(self):
        leaders = 0
        for process in self.system.control:
            _, _, text = await wire.call(f"{process.ip}:{programs.CONTROL}", "GET", "/metrics")
            leaders += b"\ncrocusslip_leads 1" in text
        if leaders != 1:
            self.record.broken("not recovered", f"{leaders} control processes say that they lead")

    def check_sound_streams(self):
        begun = {held: [identity in self.record.begun for identity, other in self.streams if other == held]
                 for held in (False, True)}
        shares = {held: sum(streams) / max(len(streams), 1) for held, streams in begun.items()}
        if min(len(streams) for streams in begun.values()) >= 20 and shares[True] < shares[False] / 2:
            self.record.broken("sound streams do not begin beside held ones", f"{shares[True]:.2f} of "
                               f"{len(begun[True])} begin, {shares[False]:.2f} otherwise")

    def check_runs(self):
        for identity, (kind, status) in self.record.answers.items():
            runs = self.record.runs.get(identity, [])
            if kind in ("/once/", "/stream1/") and len(runs) > 1:
                self.record.broken("a non-idempotent request ran twice", f"{identity}: {runs}")
            if kind in ("/once/", "/stream1/") and status in NOT_RUN and runs:
                self.record.broken("a request refused as not run has run", f"{identity}: {status}, {runs}")
            if len(runs) > 2:
                self.record.broken("a request reached more servers than allowed", f"{identity}: {runs}")


def play(seed, seconds, keep):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"crocusslip-soak-{seed}-"))
    # An address block of its own, so that runs can go side by side.
    soak = Soak(seed, folder, 2 + os.getpid() % 250)
    try:
        asyncio.run(soak.run(seconds))
    finally:
        soak.system.close()
    counts = soak.counts
    answered = sum(count for key, count in counts.items() if isinstance(key, int) and key)
    print(f"seed {seed}: {counts['faults']} faults, {answered} answered, {counts[200]} served, "
          f"{counts[503]} refused, {counts['cut']} cut, {sum(map(len, soak.record.deadly.values()))} crashes by "
          f"{counts['deadly']} deadly requests, {len(soak.acknowledged)} changes, "
          f"{len(soak.record.findings)} findings", flush=True)
    for finding in soak.record.findings[:20]:
        print(f"  {finding}")
    if soak.record.findings or keep:
        print(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return len(soak.record.findings)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="a number, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=15, help="how long faults are injected")
    parser.add_argument("--keep", action="store_true", help="keep the logs of all runs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = [seed for seed in range(int(first), int(last or first) + 1)
              if play(seed, options.seconds, options.keep)]
    print(f"{len(broken)} of {int(last or first) - int(first) + 1} seeds broke a promise"
          + (f": {broken}" if broken else ""))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
