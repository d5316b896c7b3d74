"""Clients that ask for models."""

import asyncio

import stage


class Demand:
    """Clients that ask for one model, one request after the other, until they are stopped."""

    def __init__(self, platform, model, clients=3, path="/writer/a"):
        self.platform = platform
        self.model = model
        self.path = path
        self.served = asyncio.Event()
        self.tasks = [asyncio.create_task(self.client(number)) for number in range(clients)]

    async def client(self, number):
        fronts = self.platform.fronts
        turn = 0
        await asyncio.sleep(0.1 * number)
        while True:
            turn += 1
            status, _, complete = await self.platform.stream(
                fronts[(number + turn) % len(fronts)], f"{self.model}-{number}-{turn}", self.path, self.model)
            if status == 200 and complete:
                self.served.set()
            else:
                await asyncio.sleep(0.1)

    def stop(self):
        for task in self.tasks:
            task.cancel()


async def served(demand, seconds):
    try:
        await asyncio.wait_for(demand.served.wait(), seconds)
    except asyncio.TimeoutError:
        raise stage.CannotRun(f"{demand.model} is not served") from None
