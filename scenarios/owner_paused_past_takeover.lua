-- The owner pauses after it has decided on offers but before it sends them, and
-- resumes after the takeover. The outdated offers must not start a task again.
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
expect(answer(job) and answer(job).outcome == "complete", "the job is complete")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
recover()
