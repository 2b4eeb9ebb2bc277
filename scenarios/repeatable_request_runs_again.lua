-- A worker is lost while it runs a job of one task of a repeatable service. The
-- task is started again, and the caller gets a complete answer.
deployment{repeatable = true, run_time = 1000}
boot()
run(3000)
local jobs = {}
for n = 1, 8 do jobs[n] = submit{} end
run(300)
kill_worker("sidecar-1")
run(1000)
executor("sidecar-1", "normal")
start("sidecar-1")
run(8000)
for n = 1, 8 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "job " .. n .. " is complete")
end
