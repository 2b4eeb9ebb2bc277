-- The owner restarts without its state while its job runs. The new incarnation
-- must not start the tasks of the resubmitted job again.
deployment{run_time = 600}
boot()
run(3000)
local job = submit{tasks = 3, entry = "entry-1", id = id_owned_by("entry-1")}
run(100)
restart("entry-1")
run(100)
resubmit(job, "entry-1")
run(6000)
expect(answer(job) ~= nil, "the job is answered")
expect(starts(job, 0) == 1 and starts(job, 1) == 1 and starts(job, 2) == 1, "each task starts once")
recover()
