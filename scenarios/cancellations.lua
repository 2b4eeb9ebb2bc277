-- Many jobs are cancelled at once. Every caller gets an answer, and no task
-- runs twice.
deployment{run_time = 800, slots = 2}
boot()
run(2000)
local jobs = {}
for n = 1, 30 do jobs[n] = submit{tasks = 2} end
run(300)
for n = 1, 30 do cancel(jobs[n], "entry-" .. (1 + n % 3)) end
run(6000)
for n = 1, 30 do expect(answer(jobs[n]) ~= nil, "the job is answered") end
recover()
