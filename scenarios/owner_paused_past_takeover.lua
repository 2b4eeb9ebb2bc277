-- The owner freezes between its decision and its send, is taken over, and goes
-- on: the offers that it had decided start nothing a second time.
deployment{run_time = 300}
boot()
run(3000)
pause("entry-1", "mid_step")
local job = submit{tasks = 2, entry = "entry-2", id = id_owned_by("entry-1")}
run(4000)
resubmit(job, "entry-3")
run(1000)
resume("entry-1")
run(3000)
expect(answer(job) and answer(job).outcome == "complete", "complete")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
recover()
