"""A relay loses its way to the store for some seconds while a server leaves; see
claim.txt."""

import asyncio
import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))
from world import BROKEN, HELD, Caller, play, trouble  # noqa: E402

ROUNDS = 9
CUT_S = 5.5             # core_cut: for_s, at most
LEAVES_AFTER_S = 3.5    # From the start of a cut.
SERVES_ON_S = 7.0       # A server goes on serving after it has left the list.
DRAIN_S = 2.0           # drain_ms
CONTACT_S = 3.0         # contact_ms
ROUND_S = 10.7


class Contact:
    """When each relay was cut off: it is in touch outside of that and of
    `contact_ms` after it."""

    def __init__(self):
        self.cuts_ = []

    def is_in_touch(self, relay, at):
        return all(each is not relay or at < start or at >= end + CONTACT_S
                   for each, start, end in self.cuts_)


async def book(world, relay, sent, end):
    caller = Caller(world, relay)
    while time.monotonic() < end:
        at = time.monotonic()
        answer = await caller.ask("POST", "/book/7", b"x" * 600)
        sent[answer.id_] = (relay, at, answer)
        await asyncio.sleep(random.uniform(0.05, 0.15))
    caller.close()


async def leave(world, server, gone):
    """A server that never reports `draining`: its entry is removed, and it goes on
    serving for a while."""
    gone[server] = await world.store_.remove("servers", server.id_)
    world.record_.line(f"{server.name_} is gone from the list")
    await asyncio.sleep(SERVES_ON_S)
    server.server_.close()
    for writer in list(server.connections_):
        writer.close()
    world.record_.line(f"{server.name_} has ended")


async def replace(world, number, gone):
    """A step of a release: the new server starts first, the oldest one leaves."""
    server = world.add_server(f"booking-{number}", "booking-app")
    await server.start(f"127.0.62.{number + 10}")
    await world.store_.put("servers", server.id_, server.entry())
    await asyncio.sleep(0.5)
    await leave(world, world.servers_[number - 5], gone)


async def run(world):
    for n in range(1, 5):
        world.add_server(f"booking-{n}", "booking-app")
    await world.put_proxies()
    await world.start()
    record, contact, sent, gone = world.record_, Contact(), {}, {}
    end = time.monotonic() + ROUNDS * ROUND_S
    callers = [asyncio.create_task(book(world, relay, sent, end))
               for relay in world.relays_ for _ in range(4)]
    leaving = []
    for number in range(ROUNDS):
        start = time.monotonic()
        cut_s = random.uniform(CUT_S - 1, CUT_S)
        relay = world.relays_[2]    # core_cut, how = leader: the home, by its name.
        if trouble():
            relay.store_proxy_.cut()
            record.line(f"{relay.name_} is cut off from the store")
        await asyncio.sleep(LEAVES_AFTER_S - 0.5)
        leaving.append(asyncio.create_task(replace(world, number + 5, gone)))
        await asyncio.sleep(start + cut_s - time.monotonic())
        if trouble():
            relay.store_proxy_.heal()
            contact.cuts_.append((relay, start, time.monotonic()))
            record.line(f"{relay.name_} reaches the store again")
        await asyncio.sleep(max(0, start + ROUND_S - time.monotonic()))
    await asyncio.gather(*callers, *leaving)

    late, failed = [], 0
    for server, left_at in gone.items():
        for at, request in server.arrivals_:
            relay, sent_at, _ = sent[request]
            if (at > left_at + DRAIN_S and contact.is_in_touch(relay, sent_at)
                    and contact.is_in_touch(relay, at)):
                late.append((at - left_at, request))
                record.line(f"late {request} from {relay.name_} at {server.name_}, "
                            f"{(at - left_at) * 1000:.0f} ms after it left the list")
    failed = sum(1 for _, _, answer in sent.values()
                 if not (answer.is_complete_ and answer.status_ == 200))
    worst = max((delay for delay, _ in late), default=0)
    record.verdict(f"{len(sent)} requests, {failed} without a success; {len(late)} reached a "
                   f"server more than {DRAIN_S * 1000:.0f} ms after it had left, from relays "
                   f"in touch; the latest {worst * 1000:.0f} ms after")
    record.verdict("DRAIN broken" if late else "DRAIN held")
    return BROKEN if late else HELD


play(CASE, run, relays=3)
