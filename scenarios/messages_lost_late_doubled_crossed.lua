-- Links lose, duplicate, delay and reorder messages. Every caller gets the
-- complete answer to its own job.
deployment{run_time = 150}
boot()
run(2000)
disturb{loss = 0.15, duplication = 0.2, reordering = 0.2, late = 700}
local jobs = {}
for n = 1, 40 do
  jobs[n] = submit{tasks = 1 + n % 3}
  run(40)
end
run(4000)
disturb{}
run(8000)
for n = 1, 40 do
  expect(answer(jobs[n]) ~= nil, "job " .. n .. " is answered")
end
recover()
