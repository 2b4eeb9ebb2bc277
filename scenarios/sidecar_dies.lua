-- A worker dies with a running task of a job that may not run again: the answer
-- is failed and whole, and a resubmission starts nothing.
deployment{zones = 1, sidecars = 3, run_time = 1000}
boot()
run(3000)
local job = submit{tasks = 1}
run(200)
for n = 1, 3 do kill_worker("sidecar-" .. n) end
run(12000)
expect(answer(job) and answer(job).outcome == "failed", "failed")
expect(answer(job).tasks[1] == "may_have_run" or answer(job).tasks[1] == "ran", "the outcome says that it may have run")
for n = 1, 3 do start("sidecar-" .. n) end
run(4000)
resubmit(job, "entry-2")
run(3000)
expect(starts(job) == 1, "it started once")
