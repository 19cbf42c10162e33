"""Requests with a part that crashes model runners come several at a time."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from standins import CONTACT_S, FRONTEND, HOST, LIMITS, StreamRunner, World, engine_service, head_text, model, play, read_chunk, read_head, route, trouble

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE, MODEL = "scribe-models", "m0"
RUNNERS = 12
DOWN_S = 3.0
SOUND_PER_S = 25
# So many requests with the part come at the same moment, at different frontends. BATCH=1 sends them one by one, for comparison only.
BATCH = int(os.environ.get("BATCH", "10"))
BATCH_EVERY_S = 6.0 * BATCH / 10
SECONDS = 30
FIRST_PART, SUBJECTS, POISON_PART = "5c1e07a2:155", 30, "bad0bad0:120"
DEADLINE_MS = 8000
LATE_REQUESTS = 3


class Case(World):
    def __init__(self):
        super().__init__(FOLDER)
        for _ in range(RUNNERS):
            self.add_runner(StreamRunner, SERVICE, 64, [MODEL])
        self.crashes, self.tasks = [], []
        # Lifetimes of runners that have fallen, by address.
        self.fallen = {}
        # Requests with the part that reached a runner, and when each was sent.
        self.reached, self.sent_at = set(), {}
        self.outcomes = {"sound": {}, "part": {}}

    def config(self):
        routes = [route("r-query", "/pu87/", "streaming", SERVICE, DEADLINE_MS, 500, sticky=True)]
        return {"routes": routes, "services": [engine_service(SERVICE, [model(MODEL)])], "limits": LIMITS}

    def on_run(self, runner, request):
        super().on_run(runner, request)
        if POISON_PART in request.get("X-Prompt-Prefix"):
            self.reached.add(request.get("X-Attempt-Id"))

    async def before_writing(self, runner, request):
        if POISON_PART not in request.get("X-Prompt-Prefix"):
            return False
        if runner.is_up() and runner.born not in self.fallen.setdefault(runner.key, set()):
            self.fallen[runner.key].add(runner.born)
            self.crashes.append(time.monotonic())
            self.record.note("attempt", request.get("X-Attempt-Id"), "crashes runner", runner.id)
            self.tasks.append(asyncio.create_task(runner.crash(DOWN_S, same_id=False)))
        await asyncio.sleep(0.5)
        return True


async def stream(world, node, has_part):
    """One client attempt. Clients leave after a gap of two seconds."""
    attempt = world.attempt_id()
    subject = f"91bd3f{random.randrange(SUBJECTS):02x}:216"
    parts = [FIRST_PART, subject] + ([POISON_PART] if has_part else []) + [f"{random.getrandbits(32):08x}:250"]
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Model": MODEL, "X-Token-Count": "620,69", "X-Deadline-Ms": DEADLINE_MS,
               "X-Prompt-Prefix": ",".join(parts), "Content-Length": 6}
    world.sent_at[attempt] = time.monotonic()
    world.record.note("sent", attempt, "with the part" if has_part else "sound", "to", node.name)
    status, whole = "none", False
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, FRONTEND), 1)
        writer.write(head_text("POST /pu87/q HTTP/1.1", headers) + b"prompt")
        answer = await asyncio.wait_for(read_head(reader), 2)
        if answer is not None:
            status = answer.status
            while status == 200 and await asyncio.wait_for(read_chunk(reader), 2):
                pass
            whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        status = f"{status} broken off"
    finally:
        if writer is not None:
            writer.close()
    world.record.note("answered", attempt, "status", status, "whole" if whole else "not whole")
    counts = world.outcomes["part" if has_part else "sound"]
    counts[status] = counts.get(status, 0) + 1


async def sound(world, stop_at):
    tasks = []
    while time.monotonic() < stop_at:
        tasks.append(asyncio.create_task(stream(world, random.choice(world.fronts), False)))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*tasks)


async def batches(world, stop_at):
    tasks, number = [], 0
    while time.monotonic() < stop_at:
        for _ in range(BATCH):
            tasks.append(asyncio.create_task(stream(world, world.fronts[number % len(world.fronts)], True)))
            number += 1
        await asyncio.sleep(BATCH_EVERY_S)
    await asyncio.gather(*tasks)


async def main():
    world = Case()
    async with world:
        await asyncio.sleep(CONTACT_S + 1)
        stop_at = time.monotonic() + SECONDS
        tasks = [asyncio.create_task(sound(world, stop_at))]
        await asyncio.sleep(2.5)
        if trouble():
            tasks.append(batches(world, stop_at))
        await asyncio.gather(*tasks)
        await asyncio.gather(*world.tasks)
        world.record.say("sound requests:", world.outcomes["sound"], "; with the part:", world.outcomes["part"])
        if world.own_ends:
            world.record.say("ended by themselves:", world.own_ends)
            return True
        late = []
        if len(world.crashes) >= 5:
            late_from = world.crashes[4] + CONTACT_S
            late = [attempt for attempt in world.reached if world.sent_at[attempt] > late_from]
        world.record.say(f"crashes: {len(world.crashes)}; requests with the part that were sent later than contact_ms after the fifth crash "
                         f"and reached runners: {len(late)} ({LATE_REQUESTS} are allowed)")
        return len(late) > LATE_REQUESTS


play(main)
