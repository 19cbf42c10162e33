"""The three core machines are replaced: their successors first, then SIGTERM of the old ones, one shortly after the other."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from standins import CONTACT_S, CONTROL, LIMITS, ZONES, AppRunner, CannotRun, Node, World, ask, call, plain_service, play, route, trouble

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "register-app"
# "planned" replaces all three, with SIGTERM. "lost" replaces one, and the machine that leads is lost for good right after it.
VARIANT = os.environ.get("VARIANT", "planned")
# From the start of a successor to the SIGTERM of the machine that it replaces. catch_up_s is 4.
CATCH_UP_S = 8
GAP_S = float(os.environ.get("GAP", "0.5"))
ASK_S = 45


class Case(World):
    def __init__(self):
        super().__init__(FOLDER)
        for _ in range(3):
            self.add_runner(AppRunner, SERVICE, 6)
        self.added = 0

    def config(self):
        return {"routes": [route("r-read", "/lo20/", "safe", SERVICE, 1500, 300, attempts=2)], "services": [plain_service(SERVICE)],
                "limits": LIMITS}

    async def add(self):
        """An empty core machine at a new address. Its seeds are the machines of the operator's list."""
        self.added += 1
        self.seeds = [node.ip for node in self.core][:3]
        new = Node(self, f"core-new-{self.added}", f"{self.net}.{20 + self.added}", ZONES[self.added % 3], True)
        new.bootstrap = False
        await new.start()
        self.core.append(new)
        return new

    async def read_config(self):
        """The operator reads the config back from any core machine. Returns the one that answered and the answer."""
        for node in self.core:
            try:
                answer = await call(node.ip, CONTROL, "GET", "/api/config")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if answer.status == 200:
                return node, answer
        return None, None


async def replace(world):
    old = list(world.core)
    for _ in range(3 if VARIANT == "planned" else 1):
        await world.add()
    await asyncio.sleep(CATCH_UP_S)
    leader, _ = await world.read_config()
    world.record.note("the machine that leads is", leader.name if leader else "unknown")
    stops = []
    if VARIANT == "planned":
        for node in old:
            world.core.remove(node)
            stops.append(asyncio.create_task(node.stop()))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)
        return
    first = next(node for node in old if node is not leader)
    world.core.remove(first)
    await first.stop()
    await asyncio.sleep(GAP_S)
    leader, _ = await world.read_config()
    world.core.remove(leader)
    await leader.kill()
    await asyncio.sleep(1)
    await world.add()


async def main():
    world = Case()
    async with world:
        await asyncio.sleep(CONTACT_S)
        if trouble():
            await replace(world)
        await asyncio.sleep(CONTACT_S)
        begin = time.monotonic()
        try:
            await world.change_config(ASK_S)
            world.record.say(f"config {world.version} was acknowledged after {time.monotonic() - begin:.1f} s")
            acked = True
        except CannotRun:
            world.record.say(f"config {world.version} was not acknowledged in {ASK_S} s (ack_timeout_ms is 4000)")
            acked = False
        _, answer = await world.read_config()
        world.record.say("the config is read back:", "it doesn't come" if answer is None else f"{len(answer.body)} bytes")
        world.record.say("core machines that run:", [node.name for node in world.core if node.running()])
        return bool(world.own_ends) or not acked or answer is None


play(main)
