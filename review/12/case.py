"""RECOVER: large specs wait while all processes start again; see claim.txt."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import bed as b

REQUESTS_PER_S = 300
DEADLINE_MS = 30000
RECOVER_S = 12
JUDGED_S = 6
SPEC_BYTES = 4000


class Traffic:
    """Clients that send a job each, at a steady rate. After no response, a
    broken connection, 502 or 504 a job is sent again, after resend-ms."""

    def __init__(self, bed):
        self.bed = bed
        self.sent = []
        self.tasks = set()

    async def client(self, entry):
        it = {"at": time.monotonic(), "status": None}
        self.sent.append(it)
        body = b.job(tasks=1, ms=100, cpu=3000, spec_bytes=SPEC_BYTES)
        job = b.new_id()
        while time.monotonic() < it["at"] + DEADLINE_MS / 1000:
            reply = await self.bed.request(entry, "POST", job, body, DEADLINE_MS,
                                           quiet=True)
            it["status"] = reply.status
            self.bed.log("client:", job, "at", entry, "sent at",
                         f"{it['at'] - self.bed.t0:.3f}", "answered:", reply)
            if reply.status not in (None, 502, 504):
                return
            await asyncio.sleep(b.BOUNDS["resend-ms"] / 1000)
            entry = self.bed.other_entry(entry)  # Retries reach other nodes.

    async def run(self):
        due = time.monotonic()
        for n in range(1 << 30):
            entry = self.bed.entry_names[n % len(self.bed.entry_names)]
            task = asyncio.ensure_future(self.client(entry))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due += 1 / REQUESTS_PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))

    def served(self, begin, end):
        sent = [it for it in self.sent if begin <= it["at"] < end]
        served = sum(it["status"] == 200 for it in sent)
        return served, len(sent)


async def case(bed):
    await bed.start(target_latency_ms=1000, timeout_ms=DEADLINE_MS)
    traffic = Traffic(bed)
    sender = asyncio.ensure_future(traffic.run())
    await asyncio.sleep(6)
    fault = time.monotonic()
    bed.config(2, target_latency_ms=1000, timeout_ms=DEADLINE_MS)
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
    await asyncio.sleep(RECOVER_S + JUDGED_S)
    sender.cancel()
    end_at = time.monotonic() + DEADLINE_MS / 1000 + 1
    while traffic.tasks and time.monotonic() < end_at:
        await asyncio.sleep(0.2)
    served, sent = traffic.served(fault - 5, fault - 1)
    bed.log("before the fault", served, "of", sent, "served")
    held = served >= sent / 4
    after, sent = traffic.served(back + RECOVER_S, back + RECOVER_S + JUDGED_S)
    bed.log("later than recover-s", after, "of", sent, "served")
    print(f"served before: {served}, later than recover-s: {after} of {sent}")
    if not held:
        raise RuntimeError("too little was served before the fault")
    return after >= sent / 4


b.run(case, FOLDER, entries=2, sidecars=2)
