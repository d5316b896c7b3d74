"""HTTP/1.1 messages over asyncio streams, and a TCP proxy that injects faults."""

import asyncio
import random


class Closed(Exception):
    """The connection ended before a whole message had arrived."""


async def read_head(reader):
    """Returns (first line, headers with lowercase names)."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises Closed when its end is missing."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return
            yield data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from None


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(str(error)) from None


def shared_parts(prompt):
    """Ids of "ID:TOKENS,ID:TOKENS,..." without the last one, which belongs to the request alone."""
    return [part.split(":")[0] for part in prompt.split(",")[:-1]]


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """One call on a connection of its own: (status, headers, body), status 0 without an answer."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": address, "Connection": "close", **(headers or {})}, body))
            first, got = await read_head(reader)
            return int(first.split()[1]), got, await read_body(reader, got)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, Closed, asyncio.TimeoutError):
        return 0, {}, b""


class Proxy:
    """Forwards connections to a target; the fault decides what happens to their bytes."""

    FAULTS = ("delay", "reset", "silent", "drop_answers", "drop_requests")

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.fault = None
        self.open = set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def inject(self, fault):
        self.fault = fault
        if fault == "reset":
            for writer in list(self.open):
                writer.transport.abort()

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, server_writer}
        await asyncio.gather(self.pump(reader, server_writer, "drop_requests"),
                             self.pump(server_reader, writer, "drop_answers"))
        self.open -= {writer, server_writer}

    async def pump(self, reader, writer, dropped_by):
        try:
            while data := await reader.read(65536):
                # Bytes that were held up are lost with the connection, never reordered.
                if self.fault == "delay":
                    await asyncio.sleep(random.uniform(0.05, 0.4))
                lost = False
                while self.fault in ("silent", dropped_by):
                    lost = True
                    await asyncio.sleep(0.05)
                if lost:
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass
        finally:
            writer.close()
