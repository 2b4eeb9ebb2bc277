-- Jobs complete during an outage of the control log.
deployment{run_time = 100}
boot()
run(3000)
log_down(true)
run(5000)
local jobs = {}
for n = 1, 20 do jobs[n] = submit{tasks = 2}; run(50) end
run(3000)
for n = 1, 20 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "the job completes during the outage")
end
log_down(false)
recover()
