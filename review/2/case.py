"""The open connections between the core machines go silent, twice; new ones work."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import stage  # noqa: E402
import wire  # noqa: E402

CONTACT_S = stage.BOUNDS["ContactMs"] / 1000
APART_S = 10.0
WATCH_S = 60.0


def config(version):
    engine = {"Slots": 64, "KvCapacity": 121265, "HostMb": 0, "DiskMb": 550000, "WeightsMb": 83000,
              "AdapterSlots": 8, "LoadsPerS": 7.7,
              "Models": [{"Name": "m-a", "WeightsMb": 16100, "LoadS": 2.0, "Adapters": 0, "AdapterMb": 14.0,
                          "WarmS": 0.5, "DiskS": 0.7}]}
    return {"Version": version, "Routes": [stage.route("/writer/", "streaming", "writer", resumable=True)],
            "Services": [{"Name": "writer", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1",
                          "Tls": False, "Engine": engine}], "Limits": stage.LIMITS}


async def link_cores(platform):
    """A proxy on each link between two core machines, and from the frontend machines to them.

    Each process has an internal port of its own, and finds the others at that port of their addresses, where
    the proxies listen: to each process it looks as if the ports were the same on all machines."""
    base = platform.ports["internal"]
    for number, node in enumerate(platform.cores):
        node.internal = base + 20 * number
    for node in platform.fronts:
        node.internal = base + 20 * len(platform.cores)
    proxies = []
    for target in platform.cores:
        for port in {node.internal for node in platform.cores + platform.fronts} - {target.internal}:
            proxy = stage.Proxy(target.ip, port, target.ip, target.internal)
            await proxy.start()
            if port != platform.fronts[0].internal:
                proxies.append(proxy)
    return proxies


async def leader(platform):
    for node in platform.cores:
        _, _, text = await wire.call(platform.at(node.ip, "control"), "GET", "/metrics")
        if b"\ncrocusslip_leads 1" in text:
            return node.name
    return "none"


async def new_connections(proxies):
    """How many of the links take a new connection, all the way to the process at the far end."""
    work = 0
    for proxy in proxies:
        before = len(proxy.open)
        _, writer = await asyncio.open_connection(*proxy.own)
        await asyncio.sleep(0.05)
        work += len(proxy.open) > before
        writer.close()
    return work


async def case(platform, trouble):
    record = platform.record
    loop = asyncio.get_running_loop()
    proxies = await link_cores(platform)
    platform.runners.append(stage.Runner(platform, 0, "writer", 64, config(1)["Services"][0]["Engine"]))
    await platform.start(config(1))
    await asyncio.sleep(3)
    for turn in range(2):
        if not await platform.configure(config(2 + turn), 10):
            raise stage.CannotRun(f"configuration {2 + turn} was not acknowledged")
        record.note(f"leader: {await leader(platform)}")
        if trouble:
            count = sum(proxy.silence() for proxy in proxies)
            record.note(f"{count} open connections between core machines go silent; new ones work")
        begin = loop.time()
        await asyncio.sleep(APART_S if turn == 0 else CONTACT_S)
    answers = {}
    read = changed = None
    asked = 0
    while loop.time() < begin + WATCH_S and not (read and changed):
        asked += 1
        node = platform.cores[asked % len(platform.cores)]
        status, text = await platform.operate("GET", "/config/read", node=node)
        answers[f"read {status}"] = answers.get(f"read {status}", 0) + 1
        if status == 200 and json.loads(text)["Version"] >= 3 and not read:
            read = loop.time() - begin
            record.note(f"configuration read back after {read:.1f} s")
        status, _ = await platform.operate("POST", "/config/replace", json.dumps(config(4)).encode(), node)
        answers[f"change {status}"] = answers.get(f"change {status}", 0) + 1
        if status == 200 and not changed:
            changed = loop.time() - begin
            record.note(f"configuration 4 acknowledged after {changed:.1f} s")
        await asyncio.sleep(0.5)
    record.note(f"new connections work on {await new_connections(proxies)} of {len(proxies)} links")
    record.note(f"answers to the operator: {answers}; leader: {await leader(platform)}; core processes running: "
                f"{sum(node.running() for node in platform.cores)} of {len(platform.cores)}")
    if not read:
        record.breaks(f"the acknowledged configuration doesn't come in {WATCH_S:.0f} s: {answers}")


stage.main(case, fronts=2, cores=3)
