-- The owner of a running job dies. A resubmission gets the complete answer, and
-- no task starts twice.
deployment{run_time = 800}
boot()
run(3000)
local job = submit{tasks = 2, entry = "entry-2", id = id_owned_by("entry-1")}
run(200)
expect(starts(job, 0) == 1, "the task runs")
kill("entry-1")
run(6000)
expect(answer(job) and answer(job).outcome == "complete", "the job completes after the takeover")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
recover()
