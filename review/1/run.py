"""Two of five backend servers spoil a few of their answers; see claim.txt."""

import asyncio
import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))
from losses import judge, keep_asking  # noqa: E402
from world import play, trouble  # noqa: E402

LENGTH_S = 60
SPOILT_SHARE = 0.02     # Of the answers of the servers in trouble.


async def spoil(server, method, fields, body, writer):
    """Now and then, bytes without end after the last chunk of a body."""
    if random.random() >= SPOILT_SHARE:
        return False
    server.ran(fields.get("request-id", ""), method)
    server.record_.line(f"spoilt {fields.get('request-id', '')}")
    head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in server.answer_fields(fields).items()]
    writer.write(("\r\n".join(head) + "\r\n\r\n3\r\nyyy\r\n0\r\n").encode())
    end = time.monotonic() + 5
    while time.monotonic() < end:
        writer.write(b"x: " + b"z" * 70000 + b"\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
    return True


async def run(world):
    bookings = [world.add_server(f"booking-{n}", "booking-app") for n in range(1, 6)]
    for n in range(1, 3):
        world.add_server(f"prefill-{n}", "drafting-llm", "prefill")
        world.add_server(f"decode-{n}", "drafting-llm", "decode")
    await world.start()
    if trouble():
        for server in bookings[:2]:
            server.act_ = spoil
    answers = []
    end = time.monotonic() + LENGTH_S
    await asyncio.gather(
        *[keep_asking(world, answers, end, "/book/7", b"x" * 600) for _ in range(20)],
        *[keep_asking(world, answers, end, "/summary/7", b"x" * 5000, 14000, True)
          for _ in range(8)])
    return judge(world, answers, bookings[:2])


play(CASE, run, relays=3)
