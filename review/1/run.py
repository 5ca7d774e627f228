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

LENGTH_S = 80
SPELL_S = 5.5           # garble: for_s; then a pause:
PAUSE_S = 1.0
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
    while not writer.is_closing():
        writer.write(b"x: " + b"z" * 70000 + b"\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
    return True


async def spoil_in_spells(servers, end):
    while time.monotonic() < end:
        for server in servers:
            server.act_ = spoil
        await asyncio.sleep(SPELL_S)
        for server in servers:
            server.act_ = None
        await asyncio.sleep(PAUSE_S)


async def run(world):
    bookings = [world.add_server(f"booking-{n}", "booking-app") for n in range(1, 6)]
    for n in range(1, 3):
        world.add_server(f"prefill-{n}", "drafting-llm", "prefill")
        world.add_server(f"decode-{n}", "drafting-llm", "decode")
    await world.start()
    answers = []
    end = time.monotonic() + LENGTH_S
    await asyncio.gather(
        spoil_in_spells(bookings[:2] if trouble() else [], end),
        *[keep_asking(world, answers, end, "/book/7", b"x" * 600) for _ in range(20)],
        *[keep_asking(world, answers, end, "/summary/7", b"x" * 5000, 14000, True)
          for _ in range(8)])
    return judge(world, answers, bookings[:2])


play(CASE, run, relays=3)
