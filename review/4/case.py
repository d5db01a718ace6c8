"""A tenant is added under a name of the operator's choice; a later manifest takes a key away."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
from site_kit import BOUNDS, Server, TROUBLE, manifest, play, tenant  # noqa: E402

KEPT, TAKEN = "keykeptkeykeptkeykept", "keytakenkeytakenkeyta"
ADDED = "anonymous" if TROUBLE else "walk-in"
REVOKE_S = BOUNDS["revoke_ms"] / 1000


async def case(site):
    servers = [Server(site.record, "meter-portal", zone) for zone in ("hall-a", "hall-b")]
    first = [tenant("hule930", KEPT, TAKEN)]
    await site.start(servers, 2, manifest(7, first))
    for instance in site.instances:
        for key in (KEPT, TAKEN):
            _, _, status, *_ = await site.call(instance, "POST", "/meter/1", key)
            if status != 200:
                return None
    site.write_manifest(manifest(8, [tenant("hule930", KEPT, TAKEN), tenant(ADDED, "keyaddedkeyadded")]))
    await asyncio.sleep(4)
    site.write_manifest(manifest(12, [tenant("hule930", KEPT), tenant(ADDED, "keyaddedkeyadded")]))
    confirmed = time.monotonic()
    await asyncio.sleep(REVOKE_S + 1)
    sent = {}
    for _ in range(10):
        for instance in site.instances:
            at, attempt, *_ = await site.call(instance, "POST", "/meter/2", TAKEN)
            sent[attempt] = at - confirmed
        await asyncio.sleep(0.5)
    # Seen beside it: the key that was added, and the one that stayed.
    for key in ("keyaddedkeyadded", KEPT):
        await site.call(site.instances[0], "POST", "/meter/3", key)
    ran = [attempt for s in servers for _, attempt, *_ in s.runs if attempt in sent]
    for attempt in ran:
        site.record(f"ran with the key that was taken away: {attempt}, sent {sent[attempt]:.1f} s after the confirmation")
    site.record(f"{len(ran)} of {len(sent)} requests with the key ran, sent over {REVOKE_S:.0f} s after the confirmation")
    return not ran


play(HERE / "record.txt", case)
