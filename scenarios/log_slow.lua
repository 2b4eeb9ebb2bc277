-- A slow control log delays changes but not jobs.
deployment{run_time = 100}
boot()
run(2000)
log_slow(3000)
local change = publish{version = 2}
local jobs = {}
for n = 1, 10 do jobs[n] = submit{}; run(100) end
run(10000)
for n = 1, 10 do
  expect(answer(jobs[n]).outcome == "complete" and answer(jobs[n]).after < 1000, "the job does not wait for the log")
end
expect(change and status("entry-1").bundle == 2, "the bundle is in force")
log_slow(0)
recover()
