"""TWICE: stops that share a message with too many offers; see claim.txt."""
import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import bed as b

BATCH = "/batch/"
BATCH_PER_S = 300
BATCH_DEADLINE_MS = 60000
OFFERS_PER_S = 150
OFFER_DEADLINE_MS = 1500
LONG_SHARE = 0.5
OBSERVED_S = 56
MIN_OVERLAP_S = 0.2  # Far beyond stop-ms.


class Traffic:
    """Clients that send a job each, at a steady rate. After no response, a
    broken connection, 502 or 504 a job is sent again, after resend-ms."""

    def __init__(self, bed):
        self.bed = bed
        self.counts = {}

    async def client(self, entry, body, deadline_ms, prefix):
        job = b.new_id()
        for _ in range(3):
            reply = await self.bed.request(entry, "POST", job, body, deadline_ms,
                                           quiet=True, prefix=prefix)
            self.bed.log("client:", prefix + job, "at", entry, "answered:", reply)
            key = (prefix, reply.status)
            self.counts[key] = self.counts.get(key, 0) + 1
            if reply.status not in (None, 502, 504):
                return
            await asyncio.sleep(b.BOUNDS["resend-ms"] / 1000)
            entry = self.bed.other_entry(entry)  # Retries reach other nodes.

    async def run(self, rate, make_job, deadline_ms, prefix):
        due = time.monotonic()
        for n in range(1 << 30):
            entry = self.bed.entry_names[n % len(self.bed.entry_names)]
            asyncio.ensure_future(
                self.client(entry, make_job(), deadline_ms, prefix))
            due += 1 / rate
            await asyncio.sleep(max(0, due - time.monotonic()))


def batch_job():
    return b.job(tasks=1, ms=100, cpu=1000, spec_bytes=4000)


def offer_job():
    ms = 3600 if random.random() < LONG_SHARE else 200
    return b.job(tasks=1, ms=ms, cpu=200, estimate=900)


def overlaps(bed):
    """Overlaps of two runs of one task: (length, task, when it began)."""
    runs = {}
    for at, executor, task, run in bed.starts:
        runs.setdefault(task, {})[(executor, run)] = [at, time.monotonic()]
    for at, executor, task, run, _ in bed.ends:
        runs[task][(executor, run)][1] = at
    found = []
    for task, spans in runs.items():
        spans = sorted(spans.values())
        for one, two in zip(spans, spans[1:]):
            if one[1] - two[0] > MIN_OVERLAP_S:
                found.append((min(one[1], two[1]) - two[0], task, two[0]))
    return found


async def case(bed):
    batch_route = {"name": "r-2", "host": b.HOST, "path-prefix": BATCH,
                   "kind": "unsafe", "timeout-ms": BATCH_DEADLINE_MS,
                   "target-latency-ms": 1000, "priority": 1,
                   "service": b.SERVICE, "max-attempts": 3, "stretch": 1.6}
    await bed.start(routes=[batch_route])
    traffic = Traffic(bed)
    asyncio.ensure_future(
        traffic.run(BATCH_PER_S, batch_job, BATCH_DEADLINE_MS, BATCH))
    asyncio.ensure_future(
        traffic.run(OFFERS_PER_S, offer_job, OFFER_DEADLINE_MS, b.PREFIX))
    await asyncio.sleep(6)
    bed.config(2, routes=[batch_route])
    if bed.trouble:
        for name in bed.processes:
            bed.signal(name, signal.SIGKILL)
        await asyncio.sleep(0.5)
        # All machines start within 0.3 s of each other, in any order.
        for name in bed.entry_names:
            bed.launch(name)
        await asyncio.sleep(0.28)
        for name in bed.sidecar_names:
            bed.launch(name)
    back = time.monotonic()
    await asyncio.sleep(OBSERVED_S)
    found = overlaps(bed)
    for length, task, at in found:
        bed.log(f"TWICE: {task} for {length:.3f} s, {at - back:.3f} s after the restart")
    bed.log("answers by route:", traffic.counts)
    print(f"{len(bed.starts)} starts, {len(found)} tasks in two runs at a time")
    return not found


b.run(case, FOLDER, entries=2, sidecars=2)
