-- Two at once: the owner freezes while the log is down.
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
expect(answer(job) ~= nil, "answered")
expect(starts(job, 0) <= 1 and starts(job, 1) <= 1, "no task starts twice")
recover()
