-- Executors fail every task, hang or die while their sidecars stay alive. Every
-- caller still gets an answer.
deployment{sidecars = 6, run_time = 100}
boot()
run(2000)
executor("sidecar-1", "fails")
executor("sidecar-2", "dead")
local jobs = {}
for n = 1, 60 do jobs[n] = submit{}; run(30) end
run(8000)
local complete = 0
for n = 1, 60 do
  expect(answer(jobs[n]) ~= nil, "job " .. n .. " is answered")
  if answer(jobs[n]) and answer(jobs[n]).outcome == "complete" then complete = complete + 1 end
end
expect(complete >= 40, "at least 40 jobs are complete")
executor("sidecar-3", "hangs")
local stuck = {}
for n = 1, 20 do stuck[n] = submit{deadline = 3000} end
run(12000)
for n = 1, 20 do expect(answer(stuck[n]) ~= nil, "the job is answered") end
recover()
