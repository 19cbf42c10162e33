"""A request crashes each runner that begins to run it; the runners are back after some seconds, under the ids that they had."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from standins import CONTACT_S, LIMITS, AppRunner, World, ask, body_of, plain_service, play, route, trouble

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "register-app"
DOWN_S = 2.5
SOUND_PER_S = 80
POISON_EVERY_S = 5.0
SECONDS = 62
# SAME_ID=0 gives each lifetime a new id, for comparison only.
SAME_ID = os.environ.get("SAME_ID", "1") != "0"
POISON_BODY = b"a ledger entry that crashes the runner"


class Case(World):
    def __init__(self):
        super().__init__(FOLDER)
        self.runners_of_service = [self.add_runner(CrashingRunner, SERVICE, 6) for _ in range(3)]
        # Arrivals of the crashing request at runners: time, attempt, node.
        self.arrivals, self.crashes, self.sent, self.restarts = [], [], {}, []
        self.outcomes = {"sound": {}, "poison": {}}

    def config(self):
        routes = [route("r-read", "/lo20/", "safe", SERVICE, 1500, 300, attempts=2)]
        return {"routes": routes, "services": [plain_service(SERVICE)], "limits": LIMITS}

    def count_outcome(self, kind, answer):
        status = "none" if answer is None else answer.status
        self.outcomes[kind][status] = self.outcomes[kind].get(status, 0) + 1


class CrashingRunner(AppRunner):
    async def run(self, request, writer, headers):
        if request.body == POISON_BODY:
            attempt = request.get("X-Attempt-Id")
            now = time.monotonic()
            self.world.arrivals.append((now, attempt))
            self.world.crashes.append(now)
            self.world.record.note("the crashing request, attempt", attempt, "runs at", self.id, "born", self.born)
            self.world.restarts.append(asyncio.create_task(self.crash(DOWN_S, same_id=SAME_ID)))
            await asyncio.sleep(1)
            return False
        return await super().run(request, writer, headers)


async def sound(world, stop_at):
    tasks = []
    while time.monotonic() < stop_at:
        tasks.append(asyncio.create_task(one_sound(world)))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*tasks)


async def one_sound(world):
    attempt, answer = await ask(world, random.choice(world.fronts), "GET", f"/lo20/{random.randrange(9999)}", {})
    world.count_outcome("sound", answer)
    if answer is not None and answer.status == 200 and answer.body != body_of(attempt):
        world.record.say("wrong body for", attempt)


async def poison(world, stop_at):
    number = 0
    while time.monotonic() < stop_at:
        node = world.fronts[number % len(world.fronts)]
        number += 1
        sent_at = time.monotonic()
        attempt, answer = await ask(world, node, "POST", "/lo20/entry", {}, POISON_BODY)
        world.sent[attempt] = (sent_at, node)
        world.count_outcome("poison", answer)
        world.record.note("the crashing request, attempt", attempt, "to", node.name, "answered", answer and answer.status)
        await asyncio.sleep(max(0, sent_at + POISON_EVERY_S - time.monotonic()))


async def main():
    world = Case()
    async with world:
        await asyncio.sleep(CONTACT_S + 1)
        stop_at = time.monotonic() + SECONDS
        tasks = [sound(world, stop_at)]
        if trouble():
            tasks.append(poison(world, stop_at))
        await asyncio.gather(*tasks)
        await asyncio.gather(*world.restarts)
        world.record.say("sound requests:", world.outcomes["sound"], "; crashing request:", world.outcomes["poison"])
        if world.own_ends:
            world.record.say("ended by themselves:", world.own_ends)
            return True
        if len(world.crashes) < 3:
            world.record.say("crashes:", len(world.crashes))
            return False
        late_from = world.crashes[2] + CONTACT_S
        late = {attempt for at, attempt in world.arrivals if at > late_from and world.sent.get(attempt, (at,))[0] > late_from}
        world.record.say(f"crashes: {len(world.crashes)}; retries that reached runners later than contact_ms after the third crash: {len(late)} (3 are allowed)")
        return len(late) > 3


play(main)
