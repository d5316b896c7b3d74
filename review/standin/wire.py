"""HTTP/1.1 over asyncio streams, as little as the stand-ins need."""

import asyncio


class Closed(Exception):
    """The connection ended before a whole message had arrived."""


async def read_head(reader):
    """Returns (first line, headers with lowercase names)."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError) as error:
        raise Closed(str(error)) from None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
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
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(str(error)) from None


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """One call on a connection of its own: (status, headers, body); status 0 without an answer."""
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
