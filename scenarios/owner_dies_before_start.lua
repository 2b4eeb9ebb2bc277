-- The owner dies before the job reaches it. The successor starts the job within
-- 3 s.
deployment{run_time = 100}
boot()
run(3000)
local id = id_owned_by("entry-1")
kill("entry-1")
local job = submit{entry = "entry-2", id = id}
run(3000)
expect(starts(job) == 1, "the task starts once within 3 s of the owner's death")
run(2000)
expect(answer(job) and answer(job).outcome == "complete", "the job is complete")
recover()
