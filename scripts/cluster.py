"""Starts crocusslip processes and stand-ins on loopback for experiments.

Every process is started here and ended by its id; ports lie between 20000 and
29999 and are checked to be free first.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CROCUSSLIP_BIN", ROOT / "build" / "bin"))


def call(url, body=None, timeout=5.0, headers=None):
    """Returns (status, text); status 0 when there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def wait_for(what, condition, seconds=20.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise RuntimeError(f"gave up waiting for {what}")


class Process:
    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.folder = folder
        self.child = None

    def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def terminate(self, seconds=30):
        self.send(signal.SIGTERM)
        return self.child.wait(seconds)

    def running(self):
        return self.child is not None and self.child.poll() is None


class Cluster:
    """Control members, entry hosts and stand-ins with one settings tree."""

    def __init__(self, control=3, entries=3, engines=3, services=1, domains=3,
                 voters=None, base=None, load_ms=300, token_ms=20,
                 service_ms=10, store=False, hosts=False, crash_on="",
                 ignore_fencing=(), log_level="info", slots=8, control_extra="",
                 entry_extra="", service_log=True):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="crocusslip-"))
        base = base or int(os.environ.get("CROCUSSLIP_BASE_PORT", "20000"))
        self.base = base
        self.processes = {}
        self.control = list(range(1, control + 1))
        self.entries = list(range(1, entries + 1))
        self.engines = list(range(1, engines + 1))
        self.services = list(range(1, services + 1))
        voters = voters or control
        members = "".join(
            f'[[members]]\nid = {i}\naddress = "127.0.0.1:{base + 200 + i}"\n'
            f'admin = "127.0.0.1:{base + 100 + i}"\n'
            f'failure_domain = "fd{(i - 1) % domains + 1}"\n'
            f"voter = {'true' if i <= voters else 'false'}\n"
            for i in self.control
        )
        for i in self.control:
            self.write(
                f"control-{i}.toml",
                self.head(i, domains, f"control-{i}")
                + f"member = {i}\nallow_faults = true\n[log]\nlevel = \"{log_level}\"\n"
                + f'[listen]\nrpc = "127.0.0.1:{base + 200 + i}"\n'
                + f'admin = "127.0.0.1:{base + 100 + i}"\n{control_extra}{members}',
            )
            self.add(f"control-{i}", BIN / "crocusslip-control", "--config",
                     self.folder / f"control-{i}.toml", "--bootstrap")
        for i in self.entries:
            self.write(
                f"entry-{i}.toml",
                self.head(i, domains, f"entry-{i}")
                + f'[log]\nlevel = "{log_level}"\n[listen]\nhttp = "127.0.0.1:{base + i}"\n'
                + f"{entry_extra}{members}",
            )
            self.add(f"entry-{i}", BIN / "crocusslip-entry", "--config",
                     self.folder / f"entry-{i}.toml")
        if store:
            self.add("store", BIN / "crocusslip-fakes", "store", "--port", base + 501,
                     "--log", self.folder / "store.jsonl")
        if hosts:
            self.add("hosts", BIN / "crocusslip-fakes", "hosts", "--port", base + 502,
                     "--log", self.folder / "hosts.jsonl", "--lag-ms", 5000)
        for i in self.engines:
            arguments = ["engine", "--name", f"engine-{i}", "--port", base + 300 + i,
                         "--load-ms", load_ms, "--token-ms", token_ms, "--slots", slots,
                         "--log", self.folder / "engines.jsonl"]
            arguments += ["--store", f"http://127.0.0.1:{base + 501}"] if store else []
            arguments += ["--crash-on", crash_on] if crash_on else []
            arguments += ["--ignore-fencing"] if i in ignore_fencing else []
            self.add(f"engine-{i}", BIN / "crocusslip-fakes", *arguments)
        for i in self.services:
            self.add(f"service-{i}", BIN / "crocusslip-fakes", "service", "--name",
                     f"service-{i}", "--port", base + 400 + i, "--service-ms", service_ms,
                     *(["--log", self.folder / "services.jsonl"] if service_log else []))
        self.ignore_fencing = ignore_fencing
        self.domains = domains
        self.slots = slots
        self.hosts = hosts

    def head(self, number, domains, data):
        return (f'cluster = "bench"\nhost = "host-{number}"\n'
                f'failure_domain = "fd{(number - 1) % domains + 1}"\n'
                f'data_folder = "{self.folder}/{data}"\n')

    def write(self, name, text):
        (self.folder / name).write_text(text)

    def add(self, name, *arguments):
        self.processes[name] = Process(name, arguments, self.folder)

    def __enter__(self):
        for process in self.processes.values():
            process.start()
        try:
            wait_for("a leader", self.leader)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for process in self.processes.values():
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            if process.child:
                process.child.wait()

    def admin(self, member, path, body=None, timeout=5.0):
        return call(f"http://127.0.0.1:{self.base + 100 + member}/admin/v1/{path}",
                    body, timeout)

    def leader(self):
        for member in self.control:
            status, text = self.admin(member, "status", timeout=1.0)
            if status == 200 and json.loads(text)["has_lease"]:
                return member
        return None

    def entry(self, number):
        return f"http://127.0.0.1:{self.base + number}"

    def tree(self, deployments=3, max_replicas=2, keep_alive="30s", memory="8GiB",
             queue_limit=256):
        """Edits for the stand-ins, some models, one adapter each, one service."""
        edits = [
            ("root", f'callers = ["*"]\nmax_replicas = {max_replicas}\n'
                     f'keep_alive_min = "1s"\nkeep_alive_max = "{keep_alive}"\n'
                     'order_deadline = "5s"\n'
                     f"queue_limit = {queue_limit}\n"),
            ("store", "loads_per_second = 8.0\nconcurrent_loads = 4\nadapter_loads = 32\n"),
            ("model.base", f'memory = "{memory}"\nload_from_remote = "300ms"\n'
                           'load_from_disk = "300ms"\nload_from_memory = "300ms"\n'),
        ]
        if self.hosts:
            edits.append(("platform", f'host_list_url = "http://127.0.0.1:{self.base + 502}/hosts"\n'
                                      'poll_interval = "500ms"\n'))
        for i in self.engines:
            fencing = "ignored" if i in self.ignore_fencing else "checked"
            edits.append((f"server.engine-{i}",
                          f'address = "127.0.0.1:{self.base + 300 + i}"\n'
                          f'failure_domain = "fd{(i - 1) % self.domains + 1}"\n'
                          f'memory = "40GiB"\npool = "gpu"\nslots = {self.slots}\n'
                          f'fencing = "{fencing}"\n'))
        for i in self.services:
            edits.append((f"server.service-{i}",
                          f'address = "127.0.0.1:{self.base + 400 + i}"\nkind = "service"\n'
                          f'failure_domain = "fd{(i - 1) % self.domains + 1}"\npool = "book"\n'
                          "slots = 64\n"))
        for i in range(1, deployments + 1):
            edits.append((f"deployment.model-{i}", 'model = "base"\npool = "gpu"\n'))
            edits.append((f"deployment.adapter-{i}",
                          f'kind = "adapter"\nbase = "model-{i}"\nmemory = "64MiB"\npool = "gpu"\n'))
        if self.services:
            edits.append(("deployment.deposits",
                          'kind = "service"\npool = "book"\npath_prefix = "/deposits"\n'
                          'non_idempotent = ["POST /deposits"]\nqueue_limit = 20000\n'))
        return [{"path": path, "toml": toml} for path, toml in edits]

    def configure(self, **options):
        leader = wait_for("a leader", self.leader)
        status, text = self.admin(leader, "config", {
            "change_id": "first", "expected_revision": 0, "edits": self.tree(**options)})
        if status != 200:
            raise RuntimeError(f"settings refused: {status} {text}")
        for entry in self.entries:
            wait_for(f"entry {entry}",
                     lambda e=entry: call(self.entry(e) + "/readyz")[0] == 200)

    def change(self, edits, expected, change_id, seconds=20.0):
        """Sends a change until it is answered, with one change id."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            leader = self.leader()
            if leader:
                status, text = self.admin(leader, "config", {
                    "change_id": change_id, "expected_revision": expected, "edits": edits})
                if status in (200, 409, 422):
                    return status, json.loads(text)
            time.sleep(0.02)
        return 0, {}

    def load(self, *arguments, wait=True):
        child = subprocess.Popen([str(BIN / "crocusslip-load"), "--json",
                                  *[str(a) for a in arguments]],
                                 stdout=subprocess.PIPE, text=True)
        return json.loads(child.communicate()[0]) if wait else child

    def targets(self, entries=None):
        arguments = []
        for entry in entries or self.entries:
            arguments += ["--target", self.entry(entry)]
        return arguments

    def events(self, name):
        path = self.folder / name
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line]
