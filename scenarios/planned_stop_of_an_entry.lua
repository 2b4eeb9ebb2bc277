-- A graceful stop of the owner breaks no request and adds at most 50 ms of
-- delay.
deployment{run_time = 300}
boot()
run(3000)
local jobs = {}
for n = 1, 10 do jobs[n] = submit{tasks = 2, entry = "entry-1"} end
run(100)
stop("entry-1")
for n = 11, 20 do jobs[n] = submit{entry = "entry-2"}; run(10) end
run(5000)
expect(not running("entry-1"), "the process has stopped")
for n = 1, 20 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "job " .. n .. " is complete")
  expect(answer(jobs[n]) and answer(jobs[n]).after < 360, "job " .. n .. " is not delayed")
end
recover()
