"""After a rolling restart of the frontends, the first requests of the day come with some that have a part which crashes model runners."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from standins import (CONTACT_S, FRONTEND, HOST, LIMITS, StreamRunner, World, call, engine_service, model, play, read_chunk, read_head, route,
                      trouble, head_text)

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE, MODEL = "scribe-models", "m0"
RUNNERS = 3
DOWN_S = 3.0
SOUND_PER_S = 40
POISON_EVERY_S = 0.5
BASELINE_S, MORNING_S = 8, 26
# All requests share the first part, the system prompt of the product. Half a dozen subjects follow, then the request's own part.
FIRST_PART, SUBJECTS, POISON_PART = "5c1e07a2:155", 6, "bad0bad0:120"
ROLL_GAP_S = 1.4
DEADLINE_MS = 8000


class Case(World):
    def __init__(self):
        super().__init__(FOLDER)
        for _ in range(RUNNERS):
            self.add_runner(StreamRunner, SERVICE, 64, [MODEL])
        self.crashes, self.tasks = [], []
        # Lifetimes of runners that have fallen, by address.
        self.fallen = {}
        # First attempts of sound requests: sent at, whether a first event came, status.
        self.sound = []

    def config(self):
        routes = [route("r-query", "/pu87/", "streaming", SERVICE, DEADLINE_MS, 500, sticky=True)]
        return {"routes": routes, "services": [engine_service(SERVICE, [model(MODEL)])], "limits": LIMITS}

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


def prompt_of(world, is_poison):
    subject = f"91bd3f{random.randrange(SUBJECTS):02x}:216"
    parts = [FIRST_PART, subject] + ([POISON_PART] if is_poison else []) + [f"{random.getrandbits(32):08x}:250"]
    return ",".join(parts)


async def stream(world, is_poison):
    """One client attempt. Clients leave after a gap of two seconds."""
    attempt = world.attempt_id()
    node = random.choice(world.fronts)
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Model": MODEL, "X-Token-Count": "620,69", "X-Deadline-Ms": DEADLINE_MS,
               "X-Prompt-Prefix": prompt_of(world, is_poison), "Content-Length": 6}
    sent_at = time.monotonic()
    status, events = "none", 0
    writer = None
    world.record.note("sent", attempt, "with the part" if is_poison else "sound", "to", node.name)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, FRONTEND), 1)
        writer.write(head_text("POST /pu87/q HTTP/1.1", headers) + b"prompt")
        answer = await asyncio.wait_for(read_head(reader), 2)
        if answer is not None:
            status = answer.status
            while status == 200 and await asyncio.wait_for(read_chunk(reader), 2):
                events += 1
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    world.record.note("answered", attempt, "status", status, "chunks of events", events)
    if not is_poison:
        world.sound.append((sent_at, events > 0, status, node))


async def load(world, seconds, with_poison):
    begin = time.monotonic()
    next_poison = begin + 0.1
    tasks = []
    for number in range(int(seconds * SOUND_PER_S)):
        await asyncio.sleep(max(0, begin + number / SOUND_PER_S - time.monotonic()))
        tasks.append(asyncio.create_task(stream(world, False)))
        if with_poison and time.monotonic() >= next_poison:
            next_poison += POISON_EVERY_S
            tasks.append(asyncio.create_task(stream(world, True)))
    await asyncio.gather(*tasks)


async def roll(world):
    """SIGTERM and a new start of each frontend, one after the other."""

    async def one(node):
        await node.stop()
        await node.start()

    tasks = []
    for node in world.fronts:
        tasks.append(asyncio.create_task(one(node)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*tasks)
    while not all(await asyncio.gather(*(node.is_ready() for node in world.fronts))):
        await asyncio.sleep(0.1)


def begun(tries):
    return sum(has_begun for _, has_begun, _, _ in tries)


async def main():
    world = Case()
    async with world:
        await asyncio.sleep(CONTACT_S + 1)
        await load(world, BASELINE_S, False)
        baseline = list(world.sound)
        world.record.note("quiet hours: the frontends are restarted in turn")
        await roll(world)
        await asyncio.sleep(CONTACT_S + 1)
        world.record.note("the morning begins")
        morning = time.monotonic()
        await load(world, MORNING_S, trouble())
        await asyncio.gather(*world.tasks)
        if world.own_ends:
            world.record.say("ended by themselves:", world.own_ends)
            return True
        counted_from = (world.crashes[min(4, len(world.crashes) - 1)] if world.crashes else morning) + 2 * CONTACT_S
        counted = [each for each in world.sound if each[0] >= counted_from]
        statuses = {status: sum(each[2] == status for each in counted) for status in {each[2] for each in counted}}
        world.record.say(f"crashes of runners: {len(world.crashes)}")
        world.record.say(f"sound requests before: {begun(baseline)} of {len(baseline)} begun; from 2 x contact_ms after the "
                         f"{'last' if len(world.crashes) < 5 else 'fifth'} crash: {begun(counted)} of {len(counted)} begun, {statuses}")
        if len(baseline) < 20 or len(counted) < 20:
            world.record.say("too few requests to compare")
            return False
        return begun(counted) / len(counted) < 0.5 * begun(baseline) / len(baseline)


play(main)
