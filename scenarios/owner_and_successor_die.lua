-- The owner dies, and then its successor during the takeover. The next
-- successor answers, and each task starts once.
deployment{entries = 4, sidecars = 5, run_time = 500}
boot()
run(3000)
local job = submit{tasks = 2, entry = "entry-4", id = id_owned_by("entry-1")}
run(100)
kill("entry-1")
run(1200)
kill("entry-2")
run(6000)
resubmit(job, "entry-3")
run(2000)
expect(answer(job) ~= nil, "the job is answered")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
recover()
