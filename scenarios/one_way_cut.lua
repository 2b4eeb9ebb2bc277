-- An owner receives messages but its own are lost. Another entry takes over,
-- and no task starts twice.
deployment{run_time = 300}
boot()
run(3000)
local job = submit{tasks = 2, entry = "entry-2", id = id_owned_by("entry-1")}
run(50)
cut("entry-1", "*")
run(5000)
expect(starts(job, 0) <= 1 and starts(job, 1) <= 1, "no task starts twice")
heal()
run(3000)
expect(answer(job) ~= nil, "the job is answered")
recover()
