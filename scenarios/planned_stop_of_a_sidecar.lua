-- A graceful stop of a sidecar. Its running tasks finish, and its other tasks
-- run elsewhere.
deployment{run_time = 500, slots = 2}
boot()
run(2000)
local jobs = {}
for n = 1, 16 do jobs[n] = submit{} end
run(100)
stop("sidecar-1")
run(5000)
expect(not running("sidecar-1"), "the process has stopped")
for n = 1, 16 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "job " .. n .. " is complete")
end
recover()
