-- The owner pauses while the control log is down, and resumes after its
-- successor has taken over. No task starts twice.
deployment{run_time = 300}
boot()
run(3000)
local id = id_owned_by("entry-1")
log_down(true)
local job = submit{tasks = 2, entry = "entry-2", id = id}
run(3)
pause("entry-1", "mid_step")
run(5000)
resume("entry-1")
run(500)
log_down(false)
run(4000)
resubmit(job, "entry-3")
run(2000)
expect(answer(job) ~= nil, "the job is answered")
expect(starts(job, 0) <= 1 and starts(job, 1) <= 1, "no task starts twice")
recover()
