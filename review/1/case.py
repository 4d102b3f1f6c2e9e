"""A client that is slow to read gets a cut stream that ends like a whole one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import MODEL, Client, Fleet, CannotRun, build_request, make_config, make_engine, make_route, now, run_case

CLIENTS = 6
EVENTS = 160
WORK = {"kind": "stream", "events": EVENTS, "bytes": 3200, "gap_ms": 42}
TIMEOUT_MS = 8000
DEADLINE_MS = 12000
SLOW_BYTES_PER_S = 10_000
SLOW_S = 8.5


def pace(age):
    return SLOW_BYTES_PER_S if age < SLOW_S else None


async def call(record, fleet, number, trouble):
    rid = f"{number:02d}c41d07be2a35f6"
    node = fleet.nodes[number % len(fleet.nodes)]
    client = Client(record, node, receive_buffer=8192, segment=1448)
    await client.connect()
    await client.send(build_request("/lohu930/", rid, WORK, DEADLINE_MS, MODEL))
    sent = now()
    record.note(f"sent    {rid} to {node.name}")
    answer = await client.read_answer(pace if trouble else None)
    client.close()
    events = answer.events()
    record.note(
        f"answer  {rid} {answer.status} after {answer.ended_at - sent:.3f} s, {len(answer.body)} bytes,"
        f" events {events[:1]}..{events[-1:]} ({len(events)} of {EVENTS}),"
        f" {'ends as complete' if answer.complete else 'does not end as complete: ' + str(answer.error)}"
    )
    gapless = events == list(range(1, len(events) + 1))
    signed = "x-cottoncrank-response-signature" in answer.headers
    broken = answer.status == 200 and signed and answer.complete and (len(events) < EVENTS or not gapless)
    if broken:
        record.note(f"BROKEN  ORDER: {rid} ends as complete after event {events[-1:]} of {EVENTS}")
    return broken, answer


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        route = make_route("r-2yhvz3p", "/lohu930/", "streaming", "quizmodel", TIMEOUT_MS, 2, resumable=True)
        runners = [(f"i-{n}f3a91c2", "quizmodel", "sverige-a", "d1") for n in range(4)]
        await fleet.start(make_config([route], [make_engine("quizmodel")]), runners, nodes=2)
        await fleet.wait_groups(2)
        calls = [call(record, fleet, number, trouble) for number in range(CLIENTS)]
        outcomes = await asyncio.gather(*calls)
        if not any(answer.status == 200 for _, answer in outcomes):
            raise CannotRun("no stream was served")
        broken = sum(broken for broken, _ in outcomes)
        record.note(f"count   {broken} of {CLIENTS} streams are cut and end as complete")
        return broken == 0
    finally:
        fleet.stop()


run_case(case)
