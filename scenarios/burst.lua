-- A burst far above capacity. Every job is refused early or completed; no
-- answer is partial.
deployment{run_time = 200, slots = 2}
boot()
run(2000)
local jobs = {}
for n = 1, 300 do jobs[n] = submit{deadline = 3000} end
run(8000)
local complete = 0
for n = 1, 300 do
  expect(answer(jobs[n]) ~= nil, "the job is answered")
  if answer(jobs[n]) and answer(jobs[n]).outcome == "complete" then complete = complete + 1 end
end
expect(complete >= 50, "at least 50 jobs are complete, so the capacity is used")
recover()
