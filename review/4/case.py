"""An order that got no answer is carried out after its runner has started again under its Id."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import stage  # noqa: E402
from demand import Demand, served  # noqa: E402

LATE_S = 11.5  # the pages: 2 to 12 s
CRASH_AFTER_S = 0.3
DOWN_S = 2.0
SIZES = {"m-a": 16100, "m-b": 16100, "m-x": 34300, "m-y": 34300, "m-z": 34300}


def config():
    models = [{"Name": name, "WeightsMb": size, "LoadS": 2.0, "Adapters": 0, "AdapterMb": 40.0,
               "WarmS": 0.5, "DiskS": 0.7} for name, size in SIZES.items()]
    engine = {"Slots": 64, "KvCapacity": 121265, "HostMb": 0, "DiskMb": 550000, "Models": models,
              "WeightsMb": 83000, "AdapterSlots": 8, "LoadsPerS": 7.7}
    return {"Version": 1, "Routes": [stage.route("/writer/", "streaming", "writer", resumable=True)],
            "Services": [{"Name": "writer", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1",
                          "Tls": False, "Engine": engine}], "Limits": stage.LIMITS}


async def case(platform, trouble):
    record = platform.record
    runner = stage.Runner(platform, 0, "writer", 64, config()["Services"][0]["Engine"])
    platform.runners.append(runner)
    loop = asyncio.get_running_loop()
    struck = asyncio.Event()

    async def carry_out_late(order, expected):
        await asyncio.sleep(LATE_S)
        if runner.server is None or expected != runner.id:
            record.note(f"the late order finds no {expected}")
            return
        record.note(f"{runner.id} carries out late: {stage.text_of(order)}")
        record.note(f"{runner.id} holds {runner.held()}, sequence {runner.sequence}, result {runner.order(order)}")

    async def crash_and_return():
        await asyncio.sleep(CRASH_AFTER_S)
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()

    def on_order(order, headers):
        if not trouble or struck.is_set() or order["Model"] != "m-x":
            return False
        struck.set()
        record.note(f"{runner.id} leaves unanswered: {stage.text_of(order)}")
        loop.create_task(carry_out_late(order, headers.get("x-expect-instance", runner.id)))
        loop.create_task(crash_and_return())
        return True

    runner.on_order = on_order
    await platform.start(config())
    first = Demand(platform, "m-a")
    await served(first, 15)
    second = Demand(platform, "m-b")
    await served(second, 15)
    begin = loop.time()
    # One client asks for m-x and leaves after its patience.
    await platform.stream(platform.fronts[0], "m-x-only", "/writer/a", "m-x", patience_s=3.2)
    if trouble and not struck.is_set():
        raise stage.CannotRun("no order for m-x")
    first.stop()
    second.stop()
    demands = [Demand(platform, "m-y"), Demand(platform, "m-z")]
    await asyncio.sleep(max(0.0, begin + LATE_S + 3 - loop.time()))
    for demand in demands:
        demand.stop()


stage.main(case, fronts=2, cores=5)
