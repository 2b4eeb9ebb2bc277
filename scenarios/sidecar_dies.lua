-- All workers die while the task of a job that is not repeatable runs. The job
-- is answered as failed, with the outcome of its task, and a resubmission starts
-- nothing.
deployment{zones = 1, sidecars = 3, run_time = 1000}
boot()
run(3000)
local job = submit{tasks = 1}
run(200)
for n = 1, 3 do kill_worker("sidecar-" .. n) end
run(12000)
expect(answer(job) and answer(job).outcome == "failed", "the job has failed")
expect(answer(job).tasks[1] == "may_have_run" or answer(job).tasks[1] == "ran", "the outcome reports that the task may have run")
for n = 1, 3 do start("sidecar-" .. n) end
run(4000)
resubmit(job, "entry-2")
run(3000)
expect(starts(job) == 1, "the task started once")
