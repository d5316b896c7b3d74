"""What the cases 12 and 13 share: two entry processes, ordinary callers, and a platform that kills over MemoryMb."""

import asyncio
import time

import lab as labs

MODELS = ["m0", "m1"]
MEMORY_MB = 260
ENDS = 3  # Fault: "processes end by themselves three times in the day"
MACHINES = 2  # Fault: "on a tenth of the machines in use (two at least)"


async def play(record, seconds, crowd):
    """Plays a coroutine of (lab, entry, end) at both entries; the result by the rule Fault."""
    lab = labs.Lab(record, entries=2)
    try:
        await lab.start_list()
        for number, model in enumerate(MODELS):
            await labs.Runner(lab, "writer", number, models=[model], engine=True).start()
        for process in lab.control:
            process.start(bootstrap=True)
        for process in lab.entries:
            process.start()
        routes = [labs.route("/chat/", "streaming", "writer", attempts=2, resumable=True, timeout=15000, aim=800)]
        if not await lab.publish(labs.configuration(1, routes, MODELS)):
            raise labs.Unable("the first configuration was not accepted")
        await lab.until_ready()
        await asyncio.sleep(6)
        ends = {entry.name: 0 for entry in lab.entries}
        ordinary = {}
        end = time.monotonic() + seconds

        async def watch(entry):
            # The platform's part: a process over its memory is killed, and starts again after a short delay.
            told = 0.0
            while time.monotonic() < end:
                now, most = entry.memory_mb()
                if most > MEMORY_MB:
                    record.say(f"{entry.name} has used {most:.0f} MB of {MEMORY_MB}: it is killed")
                    ends[entry.name] += 1
                    entry.kill()
                    await asyncio.sleep(0.5)
                    entry.start()
                if time.monotonic() > told + 5:
                    told = time.monotonic()
                    record.say(f"{entry.name}: {now:.0f} MB")
                await asyncio.sleep(0.1)

        async def caller(number):
            while time.monotonic() < end:
                status = await lab.generate(lab.entries[number % 2], MODELS[number // 2 % 2], 5.0)
                ordinary[status] = ordinary.get(status, 0) + 1
                await asyncio.sleep(0.5)

        results = await asyncio.gather(*(crowd(lab, entry, end) for entry in lab.entries),
                                       *(watch(entry) for entry in lab.entries),
                                       *(caller(number) for number in range(8)))
        for entry, statuses in zip(lab.entries, results):
            record.say(f"answers of {entry.name} to the crowd: {statuses} (0: none)")
        record.say(f"answers to ordinary callers: {ordinary} (0: none)")
        record.say(f"times that a process was over its memory: {ends}")
        many = [name for name, count in ends.items() if count >= ENDS]
        return labs.BROKEN if len(many) >= MACHINES else labs.HELD
    finally:
        lab.close()
