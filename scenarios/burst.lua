-- A burst far above capacity: refused early or complete, never partial.
deployment{run_time = 200, slots = 2}
boot()
run(2000)
local jobs = {}
for n = 1, 300 do jobs[n] = submit{deadline = 3000} end
run(8000)
local complete = 0
for n = 1, 300 do
  expect(answer(jobs[n]) ~= nil, "answered")
  if answer(jobs[n]) and answer(jobs[n]).outcome == "complete" then complete = complete + 1 end
end
expect(complete >= 50, "the capacity is used")
recover()
