"""The rule LOST, and what is a fault of the day, as seen by callers and servers."""

import asyncio
import random
import time

from world import BROKEN, HELD, Caller

MAX_CUT = 3             # LOST: more than three times.
ENDS_TO_FAIL = 3        # Fault: processes end by themselves three times,
MACHINES_TO_FAIL = 2    # on a tenth of the machines, two at least.


async def keep_asking(world, answers, end, path, body, budget_ms=1000, is_generation=False):
    """A caller that keeps its channel and goes elsewhere when that ends."""
    caller = None
    while time.monotonic() < end:
        if caller is None or caller.writer_ is None:
            caller = Caller(world, random.choice(world.relays_))
        more = world.generation() if is_generation else None
        answers.append(await caller.ask("POST", path, body, budget_ms, more))
        await asyncio.sleep(random.uniform(0.1, 0.5))
    caller.close()


def judge(world, answers, servers_in_trouble):
    """Counts what the rules name; returns the exit code of the case."""
    sound = {request for server in world.servers_ if server not in servers_in_trouble
             for request in server.runs_}
    cut = [each for each in answers if each.is_cut_ and each.was_kept_
           and each.status_ is None and each.id_ in sound]
    broken_off = [each for each in answers if each.is_cut_ and each.status_]
    ended = [relay for relay in world.relays_ if len(relay.ends_) >= ENDS_TO_FAIL]
    record = world.record_
    for relay in world.relays_:
        record.verdict(f"{relay.name_} ended {len(relay.ends_)} times: "
                       f"{sorted(set(relay.ends_))}")
    record.verdict(f"{len(answers)} requests; {len(cut)} passed on from a kept channel to "
                   f"a sound server and the channel closed without an answer; "
                   f"{len(broken_off)} broken off in the middle of their answer")
    record.verdict("LOST broken" if len(cut) > MAX_CUT else "LOST held")
    record.verdict("Fault" if len(ended) >= MACHINES_TO_FAIL else "no fault")
    is_broken = len(cut) > MAX_CUT or len(ended) >= MACHINES_TO_FAIL
    return BROKEN if is_broken else HELD
