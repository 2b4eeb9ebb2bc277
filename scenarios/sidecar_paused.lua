-- A sidecar pauses and resumes. Each task that it held starts at most once.
deployment{run_time = 200}
boot()
run(3000)
pause("sidecar-1")
local jobs = {}
for n = 1, 20 do jobs[n] = submit{tasks = 2} end
run(4000)
resume("sidecar-1")
run(8000)
for n = 1, 20 do
  expect(answer(jobs[n]) ~= nil, "job " .. n .. " is answered")
  expect(starts(jobs[n], 0) <= 1 and starts(jobs[n], 1) <= 1, "no task starts twice")
end
recover()
