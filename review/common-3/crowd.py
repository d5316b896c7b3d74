"""Clients that nobody controls, in a process of their own: crowd.py ADDRESS CLIENTS SIZE PAUSE SECONDS

Each asks for adapters of m0 with names of SIZE characters, each name once, and asks again PAUSE seconds after an
answer, or 1 s after none. Writes the number of answers by status, as JSON; 0: no answer.
"""

import asyncio
import json
import secrets
import sys
import time
import uuid

import lab as labs


async def main(address, clients, size, pause, seconds):
    end = time.monotonic() + seconds
    statuses = {}

    async def one(number):
        await asyncio.sleep(number * 0.002)
        while time.monotonic() < end:
            status, _, _ = await labs.call(
                address, "POST", "/chat/1", b"hello",
                {"Host": "review.example", "X-Request-Id": uuid.uuid4().hex, "X-Deadline-Ms": "15000",
                 "X-Token-Count": "100,20", "X-Prompt-Prefix": "ab:50,cd:50",
                 "X-Model": f"m0/{secrets.token_hex(size // 2)}"}, 16)
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(pause if status else 1.0)

    gathered = asyncio.gather(*(one(number) for number in range(clients)))
    try:
        await asyncio.wait_for(gathered, seconds + 4)
    except asyncio.TimeoutError:
        pass
    print(json.dumps(statuses))


asyncio.run(main(sys.argv[1], *(int(text) for text in sys.argv[2:4]), *(float(text) for text in sys.argv[4:6])))
