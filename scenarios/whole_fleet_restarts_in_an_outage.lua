-- All instances restart while the control log is down. They serve again within
-- 5 s of its return.
deployment{run_time = 100}
boot()
run(3000)
log_down(true)
run(500)
for n = 1, 3 do restart("entry-" .. n) end
for n = 1, 4 do restart("sidecar-" .. n) end
run(3000)
log_down(false)
run(5000)
local job = submit{entry = "entry-1"}
run(1000)
expect(answer(job) and answer(job).outcome == "complete", "the job completes within 6 s of the return of the log")
recover()
