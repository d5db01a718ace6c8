"""Entries of another writer stand among those of the servers; then all instances are killed and start again."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
from site_kit import BOUNDS, Server, TROUBLE, manifest, play, tenant  # noqa: E402

KEY = "keykeptkeykeptkeykept"
ENTRIES = 6
ENTRY_BYTES = 200_000
DOWN_S = 1.3
RECOVERY_S = BOUNDS["recovery_s"]


async def case(site):
    servers = [Server(site.record, "meter-portal", zone) for zone in ("hall-a", "hall-b")]
    await site.start(servers, 2, manifest(7, [tenant("hule930", KEY)]))
    if TROUBLE:
        # Bytes that cannot be read, under the ids of servers with a remark behind them.
        for number in range(ENTRIES):
            key = f"i-{number:08x} (copy)"
            site.store.put("keyed.servers", key, b"\xff" + os.urandom(ENTRY_BYTES))
            site.record(f"store  took an entry of another writer, key {key!r}, {ENTRY_BYTES} bytes that are no entry")
    before = []
    for _ in range(20):
        for instance in site.instances:
            before.append((await site.call(instance, "POST", "/meter/1", KEY))[2])
        await asyncio.sleep(0.1)
    for instance in site.instances:
        instance.signal(signal.SIGKILL)
    site.record("all instances were killed")
    for instance in site.instances:
        await instance.process.wait()
    await asyncio.sleep(DOWN_S)
    for instance in site.instances:
        await instance.start()
    back = time.monotonic()
    site.record("all instances run again")
    await asyncio.sleep(RECOVERY_S + 0.5)
    after = []
    while time.monotonic() < back + RECOVERY_S + 15:
        for instance in site.instances:
            site.record(f"{instance.name} is {'ready' if await instance.is_ready() else 'not ready'}")
            after.append((await site.call(instance, "POST", "/meter/2", KEY))[2])
        await asyncio.sleep(0.5)
    served = [sum(status == 200 for status in answers) for answers in (before, after)]
    site.record(f"served before the kill: {served[0]} of {len(before)}")
    site.record(f"served of those sent over {RECOVERY_S} s after the instances ran again: {served[1]} of {len(after)}")
    if served[0] < len(before) / 4:
        return None
    return served[1] >= len(after) / 4


play(HERE / "record.txt", case)
