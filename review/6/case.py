"""Servers whose answers end with their channel crash three times; a tenant asks for the same thing all the while."""

import asyncio
import os
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
from site_kit import Server, TROUBLE, manifest, play, tenant  # noqa: E402

# Beside the case: FRAMED=1 gives the same answers a length.
FRAMED = os.environ.get("FRAMED", "0") != "0"
ASKED, OTHER = "keykeptkeykeptkeykept", "keyotherkeyotherkeyot"
PATH = "/meter/state"
CRASHES, DOWN_S, PAUSE_S = 3, 2.0, 0.5
LENGTH_S = 90


class CrashingServer(Server):
    """A sound server that may crash and comes back as a new incarnation."""

    async def start(self, ip):
        self.ip, self.open, self.alive, self.asked = ip, set(), True, 0
        await self.listen()

    async def listen(self):
        self.listener = await asyncio.start_server(self.accept, self.ip, 0)
        self.address = self.listener.sockets[0].getsockname()

    async def accept(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self.open.discard(writer)

    async def beat(self, store):
        self.store, sequence, written = store, 0, 0.0
        while True:
            if self.alive and time.monotonic() > written + 1.2:
                sequence, written = sequence + 1, time.monotonic()
                store.put("keyed.servers", self.id, self.entry(sequence))
            elif not self.alive:
                written = 0.0
            await asyncio.sleep(0.1)

    async def answer(self, method, target, headers, body, writer):
        is_asked = target == PATH
        self.asked += is_asked
        try:
            await super().answer(method, target, headers, body, writer)
        finally:
            self.asked -= is_asked

    def crash(self):
        """Ends as a process does that is killed: nothing listens, and all channels are closed."""
        self.record(f"crash  {self.id}, which runs {self.running} requests, {self.asked} of them {PATH}")
        self.alive = False
        self.listener.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def come_back(self):
        before, self.id = self.id, "i-" + secrets.token_hex(4)
        self.store.put("keyed.servers", before, None)
        self.open = set()
        await self.listen()
        self.alive = True
        self.record(f"back   {before} as {self.id}")


async def unframed(server, attempt, answer, writer):
    length = f"Content-Length: {len(answer)}\r\n" if FRAMED else ""
    writer.write((
        f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nFirdock-Attempt-Id: {attempt}\r\n"
        f"Firdock-Response-Signature: {server.id}.{attempt}\r\n{length}Connection: close\r\n\r\n").encode() + answer)
    await writer.drain()
    writer.close()


async def case(site):
    zones = ("hall-a", "hall-b", "hall-a", "hall-b")
    servers = [CrashingServer(site.record, "meter-portal", zone, unframed, 0.1) for zone in zones]
    shown = manifest(7, [tenant("hule930", ASKED), tenant("mira114", OTHER)], "safe")
    shown["routes"][0].update(attempts=2, timeout_ms=800)
    await site.start(servers, 2, shown)
    began = time.monotonic()
    answers = {ASKED: [], OTHER: []}

    async def client(instance, key):
        """Asks about four times a second."""
        while time.monotonic() < began + LENGTH_S:
            path = PATH if key == ASKED else f"{PATH}/{secrets.token_hex(4)}"
            next_at = time.monotonic() + 0.25
            at, _, status, *_ = await site.call(instance, "GET", path, key, body=b"")
            answers[key].append((at, status))
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    clients = [asyncio.create_task(client(instance, key))
               for instance in site.instances for key in (ASKED, OTHER) for _ in range(2)]
    await asyncio.sleep(2)
    for _ in range(CRASHES if TROUBLE else 0):
        while not any(server.asked for server in servers if server.alive):
            await asyncio.sleep(0.01)
        server = next(server for server in servers if server.alive and server.asked)
        server.crash()
        await asyncio.sleep(DOWN_S)
        await server.come_back()
        await asyncio.sleep(PAUSE_S)
    last = time.monotonic()
    await asyncio.gather(*clients)
    parts = {}
    for key, name in ((ASKED, "hule930"), (OTHER, "mira114")):
        served = sum(status == 200 for _, status in answers[key])
        late = [status for at, status in answers[key] if at > last + 12]
        parts[key] = served / len(answers[key])
        site.record(f"tenant {name}: {served} of {len(answers[key])} served; of those sent over 12 s after the last "
                    f"server is back, {late.count(200)} of {len(late)}")
    everything = answers[ASKED] + answers[OTHER]
    of_all = sum(status == 200 for _, status in everything) / len(everything)
    site.record(f"served: {parts[ASKED]:.3f} of the requests of hule930, {of_all:.3f} of all")
    return parts[ASKED] >= of_all / 4


play(HERE / "record.txt", case)
