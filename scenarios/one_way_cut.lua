-- An owner hears all but is not heard: it is taken over, nothing starts twice.
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
expect(answer(job) ~= nil, "answered")
recover()
