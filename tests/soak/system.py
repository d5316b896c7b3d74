"""The real programs as processes on loopback, each at an address of its own."""

import json
import os
import pathlib
import shutil
import signal
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("CROCUSSLIP_BIN", ROOT / "build" / "bin"))
FRONT, READY, CONTROL, LIST, RUNNER, INTERNAL = 18149, 18141, 18144, 18142, 18080, 17380


class Process:
    def __init__(self, system, role, number):
        self.system = system
        self.role = role
        self.number = number
        self.name = f"{role}-{number}"
        self.ip = system.ip(number + (10 if role == "entry" else 20))
        self.child = None
        self.paused = False
        self.stopped_by_us = True
        self.restarts = 0
        self.disruptions = 0  # kills and freezes
        self.data = system.folder / f"{self.name}-data"

    def start(self, bootstrap=False):
        self.data.mkdir(exist_ok=True)
        path = self.system.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.system.settings(self, bootstrap)))
        program = BIN / f"crocusslip-platform-{self.role}"
        with open(self.system.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen([program, "--settings", path], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.stopped_by_us = False

    def send(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.stopped_by_us = True
        self.disruptions += 1
        self.send(signal.SIGKILL)
        self.child.wait()
        self.paused = False

    def terminate(self):
        self.stopped_by_us = True
        self.send(signal.SIGTERM)

    def pause(self, paused):
        self.paused = paused
        self.disruptions += paused
        self.send(signal.SIGSTOP if paused else signal.SIGCONT)

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def ended_by_itself(self):
        return self.child is not None and self.child.poll() is not None and not self.stopped_by_us


class System:
    def __init__(self, folder, net, entries, control=5):
        self.folder = folder
        self.net = net
        self.entries = [Process(self, "entry", i) for i in range(entries)]
        self.control = [Process(self, "control", i) for i in range(control)]

    def ip(self, number):
        return f"127.{self.net}.0.{number + 1}"

    def processes(self):
        return self.entries + self.control

    def settings(self, process, bootstrap):
        listen = ({"Front": f"{process.ip}:{FRONT}", "Ready": f"{process.ip}:{READY}"}
                  if process.role == "entry" else {"Control": f"{process.ip}:{CONTROL}"})
        return {
            "NodeName": process.name, "Zone": f"z{process.number % 2}", "Ip": process.ip, "Listen": listen,
            "InternalPortRange": [INTERNAL, INTERNAL + 15],
            "Seeds": [f"{member.ip}:{CONTROL}" for member in self.control[:3]],
            "Bootstrap": bootstrap, "DataDir": str(process.data) if process.role == "control" else None,
            "Limits": {"MemoryMb": 256}, "CloudApi": {"Address": f"{self.ip(200)}:{LIST}"},
            "Bounds": {"GraceS": 8, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
                       "BudgetExtraRetries": 58},
        }

    def close(self):
        for process in self.processes():
            if process.running():
                process.kill()
