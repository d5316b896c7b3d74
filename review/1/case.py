"""All processes are killed after a change that leaves only plain services."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import stage  # noqa: E402
import wire  # noqa: E402

RECOVERY_S = stage.BOUNDS["RecoveryS"]
DOWN_S = 1.2
COUNT_S = 10.0
ENGINE = {"Slots": 64, "KvCapacity": 121265, "HostMb": 0, "DiskMb": 550000, "WeightsMb": 83000, "AdapterSlots": 8,
          "LoadsPerS": 7.7, "Models": [{"Name": "m-a", "WeightsMb": 34300, "LoadS": 6.0, "Adapters": 0,
                                        "AdapterMb": 40.0, "WarmS": 0.78, "DiskS": 1.0}]}


def config(version, models):
    routes = [stage.route("/desk/", "safe", "desk", target_ms=100, timeout_ms=600)]
    services = [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False}]
    if models:
        routes.append(stage.route("/writer/", "streaming", "writer", resumable=True))
        services.append({"Name": "writer", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1",
                         "Tls": False, "Engine": ENGINE})
    return {"Version": version, "Routes": routes, "Services": services, "Limits": stage.LIMITS}


async def share_served(platform, name, seconds):
    """The share of the requests of some seconds that is served."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    served = sent = 0
    while loop.time() < until:
        front = platform.fronts[sent % len(platform.fronts)]
        _, whole = await platform.request(front, f"{name}-{sent}", "/desk/list")
        sent += 1
        served += whole
        await asyncio.sleep(0.1)
    platform.record.note(f"{name}: {served} of {sent} requests served")
    return served / sent


async def case(platform, trouble):
    record = platform.record
    writer = stage.Runner(platform, 0, "writer", 64, ENGINE)
    writer.first_models = ("m-a",)
    platform.runners += [writer] + [stage.Runner(platform, number, "desk", 6) for number in (1, 2)]
    await platform.start(config(1, True))
    await asyncio.sleep(2)
    if not await platform.configure(config(2, False), 10):
        raise stage.CannotRun("configuration 2 was not acknowledged")
    before = await share_served(platform, "before", COUNT_S)
    if before < 0.25:
        raise stage.CannotRun("less than a quarter is served before")
    if not await platform.configure(config(3, False), 10):
        raise stage.CannotRun("configuration 3 was not acknowledged")
    if trouble:
        record.note("all processes are killed")
        for node in platform.fronts + platform.cores:
            node.end()
        await asyncio.sleep(DOWN_S)
        for node in platform.cores + platform.fronts:
            node.start(bootstrap=False)
    await asyncio.sleep(RECOVERY_S)
    after = await share_served(platform, "after", COUNT_S)
    for front in platform.fronts:
        status, _, _ = await wire.call(platform.at(front.ip, "ready"), "GET", "/readiness")
        record.note(f"{front.name} runs: {front.running()}, readiness {status}")
    status, text = await platform.operate("GET", "/config/read")
    record.note(f"configuration read back: {status}, version {json.loads(text)['Version'] if status == 200 else '-'}")
    if after < 0.25:
        record.breaks(f"later than {RECOVERY_S} s after the machines are back, {after:.0%} of the requests are served; "
                      f"{before:.0%} were before the fault")


stage.main(case, fronts=2, cores=5)
