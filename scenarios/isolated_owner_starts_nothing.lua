-- An owner that is cut off from all instances must start nothing under its old
-- epoch. Its successor runs the job.
deployment{run_time = 100}
boot()
run(3000)
local id = id_owned_by("entry-1")
cut("entry-1", "*", "hold")
cut("*", "entry-1", "hold")
run(1000)
local job = submit{entry = "entry-1", id = id, deadline = 8000}
run(4000)
resubmit(job, "entry-2")
run(2000)
expect(answer(job) and answer(job).outcome == "complete", "the successor completes the job")
heal()
run(2000)
expect(starts(job) == 1, "the task starts once")
recover()
