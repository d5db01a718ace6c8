"""A peer that passes an answer on for a cut instance is killed: the caller gets a part as the whole answer."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from smallsite import Caller, CouldNotRun, Server, answer_head, main, trouble  # noqa: E402

KEY = "key-of-shop"
PIECES = 20
PIECE = b"0123456789abcdef" * 8
PAUSE = 0.1
# Time after the request at which the server's queue of new channels has room again: after the instance
# tried its own link, and before it tries once more by retransmission.
QUEUE_FULL = 0.1
ROUNDS = 3


def work(server, connection, request):
    """Answers without length or chunks, in pieces, and closes in order after the last one."""
    connection.sendall(answer_head(200, request.id, ["Content-Type: text/plain", "Connection: close"]))
    sent = 0
    for _ in range(PIECES):
        time.sleep(PAUSE)
        connection.sendall(PIECE)
        sent += len(PIECE)
    connection.shutdown(socket.SHUT_WR)
    server.site.record.write(f"server {server.name} has sent the whole answer to {request.id}: {sent} bytes")


def fill_queue(server):
    """Fills the server's queue of new channels, so that opening packets are dropped."""
    server.accepting.clear()
    # The accept that is waiting takes this one; none follows.
    held = [socket.create_connection(server.address, 1)]
    while not server.open:
        time.sleep(0.01)
    while True:
        channel = socket.socket()
        channel.settimeout(0.1)
        held.append(channel)
        try:
            channel.connect(server.address)
        except socket.timeout:
            return held
        if len(held) > 20:
            raise CouldNotRun("the queue of new channels does not fill")


def one_round(site, server, first, second, number):
    """Sends one request that goes through the second instance; returns how the rule was broken, if it was."""
    attempt = f"attempt-{number}"
    caller = Caller(first.callers)
    held = fill_queue(server)
    site.record.write("the server's queue of new channels is full")
    body = b"order"
    caller.send(Caller.head("POST", "/once/tile", attempt, KEY, len(body), 15000) + body)
    site.record.write(f"caller sends {attempt} to the first instance")
    time.sleep(QUEUE_FULL)
    for channel in held:
        channel.close()
    server.accepting.set()
    site.record.write("the queue has room again")

    end = time.monotonic() + 5
    while len(server.runs) < number and time.monotonic() < end:
        time.sleep(0.02)
    if len(server.runs) < number:
        raise CouldNotRun("the request did not reach the server")
    time.sleep(PIECES * PAUSE / 2)
    if trouble():
        second.signal(signal.SIGKILL)
    answer = caller.receive()
    caller.close()
    site.record.write(f"caller receives: {answer}")
    whole = PIECE * PIECES
    if answer.status == 200 and answer.signature and answer.end.startswith("complete"):
        if answer.body != whole:
            return f"MIXED: a success that looks complete has {len(answer.body)} of {len(whole)} bytes"
    elif not trouble():
        raise CouldNotRun("no whole answer without the disruption")
    return None


def play(site):
    site.manifest(7, [{"name": "shop", "api_keys": [KEY], "priority": 1}])
    server = Server(site, "i-1", work, backlog=1).start()
    first, second = site.instance(1), site.instance(2)
    first.until_ready()
    second.until_ready()
    # The request takes its own link if its opening packet came through: then one more round.
    for number in range(1, ROUNDS + 1):
        time.sleep(2)  # heartbeats, so that each knows that the other passes connections on
        broken = one_round(site, server, first, second, number)
        if broken or number == ROUNDS:
            return broken
        if trouble():
            second.process.wait()
            second.start()
            second.until_ready()
            time.sleep(1)


main(__file__, 2, play)
