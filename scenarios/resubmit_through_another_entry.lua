-- A job that is resubmitted through another entry runs once, and the caller
-- gets the answer of that run.
deployment{run_time = 400}
boot()
local job = submit{tasks = 2, entry = "entry-1"}
run(100)
resubmit(job, "entry-2")
resubmit(job, "entry-3")
run(2000)
expect(answer(job).outcome == "complete", "the job is complete")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
-- A resubmission after the end of the job gets the stored answer.
resubmit(job, "entry-2")
run(1000)
expect(starts(job, 0) == 1, "nothing starts for a late resubmission")
